"""Entries and targets on a virtual clock, round the product's own pools and keeper.

Targets run a bounded number of requests at once and queue the rest; entries get requests at
random times. Nothing of the decisions is modelled: they are `cactusvane.pool`.
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
    CutOff,
    Failing,
    Flapping,
    Hanging,
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
"""Mean time of one request at a target."""

SERVICE_SHAPE = 3
"""Stages of the service time (Erlang distribution)."""

HOP_MS = 1.25
"""One way between two VMs."""

PROBE_MS = 25.0
DEADLINE_MS = 2_000.0
CONNECT_TIMEOUT_MS = 250.0
FAST_FAILURE_MS = 3.0
TICK_MS = 50.0
QUIET_TICK_MS = 500.0
BASE_ERRORS = 0.01
NON_IDEMPOTENT_SHARE = 0.3
MOST_ATTEMPTS = 3
SETTLED_MS = 5_000.0
"""The share of work that sick targets still get is taken over this time at the end."""


@dataclass(frozen=True, slots=True)
class Policy:
    """One way to decide.

    Parameters
    ----------
    name
        For the table.
    health
        Weights of the operators' file.
    pool
        The pool's class.
    keeper
        Whether a keeper pools the evidence.
    """

    name: str
    health: Health
    pool: type[Pool] = Pool
    keeper: bool = True


def policies(cooperative: Health, consortium: Health) -> tuple[Policy, ...]:
    """Return the rules to compare, the product's with both users' weights."""
    return (
        Policy("none", cooperative, NoEjection, keeper=False),
        Policy("5 in a row", cooperative, ConsecutiveErrors, keeper=False),
        Policy("per entry", cooperative, keeper=False),
        Policy("pooled, co-operative", cooperative),
        Policy("pooled, consortium", consortium),
    )


@dataclass(slots=True)
class Result:
    """What one run measured.

    Parameters
    ----------
    last_new_ms
        From the first failure to the last regular request at a sick target.
    sick_share
        Share of regular requests that sick targets got at the end.
    healthy_ejections
        Healthy targets ejected, counted as shares of the entries that did so.
    least_spare
        Least healthy capacity less the floor, over all entries and moments.
    lost
        Non-idempotent requests that failed at a sick target.
    failed
        Requests that failed for their callers, per thousand, with the fault on.
    wide
        Ejections by entries that a fault of the path does not befall.
    self_suspected
        Entries that suspected their own path.
    reports
        Messages to the keeper per entry and second.
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
class Work:
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

    def free(self) -> None:
        """Let go of a slot, and take up the next in the queue."""
        self.busy -= 1
        if self.queue:
            self.busy += 1
            self.queue.popleft()()


