"""What VMs tell each other about the fleet, and what a `Membership` takes and returns."""

from dataclasses import dataclass
from enum import IntEnum

from cactusvane.configuration.model import Head
from cactusvane.fleet.vm import Address, Vm


class Status(IntEnum):
    """What is believed of a member; at the same incarnation a higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclass(frozen=True, slots=True)
class Member:
    """A VM of the fleet and what is believed of it.

    Parameters
    ----------
    vm
        The VM; `Vm.peer` is where it takes messages.
    incarnation
        Raised by the VM alone, to refute what others say of it.
    status
        The belief.
    """

    vm: Vm
    incarnation: int = 0
    status: Status = Status.ALIVE

    def overrides(self, other: "Member") -> bool:
        """Say whether this belief is newer than `other`."""
        return (self.incarnation, self.status) > (other.incarnation, other.status)


@dataclass(frozen=True, slots=True)
class Ping:
    """Asks for an `Ack` with the same nonce."""

    nonce: int


@dataclass(frozen=True, slots=True)
class Ack:
    """Says that the target of a `Ping` or `PingRequest` is alive."""

    nonce: int


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Asks the receiver to ping `target` on the sender's behalf."""

    nonce: int
    target: Address


@dataclass(frozen=True, slots=True)
class Rumor:
    """Carries updates alone; no reply is due."""


@dataclass(frozen=True, slots=True)
class Sync:
    """Carries a digest of the sender's beliefs; a receiver that differs answers with its own.

    Parameters
    ----------
    digest
        Exclusive or of one 64-bit hash for each belief.
    """

    digest: int


Body = Ping | Ack | PingRequest | Rumor | Sync


@dataclass(frozen=True, slots=True)
class Envelope:
    """One message between two VMs.

    Parameters
    ----------
    sender
        The sending VM as it sees itself.
    body
        What is asked or answered.
    updates
        Beliefs that the sender spreads.
    head
        The highest head of the configuration that the sender has in force.
    """

    sender: Member
    body: Body
    updates: tuple[Member, ...] = ()
    head: Head | None = None


@dataclass(frozen=True, slots=True)
class VmListReceived:
    """The platform's VM list arrived, reduced to the VMs of the fleet."""

    vms: tuple[Vm, ...]


@dataclass(frozen=True, slots=True)
class SeedsReceived:
    """Addresses of VMs to ask while no list has arrived."""

    peers: tuple[Address, ...]


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message of another VM arrived."""

    envelope: Envelope


@dataclass(frozen=True, slots=True)
class HeadInForce:
    """A configuration is in force on the own VM."""

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
    """Send a message; nothing is lost for good if it does not arrive."""

    to: Address
    envelope: Envelope


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """The set of VMs that may be keepers is another than before."""


@dataclass(frozen=True, slots=True)
class NewerHeadSeen:
    """A peer has a higher head in force; repeated with each message until this VM has it too."""

    head: Head
    vm: Vm


FleetCommand = Send | MembersChanged | NewerHeadSeen
