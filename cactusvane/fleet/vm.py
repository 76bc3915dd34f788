"""Machines as the platform's VM list shows them."""

from dataclasses import dataclass
from enum import Enum


class VmState(Enum):
    """What the list says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, order=True)
class Address:
    """Where a process listens.

    Examples
    --------
    >>> str(Address("127.0.0.1", 8080))
    '127.0.0.1:8080'
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Vm:
    """One row of the VM list.

    Parameters
    ----------
    name
        Name that is never used again for another VM.
    address
        Where it takes HTTP requests.
    failure_domain
        For example ``Gobabis``.
    region
        The region the failure domain belongs to.
    service
        The service whose target it is; empty for an entry VM of the fleet.
    peer
        Where an entry VM takes messages of other VMs.
    admin
        Where an entry VM answers operators.
    state
        Live or leaving.
    slots
        Requests that a target runs at once; 0 for what the service's file says.
    warm_up_ms
        How much longer a target stays slow after its start, when it was listed.
    """

    name: str
    address: Address
    failure_domain: str
    region: str = ""
    service: str = ""
    peer: Address | None = None
    admin: Address | None = None
    state: VmState = VmState.LIVE
    slots: int = 0
    warm_up_ms: float = 0.0


def group_by_service(vms: tuple[Vm, ...]) -> dict[str, tuple[Vm, ...]]:
    """Return the VMs of a list by service, the fleet's own under an empty name."""
    groups: dict[str, list[Vm]] = {}
    for vm in vms:
        groups.setdefault(vm.service, []).append(vm)
    return {name: tuple(group) for name, group in groups.items()}
