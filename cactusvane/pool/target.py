"""State that one entry keeps of one target, apart from the evidence."""

from bisect import bisect_left, insort
from math import inf

from cactusvane.fleet.vm import Vm
from cactusvane.pool.quarantine import HoldDown, Quarantine
from cactusvane.pool.settings import PoolSettings


class TargetState:
    """A listed target: requests in flight, warm-up and quarantine.

    Parameters
    ----------
    vm
        Its row in the VM list.
    warm_up_started_at
        Time at which its warm-up began, in milliseconds; None for a warm target.
    settings
        Settings of hold-down and warm-up.

    Attributes
    ----------
    last_failure_at
        Time of the last failure, in milliseconds.
    pending, overdue
        Start times of the requests in flight, ascending: those not yet counted as slow, and
        those that are.
    """

    __slots__ = (
        "last_failure_at",
        "hold_down",
        "leaving",
        "overdue",
        "quarantine",
        "warm_up_started_at",
        "settings",
        "vm",
        "pending",
    )

    def __init__(self, vm: Vm, warm_up_started_at: float | None, settings: PoolSettings) -> None:
        self.vm = vm
        self.warm_up_started_at = warm_up_started_at
        self.settings = settings
        self.hold_down = HoldDown(settings.hold_down)
        self.quarantine: Quarantine | None = None
        self.leaving = False
        self.last_failure_at = -inf
        self.pending: list[float] = []
        self.overdue: list[float] = []

    @property
    def in_flight(self) -> int:
        """Number of requests that were sent and have not ended."""
        return len(self.pending) + len(self.overdue)

    def start(self, now: float) -> None:
        """Record that a request was sent at `now`."""
        insort(self.pending, now)

    def end(self, started: float) -> bool:
        """Remove the request whose start time is nearest to `started`.

        Parameters
        ----------
        started
            Start time in milliseconds.

        Returns
        -------
        bool
            Whether the request was counted as slow while it was in flight.
        """
        if self.overdue and (not self.pending or started <= self.overdue[-1]):
            remove_nearest(self.overdue, started)
            return True
        if self.pending:
            remove_nearest(self.pending, started)
        return False

    def mark_overdue(self, before: float) -> int:
        """Mark requests sent before `before` as slow and return how many were not yet marked."""
        count = bisect_left(self.pending, before)
        if count:
            self.overdue += self.pending[:count]
            del self.pending[:count]
        return count

    def is_cold(self, now: float, warm_up_ms: float) -> bool:
        """Return whether the target is still warming up."""
        return self.warm_up_started_at is not None and now - self.warm_up_started_at < warm_up_ms

    def warm_up_share(self, now: float, warm_up_ms: float) -> float:
        """Return the share of its regular load that the target gets, above 0 and up to 1."""
        if self.warm_up_started_at is None or now - self.warm_up_started_at >= warm_up_ms:
            return 1.0
        start = self.settings.warm_up_initial_share
        return start + (1.0 - start) * max(0.0, now - self.warm_up_started_at) / warm_up_ms


def remove_nearest(times: list[float], time: float) -> None:
    """Remove the value nearest to `time` from a non-empty ascending list."""
    index = bisect_left(times, time)
    neighbours = range(max(0, index - 1), min(len(times), index + 1))
    del times[min(neighbours, key=lambda index: abs(times[index] - time))]
