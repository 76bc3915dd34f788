"""Requests with an idempotency key: claim the key, send the request, record the result."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial

from cactusvane.claims.claims import AlreadyRan, Claims, GrantedClaim
from cactusvane.claims.record import StoredResponse, to_stored_response
from cactusvane.configuration.model import Service
from cactusvane.dispatch import Dispatch
from cactusvane.errors import RequestError
from cactusvane.http.check import bad_request
from cactusvane.http.message import Request, Response
from cactusvane.verdict import Verdict

KEY_HEADER = b"idempotency-key"
FIRST_ATTEMPT_HEADER = b"cactusvane-first-attempt"
"""With value ``1``, the caller states that the key was never sent before and will not be repeated
before the response to this request."""

REPLAYED_FIELD = (b"cactusvane-replayed", b"1")
MAX_KEY_BYTES = 255


@dataclass(frozen=True, slots=True)
class KeyedRequest:
    """A non-idempotent request that came with a key.

    Parameters
    ----------
    service
        The service that the request is for.
    request
        The request as the caller sent it.
    key
        Value of ``Idempotency-Key``.
    lease_ms
        Time from now during which the request may be sent, in milliseconds.
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
        The request has several keys, or the key is empty or too long.
    """
    keys = [value for name, value in request.headers if name == KEY_HEADER]
    if not keys:
        return None
    if len(keys) > 1 or not 0 < len(keys[0]) <= MAX_KEY_BYTES:
        raise bad_request("bad-key", f"send one Idempotency-Key of 1 to {MAX_KEY_BYTES} bytes")
    return keys[0]


class KeyedRequestHandler:
    """Handles non-idempotent requests; claims the key of those that have one.

    Parameters
    ----------
    claims
        Claims of this entry.
    """

    def __init__(self, claims: Claims) -> None:
        self.claims = claims

    async def run(self, dispatch: Dispatch, request: Request) -> Response:
        """Return the response to one request.

        Raises
        ------
        RequestError
            The request was rejected, or no complete response was received.
        """
        key = find_key(request)
        if key is None:
            return await dispatch.run()
        keyed = KeyedRequest(dispatch.service, request, key, dispatch.timeout_ms)
        try:
            response = await run_keyed(self.claims, keyed, partial(send_with_claim, dispatch))
        except RequestError as error:
            if dispatch.lease is None:
                dispatch.record_end_soon(error.status, error.verdict, error.code)
            raise
        if dispatch.lease is None:
            dispatch.record_end_soon(response.status, Verdict.RAN, "replayed")
        return response


async def send_with_claim(dispatch: Dispatch, granted: GrantedClaim) -> Response:
    """Send a request while the lease of its claim is valid."""
    dispatch.lease = granted
    return await dispatch.run()


async def run_keyed(
    claims: Claims, keyed: KeyedRequest, run: Callable[[GrantedClaim], Awaitable[Response]]
) -> Response:
    """Claim the key, send the request, and record how it ended.

    Parameters
    ----------
    claims
        Claims of this entry.
    keyed
        The request and its key.
    run
        Sends the request while the lease of the claim is valid.

    Raises
    ------
    RequestError
        The request was not sent, or no complete response was received.
    """
    first_attempt = keyed.request.header(FIRST_ATTEMPT_HEADER) == b"1"
    granted = await claims.begin(
        keyed.service, keyed.request, keyed.key, keyed.lease_ms, first_attempt
    )
    if isinstance(granted, AlreadyRan):
        return replay(granted.response)
    try:
        response = await run(granted)
    except RequestError as error:
        claims.finish(granted, error.verdict, None)
        reported = granted.reported_verdict(error.verdict)
        raise RequestError(error.status, error.code, error.text, reported) from error
    claims.finish(granted, Verdict.RAN, to_stored_response(response))
    return response


def replay(response: StoredResponse) -> Response:
    """Return the stored response as a response for the caller."""
    headers = [
        (name.encode("latin-1"), value.encode("latin-1")) for name, value in response.headers
    ]
    body = response.body or b""
    return Response(response.status, [*headers, REPLAYED_FIELD], body, length=len(body))
