"""Quotas kept by entries of three failure domains, with delays, losses and failures."""

from collections.abc import Callable

import pytest

from tests.quota.replay import Load, QuotaReplay, make_load, zipf_loads

ENTRIES = 16
CUSTOMERS = 79
TOTAL_PER_S = 290.0
LENGTH_MS = 16_000.0
HOT = ("c0", "c1", "c2")
MAX_REJECTED_SHARE = 0.01


def make_replay(*hot: str, seed: int = 1, entries: int = ENTRIES) -> QuotaReplay:
    return QuotaReplay(zipf_loads(CUSTOMERS, TOTAL_PER_S, *hot), seed, entries)


def cut_domain(replay: QuotaReplay, begin: float, end: float) -> None:
    replay.at(begin, lambda: replay.cut.add("z2"))
    replay.at(end, lambda: replay.cut.discard("z2"))


def end_relays(replay: QuotaReplay) -> None:
    def end(vm: str) -> None:
        replay.nodes[vm].running = False

    replay.at(6_000.0, lambda: end("z0-00"))
    replay.at(7_000.0, lambda: end("z1-00"))


def freeze_entries(replay: QuotaReplay) -> None:
    def freeze() -> None:
        for vm in ("z0-00", "z0-05", "z1-07"):
            replay.freeze(replay.nodes[vm], 4_000.0)

    replay.at(5_000.0, freeze)


def freeze_domain(replay: QuotaReplay) -> None:
    def freeze() -> None:
        for node in replay.nodes.values():
            if node.domain == "z1":
                replay.freeze(node, 4_000.0)

    replay.at(5_000.0, freeze)


def make_deaf(replay: QuotaReplay) -> None:
    node = replay.nodes["z0-03"]
    replay.at(5_000.0, lambda: setattr(node, "deaf", True))
    replay.at(10_000.0, lambda: setattr(node, "deaf", False))


def make_mute(replay: QuotaReplay) -> None:
    node = replay.nodes["z0-03"]
    replay.at(5_000.0, lambda: setattr(node, "mute", True))
    replay.at(10_000.0, lambda: setattr(node, "mute", False))


def restart_all(replay: QuotaReplay) -> None:
    def restart() -> None:
        for node in list(replay.nodes.values()):
            replay.start_node(node.vm, node.domain, False)

    replay.at(6_000.0, restart)


def restart_in_turn(replay: QuotaReplay) -> None:
    for number in range(10):
        vm = f"z0-{number + 1:02}"
        replay.at(5_000.0 + 400.0 * number, lambda vm=vm: replay.start_node(vm, "z0", False))  # type: ignore[misc]


def lower_limit(replay: QuotaReplay) -> None:
    replay.at(7_000.0, lambda: replay.lower_limit("c0", 0.5))


@pytest.mark.parametrize("seed", [1, 2])
def test_customers_below_their_limits_are_not_rejected(seed: int) -> None:
    """Guards against rejections by chance arrivals, or by usage that is counted twice."""
    replay = make_replay(seed=seed, entries=37)
    replay.run(LENGTH_MS)
    small = [name for name, load in replay.loads.items() if load.usual_per_s < 1.0]
    assert replay.rejected_share(*replay.loads) <= MAX_REJECTED_SHARE
    assert replay.rejected_share(*small) <= MAX_REJECTED_SHARE
    assert replay.excesses() == {}


@pytest.mark.parametrize("hot", [("c0",), HOT])
def test_hot_customers_get_their_limit_and_others_are_not_rejected(hot: tuple[str, ...]) -> None:
    """Guards against an overshoot by late usage, and against loss of what is within the limit."""
    replay = make_replay(*hot, entries=37)
    replay.run(LENGTH_MS)
    assert replay.excesses() == {}
    others = [name for name in replay.loads if name not in hot]
    assert replay.rejected_share(*others) <= MAX_REJECTED_SHARE
    for name in hot:
        admitted = sum(6_000.0 <= at < 10_500.0 for at in replay.tallies[name].admitted)
        assert admitted >= 0.9 * 4.5 * replay.loads[name].customer.rate_per_s


def test_many_small_customers_beside_two_large_ones() -> None:
    """Guards against rejections of customers whose burst is less than two requests."""
    loads: list[Load] = [make_load(f"small{number}", 0.5) for number in range(150)]
    loads += [make_load("large0", 60.0, 7.5), make_load("large1", 60.0)]
    replay = QuotaReplay(loads, 3, ENTRIES)
    replay.run(LENGTH_MS)
    assert replay.excesses() == {}
    small = [name for name in replay.loads if name.startswith("small")]
    assert replay.rejected_share(*small) <= MAX_REJECTED_SHARE
    assert replay.rejected_share("large1") <= MAX_REJECTED_SHARE


@pytest.mark.parametrize(
    "fault",
    [
        end_relays,
        freeze_entries,
        freeze_domain,
        make_deaf,
        make_mute,
        restart_all,
        restart_in_turn,
        lower_limit,
        lambda replay: cut_domain(replay, 5_000.0, 9_000.0),
        lambda replay: cut_domain(replay, 2_000.0, 14_000.0),
    ],
    ids=[
        "relays end",
        "entries frozen",
        "domain frozen",
        "entry receives nothing",
        "entry sends nothing",
        "all restart",
        "restarts in turn",
        "limit lowered",
        "domain cut off 4 s",
        "domain cut off 12 s",
    ],
)
def test_no_window_exceeds_its_limit_with_failures(fault: Callable[[QuotaReplay], None]) -> None:
    """Guards against entries out of contact that together admit more than the quota."""
    replay = make_replay(*HOT)
    fault(replay)
    replay.run(LENGTH_MS)
    assert replay.excesses() == {}
    assert sum(len(tally.admitted) for tally in replay.tallies.values()) > 0


def test_a_lost_failure_domain_costs_few_requests_of_customers_below_their_limits() -> None:
    """Guards against a third of each quota being withheld for entries that have ended."""
    replay = make_replay()

    def end() -> None:
        for node in replay.nodes.values():
            node.running = node.running and node.domain != "z1"

    replay.at(5_000.0, end)
    replay.run(LENGTH_MS)
    assert replay.rejected_share(*replay.loads) <= MAX_REJECTED_SHARE
