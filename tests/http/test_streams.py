"""Any stream of messages, valid or broken, cut anywhere: bounds hold, and nothing stays held."""

import asyncio
from contextlib import suppress

from hypothesis import given, settings
from hypothesis import strategies as st

from cactusvane.errors import ExchangeError
from cactusvane.fleet.vm import Address
from cactusvane.http.connect import connect
from cactusvane.http.exchange import Caller
from cactusvane.http.memory import SMALL_BYTES, Budgets, ByteBudget
from cactusvane.http.message import Request, Response
from cactusvane.http.server import READ_BYTES, Server
from cactusvane.settings import HttpLimits

ANY = Address("127.0.0.1", 0)
LIMITS = HttpLimits(
    head_bytes=1_000, body_bytes=60_000, buffer_bytes=20_000, head_ms=60, body_ms=60, idle_ms=60
)
BUDGET = 30_000.0
MAX_HELD = BUDGET + 4 * SMALL_BYTES + READ_BYTES
"""One connection may pass the budget by what it may hold in any case, and by one read."""


def chunked(sizes: list[int]) -> bytes:
    return b"".join(b"%x\r\n%s\r\n" % (size, b"y" * size) for size in sizes) + b"0\r\n\r\n"


FIELDS = st.sampled_from(
    [
        b"",
        b"upgrade: h2c\r\n",
        b"expect: 100-continue\r\n",
        b"connection: close\r\n",
        b"x: \n y\r\n",
    ]
)
SIZES = st.integers(0, 50_000)
CHUNKS = st.lists(st.sampled_from([1, 2, 3, 700, 9_000]), max_size=200)
REQUESTS = st.one_of(
    st.builds(lambda f: b"GET /a HTTP/1.1\r\nhost: a\r\n%s\r\n" % f, FIELDS),
    st.builds(
        lambda f, n: b"POST /a HTTP/1.1\r\nhost: a\r\n%scontent-length: %d\r\n\r\n" % (f, n)
        + b"x" * n,
        FIELDS,
        SIZES,
    ),
    st.builds(
        lambda f, c: b"POST /a HTTP/1.1\r\nhost: a\r\n%stransfer-encoding: chunked\r\n\r\n" % f
        + chunked(c),
        FIELDS,
        CHUNKS,
    ),
    st.binary(max_size=40),
)
RESPONSES = st.one_of(
    st.builds(lambda n: b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % n + b"x" * n, SIZES),
    st.builds(
        lambda c: b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + chunked(c), CHUNKS
    ),
    st.builds(lambda n: b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * n, SIZES),
    st.builds(lambda n: n * b"HTTP/1.1 103 Hints\r\n\r\n", st.integers(1, 12)),
    st.binary(max_size=40),
)


class Watched(ByteBudget):
    """A budget that remembers the most that was held."""

    def __init__(self) -> None:
        super().__init__(BUDGET)
        self.most = 0

    def change(self, difference: int) -> None:
        super().change(difference)
        self.most = max(self.most, self.held)


def budgets() -> tuple[Budgets, tuple[Watched, Watched]]:
    watched = Watched(), Watched()
    return Budgets(*watched), watched


def pieces(data: bytes, cuts: list[int]) -> list[bytes]:
    """Cut `data` at places that are given as shares of its length in thousandths."""
    places = sorted({0, len(data), *(len(data) * cut // 1_000 for cut in cuts)})
    return [data[a:b] for a, b in zip(places, places[1:], strict=False)]


async def echo(request: Request, caller: Caller) -> Response:
    await asyncio.sleep(0)
    return Response(200, (), bytes(request.body))


async def send(parts: list[bytes], reads: bool) -> tuple[Watched, Watched]:
    """Send the parts to a server, and return its budgets once all has ended."""
    shared, watched = budgets()
    server = Server(LIMITS, echo, shared)
    address = await server.start(ANY)
    reader, writer = await asyncio.open_connection(address.host, address.port)
    for part in parts:
        writer.write(part)
        await asyncio.sleep(0)
    if reads:
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(0.5):
                while await reader.read(65_536):
                    pass
    writer.transport.abort()
    await server.drain(500)
    await asyncio.sleep(0.01)
    assert not server.connections
    return watched


@settings(max_examples=60, deadline=None)
@given(
    st.lists(REQUESTS, min_size=1, max_size=4),
    st.lists(st.integers(0, 1_000), max_size=6),
    st.booleans(),
)
def test_whatever_a_caller_sends_is_within_the_bounds_and_let_go_of(
    requests: list[bytes], cuts: list[int], reads: bool
) -> None:
    watched = asyncio.run(send(pieces(b"".join(requests), cuts), reads))
    assert [each.held for each in watched] == [0, 0]
    assert max(each.most for each in watched) <= MAX_HELD


async def receive(parts: list[bytes], takes: bool) -> tuple[Watched, Watched]:
    """Let a target send the parts, and return the budgets once the exchange has ended."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            for part in parts:
                writer.write(part)
                await asyncio.sleep(0)
            await writer.drain()
        writer.close()

    shared, watched = budgets()
    target = await asyncio.start_server(serve, "127.0.0.1", 0)
    connection = await connect(Address(*target.sockets[0].getsockname()), LIMITS, shared)
    with suppress(ExchangeError, TimeoutError):
        async with asyncio.timeout(0.5):
            response = await connection.exchange(Request("GET", "/a", [(b"host", b"a")]))
            if response.rest is not None and takes:
                async for _ in response.rest:
                    pass
            elif response.rest is not None:
                await asyncio.sleep(0.01)
                await response.rest.aclose()
    connection.close()
    target.close()
    await asyncio.sleep(0.01)
    return watched


@settings(max_examples=60, deadline=None)
@given(
    st.lists(RESPONSES, min_size=1, max_size=3),
    st.lists(st.integers(0, 1_000), max_size=6),
    st.booleans(),
)
def test_whatever_a_target_sends_is_within_the_bounds_and_let_go_of(
    responses: list[bytes], cuts: list[int], takes: bool
) -> None:
    watched = asyncio.run(receive(pieces(b"".join(responses), cuts), takes))
    assert [each.held for each in watched] == [0, 0]
    assert max(each.most for each in watched) <= MAX_HELD
