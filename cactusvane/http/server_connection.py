"""One caller's connection to the HTTP server: its state, the order of its requests and its end.

`receiving` reads the requests from the received bytes and `responding` writes the responses.
"""

import asyncio
import socket
import struct
from collections import deque
from typing import TYPE_CHECKING

import h11

from cactusvane import events
from cactusvane.errors import RequestError
from cactusvane.events import Event
from cactusvane.http.check import bad_request
from cactusvane.http.connection_log import log_displaced, log_unanswered
from cactusvane.http.exchange import PIPELINED_METHODS, Caller, Exchange
from cactusvane.http.memory import SMALL_BYTES, ClosingReason
from cactusvane.http.output import Output
from cactusvane.http.places import Activity
from cactusvane.http.receiving import begin_body, handle_received
from cactusvane.http.refusal import error_response
from cactusvane.http.responding import serve
from cactusvane.http.timer import Timer
from cactusvane.settings import HttpLimits
from cactusvane.verdict import Verdict

if TYPE_CHECKING:
    from cactusvane.http.server import Server

LINGER_MS = 1_000
"""Time in milliseconds for which input is discarded after a rejection, so that a caller which is
still sending can read the response."""

DISPLACED_RETRY_AFTER_MS = 1_000.0
"""Delay after which a caller whose unfinished request gave way to others may repeat it."""

MAX_PIPELINED = 8
"""Maximum number of pipelined requests of one connection that run concurrently."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of ``SO_LINGER`` that turns a close into a reset."""


