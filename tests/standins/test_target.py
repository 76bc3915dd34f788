"""The stand-ins of a target and of the network path behave as the process tests assume."""

import asyncio
from contextlib import asynccontextmanager

import h11
import pytest

from standins.forwarder import Behaviour as PathBehaviour
from standins.forwarder import Forwarder
from standins.target import Behaviour, Ledger, Target, response_body


@asynccontextmanager
async def listening(handler):
    server = await asyncio.start_server(handler, "127.0.0.1", 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()


async def ask(port, request_id, method="GET"):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    http = h11.Connection(h11.CLIENT)
    headers = [("Host", "a"), ("Request-Id", request_id), ("Connection", "close")]
    if method == "POST":
        headers.append(("Content-Length", "0"))
    writer.write(http.send(h11.Request(method=method, target="/", headers=headers)))
    writer.write(http.send(h11.EndOfMessage()) or b"")
    status, body = 0, b""
    try:
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await reader.read(65536))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
            else:
                return status, body
    finally:
        writer.close()


def target(**behaviour):
    return Target(Behaviour(mean_ms=1.0, **behaviour), 1, Ledger(""))


def events(stand_in):
    return [line.what for line in stand_in.ledger.lines]


def test_response_is_complete_and_events_are_recorded():
    async def run():
        stand_in = target()
        async with listening(stand_in.serve_connection) as port:
            assert await ask(port, "r1") == (200, response_body("r1"))
        assert events(stand_in) == ["received", "started", "ended", "answered"]

    asyncio.run(run())


def test_full_or_draining_target_starts_no_request():
    async def run():
        full = target(slots=0)
        drained = target(draining=True)
        async with (
            listening(full.serve_connection) as port,
            listening(drained.serve_connection) as other,
        ):
            assert (await ask(port, "r1"))[0] == 503
            assert (await ask(other, "r2"))[0] == 503
        assert events(full) == ["received", "shed"]
        assert events(drained) == ["received", "drained"]

    asyncio.run(run())


def test_short_response_is_a_protocol_error():
    async def run():
        async with listening(target(short_share=1.0).serve_connection) as port:
            with pytest.raises(h11.RemoteProtocolError):
                await ask(port, "r1")

    asyncio.run(run())


def test_response_is_held_while_its_direction_is_dropped():
    async def run():
        stand_in = target()
        async with listening(stand_in.serve_connection) as port:
            forwarder = Forwarder("127.0.0.1", port)
            forwarder.behaviour = PathBehaviour(drop_down=True)
            async with listening(forwarder.forward_connection) as front:
                response = asyncio.ensure_future(ask(front, "r1"))
                while "answered" not in events(stand_in):
                    await asyncio.sleep(0.005)
                assert not response.done()
                forwarder.behaviour = PathBehaviour()
                assert await response == (200, response_body("r1"))

    asyncio.run(run())
