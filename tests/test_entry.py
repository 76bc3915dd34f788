"""Tests of the entry with scripted targets on loopback addresses."""

import asyncio
from contextlib import suppress
from dataclasses import replace
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cactusvane.claims.claims import Claims
from cactusvane.clock import Clock, ManualClock
from cactusvane.configuration.model import Configuration, Route, Service
from cactusvane.errors import BrokenResponseError
from cactusvane.fleet.vm import Address, Vm
from cactusvane.http.fetch import fetch
from cactusvane.http.message import Response
from cactusvane.http.server import Server
from cactusvane.keeper_entry import KeeperEntry
from cactusvane.keyed import KeyedRequestHandler
from cactusvane.metrics import Recorder
from cactusvane.pool.messages import PoolCommand, PoolEvent, TargetsListed
from cactusvane.pool.pool import Pool
from cactusvane.request.budget import RetryBudget
from cactusvane.settings import HttpLimits, Settings
from cactusvane.verdict import Verdict
from tests.fakes import FakePlatform

ANY = Address("127.0.0.1", 0)
LIMITS = HttpLimits(buffer_bytes=2_000, body_bytes=1_000_000, body_ms=500)
SETTINGS = Settings("e1", "Gobabis", ANY, ANY, ANY, ANY, http=LIMITS)
ROUTES = (
    Route("/read", ("GET",), True, "read", deadline_ms=400),
    Route("/book", ("POST",), False, "booking", deadline_ms=400),
)
SERVICE = Service("records", ("a",), ROUTES, targets=2, floor=1, slots=4)
OK = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi"
SHED = b"HTTP/1.1 503 Full\r\ncactusvane-shed: 1\r\ncontent-length: 0\r\n\r\n"
DRAINING = b"HTTP/1.1 503 Bye\r\ncactusvane-draining: 1\r\ncontent-length: 0\r\n\r\n"
FAILED = b"HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n"
CUT = b"HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\nhi"
LARGE_CUT = b"HTTP/1.1 200 OK\r\ncontent-length: 9000\r\n\r\n" + b"x" * 5_000
HANG = b"hang"
SLOW = b"slow"


class ScriptedTargets:
    """Two targets that share one script of replies and keep the requests they received."""

    def __init__(self, replies: list[bytes]) -> None:
        self.replies = replies
        self.received: list[bytes] = []
        self.disconnected = asyncio.Event()
        self.servers: list[asyncio.Server] = []
        self.writers: list[asyncio.StreamWriter] = []

    async def stop(self) -> None:
        """Close all connections, so that none is left to a finalizer after the event loop."""
        for server in self.servers:
            server.close()
        for writer in self.writers:
            writer.close()
            with suppress(OSError):
                await writer.wait_closed()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        try:
            self.received.append(await reader.readuntil(b"\r\n\r\n"))
        except asyncio.IncompleteReadError:
            return writer.close()
        reply = self.replies.pop(0) if self.replies else OK
        if reply == HANG:
            await reader.read()
            self.disconnected.set()
        elif reply == SLOW:
            await asyncio.sleep(0.25)
            writer.write(OK)
        else:
            writer.write(reply)
        return writer.close()

    async def start(self) -> tuple[Vm, ...]:
        vms = []
        for number in range(2):
            server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
            self.servers.append(server)
            address = Address(*server.sockets[0].getsockname())
            vms.append(Vm(f"t{number}", address, "Gobabis", service="records"))
        return tuple(vms)


async def start_entry(replies: list[bytes]) -> tuple[KeeperEntry, Server, Address, ScriptedTargets]:
    targets = ScriptedTargets(replies)
    entry = KeeperEntry(SETTINGS, Clock(), Random(1), Recorder())
    entry.update_vms(await targets.start())
    entry.configure(Configuration((SERVICE,)))
    server = Server(LIMITS, entry.handle)
    return entry, server, await server.start(ANY), targets


async def send_to_entry(
    method: str, path: str, replies: list[bytes]
) -> tuple[Response, list[bytes]]:
    entry, server, address, targets = await start_entry(replies)
    try:
        return (
            await fetch(address, method, path, [(b"host", b"a")], b"", 5_000, LIMITS),
            targets.received,
        )
    finally:
        await server.drain(1_000)
        entry.connections.close()
        await targets.stop()


def send_request(method: str, path: str, *replies: bytes) -> tuple[Response, list[bytes]]:
    return asyncio.run(send_to_entry(method, path, list(replies)))


def test_complete_response_and_headers() -> None:
    response, received = send_request("GET", "/read/1")
    assert (response.status, response.body) == (200, b"hi")
    assert response.header(b"cactusvane-verdict") == b"ran"
    left = received[0].split(b"cactusvane-deadline-ms: ")[1].split(b"\r\n")[0]
    assert 0 < int(left) <= 400


