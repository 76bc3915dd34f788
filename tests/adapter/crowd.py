"""Clients that the system does not control: raw connections that send and mostly do not read."""

import asyncio
import socket
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass, field

RECEIVE_BUFFER_BYTES = 4_096
"""Receive buffer of a member, so that unread responses soon fill the buffers of the server."""

PIECE_BYTES = 65_536
STALL_S = 3.0
"""Time without progress after which a member stops sending; its connection stays open."""

CONNECT_TIMEOUT_S = 10.0
CONNECTING = 64
"""Maximum number of connections that are being opened at the same time."""


@dataclass(frozen=True, slots=True)
class Load:
    """What a number of connections send.

    Parameters
    ----------
    connections
        Number of connections.
    start
        First bytes of each connection.
    block
        Bytes that follow again and again.
    blocks
        How often the block follows.
    """

    connections: int
    start: bytes
    block: bytes = b""
    blocks: int = 0


@dataclass(slots=True)
class Crowd:
    """Connections of hostile clients to one port; none of them reads.

    Parameters
    ----------
    port
        Port of the server on the loopback address.
    """

    port: int
    sockets: list[socket.socket] = field(default_factory=list)

    async def send(self, loads: Iterable[Load]) -> None:
        """Open all connections, and return once each has sent all or can send no more."""
        gate = asyncio.Semaphore(CONNECTING)
        members = [self.run(load, gate) for load in loads for _ in range(load.connections)]
        await asyncio.gather(*members)

    async def run(self, load: Load, gate: asyncio.Semaphore) -> None:
        """Open one connection and send its load as far as the server takes it."""
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.sockets.append(sock)
        with suppress(OSError, TimeoutError):
            async with gate:
                connecting = loop.sock_connect(sock, ("127.0.0.1", self.port))
                await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
            await self.send_all(sock, load.start)
            for _ in range(load.blocks):
                await self.send_all(sock, load.block)

    async def send_all(self, sock: socket.socket, data: bytes) -> None:
        """Send bytes in pieces.

        Raises
        ------
        TimeoutError
            The server takes nothing for `STALL_S`.
        """
        loop = asyncio.get_running_loop()
        view = memoryview(data)
        for begin in range(0, len(view), PIECE_BYTES):
            piece = view[begin : begin + PIECE_BYTES]
            await asyncio.wait_for(loop.sock_sendall(sock, piece), STALL_S)

    def close(self) -> None:
        """Close all connections."""
        for sock in self.sockets:
            sock.close()


def get(host: str, path: str, *fields: str) -> bytes:
    """Return a request without a body."""
    lines = "".join(f"{each}\r\n" for each in fields)
    return f"GET {path} HTTP/1.1\r\nhost: {host}\r\n{lines}\r\n".encode()


def upload(host: str, path: str, length: int) -> bytes:
    """Return the head of a request with a body of an announced length."""
    return f"POST {path} HTTP/1.1\r\nhost: {host}\r\ncontent-length: {length}\r\n\r\n".encode()


def chunked_upload(host: str, path: str) -> bytes:
    """Return the head of a request with a body in chunks."""
    return f"POST {path} HTTP/1.1\r\nhost: {host}\r\ntransfer-encoding: chunked\r\n\r\n".encode()


def chunk(size: int) -> bytes:
    """Return one chunk of a body."""
    return b"%x\r\n%s\r\n" % (size, b"x" * size)
