"""What a connection sends to its caller, as fast as the caller reads it."""

import asyncio
from collections import deque
from collections.abc import Callable

from cactusvane.clock import MS_PER_SECOND
from cactusvane.http.exchange import Exchange
from cactusvane.http.memory import Holding


class Output:
    """The sending side of one caller's connection.

    Parameters
    ----------
    holding
        Account of the bytes that the connection holds for its caller.
    exchanges
        Requests of the connection that were passed to the handler.

    Attributes
    ----------
    transport
        Transport of the connection, which buffers what the kernel does not take.
    writable
        Set while that buffer is empty.
    """

    def __init__(self, holding: Holding, exchanges: deque[Exchange]) -> None:
        self.holding = holding
        self.exchanges = exchanges
        self.transport: asyncio.Transport
        self.writable = asyncio.Event()
        self.writable.set()

    def open(self, transport: asyncio.Transport) -> None:
        """Use `transport`, and treat any byte that the kernel does not take as not written."""
        self.transport = transport
        transport.set_write_buffer_limits(0, 0)

    @property
    def is_blocked(self) -> bool:
        """Whether the caller does not read what was written."""
        return not self.writable.is_set()

    def pause(self) -> None:
        """Record that bytes wait in the transport."""
        self.writable.clear()

    def resume(self) -> None:
        """Record that no bytes wait in the transport."""
        self.update()
        self.writable.set()

    def update(self) -> None:
        """Record the number of bytes that wait to be written to the caller."""
        waiting = sum(exchange.response_bytes for exchange in self.exchanges)
        self.holding.set(waiting + self.transport.get_write_buffer_size())

    def write(self, data: bytes) -> None:
        """Write to the transport, which buffers what the caller does not read."""
        self.transport.write(data)
        self.update()

    def close(self) -> None:
        """Release what is held, since the connection is closed."""
        self.holding.release()
        self.writable.set()

    async def wait_writable(self, timeout_ms: float, on_unread: Callable[[], None]) -> None:
        """Wait until nothing waits to be written.

        Parameters
        ----------
        timeout_ms
            Time in milliseconds within which the caller must read a part of what waits.
        on_unread
            Called if it does not; closes the connection.
        """
        while self.is_blocked:
            before = self.transport.get_write_buffer_size()
            try:
                await asyncio.wait_for(self.writable.wait(), timeout_ms / MS_PER_SECOND)
            except TimeoutError:
                if self.transport.get_write_buffer_size() >= before:
                    on_unread()
