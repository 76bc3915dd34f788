"""Connections to targets that rest after a whole answer, for another exchange.

HTTP/1.1 names no exchange in its answers. So only a connection whose last answer was whole, of
announced length and this entry's own is kept; anything that comes while it rests ends it; and it
carries no request with the id of the one before, whose answer a late copy would pass for.
"""

from collections import deque
from dataclasses import dataclass

from cactusvane.clock import MS_PER_SECOND, Clock
from cactusvane.fleet.vm import Address
from cactusvane.http.client import ClientConnection
from cactusvane.http.message import Response

MAX_IDLE_PER_TARGET = 2
"""Resting connections to one target."""

DEFAULT_IDLE_MS = 5_000.0
"""How long a connection rests where its target does not say for how long it may."""

KEEP_ALIVE_MARGIN_MS = 1_000.0
"""Time before the end that a target announced; its answer was on the way meanwhile."""


@dataclass(frozen=True, slots=True)
class IdleConnection:
    """A connection that rests.

    Parameters
    ----------
    connection
        Open when it was put here.
    since, until
        When it began to rest, and when it is closed, in milliseconds of the process's clock.
    request_id
        Of its last request.
    """

    connection: ClientConnection
    idle_since: float
    expires_at: float
    request_id: bytes | None


def keep_alive_ms(response: Response) -> float:
    """Return how long the target lets the connection rest, by its ``Keep-Alive`` field.

    Examples
    --------
    >>> keep_alive_ms(Response(200, [(b"keep-alive", b"timeout=4, max=100")]))
    3000.0
    >>> keep_alive_ms(Response(200, [(b"keep-alive", b"4")]))
    3000.0
    >>> keep_alive_ms(Response(200)) == DEFAULT_IDLE_MS
    True
    """
    field = response.header(b"keep-alive")
    if field is None:
        return DEFAULT_IDLE_MS
    for part in field.split(b","):
        name, _, value = part.strip().rpartition(b"=")
        if name in (b"", b"timeout") and value.isdigit():
            return max(0.0, float(value) * MS_PER_SECOND - KEEP_ALIVE_MARGIN_MS)
    return 0.0


class IdleConnections:
    """Connections that rest, by target.

    Parameters
    ----------
    clock
        The process's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.by_target: dict[Address, deque[IdleConnection]] = {}

    def put(
        self,
        target: Address,
        connection: ClientConnection,
        response: Response,
        request_id: bytes | None,
    ) -> None:
        """Let a connection rest, if its last exchange left it open.

        Parameters
        ----------
        target
            Where it leads.
        connection
            That brought `answer`.
        answer
            Whole, and proved to belong to the request.
        request_id
            Of that request.
        """
        idle_ms = keep_alive_ms(response)
        if idle_ms <= 0.0 or not connection.open:
            connection.close()
            return
        now = self.clock.now()
        idle = self.by_target.setdefault(target, deque())
        idle.append(IdleConnection(connection, now, now + idle_ms, request_id))
        if len(idle) > MAX_IDLE_PER_TARGET:
            idle.popleft().connection.close()

    def idle_ms(self, target: Address) -> float | None:
        """Return how long the connection that `take` would return has rested, None for none."""
        idle = self.by_target.get(target)
        return self.clock.now() - idle[-1].idle_since if idle else None

    def take(
        self, target: Address, max_idle_ms: float, request_id: bytes | None
    ) -> ClientConnection | None:
        """Return the connection that rested least, if it is fit for a request.

        Parameters
        ----------
        target
            Where it leads.
        most_rest_ms
            How long it may have rested.
        request_id
            Of the request that it is to carry.
        """
        now = self.clock.now()
        idle = self.by_target.get(target)
        while idle:
            newest = idle[-1]
            if now - newest.idle_since > max_idle_ms or newest.request_id == request_id:
                return None
            idle.pop()
            if now < newest.expires_at and newest.connection.open:
                newest.connection.idle_ms = now - newest.idle_since
                return newest.connection
            newest.connection.close()
        return None

    def retain(self, targets: set[Address]) -> None:
        """Close the connections to all other targets."""
        for target in self.by_target.keys() - targets:
            self.close_to(target)

    def close_to(self, target: Address) -> None:
        """Close the connections to a target."""
        for idle in self.by_target.pop(target, ()):
            idle.connection.close()

    def tick(self) -> None:
        """Close connections that have rested for too long."""
        now = self.clock.now()
        for target, idle in tuple(self.by_target.items()):
            while idle and now >= idle[0].expires_at:
                idle.popleft().connection.close()
            if not idle:
                del self.by_target[target]

    def close(self) -> None:
        """Close all."""
        for target in tuple(self.by_target):
            self.close_to(target)
