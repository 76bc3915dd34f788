"""A server that leaves: what it still answers on connections with pipelined requests."""

import asyncio
from collections.abc import AsyncGenerator, Awaitable, Callable

import pytest

from cactusvane.fleet.vm import Address
from cactusvane.http.exchange import Caller
from cactusvane.http.message import Request, Response
from cactusvane.http.server import Server
from cactusvane.settings import HttpLimits

LIMITS = HttpLimits(head_ms=2_000, body_ms=2_000, buffer_bytes=16)
CLOSE = b"connection: close"


class PipelinedCaller:
    """One connection to a server whose handler responds to a path once it is told to."""

    def __init__(self) -> None:
        self.server = Server(LIMITS, self.handle)
        self.released: dict[str, asyncio.Event] = {}
        self.passed_on: list[str] = []

    async def handle(self, request: Request, caller: Caller) -> Response:
        self.passed_on.append(request.path)
        if request.path.startswith("/streamed"):
            return Response(200, (), b"start", self.rest(request.path))
        await self.release_of(request.path).wait()
        return Response(200, (), request.path.encode())

    async def rest(self, path: str) -> AsyncGenerator[bytes, None]:
        await self.release_of(path).wait()
        yield path.encode()

    def release_of(self, path: str) -> asyncio.Event:
        return self.released.setdefault(path, asyncio.Event())

    def release(self, *paths: str) -> None:
        for path in paths:
            self.release_of(path).set()

    async def connect(self) -> None:
        address = await self.server.start(Address("127.0.0.1", 0))
        self.reader, self.writer = await asyncio.open_connection(address.host, address.port)

    def send(self, *paths: str, method: str = "GET", body: bytes = b"") -> None:
        for path in paths:
            length = f"content-length: {len(body)}\r\n" if body else ""
            head = f"{method} {path} HTTP/1.1\r\nhost: a\r\n{length}\r\n"
            self.writer.write(head.encode() + body)

    async def passed(self, count: int) -> None:
        """Wait until the handler has got this number of requests."""
        async with asyncio.timeout(5):
            while len(self.passed_on) < count:
                await asyncio.sleep(0.005)

    async def rest_of_answers(self) -> bytes:
        async with asyncio.timeout(5):
            return (await self.reader.read()).lower()


Scenario = Callable[[PipelinedCaller], Awaitable[bytes]]


def run(scenario: Scenario) -> tuple[bytes, list[str]]:
    """Return what the caller received, and the paths of the requests that were passed on."""

    async def play() -> tuple[bytes, list[str]]:
        caller = PipelinedCaller()
        await caller.connect()
        try:
            received = await scenario(caller)
        finally:
            caller.writer.close()
            await caller.server.drain(500)
        return received, caller.passed_on

    return asyncio.run(play())


def check_answers(received: bytes, *paths: str) -> None:
    """Check that all answers came whole and in order, and that only the last one closes."""
    answers = received.split(b"http/1.1 200")[1:]
    assert all(path.encode() in answer for path, answer in zip(paths, answers, strict=True))
    assert [CLOSE in answer for answer in answers] == [False] * (len(paths) - 1) + [True]


@pytest.mark.parametrize("depth", [1, 2, 3, 8])
@pytest.mark.parametrize("draining", [False, True])
def test_pipelined_reads_that_were_passed_on_before_a_stop_are_all_answered(
    depth: int, draining: bool
) -> None:
    """Guards against closing with the first answer while targets run the reads behind it."""
    paths = [f"/{number}" for number in range(depth)]

    async def scenario(caller: PipelinedCaller) -> bytes:
        caller.send(*paths)
        await caller.passed(depth)
        caller.server.leave()
        stop = asyncio.ensure_future(caller.server.drain(3_000)) if draining else None
        await asyncio.sleep(0.02)
        caller.release(*reversed(paths))
        received = await caller.rest_of_answers()
        if stop is not None:
            await stop
        return received

    received, passed_on = run(scenario)
    check_answers(received, *paths)
    assert sorted(passed_on) == paths


def test_a_group_of_reads_that_arrives_during_a_stop_is_answered() -> None:
    """Guards against passing on what is not answered: the reads arrive after the stop began."""

    async def scenario(caller: PipelinedCaller) -> bytes:
        caller.server.leave()
        caller.send("/0", "/1", "/2")
        await caller.passed(3)
        caller.release("/0", "/1", "/2")
        return await caller.rest_of_answers()

    check_answers(run(scenario)[0], "/0", "/1", "/2")


