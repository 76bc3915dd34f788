"""Targets whose registrations lapsed during an outage of the platform's store.

A target renews its registration in the store periodically. During an outage of the store it
cannot, and its registration may lapse although the target is healthy. The target registers again
after the outage. Until then it is retained in the list of targets.
"""

from dataclasses import dataclass
from math import inf

from cactusvane import events
from cactusvane.events import Event
from cactusvane.fleet.vm import Vm, VmState

REREGISTRATION_MS = 2_000.0
"""Time in which targets register again after an outage of the store."""


@dataclass(frozen=True, slots=True)
class RetainedTarget:
    """A target whose registration vanished, and until when it still counts as listed.

    Parameters
    ----------
    vm
        The target as it was last listed.
    expires_at
        When it is dropped, in milliseconds of the monotonic clock of the process.
    """

    vm: Vm
    expires_at: float


class LapsedTargets:
    """Retains targets whose registrations vanish during an outage of the store or soon after it.

    A target that had announced that it is leaving is not retained. The others may have left without
    an announcement, so none is retained for longer than a leaving target may be sent requests.

    Parameters
    ----------
    max_retention_ms
        Maximum time from the removal of a target until it is dropped.

    Examples
    --------
    >>> from cactusvane.fleet.vm import Address
    >>> vm = Vm("t1", Address("10.0.0.1", 80), "Gobabis", service="records")
    >>> lapsed = LapsedTargets(1_700.0)
    >>> len(lapsed.update((vm,), 0.0))
    1
    >>> lapsed.record_failure(5_000.0)
    >>> len(lapsed.update((), 5_010.0)), len(lapsed.update((), 6_710.0))
    (1, 0)
    """

    def __init__(self, max_retention_ms: float) -> None:
        self.max_retention_ms = max_retention_ms
        self.present: dict[str, Vm] = {}
        self.retained: dict[str, RetainedTarget] = {}
        self.last_failure_at = -inf

    def record_failure(self, at: float) -> None:
        """Record that the store did not respond to a call of any VM that ended at `at`.

        Parameters
        ----------
        at
            Time in milliseconds (monotonic clock of the process).
        """
        self.last_failure_at = max(self.last_failure_at, at)

    def update(self, vms: tuple[Vm, ...], now: float, restored: bool = False) -> tuple[Vm, ...]:
        """Apply a list of targets, and return it together with the retained targets.

        Parameters
        ----------
        vms
            Targets that are registered in the store.
        now
            Current time in milliseconds (monotonic clock of the process).
        restored
            Whether the list is the first one after the store came back from an older copy. A
            target that is missing in it registered later, and has not left.
        """
        present = {vm.name: vm for vm in vms}
        expires_at = min(self.last_failure_at + REREGISTRATION_MS, now + self.max_retention_ms)
        if restored:
            expires_at = now + REREGISTRATION_MS
        for name, vm in self.present.items():
            if name not in present and vm.state is VmState.LIVE:
                self.retained[name] = RetainedTarget(vm, expires_at)
                self.log_retained(vm, expires_at - now, restored)
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

    def log_retained(self, vm: Vm, for_ms: float, restored: bool) -> None:
        """Log that a target whose registration vanished is still used."""
        if for_ms > 0.0:
            reason = "the store was restored" if restored else "the store failed"
            events.write(
                Event.TARGET_RETAINED,
                service=vm.service,
                target=vm.name,
                for_ms=round(for_ms),
                reason=reason,
            )

    def has_expired(self, now: float) -> bool:
        """Return whether a retained target has to be dropped now."""
        return any(now >= retained.expires_at for retained in self.retained.values())
