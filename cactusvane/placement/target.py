"""What one entry knows of one target: load, evidence, own path."""

from math import inf

from cactusvane.fleet.vm import Vm, VmState
from cactusvane.placement.evidence import Evidence
from cactusvane.placement.settings import PlacementSettings

DEFAULT_SLOTS = 1
"""Slots of a target that does not say how many it has."""


class Target:
    """A listed target.

    Parameters
    ----------
    vm
        Its row in the VM list.
    settings
        How evidence is weighed.
    now
        When it was listed, in milliseconds of the process's clock.

    Attributes
    ----------
    own
        This entry's requests in flight.
    others
        Requests in flight of the other entries of the failure domain.
    refused_until
        Until when it is left alone since this entry could not reach it.
    failed_at
        When a request of any entry of the failure domain failed there last, as far as this one
        knows.
    used_at
        When any entry of the failure domain sent it a request last, as far as this one knows.
    misplaced
        Whether another target has its address by now.
    """

    __slots__ = (
        "cold_until",
        "evidence",
        "failed_at",
        "consecutive_failures",
        "misplaced",
        "peer_load",
        "own_load",
        "unreachable_until",
        "settings",
        "used_at",
        "vm",
    )

    def __init__(self, vm: Vm, settings: PlacementSettings, now: float) -> None:
        self.settings = settings
        self.evidence = Evidence(settings)
        self.own_load = 0
        self.peer_load = 0
        self.unreachable_until = 0.0
        self.consecutive_failures = 0
        self.misplaced = False
        self.cold_until = now + vm.warm_up_ms
        self.used_at = now
        self.failed_at = -inf
        self.vm = vm

    def update_row(self, vm: Vm, now: float) -> None:
        """Take in the target's present row."""
        if vm.address != self.vm.address:
            self.misplaced = False
        if vm.warm_up_ms != self.vm.warm_up_ms:
            self.cold_until = now + vm.warm_up_ms
        self.vm = vm

    @property
    def load(self) -> int:
        """Requests in flight, as far as this entry knows."""
        return self.own_load + self.peer_load

    @property
    def slots(self) -> int:
        """Requests that the target runs at once."""
        return self.vm.slots or DEFAULT_SLOTS

    def accepts_requests(self, now: float) -> bool:
        """Say whether it may get new work at all."""
        live = self.vm.state is VmState.LIVE and not self.misplaced
        return live and now >= self.unreachable_until

    def record_failure(self, weight: float, now: float) -> None:
        """Note a failure, or with a `weight` below 1 what only looks like one."""
        self.evidence.record_failure(weight, now)
        self.failed_at = now

    def ms_since_failure(self, now: float) -> float | None:
        """Return how long ago a request failed here, in milliseconds; None for never."""
        return None if self.failed_at == -inf else now - self.failed_at

    def record_connected(self) -> None:
        """Note that a connection was made."""
        self.consecutive_failures = 0

    def record_unreachable(self, now: float) -> None:
        """Leave the target alone for a while, longer with each failure in a row."""
        settings = self.settings
        growth = settings.unreachable_growth**self.consecutive_failures
        pause = min(settings.unreachable_max_ms, settings.unreachable_ms * growth)
        self.unreachable_until = now + pause
        self.consecutive_failures += 1
