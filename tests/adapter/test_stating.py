"""Targets that say that they leave, or want a pause, with real entries."""

import asyncio

import pytest

from tests.adapter.stating import MAX_REQUESTS_IN_PAUSE, StatingFleet, StatingTarget
from tests.adapter.test_process import BOOK, READ, send_request

DRAIN_S = 2.0
"""Time from the notice that a target is leaving until it may get no more requests."""

CALLS_PER_S = 12.0
PAUSE_S = 2.5


async def let_leave(fleet: StatingFleet, target: StatingTarget) -> float:
    """Call until the target has said that it leaves; return the time at which that binds."""
    target.leaving = "1"
    while not target.stated_at:
        await fleet.call_for(0.2, CALLS_PER_S)
    return target.stated_at[0] + DRAIN_S


def late_requests(target: StatingTarget, since: float) -> int:
    return target.count(since, asyncio.get_running_loop().time())


def test_a_target_that_says_it_leaves_gets_no_request_though_its_listing_never_changes() -> None:
    """The store is down meanwhile, comes back from an older copy, and the row is written again."""
    fleet = StatingFleet({"estrie": 3}, targets=4)
    leaving = fleet.stating[0]

    async def scenario() -> None:
        await fleet.start_all()
        due = await let_leave(fleet, leaving)
        await fleet.call_for(3.0, CALLS_PER_S)
        fleet.store.status = 503
        await fleet.call_for(1.0, CALLS_PER_S)
        fleet.store.restore(fleet.store.ver - 2)
        fleet.store.status = 0
        await fleet.call_for(1.0, CALLS_PER_S)
        fleet.store.put("servers", leaving.name, leaving.row(sequence=9))
        await fleet.call_for(2.0, CALLS_PER_S)
        assert late_requests(leaving, due) == 0
        await fleet.finish()

    asyncio.run(scenario())
    assert fleet.served > 0.97 * fleet.sent


@pytest.mark.parametrize("kind", ["started again", "another target"])
def test_what_comes_after_a_leaving_target_is_used(kind: str) -> None:
    """The same name with a later start, or another name at the same address."""
    fleet = StatingFleet({"estrie": 1}, targets=2)
    target = fleet.stating[0]

    async def scenario() -> None:
        await fleet.start_all()
        await let_leave(fleet, target)
        target.leaving = ""
        target.started_ms += 1
        if kind == "another target":
            fleet.store.put("servers", target.name, None)
            target.name = "i9"
        fleet.store.put("servers", target.name, target.row())
        await asyncio.sleep(0.5)
        since = asyncio.get_running_loop().time()
        await fleet.call_for(3.0, CALLS_PER_S)
        assert late_requests(target, since) > 5
        await fleet.finish()

    asyncio.run(scenario())


@pytest.mark.parametrize("value", ["0", "", "yes", "1, 1", "11"])
def test_only_the_value_1_says_that_a_target_leaves(value: str) -> None:
    fleet = StatingFleet({"estrie": 1}, targets=1)
    (target,) = fleet.stating

    async def scenario() -> None:
        await fleet.start_all()
        target.leaving = value or " "
        for number in range(3):
            response = await send_request(fleet.processes[0], request=f"q{number}")
            assert response.status == 200
        await fleet.finish()

    asyncio.run(scenario())


@pytest.mark.parametrize("targets", [1, 2, 4])
def test_a_target_that_asks_for_a_pause_gets_two_requests_in_it_at_most(targets: int) -> None:
    """One of the targets answers every request so; with one target there is no other."""
    fleet = StatingFleet({"estrie": 1}, targets=targets)
    target = fleet.stating[0]

    async def scenario() -> None:
        await fleet.start_all()
        target.pause = str(PAUSE_S)
        await fleet.call_for(3.0 * PAUSE_S, CALLS_PER_S)
        await fleet.finish()

    asyncio.run(scenario())
    assert target.stated_at
    assert target.requests_in_pauses(PAUSE_S) <= MAX_REQUESTS_IN_PAUSE
    if targets > 1:
        assert fleet.served > 0.97 * fleet.sent


@pytest.mark.parametrize("path", [READ, BOOK])
def test_while_all_targets_pause_callers_are_rejected_at_once_and_told_when_to_return(
    path: str,
) -> None:
    fleet = StatingFleet({"estrie": 1}, targets=3)

    async def scenario() -> None:
        await fleet.start_all()
        (process,) = fleet.processes
        for target in fleet.stating:
            target.pause = str(PAUSE_S)
        for number in range(6):
            await send_request(process, path, time_ms=2_500, request=f"q{number}")
        loop = asyncio.get_running_loop()
        begin = loop.time()
        response = await send_request(process, path, time_ms=2_500, request="late")
        assert loop.time() - begin < 0.2
        assert response.status == 503
        assert b'"not-run"' in response.body
        assert 0.0 < float(response.header(b"retry-after") or b"0") <= PAUSE_S
        await fleet.finish()

    asyncio.run(scenario())
    assert all(
        target.requests_in_pauses(PAUSE_S) <= MAX_REQUESTS_IN_PAUSE for target in fleet.stating
    )
