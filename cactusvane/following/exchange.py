"""What entries ask each other for: tables and the list of entries, as HTTP exchanges."""

from urllib.parse import parse_qs

import msgspec

from cactusvane.errors import PlatformUnavailableError
from cactusvane.fleet.vm import Address, Vm
from cactusvane.following.table import TableRows
from cactusvane.http.check import bad_request
from cactusvane.http.fetch import fetch
from cactusvane.http.message import Request, Response
from cactusvane.settings import HttpLimits

TABLES_PATH = "/tables/"
ENTRIES_PATH = "/entries"

EXCHANGE_MS = 700.0
"""Time for one exchange between two entries."""


def encode(value: object) -> Response:
    """Return an answer that carries `value`."""
    headers = [(b"content-type", b"application/msgpack")]
    return Response(200, headers, msgspec.msgpack.encode(value))


def asked_version(request: Request) -> int:
    """Return the version that a request for a table names; 0 for the whole table.

    Raises
    ------
    RequestError
        It is no whole number.
    """
    text = parse_qs(request.target.partition("?")[2]).get("after", ["0"])[0]
    if not text.isdigit():
        raise bad_request("bad-version", f"after={text} is no whole number")
    return int(text)


class EntryExchange:
    """Asks other entries.

    Parameters
    ----------
    limits
        Bounds on their answers.
    """

    def __init__(self, limits: HttpLimits) -> None:
        self.limits = limits

    async def pull(self, address: Address, table: str, after: int) -> TableRows:
        """Return what changed in an entry's copy of a table after a version.

        Raises
        ------
        CactusvaneError
            The entry did not answer with rows.
        """
        body = await self.ask(address, f"{TABLES_PATH}{table}?after={after}")
        try:
            return msgspec.msgpack.decode(body, type=TableRows)
        except msgspec.DecodeError as error:
            raise PlatformUnavailableError(f"{address}: unreadable rows: {error}") from error

    async def entries(self, address: Address) -> tuple[Vm, ...]:
        """Return the entries that another one knows.

        Raises
        ------
        CactusvaneError
            It did not answer with a list.
        """
        body = await self.ask(address, ENTRIES_PATH)
        try:
            return msgspec.msgpack.decode(body, type=tuple[Vm, ...])
        except msgspec.DecodeError as error:
            raise PlatformUnavailableError(f"{address}: unreadable list: {error}") from error

    async def ask(self, address: Address, target: str) -> bytes:
        """Return the body of an entry's answer."""
        response = await fetch(address, "GET", target, (), b"", EXCHANGE_MS, self.limits)
        if response.status != 200:
            raise PlatformUnavailableError(f"{address}: answered {response.status}")
        return response.body
