"""Runs one case: sets up the deployment, plays it, and ends the process with the result."""

import asyncio
import os
import signal
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.lib.deployment import CannotRunError, Deployment
from review.lib.record import Record

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
LONGEST_S = 110.0

Play = Callable[[Deployment, bool], Awaitable[str | None]]
"""Plays a case, with the disruption or without; returns how the rule was broken, or None."""


def run_case(folder: Path, play: Play) -> None:
    """Play a case and exit with its result."""
    sys.exit(asyncio.run(result_of(folder, play)))


async def result_of(folder: Path, play: Play) -> int:
    """Return the exit code of a case."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    deployment = Deployment(record)
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        async with asyncio.timeout(LONGEST_S):
            broken = await play(deployment, trouble)
    except (CannotRunError, TimeoutError, asyncio.CancelledError, OSError) as error:
        return finish(record, f"the case could not run: {error!r}", CANNOT_RUN)
    finally:
        deployment.close()
    if broken is None:
        return finish(record, "the rule held", HELD)
    return finish(record, f"the rule was broken: {broken}", BROKEN)


def finish(record: Record, text: str, code: int) -> int:
    """Record and print the result, and return its exit code."""
    record.write("result", text)
    print(text)
    return code
