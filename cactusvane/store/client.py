"""Client of the platform's HTTP and JSON interface."""

from typing import TypeVar

import msgspec

from cactusvane.errors import (
    ExchangeError,
    NotFoundError,
    PlatformUnavailableError,
    WriteConflictError,
)
from cactusvane.fleet.vm import Address, Vm
from cactusvane.http.fetch import fetch
from cactusvane.settings import HttpLimits
from cactusvane.store.interface import Row, Write
from cactusvane.store.messages import Rows, Transaction, VmList

OK = 200
NOT_FOUND = 404
CONFLICT = 409
MAX_OBJECT_BYTES = 64 * 1_048_576
LIMITS = HttpLimits(body_bytes=MAX_OBJECT_BYTES)

T = TypeVar("T")


class HttpPlatform:
    """A `Platform` reached over HTTP; each exchange opens its own connection.

    Parameters
    ----------
    address
        Address of the platform's HTTP server.
    timeout_ms
        Timeout of one exchange in milliseconds, from connecting to the last byte of the response.
    """

    def __init__(self, address: Address, timeout_ms: float = 2_000.0) -> None:
        self.address = address
        self.timeout_ms = timeout_ms

    async def read(self, table: str, key: str) -> Row | None:
        """Return a row, or None if it does not exist."""
        status, body = await self.exchange("GET", f"/table/{table}/{key}")
        if status == NOT_FOUND:
            return None
        return decode(body, Row)

    async def scan(self, table: str, first: str) -> tuple[Row, ...]:
        """Return the rows of a table whose key is `first` or sorts after it, in order of keys."""
        body = await self.exchange_ok("GET", f"/scan/{table}/{first}")
        return decode(body, Rows).rows

    async def commit(self, writes: tuple[Write, ...]) -> None:
        """Apply all writes or none.

        Raises
        ------
        WriteConflictError
            If the version of a row is not the expected one; nothing was written.
        PlatformUnavailableError
            If the exchange failed; the writes may have been applied.
        """
        data = msgspec.json.encode(Transaction(writes))
        status, body = await self.exchange("POST", "/transactions", data)
        if status == CONFLICT:
            raise WriteConflictError(body.decode(errors="replace"))
        if status != OK:
            raise PlatformUnavailableError(
                f"platform at {self.address} responded with status {status}"
            )

    async def put_object(self, digest: str, data: bytes) -> None:
        """Store an object under its content digest."""
        await self.exchange_ok("PUT", f"/objects/{digest}", data)

    async def get_object(self, digest: str) -> bytes:
        """Return an object, or raise `NotFoundError` if it does not exist."""
        status, body = await self.exchange("GET", f"/objects/{digest}")
        if status == NOT_FOUND:
            raise NotFoundError(f"the object store has no object {digest}")
        return body

    async def list_vms(self) -> tuple[Vm, ...]:
        """Return the VM list, which may lag behind the fleet."""
        body = await self.exchange_ok("GET", "/vms")
        return decode(body, VmList).vms

    async def exchange_ok(self, method: str, path: str, body: bytes = b"") -> bytes:
        """Perform one exchange and return the body; any status but 200 raises an error."""
        status, response = await self.exchange(method, path, body)
        if status != OK:
            raise PlatformUnavailableError(
                f"platform at {self.address} responded with status {status}"
            )
        return response

    async def exchange(self, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
        """Perform one HTTP exchange.

        Returns
        -------
        tuple of int and bytes
            The status, one of 200, 404 and 409, and the body.

        Raises
        ------
        PlatformUnavailableError
            If no complete response arrived in time, or its status is any other.
        """
        try:
            response = await fetch(self.address, method, path, (), body, self.timeout_ms, LIMITS)
        except ExchangeError as error:
            raise PlatformUnavailableError(f"platform at {self.address}: {error}") from error
        if response.status not in (OK, NOT_FOUND, CONFLICT):
            raise PlatformUnavailableError(
                f"platform at {self.address} responded with status {response.status}"
            )
        return response.status, response.body


def decode(body: bytes, kind: type[T]) -> T:
    """Decode a JSON body as `kind`, or raise `PlatformUnavailableError` if that fails."""
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as error:
        raise PlatformUnavailableError(f"invalid response from the platform: {error}") from error
