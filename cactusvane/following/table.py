"""One VM's copy of a table of the platform; performs no I/O."""

from collections.abc import Collection
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class TableRow:
    """One row of a table.

    Parameters
    ----------
    key
        Key of the row.
    value
        Bytes of the row; None if the row was removed.
    version
        Version of the table that set or removed the row.
    """

    key: str
    value: bytes | None
    version: int


@dataclass(frozen=True, slots=True, order=True)
class TablePosition:
    """Version of a table in an era of the store; later positions compare as greater.

    Examples
    --------
    >>> TablePosition(2, 60) > TablePosition(1, 74)
    True
    """

    era: int = 0
    version: int = 0


@dataclass(frozen=True, slots=True)
class TableRows:
    """Rows of a table as of one version.

    Parameters
    ----------
    version
        Version of the table.
    rows
        All rows, or those that changed.
    whole
        Whether `rows` holds the whole table; a row that is missing then does not exist.
    era
        Number of times that the store came back from an older copy; versions of different eras
        cannot be compared.
    after
        Version after which `rows` holds all changes, where it does not hold the whole table.
    last_change
        Version of the latest change in the copy that the rows were taken from; None if they were
        read from the store.
    """

    version: int
    rows: tuple[TableRow, ...]
    whole: bool
    era: int = 0
    after: int = 0
    last_change: int | None = None


class TableCopy:
    """Rows of a table, with the versions of removed rows.

    Attributes
    ----------
    version
        The platform's version up to which the copy is complete.
    last_change_version
        Version of the latest change.
    history_start
        Version of the latest read of the whole table; removals before it are not known.
    era
        Era of the store that the versions belong to.

    Examples
    --------
    >>> copy = TableCopy()
    >>> copy.apply(TableRows(7, (TableRow("a", b"1", 5), TableRow("b", b"2", 7)), whole=True))
    ('a', 'b')
    >>> copy.apply(TableRows(9, (TableRow("a", None, 9),), whole=False))
    ('a',)
    >>> sorted(copy.values())
    ['b']
    >>> copy.changes_since(TablePosition(0, 7)).rows
    (TableRow(key='a', value=None, version=9),)
    >>> restored = TableRows(5, (TableRow("a", b"1", 5),), whole=True, era=1)
    >>> copy.apply(restored), copy.version
    (('b', 'a'), 5)
    """

    def __init__(self) -> None:
        self.version = 0
        self.last_change_version = 0
        self.rows: dict[str, TableRow] = {}
        self.history_start = 0
        self.era = 0

    @property
    def loaded(self) -> bool:
        """Whether the whole table was read at least once."""
        return self.version > 0

    @property
    def position(self) -> TablePosition:
        """Position up to which the copy is complete."""
        return TablePosition(self.era, self.version)

    @property
    def last_change(self) -> TablePosition:
        """Position of the latest change; a copy that is complete up to it has the same content."""
        return TablePosition(self.era, self.last_change_version)

    def values(self) -> dict[str, bytes]:
        """Return the values of all rows that exist, by key."""
        return {key: row.value for key, row in self.rows.items() if row.value is not None}

    def select(self, keys: Collection[str]) -> TableRows:
        """Return the rows with the given keys that exist; the last change is the latest of them."""
        found = tuple(
            row for key, row in self.rows.items() if key in keys and row.value is not None
        )
        last_change = max((row.version for row in found), default=0)
        return TableRows(self.version, found, whole=False, era=self.era, last_change=last_change)

    def accepts(self, read: TableRows) -> bool:
        """Return whether rows that were read are not older than the copy, and leave no gap.

        Changes leave a gap where the store came back from an older copy since the version that
        they follow: what was written under the versions that were given out anew is not among them.
        """
        if read.whole:
            return (read.era, read.version) >= (self.era, self.version)
        return read.era == self.era and read.after <= self.version

    def apply(self, read: TableRows) -> tuple[str, ...]:
        """Apply rows that were read, if the copy accepts them.

        Returns
        -------
        tuple of str
            Keys of the rows whose values changed.
        """
        if not self.accepts(read):
            return ()
        if read.whole and (read.era, read.version) > (self.era, self.version):
            return self.replace(read)
        changed = [row.key for row in read.rows if self.apply_row(row)]
        self.version = max(self.version, read.version)
        return tuple(changed)

    def replace(self, read: TableRows) -> tuple[str, ...]:
        """Replace the copy by a later read of the whole table, and return the changed keys."""
        before = self.values()
        self.last_change_version = self.last_change_after(read)
        self.rows = {row.key: row for row in read.rows}
        self.era = read.era
        self.version = self.history_start = read.version
        after = self.values()
        return tuple(key for key in before | after if before.get(key) != after.get(key))

    def last_change_after(self, read: TableRows) -> int:
        """Return the version of the latest change in a copy that a read replaces.

        Removals between the copy and a read from the store are not known. Any copy from before the
        read may lack one of them and has to count as older, so the read itself is the change.
        """
        if not self.loaded:
            latest = max((row.version for row in read.rows), default=0)
            return latest if read.last_change is None else read.last_change
        latest = read.version if read.last_change is None else read.last_change
        return max(latest, self.last_change_version) if read.era == self.era else latest

    def apply_row(self, row: TableRow) -> bool:
        """Apply one row, and return whether its value changed."""
        known = self.rows.get(row.key)
        known_version = self.history_start if known is None else known.version
        if row.version <= known_version:
            return False
        self.rows[row.key] = row
        self.last_change_version = max(self.last_change_version, row.version)
        before = known.value if known is not None else None
        return before != row.value

    def changes_since(self, position: TablePosition) -> TableRows:
        """Return the changes after a position, or the whole table if they are not known."""
        version = position.version
        if position.era != self.era or version < self.history_start:
            rows = tuple(row for row in self.rows.values() if row.value is not None)
            last_change = self.last_change_version
            return TableRows(self.version, rows, True, self.era, last_change=last_change)
        rows = tuple(row for row in self.rows.values() if row.version > version)
        return TableRows(self.version, rows, whole=False, era=self.era, after=version)
