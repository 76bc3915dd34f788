"""One entry as a process under loads of clients that the system does not control.

Each test checks that the process lives, that its memory and its descriptors stay under a bound, and
that an ordinary request is served while the hostile connections are still open. Nothing here
depends on the speed of the machine.
"""

import asyncio
import os
from contextlib import suppress
from pathlib import Path

import pytest

from tests.adapter.crowd import Crowd, Load, chunk, chunked_upload, get, upload
from tests.adapter.fleet import PlatformFleet

MEMORY_MB = 200
MAX_MEMORY_MB = 0.9 * MEMORY_MB
MAX_FDS = 400
CROWD = 600
"""Number of connections of a crowd that is larger than the descriptors allow."""

MANY_FDS = 4_096
MANY = 2_100
"""More connections than an entry accepts by default."""

MAX_BODY_BYTES = 67_108_864
MEGABYTE = 1_000_000
SAMPLE_S = 0.02
ATTEMPTS = 8
PAUSE_S = 1.0
TIMEOUT_S = 8.0
HOST = "records.example"
LOOKUP = "/lookups/1"
BOOKING = "/bookings/1"
NO_ROUTE = "/nothing"

UNREAD_BLOCK = 65_536
UNREAD_BLOCKS = 300
"""Blocks of pipelined requests that one connection tries to send: about 20 MB."""


