"""Targets, callers and load patterns of `bench.load`, on a virtual clock."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random

from cactusvane.configuration.model import Route
from cactusvane.fleet.vm import Address, Vm
from cactusvane.outcome import Outcome

DOMAINS = ("a", "b", "c")
QUEUE = 16
"""Requests that a target queues beyond its slots."""

TRIP_MS = 1.0
CONNECT_MS = 300.0


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request: its route, its mean work in milliseconds, and its share of the load."""

    route: Route
    work_ms: float
    share: float
    worth: float


URGENT = Kind(
    Route("/u/", ("GET",), True, "urgent", 1_200, latency_ms=500, attempts=2, priority=1),
    130.0,
    0.5,
    2.0,
)
PATIENT = Kind(
    Route("/p/", ("GET",), True, "patient", 4_000, latency_ms=2_500, attempts=2, priority=2),
    800.0,
    0.5,
    1.0,
)
BOOKING = Kind(
    Route("/b/", ("POST",), False, "booking", 2_000, latency_ms=1_200, attempts=2, priority=1),
    330.0,
    1.0,
    2.0,
)
TIGHT = Kind(
    Route("/t/", ("GET",), True, "tight", 1_500, latency_ms=1_500, attempts=2, priority=1),
    500.0,
    1.0,
    1.0,
)
"""Three times the work is all the time there is."""


@dataclass(frozen=True, slots=True)
class Mode:
    """How a target does at a time.

    Parameters
    ----------
    fails, sheds
        Shares of requests that fail at once, and that are shed.
    factor
        Work takes this many times as long.
    dark
        Nothing reaches it.
    """

    fails: float = 0.012
    sheds: float = 0.0
    factor: float = 1.0
    dark: bool = False


WELL = Mode()

Modes = Callable[[int, float], Mode]
"""Mode of a target by its number, at a time in milliseconds."""


@dataclass(frozen=True, slots=True)
class Pattern:
    """One load pattern.

    Parameters
    ----------
    name
        For the table.
    kinds
        What callers send.
    targets
        Targets of the service, dealt out over the failure domains.
    load
        Work that arrives, as a share of all slots, at a time in milliseconds.
    modes
        How the targets do.
    """

    name: str
    kinds: tuple[Kind, ...]
    targets: int
    load: Callable[[float], float]
    modes: Modes


@dataclass(slots=True)
class Call:
    """One request at a target."""

    work_ms: float
    ended: Callable[[Outcome], None]
    cancelled: bool = False


class World:
    """A virtual clock and its events."""

    def __init__(self) -> None:
        self.now = 0.0
        self.order = count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []

    def after(self, ms: float, action: Callable[[], None]) -> None:
        """Do `action` in so many milliseconds."""
        heapq.heappush(self.events, (self.now + ms, next(self.order), action))

    def run(self) -> None:
        """Run until nothing is left to do."""
        while self.events:
            self.now, _, action = heapq.heappop(self.events)
            action()


@dataclass(slots=True)
class Target:
    """A target with slots and a queue."""

    world: World
    vm: Vm
    mode: Callable[[], Mode]
    random: Random
    running: int = 0
    queue: deque[Call] = field(default_factory=deque)
    wasted_ms: float = 0.0

    def take(self, call: Call) -> None:
        """Take a request, queue it, or tell that it was not started."""
        mode = self.mode()
        if mode.dark:
            self.world.after(CONNECT_MS, lambda: self.end(call, Outcome.UNREACHABLE))
        elif self.random.random() < mode.sheds or self.is_full:
            self.world.after(TRIP_MS, lambda: self.end(call, Outcome.SHED))
        elif self.random.random() < mode.fails:
            self.world.after(TRIP_MS, lambda: self.end(call, Outcome.FAILED))
        elif self.running < self.vm.slots:
            self.start(call)
        else:
            self.queue.append(call)

    @property
    def is_full(self) -> bool:
        """Whether slots and queue are taken."""
        return self.running >= self.vm.slots and len(self.queue) >= QUEUE

    def start(self, call: Call) -> None:
        """Run a request."""
        self.running += 1
        work = call.work_ms * self.mode().factor
        self.world.after(work, lambda: self.finish(call, work))

    def finish(self, call: Call, work: float) -> None:
        """End a request and start the next one."""
        self.running -= 1
        if call.cancelled:
            self.wasted_ms += work
        outcome = Outcome.TIMED_OUT if self.mode().dark else Outcome.SERVED
        self.end(call, outcome)
        while self.queue and self.running < self.vm.slots:
            waiting = self.queue.popleft()
            if not waiting.cancelled:
                self.start(waiting)

    def end(self, call: Call, outcome: Outcome) -> None:
        """Tell the caller unless it has left."""
        if not call.cancelled:
            call.ended(outcome)


