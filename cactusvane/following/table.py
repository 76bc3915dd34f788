"""One VM's copy of a table of the platform; performs no I/O."""

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
    """

    version: int
    rows: tuple[TableRow, ...]
    whole: bool
    era: int = 0
    after: int = 0


class TableCopy:
    """Rows of a table, with the versions of removed rows.

    Attributes
    ----------
    version
        The platform's version up to which the copy is complete.
    last_change_version
        Version of the latest change.
    history_start
        Version before which removals are not known.
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
    def last_change(self) -> TablePosition:
        """Position of the latest change; equal in copies with the same content."""
        return TablePosition(self.era, self.last_change_version)

    def values(self) -> dict[str, bytes]:
        """Return the values of all rows that exist, by key."""
        return {key: row.value for key, row in self.rows.items() if row.value is not None}

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
        if read.era > self.era and self.loaded:
            return self.replace(read)
        self.era = read.era
        changed = [row.key for row in read.rows if self.apply_row(row)]
        if read.whole:
            changed += self.remove_missing(read)
        if read.whole and not self.loaded:
            self.history_start = read.version
        self.version = max(self.version, read.version)
        return tuple(changed)

    def replace(self, read: TableRows) -> tuple[str, ...]:
        """Replace the copy by the whole table of a later era, and return the changed keys.

        Removals that precede this read are not known, so any copy that was read earlier in this
        era counts as older.
        """
        before = self.values()
        self.rows = {row.key: row for row in read.rows}
        self.era = read.era
        self.version = self.last_change_version = self.history_start = read.version
        after = self.values()
        return tuple(key for key in before | after if before.get(key) != after.get(key))

    def apply_row(self, row: TableRow) -> bool:
        """Apply one row, and return whether its value changed."""
        known = self.rows.get(row.key)
        if known is not None and known.version >= row.version:
            return False
        self.rows[row.key] = row
        self.last_change_version = max(self.last_change_version, row.version)
        before = known.value if known is not None else None
        return before != row.value

    def remove_missing(self, read: TableRows) -> list[str]:
        """Mark rows that are missing in a read of the whole table as removed; return their keys."""
        present = {row.key for row in read.rows}
        missing = [key for key in self.values() if key not in present]
        for key in missing:
            self.apply_row(TableRow(key, None, read.version))
        return missing

    def changes_since(self, position: TablePosition) -> TableRows:
        """Return the changes after a position, or the whole table if they are not known."""
        version = position.version
        if position.era != self.era or version < self.history_start:
            rows = tuple(row for row in self.rows.values() if row.value is not None)
            return TableRows(self.version, rows, whole=True, era=self.era)
        rows = tuple(row for row in self.rows.values() if row.version > version)
        return TableRows(self.version, rows, whole=False, era=self.era, after=version)
