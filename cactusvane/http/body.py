"""The rest of a large answer on its way from a target."""

import asyncio
from collections import deque
from typing import Protocol

from cactusvane.errors import BrokenResponseError


class Pausable(Protocol):
    """A connection whose reading can pause."""

    def pause(self) -> None:
        """Stop reading from the target."""

    def resume(self) -> None:
        """Read from the target again."""

    def close(self) -> None:
        """Close at once."""


class ResponseStream:
    """The rest of a large answer, read from the target only as fast as it is taken.

    Parameters
    ----------
    connection
        Where the answer comes from.
    limit
        Bytes held before reading pauses.
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
        """Take `data` from the connection."""
        self.parts.append(data)
        self.size += len(data)
        if self.size > self.limit:
            self.connection.pause()
        self.changed.set()

    def finish(self, error: BrokenResponseError | None = None) -> None:
        """Note that nothing follows, because of `error` where one is given."""
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
        """Close the connection unless the whole answer has been received."""
        if not self.ended:
            self.connection.close()
