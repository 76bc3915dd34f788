"""Simulation of slot sharing under load: sharing policies, failing keepers and overload.

``python -m bench.slots`` prints a table, followed by one line of JSON. The simulation runs the
daemon's own code for decisions on a virtual clock; arrivals are Poisson, service times exponential.
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
LOCAL_DELAY_MS = 0.1
REMOTE_DELAY_MS = 1.0
DEADLINE_MS = 500.0
TICK_MS = 2.0
SEEDS = range(20)
PROCESSES = 2
BLIND_ATTEMPTS = 3
DELAY_JITTER = 0.25


class SharingPolicy(Protocol):
    """Policy of one entry for sharing slots."""

    def handle(self, event: EntryEvent, now: float) -> tuple[EntryCommand, ...]:
        """Handle one event at time `now` (milliseconds) and return the commands to execute."""


class BlindPolicy:
    """Sends each request to a random target at once, up to `BLIND_ATTEMPTS` times while shed."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.targets: tuple[Vm, ...] = ()
        self.attempts: dict[int, int] = {}

    def handle(self, event: EntryEvent, now: float) -> tuple[EntryCommand, ...]:
        """Handle one event."""
        match event:
            case TargetsInUse(targets):
                self.targets = targets
            case Arrived(request):
                return self.send(request)
            case Ended(request, Outcome.SHED, _):
                return self.send(request)
            case Ended(request):
                self.attempts.pop(request)
        return ()

    def send(self, request: int) -> tuple[EntryCommand, ...]:
        """Send to a random target while attempts are left, else reject the request."""
        attempts = self.attempts.get(request, 0)
        if attempts == BLIND_ATTEMPTS:
            del self.attempts[request]
            return (Reject(request),)
        self.attempts[request] = attempts + 1
        return (Dispatch(request, self.random.choice(self.targets).address),)


@dataclass(frozen=True, slots=True)
class Scenario:
    """Parameters of one run except its seed.

    Parameters
    ----------
    policy
        ``blind``, ``shares``, ``credits``, ``mix`` or ``mix-far`` (no target is local).
    targets
        Number of targets, with 4 slots each.
    busy
        Offered load as a share of the capacity of all slots.
    seconds
        Length of the run in seconds.
    keeper
        ``well``, ``late``, ``killed``, ``frozen`` or ``doubled``.
    then
        Offered load in a second phase of the same length; 0 for no second phase.
    """

    policy: str
    targets: int
    busy: float
    seconds: float = 6.0
    keeper: str = "well"
    then: float = 0.0


@dataclass(slots=True)
class Counters:
    """Counters of one run; waits are in milliseconds."""

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
    """Results of one run; waits in milliseconds, the others as shares or per request."""

    mean_wait: float
    p99_wait: float
    sheds: float
    refused: float
    goodput: float
    messages: float
    fairness: float


@dataclass(slots=True)
class Request:
    """One request that has not ended."""

    id: int
    entry: int
    arrived_ms: float


@dataclass(slots=True)
class Server:
    """A target; it sheds requests while all its slots are busy."""

    vm: Vm
    busy: int = 0


