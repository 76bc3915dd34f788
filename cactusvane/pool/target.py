"""What one entry knows of one target, apart from the evidence."""

from bisect import bisect_left, insort
from math import inf

from cactusvane.fleet.vm import Vm
from cactusvane.pool.quarantine import HoldDown, Quarantine
from cactusvane.pool.settings import PoolSettings


class TargetState:
    """A listed target: requests in flight, warm-up, quarantine.

    Parameters
    ----------
    vm
        Its row in the VM list.
    warm_up_started_at
        When it began to take work, in milliseconds; None for one that was warm before.
    settings
        The hold-down rule and the ramp.
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
        """Requests that were sent and have not ended."""
        return len(self.pending) + len(self.overdue)

    def start(self, now: float) -> None:
        """Note that a request was sent at `now`."""
        insort(self.pending, now)

    def end(self, started: float) -> bool:
        """Forget the request sent nearest to `started`.

        Returns
        -------
        bool
            Whether it had been counted as slow while it was in flight.
        """
        if self.overdue and (not self.pending or started <= self.overdue[-1]):
            remove_nearest(self.overdue, started)
            return True
        if self.pending:
            remove_nearest(self.pending, started)
        return False

    def mark_overdue(self, before: float) -> int:
        """Count requests sent before `before` that had not been counted as slow."""
        count = bisect_left(self.pending, before)
        if count:
            self.overdue += self.pending[:count]
            del self.pending[:count]
        return count

    def is_cold(self, now: float, warm_up_ms: float) -> bool:
        """Say whether the target is still warming up."""
        return self.warm_up_started_at is not None and now - self.warm_up_started_at < warm_up_ms

    def warm_up_share(self, now: float, warm_up_ms: float) -> float:
        """Return the share of its usual work that the target gets, above 0 and up to 1."""
        if self.warm_up_started_at is None or now - self.warm_up_started_at >= warm_up_ms:
            return 1.0
        start = self.settings.warm_up_initial_share
        return start + (1.0 - start) * max(0.0, now - self.warm_up_started_at) / warm_up_ms


def remove_nearest(moments: list[float], moment: float) -> None:
    """Remove the value nearest to `moment` from an ascending list that is not empty."""
    index = bisect_left(moments, moment)
    neighbours = range(max(0, index - 1), min(len(moments), index + 1))
    del moments[min(neighbours, key=lambda index: abs(moments[index] - moment))]
