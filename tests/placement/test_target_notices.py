"""What targets have said of themselves, and how long it holds."""

from dataclasses import replace

from cactusvane.http.rate_limit import NoRateLimit
from cactusvane.http.target_notice import TargetNotice
from cactusvane.placement.target_notices import MEMORY_MS, TargetNotices
from tests.placement.fixtures import make_target

TARGET = replace(make_target(1), started_ms=1_000)
AGAIN = replace(TARGET, started_ms=2_000)
LEAVING = TargetNotice(NoRateLimit(), leaving=True)
SILENT = TargetNotice(NoRateLimit())


def pause(ms: float) -> TargetNotice:
    return TargetNotice(NoRateLimit(), pause_ms=ms)


def test_a_notice_holds_for_one_start_of_a_target() -> None:
    notices = TargetNotices("e1")
    assert notices.record(TARGET.name, TARGET.started_ms, LEAVING, 0.0)
    assert not notices.record(TARGET.name, TARGET.started_ms, LEAVING, 10.0)
    notices.record(TARGET.name, TARGET.started_ms, SILENT, 20.0)
    assert notices.is_leaving(TARGET)
    assert not notices.is_leaving(AGAIN)
    notices.record(TARGET.name, TARGET.started_ms, pause(500.0), 20.0)
    assert notices.next_send_at(TARGET) == 520.0
    assert notices.next_send_at(AGAIN) < 0.0


def test_the_pause_that_ends_last_holds() -> None:
    notices = TargetNotices("e1")
    notices.record(TARGET.name, 1_000, pause(3_000.0), 0.0)
    notices.record(TARGET.name, 1_000, pause(100.0), 1_000.0)
    assert notices.next_send_at(TARGET) == 3_000.0
    notices.record(AGAIN.name, 2_000, pause(100.0), 1_500.0)
    assert notices.next_send_at(AGAIN) == 1_600.0


def test_other_entries_are_told_of_a_leaving_target_but_not_of_a_pause() -> None:
    first, second, third = TargetNotices("e1"), TargetNotices("e2"), TargetNotices("e3")
    first.record(TARGET.name, 1_000, LEAVING, 0.0)
    first.record(TARGET.name, 1_000, pause(900.0), 0.0)
    reports = first.reports(False, 10.0)
    assert reports is not None
    assert first.reports(False, 20.0) is None
    assert first.reports(True, 20.0) is not None
    second.receive(reports, "e1", 10.0)
    assert second.is_leaving(TARGET)
    assert second.next_send_at(TARGET) < 0.0
    assert second.reports(True, 20.0) is None
    third.receive(first.reports(True, 30.0) or {}, "e1", 30.0)
    assert third.is_leaving(TARGET)


def test_a_listed_target_is_remembered_as_leaving_for_as_long_as_it_is_listed() -> None:
    notices = TargetNotices("e1")
    notices.record(TARGET.name, 1_000, LEAVING, 0.0)
    notices.expire({TARGET.name}, 2.0 * MEMORY_MS)
    assert notices.is_leaving(TARGET)
    notices.expire((), 2.0 * MEMORY_MS)
    assert not notices.is_leaving(TARGET)