def test_nothing_is_passed_on_after_the_first_answer_of_a_stop() -> None:
    """Guards against a connection that a caller with ever new reads keeps open for the drain."""

    async def scenario(caller: PipelinedCaller) -> bytes:
        caller.send("/0", "/1")
        await caller.passed(2)
        caller.server.leave()
        caller.release("/0")
        received = await caller.reader.readuntil(b"/0")
        caller.send("/2", "/3")
        await asyncio.sleep(0.05)
        caller.release("/1", "/2", "/3")
        return received + await caller.rest_of_answers()

    received, passed_on = run(scenario)
    check_answers(received.lower(), "/0", "/1")
    assert passed_on == ["/0", "/1"]


def test_a_stop_between_two_answers_ends_the_connection_with_the_second() -> None:
    async def scenario(caller: PipelinedCaller) -> bytes:
        caller.send("/0", "/1")
        await caller.passed(2)
        caller.release("/0")
        received = await caller.reader.readuntil(b"/0")
        caller.server.leave()
        caller.release("/1")
        return received + await caller.rest_of_answers()

    check_answers(run(scenario)[0].lower(), "/0", "/1")


@pytest.mark.parametrize(("method", "body"), [("POST", b"booking"), ("OPTIONS", b"")])
def test_a_request_that_waits_behind_reads_is_not_passed_on_during_a_stop(
    method: str, body: bytes
) -> None:
    """Callers may send again what stands behind the answer that closes the connection."""

    async def scenario(caller: PipelinedCaller) -> bytes:
        caller.send("/0", "/1")
        caller.send("/alone", method=method, body=body)
        await caller.passed(2)
        caller.server.leave()
        caller.release("/0", "/1", "/alone")
        return await caller.rest_of_answers()

    received, passed_on = run(scenario)
    check_answers(received, "/0", "/1")
    assert passed_on == ["/0", "/1"]


def test_pipelined_requests_with_head_are_answered_too() -> None:
    async def scenario(caller: PipelinedCaller) -> bytes:
        caller.send("/0", "/1", method="HEAD")
        await caller.passed(2)
        caller.server.leave()
        caller.release("/0", "/1")
        return await caller.rest_of_answers()

    received, _ = run(scenario)
    assert received.count(b"http/1.1 200") == 2
    assert received.count(CLOSE) == 1


def test_reads_before_a_bad_request_are_answered_during_a_stop() -> None:
    async def scenario(caller: PipelinedCaller) -> bytes:
        caller.send("/0", "/1", "/bad/../path")
        await caller.passed(2)
        caller.server.leave()
        caller.release("/0", "/1")
        return await caller.rest_of_answers()

    received, passed_on = run(scenario)
    assert [part[:3] for part in received.split(b"http/1.1 ")[1:]] == [b"200", b"200", b"400"]
    assert passed_on == ["/0", "/1"]


@pytest.mark.parametrize("draining", [False, True])
def test_reads_behind_a_streamed_answer_are_answered_during_a_stop(draining: bool) -> None:
    """The stop begins while the first answer is half written."""

    async def scenario(caller: PipelinedCaller) -> bytes:
        caller.send("/streamed", "/1")
        await caller.passed(2)
        received = await caller.reader.readuntil(b"start")
        caller.server.leave()
        if draining:
            stop = asyncio.ensure_future(caller.server.drain(3_000))
            await asyncio.sleep(0.01)
        caller.release("/streamed", "/1")
        received += await caller.rest_of_answers()
        if draining:
            await stop
        return received

    check_answers(run(scenario)[0].lower(), "/streamed", "/1")


def test_no_read_is_passed_on_behind_a_streamed_answer_that_closes() -> None:
    """Guards against losing a read that arrives after the close was announced."""

    async def scenario(caller: PipelinedCaller) -> bytes:
        caller.server.leave()
        caller.send("/streamed")
        received = await caller.reader.readuntil(b"start")
        caller.send("/1")
        await asyncio.sleep(0.05)
        caller.release("/streamed", "/1")
        return received + await caller.rest_of_answers()

    received, passed_on = run(scenario)
    check_answers(received.lower(), "/streamed")
    assert passed_on == ["/streamed"]


def test_a_caller_that_closes_its_side_gets_all_answers() -> None:
    """The related case outside a stop: the handler completes what the caller asked for."""

    async def scenario(caller: PipelinedCaller) -> bytes:
        caller.send("/0", "/1", "/2")
        await caller.passed(3)
        caller.writer.write_eof()
        await asyncio.sleep(0.02)
        caller.release("/0", "/1", "/2")
        return await caller.rest_of_answers()

    check_answers(run(scenario)[0], "/0", "/1", "/2")
