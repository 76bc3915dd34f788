"""Measure how soon 48 followers activate a change: ``python -m bench.following``.

Also measures how often they read from the platform. The followers and the platform stand-in run in
one process and share its event loop. The followers learn of versions only from the platform; there
is no gossip between VMs.
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
    """Results of the measurement; the field names are keys of the JSON output.

    Parameters
    ----------
    followers
        Number of followers.
    publishes
        Number of published changes.
    first_in_force_s
        Seconds from the acceptance of the first change until the last follower had it. It is
        separate because all followers fetch the whole configuration then.
    in_force_worst_s, in_force_mean_s
        The same for the other changes, maximum and mean.
    reads_a_second
        Reads from the platform per second without changes, all followers together.
    tries_a_second_while_down
        Rejected exchanges per second while the platform is down.
    most_reads_in_a_second_after
        Maximum of reads in one second after the platform is up again.
    reverted
        How often a follower went back to an older version.
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
    """The platform stand-in and its followers."""

    def __init__(self, address: Address, stand_in: PlatformServer) -> None:
        self.stand_in = stand_in
        self.platform = HttpPlatform(address)
        self.followers = [self.follower(number, address) for number in range(FOLLOWERS)]
        self.highest = [0] * FOLLOWERS
        self.reverted = 0

    def follower(self, number: int, address: Address) -> ConfigurationFollower:
        """Return the follower of one VM."""
        settings = Settings(f"vm-{number}", "Gobabis", address, address, address, address)
        follower = ConfigurationFollower(settings, HttpPlatform(address), Clock())
        follower.vms = FOLLOWERS
        return follower

    def versions(self) -> list[int]:
        """Return the version of each follower; count followers that went back to an older one."""
        now = [each.versions.version for each in self.followers]
        self.reverted += sum(new < old for new, old in zip(now, self.highest, strict=True))
        self.highest = now
        return now

    async def time_publish(self, number: int) -> float:
        """Publish a change; return the seconds from its acceptance until all followers have it."""
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
        """Return the number of reads in each of the next seconds."""
        counts = []
        for _ in range(int(seconds)):
            before = self.stand_in.counters.reads
            await asyncio.sleep(1.0)
            counts.append(self.stand_in.counters.reads - before)
        return counts

    async def measure(self) -> Figures:
        """Publish changes, then take the platform down and up again; return the figures."""
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
    """Start the stand-in and the followers, and measure."""
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
