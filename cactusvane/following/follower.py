"""Keep a copy of one table up to date, from the platform or from VMs that read it."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from math import inf
from random import Random

from cactusvane import events
from cactusvane.clock import MS_PER_SECOND, Clock
from cactusvane.errors import CactusvaneError, PlatformError
from cactusvane.events import Event
from cactusvane.fleet.vm import Address
from cactusvane.following.source import HistoryLostError, TableSource
from cactusvane.following.table import TableCopy, TableRows

MIN_RETRY_DELAY_MS = 100.0
MAX_RETRY_DELAY_MS = 1_000.0
"""Pauses after failed reads: the first, doubled up to the last, each with jitter."""

STANDBY_POLL_MS = 100.0
"""How often a VM that does not read looks whether it has to."""

MIN_BATCH_DELAY_MS = 20.0
"""Pause after a read that brought changes, so that those that belong together come together."""

BATCH_DELAY_GROWTH = 2.0
"""Factor on this pause with each read in a row that brought changes soon after the last one."""


@dataclass(frozen=True, slots=True)
class FollowSettings:
    """How soon a change must be known everywhere.

    Parameters
    ----------
    long_poll_ms
        How long the platform holds a read of changes; a reader that is cut off notices so soon.
    max_staleness_ms
        Age of the platform's latest answer to a reader at which other VMs take over.
    max_batch_delay_ms
        How long a change may wait for others at most while one follows the other.
    startup_spread_ms
        Within which time VMs that start all together read a table first, at random moments: most
        of them have it from another VM by then.
    """

    long_poll_ms: float = 1_000.0
    max_staleness_ms: float = 1_300.0
    max_batch_delay_ms: float = 200.0
    startup_spread_ms: float = 0.0


Pull = Callable[[Address, str, int], Awaitable[TableRows]]
"""Asks the VM at an address for what changed in a table after a version."""


class TableFollower:
    """Follows one table.

    Parameters
    ----------
    table
        Name of the table.
    source
        The platform.
    pull
        Asks another VM.
    clock
        The process's clock.
    random
        Source of all random choices.
    settings
        How soon a change must be known.

    Attributes
    ----------
    on_change
        Called with the keys that differ, after the copy was changed.
    on_response
        Called when the platform answered.
    should_read
        Says whether this VM is to read from the platform.
    failing
        Whether the platform did not answer the last read.
    last_failure_at
        When a read failed last, in milliseconds; None for never.
    last_response_at
        When the platform answered last, in milliseconds; None for never.
    taking_over
        Whether the next read is the first after a time without reads; it asks for an answer at
        once.
    """

    def __init__(
        self,
        table: str,
        source: TableSource,
        pull: Pull,
        clock: Clock,
        random: Random,
        settings: FollowSettings,
    ) -> None:
        self.settings = settings
        self.table = table
        self.source = source
        self.pull = pull
        self.clock = clock
        self.random = random
        self.copy = TableCopy()
        self.on_change: Callable[[tuple[str, ...]], None] = lambda keys: None
        self.on_response: Callable[[], None] = lambda: None
        self.should_read: Callable[[], bool] = lambda: True
        self.failing = False
        self.last_failure_at: float | None = None
        self.last_response_at: float | None = None
        self.history_lost = False
        self.retry_delay_ms = MIN_RETRY_DELAY_MS
        self.batch_delay_ms = MIN_BATCH_DELAY_MS
        self.last_change_at = -inf
        self.pulling = False
        self.taking_over = False

    async def run(self) -> None:
        """Follow until cancelled."""
        await self.delay_first_read()
        while True:
            if self.copy.loaded and not self.should_read():
                self.taking_over = True
                await asyncio.sleep(STANDBY_POLL_MS / MS_PER_SECOND)
            else:
                await self.read()

    async def delay_first_read(self) -> None:
        """Leave the first read to other VMs for a moment, where all start together."""
        until = self.clock.now() + self.random.uniform(0.0, self.settings.startup_spread_ms)
        while not self.copy.loaded and self.clock.now() < until:
            await asyncio.sleep(STANDBY_POLL_MS / MS_PER_SECOND)

    async def read(self) -> None:
        """Read once from the platform; a failure is logged when it begins and when it ends."""
        try:
            read = await self.read_rows()
        except HistoryLostError:
            self.history_lost = True
            events.write(Event.HISTORY_LOST, table=self.table, version=self.copy.version)
            return
        except PlatformError as error:
            await self.handle_failure(error)
            return
        self.history_lost = False
        self.record_response()
        self.apply(read, "platform")
        await asyncio.sleep(self.next_batch_delay_ms(bool(read.rows)) / MS_PER_SECOND)

    def next_batch_delay_ms(self, changed: bool) -> float:
        """Return how long to wait for more changes after a read."""
        if not changed:
            return MIN_BATCH_DELAY_MS
        now = self.clock.now()
        soon = now - self.last_change_at <= 2.0 * self.settings.max_batch_delay_ms
        self.last_change_at = now
        most = self.settings.max_batch_delay_ms
        self.batch_delay_ms = (
            min(most, BATCH_DELAY_GROWTH * self.batch_delay_ms) if soon else MIN_BATCH_DELAY_MS
        )
        return self.batch_delay_ms

    async def read_rows(self) -> TableRows:
        """Return the whole table where it is not known, or else what changed."""
        if self.history_lost or not self.copy.loaded:
            return await self.source.read_table(self.table)
        wait_ms = 0.0 if self.taking_over else self.settings.long_poll_ms
        read = await self.source.read_changes(self.table, self.copy.version, wait_ms)
        self.taking_over = False
        return read

    async def handle_failure(self, error: PlatformError) -> None:
        """Note that the platform did not answer, and pause."""
        if not self.failing:
            events.write(Event.TABLE_LOST, table=self.table, reason=str(error))
        self.failing = True
        self.last_failure_at = self.clock.now()
        pause = self.retry_delay_ms * self.random.uniform(0.5, 1.5)
        self.retry_delay_ms = min(MAX_RETRY_DELAY_MS, 2.0 * self.retry_delay_ms)
        await asyncio.sleep(pause / MS_PER_SECOND)

    def record_response(self) -> None:
        """Note that the platform answered."""
        if self.failing:
            events.write(Event.TABLE_REGAINED, table=self.table, version=self.copy.version)
        self.failing = False
        self.retry_delay_ms = MIN_RETRY_DELAY_MS
        self.last_response_at = self.clock.now()
        self.on_response()

    def apply(self, read: TableRows, source: str) -> None:
        """Change the copy and tell of it."""
        first = not self.copy.loaded
        changed = self.copy.apply(read)
        if changed or first:
            events.write(
                Event.TABLE_CHANGED,
                table=self.table,
                version=self.copy.version,
                rows=len(changed),
                source=source,
            )
            self.on_change(changed)

    async def catch_up(self, address: Address, version: int) -> None:
        """Ask another VM for what it knows and this one does not."""
        if self.pulling or version <= self.copy.last_change_version:
            return
        self.pulling = True
        try:
            self.apply(
                await self.pull(address, self.table, self.copy.last_change_version), str(address)
            )
        except CactusvaneError as error:
            events.write(Event.PULL_FAILED, table=self.table, peer=str(address), reason=str(error))
        finally:
            self.pulling = False
