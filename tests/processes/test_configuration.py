"""An accepted configuration is in force within seconds, never reverts, and races lose nothing."""

import asyncio
import shutil
import time

import msgspec
import pytest

from cactusvane.clock import Clock
from cactusvane.configuration.follower import ConfigurationFollower
from cactusvane.fleet.vm import Address
from cactusvane.settings import Settings
from cactusvane.store.client import HttpPlatform
from tests.processes.harness import fleet
from tests.processes.services import service

BOUND_SECONDS = 5.0
DOMAINS = ("Gobabis", "Witvlei", "Leonardville")
CONFLICT = 4
FOLLOWERS = 48


async def started(running, *files):
    await running.start_platform()
    published = await publish(running, "first", *files)
    assert published.returncode == 0, published.stderr
    for one in files:
        await running.start_target(one.name, "Gobabis")
    for domain in DOMAINS:
        await running.start_entry(domain)


async def publish(running, directory, *files):
    for one in files:
        one.write(running.directory / directory)
    return await running.publish(running.directory / directory, "--json")


async def publish_copy(running, directory, one):
    """Publish from a copy of the first directory, as a second operator's checkout would."""
    shutil.copytree(running.directory / "first", running.directory / directory)
    return await publish(running, directory, one)


async def versions(running, names=()):
    async def version(name):
        return msgspec.json.decode((await running.status(name)).body)["version"]

    names = names or [name for name, entry in running.entries.items() if entry.alive()]
    return [await version(name) for name in names]


async def in_force(running, version):
    """Wait until every entry has at least this version; return the seconds it took."""
    start = time.monotonic()
    while min(await versions(running)) < version:
        assert time.monotonic() - start < BOUND_SECONDS
        await asyncio.sleep(0.05)
    return time.monotonic() - start


async def never_back(running, names, version, seconds):
    """Watch entries for a while; none may show an older version."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        assert min(await versions(running, names)) >= version
        await asyncio.sleep(0.02)


def renamed(one, host):
    return type(one)({**one.values, "hosts": [host]})


def test_in_force_within_the_bound_and_kept_across_restarts_in_an_outage():
    async def run():
        async with fleet() as running:
            one = service("records", targets=2, floor=1)
            await started(running, one)
            published = await publish(running, "first", renamed(one, "other.example"))
            version = msgspec.json.decode(published.stdout)["version"]
            taken = await in_force(running, version)
            await running.platform(down=True)
            for name in list(running.entries):
                await running.start_entry(DOMAINS[len(running.entries) % 3])
                running.kill(name)
                assert min(await versions(running)) >= version
            await running.platform()
            await asyncio.sleep(1.5)
            assert min(await versions(running)) >= version
            return taken

    print(f"in force after {asyncio.run(run()):.2f} s")


def test_a_stale_peer_catches_up_in_an_outage_and_takes_nobody_back():
    async def run():
        async with fleet() as running:
            one = service("records", targets=2, floor=1)
            await started(running, one)
            with running.frozen("entry-0"):
                published = await publish(running, "first", renamed(one, "other.example"))
                version = msgspec.json.decode(published.stdout)["version"]
                others = ["entry-1", "entry-2"]
                while min(await versions(running, others)) < version:
                    await asyncio.sleep(0.05)
                await running.platform(down=True)
            await never_back(running, others, version, seconds=2.0)
            await in_force(running, version)

    asyncio.run(run())


def test_in_force_at_48_followers():
    async def run():
        async with fleet() as running:
            await running.start_platform()
            one = service("records", targets=2, floor=1)
            await publish(running, "first", one)
            address = Address("127.0.0.1", running.platform_port)
            followers = [follower(number, address) for number in range(FOLLOWERS)]
            tasks = [asyncio.ensure_future(each.run()) for each in followers]
            await all_follow(followers, 1)
            published = await publish(running, "first", renamed(one, "other.example"))
            taken = await all_follow(followers, msgspec.json.decode(published.stdout)["version"])
            for task in tasks:
                task.cancel()
            return taken

    taken = asyncio.run(run())
    print(f"in force at {FOLLOWERS} followers after {taken:.2f} s")
    assert taken < BOUND_SECONDS


def follower(number, platform):
    here = Address("127.0.0.1", 1)
    settings = Settings(f"entry-{number}", DOMAINS[number % 3], here, here, here, platform)
    made = ConfigurationFollower(settings, HttpPlatform(platform), Clock())
    made.vms = FOLLOWERS
    return made


async def all_follow(followers, version):
    start = time.monotonic()
    while min(each.head.version if each.head else 0 for each in followers) < version:
        assert time.monotonic() - start < 2 * BOUND_SECONDS
        await asyncio.sleep(0.02)
    return time.monotonic() - start


@pytest.mark.parametrize("lost", [0, 6])
def test_racing_publishers_lose_nothing(lost):
    async def run():
        async with fleet() as running:
            names = [f"service-{number}" for number in range(4)]
            files = [service(name, targets=2, floor=1) for name in names]
            await started(running, *files)
            await running.platform(lose_answers=lost)
            racing = [
                publish_copy(running, f"{rival}-{one.name}", renamed(one, f"{rival}.{one.name}"))
                for one in files
                for rival in ("red", "blue")
            ]
            results = await asyncio.gather(*racing)
            codes = [result.returncode for result in results]
            assert set(codes) <= {0, CONFLICT}, [result.stderr for result in results]
            accepted = [
                msgspec.json.decode(result.stdout) for result in results if result.returncode == 0
            ]
            await in_force(running, max(each["version"] for each in accepted))
            shown = await running.command("show", "config", "--json")
            return codes, shown.stdout

    codes, shown = asyncio.run(run())
    print(codes)
    for number in range(4):
        red, blue = codes[2 * number], codes[2 * number + 1]
        hosts = [f"{rival}.service-{number}" for rival in ("red", "blue")]
        present = [host in shown for host in hosts]
        assert present == [red == 0, blue == 0], (number, codes, shown)
