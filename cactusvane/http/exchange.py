"""One request on a caller's connection: its parts, its turn, its answer as bytes."""

import asyncio
from collections.abc import Callable

import h11

from cactusvane.http.message import Request, Response

PIPELINED_METHODS = frozenset({b"GET", b"HEAD"})
"""Methods whose requests only read and so may run beside each other."""


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


class Exchange:
    """One request on a connection and the parser that frames its answer.

    Parameters
    ----------
    parser
        Has read the request, or is reading it.
    caller
        Tells the handler when the caller is gone.

    Attributes
    ----------
    turn
        Done once the answers to all earlier requests of the connection are written.
    """

    def __init__(self, parser: h11.Connection, caller: Caller) -> None:
        self.parser = parser
        self.caller = caller
        self.head: h11.Request | None = None
        self.parts: list[bytes] = []
        self.size = 0
        self.task: asyncio.Task[None] | None = None
        self.turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    @property
    def method(self) -> bytes:
        """The request's method, empty while it is not known."""
        return self.head.method if self.head else b""

    @property
    def is_read(self) -> bool:
        """Whether the request only reads, so that it may run beside others."""
        return self.method in PIPELINED_METHODS

    def take_turn(self) -> None:
        """Let the answer be written."""
        if not self.turn.done():
            self.turn.set_result(None)

    def request(self) -> Request:
        """Return the whole request."""
        head = self.head
        assert head is not None
        return Request(
            method=head.method.decode("ascii"),
            target=head.target.decode("ascii"),
            headers=list(head.headers),
            body=b"".join(self.parts),
        )

    def encode_head(self, response: Response, close: bool) -> bytes:
        """Return the head and what is held of the body as bytes."""
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
        """Return a part of the body as bytes; an answer to HEAD has none."""
        if not data or self.method == b"HEAD":
            return b""
        return self.parser.send(h11.Data(data=data)) or b""

    def encode_end(self) -> bytes:
        """Return what ends the answer."""
        return self.parser.send(h11.EndOfMessage()) or b""
