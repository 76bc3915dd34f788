"""How the requests of a caller's connection are read from the received bytes."""

from typing import TYPE_CHECKING

import h11

from cactusvane.errors import RequestError
from cactusvane.http.check import bad_request, body_too_large, check_head, check_lines
from cactusvane.http.message import find_header
from cactusvane.http.parser_errors import describe
from cactusvane.http.turns import EVENTS_PER_TURN
from cactusvane.verdict import Verdict

if TYPE_CHECKING:
    from cactusvane.http.server_connection import ServerConnection

NO_MEMORY_RETRY_AFTER_MS = 1_000.0
"""Delay after which a caller may repeat an upload that there was no memory for."""


def handle_received(connection: "ServerConnection") -> bool:
    """Handle some events of the parser; return whether there are more."""
    incoming = connection.incoming
    if incoming.head is None and not connection.head_started and incoming.parser.trailing_data[0]:
        connection.head_started = True
        connection.timer.set(connection.limits.head_ms, connection.reject_slow_head)
    try:
        if incoming.head is None:
            check_lines(incoming.parser.trailing_data[0])
        for _ in range(EVENTS_PER_TURN):
            if not handle_event(connection, connection.incoming.parser.next_event()):
                return False
    except h11.RemoteProtocolError as error:
        connection.reject(bad_request("bad-http", describe(error), error.error_status_hint))
        return False
    except RequestError as error:
        connection.reject(error)
        return False
    return True


def handle_event(connection: "ServerConnection", event: object) -> bool:
    """Handle one event of the parser; return whether another event may follow."""
    match event:
        case h11.Request():
            handle_head(connection, event)
            return connection.may_run(event)
        case h11.Data():
            handle_data(connection, event.data)
            return True
        case h11.EndOfMessage():
            connection.dispatch()
            return False
        case h11.ConnectionClosed():
            connection.close()
            return False
        case _:
            return False


def handle_head(connection: "ServerConnection", head: h11.Request) -> None:
    """Validate the head and wait for the body.

    Raises
    ------
    RequestError
        The head is invalid or too large.
    """
    connection.incoming.head = head
    connection.head_started = False
    check_head(head, connection.limits)
    length = find_header(head.headers, b"content-length")
    if length is not None:
        reserve(connection, int(length))
    if not connection.may_run(head):
        connection.timer.clear()
        return
    begin_body(connection)


def begin_body(connection: "ServerConnection") -> None:
    """Receive the body of a request that may run."""
    limits = connection.limits
    connection.body_due_at = connection.server.clock.now() + limits.body_ms
    connection.timer.set(min(limits.stall_ms, limits.body_ms), connection.reject_slow_body)
    ask_for_body(connection)


def ask_for_body(connection: "ServerConnection") -> None:
    """Send the interim response that the caller waits for, unless a response is due first."""
    if connection.incoming.parser.they_are_waiting_for_100_continue and not connection.exchanges:
        interim = h11.InformationalResponse(status_code=100, headers=[])
        connection.output.write(connection.incoming.parser.send(interim) or b"")


def reserve(connection: "ServerConnection", size: int) -> None:
    """Reserve memory for a body of this size.

    Raises
    ------
    RequestError
        There is not enough memory now: status 503.
    """
    upload = connection.incoming.upload
    if size <= upload.size:
        return
    while not upload.take(size):
        if connection.server.displace_upload():
            continue
        text = f"there is no room for a body of {size} bytes now"
        raise RequestError(503, "no-memory", text, Verdict.NOT_RUN, NO_MEMORY_RETRY_AFTER_MS)


def handle_data(connection: "ServerConnection", data: bytes | bytearray) -> None:
    """Buffer a part of the body.

    Raises
    ------
    RequestError
        The body is too large (status 413), or there is not enough memory now (503).
    """
    body = connection.incoming.body
    size = len(body) + len(data)
    if size > connection.limits.body_bytes:
        raise body_too_large(connection.limits)
    reserve(connection, size)
    body += data
