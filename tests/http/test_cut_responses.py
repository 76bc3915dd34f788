"""Responses that end early, at every byte, on the buffered and on the streamed path."""

import asyncio
import socket

import pytest

from cactusvane.errors import BrokenResponseError
from cactusvane.http.client import ClientConnection
from cactusvane.http.message import Request
from cactusvane.settings import HttpLimits

LIMITS = HttpLimits(unframed=True)
SMALL = HttpLimits(unframed=True, buffer_bytes=8)
HEAD_FIELDS = b"x-request-id: q1\r\nx-response-stamp: s.7\r\n"
BODY = b"a body of some length"
LENGTH = b"content-length: %d\r\n" % len(BODY)
OK = b"HTTP/1.1 200 OK\r\n"

FRAMED = {
    "length": OK + HEAD_FIELDS + LENGTH + b"\r\n" + BODY,
    "length first": OK + LENGTH + HEAD_FIELDS + b"\r\n" + BODY,
    "chunked": OK
    + HEAD_FIELDS
    + b"transfer-encoding: chunked\r\n\r\n15\r\n"
    + BODY
    + b"\r\n0\r\n\r\n",
    "trailers": OK
    + HEAD_FIELDS
    + b"transfer-encoding: chunked\r\n\r\n15\r\n"
    + BODY
    + b"\r\n0\r\nx-checksum: 9\r\n\r\n",
    "interim": b"HTTP/1.1 100 Continue\r\n\r\n"
    b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n" + OK + HEAD_FIELDS + LENGTH + b"\r\n" + BODY,
    "empty": OK + HEAD_FIELDS + b"content-length: 0\r\n\r\n",
    "failure": b"HTTP/1.1 500 No\r\n" + HEAD_FIELDS + LENGTH + b"\r\n" + BODY,
}
UNFRAMED = OK + HEAD_FIELDS + b"\r\n" + BODY


async def receive(data: bytes, method: str, limits: HttpLimits, reset: bool) -> bytes:
    """Return the body of a response of which only `data` arrives.

    Raises
    ------
    BrokenResponseError
        The response counts as incomplete.
    """
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    connection = ClientConnection(ours, limits)
    theirs.sendall(data)
    if not reset:
        theirs.shutdown(socket.SHUT_WR)
    exchange = asyncio.ensure_future(connection.exchange(Request(method, "/", [(b"host", b"h")])))
    try:
        if reset:
            await asyncio.sleep(0)
            connection.receive()
            connection.fail("reset by the target")
        response = await asyncio.wait_for(exchange, 5.0)
        body = response.body
        if response.rest is not None:
            async for part in response.rest:
                body += part
        return body
    finally:
        connection.close()
        theirs.close()


def outcome(data: bytes, method: str, limits: HttpLimits, reset: bool = False) -> bytes | None:
    """Return the body, or None for an incomplete response."""
    try:
        return asyncio.run(receive(data, method, limits, reset))
    except BrokenResponseError:
        return None


@pytest.mark.parametrize("limits", [LIMITS, SMALL])
@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("kind", FRAMED)
def test_no_prefix_of_a_framed_response_is_complete(
    kind: str, method: str, limits: HttpLimits
) -> None:
    reply = FRAMED[kind]
    complete = [
        end for end in range(len(reply)) if outcome(reply[:end], method, limits) is not None
    ]
    assert complete == []
    assert outcome(reply, method, limits) == (b"" if kind == "empty" else BODY)


@pytest.mark.parametrize("kind", ["length", "chunked", "interim", "failure"])
def test_no_prefix_of_a_head_is_a_complete_response_to_head(kind: str) -> None:
    reply = FRAMED[kind].partition(BODY)[0].removesuffix(b"15\r\n")
    complete = [
        end for end in range(len(reply)) if outcome(reply[:end], "HEAD", LIMITS) is not None
    ]
    assert complete == []
    assert outcome(reply, "HEAD", LIMITS) == b""


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_response_without_a_length_ends_with_its_connection_but_not_within_its_head(
    method: str,
) -> None:
    head_end = len(UNFRAMED) - len(BODY)
    for end in range(len(UNFRAMED) + 1):
        body = outcome(UNFRAMED[:end], method, LIMITS)
        assert body == (UNFRAMED[head_end:end] if end >= head_end else None)


def test_a_response_without_a_length_that_is_reset_is_not_complete() -> None:
    assert outcome(UNFRAMED, "GET", LIMITS, reset=True) is None


@pytest.mark.parametrize("kind", [*FRAMED, "unframed"])
@pytest.mark.parametrize("limits", [LIMITS, SMALL])
def test_a_head_with_bare_line_feeds_is_no_response(kind: str, limits: HttpLimits) -> None:
    """What stops within such a head can look like its end."""
    reply = FRAMED.get(kind, UNFRAMED)
    for end in range(len(OK), len(reply) + 1):
        assert outcome(reply[:end].replace(b"\r\n", b"\n"), "GET", limits) is None


@pytest.mark.parametrize("cut", [b"\n\n", b"\n\r\n", b"\r\n\n"])
def test_a_head_that_stops_with_line_feeds_is_no_empty_response(cut: bytes) -> None:
    for end in range(len(OK), len(OK + HEAD_FIELDS + LENGTH)):
        data = FRAMED["length"][:end].rstrip(b"\r\n") + cut
        assert outcome(data, "GET", LIMITS) is None
