"""HTTP exchanges in which an entry gets tables and the list of entries from another entry."""

from urllib.parse import parse_qs

import msgspec

from cactusvane.decoding import decode_msgpack
from cactusvane.errors import PlatformUnavailableError
from cactusvane.fleet.vm import Address, Vm
from cactusvane.following.table import TablePosition, TableRows
from cactusvane.http.check import bad_request
from cactusvane.http.fetch import fetch
from cactusvane.http.message import Request, Response
from cactusvane.settings import HttpLimits

TABLE_DECODER: msgspec.msgpack.Decoder[TableRows] = msgspec.msgpack.Decoder(TableRows)
ROWS_DECODER: msgspec.msgpack.Decoder[dict[str, bytes]] = msgspec.msgpack.Decoder(dict[str, bytes])
ENTRIES_DECODER: msgspec.msgpack.Decoder[tuple[Vm, ...]] = msgspec.msgpack.Decoder(tuple[Vm, ...])

TABLES_PATH = "/tables/"
ENTRIES_PATH = "/entries"
CONFIGURATION_PATH = "/configuration"

MAX_INTEGER_DIGITS = 18

REQUEST_TIMEOUT_MS = 700.0
"""Timeout of one request from an entry to another entry."""


def encode_response(value: object) -> Response:
    """Return a response with `value` as MessagePack in its body."""
    headers = [(b"content-type", b"application/msgpack")]
    return Response(200, headers, msgspec.msgpack.encode(value))


def requested_position(request: Request) -> TablePosition:
    """Return the position after which a request asks for changes.

    Raises
    ------
    RequestError
        The version or the era is not an integer.
    """
    query = parse_qs(request.target.partition("?")[2])
    return TablePosition(era=query_integer(query, "era"), version=query_integer(query, "after"))


def query_integer(query: dict[str, list[str]], name: str) -> int:
    """Return an integer of a query; 0 if it is missing.

    Raises
    ------
    RequestError
        The value is not an integer.
    """
    text = query.get(name, ["0"])[0]
    if not (text.isascii() and text.isdigit()) or len(text) > MAX_INTEGER_DIGITS:
        raise bad_request("bad-version", f"{name}={text} is not an integer")
    return int(text)


class EntryClient:
    """Client for requests to other entries.

    Parameters
    ----------
    limits
        Limits on the responses of other entries.
    """

    def __init__(self, limits: HttpLimits) -> None:
        self.limits = limits

    async def pull(self, address: Address, table: str, after: TablePosition) -> TableRows:
        """Return the changes in another entry's copy of a table after a position.

        Parameters
        ----------
        address
            Address of the other entry.
        table
            Name of the table.
        after
            Position of the latest known change; zeros for the whole table.

        Raises
        ------
        CactusvaneError
            The entry did not respond with rows.
        """
        query = f"after={after.version}&era={after.era}"
        body = await self.get(address, f"{TABLES_PATH}{table}?{query}")
        try:
            return decode_msgpack(body, TABLE_DECODER)
        except msgspec.DecodeError as error:
            raise PlatformUnavailableError(f"{address}: cannot decode rows: {error}") from error

    async def configuration(self, address: Address) -> dict[str, bytes]:
        """Return the rows of the configuration that is active at another entry.

        Raises
        ------
        CactusvaneError
            The entry did not respond with rows.
        """
        body = await self.get(address, CONFIGURATION_PATH)
        try:
            return decode_msgpack(body, ROWS_DECODER)
        except msgspec.DecodeError as error:
            text = f"{address}: cannot decode the configuration: {error}"
            raise PlatformUnavailableError(text) from error

    async def entries(self, address: Address) -> tuple[Vm, ...]:
        """Return the entries of the failure domain that another entry knows.

        Raises
        ------
        CactusvaneError
            The entry did not respond with a list of entries.
        """
        body = await self.get(address, ENTRIES_PATH)
        try:
            return decode_msgpack(body, ENTRIES_DECODER)
        except msgspec.DecodeError as error:
            raise PlatformUnavailableError(f"{address}: cannot decode entries: {error}") from error

    async def get(self, address: Address, target: str) -> bytes:
        """Return the body of another entry's response to a GET request.

        Raises
        ------
        CactusvaneError
            The entry did not respond, or its status is not 200.
        """
        response = await fetch(address, "GET", target, (), b"", REQUEST_TIMEOUT_MS, self.limits)
        if response.status != 200:
            raise PlatformUnavailableError(f"{address}: responded with status {response.status}")
        return response.body
