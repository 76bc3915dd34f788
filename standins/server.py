"""A small HTTP server for the stand-ins, with one request at a time on each connection."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import h11

READ_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class Request:
    """A complete request.

    Parameters
    ----------
    method
        In upper case.
    path
        Path with the query.
    headers
        Header fields; names in lower case.
    body
        Complete body.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response."""

    status: int
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()


class Connection:
    """A caller's connection; its end is noticed while the response is being prepared."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.http = h11.Connection(h11.SERVER)
        self.pending_read: asyncio.Task[bytes] | None = None

    def read_ahead(self) -> asyncio.Task[bytes]:
        """Return the one outstanding read; its result is empty if the caller disconnects."""
        if self.pending_read is None:
            self.pending_read = asyncio.ensure_future(self.reader.read(READ_BYTES))
        return self.pending_read

    async def receive(self) -> Request | None:
        """Return the next request, or None if the caller disconnected or did not send HTTP."""
        if self.http.our_state is h11.MUST_CLOSE or self.http.our_state is h11.ERROR:
            return None
        if self.http.our_state is h11.DONE:
            self.http.start_next_cycle()
        head: h11.Request | None = None
        body = bytearray()
        while True:
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError:
                return None
            if event is h11.NEED_DATA:
                data = await self.read_ahead()
                self.pending_read = None
                self.http.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return as_request(head, bytes(body))
            else:
                return None

    async def send(self, response: Response) -> None:
        """Send a complete response."""
        self.writer.write(self.encode(response))
        await self.writer.drain()

    def encode(self, response: Response) -> bytes:
        """Return the bytes of a complete response."""
        headers = [("Content-Length", str(len(response.body))), *response.headers]
        encoded = [(name.encode(), value.encode()) for name, value in headers]
        head = self.http.send(h11.Response(status_code=response.status, headers=encoded))
        data = self.http.send(h11.Data(data=response.body))
        end = self.http.send(h11.EndOfMessage())
        return (head or b"") + (data or b"") + (end or b"")

    def close(self) -> None:
        """Close the connection and cancel the outstanding read."""
        if self.pending_read is not None:
            self.pending_read.cancel()
        self.writer.close()


def as_request(head: h11.Request, body: bytes) -> Request:
    """Return a `Request` built from h11's head and the body."""
    headers = {name.decode().lower(): value.decode() for name, value in head.headers}
    return Request(head.method.decode(), head.target.decode(), headers, body)


Handler = Callable[[Request], Awaitable[Response]]


@dataclass(slots=True)
class Service:
    """Serves complete requests with a handler."""

    handler: Handler

    async def serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Respond to the requests of one connection until the caller disconnects."""
        connection = Connection(reader, writer)
        try:
            while (request := await connection.receive()) is not None:
                await connection.send(await self.handler(request))
        except ConnectionError:
            pass
        finally:
            connection.close()
