"""Where requests wait for a slot: the shell round `EntrySlots`."""

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
"""How often time passes while a request waits."""


@dataclass(slots=True)
class QueueTicket:
    """One request at the gate.

    Parameters
    ----------
    id
        Identifies the request at this gate.
    target
        Where it may go now; None while it waits, or where it was refused.
    waiter
        Set while somebody waits for the target.
    """

    id: int
    target: Address | None = None
    rejected: bool = False
    waiter: asyncio.Future[None] | None = field(default=None, repr=False)


class AdmissionQueue:
    """Lets the requests of one service through.

    Parameters
    ----------
    slots
        The decisions.
    clock
        The process's clock.
    service
        Name of the service, for the log.
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
        """Give an event to the decisions and carry out their commands."""
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
        """Let time pass."""
        self.tick_timer = None
        before = self.slots.keeper_late_until
        self.handle(Ticked())
        if self.slots.keeper_late_until > before:
            events.write(Event.KEEPER_LATE, service=self.service)

    def resolve(self, request: int, target: Address | None) -> None:
        """Tell a request where it may go, or that there is no room."""
        ticket = self.tickets.get(request)
        if ticket is None:
            return
        ticket.target = target
        ticket.rejected = target is None
        if ticket.waiter is not None and not ticket.waiter.done():
            ticket.waiter.set_result(None)

    def open(self, deadline_ms: float, tried: frozenset[Address], idempotent: bool) -> QueueTicket:
        """Let a request wait at the gate.

        Parameters
        ----------
        deadline_ms
            Moment after which an answer is of no use.
        tried
            Targets that it has tried already.
        idempotent
            Whether it may try a target that is on trial.

        Returns
        -------
        QueueTicket
            Must come back by `end` or `withdraw`.
        """
        ticket = QueueTicket(next(self.ids))
        self.tickets[ticket.id] = ticket
        self.handle(Arrived(ticket.id, deadline_ms, tried, idempotent))
        return ticket

    async def wait(self, ticket: QueueTicket) -> Address | None:
        """Return where the request may go, or None where there is no room in time."""
        if ticket.target is None and not ticket.rejected:
            ticket.waiter = asyncio.get_running_loop().create_future()
            await ticket.waiter
        return ticket.target

    def end(self, ticket: QueueTicket, outcome: Outcome, latency_ms: float) -> None:
        """Take in the end of an attempt; after a shed the request waits at the gate again."""
        ticket.target = None
        ticket.waiter = None
        if outcome is not Outcome.SHED:
            del self.tickets[ticket.id]
        self.handle(Ended(ticket.id, outcome, latency_ms))

    def withdraw(self, ticket: QueueTicket) -> None:
        """Let go of a request that goes no further."""
        if self.tickets.pop(ticket.id, None) is None:
            return
        if ticket.target is None:
            self.handle(Withdrawn(ticket.id))
        else:
            self.handle(Ended(ticket.id, Outcome.CANCELLED, 0.0))
