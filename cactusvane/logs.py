"""Log lines on standard output: bounded in number, and never waited for."""

import logging
import os
import time
from collections.abc import Callable

LINES_PER_SECOND = 100.0
"""Lines of one process in the long run; a few for each request of a busy VM."""

BURST_LINES = 1_000.0
"""Lines that may come at once after a quiet time."""

RESERVED_SHARE = 0.5
"""Below this share of `BURST_LINES` only warnings and errors are written."""

MAX_PENDING_BYTES = 65_536
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
        self.tokens = BURST_LINES
        self.refilled_at = now

    def take(self, level: int, now: float) -> bool:
        """Take one line at `now`, in seconds, and say whether there was one."""
        refill = (now - self.refilled_at) * LINES_PER_SECOND
        self.tokens = min(BURST_LINES, self.tokens + refill)
        self.refilled_at = now
        reserve = 0.0 if level >= logging.WARNING else RESERVED_SHARE * BURST_LINES
        if self.tokens < reserve + 1.0:
            return False
        self.tokens -= 1.0
        return True


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor that does not block; drops and counts what is too much.

    Parameters
    ----------
    descriptor
        Where lines go.
    dropped_line
        Returns a line that says how many were dropped.
    """

    def __init__(self, descriptor: int, dropped_line: Callable[[int], str]) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.dropped_line = dropped_line
        self.budget = LineBudget(time.monotonic())
        self.pending = b""
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record as one line, or count it as dropped."""
        fits = len(self.pending) < MAX_PENDING_BYTES
        if not fits or not self.budget.take(record.levelno, time.monotonic()):
            self.dropped += 1
        else:
            if self.dropped:
                self.pending += self.dropped_line(self.dropped).encode() + b"\n"
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
