"""What a target says of itself in a response: its rate limit, that it leaves, a pause."""

from dataclasses import dataclass

from cactusvane.clock import MS_PER_SECOND
from cactusvane.http.message import Response
from cactusvane.http.rate_limit import DECIMAL, MAX_LOGGED_BYTES, RateLimitField, find_rate_limit
from cactusvane.http.vocabulary import HeaderNames

UNAVAILABLE_STATUS = 503
RETRY_AFTER = b"retry-after"

MAX_PAUSE_MS = 86_400_000.0
"""A longer pause counts as one of this length."""


@dataclass(frozen=True, slots=True)
class UnusableField:
    """A field whose value has no meaning here; `value` is its beginning, for the log."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class TargetNotice:
    """What one response says of its target.

    Parameters
    ----------
    rate_limit
        The requests per second that it accepts from all entries together.
    leaving
        Whether it says that it leaves; a response that does not say so means nothing.
    pause_ms
        Time for which it wants no request from this entry; None if it does not say.
    unusable
        Fields without a meaning; the response counts as one without them.
    """

    rate_limit: RateLimitField
    leaving: bool = False
    pause_ms: float | None = None
    unusable: tuple[UnusableField, ...] = ()


def read_notice(response: Response, names: HeaderNames) -> TargetNotice:
    """Return what a response says of its target.

    Parameters
    ----------
    response
        Response of the target to a request of this entry.
    names
        Names of the header fields that targets understand.

    Examples
    --------
    >>> names = HeaderNames(leaving=b"leaving")
    >>> rejection = Response(503, [(b"retry-after", b"1.5"), (b"retry-after", b"2")])
    >>> read_notice(rejection, names).pause_ms
    2000.0
    >>> read_notice(Response(200, [(b"leaving", b"1"), (b"retry-after", b"9")]), names)
    TargetNotice(rate_limit=NoRateLimit(), leaving=True, pause_ms=None, unusable=())
    >>> read_notice(Response(503, [(b"retry-after", b"-1")]), names).unusable
    (UnusableField(name='retry-after', value='-1'),)
    """
    leaving, odd_leaving = read_leaving(response, names.leaving)
    pause_ms, odd_pause = read_pause(response) if names.leaving else (None, ())
    return TargetNotice(
        find_rate_limit(response.headers, names.rate_limit),
        leaving,
        pause_ms,
        odd_leaving + odd_pause,
    )


def read_leaving(response: Response, name: bytes) -> tuple[bool, tuple[UnusableField, ...]]:
    """Return whether a response says that its target leaves, and the fields without a meaning."""
    values = field_values(response, name)
    odd = tuple(unusable(name, value) for value in values if value != b"1")
    return b"1" in values, odd


def read_pause(response: Response) -> tuple[float | None, tuple[UnusableField, ...]]:
    """Return the longest pause that a rejection asks for, and the fields without a meaning."""
    if response.status != UNAVAILABLE_STATUS:
        return None, ()
    values = field_values(response, RETRY_AFTER)
    odd = tuple(unusable(RETRY_AFTER, value) for value in values if not DECIMAL.fullmatch(value))
    seconds = [float(value) for value in values if DECIMAL.fullmatch(value)]
    if not seconds:
        return None, odd
    return min(MAX_PAUSE_MS, MS_PER_SECOND * max(seconds)), odd


def field_values(response: Response, name: bytes) -> list[bytes]:
    """Return the values of all fields of a response with this name."""
    return [value.strip() for field, value in response.headers if name and field == name]


def unusable(name: bytes, value: bytes) -> UnusableField:
    """Return a field without a meaning, for the log."""
    return UnusableField(name.decode(), value[:MAX_LOGGED_BYTES].decode("latin-1"))
