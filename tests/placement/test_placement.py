"""Each gain of placement, against the load that it answers."""

from collections import Counter
from dataclasses import replace

from msgspec import structs

from cactusvane.fleet.vm import VmState
from cactusvane.outcome import Outcome
from cactusvane.placement.messages import Observation, Place, Reject, RequestProfile, Wait
from cactusvane.placement.placement import Placement
from tests.placement.fixtures import (
    FAR,
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


def test_work_stays_in_the_failure_domain_while_it_costs_little() -> None:
    placement = make_placement(make_target(0), make_target(1, FAR))
    names = chosen(placement, make_profile(), 12)
    assert names["t0"] > names["t1"]
    assert names["t1"] > 0, "a full target near by loses to a free one far away"


def test_a_target_that_fails_gets_no_non_idempotent_work_for_a_while() -> None:
    placement = make_placement(make_target(0), make_target(1))
    placement.record_start("t0", 0.0)
    placement.record_end(failed("t0"), 0.0)
    profile = make_profile(idempotent=False)
    assert chosen(placement, profile, 6) == {"t1": 6}


def test_a_target_that_failed_once_among_many_answers_keeps_its_work() -> None:
    placement = make_placement(make_target(0), make_target(1))
    for target in ("t0", "t1"):
        for _ in range(12):
            placement.record_observation(served(target), 0.0)
    placement.record_observation(failed("t0"), 0.0)
    assert chosen(placement, make_profile(), 12)["t0"] >= 3


def test_a_target_that_failed_by_itself_is_back_after_some_seconds() -> None:
    placement = make_placement(make_target(0), make_target(1))
    placement.record_observation(failed("t0"), 0.0)
    later = 15_000.0
    assert chosen(placement, make_profile(now=later), 8, later)["t0"] >= 2


def test_the_least_bad_target_serves_where_all_fail() -> None:
    placement = make_placement(make_target(0), make_target(1))
    for _ in range(3):
        placement.record_observation(failed("t0"), 0.0)
    placement.record_observation(failed("t1"), 0.0)
    assert place(placement, make_profile()) == "t1"


def test_a_target_that_cannot_be_reached_is_left_alone_longer_each_time() -> None:
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


def test_what_one_entry_cannot_reach_says_nothing_to_the_others() -> None:
    placement = make_placement(make_target(0))
    placement.record_observation(failed("t0", Outcome.UNREACHABLE), 0.0)
    assert placement.targets["t0"].accepts_requests(0.0)
    assert placement.targets["t0"].evidence.failure_share(0.0) < 0.05


def test_leaving_and_misplaced_targets_get_nothing() -> None:
    leaving = replace(make_target(0), state=VmState.LEAVING)
    placement = make_placement(leaving, make_target(1), make_target(2))
    placement.record_end(failed("t1", Outcome.DRAINING), 0.0)
    assert chosen(placement, make_profile(), 4) == {"t2": 4}


def test_a_request_in_flight_for_too_long_speaks_against_its_target() -> None:
    placement = make_placement(make_target(0), make_target(1))
    placement.record_observation(structs.replace(served("t0"), outcome=None), 0.0)
    assert chosen(placement, make_profile(idempotent=False), 4)["t0"] <= 1


def test_a_cold_target_gets_less_work() -> None:
    placement = make_placement(make_target(0, warm_up_ms=3_000.0), make_target(1))
    names = chosen(placement, make_profile(), 5)
    assert names["t0"] < names["t1"]


def test_a_target_whose_row_stays_the_same_warms_up_while_the_list_changes() -> None:
    """A row with 3 s of warm-up, listed again for 12 s, kept its target cold for 15 s."""
    rows = (make_target(0, warm_up_ms=3_000.0), make_target(1))
    placement = make_placement(*rows)
    for step in range(1, 25):
        placement.set_targets(rows, 500.0 * step)
    inputs = placement.inputs(placement.targets["t0"], 400.0, 3_500.0)
    assert inputs.slowness == 1.0


def test_a_slow_target_gets_less_work() -> None:
    placement = make_placement(make_target(0), make_target(1))
    for _ in range(6):
        placement.record_observation(served("t0", 2_000.0), 0.0)
        placement.record_observation(served("t1", 400.0), 0.0)
    names = chosen(placement, make_profile(), 5)
    assert names["t0"] < names["t1"]


def test_what_cannot_end_in_time_is_rejected_at_once() -> None:
    placement = make_placement(make_target(0, slots=1))
    placement.record_observation(served("t0", 400.0), 0.0)
    placement.targets["t0"].peer_load = 10
    decision = placement.place(make_profile(), frozenset(), 0.0)
    assert isinstance(decision, Reject)
    assert decision.reason == "too-late"
    assert 100.0 <= decision.retry_after_ms <= 1_000.0


def test_a_kind_of_which_nothing_is_known_is_tried_however_short_its_time() -> None:
    """A route with 400 ms and an objective of 1200 ms was refused for ever, by a guess of 480."""
    placement = make_placement(make_target(0))
    profile = make_profile("new", time_ms=400.0, latency_ms=1_200.0)
    assert isinstance(placement.place(profile, frozenset(), 0.0), Place)


def test_answers_that_may_come_sooner_than_usual_are_not_given_up() -> None:
    placement = make_placement(make_target(0))
    for _ in range(20):
        placement.record_observation(served("t0", 500.0), 0.0)
    assert isinstance(placement.place(make_profile(time_ms=400.0), frozenset(), 0.0), Place)
    hopeless = placement.place(make_profile(time_ms=200.0), frozenset(), 0.0)
    assert isinstance(hopeless, Reject)


def test_a_less_urgent_kind_leaves_room_for_the_most_urgent_one() -> None:
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


def test_waiting_is_short_and_then_turned_away() -> None:
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


def test_what_is_known_of_a_target_outlives_a_new_list() -> None:
    placement = make_placement(make_target(0), make_target(1))
    placement.record_start("t0", 0.0)
    placement.record_observation(failed("t0"), 0.0)
    placement.set_targets((make_target(0), make_target(2)), 0.0)
    assert placement.targets["t0"].own_load == 1
    assert placement.targets["t0"].evidence.failure_share(0.0) > 0.3
    assert set(placement.targets) == {"t0", "t2"}


def play_seconds(
    placement: Placement, fails: frozenset[str], seconds: float, each: int = 1
) -> Counter[str]:
    """Send twenty requests a second, and return those of the last two seconds by target.

    Targets in `fails` fail one of so many requests, `each`; all others answer.
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


def test_while_the_service_does_badly_no_target_is_left_out_for_long() -> None:
    """Three sound targets got nothing for two seconds while the others failed each third request.

    A target that failed by itself counts as sound again after two seconds; so all of those that
    failed at the beginning have to be used again before four seconds are over.
    """
    placement = make_placement(*(make_target(number) for number in range(6)))
    for name in ("t0", "t1", "t2"):
        for _ in range(6):
            placement.record_observation(failed(name), 0.0)
    names = play_seconds(placement, frozenset({"t3", "t4", "t5"}), 4.0, each=3)
    assert {"t0", "t1", "t2"} <= set(names)


def test_a_target_that_keeps_failing_is_tried_seldom_while_its_service_does_badly() -> None:
    """Bookings went to known gray targets every second and a half while others were shed."""
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


def test_a_first_answer_that_was_quick_makes_no_later_one_look_slow() -> None:
    """After a restart the first answer took 4 ms, and targets of 400 ms looked ten times slow."""
    placement = make_placement(make_target(0), make_target(1, FAR))
    placement.profiles["read"] = make_profile()
    placement.record_observation(served("t0", 4.0), 0.0)
    placement.record_observation(served("t1", 400.0), 0.0)
    assert placement.inputs(placement.targets["t1"], 400.0, 0.0).slowness < 2.0


def test_one_answer_that_took_very_long_counts_for_little() -> None:
    placement = make_placement(make_target(0))
    for _ in range(20):
        placement.record_observation(served("t0", 100.0), 0.0)
    placement.record_observation(served("t0", 5_000.0), 20_000.0)
    assert placement.inputs(placement.targets["t0"], 100.0, 20_000.0).slowness < 3.0


def test_with_many_late_answers_the_queue_is_kept_shorter() -> None:
    """In long overload a queue beyond the objective made a seventh of the answers late."""
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


def test_while_the_service_does_well_a_failing_target_is_left_alone() -> None:
    placement = make_placement(*(make_target(number) for number in range(6)))
    for _ in range(6):
        placement.record_observation(failed("t0"), 0.0)
    assert play_seconds(placement, frozenset({"t0"}), 4.0)["t0"] <= 1


def test_two_failures_in_a_row_weigh_more_than_many_answers_before_them() -> None:
    """A target that turns gray at four requests a second must not lose ten of them first."""
    placement = make_placement(make_target(0), make_target(1))
    for _ in range(20):
        for target in ("t0", "t1"):
            placement.record_observation(served(target), 0.0)
    placement.record_observation(failed("t0"), 250.0)
    placement.record_observation(failed("t0"), 500.0)
    assert chosen(placement, make_profile(idempotent=False, now=500.0), 6, 500.0) == {"t1": 6}


def test_asking_whether_there_is_room_counts_for_no_failed_request() -> None:
    placement = make_placement()
    profile = make_profile()
    assert isinstance(placement.decide(profile, frozenset(), 1_000.0), Reject)
    assert placement.outcomes.failure_share(1_000.0) == 0.0
    assert isinstance(placement.place(profile, frozenset(), 1_000.0), Reject)
    assert placement.outcomes.failure_share(1_000.0) == 1.0


def test_a_target_that_failed_seconds_ago_is_used_though_no_failures_are_seen_here() -> None:
    """A third of the requests was lost with frozen VMs; three of nine sound targets got none."""
    placement = make_placement(*(make_target(number) for number in range(6)))
    for _ in range(3):
        placement.record_observation(failed("t0"), 0.0)
    assert play_seconds(placement, frozenset(), 6.0)["t0"] > 0


def test_targets_that_a_release_started_are_used_within_two_seconds() -> None:
    """All VMs lost power during a release: of the two seconds before, a quarter was lost.

    13 of 41 sound targets had got nothing in that time; a cold one gets nothing in this replay.
    """
    warm = [make_target(number) for number in range(4)]
    cold = [make_target(number, warm_up_ms=3_000.0) for number in range(4, 6)]
    names = play_seconds(make_placement(*warm, *cold), frozenset(), 2.0)
    assert {"t4", "t5"} <= set(names)
