"""The share of healthy targets that get requests, whatever the evidence."""

from dataclasses import replace

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from cactusvane.placement.floor import allowed_cooldown_share, cooldown_carry, count_in_cooldown
from cactusvane.placement.messages import Place, PlacementReason
from cactusvane.placement.settings import PlacementSettings
from cactusvane.placement.target import Target
from tests.placement.fixtures import (
    REMOTE,
    failed,
    make_placement,
    make_profile,
    make_target,
    served,
)
from tests.placement.replay import SPAN_MS, Load, Record, Replay

SEEDS = range(1, 11)
MAX_UNUSED_SHARE = 0.3
"""The users' floor is 0.7."""

ENROLMENTS = Load(tuple(make_target(number, slots=3) for number in range(14)))
"""One failure domain of a grown deployment, in which a third of the targets has gray failures."""


def run_replay(load: Load, seed: int, settings: PlacementSettings | None = None) -> Record:
    return Replay(load, seed, settings or PlacementSettings()).run()


@pytest.mark.parametrize("failure_memory_ms", [0.0, SPAN_MS])
@pytest.mark.parametrize("onsets_per_s", [0.02, 0.05, 0.1])
def test_few_healthy_targets_are_unused_for_two_seconds_while_others_have_gray_failures(
    onsets_per_s: float, failure_memory_ms: float
) -> None:
    """Up to 7 of 21 healthy targets got nothing for 2 s while a tenth of the requests was lost."""
    load = replace(ENROLMENTS, gray_per_s=onsets_per_s)
    assert (
        max(run_replay(load, seed).max_unused_share(failure_memory_ms) for seed in SEEDS)
        <= MAX_UNUSED_SHARE
    )


LOADS = st.builds(
    Load,
    vms=st.integers(4, 24).map(
        lambda count: tuple(make_target(number, slots=3) for number in range(count))
    ),
    entries=st.integers(1, 16),
    per_s=st.floats(40.0, 160.0),
    work_ms=st.floats(50.0, 400.0),
    idempotent=st.booleans(),
    gray_per_s=st.floats(0.01, 0.3),
    gray_ms=st.floats(500.0, 8_000.0),
    gray_share=st.floats(0.1, 1.0),
    update_delay_ms=st.floats(5.0, 150.0),
    length_ms=st.just(6_000.0),
)


FEW = Load(
    tuple(make_target(number) for number in range(4)),
    entries=1,
    per_s=40.0,
    work_ms=51.0,
    gray_per_s=0.25,
    gray_ms=500.0,
    gray_share=1.0,
    update_delay_ms=5.0,
    length_ms=6_000.0,
)
"""One of four targets was in cooldown when another one failed."""

MANY_FAIL = Load(
    tuple(make_target(number, slots=3) for number in range(7)),
    entries=1,
    per_s=146.1640625,
    work_ms=167.84375,
    idempotent=True,
    gray_per_s=0.20439036736760535,
    gray_ms=3_855.0,
    gray_share=0.15625,
    update_delay_ms=5.0,
    length_ms=6_000.0,
)
"""One of seven was in cooldown while four failed in the same two seconds."""


@settings(max_examples=20, deadline=None, derandomize=True)
@given(load=LOADS, seed=st.integers(1, 1_000))
@example(load=FEW, seed=1)
@example(load=MANY_FAIL, seed=260)
def test_the_floor_holds_with_any_failures_and_update_delays(load: Load, seed: int) -> None:
    assert run_replay(load, seed).max_unused_share(0.0) <= MAX_UNUSED_SHARE


def test_the_replay_violates_the_floor_when_placement_ignores_it() -> None:
    ignored = PlacementSettings(floor_share=0.0, cooldown_share=1.0, cooldown_ms=1e9)
    assert run_replay(ENROLMENTS, 1, ignored).max_unused_share(0.0) > MAX_UNUSED_SHARE


def test_no_request_that_would_be_late_is_used_as_a_probe() -> None:
    placement = make_placement(make_target(0, slots=1), make_target(1))
    for _ in range(20):
        placement.record_observation(served("t1", 300.0), 0.0)
    placement.record_start("t1", 5_000.0)
    placement.targets["t0"].peer_load = 20
    decision = placement.place(make_profile(now=5_000.0), frozenset(), 5_000.0)
    assert isinstance(decision, Place)
    assert (decision.name, decision.reason) == ("t1", PlacementReason.CHEAPEST)


def test_targets_of_other_failure_domains_are_not_probed() -> None:
    placement = make_placement(make_target(0), make_target(1, REMOTE))
    for step in range(100):
        now = 50.0 * step
        placement.record_observation(served("t0"), now)
        decision = placement.place(make_profile(now=now), frozenset(), now)
        assert isinstance(decision, Place)
        assert decision.name == "t0"


def test_a_retry_is_not_used_as_a_probe() -> None:
    placement = make_placement(*(make_target(number) for number in range(3)))
    for _ in range(3):
        placement.record_observation(failed("t0"), 0.0)
    placement.record_start("t2", 3_000.0)
    tried = frozenset({make_target(1).address})
    decision = placement.place(make_profile(now=3_000.0), tried, 3_000.0)
    assert isinstance(decision, Place)
    assert decision.name == "t2"


def test_small_failure_domains_together_allow_the_cooldowns_of_a_large_one() -> None:
    """Domains of five targets allowed no cooldown, so gray targets got bookings repeatedly."""
    names = ("a", "b", "c")
    vms = [make_target(number, names[number % 3]) for number in range(15)]
    settings = PlacementSettings()
    in_cooldown = 0
    for name in names:
        local = [Target(vm, settings, 0.0) for vm in vms if vm.failure_domain == name]
        in_cooldown += count_in_cooldown(
            local, cooldown_carry(vms, name, settings), settings, 5_000.0
        )
    assert in_cooldown == round(allowed_cooldown_share(settings) * len(vms)) == 2
