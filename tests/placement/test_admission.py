"""The order in which waiting requests are placed."""

import asyncio
from dataclasses import replace
from random import Random

from cactusvane.clock import ManualClock
from cactusvane.placement.admission import SharedAdmission, SharedTicket
from cactusvane.placement.domain import Domain
from cactusvane.placement.messages import RequestProfile
from cactusvane.placement.settings import PlacementSettings
from tests.placement.fixtures import LOCAL, make_placement, make_profile


def test_waiting_requests_are_woken_by_customer_then_route_then_deadline() -> None:
    """Guards against a less urgent customer that gets the slot which became free."""

    async def run() -> list[int]:
        domain = Domain("e1", LOCAL, 1, Random(1), PlacementSettings())
        clock = ManualClock()
        admission = SharedAdmission(make_placement(), domain, clock, lambda urgent: None)
        profiles = [
            of_customer(1, make_profile(priority=0, time_ms=100.0)),
            of_customer(0, make_profile(priority=2, time_ms=900.0)),
            of_customer(0, make_profile(priority=1, time_ms=900.0)),
            of_customer(0, make_profile(priority=1, time_ms=800.0)),
        ]
        woken: list[int] = []
        tickets = [SharedTicket(profile, frozenset()) for profile in profiles]

        async def wait(number: int) -> None:
            await admission.wait_for_room(tickets[number], 5_000.0)
            woken.append(number)

        tasks = [asyncio.ensure_future(wait(number)) for number in range(len(tickets))]
        await asyncio.sleep(0)
        admission.wake()
        await asyncio.gather(*tasks)
        return woken

    assert asyncio.run(run()) == [3, 2, 1, 0]


def of_customer(priority: int, profile: RequestProfile) -> RequestProfile:
    return replace(profile, customer=f"c{priority}", customer_priority=priority)
