"""What a response of a target proves about the request that it answers."""

from cactusvane.errors import BrokenResponseError
from cactusvane.fleet.vm import Address
from cactusvane.http.client import ClientConnection
from cactusvane.http.message import Response
from cactusvane.http.vocabulary import HeaderNames
from cactusvane.outcome import Outcome
from cactusvane.request.attempts import AttemptFailed
from cactusvane.verdict import Verdict

FIRST_ERROR_STATUS = 300
MISDIRECTED_STATUS = 421


def check_response(
    response: Response,
    connection: ClientConnection,
    names: HeaderNames,
    request_id: bytes | None,
) -> None:
    """Check that a response is the target's response to this request.

    Parameters
    ----------
    response
        The response.
    connection
        The connection that it arrived on.
    names
        Names of the header fields that targets understand.
    request_id
        Id of the request, as its caller sent it.

    Raises
    ------
    BrokenResponseError
        It belongs to another request, or an intermediary has changed it.
    """
    if names.request_id:
        echoed = response.header(names.request_id)
        unnamed = echoed is None and not connection.reused
        if not unnamed and echoed != request_id:
            raise BrokenResponseError("the response belongs to another request")
    if names.signature and response.status < FIRST_ERROR_STATUS:
        if response.header(names.signature) is None:
            raise BrokenResponseError("the response has no signature")
        if response.header(b"content-encoding") is not None:
            raise BrokenResponseError("the response's body was re-encoded")


def declined(address: Address, response: Response, names: HeaderNames) -> AttemptFailed | None:
    """Return the result if the target reports that it did not start the request, else None."""
    if response.rest is not None:
        return None
    if names.expected_target and response.status == MISDIRECTED_STATUS:
        return AttemptFailed(
            Outcome.DRAINING, Verdict.NOT_RUN, f"{address}: now belongs to another target"
        )
    if response.header(names.shed) == b"1":
        return AttemptFailed(Outcome.SHED, Verdict.NOT_RUN, f"{address}: sheds load")
    if names.draining and response.status == 503 and response.header(names.draining) == b"1":
        return AttemptFailed(Outcome.DRAINING, Verdict.NOT_RUN, f"{address}: is draining")
    return None
