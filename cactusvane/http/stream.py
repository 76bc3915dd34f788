"""Forwarding of the remaining body of a large response through an entry."""

import asyncio
from collections.abc import Callable

from cactusvane.clock import MS_PER_SECOND, Clock
from cactusvane.errors import BrokenResponseError
from cactusvane.http.message import BodyStream
from cactusvane.outcome import Outcome


class ForwardedStream:
    """Forwards a stream with a timeout for each part and a deadline, and reports its outcome.

    Parameters
    ----------
    rest
        Stream of the body that the target still sends.
    part_timeout_ms
        Timeout for each part, in milliseconds.
    clock
        Clock of the process.
    deadline
        Time, in milliseconds of `clock`, after which the response is of no use. It is needed
        because a target may send forever.
    on_end
        Called once, with the outcome.
    """

    def __init__(
        self,
        rest: BodyStream,
        part_timeout_ms: float,
        clock: Clock,
        deadline: float,
        on_end: Callable[[Outcome], None],
    ) -> None:
        self.rest = rest
        self.part_timeout_ms = part_timeout_ms
        self.clock = clock
        self.deadline = deadline
        self.on_end: Callable[[Outcome], None] | None = on_end

    def __aiter__(self) -> "ForwardedStream":
        return self

    async def __anext__(self) -> bytes:
        left_ms = self.deadline - self.clock.now()
        try:
            if left_ms <= 0.0:
                raise TimeoutError("the response is not complete at the deadline")
            async with asyncio.timeout(min(self.part_timeout_ms, left_ms) / MS_PER_SECOND):
                return await anext(self.rest)
        except StopAsyncIteration:
            self.end(Outcome.SERVED)
            raise
        except (TimeoutError, BrokenResponseError) as error:
            self.end(Outcome.BROKEN)
            await self.rest.aclose()
            raise BrokenResponseError(str(error) or "the response stalled") from error

    async def aclose(self) -> None:
        """Discard the parts that were not read."""
        self.end(Outcome.CANCELLED)
        await self.rest.aclose()

    def end(self, outcome: Outcome) -> None:
        """Report the outcome unless it has already been reported."""
        on_end, self.on_end = self.on_end, None
        if on_end:
            on_end(outcome)
