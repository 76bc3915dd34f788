"""The record of what a case saw: what was sent, answered and run, with the time in seconds."""

import time
from math import inf
from pathlib import Path


class Record:
    """Writes lines to a file.

    Parameters
    ----------
    path
        The file.
    """

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8", buffering=1)
        self.start = time.monotonic()
        self.first: dict[tuple[str, str], float] = {}

    def write(self, event: str, *values: object) -> None:
        """Write one event with its time since the start."""
        now = time.monotonic()
        if values:
            self.first.setdefault((event, str(values[0])), now)
        text = " ".join(str(value) for value in values)
        self.file.write(f"{now - self.start:9.4f} {event} {text}\n")

    def first_at(self, event: str, value: str) -> float:
        """Return when an event with this first value was written first; infinite if it never was.

        In seconds of the monotonic clock, which is also that of the event loop.
        """
        return self.first.get((event, value), inf)
