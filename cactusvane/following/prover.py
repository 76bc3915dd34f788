"""Proves that the configuration is current, at the store or by queries to other entries."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable
from random import Random, SystemRandom

from cactusvane import events
from cactusvane.clock import MS_PER_SECOND, Clock
from cactusvane.customers.freshness import FreshnessSettings, Lease, Proof
from cactusvane.customers.freshness_gate import FreshnessGate
from cactusvane.customers.proof_schedule import NUMBER_BITS, Candidate, ProofSchedule
from cactusvane.errors import PlatformError
from cactusvane.events import Event
from cactusvane.fleet.vm import Address
from cactusvane.following.follower import TableFollower
from cactusvane.following.table import TablePosition, TableRows
from cactusvane.placement.domain import Domain
from cactusvane.placement.messages import FreshnessAnswer, FreshnessQuery, Message

RESTART_DELAY_MS = 500.0
"""Delay after an exception, so that a lasting one does not flood the log."""

STEP_MS = 25.0
"""Interval of the decisions; short beside the timeout of an answer."""

REFUTATIONS_BEFORE_READ = 2
"""Refuted confirmations of one position after which the whole table is read.

The first one is usual, as the change is on its way. Reads of changes may have missed it.
"""


class FreshnessProver:
    """Keeps the lease of one entry.

    Parameters
    ----------
    follower
        Follower of the table of the configuration.
    keys
        Keys of the rows of the configuration.
    domain
        The other entries of the failure domain.
    others
        Returns addresses of entries of other failure domains.
    send
        Sends a message to the entries at some addresses.
    start_task
        Runs a task in the background.
    settings
        Times of the lease.
    clock
        Clock of the process.
    random
        Source of random choices that others may foresee.

    Attributes
    ----------
    gate
        Rejects requests without a lease.
    usable
        Values of the latest rows that could be used, by key.
    refuted
        Position that the store refuted last, and how often in a row.
    """

    def __init__(
        self,
        follower: TableFollower,
        keys: tuple[str, ...],
        domain: Domain,
        others: Callable[[], list[Address]],
        send: Callable[[Message, Iterable[Address]], None],
        start_task: Callable[[Coroutine[None, None, None]], None],
        settings: FreshnessSettings,
        clock: Clock,
        random: Random,
    ) -> None:
        self.follower = follower
        self.keys = keys
        self.domain = domain
        self.others = others
        self.send = send
        self.start_task = start_task
        self.clock = clock
        self.lease = Lease(settings)
        self.gate = FreshnessGate(self.lease, clock)
        self.gate.on_missing = self.query_if_due
        first_number = SystemRandom().getrandbits(NUMBER_BITS)
        self.schedule = ProofSchedule(self.lease, random, first_number)
        self.usable: dict[str, bytes] = {}
        self.refuted: tuple[TablePosition, int] = (TablePosition(), 0)

    def activate(self, has_customers: bool) -> None:
        """Record whether the active configuration has customers; without any, nothing is sent."""
        self.gate.active = has_customers

    def record_usable(self, values: dict[str, bytes]) -> None:
        """Record that the configuration in the table's rows could be used.

        Parameters
        ----------
        values
            Values of the table's rows, by key. The active configuration is theirs or a newer one.
        """
        self.usable = {key: value for key, value in values.items() if key in self.keys}
        self.advance()

    def rows(self) -> TableRows | None:
        """Return the rows of the configuration; None if they cannot be used."""
        selected = self.follower.copy.select(self.keys)
        values = {row.key: row.value for row in selected.rows if row.value is not None}
        if not values or values != self.usable:
            return None
        self.usable = values
        return selected

    def advance(self) -> None:
        """Apply the position of the copy; a row that was written again has another one."""
        rows = self.rows()
        if rows is not None:
            self.lease.advance(position_of(rows))

    async def run(self) -> None:
        """Keep the lease until cancelled, also after an exception that nobody has foreseen."""
        while True:
            await asyncio.sleep(STEP_MS / MS_PER_SECOND)
            try:
                self.step()
            except Exception as error:
                events.write(Event.DAEMON_TASK_FAILED, error=repr(error))
                await asyncio.sleep(RESTART_DELAY_MS / MS_PER_SECOND)

    def step(self) -> None:
        """Perform the pending work."""
        if not self.gate.active:
            return
        self.advance()
        self.gate.log_change()
        rows = self.rows()
        now = self.clock.boot()
        if rows is not None and self.schedule.should_call(self.follower.should_read, now):
            self.schedule.begin_call(now)
            self.start_task(self.prove(rows))
        self.query_if_due()

    async def prove(self, rows: TableRows) -> None:
        """Prove at the store that rows are current; the proof counts from the start of the call."""
        started = self.clock.boot()
        confirmed = False
        try:
            confirmed = await self.follower.source.confirm(self.follower.table, rows)
            self.record_response(rows, confirmed)
        except PlatformError as error:
            self.log_failure(str(error))
        finally:
            self.schedule.end_call(confirmed, self.clock.boot())
        if confirmed:
            self.add(Proof(position_of(rows), started))

    def record_response(self, rows: TableRows, confirmed: bool) -> None:
        """Read the whole table next if the store has other rows and the copy stays behind."""
        position = position_of(rows)
        before, times = self.refuted
        if confirmed:
            self.refuted = (TablePosition(), 0)
            return
        self.refuted = (position, times + 1 if position == before else 1)
        if position != before:
            events.write(Event.CONFIGURATION_OUTDATED, version=position.version, era=position.era)
        if self.refuted[1] >= REFUTATIONS_BEFORE_READ:
            self.follower.reread = True

    def log_failure(self, reason: str) -> None:
        """Log the first failed call of an outage."""
        if not self.schedule.failing:
            age_ms = self.lease.age_ms(self.clock.boot())
            events.write(Event.CONFIRMATION_FAILED, reason=reason, age_ms=age_ms)

    def query_if_due(self) -> None:
        """Query another entry if that is due."""
        now = self.clock.boot()
        if not self.schedule.should_query(self.follower.should_read, now):
            return
        query = self.schedule.next_query(self.peers(), self.other_entries(), now)
        if query is not None:
            self.send(FreshnessQuery(self.domain.vm, query.number), (query.address,))

    def peers(self) -> list[Candidate]:
        """Return the entries of the own failure domain."""
        now = self.clock.now()
        found = []
        for vm, peer in self.domain.peers.items():
            status = peer.store_status
            if status is None or status.proof_age_ms is None:
                found.append(Candidate(vm, peer.address))
                continue
            age_ms = status.proof_age_ms + now - peer.store_status_at
            found.append(Candidate(vm, peer.address, age_ms))
        return found

    def other_entries(self) -> list[Candidate]:
        """Return entries of other failure domains."""
        return [Candidate("", address) for address in self.others()]

    def receive(self, message: FreshnessQuery | FreshnessAnswer, address: Address) -> None:
        """Process a message of another entry.

        Parameters
        ----------
        message
            The message.
        address
            Where it came from.
        """
        match message:
            case FreshnessQuery():
                self.answer(message, address)
            case FreshnessAnswer():
                proof = self.schedule.accept(message)
                if proof is not None:
                    self.add(proof)

    def answer(self, query: FreshnessQuery, address: Address) -> None:
        """Answer a query with the age of the own proof; without a lease, not at all."""
        now = self.clock.boot()
        proof = self.lease.proof
        if proof is None or not self.lease.holds(now):
            return
        answer = FreshnessAnswer(self.domain.vm, query.number, proof.position, now - proof.since)
        self.send(answer, (address,))

    def add(self, proof: Proof) -> None:
        """Add a proof."""
        self.advance()
        self.lease.add(proof)
        self.gate.log_change()

    def proof_age_ms(self) -> float | None:
        """Return the age of the proof for other entries and the metrics; None without customers."""
        return self.lease.age_ms(self.clock.boot()) if self.gate.active else None


def position_of(rows: TableRows) -> TablePosition:
    """Return the position of the latest of some rows."""
    return TablePosition(rows.era, rows.last_change or 0)
