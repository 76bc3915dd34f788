"""Retry decisions for one request: when to send it, when to stop, and which verdict to report.

A non-idempotent request is retried only after a proof that it has not run. The verdict of an error
response covers all attempts: if one attempt may have run, the request may have run.

Performs no I/O; the current time is passed in.
"""

from dataclasses import dataclass

from cactusvane.configuration.model import Route
from cactusvane.outcome import Outcome
from cactusvane.request.budget import RetryLimiter, RetrySettings
from cactusvane.verdict import Verdict

RETRY_RESERVE_FACTOR = 2.0
"""Time reserved for another attempt, as a multiple of the expected latency."""

MIN_TIMEOUT_FACTOR = 3.0
"""Minimum timeout of an attempt, as a multiple of the expected latency: up to then the target is
more likely to be slow than to hang."""

RETRIED_STATUSES = frozenset({500, 502, 503, 504})
"""Response statuses after which an idempotent request is retried at another target."""


@dataclass(frozen=True, slots=True)
class ResponseReceived:
    """The target's response: complete, or its beginning if it is too large to buffer.

    Parameters
    ----------
    status
        HTTP status code.
    streams
        Whether the rest of the body is still to be streamed.
    """

    status: int
    streams: bool = False


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """The attempt produced no response that may be forwarded.

    Parameters
    ----------
    outcome
        How the attempt ended.
    verdict
        Whether the request may have run.
    text
        Error message for the caller; empty for the default.
    without_response
        Whether the target took the request and closed the connection before the first byte of a
        response; it may have crashed.
    """

    outcome: Outcome
    verdict: Verdict
    text: str = ""
    without_response: bool = False


@dataclass(frozen=True, slots=True)
class NoTarget:
    """No target accepts the request.

    Parameters
    ----------
    reason
        Error code for the caller.
    retry_after_ms
        Delay in milliseconds after which the caller may retry, or None if unknown.
    """

    reason: str = "no-target"
    retry_after_ms: float | None = None


AttemptResult = ResponseReceived | AttemptFailed | NoTarget


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send the request to a target.

    Parameters
    ----------
    timeout_ms
        Time after which the attempt may be cancelled in favour of a retry.
    remaining_ms
        Time until the deadline of the request.
    """

    timeout_ms: float
    remaining_ms: float


@dataclass(frozen=True, slots=True)
class ReturnResponse:
    """Forward the last response that was received."""


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Send an error response to the caller.

    Parameters
    ----------
    status
        HTTP status code.
    code
        Short machine-readable reason.
    text
        Error message.
    verdict
        Whether the request may have run, over all attempts.
    retry_after_ms
        Delay in milliseconds after which the caller may retry, or None if unknown.
    """

    status: int
    code: str
    text: str
    verdict: Verdict
    retry_after_ms: float | None = None


AttemptCommand = SendAttempt | ReturnResponse | RejectRequest


