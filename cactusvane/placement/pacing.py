"""How often one entry may send requests to a target with a rate limit.

The entries of a fleet do not know of each other's requests in time: with 40 entries that each send
one request, a limit of one per second is exceeded before the first update arrives. Therefore only
a few entries of the target's group send to it, at fixed intervals, and of each other group one
entry rarely does. An entry knows from the live members of its group alone whether it is one of
them, so that a lost or late update makes requests fewer, not more. The sum leaves room for one more
sender, such as an entry that others take for dead. Performs no I/O.
"""

from math import inf
from random import Random

from cactusvane.clock import MS_PER_SECOND
from cactusvane.fleet.vm import Vm
from cactusvane.placement.groups import Group

HOME_SHARE = 0.7
"""Share of a limit that the target's own group uses."""

AWAY_SHARE = 0.1
"""Share of a limit that all other groups use together; the rest is a margin."""

MIN_SENDERS = 2
"""Entries of the target's group that send to it, so that one without callers does not starve it."""

PER_S_PER_SENDER = 4.0
"""One more entry sends to the target for each such part of its limit."""

MIN_PER_S = 0.1
"""Lowest limit that is assumed, so that the end of any limit is noticed."""


def send_interval_ms(group: Group, target: Vm, per_s: float) -> float:
    """Return the minimum time between two requests of this entry to a target, in milliseconds.

    Parameters
    ----------
    group
        The entries that share their state with this one.
    target
        The target.
    per_s
        Requests per second that it accepts from all entries.

    Returns
    -------
    float
        Infinite if this entry sends none.
    """
    per_s = max(MIN_PER_S, per_s)
    rank = group.rank(target.name)
    if not group.is_home(target.name, target.failure_domain):
        return inf if rank else MS_PER_SECOND * max(1, group.others) / (AWAY_SHARE * per_s)
    senders = min(len(group.members), MIN_SENDERS + int(per_s / PER_S_PER_SENDER))
    return inf if rank >= senders else MS_PER_SECOND * senders / (HOME_SHARE * per_s)


class Pacer:
    """Spaces the requests of this entry to one target.

    Attributes
    ----------
    interval_ms
        Minimum time between two requests; infinite if this entry sends none.
    next_at
        Earliest time of the next request, in milliseconds (monotonic clock of the process).
    """

    __slots__ = ("interval_ms", "last_at", "next_at")

    def __init__(self) -> None:
        self.interval_ms = inf
        self.last_at = -inf
        self.next_at = inf

    def set_interval(self, interval_ms: float, random: Random, now: float) -> None:
        """Change the interval.

        An entry that starts to send waits for a random part of its interval, as do others that
        start at the same time.
        """
        if interval_ms == self.interval_ms:
            return
        starts = self.interval_ms == inf
        self.interval_ms = interval_ms
        if interval_ms == inf:
            self.next_at = inf
            return
        wait_ms = random.random() * interval_ms if starts else interval_ms
        first_at = min(self.next_at, now + wait_ms)
        self.next_at = max(first_at, self.last_at + interval_ms)

    def record_start(self, now: float) -> None:
        """Record that a request is sent."""
        self.last_at = now
        self.next_at = now + self.interval_ms
