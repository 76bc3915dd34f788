"""Connecting to a target; a failure here proves that nothing was sent."""

import asyncio
import errno
import os
import socket

from cactusvane.errors import ConnectError
from cactusvane.fleet.vm import Address
from cactusvane.http.client import ClientConnection
from cactusvane.http.memory import Budgets
from cactusvane.settings import HttpLimits


def start_connecting(address: Address) -> socket.socket:
    """Return a non-blocking socket that is connecting to `address`.

    Raises
    ------
    ConnectError
        The peer cannot be reached.
    """
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        code = sock.connect_ex((address.host, address.port))
    except OSError as error:
        sock.close()
        raise ConnectError(f"{address}: {error}") from error
    if code not in (0, errno.EINPROGRESS):
        sock.close()
        raise ConnectError(f"{address}: {os.strerror(code)}")
    return sock


def check_connected(sock: socket.socket, address: Address) -> None:
    """Check that the socket is connected; close it otherwise.

    Raises
    ------
    ConnectError
        Connecting failed.
    """
    code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if code:
        sock.close()
        raise ConnectError(f"{address}: {os.strerror(code)}")


async def connect(
    address: Address, limits: HttpLimits, budgets: Budgets | None = None
) -> ClientConnection:
    """Open a connection to `address`.

    Raises
    ------
    ConnectError
        The peer cannot be reached.
    """
    loop = asyncio.get_running_loop()
    sock = start_connecting(address)
    writable = loop.create_future()
    loop.add_writer(sock.fileno(), set_once, writable)
    try:
        await writable
    except asyncio.CancelledError:
        loop.remove_writer(sock.fileno())
        sock.close()
        raise
    loop.remove_writer(sock.fileno())
    check_connected(sock, address)
    return ClientConnection(sock, limits, budgets)


def set_once(future: "asyncio.Future[None]") -> None:
    """Set the result of `future` unless it is already done."""
    if not future.done():
        future.set_result(None)
