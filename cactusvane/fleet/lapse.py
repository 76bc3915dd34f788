"""Targets whose entries lapsed while the platform's store was away: kept until they are back.

A target renews its entry in the store. While the store is away it cannot, and the entry may lapse
though the target is well. It writes it anew once the store is back.
"""

from dataclasses import dataclass
from math import inf

from cactusvane.fleet.vm import Vm, VmState

RETURN_MS = 2_000.0
"""Time in which targets write their entries anew once the store is back."""


@dataclass(frozen=True, slots=True)
class Kept:
    """A target that vanished, and until when it counts as listed all the same."""

    vm: Vm
    until: float


class LapsedTargets:
    """Holds on to targets that vanish during an outage or just after one.

    A target that had said that it leaves is not kept.

    Examples
    --------
    >>> from cactusvane.fleet.vm import Address
    >>> vm = Vm("t1", Address("10.0.0.1", 80), "Gobabis", service="records")
    >>> lapsed = LapsedTargets()
    >>> len(lapsed.list((vm,), 0.0))
    1
    >>> lapsed.failed(5_000.0)
    >>> len(lapsed.list((), 5_010.0)), len(lapsed.list((), 7_000.0))
    (1, 0)
    """

    def __init__(self) -> None:
        self.present: dict[str, Vm] = {}
        self.kept: dict[str, Kept] = {}
        self.failed_at = -inf

    def failed(self, at: float) -> None:
        """Note that the store did not answer a call of some VM, which ended at `at`."""
        self.failed_at = max(self.failed_at, at)

    def list(self, vms: tuple[Vm, ...], now: float) -> tuple[Vm, ...]:
        """Return the listed targets and those that are kept."""
        present = {vm.name: vm for vm in vms}
        until = self.failed_at + RETURN_MS
        for name, vm in self.present.items():
            if name not in present and vm.state is VmState.LIVE:
                self.kept[name] = Kept(vm, until)
        self.present = present
        addresses = {vm.address for vm in vms}
        self.kept = {
            name: kept
            for name, kept in self.kept.items()
            if name not in present and kept.vm.address not in addresses and now < kept.until
        }
        return (*vms, *(kept.vm for kept in self.kept.values()))

    def due(self, now: float) -> bool:
        """Say whether a kept target has to be given up now."""
        return any(now >= kept.until for kept in self.kept.values())
