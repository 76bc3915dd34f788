"""Copies of a table that apply whole reads and changes from several sources."""

from hypothesis import given, settings
from hypothesis import strategies as st

from cactusvane.following.table import TableCopy, TablePosition, TableRow, TableRows


def whole(version: int, **values: tuple[bytes, int]) -> TableRows:
    rows = tuple(TableRow(key, value, ver) for key, (value, ver) in values.items())
    return TableRows(version, rows, whole=True)


def test_an_older_change_does_not_undo_a_newer_one() -> None:
    copy = TableCopy()
    copy.apply(whole(9, a=(b"new", 9)))
    assert copy.apply(TableRows(5, (TableRow("a", b"old", 5),), whole=False)) == ()
    assert copy.values() == {"a": b"new"}


def test_an_older_read_of_the_whole_table_is_ignored() -> None:
    copy = TableCopy()
    copy.apply(whole(9, a=(b"1", 9)))
    copy.apply(whole(4))
    assert copy.values() == {"a": b"1"}


def test_rows_missing_in_a_whole_read_are_removed_from_other_copies_too() -> None:
    copy, other = TableCopy(), TableCopy()
    copy.apply(whole(5, a=(b"1", 4), b=(b"2", 5)))
    other.apply(copy.changes_since(TablePosition()))
    copy.apply(whole(8, a=(b"1", 4)))
    other.apply(copy.changes_since(other.last_change))
    assert other.values() == {"a": b"1"}
    assert other.last_change_version == copy.last_change_version


def test_the_version_of_the_latest_change_stays_while_nothing_changes() -> None:
    copy = TableCopy()
    copy.apply(whole(5, a=(b"1", 4)))
    copy.apply(TableRows(70, (), whole=False))
    assert (copy.version, copy.last_change_version) == (70, 4)


def test_selected_rows_have_the_position_of_the_latest_of_them() -> None:
    """The position of the table would hide that a row is older than the one in the store."""
    copy = TableCopy()
    rows = (TableRow("a", b"1", 4), TableRow("b", b"2", 6), TableRow("c", b"3", 8))
    copy.apply(TableRows(9, rows, whole=True, era=2))
    selected = copy.select(("a", "b", "z"))
    assert selected.rows == rows[:2]
    assert (selected.era, selected.last_change) == (2, 6)
    copy.apply(TableRows(10, (TableRow("b", None, 10),), whole=False, era=2, after=9))
    assert copy.select(("b",)).rows == ()


STEPS = st.lists(
    st.tuples(st.sampled_from("abc"), st.one_of(st.none(), st.binary(max_size=2))), max_size=15
)


@settings(derandomize=True, deadline=None)
@given(STEPS, st.lists(st.integers(0, 15), max_size=4))
def test_a_copy_of_a_copy_converges_to_the_same_values(
    steps: list[tuple[str, bytes | None]], pulls: list[int]
) -> None:
    copy, other = TableCopy(), TableCopy()
    copy.apply(TableRows(1, (), whole=True))
    for number, (key, value) in enumerate(steps):
        version = number + 2
        copy.apply(TableRows(version, (TableRow(key, value, version),), whole=False))
        if number in pulls:
            other.apply(copy.changes_since(other.last_change))
    other.apply(copy.changes_since(other.last_change))
    assert other.values() == copy.values()
