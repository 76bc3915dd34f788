"""Simulated targets, kinds of requests and load patterns of `bench.load`."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from math import pi, sin
from random import Random

from cactusvane.configuration.model import Route
from cactusvane.fleet.vm import Address, Vm
from cactusvane.outcome import Outcome

DOMAINS = ("a", "b", "c")
QUEUE = 16
"""Maximum number of requests that a target queues while its slots are busy."""

NETWORK_DELAY_MS = 1.0
CONNECT_TIMEOUT_MS = 300.0


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request.

    Parameters
    ----------
    route
        Route of the requests, with deadline and latency objective.
    work_ms
        Mean work of a request in milliseconds.
    share
        Weight in the random choice of a request's kind.
    worth
        Value of a request that is served within its latency objective.
    """

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
"""The deadline is only three times the mean work."""


@dataclass(frozen=True, slots=True)
class Mode:
    """Behavior of a target at a point in time.

    Parameters
    ----------
    fail_share, shed_share
        Shares of requests that fail immediately, and that are shed.
    factor
        Requests take this many times as long.
    unreachable
        Whether no request reaches the target.
    """

    fail_share: float = 0.012
    shed_share: float = 0.0
    factor: float = 1.0
    unreachable: bool = False


HEALTHY = Mode()

Modes = Callable[[int, float], Mode]
"""Returns the mode of a target by its number, at a time in milliseconds."""


@dataclass(frozen=True, slots=True)
class Pattern:
    """One load pattern.

    Parameters
    ----------
    name
        Name in the table and in the JSON output.
    kinds
        Kinds of requests that callers send.
    targets
        Number of targets.
    load
        Offered load as a share of the capacity of all slots, at a time in milliseconds.
    modes
        Modes of the targets.
    domain_targets
        Numbers of targets by failure domain; empty if they are distributed evenly.
    domain_load
        Load of a failure domain by its index, as a multiple of the usual one, at a time in
        milliseconds; None if each entry gets an equal share of the requests.
    """

    name: str
    kinds: tuple[Kind, ...]
    targets: int
    load: Callable[[float], float]
    modes: Modes
    domain_targets: tuple[int, ...] = ()
    domain_load: Callable[[int, float], float] | None = None

    def domain_of(self, number: int) -> str:
        """Return the failure domain of a target."""
        if not self.domain_targets:
            return DOMAINS[number % len(DOMAINS)]
        for domain, count_there in zip(DOMAINS, self.domain_targets, strict=True):
            if number < count_there:
                return domain
            number -= count_there
        raise ValueError(f"pattern {self.name} has fewer targets")

    def domain_weights(self, now: float) -> list[float]:
        """Return the loads of the failure domains, relative to each other."""
        if self.domain_load is None:
            return [1.0] * len(DOMAINS)
        return [
            targets * self.domain_load(index, now)
            for index, targets in enumerate(self.domain_targets)
        ]


@dataclass(slots=True)
class Call:
    """One attempt of a request at a target."""

    work_ms: float
    on_end: Callable[[Outcome], None]
    cancelled: bool = False


class Simulator:
    """A virtual clock, in milliseconds, and a queue of events."""

    def __init__(self) -> None:
        self.now = 0.0
        self.order = count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []

    def after(self, ms: float, action: Callable[[], None]) -> None:
        """Schedule `action` after `ms` milliseconds."""
        heapq.heappush(self.events, (self.now + ms, next(self.order), action))

    def run(self) -> None:
        """Run until no event is left."""
        while self.events:
            self.now, _, action = heapq.heappop(self.events)
            action()


@dataclass(slots=True)
class Target:
    """A target with slots and a bounded queue."""

    simulator: Simulator
    vm: Vm
    mode: Callable[[], Mode]
    random: Random
    running: int = 0
    queue: deque[Call] = field(default_factory=deque)
    wasted_ms: float = 0.0

    def receive(self, call: Call) -> None:
        """Start or queue a request, or end it as failed, shed or unreachable."""
        mode = self.mode()
        if mode.unreachable:
            self.simulator.after(CONNECT_TIMEOUT_MS, lambda: self.end(call, Outcome.UNREACHABLE))
        elif self.random.random() < mode.shed_share or self.is_full:
            self.simulator.after(NETWORK_DELAY_MS, lambda: self.end(call, Outcome.SHED))
        elif self.random.random() < mode.fail_share:
            self.simulator.after(NETWORK_DELAY_MS, lambda: self.end(call, Outcome.FAILED))
        elif self.running < self.vm.slots:
            self.start(call)
        else:
            self.queue.append(call)

    @property
    def is_full(self) -> bool:
        """Whether all slots are busy and the queue is full."""
        return self.running >= self.vm.slots and len(self.queue) >= QUEUE

    def start(self, call: Call) -> None:
        """Start a request."""
        self.running += 1
        work = call.work_ms * self.mode().factor
        self.simulator.after(work, lambda: self.finish(call, work))

    def finish(self, call: Call, work: float) -> None:
        """End a request and start the next one."""
        self.running -= 1
        if call.cancelled:
            self.wasted_ms += work
        outcome = Outcome.TIMED_OUT if self.mode().unreachable else Outcome.SERVED
        self.end(call, outcome)
        while self.queue and self.running < self.vm.slots:
            waiting = self.queue.popleft()
            if not waiting.cancelled:
                self.start(waiting)

    def end(self, call: Call, outcome: Outcome) -> None:
        """Report the outcome unless the call was cancelled."""
        if not call.cancelled:
            call.on_end(outcome)


