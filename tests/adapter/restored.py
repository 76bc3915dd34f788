"""Entries of several failure domains, and a store that goes back to an earlier state."""

import asyncio
from dataclasses import dataclass
from itertools import pairwise

from adapter.store import ENTRIES_TABLE

from cactusvane.errors import PlatformUnavailableError
from cactusvane.fleet_process import FleetProcess
from cactusvane.following.table import TableRows
from tests.adapter.limited import LimitedFleet

CONFIG_APPLY_S = 2.0
"""Time from the acknowledgement of a configuration until it must be active everywhere."""

WATCH_INTERVAL_S = 0.01


@dataclass(frozen=True, slots=True)
class Active:
    """From `at` (seconds, clock of the event loop), an entry has this configuration active."""

    at: float
    version: int


class RestoredFleet(LimitedFleet):
    """Writes as operators and targets do, also once more after the store was restored.

    Attributes
    ----------
    active
        Configurations that became active, by VM and start of its process.
    ready_versions
        The configuration with which each process became ready.
    """

    def __init__(self, zones: dict[str, int], targets: int = 4, seed: int = 1) -> None:
        super().__init__(zones, targets, seed)
        self.active: dict[tuple[str, int], list[Active]] = {}
        self.ready_versions: dict[tuple[str, int], int] = {}
        self.configuration = b""
        self.watching: asyncio.Task[None] | None = None

    async def start_all(self) -> None:
        """Start all entries, and record their configurations from now on."""
        self.watching = asyncio.ensure_future(self.watch())
        await super().start_all()

    async def watch(self) -> None:
        """Record which configuration is active where."""
        while True:
            for process in self.processes:
                self.record(process, (process.settings.vm, process.domain.started))
            await asyncio.sleep(WATCH_INTERVAL_S)

    def record(self, process: FleetProcess, key: tuple[str, int]) -> None:
        """Record the configuration of one process."""
        seen = self.active.setdefault(key, [])
        if process.version and (not seen or seen[-1].version != process.version):
            seen.append(Active(asyncio.get_running_loop().time(), process.version))
        if process.ready:
            self.ready_versions.setdefault(key, process.version)

    def regressions(self) -> list[str]:
        """Return the processes that went back to an older configuration, in words."""
        return [
            f"{vm}: from {before.version} to {after.version}"
            for (vm, _), seen in self.active.items()
            for before, after in pairwise(seen)
            if after.version < before.version
        ]

    def go_back(self, writes: int) -> None:
        """Take the latest writes out of the store."""
        self.store.restore(self.store.ver - writes)

    def write_again(self) -> None:
        """Write what the operator and the targets had written last."""
        self.store.put("op", "config", self.configuration)
        self.list_targets()

    def publish(self) -> int:
        """Publish the next configuration and return its version."""
        self.configure()
        self.configuration = self.store.rows["op", "", "config"][0] or b""
        return self.operator_version

    def registered(self) -> list[str]:
        """Return the keys of the entries that are registered in the store."""
        return [key for (table, _, key) in self.store.rows if table == ENTRIES_TABLE]

    def behind(self, version: int) -> list[str]:
        """Return the entries that do not have a configuration, in words."""
        return [
            f"{each.settings.vm}: {each.version}, not {version}"
            for each in self.processes
            if each.version != version
        ]

    async def behind_in_time(self, version: int) -> list[str]:
        """Return the entries that still do not have a configuration when it is due."""
        end = asyncio.get_running_loop().time() + CONFIG_APPLY_S
        while self.behind(version) and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(WATCH_INTERVAL_S)
        return self.behind(version)

    async def finish(self) -> None:
        """Stop all processes."""
        if self.watching is not None:
            self.watching.cancel()
        await super().finish()


class CutSource:
    """Tables of a store that one entry cannot reach."""

    async def read_table(self, table: str) -> TableRows:
        raise PlatformUnavailableError("the entry is cut off")

    async def read_changes(self, table: str, after: int, wait_ms: float) -> TableRows:
        raise PlatformUnavailableError("the entry is cut off")

    async def confirm(self, table: str, rows: TableRows) -> bool:
        raise PlatformUnavailableError("the entry is cut off")


def cut_off(process: FleetProcess) -> None:
    """Cut an entry off the store; it still hears the other entries."""
    for follower in process.followers.values():
        follower.source = CutSource()
