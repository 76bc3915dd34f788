"""Each property of placement, tested with the load that needs it."""

from collections import Counter
from dataclasses import replace

from msgspec import structs

from cactusvane.fleet.vm import VmState
from cactusvane.outcome import Outcome
from cactusvane.placement.messages import Observation, Place, Reject, RequestProfile, Wait
from cactusvane.placement.placement import Placement
from tests.placement.fixtures import (
    REMOTE,
    failed,
    make_placement,
    make_profile,
    make_target,
    served,
)


def place(placement: Placement, profile: RequestProfile, now: float = 0.0) -> str:
    decision = placement.place(profile, frozenset(), now)
    assert isinstance(decision, Place), decision
    return decision.name


def chosen(
    placement: Placement, profile: RequestProfile, count: int, now: float = 0.0
) -> Counter[str]:
    names: Counter[str] = Counter()
    for _ in range(count):
        name = place(placement, profile, now)
        placement.record_start(name, now)
        names[name] += 1
    return names


def test_equal_targets_share_evenly() -> None:
    placement = make_placement(*(make_target(number) for number in range(4)))
    assert set(chosen(placement, make_profile(), 16).values()) == {4}


def test_loads_of_other_entries_count_like_own_ones() -> None:
    placement = make_placement(make_target(0), make_target(1))
    placement.targets["t0"].peer_load = 6
    assert chosen(placement, make_profile(), 4) == {"t1": 4}


def test_requests_stay_in_the_failure_domain_while_that_costs_little() -> None:
    placement = make_placement(make_target(0), make_target(1, REMOTE))
    names = chosen(placement, make_profile(), 12)
    assert names["t0"] > names["t1"]
    assert names["t1"] > 0, "a full target nearby loses to a free one in another failure domain"


def test_a_failed_target_gets_no_non_idempotent_requests_for_some_time() -> None:
    placement = make_placement(make_target(0), make_target(1))
    placement.record_start("t0", 0.0)
    placement.record_end(failed("t0"), 0.0)
    profile = make_profile(idempotent=False)
    assert chosen(placement, profile, 6) == {"t1": 6}


def test_a_target_with_one_failure_among_many_successes_keeps_its_requests() -> None:
    placement = make_placement(make_target(0), make_target(1))
    for target in ("t0", "t1"):
        for _ in range(12):
            placement.record_observation(served(target), 0.0)
    placement.record_observation(failed("t0"), 0.0)
    assert chosen(placement, make_profile(), 12)["t0"] >= 3


def test_a_target_with_a_gray_failure_is_used_again_after_some_seconds() -> None:
    placement = make_placement(make_target(0), make_target(1))
    placement.record_observation(failed("t0"), 0.0)
    later = 15_000.0
    assert chosen(placement, make_profile(now=later), 8, later)["t0"] >= 2


def test_the_target_with_the_fewest_failures_is_chosen_if_all_fail() -> None:
    placement = make_placement(make_target(0), make_target(1))
    for _ in range(3):
        placement.record_observation(failed("t0"), 0.0)
    placement.record_observation(failed("t1"), 0.0)
    assert place(placement, make_profile()) == "t1"


def test_the_backoff_of_an_unreachable_target_grows() -> None:
    placement = make_placement(make_target(0))
    target = placement.targets["t0"]
    pauses = []
    now = 0.0
    for _ in range(6):
        placement.record_end(failed("t0", Outcome.UNREACHABLE), now)
        pauses.append(target.unreachable_until - now)
        now = target.unreachable_until
    assert pauses == [1_000.0, 2_000.0, 4_000.0, 8_000.0, 8_000.0, 8_000.0]
    placement.record_end(served("t0"), now)
    placement.record_end(failed("t0", Outcome.UNREACHABLE), now)
    assert target.unreachable_until - now == 1_000.0


def test_a_target_unreachable_for_another_entry_stays_usable() -> None:
    placement = make_placement(make_target(0))
    placement.record_observation(failed("t0", Outcome.UNREACHABLE), 0.0)
    assert placement.targets["t0"].accepts_requests(0.0)
    assert placement.targets["t0"].evidence.failure_share(0.0) < 0.05


def test_leaving_and_misplaced_targets_get_no_requests() -> None:
    leaving = replace(make_target(0), state=VmState.LEAVING)
    placement = make_placement(leaving, make_target(1), make_target(2))
    placement.record_end(failed("t1", Outcome.DRAINING), 0.0)
    assert chosen(placement, make_profile(), 4) == {"t2": 4}


def test_an_overdue_request_counts_as_evidence_of_failure() -> None:
    placement = make_placement(make_target(0), make_target(1))
    placement.record_observation(structs.replace(served("t0"), outcome=None), 0.0)
    assert chosen(placement, make_profile(idempotent=False), 4)["t0"] <= 1


def test_a_cold_target_gets_fewer_requests() -> None:
    placement = make_placement(make_target(0, warm_up_ms=3_000.0), make_target(1))
    names = chosen(placement, make_profile(), 5)
    assert names["t0"] < names["t1"]


