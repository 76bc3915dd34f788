"""A stand-in of a target, with slots, cold start, drain and many kinds of failure.

Start it with ``python -m standins.target --port 8080 --service records --slots 4``. Paths under
``/_control/`` control it: ``POST /_control/behaviour`` changes members of `Behaviour`,
``GET /_control/ledger`` returns the ledger, ``GET /_control/busy`` the number of requests that
run. The ledger file outlives the process.
"""

import argparse
import asyncio
import contextlib
import os
import random
import signal
import time
from dataclasses import dataclass, replace

import msgspec
import xxhash

from standins.server import Connection, Request, Response

CONTROL = "/_control/"
MS_PER_SECOND = 1000.0
MAX_FILLER_BYTES = 6_000
COLD_FACTOR = 4.0
"""How many times longer a request takes while the target is cold."""


@dataclass(frozen=True, slots=True)
class Behaviour:
    """How the target behaves from now on; shares are between 0 and 1, times in milliseconds.

    Parameters
    ----------
    slots
        Maximum number of concurrent requests; further requests are shed.
    mean_ms
        Mean of the service time, which is exponentially distributed.
    cold_ms
        How long the target is slow after its start.
    draining
        Whether new requests are rejected with status 503.
    healthy
        Whether ``/health`` reports the target as healthy, regardless of its real state.
    fail_share
        Share of requests that fail with status 500 after the work.
    flap_ms
        Length of each of the alternating phases in which all requests or none fail; 0 for never.
    slow_factor
        Factor by which service times are longer than `mean_ms` says.
    late_share
        Share of requests that take `late_ms` longer.
    short_share
        Share of responses that end before their ``Content-Length``.
    long_share
        Share of responses that are followed by bytes of no response.
    twice_share
        Share of responses sent twice, the second time `echo_ms` after the first.
    garbage_share
        Share of responses that are not HTTP.
    cut_share
        Share of requests that run and whose connection then closes without a response.
    """

    slots: int = 4
    mean_ms: float = 25.0
    cold_ms: float = 0.0
    draining: bool = False
    healthy: bool = True
    fail_share: float = 0.0
    flap_ms: float = 0.0
    slow_factor: float = 1.0
    late_share: float = 0.0
    late_ms: float = 3_000.0
    short_share: float = 0.0
    long_share: float = 0.0
    twice_share: float = 0.0
    echo_ms: float = 5.0
    garbage_share: float = 0.0
    cut_share: float = 0.0


@dataclass(frozen=True, slots=True)
class LedgerLine:
    """An event of one request; the names of the fields are the keys of the ledger file.

    Parameters
    ----------
    what
        ``received``, ``started``, ``ended``, ``answered``, ``cancelled``, ``shed`` or ``drained``.
    request_id
        ``Request-Id`` of the request.
    key
        ``Idempotency-Key`` of the request, or empty.
    method
        Method of the request.
    at
        Time of the event, in seconds since the epoch.
    """

    what: str
    request_id: str
    key: str
    method: str
    at: float


