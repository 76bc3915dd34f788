"""Discovery of the other entries of a failure domain."""

import asyncio
from collections.abc import Awaitable, Callable

from cactusvane import events
from cactusvane.clock import MS_PER_SECOND, Clock
from cactusvane.errors import CactusvaneError, PlatformError
from cactusvane.events import Event
from cactusvane.fleet.vm import Address, Vm
from cactusvane.following.directory import EntryDirectory
from cactusvane.following.exchange import EntryClient
from cactusvane.following.follower import TableFollower
from cactusvane.following.table import TablePosition
from cactusvane.placement.domain import Domain
from cactusvane.settings import Settings

RENEWALS_PER_S = 100.0
"""Maximum rate at which all entries of the fleet look whether they are still registered."""

RETRY_DELAY_MS = 500.0
"""Delay before the platform's directory, or the seeds, are queried again."""


class EntryFinder:
    """Registers one VM in the platform's directory, and queries seeds during a platform outage.

    Parameters
    ----------
    settings
        Settings of this VM.
    directory
        The platform's directory of entries.
    domain
        The failure domain with its known entries.
    entry_client
        Client for requests to other entries.
    followers
        Followers of the tables, by table name; a seed may have a copy of them.
    introduce
        Announces this entry to another entry.
    clock
        Clock of the process.

    Attributes
    ----------
    registered
        Whether this VM and the others are in the directory, as far as it has responded.
    """

    def __init__(
        self,
        settings: Settings,
        directory: EntryDirectory,
        domain: Domain,
        entry_client: EntryClient,
        followers: dict[str, TableFollower],
        introduce: Callable[[Address], None],
        clock: Clock,
    ) -> None:
        self.clock = clock
        self.settings = settings
        self.directory = directory
        self.domain = domain
        self.entry_client = entry_client
        self.followers = followers
        self.introduce = introduce
        self.registered = False

    @property
    def own(self) -> Vm:
        """Entry of this VM in the directory."""
        settings = self.settings
        return Vm(settings.vm, settings.listen, settings.failure_domain, peer=settings.peer)

    async def register(self) -> None:
        """Register this VM in the directory, retry until it succeeds, and add the others."""
        await self.retry(self.directory.register)
        self.registered = True

    async def renew(self) -> None:
        """Register again if the registration was lost with a restore of the platform's store."""
        fleet_size = (len(self.domain.peers) + 1) * self.domain.limit.domains
        spread_ms = MS_PER_SECOND * fleet_size / RENEWALS_PER_S
        await asyncio.sleep(self.domain.random.random() * spread_ms / MS_PER_SECOND)
        await self.retry(self.directory.renew)

    async def retry(self, call: Callable[[Vm], Awaitable[tuple[Vm, ...]]]) -> None:
        """Call the directory until it responds, and add the entries that it returns."""
        while True:
            try:
                self.add_entries(await call(self.own))
                return
            except PlatformError as error:
                events.write(Event.TABLE_LOST, table="entries", reason=str(error))
                delay_ms = RETRY_DELAY_MS * self.domain.random.uniform(0.5, 2.0)
                await asyncio.sleep(delay_ms / MS_PER_SECOND)

    def add_entries(self, vms: tuple[Vm, ...]) -> None:
        """Add entries of the own failure domain and introduce this VM to the new ones."""
        now = self.clock.now()
        for vm in vms:
            is_local = vm.failure_domain == self.settings.failure_domain
            if is_local and vm.peer is not None and self.domain.add_peer(vm.name, vm.peer, now):
                self.introduce(vm.peer)

    async def query_seeds(self, is_complete: Callable[[], bool]) -> None:
        """Query the seeds until `is_complete` returns True; the platform is tried first.

        Parameters
        ----------
        is_complete
            Returns whether no more information from seeds is needed.
        """
        first_ms = max(follower.settings.startup_spread_ms for follower in self.followers.values())
        await asyncio.sleep(first_ms / MS_PER_SECOND)
        while not is_complete():
            await asyncio.sleep(RETRY_DELAY_MS / MS_PER_SECOND)
            for address in self.settings.peers:
                if address != self.settings.peer and not is_complete():
                    await self.query_seed(address)

    async def query_seed(self, address: Address) -> None:
        """Get the known entries, and tables that are not loaded yet, from one other entry."""
        try:
            self.add_entries(await self.entry_client.entries(address))
            for follower in self.followers.values():
                if not follower.copy.loaded:
                    whole = TablePosition()
                    read = await self.entry_client.pull(address, follower.table, whole)
                    follower.apply(read, "entry")
        except CactusvaneError as error:
            events.write(Event.PULL_FAILED, table="all", peer=str(address), reason=str(error))

    def known_entries(self) -> tuple[Vm, ...]:
        """Return the known entries of the failure domain, this one first."""
        domain = self.settings.failure_domain
        peers = self.domain.peers.items()
        others = (Vm(vm, peer.address, domain, peer=peer.address) for vm, peer in peers)
        return (self.own, *others)
