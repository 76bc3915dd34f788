"""The attempts of one request: when to send it, when to stop, and what its caller may be told.

A non-idempotent request is sent again only after a proof that it has not run. The verdict of a
refusal covers all attempts: one attempt that may have run makes the request one that may have run.
"""

from dataclasses import dataclass

from cactusvane.configuration.model import Route
from cactusvane.outcome import Outcome
from cactusvane.request.budget import Retries, RetrySettings
from cactusvane.verdict import Verdict

SECOND_ATTEMPT = 2.0
"""Time that is left for another attempt, as a multiple of what an answer usually takes."""

LATE = 3.0
"""An attempt is not broken off sooner, as a multiple of what an answer usually takes: until then
it is likelier to be slow than to hang."""

RETRIED_STATUSES = frozenset({500, 502, 503, 504})
"""Statuses after which an idempotent request is tried elsewhere."""


@dataclass(frozen=True, slots=True)
class ResponseReceived:
    """The target's whole answer, or its beginning where it is too large to hold."""

    status: int
    streams: bool = False


@dataclass(frozen=True, slots=True)
class Lost:
    """The attempt brought no answer that may be passed on."""

    outcome: Outcome
    verdict: Verdict
    text: str = ""


@dataclass(frozen=True, slots=True)
class NoTarget:
    """No target may take the request; `retry_after_ms` is when the caller may come back."""

    reason: str = "no-target"
    retry_after_ms: float | None = None


AttemptResult = ResponseReceived | Lost | NoTarget


@dataclass(frozen=True, slots=True)
class Try:
    """Send the request to a target; give up after `timeout_ms`, of `remaining_ms` in all."""

    timeout_ms: float
    remaining_ms: float


@dataclass(frozen=True, slots=True)
class Deliver:
    """Pass on the last answer that was received."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """Tell the caller that no answer will come."""

    status: int
    code: str
    text: str
    verdict: Verdict
    retry_after_ms: float | None = None


AttemptCommand = Try | Deliver | Refuse


class Attempts:
    """Decides after each attempt what comes next.

    Parameters
    ----------
    route
        Says whether the request is idempotent, and its deadline.
    deadline_ms
        Time the request has from `now` on.
    budget
        Retries that the service may still make.
    now
        Milliseconds of the process's clock.
    settings
        What is sent again without the budget.
    usual_ms
        What an answer usually takes; None where that is not known.
    """

    def __init__(
        self,
        route: Route,
        deadline_ms: float,
        budget: Retries,
        now: float,
        settings: RetrySettings = RetrySettings(),  # noqa: B008
        usual_ms: float | None = None,
    ) -> None:
        self.usual_ms = usual_ms
        self.route = route
        self.budget = budget
        self.settings = settings
        self.deadline = now + deadline_ms
        self.made = 0
        self.sheds = 0
        self.failed_connects = 0
        self.reserved = False
        self.has_response = False
        self.last = Lost(Outcome.UNREACHABLE, Verdict.NOT_RUN)
        self.verdict = Verdict.NOT_RUN
        budget.deposit(now)

    def first(self, now: float) -> AttemptCommand:
        """Return what to do with a new request."""
        return self.send(now)

    def ended(self, result: AttemptResult, now: float) -> AttemptCommand:
        """Return what to do after an attempt.

        Parameters
        ----------
        result
            How the attempt ended.
        now
            Milliseconds of the process's clock.

        Returns
        -------
        AttemptCommand
            Send again, pass on the answer, or refuse.
        """
        match result:
            case ResponseReceived(status, streams):
                return self.after_response(status, streams, now)
            case Lost():
                return self.after_loss(result, now)
            case NoTarget(reason, retry_after_ms):
                return self.give_up(reason, retry_after_ms)

    def after_response(self, status: int, streams: bool, now: float) -> AttemptCommand:
        """Pass the answer on, or try an idempotent request elsewhere after a failure."""
        self.has_response = True
        failed = status in RETRIED_STATUSES and not streams
        if failed and self.route.idempotent and self.may_retry(now):
            return self.send(now)
        return Deliver()

    def after_loss(self, loss: Lost, now: float) -> AttemptCommand:
        """Send the request again if that is harmless and affordable."""
        self.last = loss
        if loss.verdict is not Verdict.NOT_RUN:
            self.verdict = loss.verdict
        if self.is_paced_shed(loss, now) or self.is_free_connect(loss, now):
            return self.send(now)
        if loss.verdict.permits_retry(self.route.idempotent) and self.may_retry(now):
            return self.send(now)
        return self.give_up(loss.outcome.value)

    def is_paced_shed(self, loss: Lost, now: float) -> bool:
        """Say whether a proved shed lets the request wait at the gate again, and count it."""
        proved = loss.outcome is Outcome.SHED and loss.verdict is Verdict.NOT_RUN
        if not proved or self.sheds >= self.settings.paced_sheds or now >= self.deadline:
            return False
        self.sheds += 1
        self.made -= 1
        return True

    def is_free_connect(self, loss: Lost, now: float) -> bool:
        """Say whether a connection that failed counts for nothing, and count it."""
        proved = loss.outcome is Outcome.UNREACHABLE and loss.verdict is Verdict.NOT_RUN
        spent = self.failed_connects >= self.settings.free_connects
        if not proved or spent or now >= self.deadline:
            return False
        self.failed_connects += 1
        self.made -= 1
        return True

    def reserve_retry(self, now: float) -> bool:
        """Take a retry for after the present attempt and say whether there was one."""
        self.reserved = self.reserved or self.may_retry(now)
        return self.reserved

    def may_retry(self, now: float) -> bool:
        """Say whether attempts, time and budget allow another attempt, and take it."""
        if self.made >= self.route.attempts or now >= self.deadline:
            return False
        reserved, self.reserved = self.reserved, False
        return reserved or self.budget.withdraw(now)

    def send(self, now: float) -> AttemptCommand:
        """Return the command for one attempt; an idempotent one leaves time for another.

        Half of the time is left, or less where answers usually come sooner: most of those that
        are late come in the end, and breaking them off loses the work. So an attempt is not broken
        off while it is only a little late; where that takes all of the time, it is the last one.
        """
        remaining = self.deadline - now
        if remaining <= 0:
            return self.give_up(Outcome.TIMED_OUT.value)
        self.made += 1
        last = not self.route.idempotent or self.made >= self.route.attempts
        if last:
            return Try(remaining, remaining)
        usual = remaining if self.usual_ms is None else self.usual_ms
        left = min(remaining / 2, SECOND_ATTEMPT * usual)
        patience = 0.0 if self.usual_ms is None else LATE * self.usual_ms
        return Try(min(remaining, max(remaining - left, patience)), remaining)

    def give_up(self, code: str, retry_after_ms: float | None = None) -> Deliver | Refuse:
        """Return the failed answer that was received, if any, or else a refusal."""
        if self.has_response:
            return Deliver()
        if self.verdict is Verdict.NOT_RUN:
            status = 503
        else:
            status = 504 if self.last.outcome is Outcome.TIMED_OUT else 502
        text = self.last.text or "no target can take the request"
        return Refuse(status, code, text, self.verdict, retry_after_ms)
