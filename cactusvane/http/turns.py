"""Shares the event loop between connections whose received bytes take long to handle.

A peer can pack thousands of events into one read, such as chunks of a few bytes. A connection
handles a few of them at once and defers the rest, which are handled in short slices with rests
between them.
"""

import asyncio
from collections import deque
from collections.abc import Callable

from cactusvane.clock import MS_PER_SECOND, Clock

EVENTS_PER_TURN = 64
"""Number of parser events that a connection handles before it defers the rest."""

SLICE_MS = 4.0
"""How long deferred work runs before the event loop has a turn."""

REST_FACTOR = 2.0
"""Pause after a slice, as a multiple of its duration."""

Work = Callable[[], bool]
"""Handles some events; returns whether there are more."""


class Turns:
    """Deferred work of the connections of a process, in turns.

    Attributes
    ----------
    slices
        Number of slices so far.
    longest_ms
        Duration of the longest slice in milliseconds.
    """

    def __init__(self) -> None:
        self.clock = Clock()
        self.pending: deque[Work] = deque()
        self.scheduled = False
        self.slices = 0
        self.longest_ms = 0.0

    def defer(self, work: Work) -> None:
        """Call `work` in later turns of the event loop, until it returns False."""
        self.pending.append(work)
        self.schedule(0.0)

    def schedule(self, delay_ms: float) -> None:
        """Schedule the next slice."""
        if not self.scheduled:
            self.scheduled = True
            asyncio.get_running_loop().call_later(delay_ms / MS_PER_SECOND, self.run_slice)

    def run_slice(self) -> None:
        """Run the pending work in turns until the slice is over."""
        self.scheduled = False
        self.slices += 1
        started = self.clock.now()
        elapsed_ms = 0.0
        while self.pending and elapsed_ms < SLICE_MS:
            work = self.pending.popleft()
            if work():
                self.pending.append(work)
            elapsed_ms = self.clock.now() - started
        self.longest_ms = max(self.longest_ms, elapsed_ms)
        if self.pending:
            self.schedule(REST_FACTOR * elapsed_ms)
