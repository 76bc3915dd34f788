"""Queue in which requests wait for a slot: the I/O around `EntrySlots`."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from cactusvane import events
from cactusvane.clock import MS_PER_SECOND, Clock
from cactusvane.events import Event
from cactusvane.fleet.vm import Address
from cactusvane.outcome import Outcome
from cactusvane.slots.entry import EntrySlots
from cactusvane.slots.messages import (
    Arrived,
    CreditRequest,
    Dispatch,
    Ended,
    EntryEvent,
    Reject,
    Ticked,
    Withdrawn,
)

TICK_MS = 4.0
"""Interval between ticks while a request waits."""


@dataclass(slots=True)
class QueueTicket:
    """One request in the queue.

    Parameters
    ----------
    id
        Identifies the request in this queue.
    target
        Target to which it may be sent now; None while it waits or if it was rejected.
    rejected
        Whether the request was rejected.
    waiter
        Future of the caller that waits for the target, if any.
    """

    id: int
    target: Address | None = None
    rejected: bool = False
    waiter: asyncio.Future[None] | None = field(default=None, repr=False)


class AdmissionQueue:
    """Queue of the requests of one service.

    Parameters
    ----------
    slots
        Decides which request is sent where.
    clock
        Clock of the process.
    service
        Name of the service, for the log.

    Attributes
    ----------
    send_request
        Sends a credit request to the keeper; None while there is no way to send one.
    """

    def __init__(self, slots: EntrySlots, clock: Clock, service: str = "") -> None:
        self.service = service
        self.slots = slots
        self.clock = clock
        self.ids = count(1)
        self.tickets: dict[int, QueueTicket] = {}
        self.send_request: Callable[[CreditRequest], None] | None = None
        self.tick_timer: asyncio.TimerHandle | None = None

    def handle(self, event: EntryEvent) -> None:
        """Pass an event to `slots` and execute the commands that it returns."""
        for command in self.slots.handle(event, self.clock.now()):
            match command:
                case Dispatch(request, target):
                    self.resolve(request, target)
                case Reject(request):
                    self.resolve(request, None)
                case CreditRequest():
                    if self.send_request is not None:
                        self.send_request(command)
        if self.tick_timer is None and self.slots.is_waiting:
            loop = asyncio.get_running_loop()
            self.tick_timer = loop.call_later(TICK_MS / MS_PER_SECOND, self.tick)

    def tick(self) -> None:
        """Process a tick; log when the keeper becomes late."""
        self.tick_timer = None
        before = self.slots.keeper_late_until
        self.handle(Ticked())
        if self.slots.keeper_late_until > before:
            events.write(Event.KEEPER_LATE, service=self.service)

    def resolve(self, request: int, target: Address | None) -> None:
        """Set the target of a waiting request, or reject it if `target` is None."""
        ticket = self.tickets.get(request)
        if ticket is None:
            return
        ticket.target = target
        ticket.rejected = target is None
        if ticket.waiter is not None and not ticket.waiter.done():
            ticket.waiter.set_result(None)

    def open(self, deadline_ms: float, tried: frozenset[Address], idempotent: bool) -> QueueTicket:
        """Add a request to the queue.

        Parameters
        ----------
        deadline_ms
            Time after which a response is useless (monotonic clock of the process).
        tried
            Targets that it has already tried.
        idempotent
            Whether it may be sent to a target that is on trial.

        Returns
        -------
        QueueTicket
            Ticket that the caller must pass to `end` or `withdraw`.
        """
        ticket = QueueTicket(next(self.ids))
        self.tickets[ticket.id] = ticket
        self.handle(Arrived(ticket.id, deadline_ms, tried, idempotent))
        return ticket

    async def wait(self, ticket: QueueTicket) -> Address | None:
        """Wait for a slot; return the target, or None if there is no slot in time."""
        if ticket.target is None and not ticket.rejected:
            ticket.waiter = asyncio.get_running_loop().create_future()
            await ticket.waiter
        return ticket.target

    def end(self, ticket: QueueTicket, outcome: Outcome, latency_ms: float) -> None:
        """Record the end of an attempt; a shed request waits in the queue again."""
        ticket.target = None
        ticket.waiter = None
        if outcome is not Outcome.SHED:
            del self.tickets[ticket.id]
        self.handle(Ended(ticket.id, outcome, latency_ms))

    def withdraw(self, ticket: QueueTicket) -> None:
        """Remove a request that will not be sent again; a second call has no effect."""
        if self.tickets.pop(ticket.id, None) is None:
            return
        if ticket.target is None:
            self.handle(Withdrawn(ticket.id))
        else:
            self.handle(Ended(ticket.id, Outcome.CANCELLED, 0.0))
