"""What is known of targets when the store comes back from an older copy."""

from dataclasses import replace

from cactusvane.fleet.departed import EXPIRY_MARGIN_MS, DepartedTargets
from cactusvane.fleet.vm import Address, Vm, VmState

LAPSE_MS = 4_500.0
READY = Vm("t1", Address("10.0.0.1", 80), "estrie", service="records", started_ms=1_000)
LEAVING = replace(READY, state=VmState.LEAVING)
OTHER = replace(READY, name="t2", address=Address("10.0.0.2", 80))


class Store:
    """Rows of targets with versions; `restore` starts a new era."""

    def __init__(self) -> None:
        self.departed = DepartedTargets(LAPSE_MS)
        self.era = 1
        self.version = 0
        self.now = 0.0

    def list(self, *vms: Vm, rewritten: bool = True) -> tuple[Vm, ...]:
        """Return the targets that are known after the store has listed these."""
        self.version += rewritten
        self.now += 100.0
        versions = {vm.name: self.version for vm in vms}
        return self.departed.update(vms, versions, self.era, self.now)

    def restore(self, *vms: Vm) -> tuple[Vm, ...]:
        """Return the targets that are known after a restored copy has listed these."""
        self.era += 1
        return self.list(*vms)


def test_a_target_that_had_left_stays_out_until_its_row_is_written_anew() -> None:
    store = Store()
    store.list(READY, OTHER)
    store.list(OTHER)
    assert store.restore(READY, OTHER) == (OTHER,)
    assert store.list(READY, OTHER, rewritten=False) == (OTHER,)
    assert store.list(READY, OTHER) == (READY, OTHER)


def test_a_leaving_target_stays_leaving_while_the_restored_copy_lists_it_as_ready() -> None:
    store = Store()
    store.list(LEAVING)
    assert store.restore(READY) == (LEAVING,)
    assert store.restore(READY) == (LEAVING,)


def test_the_row_of_a_later_start_holds() -> None:
    again = replace(READY, started_ms=5_000, address=Address("10.0.0.9", 80))
    store = Store()
    store.list(READY)
    store.list()
    assert store.restore(again) == (again,)
    assert store.restore(READY) == (again,)


def test_a_row_that_the_store_keeps_is_of_a_live_target() -> None:
    store = Store()
    store.list(READY)
    store.list()
    assert store.restore(READY) == ()
    store.now += LAPSE_MS + EXPIRY_MARGIN_MS
    assert store.departed.has_expired(store.now)
    assert store.list(READY, rewritten=False) == (READY,)


def test_a_target_that_registers_again_in_the_same_era_is_present() -> None:
    store = Store()
    store.list(READY)
    store.list()
    assert store.list(READY) == (READY,)
    assert store.restore(READY) == (READY,)


def test_a_target_that_is_retained_without_a_row_has_not_left() -> None:
    store = Store()
    store.list(READY)
    assert store.departed.update((READY,), {}, store.era, store.now) == (READY,)
    assert store.restore(READY) == (READY,)


def test_a_restored_row_that_vanishes_again_stays_outdated() -> None:
    store = Store()
    store.list(READY)
    store.list()
    store.restore(READY)
    assert store.departed.update((READY,), {}, store.era, store.now) == ()
