"""gRPC client for messages between VMs, on ``grpc.aio``."""

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
"""Time in milliseconds after which a message without a reply counts as lost."""

FETCH_TIMEOUT_MS = 2_000.0
"""Timeout in milliseconds for fetching a configuration or the VM list from one VM."""

MAX_CALLS_IN_FLIGHT = 64
"""Maximum number of messages in flight; further ones are dropped, as a network would do."""

MAX_QUEUED = 256
"""Maximum number of messages queued for a keeper; the oldest are dropped first."""

MIN_BACKOFF_MS = 100.0
MAX_BACKOFF_MS = 2_000.0
"""Bounds in milliseconds of the exponential backoff before a stream is reopened."""

OPTIONS = (
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 2_000),
    ("grpc.enable_http_proxy", 0),
    ("grpc.use_local_subchannel_pool", 1),
)


class Channels:
    """Channels to other VMs, opened on first use."""

    def __init__(self) -> None:
        self.channels: dict[Address, Any] = {}
        self.stubs: dict[Address, Any] = {}

    def stub(self, peer: Address) -> Any:
        """Return the gRPC stub for a VM."""
        if peer not in self.stubs:
            channel = grpc.aio.insecure_channel(str(peer), options=OPTIONS)
            self.channels[peer] = channel
            self.stubs[peer] = PeersStub(channel)
        return self.stubs[peer]

    async def retain(self, peers: set[Address]) -> None:
        """Close the channels to VMs that are not in `peers`."""
        for peer in self.channels.keys() - peers:
            self.stubs.pop(peer)
            await self.channels.pop(peer).close()

    async def close(self) -> None:
        """Close all channels."""
        await self.retain(set())


class Gossiper:
    """Sends messages of the membership protocol without waiting for slow VMs.

    Parameters
    ----------
    channels
        Channels to other VMs.
    on_reply
        Called with each envelope of a reply.
    """

    def __init__(self, channels: Channels, on_reply: Callable[[Envelope], None]) -> None:
        self.channels = channels
        self.on_reply = on_reply
        self.calls: set[asyncio.Task[None]] = set()

    def send(self, peer: Address, envelope: Envelope) -> None:
        """Send a message in the background, or drop it if too many are in flight."""
        if len(self.calls) >= MAX_CALLS_IN_FLIGHT:
            return
        task = asyncio.get_running_loop().create_task(self.call(peer, envelope))
        self.calls.add(task)
        task.add_done_callback(self.calls.discard)

    async def call(self, peer: Address, envelope: Envelope) -> None:
        """Send one message and handle the reply; failed calls and invalid replies are ignored."""
        packed = pack_envelope(envelope)
        with suppress(grpc.RpcError, ValueError):
            stub = self.channels.stub(peer)
            reply = await stub.Gossip(packed, timeout=GOSSIP_TIMEOUT_MS / MS_PER_SECOND)
            for message in reply.envelopes:
                self.on_reply(unpack_envelope(message))

    async def close(self) -> None:
        """Cancel all messages in flight."""
        for task in self.calls:
            task.cancel()
        await asyncio.gather(*self.calls, return_exceptions=True)


async def fetch_configuration(
    channels: Channels, digest: str, peers: tuple[Address, ...]
) -> bytes | None:
    """Fetch a stored configuration from the first of several VMs that has it.

    Parameters
    ----------
    channels
        Channels to other VMs.
    digest
        Digest of the stored data.
    peers
        VMs to ask, one after another.

    Returns
    -------
    bytes or None
        The data, or None if no VM had it. The digest is not verified here.
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
    """Return the platform's VM list from the first of several VMs that knows it, or None."""
    for peer in peers:
        with suppress(grpc.RpcError, ValueError):
            stub = channels.stub(peer)
            reply = await stub.ListVms(pb.ListRequest(), timeout=FETCH_TIMEOUT_MS / MS_PER_SECOND)
            if reply.known:
                return tuple(unpack_vm(message) for message in reply.vms)
    return None


class KeeperLink:
    """A long-lived stream from this entry to one keeper, reopened whenever it breaks.

    Parameters
    ----------
    channels
        Channels to other VMs.
    peer
        The keeper's address.
    hello
        The message that identifies this entry.
    on_message
        Called with each message of the keeper.
    on_state
        Called with True when the stream opens and with False when it breaks.
    random
        Random source of the backoff's jitter.
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
        """Queue a message; drop it while the stream is closed, since it would arrive too late."""
        if not self.is_open:
            return
        if self.queue.full():
            self.queue.get_nowait()
        self.queue.put_nowait(message)

    async def run(self) -> None:
        """Keep the stream open until cancelled."""
        while True:
            with suppress(grpc.RpcError, ValueError):
                await self.run_stream()
            self.set_open(False)
            await asyncio.sleep(self.backoff_ms * self.random.uniform(0.5, 1.0) / MS_PER_SECOND)
            self.backoff_ms = min(MAX_BACKOFF_MS, 2 * self.backoff_ms)

    async def run_stream(self) -> None:
        """Open the stream and pass on the keeper's messages until it breaks."""
        stream = self.channels.stub(self.peer).Keep(self.outgoing_messages())
        await stream.initial_metadata()
        self.set_open(True)
        self.backoff_ms = MIN_BACKOFF_MS
        async for message in stream:
            self.on_message(unpack_keeper_message(message))

    async def outgoing_messages(self) -> AsyncIterator[Any]:
        """Yield the messages for the keeper, the hello first."""
        yield pack_entry_message(self.hello)
        while True:
            yield pack_entry_message(await self.queue.get())

    def set_open(self, is_open: bool) -> None:
        """Record whether the stream is open; drop queued messages when it closes."""
        if is_open == self.is_open:
            return
        self.is_open = is_open
        while not is_open and not self.queue.empty():
            self.queue.get_nowait()
        self.on_state(is_open)

    async def close(self) -> None:
        """Close the stream permanently."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
