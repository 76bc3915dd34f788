"""Targets whose entries lapsed while the platform's store was away: kept until they are back.

A target renews its entry in the store. While the store is away it cannot, and the entry may lapse
though the target is well. It writes it anew once the store is back.
"""

from dataclasses import dataclass
from math import inf

from cactusvane.fleet.vm import Vm, VmState

REREGISTRATION_MS = 2_000.0
"""Time in which targets write their entries anew once the store is back."""


@dataclass(frozen=True, slots=True)
class RetainedTarget:
    """A target that vanished, and until when it counts as listed all the same."""

    vm: Vm
    expires_at: float


class LapsedTargets:
    """Holds on to targets that vanish during an outage or just after one.

    A target that had said that it leaves is not kept.

    Examples
    --------
    >>> from cactusvane.fleet.vm import Address
    >>> vm = Vm("t1", Address("10.0.0.1", 80), "Gobabis", service="records")
    >>> lapsed = LapsedTargets()
    >>> len(lapsed.update((vm,), 0.0))
    1
    >>> lapsed.record_failure(5_000.0)
    >>> len(lapsed.update((), 5_010.0)), len(lapsed.update((), 7_000.0))
    (1, 0)
    """

    def __init__(self) -> None:
        self.present: dict[str, Vm] = {}
        self.retained: dict[str, RetainedTarget] = {}
        self.last_failure_at = -inf

    def record_failure(self, at: float) -> None:
        """Note that the store did not answer a call of some VM, which ended at `at`."""
        self.last_failure_at = max(self.last_failure_at, at)

    def update(self, vms: tuple[Vm, ...], now: float) -> tuple[Vm, ...]:
        """Return the listed targets and those that are kept."""
        present = {vm.name: vm for vm in vms}
        expires_at = self.last_failure_at + REREGISTRATION_MS
        for name, vm in self.present.items():
            if name not in present and vm.state is VmState.LIVE:
                self.retained[name] = RetainedTarget(vm, expires_at)
        self.present = present
        addresses = {vm.address for vm in vms}
        self.retained = {
            name: retained
            for name, retained in self.retained.items()
            if name not in present
            and retained.vm.address not in addresses
            and now < retained.expires_at
        }
        return (*vms, *(retained.vm for retained in self.retained.values()))

    def has_expired(self, now: float) -> bool:
        """Say whether a kept target has to be given up now."""
        return any(now >= retained.expires_at for retained in self.retained.values())
