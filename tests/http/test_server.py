"""HTTP server: strict parsing, framing and limits."""

import asyncio
from collections.abc import AsyncGenerator
from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cactusvane.errors import BrokenResponseError
from cactusvane.fleet.vm import Address
from cactusvane.http.check import bad_request
from cactusvane.http.exchange import Caller
from cactusvane.http.message import Request, Response
from cactusvane.http.server import Handler, Server
from cactusvane.settings import HttpLimits

LIMITS = HttpLimits(head_bytes=2_048, body_bytes=1_000, head_ms=300, body_ms=300)
GOOD = b"GET /echo HTTP/1.1\r\nhost: a\r\n\r\n"


async def echo(request: Request, caller: Caller) -> Response:
    return Response(
        200, (), request.method.encode() + b" " + request.target.encode() + request.body
    )


async def exchange_bytes(data: bytes, handler: Handler = echo, eof: bool = True) -> bytes:
    server = Server(LIMITS, handler)
    address = await server.start(Address("127.0.0.1", 0))
    reader, writer = await asyncio.open_connection(address.host, address.port)
    received = bytearray()
    try:
        writer.write(data)
        if eof:
            writer.write_eof()
        while part := await asyncio.wait_for(reader.read(65_536), 20):
            received += part
    except ConnectionError:
        received += b"<reset>"
    finally:
        writer.close()
        await server.drain(1_000)
    return bytes(received)


def send_and_receive(data: bytes, handler: Handler = echo, eof: bool = False) -> bytes:
    return asyncio.run(exchange_bytes(data, handler, eof))


def test_pipelined_responses_come_in_order() -> None:
    last = b"GET /last HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
    response = send_and_receive(GOOD + GOOD.replace(b"echo", b"two") + last)
    assert response.index(b"GET /echo") < response.index(b"GET /two") < response.index(b"GET /last")


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab", 400),
        (
            b"POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n"
            b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            400,
        ),
        (b"POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip\r\n\r\n", 501),
        (b"POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n", 400),
        (b"GET /a HTTP/1.1\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\nhost : a\r\n\r\n", 400),
        (b"GET /a/../b HTTP/1.1\r\nhost: a\r\n\r\n", 400),
        (b"GET /%62ook HTTP/1.1\r\nhost: a\r\n\r\n", 400),
        (b"GET /a%2fb HTTP/1.1\r\nhost: a\r\n\r\n", 400),
        (b"GET http://a/b HTTP/1.1\r\nhost: a\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 5_000, 431),
        (b"GET /a HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 5_000 + b"\r\n\r\n", 431),
        (b"GET /a HTTP/1.1\r\nhost: a\r\n" + b"x: y\r\n" * 600 + b"\r\n", 431),
        (b"GET /" + b"a" * 3_000 + b" HTTP/1.1\r\nhost: a\r\n\r\n", 431),
        (b"GET /a HTTP/1.1\r\nhost: a\r\nx: y\r\n z\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\nhost: a\r\nx: y\r\n\tz\r\n\r\n", 400),
        (b"POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 5000\r\n\r\n" + b"y" * 5_000, 413),
        (b"POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 5000\r\n\r\n", 413),
        (b"GET /slow HTTP/1.1\r\nhost:", 408),
        (b"POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nabc", 408),
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc", 400),
    ],
)
def test_bad_requests_are_rejected_and_closed(data: bytes, status: int) -> None:
    reply = send_and_receive(data)
    assert reply.startswith(b"HTTP/1.1 %d " % status)
    assert b"cactusvane-verdict: not-run" in reply.lower()
    assert b'"verdict":"not-run"' in reply


def test_a_body_may_look_like_a_folded_line() -> None:
    body = b"a\r\n b\r\n\r\n"
    head = b"POST /a HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: %d\r\n\r\n"
    assert send_and_receive(head % len(body) + body).endswith(body)


def test_internal_error_shows_no_traceback() -> None:
    async def fail(request: Request, caller: Caller) -> Response:
        raise ValueError("secret")

    reply = send_and_receive(GOOD.replace(b"\r\n\r\n", b"\r\nconnection: close\r\n\r\n"), fail)
    assert reply.startswith(b"HTTP/1.1 500 ")
    assert b"may-have-run" in reply
    assert b"secret" not in reply


