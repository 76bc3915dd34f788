"""Log lines on standard output: bounded in number, and never waited for."""

import logging
import os
import time
from collections.abc import Callable

LINES_PER_SECOND = 100.0
"""Lines of one process in the long run; a few for each request of a busy VM."""

LINES_AT_ONCE = 1_000.0
"""Lines that may come at once after a quiet time."""

ORDINARY_SHARE = 0.5
"""Below this share of `LINES_AT_ONCE` only warnings and errors are written."""

MOST_PENDING_BYTES = 65_536
"""Bytes of lines held while the reader of standard output is slow."""

STANDARD_OUTPUT = 1


class LineBudget:
    """A token bucket for lines; the last part of it is for warnings and errors.

    Examples
    --------
    >>> budget = LineBudget(now=0.0)
    >>> sum(budget.take(logging.INFO, 0.0) for _ in range(2_000))
    500
    >>> sum(budget.take(logging.WARNING, 0.0) for _ in range(2_000))
    500
    """

    def __init__(self, now: float) -> None:
        self.tokens = LINES_AT_ONCE
        self.filled_at = now

    def take(self, level: int, now: float) -> bool:
        """Take one line at `now`, in seconds, and say whether there was one."""
        refill = (now - self.filled_at) * LINES_PER_SECOND
        self.tokens = min(LINES_AT_ONCE, self.tokens + refill)
        self.filled_at = now
        least = 0.0 if level >= logging.WARNING else ORDINARY_SHARE * LINES_AT_ONCE
        if self.tokens < least + 1.0:
            return False
        self.tokens -= 1.0
        return True


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor that does not block; drops and counts what is too much.

    Parameters
    ----------
    descriptor
        Where lines go.
    note
        Returns a line that says how many were dropped.
    """

    def __init__(self, descriptor: int, note: Callable[[int], str]) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.note = note
        self.budget = LineBudget(time.monotonic())
        self.pending = b""
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record as one line, or count it as dropped."""
        fits = len(self.pending) < MOST_PENDING_BYTES
        if not fits or not self.budget.take(record.levelno, time.monotonic()):
            self.dropped += 1
        else:
            if self.dropped:
                self.pending += self.note(self.dropped).encode() + b"\n"
                self.dropped = 0
            self.pending += self.format(record).encode() + b"\n"
        self.write_pending()

    def write_pending(self) -> None:
        """Write as much as standard output takes; a reader that is gone loses its lines."""
        try:
            written = os.write(self.descriptor, self.pending)
        except BlockingIOError:
            return
        except OSError:
            self.dropped += self.pending.count(b"\n")
            self.pending = b""
            return
        self.pending = self.pending[written:]
