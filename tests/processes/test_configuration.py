"""An accepted configuration is active within seconds and never reverts.

Concurrent publishers lose no accepted change.
"""

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
from tests.processes.harness import temporary_fleet
from tests.processes.services import make_service

BOUND_SECONDS = 5.0
DOMAINS = ("Gobabis", "Witvlei", "Leonardville")
CONFLICT_EXIT_CODE = 4
FOLLOWERS = 48


async def start_fleet(fleet, *files):
    await fleet.start_platform()
    published = await publish(fleet, "first", *files)
    assert published.returncode == 0, published.stderr
    for service in files:
        await fleet.start_target(service.name, "Gobabis")
    for domain in DOMAINS:
        await fleet.start_entry(domain)


async def publish(fleet, directory, *files):
    for service in files:
        service.write(fleet.directory / directory)
    return await fleet.publish(fleet.directory / directory, "--json")


async def publish_copy(fleet, directory, service):
    """Publish from a copy of the first directory, like another operator with an own checkout."""
    shutil.copytree(fleet.directory / "first", fleet.directory / directory)
    return await publish(fleet, directory, service)


async def versions(fleet, names=()):
    async def version(name):
        return msgspec.json.decode((await fleet.status(name)).body)["version"]

    names = names or [name for name, entry in fleet.entries.items() if entry.alive()]
    return [await version(name) for name in names]


async def wait_until_active(fleet, version):
    """Wait until every entry uses at least this version; return the seconds that this took."""
    start = time.monotonic()
    while min(await versions(fleet)) < version:
        assert time.monotonic() - start < BOUND_SECONDS
        await asyncio.sleep(0.05)
    return time.monotonic() - start


async def check_never_older(fleet, names, version, seconds):
    """Poll entries for some time; none may report an older version."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        assert min(await versions(fleet, names)) >= version
        await asyncio.sleep(0.02)


def with_host(service, host):
    return type(service)({**service.values, "hosts": [host]})


def test_configuration_is_active_within_the_bound_and_kept_across_restarts_in_an_outage():
    async def run():
        async with temporary_fleet() as fleet:
            service = make_service("records", targets=2, floor=1)
            await start_fleet(fleet, service)
            published = await publish(fleet, "first", with_host(service, "other.example"))
            version = msgspec.json.decode(published.stdout)["version"]
            seconds = await wait_until_active(fleet, version)
            await fleet.set_platform_faults(down=True)
            for name in list(fleet.entries):
                await fleet.start_entry(DOMAINS[len(fleet.entries) % 3])
                fleet.kill(name)
                assert min(await versions(fleet)) >= version
            await fleet.set_platform_faults()
            await asyncio.sleep(1.5)
            assert min(await versions(fleet)) >= version
            return seconds

    print(f"active after {asyncio.run(run()):.2f} s")


def test_a_stale_peer_catches_up_in_an_outage_and_reverts_nobody():
    async def run():
        async with temporary_fleet() as fleet:
            service = make_service("records", targets=2, floor=1)
            await start_fleet(fleet, service)
            with fleet.frozen("entry-0"):
                published = await publish(fleet, "first", with_host(service, "other.example"))
                version = msgspec.json.decode(published.stdout)["version"]
                others = ["entry-1", "entry-2"]
                while min(await versions(fleet, others)) < version:
                    await asyncio.sleep(0.05)
                await fleet.set_platform_faults(down=True)
            await check_never_older(fleet, others, version, seconds=2.0)
            await wait_until_active(fleet, version)

    asyncio.run(run())


def test_configuration_is_active_at_48_followers():
    async def run():
        async with temporary_fleet() as fleet:
            await fleet.start_platform()
            service = make_service("records", targets=2, floor=1)
            await publish(fleet, "first", service)
            address = Address("127.0.0.1", fleet.platform_port)
            followers = [make_follower(number, address) for number in range(FOLLOWERS)]
            tasks = [asyncio.ensure_future(each.run()) for each in followers]
            await wait_until_all_follow(followers, 1)
            published = await publish(fleet, "first", with_host(service, "other.example"))
            seconds = await wait_until_all_follow(
                followers, msgspec.json.decode(published.stdout)["version"]
            )
            for task in tasks:
                task.cancel()
            return seconds

    seconds = asyncio.run(run())
    print(f"active at {FOLLOWERS} followers after {seconds:.2f} s")
    assert seconds < BOUND_SECONDS


def make_follower(number, platform):
    here = Address("127.0.0.1", 1)
    settings = Settings(f"entry-{number}", DOMAINS[number % 3], here, here, here, platform)
    follower = ConfigurationFollower(settings, HttpPlatform(platform), Clock())
    follower.vms = FOLLOWERS
    return follower


async def wait_until_all_follow(followers, version):
    start = time.monotonic()
    while min(each.head.version if each.head else 0 for each in followers) < version:
        assert time.monotonic() - start < 2 * BOUND_SECONDS
        await asyncio.sleep(0.02)
    return time.monotonic() - start


@pytest.mark.parametrize("lost", [0, 6])
def test_racing_publishers_lose_nothing(lost):
    async def run():
        async with temporary_fleet() as fleet:
            names = [f"service-{number}" for number in range(4)]
            files = [make_service(name, targets=2, floor=1) for name in names]
            await start_fleet(fleet, *files)
            await fleet.set_platform_faults(lose_answers=lost)
            publishers = [
                publish_copy(
                    fleet, f"{rival}-{service.name}", with_host(service, f"{rival}.{service.name}")
                )
                for service in files
                for rival in ("red", "blue")
            ]
            results = await asyncio.gather(*publishers)
            codes = [result.returncode for result in results]
            assert set(codes) <= {0, CONFLICT_EXIT_CODE}, [result.stderr for result in results]
            accepted = [
                msgspec.json.decode(result.stdout) for result in results if result.returncode == 0
            ]
            await wait_until_active(fleet, max(each["version"] for each in accepted))
            shown = await fleet.run_cli("show", "config", "--json")
            return codes, shown.stdout

    codes, shown = asyncio.run(run())
    print(codes)
    for number in range(4):
        red, blue = codes[2 * number], codes[2 * number + 1]
        hosts = [f"{rival}.service-{number}" for rival in ("red", "blue")]
        present = [host in shown for host in hosts]
        assert present == [red == 0, blue == 0], (number, codes, shown)
