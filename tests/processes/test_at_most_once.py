"""Bookings run at most once, and a call reported as not run did not run, under any faults.

Callers send one key to several entries, concurrently and as retries after failures; other bookings
have a key each. The checks use only the ledgers of the callers and the targets.
"""

import asyncio

import pytest

from scripts.soak import soak
from tests.processes.chaos import (
    ALL_FAULTS,
    ENTRY_FAULTS,
    PATH_FAULTS,
    PLATFORM_FAULTS,
    TARGET_FAULTS,
)

SECONDS = 5.0

MIXED = tuple(fault for fault in ALL_FAULTS if fault != "leave_by_answer")

SCHEDULES = {
    "entries-killed-and-frozen": (11, ENTRY_FAULTS),
    "platform-down-slow-and-forgetful": (12, PLATFORM_FAULTS),
    "paths-cut-one-way": (13, PATH_FAULTS),
    "targets-killed-frozen-and-wrong": (14, TARGET_FAULTS),
    "all-together": (18, MIXED),
}


@pytest.mark.parametrize("schedule", SCHEDULES)
def test_bookings_run_at_most_once_under(schedule):
    seed, faults = SCHEDULES[schedule]
    result = asyncio.run(soak(SECONDS, seed, faults, gap_seconds=0.5))
    print(schedule, result.to_json())
    assert result.findings == []
    assert result.bookings > 0
    assert result.verdicts.whole > result.verdicts.sent / 3