@pytest.mark.parametrize(
    ("method", "path", "replies", "status", "verdict", "attempts"),
    [
        ("GET", "/read", [CUT], 200, Verdict.RAN, 2),
        ("GET", "/read", [FAILED], 200, Verdict.RAN, 2),
        ("GET", "/read", [FAILED, CUT], 500, Verdict.RAN, 2),
        ("GET", "/read", [b"garbage"], 200, Verdict.RAN, 2),
        ("GET", "/read", [HANG], 200, Verdict.RAN, 2),
        ("GET", "/read", [SHED] * 20, 503, Verdict.NOT_RUN, 11),
        ("GET", "/read", [CUT] + [SHED] * 20, 502, Verdict.MAY_HAVE_RUN, 11),
        ("POST", "/book", [SHED], 200, Verdict.RAN, 2),
        ("POST", "/book", [DRAINING], 200, Verdict.RAN, 2),
        ("POST", "/book", [DRAINING] + [SHED] * 20, 503, Verdict.NOT_RUN, 11),
        ("POST", "/book", [CUT], 502, Verdict.MAY_HAVE_RUN, 1),
        ("POST", "/book", [b""], 502, Verdict.MAY_HAVE_RUN, 1),
        ("POST", "/book", [HANG], 504, Verdict.MAY_HAVE_RUN, 1),
        ("POST", "/book", [FAILED], 500, Verdict.RAN, 1),
        ("GET", "/elsewhere", [], 404, Verdict.NOT_RUN, 0),
        ("DELETE", "/read", [], 404, Verdict.NOT_RUN, 0),
    ],
)
def test_status_verdict_and_number_of_attempts(
    method: str, path: str, replies: list[bytes], status: int, verdict: Verdict, attempts: int
) -> None:
    response, received = send_request(method, path, *replies)
    assert response.status == status
    assert response.header(b"cactusvane-verdict") == verdict.value.encode()
    assert len(received) == attempts


@pytest.mark.parametrize(("retries", "attempts"), [(0.0, 1), (1.0, 2)])
def test_attempt_is_cancelled_early_only_if_a_retry_may_follow(
    retries: float, attempts: int
) -> None:
    """A request in flight at a stop was cancelled after half of its time with no retry left."""

    async def run() -> tuple[int, int]:
        entry, server, address, targets = await start_entry([SLOW])
        entry.budgets["records"] = RetryBudget(share=0.0, burst=retries)
        response = await fetch(address, "GET", "/read", [(b"host", b"a")], b"", 5_000, LIMITS)
        await server.drain(1_000)
        return response.status, len(targets.received)

    assert asyncio.run(run()) == (200, attempts)


def test_truncated_streamed_response_is_truncated_for_the_caller() -> None:
    with pytest.raises(BrokenResponseError):
        send_request("GET", "/read", LARGE_CUT)


@pytest.mark.parametrize(("path", "cancelled"), [("/read", True), ("/book", False)])
def test_disconnect_of_the_caller_cancels_only_idempotent_requests(
    path: str, cancelled: bool
) -> None:
    async def run() -> tuple[bool, int]:
        entry, server, address, targets = await start_entry([HANG])
        _, writer = await asyncio.open_connection(address.host, address.port)
        method = b"GET" if cancelled else b"POST"
        writer.write(method + b" %b HTTP/1.1\r\nhost: a\r\n\r\n" % path.encode())
        while not targets.received:
            await asyncio.sleep(0.005)
        writer.close()
        await asyncio.sleep(0.1)
        early = targets.disconnected.is_set()
        await asyncio.wait_for(targets.disconnected.wait(), 5)
        await server.drain(1_000)
        pool = entry.keeper_placer.services["records"].pool
        return early, sum(target.in_flight for target in pool.targets.values())

    early, in_flight = asyncio.run(run())
    assert early == cancelled
    assert in_flight == 0


def test_second_delayed_response_never_reaches_the_next_caller() -> None:
    async def run() -> set[bytes]:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            try:
                head = await reader.readuntil(b"\r\n\r\n")
                body = head.split(b" ")[1]
                reply = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(body), body)
                writer.write(reply)
                await asyncio.sleep(0.005)
                writer.write(reply)
            except (asyncio.IncompleteReadError, ConnectionError):
                pass
            writer.close()

        target = await asyncio.start_server(serve, "127.0.0.1", 0)
        entry, server, address, targets = await start_entry([])
        at = Address(*target.sockets[0].getsockname())
        entry.update_vms((Vm("t", at, "Gobabis", service="records"),))
        wrong = set()
        for number in range(60):
            path = f"/read/{number}"
            response = await fetch(address, "GET", path, [(b"host", b"a")], b"", 5_000, LIMITS)
            if response.body != path.encode():
                wrong.add(response.body)
            await asyncio.sleep(0.002)
        await server.drain(1_000)
        for each in (target, *targets.servers):
            each.close()
        return wrong

    assert not asyncio.run(run())


