"""Simulation of entries and targets on a virtual clock, with the daemon's own pools and keeper.

Targets run a bounded number of requests at a time and queue the others; requests arrive at the
entries at random times. The decisions are not modelled: they are those of `cactusvane.pool`.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush
from random import Random

from bench.baselines import ConsecutiveErrors, NoEjection
from bench.faults import (
    ENTRIES,
    FAILURE_DOMAINS,
    QUIET_RATE,
    Failing,
    Flapping,
    Hanging,
    Partitioned,
    Scenario,
    Slow,
)
from cactusvane.configuration.model import Health, Route, Service
from cactusvane.fleet.vm import Address, Vm
from cactusvane.outcome import Outcome
from cactusvane.pool.keeper import EvidenceKeeper
from cactusvane.pool.messages import (
    AttemptEnded,
    AttemptStarted,
    Ejected,
    Ejection,
    EjectionReceived,
    EvidenceReported,
    KeeperCommand,
    OwnPathSuspected,
    PoolCommand,
    Probe,
    ProbeEnded,
    ReportEvidence,
    Restoration,
    RestorationReceived,
    TargetsListed,
    Ticked,
)
from cactusvane.pool.pool import Pool
from cactusvane.pool.settings import PoolSettings

SLOTS = 4
SERVICE_MS = 20.0
"""Mean service time of a request at a target."""

SERVICE_SHAPE = 3
"""Number of stages of the service time (Erlang distribution)."""

NETWORK_DELAY_MS = 1.25
"""One-way delay between two VMs."""

PROBE_MS = 25.0
DEADLINE_MS = 2_000.0
CONNECT_TIMEOUT_MS = 250.0
FAST_FAILURE_MS = 3.0
TICK_MS = 50.0
QUIET_TICK_MS = 500.0
BASE_ERRORS = 0.01
NON_IDEMPOTENT_SHARE = 0.3
MAX_ATTEMPTS = 3
FINAL_MS = 5_000.0
"""Length of the time at the end of a run over which `Result.sick_share` is measured."""


@dataclass(frozen=True, slots=True)
class Policy:
    """One ejection policy.

    Parameters
    ----------
    name
        Name in the table and in the JSON output.
    health
        Weights of detection and of false ejections, as in the service file.
    pool
        Class of the entries' pools.
    keeper
        Whether a keeper pools the evidence of all entries.
    """

    name: str
    health: Health
    pool: type[Pool] = Pool
    keeper: bool = True


def policies(cooperative: Health, consortium: Health) -> tuple[Policy, ...]:
    """Return the policies to compare; those of `cactusvane.pool` with both users' weights."""
    return (
        Policy("none", cooperative, NoEjection, keeper=False),
        Policy("5 in a row", cooperative, ConsecutiveErrors, keeper=False),
        Policy("per entry", cooperative, keeper=False),
        Policy("pooled, co-operative", cooperative),
        Policy("pooled, consortium", consortium),
    )


@dataclass(slots=True)
class Result:
    """Results of one run.

    The field names are keys of the JSON output.

    Parameters
    ----------
    last_new_ms
        Milliseconds from the first failure to the last regular request (not a trial) sent to a
        failing target.
    sick_share
        Share of the regular requests that is sent to failing targets at the end.
    healthy_ejections
        Ejections of healthy targets, each counted as a share of all entries.
    least_spare
        Minimum number of targets in use above the floor, over all entries and times.
    lost
        Number of non-idempotent requests that failed at a failing target.
    failed
        Requests that failed for their callers while the fault was active, per thousand.
    wide
        Number of ejections by entries that a fault of the network path does not affect.
    self_suspected
        How often an entry suspected its own path.
    reports
        Reports to the keeper per entry and second.
    """

    last_new_ms: float = 0.0
    sick_share: float = 0.0
    healthy_ejections: float = 0.0
    least_spare: int = 1_000_000
    lost: int = 0
    failed: float = 0.0
    wide: int = 0
    self_suspected: int = 0
    reports: float = 0.0


