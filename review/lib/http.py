"""HTTP/1.1 messages for the stand-ins: reading of heads and bodies, and one caller connection."""

import asyncio
from dataclasses import dataclass, field

Headers = list[tuple[str, str]]


class MessageError(Exception):
    """The peer closed, reset or sent something that is no message."""


@dataclass
class Message:
    """A request or a response.

    Parameters
    ----------
    start
        The three parts of the first line.
    headers
        Header fields with names in lower case.
    body
        The complete body.
    """

    start: tuple[str, str, str]
    headers: dict[str, str]
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return a message without its body; None if the peer closed between two messages."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise MessageError("the head ends early") from error
    except (OSError, asyncio.LimitOverrunError) as error:
        raise MessageError(f"no head: {error!r}") from error
    lines = data.decode("latin-1").split("\r\n")
    parts = lines[0].split(" ", 2)
    if len(parts) < 2:
        raise MessageError(f"no first line: {lines[0]!r}")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Message((parts[0], parts[1], parts[2] if len(parts) > 2 else ""), headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read the body of a message that has a length or is chunked."""
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            message.body = await read_chunks(reader)
        else:
            length = int(message.headers.get("content-length", "0"))
            message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, OSError, ValueError) as error:
        raise MessageError(f"the body is not complete: {error!r}") from error


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Return the body of a chunked message without trailers."""
    parts = []
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        if size:
            parts.append(await reader.readexactly(size))
        if await reader.readline() != b"\r\n":
            raise MessageError("a chunk does not end with its line")
        if not size:
            return b"".join(parts)


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message; None if the peer closed before it."""
    message = await read_head(reader)
    if message is not None:
        await read_body(reader, message)
    return message


def encode(first_line: str, headers: Headers, body: bytes = b"") -> bytes:
    """Return a message with a length as bytes."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers)]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


@dataclass
class CallerConnection:
    """One connection of a caller to an entry.

    Parameters
    ----------
    port
        Port of the entry on the loopback address.
    """

    port: int
    reader: asyncio.StreamReader = field(init=False)
    writer: asyncio.StreamWriter = field(init=False)

    async def open(self) -> "CallerConnection":
        """Connect."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        return self

    def send(self, data: bytes) -> None:
        """Send bytes."""
        self.writer.write(data)

    async def response(self) -> Message | None:
        """Return the next response; None if the entry closed before it."""
        return await read_message(self.reader)

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()
