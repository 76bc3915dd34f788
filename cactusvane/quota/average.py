"""Moving average of the rate of events."""

from dataclasses import dataclass
from math import exp

from cactusvane.clock import MS_PER_SECOND

AVERAGE_MS = 1_000.0
"""Time constant of the average."""


@dataclass(slots=True)
class RateAverage:
    """Exponentially weighted rate of events.

    Parameters
    ----------
    per_s
        Events per second, as of `at`.
    at
        Time of the latest event, in milliseconds.

    Examples
    --------
    >>> average = RateAverage()
    >>> average.add(10, 0.0)
    >>> average.value(0.0), round(average.value(1_000.0), 1)
    (10.0, 3.7)
    """

    per_s: float = 0.0
    at: float = 0.0

    def value(self, now: float) -> float:
        """Return the events per second, as of `now`."""
        if now <= self.at or not self.per_s:
            return self.per_s
        return self.per_s * exp((self.at - now) / AVERAGE_MS)

    def add(self, events: float, now: float) -> None:
        """Add events; a negative number takes back some that were added."""
        self.per_s = max(0.0, self.value(now) + events * MS_PER_SECOND / AVERAGE_MS)
        self.at = max(self.at, now)
