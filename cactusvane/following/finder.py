"""How the entries of a failure domain find each other."""

import asyncio
from collections.abc import Callable

from cactusvane import events
from cactusvane.clock import MS_PER_SECOND, Clock
from cactusvane.errors import CactusvaneError, PlatformError
from cactusvane.events import Event
from cactusvane.fleet.vm import Address, Vm
from cactusvane.following.directory import EntryDirectory
from cactusvane.following.exchange import EntryClient
from cactusvane.following.follower import TableFollower
from cactusvane.placement.domain import Domain
from cactusvane.settings import Settings

RETRY_DELAY_MS = 500.0
"""Pause before the platform's list, or the seeds, are asked again."""


class EntryFinder:
    """Enters one VM on the platform's list, and learns from seeds while the platform is away.

    Parameters
    ----------
    settings
        Of this VM.
    directory
        The platform's list of entries.
    domain
        The entries that are known.
    entry_client
        Asks other entries.
    followers
        The tables that a seed may know already, by name.
    introduce
        Tells another entry of this one.
    clock
        The process's clock.
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

    @property
    def own(self) -> Vm:
        """The row of this VM on the list."""
        settings = self.settings
        return Vm(settings.vm, settings.listen, settings.failure_domain, peer=settings.peer)

    async def register(self) -> None:
        """Enter this VM on the list of entries, and greet those that are there."""
        while True:
            try:
                self.add_entries(await self.directory.register(self.own))
                return
            except PlatformError as error:
                events.write(Event.TABLE_LOST, table="entries", reason=str(error))
                pause = RETRY_DELAY_MS * self.domain.random.uniform(0.5, 2.0)
                await asyncio.sleep(pause / MS_PER_SECOND)

    def add_entries(self, vms: tuple[Vm, ...]) -> None:
        """Take in entries of the failure domain and tell them of this one."""
        now = self.clock.now()
        for vm in vms:
            near = vm.failure_domain == self.settings.failure_domain
            if near and vm.peer is not None and self.domain.meet(vm.name, vm.peer, now):
                self.introduce(vm.peer)

    async def query_seeds(self, is_complete: Callable[[], bool]) -> None:
        """Learn from other entries until there is `is_complete`; the platform goes first."""
        first_ms = max(follower.settings.startup_spread_ms for follower in self.followers.values())
        await asyncio.sleep(first_ms / MS_PER_SECOND)
        while not is_complete():
            await asyncio.sleep(RETRY_DELAY_MS / MS_PER_SECOND)
            for address in self.settings.peers:
                if address != self.settings.peer and not is_complete():
                    await self.query_seed(address)

    async def query_seed(self, address: Address) -> None:
        """Learn from one other entry."""
        try:
            self.add_entries(await self.entry_client.entries(address))
            for follower in self.followers.values():
                if not follower.copy.loaded:
                    follower.apply(
                        await self.entry_client.pull(address, follower.table, 0), "entry"
                    )
        except CactusvaneError as error:
            events.write(Event.PULL_FAILED, table="all", peer=str(address), reason=str(error))

    def known_entries(self) -> tuple[Vm, ...]:
        """Return the entries of the failure domain, this one among them."""
        domain = self.settings.failure_domain
        peers = self.domain.peers.items()
        others = (Vm(vm, peer.address, domain, peer=peer.address) for vm, peer in peers)
        return (self.own, *others)
