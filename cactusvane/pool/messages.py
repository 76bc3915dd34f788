"""Events and commands of pools and of the keeper's evidence."""

from dataclasses import dataclass
from enum import Enum

from cactusvane.configuration.model import Service
from cactusvane.fleet.vm import Address, Vm
from cactusvane.outcome import Outcome


class LeavingSource(Enum):
    """Source of the information that a target is leaving."""

    LIST = "list"
    RESPONSE = "answer"
    KEEPER = "keeper"
    """Another entry received the target's response."""

    CONFIGURATION = "file"


@dataclass(frozen=True, slots=True)
class TargetsListed:
    """The VM list has these targets for the service."""

    targets: tuple[Vm, ...]


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """A request was sent to a target."""

    target: Address


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended `latency_ms` milliseconds after it started."""

    target: Address
    outcome: Outcome
    latency_ms: float


@dataclass(frozen=True, slots=True)
class LeavingNoticed:
    """A target is leaving and must get no new requests."""

    target: Address
    source: LeavingSource


@dataclass(frozen=True, slots=True)
class Ticked:
    """Periodic tick; only the time has changed."""


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """A probe of a target's health endpoint ended; `healthy` is its result."""

    target: Address
    healthy: bool


@dataclass(frozen=True, slots=True)
class Ejection:
    """A keeper's decision to eject a target.

    Parameters
    ----------
    target
        The failing target.
    failure_domains
        Failure domains whose entries eject the target; empty for all.
    hold_ms
        Remaining hold-down before the first trial.
    expiry_ms
        The keeper counts as gone if the ejection is not repeated within this time.
    trial
        Whether idempotent requests may try the target now.
    severity
        Share of bad outcomes, between 0 and 1; where the floor limits ejections, the targets with
        the lowest severity stay in use.
    reason
        Reason for the log.
    """

    target: Address
    failure_domains: tuple[str, ...]
    hold_ms: float
    expiry_ms: float
    trial: bool
    severity: float
    reason: str


@dataclass(frozen=True, slots=True)
class Restoration:
    """A keeper's decision that a target is healthy again."""

    target: Address


@dataclass(frozen=True, slots=True)
class EjectionReceived:
    """A keeper's ejection, or its repetition, was received."""

    ejection: Ejection


@dataclass(frozen=True, slots=True)
class RestorationReceived:
    """A keeper's restoration of a target was received."""

    target: Address


@dataclass(frozen=True, slots=True)
class ServiceChanged:
    """A new version of the service configuration is active."""

    service: Service


PoolEvent = (
    TargetsListed
    | ServiceChanged
    | AttemptStarted
    | AttemptEnded
    | LeavingNoticed
    | ProbeEnded
    | EjectionReceived
    | RestorationReceived
    | Ticked
)


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close all idle connections to a target."""

    target: Address


@dataclass(frozen=True, slots=True)
class Ejected:
    """A target was ejected; `reason` is for the log."""

    target: Address
    reason: str


@dataclass(frozen=True, slots=True)
class Restored:
    """An ejected target was restored."""

    target: Address


@dataclass(frozen=True, slots=True)
class Probe:
    """Probe a target's health endpoint; the result is returned as `ProbeEnded`."""

    target: Address


@dataclass(frozen=True, slots=True)
class TargetCounts:
    """Outcomes of one target that one observer counted since its last report.

    Parameters
    ----------
    target
        The target.
    served, failed
        Attempts by outcome.
    in_time, slow
        Attempts by latency; a request in flight counts as slow once it exceeds the threshold.
    trial
        Whether the target was ejected and these were trial requests.
    """

    target: Address
    served: int = 0
    failed: int = 0
    in_time: int = 0
    slow: int = 0
    trial: bool = False


@dataclass(frozen=True, slots=True)
class ReportEvidence:
    """Send outcome counts to the keeper of the service."""

    service: str
    counts: tuple[TargetCounts, ...]


@dataclass(frozen=True, slots=True)
class ReportLeaving:
    """Report to the keeper of the service that a target announced its leaving in a response."""

    service: str
    target: Address


@dataclass(frozen=True, slots=True)
class OwnPathSuspected:
    """Most targets look unreachable, so the fault is likely on this VM's own network path."""

    service: str


@dataclass(frozen=True, slots=True)
class OwnPathCleared:
    """The VM's own network path is no longer suspected."""

    service: str


PoolCommand = (
    CloseIdle
    | Ejected
    | Restored
    | Probe
    | ReportEvidence
    | ReportLeaving
    | OwnPathSuspected
    | OwnPathCleared
)


@dataclass(frozen=True, slots=True)
class EvidenceReported:
    """Outcome counts of an observer were received by the keeper."""

    observer: str
    failure_domain: str
    counts: tuple[TargetCounts, ...]


KeeperEvent = EvidenceReported | TargetsListed | ServiceChanged | Ticked
KeeperCommand = Ejection | Restoration
