import asyncio
from random import Random

from cactusvane.clock import Clock
from cactusvane.fleet.vm import Address, Vm
from cactusvane.outcome import Outcome
from cactusvane.slots.entry import EntrySlots
from cactusvane.slots.gate import Gate
from cactusvane.slots.messages import FleetSizeChanged, TargetsInUse

TARGET = Vm("t0", Address("10.0.0.1", 1), "Gobabis", service="records")


def make_gate() -> Gate:
    gate = Gate(EntrySlots("Gobabis", 1, Random(1)), Clock())
    gate.tell(TargetsInUse((TARGET,)))
    gate.tell(FleetSizeChanged(1))
    gate.slots.shed_share = 1.0
    return gate


def test_a_caller_that_goes_away_while_it_waits_leaves_nothing_behind() -> None:
    async def scenario() -> None:
        gate = make_gate()
        deadline = gate.clock.now() + 60_000.0
        running = gate.open(deadline, frozenset(), True)
        assert await gate.wait(running) == TARGET.address
        gone = gate.open(deadline, frozenset(), True)
        waiter = asyncio.ensure_future(gate.wait(gone))
        await asyncio.sleep(0)
        waiter.cancel()
        gate.withdraw(gone)
        gate.end(running, Outcome.SERVED, 5.0)
        gate.withdraw(gone)
        assert gate.tickets == {}
        assert gate.slots.uncredited == 0
        assert not gate.slots.queue

    asyncio.run(scenario())


def test_a_place_given_back_unused_goes_to_the_next() -> None:
    async def scenario() -> None:
        gate = make_gate()
        deadline = gate.clock.now() + 60_000.0
        first = gate.open(deadline, frozenset(), True)
        second = gate.open(deadline, frozenset(), True)
        assert second.target is None
        gate.withdraw(first)
        assert await gate.wait(second) == TARGET.address

    asyncio.run(scenario())


def test_no_room_before_the_deadline_is_refused() -> None:
    async def scenario() -> None:
        gate = make_gate()
        gate.open(gate.clock.now() + 60_000.0, frozenset(), True)
        late = gate.open(gate.clock.now() + 50.0, frozenset(), True)
        assert await asyncio.wait_for(gate.wait(late), 20) is None

    asyncio.run(scenario())
