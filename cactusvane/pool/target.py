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
    ramp_from
        When it began to take work, in milliseconds; None for one that was warm before.
    settings
        The hold-down rule and the ramp.
    """

    __slots__ = (
        "bad_at",
        "hold_down",
        "leaving",
        "overdue",
        "quarantine",
        "ramp_from",
        "settings",
        "vm",
        "waiting",
    )

    def __init__(self, vm: Vm, ramp_from: float | None, settings: PoolSettings) -> None:
        self.vm = vm
        self.ramp_from = ramp_from
        self.settings = settings
        self.hold_down = HoldDown(settings.hold)
        self.quarantine: Quarantine | None = None
        self.leaving = False
        self.bad_at = -inf
        self.waiting: list[float] = []
        self.overdue: list[float] = []

    @property
    def in_flight(self) -> int:
        """Requests that were sent and have not ended."""
        return len(self.waiting) + len(self.overdue)

    def start(self, now: float) -> None:
        """Note that a request was sent at `now`."""
        insort(self.waiting, now)

    def end(self, started: float) -> bool:
        """Forget the request sent nearest to `started`.

        Returns
        -------
        bool
            Whether it had been counted as slow while it was in flight.
        """
        if self.overdue and (not self.waiting or started <= self.overdue[-1]):
            remove_nearest(self.overdue, started)
            return True
        if self.waiting:
            remove_nearest(self.waiting, started)
        return False

    def take_overdue(self, before: float) -> int:
        """Count requests sent before `before` that had not been counted as slow."""
        count = bisect_left(self.waiting, before)
        if count:
            self.overdue += self.waiting[:count]
            del self.waiting[:count]
        return count

    def is_cold(self, now: float, warm_up_ms: float) -> bool:
        """Say whether the target is still warming up."""
        return self.ramp_from is not None and now - self.ramp_from < warm_up_ms

    def ramp(self, now: float, warm_up_ms: float) -> float:
        """Return the share of its usual work that the target gets, above 0 and up to 1."""
        if self.ramp_from is None or now - self.ramp_from >= warm_up_ms:
            return 1.0
        start = self.settings.ramp_start
        return start + (1.0 - start) * max(0.0, now - self.ramp_from) / warm_up_ms


def remove_nearest(moments: list[float], moment: float) -> None:
    """Remove the value nearest to `moment` from an ascending list that is not empty."""
    place = bisect_left(moments, moment)
    neighbours = range(max(0, place - 1), min(len(moments), place + 1))
    del moments[min(neighbours, key=lambda index: abs(moments[index] - moment))]
