"""Leases of several entries over random delays, losses, pauses, restarts and clocks.

The decision code is that of the product; store, network and clocks are a model.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cactusvane.customers.freshness import FreshnessSettings, Lease, Proof
from cactusvane.customers.proof_schedule import NUMBER_BITS, Candidate, ProofSchedule
from cactusvane.fleet.vm import Address
from cactusvane.following.table import TablePosition
from cactusvane.placement.messages import FreshnessAnswer

REVOKE_MS = 5_000.0
SPAN_MS = 20_000.0
STEP_MS = 50.0
CALL_TIMEOUT_MS = 1_000.0
LONG_DELAYS_MS = (500.0, 1_000.0, 4_000.0)
MAX_SLOW_SHARE = 0.8
MAX_LOSS_SHARE = 0.4
RATE_ERROR = 0.045
"""Largest error of a clock's rate; the margin of the lease covers it."""

PROBE_MS = 10.0
PROBES = 60
"""Requests right after the time of revocation, when a lease that lasts too long shows first."""

REMOVAL = 2
"""Version of the configuration without the key; version 1 has it."""


@dataclass
class World:
    """A real time, a store and a network.

    Attributes
    ----------
    faulty
        Whether messages are lost and late, and entries pause and restart.
    removed_at
        When the configuration without the key was written.
    """

    random: Random
    faulty: bool
    removed_at: float
    now: float = 0.0
    count: int = 0
    events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.slow_share = self.random.uniform(0.0, MAX_SLOW_SHARE) if self.faulty else 0.0
        self.loss_share = self.random.uniform(0.0, MAX_LOSS_SHARE) if self.faulty else 0.0

    def after(self, delay_ms: float, call: Callable[[], None]) -> None:
        """Call something later."""
        self.count += 1
        heappush(self.events, (self.now + delay_ms, self.count, call))

    def run(self) -> None:
        """Run until the end of the span."""
        while self.events and self.events[0][0] <= SPAN_MS:
            self.now, _, call = heappop(self.events)
            call()

    @property
    def version(self) -> int:
        """Version of the configuration in the store."""
        return REMOVAL if self.now >= self.removed_at else REMOVAL - 1

    def delay_ms(self) -> float:
        """Return the delay of one message."""
        if self.random.random() < self.slow_share:
            return self.random.uniform(0.0, self.random.choice(LONG_DELAYS_MS))
        return self.random.uniform(0.5, 10.0)

    def deliver(self, call: Callable[[], None]) -> None:
        """Deliver a message, unless it is lost."""
        if self.random.random() >= self.loss_share:
            self.after(self.delay_ms(), call)