def test_a_target_with_an_unchanged_row_warms_up_while_the_list_changes() -> None:
    """A target with 3 s of warm-up, whose row was listed again for 12 s, stayed cold for 15 s."""
    rows = (make_target(0, warm_up_ms=3_000.0), make_target(1))
    placement = make_placement(*rows)
    for step in range(1, 25):
        placement.set_targets(rows, 500.0 * step)
    inputs = placement.inputs(placement.targets["t0"], 400.0, 3_500.0)
    assert inputs.slowness == 1.0


def test_a_slow_target_gets_fewer_requests() -> None:
    placement = make_placement(make_target(0), make_target(1))
    for _ in range(6):
        placement.record_observation(served("t0", 2_000.0), 0.0)
        placement.record_observation(served("t1", 400.0), 0.0)
    names = chosen(placement, make_profile(), 5)
    assert names["t0"] < names["t1"]


def test_a_request_that_cannot_end_in_time_is_rejected_at_once() -> None:
    placement = make_placement(make_target(0, slots=1))
    placement.record_observation(served("t0", 400.0), 0.0)
    placement.targets["t0"].peer_load = 10
    decision = placement.place(make_profile(), frozenset(), 0.0)
    assert isinstance(decision, Reject)
    assert decision.reason == "too-late"
    assert 100.0 <= decision.retry_after_ms <= 1_000.0


def test_a_kind_without_any_response_is_tried_with_any_deadline() -> None:
    """A route with a deadline of 400 ms and an objective of 1200 ms was always rejected.

    Its expected latency before any response was 480 ms.
    """
    placement = make_placement(make_target(0))
    profile = make_profile("new", time_ms=400.0, latency_ms=1_200.0)
    assert isinstance(placement.place(profile, frozenset(), 0.0), Place)


def test_a_request_is_tried_if_a_faster_response_than_expected_would_be_in_time() -> None:
    placement = make_placement(make_target(0))
    for _ in range(20):
        placement.record_observation(served("t0", 500.0), 0.0)
    assert isinstance(placement.place(make_profile(time_ms=400.0), frozenset(), 0.0), Place)
    hopeless = placement.place(make_profile(time_ms=200.0), frozenset(), 0.0)
    assert isinstance(hopeless, Reject)


def test_a_less_urgent_kind_leaves_capacity_for_the_most_urgent_one() -> None:
    placement = make_placement(make_target(0, slots=2))
    for _ in range(30):
        placement.record_observation(served("t0", 130.0, "urgent"), 0.0)
        placement.record_observation(served("t0", 800.0, "patient"), 0.0)
    urgent = make_profile("urgent", priority=1, time_ms=1_200.0, latency_ms=500.0)
    patient = make_profile("patient", priority=2, time_ms=6_000.0, latency_ms=2_500.0)
    assert isinstance(placement.place(urgent, frozenset(), 0.0), Place)
    placement.targets["t0"].peer_load = 2
    assert isinstance(placement.place(urgent, frozenset(), 0.0), Place)
    assert isinstance(placement.place(patient, frozenset(), 0.0), Wait)


def test_a_request_waits_briefly_and_is_then_rejected() -> None:
    placement = make_placement()
    profile = make_profile(latency_ms=1_000.0)
    decision = placement.place(profile, frozenset(), 0.0)
    assert decision == Wait(125.0)
    assert isinstance(placement.place(profile, frozenset(), 125.0), Reject)


def test_targets_that_were_tried_are_not_chosen_again() -> None:
    placement = make_placement(make_target(0), make_target(1))
    tried = frozenset({make_target(0).address})
    for _ in range(4):
        decision = placement.place(make_profile(), tried, 0.0)
        assert isinstance(decision, Place)
        assert decision.name == "t1"


def test_the_state_of_a_target_is_kept_with_a_new_list() -> None:
    placement = make_placement(make_target(0), make_target(1))
    placement.record_start("t0", 0.0)
    placement.record_observation(failed("t0"), 0.0)
    placement.set_targets((make_target(0), make_target(2)), 0.0)
    assert placement.targets["t0"].own_load == 1
    assert placement.targets["t0"].evidence.failure_share(0.0) > 0.3
    assert set(placement.targets) == {"t0", "t2"}


def run_seconds(
    placement: Placement, fails: frozenset[str], seconds: float, each: int = 1
) -> Counter[str]:
    """Send twenty requests per second, and count those of the last two seconds by target.

    Targets in `fails` fail one in `each` requests; all others respond.
    """
    names: Counter[str] = Counter()
    for step in range(int(seconds * 20)):
        now = step * 50.0
        name = place(placement, make_profile(idempotent=False, now=now), now)
        placement.record_start(name, now)
        bad = name in fails and step % each == 0
        observation = failed(name) if bad else served(name, 40.0)
        placement.record_end(observation, now)
        if now >= (seconds - 2.0) * 1_000.0:
            names[name] += 1
    return names


