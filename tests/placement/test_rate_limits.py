"""Rate limits of targets: what is known of them, and what all entries together send."""

from math import inf
from random import Random

import pytest

from cactusvane.fleet.vm import Vm
from cactusvane.http.rate_limit import NamedRateLimit, NoRateLimit, UnusableRateLimit
from cactusvane.placement.groups import Group
from cactusvane.placement.messages import Place, RateLimitReport, Reject, Wait
from cactusvane.placement.pacing import Pacer, send_interval_ms
from cactusvane.placement.rate_limits import RateLimits
from tests.placement.fixtures import LOCAL, REMOTE, make_placement, make_profile, make_target
from tests.placement.fleet_replay import FleetLoad, FleetReplay

SEEDS = (1, 2)
TARGET = make_target(0)
AWAY = make_target(1, REMOTE)


def make_group(vm: str = "e0", entries: int = 16, **changes: int) -> Group:
    return Group(vm, LOCAL, frozenset(f"e{n}" for n in range(entries)), domains=3, **changes)


def make_limits(entries: int = 1) -> RateLimits:
    group = make_group(entries=entries)
    return RateLimits("e0", lambda now: group, Random(1))


def intervals(target: Vm, per_s: float, entries: int = 16) -> list[float]:
    groups = [make_group(f"e{n}", entries) for n in range(entries)]
    found = [send_interval_ms(group, target, per_s) for group in groups]
    return [interval for interval in found if interval < inf]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("entries", [(16, 16, 8), (4, 4, 4), (14, 14, 14, 14, 14)])
def test_the_sum_of_all_entries_exceeds_no_limit_with_lost_updates_and_restarts(
    entries: tuple[int, ...], seed: int
) -> None:
    """Entries that are restarted or cut off, and late updates, add no requests of the others."""
    replay = FleetReplay(FleetLoad(entries, length_ms=20_000.0), seed)
    assert replay.run() == []
    assert replay.rejected < 0.05 * replay.requests


def test_a_domain_of_many_groups_exceeds_no_limit() -> None:
    assert FleetReplay(FleetLoad((130, 8), limited=4, length_ms=12_000.0), 1).run() == []


@pytest.mark.parametrize("per_s", [0.1, 1.3, 2.1, 8.0, 100.0])
def test_members_of_a_group_divide_its_share_of_a_limit(per_s: float) -> None:
    home, away = intervals(TARGET, per_s), intervals(AWAY, per_s)
    assert sum(1_000.0 / interval for interval in home) == pytest.approx(0.7 * per_s)
    assert sum(1_000.0 / interval for interval in away) == pytest.approx(0.05 * per_s)
    assert len(home) >= 2
    assert len(away) == 1


def test_a_target_belongs_to_one_group_of_its_failure_domain() -> None:
    homes = [make_group(number=number, count=4).is_home("t0", LOCAL) for number in range(4)]
    assert sum(homes) == 1


def test_a_limit_of_zero_still_lets_a_request_find_its_end() -> None:
    assert max(intervals(TARGET, 0.0)) < 60_000.0


def test_an_entry_that_starts_to_send_waits_for_a_random_part_of_its_interval() -> None:
    starts = []
    for seed in range(200):
        pacer = Pacer()
        pacer.set_interval(1_000.0, Random(seed), 5_000.0)
        starts.append(pacer.next_at)
    assert min(starts) < 5_100.0 < 5_900.0 < max(starts) <= 6_000.0


def test_a_longer_interval_applies_to_the_request_that_is_next() -> None:
    pacer = Pacer()
    pacer.set_interval(1_000.0, Random(1), 0.0)
    pacer.record_start(2_000.0)
    pacer.set_interval(4_000.0, Random(1), 2_100.0)
    assert pacer.next_at == 6_000.0


def test_an_entry_that_loses_its_part_and_gets_it_back_keeps_its_interval() -> None:
    pacer = Pacer()
    pacer.set_interval(1_000.0, Random(1), 0.0)
    pacer.record_start(2_000.0)
    pacer.set_interval(inf, Random(1), 2_100.0)
    assert pacer.next_at == inf
    pacer.set_interval(1_000.0, Random(1), 2_200.0)
    assert 3_000.0 <= pacer.next_at <= 3_200.0


