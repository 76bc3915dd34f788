"""A leaving target gets no new requests after the bound; no request in flight is interrupted."""

import asyncio

import pytest

from tests.processes.callers import Outcome
from tests.processes.harness import temporary_fleet
from tests.processes.services import make_service
from tests.processes.verdicts import count_verdicts, find_late_work

BOUND_SECONDS = 3.0
MEAN_MS = 250.0
LONG_MEAN_MS = 2_000.0
SECONDS = 8.0


async def notify_by_list(fleet, service, name):
    await fleet.leave_by_list(name)


async def notify_by_response(fleet, service, name):
    await fleet.leave_by_answer(name)


async def notify_by_file(fleet, service, name):
    address = f"127.0.0.1:{fleet.targets[name].port}"
    values = {**service.values, "leaving": {"targets": [address], "drain_ms": 10_000}}
    type(service)(values).write(fleet.directory / "services")
    fleet.record_planned_stop(name)
    published = await fleet.publish(fleet.directory / "services")
    assert published.returncode == 0, published.stderr


NOTICES = {
    "well": (notify_by_list, notify_by_response, notify_by_file),
    "down": (notify_by_response, notify_by_response),
}


@pytest.mark.parametrize("platform", NOTICES)
def test_targets_leave_by_each_kind_of_notice_while_the_platform_is(platform):
    async def run():
        async with temporary_fleet() as fleet:
            service = make_service("booking", targets=6, floor=2)
            service.write(fleet.directory / "services")
            await fleet.start_platform()
            published = await fleet.publish(fleet.directory / "services")
            assert published.returncode == 0, published.stderr
            names = [
                await fleet.start_target(service.name, "Gobabis", slots=8, mean_ms=MEAN_MS)
                for _ in range(service.targets)
            ]
            for domain in ("Gobabis", "Witvlei", "Leonardville"):
                await fleet.start_entry(domain)
            callers = fleet.callers(seed=31)
            load = asyncio.ensure_future(callers.run(service.kinds(), 10, 50.0, SECONDS))
            await asyncio.sleep(2.0)
            await fleet.set_platform_faults(down=platform == "down")
            notices = NOTICES[platform]
            await asyncio.gather(
                *(
                    notify(fleet, service, name)
                    for notify, name in zip(notices, names, strict=False)
                )
            )
            await asyncio.sleep(4.0)
            assert [await fleet.stop(name) for name in names[: len(notices)]] == [0] * len(notices)
            await load
            return callers.calls, fleet.ledgers(), fleet.stops

    calls, ledgers, stops = asyncio.run(run())
    verdicts = count_verdicts(calls, ledgers, stops)
    print(platform, verdicts.to_json())
    for stop in stops:
        assert any(line.what == "started" for line in ledgers[stop.name])
    assert find_late_work(ledgers, stops, BOUND_SECONDS) == []
    assert [call for call in calls if call.told is Outcome.MAY_HAVE_RUN] == []
    assert verdicts.good()


def test_an_answer_that_one_entry_got_is_known_to_the_others():
    async def run():
        async with temporary_fleet() as fleet:
            service = make_service("booking", targets=4, floor=2)
            service.write(fleet.directory / "services")
            await fleet.start_platform()
            published = await fleet.publish(fleet.directory / "services")
            assert published.returncode == 0, published.stderr
            names = [
                await fleet.start_target(service.name, "Gobabis") for _ in range(service.targets)
            ]
            for domain in ("Gobabis", "Witvlei"):
                await fleet.start_entry(domain)
            port = fleet.balanced_entries.pop("entry-1")
            callers = fleet.callers(seed=33)
            await fleet.leave_by_answer(names[0])
            await callers.run(service.kinds(), 8, 20.0, BOUND_SECONDS + 1.0)
            fleet.balanced_entries.clear()
            fleet.balanced_entries["entry-1"] = port
            await callers.run(service.kinds(), 8, 20.0, 1.0)
            return fleet.ledgers(), fleet.stops

    ledgers, stops = asyncio.run(run())
    assert any(line.what == "drained" for line in ledgers[stops[0].name])
    assert find_late_work(ledgers, stops, BOUND_SECONDS) == []


def test_planned_stop_of_an_entry_cuts_no_request():
    async def run():
        async with temporary_fleet() as fleet:
            service = make_service("booking", targets=3, floor=2, deadline_ms=20_000)
            service.write(fleet.directory / "services")
            await fleet.start_platform()
            published = await fleet.publish(fleet.directory / "services")
            assert published.returncode == 0, published.stderr
            for _ in range(service.targets):
                await fleet.start_target(service.name, "Gobabis", slots=16, mean_ms=LONG_MEAN_MS)
            for domain in ("Gobabis", "Witvlei", "Leonardville"):
                await fleet.start_entry(domain)
            callers = fleet.callers(seed=32)
            load = asyncio.ensure_future(callers.run(service.kinds(), 24, 50.0, 4.0))
            await asyncio.sleep(2.0)
            assert await fleet.stop("entry-0") == 0
            await load
            return callers.calls, fleet.ledgers(), fleet.stops

    calls, ledgers, stops = asyncio.run(run())
    verdicts = count_verdicts(calls, ledgers, stops)
    print(verdicts.to_json())
    assert verdicts.good()
    assert verdicts.may_have_run == 0
