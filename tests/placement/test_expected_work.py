"""Tests of placement by expected work, in one entry and between entries."""

from random import Random

import pytest

from cactusvane.configuration.model import Configuration, Service
from cactusvane.fleet.vm import Address, Vm
from cactusvane.outcome import Outcome
from cactusvane.placement.domain import Domain
from cactusvane.placement.features import RequestFeatures
from cactusvane.placement.messages import (
    Observation,
    Place,
    RequestProfile,
    StateUpdate,
    StoreStatus,
)
from cactusvane.placement.peer import PEER_TIMEOUT_MS
from cactusvane.placement.placement import Placement
from cactusvane.placement.settings import PlacementSettings
from cactusvane.placement.work import RunningWork
from tests.placement.fixtures import LOCAL, REMOTE, make_target

STORE_STATUS = StoreStatus(True, 10.0, None, {})
PEER = Address("10.0.1.1", 1)
WORK = PlacementSettings(expected_work=True)

LATER_MS = 60_000.0
"""Time at which the slowness of all targets is 1 again."""


def make_domain(
    *vms: Vm, name: str = "e1", settings: PlacementSettings = WORK, started: int = 1
) -> Domain:
    domain = Domain(name, LOCAL, started, Random(1), settings)
    domain.set_targets({"records": vms}, 0.0)
    domain.configure(Configuration((Service("records", (), (), 1, 1, 1),)), 0.0)
    return domain


def placement_of(domain: Domain) -> Placement:
    return domain.placements["records"]


def make_profile(segment: str = "find", now: float = 0.0) -> RequestProfile:
    features = RequestFeatures("GET", segment, 0)
    return RequestProfile("read", 1, True, now, now + 9_000.0, 4_000.0, features=features)


def send(domain: Domain, name: str, profile: RequestProfile, now: float, took_ms: float) -> None:
    """Send a request that was served, and tell the other entries."""
    placement = placement_of(domain)
    placement.decide(profile, frozenset(), now)
    running = placement.record_start(name, now, profile)
    observation = Observation(name, "read", Outcome.SERVED, took_ms)
    domain.observe(placement.record_end(observation, now + took_ms, running))


def teach(domain: Domain, light_ms: float = 50.0, heavy_ms: float = 500.0) -> None:
    for number in range(60):
        send(domain, "t1", make_profile("find"), 10.0 * number, light_ms)
        send(domain, "t1", make_profile("report"), 10.0 * number, heavy_ms)


def expected_ms(domain: Domain, segment: str) -> float:
    estimate = placement_of(domain).estimate(make_profile(segment), 4_000.0)
    assert estimate is not None
    return estimate.mean_ms


@pytest.mark.parametrize("load", [1, 2, 3, 5, 9])
def test_the_wait_equals_the_usual_formula_where_all_requests_are_alike(load: int) -> None:
    vm = make_target(0, slots=2)
    waits = []
    for settings in (PlacementSettings(), WORK):
        placement = placement_of(make_domain(vm, settings=settings))
        profile = make_profile()
        placement.profiles["read"] = profile
        for _ in range(200):
            placement.record_observation(Observation("t0", "read", Outcome.SERVED, 100.0), 0.0)
        for _ in range(load):
            placement.record_start("t0", LATER_MS, profile)
        waits.append(placement.inputs(placement.targets["t0"], 100.0, LATER_MS).wait_ms)
    assert waits[1] == pytest.approx(waits[0], rel=0.02)


def test_a_request_avoids_the_target_with_long_requests() -> None:
    """Targets with equally many requests in flight looked equal."""
    domain = make_domain(make_target(0, slots=1), make_target(1, slots=1))
    teach(domain)
    placement = placement_of(domain)
    now = 5_000.0
    for name, segment in (("t0", "report"), ("t1", "find")):
        placement.record_start(name, now, make_profile(segment))
    for _ in range(10):
        decision = placement.decide(make_profile(now=now), frozenset(), now)
        assert isinstance(decision, Place)
        assert decision.name == "t1"


def test_the_log_tells_the_expected_work_and_from_what_it_was_learned() -> None:
    domain = make_domain(make_target(0), make_target(1))
    teach(domain)
    decision = placement_of(domain).decide(make_profile("report", 5e3), frozenset(), 5e3)
    assert isinstance(decision, Place)
    assert decision.inputs.work is not None
    assert decision.inputs.work.expected_ms > 300.0
    assert decision.inputs.work.source in ("path", "size")


