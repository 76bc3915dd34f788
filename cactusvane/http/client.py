"""HTTP client connections, each carrying one exchange at a time, parsed by h11."""

import asyncio
import socket

import h11

from cactusvane.errors import BrokenResponseError, ConnectError
from cactusvane.http.body import ResponseStream
from cactusvane.http.check import has_bare_line_feed
from cactusvane.http.memory import SMALL_BYTES, Budgets
from cactusvane.http.message import Request, Response, find_header
from cactusvane.http.parser_errors import describe
from cactusvane.http.turns import EVENTS_PER_TURN
from cactusvane.settings import HttpLimits

MAX_INTERIM_RESPONSES = 8
"""Maximum number of 1xx responses accepted in one exchange."""

READ_BYTES = 65_536
WRITE_BYTES = 262_144
"""Maximum number of bytes of one read from, or write to, a target."""

BODILESS_STATUSES = frozenset({204, 304})
"""Statuses whose responses have no body."""


class ClientConnection:
    """A connection to a target, which is closed permanently after any unexpected event.

    The socket is used without an asyncio transport: a failed first write then proves that nothing
    was sent, and a connection need not be watched while it has no exchange.

    Parameters
    ----------
    sock
        A connected, non-blocking socket.
    limits
        Limits on the size of a response head and on the buffered part of its body.
    budgets
        What it shares with all other connections; None for a connection of its own.

    Attributes
    ----------
    keep_alive
        Whether to keep the connection open after a complete response.
    idle_ms
        Time the connection was idle before the current exchange, in milliseconds; 0 for a new
        connection.
    request_ids
        Ids of the requests that the connection has carried; a late copy of a response on it may
        have any of them.
    deferred
        Whether received bytes wait for a later turn of the event loop.
    received_any
        Whether any byte was received in the current exchange.
    """

    def __init__(
        self, sock: socket.socket, limits: HttpLimits, budgets: Budgets | None = None
    ) -> None:
        self.sock = sock
        budgets = budgets or Budgets()
        self.turns = budgets.turns
        self.budget = budgets.responses
        self.holding = self.budget.open()
        self.limits = limits
        self.loop = asyncio.get_running_loop()
        self.parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=limits.head_bytes)
        self.closed = False
        self.reading = False
        self.deferred = False
        self.keep_alive = False
        self.idle_ms = 0.0
        self.request_ids: set[bytes] = set()
        self.received_any = False
        self.unsent = self.unsent_body = memoryview(b"")
        self.response_future: asyncio.Future[Response] | None = None
        self.method = ""
        self.interim_count = 0
        self.head: h11.Response | None = None
        self.body = bytearray()
        self.stream: ResponseStream | None = None

    @property
    def open(self) -> bool:
        """Whether the connection can carry an exchange, as far as this side can tell."""
        if self.closed or self.parser.our_state is not h11.IDLE:
            return False
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        self.close()
        return False

    @property
    def reused(self) -> bool:
        """Whether the connection has carried an exchange before the current one."""
        return bool(self.request_ids)

    async def exchange(self, request: Request, keep_alive: bool = False) -> Response:
        """Send `request` and return the response.

        Cancellation closes the connection, which cancels the work at the target.

        Parameters
        ----------
        request
            The request with its complete body.
        keep_alive
            Whether the connection may be reused after a complete response.

        Raises
        ------
        ConnectError
            The connection was already closed; nothing was written.
        BrokenResponseError
            The request was written, but no complete response was received.
        """
        if self.closed or self.parser.our_state is not h11.IDLE:
            raise ConnectError("the connection is closed")
        self.begin(request.method, keep_alive)
        self.send_first(self.encode(request), request.body)
        self.response_future = self.loop.create_future()
        self.resume()
        try:
            return await self.response_future
        except asyncio.CancelledError:
            self.close()
            raise

    def begin(self, method: str, keep_alive: bool) -> None:
        """Reset the state of the previous exchange."""
        self.method = method
        self.keep_alive = keep_alive
        self.received_any = False
        self.interim_count = 0
        self.head = None
        self.body = bytearray()

    def send_first(self, head: bytes, body: bytes | bytearray) -> None:
        """Write the start of a request; a failure proves that nothing was sent.

        A large body is not copied.

        Raises
        ------
        ConnectError
            The write failed; nothing was sent.
        """
        first = head + body[:SMALL_BYTES]
        try:
            sent = self.sock.send(first)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            self.close()
            raise ConnectError(f"nothing could be sent: {error}") from error
        self.unsent = memoryview(first)[sent:]
        self.unsent_body = memoryview(body)[SMALL_BYTES:]
        if self.unsent or self.unsent_body:
            self.loop.add_writer(self.sock.fileno(), self.send_rest)

    def send_rest(self) -> None:
        """Write as much of the remaining request as the socket accepts."""
        if not self.unsent:
            self.unsent, self.unsent_body = self.unsent_body, memoryview(b"")
        try:
            sent = self.sock.send(self.unsent[:WRITE_BYTES])
        except BlockingIOError:
            return
        except OSError as error:
            self.fail(f"the request could not be sent completely: {error}")
            return
        self.unsent = self.unsent[sent:]
        if not self.unsent and not self.unsent_body:
            self.loop.remove_writer(self.sock.fileno())

    def encode(self, request: Request) -> bytes:
        """Return the head of `request`, which frames the body by ``Content-Length``."""
        headers = [*request.headers]
        if request.body or request.method in {"POST", "PUT", "PATCH"}:
            headers.append((b"content-length", b"%d" % len(request.body)))
        head = h11.Request(method=request.method, target=request.target, headers=headers)
        data = self.parser.send(head) or b""
        if request.body:
            self.parser.send_with_data_passthrough(h11.Data(data=request.body))  # type: ignore[arg-type]
        self.parser.send(h11.EndOfMessage())
        return data

    def receive(self) -> None:
        """Read and parse what the target sent, unless too much is held already."""
        if not self.may_read():
            return
        try:
            data = self.sock.recv(self.read_bytes)
        except BlockingIOError:
            return
        except OSError as error:
            self.fail(f"the connection failed before the response was complete: {error}")
            return
        self.received_any = self.received_any or bool(data)
        self.parse(data)
        if not data:
            self.fail("the connection closed before the response was complete")

    @property
    def read_bytes(self) -> int:
        """Maximum number of bytes of the next read."""
        return SMALL_BYTES if self.budget.is_exhausted else READ_BYTES

    def may_read(self) -> bool:
        """Return whether more may be read; else stream what is buffered, or pause reading."""
        if self.stream is None and self.head is not None and not self.holding.may_grow:
            self.begin_stream()
        holding = self.stream.holding if self.stream else self.holding
        if holding.may_grow:
            return True
        self.pause()
        self.budget.wait(self.resume)
        return False

    def parse(self, data: bytes) -> None:
        """Feed `data` to the parser and handle the events, many of them in later turns."""
        try:
            self.parser.receive_data(data)
        except h11.RemoteProtocolError as error:
            self.fail(f"the response is not valid HTTP: {describe(error)}")
            return
        if self.handle_events():
            self.deferred = True
            self.pause()
            self.turns.defer(self.handle_deferred)

    def handle_events(self) -> bool:
        """Handle the parser's events; return whether there are more than belong in one turn."""
        try:
            for _ in range(EVENTS_PER_TURN):
                if not self.check_lines() or not self.handle_event(self.parser.next_event()):
                    return False
        except h11.RemoteProtocolError as error:
            self.fail(f"the response is not valid HTTP: {describe(error)}")
            return False
        return True

    def handle_deferred(self) -> bool:
        """Handle deferred events; read on once there are none. Return whether there are more."""
        if not self.closed and self.handle_events():
            return True
        self.deferred = False
        if self.response_future is not None or self.stream is not None:
            self.resume()
        return False

    def check_lines(self) -> bool:
        """Return whether the lines of the head received so far are whole; fail the exchange if not.

        A head that stops early could otherwise look like one that ends.
        """
        if self.head is None and has_bare_line_feed(self.parser.trailing_data[0]):
            self.fail("a line of the response's head has no carriage return")
            return False
        return True

    def handle_event(self, event: object) -> bool:
        """Handle one event of the parser; return whether another event may follow."""
        match event:
            case h11.InformationalResponse():
                return self.handle_interim(event.status_code)
            case h11.Response():
                return self.handle_head(event)
            case h11.Data():
                return self.handle_data(event.data)
            case h11.EndOfMessage():
                self.finish()
                return False
            case h11.ConnectionClosed():
                self.fail("the connection closed before the response was complete")
                return False
            case _:
                return False

    def handle_interim(self, status: int) -> bool:
        """Count an interim response; fail the exchange if there are too many.

        A 101 response also fails it, since this client never asks for an upgrade.
        """
        self.interim_count += 1
        if status != 101 and self.interim_count <= MAX_INTERIM_RESPONSES:
            return True
        self.fail(f"too many interim responses, or an unexpected one: {status}")
        return False

    def handle_head(self, head: h11.Response) -> bool:
        """Store the response head.

        The exchange fails if the head has no framing, since such a response cannot be proved
        complete, unless `HttpLimits.unframed` allows it.
        """
        headers = list(head.headers)
        framed = (
            self.method == "HEAD"
            or head.status_code in BODILESS_STATUSES
            or find_header(headers, b"content-length") is not None
            or find_header(headers, b"transfer-encoding") is not None
        )
        if not framed and not self.limits.unframed:
            self.fail("the response has neither content-length nor transfer-encoding")
            return False
        self.head = head
        return True

    def handle_data(self, data: bytes | bytearray) -> bool:
        """Buffer a part of the body, or stream it if the body is too large to buffer."""
        if self.stream:
            self.stream.feed(data)
            return True
        self.body += data
        self.holding.set(len(self.body))
        if len(self.body) > self.limits.buffer_bytes:
            self.begin_stream()
        return True

    def begin_stream(self) -> None:
        """Deliver the response with a stream of its body: what is buffered and what arrives."""
        self.stream = ResponseStream(self, self.limits.buffer_bytes, self.budget.open())
        buffered, self.body = self.body, bytearray()
        self.stream.feed(buffered)
        self.deliver(self.stream)

    def deliver(self, stream: ResponseStream | None) -> None:
        """Complete the exchange with the received response."""
        head, response_future = self.head, self.response_future
        assert head is not None
        self.response_future = None
        if response_future is None or response_future.done():
            return
        headers = list(head.headers)
        length = find_header(headers, b"content-length")
        body, self.body = bytes(self.body), bytearray()
        self.holding.release()
        response_future.set_result(
            Response(
                status=head.status_code,
                headers=headers,
                body=body,
                rest=stream,
                length=int(length) if length is not None else None,
            )
        )

    def finish(self) -> None:
        """Deliver the complete response; keep the connection open only if it is reusable."""
        stream = self.stream
        self.stream = None
        if self.is_reusable():
            self.pause()
            self.parser.start_next_cycle()
        else:
            self.close()
        if stream:
            stream.finish()
        else:
            self.deliver(None)

    def is_reusable(self) -> bool:
        """Return whether another exchange may follow on this connection.

        The response must have had a ``Content-Length`` and no bytes after it, the request must
        have been sent completely, and neither side may have asked to close.
        """
        if not self.keep_alive or self.head is None or self.stream is not None:
            return False
        if self.unsent or self.unsent_body:
            return False
        announced = find_header(list(self.head.headers), b"content-length") is not None
        surplus, closed = self.parser.trailing_data
        states = self.parser.our_state, self.parser.their_state
        return announced and not surplus and not closed and states == (h11.DONE, h11.DONE)

    def fail(self, text: str) -> None:
        """Close the connection and fail the current exchange, if any."""
        response_future, stream = self.response_future, self.stream
        self.response_future = None
        self.stream = None
        self.close()
        if response_future and not response_future.done():
            response_future.set_exception(BrokenResponseError(text))
        if stream:
            stream.finish(BrokenResponseError(text))

    def pause(self) -> None:
        """Pause reading from the target."""
        if self.reading:
            self.reading = False
            self.loop.remove_reader(self.sock.fileno())

    def resume(self) -> None:
        """Resume reading from the target, unless what was read waits to be handled or taken."""
        if self.deferred or (self.stream is not None and self.stream.is_full):
            return
        if not self.reading and not self.closed:
            self.reading = True
            self.loop.add_reader(self.sock.fileno(), self.receive)

    def close(self) -> None:
        """Close the connection immediately; unsent data is discarded."""
        if self.closed:
            return
        self.pause()
        self.loop.remove_writer(self.sock.fileno())
        self.closed = True
        self.unsent = self.unsent_body = memoryview(b"")
        self.holding.release()
        self.budget.forget(self.resume)
        self.sock.close()
