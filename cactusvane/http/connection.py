"""New connections to targets, opened ahead of need.

HTTP/1.1 names no exchange in its answers, so a target that answers late, twice or at too great a
length could put its answer under the next request. A connection from here has carried nothing
yet; which ones may carry another exchange is said in `cactusvane.http.idle`.
"""

import asyncio
import socket
from collections import deque
from dataclasses import dataclass, field
from math import inf

from cactusvane.clock import MS_PER_SECOND, Clock
from cactusvane.errors import ConnectError
from cactusvane.fleet.vm import Address
from cactusvane.http.client import ClientConnection
from cactusvane.http.connect import check_connected, connect, start_connecting
from cactusvane.settings import HttpLimits

MAX_SPARES = 4
"""Connections to one target that are open and unused at most."""

MAX_SPARE_AGE_MS = 5_000
"""Age at which an unused connection is closed."""

MAX_VERIFIED_AGE_MS = 1_000
"""Age below which a connection counts as just verified."""

REFILL_DELAY_MS = 3
"""Delay before spares are opened, so that they are not in the way of the request."""


@dataclass(frozen=True, slots=True)
class Spare:
    """An unused connection and when it was opened, in milliseconds."""

    connection: ClientConnection
    opened_at: float


@dataclass(slots=True)
class TargetSpares:
    """What is open to one target.

    Attributes
    ----------
    spares
        Unused connections, oldest first.
    wanted_spares
        How many spares to hold.
    opening
        Sockets that are connecting, and since when, in milliseconds.
    refill_scheduled
        Whether spares are about to be opened.
    last_used_at
        When a connection was last taken, in milliseconds.
    """

    spares: deque[Spare] = field(default_factory=deque)
    wanted_spares: int = 1
    opening: dict[socket.socket, float] = field(default_factory=dict)
    refill_scheduled: bool = False
    last_used_at: float = 0.0


def spares_allowed(connections: int, entries: int, slots: int) -> int:
    """Return how many unused connections one entry may hold to one target.

    Parameters
    ----------
    connections
        What the target accepts from the whole fleet.
    entries
        VMs of the fleet.
    slots
        Requests that the target runs at once, and so connections of one entry in use.

    Returns
    -------
    int
        0 where the entry's share of the connections is needed for requests.

    Examples
    --------
    >>> spares_allowed(400, 48, 4), spares_allowed(400, 5_700, 4)
    (4, 0)
    """
    share = connections // max(1, entries)
    return max(0, min(MAX_SPARES, share - slots))


class FreshConnections:
    """Hands out connections that have carried nothing yet.

    Parameters
    ----------
    limits
        Bounds for the connections.
    clock
        The process's clock.
    default_max_spares
        Unused connections allowed to a target that `max_spares` does not name.

    Attributes
    ----------
    max_spares
        Unused connections allowed to each target.
    """

    def __init__(
        self, limits: HttpLimits, clock: Clock, default_max_spares: int = MAX_SPARES
    ) -> None:
        self.limits = limits
        self.clock = clock
        self.default_max_spares = default_max_spares
        self.targets: dict[Address, TargetSpares] = {}
        self.max_spares: dict[Address, int] = {}

    async def take(self, target: Address, verified: bool) -> ClientConnection:
        """Return an open connection to `target`.

        Parameters
        ----------
        target
            Where to connect.
        verified
            Whether the connection must be younger than `MAX_VERIFIED_AGE_MS`, so that an
            unreachable target is more often noticed before anything is sent.

        Raises
        ------
        ConnectError
            The target cannot be reached; nothing was sent.
        """
        state = self.targets.get(target)
        if state is None:
            state = self.targets[target] = TargetSpares()
        now = self.clock.now()
        state.last_used_at = now
        self.schedule_refill(target, state)
        connection = self.pop(state, now - (MAX_VERIFIED_AGE_MS if verified else MAX_SPARE_AGE_MS))
        if connection:
            return connection
        state.wanted_spares += 1
        return await self.open(target)

    def pop(self, state: TargetSpares, oldest: float) -> ClientConnection | None:
        """Return the youngest spare if it was opened after `oldest` and is open."""
        while state.spares:
            spare = state.spares.pop()
            if not spare.connection.open:
                continue
            if spare.opened_at < oldest:
                state.spares.append(spare)
                return None
            return spare.connection
        return None

    async def open(self, target: Address) -> ClientConnection:
        """Open a connection, within the time that the limits allow."""
        connect_ms = self.limits.connect_ms
        try:
            async with asyncio.timeout(connect_ms / MS_PER_SECOND):
                return await connect(target, self.limits)
        except TimeoutError as error:
            raise ConnectError(f"{target}: no connection within {connect_ms} ms") from error

    def schedule_refill(self, target: Address, state: TargetSpares) -> None:
        """Open spares after `REFILL_DELAY_MS`."""
        if not state.refill_scheduled:
            state.refill_scheduled = True
            asyncio.get_running_loop().call_later(
                REFILL_DELAY_MS / MS_PER_SECOND, self.refill, target, state
            )

    def refill(self, target: Address, state: TargetSpares) -> None:
        """Open spares in the background until there are as many as wanted."""
        state.refill_scheduled = False
        if self.targets.get(target) is not state:
            return
        state.wanted_spares = min(
            state.wanted_spares, self.max_spares.get(target, self.default_max_spares)
        )
        while len(state.spares) + len(state.opening) < state.wanted_spares:
            try:
                sock = start_connecting(target)
            except ConnectError:
                return
            state.opening[sock] = self.clock.now()
            asyncio.get_running_loop().add_writer(
                sock.fileno(), self.add_spare, target, state, sock
            )

    def add_spare(self, target: Address, state: TargetSpares, sock: socket.socket) -> None:
        """Hold a spare that is connected; a target that cannot be reached gets none."""
        asyncio.get_running_loop().remove_writer(sock.fileno())
        del state.opening[sock]
        try:
            check_connected(sock, target)
        except ConnectError:
            return
        state.spares.append(Spare(ClientConnection(sock, self.limits), self.clock.now()))

    def abort_connecting(self, state: TargetSpares, started_before: float) -> None:
        """Close sockets that have been connecting for too long."""
        for sock, since in tuple(state.opening.items()):
            if since < started_before:
                del state.opening[sock]
                asyncio.get_running_loop().remove_writer(sock.fileno())
                sock.close()

    def close_spares(self, target: Address) -> None:
        """Close the unused connections to `target`."""
        state = self.targets.pop(target, None)
        if state:
            self.abort_connecting(state, inf)
            for spare in state.spares:
                spare.connection.close()

    def tick(self) -> None:
        """Close spares that have grown old; forget targets that are no longer used."""
        now = self.clock.now()
        for target, state in tuple(self.targets.items()):
            self.abort_connecting(state, now - self.limits.connect_ms)
            while state.spares and state.spares[0].opened_at < now - MAX_SPARE_AGE_MS:
                state.spares.popleft().connection.close()
                state.wanted_spares = max(1, state.wanted_spares - 1)
            if state.last_used_at < now - MAX_SPARE_AGE_MS:
                self.close_spares(target)
            else:
                self.refill(target, state)

    def close(self) -> None:
        """Close all unused connections."""
        for target in tuple(self.targets):
            self.close_spares(target)
