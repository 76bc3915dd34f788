"""Exchange of state updates between the entries of a failure domain, one datagram per message."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from cactusvane import events
from cactusvane.decoding import decode_msgpack
from cactusvane.events import Event
from cactusvane.fleet.vm import Address
from cactusvane.placement.messages import Message

ENCODER = msgspec.msgpack.Encoder()
DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)

MAX_DATAGRAM_BYTES = 60_000
"""Maximum size of a message; larger ones do not fit in a datagram."""


class UpdateEndpoint(asyncio.DatagramProtocol):
    """Sends and receives messages.

    Parameters
    ----------
    receive
        Called with each message and the address that it came from.
    """

    def __init__(self, receive: Callable[[Message, Address], None]) -> None:
        self.receive = receive
        self.transport: asyncio.DatagramTransport | None = None

    async def start(self, address: Address) -> None:
        """Receive messages on `address`."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, (address.host, address.port))

    def connection_made(self, transport: Any) -> None:
        """Keep the transport."""
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[Any, ...]) -> None:
        """Decode a message; one that cannot be decoded is ignored and logged."""
        try:
            message = decode_msgpack(data, DECODER)
        except msgspec.DecodeError as error:
            events.write(Event.NOTICE_UNUSABLE, reason=f"{addr[0]}: {error}")
            return
        self.receive(message, Address(addr[0], addr[1]))

    def error_received(self, exc: Exception) -> None:
        """Ignore a datagram that could not be sent; the next update makes up for it."""

    def send(self, message: Message, peers: Iterable[Address]) -> None:
        """Send a message to all `peers`."""
        data = ENCODER.encode(message)
        if self.transport is None or len(data) > MAX_DATAGRAM_BYTES:
            events.write(Event.NOTICE_UNUSABLE, reason=f"{len(data)} bytes cannot be sent")
            return
        for peer in peers:
            self.transport.sendto(data, (peer.host, peer.port))

    def close(self) -> None:
        """Close the transport."""
        if self.transport is not None:
            self.transport.close()
