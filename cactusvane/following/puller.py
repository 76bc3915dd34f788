"""Choice of the entry from which a changed table is pulled, and of the time of the pull.

All entries of a failure domain learn of a change at the same time. To spread the load, some of
them pull at once, twice as many one step later, and so on. Each pulls from a random entry that has
the change by then, so that no small VM with a low bandwidth serves all the others.
"""

import asyncio
from math import log2
from random import Random

from cactusvane.clock import MS_PER_SECOND, Clock
from cactusvane.fleet.vm import Address
from cactusvane.following.follower import TableFollower
from cactusvane.following.table import TablePosition
from cactusvane.placement.domain import Domain

FANOUT_STEP_MS = 100.0
"""Time in which a change is pulled and the other entries learn who has it."""

MAX_ATTEMPTS = 3
"""Entries that are tried one after the other; after that, the next state update starts a pull."""

FIRST_READ_WAIT_MS = 300.0
"""How long a starting entry waits for the platform's response before it pulls a table."""


class TablePuller:
    """Pulls changes of tables from other entries.

    Parameters
    ----------
    domain
        The other entries and the positions of the tables that they have.
    followers
        Followers of the tables, by table name.
    clock
        Clock of the process.
    random
        Source of all random choices.

    Attributes
    ----------
    pending
        Names of the tables for which a pull is scheduled or in progress.
    """

    def __init__(
        self, domain: Domain, followers: dict[str, TableFollower], clock: Clock, random: Random
    ) -> None:
        self.domain = domain
        self.followers = followers
        self.clock = clock
        self.random = random
        self.pending: set[str] = set()

    def should_pull(self, table: str, position: TablePosition) -> bool:
        """Return whether to start a pull for a position of a table that another entry has."""
        follower = self.followers.get(table)
        if follower is None or table in self.pending:
            return False
        return position > follower.copy.position

    async def pull(self, table: str) -> None:
        """Pull the changes of a table from another entry, after a random delay."""
        follower = self.followers[table]
        self.pending.add(table)
        try:
            await asyncio.sleep(self.delay_ms(follower) / MS_PER_SECOND)
            for _ in range(MAX_ATTEMPTS):
                holder = self.choose_holder(follower)
                if holder is None:
                    return
                await follower.catch_up(*holder)
        finally:
            self.pending.discard(table)

    def delay_ms(self, follower: TableFollower) -> float:
        """Return the delay before a pull, in milliseconds.

        The logarithm makes the number of entries that pull double with each `FANOUT_STEP_MS`.
        """
        reads_first = not follower.copy.loaded and follower.settings.startup_spread_ms == 0.0
        wait_ms = FIRST_READ_WAIT_MS if reads_first else 0.0
        entries = len(self.domain.group())
        return wait_ms + FANOUT_STEP_MS * log2(1.0 + self.random.random() * entries)

    def choose_holder(self, follower: TableFollower) -> tuple[Address, TablePosition] | None:
        """Return the address of a random entry with the latest position, and that position.

        Returns
        -------
        tuple of Address and TablePosition, or None
            None where no live entry has a later position than this one.
        """
        table = follower.table
        positions = {
            peer.address: peer.store_status.position(table)
            for peer in self.domain.live_peers(self.clock.now()).values()
            if peer.store_status is not None
        }
        latest = max(positions.values(), default=TablePosition())
        if latest <= follower.copy.position:
            return None
        holders = [address for address, position in positions.items() if position == latest]
        return self.random.choice(holders), latest
