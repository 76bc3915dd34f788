"""How the requests of a caller's connection are run and their responses written, in order."""

import asyncio
from typing import TYPE_CHECKING

from cactusvane import events
from cactusvane.errors import BrokenResponseError, RequestError
from cactusvane.events import Event
from cactusvane.http.exchange import Exchange
from cactusvane.http.message import BodyStream, Response
from cactusvane.http.refusal import error_response
from cactusvane.verdict import Verdict

if TYPE_CHECKING:
    from cactusvane.http.server_connection import ServerConnection


async def serve(connection: "ServerConnection", exchange: Exchange) -> None:
    """Run the handler for one request and write the response when it is next in order."""
    response: Response | None = None
    try:
        response = await call_handler(connection, exchange)
        exchange.answered = response.rest is None
        exchange.response_bytes = len(response.body)
        if not connection.was_lost:
            connection.output.update()
        if connection.output.is_blocked:
            connection.update_place()
        await exchange.may_respond
        if not connection.closing:
            await send(connection, exchange, response)
    except BrokenResponseError as error:
        connection.reset(f"a response broke off: {error}")
    except asyncio.CancelledError:
        connection.reset("a request was cancelled")
    except Exception as error:
        events.write(Event.HTTP_SEND_FAILED, error=repr(error))
        connection.reset(f"a response could not be sent: {error!r}")
    finally:
        if response is not None and response.rest is not None:
            await response.rest.aclose()
        connection.finish(exchange)


async def call_handler(connection: "ServerConnection", exchange: Exchange) -> Response:
    """Return the handler's response, or an error response for what it raised."""
    try:
        return await connection.server.handler(exchange.request(), exchange.caller)
    except RequestError as error:
        return error_response(error)
    except Exception as error:
        events.write(Event.HTTP_HANDLER_FAILED, error=repr(error))
        text = "internal error; the request may have run"
        return error_response(RequestError(500, "internal", text, Verdict.MAY_HAVE_RUN))


async def send(connection: "ServerConnection", exchange: Exchange, response: Response) -> None:
    """Write a response as fast as the caller reads it."""
    connection.ending = connection.ending or connection.server.leaving or exchange.caller.gone
    close = (
        connection.ending and connection.exchanges[-1] is exchange and connection.rejection is None
    )
    exchange.response_bytes = 0
    head = exchange.encode_head(response, close)
    if response.rest is None:
        connection.output.write(head + exchange.encode_end())
    else:
        connection.output.write(head)
        await wait_writable(connection)
        await send_rest(connection, exchange, response.rest)
        if connection.closing:
            return
        connection.output.write(exchange.encode_end())
    await wait_writable(connection)


async def send_rest(connection: "ServerConnection", exchange: Exchange, rest: BodyStream) -> None:
    """Write the remaining body of a large response as fast as the caller reads it."""
    async for part in rest:
        if connection.closing:
            return
        connection.output.write(exchange.encode_data(part))
        await wait_writable(connection)


async def wait_writable(connection: "ServerConnection") -> None:
    """Wait until the transport is writable.

    The connection is reset if the caller reads nothing within `HttpLimits.body_ms`.
    """
    if connection.output.is_blocked:
        await connection.output.wait_writable(connection.limits.body_ms, connection.reset_unread)
