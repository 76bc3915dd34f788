"""Usage reported as cumulative counts."""

import pytest

from cactusvane.placement.messages import CustomerUsage
from cactusvane.quota.usage import UsageChange, UsageSource


def make_source(is_new: bool = True) -> UsageSource:
    return UsageSource("e1", 1, is_new, 0.0, 0.0)


def apply(source: UsageSource, admitted: int, asked: int, now: float) -> list[UsageChange]:
    return list(source.apply({"a": CustomerUsage(admitted, asked)}, False, now))


def test_a_lost_report_is_made_up_for_by_the_next_one() -> None:
    """Guards against requests that are never counted since a datagram was lost."""
    source = make_source()
    assert apply(source, 3, 4, 0.0) == [UsageChange("a", 3, 4)]
    assert apply(source, 9, 12, 100.0) == [UsageChange("a", 6, 8)]
    assert apply(source, 9, 12, 200.0) == []


def test_returned_tokens_are_credited() -> None:
    """Guards against a bucket that stays short of tokens of requests that did not run."""
    source = make_source()
    apply(source, 3, 3, 0.0)
    assert apply(source, 2, 3, 100.0) == [UsageChange("a", -1, 0)]


def test_the_first_report_of_an_old_process_is_only_a_baseline() -> None:
    """Guards against counting the usage of hours at once."""
    source = make_source(is_new=False)
    assert list(source.apply({"a": CustomerUsage(5_000, 6_000)}, True, 0.0)) == []
    assert apply(source, 5_002, 6_003, 100.0) == [UsageChange("a", 2, 3)]


def test_a_customer_that_appears_later_counts_once() -> None:
    """Guards against counting the usage of hours of a customer that was idle at the baseline."""
    source = make_source(is_new=False)
    assert apply(source, 700, 700, 0.0) == [UsageChange("a", 1, 1)]


def test_assumed_usage_is_corrected_by_the_next_report() -> None:
    """Guards against counting the usage of a silent entry twice."""
    source = make_source()
    for number in range(1, 31):
        apply(source, 2 * number, 2 * number, 100.0 * number)
    (assumed,) = source.assume(5_000.0)
    assert assumed.admitted == pytest.approx(40.0, rel=0.15)
    (correction,) = apply(source, 70, 70, 5_000.0)
    assert correction.admitted == pytest.approx(10.0 - assumed.admitted)


def test_assumed_usage_is_taken_back_if_there_was_none() -> None:
    """Guards against a debt for an entry whose update only was late."""
    source = make_source()
    apply(source, 10, 10, 0.0)
    (assumed,) = source.assume(2_000.0)
    assert list(source.apply({}, False, 2_000.0)) == []
    assert list(source.take_assumed()) == [UsageChange("a", -assumed.admitted, 0)]
