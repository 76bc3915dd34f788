"""Tests of the subset of targets that an entry prefers."""

from cactusvane.placement.affinity import MAX_KEPT_MS, Affinity
from tests.placement.fixtures import LOCAL, REMOTE, make_target

VMS = [make_target(number) for number in range(30)]


def make_affinity(vm: str = "e1", per_s: float = 4.0) -> Affinity:
    affinity = Affinity(vm, LOCAL)
    affinity.set_targets(VMS)
    for number in range(int(60.0 * per_s)):
        affinity.record_request(number * 1_000.0 / per_s)
    return affinity


def preferred(affinity: Affinity, kept_ms: float = MAX_KEPT_MS) -> frozenset[str]:
    return affinity.preferred(kept_ms, 60_000.0)


def test_the_subset_grows_with_the_requests_and_with_the_time_connections_are_kept() -> None:
    small, large = preferred(make_affinity(per_s=2.0)), preferred(make_affinity(per_s=4.0))
    assert len(small) == 5
    assert len(large) == 10
    assert small < large
    assert len(preferred(make_affinity(), 1_000.0)) == 2


def test_entries_prefer_different_targets() -> None:
    assert preferred(make_affinity("e1")) != preferred(make_affinity("e2"))


def test_a_change_of_the_list_moves_only_what_came_or_went() -> None:
    affinity = make_affinity()
    before = preferred(affinity)
    gone = min(before)
    affinity.set_targets([vm for vm in VMS if vm.name != gone])
    after = preferred(affinity)
    assert before - after == {gone}
    assert len(after - before) == 1


def test_targets_of_the_own_failure_domain_come_first() -> None:
    affinity = make_affinity()
    affinity.set_targets([*(make_target(number, REMOTE) for number in range(20)), *VMS[20:]])
    assert preferred(affinity) == {vm.name for vm in VMS[20:]}


def test_an_entry_without_requests_prefers_one_target() -> None:
    affinity = Affinity("e1", LOCAL)
    affinity.set_targets(VMS)
    assert len(affinity.preferred(MAX_KEPT_MS, 0.0)) == 1