def response_body(request_id: str) -> bytes:
    """Return the correct response body for a request; its length depends on the id.

    Examples
    --------
    >>> response_body("a") == response_body("b")
    False
    """
    digest = xxhash.xxh64(request_id.encode())
    length = digest.intdigest() % MAX_FILLER_BYTES
    line = f"{request_id} {digest.hexdigest()}\n".encode()
    return line + (line * (length // len(line) + 1))[:length]


class Ledger:
    """Events of all requests, in memory and, if a path is given, in a file."""

    def __init__(self, path: str) -> None:
        self.lines: list[LedgerLine] = []
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self.file = os.open(path, flags, 0o644) if path else None

    def write(self, what: str, request: Request) -> None:
        """Append an event; it is in the file when this method returns."""
        request_id = request.headers.get("request-id", "")
        key = request.headers.get("idempotency-key", "")
        line = LedgerLine(what, request_id, key, request.method, time.time())
        self.lines.append(line)
        if self.file is not None:
            os.write(self.file, msgspec.json.encode(line) + b"\n")


class Target:
    """State of the target, and how it serves requests."""

    def __init__(self, behaviour: Behaviour, seed: int, ledger: Ledger, name: str = "") -> None:
        self.name = name
        self.behaviour = behaviour
        self.random = random.Random(seed)
        self.ledger = ledger
        self.busy = 0
        self.started_at = time.monotonic()

    async def serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Respond to the requests of one connection until either side closes it."""
        connection = Connection(reader, writer)
        try:
            while (request := await connection.receive()) is not None:
                if not await self.serve(connection, request):
                    return
        except ConnectionError:
            pass
        finally:
            connection.close()

    async def serve(self, connection: Connection, request: Request) -> bool:
        """Respond to one request, and return whether the connection stays open."""
        if request.path.startswith(CONTROL):
            await connection.send(self.control(request))
            return True
        if request.path == "/health":
            await connection.send(Response(200 if self.behaviour.healthy else 503))
            return True
        self.ledger.write("received", request)
        rejection = self.rejection(request)
        if rejection is not None:
            await connection.send(rejection)
            return True
        return await self.run(connection, request)

    def rejection(self, request: Request) -> Response | None:
        """Return the response to a request that is rejected, or None if it may start."""
        if self.behaviour.draining:
            self.ledger.write("drained", request)
            return Response(503, b"draining", (("Cactusvane-Draining", "1"),))
        if self.busy >= self.behaviour.slots:
            self.ledger.write("shed", request)
            return Response(503, b"full", (("Cactusvane-Shed", "1"),))
        return None

    def response_headers(self, request: Request) -> tuple[tuple[str, str], ...]:
        """Return the header fields of a response in addition to ``Content-Length``."""
        return ()

    async def run(self, connection: Connection, request: Request) -> bool:
        """Run a request in a slot and respond; return whether the connection stays open.

        A GET request is cancelled if its caller disconnects.
        """
        self.ledger.write("started", request)
        self.busy += 1
        work = asyncio.ensure_future(asyncio.sleep(self.service_ms(request) / MS_PER_SECOND))
        try:
            if request.method == "GET":
                next_read = connection.read_ahead()
                await asyncio.wait({work, next_read}, return_when=asyncio.FIRST_COMPLETED)
                if not work.done() and next_read.result() == b"":
                    work.cancel()
                    self.ledger.write("cancelled", request)
                    return False
            await work
            self.ledger.write("ended", request)
        finally:
            self.busy -= 1
        return await self.respond(connection, request)

    def service_ms(self, request: Request) -> float:
        """Draw a service time in milliseconds; for a GET request, at most its deadline."""
        behaviour = self.behaviour
        ms = self.random.expovariate(1.0 / behaviour.mean_ms) * behaviour.slow_factor
        age_ms = (time.monotonic() - self.started_at) * MS_PER_SECOND
        if age_ms < behaviour.cold_ms:
            ms *= COLD_FACTOR
        if self.random.random() < behaviour.late_share:
            ms += behaviour.late_ms
        deadline = request.headers.get("cactusvane-deadline-ms", "")
        if request.method == "GET" and deadline.isdigit():
            ms = min(ms, float(deadline))
        return ms

    def status(self) -> int:
        """Draw the status of a response: 500 if the request fails, else 200."""
        behaviour = self.behaviour
        flapping = (
            behaviour.flap_ms > 0
            and (time.monotonic() * MS_PER_SECOND // behaviour.flap_ms) % 2 == 0
        )
        fails = flapping or self.random.random() < behaviour.fail_share
        return 500 if fails else 200

    async def respond(self, connection: Connection, request: Request) -> bool:
        """Send the response, damaged as `Behaviour` says; return whether to keep the connection."""
        request_id = request.headers.get("request-id", "")
        response = Response(
            self.status(), response_body(request_id), self.response_headers(request)
        )
        data = connection.encode(response)
        stays_open = await self.send(connection.writer, data)
        self.ledger.write("answered", request)
        return stays_open

    async def send(self, writer: asyncio.StreamWriter, data: bytes) -> bool:
        """Write a response, damaged or not as drawn; return whether the connection stays open."""
        behaviour = self.behaviour
        draw = self.random.random()
        for share, damaged in (
            (behaviour.short_share, data[: len(data) // 2]),
            (behaviour.garbage_share, b"\x00\xffnot an answer\r\n\r\n"),
            (behaviour.cut_share, b""),
        ):
            if draw < share:
                writer.write(damaged)
                await writer.drain()
                return False
            draw -= share
        writer.write(data)
        if draw < behaviour.long_share:
            writer.write(data[len(data) // 3 :])
        elif draw < behaviour.long_share + behaviour.twice_share:
            await asyncio.sleep(behaviour.echo_ms / MS_PER_SECOND)
            writer.write(data)
        await writer.drain()
        return True

    def control(self, request: Request) -> Response:
        """Respond to a request under ``/_control/``, with which a test controls the target."""
        match request.method, request.path.removeprefix(CONTROL):
            case "POST", "behaviour":
                changes = msgspec.json.decode(request.body, type=dict[str, object])
                changed = replace(self.behaviour, **changes)  # type: ignore[arg-type]
                self.behaviour = msgspec.convert(msgspec.to_builtins(changed), Behaviour)
                return Response(200, msgspec.json.encode(self.behaviour))
            case "GET", "ledger":
                return Response(200, msgspec.json.encode(self.ledger.lines))
            case "GET", "busy":
                return Response(200, str(self.busy).encode())
            case _:
                return Response(404)

    async def stop(self) -> None:
        """Reject new requests and wait for those that run."""
        self.behaviour = replace(self.behaviour, draining=True)
        while self.busy:
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)


async def serve(options: argparse.Namespace, target_class: "type[Target]") -> None:
    """Serve until SIGTERM or SIGINT, then drain."""
    behaviour = Behaviour(slots=options.slots, mean_ms=options.mean_ms, cold_ms=options.cold_ms)
    target = target_class(behaviour, options.seed, Ledger(options.ledger), options.name)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await asyncio.start_server(target.serve_connection, options.host, options.port)
    await stop.wait()
    await target.stop()


def arguments() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--service", default="")
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument("--mean-ms", type=float, default=25.0)
    parser.add_argument("--cold-ms", type=float, default=0.0)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--ledger", default="")
    parser.add_argument("--name", default="", help="name of the target")
    return parser.parse_args()


def main() -> None:
    """Run the stand-in from the command line."""
    with contextlib.suppress(asyncio.CancelledError):
        asyncio.run(serve(arguments(), Target))


if __name__ == "__main__":
    main()