class Model:
    """One run of one scenario under one policy.

    Parameters
    ----------
    scenario
        What happens.
    policy
        How the entries decide.
    seed
        Seed of all random choices.
    """

    def __init__(self, scenario: Scenario, policy: Policy, seed: int) -> None:
        self.scenario = scenario
        self.random = Random(seed)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.count = 0
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
        self.sick = {self.vms[number].address for number in scenario.sick}
        self.domains = [FAILURE_DOMAINS[n % len(FAILURE_DOMAINS)] for n in range(ENTRIES)]
        settings = PoolSettings()
        self.pools = [
            policy.pool(self.service, domain, Random(seed * 1_000 + n), settings)
            for n, domain in enumerate(self.domains)
        ]
        self.keeper = EvidenceKeeper(self.service, settings) if policy.keeper else None
        self.first_bad: float | None = None
        self.last_new = 0.0
        self.requests = self.failures = self.late = self.late_sick = self.reports = 0

    def at(self, delay_ms: float, act: Callable[[], None]) -> None:
        """Do `act` after `delay_ms`."""
        self.count += 1
        heappush(self.events, (self.now + delay_ms, self.count, act))

    def run(self) -> Result:
        """Run to the end and return what was measured."""
        scenario = self.scenario
        end = scenario.warm_ms + scenario.fault_ms
        for entry, pool in enumerate(self.pools):
            pool.handle(TargetsListed(self.vms), 0.0)
            self.at(self.random.random() * TICK_MS, lambda entry=entry: self.tick(entry))  # type: ignore[misc]
        if self.keeper:
            self.keeper.handle(TargetsListed(self.vms), 0.0)
            self.at(0.0, self.tick_keeper)
        self.at(0.0, self.arrive)
        while self.events and self.events[0][0] < end:
            self.now, _, act = heappop(self.events)
            act()
        return self.summary(end)

    def summary(self, end: float) -> Result:
        """Return the result of a run that ended at `end`."""
        result = self.result
        if self.first_bad is not None:
            result.last_new_ms = max(0.0, self.last_new - self.first_bad)
        result.sick_share = self.late_sick / max(1, self.late)
        result.failed = 1_000.0 * self.failures / max(1, self.requests)
        result.reports = self.reports / ENTRIES / (end / 1_000.0)
        return result

    @property
    def faulty(self) -> bool:
        """Whether the fault is on by now."""
        return self.scenario.fault is not None and self.now >= self.scenario.warm_ms

    @property
    def tick_ms(self) -> float:
        """Time between two ticks; quiet services need fewer."""
        return QUIET_TICK_MS if self.scenario.rate <= QUIET_RATE else TICK_MS

    def tick(self, entry: int) -> None:
        """Let time pass at an entry."""
        self.obey(entry, self.pools[entry].handle(Ticked(), self.now))
        self.at(self.tick_ms, lambda: self.tick(entry))

    def tick_keeper(self) -> None:
        """Let time pass at the keeper."""
        assert self.keeper is not None
        self.broadcast(self.keeper.handle(Ticked(), self.now))
        self.at(self.tick_ms, self.tick_keeper)

    def arrive(self) -> None:
        """Take in a caller's request at a random entry."""
        self.at(self.random.expovariate(self.scenario.rate / 1_000.0), self.arrive)
        idempotent = self.random.random() >= NON_IDEMPOTENT_SHARE
        if self.faulty:
            self.requests += 1
        self.send(Work(self.random.randrange(ENTRIES), idempotent))

    def send(self, work: Work) -> None:
        """Send a request to the target its entry chooses."""
        pool = self.pools[work.entry]
        vm = pool.choose(self.now, work.tried, work.idempotent)
        if vm is None:
            self.failures += self.faulty
            return
        address = vm.address
        self.obey(work.entry, pool.handle(AttemptStarted(address), self.now))
        trial = address in pool.ejected
        befallen = not self.scenario.observers or work.entry in self.scenario.observers
        if self.faulty and not trial and befallen:
            self.note_regular(address)
        sent = self.now
        deliver = self.cut(work, address)
        if deliver is not None:
            self.at(deliver, lambda: self.end(work, address, Outcome.UNREACHABLE, sent))
            return
        target = self.targets[address]
        self.at(HOP_MS, lambda: self.reach(work, target, address, sent))

    def note_regular(self, address: Address) -> None:
        """Count a request that is no trial."""
        if address in self.sick:
            self.last_new = self.now
        if self.now >= self.scenario.warm_ms + self.scenario.fault_ms - SETTLED_MS:
            self.late += 1
            self.late_sick += address in self.sick

    def cut(self, work: Work, address: Address) -> float | None:
        """Return after which time a connection times out, None where the path stands."""
        match self.scenario.fault:
            case CutOff(entries) if self.faulty and address in self.sick and work.entry in entries:
                return CONNECT_TIMEOUT_MS
        return None

    def reach(self, work: Work, target: Target, address: Address, sent: float) -> None:
        """Run the request at its target, or queue it."""
        if target.busy < SLOTS:
            target.busy += 1
            self.work(work, target, address, sent)
        else:
            target.queue.append(lambda: self.work(work, target, address, sent))

    def work(self, work: Work, target: Target, address: Address, sent: float) -> None:
        """Serve a request, or fail it as the fault will have it."""
        stage = SERVICE_MS / SERVICE_SHAPE
        took = self.random.gammavariate(SERVICE_SHAPE, stage)
        failing = self.random.random() < BASE_ERRORS
        fault = self.scenario.fault if self.faulty and address in self.sick else None
        match fault:
            case Failing(share) if self.random.random() < share:
                failing, took = True, FAST_FAILURE_MS
            case Slow(factor):
                took *= factor
            case Flapping(period) if int((self.now - self.scenario.warm_ms) / period) % 2 == 0:
                failing, took = True, FAST_FAILURE_MS
            case Hanging():
                failing, took = True, DEADLINE_MS
        outcome = Outcome.FAILED if failing else Outcome.SERVED
        left = max(0.0, sent + DEADLINE_MS - self.now)
        if took >= left:
            took, outcome = left, Outcome.TIMED_OUT
        self.at(took, target.free)
        self.at(took + HOP_MS, lambda: self.end(work, address, outcome, sent))

    def end(self, work: Work, address: Address, outcome: Outcome, sent: float) -> None:
        """Bring the outcome to the entry, which may try again."""
        if outcome is not Outcome.SERVED:
            self.note_failure(work, address, outcome, sent)
        event = AttemptEnded(address, outcome, self.now - sent)
        self.obey(work.entry, self.pools[work.entry].handle(event, self.now))
        if outcome is Outcome.SERVED:
            return
        tried = work.tried | {address}
        again = work.idempotent or outcome is Outcome.UNREACHABLE
        if again and len(tried) < MOST_ATTEMPTS:
            self.send(Work(work.entry, work.idempotent, tried))
        else:
            self.failures += self.faulty

    def note_failure(self, work: Work, address: Address, outcome: Outcome, sent: float) -> None:
        """Count a failure at a sick target."""
        if address not in self.sick or sent < self.scenario.warm_ms:
            return
        if self.first_bad is None:
            self.first_bad = sent
        if not work.idempotent and outcome is not Outcome.UNREACHABLE:
            self.result.lost += 1

    def obey(self, entry: int, commands: tuple[PoolCommand, ...]) -> None:
        """Carry out what a pool asks for."""
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
                        self.at(HOP_MS, lambda report=report: self.report(report))  # type: ignore[misc]
                case Ejected(target, _):
                    self.note_ejection(entry, target)
                case OwnPathSuspected():
                    self.result.self_suspected += 1
                case Probe(target):
                    done = ProbeEnded(target, healthy=True)
                    if self.cut(Work(entry, True), target) is None:
                        self.at(PROBE_MS, lambda done=done: self.hear(entry, done))  # type: ignore[misc]

    def note_ejection(self, entry: int, target: Address) -> None:
        """Judge an ejection."""
        befallen = not self.scenario.observers or entry in self.scenario.observers
        if target not in self.sick or not self.faulty:
            self.result.healthy_ejections += 1.0 / ENTRIES
        elif not befallen:
            self.result.wide += 1

    def report(self, event: EvidenceReported) -> None:
        """Bring a report to the keeper."""
        assert self.keeper is not None
        self.broadcast(self.keeper.handle(event, self.now))

    def broadcast(self, commands: tuple[KeeperCommand, ...]) -> None:
        """Bring the keeper's decisions to all entries."""
        for command in commands:
            heard: EjectionReceived | RestorationReceived
            match command:
                case Ejection():
                    heard = EjectionReceived(command)
                case Restoration(target):
                    heard = RestorationReceived(target)
            for entry in range(ENTRIES):
                self.at(HOP_MS, lambda entry=entry, heard=heard: self.hear(entry, heard))  # type: ignore[misc]

    def hear(self, entry: int, event: EjectionReceived | RestorationReceived | ProbeEnded) -> None:
        """Bring a message to an entry."""
        self.obey(entry, self.pools[entry].handle(event, self.now))
