"""Interfaces between the dispatch of a request and the component that chooses its target."""

from typing import Protocol

from cactusvane.configuration.model import Configuration
from cactusvane.fleet.vm import Address, Vm
from cactusvane.http.target_notice import TargetNotice
from cactusvane.outcome import Outcome
from cactusvane.placement.messages import Place, Reject, RequestProfile
from cactusvane.request.budget import RetryLimiter


class Ticket:
    """A request that waits for a target or is in flight at one.

    Parameters
    ----------
    profile
        Properties of the request that the choice of a target depends on.
    tried
        Addresses of the targets that earlier attempts were sent to.

    Attributes
    ----------
    place
        The chosen target and the reason for the choice, or None if unknown.
    rejection
        Why the request was rejected, or None if unknown.
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
        Admission control of each service, by service name.
    """

    admissions: dict[str, "Admission"]

    def configure(self, configuration: Configuration) -> None:
        """Apply a new configuration."""

    def retry_limiter(self, service: str) -> RetryLimiter:
        """Return the retry limiter for a service that was just added."""

    def update_vms(self, listed: dict[str, tuple[Vm, ...]]) -> None:
        """Apply a new VM list, grouped by service name."""

    def tick(self) -> None:
        """Run periodic work."""


class Admission(Protocol):
    """Admission control for the requests of one service."""

    def expected_latency_ms(self, kind: str, latency_ms: float) -> float | None:
        """Return the expected latency of a kind in milliseconds, or None if unknown.

        Parameters
        ----------
        kind
            Kind of request, as the route declares it.
        latency_ms
            The route's latency objective in milliseconds.
        """

    def has_room(self, profile: RequestProfile, tried: frozenset[Address]) -> bool:
        """Return whether a target outside `tried` could accept the request now."""

    def max_idle_ms(self, idempotent: bool) -> float:
        """Return the longest idle time of a pooled connection that a request may reuse.

        Parameters
        ----------
        idempotent
            Whether the request is idempotent.

        Returns
        -------
        float
            Milliseconds; 0 if the request needs a new connection.
        """

    def open(self, profile: RequestProfile, tried: frozenset[Address]) -> Ticket:
        """Register a request whose earlier attempts went to the targets `tried`."""

    async def wait(self, ticket: Ticket) -> Address | None:
        """Wait until the request may be sent; return its target, or None if it is rejected."""

    def record_attempt(
        self, ticket: Ticket, address: Address, outcome: Outcome, latency_ms: float
    ) -> None:
        """Record the result of an attempt; after a shed attempt the ticket may wait again.

        Parameters
        ----------
        ticket
            The request.
        address
            The target that the attempt was sent to.
        outcome
            How the attempt ended.
        latency_ms
            Duration of the attempt in milliseconds; for `Outcome.STALE` the time that the
            connection had been idle.
        """

    def record_notice(
        self, ticket: Ticket, notice: TargetNotice, sent_at: float, succeeded: bool
    ) -> None:
        """Record what a target says of itself in a response.

        Parameters
        ----------
        ticket
            The request, which is still in flight at the target.
        notice
            What the response says.
        sent_at
            When the attempt began, in milliseconds (monotonic clock of the process).
        succeeded
            Whether the response has a status of success.
        """

    def withdraw(self, ticket: Ticket) -> None:
        """Remove a request that needs no further attempt."""
