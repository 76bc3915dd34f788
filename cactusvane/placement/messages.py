"""What placement is asked, what it answers, and what entries tell each other.

What goes into datagrams is encoded without field names: `array_like`.
"""

from dataclasses import dataclass
from enum import Enum

import msgspec

from cactusvane.fleet.vm import Address
from cactusvane.outcome import Outcome
from cactusvane.placement.retries import RetryUsage


@dataclass(frozen=True, slots=True)
class RequestProfile:
    """A request that wants a target.

    Parameters
    ----------
    kind
        Kind of request.
    priority
        Rank when there is too little room; 0 goes first.
    idempotent
        Whether it may be sent again after a failure.
    arrived
        When it arrived, in milliseconds of the process's clock.
    deadline
        Moment after which an answer is of no use.
    latency_ms
        Time within which the answer is of full use.
    """

    kind: str
    priority: int
    idempotent: bool
    arrived: float
    deadline: float
    latency_ms: float


@dataclass(frozen=True, slots=True)
class PlacementInputs:
    """What a placement was decided by, for the log.

    Parameters
    ----------
    load
        Requests in flight at the target from all entries that share their loads.
    slots
        Requests that it runs at once.
    failure_share
        Expected share of failures.
    slowness
        Expected time as a multiple of the usual one.
    wait_ms
        Expected wait in the target's queue.
    evidence_age_ms
        Age of the latest outcome; None without any.
    unused_ms
        How long no entry of the failure domain had sent it a request.
    failed_ago_ms
        How long ago a request failed there last; None for never.
    """

    load: int
    slots: int
    failure_share: float
    slowness: float
    wait_ms: float
    evidence_age_ms: float | None
    unused_ms: float
    failed_ago_ms: float | None


class PlacementReason(Enum):
    """Why a request goes to a target."""

    CHEAPEST = "cheapest"
    UNUSED = "unused"
    """Nobody used it for long."""


@dataclass(frozen=True, slots=True)
class Place:
    """Send the request to this target."""

    name: str
    address: Address
    inputs: PlacementInputs
    reason: PlacementReason = PlacementReason.CHEAPEST


@dataclass(frozen=True, slots=True)
class Wait:
    """There may be room before `until`, in milliseconds of the process's clock."""

    until: float


@dataclass(frozen=True, slots=True)
class Reject:
    """There will be no room in time; callers may come back after `retry_after_ms`."""

    reason: str
    retry_after_ms: float


Decision = Place | Wait | Reject


class Observation(msgspec.Struct, frozen=True, array_like=True):
    """What one attempt showed of its target, told to the entries of the failure domain.

    Parameters
    ----------
    target
        Name of the target.
    kind
        Kind of request.
    outcome
        How the attempt ended; None for one that is still in flight and overdue.
    latency_ms
        How long it took, or has taken; of a stale connection how long it had rested.
    """

    target: str
    kind: str
    outcome: Outcome | None
    latency_ms: float


class StoreStatus(msgspec.Struct, frozen=True, array_like=True):
    """How the platform's tables answer one entry.

    Parameters
    ----------
    able
        Whether it may read the tables for the others.
    answer_age_ms
        Age of the latest answer; None where there is none to tell of.
    failure_age_ms
        Age of the latest call without an answer; None for none.
    tables
        Version of the latest change that it has of each table.
    """

    can_read: bool
    response_age_ms: float | None
    failure_age_ms: float | None
    table_versions: dict[str, int]


class StateUpdate(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """What one entry tells the others of its failure domain.

    Parameters
    ----------
    sender
        Its VM.
    number
        Grows with each notice of one process.
    started
        When the process started, in milliseconds since the epoch; tells its restarts apart.
    in_flight
        Its requests in flight by target.
    seen
        What attempts showed since the last notice.
    seen_before
        Number of observations that the process told before those in `seen`.
    reading
        How the platform's tables answer it; None where the last notice that tells it still holds.
    spent
        Its requests and retries within the latest window, by service; None likewise.
    strength
        How well suited the VM is to work for others.
    """

    sender: str
    number: int
    started: int
    in_flight: dict[str, int]
    observations: tuple[Observation, ...] = ()
    observations_before: int = 0
    store_status: StoreStatus | None = None
    retry_usage: dict[str, RetryUsage] | None = None
    strength: int = 0

    @property
    def is_full(self) -> bool:
        """Whether it holds what is told of an entry only now and then."""
        return self.store_status is not None


class RelayedUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A notice that is passed on, and where its sender takes notices, with full ones."""

    update: StateUpdate
    address: Address | None = None


class UpdateBatch(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """Notices of several entries, passed on by one of them.

    Parameters
    ----------
    sender
        VM of the entry that passes them on.
    notices
        Those of one sender in the order of their numbers.
    forward
        Where the entry that gets it sends it on.
    """

    sender: str
    updates: tuple[RelayedUpdate, ...]
    forward_to: tuple[Address, ...] = ()


Message = StateUpdate | UpdateBatch
"""A datagram between entries; a notice alone asks the one that gets it to pass it on."""
