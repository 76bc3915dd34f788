"""Input and output of placement decisions, and the messages that entries exchange.

Messages travel in datagrams and are encoded as arrays, without field names (`array_like`), so the
order of their fields is part of the format.
"""

from dataclasses import dataclass
from enum import Enum

import msgspec

from cactusvane.fleet.vm import Address
from cactusvane.following.table import TablePosition
from cactusvane.outcome import Outcome
from cactusvane.placement.features import RequestFeatures
from cactusvane.placement.retries import RetryUsage
from cactusvane.request.crashes import CrashReport


@dataclass(frozen=True, slots=True)
class RequestProfile:
    """Properties of a request that placement needs.

    Parameters
    ----------
    kind
        Kind of request.
    priority
        Rank when there is not enough capacity; 0 is served first.
    idempotent
        Whether the request may be sent again after a failure.
    arrived
        Time of arrival in milliseconds (monotonic clock of the process).
    deadline
        Time after which a response is of no use, on the same clock.
    latency_ms
        Latency objective: a response within this time is of full use.
    customer
        Name of the customer; empty if the configuration has none, or the route is anonymous.
    customer_priority
        Priority of the customer, which goes before `priority`.
    features
        What its expected work depends on; None if unknown.
    """

    kind: str
    priority: int
    idempotent: bool
    arrived: float
    deadline: float
    latency_ms: float
    customer: str = ""
    customer_priority: int = 0
    features: RequestFeatures | None = None

    @property
    def rank(self) -> tuple[int, int]:
        """Priority of the customer, then of the route; the lowest rank is served first."""
        return self.customer_priority, self.priority


@dataclass(frozen=True, slots=True)
class WorkInputs:
    """Expected work of a placed request and from what it was learned, for the log.

    The field names are keys of a log line.

    Parameters
    ----------
    expected_ms
        Expected work in milliseconds.
    spread
        Standard deviation of the work as a share of its mean.
    samples
        Number of samples of the most refined mean that the estimate was learned from.
    source
        Which one that is: ``prior``, ``kind``, ``path``, ``size`` or ``customer``.
    remaining_ms
        Expected remaining work of the requests in flight at the target.
    """

    expected_ms: float
    spread: float
    samples: int
    source: str
    remaining_ms: float


@dataclass(frozen=True, slots=True)
class PlacementInputs:
    """The data that a placement was decided on, for the log.

    The field names are keys of a log line.

    Parameters
    ----------
    load
        Requests in flight at the target from all entries that share their loads.
    slots
        Requests that the target runs concurrently.
    failure_share
        Expected share of requests that fail.
    slowness
        Latency at the target as a multiple of the expected latency of the kind.
    wait_ms
        Expected time in the target's queue.
    evidence_age_ms
        Age of the latest outcome; None if there is none.
    unused_ms
        Time since any entry of the failure domain sent the target a request.
    failed_ago_ms
        Time since a request failed at the target; None if none ever did.
    work
        Expected work of the request; None where the service is not placed by it.
    """

    load: int
    slots: int
    failure_share: float
    slowness: float
    wait_ms: float
    evidence_age_ms: float | None
    unused_ms: float
    failed_ago_ms: float | None
    work: WorkInputs | None = None


@dataclass(frozen=True, slots=True)
class RoomInputs:
    """What was known of the failure domain that a request is sent to for its free slots.

    The field names are keys of a log line.

    Parameters
    ----------
    failure_domain
        The failure domain.
    free_slots
        Its free slots, less the requests that other failure domains have there.
    age_ms
        Time since the report on it was received.
    probability
        Probability with which it was chosen.
    """

    failure_domain: str
    free_slots: int
    age_ms: float
    probability: float


class PlacementReason(Enum):
    """Why a request is sent to a target."""

    CHEAPEST = "cheapest"
    UNUSED = "unused"
    """No entry of the failure domain sent the target a request for some time."""

    ROOM = "room"
    """The own failure domain has no free slot, and that of the target has some."""


@dataclass(frozen=True, slots=True)
class Place:
    """Decision to send the request to this target."""

    name: str
    address: Address
    inputs: PlacementInputs
    reason: PlacementReason = PlacementReason.CHEAPEST
    room: RoomInputs | None = None


@dataclass(frozen=True, slots=True)
class Wait:
    """Decision to wait: there may be capacity before `until` (milliseconds, monotonic clock)."""

    until: float


