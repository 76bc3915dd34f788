"""Strict validation of request heads, in addition to the checks of h11."""

import re

import h11

from cactusvane.errors import RequestError
from cactusvane.http.message import find_header
from cactusvane.settings import HttpLimits
from cactusvane.verdict import Verdict

AMBIGUOUS_ESCAPE = re.compile(
    r"%(?:00|2[defDEF]|3[0-9]|4[1-9a-fA-F]|5[0-9aAcCfF]|6[1-9a-fA-F]|7[0-9aAeE]|(?![0-9a-fA-F]{2}))"
)
"""Invalid escapes, and escapes of unreserved characters, slashes and NUL (RFC 3986, 2.3)."""

DOT_SEGMENTS = frozenset({".", ".."})


def bad_request(code: str, text: str, status: int = 400) -> RequestError:
    """Return the error for a request that is rejected before it is sent to any target."""
    return RequestError(status, code, text, Verdict.NOT_RUN)


HEAD_END = b"\r\n\r\n"
FOLDED_LINE = re.compile(rb"\n[ \t]")
BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")
"""A folded header line; RFC 9112 (5.2) allows servers to reject it."""

LINE_OVERHEAD_BYTES = 4
"""Size in bytes of the colon, space and line end of a header line in its common form."""


def check_lines(data: bytes) -> None:
    """Reject a head with folded header lines, which h11 would join.

    Parameters
    ----------
    data
        The bytes of a request received so far, starting with its head.

    Raises
    ------
    RequestError
        A header line is folded: status 400.
    """
    if FOLDED_LINE.search(data.partition(HEAD_END)[0]):
        raise bad_request("folded-line", "a header line is folded")


def has_bare_line_feed(data: bytes) -> bool:
    r"""Return whether a line of a head ends without a carriage return, which h11 would accept.

    Parameters
    ----------
    data
        The bytes of a message received so far, starting with its head.

    Examples
    --------
    >>> has_bare_line_feed(b"HTTP/1.1 200 OK\r\n\n")
    True
    >>> has_bare_line_feed(b"HTTP/1.1 200 OK\r\n\r\na body\n")
    False
    """
    return BARE_LINE_FEED.search(data.partition(HEAD_END)[0]) is not None


def check_head(head: h11.Request, limits: HttpLimits) -> None:
    """Reject a head that is too large or that two HTTP implementations could read differently.

    Parameters
    ----------
    head
        The head as parsed by h11, which rejects invalid syntax and conflicting lengths itself.
    limits
        Limits on callers' requests.

    Raises
    ------
    RequestError
        The framing or the path is ambiguous (status 400), the announced body is too large (413),
        the head is too large (431) or asks for a tunnel (501).
    """
    headers = list(head.headers)
    if head.method == b"CONNECT":
        raise bad_request("no-tunnels", "tunnels are not supported", 501)
    check_size(head, limits)
    length = find_header(headers, b"content-length")
    coding = find_header(headers, b"transfer-encoding")
    if length is not None and coding is not None:
        raise bad_request("two-framings", "both content-length and transfer-encoding are present")
    if coding is not None and head.http_version < b"1.1":
        raise bad_request("two-framings", "transfer-encoding is not allowed in HTTP/1.0")
    check_target(head.target.decode("latin-1"))


def check_size(head: h11.Request, limits: HttpLimits) -> None:
    """Reject a head that is too large, or that announces a body that is too large.

    h11 limits only incomplete heads, so a head that arrives in one piece is checked here.

    Raises
    ------
    RequestError
        The announced body (status 413) or the head (431) is too large.
    """
    size = len(head.target) + sum(
        len(name) + len(value) + LINE_OVERHEAD_BYTES for name, value in head.headers
    )
    if size > limits.head_bytes:
        text = f"the head is larger than {limits.head_bytes} bytes"
        raise bad_request("head-too-large", text, 431)
    length = find_header(head.headers, b"content-length")
    if length is not None and int(length) > limits.body_bytes:
        raise body_too_large(limits)


def body_too_large(limits: HttpLimits) -> RequestError:
    """Return the error for a body above the size limit."""
    text = f"the body is larger than {limits.body_bytes} bytes"
    return bad_request("body-too-large", text, 413)


def check_target(target: str) -> None:
    """Reject a request target whose path could match different routes here and at the target.

    Raises
    ------
    RequestError
        The path is ambiguous: status 400.

    Examples
    --------
    >>> check_target("/records/7?full=a/../b")
    >>> check_target("/records/../booking")
    Traceback (most recent call last):
    ...
    cactusvane.errors.RequestError: the path is ambiguous: /records/../booking
    """
    path = target.partition("?")[0]
    segments = path.split("/")
    ambiguous = (
        not path.startswith("/")
        or "\\" in target
        or "#" in target
        or ";" in path
        or "" in segments[1:-1]
        or not DOT_SEGMENTS.isdisjoint(segments)
        or ("%" in path and AMBIGUOUS_ESCAPE.search(path) is not None)
    )
    if ambiguous or not target.isascii():
        raise bad_request("bad-path", f"the path is ambiguous: {path}")
