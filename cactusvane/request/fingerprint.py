"""Identity of requests that come again: the same work of the same caller under another id."""

from hashlib import blake2b

from cactusvane.http.message import Request

FINGERPRINT_BYTES = 16
"""Large enough that nobody finds two requests with the same fingerprint."""

IDENTIFYING_FIELDS = (b"host", b"authorization")
"""Header fields that are part of the identity; others may differ each time."""


def fingerprint(request: Request) -> bytes:
    """Return the fingerprint of a request.

    Parameters
    ----------
    request
        The request with its complete body.

    Returns
    -------
    bytes
        `FINGERPRINT_BYTES` bytes, the same for each request with this method, target, host, caller
        and body.

    Examples
    --------
    >>> first = Request("GET", "/a", [(b"host", b"h"), (b"x-request-id", b"1")])
    >>> again = Request("GET", "/a", [(b"host", b"h"), (b"x-request-id", b"2")])
    >>> fingerprint(first) == fingerprint(again)
    True
    """
    fields = [request.header(name) or b"" for name in IDENTIFYING_FIELDS]
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (request.method.encode(), request.target.encode("latin-1"), *fields, request.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
