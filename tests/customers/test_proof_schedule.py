"""When an entry proves currency, and which entry it queries."""

from math import inf, nan
from random import Random

import pytest

from cactusvane.customers.freshness import FreshnessSettings, Lease, Proof
from cactusvane.customers.proof_schedule import (
    ANSWER_TIMEOUT_MS,
    LAST_RESORT_INTERVAL_MS,
    RETRY_MS,
    SILENT_MS,
    Candidate,
    ProofSchedule,
    Query,
)
from cactusvane.fleet.vm import Address
from cactusvane.following.table import TablePosition
from cactusvane.placement.messages import FreshnessAnswer

POSITION = TablePosition(1, 7)
PEERS = [Candidate(f"e{n}", Address("10.0.0.1", n + 1), 100.0 * n) for n in range(3)]
OTHERS = [Candidate("", Address("10.0.1.1", 1))]


def make_schedule(since: float | None = None, source: str = "") -> ProofSchedule:
    lease = Lease(FreshnessSettings(revoke_ms=5_000.0))
    lease.advance(POSITION)
    if since is not None:
        lease.add(Proof(POSITION, since, source))
    return ProofSchedule(lease, Random(1), 100)


def reader() -> bool:
    return True


def standby() -> bool:
    return False


def send(schedule: ProofSchedule, now: float, peers: list[Candidate] = PEERS) -> Query:
    query = schedule.next_query(peers, OTHERS, now)
    assert query is not None
    return query


def test_the_reader_proves_currency_five_times_in_the_time_of_revocation() -> None:
    """Fewer calls would leave no time for retries; each call has a price."""
    schedule = make_schedule(since=0.0)
    assert not schedule.should_call(reader, 999.0)
    assert schedule.should_call(reader, 1_000.0)
    assert not schedule.should_call(standby, 1_000.0)


def test_a_reader_with_a_proof_of_another_entry_waits_longer() -> None:
    """Entries that the store rejects all read; those with answers must not call it all the time."""
    schedule = make_schedule(since=0.0, source="e1")
    assert not schedule.should_call(reader, 1_999.0)
    assert schedule.should_call(reader, 2_000.0)


def test_a_failed_call_is_repeated_within_its_delay_and_not_at_once() -> None:
    """After an outage the lease has to return soon, without a flood of calls meanwhile."""
    schedule = make_schedule(since=0.0)
    for start in range(1_000, 4_000, 500):
        schedule.begin_call(float(start))
        assert not schedule.should_call(reader, start + 100.0)
        schedule.end_call(proved=False, now=float(start))
        assert not schedule.should_call(reader, start + 0.49 * RETRY_MS)
        assert schedule.should_call(reader, start + 1.51 * RETRY_MS)


def test_an_old_proof_is_renewed_by_any_entry_but_not_often() -> None:
    """The reader may be able to read and yet get no confirmation."""
    schedule = make_schedule(since=0.0, source="e1")
    assert not schedule.should_call(standby, 2_499.0)
    assert schedule.should_call(standby, 3_750.0)
    schedule.begin_call(3_750.0)
    schedule.end_call(proved=False, now=3_750.0)
    assert not schedule.should_call(standby, 3_750.0 + LAST_RESORT_INTERVAL_MS - 1.0)
    assert schedule.should_call(standby, 3_750.0 + LAST_RESORT_INTERVAL_MS)


def test_an_entry_that_nobody_answers_at_its_start_calls_the_store() -> None:
    """Otherwise it would never become ready where its peers have no lease either."""
    schedule = make_schedule()
    assert not schedule.should_call(standby, 0.0)
    assert schedule.should_call(standby, 3_750.0)


def test_a_reader_queries_nobody_while_the_store_confirms() -> None:
    """Its own proof is the latest there is."""
    schedule = make_schedule(since=0.0)
    assert not schedule.should_query(reader, 0.0)
    assert schedule.should_query(standby, 0.0)
    schedule.end_call(proved=False, now=0.0)
    assert schedule.should_query(reader, 0.0)