class Run:
    """One scenario under one seed."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.random = Random(seed)
        self.now = 0.0
        self.sequence = count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.counters = Counters()
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
        """Whether entries can reach a keeper."""
        return self.scenario.policy != "shares" and self.scenario.keeper != "killed"

    def make_entry(self, number: int) -> SharingPolicy:
        """Return the sharing policy of one entry."""
        random = Random(self.random.random())
        domain = DOMAINS[number % 3]
        match self.scenario.policy:
            case "blind":
                return BlindPolicy(random)
            case "mix":
                return EntrySlots(domain, SLOTS, random)
            case "mix-far":
                return EntrySlots("", SLOTS, random)
            case _:
                return EntrySlots(domain, SLOTS, random, SlotSettings(busy_share=0.0))

    def schedule(self, delay: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay in milliseconds."""
        heapq.heappush(self.events, (self.now + delay, next(self.sequence), action))

    def network_delay(self, entry: int, domain: str) -> float:
        """Return the one-way delay between an entry and a failure domain, in milliseconds."""
        base = LOCAL_DELAY_MS if DOMAINS[entry % 3] == domain else REMOTE_DELAY_MS
        return base * self.random.uniform(1.0 - DELAY_JITTER, 1.0 + DELAY_JITTER)

    def arrival_rate(self) -> float:
        """Return the current arrival rate per millisecond."""
        half = self.scenario.seconds * 1_000.0
        busy = self.scenario.then if self.now >= half else self.scenario.busy
        return busy * self.scenario.targets * SLOTS / SERVICE_MS

    def run(self) -> Figures:
        """Run to the end and return the results of the last part."""
        length = self.scenario.seconds * (2_000.0 if self.scenario.then else 1_000.0)
        start = length - 0.75 * self.scenario.seconds * 1_000.0
        self.schedule(start, self.reset_counters)
        self.schedule(0.0, self.arrive)
        if self.reachable and self.scenario.policy != "blind":
            for keeper in range(len(self.keepers)):
                self.schedule(TICK_MS, lambda keeper=keeper: self.tick_keeper(keeper))  # type: ignore[misc]
        while self.events[0][0] < length:
            self.now, _, action = heapq.heappop(self.events)
            action()
        return self.figures(length - start)

    def reset_counters(self) -> None:
        """Start counting anew, at the end of the warm-up."""
        self.counters = Counters()

    def figures(self, ms: float) -> Figures:
        """Return the results of what was counted over `ms` milliseconds."""
        counters = self.counters
        waits = sorted(counters.waits)
        capacity = self.scenario.targets * SLOTS * ms / SERVICE_MS
        busy = self.scenario.then or self.scenario.busy
        served = [counters.by_entry.get(n, 0) for n in range(ENTRIES)]
        return Figures(
            mean_wait=fmean(waits),
            p99_wait=waits[int(0.99 * len(waits))],
            sheds=counters.sheds / counters.arrived,
            refused=counters.refused / counters.arrived,
            goodput=counters.in_time / (capacity * min(1.0, busy)),
            messages=counters.messages / counters.arrived,
            fairness=sum(served) ** 2 / (ENTRIES * sum(each * each for each in served)),
        )

    def arrive(self) -> None:
        """Let a request arrive at a random entry and schedule the next arrival."""
        self.schedule(self.random.expovariate(self.arrival_rate()), self.arrive)
        entry = self.random.randrange(ENTRIES)
        request = Request(next(self.ids), entry, self.now)
        self.requests[request.id] = request
        self.counters.arrived += 1
        self.handle_event(entry, Arrived(request.id, self.now + DEADLINE_MS))

    def handle_event(self, number: int, event: EntryEvent) -> None:
        """Pass an event to an entry and execute its commands."""
        entry = self.entries[number]
        for command in entry.handle(event, self.now):
            match command:
                case Dispatch(id, target):
                    self.dispatch(self.requests[id], self.servers[target])
                case Reject(id):
                    del self.requests[id]
                    self.counters.refused += 1
                case CreditRequest():
                    self.send_credit_request(number, command)
        if not isinstance(entry, EntrySlots) or self.ticking[number]:
            return
        if entry.queue or entry.awaited_sequence > entry.responded_sequence:
            self.ticking[number] = True
            self.schedule(TICK_MS, lambda: self.tick(number))

    def tick(self, number: int) -> None:
        """Pass a tick to an entry that waits for something."""
        self.ticking[number] = False
        self.handle_event(number, Ticked())

    def dispatch(self, request: Request, server: Server) -> None:
        """Send a request to a target."""
        delay = self.network_delay(request.entry, server.vm.failure_domain)
        sent = self.now
        self.schedule(delay, lambda: self.start_service(request, server, sent, delay))

    def start_service(self, request: Request, server: Server, sent: float, delay: float) -> None:
        """Start a request on a target, or shed it."""
        if server.busy >= SLOTS:
            self.counters.sheds += 1
            self.schedule(delay, lambda: self.deliver_response(request, Outcome.SHED, sent))
            return
        server.busy += 1
        self.counters.waits.append(self.now - delay - request.arrived_ms)
        work = self.random.expovariate(1.0 / SERVICE_MS)
        self.schedule(work, lambda: self.finish_service(request, server, sent, delay))

    def finish_service(self, request: Request, server: Server, sent: float, delay: float) -> None:
        """Free the slot and send the response."""
        server.busy -= 1
        self.schedule(delay, lambda: self.deliver_response(request, Outcome.SERVED, sent))

    def deliver_response(self, request: Request, outcome: Outcome, sent: float) -> None:
        """Deliver a target's response to the entry."""
        if outcome is Outcome.SERVED:
            del self.requests[request.id]
            self.counters.served += 1
            self.counters.in_time += self.now - request.arrived_ms <= DEADLINE_MS
            by_entry = self.counters.by_entry
            by_entry[request.entry] = by_entry.get(request.entry, 0) + 1
        self.handle_event(request.entry, Ended(request.id, outcome, self.now - sent))

    def keeper_network_delay(self, entry: int) -> float:
        """Return the one-way delay between an entry and its keeper, in milliseconds."""
        late = 50.0 if self.scenario.keeper == "late" else 0.0
        return self.network_delay(entry, DOMAINS[0]) + late

    def send_credit_request(self, entry: int, request: CreditRequest) -> None:
        """Send a credit request to the keeper."""
        self.counters.messages += 1
        if self.scenario.keeper == "frozen":
            return
        received = CreditRequestReceived(str(entry), DOMAINS[entry % 3], request)
        number = entry % len(self.keepers)
        self.schedule(
            self.keeper_network_delay(entry), lambda: self.handle_keeper_event(number, received)
        )

    def handle_keeper_event(self, number: int, event: CreditRequestReceived | Ticked) -> None:
        """Pass an event to a keeper and send its responses to the entries."""
        for command in self.keepers[number].handle(event, self.now):
            self.send_credits(command)

    def send_credits(self, command: SendCredits) -> None:
        """Send a response to an entry."""
        self.counters.messages += 1
        entry = int(command.entry)
        response: CreditResponse = command.response
        self.schedule(self.keeper_network_delay(entry), lambda: self.handle_event(entry, response))

    def tick_keeper(self, number: int) -> None:
        """Pass a tick to a keeper and schedule the next one."""
        self.schedule(TICK_MS, lambda: self.tick_keeper(number))
        self.handle_keeper_event(number, Ticked())


