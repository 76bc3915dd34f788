"""Log lines of one request and its attempts."""

from typing import TYPE_CHECKING

from cactusvane import events
from cactusvane.events import Event
from cactusvane.outcome import Outcome
from cactusvane.request.attempt_log import AttemptLog
from cactusvane.request.attempts import AttemptFailed, AttemptResult
from cactusvane.verdict import Verdict

if TYPE_CHECKING:
    from cactusvane.dispatch import Dispatch


def log_end(
    dispatch: "Dispatch", status: int, verdict: Verdict, code: str, total_ms: float
) -> None:
    """Log what the caller was told, and what decided it."""
    events.write(
        Event.REQUEST_ENDED,
        request=dispatch.request_id,
        status=status,
        verdict=verdict.value,
        code=code,
        service=dispatch.service.name,
        kind=dispatch.route.kind,
        customer=dispatch.profile.customer,
        total_ms=round(total_ms, 1),
        waited_ms=round(dispatch.waited_ms, 1),
        time_ms=dispatch.timeout_ms,
        attempts=len(dispatch.tried),
        last=dispatch.last_attempt,
        configuration=dispatch.entry.version,
        **({} if dispatch.share is None else {"share": dispatch.share}),
    )


def log_attempt(
    dispatch: "Dispatch", attempt: AttemptLog, outcome: Outcome, result: AttemptResult | None
) -> None:
    """Log an attempt that did not end in success."""
    if isinstance(result, AttemptFailed) and result.without_response:
        events.write(
            Event.TARGET_CLOSED_EARLY,
            request=dispatch.request_id,
            target=attempt.target,
            fingerprint=dispatch.fingerprint.hex(),
            number=len(dispatch.tried),
            after_ms=attempt.latency_ms,
        )
    if outcome is not Outcome.SERVED:
        events.write(
            Event.REQUEST_ATTEMPTED,
            request=dispatch.request_id,
            target=attempt.target,
            outcome=outcome.value,
            reason=result.text if isinstance(result, AttemptFailed) else "",
            attempt=attempt,
            number=len(dispatch.tried),
            retries_left=round(dispatch.attempts.budget.remaining(dispatch.clock.now()), 2),
            configuration=dispatch.entry.version,
        )


def log_late(dispatch: "Dispatch", ends_at: float) -> None:
    """Log that a request is not sent, since the stop of this VM ends at `ends_at` (ms)."""
    now = dispatch.clock.now()
    events.write(
        Event.REQUEST_LATE,
        request=dispatch.request_id,
        left_ms=round(ends_at - now),
        deadline_ms=round(dispatch.attempts.deadline - now),
        expected_ms=dispatch.attempts.expected_latency_ms,
        idempotent=dispatch.route.idempotent,
        number=len(dispatch.tried),
    )
