"""State of the platform stand-in: tables, objects and a VM list that can lag."""

from dataclasses import dataclass

from cactusvane.fleet.vm import Vm
from cactusvane.store.interface import ABSENT, Row, Write


@dataclass(frozen=True, slots=True)
class Faults:
    """Faults of the platform.

    Parameters
    ----------
    down
        Whether connections are closed without a response and nothing takes effect.
    slow_ms
        Delay before each response, in milliseconds.
    lose_answers
        How many of the next writes take effect without a response.
    list_lag_ms
        Age of the VM list that callers see, in milliseconds.
    """

    down: bool = False
    slow_ms: float = 0.0
    lose_answers: int = 0
    list_lag_ms: float = 0.0


@dataclass(slots=True)
class Counters:
    """Numbers of requests since the start; `refused` counts those during ``down``."""

    reads: int = 0
    writes: int = 0
    refused: int = 0


@dataclass(frozen=True, slots=True)
class VmListing:
    """The VM list from the time `since_ms` on, in milliseconds of the stand-in's clock."""

    since_ms: float
    vms: dict[str, Vm]


class Store:
    """Tables, objects and VM list in memory."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], Row] = {}
        self.objects: dict[str, bytes] = {}
        self.listings = [VmListing(0.0, {})]

    def read(self, table: str, key: str) -> Row | None:
        """Return a row, or None if it does not exist."""
        return self.rows.get((table, key))

    def scan(self, table: str, first: str) -> tuple[Row, ...]:
        """Return the rows of a table from key `first` on, sorted by key."""
        rows = [row for row in self.rows.values() if row.table == table and row.key >= first]
        return tuple(sorted(rows, key=lambda row: row.key))

    def find_conflict(self, writes: tuple[Write, ...]) -> Write | None:
        """Return the first write whose expected version is not the current one, or None."""
        for write in writes:
            row = self.rows.get((write.table, write.key))
            if (row.version if row else ABSENT) != write.expected:
                return write
        return None

    def commit(self, writes: tuple[Write, ...]) -> Write | None:
        """Apply all writes and return None, or apply none and return the one in conflict."""
        conflict = self.find_conflict(writes)
        if conflict:
            return conflict
        for write in writes:
            row = Row(write.table, write.key, write.value, write.expected + 1)
            self.rows[(write.table, write.key)] = row
        return None

    def register(self, vms: tuple[Vm, ...], removed: tuple[str, ...], now: float) -> None:
        """Add or replace VMs by name, and remove others.

        Parameters
        ----------
        vms
            VMs to add or replace.
        removed
            Names of the VMs to remove; unknown names are ignored.
        now
            Current time in milliseconds.
        """
        latest = dict(self.listings[-1].vms)
        latest.update({vm.name: vm for vm in vms})
        for name in removed:
            latest.pop(name, None)
        self.listings.append(VmListing(now, latest))

    def list_vms(self, now: float, lag_ms: float) -> tuple[Vm, ...]:
        """Return the VM list as it was `lag_ms` milliseconds before `now`."""
        seen = [listing for listing in self.listings if listing.since_ms <= now - lag_ms]
        listing = seen[-1] if seen else self.listings[0]
        return tuple(listing.vms.values())
