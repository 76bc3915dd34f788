"""Measure messages between VMs: their bytes, and their CPU time over gRPC on loopback."""

import asyncio
import socket
import time
from collections.abc import Callable
from random import Random

from bench.population import members, service, targets
from bench.slope import Fit, Point, cpu_us, fit
from cactusvane.configuration.model import Head
from cactusvane.fleet.messages import Envelope, Member, Rumor
from cactusvane.fleet.vm import Address, Vm
from cactusvane.peers.client import Channels, Gossiper, KeeperLink
from cactusvane.peers.codec import (
    pack_entry_message,
    pack_envelope,
    unpack_entry_message,
    unpack_envelope,
)
from cactusvane.peers.messages import EntryMessage, Hello
from cactusvane.peers.server import EntryLink, PeerServer
from cactusvane.pool.messages import ReportEvidence, TargetCounts

UPDATE_COUNTS = (0, 4, 12)
REPORT_SIZES = (1, 8, 34)
CALL_COUNTS = (200, 400, 800)
NS_PER_US = 1_000
HEAD = Head(12_000, "0" * 64, "11111111-2222-3333-4444-555555555555")


def envelope(updates: int) -> Envelope:
    """Return a gossip message with that many updates and a head."""
    vms = members(updates + 1)
    return Envelope(Member(vms[0]), Rumor(), tuple(Member(vm) for vm in vms[1:]), HEAD)


def report(size: int) -> ReportEvidence:
    """Return an evidence report on `size` targets."""
    vms = targets((service(0),), size)[0]
    counts = tuple(TargetCounts(vm.address, served=20, in_time=20) for vm in vms)
    return ReportEvidence(service(0).name, counts)


class CountingHandler:
    """Handler of a peer server that never replies and counts the messages of entries."""

    def __init__(self) -> None:
        self.received = 0

    def gossip(self, envelope: Envelope) -> tuple[Envelope, ...]:
        """Ignore a gossip message."""
        return ()

    def find_configuration(self, digest: str) -> bytes | None:
        """Return None: there is no configuration."""
        return None

    def known_vms(self) -> tuple[Vm, ...] | None:
        """Return None: there is no VM list."""
        return None

    def entry_connected(self, link: EntryLink) -> None:
        """Ignore the start of an entry's stream."""

    def entry_message_received(self, link: EntryLink, message: EntryMessage) -> None:
        """Count a message of an entry."""
        self.received += 1

    def entry_disconnected(self, link: EntryLink) -> None:
        """Ignore the end of an entry's stream."""


def free_port() -> int:
    """Return a free port on loopback."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


async def measure_gossip(calls: int, port: int) -> float:
    """Return the CPU time of `calls` gossip calls, client and server, in microseconds."""
    server = PeerServer(CountingHandler())
    address = Address("127.0.0.1", port)
    await server.start(address)
    channels = Channels()
    gossiper = Gossiper(channels, lambda reply: None)
    message = envelope(4)
    await gossiper.call(address, message)
    start = time.process_time_ns()
    for _ in range(calls):
        await gossiper.call(address, message)
    spent = time.process_time_ns() - start
    await channels.close()
    await server.stop()
    return spent / NS_PER_US


async def measure_stream(calls: int, port: int) -> float:
    """Return the CPU time of `calls` reports on one stream, client and server, in microseconds."""
    listener = CountingHandler()
    server = PeerServer(listener)
    address = Address("127.0.0.1", port)
    await server.start(address)
    channels = Channels()
    link = KeeperLink(
        channels, address, Hello("vm-1", "zone-0"), lambda _: None, lambda _: None, Random(1)
    )
    while not link.is_open:
        await asyncio.sleep(0.01)
    message = report(8)
    start = time.process_time_ns()
    for call in range(calls):
        link.send(message)
        while listener.received <= call:
            await asyncio.sleep(0)
    spent = time.process_time_ns() - start
    await link.close()
    await channels.close()
    await server.stop()
    return spent / NS_PER_US


def fit_bytes(name: str, counts: tuple[int, ...], per: str, make: Callable[[int], int]) -> Fit:
    """Return the fit of the bytes that `make` returns for each count."""
    return fit(name, "bytes", per, [Point(count, make(count)) for count in counts])


def pack_and_unpack_envelope(updates: int) -> float:
    """Return the CPU time of encoding and decoding a gossip message, in microseconds.

    The message has `updates` updates.
    """
    message = envelope(updates)
    kind = type(pack_envelope(message))

    def round_trip() -> object:
        return unpack_envelope(kind.FromString(pack_envelope(message).SerializeToString()))

    return cpu_us(round_trip, 200)


def pack_and_unpack_report(size: int) -> float:
    """Return the CPU time of encoding and decoding a report on `size` targets, in microseconds."""
    message = report(size)
    packed = pack_entry_message(message)
    kind = type(packed)

    def round_trip() -> object:
        data = pack_entry_message(message).SerializeToString()
        return unpack_entry_message(kind.FromString(data))

    return cpu_us(round_trip, 200)


def measure_messages() -> list[Fit]:
    """Measure bytes and CPU time of messages by size."""
    port = free_port()
    calls = [Point(count, asyncio.run(measure_gossip(count, port))) for count in CALL_COUNTS]
    reports = [Point(count, asyncio.run(measure_stream(count, port))) for count in CALL_COUNTS]
    return [
        fit_bytes(
            "gossip", UPDATE_COUNTS, "update", lambda n: pack_envelope(envelope(n)).ByteSize()
        ),
        fit_bytes(
            "evidence", REPORT_SIZES, "target", lambda n: pack_entry_message(report(n)).ByteSize()
        ),
        fit(
            "code gossip",
            "us",
            "update",
            [Point(n, pack_and_unpack_envelope(n)) for n in UPDATE_COUNTS],
        ),
        fit(
            "code evidence",
            "us",
            "target",
            [Point(n, pack_and_unpack_report(n)) for n in REPORT_SIZES],
        ),
        fit("gossip over gRPC, two sides", "us", "message", calls),
        fit("report on a stream, two sides", "us", "message", reports),
    ]
