"""The order in which waiting requests are placed."""

import asyncio
from dataclasses import replace
from random import Random

from cactusvane.clock import ManualClock
from cactusvane.placement.admission import SharedAdmission, SharedTicket
from cactusvane.placement.domain import Domain
from cactusvane.placement.fair_share import ServiceShares
from cactusvane.placement.messages import RequestProfile
from cactusvane.placement.settings import PlacementSettings
from tests.placement.fixtures import LOCAL, make_placement, make_profile, make_target


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


def test_among_equals_a_customer_within_its_share_is_woken_first() -> None:
    """Guards against a hot customer that gets the slot which became free by earlier deadlines."""

    async def run() -> list[str]:
        domain = Domain("e1", LOCAL, 1, Random(1), PlacementSettings())
        placement = make_placement(make_target(0, slots=2))
        placement.targets["t0"].peer_load = 2
        placement.shares = ServiceShares({}, lambda now: None)
        placement.shares.peers.add("hot", 800)
        admission = SharedAdmission(placement, domain, ManualClock(), lambda urgent: None)
        woken: list[str] = []

        async def wait(customer: str, time_ms: float) -> None:
            profile = replace(make_profile(time_ms=time_ms), customer=customer)
            await admission.wait_for_room(SharedTicket(profile, frozenset()), 5_000.0)
            woken.append(customer)

        waiting = (("hot", 700.0), ("small", 900.0))
        tasks = [asyncio.ensure_future(wait(*each)) for each in waiting]
        await asyncio.sleep(0)
        admission.wake()
        await asyncio.gather(*tasks)
        return woken

    assert asyncio.run(run()) == ["small", "hot"]


def test_an_attempt_counts_as_work_of_its_customer_until_it_ends() -> None:
    """Guards against work that stays counted after a failure or a cancelled request."""

    async def run() -> None:
        domain = Domain("e1", LOCAL, 1, Random(1), PlacementSettings())
        placement = make_placement(make_target(0))
        shares = placement.shares = ServiceShares({}, lambda now: None)
        admission = SharedAdmission(placement, domain, ManualClock(), lambda urgent: None)
        ticket = admission.open(replace(make_profile(), customer="a"), frozenset())
        await admission.wait(ticket)
        assert shares.own.by_customer == {"a": 400}
        admission.withdraw(ticket)
        assert shares.own.by_customer == {}

    asyncio.run(run())


def of_customer(priority: int, profile: RequestProfile) -> RequestProfile:
    return replace(profile, customer=f"c{priority}", customer_priority=priority)
