"""Events that a pool takes and commands that it returns."""

from dataclasses import dataclass
from enum import Enum

from cactusvane.fleet.vm import Address, Vm


class Outcome(Enum):
    """How one attempt at a target ended."""

    SERVED = "served"
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    BROKEN = "broken"
    UNREACHABLE = "unreachable"
    SHED = "shed"
    DRAINING = "draining"
    CANCELLED = "cancelled"


class NoticeSource(Enum):
    """Who said that a target is leaving."""

    LIST = "list"
    ANSWER = "answer"
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
    source: NoticeSource


@dataclass(frozen=True, slots=True)
class Ticked:
    """Time passed; nothing else happened."""


PoolEvent = TargetsListed | AttemptStarted | AttemptEnded | LeavingNoticed | Ticked


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
class Returned:
    """A target was taken in again."""

    target: Address


PoolCommand = CloseIdle | Ejected | Returned
