"""gRPC server for messages between VMs, on ``grpc.aio``."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import suppress
from typing import Any, Protocol

import grpc

from cactusvane.fleet.messages import Envelope
from cactusvane.fleet.vm import Address, Vm
from cactusvane.peers.codec import (
    pack_envelope,
    pack_keeper_message,
    pack_vm,
    unpack_entry_message,
    unpack_envelope,
)
from cactusvane.peers.generated import peers_pb2 as pb
from cactusvane.peers.generated.peers_pb2_grpc import add_PeersServicer_to_server
from cactusvane.peers.messages import EntryMessage, Hello, KeeperMessage

MAX_QUEUED = 256
"""Maximum number of messages queued for an entry; the oldest are dropped first."""

MAX_CONCURRENT_CALLS = 4_000
"""Maximum number of concurrent calls of one connection."""

OPTIONS = (("grpc.so_reuseport", 0), ("grpc.max_concurrent_streams", MAX_CONCURRENT_CALLS))


class EntryLink:
    """A keeper's side of the stream to one entry."""

    def __init__(self, hello: Hello) -> None:
        self.hello = hello
        self.queue: asyncio.Queue[KeeperMessage] = asyncio.Queue(MAX_QUEUED)

    def send(self, message: KeeperMessage) -> None:
        """Queue a message; if the entry is too slow, the oldest message is dropped."""
        if self.queue.full():
            self.queue.get_nowait()
        self.queue.put_nowait(message)


class Handler(Protocol):
    """What the server requires of its VM."""

    def gossip(self, envelope: Envelope) -> tuple[Envelope, ...]:
        """Handle a message and return the replies to its sender."""

    def find_configuration(self, digest: str) -> bytes | None:
        """Return the stored part of a configuration that has this digest, or None."""

    def known_vms(self) -> tuple[Vm, ...] | None:
        """Return the platform's VM list as last seen, or None."""

    def entry_connected(self, link: EntryLink) -> None:
        """Handle the start of an entry's stream."""

    def entry_message_received(self, link: EntryLink, message: EntryMessage) -> None:
        """Handle a message from an entry."""

    def entry_disconnected(self, link: EntryLink) -> None:
        """Handle the end of an entry's stream."""


class PeerServer:
    """Serves the calls of other VMs.

    Parameters
    ----------
    handler
        Handles the calls.
    """

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.server: Any = None

    async def start(self, address: Address) -> Address:
        """Start to listen; port 0 selects any free port.

        Returns
        -------
        Address
            The address with the actual port.
        """
        self.server = grpc.aio.server(options=OPTIONS)
        add_PeersServicer_to_server(self, self.server)
        port = self.server.add_insecure_port(str(address))
        await self.server.start()
        return Address(address.host, port)

    async def stop(self) -> None:
        """Close all streams and stop listening."""
        if self.server is not None:
            await self.server.stop(None)

    async def Gossip(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Handle ``Peers.Gossip``; an invalid message is dropped."""
        with suppress(ValueError):
            replies = self.handler.gossip(unpack_envelope(request))
            return pb.Reply(envelopes=[pack_envelope(reply) for reply in replies])
        return pb.Reply()

    async def FetchConfiguration(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Handle ``Peers.FetchConfiguration``."""
        data = self.handler.find_configuration(request.digest)
        return pb.FetchReply(found=data is not None, data=data or b"")

    async def ListVms(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Handle ``Peers.ListVms``."""
        vms = self.handler.known_vms()
        return pb.VmList(known=vms is not None, vms=[pack_vm(vm) for vm in vms or ()])

    async def Keep(self, requests: AsyncIterator[Any], context: Any) -> None:  # noqa: N802
        """Handle ``Peers.Keep`` until either side closes the stream."""
        first = unpack_entry_message(await anext(requests))
        if not isinstance(first, Hello):
            return
        link = EntryLink(first)
        await context.send_initial_metadata(())
        self.handler.entry_connected(link)
        writer = asyncio.get_running_loop().create_task(self.write(link, context))
        try:
            async for request in requests:
                self.handler.entry_message_received(link, unpack_entry_message(request))
        except ValueError:
            return
        finally:
            writer.cancel()
            self.handler.entry_disconnected(link)

    async def write(self, link: EntryLink, context: Any) -> None:
        """Send the messages queued for an entry."""
        while True:
            await context.write(pack_keeper_message(await link.queue.get()))
