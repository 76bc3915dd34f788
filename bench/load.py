"""Simulate difficult load patterns: ``make bench-load``.

Entries of three failure domains send requests to the targets of one service. The bench compares
the placement of `cactusvane.placement`, the same with reports of free slots between the failure
domains, and with one of them cut off from these, a random choice within the failure domain, and a
perfect queue for all slots that knows the work of each request and the state of each target. The
last line of the output is one JSON object.
"""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from random import Random

from bench.load_model import (
    DOMAINS,
    LENGTH_MS,
    NETWORK_DELAY_MS,
    NO_CUSTOMER,
    PATTERNS,
    SWINGS,
    Call,
    CustomerLoad,
    Kind,
    Mode,
    Pattern,
    Simulator,
    Target,
    make_targets,
)
from cactusvane.configuration.model import Configuration, Customer, Service
from cactusvane.fleet.vm import Address
from cactusvane.outcome import Outcome
from cactusvane.placement.domain import Domain
from cactusvane.placement.group_reports import REPORT_INTERVAL_MS
from cactusvane.placement.messages import (
    DomainReport,
    Observation,
    Place,
    Reject,
    RequestProfile,
    StoreStatus,
    Wait,
)
from cactusvane.placement.retries import RetryLimit
from cactusvane.placement.settings import PlacementSettings
from cactusvane.placement.work import RunningWork
from cactusvane.request.attempts import (
    AttemptFailed,
    AttemptResult,
    Attempts,
    NoTarget,
    ResponseReceived,
    SendAttempt,
)
from cactusvane.request.budget import RetryBudget, RetryLimiter, RetrySettings
from cactusvane.verdict import Verdict

SERVICE = Service("s", (), (), 1, 1, 1)
ENTRIES = 16
"""Number of entries in each failure domain."""

UPDATE_DELAY_MS = 15.0
"""Time from a change at an entry until its state update is sent."""

LATE_WORTH_SHARE = 0.3
"""Share of its worth that a request has if it is served after its latency objective."""

REPORT_DELAY_MS = 60.0
REPORT_LOSS_SHARE = 0.1
"""Time until a report of another failure domain arrives, and the share of those that do not."""

CUT_OFF_DOMAIN = DOMAINS[0]
CUT_OFF_FROM_MS = 4_000.0
CUT_OFF_UNTIL_MS = 18_000.0
"""Which failure domain exchanges no reports with the others in `CutOffEntry`, and when."""

STORE_STATUS = StoreStatus(True, 0.0, None, {})
RETRIES = RetrySettings(0.18, 1.2, paced_sheds=0, free_connects=4)
LIMIT = RetryLimit(share=0.18, extra=57.6, window_ms=10_000.0, domains=len(DOMAINS))

VERDICT_WITHOUT_RESPONSE = {
    Outcome.SHED: Verdict.NOT_RUN,
    Outcome.UNREACHABLE: Verdict.NOT_RUN,
    Outcome.TIMED_OUT: Verdict.MAY_HAVE_RUN,
}


@dataclass(slots=True)
class CustomerTally:
    """Numbers of one customer's requests, and of those that were served."""

    requests: int = 0
    served: int = 0

    @property
    def served_share(self) -> float:
        """Share of the requests that were served."""
        return self.served / self.requests


@dataclass(slots=True)
class Tally:
    """Totals of what callers requested and received, in numbers and in worth (`Kind.worth`).

    `took_ms` is the sum of the times of all `responses`.
    """

    offered: float = 0.0
    served: float = 0.0
    worth: float = 0.0
    requests: int = 0
    rejected: int = 0
    responses: int = 0
    took_ms: float = 0.0
    by_customer: dict[str, CustomerTally] = field(default_factory=dict)

    @property
    def mean_ms(self) -> float:
        """Mean time of the responses in milliseconds."""
        return self.took_ms / self.responses

    def add(self, kind: Kind, took_ms: float | None, customer: str = "") -> None:
        """Count a request served after `took_ms` milliseconds, or not served if it is None."""
        by_customer = self.by_customer.setdefault(customer, CustomerTally())
        by_customer.requests += 1
        by_customer.served += took_ms is not None
        self.requests += 1
        self.offered += kind.worth
        if took_ms is None:
            return
        self.responses += 1
        self.took_ms += took_ms
        self.served += kind.worth
        in_time = took_ms <= kind.route.latency_ms
        self.worth += kind.worth * (1.0 if in_time else LATE_WORTH_SHARE)