@dataclass(frozen=True, slots=True)
class Request:
    """One request of a caller."""

    entry: int
    idempotent: bool
    tried: frozenset[Address] = frozenset()


class Target:
    """A target with slots and a queue."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.busy = 0
        self.queue: deque[Callable[[], None]] = deque()

    def release_slot(self) -> None:
        """Free a slot and start the next request in the queue."""
        self.busy -= 1
        if self.queue:
            self.busy += 1
            self.queue.popleft()()


class Model:
    """One run of a scenario with a policy.

    Parameters
    ----------
    scenario
        Size of the service, load and fault.
    policy
        Ejection policy of the entries.
    seed
        Seed of all random choices.
    """

    def __init__(self, scenario: Scenario, policy: Policy, seed: int) -> None:
        self.scenario = scenario
        self.random = Random(seed)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sequence = 0
        self.result = Result()
        self.service = Service(
            "records",
            ("records",),
            (Route("/", ("GET",), True, "read"),),
            scenario.targets,
            scenario.floor,
            SLOTS,
            health=policy.health,
        )
        self.vms = tuple(
            Vm(
                f"t{number}",
                Address("10.0.0.1", 8_000 + number),
                FAILURE_DOMAINS[number % len(FAILURE_DOMAINS)],
            )
            for number in range(scenario.targets)
        )
        self.targets = {vm.address: Target(number) for number, vm in enumerate(self.vms)}
        self.failing_targets = {self.vms[number].address for number in scenario.failing_targets}
        self.domains = [FAILURE_DOMAINS[n % len(FAILURE_DOMAINS)] for n in range(ENTRIES)]
        settings = PoolSettings()
        self.pools = [
            policy.pool(self.service, domain, Random(seed * 1_000 + n), settings)
            for n, domain in enumerate(self.domains)
        ]
        self.keeper = EvidenceKeeper(self.service, settings) if policy.keeper else None
        self.first_failure_at: float | None = None
        self.last_new_at = 0.0
        self.requests = self.failures = self.final_requests = self.final_failing_requests = (
            self.reports
        ) = 0

    def schedule(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Schedule `action` after `delay_ms` milliseconds."""
        self.sequence += 1
        heappush(self.events, (self.now + delay_ms, self.sequence, action))

    def run(self) -> Result:
        """Run to the end and return the results."""
        scenario = self.scenario
        end = scenario.warm_up_ms + scenario.fault_ms
        for entry, pool in enumerate(self.pools):
            pool.handle(TargetsListed(self.vms), 0.0)
            self.schedule(self.random.random() * TICK_MS, lambda entry=entry: self.tick(entry))  # type: ignore[misc]
        if self.keeper:
            self.keeper.handle(TargetsListed(self.vms), 0.0)
            self.schedule(0.0, self.tick_keeper)
        self.schedule(0.0, self.arrive)
        while self.events and self.events[0][0] < end:
            self.now, _, action = heappop(self.events)
            action()
        return self.summary(end)

    def summary(self, end: float) -> Result:
        """Return the results of a run that ended at `end` (milliseconds)."""
        result = self.result
        if self.first_failure_at is not None:
            result.last_new_ms = max(0.0, self.last_new_at - self.first_failure_at)
        result.sick_share = self.final_failing_requests / max(1, self.final_requests)
        result.failed = 1_000.0 * self.failures / max(1, self.requests)
        result.reports = self.reports / ENTRIES / (end / 1_000.0)
        return result

    @property
    def fault_active(self) -> bool:
        """Whether the fault is active."""
        return self.scenario.fault is not None and self.now >= self.scenario.warm_up_ms

    @property
    def tick_ms(self) -> float:
        """Time between two ticks in milliseconds; longer for a scenario with little load."""
        return QUIET_TICK_MS if self.scenario.rate <= QUIET_RATE else TICK_MS

    def tick(self, entry: int) -> None:
        """Pass a tick to an entry and schedule the next one."""
        self.execute(entry, self.pools[entry].handle(Ticked(), self.now))
        self.schedule(self.tick_ms, lambda: self.tick(entry))

    def tick_keeper(self) -> None:
        """Pass a tick to the keeper and schedule the next one."""
        assert self.keeper is not None
        self.broadcast(self.keeper.handle(Ticked(), self.now))
        self.schedule(self.tick_ms, self.tick_keeper)

    def arrive(self) -> None:
        """Let a request arrive at a random entry and schedule the next arrival."""
        self.schedule(self.random.expovariate(self.scenario.rate / 1_000.0), self.arrive)
        idempotent = self.random.random() >= NON_IDEMPOTENT_SHARE
        if self.fault_active:
            self.requests += 1
        self.send(Request(self.random.randrange(ENTRIES), idempotent))

    def send(self, request: Request) -> None:
        """Send a request to the target that its entry chooses."""
        pool = self.pools[request.entry]
        vm = pool.choose(self.now, request.tried, request.idempotent)
        if vm is None:
            self.failures += self.fault_active
            return
        address = vm.address
        self.execute(request.entry, pool.handle(AttemptStarted(address), self.now))
        trial = address in pool.ejected
        affected = (
            not self.scenario.affected_entries or request.entry in self.scenario.affected_entries
        )
        if self.fault_active and not trial and affected:
            self.record_regular_request(address)
        sent = self.now
        timeout_ms = self.connect_timeout_ms(request, address)
        if timeout_ms is not None:
            self.schedule(timeout_ms, lambda: self.end(request, address, Outcome.UNREACHABLE, sent))
            return
        target = self.targets[address]
        self.schedule(NETWORK_DELAY_MS, lambda: self.start_or_queue(request, target, address, sent))

    def record_regular_request(self, address: Address) -> None:
        """Record a request that is not a trial."""
        if address in self.failing_targets:
            self.last_new_at = self.now
        if self.now >= self.scenario.warm_up_ms + self.scenario.fault_ms - FINAL_MS:
            self.final_requests += 1
            self.final_failing_requests += address in self.failing_targets

    def connect_timeout_ms(self, request: Request, address: Address) -> float | None:
        """Return the milliseconds until connecting times out; None if the target is reachable."""
        match self.scenario.fault:
            case Partitioned(entries) if (
                self.fault_active and address in self.failing_targets and request.entry in entries
            ):
                return CONNECT_TIMEOUT_MS
        return None

    def start_or_queue(
        self, request: Request, target: Target, address: Address, sent: float
    ) -> None:
        """Start the request at its target, or queue it."""
        if target.busy < SLOTS:
            target.busy += 1
            self.serve(request, target, address, sent)
        else:
            target.queue.append(lambda: self.serve(request, target, address, sent))

    def serve(self, request: Request, target: Target, address: Address, sent: float) -> None:
        """Serve a request, or let it fail according to the fault."""
        stage = SERVICE_MS / SERVICE_SHAPE
        duration_ms = self.random.gammavariate(SERVICE_SHAPE, stage)
        failing = self.random.random() < BASE_ERRORS
        fault = (
            self.scenario.fault if self.fault_active and address in self.failing_targets else None
        )
        match fault:
            case Failing(share) if self.random.random() < share:
                failing, duration_ms = True, FAST_FAILURE_MS
            case Slow(factor):
                duration_ms *= factor
            case Flapping(period) if int((self.now - self.scenario.warm_up_ms) / period) % 2 == 0:
                failing, duration_ms = True, FAST_FAILURE_MS
            case Hanging():
                failing, duration_ms = True, DEADLINE_MS
        outcome = Outcome.FAILED if failing else Outcome.SERVED
        remaining_ms = max(0.0, sent + DEADLINE_MS - self.now)
        if duration_ms >= remaining_ms:
            duration_ms, outcome = remaining_ms, Outcome.TIMED_OUT
        self.schedule(duration_ms, target.release_slot)
        self.schedule(
            duration_ms + NETWORK_DELAY_MS, lambda: self.end(request, address, outcome, sent)
        )

    def end(self, request: Request, address: Address, outcome: Outcome, sent: float) -> None:
        """Deliver the outcome to the entry, which may retry."""
        if outcome is not Outcome.SERVED:
            self.record_failure(request, address, outcome, sent)
        event = AttemptEnded(address, outcome, self.now - sent)
        self.execute(request.entry, self.pools[request.entry].handle(event, self.now))
        if outcome is Outcome.SERVED:
            return
        tried = request.tried | {address}
        may_retry = request.idempotent or outcome is Outcome.UNREACHABLE
        if may_retry and len(tried) < MAX_ATTEMPTS:
            self.send(Request(request.entry, request.idempotent, tried))
        else:
            self.failures += self.fault_active

    def record_failure(
        self, request: Request, address: Address, outcome: Outcome, sent: float
    ) -> None:
        """Record a failure at a failing target."""
        if address not in self.failing_targets or sent < self.scenario.warm_up_ms:
            return
        if self.first_failure_at is None:
            self.first_failure_at = sent
        if not request.idempotent and outcome is not Outcome.UNREACHABLE:
            self.result.lost += 1

    def execute(self, entry: int, commands: tuple[PoolCommand, ...]) -> None:
        """Execute the commands of a pool."""
        pool = self.pools[entry]
        spare = len(pool.in_use) - self.scenario.floor
        if spare < self.result.least_spare:
            self.result.least_spare = spare
        for command in commands:
            match command:
                case ReportEvidence(_, counts):
                    self.reports += 1
                    if self.keeper:
                        report = EvidenceReported(f"e{entry}", self.domains[entry], counts)
                        self.schedule(NETWORK_DELAY_MS, lambda report=report: self.report(report))  # type: ignore[misc]
                case Ejected(target, _):
                    self.record_ejection(entry, target)
                case OwnPathSuspected():
                    self.result.self_suspected += 1
                case Probe(target):
                    done = ProbeEnded(target, healthy=True)
                    if self.connect_timeout_ms(Request(entry, True), target) is None:
                        self.schedule(PROBE_MS, lambda done=done: self.deliver(entry, done))  # type: ignore[misc]

    def record_ejection(self, entry: int, target: Address) -> None:
        """Count an ejection of a healthy target, or by an entry that the fault does not affect."""
        affected = not self.scenario.affected_entries or entry in self.scenario.affected_entries
        if target not in self.failing_targets or not self.fault_active:
            self.result.healthy_ejections += 1.0 / ENTRIES
        elif not affected:
            self.result.wide += 1

    def report(self, event: EvidenceReported) -> None:
        """Deliver a report to the keeper."""
        assert self.keeper is not None
        self.broadcast(self.keeper.handle(event, self.now))

    def broadcast(self, commands: tuple[KeeperCommand, ...]) -> None:
        """Send the decisions of the keeper to all entries."""
        for command in commands:
            event: EjectionReceived | RestorationReceived
            match command:
                case Ejection():
                    event = EjectionReceived(command)
                case Restoration(target):
                    event = RestorationReceived(target)
            for entry in range(ENTRIES):
                self.schedule(
                    NETWORK_DELAY_MS,
                    lambda entry=entry, event=event: self.deliver(entry, event),  # type: ignore[misc]
                )

    def deliver(
        self, entry: int, event: EjectionReceived | RestorationReceived | ProbeEnded
    ) -> None:
        """Deliver a message or the result of a probe to an entry."""
        self.execute(entry, self.pools[entry].handle(event, self.now))
