"""HTTP requests and responses, independent of the parser."""

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
"""Header fields that apply to a single connection and are never forwarded (RFC 9110, 7.6.1)."""

OWN_PREFIX = b"cactusvane-"


@dataclass(frozen=True, slots=True)
class Request:
    """A request with its complete body.

    Parameters
    ----------
    method
        HTTP method in upper case.
    target
        Request target in origin form, for example ``/records/7?full=1``.
    headers
        Header fields with names in lower case.
    body
        The complete body.
    """

    method: str
    target: str
    headers: Headers = ()
    body: bytes | bytearray = b""

    @property
    def path(self) -> str:
        """The request target without its query."""
        return self.target.partition("?")[0]

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of the field `name` (lower case), or None."""
        return find_header(self.headers, name)


class BodyStream(Protocol):
    """The remaining parts of a body; `aclose` discards those that were not read."""

    def __aiter__(self) -> "BodyStream": ...

    async def __anext__(self) -> bytes: ...

    async def aclose(self) -> None:
        """Discard the parts that were not read."""


@dataclass(frozen=True, slots=True)
class Response:
    """A response, either complete or with a stream of its remaining body.

    Parameters
    ----------
    status
        HTTP status.
    headers
        Header fields with names in lower case.
    body
        The complete body, or the beginning of it if `rest` is set.
    rest
        Stream of what follows `body` in a large response; raises `BrokenResponseError` if the
        response ends early.
    length
        Length of the complete body in bytes, or None if it is not known.
    """

    status: int
    headers: Headers = ()
    body: bytes = b""
    rest: BodyStream | None = None
    length: int | None = None

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of the field `name` (lower case), or None."""
        return find_header(self.headers, name)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of the field `name` (lower case), or None.

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
    """Return the header fields that a proxy forwards.

    Parameters
    ----------
    headers
        Fields of a request or a response, with names in lower case.

    Returns
    -------
    list of tuple
        The fields without hop-by-hop fields, those named in ``Connection`` and cactusvane's own.

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
