import asyncio
from random import Random

from cactusvane.clock import Clock
from cactusvane.fleet.vm import Address, Vm
from cactusvane.outcome import Outcome
from cactusvane.slots.admission_queue import AdmissionQueue
from cactusvane.slots.entry import EntrySlots
from cactusvane.slots.messages import FleetSizeChanged, TargetsInUse

TARGET = Vm("t0", Address("10.0.0.1", 1), "Gobabis", service="records")


def make_queue() -> AdmissionQueue:
    queue = AdmissionQueue(EntrySlots("Gobabis", 1, Random(1)), Clock())
    queue.handle(TargetsInUse((TARGET,)))
    queue.handle(FleetSizeChanged(1))
    queue.slots.shed_share = 1.0
    return queue


def test_a_caller_that_disconnects_while_it_waits_leaves_no_state() -> None:
    async def scenario() -> None:
        queue = make_queue()
        deadline = queue.clock.now() + 60_000.0
        running = queue.open(deadline, frozenset(), True)
        assert await queue.wait(running) == TARGET.address
        disconnected = queue.open(deadline, frozenset(), True)
        waiter = asyncio.ensure_future(queue.wait(disconnected))
        await asyncio.sleep(0)
        waiter.cancel()
        queue.withdraw(disconnected)
        queue.end(running, Outcome.SERVED, 5.0)
        queue.withdraw(disconnected)
        assert queue.tickets == {}
        assert queue.slots.uncredited == 0
        assert not queue.slots.queue

    asyncio.run(scenario())


def test_the_slot_of_a_withdrawn_request_goes_to_the_next() -> None:
    async def scenario() -> None:
        queue = make_queue()
        deadline = queue.clock.now() + 60_000.0
        first = queue.open(deadline, frozenset(), True)
        second = queue.open(deadline, frozenset(), True)
        assert second.target is None
        queue.withdraw(first)
        assert await queue.wait(second) == TARGET.address

    asyncio.run(scenario())


def test_a_request_without_a_slot_before_its_deadline_is_rejected() -> None:
    async def scenario() -> None:
        queue = make_queue()
        queue.open(queue.clock.now() + 60_000.0, frozenset(), True)
        late = queue.open(queue.clock.now() + 50.0, frozenset(), True)
        assert await asyncio.wait_for(queue.wait(late), 20) is None

    asyncio.run(scenario())
