"""A keyed booking runs at most once if its entry is killed at any step of the claim.

The caller retries at other entries, which must not run the booking again.
"""

import asyncio
import random

import pytest

from tests.processes.callers import Outcome
from tests.processes.harness import temporary_fleet
from tests.processes.services import make_service
from tests.processes.verdicts import count_verdicts, find_starts

SLOW_MS = 200.0
WORK_MS = 600.0
STEPS = {"before-claim": 0.1, "claimed": 0.28, "dispatched": 0.6, "answered": 2.4}


@pytest.mark.parametrize("table", ["up", "down-after"])
def test_booking_runs_once_when_entries_are_killed_at_each_step(table):
    async def run():
        async with temporary_fleet() as fleet:
            service = make_service("booking", targets=3, floor=2)
            service.write(fleet.directory / "services")
            await fleet.start_platform()
            published = await fleet.publish(fleet.directory / "services")
            assert published.returncode == 0, published.stderr
            for _ in range(service.targets):
                await fleet.start_target(service.name, "Gobabis", mean_ms=WORK_MS)
            for domain in ("Gobabis", "Witvlei", "Leonardville", "Gobabis", "Witvlei"):
                await fleet.start_entry(domain)
            callers = fleet.callers(seed=61)
            callers.timeout_seconds = 6.0
            booking = next(kind for kind in service.kinds() if kind.keyed)
            outcomes = {}
            for step, seconds in STEPS.items():
                await fleet.set_platform_faults(slow_ms=SLOW_MS)
                outcomes[step] = await book_and_kill(fleet, callers, booking, step, seconds, table)
            return outcomes, callers.calls, fleet.ledgers()

    outcomes, calls, ledgers = asyncio.run(run())
    runs = {step: sum(step in line.key for line in find_starts(ledgers)) for step in STEPS}
    print(table, outcomes, runs)
    assert count_verdicts(calls, ledgers, []).good()
    assert max(runs.values()) == 1


async def book_and_kill(fleet, callers, booking, step, seconds, table):
    """Book with one key, kill the entry during the call, and retry at the other entries."""
    rng = random.Random(step)
    first = callers.new_call(booking, rng, key=f"key-{step}")
    first_call = asyncio.ensure_future(callers.call_on_new_connection(first, rng))
    await asyncio.sleep(seconds)
    fleet.kill(first.entry)
    del fleet.balanced_entries[first.entry]
    await first_call
    await fleet.set_platform_faults(down=table == "down-after", slow_ms=0.0)
    for _ in range(3):
        retry = callers.new_call(booking, rng, key=f"key-{step}")
        await callers.call_on_new_connection(retry, rng)
        if retry.told in (Outcome.COMPLETE, Outcome.ALREADY_RAN):
            break
    return first.told.value, retry.told.value
