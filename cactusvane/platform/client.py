"""The platform over HTTP and JSON."""

import asyncio
from typing import TypeVar

import h11
import msgspec

from cactusvane.clock import MS_PER_SECOND
from cactusvane.errors import NotFoundError, PlatformUnavailableError, WriteConflictError
from cactusvane.fleet.vm import Address, Vm
from cactusvane.platform.interface import Row, Write
from cactusvane.platform.messages import Rows, Transaction, VmList

OK = 200
NOT_FOUND = 404
CONFLICT = 409
READ_BYTES = 65_536

T = TypeVar("T")


class HttpPlatform:
    """A `Platform` that speaks HTTP, one connection for each exchange.

    Parameters
    ----------
    address
        Where the platform answers.
    timeout_ms
        Bound on one exchange, from connecting to the last byte.
    """

    def __init__(self, address: Address, timeout_ms: float = 2_000.0) -> None:
        self.address = address
        self.timeout_ms = timeout_ms

    async def read(self, table: str, key: str) -> Row | None:
        """Return a row, or None where there is none."""
        status, body = await self.exchange("GET", f"/table/{table}/{key}")
        if status == NOT_FOUND:
            return None
        return decode(body, Row)

    async def scan(self, table: str, first: str) -> tuple[Row, ...]:
        """Return all rows of a table whose key is `first` or sorts after it, in order."""
        _, body = await self.exchange("GET", f"/scan/{table}/{first}")
        return decode(body, Rows).rows

    async def commit(self, writes: tuple[Write, ...]) -> None:
        """Do all writes or none; raise `WriteConflictError` if a version differs."""
        data = msgspec.json.encode(Transaction(writes))
        status, body = await self.exchange("POST", "/transactions", data)
        if status == CONFLICT:
            raise WriteConflictError(body.decode(errors="replace"))

    async def put_object(self, digest: str, data: bytes) -> None:
        """Store an object under its content digest."""
        await self.exchange("PUT", f"/objects/{digest}", data)

    async def get_object(self, digest: str) -> bytes:
        """Return an object; raise `NotFoundError` if there is none."""
        status, body = await self.exchange("GET", f"/objects/{digest}")
        if status == NOT_FOUND:
            raise NotFoundError(f"the object store has no {digest}")
        return body

    async def list_vms(self) -> tuple[Vm, ...]:
        """Return the VM list, which lags."""
        _, body = await self.exchange("GET", "/vms")
        return decode(body, VmList).vms

    async def exchange(self, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
        """Do one exchange.

        Returns
        -------
        tuple of int and bytes
            The status, one of 200, 404 and 409, and the body.

        Raises
        ------
        PlatformUnavailableError
            If no whole answer came in time or the status is another one.
        """
        try:
            async with asyncio.timeout(self.timeout_ms / MS_PER_SECOND):
                status, answer = await exchange(self.address, method, path, body)
        except (OSError, TimeoutError, h11.ProtocolError) as error:
            reason = str(error) or "no answer in time"
            raise PlatformUnavailableError(f"platform at {self.address}: {reason}") from error
        if status not in (OK, NOT_FOUND, CONFLICT):
            raise PlatformUnavailableError(f"platform at {self.address} answered {status}")
        return status, answer


def decode(body: bytes, kind: type[T]) -> T:
    """Decode a JSON body, or raise `PlatformUnavailableError` where it is not a `kind`."""
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.DecodeError as error:
        raise PlatformUnavailableError(f"the platform's answer is unreadable: {error}") from error


async def exchange(address: Address, method: str, path: str, body: bytes) -> tuple[int, bytes]:
    """Send one request on a connection of its own and read the whole answer."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    try:
        connection = h11.Connection(h11.CLIENT)
        headers = [
            ("Host", str(address)),
            ("Connection", "close"),
            ("Content-Length", str(len(body))),
        ]
        head = connection.send(h11.Request(method=method, target=path, headers=headers))
        data = connection.send(h11.Data(data=body)) if body else b""
        end = connection.send(h11.EndOfMessage())
        writer.write((head or b"") + (data or b"") + (end or b""))
        return await read_answer(reader, connection)
    finally:
        writer.close()


async def read_answer(
    reader: asyncio.StreamReader, connection: h11.Connection
) -> tuple[int, bytes]:
    """Read until the end of the message; a cut answer raises `h11.RemoteProtocolError`."""
    status = 0
    parts: list[bytes] = []
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            parts.append(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            return status, b"".join(parts)
        else:
            raise ConnectionResetError("the platform closed the connection")
