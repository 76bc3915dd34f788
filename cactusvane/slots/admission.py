"""Admission by keepers: the pool chooses, the gate holds back what has no slot."""

from collections.abc import Callable

from cactusvane.fleet.vm import Address
from cactusvane.outcome import Outcome
from cactusvane.placement.messages import Demand
from cactusvane.pool.messages import AttemptEnded, AttemptStarted, PoolEvent
from cactusvane.request.admission import Ticket
from cactusvane.slots.admission_queue import AdmissionQueue, QueueTicket


class KeeperTicket(Ticket):
    """A request and its ticket at the gate."""

    __slots__ = ("queue_ticket",)

    def __init__(
        self, demand: Demand, tried: frozenset[Address], queue_ticket: QueueTicket
    ) -> None:
        super().__init__(demand, tried)
        self.queue_ticket: QueueTicket | None = queue_ticket


class KeeperAdmission:
    """Lets the requests of one service through its gate and tells its pool of attempts.

    Parameters
    ----------
    queue
        Where requests wait for a slot.
    handle_event
        Takes events for the pool.
    """

    def __init__(self, queue: AdmissionQueue, handle_event: Callable[[PoolEvent], None]) -> None:
        self.queue = queue
        self.handle_event = handle_event

    def usual_ms(self, kind: str, latency_ms: float) -> float | None:
        """Return None: pools know no times by kind."""
        return None

    def has_room(self, demand: Demand, tried: frozenset[Address]) -> bool:
        """Return True: where there is no slot, the request waits for one."""
        return True

    def most_rest_ms(self, idempotent: bool) -> float:
        """Return 0: connections are opened ahead of need and used once."""
        return 0.0

    def open(self, demand: Demand, tried: frozenset[Address]) -> Ticket:
        """Take in a request that was sent to the targets `tried` already."""
        queue_ticket = self.queue.open(demand.deadline, tried, demand.idempotent)
        return KeeperTicket(demand, tried, queue_ticket)

    async def wait(self, ticket: Ticket) -> Address | None:
        """Return the target that the request goes to now, None where it is turned away."""
        assert isinstance(ticket, KeeperTicket)
        if ticket.queue_ticket is None:
            return None
        address = await self.queue.wait(ticket.queue_ticket)
        if address is not None:
            self.handle_event(AttemptStarted(address))
        return address

    def ended(self, ticket: Ticket, address: Address, outcome: Outcome, latency_ms: float) -> None:
        """Take in the end of an attempt; a shed request keeps its place at the gate."""
        assert isinstance(ticket, KeeperTicket)
        self.handle_event(AttemptEnded(address, outcome, latency_ms))
        if ticket.queue_ticket is not None:
            self.queue.end(ticket.queue_ticket, outcome, latency_ms)
        if outcome is not Outcome.SHED:
            ticket.queue_ticket = None

    def withdraw(self, ticket: Ticket) -> None:
        """Let go of a request that goes no further."""
        assert isinstance(ticket, KeeperTicket)
        if ticket.queue_ticket is not None:
            self.queue.withdraw(ticket.queue_ticket)
            ticket.queue_ticket = None
