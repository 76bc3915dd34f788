"""Response bodies that are too large to buffer, read from a target as a stream."""

import asyncio
from collections import deque
from typing import Protocol

from cactusvane.errors import BrokenResponseError


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
    """

    def __init__(self, connection: Pausable, limit: int) -> None:
        self.connection = connection
        self.limit = limit
        self.parts: deque[bytes] = deque()
        self.size = 0
        self.ended = False
        self.error: BrokenResponseError | None = None
        self.changed = asyncio.Event()

    def feed(self, data: bytes) -> None:
        """Buffer `data` received by the connection."""
        self.parts.append(data)
        self.size += len(data)
        if self.size > self.limit:
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
        while not self.parts:
            if self.error:
                raise self.error
            if self.ended:
                raise StopAsyncIteration
            self.changed.clear()
            await self.changed.wait()
        part = self.parts.popleft()
        self.size -= len(part)
        if self.size <= self.limit:
            self.connection.resume()
        return part

    async def aclose(self) -> None:
        """Close the connection unless the complete response has been received."""
        if not self.ended:
            self.connection.close()
