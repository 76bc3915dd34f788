"""Slots under load on a virtual clock: ways to share them, keepers that fail, and overload.

``python -m bench.slots`` prints a table and, last, one JSON line. The code that decides is the
daemon's own; arrivals are Poisson, service times exponential.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from math import factorial
from multiprocessing import Pool as Processes
from random import Random
from statistics import fmean, median
from typing import Protocol

import msgspec

from cactusvane.fleet.vm import Address, Vm
from cactusvane.outcome import Outcome
from cactusvane.slots.entry import EntrySlots
from cactusvane.slots.keeper import SlotKeeper
from cactusvane.slots.messages import (
    Arrived,
    CreditRequest,
    CreditRequestReceived,
    CreditResponse,
    Dispatch,
    Ended,
    EntryCommand,
    EntryEvent,
    FleetSizeChanged,
    KeeperChanged,
    Reject,
    SendCredits,
    TargetsInUse,
    Ticked,
)
from cactusvane.slots.settings import SlotSettings

DOMAINS = ("Gobabis", "Witvlei", "Leonardville")
ENTRIES = 48
SLOTS = 4
SERVICE_MS = 25.0
NEAR_MS = 0.1
FAR_MS = 1.0
DEADLINE_MS = 500.0
TICK_MS = 2.0
SEEDS = range(20)
PROCESSES = 2
BLIND_TRIES = 3
JITTER = 0.25


class Sharing(Protocol):
    """A way to share slots, seen from one entry."""

    def handle(self, event: EntryEvent, now: float) -> tuple[EntryCommand, ...]:
        """Take in one event."""


class Blind:
    """Sends at once to a random target, and again after a shed, a few times."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.targets: tuple[Vm, ...] = ()
        self.tries: dict[int, int] = {}

    def handle(self, event: EntryEvent, now: float) -> tuple[EntryCommand, ...]:
        """Take in one event."""
        match event:
            case TargetsInUse(targets):
                self.targets = targets
            case Arrived(request):
                return self.send(request)
            case Ended(request, Outcome.SHED, _):
                return self.send(request)
            case Ended(request):
                self.tries.pop(request)
        return ()

    def send(self, request: int) -> tuple[EntryCommand, ...]:
        """Send to a random target while there are tries left."""
        tries = self.tries.get(request, 0)
        if tries == BLIND_TRIES:
            del self.tries[request]
            return (Reject(request),)
        self.tries[request] = tries + 1
        return (Dispatch(request, self.random.choice(self.targets).address),)


@dataclass(frozen=True, slots=True)
class Scenario:
    """One run but for its seed.

    Parameters
    ----------
    policy
        ``blind``, ``shares``, ``credits``, ``mix`` or ``mix-far`` (no failure domain is near).
    targets
        Targets of 4 slots each.
    busy
        Offered work against all slots.
    seconds
        Length of the run.
    keeper
        ``well``, ``late``, ``killed``, ``frozen`` or ``doubled``.
    then
        Offered work in a second half of the same length; 0 for none.
    """

    policy: str
    targets: int
    busy: float
    seconds: float = 6.0
    keeper: str = "well"
    then: float = 0.0


