"""Incremental assignment of keepers to all cells as VMs join and leave.

`cells.keepers` ranks every VM, which is too expensive to repeat for each cell whenever one VM
changes. A VM that joins can only displace keepers, so it is compared with the current keepers
alone. A VM that leaves affects only the cells of which it was a keeper.
"""

from collections.abc import Iterable

from cactusvane.fleet.cells import KEEPERS, keepers
from cactusvane.fleet.vm import Vm


class Assignment:
    """The keepers of each cell.

    Parameters
    ----------
    count
        Number of keepers of each cell, 1 or 2.

    Attributes
    ----------
    vms
        The live VMs of the fleet, by name.
    keepers
        The keepers of each cell, by cell, the first keeper first.

    Examples
    --------
    >>> from cactusvane.fleet.vm import Address
    >>> vms = [Vm(f"vm-{i}", Address("127.0.0.1", i), "AB"[i % 2]) for i in range(6)]
    >>> assignment = Assignment()
    >>> assignment.set_cells(["records"])
    >>> assignment.set_vms(vms)
    >>> assignment.keepers["records"] == keepers("records", vms)
    True
    """

    def __init__(self, count: int = KEEPERS) -> None:
        self.count = count
        self.vms: dict[str, Vm] = {}
        self.keepers: dict[str, tuple[Vm, ...]] = {}

    def set_cells(self, cells: Iterable[str]) -> None:
        """Assign keepers to these cells and drop all other cells."""
        vms = tuple(self.vms.values())
        self.keepers = {
            cell: self.keepers[cell] if cell in self.keepers else keepers(cell, vms, self.count)
            for cell in cells
        }

    def set_vms(self, vms: Iterable[Vm]) -> None:
        """Assign all cells to these VMs, the live VMs of the fleet."""
        before, self.vms = self.vms, {vm.name: vm for vm in vms}
        left = {name for name, vm in before.items() if self.vms.get(name) != vm}
        joined = [vm for name, vm in self.vms.items() if before.get(name) != vm]
        for cell, chosen in self.keepers.items():
            if any(vm.name in left for vm in chosen) or len(chosen) < self.count:
                self.keepers[cell] = keepers(cell, self.vms.values(), self.count)
            elif joined:
                self.keepers[cell] = keepers(cell, (*chosen, *joined), self.count)
