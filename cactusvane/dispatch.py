"""The dispatch of one request: slot, exchange, answer, and again where that is harmless."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING, Protocol

from cactusvane import events
from cactusvane.clock import MS_PER_SECOND
from cactusvane.configuration.routes import Match
from cactusvane.errors import BrokenResponseError, ConnectError, RequestError
from cactusvane.events import Event
from cactusvane.fleet.vm import Address
from cactusvane.http.check import bad_request
from cactusvane.http.client import ClientConnection
from cactusvane.http.exchange import Caller
from cactusvane.http.message import Request, Response, end_to_end
from cactusvane.http.refusal import VERDICT_HEADER
from cactusvane.http.stream import RelayedStream
from cactusvane.metrics import KindRecord
from cactusvane.outcome import Outcome
from cactusvane.placement.messages import Demand, Inputs, Why
from cactusvane.report.order import in_good_order, objective_of
from cactusvane.request.admission import Ticket
from cactusvane.request.attempts import (
    AttemptResult,
    Attempts,
    Deliver,
    Lost,
    NoTarget,
    Refuse,
    ResponseReceived,
    Try,
)
from cactusvane.verdict import Verdict

if TYPE_CHECKING:
    from cactusvane.entry import Entry

FIRST_ERROR_STATUS = 300
FAILED_STATUS = 500
MISDIRECTED_STATUS = 421
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise callers that a request has not run."""

RAN_FIELD = (VERDICT_HEADER, Verdict.RAN.value.encode())


def deadline_ms(request: Request, match: Match, header: bytes) -> float:
    """Return the time that a request has; the caller may shorten the route's deadline."""
    text = request.header(header)
    if text is None:
        return match.route.deadline_ms
    if not text.isdigit() or len(text) > 9:
        raise bad_request("bad-deadline", f"{header.decode()} is no whole number")
    return min(match.route.deadline_ms, int(text))


@dataclass(frozen=True, slots=True)
class AttemptNote:
    """One attempt as the log shows it.

    Parameters
    ----------
    target
        Name of the target, or its address where it has none.
    address
        Where the request was sent.
    outcome
        How it ended.
    latency_ms
        How long it took.
    inputs
        What the target was chosen by.
    why
        Why it was chosen by that; None where nothing tells.
    rested_ms
        How long its connection had rested; 0 for a new one, None for none.
    """

    target: str
    address: str
    outcome: str
    latency_ms: float
    inputs: Inputs | None
    why: Why | None
    rested_ms: float | None


class Lease(Protocol):
    """Leave to send a request, for a time."""

    def may_send(self, now: float) -> bool:
        """Say whether the request may be sent now, in milliseconds of the process's clock."""


