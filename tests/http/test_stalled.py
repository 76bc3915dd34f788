"""Callers that stall, stay idle, or read nothing, against small limits."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

from cactusvane.fleet.vm import Address
from cactusvane.http.exchange import Caller
from cactusvane.http.memory import Budgets, ByteBudget, ClosingReason
from cactusvane.http.message import Request, Response
from cactusvane.http.server import Server
from cactusvane.settings import HttpLimits

ANY = Address("127.0.0.1", 0)
LIMITS = HttpLimits(body_bytes=1_000_000, stall_ms=200, body_ms=3_000)
GET = b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n"
LAST_GET = b"GET /a HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
TIMEOUT_S = 10.0

Stream = tuple[asyncio.StreamReader, asyncio.StreamWriter]
Handle = Callable[[Request, Caller], Awaitable[Response]]


def post(size: int, fields: bytes = b"") -> bytes:
    return b"POST /a HTTP/1.1\r\nhost: a\r\n%scontent-length: %d\r\n\r\n" % (fields, size)


async def echo(request: Request, caller: Caller) -> Response:
    return Response(200, (), b"%d bytes" % len(request.body))


class Clients:
    """A server and its clients."""

    def __init__(
        self, limits: HttpLimits = LIMITS, handler: Handle = echo, upload_bytes: float = 1e9
    ) -> None:
        budgets = Budgets(ByteBudget(1e9), ByteBudget(upload_bytes))
        self.server = Server(limits, handler, budgets)
        self.streams: list[Stream] = []

    async def open(self, data: bytes = b"") -> Stream:
        """Open a connection and send `data`."""
        if not self.server.listeners:
            self.address = await self.server.start(ANY)
        stream = await asyncio.open_connection(self.address.host, self.address.port)
        self.streams.append(stream)
        stream[1].write(data)
        await asyncio.sleep(0.05)
        return stream

    async def read(self, stream: Stream, end: bytes = b"") -> bytes:
        """Read until `end`, or until the server closes."""
        reading = stream[0].readuntil(end) if end else stream[0].read()
        return await asyncio.wait_for(reading, TIMEOUT_S)

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.01)

    async def close(self) -> None:
        """Close all connections and the server, and check that no state of them is left."""
        for _, writer in self.streams:
            writer.transport.abort()
        await self.server.drain(1_000)
        await asyncio.sleep(0.05)
        server = self.server
        assert (len(server.places), server.ahead, len(server.by_address)) == (0, 0, 0)
        assert server.budgets.uploads.held == 0
        assert server.budgets.responses.held == 0


def test_a_body_that_stalls_is_rejected_as_not_run() -> None:
    async def run() -> None:
        clients = Clients()
        reply = await clients.read(await clients.open(post(100) + b"x" * 99))
        assert reply.startswith(b"HTTP/1.1 408 ")
        assert b'"verdict":"not-run"' in reply
        assert clients.server.budgets.closed[ClosingReason.STALLED] == 1
        await clients.close()

    asyncio.run(run())


def test_a_body_that_arrives_in_pieces_takes_longer_than_a_stall() -> None:
    """Guards against a bound on the whole body in place of one on its pauses."""

    async def run() -> None:
        clients = Clients(replace(LIMITS, stall_ms=1_000))
        stream = await clients.open(post(12))
        for _ in range(12):
            await asyncio.sleep(0.1)
            stream[1].write(b"x")
        assert (await clients.read(stream, b"12 bytes")).startswith(b"HTTP/1.1 200 ")
        await clients.close()

    asyncio.run(run())


def test_a_last_request_may_run_longer_than_a_body_may_stall() -> None:
    """Guards against a timer for the body of a request that is complete."""

    async def slow(request: Request, caller: Caller) -> Response:
        await asyncio.sleep(0.5)
        return Response(200, (), b"served")

    async def run() -> None:
        clients = Clients(handler=slow)
        reply = await clients.read(await clients.open(LAST_GET))
        assert reply.startswith(b"HTTP/1.1 200 ")
        assert reply.endswith(b"served")
        assert not clients.server.budgets.closed
        await clients.close()

    asyncio.run(run())


def test_a_request_that_runs_keeps_its_body_when_its_caller_leaves() -> None:
    """Guards against the release of a body that is still to be sent to a target."""
    sizes = []

    async def slow(request: Request, caller: Caller) -> Response:
        await asyncio.sleep(0.3)
        sizes.append(len(request.body))
        return Response(200)

    async def run() -> None:
        clients = Clients(handler=slow)
        _, writer = await clients.open(post(1_000, b"connection: close\r\n") + b"x" * 1_000)
        writer.transport.abort()
        await clients.until(lambda: bool(sizes))
        await clients.close()

    asyncio.run(run())
    assert sizes == [1_000]


def test_an_unfinished_request_gives_way_to_a_new_connection_and_has_not_run() -> None:
    async def run() -> None:
        clients = Clients(replace(LIMITS, connections=2, stall_ms=5_000))
        first = await clients.open(post(100) + b"x")
        second = await clients.open(GET[:-2])
        third = await clients.open(GET)
        assert (await clients.read(third, b"0 bytes")).startswith(b"HTTP/1.1 200 ")
        reply = await clients.read(first)
        assert reply.startswith(b"HTTP/1.1 503 ")
        assert b'"verdict":"not-run"' in reply
        second[1].write(b"\r\n")
        assert (await clients.read(second, b"0 bytes")).startswith(b"HTTP/1.1 200 ")
        assert clients.server.budgets.closed[ClosingReason.DISPLACED] == 1
        await clients.close()

    asyncio.run(run())


def test_rejected_connections_do_not_add_up() -> None:
    """Guards against rejected connections that use up the descriptors until they are closed."""

    async def run() -> None:
        may_end = asyncio.Event()

        async def wait(request: Request, caller: Caller) -> Response:
            await may_end.wait()
            return Response(200, (), b"served")

        clients = Clients(replace(LIMITS, connections=1), wait)
        first = await clients.open(GET)
        for _ in range(10):
            await clients.open()
        assert len(clients.server.connections) <= 2
        may_end.set()
        assert (await clients.read(first, b"served")).startswith(b"HTTP/1.1 200 ")
        await clients.close()

    asyncio.run(run())


def test_a_stalled_body_gives_way_where_there_is_no_memory_for_another() -> None:
    """Guards against unfinished bodies that hold all memory for bodies."""

    async def run() -> None:
        clients = Clients(replace(LIMITS, stall_ms=9_000, body_ms=9_000), upload_bytes=150_000.0)
        stalled = await clients.open(post(100_000) + b"x")
        reply = await clients.read(await clients.open(post(100_000)))
        assert b'"code":"no-memory"' in reply
        await asyncio.sleep(2.2)
        other = await clients.open(post(100_000) + b"x" * 100_000)
        assert (await clients.read(other, b"100000 bytes")).startswith(b"HTTP/1.1 200 ")
        assert (await clients.read(stalled)).startswith(b"HTTP/1.1 503 ")
        await clients.close()

    asyncio.run(run())


def test_one_address_has_no_more_than_its_share() -> None:
    async def run() -> None:
        limits = replace(LIMITS, connections=4, address_share=0.5, stall_ms=5_000)
        clients = Clients(limits, upload_bytes=100_000.0)
        first = await clients.open(post(60_000))
        assert b'"code":"no-memory"' in await clients.read(first)
        first[1].close()
        await clients.until(lambda: not clients.server.connections)
        for _ in range(2):
            await clients.open()
        assert b'"code":"busy"' in await clients.read(await clients.open())
        assert clients.server.budgets.closed[ClosingReason.ADDRESS_FULL] == 1
        await clients.close()

    asyncio.run(run())


def test_requests_ahead_are_answered_in_order_when_they_may_not_run_concurrently() -> None:
    """Guards against requests that are never read since too many others run."""

    async def name(request: Request, caller: Caller) -> Response:
        return Response(200, (), request.path.encode())

    async def run() -> None:
        clients = Clients(replace(LIMITS, pipelined=0), name)
        numbers = range(100)
        data = b"".join(GET.replace(b"/a", b"/n%d" % each) for each in numbers)
        text = await clients.read(await clients.open(data), b"/n99")
        assert [part.split(b"HTTP")[0] for part in text.split(b"/n")[1:]] == [
            b"%d" % each for each in numbers
        ]
        await clients.close()

    asyncio.run(run())


def test_unparsed_bytes_stay_bounded_while_responses_are_unread() -> None:
    """Guards against a buffer that grows with each response."""

    async def large(request: Request, caller: Caller) -> Response:
        return Response(200, (), b"x" * 20_000)

    async def run() -> None:
        clients = Clients(handler=large)
        reader, writer = await clients.open()
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(GET * 100_000)
        await clients.until(
            lambda: any(each.output.is_blocked for each in clients.server.places.activities)
        )
        await asyncio.sleep(0.3)
        (connection,) = clients.server.connections
        unparsed = len(connection.incoming.parser.trailing_data[0])
        assert unparsed <= 4 * LIMITS.head_bytes
        assert clients.server.budgets.responses.held <= 9 * 20_500
        await clients.close()

    asyncio.run(run())
