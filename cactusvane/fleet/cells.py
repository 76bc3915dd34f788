"""Which VMs keep which cell: a pure function of the member list.

A cell is the targets of one service. Its keepers are the first VMs in rendezvous order [1]_, so
that a VM that comes or goes moves only the cells that it ranks first for.

References
----------
.. [1] D. Thaler, C. Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM
   Transactions on Networking 6(1), 1998.
"""

from collections.abc import Iterable, Sequence

import xxhash

from cactusvane.fleet.vm import Vm

KEEPERS = 2
"""Keepers of a cell: the first serves, the second is ready to."""


def weight(cell: str, name: str) -> int:
    """Return the rendezvous weight of a VM for a cell, 64 bits.

    Examples
    --------
    >>> weight("records", "vm-1") == weight("records", "vm-1")
    True
    """
    return xxhash.xxh64_intdigest(f"{cell}\0{name}".encode())


def rank(cell: str, vms: Iterable[Vm]) -> list[Vm]:
    """Return the VMs in rendezvous order for a cell, highest weight first."""
    return sorted(vms, key=lambda vm: (weight(cell, vm.name), vm.name), reverse=True)


def keepers(cell: str, vms: Iterable[Vm], count: int = KEEPERS) -> tuple[Vm, ...]:
    """Return the keepers of a cell, in as many failure domains as there are.

    Parameters
    ----------
    cell
        Name of the service.
    vms
        VMs of the fleet that are live.
    count
        How many keepers are wanted.

    Returns
    -------
    tuple of Vm
        The first keeper first; shorter than `count` where there are fewer VMs.

    Examples
    --------
    >>> from cactusvane.fleet.vm import Address
    >>> vms = [Vm(f"vm-{i}", Address("127.0.0.1", i), "AB"[i % 2]) for i in range(6)]
    >>> first, second = keepers("records", vms)
    >>> first.failure_domain != second.failure_domain
    True
    """
    ranked = rank(cell, vms)
    chosen: list[Vm] = []
    while ranked and len(chosen) < count:
        domains: set[str] = set()
        later: list[Vm] = []
        for vm in ranked:
            if vm.failure_domain in domains:
                later.append(vm)
            else:
                domains.add(vm.failure_domain)
                chosen.append(vm)
        ranked = later
    return tuple(chosen[:count])


def subset(entry: Vm, cell: str, targets: Sequence[Vm], size: int) -> tuple[Vm, ...]:
    """Return the targets that an entry connects to, own failure domain first.

    Parameters
    ----------
    entry
        The VM that chooses.
    cell
        Name of the service.
    targets
        All targets of the service.
    size
        How many targets the entry may connect to.

    Returns
    -------
    tuple of Vm
        Stable while the targets are; all of them where there are no more than `size`.
    """
    if len(targets) <= size:
        return tuple(targets)
    ranked = rank(f"{cell}\0{entry.name}", targets)
    near = [vm for vm in ranked if vm.failure_domain == entry.failure_domain]
    far = [vm for vm in ranked if vm.failure_domain != entry.failure_domain]
    return tuple((near + far)[:size])
