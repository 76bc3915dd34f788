"""HTTP server for callers' connections, parsed strictly by h11."""

import asyncio
from collections.abc import Awaitable, Callable

from cactusvane.clock import MS_PER_SECOND
from cactusvane.fleet.vm import Address
from cactusvane.http.exchange import Caller
from cactusvane.http.memory import Budgets
from cactusvane.http.message import Request, Response
from cactusvane.http.server_connection import ServerConnection
from cactusvane.settings import HttpLimits

READ_BYTES = 16_384
"""Maximum number of bytes of one read from a caller."""

LAST_RESPONSES_MS = 100
"""Time in milliseconds for the last responses of a drain to reach their callers."""

Handler = Callable[[Request, Caller], Awaitable[Response]]
"""Returns the response to a request or raises `RequestError`."""


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
    """

    def __init__(
        self, limits: HttpLimits, handler: Handler, budgets: Budgets | None = None
    ) -> None:
        self.limits = limits
        self.handler = handler
        self.budgets = budgets or Budgets()
        self.read_buffer = bytearray(READ_BYTES)
        self.connections: set[ServerConnection] = set()
        self.leaving = False
        self.draining = False
        self.empty = asyncio.Event()
        self.listeners: list[asyncio.Server] = []

    async def start(self, address: Address) -> Address:
        """Listen on `address`, in addition to earlier addresses; return it with the actual port."""
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(
            lambda: ServerConnection(self), address.host, address.port, backlog=512
        )
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

    def remove(self, connection: "ServerConnection") -> None:
        """Remove a closed connection."""
        self.connections.discard(connection)
        if self.draining and not self.connections:
            self.empty.set()
