"""Keepers of all cells, kept up to date as VMs come and go.

`cells.keepers` looks at every VM, which is too much to repeat for each cell whenever one VM
changes. A VM that joins can only displace keepers, so it is compared with them alone; a VM that
leaves concerns only the cells it kept.
"""

from collections.abc import Iterable

from cactusvane.fleet.cells import KEEPERS, keepers
from cactusvane.fleet.vm import Vm


class Assignment:
    """The keepers of each cell.

    Parameters
    ----------
    count
        Keepers wanted for each cell, 1 or 2.

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
        """Assign these cells and forget all others."""
        vms = tuple(self.vms.values())
        self.keepers = {
            cell: self.keepers[cell] if cell in self.keepers else keepers(cell, vms, self.count)
            for cell in cells
        }

    def set_vms(self, vms: Iterable[Vm]) -> None:
        """Assign all cells to these VMs, the live ones of the fleet."""
        before, self.vms = self.vms, {vm.name: vm for vm in vms}
        left = {name for name, vm in before.items() if self.vms.get(name) != vm}
        joined = [vm for name, vm in self.vms.items() if before.get(name) != vm]
        for cell, chosen in self.keepers.items():
            if any(vm.name in left for vm in chosen) or len(chosen) < self.count:
                self.keepers[cell] = keepers(cell, self.vms.values(), self.count)
            elif joined:
                self.keepers[cell] = keepers(cell, (*chosen, *joined), self.count)
