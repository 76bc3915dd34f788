"""Replica of a token bucket."""

import pytest

from cactusvane.quota.bucket import Bucket
from cactusvane.quota.reach import FULL_REACH, Reach

TWO_THIRDS = Reach(2.0 / 3.0, silent=(("z2", 0),))


def make_bucket(level: float = 30.0) -> Bucket:
    return Bucket(rate_per_s=30.0, capacity=30.0, min_level=-150.0, level=level, settled_at=0.0)


def test_the_level_is_refilled_up_to_the_capacity() -> None:
    """Guards against a burst that grows with an idle time."""
    bucket = make_bucket(10.0)
    bucket.settle(500.0)
    assert bucket.level == pytest.approx(25.0)
    bucket.settle(60_000.0)
    assert bucket.level == 30.0


def test_requests_known_too_late_make_the_level_negative() -> None:
    """Guards against forgetting an overshoot, which would then be repeated."""
    bucket = make_bucket(1.0)
    bucket.deduct(16.0, withheld=False)
    bucket.settle(100.0)
    assert bucket.level == pytest.approx(-12.0)


def test_a_lower_limit_caps_the_level_at_once() -> None:
    """Guards against a burst of the previous limit after it was lowered."""
    bucket = make_bucket()
    bucket.change_limit(15.0, 8.0, -75.0, 0.0)
    assert bucket.level == 8.0


def test_tokens_and_refill_are_left_to_a_silent_group() -> None:
    """Guards against both sides of a partition using the whole quota."""
    bucket = make_bucket()
    bucket.change_reach(TWO_THIRDS, 12.0, 0.0, 0.0)
    assert bucket.level == pytest.approx(20.0)
    bucket.add(-20.0)
    bucket.settle(1_000.0)
    assert bucket.level == pytest.approx(18.0)
    assert bucket.withheld == pytest.approx(22.0)


def test_usage_after_a_partition_is_taken_from_the_withheld_tokens() -> None:
    """Guards against a debt for usage for which tokens were already set aside."""
    bucket = make_bucket()
    bucket.change_reach(TWO_THIRDS, 12.0, 0.0, 0.0)
    bucket.add(-20.0)
    bucket.settle(1_000.0)
    bucket.deduct(20.0, withheld=True)
    bucket.change_reach(FULL_REACH, 0.0, 0.0, 1_000.0)
    assert bucket.level == pytest.approx(20.0)
    assert bucket.refill_per_s == 30.0


def test_nothing_is_taken_back_after_a_long_partition() -> None:
    """Guards against a burst on recovery from tokens of a time that is over."""
    bucket = make_bucket()
    bucket.change_reach(TWO_THIRDS, 12.0, 0.0, 0.0)
    bucket.change_reach(Reach(2.0 / 3.0, silent=(("z2", 0),), lasting=True), 10.0, 0.0, 5_000.0)
    bucket.add(-20.0)
    bucket.settle(5_100.0)
    before = bucket.level
    bucket.change_reach(FULL_REACH, 0.0, 0.0, 5_100.0)
    assert bucket.level == pytest.approx(before)


def test_the_time_without_contact_counts_from_the_last_settling() -> None:
    """Guards against a full refill for the time in which the process did not run."""
    bucket = make_bucket(0.0)
    bucket.change_reach(Reach(0.01, isolated=True), 29.0, 0.0, 4_000.0)
    assert bucket.level <= 0.3
