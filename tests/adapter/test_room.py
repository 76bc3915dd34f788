"""Processes of two failure domains that report their free slots to each other."""

from cactusvane.fleet_settings import FleetLimits
from cactusvane.placement.retries import RetryLimit
from cactusvane.placement.settings import PlacementSettings
from tests.adapter.test_process import FOLLOW, Fleet, run_scenario, until

ZONES = ("gobabis", "witvlei")
SERVICE = "huvo11a"
FREE_SLOTS = 8


def limits(share_room: bool) -> FleetLimits:
    placement = PlacementSettings(share_room=share_room)
    return FleetLimits(RetryLimit(extra=60.0), FOLLOW, placement, failure_domains=ZONES)


def test_free_slots_reach_the_other_failure_domain_without_quotas() -> None:
    """Guards against an exchange of reports that only starts with the first quota."""

    async def scenario(fleet: Fleet) -> None:
        fleet.fleet_limits = limits(share_room=True)
        fleet.configure()
        fleet.list_targets()
        here = await fleet.start_process("e1", zone=ZONES[0])
        there = await fleet.start_process("e2", zone=ZONES[1])
        rooms = there.domain.rooms
        assert rooms is not None
        await until(
            lambda: any(
                each.report.room.get(SERVICE) is not None
                and each.report.room[SERVICE].free_slots == FREE_SLOTS
                for each in rooms.recent(there.clock.now())
            ),
            10.0,
        )
        assert here.group_reports.active

    run_scenario(scenario)


def test_off_no_reports_are_exchanged() -> None:
    """Guards against traffic where free slots are not shared."""

    async def scenario(fleet: Fleet) -> None:
        fleet.fleet_limits = limits(share_room=False)
        process = await fleet.start_process("e1", zone=ZONES[0])
        assert not process.group_reports.active
        assert process.domain.rooms is None

    run_scenario(scenario)
