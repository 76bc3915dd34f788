"""Time in milliseconds, behind one small type that tests can drive."""

import time

MS_PER_SECOND = 1000.0
NS_PER_MS = 1_000_000


class Clock:
    """A monotonic clock; its zero has no meaning, only differences have."""

    def now(self) -> float:
        """Return the present moment.

        Returns
        -------
        float
            Milliseconds since an arbitrary point in the past.
        """
        return time.monotonic_ns() / NS_PER_MS

    def wall(self) -> float:
        """Return the time of day, which may jump, in milliseconds since the epoch."""
        return time.time_ns() / NS_PER_MS


class ManualClock(Clock):
    """A clock that moves only when told to, for tests and benches.

    Examples
    --------
    >>> clock = ManualClock()
    >>> clock.advance(25.0)
    >>> clock.now()
    25.0
    """

    def __init__(self, start_ms: float = 0.0) -> None:
        self.now_ms = start_ms

    def now(self) -> float:
        """Return the moment the clock was moved to, in milliseconds."""
        return self.now_ms

    def wall(self) -> float:
        """Return the moment the clock was moved to, in milliseconds."""
        return self.now_ms

    def advance(self, ms: float) -> None:
        """Move the clock forward by `ms` milliseconds."""
        self.now_ms += ms
