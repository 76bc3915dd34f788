"""Rate limits of targets, with 40 entries that share them by datagrams."""

import asyncio

from tests.adapter.limited import LimitedFleet
from tests.adapter.test_process import send_request

ZONES = {"estrie": 16, "monteregie": 16, "beauce": 8}
PER_S = 45.0
RUSH_PER_S = 90.0


async def play_limits(fleet: LimitedFleet) -> None:
    """Two targets name limits, one changes its own; a rush, losses and restarts meanwhile."""
    first, second = fleet.limited[0], fleet.limited[1]
    await fleet.call_for(2.0, PER_S)
    first.name_limit(1.3)
    second.name_limit(2.1)
    await fleet.call_for(3.0, PER_S)
    fleet.lose_datagrams(0.1)
    restarts = [asyncio.ensure_future(fleet.restart(each)) for each in fleet.processes[:20:5]]
    await fleet.call_for(2.0, PER_S)
    await fleet.call_for(3.0, RUSH_PER_S)
    await asyncio.gather(*restarts)
    second.name_limit(0.8)
    await fleet.call_for(6.0, PER_S)


def test_all_entries_together_exceed_the_rate_limit_of_no_target() -> None:
    """Each entry by itself stays below a limit that the sum of all would exceed."""
    fleet = LimitedFleet(ZONES, targets=11, seed=1)

    async def scenario() -> None:
        await fleet.start_all()
        await play_limits(fleet)
        await fleet.finish()

    asyncio.run(scenario())
    assert [each for target in fleet.limited[:2] for each in target.excesses()] == []
    assert fleet.served > 0.97 * fleet.sent


def test_a_limit_is_passed_on_and_ends_only_with_a_successful_response_without_it() -> None:
    fleet = LimitedFleet({"estrie": 1}, targets=1, seed=1)
    (target,) = fleet.limited

    async def scenario() -> None:
        await fleet.start_all()
        (process,) = fleet.processes
        limits = process.domain.rate_limits
        target.name_limit(1_000.0)
        response = await send_request(process)
        assert response.header(b"server-limit") == b"1000.000"
        assert limits.is_limited("i0")
        target.name_limit(None)
        await asyncio.sleep(0.6)
        for reply, limited in (("error", True), ("shed", True), ("foreign", True), ("ok", False)):
            target.reply = reply
            await send_request(process, request=f"q-{reply}")
            assert limits.is_limited("i0") is limited
        await fleet.finish()

    asyncio.run(scenario())