@dataclass(frozen=True, slots=True)
class ShareInputs:
    """The data on which a request was rejected for its customer's share, for the log.

    The field names are keys of a log line.

    Parameters
    ----------
    work_ms
        Expected work of the customer's requests in flight, over the entries of the group.
    share_ms
        Its fair share of the capacity at that time; None if it was not limited.
    customers
        Customers of the same priority with work in flight, including this one.
    slots
        Slots of the service's usable targets in the failure domain.
    load
        Requests in flight at the service's targets, as far as this entry knows.
    age_ms
        Age of the oldest of the other entries' updates that count; None if there is none.
    """

    work_ms: int
    share_ms: int | None
    customers: int
    slots: int
    load: int
    age_ms: int | None


@dataclass(frozen=True, slots=True)
class Reject:
    """Decision to reject: no capacity in time; the caller may retry after `retry_after_ms`."""

    reason: str
    retry_after_ms: float
    share: ShareInputs | None = None


Decision = Place | Wait | Reject


class Observation(msgspec.Struct, frozen=True, array_like=True):
    """Result of one attempt at a target, shared with the entries of the failure domain.

    Parameters
    ----------
    target
        Name of the target.
    kind
        Kind of request.
    outcome
        How the attempt ended; None if it is still in flight and overdue.
    latency_ms
        Duration of the attempt, so far if it is in flight; for a stale connection, the time for
        which it had been idle.
    packed
        Features of the request, as `features.pack` returns them; 0 if unknown.
    service_ms
        Part of the latency that was not spent in the target's queue, as far as the entry expected;
        0 if unknown.
    """

    target: str
    kind: str
    outcome: Outcome | None
    latency_ms: float
    packed: int = 0
    service_ms: int = 0


class StoreStatus(msgspec.Struct, frozen=True, array_like=True):
    """How the platform's tables respond to one entry.

    Parameters
    ----------
    can_read
        Whether this entry can read the tables on behalf of the others.
    response_age_ms
        Age of the latest response; None if there is none to report.
    failure_age_ms
        Age of the latest call without a response; None if there is none.
    table_versions
        Version of the latest change of each table that the entry has.
    table_eras
        Era of the store that this version belongs to; without the tables of era 0.
    configuration_version
        Operators' version of the active configuration; 0 without any.
    proof_age_ms
        Age of the proof that the configuration is current; None without any. It only tells which
        entry to query; as a message without a question may be late, it proves nothing.
    """

    can_read: bool
    response_age_ms: float | None
    failure_age_ms: float | None
    table_versions: dict[str, int]
    table_eras: dict[str, int] = {}
    configuration_version: int = 0
    proof_age_ms: float | None = None

    def position(self, table: str) -> TablePosition:
        """Return the position of the latest change of a table that the entry has."""
        return TablePosition(self.table_eras.get(table, 0), self.table_versions.get(table, 0))


class RateLimitReport(msgspec.Struct, frozen=True, array_like=True):
    """What a target last said to one entry about its rate limit.

    Parameters
    ----------
    per_s
        Requests per second that it accepts from all entries; None if it names no limit any more.
    age_ms
        Time since then.
    """

    per_s: float | None
    age_ms: float


class LeavingReport(msgspec.Struct, frozen=True, array_like=True):
    """A target has told one entry that it leaves.

    Parameters
    ----------
    started_ms
        Start of the target's process in milliseconds since the epoch; infinite if not known.
    age_ms
        Time since then.
    """

    started_ms: float
    age_ms: float


class CustomerUsage(msgspec.Struct, frozen=True, array_like=True):
    """Requests of one customer since the start of the process that reports them.

    Parameters
    ----------
    admitted
        Requests that were admitted, less those that turned out not to have run.
    asked
        Requests that were received.
    """

    admitted: int
    asked: int


class ServiceRoom(msgspec.Struct, frozen=True, array_like=True):
    """Capacity of one service in one group of entries.

    Parameters
    ----------
    free_slots
        Slots of its targets that no request occupies.
    wait_ms
        Mean expected wait at these targets.
    away
        Requests in flight of the group at targets of other failure domains, by failure domain.
    """

    free_slots: int
    wait_ms: float
    away: dict[str, int] = {}