class SharedEntry:
    """An entry that places requests by the state that its failure domain shares."""

    settings = PlacementSettings()

    def __init__(self, fleet: Fleet, name: str, domain: str) -> None:
        self.fleet = fleet
        self.name = name
        self.domain = Domain(name, domain, 1, Random(name), self.settings, limit=LIMIT)
        self.domain.set_targets({"s": tuple(target.vm for target in fleet.targets)}, 0.0)
        self.domain.configure(fleet.configuration, 0.0)
        self.placement = self.domain.placements["s"]
        self.address = Address("10.0.1.1", len(fleet.entries))
        self.update_scheduled = False

    def place(self, profile: RequestProfile, tried: frozenset[Address]) -> Place | Wait | Reject:
        """Choose a target."""
        return self.placement.place(profile, tried, self.fleet.simulator.now)

    def record_start(self, place: Place, profile: RequestProfile) -> RunningWork | None:
        """Record the start of an attempt."""
        now = self.fleet.simulator.now
        self.schedule_update()
        return self.placement.record_start(place.name, now, profile, place.inputs.wait_ms)

    def record_end(self, observation: Observation, running: RunningWork | None) -> None:
        """Record the end of an attempt and schedule a state update."""
        now = self.fleet.simulator.now
        self.domain.observe(self.placement.record_end(observation, now, running))
        self.schedule_update()

    def expected_latency_ms(self, kind: Kind) -> float | None:
        """Return the expected latency of a kind in milliseconds; None if it is unknown."""
        return self.placement.latencies.expected_ms(kind.route.kind, kind.route.latency_ms)

    @property
    def budget(self) -> RetryLimiter:
        """Limiter of the entry's retries, with usage shared in its failure domain."""
        return self.domain.retries["s"]

    def schedule_update(self) -> None:
        """Schedule a state update to the other entries unless one is scheduled."""
        if not self.update_scheduled:
            self.update_scheduled = True
            self.fleet.simulator.after(UPDATE_DELAY_MS, self.send_update)

    def send_update(self) -> None:
        """Send a state update to the other entries of the failure domain."""
        self.update_scheduled = False
        update = self.domain.next_update(STORE_STATUS, self.fleet.simulator.now)
        now = self.fleet.simulator.now
        for entry in self.fleet.entries:
            same_domain = entry.domain.failure_domain == self.domain.failure_domain
            if entry is not self and same_domain:
                entry.domain.receive(update, self.address, now)


class WorkEntry(SharedEntry):
    """The same by the expected work of each request."""

    settings = PlacementSettings(expected_work=True)


class LeastRequestsEntry(SharedEntry):
    """An entry that chooses the target of its failure domain with the fewest requests in flight."""

    def place(self, profile: RequestProfile, tried: frozenset[Address]) -> Place | Wait | Reject:
        """Choose the target with the fewest requests, a random one among equals."""
        own = self.domain.failure_domain
        local = [
            target
            for target in self.placement.targets.values()
            if target.vm.failure_domain == own and target.vm.address not in tried
        ]
        if not local:
            return Reject("no-target", 100.0)
        random = self.fleet.random
        best = min(local, key=lambda target: (target.load / target.slots, random.random()))
        inputs = self.placement.inputs(best, 1.0, self.fleet.simulator.now)
        return Place(best.vm.name, best.vm.address, inputs)


class UnfairEntry(SharedEntry):
    """An entry that knows the customers and their priorities, and does not share fairly."""

    def __init__(self, fleet: Fleet, name: str, domain: str) -> None:
        super().__init__(fleet, name, domain)
        self.placement.shares = None


class RoomEntry(SharedEntry):
    """An entry whose failure domain exchanges reports on free capacity with the others."""

    settings = PlacementSettings(share_room=True)

    def __init__(self, fleet: Fleet, name: str, domain: str) -> None:
        super().__init__(fleet, name, domain)
        self.reports_sent = 0
        self.losses = Random(f"losses of {name}")
        if name == f"{domain}0":
            fleet.simulator.after(0.0, self.send_report)

    def send_report(self) -> None:
        """Send a report to the entries of each other failure domain, and schedule the next one."""
        now = self.fleet.simulator.now
        if now > LENGTH_MS:
            return
        self.fleet.simulator.after(REPORT_INTERVAL_MS, self.send_report)
        assert self.domain.rooms is not None
        self.reports_sent += 1
        own = self.domain.failure_domain
        report = self.domain.rooms.fill(DomainReport(self.name, own, 0, self.reports_sent, 1), now)
        for domain in DOMAINS:
            if domain != own and not self.is_lost(domain, now):
                self.fleet.simulator.after(
                    REPORT_DELAY_MS, lambda domain=domain: self.deliver(report, domain)  # type: ignore[misc]
                )

    def is_lost(self, domain: str, now: float) -> bool:
        """Return whether a report to a failure domain is lost."""
        return self.losses.random() < REPORT_LOSS_SHARE

    def deliver(self, report: DomainReport, domain: str) -> None:
        """Pass a report to all entries of a failure domain."""
        for entry in self.fleet.entries:
            if entry.domain.failure_domain == domain and entry.domain.rooms is not None:
                entry.domain.rooms.receive(report, self.fleet.simulator.now)