def test_the_peer_with_the_latest_proof_is_queried_and_after_silence_the_next() -> None:
    """A frozen reader must not hold up the others longer than the timeout."""
    schedule = make_schedule(since=0.0)
    assert send(schedule, 0.0).address == PEERS[0].address
    assert not schedule.should_query(standby, ANSWER_TIMEOUT_MS - 1.0)
    assert schedule.should_query(standby, ANSWER_TIMEOUT_MS)
    assert send(schedule, 150.0).address == PEERS[1].address
    assert send(schedule, 300.0).address == PEERS[2].address
    assert send(schedule, 450.0).address == OTHERS[0].address
    assert send(schedule, 600.0).address == PEERS[0].address
    schedule.lease.add(Proof(POSITION, 4_000.0))
    assert send(schedule, 700.0 + 2.0 * SILENT_MS, PEERS[1:2]).address == PEERS[1].address


def test_without_any_other_entry_nothing_is_sent() -> None:
    """A VM that is alone must not fail on an empty choice."""
    assert make_schedule().next_query((), (), 0.0) is None


def test_an_old_proof_also_asks_other_failure_domains() -> None:
    """Peers that answer may all be cut off from the store, so that their proofs only age."""
    schedule = make_schedule(since=0.0)
    asked = set()
    for step in range(4):
        query = send(schedule, 2_000.0 + 400.0 * step)
        asked.add(query.address)
        schedule.accept(FreshnessAnswer("e0", query.number, POSITION, 4_000.0))
    assert asked == {PEERS[0].address, OTHERS[0].address}


def test_without_a_lease_queries_are_not_delayed_by_the_interval() -> None:
    """An entry that resumes regains its lease within a round trip."""
    schedule = make_schedule(since=0.0)
    query = send(schedule, 4_700.0)
    schedule.accept(FreshnessAnswer("e0", query.number, POSITION, 4_700.0))
    assert not schedule.should_query(standby, 4_740.0)
    assert schedule.should_query(standby, 4_850.0)


def test_a_proof_counts_from_the_time_of_the_query_less_its_age() -> None:
    """Counted from the answer's arrival, a late answer would extend the lease."""
    schedule = make_schedule()
    first, second = send(schedule, 100.0), send(schedule, 300.0)
    proof = schedule.accept(FreshnessAnswer("e1", first.number, POSITION, 40.0))
    assert proof == Proof(POSITION, 60.0, "e1")
    proof = schedule.accept(FreshnessAnswer("e2", second.number, POSITION, 40.0))
    assert proof == Proof(POSITION, 260.0, "e2")


@pytest.mark.parametrize("age_ms", [-1.0, nan, inf, -inf])
def test_an_answer_with_an_impossible_age_is_no_proof(age_ms: float) -> None:
    """A negative age would extend the lease, and comparisons with NaN are false."""
    schedule = make_schedule()
    query = send(schedule, 100.0)
    assert schedule.accept(FreshnessAnswer("e1", query.number, POSITION, age_ms)) is None


def test_an_answer_counts_once_and_only_for_a_query_of_this_process() -> None:
    """A late answer to another process at the same address is older than it says."""
    schedule = make_schedule()
    query = send(schedule, 100.0)
    stray = FreshnessAnswer("e1", query.number + 1, POSITION, 0.0)
    answer = FreshnessAnswer("e1", query.number, POSITION, 0.0)
    assert schedule.accept(stray) is None
    assert schedule.accept(answer) is not None
    assert schedule.accept(answer) is None


def test_queries_without_an_answer_are_forgotten() -> None:
    """An entry that is cut off for hours must not collect them."""
    schedule = make_schedule()
    for step in range(1_000):
        send(schedule, 150.0 * step)
    assert len(schedule.unanswered) <= 33
