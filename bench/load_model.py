"""Simulated targets, kinds of requests and load patterns of `bench.load`."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from itertools import count
from math import pi, sin
from random import Random

from cactusvane.configuration.model import Route
from cactusvane.fleet.vm import Address, Vm
from cactusvane.outcome import Outcome
from cactusvane.placement.features import RequestFeatures, size_class

DOMAINS = ("a", "b", "c")
SLOTS = 4
TAIL_FACTOR = 7.0
QUEUE = 16
"""Maximum number of requests that a target queues while its slots are busy."""

NETWORK_DELAY_MS = 1.0
CONNECT_TIMEOUT_MS = 300.0
LENGTH_MS = 24_000.0


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
    features, customer
        What distinguishes the requests from others of the same route.
    """

    route: Route
    work_ms: float
    share: float
    worth: float
    features: RequestFeatures | None = None
    customer: str = ""


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
class CustomerLoad:
    """Load of one customer.

    Parameters
    ----------
    name
        Name of the customer.
    load
        Its offered load as a share of the capacity of all slots.
    priority
        Its priority; 0 is the highest.
    """

    name: str
    load: float
    priority: int = 0


NO_CUSTOMER = CustomerLoad("", 1.0)


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
    slots
        Slots of each target.
    work_factor
        Work of a request as a multiple of that of its kind, at a time in milliseconds.
    tail_share
        Share of requests with `TAIL_FACTOR` times the work.
    customers
        Customers, whose loads are in proportion to `CustomerLoad.load`; empty for none.
    length_ms
        Time during which requests arrive.
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
    slots: int = SLOTS
    work_factor: Callable[[Kind, float], float] = lambda kind, now: 1.0
    tail_share: float = 0.0
    customers: tuple[CustomerLoad, ...] = ()
    length_ms: float = LENGTH_MS
    domain_targets: tuple[int, ...] = ()
    domain_load: Callable[[int, float], float] | None = None

    def work_ms(self, kind: Kind, now: float, random: Random) -> float:
        """Return the work of one request."""
        work_ms = kind.work_ms * self.work_factor(kind, now) * random.lognormvariate(-0.18, 0.6)
        if self.tail_share and random.random() < self.tail_share:
            work_ms *= TAIL_FACTOR
        return work_ms

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
        targets = self.domain_targets or [1] * len(DOMAINS)
        return [count * self.domain_load(index, now) for index, count in enumerate(targets)]


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


def make_targets(simulator: Simulator, pattern: Pattern, random: Random) -> list[Target]:
    """Return the targets of a pattern."""

    def mode_of(number: int) -> Callable[[], Mode]:
        return lambda: pattern.modes(number, simulator.now)

    found = []
    for number in range(pattern.targets):
        domain = pattern.domain_of(number)
        address = Address("10.0.0.1", 8_000 + number)
        vm = Vm(f"t{number}", address, domain, service="s", slots=pattern.slots)
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
FAST_SWING_PERIOD_MS = 12_000.0
SWING_SHARE = 0.55
SWING_TARGETS = (8, 5, 3)


def swing(index: int, now: float, period_ms: float = SWING_PERIOD_MS) -> float:
    """Return the load of a failure domain, which swings around 1 with a phase of its own."""
    return 1.0 + SWING_SHARE * sin(2.0 * pi * (now / period_ms + index / len(DOMAINS)))


def fast_swing(index: int, now: float) -> float:
    """Return the same with a shorter period."""
    return swing(index, now, FAST_SWING_PERIOD_MS)


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


MIXED_ROUTE = Route("/m/", ("POST",), False, "mixed", 2_500, latency_ms=900, attempts=2, priority=1)
LIGHT_MS = 60.0
HEAVY_MS = 600.0
"""Similar requests differ by a factor of ten; one in four is a heavy one."""

HEAVY_SHARE = 0.25


def mixed(light: tuple[str, int, str], heavy: tuple[str, int, str]) -> tuple[Kind, ...]:
    """Return light and heavy requests of one route.

    Parameters
    ----------
    light, heavy
        Path segment, body size in bytes and customer of each.
    """
    found = []
    shares = ((light, LIGHT_MS, 1.0 - HEAVY_SHARE), (heavy, HEAVY_MS, HEAVY_SHARE))
    for (segment, size, customer), work_ms, share in shares:
        features = RequestFeatures("POST", segment, size_class(size))
        found.append(Kind(MIXED_ROUTE, work_ms, share, 1.0, features, customer))
    return tuple(found)


BY_PATH = mixed(("find", 100, "c"), ("report", 100, "c"))
BY_CUSTOMER = mixed(("find", 100, "small"), ("find", 100, "large"))
BY_SIZE = mixed(("find", 100, "c"), ("find", 100_000, "c"))
BY_NOTHING = mixed(("find", 100, "c"), ("find", 100, "c"))

