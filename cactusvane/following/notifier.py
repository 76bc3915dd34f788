"""Sends notices to entries of other failure domains, which the platform's directory lists."""

from collections.abc import Callable, Iterable
from random import Random

from cactusvane.clock import Clock
from cactusvane.fleet.vm import Address
from cactusvane.following.other_entries import OtherEntries
from cactusvane.placement.crash_notices import CrashNotices, choose_receivers
from cactusvane.placement.messages import CrashNotice, Message
from cactusvane.request.crashes import CrashRecord


class CrashNotifier:
    """Tells the other failure domains of requests that may crash targets.

    Parameters
    ----------
    entries
        Entries of all failure domains.
    crashes
        What is known of such requests.
    send
        Sends a message to the entries at some addresses.
    clock
        Clock of the process.
    random
        Source of all random choices.
    """

    def __init__(
        self,
        entries: OtherEntries,
        crashes: CrashRecord,
        send: Callable[[Message, Iterable[Address]], None],
        clock: Clock,
        random: Random,
    ) -> None:
        self.entries = entries
        self.crashes = crashes
        self.send = send
        self.clock = clock
        self.random = random
        self.notices = CrashNotices(crashes)
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
            await self.entries.refresh()
            self.send_notice(fingerprints)
        finally:
            self.busy = False

    def send_notice(self, fingerprints: list[bytes]) -> None:
        """Send a notice to some entries of each other group."""
        now = self.clock.now()
        found = [self.crashes.report(each, now) for each in fingerprints]
        reports = tuple(report for report in found if report is not None)
        entries = self.entries
        chosen = choose_receivers(entries.entries(), entries.own, self.random)
        self.send(CrashNotice(entries.own.name, reports), chosen or entries.seed_addresses())
