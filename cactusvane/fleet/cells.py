"""Choice of the keepers of a cell, as a pure function of the member list.

A cell is the set of targets of one service. Its keepers are the first VMs in the order of
rendezvous hashing [1]_, so that a VM that joins or leaves moves only the cells for which it ranks
first.

References
----------
.. [1] D. Thaler, C. Ravishankar, "Using name-based mappings to increase hit rates", IEEE/ACM
   Transactions on Networking 6(1), 1998.
"""

from collections.abc import Iterable, Sequence

import xxhash

from cactusvane.fleet.vm import Vm

KEEPERS = 2
"""Number of keepers of a cell: the first is active, the second is the standby."""


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
    """Return the keepers of a cell, spread over as many failure domains as possible.

    Parameters
    ----------
    cell
        Name of the service.
    vms
        Live VMs of the fleet.
    count
        Number of keepers.

    Returns
    -------
    tuple of Vm
        The first keeper first; shorter than `count` if there are fewer VMs.

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
    """Return the targets that an entry connects to, those of its own failure domain first.

    Parameters
    ----------
    entry
        The entry VM.
    cell
        Name of the service.
    targets
        All targets of the service.
    size
        Maximum number of targets that the entry may connect to.

    Returns
    -------
    tuple of Vm
        The same targets as long as `targets` stays the same; all targets if there are no more
        than `size`.
    """
    if len(targets) <= size:
        return tuple(targets)
    ranked = rank(f"{cell}\0{entry.name}", targets)
    local = [vm for vm in ranked if vm.failure_domain == entry.failure_domain]
    remote = [vm for vm in ranked if vm.failure_domain != entry.failure_domain]
    return tuple((local + remote)[:size])