@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
def test_truncated_response_ends_in_a_reset(version: bytes) -> None:
    async def rest() -> AsyncGenerator[bytes, None]:
        yield b"more"
        raise BrokenResponseError("gone")

    async def stream(request: Request, caller: Caller) -> Response:
        return Response(200, (), b"start", rest())

    reply = send_and_receive(GOOD.replace(b"1.1", version), stream)
    assert reply.endswith(b"<reset>")


def test_handler_is_notified_when_the_caller_is_gone() -> None:
    async def wait(request: Request, caller: Caller) -> Response:
        gone = asyncio.Event()
        caller.on_gone = gone.set
        await gone.wait()
        return Response(200, (), b"finished all the same")

    assert send_and_receive(GOOD, wait, eof=True).endswith(b"finished all the same")


def test_connections_above_the_limit_are_rejected_while_all_run_requests() -> None:
    """A request that was passed to the handler is never cut off for a new connection."""

    async def run() -> tuple[bytes, bytes]:
        may_end = asyncio.Event()

        async def wait(request: Request, caller: Caller) -> Response:
            await may_end.wait()
            return Response(200, (), b"served")

        server = Server(HttpLimits(connections=1), wait)
        address = await server.start(Address("127.0.0.1", 0))
        first = await asyncio.open_connection(address.host, address.port)
        first[1].write(GOOD)
        while not any(connection.exchanges for connection in server.connections):
            await asyncio.sleep(0.01)
        reader, writer = await asyncio.open_connection(address.host, address.port)
        reply = await reader.read(10_000)
        may_end.set()
        served = await first[0].readuntil(b"served")
        writer.close()
        first[1].close()
        await server.drain(1_000)
        return served, reply

    served, reply = asyncio.run(run())
    assert served.startswith(b"HTTP/1.1 200 ")
    assert reply.startswith(b"HTTP/1.1 503 ")
    assert b'"code":"busy"' in reply


def test_an_idle_connection_gives_way_to_a_new_one_above_the_limit() -> None:
    """Guards against a refusal of new callers while connections without a request stay open."""

    async def run() -> tuple[bytes, bytes]:
        server = Server(HttpLimits(connections=1), echo)
        address = await server.start(Address("127.0.0.1", 0))
        first = await asyncio.open_connection(address.host, address.port)
        first[1].write(GOOD)
        await first[0].readuntil(b"\r\n\r\n")
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(GOOD)
        reply = await reader.readuntil(b"\r\n\r\n")
        rest = await first[0].read(10_000)
        writer.close()
        first[1].close()
        await server.drain(1_000)
        return reply, rest

    reply, rest = asyncio.run(run())
    assert reply.startswith(b"HTTP/1.1 200 ")
    assert b"HTTP/1.1" not in rest


def test_responses_of_a_leaving_server_close_their_connections() -> None:
    async def run() -> bytes:
        server = Server(LIMITS, echo)
        address = await server.start(Address("127.0.0.1", 0))
        reader, writer = await asyncio.open_connection(address.host, address.port)
        server.leave()
        writer.write(GOOD)
        reply = await reader.read()
        writer.close()
        await server.drain(1_000)
        return reply

    assert b"connection: close" in asyncio.run(run()).lower()


async def connections_left_after(server: Server, ms: float) -> int:
    """Return the number of open connections, once it is 0 or after `ms` milliseconds."""
    for _ in range(int(ms / 10)):
        if not server.connections:
            break
        await asyncio.sleep(0.01)
    return len(server.connections)


@pytest.mark.parametrize("size", [8_000_000, 1])
def test_a_caller_that_never_reads_is_disconnected(size: int) -> None:
    async def large(request: Request, caller: Caller) -> Response:
        return Response(200, (), b"x" * size)

    async def run() -> int:
        server = Server(LIMITS, large)
        address = await server.start(Address("127.0.0.1", 0))
        reader, writer = await asyncio.open_connection(address.host, address.port, limit=16)
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(GOOD.replace(b"\r\n\r\n", b"\r\nconnection: close\r\n\r\n"))
        left = await connections_left_after(server, 5_000)
        writer.transport.abort()
        await server.drain(1_000)
        return left

    assert asyncio.run(run()) == 0


