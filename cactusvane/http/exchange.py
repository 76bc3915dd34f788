"""One request on a caller's connection and the encoding of its response."""

import asyncio
from collections.abc import Callable

import h11

from cactusvane.http.memory import ByteBudget
from cactusvane.http.message import Request, Response

PIPELINED_METHODS = frozenset({b"GET", b"HEAD"})
"""Methods that only read, so that pipelined requests with them may run concurrently."""

MAX_LOGGED_TARGET = 80
"""Maximum number of characters of a request target in a log line."""


class Caller:
    """The caller of one request.

    Attributes
    ----------
    gone
        Whether the caller has closed its side of the connection.
    on_gone
        Called once when the caller closes its side of the connection.
    """

    def __init__(self) -> None:
        self.gone = False
        self.on_gone: Callable[[], object] | None = None

    def mark_gone(self) -> None:
        """Record that the caller closed its side, and call `on_gone`."""
        if not self.gone:
            self.gone = True
            if self.on_gone:
                self.on_gone()


class Exchange:
    """One request on a connection and the parser that frames its response.

    Parameters
    ----------
    parser
        The parser that reads the request.
    caller
        Notifies the handler when the caller is gone.
    uploads
        Limit on what all requests hold of their bodies.

    Attributes
    ----------
    upload
        What the request holds of that limit.
    answered
        Whether the handler has returned the response.
    response_bytes
        Size of a response that waits for the responses to earlier requests.
    may_respond
        Completed when the responses to all earlier requests of the connection are written.
    """

    def __init__(self, parser: h11.Connection, caller: Caller, uploads: ByteBudget) -> None:
        self.parser = parser
        self.caller = caller
        self.head: h11.Request | None = None
        self.body = bytearray()
        self.upload = uploads.open()
        self.answered = False
        self.response_bytes = 0
        self.task: asyncio.Task[None] | None = None
        self.may_respond: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    @property
    def method(self) -> bytes:
        """The request's method; empty until the head has been read."""
        return self.head.method if self.head else b""

    @property
    def is_safe(self) -> bool:
        """Whether the request only reads, so that it may run concurrently with others."""
        return self.method in PIPELINED_METHODS

    @property
    def summary(self) -> str:
        """Method and the beginning of the target, for log lines."""
        head = self.head
        if head is None:
            return ""
        return f"{head.method.decode('ascii')} {head.target[:MAX_LOGGED_TARGET].decode('ascii')}"

    def drop_body(self) -> None:
        """Release the body of a request that will not run; the handler keeps what it was passed.

        The connection may be part of a reference cycle, so that the body would be kept until the
        next garbage collection.
        """
        if not self.was_dispatched:
            self.body.clear()
        self.upload.release()

    @property
    def was_dispatched(self) -> bool:
        """Whether the request was passed to the handler."""
        return self.task is not None

    def allow_response(self) -> None:
        """Allow the response to be written."""
        if not self.may_respond.done():
            self.may_respond.set_result(None)

    def request(self) -> Request:
        """Return the complete request."""
        head = self.head
        assert head is not None
        return Request(
            method=head.method.decode("ascii"),
            target=head.target.decode("ascii"),
            headers=list(head.headers),
            body=self.body,
        )

    def encode_head(self, response: Response, close: bool) -> bytes:
        """Return the response head and the buffered part of its body as bytes."""
        headers = [*response.headers]
        if response.rest is None and response.status not in (204, 304):
            length = len(response.body) if response.length is None else response.length
            headers.append((b"content-length", b"%d" % length))
        elif response.length is not None:
            headers.append((b"content-length", b"%d" % response.length))
        elif response.rest is not None:
            headers.append((b"transfer-encoding", b"chunked"))
        if close:
            headers.append((b"connection", b"close"))
        head = self.parser.send(h11.Response(status_code=response.status, headers=headers)) or b""
        return head + self.encode_data(response.body)

    def encode_data(self, data: bytes) -> bytes:
        """Return a part of the body as bytes; a response to HEAD has none."""
        if not data or self.method == b"HEAD":
            return b""
        return self.parser.send(h11.Data(data=data)) or b""

    def encode_end(self) -> bytes:
        """Return the bytes that end the response."""
        return self.parser.send(h11.EndOfMessage()) or b""
