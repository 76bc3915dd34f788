"""Tests of the placement on simulated load patterns, against a perfect queue and random choice."""

import pytest

from bench.load import BlindEntry, SharedEntry, run_pattern, run_perfect_queue, worth_share
from bench.load_model import PATTERNS

SEED = 1

MIN_SHARE_OF_PERFECT = 0.95
"""The goal: at least this share of the worth that a perfect queue achieves, in every pattern."""


@pytest.mark.parametrize("name", [pattern.name for pattern in PATTERNS])
def test_the_worth_of_one_perfect_queue_is_nearly_reached(name: str) -> None:
    (pattern,) = [pattern for pattern in PATTERNS if pattern.name == name]
    got = worth_share([run_pattern(pattern, SEED, SharedEntry)])
    assert got >= MIN_SHARE_OF_PERFECT * worth_share([run_perfect_queue(pattern, SEED)])


@pytest.mark.parametrize("name", ["overload 1.2", "overload 2", "short and long", "gray by turns"])
def test_more_callers_are_served_in_time_than_by_a_blind_choice(name: str) -> None:
    (pattern,) = [pattern for pattern in PATTERNS if pattern.name == name]
    got = worth_share([run_pattern(pattern, SEED, SharedEntry)])
    assert got > 1.1 * worth_share([run_pattern(pattern, SEED, BlindEntry)])


def test_served_requests_are_served_in_time_in_overload() -> None:
    """Queueing requests up to their deadline served as many, but two in three of them late."""
    (pattern,) = [pattern for pattern in PATTERNS if pattern.name == "overload 1.2"]
    tally = run_pattern(pattern, SEED, SharedEntry)
    assert tally.served / tally.offered > 0.8
    assert tally.worth / tally.served > 0.85
