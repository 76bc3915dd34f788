"""Response bodies that are too large to buffer, read from a target as a stream."""

import asyncio
from typing import Protocol

from cactusvane.errors import BrokenResponseError
from cactusvane.http.memory import Holding

PART_BYTES = 65_536
"""Maximum size of a part that is delivered."""


class Pausable(Protocol):
    """A connection whose reads can be paused."""

    def pause(self) -> None:
        """Pause reading from the target."""

    def resume(self) -> None:
        """Resume reading from the target."""

    def close(self) -> None:
        """Close the connection immediately."""


class ResponseStream:
    """The remaining body of a large response, with flow control.

    The target is read only as fast as the consumer takes the parts.

    Parameters
    ----------
    connection
        The connection that the response arrives on.
    limit
        Number of buffered bytes above which reading from the connection is paused.
    holding
        Counts the buffered bytes against the budget of the process.
    """

    def __init__(self, connection: Pausable, limit: int, holding: Holding) -> None:
        self.connection = connection
        self.limit = limit
        self.holding = holding
        self.buffer = bytearray()
        self.ended = False
        self.error: BrokenResponseError | None = None
        self.changed = asyncio.Event()

    @property
    def is_full(self) -> bool:
        """Whether nothing more should be read until the consumer takes a part."""
        return len(self.buffer) > self.limit

    def feed(self, data: bytes | bytearray) -> None:
        """Buffer `data` received by the connection."""
        self.buffer += data
        self.holding.set(len(self.buffer))
        if self.is_full:
            self.connection.pause()
        self.changed.set()

    def finish(self, error: BrokenResponseError | None = None) -> None:
        """Mark the stream as ended, successfully or with `error`."""
        self.ended = True
        self.error = error
        self.changed.set()

    def __aiter__(self) -> "ResponseStream":
        return self

    async def __anext__(self) -> bytes:
        while not self.buffer:
            if self.error:
                raise self.error
            if self.ended:
                raise StopAsyncIteration
            self.changed.clear()
            await self.changed.wait()
        part = bytes(self.buffer[:PART_BYTES])
        del self.buffer[:PART_BYTES]
        self.holding.set(len(self.buffer))
        self.connection.resume()
        return part

    def discard(self) -> None:
        """Release what is buffered."""
        self.buffer.clear()
        self.holding.release()

    async def aclose(self) -> None:
        """Close the connection unless the complete response has been received."""
        self.discard()
        if not self.ended:
            self.connection.close()
