"""A store that comes back from an older copy, with real entries of three failure domains."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from tests.adapter.restored import WATCH_INTERVAL_S, RestoredFleet, cut_off

CALLS_PER_S = 12.0
BUSY_CALLS_PER_S = 80.0
DRAIN_S = 2.0
"""Time from the notice that a target is leaving until it may get no more requests."""

KNOWN_S = 1.5
"""Time in which a removal is known at all entries; the drain timeout less a request's way."""

REREGISTRATION_S = 1.9
REGISTRATION_S = 5.0
LOST_WRITES = 9
ZONES = {"estrie": 3, "monteregie": 3, "beauce": 2}
OUTAGE_S = 1.0

Scenario = Callable[[RestoredFleet], Awaitable[None]]


def run_scenario(scenario: Scenario, zones: dict[str, int] = ZONES) -> RestoredFleet:
    """Run a scenario with started entries, and return the fleet with what it recorded."""
    fleet = RestoredFleet(zones)

    async def run() -> None:
        await fleet.start_all()
        fleet.publish()
        await scenario(fleet)
        await fleet.finish()

    asyncio.run(run())
    return fleet


async def restore(fleet: RestoredFleet, writes: int) -> None:
    """Make the store go down and come back without its latest writes."""
    fleet.store.status = 503
    await asyncio.sleep(OUTAGE_S)
    fleet.go_back(writes)
    fleet.store.status = 0


async def publish_many(fleet: RestoredFleet) -> int:
    """Publish more configurations than are written again, and return the last version."""
    version = [fleet.publish() for _ in range(LOST_WRITES)][-1]
    assert await fleet.behind_in_time(version) == []
    return version


def test_a_configuration_acknowledged_after_a_restore_is_active_in_time() -> None:
    """Its version in the store is one that the store had given out before the restore."""

    async def scenario(fleet: RestoredFleet) -> None:
        await publish_many(fleet)
        await restore(fleet, LOST_WRITES)
        await asyncio.sleep(0.5)
        version = fleet.publish()
        assert await fleet.behind_in_time(version) == []

    assert run_scenario(scenario).regressions() == []


def test_an_entry_that_hears_only_other_entries_follows_a_restored_store() -> None:
    """The versions that it knows are higher than those of the entries that read the store."""

    async def scenario(fleet: RestoredFleet) -> None:
        await publish_many(fleet)
        fleet.store.status = 503
        cut_off(fleet.processes[0])
        await asyncio.sleep(OUTAGE_S)
        fleet.go_back(LOST_WRITES)
        fleet.store.status = 0
        await asyncio.sleep(0.5)
        fleet.write_again()
        version = fleet.publish()
        assert await fleet.behind_in_time(version) == []

    assert run_scenario(scenario).regressions() == []


def test_a_target_that_left_gets_no_request_after_its_row_came_back() -> None:
    """The restored copy lists one target as ready that had left, and one that was leaving."""

    async def scenario(fleet: RestoredFleet) -> None:
        left, leaving = fleet.limited[:2]
        await fleet.call_for(1.0, CALLS_PER_S)
        fleet.store.put("servers", left.name, None)
        fleet.store.put("servers", leaving.name, leaving.row(state="draining"))
        await asyncio.sleep(DRAIN_S)
        await restore(fleet, 2)
        since = asyncio.get_running_loop().time()
        for target in fleet.limited[2:]:
            fleet.store.put("servers", target.name, target.row(sequence=9))
        await fleet.call_for(3.0, CALLS_PER_S)
        assert [each.count(since, since + 10.0) for each in (left, leaving)] == [0, 0]
        assert fleet.served > 0.97 * fleet.sent

    run_scenario(scenario)


async def remove_after_restore(fleet: RestoredFleet, restores: int) -> None:
    """Restore the store without a loss, and then remove a target that serves on."""
    leaving = fleet.limited[0]
    await fleet.call_for(1.0, CALLS_PER_S)
    for _ in range(restores):
        await restore(fleet, 0)
        await fleet.call_for(REREGISTRATION_S, CALLS_PER_S)
    fleet.store.put("servers", leaving.name, None)
    removed_at = asyncio.get_running_loop().time()
    await fleet.call_for(DRAIN_S + 0.5, BUSY_CALLS_PER_S)
    late = leaving.count(removed_at + DRAIN_S, removed_at + 10.0)
    last = max(leaving.arrived) - removed_at
    assert (late, last < KNOWN_S) == (0, True), f"{late} late requests, the last after {last:.2f} s"


