"""No entry excludes more targets than the floor allows, even if all targets seem to fail.

The check uses the requests that the targets received.
"""

import asyncio
from collections import Counter

from cactusvane.pool.settings import HoldDownSettings
from tests.processes.harness import temporary_fleet
from tests.processes.services import make_service

TARGETS, FLOOR = 5, 3
MAX_UNSERVED_SHARE = 0.1
FAIL_ALL = {"fail_share": 1.0}


def received_by_entry(calls, ledgers, since):
    """Count, by entry, the requests that each target received and the calls that reached none.

    Also return the seconds from `since`, which is in seconds since the epoch, to the last call's
    end.
    """
    recent = {call.request_id: call.entry for call in calls if call.sent_at > since}
    received = {entry: Counter() for entry in recent.values()}
    seconds = max(call.ended_at for call in calls) - since
    unserved = dict(recent)
    for name, lines in ledgers.items():
        for line in lines:
            if line.what == "received" and line.request_id in recent:
                received[recent[line.request_id]][name] += 1
                unserved.pop(line.request_id, None)
    return received, Counter(unserved.values()), seconds


def test_floor_while_all_targets_fail():
    async def run():
        async with temporary_fleet() as fleet:
            service = make_service("records", TARGETS, FLOOR)
            service.write(fleet.directory / "services")
            await fleet.start_platform()
            published = await fleet.publish(fleet.directory / "services")
            assert published.returncode == 0, published.stderr
            names = [
                await fleet.start_target(service.name, "Gobabis", slots=64, mean_ms=5.0)
                for _ in range(TARGETS)
            ]
            for domain in ("Gobabis", "Witvlei", "Leonardville"):
                await fleet.start_entry(domain)
            callers = fleet.callers(seed=41)
            load = asyncio.ensure_future(callers.run(service.kinds(), 12, 20.0, 9.0))
            await asyncio.sleep(1.0)
            for name in names:
                await fleet.set_behaviour(name, **FAIL_ALL)
            await asyncio.sleep(4.0)
            since = max(call.sent_at for call in callers.calls)
            await load
            return received_by_entry(callers.calls, fleet.ledgers(), since)

    received, unserved, seconds = asyncio.run(run())
    print(received, unserved)
    trials = 1 + seconds * 1000.0 / HoldDownSettings().trial_interval_ms
    assert len(received) == 3
    for entry, targets in received.items():
        in_use = [name for name, count in targets.items() if count > trials]
        assert len(in_use) >= FLOOR
        assert unserved[entry] < targets.total() * MAX_UNSERVED_SHARE
