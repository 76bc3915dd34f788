"""The identity of requests that come again."""

from cactusvane.http.message import Request
from cactusvane.request.fingerprint import fingerprint


def test_the_fingerprint_does_not_depend_on_the_customers_key() -> None:
    """Guards against a logged fingerprint by which guessed keys can be checked."""
    first = Request("GET", "/a", [(b"host", b"h"), (b"api-key", b"k1")])
    second = Request("GET", "/a", [(b"host", b"h"), (b"api-key", b"k2")])
    assert fingerprint(first) == fingerprint(second)