@dataclass(slots=True)
class Tally:
    """What one run counted."""

    waits: list[float] = field(default_factory=list)
    arrived: int = 0
    served: int = 0
    in_time: int = 0
    refused: int = 0
    sheds: int = 0
    messages: int = 0
    by_entry: dict[int, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Figures:
    """Figures of one run; waits in milliseconds, the others as shares or per request."""

    mean_wait: float
    p99_wait: float
    sheds: float
    refused: float
    goodput: float
    messages: float
    fairness: float


@dataclass(slots=True)
class Request:
    """One request on its way."""

    id: int
    entry: int
    arrived_ms: float


@dataclass(slots=True)
class Server:
    """A target: so many slots, one more request is shed."""

    vm: Vm
    busy: int = 0


class Run:
    """One scenario under one seed."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.random = Random(seed)
        self.now = 0.0
        self.order = count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.tally = Tally()
        self.requests: dict[int, Request] = {}
        self.ids = count(1)
        vms = tuple(
            Vm(f"t{n}", Address("10.0.1.1", n), DOMAINS[n % 3]) for n in range(scenario.targets)
        )
        self.servers = {vm.address: Server(vm) for vm in vms}
        self.entries = [self.make_entry(n) for n in range(ENTRIES)]
        self.ticking = [False] * ENTRIES
        self.keepers = [SlotKeeper(SLOTS) for _ in range(2 if self.doubled else 1)]
        for keeper in self.keepers:
            keeper.handle(TargetsInUse(vms), 0.0)
        for entry in self.entries:
            entry.handle(TargetsInUse(vms), 0.0)
            entry.handle(FleetSizeChanged(ENTRIES), 0.0)
            entry.handle(KeeperChanged(self.reachable), 0.0)

    @property
    def doubled(self) -> bool:
        """Whether two keepers serve the same cell."""
        return self.scenario.keeper == "doubled"

    @property
    def reachable(self) -> bool:
        """Whether entries see a keeper."""
        return self.scenario.policy != "shares" and self.scenario.keeper != "killed"

    def make_entry(self, number: int) -> Sharing:
        """Return the deciding code of one entry."""
        random = Random(self.random.random())
        domain = DOMAINS[number % 3]
        match self.scenario.policy:
            case "blind":
                return Blind(random)
            case "mix":
                return EntrySlots(domain, SLOTS, random)
            case "mix-far":
                return EntrySlots("", SLOTS, random)
            case _:
                return EntrySlots(domain, SLOTS, random, SlotSettings(busy_share=0.0))

    def at(self, delay: float, act: Callable[[], None]) -> None:
        """Do something after a delay in milliseconds."""
        heapq.heappush(self.events, (self.now + delay, next(self.order), act))

    def delay(self, entry: int, domain: str) -> float:
        """Return the time one way between an entry and a failure domain."""
        base = NEAR_MS if DOMAINS[entry % 3] == domain else FAR_MS
        return base * self.random.uniform(1.0 - JITTER, 1.0 + JITTER)

    def offered(self) -> float:
        """Return the arrivals in a millisecond at this moment."""
        half = self.scenario.seconds * 1_000.0
        busy = self.scenario.then if self.now >= half else self.scenario.busy
        return busy * self.scenario.targets * SLOTS / SERVICE_MS

    def run(self) -> Figures:
        """Run to the end and return the figures of the last part."""
        length = self.scenario.seconds * (2_000.0 if self.scenario.then else 1_000.0)
        start = length - 0.75 * self.scenario.seconds * 1_000.0
        self.at(start, self.restart)
        self.at(0.0, self.arrive)
        if self.reachable and self.scenario.policy != "blind":
            for keeper in range(len(self.keepers)):
                self.at(TICK_MS, lambda keeper=keeper: self.tick_keeper(keeper))  # type: ignore[misc]
        while self.events[0][0] < length:
            self.now, _, act = heapq.heappop(self.events)
            act()
        return self.figures(length - start)

    def restart(self) -> None:
        """Start to count."""
        self.tally = Tally()

    def figures(self, ms: float) -> Figures:
        """Return the figures of what was counted over `ms`."""
        tally = self.tally
        waits = sorted(tally.waits)
        capacity = self.scenario.targets * SLOTS * ms / SERVICE_MS
        busy = self.scenario.then or self.scenario.busy
        served = [tally.by_entry.get(n, 0) for n in range(ENTRIES)]
        return Figures(
            mean_wait=fmean(waits),
            p99_wait=waits[int(0.99 * len(waits))],
            sheds=tally.sheds / tally.arrived,
            refused=tally.refused / tally.arrived,
            goodput=tally.in_time / (capacity * min(1.0, busy)),
            messages=tally.messages / tally.arrived,
            fairness=sum(served) ** 2 / (ENTRIES * sum(each * each for each in served)),
        )

    def arrive(self) -> None:
        """Let a caller's request come in at a random entry."""
        self.at(self.random.expovariate(self.offered()), self.arrive)
        entry = self.random.randrange(ENTRIES)
        request = Request(next(self.ids), entry, self.now)
        self.requests[request.id] = request
        self.tally.arrived += 1
        self.give(entry, Arrived(request.id, self.now + DEADLINE_MS))

    def give(self, number: int, event: EntryEvent) -> None:
        """Give an event to an entry and carry out its commands."""
        entry = self.entries[number]
        for command in entry.handle(event, self.now):
            match command:
                case Dispatch(id, target):
                    self.dispatch(self.requests[id], self.servers[target])
                case Reject(id):
                    del self.requests[id]
                    self.tally.refused += 1
                case CreditRequest():
                    self.ask(number, command)
        if not isinstance(entry, EntrySlots) or self.ticking[number]:
            return
        if entry.queue or entry.awaited_sequence > entry.answered_sequence:
            self.ticking[number] = True
            self.at(TICK_MS, lambda: self.tick(number))

    def tick(self, number: int) -> None:
        """Let time pass at an entry that waits for something."""
        self.ticking[number] = False
        self.give(number, Ticked())

    def dispatch(self, request: Request, server: Server) -> None:
        """Carry a request to a target."""
        delay = self.delay(request.entry, server.vm.failure_domain)
        sent = self.now
        self.at(delay, lambda: self.begin(request, server, sent, delay))

    def begin(self, request: Request, server: Server, sent: float, delay: float) -> None:
        """Start a request at a target, or shed it."""
        if server.busy >= SLOTS:
            self.tally.sheds += 1
            self.at(delay, lambda: self.answer(request, Outcome.SHED, sent))
            return
        server.busy += 1
        self.tally.waits.append(self.now - delay - request.arrived_ms)
        work = self.random.expovariate(1.0 / SERVICE_MS)
        self.at(work, lambda: self.finish(request, server, sent, delay))

    def finish(self, request: Request, server: Server, sent: float, delay: float) -> None:
        """Free the slot and send the answer."""
        server.busy -= 1
        self.at(delay, lambda: self.answer(request, Outcome.SERVED, sent))

    def answer(self, request: Request, outcome: Outcome, sent: float) -> None:
        """Take a target's answer in at the entry."""
        if outcome is Outcome.SERVED:
            del self.requests[request.id]
            self.tally.served += 1
            self.tally.in_time += self.now - request.arrived_ms <= DEADLINE_MS
            by_entry = self.tally.by_entry
            by_entry[request.entry] = by_entry.get(request.entry, 0) + 1
        self.give(request.entry, Ended(request.id, outcome, self.now - sent))

    def keeper_delay(self, entry: int) -> float:
        """Return the time one way between an entry and its keeper."""
        late = 50.0 if self.scenario.keeper == "late" else 0.0
        return self.delay(entry, DOMAINS[0]) + late

    def ask(self, entry: int, ask: CreditRequest) -> None:
        """Carry an ask to the keeper."""
        self.tally.messages += 1
        if self.scenario.keeper == "frozen":
            return
        asked = CreditRequestReceived(str(entry), DOMAINS[entry % 3], ask)
        number = entry % len(self.keepers)
        self.at(self.keeper_delay(entry), lambda: self.keep(number, asked))

    def keep(self, number: int, event: CreditRequestReceived | Ticked) -> None:
        """Give an event to a keeper and carry its answers to the entries."""
        for grant in self.keepers[number].handle(event, self.now):
            self.grant(grant)

    def grant(self, grant: SendCredits) -> None:
        """Carry an answer to an entry."""
        self.tally.messages += 1
        entry = int(grant.entry)
        answer: CreditResponse = grant.response
        self.at(self.keeper_delay(entry), lambda: self.give(entry, answer))

    def tick_keeper(self, number: int) -> None:
        """Let time pass at a keeper."""
        self.at(TICK_MS, lambda: self.tick_keeper(number))
        self.keep(number, Ticked())


def erlang_wait(servers: int, busy: float) -> float:
    """Return the mean wait in ms of one shared queue (M/M/c, Erlang C).

    Examples
    --------
    >>> round(erlang_wait(24, 0.8), 1)
    1.1
    """
    load = servers * busy
    last = load**servers / factorial(servers) / (1.0 - busy)
    waits = last / (sum(load**n / factorial(n) for n in range(servers)) + last)
    return waits * SERVICE_MS / (servers * (1.0 - busy))


def one(job: tuple[Scenario, int]) -> Figures:
    """Run one scenario under one seed."""
    scenario, seed = job
    return Run(scenario, seed).run()


def scenarios() -> list[Scenario]:
    """Return all scenarios."""
    short = {6: 3.0, 16: 1.5}
    found = [
        Scenario(policy, targets, busy, short[targets])
        for targets in (6, 16)
        for busy in (0.5, 0.8, 0.95, 1.5)
        for policy in ("blind", "shares", "credits", "mix")
    ]
    found += [Scenario("mix", 6, busy, 3.0) for busy in (0.7, 0.9)]
    found += [
        Scenario("mix", 6, busy, 3.0, keeper)
        for busy in (0.8, 1.5)
        for keeper in ("late", "killed", "frozen", "doubled")
    ]
    found += [Scenario("mix-far", targets, 0.8, short[targets]) for targets in (6, 16)]
    found.append(Scenario("mix", 6, 1.5, 3.0, then=0.8))
    return found


def worst(name: str, values: list[float]) -> float:
    """Return the worst value of a figure."""
    return min(values) if name in ("goodput", "fairness") else max(values)


def main() -> None:
    """Run everything and print the table and the JSON line."""
    todo = scenarios()
    jobs = [(scenario, seed) for scenario in todo for seed in SEEDS]
    with Processes(PROCESSES) as processes:
        results = processes.map(one, jobs, chunksize=len(SEEDS))
    names = list(msgspec.to_builtins(results[0]))
    print(f"{'policy':9}{'slots':>6}{'busy':>6} {'keeper':8}" + "".join(f"{n:>19}" for n in names))
    lines: list[dict[str, object]] = []
    for number, scenario in enumerate(todo):
        runs = results[number * len(SEEDS) : (number + 1) * len(SEEDS)]
        rows = [msgspec.to_builtins(run) for run in runs]
        middle = {name: round(median(row[name] for row in rows), 3) for name in names}
        bad = {name: round(worst(name, [row[name] for row in rows]), 3) for name in names}
        busy = f"{scenario.busy}>{scenario.then}" if scenario.then else str(scenario.busy)
        cells = "".join(f"{f'{middle[n]} ({bad[n]})':>19}" for n in names)
        print(f"{scenario.policy:9}{4 * scenario.targets:6}{busy:>6} {scenario.keeper:8}{cells}")
        lines.append({"scenario": msgspec.to_builtins(scenario), "median": middle, "worst": bad})
    for slots in (24, 64):
        waits = {busy: round(erlang_wait(slots, busy), 2) for busy in (0.5, 0.8, 0.9, 0.95)}
        print(f"one shared queue, {slots} slots, mean wait by busy share: {waits}")
    print(msgspec.json.encode({"bench": "slots", "seeds": len(SEEDS), "runs": lines}).decode())


if __name__ == "__main__":
    main()
