"""Interface of the store from which tables are read."""

from typing import Protocol

from cactusvane.errors import PlatformError
from cactusvane.following.table import TableRows


class HistoryLostError(PlatformError):
    """The changes after a version are no longer available; the whole table must be read."""


class TableSource(Protocol):
    """The platform's tables.

    Each method raises `PlatformError` when the platform does not respond.
    """

    async def read_table(self, table: str) -> TableRows:
        """Return all rows of a table."""

    async def read_changes(self, table: str, after: int, wait_ms: float) -> TableRows:
        """Return the changes after a version, by a long poll.

        Parameters
        ----------
        table
            Name of the table.
        after
            Version after which changes are wanted.
        wait_ms
            How long the platform may hold the call while there are no changes, in milliseconds;
            it responds as soon as there are some.

        Raises
        ------
        HistoryLostError
            The platform no longer has the changes after this version.
        """

    async def confirm(self, table: str, rows: TableRows) -> bool:
        """Return whether the platform's rows still have these versions, by a conditional write.

        Reads prove nothing: after a compaction, a read of changes may miss some for a second.

        Parameters
        ----------
        table
            Name of the table.
        rows
            Rows of one era of the store, which must not have changed; none are never confirmed.
        """