def test_slow_caller_holds_no_slot() -> None:
    async def run() -> int:
        body = b"x" * 1_900
        entry, server, address, targets = await start_entry(
            [b"HTTP/1.1 200 OK\r\ncontent-length: 1900\r\n\r\n" + body]
        )
        reader, writer = await asyncio.open_connection(address.host, address.port, limit=64)
        writer.write(b"GET /read HTTP/1.1\r\nhost: a\r\n\r\n")
        await reader.read(1)
        pool = entry.keeper_placer.services["records"].pool
        in_flight = sum(target.in_flight for target in pool.targets.values())
        writer.close()
        await server.drain(1_000)
        await targets.stop()
        return in_flight

    assert asyncio.run(run()) == 0


REPLIES = st.one_of(
    st.sampled_from([OK, SHED, DRAINING, FAILED, CUT, b"", OK + OK, OK + b"x"]),
    st.binary(max_size=60),
    st.builds(lambda junk: b"HTTP/1.1 200 OK\r\n" + junk, st.binary(max_size=40)),
)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(st.sampled_from([("GET", "/read"), ("POST", "/book")]), st.lists(REPLIES, max_size=3))
def test_entry_survives_any_bytes_from_targets(call: tuple[str, str], replies: list[bytes]) -> None:
    response, received = send_request(*call, *replies)
    assert b"Traceback" not in response.body
    assert response.header(b"cactusvane-verdict") in {b"ran", b"not-run", b"may-have-run"}
    if call[0] == "POST":
        not_started = sum(reply in (SHED, DRAINING) for reply in replies)
        assert len(received) <= not_started + 1


def keyed(replies: list[bytes], times: int, *extra: tuple[bytes, bytes]) -> list[Response]:
    async def run() -> list[Response]:
        entry, server, address, targets = await start_entry(replies)
        entry.keyed_handler = KeyedRequestHandler(
            Claims(FakePlatform(), Clock(), Random(1), "vm-1")
        )
        headers = [(b"host", b"a"), (b"idempotency-key", b"k"), *extra]
        responses = [
            await fetch(address, "POST", "/book", headers, b"", 5_000, LIMITS) for _ in range(times)
        ]
        await server.drain(1_000)
        entry.connections.close()
        await targets.stop()
        responses.append(Response(len(targets.received)))
        return responses

    return asyncio.run(run())


def test_repeated_key_runs_once_and_gets_the_same_response() -> None:
    first, repeat, received = keyed([OK], 2)
    assert received.status == 1
    assert (first.status, first.body) == (repeat.status, repeat.body) == (200, b"hi")
    assert repeat.header(b"cactusvane-replayed") == b"1"
    verdicts = [value for name, value in repeat.headers if name == b"cactusvane-verdict"]
    assert verdicts == [b"ran"]


def test_key_that_may_have_run_is_not_run_again() -> None:
    first, repeat, received = keyed([CUT], 2)
    assert received.status == 1
    assert (first.status, repeat.status) == (502, 409)
    assert repeat.header(b"cactusvane-verdict") == b"may-have-run"


def test_key_that_was_not_run_may_be_repeated() -> None:
    first, repeat, received = keyed([DRAINING, DRAINING], 2)
    assert received.status == 2
    for response in (first, repeat):
        assert response.status == 503
        assert response.header(b"cactusvane-verdict") == b"not-run"


def test_request_with_two_keys_is_rejected() -> None:
    response, received = keyed([], 1, (b"idempotency-key", b"l"))
    assert (response.status, received.status) == (400, 0)


def test_only_changed_services_get_a_new_vm_list_or_configuration(monkeypatch):
    handled: list[tuple[str, type]] = []
    entry = KeeperEntry(SETTINGS, ManualClock(), Random(1), Recorder())
    records, booking = SERVICE, replace(SERVICE, name="booking", hosts=("b",))
    entry.configure(Configuration((records, booking)))
    handle = Pool.handle

    def spy(pool: Pool, event: PoolEvent, now: float) -> tuple[PoolCommand, ...]:
        handled.append((pool.service.name, type(event)))
        return handle(pool, event, now)

    monkeypatch.setattr(Pool, "handle", spy)
    target = Vm("target-1", Address("127.0.0.1", 9), "Gobabis", service="records")
    entry.update_vms((target,))
    entry.update_vms((target,))
    assert handled == [("records", TargetsListed)]
    handled.clear()
    entry.configure(Configuration((records, replace(booking, floor=2))))
    assert {name for name, _ in handled} == {"booking"}
