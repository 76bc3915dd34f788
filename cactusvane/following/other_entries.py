"""Entries of all failure domains, which the platform's directory lists."""

from math import inf

from cactusvane import events
from cactusvane.clock import Clock
from cactusvane.errors import PlatformError
from cactusvane.events import Event
from cactusvane.fleet.vm import Address, Vm
from cactusvane.following.directory import EntryDirectory
from cactusvane.settings import Settings

DIRECTORY_REFRESH_MS = 30_000.0
"""Age of the known entries at which the directory is read again; each read has a price."""

DIRECTORY_RETRY_MS = 5_000.0
"""Delay before the directory is read again if it did not respond; messages do not wait for it."""


class OtherEntries:
    """The entries of all failure domains, as the directory last listed them.

    Parameters
    ----------
    settings
        Settings of this VM.
    failure_domains
        Names of all failure domains.
    directory
        The platform's directory of entries.
    clock
        Clock of the process.

    Attributes
    ----------
    known
        Entries by failure domain.
    """

    def __init__(
        self,
        settings: Settings,
        failure_domains: tuple[str, ...],
        directory: EntryDirectory,
        clock: Clock,
    ) -> None:
        self.own = Vm(settings.vm, settings.listen, settings.failure_domain, peer=settings.peer)
        self.seeds = settings.peers
        self.failure_domains = failure_domains
        self.directory = directory
        self.clock = clock
        self.known: dict[str, tuple[Vm, ...]] = {}
        self.read_due_at = -inf

    def entries(self) -> list[Vm]:
        """Return the known entries of all failure domains."""
        return [vm for entries in self.known.values() for vm in entries]

    def seed_addresses(self) -> list[Address]:
        """Return where the seeds receive messages, for when the directory never responded."""
        port = self.own.peer.port if self.own.peer is not None else 0
        return [Address(seed.host, port) for seed in self.seeds]

    def foreign_addresses(self) -> list[Address]:
        """Return where entries of other failure domains receive messages, as far as is known.

        Without a list of the directory, these are the seeds, some of which may be of the own one.
        """
        foreign = [
            vm.peer
            for vm in self.entries()
            if vm.failure_domain != self.own.failure_domain and vm.peer is not None
        ]
        return foreign or [each for each in self.seed_addresses() if each != self.own.peer]

    def is_due(self) -> bool:
        """Return whether `refresh` reads the directory now."""
        return self.clock.now() >= self.read_due_at

    async def refresh(self) -> None:
        """Read the directory of all failure domains unless that was done recently."""
        if not self.is_due():
            return
        self.read_due_at = self.clock.now() + DIRECTORY_RETRY_MS
        try:
            for domain in self.failure_domains:
                self.known[domain] = await self.directory.registered(domain)
        except PlatformError as error:
            events.write(Event.TABLE_LOST, table="entries", reason=str(error))
            return
        self.read_due_at = self.clock.now() + DIRECTORY_REFRESH_MS