def pipelined(request: bytes, connections: int = 50) -> Load:
    """Return the load of connections that send the same request without end and read nothing."""
    block = request * (UNREAD_BLOCK // len(request))
    return Load(connections, b"", block, UNREAD_BLOCKS)


def short(connections: int, size: int) -> Load:
    """Return the load of bodies that lack one byte."""
    return Load(connections, upload(HOST, BOOKING, size) + b"x" * (size - 1))


def short_chunked(connections: int, size: int, chunks: int = 1) -> Load:
    """Return the load of bodies in chunks that lack the last byte."""
    start = chunked_upload(HOST, BOOKING)
    return Load(connections, start + chunk(size) * chunks + b"0\r\n\r")


UNFINISHED_HEAD = get(HOST, LOOKUP, "filler: " + "x" * 12_000)[:-2]
ONE_AHEAD = get(HOST, LOOKUP)

LOADS = {
    "unfinished heads": [Load(CROWD, UNFINISHED_HEAD)],
    "silent connections": [Load(CROWD, b"")],
    "whole bodies": [Load(150, upload(HOST, BOOKING, MEGABYTE) + b"x" * MEGABYTE)],
    "whole bodies in chunks": [
        Load(100, chunked_upload(HOST, BOOKING) + chunk(10_000) * 100 + b"0\r\n\r\n")
    ],
    "small bodies one byte short": [short(CROWD, 1_000)],
    "bodies one byte short": [short(CROWD, 100_000)],
    "bodies in chunks one byte short": [short_chunked(CROWD, 16_000)],
    "large bodies one byte short": [short(8, 60 * MEGABYTE)],
    "large bodies in chunks one byte short": [short_chunked(8, MEGABYTE, chunks=60)],
    "announced over the limit": [
        Load(100, upload(HOST, BOOKING, 2 * MAX_BODY_BYTES), b"x" * MEGABYTE, 2)
    ],
    "sent over the limit": [Load(4, chunked_upload(HOST, BOOKING), chunk(MEGABYTE), 80)],
    "unread at no route": [pipelined(get(HOST, NO_ROUTE))],
    "unread at a route": [pipelined(get(HOST, LOOKUP))],
    "unread with long paths": [
        Load(100, b"", get(HOST, NO_ROUTE + "/" + "x" * 12_000) * 5, 20),
    ],
    "unread from many": [Load(250, get(HOST, NO_ROUTE) * 200)],
    "unread with a wrong method": [pipelined(b"PUT" + get(HOST, LOOKUP)[3:])],
    "unread with a body over the limit": [
        Load(CROWD, ONE_AHEAD * 20 + upload(HOST, BOOKING, 2 * MAX_BODY_BYTES), b"x" * MEGABYTE, 1)
    ],
    "unread with a bad header": [
        Load(CROWD, ONE_AHEAD * 20, get(HOST, LOOKUP, "bad header") * 1_000, 2)
    ],
    "uploads ahead": [
        Load(100, (upload(HOST, BOOKING, 10_000) + b"x" * 10_000) * 50),
    ],
    "mix": [
        Load(150, UNFINISHED_HEAD),
        short(150, 16_000),
        short_chunked(50, 100_000),
        short(2, 60 * MEGABYTE),
        Load(20, upload(HOST, BOOKING, 2 * MAX_BODY_BYTES), b"x" * MEGABYTE, 1),
        pipelined(get(HOST, NO_ROUTE), 15),
        pipelined(get(HOST, LOOKUP), 15),
        Load(200, b""),
    ],
}

SIDE_LOADS = {
    "unfinished heads": [Load(CROWD, UNFINISHED_HEAD)],
    "bodies one byte short": [short(CROWD, 100_000)],
    "unread": [pipelined(get(HOST, "/ready"))],
}


class CrowdedFleet(PlatformFleet):
    """One entry with lowered limits, and targets of both services."""

    limits = {"max-body-bytes": MAX_BODY_BYTES}
    max_fds = MAX_FDS
    most_descriptors = 0

    async def start_all(self) -> None:
        """Start all processes."""
        await self.start_platform()
        await self.configure()
        for service in ("records", "booking"):
            await self.start_target(service, "gobabis", mean_ms=5.0, slots=20)
        limits = {"memory-mb": MEMORY_MB, "max-fds": self.max_fds}
        self.entry = self.processes[await self.start_entry("gobabis", limits=limits)]

    @property
    def peak_mb(self) -> float:
        """Peak of the resident memory of the entry."""
        status = Path(f"/proc/{self.entry.popen.pid}/status").read_text()
        (line,) = [each for each in status.splitlines() if each.startswith("VmHWM:")]
        return int(line.split()[1]) / 1_024

    async def count_descriptors(self) -> None:
        """Record the largest number of open descriptors of the entry until cancelled."""
        while True:
            with suppress(OSError):
                found = len(os.listdir(f"/proc/{self.entry.popen.pid}/fd"))
                self.most_descriptors = max(self.most_descriptors, found)
            await asyncio.sleep(SAMPLE_S)

    async def ask(self) -> int:
        """Return the status of one ordinary request; 0 without a response."""
        writer = None
        try:
            opening = asyncio.open_connection("127.0.0.1", self.entry.port)
            reader, writer = await asyncio.wait_for(opening, TIMEOUT_S)
            fields = ("x-request-id: ordinary", "x-deadline-ms: 5000", "connection: close")
            writer.write(get("booking.example", LOOKUP, *fields))
            return int((await asyncio.wait_for(reader.read(65_536), TIMEOUT_S))[9:12] or 0)
        except (OSError, TimeoutError):
            return 0
        finally:
            if writer is not None:
                writer.transport.abort()

    async def ask_until_served(self) -> list[int]:
        """Repeat an ordinary request, as callers do, until it is served; return the statuses."""
        statuses: list[int] = []
        while len(statuses) < ATTEMPTS and 200 not in statuses:
            if statuses:
                await asyncio.sleep(PAUSE_S)
            statuses.append(await self.ask())
        return statuses


def check(directory: Path, loads: list[Load], max_fds: int = MAX_FDS, port: str = "") -> None:
    """Check that an entry survives a crowd within its bounds and serves an ordinary request."""

    async def play() -> None:
        fleet = CrowdedFleet(directory)
        fleet.max_fds = max_fds
        crowd = None
        try:
            await fleet.start_all()
            ports = {
                "admin": fleet.entry.admin_port,
                "peer": fleet.entry.registration["control"],
            }
            crowd = Crowd(int(str(ports.get(port, fleet.entry.port))))
            counting = asyncio.ensure_future(fleet.count_descriptors())
            await crowd.send(loads)
            statuses = await fleet.ask_until_served()
            counting.cancel()
            alive = fleet.entry.alive()
            peak_mb = fleet.peak_mb if alive else 0.0
            print(f"alive {alive}, {peak_mb:.0f} MB, {fleet.most_descriptors} fds, {statuses}")
            assert alive
            assert peak_mb < MAX_MEMORY_MB
            assert fleet.most_descriptors < max_fds
            assert statuses[-1] == 200
        finally:
            if crowd is not None:
                crowd.close()
            fleet.close()

    asyncio.run(play())


@pytest.mark.parametrize("name", LOADS)
def test_an_entry_survives_a_crowd(tmp_path: Path, name: str) -> None:
    """Guards against memory, descriptors and connections that clients can use up."""
    check(tmp_path, LOADS[name])


def test_stalled_bodies_do_not_hold_all_connections(tmp_path: Path) -> None:
    """Guards against a refusal of new callers while stalled connections hold all places."""
    check(tmp_path, [short(MANY, 1_000)], MANY_FDS)


@pytest.mark.parametrize("port", ["admin", "peer"])
@pytest.mark.parametrize("name", SIDE_LOADS)
def test_an_entry_survives_a_crowd_at_its_other_ports(tmp_path: Path, name: str, port: str) -> None:
    """Guards against the same at the addresses for operators and for other entries."""
    check(tmp_path, SIDE_LOADS[name], port=port)
