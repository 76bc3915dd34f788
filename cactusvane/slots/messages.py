"""Events and commands of entries and keepers that share the slots of a service's targets."""

from dataclasses import dataclass

from cactusvane.fleet.vm import Address, Vm
from cactusvane.outcome import Outcome


@dataclass(frozen=True, slots=True)
class TargetsInUse:
    """The targets that may get new requests, as decided by the pool."""

    targets: tuple[Vm, ...]


@dataclass(frozen=True, slots=True)
class FleetSizeChanged:
    """The number of VMs of the fleet that send requests to the service has changed."""

    entries: int


@dataclass(frozen=True, slots=True)
class Arrived:
    """A request needs a target.

    Parameters
    ----------
    request
        Identifies the request on this VM.
    deadline_ms
        Time after which a response is useless.
    tried
        Targets that must not be chosen.
    idempotent
        Whether the request may be sent to a target that is on trial.
    """

    request: int
    deadline_ms: float
    tried: frozenset[Address] = frozenset()
    idempotent: bool = False


@dataclass(frozen=True, slots=True)
class Ended:
    """An attempt that was dispatched has ended, `latency_ms` milliseconds after it started."""

    request: int
    outcome: Outcome
    latency_ms: float


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The caller of a request that is still waiting has disconnected."""

    request: int


@dataclass(frozen=True, slots=True)
class Credit:
    """The right to use one slot of a target, for one request at a time, until the lease ends.

    Parameters
    ----------
    id
        Id chosen by the keeper.
    target
        Target that the slot belongs to.
    lease_ms
        Time after receipt during which requests may be started with the credit.
    """

    id: int
    target: Address
    lease_ms: float


@dataclass(frozen=True, slots=True)
class CreditResponse:
    """A keeper's response to a credit request, or a later grant.

    Parameters
    ----------
    sequence
        Sequence number of the request; 0 for a later grant.
    credits
        Credits that are granted now; the rest of the demand stays in the keeper's queue.
    """

    sequence: int
    credits: tuple[Credit, ...]


@dataclass(frozen=True, slots=True)
class KeeperChanged:
    """The service has a new keeper; `reachable` is whether it can be reached."""

    reachable: bool


@dataclass(frozen=True, slots=True)
class Ticked:
    """Periodic tick; only the time has changed."""


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
    """Send a request to a target now; the end of the attempt is returned as `Ended`."""

    request: int
    target: Address


@dataclass(frozen=True, slots=True)
class Reject:
    """Reject a request that was not run, since no slot is free in time."""

    request: int


@dataclass(frozen=True, slots=True)
class ReturnedCredit:
    """A credit that an entry returns.

    Parameters
    ----------
    id
        Id of the credit.
    outcome
        Outcome of the last attempt with the credit; None if it was not used.
    latency_ms
        Latency of that attempt.
    """

    id: int
    outcome: Outcome | None = None
    latency_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class UncreditedUse:
    """Number of requests in flight to a target without a credit."""

    target: Address
    count: int


@dataclass(frozen=True, slots=True)
class CreditRequest:
    """Request credits from the keeper, and report returned credits and uses without credits.

    Parameters
    ----------
    sequence
        Sequence number, increased with each request; the response repeats it.
    waiting
        Number of credits that the entry wants in addition to those it holds; replaces the number
        of the previous request.
    returned
        Credits that the entry returns.
    full
        Targets that shed a request without a credit since the previous message.
    uses
        Requests in flight without credits; replaces those of the previous request.
    """

    sequence: int
    waiting: int
    returned: tuple[ReturnedCredit, ...] = ()
    full: tuple[Address, ...] = ()
    uses: tuple[UncreditedUse, ...] = ()


EntryCommand = Dispatch | Reject | CreditRequest


@dataclass(frozen=True, slots=True)
class CreditRequestReceived:
    """An entry's credit request was received by the keeper."""

    entry: str
    failure_domain: str
    request: CreditRequest


@dataclass(frozen=True, slots=True)
class EntryDisconnected:
    """The stream to an entry was closed."""

    entry: str


SlotKeeperEvent = TargetsInUse | CreditRequestReceived | EntryDisconnected | Ticked


@dataclass(frozen=True, slots=True)
class SendCredits:
    """Send a response to an entry."""

    entry: str
    response: CreditResponse
