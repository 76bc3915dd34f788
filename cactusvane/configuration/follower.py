"""Updates of a VM's configuration from the platform and from other VMs."""

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial
from random import Random

import msgspec

from cactusvane import events
from cactusvane.clock import MS_PER_SECOND, Clock
from cactusvane.configuration.digest import digest
from cactusvane.configuration.model import Configuration, Head
from cactusvane.configuration.publish import read_head
from cactusvane.configuration.tree import EMPTY, Tree, fetch_tree
from cactusvane.configuration.versions import (
    Activate,
    Fetch,
    HeadOffered,
    HeadRead,
    ObjectRead,
    Reject,
    VersionCommand,
    VersionEvent,
    VersionSelector,
)
from cactusvane.errors import NotFoundError, PlatformError
from cactusvane.events import Event
from cactusvane.fleet.vm import Address
from cactusvane.settings import Settings
from cactusvane.store.interface import Platform

MAX_READS_PER_SECOND = 200.0
"""Limit on reads of the head by the whole fleet."""

JITTER = 0.1
"""Maximum jitter of an interval, as a share of it; prevents synchronized reads by the VMs."""

FETCH_ATTEMPTS = 4
INITIAL_FETCH_BACKOFF_MS = 250.0

FetchFromPeers = Callable[[str, tuple[Address, ...]], Awaitable[bytes | None]]


def read_interval_ms(head_ms: float, vms: int) -> float:
    """Return how long a VM waits between reads of the head, in milliseconds.

    Parameters
    ----------
    head_ms
        Minimum interval from the settings, in milliseconds.
    vms
        Number of VMs in the fleet.

    Examples
    --------
    >>> read_interval_ms(1_000, 48), read_interval_ms(1_000, 5_700)
    (1000, 28500.0)
    """
    return max(head_ms, vms * MS_PER_SECOND / MAX_READS_PER_SECOND)