def test_nothing_changes_without_the_setting() -> None:
    domain = make_domain(make_target(0), make_target(1), settings=PlacementSettings())
    teach(domain)
    placement = placement_of(domain)
    assert placement.record_start("t0", 0.0, make_profile()) is None
    update = domain.next_update(STORE_STATUS, 0.0)
    assert update.work is None
    assert all(each.packed == each.service_ms == 0 for each in update.observations)
    decision = placement.decide(make_profile(), frozenset(), 0.0)
    assert isinstance(decision, Place)
    assert decision.inputs.work is None


def test_entries_learn_from_each_other() -> None:
    first, second = (make_domain(make_target(0), make_target(1), name=name) for name in "ab")
    teach(first)
    second.receive(first.next_update(STORE_STATUS, 700.0), PEER, 700.0)
    assert expected_ms(second, "find") < 100.0
    assert expected_ms(second, "report") > 300.0


def test_a_restarted_entry_learns_again_and_replaces_its_earlier_work() -> None:
    first, second = (make_domain(make_target(0), make_target(1), name=name) for name in "ab")
    teach(first)
    placement_of(first).record_start("t0", 700.0, make_profile("report"))
    second.receive(first.next_update(STORE_STATUS, 700.0), PEER, 700.0)
    assert placement_of(second).targets["t0"].peer_work["a"].remaining_ms > 300.0  # type: ignore[operator]
    again = make_domain(make_target(0), make_target(1), name="a", started=2)
    second.receive(again.next_update(STORE_STATUS, 800.0), PEER, 800.0)
    assert placement_of(second).targets["t0"].remaining_ms(100.0, 800.0) == 0.0
    teach(second)
    again.receive(second.next_update(STORE_STATUS, 900.0), PEER, 900.0)
    assert expected_ms(again, "report") > 300.0


def test_the_work_of_a_silent_peer_is_dropped() -> None:
    domain = make_domain(make_target(0))
    domain.receive(StateUpdate("a", 1, 1, {"t0": 2}, work={"t0": 700}), PEER, 0.0)
    target = placement_of(domain).targets["t0"]
    assert target.remaining_ms(100.0, 0.0) == 700.0
    domain.expire(PEER_TIMEOUT_MS + 1.0)
    assert target.remaining_ms(100.0, 0.0) == 0.0
    assert target.load == 0


def test_requests_of_a_peer_that_tells_no_work_count_as_usual_ones() -> None:
    domain = make_domain(make_target(0))
    domain.receive(StateUpdate("a", 1, 1, {"t0": 2}), PEER, 0.0)
    assert placement_of(domain).targets["t0"].remaining_ms(100.0, 0.0) == 200.0


def test_an_update_tells_the_remaining_work() -> None:
    domain = make_domain(make_target(0), make_target(1))
    teach(domain)
    placement = placement_of(domain)
    running = placement.record_start("t0", 1_000.0, make_profile("report"))
    assert running is not None
    early = domain.next_update(STORE_STATUS, 1_000.0).work
    later = domain.next_update(STORE_STATUS, 1_200.0).work
    overdue = domain.next_update(STORE_STATUS, 60_000.0).work
    assert early
    assert later
    assert overdue
    assert early["t0"] - later["t0"] == pytest.approx(200.0 * (1.0 - running.spread), abs=1)
    assert running.spread < 0.2
    assert overdue["t0"] == pytest.approx(0.25 * early["t0"], abs=1)


@pytest.mark.parametrize("outcome", [Outcome.FAILED, Outcome.BROKEN, Outcome.SHED])
def test_fast_failures_never_lower_an_estimate(outcome: Outcome) -> None:
    domain = make_domain(make_target(0), make_target(1))
    teach(domain)
    before = expected_ms(domain, "report")
    placement = placement_of(domain)
    for _ in range(50):
        running = placement.record_start("t0", 1_000.0, make_profile("report"))
        placement.record_end(Observation("t0", "read", outcome, 1.0), 1_001.0, running)
    assert expected_ms(domain, "report") == before


