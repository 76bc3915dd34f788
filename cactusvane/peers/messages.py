"""What an entry and a keeper tell each other on their stream."""

from dataclasses import dataclass

from cactusvane.fleet.vm import Address
from cactusvane.pool.messages import Ejection, ReportEvidence, ReportLeaving
from cactusvane.slots.messages import CreditRequest, CreditResponse


@dataclass(frozen=True, slots=True)
class Hello:
    """First message of an entry: who it is and where it stands."""

    vm: str
    failure_domain: str


@dataclass(frozen=True, slots=True)
class ServiceAsk:
    """An entry's ask for the slots of a service."""

    service: str
    ask: CreditRequest


EntryMessage = Hello | ReportEvidence | ReportLeaving | ServiceAsk


@dataclass(frozen=True, slots=True)
class ServiceEjection:
    """A keeper's ejection of a target of a service."""

    service: str
    ejection: Ejection


@dataclass(frozen=True, slots=True)
class ServiceReturn:
    """A keeper's return of a target of a service."""

    service: str
    target: Address


@dataclass(frozen=True, slots=True)
class ServiceLeaving:
    """A keeper's word that a target of a service answered that it is leaving."""

    service: str
    target: Address


@dataclass(frozen=True, slots=True)
class ServiceCredits:
    """A keeper's answer to an ask, or a later grant."""

    service: str
    answer: CreditResponse


KeeperMessage = ServiceEjection | ServiceReturn | ServiceLeaving | ServiceCredits
