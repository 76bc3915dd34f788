"""Messages between an entry and a keeper on their stream."""

from dataclasses import dataclass

from cactusvane.fleet.vm import Address
from cactusvane.pool.messages import Ejection, ReportEvidence, ReportLeaving
from cactusvane.slots.messages import CreditRequest, CreditResponse


@dataclass(frozen=True, slots=True)
class Hello:
    """First message of an entry: its VM and failure domain."""

    vm: str
    failure_domain: str


@dataclass(frozen=True, slots=True)
class ServiceCreditRequest:
    """An entry's request for credits of a service."""

    service: str
    request: CreditRequest


EntryMessage = Hello | ReportEvidence | ReportLeaving | ServiceCreditRequest


@dataclass(frozen=True, slots=True)
class ServiceEjection:
    """A keeper's decision to eject a target of a service."""

    service: str
    ejection: Ejection


@dataclass(frozen=True, slots=True)
class ServiceRestoration:
    """A keeper's decision to restore an ejected target of a service."""

    service: str
    target: Address


@dataclass(frozen=True, slots=True)
class ServiceLeaving:
    """A keeper's notice that a target of a service announced its leaving in a response."""

    service: str
    target: Address


@dataclass(frozen=True, slots=True)
class ServiceCredits:
    """A keeper's response to a credit request, or credits that it grants later."""

    service: str
    response: CreditResponse


KeeperMessage = ServiceEjection | ServiceRestoration | ServiceLeaving | ServiceCredits
