"""Simulation of the entries of several failure domains, with targets that name rate limits.

Runs on a virtual clock and without sockets: `Domain` decides, and the updates between entries
arrive late or not at all.
"""

import heapq
from bisect import bisect_left
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random

from cactusvane.clock import MS_PER_SECOND
from cactusvane.configuration.model import Configuration, Service
from cactusvane.fleet.vm import Address, Vm
from cactusvane.http.rate_limit import NamedRateLimit, NoRateLimit
from cactusvane.outcome import Outcome
from cactusvane.placement.domain import Domain
from cactusvane.placement.messages import Observation, Place, RequestProfile, StoreStatus
from cactusvane.placement.placement import Placement
from cactusvane.placement.retries import RetryLimit
from tests.limits import BINDING_S, SPAN_S, allowed_requests

SPAN_MS = MS_PER_SECOND * SPAN_S
BINDING_MS = MS_PER_SECOND * BINDING_S

TOLD_MS = 500.0
"""Time after which an entry must have acted on a response with a limit."""

UPDATE_MS = 50.0
HEARTBEAT_MS = 500.0
EXCUSED_MS = 3_000.0
"""Time after a fault of an entry during which its requests do not count."""

SERVICE = Service("records", (), (), 1, 1, 1)
STORE_STATUS = StoreStatus(True, 10.0, None, {})


@dataclass(frozen=True, slots=True)
class FleetLoad:
    """Entries, targets and callers.

    Parameters
    ----------
    entries
        Number of entries of each failure domain.
    targets
        Number of targets, spread evenly over the failure domains.
    limited
        Number of targets that name limits at times.
    per_s
        Requests per second of all callers; twice as many in a rush.
    limits_per_s
        The limits that targets name are drawn between these.
    lost_share
        Share of the updates that are lost.
    length_ms
        Duration of the replay.
    """

    entries: tuple[int, ...] = (16, 16, 8)
    targets: int = 11
    limited: int = 3
    per_s: float = 45.0
    limits_per_s: tuple[float, float] = (0.3, 6.0)
    lost_share: float = 0.1
    length_ms: float = 30_000.0


@dataclass(slots=True)
class LimitedTarget:
    """A target and the requests that it got.

    Parameters
    ----------
    vm
        Its row.
    limit
        Limit that its responses name now; None for no limit.
    since
        Time of the first response that named a limit; None while there is no limit.
    counted
        Times of the requests for which the limit must hold, of its present period.
    got
        Times of all requests.
    told
        When each entry first got a response with the limit.
    """

    vm: Vm
    limit: float | None = None
    since: float | None = None
    counted: list[float] = field(default_factory=list)
    got: list[float] = field(default_factory=list)
    told: dict[str, float] = field(default_factory=dict)

    def name_limit(self, limit: float | None) -> None:
        """Name a limit from now on, or none; it binds some time after it was first named."""
        self.limit = limit
        self.since = None
        self.counted.clear()
        self.told.clear()

    def excess(self, now: float) -> str:
        """Return how the span that ends now exceeds the limit, or an empty text."""
        got = len(self.counted) - bisect_left(self.counted, now - SPAN_MS)
        allowed = allowed_requests(self.limit or 0.0)
        return f"{self.vm.name} at {now:.0f} ms: {got}, {allowed=:.1f}" if got > allowed else ""


@dataclass(slots=True)
class SimulatedEntry:
    """An entry and its faults.

    Parameters
    ----------
    domain
        Its state.
    excused_until
        End of the time during which its requests do not count.
    cut_until
        End of the time during which no updates reach or leave it.
    update_due
        Whether an update is scheduled.
    """

    domain: Domain
    excused_until: float = 0.0
    cut_until: float = 0.0
    update_due: bool = False


