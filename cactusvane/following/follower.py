"""Keeps a copy of one table up to date, from the platform or from other VMs that read it."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from math import inf
from random import Random

from cactusvane import events
from cactusvane.clock import MS_PER_SECOND, Clock
from cactusvane.errors import CactusvaneError, PlatformError, PlatformUnavailableError
from cactusvane.events import Event
from cactusvane.fleet.vm import Address
from cactusvane.following.source import HistoryLostError, TableSource
from cactusvane.following.table import TableCopy, TablePosition, TableRows

MIN_RETRY_DELAY_MS = 100.0
MAX_RETRY_DELAY_MS = 1_000.0
"""Delays after failed reads: exponential backoff from the minimum to the maximum, with jitter."""

STANDBY_POLL_MS = 100.0
"""How often a VM that does not read the table checks whether it should."""

MIN_BATCH_DELAY_MS = 20.0
"""Delay after a read, so that changes that belong together arrive in one read."""

BATCH_DELAY_GROWTH = 2.0
"""Growth of this delay with each read that returns changes soon after the previous ones."""


@dataclass(frozen=True, slots=True)
class TableChange:
    """What a read changed in the copy of a table.

    Parameters
    ----------
    keys
        Keys of the rows whose values changed; a restore may change none.
    restored
        Whether the platform came back from an older copy since the change before.
    """

    keys: tuple[str, ...]
    restored: bool = False


@dataclass(frozen=True, slots=True)
class FollowSettings:
    """Times that determine how soon a change is known on all VMs, in milliseconds.

    Parameters
    ----------
    long_poll_ms
        How long the platform may hold a read of changes; a reader that lost its connection to the
        platform notices after this time.
    max_staleness_ms
        Age of the platform's latest response to a reader at which other VMs take over.
    max_batch_delay_ms
        Maximum delay of a change that is batched with further changes.
    startup_spread_ms
        Period over which VMs that start at the same time spread their first reads at random. Most
        of them get the table from another VM before their own read is due.
    """

    long_poll_ms: float = 1_000.0
    max_staleness_ms: float = 1_300.0
    max_batch_delay_ms: float = 200.0
    startup_spread_ms: float = 0.0


Pull = Callable[[Address, str, TablePosition], Awaitable[TableRows]]
"""Requests the changes in a table after a position from the VM at an address."""


class TableFollower:
    """Follows one table.

    Parameters
    ----------
    table
        Name of the table.
    source
        The platform's tables.
    pull
        Requests changes from another VM.
    clock
        Clock of the process.
    random
        Source of all random choices.
    settings
        Times of reads.

    Attributes
    ----------
    copy
        Copy of the table.
    on_change
        Called after the copy was changed: for changed rows, and once for each restore of the
        platform, whether rows changed with it or not.
    on_response
        Called when the platform responded.
    should_read
        Returns whether this VM should read from the platform.
    failing
        Whether the platform did not respond to the last read.
    last_failure_at
        Time of the latest failed read, in milliseconds; None if there was none.
    last_response_at
        Time of the platform's latest response, in milliseconds; None if there was none.
    history_lost
        Whether the platform no longer has the changes after the copy's version, so that the next
        read is of the whole table.
    reread
        Whether the whole table is to be read once, also by a VM that is not the reader.
    pulling
        Whether a request for changes to another VM is in progress.
    taking_over
        Whether the next read is the first after a time without reads; it asks for an immediate
        response instead of a long poll.
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
        self.on_change: Callable[[TableChange], None] = lambda change: None
        self.on_response: Callable[[], None] = lambda: None
        self.should_read: Callable[[], bool] = lambda: True
        self.failing = False
        self.last_failure_at: float | None = None
        self.last_response_at: float | None = None
        self.history_lost = False
        self.reread = False
        self.retry_delay_ms = MIN_RETRY_DELAY_MS
        self.batch_delay_ms = MIN_BATCH_DELAY_MS
        self.last_change_at = -inf
        self.pulling = False
        self.taking_over = False

    async def run(self) -> None:
        """Follow the table until cancelled."""
        await self.delay_first_read()
        while True:
            if self.copy.loaded and not self.reread and not self.should_read():
                self.taking_over = True
                await asyncio.sleep(STANDBY_POLL_MS / MS_PER_SECOND)
            else:
                await self.read()

    async def delay_first_read(self) -> None:
        """Wait a random part of `startup_spread_ms` for the table from another VM."""
        until = self.clock.now() + self.random.uniform(0.0, self.settings.startup_spread_ms)
        while not self.copy.loaded and self.clock.now() < until:
            await asyncio.sleep(STANDBY_POLL_MS / MS_PER_SECOND)

    async def read(self) -> None:
        """Read once from the platform; log the start and the end of an outage, not each failure."""
        try:
            read = await self.read_rows()
        except HistoryLostError:
            self.history_lost = True
            events.write(Event.HISTORY_LOST, table=self.table, version=self.copy.version)
            return
        except PlatformError as error:
            await self.handle_failure(error)
            return
        if not self.copy.accepts(read):
            await self.handle_refused(read)
            return
        self.history_lost = self.reread = False
        self.record_response()
        self.apply(read, "platform")
        await asyncio.sleep(self.next_batch_delay_ms(bool(read.rows)) / MS_PER_SECOND)

    async def handle_refused(self, read: TableRows) -> None:
        """Read the whole table next after a gap; back off if the platform is behind other VMs."""
        self.log_refused(read)
        if read.era < self.copy.era or read.whole:
            text = f"version {read.version} of era {read.era} is older than what is known"
            await self.handle_failure(PlatformUnavailableError(text))
        else:
            self.history_lost = True

    def log_refused(self, read: TableRows) -> None:
        """Log rows that the copy does not accept."""
        events.write(
            Event.ROWS_REFUSED,
            table=self.table,
            version=read.version,
            era=read.era,
            known_version=self.copy.version,
            known_era=self.copy.era,
            whole=read.whole,
        )

    def next_batch_delay_ms(self, changed: bool) -> float:
        """Return how long to wait for more changes after a read, in milliseconds.

        Parameters
        ----------
        changed
            Whether the read returned changes.
        """
        if not changed:
            return MIN_BATCH_DELAY_MS
        now = self.clock.now()
        soon = now - self.last_change_at <= 2.0 * self.settings.max_batch_delay_ms
        self.last_change_at = now
        max_delay_ms = self.settings.max_batch_delay_ms
        self.batch_delay_ms = (
            min(max_delay_ms, BATCH_DELAY_GROWTH * self.batch_delay_ms)
            if soon
            else MIN_BATCH_DELAY_MS
        )
        return self.batch_delay_ms

    async def read_rows(self) -> TableRows:
        """Return the whole table if it is not loaded or its history is lost, else the changes."""
        if self.history_lost or self.reread or not self.copy.loaded:
            return await self.source.read_table(self.table)
        wait_ms = 0.0 if self.taking_over else self.settings.long_poll_ms
        read = await self.source.read_changes(self.table, self.copy.version, wait_ms)
        self.taking_over = False
        return read

    async def handle_failure(self, error: PlatformError) -> None:
        """Record that the platform did not respond, and wait before the next read."""
        if not self.failing:
            events.write(Event.TABLE_LOST, table=self.table, reason=str(error))
        self.failing = True
        self.last_failure_at = self.clock.now()
        delay_ms = self.retry_delay_ms * self.random.uniform(0.5, 1.5)
        self.retry_delay_ms = min(MAX_RETRY_DELAY_MS, 2.0 * self.retry_delay_ms)
        await asyncio.sleep(delay_ms / MS_PER_SECOND)

    def record_response(self) -> None:
        """Record that the platform responded, and reset the backoff."""
        if self.failing:
            events.write(Event.TABLE_REGAINED, table=self.table, version=self.copy.version)
        self.failing = False
        self.retry_delay_ms = MIN_RETRY_DELAY_MS
        self.last_response_at = self.clock.now()
        self.on_response()

    def apply(self, read: TableRows, source: str) -> None:
        """Apply rows to the copy, and report a change in the log and to `on_change`.

        Parameters
        ----------
        read
            Rows that were read.
        source
            Where the rows come from, for the log.
        """
        copy = self.copy
        if not copy.accepts(read):
            self.log_refused(read)
            return
        first, era, version = not copy.loaded, copy.era, copy.version
        changed = copy.apply(read)
        restored = copy.era > era and not first
        if restored:
            events.write(
                Event.STORE_RESTORED,
                table=self.table,
                era=copy.era,
                version=copy.version,
                known_era=era,
                known_version=version,
                source=source,
            )
        if changed or first or restored:
            events.write(
                Event.TABLE_CHANGED,
                table=self.table,
                version=copy.version,
                rows=len(changed),
                source=source,
            )
            self.on_change(TableChange(changed, restored))

    async def catch_up(self, address: Address, position: TablePosition) -> None:
        """Pull the changes up to `position` from the VM at `address`, unless they are known."""
        if self.pulling or position <= self.copy.position:
            return
        self.pulling = True
        try:
            read = await self.pull(address, self.table, self.copy.last_change)
            self.apply(read, str(address))
        except CactusvaneError as error:
            events.write(Event.PULL_FAILED, table=self.table, peer=str(address), reason=str(error))
        finally:
            self.pulling = False
