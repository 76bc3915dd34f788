"""Idle connections to targets, kept open for another exchange.

HTTP/1.1 responses do not identify their request. Therefore a connection is pooled only if its last
response was complete, had a ``Content-Length`` and belonged to this entry's request. A connection
on which anything arrives while it is idle is closed. It carries no request without an id, and no
request id twice, since a late copy of an earlier response would be taken for the response to it.
"""

from collections import deque
from dataclasses import dataclass

from cactusvane.clock import MS_PER_SECOND, Clock
from cactusvane.fleet.vm import Address
from cactusvane.http.client import ClientConnection
from cactusvane.http.message import Response

MAX_IDLE_PER_TARGET = 2
"""Maximum number of idle connections to one target."""

DEFAULT_IDLE_MS = 5_000.0
"""Idle timeout in milliseconds for a target that does not announce one."""

MAX_EXCHANGES = 256
"""Exchanges after which a connection is closed; the ids of all of them are remembered."""

KEEP_ALIVE_MARGIN_MS = 1_000.0
"""Margin in milliseconds subtracted from a target's announced idle timeout.

The target's timeout starts when it sends the response, not when the response arrives here.
"""


@dataclass(frozen=True, slots=True)
class IdleConnection:
    """An idle connection.

    Parameters
    ----------
    connection
        The connection, which was open when it became idle.
    idle_since, expires_at
        When it became idle and when it is to be closed, in milliseconds (monotonic clock of the
        process).
    """

    connection: ClientConnection
    idle_since: float
    expires_at: float


def keep_alive_ms(response: Response) -> float:
    """Return the idle timeout, in milliseconds, that follows from the ``Keep-Alive`` field.

    The result is 0 if the field has no valid timeout.

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
    """Pool of idle connections, by target.

    Parameters
    ----------
    clock
        Clock of the process.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.by_target: dict[Address, deque[IdleConnection]] = {}

    def put(
        self,
        target: Address,
        connection: ClientConnection,
        response: Response,
        request_id: bytes,
    ) -> None:
        """Add a connection to the pool, or close it if it cannot be reused.

        Parameters
        ----------
        target
            Address of the target.
        connection
            The connection that `response` arrived on.
        response
            A complete response that is proved to belong to the request.
        request_id
            Id of that request.
        """
        idle_ms = keep_alive_ms(response)
        connection.request_ids.add(request_id)
        worn_out = len(connection.request_ids) >= MAX_EXCHANGES
        if idle_ms <= 0.0 or worn_out or not connection.open:
            connection.close()
            return
        now = self.clock.now()
        idle = self.by_target.setdefault(target, deque())
        idle.append(IdleConnection(connection, now, now + idle_ms))
        if len(idle) > MAX_IDLE_PER_TARGET:
            idle.popleft().connection.close()

    def idle_ms(self, target: Address) -> float | None:
        """Return the idle time, in milliseconds, of the newest connection, or None."""
        idle = self.by_target.get(target)
        return self.clock.now() - idle[-1].idle_since if idle else None

    def take(
        self, target: Address, max_idle_ms: float, request_id: bytes | None
    ) -> ClientConnection | None:
        """Return the connection that became idle last, or None if it must not be used.

        Connections that have expired or were closed by the target are dropped.

        Parameters
        ----------
        target
            Address of the target.
        max_idle_ms
            Maximum time that the connection may have been idle, in milliseconds.
        request_id
            Id of the next request; without one its response could not be told from a late one.
        """
        if request_id is None:
            return None
        now = self.clock.now()
        idle = self.by_target.get(target)
        while idle:
            newest = idle[-1]
            carried = request_id in newest.connection.request_ids
            if carried or now - newest.idle_since > max_idle_ms:
                return None
            idle.pop()
            if now < newest.expires_at and newest.connection.open:
                newest.connection.idle_ms = now - newest.idle_since
                return newest.connection
            newest.connection.close()
        return None

    def retain(self, targets: set[Address]) -> None:
        """Close the connections to targets that are not in `targets`."""
        for target in self.by_target.keys() - targets:
            self.close_to(target)

    def close_to(self, target: Address) -> None:
        """Close the connections to `target`."""
        for idle in self.by_target.pop(target, ()):
            idle.connection.close()

    def tick(self) -> None:
        """Close connections whose idle timeout has expired."""
        now = self.clock.now()
        for target, idle in tuple(self.by_target.items()):
            while idle and now >= idle[0].expires_at:
                idle.popleft().connection.close()
            if not idle:
                del self.by_target[target]

    def close(self) -> None:
        """Close all connections."""
        for target in tuple(self.by_target):
            self.close_to(target)
