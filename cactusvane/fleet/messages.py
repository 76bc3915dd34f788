"""Messages between VMs about the fleet, and the events and commands of a `Membership`."""

from dataclasses import dataclass
from enum import IntEnum

from cactusvane.configuration.model import Head
from cactusvane.fleet.vm import Address, Vm


class Status(IntEnum):
    """Believed status of a member; at the same incarnation the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class Member:
    """A belief about a VM of the fleet.

    Parameters
    ----------
    vm
        The VM; `Vm.peer` is the address at which it receives messages.
    incarnation
        Incarnation number; only the VM itself increases it, to refute beliefs of other VMs.
    status
        Believed status.
    """

    vm: Vm
    incarnation: int = 0
    status: Status = Status.ALIVE

    def overrides(self, other: "Member") -> bool:
        """Return whether this belief is newer than `other`."""
        return (self.incarnation, self.status) > (other.incarnation, other.status)


@dataclass(frozen=True, slots=True)
class Ping:
    """Requests an `Ack` with the same nonce."""

    nonce: int


@dataclass(frozen=True, slots=True)
class Ack:
    """Reports that the target of a `Ping` or `PingRequest` is alive."""

    nonce: int


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Requests that the receiver pings `target` on behalf of the sender."""

    nonce: int
    target: Address


@dataclass(frozen=True, slots=True)
class Rumor:
    """Carries only updates; needs no response."""


@dataclass(frozen=True, slots=True)
class Sync:
    """Carries a digest of the sender's beliefs; a receiver with another digest sends its beliefs.

    Parameters
    ----------
    digest
        Exclusive or (XOR) of a 64-bit hash of each belief.
    """

    digest: int


Body = Ping | Ack | PingRequest | Rumor | Sync


@dataclass(frozen=True, slots=True)
class Envelope:
    """One message between two VMs.

    Parameters
    ----------
    sender
        The sending VM's belief about itself.
    body
        Request or response.
    updates
        Beliefs that the sender disseminates.
    head
        The newest head of the configuration that is active at the sender.
    """

    sender: Member
    body: Body
    updates: tuple[Member, ...] = ()
    head: Head | None = None


@dataclass(frozen=True, slots=True)
class VmListReceived:
    """The platform's VM list arrived; `vms` are those VMs of it that belong to the fleet."""

    vms: tuple[Vm, ...]


@dataclass(frozen=True, slots=True)
class SeedsReceived:
    """The seeds are known: addresses of VMs to contact until a VM list arrives."""

    peers: tuple[Address, ...]


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message from another VM arrived."""

    envelope: Envelope


@dataclass(frozen=True, slots=True)
class HeadInForce:
    """A configuration became active on this VM."""

    head: Head


@dataclass(frozen=True, slots=True)
class Stopping:
    """The own VM is about to stop."""


@dataclass(frozen=True, slots=True)
class Ticked:
    """Time passed; nothing else happened."""


FleetEvent = VmListReceived | SeedsReceived | MessageReceived | HeadInForce | Stopping | Ticked


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message; its loss is tolerated, since later messages repeat the information."""

    to: Address
    envelope: Envelope


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The set of VMs that may be keepers changed."""


@dataclass(frozen=True, slots=True)
class NewerHeadSeen:
    """A newer head is active at a peer; repeated with each message until it is active here too."""

    head: Head
    vm: Vm


FleetCommand = Send | MembersChanged | NewerHeadSeen
