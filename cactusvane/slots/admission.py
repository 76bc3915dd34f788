"""Admission control with keepers: the pool chooses targets, a queue holds requests for slots."""

from collections.abc import Callable

from cactusvane.fleet.vm import Address
from cactusvane.http.target_notice import TargetNotice
from cactusvane.outcome import Outcome
from cactusvane.placement.messages import RequestProfile
from cactusvane.pool.messages import AttemptEnded, AttemptStarted, PoolEvent
from cactusvane.request.admission import Ticket
from cactusvane.slots.admission_queue import AdmissionQueue, QueueTicket


class KeeperTicket(Ticket):
    """A request and its ticket in the admission queue."""

    __slots__ = ("queue_ticket",)

    def __init__(
        self, profile: RequestProfile, tried: frozenset[Address], queue_ticket: QueueTicket
    ) -> None:
        super().__init__(profile, tried)
        self.queue_ticket: QueueTicket | None = queue_ticket


class KeeperAdmission:
    """Admits the requests of one service through its queue and reports attempts to its pool.

    Parameters
    ----------
    queue
        Queue in which requests wait for a slot.
    handle_event
        Called with each event for the pool.
    """

    def __init__(self, queue: AdmissionQueue, handle_event: Callable[[PoolEvent], None]) -> None:
        self.queue = queue
        self.handle_event = handle_event

    def expected_latency_ms(self, kind: str, latency_ms: float) -> float | None:
        """Return None: pools keep no latencies by kind."""
        return None

    def has_room(self, profile: RequestProfile, tried: frozenset[Address]) -> bool:
        """Return True: without a free slot the request waits for one."""
        return True

    def max_idle_ms(self, idempotent: bool) -> float:
        """Return 0: connections are opened in advance and used for one request."""
        return 0.0

    def open(self, profile: RequestProfile, tried: frozenset[Address]) -> Ticket:
        """Add a request that was already sent to the targets `tried`."""
        queue_ticket = self.queue.open(profile.deadline, tried, profile.idempotent)
        return KeeperTicket(profile, tried, queue_ticket)

    async def wait(self, ticket: Ticket) -> Address | None:
        """Wait until the request may be sent; return its target, None if it is rejected."""
        assert isinstance(ticket, KeeperTicket)
        if ticket.queue_ticket is None:
            return None
        address = await self.queue.wait(ticket.queue_ticket)
        if address is not None:
            self.handle_event(AttemptStarted(address))
        return address

    def record_attempt(
        self, ticket: Ticket, address: Address, outcome: Outcome, latency_ms: float
    ) -> None:
        """Record the end of an attempt; a shed request keeps its ticket."""
        assert isinstance(ticket, KeeperTicket)
        self.handle_event(AttemptEnded(address, outcome, latency_ms))
        if ticket.queue_ticket is not None:
            self.queue.end(ticket.queue_ticket, outcome, latency_ms)
        if outcome is not Outcome.SHED:
            ticket.queue_ticket = None

    def record_notice(
        self, ticket: Ticket, notice: TargetNotice, sent_at: float, succeeded: bool
    ) -> None:
        """Do nothing: `cactusvaned` has no names for these fields, so no response has them."""

    def withdraw(self, ticket: Ticket) -> None:
        """Remove a request that will not be sent again."""
        assert isinstance(ticket, KeeperTicket)
        if ticket.queue_ticket is not None:
            self.queue.withdraw(ticket.queue_ticket)
            ticket.queue_ticket = None