class Dispatch:
    """One request and its attempts at targets.

    Parameters
    ----------
    entry
        Where it came in.
    match
        Its service and route.
    request
        As the caller sent it.
    caller
        Nothing is sent any more once it is gone.
    """

    def __init__(self, entry: "Entry", match: Match, request: Request, caller: Caller) -> None:
        self.entry = entry
        self.caller = caller
        self.vocabulary = entry.vocabulary
        self.clock = entry.clock
        self.route = match.route
        self.service = match.service
        self.admission = entry.placer.admissions[match.service.name]
        self.request = request
        own = self.vocabulary.set_by_entries
        self.headers = [field for field in end_to_end(request.headers) if field[0] not in own]
        self.started = self.clock.now()
        self.at_targets = 0.0
        self.waited = 0.0
        self.record: KindRecord = entry.recorder.kind(match.service.name, match.route.kind)
        self.time_ms = deadline_ms(request, match, self.vocabulary.deadline)
        budget = entry.budgets[match.service.name]
        retries = entry.settings.retries
        usual_ms = self.admission.usual_ms(match.route.kind, match.route.latency_ms)
        self.attempts = Attempts(match.route, self.time_ms, budget, self.started, retries, usual_ms)
        self.demand = Demand(
            match.route.kind,
            match.route.priority,
            match.route.idempotent,
            self.started,
            self.attempts.deadline,
            match.route.latency_ms,
        )
        self.held: Lease | None = None
        self.tried: frozenset[Address] = frozenset()
        self.own_id = request.header(self.vocabulary.request_id)
        self.request_id = (self.own_id or b"").decode("latin-1")
        self.rested_ms: float | None = None
        self.last_attempt: AttemptNote | None = None
        self.response: Response | None = None
        self.ticket: Ticket | None = None

    async def run(self) -> Response:
        """Send the request until the attempts say what its caller gets."""
        command = self.attempts.first(self.started)
        try:
            while isinstance(command, Try):
                result = await self.attempt(command)
                command = self.attempts.ended(result, self.clock.now())
        finally:
            if not self.streams:
                self.withdraw()
        match command:
            case Deliver():
                assert self.response is not None
                self.count(self.response.status, Verdict.RAN, "answered")
                return self.response
            case Refuse(status, code, text, verdict, retry_after_ms):
                self.count(status, verdict, code)
                raise RequestError(status, code, text, verdict, retry_after_ms)

    def count(self, status: int, verdict: Verdict, code: str) -> None:
        """Record what the caller is told, after the answer is on its way."""
        total = self.clock.now() - self.started
        asyncio.get_running_loop().call_soon(self.record_end, status, verdict, code, total)

    def record_end(self, status: int, verdict: Verdict, code: str, total_ms: float) -> None:
        """Add the request to the log, the metrics and the burn report."""
        events.write(
            Event.REQUEST_ENDED,
            request=self.request_id,
            status=status,
            verdict=verdict.value,
            code=code,
            service=self.service.name,
            kind=self.route.kind,
            total_ms=round(total_ms, 1),
            waited_ms=round(self.waited, 1),
            time_ms=self.time_ms,
            attempts=len(self.tried),
            last=self.last_attempt,
            configuration=self.entry.version,
        )
        self.record.record_response(status, verdict, total_ms, total_ms - self.at_targets)
        self.record.waited_for_slot(self.waited)
        service, kind = self.service, self.route.kind
        good = in_good_order(objective_of(service, kind), status, verdict, total_ms)
        self.entry.ledger.record(service.name, kind, good, self.clock.wall())

    async def attempt(self, command: Try) -> AttemptResult:
        """Do one attempt and tell the admission how it ended."""
        address = await self.choose()
        if address is None:
            return self.turned_away()
        if self.caller.gone:
            return NoTarget("caller-gone")
        self.tried |= {address}
        self.rested_ms = None
        started = self.clock.now()
        outcome = Outcome.CANCELLED
        result: AttemptResult | None = None
        try:
            result = await self.exchange(address, command)
            outcome = self.outcome(result)
            return result
        finally:
            latency = self.clock.now() - started
            self.at_targets += latency
            self.note_attempt(address, outcome, result, latency)
            if outcome is Outcome.SERVED and not self.streams:
                self.end_soon(address, latency)
            elif not self.streams:
                stale_ms = self.rested_ms if outcome is Outcome.STALE else None
                self.end(address, latency if stale_ms is None else stale_ms, outcome)

    def note_attempt(
        self, address: Address, outcome: Outcome, result: AttemptResult | None, latency: float
    ) -> None:
        """Keep what decided an attempt for the log; one that went wrong has its own line."""
        place = self.ticket.place if self.ticket else None
        self.last_attempt = AttemptNote(
            target=place.name if place else str(address),
            address=str(address),
            outcome=outcome.value,
            latency_ms=round(latency, 1),
            inputs=place.inputs if place else None,
            why=place.why if place else None,
            rested_ms=self.rested_ms,
        )
        if outcome is not Outcome.SERVED:
            events.write(
                Event.REQUEST_ATTEMPTED,
                request=self.request_id,
                target=self.last_attempt.target,
                outcome=outcome.value,
                reason=result.text if isinstance(result, Lost) else "",
                attempt=self.last_attempt,
                number=len(self.tried),
                retries_left=round(self.attempts.budget.left(self.clock.now()), 2),
                configuration=self.entry.version,
            )

    @property
    def streams(self) -> bool:
        """Whether the rest of the answer is still to come."""
        return self.response is not None and self.response.rest is not None

    def end_soon(self, address: Address, latency: float) -> None:
        """Tell pool and metrics of a whole answer, after it is on its way to the caller."""
        ticket, self.ticket = self.ticket, None
        loop = asyncio.get_running_loop()
        loop.call_soon(self.tell_end, ticket, address, latency, Outcome.SERVED)

    def end(self, address: Address, latency: float, outcome: Outcome) -> None:
        """Tell pool and metrics that an attempt ended; a shed request keeps its ticket."""
        self.tell_end(self.ticket, address, latency, outcome)
        if outcome is not Outcome.SHED:
            self.ticket = None

    def tell_end(
        self, ticket: Ticket | None, address: Address, latency: float, outcome: Outcome
    ) -> None:
        """Tell pool, gate and metrics that an attempt ended."""
        self.record.attempted(outcome)
        if ticket is not None:
            self.admission.ended(ticket, address, outcome, latency)

    def end_stream(self, address: Address, started: float, outcome: Outcome) -> None:
        """Tell pool and metrics that a streamed answer ended."""
        self.end(address, self.clock.now() - started, outcome)

    async def choose(self) -> Address | None:
        """Wait for a slot at a target that this request has not tried."""
        if self.ticket is None:
            self.ticket = self.admission.open(self.demand, self.tried)
        since = self.clock.now()
        address = await self.admission.wait(self.ticket)
        self.waited += self.clock.now() - since
        return address

    def turned_away(self) -> NoTarget:
        """Return why there is no target, and let go of the place in the queue."""
        rejection = self.ticket.rejection if self.ticket else None
        self.withdraw()
        if rejection is None:
            return NoTarget()
        return NoTarget(rejection.reason, rejection.retry_after_ms)

    def withdraw(self) -> None:
        """Let go of the place in the queue, if there is one."""
        if self.ticket is not None:
            self.admission.withdraw(self.ticket)
            self.ticket = None

    def outcome(self, result: AttemptResult) -> Outcome:
        """Return what the pool learns from a result."""
        match result:
            case Lost(outcome):
                return outcome
            case ResponseReceived(status):
                return Outcome.FAILED if status >= FAILED_STATUS else Outcome.SERVED
            case NoTarget():
                return Outcome.UNREACHABLE

    async def exchange(self, address: Address, command: Try) -> AttemptResult:
        """Send the request to one target and wait for its answer."""
        connection: ClientConnection | None = None
        started = self.clock.now()
        try:
            async with asyncio.timeout(command.remaining_ms / MS_PER_SECOND) as limit:
                with self.breaking_off(command, limit):
                    connection = await self.connect(address)
                    self.rested_ms = connection.rested_ms
                    if self.held and not self.held.may_send(self.clock.now()):
                        connection.close()
                        text = "the claim's lease is over"
                        return Lost(Outcome.CANCELLED, Verdict.NOT_RUN, text)
                    remaining = command.remaining_ms - (self.clock.now() - started)
                    response = await connection.exchange(self.outgoing(remaining), self.keeps)
            self.check(response, connection)
            self.put_back(address, connection, response)
        except ConnectError as error:
            return Lost(Outcome.UNREACHABLE, error.verdict, str(error))
        except BrokenResponseError as error:
            assert connection is not None
            connection.close()
            return self.broken(address, connection, error)
        except TimeoutError:
            text = f"{address}: no answer in time"
            if connection is None:
                return Lost(Outcome.UNREACHABLE, Verdict.NOT_RUN, text)
            return Lost(Outcome.TIMED_OUT, Verdict.MAY_HAVE_RUN, text)
        return await self.receive(address, response, started)

    @property
    def keeps(self) -> bool:
        """Whether connections to targets may be used again."""
        return self.admission.most_rest_ms(self.route.idempotent) > 0.0

    async def connect(self, address: Address) -> ClientConnection:
        """Return a connection that has rested, or a new one."""
        most_rest_ms = self.admission.most_rest_ms(self.route.idempotent)
        kept = self.entry.kept.take(address, most_rest_ms, self.own_id)
        if kept is not None:
            return kept
        return await self.entry.connections.take(address, verified=not self.route.idempotent)

    def put_back(self, address: Address, connection: ClientConnection, response: Response) -> None:
        """Let the connection of a whole answer rest, if the answer names the request."""
        names = self.vocabulary
        if response.rest is not None:
            return
        if self.own_id is None or response.header(names.request_id) != self.own_id:
            connection.close()
            return
        self.entry.kept.put(address, connection, response, self.own_id)

    def broken(
        self, address: Address, connection: ClientConnection, error: BrokenResponseError
    ) -> Lost:
        """Return what an answer that is not whole means; a kept connection may have been closed."""
        stale = connection.rested_ms > 0.0 and not connection.heard
        outcome = Outcome.STALE if stale else Outcome.BROKEN
        return Lost(outcome, error.verdict, f"{address}: {error}")

    @contextmanager
    def breaking_off(self, command: Try, limit: asyncio.Timeout) -> Iterator[None]:
        """Look after the attempt's own time whether it is to be broken off."""
        delay = command.timeout_ms / MS_PER_SECOND
        timer = asyncio.get_running_loop().call_later(delay, self.break_off, limit)
        try:
            yield
        finally:
            timer.cancel()

    def break_off(self, limit: asyncio.Timeout) -> None:
        """End an attempt before its time if another one may follow at another target.

        While this process stops, work under way is left to end: another attempt may fail.
        """
        if (
            limit.expired()
            or self.entry.leaving
            or not self.admission.has_room(self.demand, self.tried)
        ):
            return
        if self.attempts.reserve_retry(self.clock.now()):
            limit.reschedule(asyncio.get_running_loop().time())

    def outgoing(self, remaining_ms: float) -> Request:
        """Return the request as targets get it, with what is left of its deadline."""
        left = b"%d" % max(1, int(remaining_ms))
        headers = [*self.headers, (self.vocabulary.deadline, left)]
        if not self.keeps:
            headers.append((b"connection", b"close"))
        place = self.ticket.place if self.ticket else None
        if self.vocabulary.expected_target and place is not None:
            headers.append((self.vocabulary.expected_target, place.name.encode()))
        return Request(self.request.method, self.request.target, headers, self.request.body)

    def check(self, response: Response, connection: ClientConnection) -> None:
        """Refuse an answer that is not the target's whole answer to this request.

        Raises
        ------
        BrokenResponseError
            It belongs to another request, or something on the way has changed it.
        """
        names = self.vocabulary
        if names.request_id:
            echoed = response.header(names.request_id)
            unnamed = echoed is None and connection.rested_ms == 0.0
            if not unnamed and echoed != self.own_id:
                raise BrokenResponseError("the answer belongs to another request")
        if names.signature and response.status < FIRST_ERROR_STATUS:
            if response.header(names.signature) is None:
                raise BrokenResponseError("the answer has no signature")
            if response.header(b"content-encoding") is not None:
                raise BrokenResponseError("the answer's body was recoded")

    def refused(self, address: Address, response: Response) -> Lost | None:
        """Return what a target's word that it did not start the request means, if it says so."""
        names = self.vocabulary
        if response.rest is not None:
            return None
        if names.expected_target and response.status == MISDIRECTED_STATUS:
            return Lost(Outcome.DRAINING, Verdict.NOT_RUN, f"{address}: is another target by now")
        if response.header(names.shed) == b"1":
            return Lost(Outcome.SHED, Verdict.NOT_RUN, f"{address}: sheds load")
        if names.draining and response.status == 503 and response.header(names.draining) == b"1":
            return Lost(Outcome.DRAINING, Verdict.NOT_RUN, f"{address}: is draining")
        return None

    async def receive(self, address: Address, response: Response, started: float) -> AttemptResult:
        """Tell an answer from a target's word that it did not start."""
        if refused := self.refused(address, response):
            return refused
        if not self.route.idempotent and response.status in NOT_RUN_STATUSES:
            if response.rest is not None:
                await response.rest.aclose()
            text = f"{address}: answered {response.status} and may have run the request"
            return Lost(Outcome.FAILED, Verdict.MAY_HAVE_RUN, text)
        rest = None
        if response.rest is not None:
            ended = partial(self.end_stream, address, started)
            part_ms = self.entry.settings.http.body_ms
            deadline = self.attempts.deadline
            rest = RelayedStream(response.rest, part_ms, self.clock, deadline, ended)
        headers = [*end_to_end(response.headers), RAN_FIELD]
        self.response = Response(response.status, headers, response.body, rest, response.length)
        return ResponseReceived(response.status, rest is not None)
