"""Simulation of the entries of one failure domain and of targets with gray failures.

Runs on a virtual clock and without sockets: `Domain` decides, and the updates between entries
arrive with a delay.
"""

import heapq
from bisect import bisect_left
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import count
from random import Random

from cactusvane.configuration.model import Configuration, Service
from cactusvane.fleet.vm import Address, Vm
from cactusvane.outcome import Outcome
from cactusvane.placement.domain import Domain
from cactusvane.placement.messages import Observation, Place, RequestProfile, StoreStatus
from cactusvane.placement.placement import Placement
from cactusvane.placement.settings import PlacementSettings
from tests.placement.fixtures import LOCAL

SPAN_MS = 2_000.0
"""The floor holds over each span of this length, after which a failed target is healthy again."""

SERVICE = Service("records", (), (), 1, 1, 1)
STORE_STATUS = StoreStatus(True, 10.0, None, {})
FAILURE_MS = 2.0
"""Time that a failing request takes."""


@dataclass(frozen=True, slots=True)
class Load:
    """Requests of the callers and behaviour of the targets.

    Parameters
    ----------
    vms
        Targets.
    entries
        Entries of the failure domain.
    per_s
        Requests per second of all entries.
    work_ms
        Mean latency of a response.
    idempotent
        Whether requests may be sent again.
    gray_per_s, gray_ms
        Rate at which a target starts to have gray failures, and their mean duration.
    gray_share
        Share of requests that fail meanwhile.
    update_delay_ms
        Time until an update reaches the other entries.
    length_ms
        Duration of the replay.
    """

    vms: tuple[Vm, ...]
    entries: int = 8
    per_s: float = 54.0
    work_ms: float = 250.0
    idempotent: bool = False
    gray_per_s: float = 0.05
    gray_ms: float = 5_000.0
    gray_share: float = 0.6
    update_delay_ms: float = 60.0
    length_ms: float = 14_000.0


@dataclass(slots=True)
class Record:
    """Uses and failures of targets, as times in milliseconds.

    Parameters
    ----------
    load
        The load that was replayed.
    uses, failures
        When each target was sent a request, and when one failed.
    requests, failed
        Number of requests and of failed ones among them.
    """

    load: Load
    uses: dict[str, list[float]] = field(default_factory=dict)
    failures: dict[str, list[float]] = field(default_factory=dict)
    requests: int = 0
    failed: int = 0

    def unused_share(self, since: float, failure_memory_ms: float) -> float:
        """Return the share of healthy targets without a request in the span that starts at `since`.

        A target is healthy if it has no failure from `failure_memory_ms` before the span to its
        end.
        """
        until = since + SPAN_MS
        healthy = [
            vm.name
            for vm in self.load.vms
            if not any_within(self.failures.get(vm.name, ()), since - failure_memory_ms, until)
        ]
        unused = [name for name in healthy if not any_within(self.uses.get(name, ()), since, until)]
        return len(unused) / len(healthy) if healthy else 0.0

    def max_unused_share(self, failure_memory_ms: float) -> float:
        """Return the maximum unused share of all spans after the first second."""
        steps = int((self.load.length_ms - SPAN_MS - 1_000.0) / 50.0)
        return max(
            self.unused_share(1_000.0 + 50.0 * step, failure_memory_ms) for step in range(steps)
        )


def any_within(times: Sequence[float], since: float, until: float) -> bool:
    """Return whether any of the sorted `times` is in a span."""
    first = bisect_left(times, since)
    return first < len(times) and times[first] < until


class Replay:
    """One run of the simulation."""

    def __init__(self, load: Load, seed: int, settings: PlacementSettings) -> None:
        self.load = load
        self.random = Random(seed)
        self.now = 0.0
        self.order = count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.record = Record(load)
        self.gray_until = {vm.name: 0.0 for vm in load.vms}
        self.domains = [self.make_entry(number, settings) for number in range(load.entries)]

    def make_entry(self, number: int, settings: PlacementSettings) -> Domain:
        """Return an entry that has the list of all targets."""
        domain = Domain(f"e{number}", LOCAL, 100, Random(f"{number}"), settings)
        domain.set_targets({"records": self.load.vms}, 0.0)
        domain.configure(Configuration((SERVICE,)), 0.0)
        return domain

    def after(self, delay: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self.events, (self.now + delay, next(self.order), action))

    def run(self) -> Record:
        """Run until the end of the load, and return the record."""
        self.after(0.0, self.arrive)
        for vm in self.load.vms:
            self.after(
                self.random.expovariate(self.load.gray_per_s) * 1_000.0,
                self.start_gray_failures(vm),
            )
        while self.events:
            self.now, _, action = heapq.heappop(self.events)
            if self.now >= self.load.length_ms:
                break
            action()
        return self.record

    def start_gray_failures(self, vm: Vm) -> Callable[[], None]:
        """Return an action that makes a target fail for some time, repeatedly."""

        def start_failing() -> None:
            duration_ms = self.load.gray_ms * self.random.uniform(0.4, 1.6)
            self.gray_until[vm.name] = self.now + duration_ms
            gap_ms = self.random.expovariate(self.load.gray_per_s) * 1_000.0
            self.after(duration_ms + gap_ms, start_failing)

        return start_failing

    def arrive(self) -> None:
        """Receive a request at any entry, and schedule the next."""
        self.after(self.random.expovariate(self.load.per_s) * 1_000.0, self.arrive)
        self.send(self.random.choice(self.domains))

    def send(self, domain: Domain) -> None:
        """Place a request of an entry and start the attempt."""
        placement = domain.placements["records"]
        profile = RequestProfile(
            "k", 1, self.load.idempotent, self.now, self.now + 2_500.0, 1_000.0
        )
        decision = placement.place(profile, frozenset[Address](), self.now)
        self.record.requests += 1
        if not isinstance(decision, Place):
            self.record.failed += 1
            return
        name = decision.name
        self.record.uses.setdefault(name, []).append(self.now)
        placement.record_start(name, self.now)
        is_gray = self.now < self.gray_until[name]
        fails = is_gray and self.random.random() < self.load.gray_share
        latency_ms = (
            FAILURE_MS if fails else self.load.work_ms * self.random.lognormvariate(-0.18, 0.6)
        )
        self.send_update(domain)
        self.after(latency_ms, lambda: self.end(domain, placement, name, fails, latency_ms))

    def end(
        self, domain: Domain, placement: Placement, name: str, fails: bool, latency_ms: float
    ) -> None:
        """End an attempt."""
        if fails:
            self.record.failed += 1
            self.record.failures.setdefault(name, []).append(self.now)
        outcome = Outcome.FAILED if fails else Outcome.SERVED
        observation = Observation(name, "k", outcome, latency_ms)
        placement.record_end(observation, self.now)
        domain.observe(observation)
        self.send_update(domain)

    def send_update(self, domain: Domain) -> None:
        """Send an update of an entry to the others."""
        update = domain.next_update(STORE_STATUS, self.now)
        address = Address("10.0.1.1", self.domains.index(domain))

        def deliver() -> None:
            for other in self.domains:
                if other is not domain:
                    other.receive(update, address, self.now)

        self.after(self.load.update_delay_ms, deliver)