class CutOffEntry(RoomEntry):
    """The same, but no report from or to one of the failure domains arrives for some time."""

    def is_lost(self, domain: str, now: float) -> bool:
        """Return whether a report to a failure domain is lost."""
        is_cut = CUT_OFF_DOMAIN in (domain, self.domain.failure_domain)
        in_time = CUT_OFF_FROM_MS <= now < CUT_OFF_UNTIL_MS
        return (is_cut and in_time) or super().is_lost(domain, now)


class BlindEntry(SharedEntry):
    """An entry that chooses a random target of its failure domain and shares no state."""

    def __init__(self, fleet: Fleet, name: str, domain: str) -> None:
        super().__init__(fleet, name, domain)
        self.bucket = RetryBudget(RETRIES.share, RETRIES.burst)

    @property
    def budget(self) -> RetryLimiter:
        """Retry budget of this entry alone."""
        return self.bucket

    def place(self, profile: RequestProfile, tried: frozenset[Address]) -> Place | Wait | Reject:
        """Choose at random among the targets of the failure domain that were not tried yet."""
        own = self.domain.failure_domain
        local = [
            target.vm
            for target in self.fleet.targets
            if target.vm.failure_domain == own and target.vm.address not in tried
        ]
        if not local:
            return Reject("no-target", 100.0)
        vm = self.fleet.random.choice(local)
        inputs = self.placement.inputs(self.placement.targets[vm.name], 1.0, 0.0)
        return Place(vm.name, vm.address, inputs)

    def schedule_update(self) -> None:
        """Do nothing: no state is shared."""

    def expected_latency_ms(self, kind: Kind) -> float | None:
        """Return None: latencies are not used."""
        return None


class SimulatedRequest:
    """One request of a caller, with its attempts."""

    def __init__(
        self,
        fleet: Fleet,
        entry: SharedEntry,
        kind: Kind,
        work_ms: float,
        customer: CustomerLoad = NO_CUSTOMER,
    ) -> None:
        self.customer = customer
        self.fleet = fleet
        self.simulator = fleet.simulator
        self.entry = entry
        self.kind = kind
        self.work_ms = work_ms
        self.arrived = self.simulator.now
        route = kind.route
        budget = entry.budget
        expected_latency_ms = entry.expected_latency_ms(kind)
        self.attempts = Attempts(
            route, route.deadline_ms, budget, self.arrived, RETRIES, expected_latency_ms
        )
        self.profile = RequestProfile(
            route.kind,
            route.priority,
            route.idempotent,
            self.arrived,
            self.attempts.deadline,
            route.latency_ms,
            customer.name or kind.customer,
            customer.priority,
            kind.features,
        )
        self.tried: frozenset[Address] = frozenset()

    def start(self) -> None:
        """Send the first attempt."""
        self.execute(self.attempts.first(self.simulator.now))

    def execute(self, command: object) -> None:
        """Execute a command of the attempts; all but `SendAttempt` end the request unserved."""
        if isinstance(command, SendAttempt):
            self.choose(command)
        else:
            self.fleet.tally.add(self.kind, None, self.customer.name)

    def choose(self, command: SendAttempt) -> None:
        """Choose a target, or wait for a free slot."""
        decision = self.entry.place(self.profile, self.tried)
        match decision:
            case Place():
                self.send(command, decision)
            case Wait():
                self.simulator.after(10.0, lambda: self.choose(command))
            case Reject():
                self.fleet.tally.rejected += 1
                self.execute(self.attempts.after_attempt(NoTarget(), self.simulator.now))

    def send(self, command: SendAttempt, place: Place) -> None:
        """Send the request to a target, with a timeout."""
        name = place.name
        self.tried |= {place.address}
        running = self.entry.record_start(place, self.profile)
        work = self.entry.placement.start_work(self.profile)
        sent = self.simulator.now

        def end_attempt(outcome: Outcome) -> None:
            call.cancelled = True
            if work is not None:
                work.end()
            latency = self.simulator.now - sent
            observation = Observation(name, self.kind.route.kind, outcome, latency)
            self.entry.record_end(observation, running)
            self.handle_outcome(outcome)

        call = Call(self.work_ms, end_attempt)
        target = self.fleet.by_name[name]
        self.simulator.after(NETWORK_DELAY_MS, lambda: target.receive(call))

        def time_out() -> None:
            if not call.cancelled:
                end_attempt(Outcome.TIMED_OUT)

        self.simulator.after(max(0.0, command.timeout_ms), time_out)

    def handle_outcome(self, outcome: Outcome) -> None:
        """Handle the outcome of an attempt."""
        now = self.simulator.now
        if outcome is Outcome.SERVED:
            self.fleet.tally.add(self.kind, now - self.arrived, self.customer.name)
            return
        failed = outcome is Outcome.FAILED
        result: AttemptResult = (
            ResponseReceived(500)
            if failed
            else AttemptFailed(outcome, VERDICT_WITHOUT_RESPONSE[outcome])
        )
        self.execute(self.attempts.after_attempt(result, now))


