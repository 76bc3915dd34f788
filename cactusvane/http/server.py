"""The server side of HTTP: callers' connections, parsed strictly by h11."""

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Awaitable, Callable

import h11

from cactusvane import events
from cactusvane.clock import MS_PER_SECOND
from cactusvane.errors import BrokenResponseError, RequestError
from cactusvane.events import Event
from cactusvane.fleet.vm import Address
from cactusvane.http.check import bad_request, body_too_large, check_head, check_lines
from cactusvane.http.exchange import PIPELINED_METHODS, Caller, Exchange
from cactusvane.http.message import BodyStream, Request, Response
from cactusvane.http.refusal import refusal
from cactusvane.settings import HttpLimits
from cactusvane.verdict import Verdict

LINGER_MS = 1_000
"""How long input is discarded after a refusal, so that the caller can read it."""

PIPELINE = 8
"""Requests of one connection that are read and run before the first is answered."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER`` that turns a close into a reset."""


Handler = Callable[[Request, Caller], Awaitable[Response]]
"""Answers a request or raises `RequestError`."""


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
        self.listeners: list[asyncio.Server] = []

    async def start(self, address: Address) -> Address:
        """Listen on `address`, beside those before, and return it with the port in use."""
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(
            lambda: ServerConnection(self), address.host, address.port, backlog=512
        )
        self.listeners.append(listener)
        host, port = listener.sockets[0].getsockname()[:2]
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
        for listener in self.listeners:
            listener.close()
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
    """One caller's connection.

    Requests that only read run beside each other up to `PIPELINE`, any other alone; answers go
    out in the order of the requests.

    Parameters
    ----------
    server
        Limits, handler and the set of connections.
    """

    def __init__(self, server: Server) -> None:
        self.server = server
        self.loop = asyncio.get_running_loop()
        self.transport: asyncio.Transport
        self.timer: asyncio.TimerHandle | None = None
        self.due = 0.0
        self.action: Callable[[], None] | None = None
        self.exchanges: deque[Exchange] = deque()
        self.reading = self.new_exchange()
        self.refused: RequestError | None = None
        self.pending = 0
        self.reading_head = False
        self.caller_done = False
        self.closing = False
        self.writable = asyncio.Event()
        self.writable.set()

    @property
    def limits(self) -> HttpLimits:
        """Bounds on what the caller may send."""
        return self.server.limits

    def new_exchange(self) -> Exchange:
        """Return the exchange that the next bytes belong to."""
        parser = h11.Connection(h11.SERVER, max_incomplete_event_size=self.limits.head_bytes)
        return Exchange(parser, Caller())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Admit the connection, or refuse it above the limit."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        admitted = len(self.server.connections) < self.limits.connections
        self.server.connections.add(self)
        if self.server.draining:
            self.transport.close()
        elif admitted:
            self.set_timer(self.limits.idle_ms, self.close)
        else:
            self.refuse(bad_request("busy", "too many connections", 503))

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the handlers that the caller is gone."""
        self.closing = True
        self.stop_timer()
        self.writable.set()
        self.server.remove(self)
        self.leave()

    def leave(self) -> None:
        """Tell the handlers of all requests that the caller is gone."""
        self.caller_done = True
        for exchange in self.exchanges:
            exchange.caller.leave()

    def eof_received(self) -> bool:
        """Treat the end of the caller's side as its leaving; work in flight may still answer."""
        self.leave()
        return bool(self.exchanges) and not self.closing

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
        """Parse what the caller sent; behind requests in progress, hold a bounded amount."""
        if self.closing or self.refused:
            return
        self.reading.parser.receive_data(data)
        if self.may_read():
            self.advance()
            return
        self.pending += len(data)
        if self.pending > self.limits.head_bytes:
            self.transport.pause_reading()

    def may_read(self) -> bool:
        """Say whether the next request may be read beside those in progress."""
        if len(self.exchanges) >= PIPELINE:
            return False
        if self.reading.head is not None and not self.may_run(self.reading.head):
            return False
        return all(exchange.is_read for exchange in self.exchanges)

    def advance(self) -> None:
        """Act on everything that the parser has found."""
        reading = self.reading
        if reading.head is None and not self.reading_head and reading.parser.trailing_data[0]:
            self.reading_head = True
            self.set_timer(self.limits.head_ms, self.time_out_head)
        try:
            if reading.head is None:
                check_lines(reading.parser.trailing_data[0])
            while self.take(self.reading.parser.next_event()):
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
                return self.may_run(event)
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

    def may_run(self, head: h11.Request) -> bool:
        """Say whether a request may run now; one that does not only read waits for the others."""
        return not self.exchanges or head.method in PIPELINED_METHODS

    def take_head(self, head: h11.Request) -> None:
        """Check the head and wait for the body."""
        self.reading.head = head
        self.reading_head = False
        check_head(head, self.limits)
        if not self.may_run(head):
            self.set_timer(0, None)
            return
        self.set_timer(self.limits.body_ms, self.time_out_body)
        if self.reading.parser.they_are_waiting_for_100_continue and not self.exchanges:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self.transport.write(self.reading.parser.send(interim) or b"")

    def take_data(self, data: bytes) -> None:
        """Hold a part of the body."""
        reading = self.reading
        reading.size += len(data)
        if reading.size > self.limits.body_bytes:
            raise body_too_large(self.limits)
        reading.parts.append(data)

    def dispatch(self) -> None:
        """Hand the whole request to the handler and read on behind it."""
        self.set_timer(0, None)
        exchange = self.reading
        if not self.exchanges:
            exchange.take_turn()
        self.exchanges.append(exchange)
        if self.caller_done:
            exchange.caller.leave()
        exchange.task = self.loop.create_task(self.serve(exchange))
        if exchange.parser.their_state is h11.DONE:
            data, closed = exchange.parser.trailing_data
            self.reading = self.new_exchange()
            if data:
                self.reading.parser.receive_data(data)
            if closed:
                self.reading.parser.receive_data(b"")
            if data and self.may_read():
                self.advance()

    async def serve(self, exchange: Exchange) -> None:
        """Answer one request in its turn."""
        try:
            response = await self.call_handler(exchange)
            await exchange.turn
            if not self.closing:
                await self.send(exchange, response)
            elif response.rest is not None:
                await response.rest.aclose()
        except (BrokenResponseError, asyncio.CancelledError):
            self.reset()
        except Exception as error:
            events.write(Event.HTTP_SEND_FAILED, error=repr(error))
            self.reset()
        finally:
            self.finish(exchange)

    async def call_handler(self, exchange: Exchange) -> Response:
        """Return the handler's answer, or the refusal that it raised."""
        try:
            return await self.server.handler(exchange.request(), exchange.caller)
        except RequestError as error:
            return refusal(error)
        except Exception as error:
            events.write(Event.HTTP_HANDLER_FAILED, error=repr(error))
            text = "an internal error; the request may have run"
            return refusal(RequestError(500, "internal", text, Verdict.MAY_HAVE_RUN))

    async def send(self, exchange: Exchange, response: Response) -> None:
        """Write an answer at the caller's speed."""
        close = self.server.leaving or exchange.caller.gone
        head = exchange.encode_head(response, close)
        if response.rest is None:
            self.transport.write(head + exchange.encode_end())
        else:
            self.transport.write(head)
            await self.send_rest(exchange, response.rest)
            if self.closing:
                return
            self.transport.write(exchange.encode_end())
        await self.wait_writable()

    async def send_rest(self, exchange: Exchange, rest: BodyStream) -> None:
        """Write the rest of a large answer as the caller takes it."""
        try:
            async for part in rest:
                self.transport.write(exchange.encode_data(part))
                await self.wait_writable()
                if self.closing:
                    return
        finally:
            await rest.aclose()

    async def wait_writable(self) -> None:
        """Wait while the caller is slow; reset the connection if it takes nothing at all."""
        while not self.writable.is_set():
            before = self.transport.get_write_buffer_size()
            try:
                await asyncio.wait_for(self.writable.wait(), self.limits.body_ms / MS_PER_SECOND)
            except TimeoutError:
                if self.transport.get_write_buffer_size() >= before:
                    self.reset()

    def finish(self, exchange: Exchange) -> None:
        """Go on after an answer: the next in turn, the next request, or the end."""
        if exchange in self.exchanges:
            self.exchanges.remove(exchange)
        if self.closing:
            self.cancel_reads()
            return
        parser = exchange.parser
        done = parser.our_state is h11.DONE and parser.their_state is h11.DONE
        if not done or self.server.leaving or exchange.caller.gone:
            self.close()
            self.cancel_reads()
            return
        if self.exchanges:
            self.exchanges[0].take_turn()
        self.read_on()

    def read_on(self) -> None:
        """Read the next request, which may have arrived already."""
        if self.refused and not self.exchanges:
            self.refuse(self.refused)
            return
        self.pending = 0
        self.transport.resume_reading()
        if not self.may_read():
            return
        if self.reading.head is not None:
            self.set_timer(self.limits.body_ms, self.time_out_body)
            self.advance()
        elif self.reading.parser.trailing_data[0]:
            self.advance()
        elif not self.exchanges and not self.closing:
            self.set_timer(self.limits.idle_ms, self.close)

    def cancel_reads(self) -> None:
        """Give up the reads behind an answer that ends the connection; callers send them again."""
        for exchange in self.exchanges:
            if exchange.task is not None and exchange.is_read:
                exchange.task.cancel()
            exchange.take_turn()

    def refuse(self, error: RequestError) -> None:
        """Answer a request that cannot be served after those before it, and close."""
        if self.closing:
            return
        self.refused = error
        if self.exchanges:
            return
        events.write(Event.HTTP_REFUSED, status=error.status, code=error.code, reason=error.text)
        exchange = self.reading
        response = refusal(error)
        if exchange.parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self.transport.write(exchange.encode_head(response, close=True) + exchange.encode_end())
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
        """Close now if idle, or after the answers in progress."""
        if not self.exchanges and self.reading.head is None and not self.reading_head:
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
