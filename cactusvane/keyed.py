"""Requests with an idempotency key: claimed, then run, then recorded."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial

from cactusvane.claims.claims import Claims, Held, Recorded
from cactusvane.claims.record import Outcome, to_outcome
from cactusvane.configuration.model import Service
from cactusvane.dispatch import Dispatch
from cactusvane.errors import RequestError
from cactusvane.http.check import bad_request
from cactusvane.http.message import Request, Response
from cactusvane.verdict import Verdict

KEY_HEADER = b"idempotency-key"
FIRST_HEADER = b"cactusvane-first-attempt"
"""With value ``1``, the caller states: never sent before, and not repeated before an answer."""

REPLAYED_FIELD = (b"cactusvane-replayed", b"1")
KEY_BYTES = 255


@dataclass(frozen=True, slots=True)
class Keyed:
    """A non-idempotent request that came with a key.

    Parameters
    ----------
    service
        The service it is for.
    request
        As the caller sent it.
    key
        Value of ``Idempotency-Key``.
    lease_ms
        How long it may be sent from now on.
    """

    service: Service
    request: Request
    key: bytes
    lease_ms: float


def find_key(request: Request) -> bytes | None:
    """Return the request's idempotency key, or None.

    Raises
    ------
    RequestError
        There are several, or it is empty or too long.
    """
    keys = [value for name, value in request.headers if name == KEY_HEADER]
    if not keys:
        return None
    if len(keys) > 1 or not 0 < len(keys[0]) <= KEY_BYTES:
        raise bad_request("bad-key", f"send one Idempotency-Key of 1 to {KEY_BYTES} bytes")
    return keys[0]


class KeyedRequests:
    """Answers non-idempotent requests; those with a key under a claim of it.

    Parameters
    ----------
    claims
        Of this entry.
    """

    def __init__(self, claims: Claims) -> None:
        self.claims = claims

    async def run(self, dispatch: Dispatch, request: Request) -> Response:
        """Answer one request.

        Raises
        ------
        RequestError
            It was refused, or brought no whole answer.
        """
        key = find_key(request)
        if key is None:
            return await dispatch.run()
        keyed = Keyed(dispatch.service, request, key, dispatch.time_ms)
        try:
            response = await run_keyed(self.claims, keyed, partial(send_held, dispatch))
        except RequestError as error:
            if dispatch.held is None:
                dispatch.count(error.status, error.verdict, error.code)
            raise
        if dispatch.held is None:
            dispatch.count(response.status, Verdict.RAN, "replayed")
        return response


async def send_held(dispatch: Dispatch, held: Held) -> Response:
    """Send a request while the lease of its claim stands."""
    dispatch.held = held
    return await dispatch.run()


async def run_keyed(
    claims: Claims, keyed: Keyed, run: Callable[[Held], Awaitable[Response]]
) -> Response:
    """Claim the key, run the request, and record how it ended.

    Parameters
    ----------
    claims
        Of this entry.
    keyed
        The request and its key.
    run
        Sends the request while the claim's lease stands.

    Raises
    ------
    RequestError
        The request was not sent, or brought no whole answer.
    """
    first = keyed.request.header(FIRST_HEADER) == b"1"
    held = await claims.begin(keyed.service, keyed.request, keyed.key, keyed.lease_ms, first)
    if isinstance(held, Recorded):
        return replay(held.outcome)
    try:
        response = await run(held)
    except RequestError as error:
        claims.end(held, error.verdict, None)
        told = held.verdict(error.verdict)
        raise RequestError(error.status, error.code, error.text, told) from error
    claims.end(held, Verdict.RAN, to_outcome(response))
    return response


def replay(outcome: Outcome) -> Response:
    """Return the answer that was kept."""
    headers = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in outcome.headers]
    body = outcome.body or b""
    return Response(outcome.status, [*headers, REPLAYED_FIELD], body, length=len(body))
