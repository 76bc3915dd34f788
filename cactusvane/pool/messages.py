"""Events that a pool takes and commands that it returns."""

from dataclasses import dataclass
from enum import Enum

from cactusvane.configuration.model import Service
from cactusvane.fleet.vm import Address, Vm
from cactusvane.outcome import Outcome


class LeavingSource(Enum):
    """Who said that a target is leaving."""

    LIST = "list"
    RESPONSE = "answer"
    FILE = "file"


@dataclass(frozen=True, slots=True)
class TargetsListed:
    """The VM list shows these targets for the service."""

    targets: tuple[Vm, ...]


@dataclass(frozen=True, slots=True)
class AttemptStarted:
    """A request was sent to a target."""

    target: Address


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended after `latency_ms`."""

    target: Address
    outcome: Outcome
    latency_ms: float


@dataclass(frozen=True, slots=True)
class LeavingNoticed:
    """A target takes no new work from now on."""

    target: Address
    source: LeavingSource


@dataclass(frozen=True, slots=True)
class Ticked:
    """Time passed; nothing else happened."""


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """A probe of a target's health endpoint ended; `healthy` is what it answered."""

    target: Address
    healthy: bool


@dataclass(frozen=True, slots=True)
class Ejection:
    """A keeper's decision that a target is sick.

    Parameters
    ----------
    target
        The sick target.
    failure_domains
        The observers' failure domains it holds for; empty for all.
    hold_ms
        No trial before this much time has passed.
    expiry_ms
        Without a repetition within this time the keeper counts as gone.
    trial
        Whether idempotent requests may try the target now.
    severity
        Share of bad outcomes, between 0 and 1; where the floor binds, the least sick stay.
    reason
        For the log.
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
    """A keeper's decision that a target is well again."""

    target: Address


@dataclass(frozen=True, slots=True)
class EjectionReceived:
    """A keeper's ejection, or its repetition, reached this VM."""

    ejection: Ejection


@dataclass(frozen=True, slots=True)
class RestorationReceived:
    """A keeper's return reached this VM."""

    target: Address


@dataclass(frozen=True, slots=True)
class ServiceChanged:
    """Another version of the operators' file is in force."""

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
    """Close idle connections to a target."""

    target: Address


@dataclass(frozen=True, slots=True)
class Ejected:
    """A target was taken out on evidence."""

    target: Address
    reason: str


@dataclass(frozen=True, slots=True)
class Restored:
    """A target was taken in again."""

    target: Address


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a target's health endpoint; the answer comes back as `ProbeEnded`."""

    target: Address


@dataclass(frozen=True, slots=True)
class TargetCounts:
    """What one observer saw of one target since its last report.

    Parameters
    ----------
    target
        The target.
    served, failed
        Attempts by how they ended.
    in_time, slow
        Attempts by latency; a request in flight past the mark is slow at that moment.
    trial
        Whether the target was out and these were trials.
    """

    target: Address
    served: int = 0
    failed: int = 0
    in_time: int = 0
    slow: int = 0
    trial: bool = False


@dataclass(frozen=True, slots=True)
class ReportEvidence:
    """Send these counts to the keeper of the service."""

    service: str
    counts: tuple[TargetCounts, ...]


@dataclass(frozen=True, slots=True)
class ReportLeaving:
    """Tell the keeper of the service that a target answered that it is leaving."""

    service: str
    target: Address


@dataclass(frozen=True, slots=True)
class OwnPathSuspected:
    """Most targets look unreachable from here, so the fault is likely this VM's own path."""

    service: str


@dataclass(frozen=True, slots=True)
class OwnPathCleared:
    """The suspicion against this VM's own path is over."""

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
    """An observer's counts reached the keeper."""

    observer: str
    failure_domain: str
    counts: tuple[TargetCounts, ...]


KeeperEvent = EvidenceReported | TargetsListed | ServiceChanged | Ticked
KeeperCommand = Ejection | Restoration
