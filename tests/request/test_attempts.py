"""The rules of attempts, for all sequences of results."""

import dataclasses

from hypothesis import given, settings
from hypothesis import strategies as st

from cactusvane.configuration.model import Route
from cactusvane.outcome import Outcome
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
from cactusvane.request.budget import RetryBudget, RetrySettings
from cactusvane.verdict import Verdict

MOST_SHEDS = RetrySettings().paced_sheds
ROUTE = Route("/", ("GET",), True, "read", deadline_ms=1_000)

RESULTS: st.SearchStrategy[AttemptResult] = st.one_of(
    st.builds(ResponseReceived, st.sampled_from([200, 404, 500, 503]), st.booleans()),
    st.builds(
        Lost, st.sampled_from(Outcome), st.sampled_from([Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN])
    ),
    st.just(NoTarget()),
)


@settings(derandomize=True, deadline=None)
@given(st.booleans(), st.lists(RESULTS, min_size=12, max_size=12), st.integers(0, 400))
def test_attempts_keep_the_promises(
    idempotent: bool, results: list[AttemptResult], step_ms: int
) -> None:
    route = dataclasses.replace(ROUTE, idempotent=idempotent)
    now = 0.0
    attempts = Attempts(route, 1_000, RetryBudget(), now)
    command = attempts.first(now)
    seen: list[AttemptResult] = []
    tries = 0
    while isinstance(command, Try):
        tries += 1
        assert 0 < command.timeout_ms <= command.remaining_ms <= 1_000 - now
        result = results[len(seen)]
        seen.append(result)
        now += step_ms
        command = attempts.ended(result, now)
    sheds = [r for r in seen if r == Lost(Outcome.SHED, Verdict.NOT_RUN)]
    assert len(sheds) <= MOST_SHEDS + 1
    assert tries <= ROUTE.attempts + min(len(sheds), MOST_SHEDS)
    unsure = [r for r in seen if isinstance(r, Lost) and r.verdict is Verdict.MAY_HAVE_RUN]
    answered = [r for r in seen if isinstance(r, ResponseReceived)]
    if not idempotent:
        assert len(unsure) + len(answered) <= 1
    if isinstance(command, Refuse):
        assert not answered
        assert (command.verdict is Verdict.NOT_RUN) == (not unsure)
    else:
        assert isinstance(command, Deliver)
        assert answered


def test_retries_stay_within_the_budget() -> None:
    budget = RetryBudget(share=0.1, burst=1.0)
    tries = 0
    for _ in range(100):
        attempts = Attempts(ROUTE, 1_000, budget, 0.0)
        command = attempts.first(0.0)
        while isinstance(command, Try):
            tries += 1
            command = attempts.ended(Lost(Outcome.UNREACHABLE, Verdict.NOT_RUN), 0.0)
    assert tries <= 100 + 1 + 10


def test_sheds_are_bounded_for_each_request_and_leave_the_budget_alone() -> None:
    budget = RetryBudget(share=0.0, burst=0.0)
    attempts = Attempts(ROUTE, 1_000, budget, 0.0)
    command = attempts.first(0.0)
    tries = 0
    while isinstance(command, Try):
        tries += 1
        command = attempts.ended(Lost(Outcome.SHED, Verdict.NOT_RUN), 0.0)
    assert tries == 1 + MOST_SHEDS
    assert isinstance(command, Refuse)
    assert command.verdict is Verdict.NOT_RUN


def test_failed_connects_are_bounded_and_leave_budget_and_attempts_alone() -> None:
    budget = RetryBudget(share=0.0, burst=0.0)
    free = RetrySettings(paced_sheds=0, free_connects=4)
    attempts = Attempts(ROUTE, 1_000, budget, 0.0, free)
    command = attempts.first(0.0)
    tries = 0
    while isinstance(command, Try):
        tries += 1
        command = attempts.ended(Lost(Outcome.UNREACHABLE, Verdict.NOT_RUN), 0.0)
    assert tries == 1 + free.free_connects
    assert isinstance(command, Refuse)
    assert command.verdict is Verdict.NOT_RUN


def test_without_pacing_every_shed_attempt_takes_from_the_budget() -> None:
    budget = RetryBudget(share=0.0, burst=1.0)
    attempts = Attempts(ROUTE, 1_000, budget, 0.0, RetrySettings(paced_sheds=0))
    command = attempts.first(0.0)
    tries = 0
    while isinstance(command, Try):
        tries += 1
        command = attempts.ended(Lost(Outcome.SHED, Verdict.NOT_RUN), 0.0)
    assert tries == 2


def test_a_request_goes_to_as_many_targets_as_its_route_allows() -> None:
    route = dataclasses.replace(ROUTE, attempts=2)
    attempts = Attempts(route, 1_000, RetryBudget(), 0.0)
    command = attempts.first(0.0)
    tries = 0
    while isinstance(command, Try):
        tries += 1
        command = attempts.ended(Lost(Outcome.BROKEN, Verdict.MAY_HAVE_RUN), 0.0)
    assert tries == 2


def test_a_first_attempt_lasts_as_long_as_a_second_one_would_still_be_answered() -> None:
    """At 1.5 times the usual load one answer in ten comes after half of the deadline."""
    attempts = Attempts(ROUTE, 1_200, RetryBudget(), 0.0, usual_ms=130.0)
    first = attempts.first(0.0)
    assert first == Try(1_200 - 2 * 130.0, 1_200)


def test_an_attempt_that_is_only_a_little_late_is_not_broken_off() -> None:
    """Work of 506 ms before a timeout of 1.5 s: half of the attempts were broken off at 750 ms."""
    late = Attempts(ROUTE, 1_200, RetryBudget(), 0.0, usual_ms=300.0).first(0.0)
    assert late == Try(900.0, 1_200)
    slow = Attempts(ROUTE, 1_200, RetryBudget(), 0.0, usual_ms=900.0).first(0.0)
    assert slow == Try(1_200, 1_200)
