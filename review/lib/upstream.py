"""Stand-in of an upstream, as the users' pages describe it."""

import asyncio
import itertools

from review.lib.http import Message, MessageError, encode, read_message
from review.lib.record import Record


class Upstream:
    """A sound upstream that runs requests and signs its answers.

    Parameters
    ----------
    name
        Its id.
    service
        Its service.
    work_s
        How long a request runs, in seconds.
    record
        Where each run is written to.
    slots
        Requests that it runs concurrently.
    queue
        Requests that wait for a slot; it turns away any more, and says so.

    Attributes
    ----------
    arrivals
        When a request reached it, in seconds of the event loop's clock.
    """

    def __init__(
        self,
        name: str,
        service: str,
        work_s: float,
        record: Record,
        slots: int = 8,
        queue: int = 12,
    ) -> None:
        self.name = name
        self.service = service
        self.work_s = work_s
        self.record = record
        self.slots = slots
        self.queue = queue
        self.free = asyncio.Semaphore(slots)
        self.present = 0
        self.port = 0
        self.arrivals: list[float] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.stamps = itertools.count(1)

    async def start(self) -> None:
        """Listen on a free port of the loopback address."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = int(self.server.sockets[0].getsockname()[1])

    def row(self) -> dict[str, object]:
        """Return what it registers in the store."""
        return {
            "address": f"127.0.0.1:{self.port}",
            "info": {
                "service": self.service,
                "zone": "estrie",
                "version": "v1",
                "max-concurrency": self.slots,
            },
            "status": {"state": "ready", "sequence": 1, "warmup-left-ms": 0},
            "born": 1,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection, one at a time."""
        self.writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                self.arrivals.append(asyncio.get_running_loop().time())
                writer.write(await self.respond(request))
                await writer.drain()
        except (MessageError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def exit(self) -> None:
        """End as a process does: its connections and its port are closed."""
        self.record.write("exits", self.name)
        self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def respond(self, request: Message) -> bytes:
        """Run a request and return its answer."""
        request_id = request.headers.get("x-request-id", "")
        headers = [("X-Request-Id", request_id)]
        if request.headers.get("x-expect-instance", self.name) != self.name:
            return encode("HTTP/1.1 421 Misdirected", [*headers, ("X-Instance-Id", self.name)])
        if self.present >= self.slots + self.queue:
            return encode("HTTP/1.1 503 Full", [*headers, ("X-Not-Executed", "1")])
        self.present += 1
        try:
            async with self.free:
                self.record.write("runs", request_id, self.name, len(request.body))
                await asyncio.sleep(self.work_s)
        finally:
            self.present -= 1
        self.record.write("ends", request_id, self.name)
        headers.append(("X-Response-Stamp", f"{self.name}.{next(self.stamps)}"))
        return encode("HTTP/1.1 200 OK", headers, f"{self.name} ran {request_id}\n".encode())
