"""New connections to targets, opened ahead of need.

HTTP/1.1 names no exchange in its answers, so a target that answers late, twice or at too great a
length could put its answer under the next request. A connection from here has carried nothing
yet; which ones may carry another exchange is said in `cactusvane.http.kept`.
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

MOST_SPARES = 4
"""Connections to one target that are open and unused at most."""

SPARE_MS = 5_000
"""Age at which an unused connection is closed."""

VERIFIED_MS = 1_000
"""Age below which a connection counts as just verified."""

REFILL_MS = 3
"""Delay before spares are opened, so that they are not in the way of the request."""


@dataclass(frozen=True, slots=True)
class Spare:
    """An unused connection and when it was opened, in milliseconds."""

    connection: ClientConnection
    opened: float


@dataclass(slots=True)
class TargetState:
    """What is open to one target.

    Attributes
    ----------
    spares
        Unused connections, oldest first.
    wanted
        How many spares to hold.
    opening
        Sockets that are connecting, and since when, in milliseconds.
    refilling
        Whether spares are about to be opened.
    used
        When a connection was last taken, in milliseconds.
    """

    spares: deque[Spare] = field(default_factory=deque)
    wanted: int = 1
    opening: dict[socket.socket, float] = field(default_factory=dict)
    refilling: bool = False
    used: float = 0.0


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
    return max(0, min(MOST_SPARES, share - slots))


class TargetConnections:
    """Hands out connections that have carried nothing yet.

    Parameters
    ----------
    limits
        Bounds for the connections.
    clock
        The process's clock.
    spares
        Unused connections allowed to a target that `most_spares` does not name.

    Attributes
    ----------
    most_spares
        Unused connections allowed to each target.
    """

    def __init__(self, limits: HttpLimits, clock: Clock, spares: int = MOST_SPARES) -> None:
        self.limits = limits
        self.clock = clock
        self.spares = spares
        self.targets: dict[Address, TargetState] = {}
        self.most_spares: dict[Address, int] = {}

    async def take(self, target: Address, verified: bool) -> ClientConnection:
        """Return an open connection to `target`.

        Parameters
        ----------
        target
            Where to connect.
        verified
            Whether the connection must be younger than `VERIFIED_MS`, so that a target which
            cannot be reached is more often noticed before anything is sent.

        Raises
        ------
        ConnectError
            The target cannot be reached; nothing was sent.
        """
        state = self.targets.get(target)
        if state is None:
            state = self.targets[target] = TargetState()
        now = self.clock.now()
        state.used = now
        self.refill_soon(target, state)
        connection = self.pop(state, now - (VERIFIED_MS if verified else SPARE_MS))
        if connection:
            return connection
        state.wanted += 1
        return await self.open(target)

    def pop(self, state: TargetState, oldest: float) -> ClientConnection | None:
        """Return the youngest spare if it was opened after `oldest` and is open."""
        while state.spares:
            spare = state.spares.pop()
            if not spare.connection.open:
                continue
            if spare.opened < oldest:
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

    def refill_soon(self, target: Address, state: TargetState) -> None:
        """Open spares after `REFILL_MS`."""
        if not state.refilling:
            state.refilling = True
            asyncio.get_running_loop().call_later(
                REFILL_MS / MS_PER_SECOND, self.refill, target, state
            )

    def refill(self, target: Address, state: TargetState) -> None:
        """Open spares in the background until there are as many as wanted."""
        state.refilling = False
        if self.targets.get(target) is not state:
            return
        state.wanted = min(state.wanted, self.most_spares.get(target, self.spares))
        while len(state.spares) + len(state.opening) < state.wanted:
            try:
                sock = start_connecting(target)
            except ConnectError:
                return
            state.opening[sock] = self.clock.now()
            asyncio.get_running_loop().add_writer(
                sock.fileno(), self.connected, target, state, sock
            )

    def connected(self, target: Address, state: TargetState, sock: socket.socket) -> None:
        """Hold a spare that is connected; a target that cannot be reached gets none."""
        asyncio.get_running_loop().remove_writer(sock.fileno())
        del state.opening[sock]
        try:
            check_connected(sock, target)
        except ConnectError:
            return
        state.spares.append(Spare(ClientConnection(sock, self.limits), self.clock.now()))

    def give_up(self, state: TargetState, opened_before: float) -> None:
        """Close sockets that have been connecting for too long."""
        for sock, since in tuple(state.opening.items()):
            if since < opened_before:
                del state.opening[sock]
                asyncio.get_running_loop().remove_writer(sock.fileno())
                sock.close()

    def close_idle(self, target: Address) -> None:
        """Close the unused connections to `target`."""
        state = self.targets.pop(target, None)
        if state:
            self.give_up(state, inf)
            for spare in state.spares:
                spare.connection.close()

    def tick(self) -> None:
        """Close spares that have grown old; forget targets that are no longer used."""
        now = self.clock.now()
        for target, state in tuple(self.targets.items()):
            self.give_up(state, now - self.limits.connect_ms)
            while state.spares and state.spares[0].opened < now - SPARE_MS:
                state.spares.popleft().connection.close()
                state.wanted = max(1, state.wanted - 1)
            if state.used < now - SPARE_MS:
                self.close_idle(target)
            else:
                self.refill(target, state)

    def close(self) -> None:
        """Close all unused connections."""
        for target in tuple(self.targets):
            self.close_idle(target)
