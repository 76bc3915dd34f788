"""A timer that is set again and again, mostly to a later time before it fires."""

import asyncio
from collections.abc import Callable

from cactusvane.clock import MS_PER_SECOND


class Timer:
    """The only timer of a connection.

    A pending handle of the event loop is replaced only by an earlier one; otherwise the timer
    reschedules itself when it fires, which is cheaper than to cancel a handle for each request.

    Parameters
    ----------
    loop
        The event loop.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.handle: asyncio.TimerHandle | None = None
        self.due_at = 0.0
        self.action: Callable[[], None] | None = None

    def set(self, ms: float, action: Callable[[], None]) -> None:
        """Call `action` after `ms` milliseconds, in place of the previous action."""
        self.due_at = self.loop.time() + ms / MS_PER_SECOND
        self.action = action
        if self.handle and self.handle.when() > self.due_at:
            self.handle.cancel()
            self.handle = None
        if self.handle is None:
            self.handle = self.loop.call_at(self.due_at, self.fire)

    def clear(self) -> None:
        """Call no action; the handle stays for the next one."""
        self.action = None

    def stop(self) -> None:
        """Cancel the timer."""
        self.clear()
        if self.handle:
            self.handle.cancel()
            self.handle = None

    def fire(self) -> None:
        """Run the action, or reschedule the timer if it was set to a later time."""
        self.handle = None
        if self.action is None:
            return
        if self.due_at > self.loop.time():
            self.handle = self.loop.call_at(self.due_at, self.fire)
        else:
            self.action()