@dataclass(slots=True)
class Fleet:
    """All entries and targets of one run."""

    simulator: Simulator
    random: Random
    targets: list[Target]
    configuration: Configuration = Configuration((SERVICE,))
    entries: list[SharedEntry] = field(default_factory=list)
    by_name: dict[str, Target] = field(default_factory=dict)
    tally: Tally = field(default_factory=Tally)


MakeEntry = Callable[[Fleet, str, str], SharedEntry]


def configure(pattern: Pattern) -> Configuration:
    """Return the configuration of a pattern."""
    customers = tuple(Customer(each.name, (), priority=each.priority) for each in pattern.customers)
    return Configuration((SERVICE,), customers=customers)


def arrivals(pattern: Pattern, random: Random) -> list[tuple[float, Kind, float, CustomerLoad]]:
    """Return the requests of a run: arrival and work in milliseconds, kind, customer."""
    loads = [each.load for each in pattern.customers]
    shares = [kind.share for kind in pattern.kinds]
    mean = sum(kind.work_ms * kind.share for kind in pattern.kinds) / sum(shares)
    found = []
    now = 0.0
    while now < pattern.length_ms:
        rate = pattern.load(now) * pattern.targets * pattern.slots / mean
        now += random.expovariate(rate)
        (kind,) = random.choices(pattern.kinds, shares)
        work_ms = pattern.work_ms(kind, now, random)
        customer = random.choices(pattern.customers, loads)[0] if loads else NO_CUSTOMER
        found.append((now, kind, work_ms, customer))
    return found


def choose_entry(pattern: Pattern, fleet: Fleet) -> SharedEntry:
    """Return the entry that receives the next request."""
    weights = pattern.domain_weights(fleet.simulator.now)
    if len(set(weights)) == 1:
        return fleet.random.choice(fleet.entries)
    (domain,) = fleet.random.choices(DOMAINS, weights)
    return fleet.random.choice(
        [entry for entry in fleet.entries if entry.domain.failure_domain == domain]
    )


def run_pattern(pattern: Pattern, seed: int, make: MakeEntry) -> Tally:
    """Simulate a pattern with entries made by `make`."""
    simulator = Simulator()
    random = Random(seed)
    work = arrivals(pattern, random)
    targets = make_targets(simulator, pattern, random)
    fleet = Fleet(simulator, random, targets, configure(pattern))
    fleet.by_name = {target.vm.name: target for target in fleet.targets}
    for domain in DOMAINS:
        for number in range(ENTRIES):
            entry = make(fleet, f"{domain}{number}", domain)
            fleet.entries.append(entry)

    def arrive(kind: Kind, work_ms: float, customer: CustomerLoad) -> None:
        entry = choose_entry(pattern, fleet)
        SimulatedRequest(fleet, entry, kind, work_ms, customer).start()

    for at, kind, work_ms, customer in work:
        simulator.after(at, partial(arrive, kind, work_ms, customer))
    simulator.run()
    return fleet.tally