def make_targets(world: World, pattern: Pattern, random: Random, slots: int) -> list[Target]:
    """Return the targets of a pattern."""

    def mode_of(number: int) -> Callable[[], Mode]:
        return lambda: pattern.modes(number, world.now)

    found = []
    for number in range(pattern.targets):
        domain = DOMAINS[number % len(DOMAINS)]
        address = Address("10.0.0.1", 8_000 + number)
        vm = Vm(f"t{number}", address, domain, service="s", slots=slots)
        found.append(Target(world, vm, mode_of(number), random))
    return found


def steady(load: float) -> Callable[[float], float]:
    """Return a load that does not change."""
    return lambda now: load


def surge(base: float, peak: float, start: float, end: float) -> Callable[[float], float]:
    """Return a load with a peak between two times in milliseconds."""
    return lambda now: peak if start <= now < end else base


def well(number: int, now: float) -> Mode:
    """Return the mode of targets without a fault."""
    return WELL


def some(share: int, mode: Mode, start: float, end: float) -> Modes:
    """Return modes in which each `share`-th target has `mode` between two times."""

    def modes(number: int, now: float) -> Mode:
        return mode if number % share == 0 and start <= now < end else WELL

    return modes


def taking_turns(mode: Mode, period_ms: float, share: int) -> Modes:
    """Return modes in which the targets have `mode` one after the other."""

    def modes(number: int, now: float) -> Mode:
        turn = int(now / period_ms) % share
        return mode if number % share == turn else WELL

    return modes


GRAY_TURNS = taking_turns(Mode(0.75), 4_000, 4)

PATTERNS = (
    Pattern("calm", (BOOKING,), 16, steady(0.4), well),
    Pattern("burst", (BOOKING,), 16, surge(0.45, 1.3, 8_000, 14_000), well),
    Pattern("overload 1.2", (BOOKING,), 16, steady(1.2), well),
    Pattern("overload 2", (BOOKING,), 16, steady(2.0), well),
    Pattern("gray by turns", (BOOKING,), 16, steady(0.45), taking_turns(Mode(0.75), 5_000, 4)),
    Pattern("dark third", (BOOKING,), 16, steady(0.45), some(3, Mode(dark=True), 5e3, 15e3)),
    Pattern("slow third", (BOOKING,), 16, steady(0.45), some(3, Mode(factor=5), 5e3, 15e3)),
    Pattern("shedding", (BOOKING,), 16, steady(0.45), some(1, Mode(sheds=0.55), 8e3, 16e3)),
    Pattern("short and long", (URGENT, PATIENT), 13, surge(0.5, 1.1, 6e3, 16e3), well),
    Pattern("tight reads", (TIGHT,), 9, surge(0.45, 0.9, 6e3, 16e3), well),
    Pattern("tight reads gray", (TIGHT,), 9, surge(0.45, 0.8, 6e3, 16e3), GRAY_TURNS),
    Pattern("reads gray", (URGENT,), 6, steady(0.45), taking_turns(Mode(0.75), 4_000, 3)),
)
