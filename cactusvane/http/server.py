"""HTTP server for callers' connections, parsed strictly by h11."""

import asyncio
import socket
from collections import Counter
from collections.abc import Awaitable, Callable
from math import inf

from cactusvane.clock import MS_PER_SECOND, Clock
from cactusvane.fleet.vm import Address
from cactusvane.http.exchange import Caller
from cactusvane.http.memory import Budgets, ByteBudget, ClosingReason
from cactusvane.http.message import Request, Response
from cactusvane.http.places import Activity, Places
from cactusvane.http.server_connection import ServerConnection
from cactusvane.settings import HttpLimits

READ_BYTES = 16_384
"""Maximum number of bytes of one read from a caller."""

BACKLOG = 512
"""Maximum number of connections that the kernel holds until they are accepted."""

ACCEPTS_PER_TURN = 32
"""Maximum number of connections accepted in one turn of the event loop. Those that give way to them
are closed only in the next turn, so that this many descriptors may be open in addition."""

STALLED_UPLOAD_MS = 2_000.0
"""Time without a byte after which an unfinished body gives way to another one, in milliseconds."""

LAST_RESPONSES_MS = 100
"""Time in milliseconds for the last responses of a drain to reach their callers."""

Handler = Callable[[Request, Caller], Awaitable[Response]]
"""Returns the response to a request or raises `RequestError`."""


def listening_socket(address: Address) -> socket.socket:
    """Return a socket bound to `address`.

    Raises
    ------
    OSError
        The address cannot be used.
    """
    sock = socket.socket(socket.AF_INET6 if ":" in address.host else socket.AF_INET)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((address.host, address.port))
    except OSError:
        sock.close()
        raise
    return sock


class Server:
    """Accepts callers' connections.

    Parameters
    ----------
    limits
        Limits on connections and requests.
    handler
        Called for each request.
    budgets
        Limits on what all connections hold; None for no limit.

    Attributes
    ----------
    places
        Which connection gives way when there is no place for a new one.
    by_address
        Number of connections of each client address.
    uploads
        Part of the memory for bodies of each client address, if it is limited.
    ahead
        Number of requests that run behind an earlier one of their connection.
    """

    def __init__(
        self, limits: HttpLimits, handler: Handler, budgets: Budgets | None = None
    ) -> None:
        self.limits = limits
        self.handler = handler
        self.budgets = budgets or Budgets()
        self.read_buffer = bytearray(READ_BYTES)
        self.connections: set[ServerConnection] = set()
        self.clock = Clock()
        self.places: Places[ServerConnection] = Places()
        self.by_address: Counter[str] = Counter()
        self.uploads: dict[str, ByteBudget] = {}
        self.ahead = 0
        self.leaving = False
        self.draining = False
        self.empty = asyncio.Event()
        self.listeners: list[asyncio.Server] = []

    async def start(self, address: Address) -> Address:
        """Listen on `address`, in addition to earlier addresses; return it with the actual port."""
        loop = asyncio.get_running_loop()
        sock = listening_socket(address)
        listener = await loop.create_server(
            lambda: ServerConnection(self), sock=sock, backlog=ACCEPTS_PER_TURN
        )
        sock.listen(BACKLOG)
        self.listeners.append(listener)
        host, port = listener.sockets[0].getsockname()[:2]
        return Address(host, port)

    def leave(self) -> None:
        """Make callers reconnect elsewhere: every further response closes its connection."""
        self.leaving = True

    async def drain(self, timeout_ms: float, cut_off: Callable[[], None] | None = None) -> None:
        """Accept no new connections, finish the requests in flight, then close.

        Parameters
        ----------
        timeout_ms
            Time in milliseconds after which the remaining connections are reset.
        cut_off
            Called before that; makes the handler end all requests, so that their callers get a
            response within `LAST_RESPONSES_MS`.
        """
        self.leaving = True
        self.draining = True
        for listener in self.listeners:
            listener.close()
        for connection in tuple(self.connections):
            connection.drain()
        if await self.wait_empty(timeout_ms):
            return
        if cut_off is not None:
            cut_off()
            for connection in tuple(self.connections):
                connection.reject_unread()
            await self.wait_empty(LAST_RESPONSES_MS)
        self.abort()

    async def wait_empty(self, timeout_ms: float) -> bool:
        """Wait until no connection is left; return whether there is none within `timeout_ms`."""
        if not self.connections:
            return True
        try:
            await asyncio.wait_for(self.empty.wait(), timeout_ms / MS_PER_SECOND)
        except TimeoutError:
            return False
        return True

    def abort(self) -> None:
        """Reset all connections."""
        for connection in tuple(self.connections):
            connection.reset("the drain has ended")

    def admit(self, connection: ServerConnection) -> ClosingReason | None:
        """Give a new connection a place; return the reason if it gets none.

        The place may be that of another connection, which is closed.
        """
        self.connections.add(connection)
        self.by_address[connection.address] += 1
        reason = self.find_place(connection.address)
        activity = Activity.IDLE if reason is None else Activity.CLOSING
        self.places.put(connection, activity, self.clock.now())
        return reason

    def find_place(self, address: str) -> ClosingReason | None:
        """Make a place for a new connection; return the reason if it may have none.

        A connection that is closing gives way also to one that is rejected, so that rejected ones
        do not add up.
        """
        now = self.clock.now()
        is_full = len(self.places) >= self.limits.connections
        address_full = self.by_address[address] > self.max_connections_of_address
        if address_full:
            found = self.places.longest_silent(Activity.CLOSING, now, 0.0)
        else:
            found = self.places.find_displaceable(now)
        if is_full and found is not None:
            found.displace("there is no place for a new connection")
        if address_full:
            return ClosingReason.ADDRESS_FULL
        return ClosingReason.BUSY if is_full and found is None else None

    @property
    def max_connections_of_address(self) -> float:
        """Maximum number of connections of one client address."""
        limits = self.limits
        if limits.address_share == 1.0:
            return inf
        return max(1.0, limits.address_share * limits.connections)

    def displace_upload(self) -> bool:
        """Close the connection whose body gives way to another; return whether there is one."""
        now = self.clock.now()
        for connection, since in self.places.groups[Activity.RECEIVING].items():
            if now - since < STALLED_UPLOAD_MS:
                return False
            if connection.holds_large_body:
                connection.displace("there is no memory for another body")
                return True
        return False

    def count_ahead(self, task: asyncio.Task[None]) -> None:
        """Count a request that runs behind an earlier one of its connection until it ends."""
        self.ahead += 1
        task.add_done_callback(self.end_ahead)

    def end_ahead(self, task: asyncio.Task[None]) -> None:
        """Count one such request less."""
        self.ahead -= 1

    def uploads_of(self, address: str) -> ByteBudget:
        """Return the budget for the bodies from one client address."""
        share = self.limits.address_share
        if share == 1.0:
            return self.budgets.uploads
        if address not in self.uploads:
            whole = self.budgets.uploads
            self.uploads[address] = ByteBudget(share * whole.limit, whole)
        return self.uploads[address]

    def remove(self, connection: ServerConnection) -> None:
        """Remove a closed connection."""
        self.connections.discard(connection)
        self.places.remove(connection)
        self.remove_address(connection.address)
        if self.draining and not self.connections:
            self.empty.set()

    def remove_address(self, address: str) -> None:
        """Count one connection less of a client address."""
        self.by_address[address] -= 1
        if self.by_address[address] <= 0:
            del self.by_address[address]
            self.uploads.pop(address, None)
