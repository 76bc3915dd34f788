"""Rate limits that targets name in their responses.

A target in need states how many requests per second it accepts from all entries together, for as
long as its responses say so. Performs no I/O; the current time is passed in.
"""

from dataclasses import dataclass

from cactusvane import events
from cactusvane.events import Event
from cactusvane.http.rate_limit import (
    NamedRateLimit,
    NoRateLimit,
    RateLimitField,
    UnusableRateLimit,
)

SETTLING_MS = 500.0
"""A limit ends with a response to a request that was sent so long after the latest response with
the limit; updates from entries are delayed by less."""

MAX_UNUSABLE = 1_000
"""Number of targets whose unusable limits are remembered, so that each is logged once."""

MEMORY_MS = 600_000.0
"""A limit is forgotten so long after the latest response about it."""


@dataclass(slots=True)
class RateLimit:
    """What is known about the rate limit of one target.

    Parameters
    ----------
    per_s
        Requests per second that it accepts from all entries; None if it names no limit any more.
    stated_at
        Time of the latest response with a limit; if there is none any more, when the request was
        sent that showed it. In milliseconds (monotonic clock of the process).
    """

    per_s: float | None
    stated_at: float


class RateLimits:
    """Rate limits of the targets of all services, by name of the target.

    Parameters
    ----------
    vm
        Name of this VM.
    """

    def __init__(self, vm: str) -> None:
        self.vm = vm
        self.limits: dict[str, RateLimit] = {}
        self.unusable: dict[str, str] = {}

    def record_response(
        self, target: str, field: RateLimitField, sent_at: float, now: float
    ) -> bool:
        """Record what a response to this entry says, and return whether it changes anything.

        Parameters
        ----------
        target
            Name of the target.
        field
            Field of its response.
        sent_at
            When the request was sent, in milliseconds (monotonic clock of the process).
        now
            Current time on the same clock.
        """
        match field:
            case NamedRateLimit(per_s):
                return self.record(target, RateLimit(per_s, now), self.vm, now)
            case NoRateLimit():
                return self.record(target, RateLimit(None, sent_at), self.vm, now)
            case UnusableRateLimit(value):
                self.log_unusable(target, value)
                return False

    def record(self, target: str, new: RateLimit, source: str, now: float) -> bool:
        """Record a statement of a target, and return whether it changes anything."""
        known = self.limits.get(target)
        if not supersedes(new, known):
            return False
        self.limits[target] = new
        before = known.per_s if known is not None else None
        if before == new.per_s:
            return False
        events.write(
            Event.RATE_LIMIT_CHANGED,
            target=target,
            per_s=new.per_s,
            before=before,
            source=source,
            age_ms=round(now - new.stated_at, 1),
        )
        return True

    def log_unusable(self, target: str, value: str) -> None:
        """Log a limit that cannot be used, once for each value."""
        if len(self.unusable) >= MAX_UNUSABLE:
            self.unusable.clear()
        if self.unusable.get(target) != value:
            self.unusable[target] = value
            events.write(Event.RATE_LIMIT_UNUSABLE, target=target, value=value)

    def expire(self, now: float) -> None:
        """Forget what has not been stated for long."""
        for target, limit in tuple(self.limits.items()):
            if now - limit.stated_at > MEMORY_MS:
                del self.limits[target]


def supersedes(new: RateLimit, known: RateLimit | None) -> bool:
    """Return whether a statement is later than the known one.

    Examples
    --------
    >>> supersedes(RateLimit(None, 900.0), RateLimit(2.0, 300.0))
    True
    >>> supersedes(RateLimit(None, 700.0), RateLimit(2.0, 300.0))
    False
    """
    if known is None:
        return new.per_s is not None
    settling_ms = SETTLING_MS if new.per_s is None and known.per_s is not None else 0.0
    return new.stated_at > known.stated_at + settling_ms
