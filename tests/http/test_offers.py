"""Requests that offer or expect something after which a parser could wait in vain."""

import asyncio

import pytest

from cactusvane.fleet.vm import Address
from cactusvane.http.server import Server
from cactusvane.settings import HttpLimits
from tests.http.test_server import echo

LIMITS = HttpLimits(head_ms=2_000, body_ms=2_000, idle_ms=2_000)
SETTINGS = b"http2-settings: AAMAAABkAAQBAAAAAAIAAAAA\r\n"
NEXT = b"GET /next HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"


def request(method: bytes, fields: bytes, body: bytes = b"", path: bytes = b"/first") -> bytes:
    length = b"content-length: %d\r\n" % len(body) if body else b""
    return b"%s %s HTTP/1.1\r\nhost: a\r\n%s%s\r\n%s" % (method, path, fields, length, body)


def exchange(*parts: bytes, pause_s: float = 0.1) -> bytes:
    """Return what a caller receives that sends the parts one after the other."""

    async def run() -> bytes:
        server = Server(LIMITS, echo)
        address = await server.start(Address("127.0.0.1", 0))
        reader, writer = await asyncio.open_connection(address.host, address.port)
        for part in parts:
            writer.write(part)
            await asyncio.sleep(pause_s)
        async with asyncio.timeout(5):
            received = await reader.read()
        writer.close()
        await server.drain(500)
        return received

    return asyncio.run(run())


UPGRADE = b"connection: upgrade\r\nupgrade: websocket\r\n"
H2C = b"connection: Upgrade, HTTP2-Settings\r\nupgrade: h2c\r\n" + SETTINGS


@pytest.mark.parametrize("fields", [UPGRADE, H2C, b"upgrade: h2c\r\n", b"expect: tea\r\n"])
@pytest.mark.parametrize(
    ("method", "body"), [(b"GET", b""), (b"HEAD", b""), (b"POST", b"abc"), (b"DELETE", b"")]
)
@pytest.mark.parametrize("pause_s", [0.0, 0.1])
def test_an_offer_that_is_not_taken_leaves_the_connection_to_the_next_request(
    fields: bytes, method: bytes, body: bytes, pause_s: float
) -> None:
    """Guards against a parser that waits for another protocol (RFC 9110, 7.8)."""
    received = exchange(request(method, fields, body), NEXT, pause_s=pause_s)
    assert received.count(b"HTTP/1.1 200") == 2
    assert received.endswith(b"GET /next")


def test_requests_behind_several_offers_are_answered_in_order() -> None:
    offers = [request(b"GET", UPGRADE, path=b"/%d" % number) for number in range(3)]
    received = exchange(b"".join(offers) + NEXT)
    assert [part.split()[-1] for part in received.split(b"HTTP/1.1 200")[1:]] == [
        *(b"/0", b"/1", b"/2"),
        b"/next",
    ]


@pytest.mark.parametrize("target", [b"a:80", b"/a"])
def test_a_tunnel_is_rejected_and_the_connection_closed(target: bytes) -> None:
    received = exchange(request(b"CONNECT", b"", path=target), NEXT)
    assert received.startswith(b"HTTP/1.1 501 ")
    assert received.count(b"HTTP/1.1") == 1


@pytest.mark.parametrize("method", [b"POST", b"GET"])
def test_a_body_that_waits_behind_a_read_is_asked_for(method: bytes) -> None:
    """Guards against a caller that waits for an interim response that never comes."""
    waiting = request(method, b"expect: 100-continue\r\n", b"abc").removesuffix(b"abc")
    read = request(b"GET", b"", path=b"/read")
    received = exchange(read + waiting, b"abc", NEXT)
    assert received.count(b"HTTP/1.1 100") == 1
    assert received.index(b"/read") < received.index(b"HTTP/1.1 100")
    assert received.count(b"HTTP/1.1 200") == 3
