"""Admission by keepers: the pool chooses, the gate holds back what has no slot."""

from collections.abc import Callable

from cactusvane.fleet.vm import Address
from cactusvane.outcome import Outcome
from cactusvane.placement.messages import RequestProfile
from cactusvane.pool.messages import AttemptEnded, AttemptStarted, PoolEvent
from cactusvane.request.admission import Ticket
from cactusvane.slots.gate import Gate, GateTicket


class KeptTicket(Ticket):
    """A request and its ticket at the gate."""

    __slots__ = ("at_gate",)

    def __init__(
        self, profile: RequestProfile, tried: frozenset[Address], at_gate: GateTicket
    ) -> None:
        super().__init__(profile, tried)
        self.at_gate: GateTicket | None = at_gate


class KeptAdmission:
    """Lets the requests of one service through its gate and tells its pool of attempts.

    Parameters
    ----------
    gate
        Where requests wait for a slot.
    tell
        Takes events for the pool.
    """

    def __init__(self, gate: Gate, tell: Callable[[PoolEvent], None]) -> None:
        self.gate = gate
        self.tell = tell

    def usual_ms(self, kind: str, latency_ms: float) -> float | None:
        """Return None: pools know no times by kind."""
        return None

    def has_room(self, profile: RequestProfile, tried: frozenset[Address]) -> bool:
        """Return True: where there is no slot, the request waits for one."""
        return True

    def most_rest_ms(self, idempotent: bool) -> float:
        """Return 0: connections are opened ahead of need and used once."""
        return 0.0

    def open(self, profile: RequestProfile, tried: frozenset[Address]) -> Ticket:
        """Take in a request that was sent to the targets `tried` already."""
        at_gate = self.gate.open(profile.deadline, tried, profile.idempotent)
        return KeptTicket(profile, tried, at_gate)

    async def wait(self, ticket: Ticket) -> Address | None:
        """Return the target that the request goes to now, None where it is turned away."""
        assert isinstance(ticket, KeptTicket)
        if ticket.at_gate is None:
            return None
        address = await self.gate.wait(ticket.at_gate)
        if address is not None:
            self.tell(AttemptStarted(address))
        return address

    def ended(self, ticket: Ticket, address: Address, outcome: Outcome, latency_ms: float) -> None:
        """Take in the end of an attempt; a shed request keeps its place at the gate."""
        assert isinstance(ticket, KeptTicket)
        self.tell(AttemptEnded(address, outcome, latency_ms))
        if ticket.at_gate is not None:
            self.gate.end(ticket.at_gate, outcome, latency_ms)
        if outcome is not Outcome.SHED:
            ticket.at_gate = None

    def withdraw(self, ticket: Ticket) -> None:
        """Let go of a request that goes no further."""
        assert isinstance(ticket, KeptTicket)
        if ticket.at_gate is not None:
            self.gate.withdraw(ticket.at_gate)
            ticket.at_gate = None
