"""Clocks in milliseconds, with an implementation that tests can control."""

import time

MS_PER_SECOND = 1000.0
NS_PER_MS = 1_000_000


class Clock:
    """A monotonic clock and the wall clock."""

    def now(self) -> float:
        """Return the current monotonic time; only differences are meaningful.

        Returns
        -------
        float
            Milliseconds since an arbitrary point in the past.
        """
        return time.monotonic_ns() / NS_PER_MS

    def boot(self) -> float:
        """Return a monotonic time that also counts the time for which the machine is suspended.

        Returns
        -------
        float
            Milliseconds since an arbitrary point in the past, other than that of `now`.
        """
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / NS_PER_MS

    def wall(self) -> float:
        """Return the wall-clock time, which may jump, in milliseconds since the epoch."""
        return time.time_ns() / NS_PER_MS


class ManualClock(Clock):
    """A clock that is advanced explicitly, for tests and benchmarks.

    Parameters
    ----------
    start_ms
        Initial time in milliseconds.

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
        """Return the time set so far, in milliseconds."""
        return self.now_ms

    def boot(self) -> float:
        """Return the time set so far, in milliseconds; the same as `now`."""
        return self.now_ms

    def wall(self) -> float:
        """Return the time set so far, in milliseconds; the same as `now`."""
        return self.now_ms

    def advance(self, ms: float) -> None:
        """Advance the clock by `ms` milliseconds."""
        self.now_ms += ms
