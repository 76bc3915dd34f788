"""VMs as in the platform's VM list."""

import ipaddress
from dataclasses import dataclass
from enum import Enum
from typing import Annotated

from msgspec import Meta

Host = Annotated[str, Meta(pattern=r"^[!-~]{1,253}\Z")]
"""An IP address as text."""

Port = Annotated[int, Meta(ge=1, le=65_535)]


class VmState(Enum):
    """State of a VM in the VM list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, order=True)
class Address:
    """Address at which a process listens; checked when it is decoded from a message.

    Examples
    --------
    >>> str(Address("127.0.0.1", 8080))
    '127.0.0.1:8080'
    """

    host: Host
    port: Port

    @property
    def is_numeric(self) -> bool:
        """Whether the host is an IP address; host names are not resolved."""
        try:
            ipaddress.ip_address(self.host)
        except ValueError:
            return False
        return True

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class Vm:
    """One row of the VM list.

    Parameters
    ----------
    name
        Name, never reused for another VM.
    address
        Address for HTTP requests.
    failure_domain
        Name of the failure domain, for example ``Gobabis``.
    region
        Region of the failure domain.
    service
        Service of a target; empty for an entry VM of the fleet.
    peer
        Address at which an entry VM receives messages from other VMs.
    admin
        Address of an entry VM's admin interface.
    state
        Live or leaving.
    slots
        Requests that a target runs concurrently; 0 for the value in the service file.
    warm_up_ms
        Remaining warm-up time of a target when it was listed, in milliseconds; until then it is
        slow.
    started_ms
        Start time of the target's process in milliseconds since the epoch; 0 if unknown. A target
        may start again under its name.
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
    started_ms: int = 0


def group_by_service(vms: tuple[Vm, ...]) -> dict[str, tuple[Vm, ...]]:
    """Return the VMs of a list by service; the entry VMs are under the empty name."""
    groups: dict[str, list[Vm]] = {}
    for vm in vms:
        groups.setdefault(vm.service, []).append(vm)
    return {name: tuple(group) for name, group in groups.items()}
