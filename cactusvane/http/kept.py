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

MOST_KEPT = 2
"""Resting connections to one target."""

REST_MS = 5_000.0
"""How long a connection rests where its target does not say for how long it may."""

MARGIN_MS = 1_000.0
"""Time before the end that a target announced; its answer was on the way meanwhile."""


@dataclass(frozen=True, slots=True)
class Resting:
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
    since: float
    until: float
    request_id: bytes | None


def announced_rest_ms(response: Response) -> float:
    """Return how long the target lets the connection rest, by its ``Keep-Alive`` field.

    Examples
    --------
    >>> announced_rest_ms(Response(200, [(b"keep-alive", b"timeout=4, max=100")]))
    3000.0
    >>> announced_rest_ms(Response(200, [(b"keep-alive", b"4")]))
    3000.0
    >>> announced_rest_ms(Response(200)) == REST_MS
    True
    """
    field = response.header(b"keep-alive")
    if field is None:
        return REST_MS
    for part in field.split(b","):
        name, _, value = part.strip().rpartition(b"=")
        if name in (b"", b"timeout") and value.isdigit():
            return max(0.0, float(value) * MS_PER_SECOND - MARGIN_MS)
    return 0.0


class KeptConnections:
    """Connections that rest, by target.

    Parameters
    ----------
    clock
        The process's clock.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.resting: dict[Address, deque[Resting]] = {}

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
        rest_ms = announced_rest_ms(response)
        if rest_ms <= 0.0 or not connection.open:
            connection.close()
            return
        now = self.clock.now()
        resting = self.resting.setdefault(target, deque())
        resting.append(Resting(connection, now, now + rest_ms, request_id))
        if len(resting) > MOST_KEPT:
            resting.popleft().connection.close()

    def rested_ms(self, target: Address) -> float | None:
        """Return how long the connection that `take` would return has rested, None for none."""
        resting = self.resting.get(target)
        return self.clock.now() - resting[-1].since if resting else None

    def take(
        self, target: Address, most_rest_ms: float, request_id: bytes | None
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
        resting = self.resting.get(target)
        while resting:
            last = resting[-1]
            if now - last.since > most_rest_ms or last.request_id == request_id:
                return None
            resting.pop()
            if now < last.until and last.connection.open:
                last.connection.rested_ms = now - last.since
                return last.connection
            last.connection.close()
        return None

    def retain(self, targets: set[Address]) -> None:
        """Close the connections to all other targets."""
        for target in self.resting.keys() - targets:
            self.close_to(target)

    def close_to(self, target: Address) -> None:
        """Close the connections to a target."""
        for resting in self.resting.pop(target, ()):
            resting.connection.close()

    def tick(self) -> None:
        """Close connections that have rested for too long."""
        now = self.clock.now()
        for target, resting in tuple(self.resting.items()):
            while resting and now >= resting[0].until:
                resting.popleft().connection.close()
            if not resting:
                del self.resting[target]

    def close(self) -> None:
        """Close all."""
        for target in tuple(self.resting):
            self.close_to(target)
