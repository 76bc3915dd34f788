"""A small stand-in of the platform's service, over HTTP and JSON, that can inject faults.

Start it with ``python -m standins.platform --port 7000``. Paths: ``GET /table/T/K``,
``GET /scan/T/FIRST``, ``POST /transactions``, ``PUT`` and ``GET /objects/D``, ``GET`` and
``POST /vms``, ``POST /faults`` and ``GET /counters``. The last two also work while the fault
``down`` is set.
"""

import argparse
import asyncio
import contextlib
from dataclasses import dataclass, replace

import h11
import msgspec

from cactusvane.clock import MS_PER_SECOND, Clock
from cactusvane.store.messages import Rows, Transaction, VmList
from standins.store import Counters, Faults, Store

READ_BYTES = 65_536
WRITE_METHODS = ("POST", "PUT")


@dataclass(frozen=True, slots=True)
class Request:
    """A complete request; `path` holds the segments of its path."""

    method: str
    path: tuple[str, ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class Response:
    """A response: status and body."""

    status: int
    body: bytes = b"{}"


class PlatformServer:
    """Serves HTTP requests from a `Store`, with the faults that are set."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.store = Store()
        self.faults = Faults()
        self.counters = Counters()

    async def serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until either side closes it."""
        connection = h11.Connection(h11.SERVER)
        with contextlib.suppress(OSError, h11.ProtocolError):
            while request := await read_request(reader, connection):
                response = await self.respond(request)
                if response is None:
                    break
                writer.write(encode(connection, response))
                await writer.drain()
                if connection.our_state is not h11.DONE:
                    break
                connection.start_next_cycle()
        writer.close()

    async def respond(self, request: Request) -> Response | None:
        """Return the response, or None to close the connection without one."""
        match request.method, request.path:
            case "POST", ("faults",):
                self.faults = msgspec.json.decode(request.body, type=Faults)
                return Response(200)
            case "GET", ("counters",):
                return Response(200, msgspec.json.encode(self.counters))
        if self.faults.down:
            self.counters.refused += 1
            return None
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / MS_PER_SECOND)
        return self.respond_with_effect(request)

    def respond_with_effect(self, request: Request) -> Response | None:
        """Execute a request; return None if its response is lost after it took effect."""
        is_write = request.method in WRITE_METHODS
        self.counters.writes += is_write
        self.counters.reads += not is_write
        try:
            response = self.apply(request)
        except msgspec.DecodeError as error:
            return Response(400, str(error).encode())
        if is_write and self.faults.lose_answers > 0:
            self.faults = replace(self.faults, lose_answers=self.faults.lose_answers - 1)
            return None
        return response

    def apply(self, request: Request) -> Response:
        """Read or change the store, and return the response.

        Raises
        ------
        msgspec.DecodeError
            If the body is not valid.
        """
        match request.method, request.path:
            case "GET", ("table", table, key):
                row = self.store.read(table, key)
                return Response(200, msgspec.json.encode(row)) if row else Response(404)
            case "GET", ("scan", table, first):
                return Response(200, msgspec.json.encode(Rows(self.store.scan(table, first))))
            case "POST", ("transactions",):
                transaction = msgspec.json.decode(request.body, type=Transaction)
                conflict = self.store.commit(transaction.writes)
                return Response(409, msgspec.json.encode(conflict)) if conflict else Response(200)
            case "PUT", ("objects", digest):
                self.store.objects[digest] = request.body
                return Response(200)
            case "GET", ("objects", digest):
                data = self.store.objects.get(digest)
                return Response(404) if data is None else Response(200, data)
            case "GET", ("vms",):
                vms = self.store.list_vms(self.clock.now(), self.faults.list_lag_ms)
                return Response(200, msgspec.json.encode(VmList(vms)))
            case "POST", ("vms",):
                listed = msgspec.json.decode(request.body, type=VmList)
                self.store.register(listed.vms, listed.removed, self.clock.now())
                return Response(200)
        return Response(404)


async def read_request(reader: asyncio.StreamReader, connection: h11.Connection) -> Request | None:
    """Return the next complete request, or None if the caller closed the connection."""
    method, target, parts = "", "", []
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Request):
            method, target = event.method.decode(), event.target.decode()
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return Request(method, tuple(target.strip("/").split("/")), b"".join(parts))
        else:
            return None


def encode(connection: h11.Connection, response: Response) -> bytes:
    """Return the bytes of a response."""
    headers = [("Content-Length", str(len(response.body)))]
    head = connection.send(h11.Response(status_code=response.status, headers=headers))
    data = connection.send(h11.Data(data=response.body)) or b""
    return (head or b"") + data + (connection.send(h11.EndOfMessage()) or b"")


async def serve(host: str, port: int) -> None:
    """Listen until cancelled."""
    platform = PlatformServer(Clock())
    server = await asyncio.start_server(platform.serve_connection, host, port)
    async with server:
        await server.serve_forever()


def main() -> None:
    """Run the stand-in from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(serve(arguments.host, arguments.port))


if __name__ == "__main__":
    main()
