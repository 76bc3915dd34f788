"""Nodes of several VMs in one process, connected by gRPC over loopback."""

import asyncio
from contextlib import suppress
from random import Random

import grpc
import pytest

from cactusvane.clock import Clock
from cactusvane.configuration.follower import ConfigurationFollower
from cactusvane.configuration.model import Configuration, Head, Route, Service
from cactusvane.configuration.tree import build_tree
from cactusvane.fleet.vm import Address, Vm
from cactusvane.keeper_entry import KeeperEntry
from cactusvane.metrics import Recorder
from cactusvane.outcome import Outcome
from cactusvane.peers.cell import ToAll
from cactusvane.peers.messages import ServiceEjection
from cactusvane.peers.node import Node
from cactusvane.pool.messages import AttemptEnded, Ejection, ReportEvidence, TargetCounts
from cactusvane.settings import Settings
from tests.fakes import FakePlatform
from tests.processes.harness import free_port

DOMAINS = ("Gobabis", "Witvlei", "Leonardville")
SERVICE = Service(
    "records", ("a",), (Route("/", ("GET",), True, "read"),), targets=2, floor=1, slots=2
)
CONFIGURATION = Configuration((SERVICE,))
TARGETS = tuple(
    Vm(f"t{n}", Address("127.0.0.1", 9 + n), DOMAINS[n], service="records") for n in range(2)
)


class FleetVm:
    def __init__(self, number: int, platform: FakePlatform) -> None:
        address = Address("127.0.0.1", free_port())
        unused = Address("127.0.0.1", 1)
        self.settings = Settings(
            f"vm-{number}", DOMAINS[number % 3], unused, address, unused, unused, seed=number
        )
        clock = Clock()
        self.entry = KeeperEntry(self.settings, clock, Random(number), Recorder())
        self.follower = ConfigurationFollower(self.settings, platform, clock)
        self.node = Node(self.settings, clock, self.entry, self.follower)
        self.follower.on_change.append(self.entry.configure)
        self.follower.on_change.append(self.node.configure)

    async def start(self, vms: tuple[Vm, ...]) -> None:
        await self.node.start()
        self.node.update_vms(vms)
        self.entry.update_vms(vms)

    def knows_leaving(self, target: Address) -> bool:
        pool = self.entry.keeper_placer.services["records"].pool
        return pool.targets[target].leaving


async def wait_for(condition: object) -> None:
    async with asyncio.timeout(20):
        while not condition():  # type: ignore[operator]
            await asyncio.sleep(0.02)


class Fleet:
    def __init__(self, size: int) -> None:
        self.platform = FakePlatform()
        self.vms = [FleetVm(number, self.platform) for number in range(size)]

    async def __aenter__(self) -> "Fleet":
        listed = tuple(vm.node.own_vm() for vm in self.vms) + TARGETS
        for vm in self.vms:
            await vm.start(listed)
        return self

    async def __aexit__(self, *_: object) -> None:
        await asyncio.gather(*(vm.node.stop() for vm in self.vms))

    async def configure(self) -> None:
        tree = build_tree(CONFIGURATION)
        head = Head(1, tree.digest, "p")
        for part in tree.digests():
            self.platform.store.objects[part] = tree.find(part) or b""
        for vm in self.vms[:2]:
            vm.follower.offer(head, DOMAINS[0])
            vm.follower.offer(head, DOMAINS[1])
            await wait_for(lambda vm=vm: vm.follower.configuration)
        self.platform.store.objects.clear()

    def keeper(self) -> FleetVm:
        name = self.vms[0].node.keepers["records"].name
        return next(vm for vm in self.vms if vm.settings.vm == name)

    def settled(self) -> bool:
        return all(
            vm.follower.configuration
            and vm.entry.keeper_placer.services["records"].queue.slots.keeper_reachable
            for vm in self.vms
        )


def test_configuration_spreads_between_vms_while_the_store_is_empty():
    async def scenario() -> None:
        async with Fleet(4) as fleet:
            await fleet.configure()
            await wait_for(fleet.settled)
            assert {vm.follower.configuration for vm in fleet.vms} == {CONFIGURATION}
            assert {vm.node.keepers["records"].name for vm in fleet.vms} == {
                fleet.keeper().settings.vm
            }

    asyncio.run(scenario())


def test_keeper_receives_evidence_and_sends_an_ejection_to_every_vm():
    async def scenario() -> None:
        async with Fleet(4) as fleet:
            await fleet.configure()
            await wait_for(fleet.settled)
            keeper = fleet.keeper()
            target = TARGETS[0].address
            report = ReportEvidence("records", (TargetCounts(target, failed=1),))
            for vm in fleet.vms:
                vm.node.send_report(report)
            cell = keeper.node.cells["records"]
            await wait_for(lambda: len(cell.evidence.observers) == 4)
            ejection = Ejection(target, (), 5_000.0, 4_000.0, False, 1.0, "test")
            cell.handle_evidence_event = lambda event, now: ()  # type: ignore[method-assign]
            keeper.node.execute_cell_commands((ToAll(ServiceEjection("records", ejection)),))
            pools = [vm.entry.keeper_placer.services["records"].pool for vm in fleet.vms]
            await wait_for(lambda: all(pool.ejected == {target} for pool in pools))

    asyncio.run(scenario())


