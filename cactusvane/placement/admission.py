"""Admission by shared loads: I/O around `Placement`."""

import asyncio
from collections.abc import Callable

from cactusvane.clock import MS_PER_SECOND, Clock
from cactusvane.fleet.vm import Address
from cactusvane.http.target_notice import TargetNotice
from cactusvane.outcome import Outcome
from cactusvane.placement.domain import Domain
from cactusvane.placement.fair_share import StartedWork
from cactusvane.placement.learning import FAILURE_OUTCOMES
from cactusvane.placement.messages import Observation, Place, Reject, RequestProfile, Wait
from cactusvane.placement.placement import Placement
from cactusvane.placement.work import RunningWork
from cactusvane.request.admission import Ticket


class SharedTicket(Ticket):
    """A request, with the future that it waits on and the timer that marks it as overdue.

    `running` is its attempt in flight, if the work of requests is estimated, and `work` its part of
    the customer's work, if customers share capacity.
    """

    __slots__ = ("overdue", "running", "waiter", "work")

    def __init__(self, profile: RequestProfile, tried: frozenset[Address]) -> None:
        super().__init__(profile, tried)
        self.waiter: asyncio.Future[None] | None = None
        self.overdue: asyncio.TimerHandle | None = None
        self.running: RunningWork | None = None
        self.work: StartedWork | None = None


class SharedAdmission:
    """Admits the requests of one service to the targets that its placement chooses.

    Parameters
    ----------
    placement
        Decides about each request.
    domain
        Collects the result of each attempt for the other entries.
    clock
        Monotonic clock of the process.
    schedule_update
        Called when there is something to send to the other entries, with whether it is urgent.
    """

    def __init__(
        self,
        placement: Placement,
        domain: Domain,
        clock: Clock,
        schedule_update: Callable[[bool], None],
    ) -> None:
        self.placement = placement
        self.domain = domain
        self.clock = clock
        self.schedule_update = schedule_update
        self.waiting: list[SharedTicket] = []

    def expected_latency_ms(self, kind: str, latency_ms: float) -> float | None:
        """Return the expected latency of a kind, in milliseconds."""
        return self.placement.latencies.expected_ms(kind, latency_ms)

    def has_room(self, profile: RequestProfile, tried: frozenset[Address]) -> bool:
        """Return whether a target that was not tried could run the request now."""
        return isinstance(self.placement.decide(profile, tried, self.clock.now()), Place)

    def max_idle_ms(self, idempotent: bool) -> float:
        """Return how long a connection used for a request may have been idle, in milliseconds."""
        return self.placement.idle_limit.max_idle_ms(idempotent, self.clock.now())

    def open(self, profile: RequestProfile, tried: frozenset[Address]) -> Ticket:
        """Open a ticket for a request that was sent to the targets `tried` already."""
        return SharedTicket(profile, tried)

    async def wait(self, ticket: Ticket) -> Address | None:
        """Return the target that the request is sent to now; None if it is rejected."""
        assert isinstance(ticket, SharedTicket)
        while True:
            decision = self.placement.place(ticket.profile, ticket.tried, self.clock.now())
            match decision:
                case Place():
                    self.start(ticket, decision)
                    return decision.address
                case Reject():
                    ticket.rejection = decision
                    return None
                case Wait(until):
                    await self.wait_for_room(ticket, until)

    def start(self, ticket: SharedTicket, place: Place) -> None:
        """Record that a request is sent to its target."""
        ticket.place = place
        profile = ticket.profile
        now = self.clock.now()
        ticket.running = self.placement.record_start(place.name, now, profile, place.inputs.wait_ms)
        overdue_ms = self.placement.overdue_ms(profile.kind, profile.latency_ms, ticket.running)
        ticket.work = self.placement.start_work(profile)
        loop = asyncio.get_running_loop()
        ticket.overdue = loop.call_later(
            overdue_ms / MS_PER_SECOND, self.record_overdue, ticket, overdue_ms
        )
        self.schedule_update(False)

    def record_overdue(self, ticket: SharedTicket, overdue_ms: float) -> None:
        """Count a request that takes too long as evidence of failure of its target."""
        if ticket.place is None:
            return
        observation = Observation(ticket.place.name, ticket.profile.kind, None, overdue_ms)
        self.placement.record_observation(observation, self.clock.now())
        self.domain.observe(observation)
        self.schedule_update(True)

    async def wait_for_room(self, ticket: SharedTicket, until: float) -> None:
        """Wait until something changes, no longer than `until`."""
        ticket.waiter = asyncio.get_running_loop().create_future()
        self.waiting.append(ticket)
        try:
            async with asyncio.timeout(max(0.0, until - self.clock.now()) / MS_PER_SECOND):
                await ticket.waiter
        except TimeoutError:
            pass
        finally:
            self.waiting.remove(ticket)

    def wake(self) -> None:
        """Wake waiting requests so that they are placed again, the most urgent first."""
        profiles = {ticket.profile for ticket in self.waiting}
        over_share = self.placement.over_share(profiles, self.clock.now())
        order = sorted(
            self.waiting,
            key=lambda ticket: (
                ticket.profile.rank,
                ticket.profile in over_share,
                ticket.profile.deadline,
            ),
        )
        for ticket in order:
            if ticket.waiter is not None and not ticket.waiter.done():
                ticket.waiter.set_result(None)

    def record_attempt(
        self, ticket: Ticket, address: Address, outcome: Outcome, latency_ms: float
    ) -> None:
        """Record the end of an attempt; the next one tries another target."""
        assert isinstance(ticket, SharedTicket)
        if ticket.place is None:
            return
        if ticket.overdue is not None:
            ticket.overdue.cancel()
        observation = Observation(
            ticket.place.name, ticket.profile.kind, outcome, round(latency_ms)
        )
        ticket.place = None
        if ticket.work is not None:
            ticket.work.end()
            ticket.work = None
        ticket.tried |= {address}
        observation = self.placement.record_end(observation, self.clock.now(), ticket.running)
        self.domain.observe(observation)
        self.schedule_update(outcome in FAILURE_OUTCOMES or outcome is Outcome.STALE)
        self.wake()

    def record_notice(
        self, ticket: Ticket, notice: TargetNotice, sent_at: float, succeeded: bool
    ) -> None:
        """Record what a target says of itself in a response."""
        if ticket.place is not None:
            now = self.clock.now()
            if self.domain.record_notice(ticket.place.name, notice, sent_at, succeeded, now):
                self.schedule_update(True)

    def withdraw(self, ticket: Ticket) -> None:
        """Release a request that is not continued."""
        if ticket.place is not None:
            self.record_attempt(ticket, ticket.place.address, Outcome.CANCELLED, 0.0)