class DomainReport(msgspec.Struct, frozen=True, array_like=True, tag="d"):
    """State of one group of entries, for the entries of the other groups.

    Parameters
    ----------
    sender
        VM of the entry that reports.
    failure_domain, group
        Failure domain of the group, and its number there.
    number
        Sequence number; increases with each report of one process.
    started
        Start time of the sender's process in milliseconds since the epoch.
    usage
        Usage of the whole group by customer, as far as the sender knows, since its start.
    room
        Capacity of each service in the group.
    """

    sender: str
    failure_domain: str
    group: int
    number: int
    started: int
    usage: dict[str, CustomerUsage] = {}
    room: dict[str, ServiceRoom] = {}


class FreshnessQuery(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """Asks another entry for the age of its proof that its configuration is current.

    Parameters
    ----------
    sender
        VM of the entry that asks.
    number
        Sequence number of the query.
    """

    sender: str
    number: int


class FreshnessAnswer(msgspec.Struct, frozen=True, array_like=True, tag="a"):
    """Answer to a `FreshnessQuery`.

    Parameters
    ----------
    sender
        VM of the entry that answers.
    number
        Number of the query.
    position
        Position of the table of the configuration that was proved to be current.
    age_ms
        Time since the start of the call that proved it, when the answer was made.
    """

    sender: str
    number: int
    position: TablePosition
    age_ms: float


class StateUpdate(msgspec.Struct, frozen=True, array_like=True, tag="n"):
    """State that one entry sends to the other entries of its failure domain.

    Parameters
    ----------
    sender
        VM of the entry.
    number
        Sequence number; increases with each update of one process.
    started
        Start time of the process in milliseconds since the epoch; distinguishes its restarts.
    in_flight
        Number of the entry's requests in flight, by target.
    observations
        Results of attempts since the previous update.
    observations_before
        Number of observations that the process sent before those in `observations`.
    store_status
        How the platform's tables respond to the entry; None if the last status sent still holds.
    retry_usage
        Requests and retries of the latest window, by service; None if the last usage sent still
        holds.
    strength
        How suitable the VM is to do work for others; higher is better.
    rate_limits
        Rate limits of targets, by name, as far as the entry knows them from responses of its own;
        None if those last sent still hold.
    crash_reports
        What the entry knows of requests that may crash targets, as far as it is new; a full update
        repeats some of it.
    leaving
        Targets, by name, that have told the entry that they leave; None if those last sent still
        hold.
    usage
        Usage by customer, for those whose usage changed since the previous update.
    levels
        Levels of the token buckets of customers that are not full; None if the sender is no relay
        or has sent them recently.
    work
        Expected remaining work of the entry's requests in flight, by target, in milliseconds.
    customer_work
        Expected work in flight by service and customer, in milliseconds.
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
    rate_limits: dict[str, RateLimitReport] | None = None
    crash_reports: tuple[CrashReport, ...] = ()
    leaving: dict[str, LeavingReport] | None = None
    usage: dict[str, CustomerUsage] | None = None
    levels: dict[str, float] | None = None
    work: dict[str, int] | None = None
    customer_work: dict[str, dict[str, int]] | None = None

    @property
    def is_full(self) -> bool:
        """Whether the update contains the data that an entry sends only from time to time."""
        return self.store_status is not None


class RelayedUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A state update that a relay passes on.

    Parameters
    ----------
    update
        The update.
    address
        Address at which its sender receives updates; only present with full updates.
    """

    update: StateUpdate
    address: Address | None = None


class UpdateBatch(msgspec.Struct, frozen=True, array_like=True, tag="b"):
    """Updates of several entries, passed on by one of them.

    Parameters
    ----------
    sender
        VM of the entry that passes them on.
    updates
        Those of the same sender are in order of their numbers.
    forward_to
        Addresses to which the receiver forwards the batch.
    reports
        Reports of other groups.
    """

    sender: str
    updates: tuple[RelayedUpdate, ...]
    forward_to: tuple[Address, ...] = ()
    reports: tuple[DomainReport, ...] = ()


class CrashNotice(msgspec.Struct, frozen=True, array_like=True, tag="c"):
    """What an entry of another group knows of requests that may crash targets.

    Parameters
    ----------
    sender
        VM of the entry.
    reports
        What it knows.
    """

    sender: str
    reports: tuple[CrashReport, ...]


Message = StateUpdate | UpdateBatch | CrashNotice | DomainReport | FreshnessQuery | FreshnessAnswer
"""A datagram between entries; a `StateUpdate` alone asks its receiver to relay it."""