def test_a_limit_ends_with_a_request_that_was_sent_after_it_was_last_named() -> None:
    limits = make_limits()
    limits.record_response("t0", NamedRateLimit(2.0), 0.0, 300.0)
    assert not limits.record_response("t0", NoRateLimit(), 200.0, 900.0)
    assert limits.next_send_at(TARGET, 1_000.0) > -inf
    assert limits.record_response("t0", NoRateLimit(), 1_000.0, 1_200.0)
    assert limits.next_send_at(TARGET, 1_300.0) == -inf


def test_an_unusable_limit_leaves_the_previous_one_in_force() -> None:
    limits = make_limits()
    limits.record_response("t0", NamedRateLimit(2.0), 0.0, 300.0)
    assert not limits.record_response("t0", UnusableRateLimit("-1"), 1_000.0, 1_300.0)
    assert limits.next_send_at(TARGET, 1_300.0) > -inf


def test_a_limit_holds_after_its_target_was_listed_anew() -> None:
    placement = make_placement(TARGET)
    placement.rate_limits.record_response("t0", NamedRateLimit(0.5), 0.0, 100.0)
    placement.set_targets((), 200.0)
    placement.set_targets((TARGET,), 300.0)
    assert not isinstance(placement.place(make_profile(now=300.0), frozenset(), 300.0), Place)


def test_an_older_report_does_not_replace_what_is_known() -> None:
    limits = make_limits()
    limits.record_response("t0", NamedRateLimit(2.0), 0.0, 300.0)
    limits.record_response("t0", NoRateLimit(), 2_000.0, 2_200.0)
    limits.receive({"t0": RateLimitReport(2.0, 1_500.0)}, "e1", 2_300.0)
    assert limits.next_send_at(TARGET, 2_400.0) == -inf
    limits.receive({"t0": RateLimitReport(1.0, 100.0)}, "e1", 2_500.0)
    assert limits.next_send_at(TARGET, 2_600.0) > -inf


def test_an_entry_repeats_only_what_it_learnt_from_responses() -> None:
    limits = make_limits()
    limits.receive({"t1": RateLimitReport(1.0, 0.0)}, "e1", 100.0)
    limits.record_response("t0", NamedRateLimit(2.0), 0.0, 200.0)
    assert limits.reports(False, 250.0) == {"t0": RateLimitReport(2.0, 50)}
    assert limits.reports(False, 300.0) is None
    assert limits.reports(True, 300.0) == {"t0": RateLimitReport(2.0, 100)}
    limits.receive({"t0": RateLimitReport(2.0, 0.0)}, "e1", 400.0)
    assert limits.reports(True, 500.0) is None


def test_a_request_that_no_limit_permits_in_time_is_rejected_at_once() -> None:
    placement = make_placement(TARGET)
    limits = placement.rate_limits
    limits.record_response("t0", NamedRateLimit(1.0), 0.0, 100.0)
    limits.next_send_at(TARGET, 100.0)
    limits.record_start("t0", 4_000.0)
    decision = placement.place(make_profile(now=4_000.0), frozenset(), 4_000.0)
    assert isinstance(decision, Reject)
    assert decision.reason == "limited"
    next_at = limits.next_send_at(TARGET, 4_000.0)
    soon = next_at - 50.0
    assert placement.decide(make_profile(now=soon), frozenset(), soon) == Wait(next_at)


def test_other_targets_are_used_while_one_is_limited() -> None:
    placement = make_placement(TARGET, make_target(2, slots=100))
    placement.rate_limits.record_response("t0", NamedRateLimit(0.2), 0.0, 100.0)
    names = []
    for step in range(40):
        now = 200.0 + 50.0 * step
        decision = placement.place(make_profile(now=now), frozenset(), now)
        assert isinstance(decision, Place)
        placement.record_start(decision.name, now)
        names.append(decision.name)
    assert names.count("t0") <= 1


def test_an_entry_that_loses_its_part_before_its_first_request_sends_none() -> None:
    pacer = Pacer()
    pacer.set_interval(1_000.0, Random(1), 0.0)
    pacer.set_interval(inf, Random(1), 100.0)
    assert pacer.next_at == inf