class ConfigurationFollower:
    """Follows the published configuration.

    Parameters
    ----------
    settings
        Settings of the daemon.
    platform
        The platform, which stores the head row and the objects.
    clock
        Not used yet; accepted so that all I/O classes have the same parameters.

    Attributes
    ----------
    configuration
        The active configuration, or None before the first.
    tree
        The active configuration with the digests of its parts.
    on_change
        Callbacks that get each configuration when it becomes active.
    vms
        Number of VMs in the fleet; the interval between reads grows with it.
    fetch_from_peers
        Requests the object with a digest from the VMs at the given addresses, or from any VM if
        there are none.
    """

    def __init__(self, settings: Settings, platform: Platform, clock: Clock) -> None:
        self.settings = settings
        self.platform = platform
        self.clock = clock
        self.random = Random(f"{settings.seed}/{settings.vm}/head")
        self.versions = VersionSelector()
        self.configuration: Configuration | None = None
        self.tree = EMPTY
        self.previous = EMPTY
        self.on_change: list[Callable[[Configuration], None]] = []
        self.vms = 1
        self.fetch_from_peers: FetchFromPeers | None = None
        self.sources: dict[str, set[Address]] = {}
        self.fetched: dict[str, Tree] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.reachable = True

    @property
    def head(self) -> Head | None:
        """The active head."""
        return self.versions.head

    async def run(self) -> None:
        """Read the head periodically until cancelled."""
        try:
            while True:
                await self.read()
                await asyncio.sleep(self.next_interval_ms() / MS_PER_SECOND)
        finally:
            for task in self.tasks:
                task.cancel()

    def next_interval_ms(self) -> float:
        """Return the time until the next read in milliseconds, with jitter."""
        interval = read_interval_ms(self.settings.head_ms, self.vms)
        return interval * self.random.uniform(1.0 - JITTER, 1.0 + JITTER)

    async def read(self) -> None:
        """Read the head once; log the start and the end of an outage."""
        try:
            head = await read_head(self.platform)
        except (PlatformError, msgspec.DecodeError) as error:
            if self.reachable:
                events.write(Event.CONFIGURATION_UNREADABLE, reason=str(error))
            self.reachable = False
            return
        if not self.reachable:
            events.write(Event.CONFIGURATION_READABLE)
        self.reachable = True
        if head:
            self.handle(HeadRead(head))

    def offer(self, head: Head, failure_domain: str, source: Address | None = None) -> None:
        """Handle a head that is active at another VM.

        Parameters
        ----------
        head
            The head that the VM reports.
        failure_domain
            Failure domain of the VM.
        source
            Address at which the VM serves other VMs, to fetch the objects from.
        """
        if source and head.version > self.versions.version:
            self.sources.setdefault(head.digest, set()).add(source)
        self.handle(HeadOffered(head, failure_domain))

    def handle(self, event: VersionEvent) -> None:
        """Pass an event to the version selector and execute the returned commands."""
        for command in self.versions.handle(event):
            self.execute(command)

    def execute(self, command: VersionCommand) -> None:
        """Execute one command."""
        match command:
            case Fetch(head):
                task = asyncio.get_running_loop().create_task(self.fetch(head))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
            case Activate(head):
                self.activate(head)
            case Reject(head, reason):
                events.write(Event.CONFIGURATION_REJECTED, version=head.version, reason=reason)

    def activate(self, head: Head) -> None:
        """Activate a configuration that was fetched."""
        self.previous, self.tree = self.tree, self.fetched[head.digest]
        self.configuration = self.tree.configuration
        self.fetched.clear()
        self.sources.clear()
        events.write(Event.CONFIGURATION_ADOPTED, version=head.version, digest=head.digest)
        for listener in self.on_change:
            listener(self.configuration)

    def find(self, wanted: str) -> bytes | None:
        """Return an object of the active or the previous version for another VM, or None."""
        return self.tree.find(wanted) or self.previous.find(wanted)

    async def fetch(self, head: Head) -> None:
        """Fetch the missing parts of a version, with retries, and report the result."""
        data: bytes | None = None
        for attempt in range(FETCH_ATTEMPTS):
            data = await self.fetch_once(head)
            if data is not None:
                break
            await asyncio.sleep(INITIAL_FETCH_BACKOFF_MS * 2**attempt / MS_PER_SECOND)
        self.handle(ObjectRead(head, data))

    async def fetch_once(self, head: Head) -> bytes | None:
        """Fetch the missing parts of a version and return its root, or None on failure."""
        sources = tuple(sorted(self.sources.get(head.digest, ())))
        try:
            tree = await fetch_tree(partial(self.fetch_object, sources), head.digest, self.tree)
        except (PlatformError, msgspec.DecodeError):
            return None
        self.fetched[head.digest] = tree
        return tree.find(head.digest)

    async def fetch_object(self, sources: tuple[Address, ...], wanted: str) -> bytes:
        """Fetch an object from peers that have the version, else the store, else any peer.

        Raises
        ------
        PlatformError
            The object was not found.
        """
        data = await self.request_from_peers(wanted, sources) if sources else None
        if data is None:
            data = await self.request_from_store(wanted)
        if data is None:
            data = await self.request_from_peers(wanted, ())
        if data is None:
            raise NotFoundError(f"neither the store nor any VM has the object {wanted}")
        return data

    async def request_from_peers(self, wanted: str, sources: tuple[Address, ...]) -> bytes | None:
        """Return the object from a peer, or None; bytes with another digest are discarded."""
        if self.fetch_from_peers is None:
            return None
        data = await self.fetch_from_peers(wanted, sources)
        return data if data is not None and digest(data) == wanted else None

    async def request_from_store(self, wanted: str) -> bytes | None:
        """Return the object from the store, or None; bytes with another digest are discarded."""
        try:
            data = await self.platform.get_object(wanted)
        except PlatformError:
            return None
        return data if digest(data) == wanted else None
