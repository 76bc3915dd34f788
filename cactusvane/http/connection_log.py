"""Log lines about callers' connections that ended otherwise than their callers expect."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

from cactusvane import events
from cactusvane.events import Event
from cactusvane.http.exchange import Exchange

if TYPE_CHECKING:
    from cactusvane.http.server import Server
    from cactusvane.http.server_connection import ServerConnection


def log_unanswered(
    server: "Server", address: str, exchanges: Iterable[Exchange], reason: str
) -> None:
    """Log the requests that the handler has and whose responses the caller does not get.

    Parameters
    ----------
    server
        The server of the connection.
    address
        The client's address.
    exchanges
        The requests of the connection; nothing is logged without any.
    reason
        Why the connection ended.
    """
    requests = [exchange.summary for exchange in exchanges]
    if not requests:
        return
    events.write(
        Event.HTTP_UNANSWERED,
        count=len(requests),
        reason=reason,
        address=address,
        requests=requests,
        leaving=server.leaving,
        draining=server.draining,
    )


def log_displaced(connection: "ServerConnection", reason: str) -> None:
    """Log that a connection gives way to another one, and what it held.

    Parameters
    ----------
    connection
        The connection, which still has its place.
    reason
        What there was not enough of.
    """
    server = connection.server
    events.write(
        Event.HTTP_CLIENT_CLOSED,
        address=connection.address,
        reason=reason,
        activity=connection.activity.name.lower(),
        silent_ms=round(server.places.silent_ms(connection, server.clock.now())),
        held_bytes=connection.incoming.upload.size,
        of_address=server.by_address[connection.address],
        connections=len(server.places),
    )