class FleetReplay:
    """One run of the simulation."""

    def __init__(self, load: FleetLoad, seed: int) -> None:
        self.load = load
        self.random = Random(seed)
        self.now = 0.0
        self.order = count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        zones = [f"z{n}" for n in range(len(load.entries))]
        self.targets = {
            f"t{n}": LimitedTarget(
                Vm(
                    f"t{n}",
                    Address("10.0.0.1", 8_000 + n),
                    zones[n % len(zones)],
                    service="records",
                    slots=3,
                )
            )
            for n in range(load.targets)
        }
        self.entries = [
            SimulatedEntry(self.make_domain(f"{zone}-{n}", zone, 1))
            for zone, entries in zip(zones, load.entries, strict=True)
            for n in range(entries)
        ]
        self.excesses: list[str] = []
        self.requests = 0
        self.rejected = 0
        self.rush = False

    def make_domain(self, name: str, zone: str, started: int) -> Domain:
        """Return an entry that has the list of all targets."""
        limit = RetryLimit(domains=len(self.load.entries))
        domain = Domain(name, zone, started, Random(f"{name}{started}"), limit=limit)
        vms = tuple(target.vm for target in self.targets.values())
        domain.set_targets({"records": vms}, self.now)
        domain.configure(Configuration((SERVICE,)), self.now)
        return domain

    def after(self, delay: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self.events, (self.now + delay, next(self.order), action))

    def run(self) -> list[str]:
        """Run until the end of the load, and return how limits were exceeded."""
        self.after(0.0, self.arrive)
        self.after(2_000.0, self.change_limits)
        self.after(3_000.0, self.fault)
        for entry in self.entries:
            self.after(self.random.random() * HEARTBEAT_MS, self.heartbeat(entry))
        while self.events:
            self.now, _, action = heapq.heappop(self.events)
            if self.now >= self.load.length_ms:
                break
            action()
        return self.excesses

    def arrive(self) -> None:
        """Receive a request at any entry, and schedule the next."""
        per_s = self.load.per_s * (2.0 if self.rush else 1.0)
        self.after(self.random.expovariate(per_s) * 1_000.0, self.arrive)
        self.send(self.random.choice(self.entries))

    def change_limits(self) -> None:
        """Let limited targets name, change or withdraw their limits, some seconds apart."""
        names = sorted(self.targets)[: self.load.limited]
        target = self.targets[self.random.choice(names)]
        ends = target.limit is not None and self.random.random() < 0.5
        target.name_limit(None if ends else self.random.uniform(*self.load.limits_per_s))
        self.rush = self.random.random() < 0.3
        self.after(self.random.uniform(1_000.0, 4_000.0), self.change_limits)

    def fault(self) -> None:
        """Restart an entry, or cut it from the others."""
        entry = self.random.choice(self.entries)
        lasts_ms = self.random.uniform(100.0, 5_000.0)
        entry.excused_until = self.now + lasts_ms + EXCUSED_MS
        if self.random.random() < 0.5:
            entry.cut_until = self.now + lasts_ms
        else:
            old = entry.domain
            started = old.started + 1
            entry.domain = self.make_domain(old.vm, old.failure_domain, started)
        self.after(self.random.uniform(500.0, 3_000.0), self.fault)

    def send(self, entry: SimulatedEntry) -> None:
        """Place a request of an entry and start the attempt."""
        domain = entry.domain
        placement = domain.placements["records"]
        profile = RequestProfile("k", 1, False, self.now, self.now + 2_500.0, 1_000.0)
        decision = placement.place(profile, frozenset[Address](), self.now)
        self.requests += 1
        if not isinstance(decision, Place):
            self.rejected += 1
            return
        target = self.targets[decision.name]
        self.count(entry, target)
        placement.record_start(decision.name, self.now)
        sent_at = self.now
        latency_ms = 250.0 * self.random.lognormvariate(-0.18, 0.6)
        self.schedule_update(entry)
        self.after(latency_ms, lambda: self.end(entry, placement, target, sent_at))

    def count(self, entry: SimulatedEntry, target: LimitedTarget) -> None:
        """Count a request at its target, if the limit must hold for it."""
        target.got.append(self.now)
        told_at = target.told.get(entry.domain.vm)
        if target.since is None or self.now < target.since + BINDING_MS:
            return
        if told_at is None or self.now < told_at + TOLD_MS or self.now < entry.excused_until:
            return
        target.counted.append(self.now)
        excess = target.excess(self.now)
        if excess:
            self.excesses.append(excess)

    def end(
        self, entry: SimulatedEntry, placement: Placement, target: LimitedTarget, sent_at: float
    ) -> None:
        """End an attempt, whose response names the target's limit."""
        name = target.vm.name
        domain = entry.domain
        if domain.placements["records"] is not placement:
            return
        named = NoRateLimit() if target.limit is None else NamedRateLimit(target.limit)
        if target.limit is not None:
            target.since = self.now if target.since is None else target.since
            target.told.setdefault(domain.vm, self.now)
        domain.rate_limits.record_response(name, named, sent_at, self.now)
        observation = Observation(name, "k", Outcome.SERVED, self.now - sent_at)
        placement.record_end(observation, self.now)
        domain.observe(observation)
        self.schedule_update(entry)

    def heartbeat(self, entry: SimulatedEntry) -> Callable[[], None]:
        """Return an action that sends updates of an entry regularly."""

        def beat() -> None:
            entry.domain.expire(self.now)
            self.schedule_update(entry)
            self.after(HEARTBEAT_MS, beat)

        return beat

    def schedule_update(self, entry: SimulatedEntry) -> None:
        """Send an update soon."""
        if not entry.update_due:
            entry.update_due = True
            self.after(UPDATE_MS, lambda: self.send_update(entry))

    def send_update(self, entry: SimulatedEntry) -> None:
        """Send an update of an entry to the others of its failure domain."""
        entry.update_due = False
        domain = entry.domain
        update = domain.next_update(STORE_STATUS, self.now)
        address = Address("10.0.1.1", self.entries.index(entry))
        if self.now < entry.cut_until:
            return

        def deliver() -> None:
            for other in self.entries:
                if other.domain.failure_domain != domain.failure_domain or other is entry:
                    continue
                if self.now >= other.cut_until and self.random.random() >= self.load.lost_share:
                    other.domain.receive(update, address, self.now)

        self.after(self.random.uniform(1.0, 100.0), deliver)
