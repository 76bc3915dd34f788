"""Dispatch of one request: choice of a target, HTTP exchange, and retries where they are safe."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from functools import cached_property, partial
from typing import TYPE_CHECKING, Protocol

from cactusvane.clock import MS_PER_SECOND
from cactusvane.configuration.routes import Match
from cactusvane.customers.identity import Identity, NoCustomers, customer_of, replace_fields
from cactusvane.dispatch_log import log_attempt, log_end, log_late
from cactusvane.errors import BrokenResponseError, ConnectError, RequestError
from cactusvane.fleet.vm import Address
from cactusvane.http.check import bad_request
from cactusvane.http.client import ClientConnection
from cactusvane.http.exchange import Caller
from cactusvane.http.message import Request, Response, end_to_end
from cactusvane.http.refusal import VERDICT_HEADER
from cactusvane.http.stream import ForwardedStream
from cactusvane.http.target_notice import read_notice
from cactusvane.metrics import KindRecord
from cactusvane.outcome import Outcome
from cactusvane.placement.features import features_of
from cactusvane.placement.messages import RequestProfile, ShareInputs
from cactusvane.report.objective import meets_objective, objective_of
from cactusvane.request.admission import Ticket
from cactusvane.request.attempt_log import AttemptLog
from cactusvane.request.attempts import (
    AttemptFailed,
    AttemptResult,
    Attempts,
    NoTarget,
    RejectRequest,
    ResponseReceived,
    ReturnResponse,
    SendAttempt,
)
from cactusvane.request.fingerprint import fingerprint
from cactusvane.request.responses import (
    FIRST_ERROR_STATUS,
    MISDIRECTED_STATUS,
    check_response,
    declined,
)
from cactusvane.verdict import Verdict

if TYPE_CHECKING:
    from cactusvane.entry import Entry

FAILED_STATUS = 500
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses by which callers may conclude that a request has not run."""

STOPPING_RETRY_AFTER_MS = 0.0
"""Delay after which a caller may repeat a request that came too late in a stop: other VMs serve."""

RAN_HEADER = (VERDICT_HEADER, Verdict.RAN.value.encode())


def deadline_ms(request: Request, match: Match, header: bytes) -> float:
    """Return the time until the deadline of a request, in milliseconds.

    The caller may shorten the route's deadline by the header field `header`.

    Raises
    ------
    RequestError
        The field's value is not a whole number.
    """
    text = request.header(header)
    if text is None:
        return match.route.deadline_ms
    if not text.isdigit() or len(text) > 9:
        raise bad_request("bad-deadline", f"{header.decode()} is not a whole number")
    return min(match.route.deadline_ms, int(text))


def expire(timeout: asyncio.Timeout) -> None:
    """Let a timeout that is being waited on expire now."""
    if not timeout.expired():
        timeout.reschedule(asyncio.get_running_loop().time())


class Lease(Protocol):
    """Time-limited permission to send a request."""

    def may_send(self, now: float) -> bool:
        """Return whether the request may be sent.

        Parameters
        ----------
        now
            Current time in milliseconds (monotonic clock of the process).
        """


