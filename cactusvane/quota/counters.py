"""Cumulative counts that this process sends to others."""

from collections import deque
from dataclasses import dataclass

from cactusvane.placement.messages import CustomerUsage

MAX_CUSTOMERS = 400
"""Customers in one message at most, some 10 kB; the others are in the next ones."""


@dataclass(slots=True)
class Counts:
    """Requests of one customer since the start of the process.

    Parameters
    ----------
    admitted
        Requests that were admitted; not an integer if some of them are assumed.
    asked
        Requests that were received.
    changed_at
        Time of the latest change in milliseconds.
    """

    admitted: float = 0.0
    asked: int = 0
    changed_at: float = 0.0

    def usage(self) -> CustomerUsage:
        """Return the counts as they are sent."""
        return CustomerUsage(round(self.admitted), self.asked)


class UsageCounters:
    """Counts by customer, and which of them are still to be sent.

    Parameters
    ----------
    window_ms
        Counts that changed within this time are repeated in full messages.
    repeats
        Number of messages that contain a changed count.

    Examples
    --------
    >>> counters = UsageCounters(5_000.0)
    >>> counters.add("a", 1, 1, 0.0)
    >>> counters.take(False, 10.0)
    {'a': CustomerUsage(admitted=1, asked=1)}
    >>> counters.take(False, 20.0), len(counters.take(True, 30.0))
    ({}, 1)
    """

    def __init__(self, window_ms: float, repeats: int = 1) -> None:
        self.window_ms = window_ms
        self.counts: dict[str, Counts] = {}
        self.changed: dict[str, None] = {}
        self.sent: deque[dict[str, None]] = deque(maxlen=repeats - 1)

    def add(self, customer: str, admitted: float, asked: int, now: float) -> None:
        """Add requests; a negative number of admitted ones takes some back."""
        counts = self.counts.get(customer)
        if counts is None:
            counts = self.counts[customer] = Counts()
        counts.admitted += admitted
        counts.asked += asked
        counts.changed_at = now
        self.changed[customer] = None

    def take(self, full: bool, now: float) -> dict[str, CustomerUsage]:
        """Return the counts to send now, those that changed first.

        Parameters
        ----------
        full
            Whether to repeat all that changed within the window.
        now
            Current time in milliseconds.
        """
        chosen = dict.fromkeys(list(self.changed)[:MAX_CUSTOMERS])
        self.changed = {name: None for name in self.changed if name not in chosen}
        found = dict(chosen)
        for earlier in self.sent:
            found.update(earlier)
        self.sent.append(chosen)
        if full:
            oldest = now - self.window_ms
            found.update({n: None for n, each in self.counts.items() if each.changed_at >= oldest})
        return {name: self.counts[name].usage() for name in list(found)[:MAX_CUSTOMERS]}
