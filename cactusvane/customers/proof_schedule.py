"""When an entry proves that its configuration is current, and which entry it queries.

Performs no I/O; the current time is passed in, in milliseconds (`Clock.boot`).
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from math import inf, isfinite
from random import Random

from cactusvane.customers.freshness import FreshnessSettings, Lease, Proof
from cactusvane.fleet.vm import Address
from cactusvane.placement.messages import FreshnessAnswer

RETRY_MS = 250.0
"""Mean delay after a failed call; a fifth of the time from a failure until the lease expires."""

LAST_RESORT_SHARE = 0.5
LAST_RESORT_SPREAD_SHARE = 0.25
"""Age of the proof at which an entry calls the store though another one is the reader.

As shares of `revoke_ms`: the earliest, and the random addition. The reader's reads may succeed
while its confirmations fail. The first entry that calls renews the proofs of the others.
"""

LAST_RESORT_INTERVAL_MS = 1_000.0
"""Least time between such calls of one entry, since all entries may make them in an outage."""

ANSWER_TIMEOUT_MS = 150.0
"""Time after which another entry is queried; several round trips between failure domains."""

SILENT_MS = 2_000.0
"""How long an entry that did not answer is queried only if no other one is known."""

MIN_INTERVAL_SHARE = 0.85
"""Shortest interval between queries as a share of the longest, so that they spread."""

NUMBER_BITS = 62
"""Size of the first query's number.

