"""The counts of verdicts include each violated guarantee, and nothing else."""

from standins.target import LedgerLine, response_body
from tests.processes.callers import Call, Callers, Outcome, RequestKind, Response
from tests.processes.verdicts import PlannedStop, count_verdicts, find_late_work

BOOKING = RequestKind("s", "s.example", "/bookings", "POST", "booking", keyed=True)


def call(request_id, told, key="", entry="e", sent_at=1.0, ended_at=2.0):
    return Call(request_id, BOOKING, key, entry, sent_at, ended_at, told)


def start(request_id, key="", at=1.5):
    return LedgerLine("started", request_id, key, "POST", at)


def test_no_guarantee_is_violated():
    verdicts = count_verdicts(
        [call("a", Outcome.COMPLETE)], {"t": [start("a")]}, [PlannedStop("t", 9.0)]
    )
    assert verdicts.good()
    assert verdicts.whole == 1


def test_a_key_that_ran_twice():
    ledgers = {"t": [start("a", "k")], "u": [start("b", "k")]}
    assert count_verdicts([], ledgers, []).doubled == 1


def test_told_not_run_although_it_ran():
    assert count_verdicts([call("a", Outcome.NOT_RUN)], {"t": [start("a")]}, []).false_not_run == 1
    retries = [call("b", Outcome.NOT_RUN, "k")]
    assert count_verdicts(retries, {"t": [start("a", "k")]}, []).false_not_run == 1
    assert count_verdicts(retries, {"t": [start("a", "k", at=3.0)]}, []).false_not_run == 0


def test_cut_by_a_planned_stop():
    ledgers = {"t": [start("a")]}
    calls = [call("a", Outcome.MAY_HAVE_RUN)]
    assert count_verdicts(calls, ledgers, [PlannedStop("t", 1.7)]).cut_by_planned_stop == 1
    calls[0].broken = True
    assert count_verdicts(calls, {}, [PlannedStop("e", 1.7)]).cut_by_planned_stop == 1
    assert count_verdicts(calls, {}, [PlannedStop("other", 1.7)]).cut_by_planned_stop == 0


def test_work_after_the_notice():
    lines = [LedgerLine("received", "a", "", "GET", at) for at in (1.0, 3.0, 5.0)]
    assert [line.at for line in find_late_work({"t": lines}, [PlannedStop("t", 1.0)], 3.0)] == [5.0]


def test_callers_distinguish_foreign_from_broken_responses():
    callers = Callers(dict, seed=1)
    own, other = response_body("a"), response_body("b")
    ran = {"cactusvane-verdict": "ran"}
    for response, told in (
        (Response(200, ran, own, True), Outcome.COMPLETE),
        (Response(200, ran, other, True), Outcome.FOREIGN),
        (Response(200, ran, own[:-1], True), Outcome.FOREIGN),
        (Response(200, ran, own[:-1], False), Outcome.MAY_HAVE_RUN),
        (Response(200, ran, own[:9] + other[9:12], False), Outcome.FOREIGN),
        (Response(503, {"cactusvane-verdict": "not-run"}, b"full", True), Outcome.NOT_RUN),
    ):
        line = call("a", Outcome.ABANDONED)
        callers.record_response(line, response)
        assert line.told is told
