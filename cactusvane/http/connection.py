"""New connections to targets, opened ahead of need.

HTTP/1.1 responses do not identify their request, so on a reused connection a response that is
late, sent twice or too long could be taken for the response to the next request. Connections from
this module have never been used; `cactusvane.http.idle` holds those that may be reused.
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
from cactusvane.http.memory import Budgets
from cactusvane.settings import HttpLimits

MAX_SPARES = 4
"""Maximum number of spare (open, never used) connections to one target."""

MAX_SPARE_AGE_MS = 5_000
"""Age in milliseconds at which a spare connection is closed."""

MAX_VERIFIED_AGE_MS = 1_000
"""Age in milliseconds below which the target counts as just verified to be reachable."""

REFILL_DELAY_MS = 3
"""Delay in milliseconds before spares are opened, so that they do not delay the request."""


@dataclass(frozen=True, slots=True)
class Spare:
    """A never used connection and when it was opened, in milliseconds (monotonic clock)."""

    connection: ClientConnection
    opened_at: float


@dataclass(slots=True)
class TargetSpares:
    """The spare connections to one target.

    Attributes
    ----------
    spares
        Spare connections, oldest first.
    wanted_spares
        Number of spares to hold.
    opening
        Sockets that are connecting, with the time at which they started, in milliseconds (monotonic
        clock of the process).
    refill_scheduled
        Whether a refill is scheduled.
    last_used_at
        When a connection was last requested, in milliseconds (monotonic clock of the process).
    """

    spares: deque[Spare] = field(default_factory=deque)
    wanted_spares: int = 1
    opening: dict[socket.socket, float] = field(default_factory=dict)
    refill_scheduled: bool = False
    last_used_at: float = 0.0


def spares_allowed(connections: int, entries: int, slots: int) -> int:
    """Return how many spare connections one entry may hold to one target.

    Parameters
    ----------
    connections
        Maximum number of connections that the target accepts from the whole fleet.
    entries
        Number of VMs in the fleet.
    slots
        Number of requests that the target runs concurrently, and thus the maximum number of
        connections of one entry that are in use.

    Returns
    -------
    int
        0 if the entry's share of the connections is needed for requests.

    Examples
    --------
    >>> spares_allowed(400, 48, 4), spares_allowed(400, 5_700, 4)
    (4, 0)
    """
    share = connections // max(1, entries)
    return max(0, min(MAX_SPARES, share - slots))


class FreshConnections:
    """Pool of connections that have never been used, by target.

    Parameters
    ----------
    limits
        Limits that apply to each connection.
    clock
        Clock of the process.
    default_max_spares
        Maximum number of spares for a target that is not in `max_spares`.
    budgets
        What it shares with all other connections; None for a connection of its own.

    Attributes
    ----------
    max_spares
        Maximum number of spares for each target.
    """

    def __init__(
        self,
        limits: HttpLimits,
        clock: Clock,
        default_max_spares: int = MAX_SPARES,
        budgets: Budgets | None = None,
    ) -> None:
        self.limits = limits
        self.clock = clock
        self.default_max_spares = default_max_spares
        self.budgets = budgets
        self.targets: dict[Address, TargetSpares] = {}
        self.max_spares: dict[Address, int] = {}

    async def take(self, target: Address, verified: bool) -> ClientConnection:
        """Return an open connection to `target`, a spare one if possible.

        Parameters
        ----------
        target
            Address of the target.
        verified
            Whether the connection must be younger than `MAX_VERIFIED_AGE_MS`, so that an
            unreachable target is more often noticed before anything is sent.

        Raises
        ------
        ConnectError
            The target cannot be reached within `HttpLimits.connect_ms`; nothing was sent.
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
        """Return the newest spare if it is open and was not opened before `oldest`, else None."""
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
        """Open a connection within `HttpLimits.connect_ms`.

        Raises
        ------
        ConnectError
            The target cannot be reached in time.
        """
        connect_ms = self.limits.connect_ms
        try:
            async with asyncio.timeout(connect_ms / MS_PER_SECOND):
                return await connect(target, self.limits, self.budgets)
        except TimeoutError as error:
            raise ConnectError(f"{target}: no connection within {connect_ms} ms") from error

    def schedule_refill(self, target: Address, state: TargetSpares) -> None:
        """Schedule a refill of the spares after `REFILL_DELAY_MS`."""
        if not state.refill_scheduled:
            state.refill_scheduled = True
            asyncio.get_running_loop().call_later(
                REFILL_DELAY_MS / MS_PER_SECOND, self.refill, target, state
            )

    def refill(self, target: Address, state: TargetSpares) -> None:
        """Start to open as many spares as are missing."""
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
        """Add a socket that has connected to the spares, or drop it if connecting failed."""
        asyncio.get_running_loop().remove_writer(sock.fileno())
        del state.opening[sock]
        try:
            check_connected(sock, target)
        except ConnectError:
            return
        state.spares.append(
            Spare(ClientConnection(sock, self.limits, self.budgets), self.clock.now())
        )

    def abort_connecting(self, state: TargetSpares, started_before: float) -> None:
        """Close sockets that have been connecting since before `started_before`."""
        for sock, since in tuple(state.opening.items()):
            if since < started_before:
                del state.opening[sock]
                asyncio.get_running_loop().remove_writer(sock.fileno())
                sock.close()

    def close_spares(self, target: Address) -> None:
        """Close all spare connections to `target`."""
        state = self.targets.pop(target, None)
        if state:
            self.abort_connecting(state, inf)
            for spare in state.spares:
                spare.connection.close()

    def tick(self) -> None:
        """Close expired spares, replace missing ones and drop targets that are no longer used."""
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
        """Close all spare connections."""
        for target in tuple(self.targets):
            self.close_spares(target)