It is random, so that a late answer to an earlier process with the same address does not count.
"""


@dataclass(frozen=True, slots=True)
class Candidate:
    """Another entry that may be queried.

    Parameters
    ----------
    vm
        Name of the entry; empty if it is not known.
    address
        Address at which it receives messages.
    proof_age_ms
        Likely age of its proof; infinite if it is not known to have one.
    """

    vm: str
    address: Address
    proof_age_ms: float = inf


@dataclass(frozen=True, slots=True)
class Query:
    """A query to one entry.

    Parameters
    ----------
    number
        Its number.
    address
        Where it is sent.
    sent_at
        A time before it was sent.
    """

    number: int
    address: Address
    sent_at: float


class ProofSchedule:
    """Decides on calls to the store and on queries to other entries.

    Parameters
    ----------
    lease
        What is known so far.
    random
        Source of all random choices.
    first_number
        Number of the first query.

    Attributes
    ----------
    calling
        Whether a call to the store is in progress.
    failing
        Whether the latest call to the store proved nothing.
    call_due_at
        Earliest time of the next call.
    last_call_at
        Time of the latest call.
    without_proof_since
        Since when there is no proof at all; infinite before the first decision.
    query
        The latest query, until its answer arrives.
    unanswered
        All queries without an answer, by number; a late answer counts, too.
    query_due_at
        When to send the next query while the lease holds.
    old_asked_peer
        Whether the latest query went to a peer while the own proof was old.
    silent_until
        Entries that did not answer, and until when they are avoided.
    """

    def __init__(self, lease: Lease, random: Random, first_number: int) -> None:
        self.lease = lease
        self.random = random
        self.number = first_number
        self.calling = False
        self.failing = False
        self.call_due_at = -inf
        self.last_call_at = -inf
        self.without_proof_since = inf
        self.last_resort_ms = self.next_last_resort_ms()
        self.query: Query | None = None
        self.unanswered: dict[int, Query] = {}
        self.query_due_at = -inf
        self.last_query_at = -inf
        self.old_asked_peer = False
        self.silent_until: dict[Address, float] = {}

    @property
    def settings(self) -> FreshnessSettings:
        """Times of the lease."""
        return self.lease.settings

    def should_call(self, reads: Callable[[], bool], now: float) -> bool:
        """Return whether to prove currency at the store now.

        Parameters
        ----------
        reads
            Returns whether this entry reads the store for its failure domain.
        now
            Current time.
        """
        if self.calling or now < self.call_due_at:
            return False
        proof = self.lease.proof
        if proof is None:
            self.without_proof_since = min(self.without_proof_since, now)
            return reads() or self.is_last_resort(now - self.without_proof_since, now)
        due_ms = self.settings.takeover_ms if proof.source else self.settings.prove_ms
        age_ms = now - proof.since
        return age_ms >= due_ms and (reads() or self.is_last_resort(age_ms, now))

    def is_last_resort(self, age_ms: float, now: float) -> bool:
        """Return whether to call the store though another entry should."""
        rested = now - self.last_call_at >= LAST_RESORT_INTERVAL_MS
        return rested and age_ms >= self.last_resort_ms

    def next_last_resort_ms(self) -> float:
        """Return the age of the next call as a last resort, which differs between entries."""
        share = LAST_RESORT_SHARE + LAST_RESORT_SPREAD_SHARE * self.random.random()
        return self.settings.revoke_ms * share

    def begin_call(self, now: float) -> None:
        """Record that a call to the store begins."""
        self.calling = True
        self.last_call_at = now
        self.last_resort_ms = self.next_last_resort_ms()

    def end_call(self, proved: bool, now: float) -> None:
        """Record that a call to the store ended; one that proved nothing is repeated soon."""
        self.calling = False
        self.failing = not proved
        self.call_due_at = -inf if proved else now + RETRY_MS * self.random.uniform(0.5, 1.5)

    def should_query(self, reads: Callable[[], bool], now: float) -> bool:
        """Return whether to query another entry now.

        A reader queries others only while the store does not prove currency to it.

        Parameters
        ----------
        reads
            Returns whether this entry reads the store for its failure domain.
        now
            Current time.
        """
        holds = self.lease.holds(now)
        waiting = self.query is not None or not holds
        due_at = self.last_query_at + ANSWER_TIMEOUT_MS if waiting else self.query_due_at
        if now < due_at:
            return False
        return not holds or self.failing or not reads()

    def next_query(
        self, peers: Sequence[Candidate], others: Sequence[Candidate], now: float
    ) -> Query | None:
        """Return the query to send now; None if no other entry is known.

        Parameters
        ----------
        peers
            Entries of the own failure domain.
        others
            Entries of other failure domains.
        now
            Current time, from before the query is sent.
        """
        self.give_up_query(now)
        chosen = self.choose(peers, others, now)
        if chosen is None:
            return None
        self.number += 1
        interval_ms = self.settings.query_ms * self.random.uniform(MIN_INTERVAL_SHARE, 1.0)
        self.query_due_at = now + interval_ms
        self.last_query_at = now
        self.query = Query(self.number, chosen.address, now)
        self.unanswered[self.number] = self.query
        return self.query

    def give_up_query(self, now: float) -> None:
        """Avoid the entry that did not answer the latest query."""
        self.silent_until = {
            address: until for address, until in self.silent_until.items() if now < until
        }
        if self.query is not None:
            self.silent_until[self.query.address] = now + SILENT_MS
            self.query = None
        self.unanswered = {
            number: query
            for number, query in self.unanswered.items()
            if now - query.sent_at < self.settings.lease_ms
        }

    def choose(
        self, peers: Sequence[Candidate], others: Sequence[Candidate], now: float
    ) -> Candidate | None:
        """Return the entry to query: the peer with the latest proof, as far as is known.

        Every second query goes to another failure domain once the own proof is old, since then the
        peers have no later one.
        """
        answering_peers = [each for each in peers if each.address not in self.silent_until]
        answering_others = [each for each in others if each.address not in self.silent_until]
        is_old = not self.lease.is_younger(self.settings.takeover_ms, now)
        if answering_peers and not (is_old and self.old_asked_peer and answering_others):
            self.old_asked_peer = is_old
            return self.choose_latest(answering_peers)
        self.old_asked_peer = False
        if answering_others:
            return self.random.choice(answering_others)
        silent = [*peers, *others]
        return min(silent, key=lambda each: self.silent_until[each.address], default=None)

    def choose_latest(self, candidates: Sequence[Candidate]) -> Candidate:
        """Return a random one of the candidates with the latest proof."""
        least_ms = min(each.proof_age_ms for each in candidates)
        return self.random.choice([each for each in candidates if each.proof_age_ms == least_ms])

    def accept(self, answer: FreshnessAnswer) -> Proof | None:
        """Return the proof in an answer; None if it answers no query of this process.

        The age is counted from the time at which the query was sent: the answer was made later.
        """
        if not isfinite(answer.age_ms) or answer.age_ms < 0.0:
            return None
        query = self.unanswered.pop(answer.number, None)
        if query is None:
            return None
        if query == self.query:
            self.query = None
        self.silent_until.pop(query.address, None)
        return Proof(answer.position, query.sent_at - answer.age_ms, answer.sender)
