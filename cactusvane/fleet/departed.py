"""Targets that left, and rows about them that came back with an older copy of the store.

A store that comes back from an older copy lists targets again that have left since, and lists
others in an earlier state. What was known of a target before holds until its row is written anew,
or until the store would have dropped the row of a silent target.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from cactusvane import events
from cactusvane.events import Event
from cactusvane.fleet.vm import Vm, VmState

MEMORY_MS = 600_000.0
"""How long a target that left is remembered."""

MAX_REMEMBERED = 10_000
"""Maximum number of remembered targets; the longest gone are forgotten first."""

EXPIRY_MARGIN_MS = 2_000.0
"""Added to the time after which the store drops silent targets; targets register that late."""


@dataclass(frozen=True, slots=True)
class DepartedTarget:
    """A target that left at a time in milliseconds (monotonic clock of the process)."""

    vm: Vm
    at: float


@dataclass(frozen=True, slots=True)
class OutdatedRow:
    """A row of a restored copy that says less than what was known of its target.

    Parameters
    ----------
    row_version
        Version of the row; one written later is up to date.
    known
        The target as it was known before; None if it had left.
    expires_at
        When the row counts as up to date, in milliseconds (monotonic clock of the process).
    """

    row_version: int
    known: Vm | None
    expires_at: float


class DepartedTargets:
    """Remembers what is known of targets, for the time after a restore of the store.

    Parameters
    ----------
    lapse_ms
        Time after which the store drops the row of a silent target.

    Examples
    --------
    >>> from cactusvane.fleet.vm import Address
    >>> vm = Vm("t1", Address("10.0.0.1", 80), "Gobabis", service="records")
    >>> departed = DepartedTargets(4_500.0)
    >>> len(departed.update((vm,), {"t1": 5}, 1, 0.0)), departed.update((), {}, 1, 10.0)
    (1, ())
    >>> departed.update((vm,), {"t1": 5}, 2, 20.0)
    ()
    >>> len(departed.update((vm,), {"t1": 9}, 2, 30.0))
    1
    """

    def __init__(self, lapse_ms: float) -> None:
        self.lapse_ms = lapse_ms
        self.era = 0
        self.present: dict[str, Vm] = {}
        self.departed: dict[str, DepartedTarget] = {}
        self.outdated: dict[str, OutdatedRow] = {}

    def update(
        self, listed: tuple[Vm, ...], row_versions: Mapping[str, int], era: int, now: float
    ) -> tuple[Vm, ...]:
        """Apply a list of targets, and return it without what a restore has brought back.

        Parameters
        ----------
        listed
            Targets that are registered in the store, and those that are retained without a row.
        row_versions
            Versions of the rows, by name.
        era
            Era of the store; another one than before means that the store was restored.
        now
            Current time in milliseconds (monotonic clock of the process).
        """
        if self.was_restored(era):
            self.find_outdated(listed, row_versions, now)
        self.era = era
        self.outdated = {
            name: row
            for name, row in self.outdated.items()
            if row_versions.get(name, row.row_version) == row.row_version and now < row.expires_at
        }
        current = tuple(vm for each in listed if (vm := self.as_known(each)) is not None)
        self.remember(current, now)
        return current

    def was_restored(self, era: int) -> bool:
        """Return whether the store came back from an older copy since the latest update."""
        return era != self.era and bool(self.present or self.departed)

    def find_outdated(
        self, listed: tuple[Vm, ...], row_versions: Mapping[str, int], now: float
    ) -> None:
        """Find the rows that are older than what is known of their targets."""
        expires_at = now + self.lapse_ms + EXPIRY_MARGIN_MS
        for vm in listed:
            if vm.name not in row_versions:
                continue
            gone = self.departed.get(vm.name)
            known = self.present.get(vm.name) if gone is None else gone.vm
            if known is None or not is_older(vm, known, gone is not None):
                continue
            kept = known if gone is None else None
            self.outdated[vm.name] = OutdatedRow(row_versions[vm.name], kept, expires_at)
            events.write(
                Event.TARGET_ROW_OUTDATED,
                service=vm.service,
                target=vm.name,
                state=vm.state.value,
                known="gone" if kept is None else kept.state.value,
                left_ago_ms=None if gone is None else round(now - gone.at),
                row_version=row_versions[vm.name],
            )

    def as_known(self, vm: Vm) -> Vm | None:
        """Return a listed target, or what is known of it where its row is outdated."""
        row = self.outdated.get(vm.name)
        return vm if row is None else row.known

    def remember(self, current: tuple[Vm, ...], now: float) -> None:
        """Remember which targets are present and which have left."""
        present = {vm.name: vm for vm in current}
        for name, vm in self.present.items():
            if name not in present:
                self.departed[name] = DepartedTarget(vm, now)
        for name in present:
            self.departed.pop(name, None)
        self.present = present
        for name, gone in tuple(self.departed.items()):
            if now - gone.at > MEMORY_MS or len(self.departed) > MAX_REMEMBERED:
                del self.departed[name]

    def has_expired(self, now: float) -> bool:
        """Return whether an outdated row counts as up to date by now."""
        return any(now >= row.expires_at for row in self.outdated.values())


def is_older(restored: Vm, known: Vm, gone: bool) -> bool:
    """Return whether a restored row is older than what is known of its target.

    Examples
    --------
    >>> from cactusvane.fleet.vm import Address
    >>> first = Vm("t1", Address("10.0.0.1", 80), "Gobabis", started_ms=1_000)
    >>> second = Vm("t1", Address("10.0.0.2", 80), "Gobabis", started_ms=2_000)
    >>> is_older(first, second, gone=False), is_older(second, first, gone=True)
    (True, False)
    """
    if restored.started_ms != known.started_ms:
        return restored.started_ms < known.started_ms
    was_leaving = known.state is VmState.LEAVING and restored.state is VmState.LIVE
    return gone or was_leaving
