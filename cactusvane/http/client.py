"""The client side of HTTP: one exchange at a time on one connection, parsed by h11."""

import asyncio
import socket

import h11

from cactusvane.errors import BrokenResponseError, ConnectError
from cactusvane.http.body import ResponseStream
from cactusvane.http.message import Request, Response, find_header
from cactusvane.settings import HttpLimits

MAX_INTERIM_RESPONSES = 8
"""How many 1xx answers one exchange may bring."""

READ_BYTES = 65_536

BODILESS = frozenset({204, 304})
"""Statuses whose answers have no body."""


class ClientConnection:
    """A connected socket to a target; after anything unexpected it closes and stays closed.

    The socket is used without a transport, since a failed first write then proves that nothing
    was sent, and since a connection that carries one exchange need not be watched before it.

    Parameters
    ----------
    sock
        A connected socket that does not block.
    limits
        Bounds on the head of an answer and on what is held of its body.

    Attributes
    ----------
    keep
        Whether it is to stay open after a whole answer.
    rested_ms
        How long it had rested before the present exchange, in milliseconds; 0 for a new one.
    heard
        Whether any byte came in the present exchange.
    """

    def __init__(self, sock: socket.socket, limits: HttpLimits) -> None:
        self.sock = sock
        self.limits = limits
        self.loop = asyncio.get_running_loop()
        self.parser = h11.Connection(h11.CLIENT, max_incomplete_event_size=limits.head_bytes)
        self.closed = False
        self.reading = False
        self.keep = False
        self.rested_ms = 0.0
        self.heard = False
        self.unsent = b""
        self.response_future: asyncio.Future[Response] | None = None
        self.method = ""
        self.interim = 0
        self.head: h11.Response | None = None
        self.parts: list[bytes] = []
        self.size = 0
        self.stream: ResponseStream | None = None

    @property
    def open(self) -> bool:
        """Whether the connection may carry an exchange, as far as this side can see."""
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

    async def exchange(self, request: Request, keep: bool = False) -> Response:
        """Send `request` and return the answer.

        Cancelling this closes the connection, which cancels the work at the target.

        Parameters
        ----------
        request
            With its whole body.
        keep
            Whether the connection may be used again after a whole answer.

        Raises
        ------
        ConnectError
            The connection was closed already; nothing was written.
        BrokenResponseError
            The request was written, and no whole answer came.
        """
        if self.closed or self.parser.our_state is not h11.IDLE:
            raise ConnectError("the connection is closed")
        self.begin(request.method, keep)
        data = self.encode(request)
        self.send_first(data)
        self.response_future = self.loop.create_future()
        self.resume()
        try:
            return await self.response_future
        except asyncio.CancelledError:
            self.close()
            raise

    def begin(self, method: str, keep: bool) -> None:
        """Forget what belongs to the exchange before."""
        self.method = method
        self.keep = keep
        self.heard = False
        self.interim = 0
        self.head = None
        self.parts = []
        self.size = 0

    def send_first(self, data: bytes) -> None:
        """Write the beginning of a request; a failure proves that nothing was sent."""
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            self.close()
            raise ConnectError(f"nothing could be sent: {error}") from error
        if sent < len(data):
            self.unsent = data[sent:]
            self.loop.add_writer(self.sock.fileno(), self.send_rest)

    def send_rest(self) -> None:
        """Write more of the request, as much as the connection takes."""
        try:
            sent = self.sock.send(self.unsent)
        except BlockingIOError:
            return
        except OSError as error:
            self.fail(f"the request could not be sent whole: {error}")
            return
        self.unsent = self.unsent[sent:]
        if not self.unsent:
            self.loop.remove_writer(self.sock.fileno())

    def encode(self, request: Request) -> bytes:
        """Return the bytes of `request`, with a framing of our own."""
        headers = [*request.headers]
        if request.body or request.method in {"POST", "PUT", "PATCH"}:
            headers.append((b"content-length", b"%d" % len(request.body)))
        head = h11.Request(method=request.method, target=request.target, headers=headers)
        data = self.parser.send(head) or b""
        if request.body:
            data += self.parser.send(h11.Data(data=request.body)) or b""
        return data + (self.parser.send(h11.EndOfMessage()) or b"")

    def receive(self) -> None:
        """Take what the target sent."""
        try:
            data = self.sock.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self.fail(f"the connection broke before the answer was whole: {error}")
            return
        self.heard = self.heard or bool(data)
        self.parse(data)
        if not data:
            self.fail("the connection closed before the answer was whole")

    def parse(self, data: bytes) -> None:
        """Feed `data` to the parser and act on what it finds."""
        try:
            self.parser.receive_data(data)
            while self.take(self.parser.next_event()):
                pass
        except h11.RemoteProtocolError as error:
            self.fail(f"the answer is not HTTP: {error}")

    def take(self, event: object) -> bool:
        """Act on one event of the parser and say whether another may follow."""
        match event:
            case h11.InformationalResponse():
                return self.take_interim(event.status_code)
            case h11.Response():
                return self.take_head(event)
            case h11.Data():
                return self.take_data(bytes(event.data))
            case h11.EndOfMessage():
                self.finish()
                return False
            case h11.ConnectionClosed():
                self.fail("the connection closed before the answer was whole")
                return False
            case _:
                return False

    def take_interim(self, status: int) -> bool:
        """Count an interim answer; too many of them break the exchange."""
        self.interim += 1
        if status != 101 and self.interim <= MAX_INTERIM_RESPONSES:
            return True
        self.fail(f"too many interim answers, or an unwanted one: {status}")
        return False

    def take_head(self, head: h11.Response) -> bool:
        """Keep the head; an answer that does not say where it ends cannot be proved whole."""
        headers = list(head.headers)
        framed = (
            self.method == "HEAD"
            or head.status_code in BODILESS
            or find_header(headers, b"content-length") is not None
            or find_header(headers, b"transfer-encoding") is not None
        )
        if not framed and not self.limits.unframed:
            self.fail("the answer does not say where it ends")
            return False
        self.head = head
        return True

    def take_data(self, data: bytes) -> bool:
        """Hold a part of the body, or pass it on where the answer is too large to hold."""
        if self.stream:
            self.stream.feed(data)
            return True
        self.parts.append(data)
        self.size += len(data)
        if self.size > self.limits.buffer_bytes:
            self.begin_stream()
        return True

    def begin_stream(self) -> None:
        """Hand over what is held so far and pass on the rest as it comes."""
        self.stream = ResponseStream(self, self.limits.buffer_bytes)
        self.deliver(self.stream)

    def deliver(self, stream: ResponseStream | None) -> None:
        """Complete the exchange with the answer."""
        head, response_future = self.head, self.response_future
        assert head is not None
        self.response_future = None
        if response_future is None or response_future.done():
            return
        headers = list(head.headers)
        length = find_header(headers, b"content-length")
        response_future.set_result(
            Response(
                status=head.status_code,
                headers=headers,
                body=b"".join(self.parts),
                rest=stream,
                length=int(length) if length is not None else None,
            )
        )

    def finish(self) -> None:
        """Deliver the whole answer; the connection rests if it is fit for another exchange."""
        stream = self.stream
        self.stream = None
        if self.is_fit():
            self.pause()
            self.parser.start_next_cycle()
        else:
            self.close()
        if stream:
            stream.finish()
        else:
            self.deliver(None)

    def is_fit(self) -> bool:
        """Say whether another exchange may follow a whole answer.

        It had an announced length, nothing came after it, all of the request was sent, and
        neither side wants to close.
        """
        if not self.keep or self.head is None or self.unsent or self.stream is not None:
            return False
        announced = find_header(list(self.head.headers), b"content-length") is not None
        surplus, closed = self.parser.trailing_data
        states = self.parser.our_state, self.parser.their_state
        return announced and not surplus and not closed and states == (h11.DONE, h11.DONE)

    def fail(self, text: str) -> None:
        """Close the connection and fail the exchange in progress, if any."""
        response_future, stream = self.response_future, self.stream
        self.response_future = None
        self.stream = None
        self.close()
        if response_future and not response_future.done():
            response_future.set_exception(BrokenResponseError(text))
        if stream:
            stream.finish(BrokenResponseError(text))

    def pause(self) -> None:
        """Stop reading from the target."""
        if self.reading:
            self.reading = False
            self.loop.remove_reader(self.sock.fileno())

    def resume(self) -> None:
        """Read from the target again."""
        if not self.reading and not self.closed:
            self.reading = True
            self.loop.add_reader(self.sock.fileno(), self.receive)

    def close(self) -> None:
        """Close at once; nothing that was not sent yet will be."""
        if self.closed:
            return
        self.pause()
        self.loop.remove_writer(self.sock.fileno())
        self.closed = True
        self.sock.close()
