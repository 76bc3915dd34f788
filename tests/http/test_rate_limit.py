"""The field of a response that limits requests, as targets may send it."""

import pytest

from cactusvane.http.rate_limit import (
    NamedRateLimit,
    NoRateLimit,
    UnusableRateLimit,
    find_rate_limit,
)

NAME = b"limit"


@pytest.mark.parametrize(
    ("value", "per_s"),
    [
        (b"1.3", 1.3),
        (b" 20 ", 20.0),
        (b"0", 0.0),
        (b"0.000000001", 1e-9),
        (b"999999999", 999_999_999),
    ],
)
def test_a_decimal_number_is_a_limit(value: bytes, per_s: float) -> None:
    assert find_rate_limit([(NAME, value)], NAME) == NamedRateLimit(per_s)


@pytest.mark.parametrize(
    "value",
    [b"", b"-1", b"+1", b"nan", b"inf", b"1e400", b"1e3", b"0x10", b"1,5", b"1, 2", b".5", b"1."]
    + [b"9" * 400, b"1_000", "²".encode(), b"\xff"],
)
def test_anything_else_is_no_limit_but_is_noticed(value: bytes) -> None:
    found = find_rate_limit([(NAME, value)], NAME)
    assert isinstance(found, UnusableRateLimit)
    assert len(found.value) <= 40


def test_the_lowest_of_several_limits_counts_if_all_are_usable() -> None:
    assert find_rate_limit([(NAME, b"3"), (NAME, b"2")], NAME) == NamedRateLimit(2.0)
    assert isinstance(find_rate_limit([(NAME, b"3"), (NAME, b"x")], NAME), UnusableRateLimit)


def test_other_fields_name_no_limit() -> None:
    assert find_rate_limit([(b"other", b"3")], NAME) == NoRateLimit()