def make_targets(
    simulator: Simulator, pattern: Pattern, random: Random, slots: int
) -> list[Target]:
    """Return the targets of a pattern."""

    def mode_of(number: int) -> Callable[[], Mode]:
        return lambda: pattern.modes(number, simulator.now)

    found = []
    for number in range(pattern.targets):
        domain = pattern.domain_of(number)
        address = Address("10.0.0.1", 8_000 + number)
        vm = Vm(f"t{number}", address, domain, service="s", slots=slots)
        found.append(Target(simulator, vm, mode_of(number), random))
    return found


def steady(load: float) -> Callable[[float], float]:
    """Return a constant load."""
    return lambda now: load


def surge(base: float, peak: float, start: float, end: float) -> Callable[[float], float]:
    """Return a load of `base`, and of `peak` from `start` to `end` (milliseconds)."""
    return lambda now: peak if start <= now < end else base


def healthy(number: int, now: float) -> Mode:
    """Return the mode of a target without a fault."""
    return HEALTHY


def every_nth(n: int, mode: Mode, start: float, end: float) -> Modes:
    """Return modes with `mode` at each `n`-th target from `start` to `end` (milliseconds)."""

    def modes(number: int, now: float) -> Mode:
        return mode if number % n == 0 and start <= now < end else HEALTHY

    return modes


def rotating(mode: Mode, period_ms: float, groups: int) -> Modes:
    """Return modes in which `groups` groups of targets have `mode` in turn, `period_ms` each."""

    def modes(number: int, now: float) -> Mode:
        current = int(now / period_ms) % groups
        return mode if number % groups == current else HEALTHY

    return modes


SWING_PERIOD_MS = 17_000.0
SWING_SHARE = 0.55
SWING_TARGETS = (8, 5, 3)


def swing(index: int, now: float) -> float:
    """Return the load of a failure domain, which swings with a phase of its own."""
    return 1.0 + SWING_SHARE * sin(2.0 * pi * (now / SWING_PERIOD_MS + index / len(DOMAINS)))


def swing_total(mean: float) -> Callable[[float], float]:
    """Return the load of all failure domains together, if each one's mean load is `mean`."""
    targets = sum(SWING_TARGETS)
    return lambda now: mean * sum(
        count_there * swing(index, now) / targets for index, count_there in enumerate(SWING_TARGETS)
    )


def swinging(mean: float, kind: Kind) -> Pattern:
    """Return a pattern in which the failure domains' loads swing around `mean`."""
    return Pattern(
        f"swing {mean:g} {kind.route.kind}",
        (kind,),
        sum(SWING_TARGETS),
        swing_total(mean),
        healthy,
        domain_targets=SWING_TARGETS,
        domain_load=swing,
    )


ROTATING_GRAY = rotating(Mode(0.75), 4_000, 4)

PATTERNS = (
    Pattern("calm", (BOOKING,), 16, steady(0.4), healthy),
    Pattern("burst", (BOOKING,), 16, surge(0.45, 1.3, 8_000, 14_000), healthy),
    Pattern("overload 1.2", (BOOKING,), 16, steady(1.2), healthy),
    Pattern("overload 2", (BOOKING,), 16, steady(2.0), healthy),
    Pattern("gray by turns", (BOOKING,), 16, steady(0.45), rotating(Mode(0.75), 5_000, 4)),
    Pattern(
        "dark third", (BOOKING,), 16, steady(0.45), every_nth(3, Mode(unreachable=True), 5e3, 15e3)
    ),
    Pattern("slow third", (BOOKING,), 16, steady(0.45), every_nth(3, Mode(factor=5), 5e3, 15e3)),
    Pattern(
        "shedding", (BOOKING,), 16, steady(0.45), every_nth(1, Mode(shed_share=0.55), 8e3, 16e3)
    ),
    Pattern("short and long", (URGENT, PATIENT), 13, surge(0.5, 1.1, 6e3, 16e3), healthy),
    Pattern("tight reads", (TIGHT,), 9, surge(0.45, 0.9, 6e3, 16e3), healthy),
    Pattern("tight reads gray", (TIGHT,), 9, surge(0.45, 0.8, 6e3, 16e3), ROTATING_GRAY),
    Pattern("reads gray", (URGENT,), 6, steady(0.45), rotating(Mode(0.75), 4_000, 3)),
)

SWINGS = tuple(swinging(mean, kind) for kind in (BOOKING, TIGHT) for mean in (0.75, 0.8, 0.85))
"""Patterns for the exchange of free capacity between failure domains."""
