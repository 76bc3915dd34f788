from collections import Counter

import pytest

from cactusvane.fleet.cells import subset
from cactusvane.fleet.vm import Address, Vm
from cactusvane.slots.connections import may_hold_idle, subset_size
from tests.fleet.net import DOMAINS, make_vm

LIMIT = 400


@pytest.mark.parametrize(("entries", "targets"), [(48, 13), (400, 12), (1_900, 60), (5_700, 60)])
def test_no_target_gets_more_connections_than_it_accepts(entries: int, targets: int) -> None:
    vms = [
        Vm(f"t{n}", Address("10.0.0.1", n + 1), DOMAINS[n % 3], service="records")
        for n in range(targets)
    ]
    assert may_hold_idle(entries, targets, LIMIT)
    size = subset_size(entries, targets, LIMIT)
    chosen = Counter(vm for n in range(entries) for vm in subset(make_vm(n), "records", vms, size))
    assert len(chosen) == targets
    assert max(chosen.values()) < LIMIT


def test_no_idle_connections_are_held_where_the_limit_is_below_two_per_entry() -> None:
    assert may_hold_idle(5_700, 36, LIMIT)
    assert not may_hold_idle(5_700, 35, LIMIT)