def test_no_target_is_avoided_for_long_while_the_service_is_failing() -> None:
    """Three healthy targets got nothing for 2 s while the others failed every third request.

    A target with a gray failure counts as healthy again after two seconds; so all targets that
    failed at the beginning have to be used again within four seconds.
    """
    placement = make_placement(*(make_target(number) for number in range(6)))
    for name in ("t0", "t1", "t2"):
        for _ in range(6):
            placement.record_observation(failed(name), 0.0)
    names = run_seconds(placement, frozenset({"t3", "t4", "t5"}), 4.0, each=3)
    assert {"t0", "t1", "t2"} <= set(names)


def test_a_target_that_keeps_failing_is_rarely_probed_while_its_service_is_failing() -> None:
    """Known gray targets got bookings every second and a half while others shed requests."""
    placement = make_placement(*(make_target(number) for number in range(6)))
    tries = 0
    for step in range(12 * 20):
        now = step * 50.0
        name = place(placement, make_profile(idempotent=False, now=now), now)
        tries += name == "t0"
        placement.record_start(name, now)
        shed = step % 3 == 0
        outcome = Outcome.SHED if shed else Outcome.SERVED
        observation = failed(name) if name == "t0" else Observation(name, "read", outcome, 40.0)
        placement.record_end(observation, now)
    assert tries <= 4


def test_a_fast_first_response_does_not_make_later_ones_look_slow() -> None:
    """After a restart and a first response of 4 ms, targets with 400 ms looked ten times slow."""
    placement = make_placement(make_target(0), make_target(1, REMOTE))
    placement.profiles["read"] = make_profile()
    placement.record_observation(served("t0", 4.0), 0.0)
    placement.record_observation(served("t1", 400.0), 0.0)
    assert placement.inputs(placement.targets["t1"], 400.0, 0.0).slowness < 2.0


def test_a_single_very_slow_response_has_little_weight() -> None:
    placement = make_placement(make_target(0))
    for _ in range(20):
        placement.record_observation(served("t0", 100.0), 0.0)
    placement.record_observation(served("t0", 5_000.0), 20_000.0)
    assert placement.inputs(placement.targets["t0"], 100.0, 20_000.0).slowness < 3.0


def test_the_queue_is_kept_shorter_after_many_late_responses() -> None:
    """In a long overload, a queue beyond the objective made a seventh of the responses late."""
    placement = make_placement(make_target(0, slots=1))
    profile = make_profile(time_ms=3_000.0, latency_ms=1_000.0)
    placement.place(profile, frozenset(), 0.0)
    for _ in range(20):
        placement.record_observation(served("t0", 300.0), 0.0)
    placement.targets["t0"].peer_load = 4
    assert isinstance(placement.place(profile, frozenset(), 0.0), Place)
    for _ in range(20):
        placement.latency_outcomes.add(False, 0.0)
    assert isinstance(placement.place(profile, frozenset(), 0.0), Reject)


def test_a_failing_target_is_avoided_while_the_service_is_healthy() -> None:
    placement = make_placement(*(make_target(number) for number in range(6)))
    for _ in range(6):
        placement.record_observation(failed("t0"), 0.0)
    assert run_seconds(placement, frozenset({"t0"}), 4.0)["t0"] <= 1


def test_two_consecutive_failures_outweigh_many_earlier_successes() -> None:
    """A target that turns gray must not fail ten requests first, at four requests per second."""
    placement = make_placement(make_target(0), make_target(1))
    for _ in range(20):
        for target in ("t0", "t1"):
            placement.record_observation(served(target), 0.0)
    placement.record_observation(failed("t0"), 250.0)
    placement.record_observation(failed("t0"), 500.0)
    assert chosen(placement, make_profile(idempotent=False, now=500.0), 6, 500.0) == {"t1": 6}


def test_a_check_for_capacity_does_not_count_as_a_failed_request() -> None:
    placement = make_placement()
    profile = make_profile()
    assert isinstance(placement.decide(profile, frozenset(), 1_000.0), Reject)
    assert placement.outcomes.failure_share(1_000.0) == 0.0
    assert isinstance(placement.place(profile, frozenset(), 1_000.0), Reject)
    assert placement.outcomes.failure_share(1_000.0) == 1.0


def test_a_target_that_failed_seconds_ago_is_probed_without_recent_failures() -> None:
    """Three of nine healthy targets got nothing while frozen VMs lost a third of the requests."""
    placement = make_placement(*(make_target(number) for number in range(6)))
    for _ in range(3):
        placement.record_observation(failed("t0"), 0.0)
    assert run_seconds(placement, frozenset(), 6.0)["t0"] > 0


def test_targets_started_by_a_release_are_used_within_two_seconds() -> None:
    """All VMs lost power during a release; a quarter of the two seconds before was lost.

    13 of 41 healthy targets had got nothing in that time; a cold one gets nothing in this replay.
    """
    warm = [make_target(number) for number in range(4)]
    cold = [make_target(number, warm_up_ms=3_000.0) for number in range(4, 6)]
    names = run_seconds(make_placement(*warm, *cold), frozenset(), 2.0)
    assert {"t4", "t5"} <= set(names)
