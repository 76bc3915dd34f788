from hypothesis import given, settings
from hypothesis import strategies as st

from cactusvane.fleet.assignment import Assignment
from cactusvane.fleet.cells import keepers
from cactusvane.fleet.vm import Address, Vm

CELLS = ("records", "booking", "field", "ledger", "catalogue")

vms = st.lists(
    st.builds(
        lambda number, domain: Vm(f"vm-{number}", Address("127.0.0.1", number), domain),
        st.integers(0, 12),
        st.sampled_from("ABC"),
    ),
    max_size=10,
    unique_by=lambda vm: vm.name,
)


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.lists(vms, min_size=1, max_size=6))
def test_the_incremental_assignment_equals_one_from_scratch(fleets):
    """Fails if `set_vms` skips the cells whose keepers left."""
    assignment = Assignment()
    assignment.set_cells(CELLS)
    for fleet in fleets:
        assignment.set_vms(fleet)
        assert assignment.keepers == {cell: keepers(cell, fleet) for cell in CELLS}


def test_a_new_cell_is_assigned_and_an_old_one_dropped():
    fleet = [Vm(f"vm-{i}", Address("127.0.0.1", i), "AB"[i % 2]) for i in range(4)]
    assignment = Assignment()
    assignment.set_vms(fleet)
    assignment.set_cells(["records"])
    assignment.set_cells(["booking"])
    assert assignment.keepers == {"booking": keepers("booking", fleet)}
