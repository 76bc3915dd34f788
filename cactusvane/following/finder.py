"""How the entries of a failure domain find each other."""

import asyncio
from collections.abc import Callable

from cactusvane import events
from cactusvane.clock import MS_PER_SECOND, Clock
from cactusvane.errors import CactusvaneError, PlatformError
from cactusvane.events import Event
from cactusvane.fleet.vm import Address, Vm
from cactusvane.following.directory import EntryDirectory
from cactusvane.following.exchange import EntryExchange
from cactusvane.following.follower import TableFollower
from cactusvane.placement.domain import Domain
from cactusvane.settings import Settings

PAUSE_MS = 500.0
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
    exchange
        Asks other entries.
    followers
        The tables that a seed may know already, by name.
    greet
        Tells another entry of this one.
    clock
        The process's clock.
    """

    def __init__(
        self,
        settings: Settings,
        directory: EntryDirectory,
        domain: Domain,
        exchange: EntryExchange,
        followers: dict[str, TableFollower],
        greet: Callable[[Address], None],
        clock: Clock,
    ) -> None:
        self.clock = clock
        self.settings = settings
        self.directory = directory
        self.domain = domain
        self.exchange = exchange
        self.followers = followers
        self.greet = greet

    @property
    def own(self) -> Vm:
        """The row of this VM on the list."""
        settings = self.settings
        return Vm(settings.vm, settings.listen, settings.failure_domain, peer=settings.peer)

    async def enter(self) -> None:
        """Enter this VM on the list of entries, and greet those that are there."""
        while True:
            try:
                self.meet(await self.directory.enter(self.own))
                return
            except PlatformError as error:
                events.write(Event.TABLE_LOST, table="entries", reason=str(error))
                pause = PAUSE_MS * self.domain.random.uniform(0.5, 2.0)
                await asyncio.sleep(pause / MS_PER_SECOND)

    def meet(self, vms: tuple[Vm, ...]) -> None:
        """Take in entries of the failure domain and tell them of this one."""
        now = self.clock.now()
        for vm in vms:
            near = vm.failure_domain == self.settings.failure_domain
            if near and vm.peer is not None and self.domain.add_peer(vm.name, vm.peer, now):
                self.greet(vm.peer)

    async def ask_seeds(self, enough: Callable[[], bool]) -> None:
        """Learn from other entries until there is `enough`; the platform goes first."""
        first_ms = max(follower.settings.first_read_ms for follower in self.followers.values())
        await asyncio.sleep(first_ms / MS_PER_SECOND)
        while not enough():
            await asyncio.sleep(PAUSE_MS / MS_PER_SECOND)
            for address in self.settings.peers:
                if address != self.settings.peer and not enough():
                    await self.ask_seed(address)

    async def ask_seed(self, address: Address) -> None:
        """Learn from one other entry."""
        try:
            self.meet(await self.exchange.entries(address))
            for follower in self.followers.values():
                if not follower.copy.loaded:
                    follower.take(await self.exchange.pull(address, follower.table, 0), "entry")
        except CactusvaneError as error:
            events.write(Event.PULL_FAILED, table="all", peer=str(address), reason=str(error))

    def known(self) -> tuple[Vm, ...]:
        """Return the entries of the failure domain, this one among them."""
        domain = self.settings.failure_domain
        peers = self.domain.peers.items()
        others = (Vm(vm, peer.address, domain, peer=peer.address) for vm, peer in peers)
        return (self.own, *others)
