"""The harness starts, impairs and ends processes as the other tests assume."""

import asyncio

import msgspec

from tests.processes.callers import ask
from tests.processes.harness import temporary_fleet


def test_starts_and_ends_platform_targets_and_forwarders():
    async def run():
        async with temporary_fleet() as fleet:
            await fleet.start_platform()
            name = await fleet.start_target("records", "Gobabis", forwarded=True)
            listed = msgspec.json.decode((await ask(fleet.platform_port, "GET", "/vms")).body)
            port = listed["vms"][0]["address"]["port"]
            assert port != fleet.targets[name].port
            await fleet.set_behaviour(name, fail_share=1.0)
            assert (await ask(port, "GET", "/lookups")).status == 500
            await fleet.set_path_behaviour(name, cut_after=10)
            assert not (await ask(port, "GET", "/lookups")).complete
            assert await fleet.stop(name) == 0
            events = [line.what for line in fleet.ledgers()[name]]
            assert events == ["received", "started", "ended", "answered"] * 2
            processes = fleet.processes.values()
        assert not any(process.alive() for process in processes)

    asyncio.run(run())