@pytest.mark.parametrize("restores", [1, 2])
def test_a_target_that_leaves_after_a_restore_without_changed_rows_is_left_at_once(
    restores: int,
) -> None:
    """Guards against retaining it as one that the restored copy lacks."""

    async def scenario(fleet: RestoredFleet) -> None:
        await remove_after_restore(fleet, restores)

    run_scenario(scenario)


def test_an_entry_that_learns_of_such_a_restore_from_others_leaves_the_target_too() -> None:
    """It reaches no store, and hears only the entries of its failure domain."""

    async def scenario(fleet: RestoredFleet) -> None:
        cut_off(fleet.processes[0])
        await remove_after_restore(fleet, 1)

    run_scenario(scenario)


def test_targets_that_the_restored_copy_lacks_are_used_until_they_register_again() -> None:
    """They write their rows up to two seconds after the store is back."""

    async def scenario(fleet: RestoredFleet) -> None:
        fleet.list_targets()
        fleet.publish()
        await fleet.call_for(1.0, CALLS_PER_S)
        fleet.store.restore(0)
        fleet.store.put("op", "config", fleet.configuration)
        await fleet.call_for(REREGISTRATION_S, CALLS_PER_S)
        fleet.list_targets()
        await fleet.call_for(1.0, CALLS_PER_S)
        await asyncio.gather(*fleet.calls)
        assert (fleet.unserved, fleet.rejected) == (0, 0)

    run_scenario(scenario)


def test_an_entry_that_starts_before_the_operator_writes_again_waits_for_the_newest() -> None:
    """The store has an older configuration than the other entries of its failure domain."""

    async def scenario(fleet: RestoredFleet) -> None:
        version = await publish_many(fleet)
        await restore(fleet, 2)
        await asyncio.sleep(0.5)
        await fleet.start_ready("estrie-late", "estrie")
        late = fleet.processes[-1]
        await asyncio.sleep(2 * WATCH_INTERVAL_S)
        assert fleet.ready_versions[late.settings.vm, late.domain.started] == version
        fleet.write_again()
        assert await fleet.behind_in_time(fleet.publish()) == []

    assert run_scenario(scenario).regressions() == []


def test_entries_register_again_when_their_registration_is_lost() -> None:
    async def scenario(fleet: RestoredFleet) -> None:
        registered = len(fleet.registered())
        assert registered == len(fleet.processes)
        fleet.store.restore(0)
        fleet.write_again()
        async with asyncio.timeout(REGISTRATION_S):
            while len(fleet.registered()) < registered:
                await asyncio.sleep(0.1)

    run_scenario(scenario)


def test_no_entry_goes_back_in_two_restores_beside_starts_cuts_and_lost_datagrams() -> None:
    """Each second restore takes away more than was written after the first one."""

    async def scenario(fleet: RestoredFleet) -> None:
        await publish_many(fleet)
        fleet.lose_datagrams(0.1)
        cut = fleet.processes[1]
        sources = [(each, each.source) for each in cut.followers.values()]
        cut_off(cut)
        await restore(fleet, LOST_WRITES)
        started = asyncio.ensure_future(fleet.start_ready("monteregie-late", "monteregie"))
        await asyncio.sleep(0.3)
        fleet.write_again()
        newest = fleet.publish()
        await asyncio.sleep(0.1)
        await restore(fleet, LOST_WRITES)
        for follower, source in sources:
            follower.source = source
        await started
        await asyncio.sleep(0.3)
        await fleet.start_ready("estrie-late", "estrie")
        fleet.write_again()
        assert await fleet.behind_in_time(newest) == []
        assert await fleet.behind_in_time(fleet.publish()) == []
        await fleet.call_for(1.0, CALLS_PER_S)
        await asyncio.gather(*fleet.calls)
        assert fleet.unserved == 0

    assert run_scenario(scenario).regressions() == []
