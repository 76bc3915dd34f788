"""Events and commands of the two sides that share the slots of a service's targets."""

from dataclasses import dataclass

from cactusvane.fleet.vm import Address, Vm
from cactusvane.outcome import Outcome


@dataclass(frozen=True, slots=True)
class TargetsInUse:
    """The pool permits new work at these targets, and at no others."""

    targets: tuple[Vm, ...]


@dataclass(frozen=True, slots=True)
class FleetSizeChanged:
    """Number of VMs of the fleet that send requests to the service."""

    entries: int


@dataclass(frozen=True, slots=True)
class Arrived:
    """A request wants a target.

    Parameters
    ----------
    request
        Identifies the request on this VM.
    deadline_ms
        Moment after which an answer is of no use.
    tried
        Targets that are not to be chosen.
    idempotent
        Whether the request may try a target that is on trial.
    """

    request: int
    deadline_ms: float
    tried: frozenset[Address] = frozenset()
    idempotent: bool = False


@dataclass(frozen=True, slots=True)
class Ended:
    """An attempt that was dispatched has ended."""

    request: int
    outcome: Outcome
    latency_ms: float


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The caller of a request that still waits has gone."""

    request: int


@dataclass(frozen=True, slots=True)
class Credit:
    """The right to use one slot of a target, again and again, until the lease ends.

    Parameters
    ----------
    id
        Chosen by the keeper.
    target
        Whose slot it is.
    lease_ms
        No new work under the credit this long after it was received.
    """

    id: int
    target: Address
    lease_ms: float


@dataclass(frozen=True, slots=True)
class CreditResponse:
    """A keeper's answer to an ask, or a later grant.

    Parameters
    ----------
    sequence
        Of the ask that is answered; 0 for a later grant.
    credits
        What is granted now; the rest of the demand stays in the keeper's queue.
    """

    sequence: int
    credits: tuple[Credit, ...]


@dataclass(frozen=True, slots=True)
class KeeperChanged:
    """The service has another keeper, or none that can be reached."""

    reachable: bool


@dataclass(frozen=True, slots=True)
class Ticked:
    """Time passed; nothing else happened."""


EntryEvent = (
    TargetsInUse
    | FleetSizeChanged
    | Arrived
    | Ended
    | Withdrawn
    | CreditResponse
    | KeeperChanged
    | Ticked
)


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send a request to a target now; its end comes back as `Ended`."""

    request: int
    target: Address


@dataclass(frozen=True, slots=True)
class Reject:
    """Answer the caller that its request was not run, since there is no room in time."""

    request: int


@dataclass(frozen=True, slots=True)
class ReturnedCredit:
    """A credit that is given back.

    Parameters
    ----------
    id
        The credit's.
    outcome
        How the last attempt under it ended; None if it was not used.
    latency_ms
        Of that attempt.
    """

    id: int
    outcome: Outcome | None = None
    latency_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class UncreditedUse:
    """Requests that run at a target without a credit."""

    target: Address
    count: int


@dataclass(frozen=True, slots=True)
class CreditRequest:
    """Tell the keeper what this entry needs.

    Parameters
    ----------
    sequence
        Grows with each ask; the answer names it.
    waiting
        How many credits the entry wants besides those it holds; replaces what it said before.
    returned
        Credits given back.
    full
        Targets that shed work without a credit just now.
    uses
        What runs without credits; replaces what the entry said before.
    """

    sequence: int
    waiting: int
    returned: tuple[ReturnedCredit, ...] = ()
    full: tuple[Address, ...] = ()
    uses: tuple[UncreditedUse, ...] = ()


EntryCommand = Dispatch | Reject | CreditRequest


@dataclass(frozen=True, slots=True)
class CreditRequestReceived:
    """An entry's ask reached the keeper."""

    entry: str
    failure_domain: str
    request: CreditRequest


@dataclass(frozen=True, slots=True)
class EntryDisconnected:
    """The stream to an entry has closed."""

    entry: str


SlotKeeperEvent = TargetsInUse | CreditRequestReceived | EntryDisconnected | Ticked


@dataclass(frozen=True, slots=True)
class SendCredits:
    """Send an answer to an entry."""

    entry: str
    response: CreditResponse