def run_perfect_queue(pattern: Pattern, seed: int) -> Tally:
    """Simulate a pattern with one queue for all slots.

    The queue knows the work of each request and the mode of each target.
    """
    simulator = Simulator()
    random = Random(seed)
    tally = Tally()
    waiting: list[tuple[int, float, int, Kind, float, float]] = []
    busy = [0] * pattern.targets
    order = count()

    def free_target() -> int | None:
        """Return the number of a healthy target with a free slot; None if there is none."""
        for number in range(pattern.targets):
            mode: Mode = pattern.modes(number, simulator.now)
            good = not mode.unreachable and mode.fail_share < 0.5 and mode.factor < 2.0
            if good and busy[number] < pattern.slots:
                return number
        return None

    def serve() -> None:
        while waiting:
            number = free_target()
            if number is None:
                return
            waiting.sort()
            _, arrived, _, kind, work_ms, deadline = waiting.pop(0)
            if simulator.now + work_ms > deadline:
                tally.add(kind, None)
                continue
            busy[number] += 1
            simulator.after(work_ms, lambda n=number, k=kind, a=arrived: end(n, k, a))  # type: ignore[misc]

    def end(number: int, kind: Kind, arrived: float) -> None:
        busy[number] -= 1
        tally.add(kind, simulator.now - arrived)
        serve()

    def arrive(kind: Kind, work_ms: float) -> None:
        route = kind.route
        deadline = simulator.now + route.latency_ms
        waiting.append((route.priority, simulator.now, next(order), kind, work_ms, deadline))
        serve()

    for at, kind, work_ms, _ in arrivals(pattern, random):
        simulator.after(at, lambda kind=kind, work_ms=work_ms: arrive(kind, work_ms))  # type: ignore[misc]
    simulator.run()
    return tally


def run_fair_queue(pattern: Pattern, seed: int) -> Tally:
    """Simulate a pattern with one queue for all slots of healthy targets, shared fairly.

    The queue knows the work of each request. A free slot goes to the customer of the highest
    priority, then to the one with the least work in flight.
    """
    simulator = Simulator()
    random = Random(seed)
    tally = Tally()
    waiting: list[tuple[float, int, Kind, float, CustomerLoad]] = []
    in_flight_ms: defaultdict[str, float] = defaultdict(float)
    free = pattern.targets * pattern.slots
    order = count()

    def serve() -> None:
        nonlocal free
        while waiting and free:
            best = min(
                waiting,
                key=lambda each: (each[4].priority, in_flight_ms[each[4].name], each[0], each[1]),
            )
            waiting.remove(best)
            arrived, _, kind, work_ms, customer = best
            if simulator.now + work_ms > arrived + kind.route.latency_ms:
                tally.add(kind, None, customer.name)
                continue
            free -= 1
            in_flight_ms[customer.name] += work_ms
            simulator.after(work_ms, partial(end, arrived, kind, work_ms, customer))

    def end(arrived: float, kind: Kind, work_ms: float, customer: CustomerLoad) -> None:
        nonlocal free
        free += 1
        in_flight_ms[customer.name] -= work_ms
        tally.add(kind, simulator.now - arrived, customer.name)
        serve()

    def arrive(kind: Kind, work_ms: float, customer: CustomerLoad) -> None:
        waiting.append((simulator.now, next(order), kind, work_ms, customer))
        serve()

    for at, kind, work_ms, customer in arrivals(pattern, random):
        simulator.after(at, partial(arrive, kind, work_ms, customer))
    simulator.run()
    return tally


SEEDS = (1, 2)

ENTRIES_BY_COLUMN: dict[str, MakeEntry] = {
    "served": SharedEntry,
    "room": RoomEntry,
    "cut_off": CutOffEntry,
}


def worth_share(tallies: list[Tally]) -> float:
    """Return the worth of the served requests as a share of the worth of all requests."""
    return sum(tally.worth for tally in tallies) / sum(tally.offered for tally in tallies)


def main() -> None:
    """Simulate all patterns and print the table, followed by the JSON line."""
    result: dict[str, dict[str, float]] = {}
    print(f"{'pattern':18} {'served':>8} {'room':>8} {'cut off':>8} {'perfect':>8} {'blind':>8}")
    for pattern in (*PATTERNS, *SWINGS):
        row = {
            name: worth_share([run_pattern(pattern, seed, make) for seed in SEEDS])
            for name, make in ENTRIES_BY_COLUMN.items()
        }
        row["perfect"] = worth_share([run_perfect_queue(pattern, seed) for seed in SEEDS])
        row["blind"] = worth_share([run_pattern(pattern, seed, BlindEntry) for seed in SEEDS])
        result[pattern.name] = {name: round(value, 4) for name, value in row.items()}
        figures = " ".join(f"{value:8.3f}" for value in row.values())
        print(f"{pattern.name:18} {figures}", flush=True)
    print(json.dumps({"patterns": result}))


if __name__ == "__main__":
    main()
