"""Entries of several failure domains in one event loop, and targets that name rate limits."""

import asyncio
from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass, replace
from random import Random

import msgspec

from cactusvane.errors import CactusvaneError
from cactusvane.fleet.vm import Address
from cactusvane.fleet_process import FleetProcess
from cactusvane.fleet_settings import FleetLimits
from cactusvane.placement.endpoint import UpdateEndpoint
from cactusvane.placement.messages import Message
from cactusvane.placement.retries import RetryLimit
from cactusvane.placement.settings import PlacementSettings
from tests.adapter.test_process import (
    BOOK,
    FOLLOW,
    READ,
    Fleet,
    TargetStandin,
    send_request,
    until,
)
from tests.limits import BINDING_S, SPAN_S, allowed_requests

WORK_S = 0.25
START_SECONDS = 30.0


@dataclass(frozen=True, slots=True)
class LimitChange:
    """From `at` (seconds, clock of the event loop), the target names this limit, or none."""

    at: float
    per_s: float | None


class LimitedTarget(TargetStandin):
    """A target of one failure domain that may name a rate limit, and records its requests."""

    def __init__(self, name: str, zone: str, seed: int) -> None:
        super().__init__(name)
        self.zone = zone
        self.random = Random(seed)
        self.arrived: list[float] = []
        self.changes: list[LimitChange] = []

    def name_limit(self, per_s: float | None) -> None:
        """Name a limit in all responses from now on; None for no limit."""
        self.changes.append(LimitChange(asyncio.get_running_loop().time(), per_s))

    @property
    def limit(self) -> float | None:
        """The limit that responses name now."""
        return self.changes[-1].per_s if self.changes else None

    async def respond(self, head: str, reader: asyncio.StreamReader) -> bytes:
        self.arrived.append(asyncio.get_running_loop().time())
        await asyncio.sleep(self.random.uniform(0.5, 1.5) * WORK_S)
        response = await super().respond(head, reader)
        if self.limit is None:
            return response
        end = b"\r\n\r\n"
        return response.replace(end, b"\r\nserver-limit: %.3f" % self.limit + end, 1)

    def row(self, **status: object) -> bytes:
        fields = msgspec.json.decode(super().row(**status))
        fields["info"] |= {"zone": self.zone, "max-concurrency": 3}
        return msgspec.json.encode(fields)

    def count(self, since: float, until: float) -> int:
        """Return the number of requests in a span."""
        return bisect_left(self.arrived, until) - bisect_left(self.arrived, since)

    def highest_limit(self, since: float, until: float) -> float:
        """Return the highest limit that was named in a span."""
        before = [each.per_s for each in self.changes if each.at <= since][-1:]
        within = [each.per_s for each in self.changes if since < each.at <= until]
        return max(limit or 0.0 for limit in (*before, *within))

    def excesses(self) -> list[str]:
        """Return the spans with more requests than the limits allow, in words."""
        begin = self.changes[0].at + BINDING_S
        end = self.changes[-1].at if self.limit is None else self.arrived[-1]
        found = []
        for last in self.arrived:
            since = max(begin, last - SPAN_S)
            if not begin <= last <= end:
                continue
            per_s = self.highest_limit(since, last)
            allowed = allowed_requests(per_s)
            got = self.count(since, last) + 1
            if got > allowed:
                found.append(f"{self.name}: {got} requests until {last - begin:.2f} s, {allowed=}")
        return found


class LossyEndpoint(UpdateEndpoint):
    """Loses a share of the datagrams that it sends."""

    lost_share = 0.0
    random = Random(1)

    def send(self, message: Message, peers: Iterable[Address]) -> None:
        super().send(message, [each for each in peers if self.random.random() >= self.lost_share])


class LimitedFleet(Fleet):
    """Entries and targets of several failure domains.

    Parameters
    ----------
    zones
        Number of entries of each failure domain.
    targets
        Number of targets, which are spread evenly over the failure domains.
    seed
        Seed of the callers and of the lost datagrams.
    """

    def __init__(self, zones: dict[str, int], targets: int, seed: int) -> None:
        super().__init__()
        limit = RetryLimit(extra=60.0, domains=len(zones))
        follow = replace(FOLLOW, max_staleness_ms=2_000)
        self.fleet_limits = FleetLimits(
            limit, follow, PlacementSettings(), failure_domains=tuple(zones)
        )
        self.start_seconds = START_SECONDS
        self.random = Random(seed)
        self.zones = zones
        names = list(zones)
        self.limited = [LimitedTarget(f"i{n}", names[n % len(names)], n) for n in range(targets)]
        self.targets = list(self.limited)
        self.calls: set[asyncio.Task[None]] = set()
        self.served = 0
        self.unserved = 0
        self.rejected = 0
        self.sent = 0

    def prepare(self, process: FleetProcess) -> None:
        endpoint = LossyEndpoint(process.update_sender.receive)
        endpoint.random = Random(f"{process.settings.vm}/{self.random.random()}")
        process.update_sender.endpoint = endpoint

    async def start_ready(self, name: str, zone: str) -> None:
        """Start an entry of a failure domain, and wait until it is ready."""
        process = await self.start_process(name, zone=zone)
        await until(lambda: process.ready, START_SECONDS)

    async def start_all(self) -> None:
        """Start all entries, with the targets listed."""
        await self.start()
        self.configure()
        self.list_targets()
        await asyncio.gather(
            *(
                self.start_ready(f"{zone}-{number}", zone)
                for zone, entries in self.zones.items()
                for number in range(entries)
            )
        )

    async def restart(self, process: FleetProcess) -> None:
        """Stop an entry and start it again, with nothing that it knew."""
        index = self.processes.index(process)
        self.processes.remove(process)
        running = self.running.pop(index)
        process.stopping.set()
        await running
        await self.start_ready(process.settings.vm, process.settings.failure_domain)

    def lose_datagrams(self, share: float) -> None:
        """Lose a share of all datagrams between entries."""
        LossyEndpoint.lost_share = share

    async def call_for(self, seconds: float, per_s: float) -> None:
        """Send requests of callers at random times to random entries."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        due = loop.time()
        while due < end:
            due += self.random.expovariate(per_s)
            await asyncio.sleep(max(0.0, due - loop.time()))
            task = loop.create_task(self.call())
            self.calls.add(task)
            task.add_done_callback(self.calls.discard)

    async def call(self) -> None:
        """Send one request of a caller, which retries once at another entry."""
        self.sent += 1
        path = BOOK if self.random.random() < 0.7 else READ
        for attempt in range(2):
            process = self.random.choice([each for each in self.processes if each.ready])
            request = f"q{self.sent}-{attempt}"
            try:
                response = await send_request(process, path, time_ms=2_500, request=request)
            except CactusvaneError:
                continue
            if response.status == 200:
                self.served += 1
                return
            if response.status != 503:
                break
            self.rejected += 1
        self.unserved += 1

    async def finish(self) -> None:
        """Wait for the calls in flight, and stop all processes."""
        self.lose_datagrams(0.0)
        await asyncio.gather(*self.calls)
        await self.stop()
