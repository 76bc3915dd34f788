"""Targets whose registrations lapse during an outage of the store."""

from dataclasses import replace

from cactusvane.fleet.lapse import REREGISTRATION_MS, LapsedTargets
from cactusvane.fleet.vm import VmState
from tests.placement.fixtures import make_target

ONE, TWO = make_target(1), make_target(2)


def test_without_an_outage_a_target_is_removed_at_once() -> None:
    lapsed = LapsedTargets()
    lapsed.update((ONE, TWO), 0.0)
    assert lapsed.update((ONE,), 10.0) == (ONE,)


def test_a_target_that_vanished_in_an_outage_is_retained_until_shortly_after_it() -> None:
    lapsed = LapsedTargets()
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
    lapsed = LapsedTargets()
    lapsed.update((ONE, TWO), 0.0)
    lapsed.record_failure(12_500.0)
    assert lapsed.update((ONE,), 15_007.0) == (ONE,)


def test_a_target_that_registers_again_has_the_state_of_its_registration() -> None:
    lapsed = LapsedTargets()
    lapsed.update((ONE, TWO), 0.0)
    lapsed.record_failure(1_000.0)
    lapsed.update((ONE,), 1_500.0)
    leaving = replace(TWO, state=VmState.LEAVING)
    assert lapsed.update((ONE, leaving), 1_600.0) == (ONE, leaving)
    assert lapsed.update((ONE,), 1_700.0) == (ONE,)


def test_a_target_is_not_retained_if_its_address_has_a_new_owner() -> None:
    lapsed = LapsedTargets()
    lapsed.update((ONE, TWO), 0.0)
    lapsed.record_failure(1_000.0)
    owner = replace(TWO, name="t9")
    assert lapsed.update((ONE, owner), 1_500.0) == (ONE, owner)