def test_attempts_that_time_out_raise_an_estimate() -> None:
    domain = make_domain(make_target(0), make_target(1))
    teach(domain)
    before = expected_ms(domain, "find")
    placement = placement_of(domain)
    for _ in range(10):
        running = placement.record_start("t0", 1_000.0, make_profile())
        placement.record_end(Observation("t0", "read", Outcome.TIMED_OUT, 900.0), 1_900.0, running)
    assert expected_ms(domain, "find") > 1.5 * before


def test_waiting_in_a_queue_is_not_work() -> None:
    """Queued requests looked ten times as expensive, and their target ten times as slow."""
    domain = make_domain(make_target(0), make_target(1))
    teach(domain)
    before = expected_ms(domain, "find")
    placement = placement_of(domain)
    for _ in range(20):
        wait_ms = 450.0 * placement.congestion()
        running = placement.record_start("t0", 1_000.0, make_profile(), wait_ms)
        placement.record_end(Observation("t0", "read", Outcome.SERVED, 500.0), 1_500.0, running)
    assert expected_ms(domain, "find") < 1.5 * before
    assert placement.targets["t0"].evidence.slowness(1_500.0) < 1.5


def test_work_is_not_mistaken_for_speed() -> None:
    """Responses faster than the prior made all targets look fast and all requests expensive."""
    domain = make_domain(make_target(0), make_target(1))
    placement = placement_of(domain)
    placement.decide(make_profile(), frozenset(), 0.0)
    for number in range(100):
        observation = Observation(f"t{number % 2}", "read", Outcome.SERVED, 100.0)
        placement.record_observation(observation, 0.0)
    assert expected_ms(domain, "find") == pytest.approx(100.0, rel=0.2)


def test_the_time_since_the_start_counts_less_if_the_work_varies() -> None:
    """0.831 of the worth was served where nothing distinguishes long requests, now 0.839."""
    remaining = [
        RunningWork(400.0, 0.0, 0.0, 0, spread).remaining_ms(200.0) for spread in (0.0, 0.5, 2.0)
    ]
    assert remaining == [200.0, 300.0, 400.0]


def test_a_cold_target_is_slow_by_its_remaining_warm_up() -> None:
    placement = placement_of(make_domain(make_target(0, warm_up_ms=4_000.0)))
    target = placement.targets["t0"]
    assert [placement.slowness(target, now) for now in (0.0, 2_000.0, 4_000.0)] == [2.0, 1.5, 1.0]


AFFINE = PlacementSettings(affinity_cost_share=0.2)


def targets_used(settings: PlacementSettings, interval_ms: float, slots: int = 2) -> dict[str, int]:
    """Return how often each target was used while an entry sent single requests for 40 s."""
    vms = [make_target(number, slots=slots) for number in range(30)]
    placement = placement_of(make_domain(*vms, make_target(30, REMOTE), settings=settings))
    used: dict[str, int] = {}
    now = 0.0
    while now < 40_000.0:
        decision = placement.decide(make_profile(now=now), frozenset(), now)
        assert isinstance(decision, Place)
        placement.record_start(decision.name, now)
        placement.record_end(Observation(decision.name, "read", Outcome.SERVED, 50.0), now)
        for name in placement.targets.keys() - {decision.name}:
            placement.record_observation(Observation(name, "read", Outcome.SERVED, 50.0), now)
        if now >= 20_000.0:
            used[decision.name] = used.get(decision.name, 0) + 1
        now += interval_ms
    return used


def test_an_entry_with_few_requests_keeps_to_few_targets() -> None:
    assert len(targets_used(PlacementSettings(), 250.0)) > 25
    assert len(targets_used(AFFINE, 250.0)) <= 11


def test_an_entry_with_many_requests_uses_all_targets() -> None:
    assert len(targets_used(AFFINE, 50.0)) == 30


def test_a_busy_preferred_target_loses_to_a_free_one() -> None:
    """Affinity must not unbalance the loads: it costs less than a busy slot."""
    vms = [make_target(number, slots=2) for number in range(6)]
    placement = placement_of(make_domain(*vms, settings=AFFINE))
    counts = {vm.name: 0 for vm in vms}
    for _ in range(12):
        decision = placement.decide(make_profile(), frozenset(), 0.0)
        assert isinstance(decision, Place)
        placement.record_start(decision.name, 0.0)
        counts[decision.name] += 1
    assert set(counts.values()) == {2}
