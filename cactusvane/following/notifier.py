"""Sends notices to entries of other failure domains, which the platform's directory lists."""

from collections.abc import Callable, Iterable
from math import inf
from random import Random

from cactusvane import events
from cactusvane.clock import Clock
from cactusvane.errors import PlatformError
from cactusvane.events import Event
from cactusvane.fleet.vm import Address, Vm
from cactusvane.following.directory import EntryDirectory
from cactusvane.placement.crash_notices import CrashNotices, choose_receivers
from cactusvane.placement.messages import CrashNotice, Message
from cactusvane.request.crashes import CrashRecord
from cactusvane.settings import Settings

DIRECTORY_REFRESH_MS = 30_000.0
"""Age of the known entries at which the directory is read again before a notice."""

DIRECTORY_RETRY_MS = 5_000.0
"""Delay before the directory is read again if it did not respond; notices do not wait for it."""


class CrashNotifier:
    """Tells the other failure domains of requests that may crash targets.

    Parameters
    ----------
    settings
        Settings of this VM.
    failure_domains
        Names of all failure domains.
    directory
        The platform's directory of entries.
    crashes
        What is known of such requests.
    send
        Sends a message to the entries at some addresses.
    clock
        Clock of the process.
    random
        Source of all random choices.

    Attributes
    ----------
    known
        Entries of all failure domains, as the directory last listed them.
    """

    def __init__(
        self,
        settings: Settings,
        failure_domains: tuple[str, ...],
        directory: EntryDirectory,
        crashes: CrashRecord,
        send: Callable[[Message, Iterable[Address]], None],
        clock: Clock,
        random: Random,
    ) -> None:
        self.own = Vm(settings.vm, settings.listen, settings.failure_domain, peer=settings.peer)
        self.seeds = settings.peers
        self.failure_domains = failure_domains
        self.directory = directory
        self.crashes = crashes
        self.send = send
        self.clock = clock
        self.random = random
        self.notices = CrashNotices(crashes)
        self.known: dict[str, tuple[Vm, ...]] = {}
        self.read_due_at = -inf
        self.busy = False

    def due(self) -> list[bytes]:
        """Return the requests to pass to `tell` now; none while it is at work."""
        if self.busy or not self.crashes.witnessed:
            return []
        return self.notices.due(self.clock.now())

    async def tell(self, fingerprints: list[bytes]) -> None:
        """Tell some entries of each other group of requests."""
        self.busy = True
        try:
            await self.refresh()
            self.send_notice(fingerprints)
        finally:
            self.busy = False

    def send_notice(self, fingerprints: list[bytes]) -> None:
        """Send a notice to some entries of each other group."""
        now = self.clock.now()
        found = [self.crashes.report(each, now) for each in fingerprints]
        reports = tuple(report for report in found if report is not None)
        vms = [vm for entries in self.known.values() for vm in entries]
        receivers = choose_receivers(vms, self.own, self.random) or self.seed_addresses()
        self.send(CrashNotice(self.own.name, reports), receivers)

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
            for entries in self.known.values()
            for vm in entries
            if vm.failure_domain != self.own.failure_domain and vm.peer is not None
        ]
        return foreign or [each for each in self.seed_addresses() if each != self.own.peer]

    async def refresh(self) -> None:
        """Read the directory of all failure domains unless that was done recently."""
        now = self.clock.now()
        if now < self.read_due_at:
            return
        self.read_due_at = now + DIRECTORY_RETRY_MS
        try:
            for domain in self.failure_domains:
                self.known[domain] = await self.directory.registered(domain)
        except PlatformError as error:
            events.write(Event.TABLE_LOST, table="entries", reason=str(error))
            return
        self.read_due_at = now + DIRECTORY_REFRESH_MS
