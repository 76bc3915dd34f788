"""When a request counts as one that crashes targets, and when it is free again."""

import pytest

from cactusvane.request.crashes import (
    COMPLETION_MS,
    EVIDENCE_MS,
    MAX_REQUESTS,
    MAX_TARGETS,
    OWN_PATH_MS,
    REJECTION_MS,
    CrashRecord,
)

DEADLY, OTHER = b"d" * 16, b"o" * 16


def ended(targets: int, crashes: CrashRecord | None = None) -> CrashRecord:
    """Return a record of a request that has ended some targets, one each second."""
    crashes = crashes or CrashRecord()
    for number in range(targets):
        crashes.record_crash(DEADLY, f"t{number}", 1_000.0 * number)
    return crashes


@pytest.mark.parametrize(
    ("targets", "first", "retry"), [(1, False, False), (2, False, True), (3, True, True)]
)
def test_two_targets_end_the_retries_and_three_the_request(
    targets: int, first: bool, retry: bool
) -> None:
    crashes = ended(targets)
    assert crashes.rejects(DEADLY, 4_000.0, retry=False) is first
    assert crashes.rejects(DEADLY, 4_000.0, retry=True) is retry
    assert not crashes.rejects(OTHER, 4_000.0, retry=True)


def test_one_target_that_closes_again_and_again_is_no_evidence_against_a_request() -> None:
    crashes = CrashRecord()
    for number in range(9):
        crashes.record_crash(DEADLY, "gray", 100.0 * number)
    assert not crashes.rejects(DEADLY, 1_000.0, retry=True)


def test_targets_that_close_at_one_moment_are_no_evidence_against_a_request() -> None:
    """The connections of this VM were reset, not the targets ended."""
    crashes = CrashRecord()
    for number in range(5):
        crashes.record_crash(DEADLY, f"t{number}", number * OWN_PATH_MS / 5)
    assert not crashes.rejects(DEADLY, OWN_PATH_MS, retry=False)


def test_a_request_that_completes_anywhere_is_free_at_all_entries() -> None:
    crashes, other = ended(3), ended(3)
    crashes.record_completion(DEADLY, 4_000.0)
    other.receive((crashes.report(DEADLY, 4_100.0),), 4_100.0, pass_on=False)
    for each in (crashes, other):
        each.record_crash(DEADLY, "t8", 5_000.0)
        assert not each.rejects(DEADLY, 5_100.0, retry=True)
        each.record_crash(DEADLY, "t9", 5_100.0 + COMPLETION_MS)
        assert each.rejects(DEADLY, 5_200.0 + COMPLETION_MS, retry=True)


def test_evidence_of_several_entries_adds_up_and_repeats_do_not() -> None:
    first, second = CrashRecord(), CrashRecord()
    first.record_crash(DEADLY, "t1", 0.0)
    first.record_crash(DEADLY, "t2", 500.0)
    second.record_crash(DEADLY, "t2", 510.0)
    second.record_crash(DEADLY, "t3", 900.0)
    reports = (first.report(DEADLY, 1_000.0),)
    for _ in range(3):
        second.receive(reports, 1_000.0, pass_on=True)
    assert second.count(DEADLY, 1_000.0) == 3


def test_a_rejected_request_is_forgotten_long_after_a_suspected_one() -> None:
    crashes = ended(3)
    crashes.record_crash(OTHER, "t0", 3_000.0)
    crashes.expire(3_001.0 + EVIDENCE_MS)
    assert list(crashes.suspects) == [DEADLY]
    crashes.expire(2_001.0 + REJECTION_MS)
    assert crashes.suspects == {}


def test_the_record_is_bounded() -> None:
    crashes = CrashRecord()
    for number in range(2 * MAX_REQUESTS):
        fingerprint = number.to_bytes(16, "big")
        crashes.record_crash(fingerprint, f"t{number}", 100.0 * number)
    ended(9, crashes)
    assert len(crashes.suspects) <= MAX_REQUESTS
    assert all(len(each.crashed_at) <= MAX_TARGETS for each in crashes.suspects.values())