class ServerConnection(asyncio.BufferedProtocol):
    """One caller's connection.

    Requests that only read run concurrently, up to `MAX_PIPELINED`; any other request runs alone.
    Responses are written in the order of the requests.

    Parameters
    ----------
    server
        Provides the limits, the handler and the set of connections.

    Attributes
    ----------
    address
        The client's address, without the port.
    pending_bytes
        Number of bytes buffered while earlier requests run.
    body_due_at
        Time until which the body that is being received must be complete, in milliseconds.
    deferred
        Whether received bytes wait for a later turn of the event loop.
    ending
        Whether the requests that were passed to the handler are the last ones of the connection;
        the response to the last of them announces the close.
    closing
        Whether nothing more is read or written.
    was_reset
        Whether this side reset the connection.
    was_displaced
        Whether the connection was closed for the sake of another one.
    was_lost
        Whether the connection is closed, so that nothing waits to be written.
    """

    def __init__(self, server: "Server") -> None:
        self.server = server
        self.loop = asyncio.get_running_loop()
        self.address = ""
        self.transport: asyncio.Transport
        self.timer = Timer(self.loop)
        self.exchanges: deque[Exchange] = deque()
        self.output = Output(server.budgets.responses.open(), self.exchanges)
        self.incoming = self.new_exchange()
        self.body_due_at = 0.0
        self.rejection: RequestError | None = None
        self.pending_bytes = 0
        self.head_started = False
        self.caller_gone = False
        self.deferred = False
        self.ending = False
        self.closing = False
        self.was_reset = False
        self.was_displaced = False
        self.was_lost = False

    @property
    def limits(self) -> HttpLimits:
        """Limits on what the caller may send."""
        return self.server.limits

    def new_exchange(self) -> Exchange:
        """Return a new exchange for the next request."""
        parser = h11.Connection(h11.SERVER, max_incomplete_event_size=self.limits.head_bytes)
        return Exchange(parser, Caller(), self.server.uploads_of(self.address))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accept the connection, or reject it if there are too many."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.output.open(transport)
        self.address = (transport.get_extra_info("peername") or ("",))[0]
        reason = self.server.admit(self)
        if self.server.draining:
            self.transport.close()
        elif reason is None:
            self.incoming = self.new_exchange()
            self.timer.set(self.limits.idle_ms, self.close)
        else:
            self.server.budgets.closed[reason] += 1
            self.reject(bad_request("busy", "too many connections", 503))

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the timer and notify the handlers that the caller is gone."""
        self.closing = self.was_lost = True
        if not self.was_reset:
            log_unanswered(self.server, self.address, self.exchanges, "the caller closed it")
        self.timer.stop()
        self.output.close()
        self.incoming.drop_body()
        self.server.remove(self)
        self.notify_gone()

    def notify_gone(self) -> None:
        """Notify the handlers of all requests that the caller is gone."""
        self.caller_gone = True
        for exchange in self.exchanges:
            exchange.caller.mark_gone()

    def eof_received(self) -> bool:
        """Treat end of input as the caller's disconnect; requests in flight may still respond."""
        self.notify_gone()
        return bool(self.exchanges) and not self.closing

    def pause_writing(self) -> None:
        """Pause the responses, since the caller does not read."""
        self.output.pause()
        self.update_place()

    def resume_writing(self) -> None:
        """Resume the responses."""
        self.output.resume()
        self.update_place()

    @property
    def activity(self) -> Activity:
        """What the connection is doing."""
        if self.closing:
            return Activity.CLOSING
        if self.exchanges:
            unread = self.output.is_blocked and all(each.answered for each in self.exchanges)
            return Activity.UNREAD if unread else Activity.RUNNING
        if self.incoming.head is not None or self.head_started:
            return Activity.RECEIVING
        return Activity.IDLE

    def update_place(self) -> None:
        """Record what the connection is doing now."""
        if not self.was_lost and not self.was_displaced:
            self.server.places.put(self, self.activity, self.server.clock.now())

    @property
    def holds_large_body(self) -> bool:
        """Whether the unfinished body takes more memory than each request may."""
        return self.incoming.upload.size > SMALL_BYTES

    def displace(self, reason: str) -> None:
        """Close the connection for the sake of another one; an unfinished request is rejected."""
        server = self.server
        server.budgets.closed[ClosingReason.DISPLACED] += 1
        log_displaced(self, reason)
        if self.activity is Activity.RECEIVING:
            self.reject(
                RequestError(503, "busy", reason, Verdict.NOT_RUN, DISPLACED_RETRY_AFTER_MS)
            )
        self.closing = self.was_displaced = True
        server.places.remove(self)
        self.transport.abort()

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next read, which all connections share."""
        return self.server.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle what was read into the buffer."""
        self.data_received(bytes(memoryview(self.server.read_buffer)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse what the caller sent; while earlier requests run, buffer a bounded amount."""
        if self.closing or self.rejection:
            return
        self.incoming.parser.receive_data(data)
        if self.may_read_next():
            self.advance()
            self.update_place()
            if not self.exchanges:
                self.set_body_timer()
            elif len(self.exchanges) > 1:
                self.update_reading()
            return
        self.pending_bytes += len(data)
        if self.pending_bytes > self.limits.head_bytes:
            self.transport.pause_reading()

    def may_read_next(self) -> bool:
        """Return whether the next request may be read while earlier ones are in progress."""
        if not self.exchanges:
            return not self.ending
        if self.ending or len(self.exchanges) >= MAX_PIPELINED or self.output.is_blocked:
            return False
        if self.server.ahead >= self.limits.pipelined:
            return False
        if self.incoming.head is not None and not self.may_run(self.incoming.head):
            return False
        return all(exchange.is_safe for exchange in self.exchanges)

    def advance(self) -> None:
        """Handle the events that the parser has, many of them in later turns of the event loop."""
        if not self.deferred and handle_received(self):
            self.defer()

    def defer(self) -> None:
        """Handle what the parser has in later turns of the event loop."""
        if not self.deferred:
            self.deferred = True
            self.transport.pause_reading()
            self.server.budgets.turns.defer(self.handle_deferred)

    def handle_deferred(self) -> bool:
        """Handle deferred events; read on once there are none. Return whether there are more."""
        if not self.discards_input and self.may_read_next() and handle_received(self):
            return True
        self.deferred = False
        self.update_place()
        self.update_reading()
        self.set_body_timer()
        return False

    @property
    def discards_input(self) -> bool:
        """Whether everything that is received from now on is discarded."""
        return self.closing or self.rejection is not None

    def update_reading(self) -> None:
        """Read on, unless as much is buffered as may be while earlier requests run."""
        if self.deferred:
            return
        if self.discards_input or not self.exchanges:
            self.pending_bytes = 0
        else:
            self.pending_bytes = len(self.incoming.parser.trailing_data[0])
        if self.pending_bytes > self.limits.head_bytes:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()

    def set_body_timer(self) -> None:
        """Reject the body that is being received if it stalls or takes too long."""
        head = self.incoming.head
        if head is None or self.incoming.was_dispatched:
            return
        if self.discards_input or not self.may_run(head):
            return
        left_ms = self.body_due_at - self.server.clock.now()
        self.timer.set(max(0.0, min(self.limits.stall_ms, left_ms)), self.reject_slow_body)

    def may_run(self, head: h11.Request) -> bool:
        """Return whether a request may run now; one that does not only read waits for others."""
        return not self.exchanges or head.method in PIPELINED_METHODS

    def dispatch(self) -> None:
        """Pass the complete request to the handler and start to read the next one."""
        self.timer.clear()
        exchange = self.incoming
        is_ahead = bool(self.exchanges)
        if not is_ahead:
            exchange.allow_response()
        self.exchanges.append(exchange)
        if self.caller_gone:
            exchange.caller.mark_gone()
        exchange.task = self.loop.create_task(serve(self, exchange))
        if is_ahead:
            self.server.count_ahead(exchange.task)
        if exchange.parser.their_state is not h11.MUST_CLOSE:
            data, closed = exchange.parser.trailing_data
            self.incoming = self.new_exchange()
            if data:
                self.incoming.parser.receive_data(data)
            if closed:
                self.incoming.parser.receive_data(b"")
            if data and self.may_read_next():
                self.advance()

    def reset_unread(self) -> None:
        """Reset the connection of a caller that does not read."""
        self.server.budgets.closed[ClosingReason.UNREAD] += 1
        self.reset("the caller does not read")

    def finish(self, exchange: Exchange) -> None:
        """Continue after a response: with the next response, the next request, or by closing."""
        if exchange in self.exchanges:
            self.exchanges.remove(exchange)
        exchange.upload.release()
        if self.closing:
            self.cancel_safe_requests()
            return
        parser = exchange.parser
        done = parser.our_state is h11.DONE and parser.their_state is h11.DONE
        if not done:
            self.close()
            self.cancel_safe_requests()
            return
        if self.exchanges:
            self.exchanges[0].allow_response()
        self.read_next()
        self.update_place()
        if self.server.draining:
            self.drain()

    def read_next(self) -> None:
        """Read the next request, which may already be buffered."""
        if self.rejection and not self.exchanges:
            self.reject(self.rejection)
            return
        if self.may_read_next():
            self.continue_reading()
        if self.exchanges:
            self.update_reading()
        elif not self.deferred:
            self.pending_bytes = 0
            self.transport.resume_reading()

    def continue_reading(self) -> None:
        """Read the next request, after those ahead of it; wait for one if none is buffered."""
        if self.incoming.head is not None:
            begin_body(self)
            self.advance()
        elif self.incoming.parser.trailing_data[0]:
            self.defer()
        elif not self.exchanges and not self.closing:
            self.timer.set(self.limits.idle_ms, self.close)

    def cancel_safe_requests(self) -> None:
        """Cancel the requests with a safe method behind a response that ends the connection.

        Callers may safely retry them.
        """
        for exchange in self.exchanges:
            if exchange.task is not None and exchange.is_safe:
                exchange.task.cancel()
            exchange.allow_response()

    def reject(self, error: RequestError) -> None:
        """Reject the request being read, after the responses to earlier ones, and close."""
        if self.closing:
            return
        self.rejection = error
        if self.exchanges:
            return
        events.write(
            Event.HTTP_REFUSED,
            status=error.status,
            code=error.code,
            reason=error.text,
            address=self.address,
        )
        exchange = self.incoming
        response = error_response(error)
        if exchange.parser.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self.output.write(exchange.encode_head(response, close=True) + exchange.encode_end())
        self.closing = True
        exchange.drop_body()
        self.update_place()
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.timer.set(LINGER_MS, self.transport.abort)

    def reject_slow_head(self) -> None:
        """Reject a request whose head does not arrive in time."""
        self.server.budgets.closed[ClosingReason.STALLED] += 1
        self.reject(bad_request("slow-head", "the head did not arrive in time", 408))

    def reject_slow_body(self) -> None:
        """Reject a request whose body does not arrive in time."""
        if self.deferred:
            self.set_body_timer()
            return
        self.server.budgets.closed[ClosingReason.STALLED] += 1
        self.reject(bad_request("slow-body", "the body did not arrive in time", 408))

    def reject_unread(self) -> None:
        """Reject the request that is being read at the end of a drain, if there is one."""
        if self.incoming.head is not None or self.head_started:
            self.reject(bad_request("stopping", "this VM stops", 503))

    def drain(self) -> None:
        """Close now if idle; otherwise the connection closes after the current response."""
        idle = not self.exchanges and self.incoming.head is None and not self.head_started
        if idle and not self.closing:
            self.close()

    def close(self) -> None:
        """Close after the buffered output is sent, or after a timeout if the caller reads none."""
        self.closing = True
        self.update_place()
        self.timer.set(self.limits.body_ms, self.transport.abort)
        self.transport.close()

    def reset(self, reason: str) -> None:
        """Reset the connection, so that a truncated response is not taken for a complete one."""
        if not self.was_reset:
            log_unanswered(self.server, self.address, self.exchanges, reason)
        self.was_reset = self.closing = True
        sock = self.transport.get_extra_info("socket")
        if sock is not None and not self.transport.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.transport.abort()