class Dispatch:
    """One request and its attempts at targets.

    Parameters
    ----------
    entry
        The entry that received the request.
    match
        Service and route of the request.
    request
        The request as the caller sent it.
    caller
        The caller's connection; no attempt starts after the caller has disconnected.
    identity
        Whom the request is of.
    """

    def __init__(
        self,
        entry: "Entry",
        match: Match,
        request: Request,
        caller: Caller,
        identity: Identity = NoCustomers(),  # noqa: B008
    ) -> None:
        self.entry = entry
        self.caller = caller
        self.header_names = entry.header_names
        self.clock = entry.clock
        self.route = match.route
        self.service = match.service
        self.admission = entry.placer.admissions[match.service.name]
        self.request = request
        set_by_entries = self.header_names.set_by_entries
        forwarded = [
            field for field in end_to_end(request.headers) if field[0] not in set_by_entries
        ]
        self.headers = replace_fields(forwarded, identity, self.header_names)
        customer = customer_of(identity)
        self.started_at = self.clock.now()
        self.time_at_targets_ms = 0.0
        self.waited_ms = 0.0
        self.record: KindRecord = entry.recorder.kind(match.service.name, match.route.kind)
        self.timeout_ms = deadline_ms(request, match, self.header_names.deadline)
        budget = entry.budgets[match.service.name]
        retries = entry.settings.retries
        expected_latency_ms = self.admission.expected_latency_ms(
            match.route.kind, match.route.latency_ms
        )
        self.attempts = Attempts(
            match.route, self.timeout_ms, budget, self.started_at, retries, expected_latency_ms
        )
        self.profile = RequestProfile(
            match.route.kind,
            match.route.priority,
            match.route.idempotent,
            self.started_at,
            self.attempts.deadline,
            match.route.latency_ms,
            customer.name if customer else "",
            customer.priority if customer else 0,
            features=features_of(request.method, request.path, match.route.path, len(request.body)),
        )
        self.lease: Lease | None = None
        self.tried: frozenset[Address] = frozenset()
        self.raw_request_id = request.header(self.header_names.request_id)
        self.request_id = (self.raw_request_id or b"").decode("latin-1")
        self.idle_ms: float | None = None
        self.last_attempt: AttemptLog | None = None
        self.response: Response | None = None
        self.ticket: Ticket | None = None
        self.waiting: asyncio.Timeout | None = None
        self.sending: asyncio.Timeout | None = None
        self.was_cut_off = False
        self.share: ShareInputs | None = None

    async def run(self) -> Response:
        """Send the request, with retries, and return the response for the caller.

        Raises
        ------
        RequestError
            No response may be forwarded.
        """
        command = self.attempts.first(self.started_at)
        self.entry.dispatches.add(self)
        try:
            while isinstance(command, SendAttempt):
                result = await self.attempt(command)
                command = self.attempts.after_attempt(result, self.clock.now())
        finally:
            self.entry.dispatches.discard(self)
            if not self.streams:
                self.withdraw()
        match command:
            case ReturnResponse():
                assert self.response is not None
                self.record_end_soon(self.response.status, Verdict.RAN, "answered")
                return self.response
            case RejectRequest(status, code, text, verdict, retry_after_ms):
                self.record_end_soon(status, verdict, code)
                raise RequestError(status, code, text, verdict, retry_after_ms)

    def record_end_soon(self, status: int, verdict: Verdict, code: str) -> None:
        """Schedule the record of the request's result for after the response has been sent."""
        total_ms = self.clock.now() - self.started_at
        asyncio.get_running_loop().call_soon(self.record_end, status, verdict, code, total_ms)

    def record_end(self, status: int, verdict: Verdict, code: str, total_ms: float) -> None:
        """Add the request to the log, the metrics and the burn report."""
        log_end(self, status, verdict, code, total_ms)
        self.record.record_response(status, verdict, total_ms, total_ms - self.time_at_targets_ms)
        self.record.record_slot_wait(self.waited_ms)
        if self.profile.customer:
            self.entry.recorder.customers.record(self.profile.customer, status)
        service, kind = self.service, self.route.kind
        good = meets_objective(objective_of(service, kind), status, verdict, total_ms)
        self.entry.ledger.record(service.name, kind, good, self.clock.wall())

    async def attempt(self, command: SendAttempt) -> AttemptResult:
        """Make one attempt and report its result to admission control."""
        if self.is_late:
            return self.late_rejection()
        if self.may_crash_targets():
            return self.crash_rejection()
        address = await self.choose_target()
        if self.is_late:
            return self.late_rejection()
        if address is None:
            return self.rejection_result()
        if self.may_crash_targets():
            return self.crash_rejection()
        if self.caller.gone:
            return NoTarget("caller-gone")
        self.tried |= {address}
        self.idle_ms = None
        started = self.clock.now()
        outcome = Outcome.CANCELLED
        result: AttemptResult | None = None
        try:
            result = await self.exchange(address, command)
            outcome = self.outcome(result)
            return result
        finally:
            latency_ms = self.clock.now() - started
            self.time_at_targets_ms += latency_ms
            target = self.log_attempt(address, outcome, result, latency_ms)
            self.record_crash_evidence(result, target)
            if outcome is Outcome.SERVED and not self.streams:
                self.end_attempt_soon(address, latency_ms)
            elif not self.streams:
                stale_ms = self.idle_ms if outcome is Outcome.STALE else None
                self.end_attempt(address, latency_ms if stale_ms is None else stale_ms, outcome)

    def log_attempt(
        self, address: Address, outcome: Outcome, result: AttemptResult | None, latency_ms: float
    ) -> str:
        """Keep the attempt for the request's log line; a failed one also gets its own line.

        Returns
        -------
        str
            Name of the target.
        """
        place = self.ticket.place if self.ticket else None
        self.last_attempt = AttemptLog(
            target=place.name if place else str(address),
            address=str(address),
            outcome=outcome.value,
            latency_ms=round(latency_ms, 1),
            inputs=place.inputs if place else None,
            why=place.reason if place else None,
            rested_ms=self.idle_ms,
            room=place.room if place else None,
        )
        log_attempt(self, self.last_attempt, outcome, result)
        return self.last_attempt.target

    @cached_property
    def fingerprint(self) -> bytes:
        """Identity of the request if it comes again under another id."""
        return fingerprint(self.request)

    @property
    def streams(self) -> bool:
        """Whether the rest of the response is still to be streamed."""
        return self.response is not None and self.response.rest is not None

    def end_attempt_soon(self, address: Address, latency_ms: float) -> None:
        """Schedule the record of a complete response for after it has been sent to the caller."""
        ticket, self.ticket = self.ticket, None
        loop = asyncio.get_running_loop()
        loop.call_soon(self.record_attempt_end, ticket, address, latency_ms, Outcome.SERVED)

    def end_attempt(self, address: Address, latency_ms: float, outcome: Outcome) -> None:
        """Record the end of an attempt; a request that was shed keeps its ticket."""
        self.record_attempt_end(self.ticket, address, latency_ms, outcome)
        if outcome is not Outcome.SHED:
            self.ticket = None

    def record_attempt_end(
        self, ticket: Ticket | None, address: Address, latency_ms: float, outcome: Outcome
    ) -> None:
        """Report the end of an attempt to metrics and admission control."""
        self.record.record_attempt(outcome)
        if ticket is not None:
            self.admission.record_attempt(ticket, address, outcome, latency_ms)

    def end_stream(self, address: Address, started: float, outcome: Outcome) -> None:
        """Record the end of a streamed response."""
        self.end_attempt(address, self.clock.now() - started, outcome)

    async def choose_target(self) -> Address | None:
        """Wait for a slot at a target that this request was not sent to; None if rejected."""
        if self.ticket is None:
            self.ticket = self.admission.open(self.profile, self.tried)
        since = self.clock.now()
        address = None
        with suppress(TimeoutError):
            async with asyncio.timeout(None) as self.waiting:
                address = await self.admission.wait(self.ticket)
        self.waiting = None
        self.waited_ms += self.clock.now() - since
        return address

    @property
    def is_late(self) -> bool:
        """Whether the VM is stopping and the request would not end before the stop does."""
        schedule = self.entry.stop_schedule
        if schedule is None:
            return False
        expected = self.attempts.expected_latency_ms
        return self.was_cut_off or not schedule.has_time(self.profile, expected, self.clock.now())

    def late_rejection(self) -> NoTarget:
        """Return the result for a request that is late, and withdraw the ticket."""
        self.withdraw()
        schedule = self.entry.stop_schedule
        assert schedule is not None
        log_late(self, schedule.ends_at)
        return NoTarget("stopping", STOPPING_RETRY_AFTER_MS)

    def reject_if_late(self) -> None:
        """Stop waiting for a target if the request is late."""
        if self.waiting is not None and self.is_late:
            expire(self.waiting)

    def cut_off(self) -> None:
        """End the wait or the attempt; the response says whether the request may have run."""
        self.was_cut_off = True
        for timeout in (self.waiting, self.sending):
            if timeout is not None:
                expire(timeout)

    def may_crash_targets(self) -> bool:
        """Return whether the request has ended so many targets that it gets no other one."""
        crashes = self.entry.crashes
        if not crashes.suspects:
            return False
        return crashes.rejects(self.fingerprint, self.clock.now(), retry=bool(self.tried))

    def crash_rejection(self) -> NoTarget:
        """Return the result for a request that may crash targets, and withdraw the ticket."""
        self.withdraw()
        retry_after_ms = self.entry.crashes.record_rejection(self.fingerprint, self.clock.now())
        return NoTarget("crashes-targets", retry_after_ms)

    def record_crash_evidence(self, result: AttemptResult | None, target: str) -> None:
        """Record that a target closed without a response, or that it ran the request."""
        crashes, now = self.entry.crashes, self.clock.now()
        match result:
            case AttemptFailed(without_response=True):
                crashes.record_crash(self.fingerprint, target, now)
            case ResponseReceived() if crashes.suspects:
                crashes.record_completion(self.fingerprint, now)

    def rejection_result(self) -> NoTarget:
        """Return why there is no target, and withdraw the ticket."""
        rejection = self.ticket.rejection if self.ticket else None
        self.withdraw()
        if rejection is None:
            return NoTarget()
        self.share = rejection.share
        return NoTarget(rejection.reason, rejection.retry_after_ms)

    def withdraw(self) -> None:
        """Withdraw the ticket, if there is one."""
        if self.ticket is not None:
            self.admission.withdraw(self.ticket)
            self.ticket = None

    def outcome(self, result: AttemptResult) -> Outcome:
        """Return the outcome to record for a result."""
        match result:
            case AttemptFailed(outcome):
                return outcome
            case ResponseReceived(status):
                return Outcome.FAILED if status >= FAILED_STATUS else Outcome.SERVED
            case NoTarget():
                return Outcome.UNREACHABLE

    async def exchange(self, address: Address, command: SendAttempt) -> AttemptResult:
        """Send the request to one target and wait for the response."""
        connection: ClientConnection | None = None
        started = self.clock.now()
        try:
            async with asyncio.timeout(command.remaining_ms / MS_PER_SECOND) as self.sending:
                with self.early_timeout(command, self.sending):
                    connection = await self.connect(address)
                    self.idle_ms = connection.idle_ms
                    if self.lease and not self.lease.may_send(self.clock.now()):
                        connection.close()
                        text = "the lease of the claim has expired"
                        return AttemptFailed(Outcome.CANCELLED, Verdict.NOT_RUN, text)
                    remaining = command.remaining_ms - (self.clock.now() - started)
                    response = await connection.exchange(
                        self.outgoing_request(remaining), self.reuses_connections
                    )
            check_response(response, connection, self.header_names, self.raw_request_id)
            self.record_notice(response, started)
            self.pool_connection(address, connection, response)
        except ConnectError as error:
            return AttemptFailed(Outcome.UNREACHABLE, error.verdict, str(error))
        except BrokenResponseError as error:
            assert connection is not None
            connection.close()
            return self.broken_result(address, connection, error)
        except TimeoutError:
            return self.timeout_result(address, connection is not None)
        finally:
            self.sending = None
        return await self.handle_response(address, response, started)

    def timeout_result(self, address: Address, connected: bool) -> AttemptFailed:
        """Return the result for an attempt that ran into its timeout or was cut off."""
        verdict = Verdict.MAY_HAVE_RUN if connected else Verdict.NOT_RUN
        if self.was_cut_off:
            text = f"{address}: no response before this VM stopped"
            return AttemptFailed(Outcome.CANCELLED, verdict, text)
        outcome = Outcome.TIMED_OUT if connected else Outcome.UNREACHABLE
        return AttemptFailed(outcome, verdict, f"{address}: no response in time")

    @property
    def reuses_connections(self) -> bool:
        """Whether connections to targets may be reused for this request."""
        return self.admission.max_idle_ms(self.route.idempotent) > 0.0

    async def connect(self, address: Address) -> ClientConnection:
        """Return an idle connection, or a new one."""
        max_idle_ms = self.admission.max_idle_ms(self.route.idempotent)
        idle = self.entry.idle_connections.take(address, max_idle_ms, self.raw_request_id)
        if idle is not None:
            return idle
        return await self.entry.connections.take(address, verified=not self.route.idempotent)

    def pool_connection(
        self, address: Address, connection: ClientConnection, response: Response
    ) -> None:
        """Return the connection to the pool, if a complete response echoes the request id."""
        names = self.header_names
        if response.rest is not None:
            return
        if self.raw_request_id is None or response.header(names.request_id) != self.raw_request_id:
            connection.close()
            return
        self.entry.idle_connections.put(address, connection, response, self.raw_request_id)

    def broken_result(
        self, address: Address, connection: ClientConnection, error: BrokenResponseError
    ) -> AttemptFailed:
        """Return the result for an incomplete response.

        A pooled connection that broke before the first byte of the response counts as stale, since
        the target may have closed it while it was idle.
        """
        without_response = not connection.received_any
        stale = connection.reused and without_response
        outcome = Outcome.STALE if stale else Outcome.BROKEN
        return AttemptFailed(outcome, error.verdict, f"{address}: {error}", without_response)

    @contextmanager
    def early_timeout(self, command: SendAttempt, timeout: asyncio.Timeout) -> Iterator[None]:
        """Context manager that calls `time_out_early` after the timeout of the attempt."""
        delay = command.timeout_ms / MS_PER_SECOND
        timer = asyncio.get_running_loop().call_later(delay, self.time_out_early, timeout)
        try:
            yield
        finally:
            timer.cancel()

    def time_out_early(self, timeout: asyncio.Timeout) -> None:
        """Cancel an attempt before the request's deadline if a retry at another target may follow.

        While this process is stopping, requests in flight are not cancelled, since a retry may
        fail.
        """
        if (
            timeout.expired()
            or self.entry.stopping
            or not self.admission.has_room(self.profile, self.tried)
        ):
            return
        if self.attempts.reserve_retry(self.clock.now()):
            expire(timeout)

    def outgoing_request(self, remaining_ms: float) -> Request:
        """Return the request to send to a target, with the remaining time until its deadline."""
        remaining_text = b"%d" % max(1, int(remaining_ms))
        headers = [*self.headers, (self.header_names.deadline, remaining_text)]
        if not self.reuses_connections:
            headers.append((b"connection", b"close"))
        place = self.ticket.place if self.ticket else None
        if self.header_names.expected_target and place is not None:
            headers.append((self.header_names.expected_target, place.name.encode()))
        return Request(self.request.method, self.request.target, headers, self.request.body)

    def record_notice(self, response: Response, started: float) -> None:
        """Report what a target says of itself; a misdirected request met another target."""
        if self.ticket is None or response.status == MISDIRECTED_STATUS:
            return
        notice = read_notice(response, self.header_names)
        succeeded = response.status < FIRST_ERROR_STATUS
        self.admission.record_notice(self.ticket, notice, started, succeeded)

    async def handle_response(
        self, address: Address, response: Response, started: float
    ) -> AttemptResult:
        """Return the result for a response, and keep it if it may be forwarded to the caller."""
        if refused := declined(address, response, self.header_names):
            return refused
        if not self.route.idempotent and response.status in NOT_RUN_STATUSES:
            if response.rest is not None:
                await response.rest.aclose()
            text = f"{address}: responded {response.status} and may have run the request"
            return AttemptFailed(Outcome.FAILED, Verdict.MAY_HAVE_RUN, text)
        rest = None
        if response.rest is not None:
            ended = partial(self.end_stream, address, started)
            part_timeout_ms = self.entry.settings.http.body_ms
            deadline = self.attempts.deadline
            rest = ForwardedStream(response.rest, part_timeout_ms, self.clock, deadline, ended)
        headers = [*end_to_end(response.headers), RAN_HEADER]
        self.response = Response(response.status, headers, response.body, rest, response.length)
        return ResponseReceived(response.status, rest is not None)
