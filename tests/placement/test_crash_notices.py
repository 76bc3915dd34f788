"""When other groups are told of a request that may crash targets."""

from cactusvane.placement.crash_notices import REMINDER_MS, REPEAT_MS, REPEATS, CrashNotices
from cactusvane.request.crashes import CrashRecord

DEADLY = b"d" * 16


def crash(crashes: CrashRecord, targets: int) -> None:
    for number in range(targets):
        crashes.record_crash(DEADLY, f"t{number}", 1_000.0 * number)


def test_one_target_is_no_news_and_each_further_one_is_told_several_times() -> None:
    crashes = CrashRecord()
    notices = CrashNotices(crashes)
    crash(crashes, 1)
    assert notices.due(0.0) == []
    crash(crashes, 2)
    times = [1_000.0 + number * REPEAT_MS / 2 for number in range(20)]
    assert sum(notices.due(now) == [DEADLY] for now in times) == REPEATS


def test_an_entry_that_only_heard_of_a_request_tells_nobody() -> None:
    crashes, heard = CrashRecord(), CrashRecord()
    crash(crashes, 3)
    report = crashes.report(DEADLY, 3_000.0)
    assert report is not None
    heard.receive((report,), 3_000.0, pass_on=True)
    assert CrashNotices(heard).due(3_000.0) == []


def test_a_request_that_comes_back_is_told_again() -> None:
    crashes = CrashRecord()
    notices = CrashNotices(crashes)
    crash(crashes, 3)
    now = 3_000.0
    for _ in range(REPEATS):
        assert notices.due(now) == [DEADLY]
        now += REPEAT_MS
    now += REMINDER_MS
    assert notices.due(now) == []
    crashes.record_rejection(DEADLY, now)
    assert notices.due(now) == [DEADLY]
    assert notices.due(now + REPEAT_MS) == []
