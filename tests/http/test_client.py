"""HTTP client against scripted peers on loopback."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from cactusvane.errors import BrokenResponseError, ConnectError
from cactusvane.fleet.vm import Address
from cactusvane.http.connect import connect
from cactusvane.http.fetch import fetch
from cactusvane.http.message import Request, Response
from cactusvane.settings import HttpLimits

LIMITS = HttpLimits()
SMALL = HttpLimits(buffer_bytes=64)


async def with_peer(reply: bytes, use: Callable[[Address], Awaitable[Response]]) -> Response:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(reply)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    try:
        return await use(Address(host, port))
    finally:
        server.close()


def fetch_from_peer(
    reply: bytes, limits: HttpLimits = LIMITS, timeout_ms: float = 5_000
) -> Response:
    return asyncio.run(
        with_peer(reply, lambda address: fetch(address, "GET", "/", (), b"", timeout_ms, limits))
    )


def test_complete_response() -> None:
    response = fetch_from_peer(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi")
    assert (response.status, response.body) == (200, b"hi")


def test_large_chunked_response_is_read_to_the_end() -> None:
    body = b"x" * 1000
    reply = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3e8\r\n%b\r\n0\r\n\r\n" % body
    assert fetch_from_peer(reply, SMALL).body == body


@pytest.mark.parametrize(
    "reply",
    [
        b"",
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nno end stated",
        b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\ncut",
        b"HTTP/1.1 200 OK\r\ncontent-length: 999\r\n\r\n" + b"x" * 500,
        b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
        b"HTTP/1.1 100 Continue\r\n\r\n" * 50,
        b"HTTP/1.1 200 OK\r\nx: " + b"y" * 20_000,
    ],
)
def test_incomplete_and_invalid_responses_raise(reply: bytes) -> None:
    for limits in (LIMITS, SMALL):
        with pytest.raises(BrokenResponseError):
            fetch_from_peer(reply, limits)


def test_refused_connection_raises_connect_error() -> None:
    with pytest.raises(ConnectError):
        asyncio.run(fetch(Address("127.0.0.1", 1), "GET", "/", (), b"", 1_000, LIMITS))


def test_surplus_bytes_close_the_connection() -> None:
    async def use(address: Address) -> Response:
        connection = await connect(address, LIMITS)
        response = await connection.exchange(Request("GET", "/", [(b"host", b"a")]))
        assert not connection.open
        with pytest.raises(ConnectError):
            await connection.exchange(Request("GET", "/", [(b"host", b"a")]))
        return response

    reply = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\n\r\n"
    assert asyncio.run(with_peer(reply, use)).body == b"hi"


@pytest.mark.parametrize(
    "reply",
    [
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\ns3cret-key\r\n",
        b"HTTP/1.1 200 OK\r\ns3cret-key\r\n\r\n",
        b"s3cret-key\r\n\r\n",
    ],
)
def test_errors_do_not_quote_the_response(reply: bytes) -> None:
    """Guards against the keys of a configuration in the log when its transfer is broken."""
    with pytest.raises(BrokenResponseError) as caught:
        fetch_from_peer(reply)
    assert "s3cret" not in repr(caught.value)
