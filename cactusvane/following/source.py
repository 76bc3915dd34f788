"""Where tables are read from, whoever holds them."""

from typing import Protocol

from cactusvane.errors import PlatformError
from cactusvane.following.table import TableRows


class HistoryLostError(PlatformError):
    """The changes after a version are no longer known; the table must be read whole."""


class TableSource(Protocol):
    """The platform's tables.

    Every method raises `PlatformError` when no answer came.
    """

    async def read_table(self, table: str) -> TableRows:
        """Return the whole table."""

    async def read_changes(self, table: str, after: int, wait_ms: float) -> TableRows:
        """Return what changed after a version, as soon as there is something, or after a wait.

        Raises
        ------
        HistoryLostError
            The platform no longer knows what changed.
        """