def test_a_waiting_request_gets_a_credit_when_a_slot_is_returned():
    async def scenario() -> None:
        async with Fleet(3) as fleet:
            await fleet.configure()
            await wait_for(fleet.settled)
            queues = [vm.entry.keeper_placer.services["records"].queue for vm in fleet.vms]
            deadline = fleet.vms[0].entry.clock.now() + 60_000.0
            for queue in queues:
                queue.slots.shed_share = 1.0
            queue = queues[0]
            tickets = [queue.open(deadline, frozenset(), True) for _ in range(5)]
            await wait_for(lambda: sum(ticket.target is not None for ticket in tickets) == 4)
            waiting = next(ticket for ticket in tickets if ticket.target is None)
            running = next(ticket for ticket in tickets if ticket.target is not None)
            queue.end(running, Outcome.SERVED, 5.0)
            assert await asyncio.wait_for(queue.wait(waiting), 20) is not None

    asyncio.run(scenario())


def test_another_vm_keeps_the_cell_after_its_keeper_stops():
    async def scenario() -> None:
        async with Fleet(4) as fleet:
            await fleet.configure()
            await wait_for(fleet.settled)
            keeper = fleet.keeper()
            fleet.vms.remove(keeper)
            await keeper.node.stop()
            name = keeper.settings.vm
            await wait_for(lambda: all(vm.node.keepers["records"].name != name for vm in fleet.vms))
            await wait_for(fleet.settled)

    asyncio.run(scenario())


def test_a_targets_leaving_is_known_to_all_though_the_first_report_was_lost():
    """The report of a draining response was sent once, and dropped while the stream was closed."""

    async def scenario() -> None:
        async with Fleet(3) as fleet:
            await fleet.configure()
            await wait_for(fleet.settled)
            keeper = fleet.keeper()
            reporter = next(vm for vm in fleet.vms if vm is not keeper)
            (link,) = reporter.node.links.values()
            link.is_open = False
            target = TARGETS[0].address
            placer = reporter.entry.keeper_placer
            pool = placer.services["records"].pool
            placer.handle(pool, AttemptEnded(target, Outcome.DRAINING, 5.0))
            link.is_open = True
            await wait_for(lambda: all(vm.knows_leaving(target) for vm in fleet.vms))

    asyncio.run(scenario())


def test_a_targets_leaving_is_known_to_a_vm_that_connects_later():
    async def scenario() -> None:
        async with Fleet(3) as fleet:
            await fleet.configure()
            await wait_for(fleet.settled)
            keeper = fleet.keeper()
            reporter, late = (vm for vm in fleet.vms if vm is not keeper)
            (link,) = late.node.links.values()
            link.on_message = lambda message: None
            target = TARGETS[0].address
            placer = reporter.entry.keeper_placer
            pool = placer.services["records"].pool
            placer.handle(pool, AttemptEnded(target, Outcome.DRAINING, 5.0))
            await wait_for(lambda: keeper.knows_leaving(target))
            await asyncio.sleep(0.2)
            (peer,) = late.node.links
            await late.node.links.pop(peer).close()
            late.node.update_links()
            await wait_for(lambda: late.knows_leaving(target))

    asyncio.run(scenario())


def test_vm_list_is_fetched_from_a_peer():
    async def scenario() -> None:
        async with Fleet(2) as fleet:
            late = FleetVm(2, fleet.platform)
            late.settings = late.node.settings = Settings(
                **{
                    **{f: getattr(late.settings, f) for f in late.settings.__slots__},
                    "peers": (fleet.vms[0].settings.peer,),
                }
            )
            await late.node.start()
            fleet.vms.append(late)
            vms = await late.node.fetch_list()
            assert vms is not None
            assert set(TARGETS) <= set(vms)
            await wait_for(lambda: len(late.node.membership.live()) == 3)

    asyncio.run(scenario())


@pytest.mark.parametrize("data", [b"", b"\xff\xff\xff", b"\x0a\x02\x08\x01"])
def test_invalid_messages_from_a_peer_are_dropped(data):
    async def scenario() -> None:
        async with Fleet(1) as fleet:
            peer = fleet.vms[0].settings.peer
            async with grpc.aio.insecure_channel(str(peer)) as channel:
                call = channel.unary_unary("/cactusvane.peers.Peers/Gossip")
                with suppress(grpc.RpcError):
                    assert await call(data, timeout=5) == b""
            assert len(fleet.vms[0].node.membership.members) >= 1

    asyncio.run(scenario())
