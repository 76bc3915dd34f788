"""Tests of the retry decisions for arbitrary sequences of attempt results."""

import dataclasses

from hypothesis import given, settings
from hypothesis import strategies as st

from cactusvane.configuration.model import Route
from cactusvane.outcome import Outcome
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
from cactusvane.request.budget import RetryBudget, RetrySettings
from cactusvane.verdict import Verdict

MAX_PACED_SHEDS = RetrySettings().paced_sheds
ROUTE = Route("/", ("GET",), True, "read", deadline_ms=1_000)

RESULTS: st.SearchStrategy[AttemptResult] = st.one_of(
    st.builds(ResponseReceived, st.sampled_from([200, 404, 500, 503]), st.booleans()),
    st.builds(
        AttemptFailed,
        st.sampled_from(Outcome),
        st.sampled_from([Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN]),
    ),
    st.just(NoTarget()),
)


@settings(derandomize=True, deadline=None)
@given(st.booleans(), st.lists(RESULTS, min_size=12, max_size=12), st.integers(0, 400))
def test_retry_limits_and_verdicts_hold_for_any_results(
    idempotent: bool, results: list[AttemptResult], step_ms: int
) -> None:
    route = dataclasses.replace(ROUTE, idempotent=idempotent)
    now = 0.0
    attempts = Attempts(route, 1_000, RetryBudget(), now)
    command = attempts.first(now)
    results_used: list[AttemptResult] = []
    attempts_sent = 0
    while isinstance(command, SendAttempt):
        attempts_sent += 1
        assert 0 < command.timeout_ms <= command.remaining_ms <= 1_000 - now
        result = results[len(results_used)]
        results_used.append(result)
        now += step_ms
        command = attempts.after_attempt(result, now)
    sheds = [r for r in results_used if r == AttemptFailed(Outcome.SHED, Verdict.NOT_RUN)]
    assert len(sheds) <= MAX_PACED_SHEDS + 1
    assert attempts_sent <= ROUTE.attempts + min(len(sheds), MAX_PACED_SHEDS)
    may_have_run = [
        r
        for r in results_used
        if isinstance(r, AttemptFailed) and r.verdict is Verdict.MAY_HAVE_RUN
    ]
    responses = [r for r in results_used if isinstance(r, ResponseReceived)]
    if not idempotent:
        assert len(may_have_run) + len(responses) <= 1
    if isinstance(command, RejectRequest):
        assert not responses
        assert (command.verdict is Verdict.NOT_RUN) == (not may_have_run)
    else:
        assert isinstance(command, ReturnResponse)
        assert responses


def test_retries_stay_within_the_budget() -> None:
    budget = RetryBudget(share=0.1, burst=1.0)
    attempts_sent = 0
    for _ in range(100):
        attempts = Attempts(ROUTE, 1_000, budget, 0.0)
        command = attempts.first(0.0)
        while isinstance(command, SendAttempt):
            attempts_sent += 1
            command = attempts.after_attempt(
                AttemptFailed(Outcome.UNREACHABLE, Verdict.NOT_RUN), 0.0
            )
    assert attempts_sent <= 100 + 1 + 10


def test_sheds_are_limited_per_request_and_take_nothing_from_the_budget() -> None:
    budget = RetryBudget(share=0.0, burst=0.0)
    attempts = Attempts(ROUTE, 1_000, budget, 0.0)
    command = attempts.first(0.0)
    attempts_sent = 0
    while isinstance(command, SendAttempt):
        attempts_sent += 1
        command = attempts.after_attempt(AttemptFailed(Outcome.SHED, Verdict.NOT_RUN), 0.0)
    assert attempts_sent == 1 + MAX_PACED_SHEDS
    assert isinstance(command, RejectRequest)
    assert command.verdict is Verdict.NOT_RUN


def test_free_connects_are_limited_and_count_neither_as_attempts_nor_retries() -> None:
    budget = RetryBudget(share=0.0, burst=0.0)
    free = RetrySettings(paced_sheds=0, free_connects=4)
    attempts = Attempts(ROUTE, 1_000, budget, 0.0, free)
    command = attempts.first(0.0)
    attempts_sent = 0
    while isinstance(command, SendAttempt):
        attempts_sent += 1
        command = attempts.after_attempt(AttemptFailed(Outcome.UNREACHABLE, Verdict.NOT_RUN), 0.0)
    assert attempts_sent == 1 + free.free_connects
    assert isinstance(command, RejectRequest)
    assert command.verdict is Verdict.NOT_RUN


def test_without_pacing_every_shed_attempt_takes_from_the_budget() -> None:
    budget = RetryBudget(share=0.0, burst=1.0)
    attempts = Attempts(ROUTE, 1_000, budget, 0.0, RetrySettings(paced_sheds=0))
    command = attempts.first(0.0)
    attempts_sent = 0
    while isinstance(command, SendAttempt):
        attempts_sent += 1
        command = attempts.after_attempt(AttemptFailed(Outcome.SHED, Verdict.NOT_RUN), 0.0)
    assert attempts_sent == 2


def test_attempts_are_limited_by_the_route() -> None:
    route = dataclasses.replace(ROUTE, attempts=2)
    attempts = Attempts(route, 1_000, RetryBudget(), 0.0)
    command = attempts.first(0.0)
    attempts_sent = 0
    while isinstance(command, SendAttempt):
        attempts_sent += 1
        command = attempts.after_attempt(AttemptFailed(Outcome.BROKEN, Verdict.MAY_HAVE_RUN), 0.0)
    assert attempts_sent == 2


def test_first_attempt_leaves_twice_the_expected_latency_for_a_retry() -> None:
    """At 1.5 times the expected load, one response in ten takes over half of the deadline."""
    attempts = Attempts(ROUTE, 1_200, RetryBudget(), 0.0, expected_latency_ms=130.0)
    first = attempts.first(0.0)
    assert first == SendAttempt(1_200 - 2 * 130.0, 1_200)


def test_a_slightly_slow_attempt_is_not_cancelled() -> None:
    """With requests of 506 ms and a timeout of 1.5 s, half of the attempts ended at 750 ms."""
    late = Attempts(ROUTE, 1_200, RetryBudget(), 0.0, expected_latency_ms=300.0).first(0.0)
    assert late == SendAttempt(900.0, 1_200)
    slow = Attempts(ROUTE, 1_200, RetryBudget(), 0.0, expected_latency_ms=900.0).first(0.0)
    assert slow == SendAttempt(1_200, 1_200)
