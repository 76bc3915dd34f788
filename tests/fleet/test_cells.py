from cactusvane.fleet.cells import keepers, subset
from tests.fleet.net import make_vm

VMS = [make_vm(n) for n in range(48)]


def test_keepers_ignore_the_order_of_the_list():
    assert keepers("records", VMS) == keepers("records", reversed(VMS))


def test_a_vm_that_leaves_moves_only_its_own_cells():
    cells = [f"cell-{n}" for n in range(200)]
    before = {cell: keepers(cell, VMS) for cell in cells}
    for cell in cells:
        after = keepers(cell, VMS[1:])
        if VMS[0] not in before[cell]:
            assert after == before[cell]


def test_keepers_are_in_different_failure_domains():
    assert all(len({vm.failure_domain for vm in keepers(f"c{n}", VMS, 3)}) == 3 for n in range(50))


def test_subset_prefers_the_own_failure_domain():
    chosen = subset(make_vm(100), "records", VMS, 8)
    assert len(chosen) == 8
    assert {vm.failure_domain for vm in chosen} == {make_vm(100).failure_domain}
