"""The field of a target's response by which it limits the requests that it is sent."""

import re
from dataclasses import dataclass

from cactusvane.http.message import Headers

DECIMAL = re.compile(rb"\d{1,9}(\.\d{1,9})?")
"""A rate without sign, exponent or separators."""

MAX_LOGGED_BYTES = 40


@dataclass(frozen=True, slots=True)
class NoRateLimit:
    """The response has no such field."""


@dataclass(frozen=True, slots=True)
class NamedRateLimit:
    """The target accepts `per_s` requests per second from all entries together."""

    per_s: float


@dataclass(frozen=True, slots=True)
class UnusableRateLimit:
    """The field is not a decimal number; `value` is its beginning, for the log."""

    value: str


RateLimitField = NoRateLimit | NamedRateLimit | UnusableRateLimit


def find_rate_limit(headers: Headers, name: bytes) -> RateLimitField:
    """Return the rate limit in a response; the lowest one if the field is repeated.

    Parameters
    ----------
    headers
        Header fields of the response, with names in lower case.
    name
        Name of the field in lower case.

    Examples
    --------
    >>> find_rate_limit([(b"limit", b"2.5"), (b"limit", b"1")], b"limit")
    NamedRateLimit(per_s=1.0)
    >>> find_rate_limit([(b"limit", b"-1")], b"limit")
    UnusableRateLimit(value='-1')
    >>> find_rate_limit([], b"limit")
    NoRateLimit()
    """
    values = [value.strip() for field, value in headers if field == name]
    if not values:
        return NoRateLimit()
    for value in values:
        if not DECIMAL.fullmatch(value):
            return UnusableRateLimit(value[:MAX_LOGGED_BYTES].decode("latin-1"))
    return NamedRateLimit(min(float(value) for value in values))
