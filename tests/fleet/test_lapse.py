"""Targets whose entries lapse while the store is away."""

from dataclasses import replace

from cactusvane.fleet.lapse import REREGISTRATION_MS, LapsedTargets
from cactusvane.fleet.vm import VmState
from tests.placement.fixtures import make_target

ONE, TWO = make_target(1), make_target(2)


def test_without_an_outage_a_target_is_gone_at_once() -> None:
    lapsed = LapsedTargets()
    lapsed.update((ONE, TWO), 0.0)
    assert lapsed.update((ONE,), 10.0) == (ONE,)


def test_a_target_that_vanished_in_an_outage_is_kept_until_shortly_after_it() -> None:
    lapsed = LapsedTargets()
    lapsed.update((ONE, TWO), 0.0)
    lapsed.record_failure(1_000.0)
    assert lapsed.update((ONE,), 1_500.0) == (ONE, TWO)
    assert not lapsed.has_expired(1_000.0 + REREGISTRATION_MS - 1.0)
    assert lapsed.has_expired(1_000.0 + REREGISTRATION_MS)
    assert lapsed.update((ONE,), 1_000.0 + REREGISTRATION_MS) == (ONE,)


def test_a_target_that_leaves_well_after_an_outage_is_not_kept_for_the_time_of_the_next() -> None:
    """A third of the VMs was refused until 11.5 s; an entry that went at 15 s was kept for 2 s."""
    lapsed = LapsedTargets()
    lapsed.update((ONE, TWO), 0.0)
    lapsed.record_failure(12_500.0)
    assert lapsed.update((ONE,), 15_007.0) == (ONE,)


def test_a_target_that_is_back_is_as_its_entry_says() -> None:
    lapsed = LapsedTargets()
    lapsed.update((ONE, TWO), 0.0)
    lapsed.record_failure(1_000.0)
    lapsed.update((ONE,), 1_500.0)
    leaving = replace(TWO, state=VmState.LEAVING)
    assert lapsed.update((ONE, leaving), 1_600.0) == (ONE, leaving)
    assert lapsed.update((ONE,), 1_700.0) == (ONE,)


def test_an_address_with_a_new_owner_is_not_kept_for_the_old_one() -> None:
    lapsed = LapsedTargets()
    lapsed.update((ONE, TWO), 0.0)
    lapsed.record_failure(1_000.0)
    owner = replace(TWO, name="t9")
    assert lapsed.update((ONE, owner), 1_500.0) == (ONE, owner)
