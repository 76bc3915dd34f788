"""Requests and answers as the rest of cactusvane sees them."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

Headers = Sequence[tuple[bytes, bytes]]

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)
"""Header fields that describe one connection and are never passed on (RFC 9110, 7.6.1)."""

OWN_PREFIX = b"cactusvane-"


@dataclass(frozen=True, slots=True)
class Request:
    """A request with its whole body.

    Parameters
    ----------
    method
        HTTP method, upper case.
    target
        Request target in origin form, for example ``/records/7?full=1``.
    headers
        Fields with names in lower case.
    body
        The whole body.
    """

    method: str
    target: str
    headers: Headers = ()
    body: bytes = b""

    @property
    def path(self) -> str:
        """The request target without its query."""
        return self.target.partition("?")[0]

    def header(self, name: bytes) -> bytes | None:
        """Return the first field called `name` (lower case), or None."""
        return find_header(self.headers, name)


class BodyStream(Protocol):
    """The rest of a body, part by part; `aclose` gives up what was not taken."""

    def __aiter__(self) -> "BodyStream": ...

    async def __anext__(self) -> bytes: ...

    async def aclose(self) -> None:
        """Give up what was not taken."""


@dataclass(frozen=True, slots=True)
class Response:
    """An answer.

    Parameters
    ----------
    status
        HTTP status.
    headers
        Fields with names in lower case.
    body
        The whole body, or its beginning where `rest` is set.
    rest
        What follows `body` in a large answer; raises `BrokenResponseError` where it breaks off.
    length
        Length of the whole body in bytes, where it is known.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""
    rest: BodyStream | None = None
    length: int | None = None

    def header(self, name: bytes) -> bytes | None:
        """Return the first field called `name` (lower case), or None."""
        return find_header(self.headers, name)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first field called `name`.

    Examples
    --------
    >>> find_header([(b"host", b"records")], b"host")
    b'records'
    """
    for key, value in headers:
        if key == name:
            return value
    return None


def end_to_end(headers: Headers) -> list[tuple[bytes, bytes]]:
    """Return the fields that a proxy passes on.

    Parameters
    ----------
    headers
        Fields of a request or an answer, names in lower case.

    Returns
    -------
    list of tuple
        Without the hop-by-hop fields, those that ``Connection`` names, and cactusvane's own.

    Examples
    --------
    >>> end_to_end([(b"connection", b"x-a"), (b"x-a", b"1"), (b"accept", b"*/*")])
    [(b'accept', b'*/*')]
    """
    named: frozenset[bytes] = HOP_BY_HOP
    for key, value in headers:
        if key == b"connection":
            named |= {name.strip().lower() for name in value.split(b",")}
    return [
        (key, value)
        for key, value in headers
        if key not in named and not key.startswith(OWN_PREFIX)
    ]
