"""The key table of a configuration."""

from cactusvane.configuration.model import Configuration, Customer
from cactusvane.customers.keys import KeyChanges, build_key_table, compare

A = Customer("a", ("k1", "k2"), priority=1)
B = Customer("b", ("k3",))


def test_each_key_of_a_customer_is_found_and_no_other() -> None:
    """Guards against a key that is cut, compared by prefix or taken for another one."""
    table = build_key_table(Configuration(customers=(A, B)))
    assert table.find(b"k1") is table.find(b"k2") is A
    assert table.find(b"k3") is B
    assert [table.find(key) for key in (b"", b"k", b"k11", b"K1")] == [None] * 4


def test_keys_are_required_as_soon_as_there_are_customers() -> None:
    """Guards against an open service where the last key of the last customer was removed."""
    assert not build_key_table(Configuration()).required
    assert build_key_table(Configuration(customers=(Customer("a", ()),))).required


def test_no_representation_contains_a_key() -> None:
    """Guards against a key in the log of whatever contains the table or a customer."""
    table = build_key_table(Configuration(customers=(Customer("a", ("s3cret",)),)))
    assert "s3cret" not in repr(table)
    assert "s3cret" not in repr(Configuration(customers=(Customer("a", ("s3cret",)),)))


def test_changes_count_keys_and_name_customers() -> None:
    """Guards against a log line from which a 401 cannot be traced to a change of keys."""
    before = build_key_table(Configuration(customers=(A, B)))
    moved = (Customer("a", ("k1",)), Customer("b", ("k2", "k3", "k4")))
    after = build_key_table(Configuration(customers=moved))
    assert compare(before, after) == KeyChanges(added=2, removed=1, customers=("a", "b"))
    assert compare(after, after) == KeyChanges(0, 0, ())
