"""The answer that tells a caller why no target's answer will come."""

import msgspec

from cactusvane.clock import MS_PER_SECOND
from cactusvane.errors import RequestError
from cactusvane.http.message import Response

VERDICT_HEADER = b"cactusvane-verdict"


def refusal(error: RequestError) -> Response:
    """Return the answer that tells a caller of `error`.

    Examples
    --------
    >>> from cactusvane.verdict import Verdict
    >>> refusal(RequestError(503, "no-target", "no target", Verdict.NOT_RUN)).body
    b'{"code":"no-target","text":"no target","verdict":"not-run"}'
    """
    body = {"code": error.code, "text": error.text, "verdict": error.verdict.value}
    headers = [
        (b"content-type", b"application/json"),
        (VERDICT_HEADER, error.verdict.value.encode()),
    ]
    if error.retry_after_ms is not None:
        headers.append((b"retry-after", format_seconds(error.retry_after_ms)))
    return Response(error.status, headers, msgspec.json.encode(body))


def format_seconds(ms: float) -> bytes:
    """Return a time in seconds, with as many decimals as it needs.

    Examples
    --------
    >>> format_seconds(250.0), format_seconds(2_000.0)
    (b'0.25', b'2')
    """
    return f"{ms / MS_PER_SECOND:.3f}".rstrip("0").rstrip(".").encode()
