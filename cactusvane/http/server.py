"""The server side of HTTP: callers' connections, parsed strictly by h11."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

import h11
import msgspec

from cactusvane import events
from cactusvane.clock import MS_PER_SECOND
from cactusvane.errors import BrokenAnswerError, RequestError
from cactusvane.events import Event
from cactusvane.fleet.vm import Address
from cactusvane.http.check import bad_request, check_head
from cactusvane.http.message import Answer, BodyStream, Request
from cactusvane.settings import HttpLimits
from cactusvane.verdict import Verdict

LINGER_MS = 1_000
"""How long input is discarded after a refusal, so that the caller can read it."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER`` that turns a close into a reset."""

VERDICT_HEADER = b"cactusvane-verdict"


class Caller:
    """The other end of one request.

    Attributes
    ----------
    gone
        Whether the caller closed its side.
    on_gone
        Called once when the caller closes its side.
    """

    def __init__(self) -> None:
        self.gone = False
        self.on_gone: Callable[[], object] | None = None

    def leave(self) -> None:
        """Note that the caller closed its side."""
        if not self.gone:
            self.gone = True
            if self.on_gone:
                self.on_gone()


Handler = Callable[[Request, Caller], Awaitable[Answer]]
"""Answers a request or raises `RequestError`."""


def refusal(error: RequestError) -> Answer:
    """Return the answer that tells a caller of `error`.

    Examples
    --------
    >>> refusal(RequestError(503, "no-target", "no target", Verdict.NOT_RUN)).body
    b'{"code":"no-target","text":"no target","verdict":"not-run"}'
    """
    body = {"code": error.code, "text": error.text, "verdict": error.verdict.value}
    headers = [
        (b"content-type", b"application/json"),
        (VERDICT_HEADER, error.verdict.value.encode()),
    ]
    return Answer(error.status, headers, msgspec.json.encode(body))


