"""A single HTTP exchange on its own connection."""

import asyncio

from cactusvane.clock import MS_PER_SECOND
from cactusvane.errors import BrokenResponseError, ConnectError
from cactusvane.fleet.vm import Address
from cactusvane.http.client import ClientConnection
from cactusvane.http.connect import connect
from cactusvane.http.message import Headers, Request, Response, find_header
from cactusvane.settings import HttpLimits


async def fetch(
    address: Address,
    method: str,
    target: str,
    headers: Headers,
    body: bytes,
    timeout_ms: float,
    limits: HttpLimits,
) -> Response:
    """Send one request on a new connection and return the complete response.

    Parameters
    ----------
    address
        Address of the peer.
    method
        HTTP method.
    target
        Request target in origin form.
    headers
        Header fields with names in lower case; ``host`` is added if it is missing.
    body
        The complete request body.
    timeout_ms
        Timeout for the whole exchange, from connecting to the end of the response, in
        milliseconds.
    limits
        Limits of the connection; a streamed response may not exceed `HttpLimits.body_bytes`.

    Returns
    -------
    Response
        The response with its complete body. HTTP error statuses are returned, not raised.

    Raises
    ------
    ConnectError
        Nothing was sent.
    BrokenResponseError
        The request was sent, but no complete response was received in time.
    """
    if find_header(headers, b"host") is None:
        headers = [(b"host", str(address).encode()), *headers]
    request = Request(method, target, headers, body)
    connection: ClientConnection | None = None
    try:
        async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
            connection = await connect(address, limits)
            return await read_fully(await connection.exchange(request), limits)
    except TimeoutError as error:
        text = f"{address}: no response within {timeout_ms:.0f} ms"
        if connection is None:
            raise ConnectError(text) from error
        raise BrokenResponseError(text) from error
    finally:
        if connection:
            connection.close()


async def read_fully(response: Response, limits: HttpLimits) -> Response:
    """Return `response` with its stream, if any, read to the end.

    Raises
    ------
    BrokenResponseError
        The stream ends early or exceeds `HttpLimits.body_bytes`.
    """
    if response.rest is None:
        return response
    parts = [response.body]
    size = len(response.body)
    async for part in response.rest:
        parts.append(part)
        size += len(part)
        if size > limits.body_bytes:
            raise BrokenResponseError(f"the response is larger than {limits.body_bytes} bytes")
    return Response(response.status, response.headers, b"".join(parts), None, size)
