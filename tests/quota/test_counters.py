"""Counts that are sent to others."""

from cactusvane.placement.messages import CustomerUsage
from cactusvane.quota.counters import MAX_CUSTOMERS, UsageCounters


def test_only_changes_are_sent_and_recent_counts_are_repeated_in_full_messages() -> None:
    """Guards against bytes for idle customers, and against changes that are lost for good."""
    counters = UsageCounters(5_000.0)
    counters.add("a", 1, 1, 0.0)
    counters.add("b", 1, 2, 4_000.0)
    assert set(counters.take(False, 4_000.0)) == {"a", "b"}
    assert counters.take(False, 4_100.0) == {}
    assert counters.take(True, 6_000.0) == {"b": CustomerUsage(1, 2)}


def test_changes_of_many_customers_are_spread_over_several_messages() -> None:
    """Guards against a message that does not fit in a datagram, and is never sent."""
    counters = UsageCounters(5_000.0)
    for number in range(2 * MAX_CUSTOMERS):
        counters.add(f"c{number}", 1, 1, 0.0)
    first, second = counters.take(True, 0.0), counters.take(False, 0.0)
    assert len(first) == len(second) == MAX_CUSTOMERS
    assert not set(first) & set(second)


def test_a_change_is_repeated_as_often_as_asked_for() -> None:
    """Guards against a change that is lost with one report and only comes a second later."""
    counters = UsageCounters(5_000.0, repeats=3)
    counters.add("a", 1, 1, 0.0)
    assert [len(counters.take(False, 0.0)) for _ in range(4)] == [1, 1, 1, 0]
