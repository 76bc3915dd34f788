"""Targets that crash when they begin to run one request, and come back after some time."""

import asyncio
from dataclasses import dataclass

from cactusvane.errors import CactusvaneError
from cactusvane.fleet.vm import Address
from tests.adapter.limited import LimitedFleet, LimitedTarget
from tests.adapter.test_process import send_request

DEADLY = "/lepu270/deadly"
DOWN_S = 1.5
"""Time until a target that crashed has started again."""


@dataclass(frozen=True, slots=True)
class Crash:
    """A target crashed at a time in seconds of the event loop's clock."""

    target: str
    at: float


class CrashingTarget(LimitedTarget):
    """Crashes under the deadly request, with all that it runs; each start has a new name.

    Attributes
    ----------
    early_close_share
        Share of all requests that end with a closed connection although the target lives on.
    """

    def __init__(self, name: str, zone: str, seed: int) -> None:
        super().__init__(name, zone, seed)
        self.first_name = name
        self.starts = 0
        self.early_close_share = 0.0
        self.crashes: list[Crash] = []
        self.got_deadly: list[float] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        port = self.address.port
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.address = Address(*self.server.sockets[0].getsockname())

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)

    async def respond(self, head: str, reader: asyncio.StreamReader) -> bytes:
        if DEADLY in head:
            self.got_deadly.append(asyncio.get_running_loop().time())
            await asyncio.sleep(self.random.uniform(0.02, 0.1))
            self.crash()
        if self.random.random() < self.early_close_share:
            return b""
        return await super().respond(head, reader)

    def crash(self) -> None:
        """Close the listener and all connections without a response."""
        if self.server is None:
            return
        self.server.close()
        self.server = None
        self.crashes.append(Crash(self.name, asyncio.get_running_loop().time()))
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def start_again(self) -> None:
        """Start under a new name at the same address."""
        self.starts += 1
        self.name = f"{self.first_name}-{self.starts}"
        await self.start()


class CrashingFleet(LimitedFleet):
    """Callers of one deadly request, at any entry, beside callers of others.

    Attributes
    ----------
    answers
        Statuses that the callers of the deadly request were told.
    """

    def __init__(self, zones: dict[str, int], targets: int, seed: int) -> None:
        super().__init__(zones, 0, seed)
        names = list(zones)
        self.crashing = [
            CrashingTarget(f"i{n}", names[n % len(names)], seed + n) for n in range(targets)
        ]
        self.targets = list(self.crashing)
        self.answers: list[int] = []
        self.restarts: set[asyncio.Task[None]] = set()

    async def restart_crashed(self) -> None:
        """Start targets again that crashed, until cancelled."""
        while True:
            for target in self.crashing:
                if target.server is None and target.crashes[-1].target == target.name:
                    before, target.name = target.name, ""
                    task = asyncio.ensure_future(self.bring_back(target, before))
                    self.restarts.add(task)
                    task.add_done_callback(self.restarts.discard)
            await asyncio.sleep(0.01)

    async def bring_back(self, target: CrashingTarget, before: str) -> None:
        """Start a target that crashed, and list it under its new name."""
        await asyncio.sleep(DOWN_S)
        self.store.put("servers", before, None)
        await target.start_again()
        self.store.put("servers", target.name, target.row())

    async def send_deadly(self, seconds: float, per_s: float) -> None:
        """Send the deadly request at random times to random entries; callers retry once."""
        end = asyncio.get_running_loop().time() + seconds
        number = 0
        while asyncio.get_running_loop().time() < end:
            number += 1
            task = asyncio.ensure_future(self.call_deadly(number))
            self.calls.add(task)
            task.add_done_callback(self.calls.discard)
            await asyncio.sleep(self.random.expovariate(per_s))

    async def call_deadly(self, number: int) -> None:
        """Send the deadly request, and once more after a failure."""
        for attempt in range(2):
            process = self.random.choice([each for each in self.processes if each.ready])
            request = f"d{number}-{attempt}"
            try:
                response = await send_request(process, DEADLY, time_ms=2_000, request=request)
            except CactusvaneError:
                continue
            self.answers.append(response.status)
            if response.status != 502:
                return

    def crashes(self) -> list[Crash]:
        """Return all crashes in the order of their times."""
        found = [crash for target in self.crashing for crash in target.crashes]
        return sorted(found, key=lambda each: each.at)

    def sent_after_third_crash(self, allowed_s: float) -> int:
        """Return how often the deadly request was sent later than this after the third crash."""
        begin = self.crashes()[2].at + allowed_s
        return sum(at > begin for target in self.crashing for at in target.got_deadly)