class Node:
    """One entry.

    Attributes
    ----------
    refused
        Whether the store rejects this entry.
    blind
        Whether the entry never learns of the removal.
    accepted_at
        Real times at which a request with the key, sent at that time, was accepted.
    lost
        Steps without a lease.
    """

    def __init__(self, world: World, number: int) -> None:
        self.world = world
        self.name = f"e{number}"
        self.address = Address("10.0.0.1", number + 1)
        self.reads = number == 0
        error = RATE_ERROR if world.faulty else 0.0
        self.rate = world.random.choice((1.0 - error, 1.0, 1.0 + error))
        self.offset = world.random.uniform(0.0, 1e6)
        self.refused = False
        self.blind = world.faulty and world.random.random() < 0.5
        self.paused_until = 0.0
        self.others: list[Node] = []
        self.accepted_at: list[float] = []
        self.lost = 0
        self.start()

    def start(self) -> None:
        """Start the process, or start it again."""
        random = self.world.random
        self.lease = Lease(FreshnessSettings(REVOKE_MS))
        self.schedule = ProofSchedule(self.lease, random, random.getrandbits(NUMBER_BITS))
        self.version = 0

    def boot(self) -> float:
        """Return the time of the entry's own clock."""
        return self.offset + self.rate * self.world.now

    def awake(self, call: Callable[[], None]) -> None:
        """Call something once the entry is not paused."""
        if self.world.now < self.paused_until:
            self.world.after(self.paused_until - self.world.now, lambda: self.awake(call))
        else:
            call()

    def step(self) -> None:
        """Perform the pending work."""
        self.world.after(STEP_MS, lambda: self.awake(self.step))
        if self.world.faulty:
            self.suffer()
        self.lost += not self.lease.holds(self.boot())
        self.probe()
        if self.version and self.schedule.should_call(lambda: self.reads, self.boot()):
            self.call_store()
        if self.schedule.should_query(lambda: self.reads, self.boot()):
            self.query()

    def probe(self) -> None:
        """Check a request that is sent right now."""
        if self.version < REMOVAL and self.lease.holds(self.boot()):
            self.accepted_at.append(self.world.now)

    def suffer(self) -> None:
        """Pause, restart, or change what the entry can do, from time to time."""
        random = self.world.random
        chance = random.random()
        if chance < 0.005:
            self.paused_until = self.world.now + random.uniform(0.0, 2.0 * REVOKE_MS)
        elif chance < 0.01:
            self.start()
        elif chance < 0.02:
            self.refused = not self.refused
        elif chance < 0.03:
            self.reads = not self.reads

    def follow(self) -> None:
        """Read the store's version, which arrives late."""
        version, era = self.world.version, self.schedule
        self.world.after(self.world.random.uniform(50.0, 200.0), lambda: self.awake(self.follow))
        if self.refused:
            return
        self.world.deliver(lambda: self.awake(lambda: self.learn(version, era)))

    def learn(self, version: int, process: ProofSchedule) -> None:
        """Apply a version that a read of this process returned."""
        if self.blind and version == REMOVAL:
            return
        if process is self.schedule and version > self.version:
            self.version = version
            self.lease.advance(TablePosition(1, version))

    def call_store(self) -> None:
        """Confirm the version at the store."""
        started, version, process = self.boot(), self.version, self.schedule
        process.begin_call(started)
        answered: list[bool] = []

        def arrive() -> None:
            current = not self.refused and self.world.version == version
            self.world.deliver(lambda: self.awake(lambda: respond(current)))

        def respond(current: bool) -> None:
            if answered or process is not self.schedule:
                return
            answered.append(current)
            if current:
                self.lease.add(Proof(TablePosition(1, version), started))
            process.end_call(current, self.boot())

        self.world.deliver(arrive)
        self.world.after(CALL_TIMEOUT_MS, lambda: self.awake(lambda: respond(False)))

    def query(self) -> None:
        """Query another entry."""
        candidates = [Candidate(each.name, each.address) for each in self.others]
        query = self.schedule.next_query(candidates, (), self.boot())
        if query is None:
            return
        number = query.number
        (receiver,) = [each for each in self.others if each.address == query.address]
        for _ in range(self.world.random.choice((1, 1, 2)) if self.world.faulty else 1):
            self.world.deliver(lambda: receiver.awake(lambda: receiver.answer(number, self)))

    def answer(self, number: int, asker: "Node") -> None:
        """Answer a query."""
        now, proof = self.boot(), self.lease.proof
        if proof is None or not self.lease.holds(now):
            return
        answer = FreshnessAnswer(self.name, number, proof.position, now - proof.since)
        self.world.deliver(lambda: asker.awake(lambda: asker.receive(answer)))

    def receive(self, answer: FreshnessAnswer) -> None:
        """Process an answer, perhaps to an earlier process."""
        proof = self.schedule.accept(answer)
        if proof is not None:
            self.lease.add(proof)


def run_world(random: Random, nodes: int, removed_at: float, faulty: bool) -> list[Node]:
    world = World(random, faulty, removed_at)
    found = [Node(world, number) for number in range(nodes)]
    for node in found:
        node.others = [each for each in found if each is not node]
        world.after(random.uniform(0.0, STEP_MS), node.step)
        world.after(random.uniform(0.0, STEP_MS), node.follow)
        for number in range(PROBES):
            at = removed_at + REVOKE_MS + number * PROBE_MS
            world.after(at, lambda node=node: node.awake(node.probe))  # type: ignore[misc]
    world.run()
    return found


@settings(max_examples=300, deadline=None)
@given(st.integers(0, 2**32), st.integers(1, 5), st.floats(1_000.0, 12_000.0), st.booleans())
def test_no_request_that_is_sent_too_late_is_accepted(
    seed: int, nodes: int, removed_at: float, faulty: bool
) -> None:
    """Guards against any order of events that makes an old proof count as a later one."""
    for node in run_world(Random(seed), nodes, removed_at, faulty):
        assert all(at < removed_at + REVOKE_MS for at in node.accepted_at)


@pytest.mark.parametrize("nodes", [1, 2, 5])
def test_without_faults_no_lease_is_ever_lost(nodes: int) -> None:
    """Guards against a schedule that is safe only because it proves nothing."""
    for node in run_world(Random(nodes), nodes, 8_000.0, faulty=False):
        assert node.lost <= 10
        assert max(node.accepted_at) < 8_000.0 + REVOKE_MS
        assert node.version == REMOVAL