class Server:
    """Accepts callers' connections.

    Parameters
    ----------
    limits
        Bounds on what callers may send.
    handler
        Answers each request.
    """

    def __init__(self, limits: HttpLimits, handler: Handler) -> None:
        self.limits = limits
        self.handler = handler
        self.connections: set[ServerConnection] = set()
        self.leaving = False
        self.draining = False
        self.empty = asyncio.Event()
        self.listener: asyncio.Server | None = None

    async def start(self, address: Address) -> Address:
        """Listen on `address` and return the address with the port in use."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: ServerConnection(self), address.host, address.port, backlog=512
        )
        host, port = self.listener.sockets[0].getsockname()[:2]
        return Address(host, port)

    def leave(self) -> None:
        """Ask callers to go elsewhere: each answer from now on closes its connection."""
        self.leaving = True

    async def drain(self, timeout_ms: float) -> None:
        """Take no new connections, finish what is in flight, then close.

        Parameters
        ----------
        timeout_ms
            After this time the remaining connections are reset.
        """
        self.leaving = True
        self.draining = True
        if self.listener:
            self.listener.close()
        for connection in tuple(self.connections):
            connection.drain()
        if self.connections:
            try:
                await asyncio.wait_for(self.empty.wait(), timeout_ms / MS_PER_SECOND)
            except TimeoutError:
                self.abort()

    def abort(self) -> None:
        """Reset all connections."""
        for connection in tuple(self.connections):
            connection.reset()

    def remove(self, connection: "ServerConnection") -> None:
        """Forget a closed connection."""
        self.connections.discard(connection)
        if self.draining and not self.connections:
            self.empty.set()


class ServerConnection(asyncio.Protocol):
    """One caller's connection; one request at a time is answered on it.

    Parameters
    ----------
    server
        Limits, handler and the set of connections.
    """

    def __init__(self, server: Server) -> None:
        self.server = server
        self.limits = server.limits
        self.loop = asyncio.get_running_loop()
        self.parser = h11.Connection(h11.SERVER, max_incomplete_event_size=self.limits.head_bytes)
        self.transport: asyncio.Transport
        self.timer: asyncio.TimerHandle | None = None
        self.due = 0.0
        self.action: Callable[[], None] | None = None
        self.task: asyncio.Task[None] | None = None
        self.caller = Caller()
        self.head: h11.Request | None = None
        self.method = b""
        self.parts: list[bytes] = []
        self.size = 0
        self.pending = 0
        self.reading_head = False
        self.closing = False
        self.writable = asyncio.Event()
        self.writable.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Admit the connection, or refuse it above the limit."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        admitted = len(self.server.connections) < self.limits.connections
        self.server.connections.add(self)
        if self.server.draining:
            self.transport.close()
        elif admitted:
            self.set_timer(self.limits.head_ms, self.time_out_head)
        else:
            self.refuse(bad_request("busy", "too many connections", 503))

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the handler that the caller is gone."""
        self.closing = True
        self.stop_timer()
        self.writable.set()
        self.server.remove(self)
        self.caller.leave()

    def eof_received(self) -> bool:
        """Treat the end of the caller's side as its leaving; work in flight may still answer."""
        self.caller.leave()
        return self.task is not None and not self.closing

    def pause_writing(self) -> None:
        """Make a streamed answer wait."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Let a streamed answer go on."""
        self.writable.set()

    def set_timer(self, ms: float, action: Callable[[], None] | None) -> None:
        """Replace the connection's one timer; a pending timer is moved only to an earlier time."""
        self.due = self.loop.time() + ms / MS_PER_SECOND
        self.action = action
        if action is None:
            return
        if self.timer and self.timer.when() > self.due:
            self.timer.cancel()
            self.timer = None
        if self.timer is None:
            self.timer = self.loop.call_at(self.due, self.time_out)

    def stop_timer(self) -> None:
        """Cancel the timer for good."""
        self.action = None
        if self.timer:
            self.timer.cancel()
            self.timer = None

    def time_out(self) -> None:
        """Do what the timer is for, or wait on if it was moved to a later time."""
        self.timer = None
        if self.action is None:
            return
        if self.due > self.loop.time():
            self.timer = self.loop.call_at(self.due, self.time_out)
        else:
            self.action()

    def data_received(self, data: bytes) -> None:
        """Parse what the caller sent; while a request is answered, hold a bounded amount."""
        if self.closing:
            return
        self.parser.receive_data(data)
        if self.task is None:
            self.advance()
            return
        self.pending += len(data)
        if self.pending > self.limits.head_bytes:
            self.transport.pause_reading()

    def advance(self) -> None:
        """Act on everything that the parser has found."""
        if self.head is None and not self.reading_head and self.parser.trailing_data[0]:
            self.reading_head = True
            self.set_timer(self.limits.head_ms, self.time_out_head)
        try:
            while self.take(self.parser.next_event()):
                pass
        except h11.RemoteProtocolError as error:
            self.refuse(bad_request("bad-http", str(error), error.error_status_hint))
        except RequestError as error:
            self.refuse(error)

    def take(self, event: object) -> bool:
        """Act on one event of the parser and say whether another may follow."""
        match event:
            case h11.Request():
                self.take_head(event)
                return True
            case h11.Data():
                self.take_data(bytes(event.data))
                return True
            case h11.EndOfMessage():
                self.dispatch()
                return False
            case h11.ConnectionClosed():
                self.close()
                return False
            case _:
                return False

    def take_head(self, head: h11.Request) -> None:
        """Check the head and wait for the body."""
        self.method = head.method
        check_head(head)
        self.head = head
        self.reading_head = False
        self.set_timer(self.limits.body_ms, self.time_out_body)
        if self.parser.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self.transport.write(self.parser.send(interim) or b"")

    def take_data(self, data: bytes) -> None:
        """Hold a part of the body."""
        self.size += len(data)
        if self.size > self.limits.body_bytes:
            text = f"the body is larger than {self.limits.body_bytes} bytes"
            raise bad_request("body-too-large", text, 413)
        self.parts.append(data)

    def dispatch(self) -> None:
        """Hand the whole request to the handler."""
        head = self.head
        assert head is not None
        self.set_timer(0, None)
        request = Request(
            method=head.method.decode("ascii"),
            target=head.target.decode("ascii"),
            headers=list(head.headers),
            body=b"".join(self.parts),
        )
        self.task = self.loop.create_task(self.serve(request))

    async def serve(self, request: Request) -> None:
        """Answer one request and make ready for the next."""
        try:
            answer = await self.answer(request)
            if not self.closing:
                await self.send(answer)
            elif answer.rest is not None:
                await answer.rest.aclose()
        except (BrokenAnswerError, asyncio.CancelledError):
            self.reset()
        except Exception as error:
            events.write(Event.HTTP_SEND_FAILED, error=repr(error))
            self.reset()
        finally:
            self.task = None
            self.next_request()

    async def answer(self, request: Request) -> Answer:
        """Return the handler's answer, or the refusal that it raised."""
        try:
            return await self.server.handler(request, self.caller)
        except RequestError as error:
            return refusal(error)
        except Exception as error:
            events.write(Event.HTTP_HANDLER_FAILED, error=repr(error))
            text = "an internal error; the request may have run"
            return refusal(RequestError(500, "internal", text, Verdict.MAY_HAVE_RUN))

    async def send(self, answer: Answer) -> None:
        """Write an answer at the caller's speed."""
        self.transport.write(self.encode_head(answer))
        if answer.rest is not None:
            await self.send_rest(answer.rest)
            if self.closing:
                return
        self.transport.write(self.parser.send(h11.EndOfMessage()) or b"")
        await self.wait_writable()

    async def send_rest(self, rest: BodyStream) -> None:
        """Write the rest of a large answer as the caller takes it."""
        try:
            async for part in rest:
                self.transport.write(self.encode_data(part))
                await self.wait_writable()
                if self.closing:
                    return
        finally:
            await rest.aclose()

    def encode_head(self, answer: Answer) -> bytes:
        """Return the head and what is held of the body as bytes."""
        headers = [*answer.headers]
        if answer.rest is None and answer.status not in (204, 304):
            length = len(answer.body) if answer.length is None else answer.length
            headers.append((b"content-length", b"%d" % length))
        elif answer.length is not None:
            headers.append((b"content-length", b"%d" % answer.length))
        elif answer.rest is not None:
            headers.append((b"transfer-encoding", b"chunked"))
        if self.server.leaving or self.caller.gone:
            headers.append((b"connection", b"close"))
        head = self.parser.send(h11.Response(status_code=answer.status, headers=headers)) or b""
        return head + self.encode_data(answer.body)

    def encode_data(self, data: bytes) -> bytes:
        """Return a part of the body as bytes; an answer to HEAD has none."""
        if not data or self.method == b"HEAD":
            return b""
        return self.parser.send(h11.Data(data=data)) or b""

    async def wait_writable(self) -> None:
        """Wait while the caller is slow; reset the connection if it takes nothing at all."""
        while not self.writable.is_set():
            before = self.transport.get_write_buffer_size()
            try:
                await asyncio.wait_for(self.writable.wait(), self.limits.body_ms / MS_PER_SECOND)
            except TimeoutError:
                if self.transport.get_write_buffer_size() >= before:
                    self.reset()

    def next_request(self) -> None:
        """Make ready for the next request, which may have arrived already."""
        if self.closing:
            return
        done = self.parser.our_state is h11.DONE and self.parser.their_state is h11.DONE
        if not done or self.server.leaving or self.caller.gone:
            self.close()
            return
        self.parser.start_next_cycle()
        self.caller = Caller()
        self.head = None
        self.method = b""
        self.parts = []
        self.size = 0
        self.pending = 0
        self.transport.resume_reading()
        if self.parser.trailing_data[0]:
            self.advance()
        else:
            self.set_timer(self.limits.idle_ms, self.close)

    def refuse(self, error: RequestError) -> None:
        """Answer a request that cannot be served, and close."""
        if self.closing or self.task is not None:
            return
        answer = refusal(error)
        headers = [
            *answer.headers,
            (b"content-length", b"%d" % len(answer.body)),
            (b"connection", b"close"),
        ]
        if self.parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            head = h11.Response(status_code=answer.status, headers=headers)
            data = self.parser.send(head) or b""
            data += self.encode_data(answer.body)
            self.transport.write(data + (self.parser.send(h11.EndOfMessage()) or b""))
        self.closing = True
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.set_timer(LINGER_MS, self.transport.abort)

    def time_out_head(self) -> None:
        """Refuse a caller that does not finish its head."""
        self.refuse(bad_request("slow-head", "the head did not arrive in time", 408))

    def time_out_body(self) -> None:
        """Refuse a caller that does not finish its body."""
        self.refuse(bad_request("slow-body", "the body did not arrive in time", 408))

    def drain(self) -> None:
        """Close now if idle, or after the answer in progress."""
        if self.task is None and self.head is None and not self.reading_head:
            self.close()

    def close(self) -> None:
        """Close after what was written is sent, or without it if the caller does not take it."""
        self.closing = True
        self.set_timer(self.limits.body_ms, self.transport.abort)
        self.transport.close()

    def reset(self) -> None:
        """Break the connection visibly, so that a cut answer is not taken for a whole one."""
        self.closing = True
        sock = self.transport.get_extra_info("socket")
        if sock is not None and not self.transport.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.transport.abort()