SPEEDS = tuple(Mode(factor=factor) for factor in (0.5, 1.0, 1.5))
"""Speeds that differ by a factor of three, at usual speed on average."""


def by_speed(number: int, now: float) -> Mode:
    """Return the mode of a target whose speed is fixed; each failure domain has all speeds."""
    return SPEEDS[number // len(DOMAINS) % len(SPEEDS)]


def heavier_paths(kind: Kind, now: float) -> float:
    """Return ten times the work for the light path in the middle of the run."""
    is_light = kind.work_ms == LIGHT_MS
    return 10.0 if is_light and 8_000.0 <= now < 16_000.0 else 1.0


WORK_TARGETS = 18
WORK_SLOTS = 2
WORK_LOAD = surge(0.75, 1.3, 8_000, 14_000)
STEADY_LOAD = steady(0.85)


def work_pattern(
    name: str,
    kinds: tuple[Kind, ...],
    load: Callable[[float], float] = WORK_LOAD,
    modes: Modes = healthy,
) -> Pattern:
    """Return a pattern with targets of two slots."""
    return Pattern(name, kinds, WORK_TARGETS, load, modes, WORK_SLOTS)


WORK_PATTERNS = (
    work_pattern("work by path", BY_PATH),
    work_pattern("work by customer", BY_CUSTOMER),
    work_pattern("work by size", BY_SIZE),
    work_pattern("work by nothing", BY_NOTHING),
    work_pattern("three speeds", BY_PATH, STEADY_LOAD, by_speed),
    replace(work_pattern("swing", BY_PATH, STEADY_LOAD), domain_load=fast_swing),
    replace(work_pattern("tail", BY_PATH, steady(0.7)), tail_share=0.05),
    replace(work_pattern("wrong estimate", BY_PATH, steady(0.3)), work_factor=heavier_paths),
)
"""Patterns for placement by expected work."""
CUSTOMERS = 79
CUSTOMERS_LENGTH_MS = 12_000.0
SHARE_EXPONENT = -1.2
"""The customers' shares of the usual load fall as this power of their rank."""


def ranked_customers(load: float, hot: int, factor: float) -> tuple[CustomerLoad, ...]:
    """Return customers with a usual load, the largest ones of which send a multiple of theirs.

    Parameters
    ----------
    load
        Usual load of all customers as a share of the capacity of all slots.
    hot
        Number of the largest customers that send more.
    factor
        Multiple of their usual load that these send.
    """
    weights = [rank**SHARE_EXPONENT for rank in range(1, CUSTOMERS + 1)]
    loads = [load * weight / sum(weights) for weight in weights]
    loads[:hot] = [factor * each for each in loads[:hot]]
    return tuple(CustomerLoad(f"c{number}", each) for number, each in enumerate(loads, 1))


def with_customers(
    name: str, customers: tuple[CustomerLoad, ...], kinds: tuple[Kind, ...] = (BOOKING,)
) -> Pattern:
    """Return a pattern in which the customers send their loads all the time."""
    load = sum(each.load for each in customers)
    return Pattern(
        name,
        kinds,
        16,
        steady(load),
        healthy,
        customers=customers,
        length_ms=CUSTOMERS_LENGTH_MS,
    )


SMALL = tuple(CustomerLoad(f"s{number}", 0.005) for number in range(60))
LARGE = (CustomerLoad("l1", 0.6), CustomerLoad("l2", 0.6))
FLOODED = (CustomerLoad("flood", 2.0), *(CustomerLoad(f"s{each}", 0.03) for each in range(30)))
BY_PRIORITY = (
    CustomerLoad("p0", 0.3, priority=0),
    CustomerLoad("p0 hot", 0.4, priority=0),
    CustomerLoad("p1", 0.1, priority=1),
    CustomerLoad("p1 hot", 0.4, priority=1),
    CustomerLoad("p2", 0.2, priority=2),
)

CUSTOMER_PATTERNS = (
    with_customers("hot in quota", ranked_customers(0.95, hot=1, factor=1.6)),
    with_customers("one hot", ranked_customers(0.6, hot=1, factor=7.5)),
    with_customers("three hot", ranked_customers(0.5, hot=3, factor=4.0)),
    with_customers("many small", (*SMALL, *LARGE)),
    with_customers("flooded", FLOODED),
    with_customers("mixed work", ranked_customers(0.6, hot=2, factor=3.0), (URGENT, PATIENT)),
    with_customers("priorities", BY_PRIORITY),
    with_customers("no shortage", ranked_customers(0.5, hot=1, factor=2.0)),
)
"""Patterns with customers; those of the hot ones last for the whole run."""


SWINGS = tuple(swinging(mean, kind) for kind in (BOOKING, TIGHT) for mean in (0.75, 0.8, 0.85))
"""Patterns for the exchange of free capacity between failure domains."""
