"""Which other entry a changed table is taken from, and when.

Answers changes that reach all entries of a failure domain in the same moment: some ask at once,
twice as many a step later, and so on. Each asks any entry that has the change by then, so that no
small VM with a narrow link answers all.
"""

import asyncio
from math import log2
from random import Random

from cactusvane.clock import MS_PER_SECOND, Clock
from cactusvane.fleet.vm import Address
from cactusvane.following.follower import TableFollower
from cactusvane.placement.domain import Domain

STEP_MS = 100.0
"""Time in which a change is fetched and those who have it are known."""

TRIES = 3
"""Entries that are asked in turn before newer news is waited for."""

UNREAD_MS = 300.0
"""How long an entry that starts waits for the platform's own answer."""


class TablePuller:
    """Takes changes of tables from other entries.

    Parameters
    ----------
    domain
        The other entries, and which versions they have.
    followers
        The tables by name.
    clock
        The process's clock.
    random
        Source of all random choices.
    """

    def __init__(
        self, domain: Domain, followers: dict[str, TableFollower], clock: Clock, random: Random
    ) -> None:
        self.domain = domain
        self.followers = followers
        self.clock = clock
        self.random = random
        self.pending: set[str] = set()

    def should_pull(self, table: str, version: int) -> bool:
        """Say whether a version that another entry has is to be asked for."""
        follower = self.followers.get(table)
        if follower is None or table in self.pending:
            return False
        return version > follower.copy.changed

    async def pull(self, table: str) -> None:
        """Ask another entry for what is new in a table."""
        follower = self.followers[table]
        self.pending.add(table)
        try:
            await asyncio.sleep(self.delay_ms(follower) / MS_PER_SECOND)
            for _ in range(TRIES):
                holder = self.choose(follower)
                if holder is None:
                    return
                await follower.catch_up(*holder)
        finally:
            self.pending.discard(table)

    def delay_ms(self, follower: TableFollower) -> float:
        """Return how long to wait before asking."""
        reads_first = not follower.copy.loaded and follower.settings.first_read_ms == 0.0
        wait_ms = UNREAD_MS if reads_first else 0.0
        entries = len(self.domain.group())
        return wait_ms + STEP_MS * log2(1.0 + self.random.random() * entries)

    def choose(self, follower: TableFollower) -> tuple[Address, int] | None:
        """Return one of the entries with the newest version, and that version."""
        table = follower.table
        versions = {
            peer.address: peer.store_status.table_versions.get(table, 0)
            for peer in self.domain.live_peers(self.clock.now()).values()
            if peer.store_status is not None
        }
        newest = max(versions.values(), default=0)
        if newest <= follower.copy.changed:
            return None
        holders = [address for address, version in versions.items() if version == newest]
        return self.random.choice(holders), newest
