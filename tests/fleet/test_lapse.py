"""Targets whose registrations lapse during an outage of the store."""

from dataclasses import replace

import pytest

from cactusvane.fleet.lapse import REREGISTRATION_MS, LapsedTargets
from cactusvane.fleet.vm import VmState
from cactusvane.fleet_settings import TICK_MS, FleetLimits
from cactusvane.following.follower import FollowSettings
from cactusvane.placement.retries import RetryLimit
from cactusvane.placement.settings import PlacementSettings
from tests.placement.fixtures import make_target

MAX_RETENTION_MS = 10_000.0
ONE, TWO = make_target(1), make_target(2)


def test_without_an_outage_a_target_is_removed_at_once() -> None:
    lapsed = LapsedTargets(MAX_RETENTION_MS)
    lapsed.update((ONE, TWO), 0.0)
    assert lapsed.update((ONE,), 10.0) == (ONE,)


def test_a_target_that_vanished_in_an_outage_is_retained_until_shortly_after_it() -> None:
    lapsed = LapsedTargets(MAX_RETENTION_MS)
    lapsed.update((ONE, TWO), 0.0)
    lapsed.record_failure(1_000.0)
    assert lapsed.update((ONE,), 1_500.0) == (ONE, TWO)
    assert not lapsed.has_expired(1_000.0 + REREGISTRATION_MS - 1.0)
    assert lapsed.has_expired(1_000.0 + REREGISTRATION_MS)
    assert lapsed.update((ONE,), 1_000.0 + REREGISTRATION_MS) == (ONE,)


def test_a_target_that_vanishes_long_after_an_outage_is_not_retained() -> None:
    """The retention counts from the latest failed call, not from when the target vanished.

    In the case that failed, the store rejected a third of the VMs until 11.5 s, and a target whose
    registration was removed at 15 s was retained for another 2 s.
    """
    lapsed = LapsedTargets(MAX_RETENTION_MS)
    lapsed.update((ONE, TWO), 0.0)
    lapsed.record_failure(12_500.0)
    assert lapsed.update((ONE,), 15_007.0) == (ONE,)


def test_a_target_that_registers_again_has_the_state_of_its_registration() -> None:
    lapsed = LapsedTargets(MAX_RETENTION_MS)
    lapsed.update((ONE, TWO), 0.0)
    lapsed.record_failure(1_000.0)
    lapsed.update((ONE,), 1_500.0)
    leaving = replace(TWO, state=VmState.LEAVING)
    assert lapsed.update((ONE, leaving), 1_600.0) == (ONE, leaving)
    assert lapsed.update((ONE,), 1_700.0) == (ONE,)


def test_a_target_that_a_restored_copy_lacks_is_retained_without_an_outage() -> None:
    lapsed = LapsedTargets(MAX_RETENTION_MS)
    lapsed.update((ONE, TWO), 0.0)
    assert lapsed.update((ONE,), 500.0, restored=True) == (ONE, TWO)
    assert lapsed.update((ONE,), 500.0 + REREGISTRATION_MS) == (ONE,)


def test_a_target_is_not_retained_if_its_address_has_a_new_owner() -> None:
    lapsed = LapsedTargets(MAX_RETENTION_MS)
    lapsed.update((ONE, TWO), 0.0)
    lapsed.record_failure(1_000.0)
    owner = replace(TWO, name="t9")
    assert lapsed.update((ONE, owner), 1_500.0) == (ONE, owner)


@pytest.mark.parametrize("learnt_late_ms", [0.0, 236.0, 450.0])
def test_a_target_that_left_while_the_store_fails_gets_no_request_after_the_drain_timeout(
    learnt_late_ms: float,
) -> None:
    """Retained targets were dropped up to 100 ms after the drain timeout, and later where the
    removal was learnt later."""
    follow = FollowSettings(max_batch_delay_ms=240.0)
    limits = FleetLimits(RetryLimit(), follow, PlacementSettings(), 2_000.0)
    lapsed = LapsedTargets(limits.max_retention_ms(connect_ms=200.0))
    lapsed.update((ONE,), 0.0)
    learnt_at = 1_500.0 + learnt_late_ms
    lapsed.record_failure(learnt_at)
    assert lapsed.update((), learnt_at) == (ONE,)
    last_tick_at = 1_500.0 + 2_000.0 - 200.0
    assert lapsed.has_expired(last_tick_at - TICK_MS)
    assert lapsed.update((), last_tick_at) == ()
