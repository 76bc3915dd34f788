"""Targets that write an earlier refusal once more on a kept connection, with real entries."""

import asyncio

from cactusvane.clock import ManualClock
from cactusvane.fleet_process import FleetProcess
from cactusvane.http.fetch import fetch
from tests.adapter.test_idle import PersistentTarget
from tests.adapter.test_process import BOOK, LIMITS, Fleet, run_scenario, send_request, until


def refusal(request: str = "") -> bytes:
    """Return a target's word that it has not run a request; without an id if there is none."""
    echo = f"x-request-id: {request}\r\n" if request else ""
    return f"HTTP/1.1 503 No\r\nx-not-executed: 1\r\n{echo}content-length: 0\r\n\r\n".encode()


class RefusingTarget(PersistentTarget):
    """Refuses some requests, and writes refusals once more on its first connection.

    Attributes
    ----------
    refused
        Requests that it refuses.
    repeated
        Written before the response to the next request on the first connection.
    """

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.refused: set[str] = set()
        self.repeated = b""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.append(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if line)
                request = fields.get("x-request-id", "")
                if request in self.refused:
                    self.refused.remove(request)
                    writer.write(refusal(request))
                    continue
                if writer is self.connections[0]:
                    writer.write(self.repeated)
                writer.write(await self.respond(head, reader))
        except (asyncio.IncompleteReadError, ConnectionError, KeyError):
            writer.close()


async def start(fleet: Fleet) -> tuple[FleetProcess, RefusingTarget]:
    target = RefusingTarget("i0")
    fleet.targets = [target]
    await target.start()
    fleet.configure()
    fleet.list_targets()
    process = await fleet.start_process("e1")
    await until(lambda: process.ready)
    return process, target


def test_a_late_refusal_without_an_id_is_no_refusal_on_a_reused_connection() -> None:
    """The connection was reused within one tick of the clock."""

    async def scenario(fleet: Fleet) -> None:
        process, target = await start(fleet)
        process.entry.idle_connections.clock = ManualClock()
        assert (await send_request(process, BOOK, request="a")).status == 200
        target.repeated = refusal()
        response = await send_request(process, BOOK, request="b")
        assert len(target.connections) == 1
        assert target.ran == ["a", "b"]
        assert response.status == 502

    run_scenario(scenario)


def test_a_request_meets_no_late_refusal_of_its_earlier_attempt() -> None:
    """Its connection has carried another request since."""

    async def scenario(fleet: Fleet) -> None:
        process, target = await start(fleet)
        target.refused = {"a"}
        assert (await send_request(process, BOOK, request="a")).status == 503
        assert (await send_request(process, BOOK, request="b")).status == 200
        assert len(target.connections) == 1
        target.repeated = refusal("a")
        response = await send_request(process, BOOK, request="a")
        assert target.ran == ["b", "a"]
        assert response.status != 503

    run_scenario(scenario)


def test_a_request_without_an_id_gets_a_connection_of_its_own() -> None:
    """Its response cannot be told from a late one."""

    async def scenario(fleet: Fleet) -> None:
        process, target = await start(fleet)
        assert (await send_request(process, BOOK, request="a")).status == 200
        target.repeated = refusal()
        headers = [(b"host", b"jepu9.example"), (b"x-deadline-ms", b"1500")]
        listen = process.settings.listen
        await fetch(listen, "POST", BOOK, headers, b"", 5_000, LIMITS)
        assert len(target.connections) == 2

    run_scenario(scenario)
