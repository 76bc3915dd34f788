"""Random faults, drawn from a seed, that are injected into a running fleet and may overlap."""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import Any, Protocol

from tests.processes.harness import Fleet
from tests.processes.verdicts import Disturbance

Fault = Callable[[], Coroutine[Any, Any, None]]

FAILURE_DOMAINS = ("Gobabis", "Witvlei", "Leonardville")
MIN_ENTRIES = 2
WRONG_RESPONSES = {
    "late_share": 0.05,
    "late_ms": 2_000.0,
    "short_share": 0.1,
    "long_share": 0.1,
    "twice_share": 0.1,
    "garbage_share": 0.05,
    "cut_share": 0.1,
}


class Service(Protocol):
    """Attributes of a service that `Chaos` uses."""

    @property
    def name(self) -> str:
        """Name of the service."""

    @property
    def slots(self) -> int:
        """Maximum number of concurrent requests of a target."""


class Chaos:
    """Injects random faults, and replaces the processes that they end.

    Parameters
    ----------
    fleet
        Fleet to inject the faults into.
    services
        Services of the fleet.
    seed
        Seed of all draws.
    faults
        Names of the methods of this class that may be drawn.
    gap_seconds
        Mean time between the starts of two faults; faults overlap if it is short.
    """

    def __init__(
        self,
        fleet: Fleet,
        services: tuple[Service, ...],
        seed: int,
        faults: tuple[str, ...],
        gap_seconds: float = 0.8,
    ) -> None:
        self.fleet = fleet
        self.services = services
        self.random = random.Random(seed)
        self.faults = faults
        self.gap_seconds = gap_seconds
        self.injected: Counter[str] = Counter()
        self.affected: set[str] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> None:
        """Inject faults for `seconds`, then wait until each has ended."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            await asyncio.sleep(self.random.expovariate(1.0 / self.gap_seconds))
            name = self.random.choice(self.faults)
            fault: Fault = getattr(self, name)
            self.injected[name] += 1
            task = asyncio.ensure_future(fault())
            self.tasks.add(task)
        await asyncio.gather(*self.tasks)

    def pick_process(self, names: dict[str, Any], min_left: int = 1) -> str | None:
        """Draw a running process that no fault affects, and mark it as affected.

        A process that is not registered yet is still starting, and not drawn.

        Parameters
        ----------
        names
            Processes to draw from, by name.
        min_left
            Minimum number of unaffected processes that must be left.

        Returns
        -------
        str or None
            Name of the process, or None if too few would be left.
        """
        processes = self.fleet.processes
        listed = [n for n in names if processes[n].alive() and processes[n].registration]
        free = [n for n in listed if n not in self.affected]
        if len(free) <= min_left:
            return None
        name = self.random.choice(free)
        self.affected.add(name)
        return name

    async def wait_random(self, min_seconds: float = 1.0, max_seconds: float = 4.0) -> None:
        """Wait for a random time, the duration of a fault."""
        await asyncio.sleep(self.random.uniform(min_seconds, max_seconds))

    async def kill_entry(self) -> None:
        """Kill an entry and start another one."""
        name = self.pick_process(self.fleet.entries, MIN_ENTRIES)
        if name is None:
            return
        self.fleet.kill(name)
        self.fleet.balanced_entries.pop(name, None)
        await self.new_entry()

    async def stop_entry(self) -> None:
        """Stop an entry with SIGTERM and start another one at the same time."""
        name = self.pick_process(self.fleet.entries, MIN_ENTRIES)
        if name is None:
            return
        stopping = asyncio.ensure_future(self.fleet.stop(name))
        await self.new_entry()
        await stopping

    async def new_entry(self) -> None:
        """Start an entry; don't wait until it is ready, as it may need the platform or peers."""
        domain = self.random.choice(FAILURE_DOMAINS)
        name = f"entry-{len(self.fleet.entries)}"
        self.affected.add(name)
        await self.fleet.start_entry(domain, ready=False)
        self.affected.discard(name)

    async def freeze_entry(self) -> None:
        """Suspend an entry for longer than its leases and timeouts, then resume it."""
        name = self.pick_process(self.fleet.entries, MIN_ENTRIES)
        if name is None:
            return
        with self.fleet.frozen(name):
            await self.wait_random(2.0, 6.0)
        self.affected.discard(name)

    async def freeze_platform(self) -> None:
        """Suspend the platform's process for some time."""
        with self.fleet.frozen("platform"):
            await self.wait_random()

    async def platform_down(self) -> None:
        """Make the platform unavailable for some time."""
        await self.impair_platform(down=True)

    async def platform_slow(self) -> None:
        """Delay the platform's responses beyond every timeout."""
        await self.impair_platform(slow_ms=3_000)

    async def lose_answers(self) -> None:
        """Lose the responses of writes that took effect."""
        await self.set_platform_faults(lose_answers=self.random.randint(1, 10))

    async def impair_platform(self, **faults: object) -> None:
        """Set faults of the platform for some time, and record the disturbance."""
        start = time.time()
        await self.set_platform_faults(**faults)
        await self.wait_random()
        await self.set_platform_faults()
        self.fleet.disturbances.append(Disturbance("platform", start, time.time()))

    async def set_platform_faults(self, **faults: object) -> None:
        """Set the platform's faults; ignore failures, as the platform may be suspended."""
        with suppress(OSError, TimeoutError):
            await self.fleet.set_platform_faults(**faults)

    async def freeze_target(self) -> None:
        """Suspend a target for some time."""
        name = self.pick_process(self.fleet.targets, 2)
        if name is None:
            return
        with self.fleet.frozen(name):
            await self.wait_random(1.0, 6.0)
        self.affected.discard(name)

    async def kill_target(self) -> None:
        """Kill a target; some time later, replace it, also on the VM list."""
        name = self.pick_process(self.fleet.targets, 2)
        if name is None:
            return
        self.fleet.kill(name)
        await self.wait_random()
        await self.replace_target(name)

    async def replace_target(self, name: str) -> None:
        """Remove a target from the VM list and start another one of the same service."""
        listed = self.fleet.targets[name].registration
        with suppress(OSError, TimeoutError):
            await self.fleet.register(removed=(name,))
        service = next(s for s in self.services if s.name == listed["service"])
        domain = str(listed["failure_domain"])
        with suppress(OSError, TimeoutError):
            await self.fleet.start_target(service.name, domain, service.slots, forwarded=True)

    async def gray_target(self) -> None:
        """Make a target fail most requests, while its health check succeeds."""
        await self.impair_target({"fail_share": 0.8})

    async def wrong_answers(self) -> None:
        """Make responses of a target late, truncated, too long, repeated, garbage or missing."""
        await self.impair_target(WRONG_RESPONSES)

    async def impair_target(self, behaviour: dict[str, float]) -> None:
        """Change a target's behaviour for some time."""
        name = self.pick_process(self.fleet.targets, 2)
        if name is None:
            return
        with suppress(OSError, TimeoutError):
            await self.fleet.set_behaviour(name, **behaviour)
            await self.wait_random()
            await self.fleet.set_behaviour(name, **dict.fromkeys(behaviour, 0.0))
            await asyncio.sleep(1.0)
        self.affected.discard(name)

    async def cut_up(self) -> None:
        """Drop the bytes that are sent to a target."""
        await self.cut_path(drop_up=True)

    async def cut_down(self) -> None:
        """Drop the bytes that a target sends."""
        await self.cut_path(drop_down=True)

    async def cut_answers(self) -> None:
        """Close connections to a target in the middle of a response."""
        await self.cut_path(cut_after=self.random.randint(0, 3_000))

    async def cut_path(self, **behaviour: object) -> None:
        """Disturb the network path to a target for some time."""
        name = self.pick_process(self.fleet.targets, 2)
        if name is None:
            return
        await self.fleet.set_path_behaviour(name, **behaviour)
        await self.wait_random()
        await self.fleet.set_path_behaviour(name, drop_up=False, drop_down=False, cut_after=-1)
        await asyncio.sleep(1.0)
        self.affected.discard(name)

    async def leave_by_list(self) -> None:
        """Mark a target as leaving on the platform's VM list, then stop and replace it."""
        name = self.pick_process(self.fleet.targets, 2)
        if name is not None:
            await self.leave(name, self.fleet.leave_by_list(name))

    async def leave_by_answer(self) -> None:
        """Let a target announce in its responses that it is draining, then stop and replace it."""
        name = self.pick_process(self.fleet.targets, 2)
        if name is not None:
            await self.leave(name, self.fleet.leave_by_answer(name))

    async def leave(self, name: str, notice: Coroutine[Any, Any, None]) -> None:
        """Send a notice, stop the target 4 seconds later, and replace it."""
        with suppress(OSError, TimeoutError):
            await notice
        await asyncio.sleep(4.0)
        await self.fleet.stop(name)
        await self.replace_target(name)


ENTRY_FAULTS = ("kill_entry", "freeze_entry")
PLATFORM_FAULTS = ("platform_down", "platform_slow", "lose_answers", "freeze_platform")
TARGET_FAULTS = ("freeze_target", "kill_target", "gray_target", "wrong_answers")
PATH_FAULTS = ("cut_up", "cut_down", "cut_answers")
PLANNED = ("stop_entry", "leave_by_list", "leave_by_answer")
ALL_FAULTS = (*ENTRY_FAULTS, *PLATFORM_FAULTS, *TARGET_FAULTS, *PATH_FAULTS, *PLANNED)
