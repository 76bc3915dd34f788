"""The newest configuration among the entries of a failure domain.

A store that comes back from an older copy has an older configuration until the operators write
theirs again. Entries that were running keep the newer one, since operators' versions only rise. An
entry that starts meanwhile learns of it from them.
"""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from cactusvane import events
from cactusvane.clock import MS_PER_SECOND, Clock
from cactusvane.errors import CactusvaneError
from cactusvane.events import Event
from cactusvane.fleet.vm import Address
from cactusvane.placement.domain import Domain
from cactusvane.placement.messages import StoreStatus

CONFIRMATION_MS = 1_000.0
"""How long a starting entry waits to hear which configuration another entry has."""

MAX_PULL_DELAY_MS = 100.0
"""Maximum random delay before a pull, so that not all entries ask at the same moment."""

FetchConfiguration = Callable[[Address], Awaitable[dict[str, bytes]]]
"""Requests the rows of the active configuration from the entry at an address."""


class NewestConfiguration:
    """Compares the configuration of one entry with those of the others.

    Parameters
    ----------
    domain
        The other entries and the configurations that they have.
    fetch
        Requests the rows of the active configuration from another entry.
    offer
        Called with these rows; returns the version that is active then.
    clock
        Clock of the process.
    random
        Source of all random choices.
    confirmed
        Whether the store's configuration needs no confirmation, as when all VMs start for the
        first time.

    Attributes
    ----------
    version
        Version of the active configuration; 0 without any.
    alone
        Whether no other entry is registered in the failure domain.
    """

    def __init__(
        self,
        domain: Domain,
        fetch: FetchConfiguration,
        offer: Callable[[dict[str, bytes]], int],
        clock: Clock,
        random: Random,
        confirmed: bool,
    ) -> None:
        self.domain = domain
        self.fetch = fetch
        self.offer = offer
        self.clock = clock
        self.random = random
        self.version = 0
        self.alone = False
        self.confirmed = confirmed
        self.confirm_until = clock.now() + CONFIRMATION_MS
        self.pulling = False

    def activated(self, version: int) -> None:
        """Record that a configuration became active."""
        if self.version == 0:
            self.confirm_until = self.clock.now() + CONFIRMATION_MS
        self.version = version

    def should_pull(self, status: StoreStatus) -> bool:
        """Return whether to start a pull, as another entry has a newer configuration."""
        return status.configuration_version > self.version and not self.pulling

    def is_confirmed(self) -> bool:
        """Return whether the active configuration is the newest, as far as can be known in time."""
        self.confirmed = self.confirmed or self.alone or self.heard_no_newer()
        if not self.confirmed and self.clock.now() >= self.confirm_until:
            self.confirmed = True
            events.write(Event.CONFIGURATION_UNCONFIRMED, version=self.version)
        return self.confirmed

    def heard_no_newer(self) -> bool:
        """Return whether other entries were heard, and none has a newer configuration."""
        versions = [status.configuration_version for status, _ in self.live_statuses()]
        return bool(versions) and max(versions) <= self.version

    def live_statuses(self) -> list[tuple[StoreStatus, Address]]:
        """Return the statuses of the live entries, with their addresses."""
        return [
            (peer.store_status, peer.address)
            for peer in self.domain.live_peers(self.clock.now()).values()
            if peer.store_status is not None
        ]

    async def pull(self) -> None:
        """Request the newest configuration from a random entry that has it."""
        self.pulling = True
        try:
            await asyncio.sleep(self.random.random() * MAX_PULL_DELAY_MS / MS_PER_SECOND)
            statuses = self.live_statuses()
            newest = max((status.configuration_version for status, _ in statuses), default=0)
            if newest > self.version:
                holders = [
                    each for status, each in statuses if status.configuration_version == newest
                ]
                await self.pull_from(self.random.choice(holders), newest)
        finally:
            self.pulling = False

    async def pull_from(self, address: Address, version: int) -> None:
        """Request a configuration from the entry at an address."""
        try:
            rows = await self.fetch(address)
        except CactusvaneError as error:
            reason = str(error)
            events.write(Event.PULL_FAILED, table="configuration", peer=str(address), reason=reason)
            return
        before, after = self.version, self.offer(rows)
        events.write(
            Event.CONFIGURATION_PULLED,
            version=after,
            before=before,
            told=version,
            peer=str(address),
        )
