"""State of the platform stand-in: table, objects and a VM list that lags."""

from dataclasses import dataclass

from cactusvane.fleet.vm import Vm
from cactusvane.store.interface import ABSENT, Row, Write


@dataclass(frozen=True, slots=True)
class Faults:
    """What goes wrong at the platform.

    Parameters
    ----------
    down
        Connections are closed without an answer and nothing takes effect.
    slow_ms
        Delay before each answer.
    lose_answers
        How many of the next writes take effect without an answer.
    list_lag_ms
        Age of the VM list that callers see.
    """

    down: bool = False
    slow_ms: float = 0.0
    lose_answers: int = 0
    list_lag_ms: float = 0.0


@dataclass(slots=True)
class Counters:
    """Exchanges since the start."""

    reads: int = 0
    writes: int = 0
    refused: int = 0


@dataclass(frozen=True, slots=True)
class VmListing:
    """The VM list as it stood from `since_ms` on."""

    since_ms: float
    vms: dict[str, Vm]


class Store:
    """Table, objects and VM list in memory."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], Row] = {}
        self.objects: dict[str, bytes] = {}
        self.listings = [VmListing(0.0, {})]

    def read(self, table: str, key: str) -> Row | None:
        """Return a row, or None where there is none."""
        return self.rows.get((table, key))

    def scan(self, table: str, first: str) -> tuple[Row, ...]:
        """Return the rows of a table from key `first` on, in the order of their keys."""
        rows = [row for row in self.rows.values() if row.table == table and row.key >= first]
        return tuple(sorted(rows, key=lambda row: row.key))

    def find_conflict(self, writes: tuple[Write, ...]) -> Write | None:
        """Return the first write whose expected version does not stand."""
        for write in writes:
            row = self.rows.get((write.table, write.key))
            if (row.version if row else ABSENT) != write.expected:
                return write
        return None

    def commit(self, writes: tuple[Write, ...]) -> Write | None:
        """Do all writes, or none and return the one in conflict."""
        conflict = self.find_conflict(writes)
        if conflict:
            return conflict
        for write in writes:
            row = Row(write.table, write.key, write.value, write.expected + 1)
            self.rows[(write.table, write.key)] = row
        return None

    def register(self, vms: tuple[Vm, ...], removed: tuple[str, ...], now: float) -> None:
        """Replace VMs by name and remove others."""
        latest = dict(self.listings[-1].vms)
        latest.update({vm.name: vm for vm in vms})
        for name in removed:
            latest.pop(name, None)
        self.listings.append(VmListing(now, latest))

    def list_vms(self, now: float, lag_ms: float) -> tuple[Vm, ...]:
        """Return the list as it stood `lag_ms` ago."""
        seen = [listing for listing in self.listings if listing.since_ms <= now - lag_ms]
        listing = seen[-1] if seen else self.listings[0]
        return tuple(listing.vms.values())
