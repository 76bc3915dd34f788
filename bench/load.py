"""Load at its worst, replayed: ``make bench-load``.

Entries of three failure domains send requests to the targets of one service. Compared are the
product's placement, a blind choice within the failure domain, and one perfect queue for all slots
that knows what each target will do. The last line is one JSON object.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random

from bench.load_model import (
    DOMAINS,
    PATTERNS,
    TRIP_MS,
    Call,
    Kind,
    Mode,
    Pattern,
    Target,
    World,
    make_targets,
)
from cactusvane.configuration.model import Configuration, Service
from cactusvane.fleet.vm import Address
from cactusvane.outcome import Outcome
from cactusvane.placement.domain import Domain
from cactusvane.placement.messages import Demand, Observation, Place, Reading, Reject, Wait
from cactusvane.placement.retries import RetryLimit
from cactusvane.request.attempts import (
    AttemptResult,
    Attempts,
    Lost,
    NoTarget,
    ResponseReceived,
    Try,
)
from cactusvane.request.budget import Retries, RetryBudget, RetrySettings
from cactusvane.verdict import Verdict

SLOTS = 4
ENTRIES = 16
"""Entries of each failure domain."""

LENGTH_MS = 24_000.0
NOTICE_MS = 15.0
LATE_WORTH = 0.3
READING = Reading(True, 0.0, None, {})
RETRIES = RetrySettings(0.18, 1.2, paced_sheds=0, free_connects=4)
LIMIT = RetryLimit(share=0.18, extra=57.6, window_ms=10_000.0, domains=len(DOMAINS))

LOST = {
    Outcome.SHED: Verdict.NOT_RUN,
    Outcome.UNREACHABLE: Verdict.NOT_RUN,
    Outcome.TIMED_OUT: Verdict.MAY_HAVE_RUN,
}


@dataclass(slots=True)
class Tally:
    """What callers got."""

    owed: float = 0.0
    served: float = 0.0
    worth: float = 0.0
    asked: int = 0
    refused: int = 0

    def add(self, kind: Kind, took_ms: float | None) -> None:
        """Count a request that was answered after `took_ms`, or not at all."""
        self.asked += 1
        self.owed += kind.worth
        if took_ms is None:
            return
        self.served += kind.worth
        in_time = took_ms <= kind.route.latency_ms
        self.worth += kind.worth * (1.0 if in_time else LATE_WORTH)


class SharedEntry:
    """An entry that places by what its failure domain shares."""

    def __init__(self, fleet: Fleet, name: str, domain: str) -> None:
        self.fleet = fleet
        self.name = name
        self.domain = Domain(name, domain, 1, Random(name), limit=LIMIT)
        self.domain.list_targets({"s": tuple(target.vm for target in fleet.targets)}, 0.0)
        self.domain.configure(Configuration((Service("s", (), (), 1, 1, 1),)), 0.0)
        self.placement = self.domain.placements["s"]
        self.address = Address("10.0.1.1", len(fleet.entries))
        self.told = False

    def place(self, demand: Demand, tried: frozenset[Address]) -> Place | Wait | Reject:
        """Choose a target."""
        return self.placement.place(demand, tried, self.fleet.world.now)

    def started(self, name: str) -> None:
        """Note an attempt."""
        self.placement.started(name, self.fleet.world.now)
        self.announce()

    def ended(self, seen: Observation) -> None:
        """Learn from an attempt and tell the others."""
        self.placement.ended(seen, self.fleet.world.now)
        self.domain.observe(seen)
        self.announce()

    def usual_ms(self, kind: Kind) -> float | None:
        """Return what answers usually take."""
        return self.placement.work.expected(kind.route.kind, kind.route.latency_ms)

    @property
    def budget(self) -> Retries:
        """Retries that the entry may make."""
        return self.domain.retries["s"]

    def announce(self) -> None:
        """Tell the other entries soon."""
        if not self.told:
            self.told = True
            self.fleet.world.after(NOTICE_MS, self.tell)

    def tell(self) -> None:
        """Tell the other entries of the domain now."""
        self.told = False
        notice = self.domain.next_notice(READING, self.fleet.world.now)
        now = self.fleet.world.now
        for entry in self.fleet.entries:
            same = entry.domain.failure_domain == self.domain.failure_domain
            if entry is not self and same:
                entry.domain.hear(notice, self.address, now)


class BlindEntry(SharedEntry):
    """An entry that chooses any target of its failure domain and hears of nothing."""

    def __init__(self, fleet: Fleet, name: str, domain: str) -> None:
        super().__init__(fleet, name, domain)
        self.bucket = RetryBudget(RETRIES.share, RETRIES.burst)

    @property
    def budget(self) -> Retries:
        """Retries that the entry may make, apart from all others."""
        return self.bucket

    def place(self, demand: Demand, tried: frozenset[Address]) -> Place | Wait | Reject:
        """Choose at random."""
        own = self.domain.failure_domain
        near = [
            target.vm
            for target in self.fleet.targets
            if target.vm.failure_domain == own and target.vm.address not in tried
        ]
        if not near:
            return Reject("no-target", 100.0)
        vm = self.fleet.random.choice(near)
        inputs = self.placement.inputs(self.placement.targets[vm.name], 1.0, 0.0)
        return Place(vm.name, vm.address, inputs)

    def announce(self) -> None:
        """Tell nobody."""

    def usual_ms(self, kind: Kind) -> float | None:
        """Return None: nothing is learned."""
        return None


class Journey:
    """One request on its way."""

    def __init__(self, fleet: Fleet, entry: SharedEntry, kind: Kind, work_ms: float) -> None:
        self.fleet = fleet
        self.world = fleet.world
        self.entry = entry
        self.kind = kind
        self.work_ms = work_ms
        self.arrived = self.world.now
        route = kind.route
        budget = entry.budget
        usual = entry.usual_ms(kind)
        self.attempts = Attempts(route, route.deadline_ms, budget, self.arrived, RETRIES, usual)
        self.demand = Demand(
            route.kind,
            route.priority,
            route.idempotent,
            self.arrived,
            self.attempts.deadline,
            route.latency_ms,
        )
        self.tried: frozenset[Address] = frozenset()

    def begin(self) -> None:
        """Send the first attempt."""
        self.go_on(self.attempts.first(self.world.now))

    def go_on(self, command: object) -> None:
        """Do what the attempts say."""
        if isinstance(command, Try):
            self.choose(command)
        else:
            self.fleet.tally.add(self.kind, None)

    def choose(self, command: Try) -> None:
        """Choose a target, or wait for room."""
        decision = self.entry.place(self.demand, self.tried)
        match decision:
            case Place(name, address):
                self.send(command, name, address)
            case Wait():
                self.world.after(10.0, lambda: self.choose(command))
            case Reject():
                self.fleet.tally.refused += 1
                self.go_on(self.attempts.ended(NoTarget(), self.world.now))

    def send(self, command: Try, name: str, address: Address) -> None:
        """Send the request to a target and bound the wait."""
        self.tried |= {address}
        self.entry.started(name)
        sent = self.world.now

        def ended(outcome: Outcome) -> None:
            call.cancelled = True
            latency = self.world.now - sent
            self.entry.ended(Observation(name, self.kind.route.kind, outcome, latency))
            self.took(outcome)

        call = Call(self.work_ms, ended)
        target = self.fleet.by_name[name]
        self.world.after(TRIP_MS, lambda: target.take(call))

        def time_out() -> None:
            if not call.cancelled:
                ended(Outcome.TIMED_OUT)

        self.world.after(max(0.0, command.timeout_ms), time_out)

    def took(self, outcome: Outcome) -> None:
        """Take in how an attempt ended."""
        now = self.world.now
        if outcome is Outcome.SERVED:
            self.fleet.tally.add(self.kind, now - self.arrived)
            return
        failed = outcome is Outcome.FAILED
        result: AttemptResult = ResponseReceived(500) if failed else Lost(outcome, LOST[outcome])
        self.go_on(self.attempts.ended(result, now))


@dataclass(slots=True)
class Fleet:
    """All entries and targets of one run."""

    world: World
    random: Random
    targets: list[Target]
    entries: list[SharedEntry] = field(default_factory=list)
    by_name: dict[str, Target] = field(default_factory=dict)
    tally: Tally = field(default_factory=Tally)


MakeEntry = Callable[[Fleet, str, str], SharedEntry]


def arrivals(pattern: Pattern, random: Random) -> list[tuple[float, Kind, float]]:
    """Return the requests of a run: when, of which kind, and with how much work."""
    shares = [kind.share for kind in pattern.kinds]
    mean = sum(kind.work_ms * kind.share for kind in pattern.kinds) / sum(shares)
    found = []
    now = 0.0
    while now < LENGTH_MS:
        rate = pattern.load(now) * pattern.targets * SLOTS / mean
        now += random.expovariate(rate)
        (kind,) = random.choices(pattern.kinds, shares)
        found.append((now, kind, kind.work_ms * random.lognormvariate(-0.18, 0.6)))
    return found


def play(pattern: Pattern, seed: int, make: MakeEntry) -> Tally:
    """Play a pattern with one kind of entries."""
    world = World()
    random = Random(seed)
    work = arrivals(pattern, random)
    fleet = Fleet(world, random, make_targets(world, pattern, random, SLOTS))
    fleet.by_name = {target.vm.name: target for target in fleet.targets}
    for domain in DOMAINS:
        for number in range(ENTRIES):
            entry = make(fleet, f"{domain}{number}", domain)
            fleet.entries.append(entry)

    def arrive(kind: Kind, work_ms: float) -> None:
        Journey(fleet, random.choice(fleet.entries), kind, work_ms).begin()

    for at, kind, work_ms in work:
        world.after(at, lambda kind=kind, work_ms=work_ms: arrive(kind, work_ms))  # type: ignore[misc]
    world.run()
    return fleet.tally


def play_perfect(pattern: Pattern, seed: int) -> Tally:
    """Play a pattern with one queue for all slots, which knows what targets will do."""
    world = World()
    random = Random(seed)
    tally = Tally()
    waiting: list[tuple[int, float, int, Kind, float, float]] = []
    busy = [0] * pattern.targets
    order = count()

    def free_target() -> int | None:
        """Return a target with a free slot that is not bad now."""
        for number in range(pattern.targets):
            mode: Mode = pattern.modes(number, world.now)
            good = not mode.dark and mode.fails < 0.5 and mode.factor < 2.0
            if good and busy[number] < SLOTS:
                return number
        return None

    def serve() -> None:
        while waiting:
            number = free_target()
            if number is None:
                return
            waiting.sort()
            _, arrived, _, kind, work_ms, deadline = waiting.pop(0)
            if world.now + work_ms > deadline:
                tally.add(kind, None)
                continue
            busy[number] += 1
            world.after(work_ms, lambda n=number, k=kind, a=arrived: end(n, k, a))  # type: ignore[misc]

    def end(number: int, kind: Kind, arrived: float) -> None:
        busy[number] -= 1
        tally.add(kind, world.now - arrived)
        serve()

    def arrive(kind: Kind, work_ms: float) -> None:
        route = kind.route
        deadline = world.now + route.latency_ms
        waiting.append((route.priority, world.now, next(order), kind, work_ms, deadline))
        serve()

    for at, kind, work_ms in arrivals(pattern, random):
        world.after(at, lambda kind=kind, work_ms=work_ms: arrive(kind, work_ms))  # type: ignore[misc]
    world.run()
    return tally


SEEDS = (1, 2)


def share(tallies: list[Tally]) -> float:
    """Return the share of worth that callers got."""
    return sum(tally.worth for tally in tallies) / sum(tally.owed for tally in tallies)


def main() -> None:
    """Play all patterns and print the table."""
    result: dict[str, dict[str, float]] = {}
    print(f"{'pattern':16} {'served':>8} {'perfect':>8} {'blind':>8}")
    for pattern in PATTERNS:
        shared = share([play(pattern, seed, SharedEntry) for seed in SEEDS])
        blind = share([play(pattern, seed, BlindEntry) for seed in SEEDS])
        perfect = share([play_perfect(pattern, seed) for seed in SEEDS])
        row = {"served": shared, "perfect": perfect, "blind": blind}
        result[pattern.name] = {name: round(value, 4) for name, value in row.items()}
        print(f"{pattern.name:16} {shared:8.3f} {perfect:8.3f} {blind:8.3f}", flush=True)
    print(json.dumps({"patterns": result}))


if __name__ == "__main__":
    main()
