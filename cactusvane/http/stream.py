"""The rest of a large answer on its way through an entry."""

import asyncio
from collections.abc import Callable

from cactusvane.clock import MS_PER_SECOND, Clock
from cactusvane.errors import BrokenResponseError
from cactusvane.http.message import BodyStream
from cactusvane.outcome import Outcome


class RelayedStream:
    """Passes on a stream, bounds the wait for each part, and tells once how it ended.

    Parameters
    ----------
    rest
        What the target still sends.
    part_ms
        Time for each part.
    clock
        The process's clock.
    deadline
        Moment, in milliseconds of `clock`, after which nothing of the answer is of use: a target
        may send without end.
    ended
        Called with the outcome, once.
    """

    def __init__(
        self,
        rest: BodyStream,
        part_ms: float,
        clock: Clock,
        deadline: float,
        ended: Callable[[Outcome], None],
    ) -> None:
        self.rest = rest
        self.part_ms = part_ms
        self.clock = clock
        self.deadline = deadline
        self.ended: Callable[[Outcome], None] | None = ended

    def __aiter__(self) -> "RelayedStream":
        return self

    async def __anext__(self) -> bytes:
        left_ms = self.deadline - self.clock.now()
        try:
            if left_ms <= 0.0:
                raise TimeoutError("the answer is not whole at the deadline")
            async with asyncio.timeout(min(self.part_ms, left_ms) / MS_PER_SECOND):
                return await anext(self.rest)
        except StopAsyncIteration:
            self.end(Outcome.SERVED)
            raise
        except (TimeoutError, BrokenResponseError) as error:
            self.end(Outcome.BROKEN)
            await self.rest.aclose()
            raise BrokenResponseError(str(error) or "the answer stalled") from error

    async def aclose(self) -> None:
        """Give up what was not taken."""
        self.end(Outcome.CANCELLED)
        await self.rest.aclose()

    def end(self, outcome: Outcome) -> None:
        """Tell the outcome unless it was told."""
        ended, self.ended = self.ended, None
        if ended:
            ended(outcome)
