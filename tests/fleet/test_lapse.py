"""Targets whose entries lapse while the store is away."""

from dataclasses import replace

from cactusvane.fleet.lapse import RETURN_MS, LapsedTargets
from cactusvane.fleet.vm import VmState
from tests.placement.fixtures import make_target

ONE, TWO = make_target(1), make_target(2)


def test_without_an_outage_a_target_is_gone_at_once() -> None:
    lapsed = LapsedTargets()
    lapsed.list((ONE, TWO), 0.0)
    assert lapsed.list((ONE,), 10.0) == (ONE,)


def test_a_target_that_vanished_in_an_outage_is_kept_until_shortly_after_it() -> None:
    lapsed = LapsedTargets()
    lapsed.list((ONE, TWO), 0.0)
    lapsed.failed(1_000.0)
    assert lapsed.list((ONE,), 1_500.0) == (ONE, TWO)
    assert not lapsed.due(1_000.0 + RETURN_MS - 1.0)
    assert lapsed.due(1_000.0 + RETURN_MS)
    assert lapsed.list((ONE,), 1_000.0 + RETURN_MS) == (ONE,)


def test_a_target_that_leaves_well_after_an_outage_is_not_kept_for_the_time_of_the_next() -> None:
    """A third of the VMs was refused until 11.5 s; an entry that went at 15 s was kept for 2 s."""
    lapsed = LapsedTargets()
    lapsed.list((ONE, TWO), 0.0)
    lapsed.failed(12_500.0)
    assert lapsed.list((ONE,), 15_007.0) == (ONE,)


def test_a_target_that_is_back_is_as_its_entry_says() -> None:
    lapsed = LapsedTargets()
    lapsed.list((ONE, TWO), 0.0)
    lapsed.failed(1_000.0)
    lapsed.list((ONE,), 1_500.0)
    leaving = replace(TWO, state=VmState.LEAVING)
    assert lapsed.list((ONE, leaving), 1_600.0) == (ONE, leaving)
    assert lapsed.list((ONE,), 1_700.0) == (ONE,)


def test_an_address_with_a_new_owner_is_not_kept_for_the_old_one() -> None:
    lapsed = LapsedTargets()
    lapsed.list((ONE, TWO), 0.0)
    lapsed.failed(1_000.0)
    owner = replace(TWO, name="t9")
    assert lapsed.list((ONE, owner), 1_500.0) == (ONE, owner)
