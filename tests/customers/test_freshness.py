"""The lease and the gate in front of requests."""

from itertools import permutations

import pytest

from cactusvane.clock import ManualClock
from cactusvane.customers.freshness import MAX_PENDING, FreshnessSettings, Lease, Proof
from cactusvane.customers.freshness_gate import FreshnessGate
from cactusvane.errors import RequestError
from cactusvane.following.table import TablePosition
from cactusvane.verdict import Verdict

SETTINGS = FreshnessSettings(revoke_ms=5_000.0)
FIRST, SECOND, RESTORED = TablePosition(1, 7), TablePosition(1, 9), TablePosition(2, 4)


def make_lease(position: TablePosition | None = FIRST, since: float = 0.0) -> Lease:
    lease = Lease(SETTINGS)
    if position is not None:
        lease.advance(position)
    lease.add(Proof(FIRST, since))
    return lease


def test_the_lease_ends_before_the_time_of_revocation() -> None:
    """A lease of the whole time would leave no margin for clocks of different rates."""
    lease = make_lease()
    assert lease.holds(4_749.0)
    assert not lease.holds(4_750.0)


def test_a_proof_of_a_row_that_the_copy_lacks_waits_for_it() -> None:
    """The active configuration may have a key that this row has removed."""
    lease = make_lease()
    lease.add(Proof(SECOND, 3_000.0))
    assert lease.age_ms(4_000.0) == 4_000.0
    lease.advance(SECOND)
    assert lease.age_ms(4_000.0) == 1_000.0


def test_an_entry_without_a_usable_row_has_no_lease() -> None:
    """A proof of a row that could not be decoded says nothing of the older active one."""
    lease = make_lease(position=None)
    assert not lease.holds(0.0)


def test_a_proof_of_an_earlier_row_applies_to_a_later_one() -> None:
    """An entry that is ahead of the one that it queries must not lose its lease."""
    lease = make_lease(SECOND)
    assert lease.holds(0.0)
    lease.advance(RESTORED)
    lease.add(Proof(SECOND, 100.0))
    assert lease.age_ms(100.0) == 0.0


def test_versions_of_an_earlier_era_do_not_reach_a_later_one() -> None:
    """Versions are given out again after a restore, so version 7 of era 2 is another row."""
    lease = make_lease(SECOND)
    lease.add(Proof(RESTORED, 1_000.0))
    assert lease.age_ms(1_000.0) == 1_000.0


def test_the_latest_proof_counts_in_each_order() -> None:
    """Answers arrive in any order; an older proof must neither replace nor extend a later one."""
    proofs = [Proof(FIRST, 50.0), Proof(SECOND, 40.0), Proof(SECOND, 60.0), Proof(RESTORED, 70.0)]
    for order in permutations(proofs):
        lease = Lease(SETTINGS)
        for proof in order:
            lease.add(proof)
        for position, since in ((FIRST, 50.0), (SECOND, 60.0), (RESTORED, 70.0)):
            lease.advance(position)
            assert lease.age_ms(100.0) == 100.0 - since


def test_proofs_that_wait_are_bounded() -> None:
    """A peer that is far ahead must not fill the memory of an entry that is cut off."""
    lease = make_lease()
    for number in range(100):
        lease.add(Proof(TablePosition(1, 10 + number), float(number)))
    assert len(lease.pending) == MAX_PENDING
    lease.advance(TablePosition(1, 200))
    assert lease.age_ms(99.0) == 0.0


def make_gate() -> tuple[FreshnessGate, ManualClock]:
    clock = ManualClock()
    gate = FreshnessGate(make_lease(), clock)
    gate.active = True
    return gate, clock


def test_a_request_without_a_lease_gets_a_503_that_says_it_has_not_run() -> None:
    """A 401 or a late error would be wrong: the key may be valid, and the caller may retry."""
    gate, clock = make_gate()
    missing: list[float] = []
    gate.on_missing = lambda: missing.append(clock.boot())
    gate.check_current()
    clock.advance(4_750.0)
    with pytest.raises(RequestError) as caught:
        gate.check_current()
    error = caught.value
    assert (error.status, error.code) == (503, "configuration-not-current")
    assert (error.verdict, error.retry_after_ms) == (Verdict.NOT_RUN, 500.0)
    assert missing == [4_750.0]


def test_the_clock_that_counts_suspensions_is_read_for_each_request() -> None:
    """After a pause a time from before it, or a clock that stood still, would extend the lease."""

    class SuspendedClock(ManualClock):
        suspended_ms = 0.0

        def boot(self) -> float:
            return self.now_ms + self.suspended_ms

    clock = SuspendedClock()
    gate = FreshnessGate(make_lease(), clock)
    gate.active = True
    gate.check_current()
    clock.suspended_ms = 60_000.0
    with pytest.raises(RequestError):
        gate.check_current()


def test_unknown_keys_are_rejected_only_with_a_recent_proof() -> None:
    """A key that was added 2.5 s ago must be accepted, so an older proof does not justify a 401."""
    gate, clock = make_gate()
    clock.advance(1_999.0)
    assert gate.may_reject_key
    clock.advance(1.0)
    assert not gate.may_reject_key
    gate.check_current()


def test_without_customers_all_requests_pass() -> None:
    """Configurations without keys need no lease."""
    gate, clock = make_gate()
    gate.active = False
    clock.advance(10_000.0)
    gate.check_current()
    assert gate.may_reject_key
