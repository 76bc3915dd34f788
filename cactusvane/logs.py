"""Log handler for standard output that limits the rate of lines and never blocks."""

import logging
import os
import time
from collections.abc import Callable

LINES_PER_SECOND = 100.0
"""Sustained rate of lines of one process; a few lines for each request of a busy VM."""

BURST_LINES = 1_000.0
"""Capacity of the token bucket: maximum number of lines in a burst."""

RESERVED_SHARE = 0.5
"""Share of `BURST_LINES` that is reserved for warnings and errors."""

MAX_PENDING_BYTES = 65_536
"""Maximum number of buffered bytes while the reader of standard output is slow."""

STANDARD_OUTPUT = 1


class LineBudget:
    """A token bucket for log lines, with a share reserved for warnings and errors.

    Parameters
    ----------
    now
        Current time in seconds.

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
        """Take a token for one line of `level`; return whether there was one.

        The current time `now` is in seconds.
        """
        refill = (now - self.refilled_at) * LINES_PER_SECOND
        self.tokens = min(BURST_LINES, self.tokens + refill)
        self.refilled_at = now
        reserve = 0.0 if level >= logging.WARNING else RESERVED_SHARE * BURST_LINES
        if self.tokens < reserve + 1.0:
            return False
        self.tokens -= 1.0
        return True


class BoundedHandler(logging.Handler):
    """Writes lines to a non-blocking file descriptor; drops and counts excess lines.

    Parameters
    ----------
    descriptor
        File descriptor to write to.
    dropped_line
        Returns a line that reports the given number of dropped lines.
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
        """Write as much as the descriptor accepts; on any other error, drop the pending lines."""
        try:
            written = os.write(self.descriptor, self.pending)
        except BlockingIOError:
            return
        except OSError:
            self.dropped += self.pending.count(b"\n")
            self.pending = b""
            return
        self.pending = self.pending[written:]
