"""How soon 48 followers have a change, and what they read: ``python -m bench.following``.

The followers share a process and the stand-in another loop's worth of work in it; they hear of
versions from the platform alone, without gossip between VMs.
"""

import asyncio
import logging
import time
from dataclasses import dataclass, replace
from uuid import uuid4

import msgspec

from bench.population import configuration
from cactusvane.clock import Clock
from cactusvane.configuration.follower import ConfigurationFollower
from cactusvane.configuration.merge import Change, digest_services
from cactusvane.configuration.publish import publish
from cactusvane.fleet.vm import Address
from cactusvane.settings import Settings
from cactusvane.store.client import HttpPlatform
from standins.platform import PlatformServer
from standins.store import Faults

FOLLOWERS = 48
PUBLISHES = 10
ROUTES = 1_000
OUTAGE_SECONDS = 5.0
WATCH_SECONDS = 5.0
POLL_SECONDS = 0.01


@dataclass(frozen=True, slots=True)
class Figures:
    """Seconds from acceptance until the last follower had it, and exchanges a second.

    At the first publish all followers fetch everything, so it stands apart.
    """

    followers: int
    publishes: int
    first_in_force_s: float
    in_force_worst_s: float
    in_force_mean_s: float
    reads_a_second: float
    tries_a_second_while_down: float
    most_reads_in_a_second_after: int
    reverted: int


class Bench:
    """The stand-in and its followers."""

    def __init__(self, address: Address, stand_in: PlatformServer) -> None:
        self.stand_in = stand_in
        self.platform = HttpPlatform(address)
        self.followers = [self.follower(number, address) for number in range(FOLLOWERS)]
        self.highest = [0] * FOLLOWERS
        self.reverted = 0

    def follower(self, number: int, address: Address) -> ConfigurationFollower:
        """Return one VM's follower."""
        settings = Settings(f"vm-{number}", "Gobabis", address, address, address, address)
        follower = ConfigurationFollower(settings, HttpPlatform(address), Clock())
        follower.vms = FOLLOWERS
        return follower

    def versions(self) -> list[int]:
        """Return the version at each follower, and count those that went back."""
        now = [each.versions.version for each in self.followers]
        self.reverted += sum(new < old for new, old in zip(now, self.highest, strict=True))
        self.highest = now
        return now

    async def time_publish(self, number: int) -> float:
        """Publish a change and return the seconds until all followers have it."""
        services = configuration(ROUTES).services
        base = digest_services(self.followers[0].configuration or configuration(0))
        changed = replace(services[0], slots=number + 5)
        change = Change((changed, *services[1:]), base=base, overwrite=True)
        published = await publish(self.platform, change, uuid4().hex)
        start = time.monotonic()
        while min(self.versions()) < published.head.version:
            await asyncio.sleep(POLL_SECONDS)
        return time.monotonic() - start

    async def count_reads(self, seconds: float) -> list[int]:
        """Return the reads of each second."""
        counts = []
        for _ in range(int(seconds)):
            before = self.stand_in.counters.reads
            await asyncio.sleep(1.0)
            counts.append(self.stand_in.counters.reads - before)
        return counts

    async def measure(self) -> Figures:
        """Publish, take the platform down, and bring it back."""
        times = [await self.time_publish(number) for number in range(PUBLISHES)]
        steady = await self.count_reads(WATCH_SECONDS)
        self.stand_in.faults = Faults(down=True)
        await asyncio.sleep(OUTAGE_SECONDS)
        refused = self.stand_in.counters.refused
        self.stand_in.faults = Faults()
        after = await self.count_reads(WATCH_SECONDS)
        self.versions()
        return Figures(
            followers=FOLLOWERS,
            publishes=PUBLISHES,
            first_in_force_s=round(times[0], 3),
            in_force_worst_s=round(max(times[1:]), 3),
            in_force_mean_s=round(sum(times[1:]) / len(times[1:]), 3),
            reads_a_second=sum(steady) / len(steady),
            tries_a_second_while_down=refused / OUTAGE_SECONDS,
            most_reads_in_a_second_after=max(after),
            reverted=self.reverted,
        )


async def run() -> Figures:
    """Serve the stand-in, run the followers and measure."""
    stand_in = PlatformServer(Clock())
    server = await asyncio.start_server(stand_in.serve_connection, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    bench = Bench(Address(host, port), stand_in)
    tasks = [asyncio.create_task(each.run()) for each in bench.followers]
    try:
        return await bench.measure()
    finally:
        for task in tasks:
            task.cancel()
        server.close()


def main() -> None:
    """Print the figures as one JSON line."""
    logging.disable()
    print(msgspec.json.encode(asyncio.run(run())).decode())


if __name__ == "__main__":
    main()