class Attempts:
    """Decides after each attempt what to do next.

    Parameters
    ----------
    route
        Whether the request is idempotent and how many attempts it may have.
    deadline_ms
        Time from `now` to the deadline of the request, in milliseconds.
    budget
        Retry limiter of the service.
    now
        Current time in milliseconds (monotonic clock of the process).
    settings
        Which retries do not count against the budget.
    expected_latency_ms
        Expected latency in milliseconds, or None if unknown.
    """

    def __init__(
        self,
        route: Route,
        deadline_ms: float,
        budget: RetryLimiter,
        now: float,
        settings: RetrySettings = RetrySettings(),  # noqa: B008
        expected_latency_ms: float | None = None,
    ) -> None:
        self.expected_latency_ms = expected_latency_ms
        self.route = route
        self.budget = budget
        self.settings = settings
        self.deadline = now + deadline_ms
        self.attempts_made = 0
        self.sheds = 0
        self.failed_connects = 0
        self.reserved = False
        self.has_response = False
        self.last_failure = AttemptFailed(Outcome.UNREACHABLE, Verdict.NOT_RUN)
        self.verdict = Verdict.NOT_RUN
        budget.deposit(now)

    def first(self, now: float) -> AttemptCommand:
        """Return the first command for a new request."""
        return self.send(now)

    def after_attempt(self, result: AttemptResult, now: float) -> AttemptCommand:
        """Return the next command after an attempt.

        Parameters
        ----------
        result
            How the attempt ended.
        now
            Current time in milliseconds (monotonic clock of the process).

        Returns
        -------
        AttemptCommand
            Retry, forward the response, or send an error response.
        """
        match result:
            case ResponseReceived(status, streams):
                return self.after_response(status, streams, now)
            case AttemptFailed():
                return self.after_failure(result, now)
            case NoTarget(reason, retry_after_ms):
                return self.give_up(reason, retry_after_ms)

    def after_response(self, status: int, streams: bool, now: float) -> AttemptCommand:
        """Forward the response, or retry an idempotent request after a server error."""
        self.has_response = True
        failed = status in RETRIED_STATUSES and not streams
        if failed and self.route.idempotent and self.take_retry(now):
            return self.send(now)
        return ReturnResponse()

    def after_failure(self, failure: AttemptFailed, now: float) -> AttemptCommand:
        """Retry the request if it is safe and the limits allow it."""
        self.last_failure = failure
        if failure.verdict is not Verdict.NOT_RUN:
            self.verdict = failure.verdict
        if self.take_paced_shed(failure, now) or self.take_free_connect(failure, now):
            return self.send(now)
        if failure.verdict.permits_retry(self.route.idempotent) and self.take_retry(now):
            return self.send(now)
        return self.give_up(failure.outcome.value)

    def take_paced_shed(self, failure: AttemptFailed, now: float) -> bool:
        """Return whether a proven shed lets the request wait for admission again; count it."""
        proved = failure.outcome is Outcome.SHED and failure.verdict is Verdict.NOT_RUN
        if not proved or self.sheds >= self.settings.paced_sheds or now >= self.deadline:
            return False
        self.sheds += 1
        self.attempts_made -= 1
        return True

    def take_free_connect(self, failure: AttemptFailed, now: float) -> bool:
        """Return whether a failed connect is retried without the retry budget; count it."""
        proved = failure.outcome is Outcome.UNREACHABLE and failure.verdict is Verdict.NOT_RUN
        exhausted = self.failed_connects >= self.settings.free_connects
        if not proved or exhausted or now >= self.deadline:
            return False
        self.failed_connects += 1
        self.attempts_made -= 1
        return True

    def reserve_retry(self, now: float) -> bool:
        """Reserve a retry for after the current attempt; return whether one was available."""
        self.reserved = self.reserved or self.take_retry(now)
        return self.reserved

    def take_retry(self, now: float) -> bool:
        """Take a retry if attempt limit, deadline and budget allow it; return whether they do."""
        if self.attempts_made >= self.route.attempts or now >= self.deadline:
            return False
        reserved, self.reserved = self.reserved, False
        return reserved or self.budget.withdraw(now)

    def send(self, now: float) -> AttemptCommand:
        """Return the command for one attempt, with time reserved for a retry if idempotent.

        Reserves half of the remaining time, or less if the expected latency is shorter. Most slow
        responses arrive in the end, and cancelling them loses the work done so far; so an attempt
        has a minimum timeout, even if that leaves no time for another one.
        """
        remaining_ms = self.deadline - now
        if remaining_ms <= 0:
            return self.give_up(Outcome.TIMED_OUT.value)
        self.attempts_made += 1
        last = not self.route.idempotent or self.attempts_made >= self.route.attempts
        if last:
            return SendAttempt(remaining_ms, remaining_ms)
        expected = remaining_ms if self.expected_latency_ms is None else self.expected_latency_ms
        reserved_ms = min(remaining_ms / 2, RETRY_RESERVE_FACTOR * expected)
        min_timeout_ms = (
            0.0
            if self.expected_latency_ms is None
            else MIN_TIMEOUT_FACTOR * self.expected_latency_ms
        )
        return SendAttempt(
            min(remaining_ms, max(remaining_ms - reserved_ms, min_timeout_ms)), remaining_ms
        )

    def give_up(
        self, code: str, retry_after_ms: float | None = None
    ) -> ReturnResponse | RejectRequest:
        """Return the failed response if one was received, else an error response."""
        if self.has_response:
            return ReturnResponse()
        if self.verdict is Verdict.NOT_RUN:
            status = 503
        else:
            status = 504 if self.last_failure.outcome is Outcome.TIMED_OUT else 502
        text = self.last_failure.text or "no target can accept the request"
        return RejectRequest(status, code, text, self.verdict, retry_after_ms)