def test_close_does_not_wait_forever_for_a_caller_that_does_not_read() -> None:
    async def run() -> int:
        server = Server(LIMITS, echo)
        address = await server.start(Address("127.0.0.1", 0))
        reader, writer = await asyncio.open_connection(address.host, address.port, limit=16)
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(GOOD)
        while not server.connections:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        connection = next(iter(server.connections))
        connection.transport.write(b"x" * 8_000_000)
        connection.close()
        left = await connections_left_after(server, 5_000)
        writer.transport.abort()
        await server.drain(1_000)
        return left

    assert asyncio.run(run()) == 0


def test_response_to_head_has_a_content_length_and_no_body() -> None:
    reply = send_and_receive(b"HEAD /a HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
    head, _, body = reply.partition(b"\r\n\r\n")
    assert b"content-length: 7" in head
    assert body == b""


@pytest.mark.parametrize("path", [b"/a/../b", b"/none"])
def test_error_responses_to_head_requests_have_no_body(path: bytes) -> None:
    async def reject(request: Request, caller: Caller) -> Response:
        raise bad_request("no-route", "none", 404)

    request = b"HEAD %b HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n" % path
    head, _, body = send_and_receive(request, reject).partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 4")
    assert body == b""


PIECES = st.sampled_from(
    [
        GOOD,
        b"POST /p HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\nabc",
        b"POST /p HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        b"content-length: 3\r\n",
        b"transfer-encoding: chunked\r\n",
        b"\r\n",
        b"\r\n\r\n",
        b"0\r\n\r\n",
        b"GET ",
        b"HTTP/1.1",
        b"\x00",
        b"\xff" * 40,
    ]
)


@settings(derandomize=True, deadline=None, max_examples=80)
@given(st.lists(st.one_of(PIECES, st.binary(max_size=30)), max_size=8))
def test_no_input_breaks_the_server(pieces: list[bytes]) -> None:
    reply = send_and_receive(b"".join(pieces), eof=True)
    assert b"500" not in reply.split(b"\r\n")[0]
    assert b"Traceback" not in reply
    assert reply == b"" or reply.startswith(b"HTTP/1.1 ")


@st.composite
def pipelines(draw: st.DrawFn) -> tuple[list[bytes], list[bytes]]:
    """Bodies of complete requests, and the bytes of the requests split at random positions."""
    bodies = draw(st.lists(st.binary(max_size=40), min_size=1, max_size=4))
    data = b""
    for number, body in enumerate(bodies):
        close = b"connection: close\r\n" if number == len(bodies) - 1 else b""
        data += b"POST /%d HTTP/1.1\r\nhost: a\r\n%b" % (number, close)
        if draw(st.booleans()):
            data += b"content-length: %d\r\n\r\n%b" % (len(body), body)
        else:
            chunk = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
            data += b"transfer-encoding: chunked\r\n\r\n%b0\r\n\r\n" % chunk
    cuts = sorted(draw(st.lists(st.integers(0, len(data)), max_size=6)))
    return bodies, [data[a:b] for a, b in pairwise([0, *cuts, len(data)])]


@settings(derandomize=True, deadline=None, max_examples=40)
@given(pipelines())
def test_each_request_gets_its_own_response_however_its_bytes_are_split(
    pipeline: tuple[list[bytes], list[bytes]],
) -> None:
    bodies, pieces = pipeline

    async def run() -> bytes:
        server = Server(HttpLimits(), echo)
        address = await server.start(Address("127.0.0.1", 0))
        reader, writer = await asyncio.open_connection(address.host, address.port)
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)
        reply = await reader.read()
        writer.close()
        await server.drain(1_000)
        return reply

    reply = asyncio.run(run())
    for number, body in enumerate(bodies):
        own = b"POST /%d" % number + body
        head, _, reply = reply.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")
        assert reply.startswith(own)
        reply = reply[len(own) :]
    assert reply == b""
