"""What a request needs on its way to a target, whoever decides."""

from typing import Protocol

from cactusvane.configuration.model import Configuration
from cactusvane.fleet.vm import Address, Vm
from cactusvane.outcome import Outcome
from cactusvane.placement.messages import Place, Reject, RequestProfile
from cactusvane.request.budget import Retries


class Ticket:
    """One request on its way to a target.

    Parameters
    ----------
    profile
        The request.
    tried
        Targets that it was sent to already.

    Attributes
    ----------
    place
        Where it was sent and why, where that is known.
    rejection
        Why it was turned away, where that is known.
    """

    __slots__ = ("profile", "place", "rejection", "tried")

    def __init__(self, profile: RequestProfile, tried: frozenset[Address]) -> None:
        self.profile = profile
        self.tried = tried
        self.place: Place | None = None
        self.rejection: Reject | None = None


class Placer(Protocol):
    """Chooses targets for the requests of all services.

    Attributes
    ----------
    admissions
        By service.
    """

    admissions: dict[str, "Admission"]

    def configure(self, configuration: Configuration) -> None:
        """Put a configuration in force."""

    def retries(self, service: str) -> Retries:
        """Return the retries that a new service may make."""

    def list_vms(self, listed: dict[str, tuple[Vm, ...]]) -> None:
        """Take in the VM list, by service."""

    def tick(self) -> None:
        """Let time pass."""


class Admission(Protocol):
    """Lets the requests of one service through to its targets."""

    def usual_ms(self, kind: str, latency_ms: float) -> float | None:
        """Return what answers of a kind usually take, None where that is not known."""

    def has_room(self, profile: RequestProfile, tried: frozenset[Address]) -> bool:
        """Say whether a target that was not tried could take the request now."""

    def most_rest_ms(self, idempotent: bool) -> float:
        """Return how long a connection may have rested that a request goes on; 0 for new ones."""

    def open(self, profile: RequestProfile, tried: frozenset[Address]) -> Ticket:
        """Take in a request that was sent to the targets `tried` already."""

    async def wait(self, ticket: Ticket) -> Address | None:
        """Return the target that the request goes to now, None where it is turned away."""

    def ended(self, ticket: Ticket, address: Address, outcome: Outcome, latency_ms: float) -> None:
        """Take in the end of an attempt; after a shed one the request may wait again."""

    def withdraw(self, ticket: Ticket) -> None:
        """Let go of a request that goes no further."""
