"""Requests that crash each target which begins to run them, at entries of three failure domains."""

import asyncio

import pytest

from tests.adapter.deadly import CrashingFleet
from tests.adapter.test_process import READ, send_request

ZONES = {"estrie": 6, "monteregie": 6, "beauce": 4}
STABILITY_S = 3.0
"""Time after the third crash in which all entries must know of the request."""

ALLOWED_SENDS = 3
PER_S = 12.0
DEADLY_PER_S = 1.5


@pytest.mark.parametrize("seed", [1, 2])
def test_a_request_that_crashes_targets_is_sent_to_no_more_of_them(seed: int) -> None:
    """It comes again at any entry, also at one that starts later; a tenth of datagrams is lost."""
    fleet = CrashingFleet(ZONES, targets=9, seed=seed)

    async def scenario() -> None:
        await fleet.start_all()
        fleet.lose_datagrams(0.1)
        restarting = asyncio.ensure_future(fleet.restart_crashed())
        others = asyncio.ensure_future(fleet.call_for(14.0, PER_S))
        await fleet.send_deadly(7.0, DEADLY_PER_S)
        await fleet.restart(fleet.processes[0])
        await fleet.send_deadly(7.0, DEADLY_PER_S)
        await others
        restarting.cancel()
        await fleet.finish()

    asyncio.run(scenario())
    assert len(fleet.crashes()) >= 3
    assert fleet.sent_after_third_crash(STABILITY_S) <= ALLOWED_SENDS
    assert fleet.served > 0.9 * fleet.sent


def test_a_caller_whose_request_meets_gray_targets_is_not_rejected() -> None:
    """Three of six targets close half of their connections early, under one request of many."""
    fleet = CrashingFleet({"estrie": 4, "monteregie": 4}, targets=6, seed=1)
    statuses: list[int] = []

    async def scenario() -> None:
        await fleet.start_all()
        for target in fleet.crashing[:3]:
            target.early_close_share = 0.5
        for number in range(150):
            process = fleet.random.choice(fleet.processes)
            response = await send_request(process, READ, time_ms=2_500, request=f"p{number}")
            statuses.append(response.status)
        await fleet.finish()

    asyncio.run(scenario())
    assert statuses.count(503) == 0
    assert statuses.count(200) > 0.9 * len(statuses)
