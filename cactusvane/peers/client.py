"""The calling side of messages between VMs, on ``grpc.aio``."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import suppress
from random import Random
from typing import Any

import grpc

from cactusvane.clock import MS_PER_SECOND
from cactusvane.fleet.messages import Envelope
from cactusvane.fleet.vm import Address, Vm
from cactusvane.peers.codec import (
    pack_entry_message,
    pack_envelope,
    unpack_envelope,
    unpack_keeper_message,
    unpack_vm,
)
from cactusvane.peers.generated import peers_pb2 as pb
from cactusvane.peers.generated.peers_pb2_grpc import PeersStub
from cactusvane.peers.messages import EntryMessage, Hello, KeeperMessage

GOSSIP_TIMEOUT_MS = 500.0
"""A message without a reply by then counts as lost."""

FETCH_TIMEOUT_MS = 2_000.0
"""Wait for one VM's configuration."""

MAX_CALLS_IN_FLIGHT = 64
"""Messages under way at once; more are dropped, as a network would."""

MAX_QUEUED = 256
"""Messages that wait for a keeper; the oldest are dropped first."""

MIN_BACKOFF_MS = 100.0
MAX_BACKOFF_MS = 2_000.0
"""Bounds of the pause before a stream is opened again."""

OPTIONS = (
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 2_000),
    ("grpc.enable_http_proxy", 0),
    ("grpc.use_local_subchannel_pool", 1),
)


class Channels:
    """Connections to other VMs, made when first needed."""

    def __init__(self) -> None:
        self.channels: dict[Address, Any] = {}
        self.stubs: dict[Address, Any] = {}

    def stub(self, peer: Address) -> Any:
        """Return the stub for a VM."""
        if peer not in self.stubs:
            channel = grpc.aio.insecure_channel(str(peer), options=OPTIONS)
            self.channels[peer] = channel
            self.stubs[peer] = PeersStub(channel)
        return self.stubs[peer]

    async def retain(self, peers: set[Address]) -> None:
        """Close connections to VMs that are no longer members."""
        for peer in self.channels.keys() - peers:
            self.stubs.pop(peer)
            await self.channels.pop(peer).close()

    async def close(self) -> None:
        """Close all connections."""
        await self.retain(set())


class Gossiper:
    """Sends messages of the membership protocol and never waits for a late VM.

    Parameters
    ----------
    channels
        Connections to other VMs.
    on_reply
        Takes each envelope that comes back.
    """

    def __init__(self, channels: Channels, on_reply: Callable[[Envelope], None]) -> None:
        self.channels = channels
        self.on_reply = on_reply
        self.calls: set[asyncio.Task[None]] = set()

    def send(self, peer: Address, envelope: Envelope) -> None:
        """Send a message, or drop it where too many are under way."""
        if len(self.calls) >= MAX_CALLS_IN_FLIGHT:
            return
        task = asyncio.get_running_loop().create_task(self.call(peer, envelope))
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)

    async def call(self, peer: Address, envelope: Envelope) -> None:
        """Carry one message and take in the reply."""
        packed = pack_envelope(envelope)
        with suppress(grpc.RpcError, ValueError):
            stub = self.channels.stub(peer)
            reply = await stub.Gossip(packed, timeout=GOSSIP_TIMEOUT_MS / MS_PER_SECOND)
            for message in reply.envelopes:
                self.on_reply(unpack_envelope(message))

    async def close(self) -> None:
        """Give up what is under way."""
        for task in self.calls:
            task.cancel()
        await asyncio.gather(*self.calls, return_exceptions=True)


async def fetch_configuration(
    channels: Channels, digest: str, peers: tuple[Address, ...]
) -> bytes | None:
    """Ask VMs one after another for a stored configuration.

    Parameters
    ----------
    channels
        Connections to other VMs.
    digest
        Of the configuration.
    peers
        Whom to ask.

    Returns
    -------
    bytes or None
        None where no VM had it; the caller compares the digest.
    """
    request = pb.FetchRequest(digest=digest)
    for peer in peers:
        with suppress(grpc.RpcError):
            stub = channels.stub(peer)
            reply = await stub.FetchConfiguration(request, timeout=FETCH_TIMEOUT_MS / MS_PER_SECOND)
            if reply.found:
                return bytes(reply.data)
    return None


async def fetch_vms(channels: Channels, peers: tuple[Address, ...]) -> tuple[Vm, ...] | None:
    """Ask VMs one after another for the platform's VM list; None where no VM has one."""
    for peer in peers:
        with suppress(grpc.RpcError, ValueError):
            stub = channels.stub(peer)
            reply = await stub.ListVms(pb.ListRequest(), timeout=FETCH_TIMEOUT_MS / MS_PER_SECOND)
            if reply.known:
                return tuple(unpack_vm(message) for message in reply.vms)
    return None


class KeeperLink:
    """A held stream from this entry to one keeper, opened again whenever it breaks.

    Parameters
    ----------
    channels
        Connections to other VMs.
    peer
        The keeper's address.
    hello
        Who this entry is.
    on_message
        Takes what the keeper says.
    on_state
        Told True when the stream stands and False when it breaks.
    random
        Source of the jitter of pauses.
    """

    def __init__(
        self,
        channels: Channels,
        peer: Address,
        hello: Hello,
        on_message: Callable[[KeeperMessage], None],
        on_state: Callable[[bool], None],
        random: Random,
    ) -> None:
        self.channels = channels
        self.peer = peer
        self.hello = hello
        self.on_message = on_message
        self.on_state = on_state
        self.random = random
        self.queue: asyncio.Queue[EntryMessage] = asyncio.Queue(MAX_QUEUED)
        self.is_open = False
        self.backoff_ms = MIN_BACKOFF_MS
        self.task = asyncio.get_running_loop().create_task(self.run())

    def send(self, message: EntryMessage) -> None:
        """Queue a message; while the stream is down it is dropped, for it would come too late."""
        if not self.is_open:
            return
        if self.queue.full():
            self.queue.get_nowait()
        self.queue.put_nowait(message)

    async def run(self) -> None:
        """Hold the stream until cancelled."""
        while True:
            with suppress(grpc.RpcError, ValueError):
                await self.run_stream()
            self.set_open(False)
            await asyncio.sleep(self.backoff_ms * self.random.uniform(0.5, 1.0) / MS_PER_SECOND)
            self.backoff_ms = min(MAX_BACKOFF_MS, 2 * self.backoff_ms)

    async def run_stream(self) -> None:
        """Open the stream and pass on what comes until it breaks."""
        stream = self.channels.stub(self.peer).Keep(self.outgoing_messages())
        await stream.initial_metadata()
        self.set_open(True)
        self.backoff_ms = MIN_BACKOFF_MS
        async for message in stream:
            self.on_message(unpack_keeper_message(message))

    async def outgoing_messages(self) -> AsyncIterator[Any]:
        """Yield what the keeper has to hear, the hello first."""
        yield pack_entry_message(self.hello)
        while True:
            yield pack_entry_message(await self.queue.get())

    def set_open(self, is_open: bool) -> None:
        """Note whether the stream stands."""
        if is_open == self.is_open:
            return
        self.is_open = is_open
        while not is_open and not self.queue.empty():
            self.queue.get_nowait()
        self.on_state(is_open)

    async def close(self) -> None:
        """Close the stream."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
