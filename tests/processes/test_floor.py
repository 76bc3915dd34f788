"""No entry leaves out more targets than the floor allows, seen from what targets received."""

import asyncio

from tests.processes.harness import fleet
from tests.processes.services import service

TARGETS, FLOOR = 5, 3
ALL_SICK = {"fail_share": 1.0}


def targets_by_entry(calls, ledgers, since):
    entry_of = {call.request_id: call.entry for call in calls}
    found = {}
    for name, lines in ledgers.items():
        for line in lines:
            if line.what == "received" and line.at > since:
                found.setdefault(entry_of[line.request_id], set()).add(name)
    return found


def test_floor_while_all_targets_look_sick():
    async def run():
        async with fleet() as running:
            one = service("records", TARGETS, FLOOR)
            one.write(running.directory / "services")
            await running.start_platform()
            published = await running.publish(running.directory / "services")
            assert published.returncode == 0, published.stderr
            names = [
                await running.start_target(one.name, "Gobabis", slots=64, mean_ms=5.0)
                for _ in range(TARGETS)
            ]
            for domain in ("Gobabis", "Witvlei", "Leonardville"):
                await running.start_entry(domain)
            callers = running.callers(seed=41)
            load = asyncio.ensure_future(callers.run(one.kinds(), 12, 20.0, 9.0))
            await asyncio.sleep(1.0)
            for name in names:
                await running.behave(name, **ALL_SICK)
            await asyncio.sleep(4.0)
            since = max(call.sent_at for call in callers.calls)
            await load
            return targets_by_entry(callers.calls, running.ledgers(), since)

    found = asyncio.run(run())
    print({entry: len(targets) for entry, targets in found.items()})
    assert len(found) == 3
    assert all(len(targets) >= FLOOR for targets in found.values())