def erlang_wait(servers: int, busy: float) -> float:
    """Return the mean wait of one shared queue (M/M/c, Erlang C), in milliseconds.

    Examples
    --------
    >>> round(erlang_wait(24, 0.8), 1)
    1.1
    """
    load = servers * busy
    last = load**servers / factorial(servers) / (1.0 - busy)
    waits = last / (sum(load**n / factorial(n) for n in range(servers)) + last)
    return waits * SERVICE_MS / (servers * (1.0 - busy))


def run_job(job: tuple[Scenario, int]) -> Figures:
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
    """Return the worst value of a result."""
    return min(values) if name in ("goodput", "fairness") else max(values)


def main() -> None:
    """Run all scenarios and print the table and the line of JSON."""
    all_scenarios = scenarios()
    jobs = [(scenario, seed) for scenario in all_scenarios for seed in SEEDS]
    with Processes(PROCESSES) as processes:
        results = processes.map(run_job, jobs, chunksize=len(SEEDS))
    names = list(msgspec.to_builtins(results[0]))
    print(f"{'policy':9}{'slots':>6}{'busy':>6} {'keeper':8}" + "".join(f"{n:>19}" for n in names))
    lines: list[dict[str, object]] = []
    for number, scenario in enumerate(all_scenarios):
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
