import asyncio

from cactusvane.clock import ManualClock
from cactusvane.configuration.digest import digest
from cactusvane.configuration.follower import ConfigurationFollower
from cactusvane.configuration.merge import Change
from cactusvane.configuration.model import Configuration, Head
from cactusvane.configuration.publish import publish
from cactusvane.configuration.tree import build_tree
from cactusvane.configuration.versions import HeadRead
from cactusvane.fleet.vm import Address
from cactusvane.settings import Settings
from standins.store import Faults
from tests.configuration.test_publish import service
from tests.fakes import FakePlatform

HERE = Address("127.0.0.1", 1)


def follower(platform: FakePlatform) -> ConfigurationFollower:
    settings = Settings("vm-1", "Gobabis", HERE, HERE, HERE, HERE)
    return ConfigurationFollower(settings, platform, ManualClock())


async def finish_tasks(follower: ConfigurationFollower) -> None:
    while follower.tasks:
        await asyncio.gather(*follower.tasks)


def test_published_version_becomes_active():
    async def run() -> None:
        platform = FakePlatform()
        await publish(platform, Change((service("a"),)), "p1")
        vm = follower(platform)
        changes: list[Configuration] = []
        vm.on_change.append(changes.append)
        await vm.read()
        await finish_tasks(vm)
        await vm.read()
        assert changes == [Configuration((service("a"),))]
        assert vm.head is not None
        assert vm.head.version == 1

    asyncio.run(run())


def test_vm_gets_its_first_version_from_peers_while_the_store_is_down():
    async def run() -> None:
        platform = FakePlatform()
        platform.faults = Faults(down=True)
        vm = follower(platform)
        tree = build_tree(Configuration((service("a"),)))
        head = Head(7, tree.digest, "p7")

        async def peers(wanted: str, sources: tuple[Address, ...]) -> bytes | None:
            return tree.find(wanted) if Address("127.0.0.2", 2) in sources else b"wrong"

        vm.fetch_from_peers = peers
        await vm.read()
        vm.offer(head, "Gobabis", Address("127.0.0.2", 2))
        assert vm.head is None
        vm.offer(head, "Witvlei", Address("127.0.0.3", 2))
        await finish_tasks(vm)
        assert vm.head == head
        assert vm.find(tree.digest) == tree.find(tree.digest)

    asyncio.run(run())


def test_object_that_cannot_be_decoded_is_not_activated():
    async def run() -> None:
        platform = FakePlatform()
        head = Head(1, digest(b"{}}"), "p1")
        await platform.put_object(head.digest, b"{}}")
        vm = follower(platform)
        vm.handle(HeadRead(head))
        await finish_tasks(vm)
        assert vm.head is None

    asyncio.run(run())


def test_reads_of_a_large_fleet_stay_within_the_limit():
    vm = follower(FakePlatform())
    vm.vms = 5_700
    intervals = [vm.next_interval_ms() for _ in range(1_000)]
    rate = 5_700 * 1_000.0 / (sum(intervals) / len(intervals))
    assert rate < 220.0
