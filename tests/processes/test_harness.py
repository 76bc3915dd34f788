"""The harness starts, disturbs and ends processes as the other tests expect."""

import asyncio

import msgspec

from tests.processes.callers import ask
from tests.processes.harness import fleet


def test_starts_and_ends_platform_targets_and_forwarders():
    async def run():
        async with fleet() as running:
            await running.start_platform()
            name = await running.start_target("records", "Gobabis", forwarded=True)
            listed = msgspec.json.decode((await ask(running.platform_port, "GET", "/vms")).body)
            port = listed["vms"][0]["address"]["port"]
            assert port != running.targets[name].port
            await running.behave(name, fail_share=1.0)
            assert (await ask(port, "GET", "/lookups")).status == 500
            await running.path_to(name, cut_after=10)
            assert not (await ask(port, "GET", "/lookups")).complete
            assert await running.stop(name) == 0
            whats = [line.what for line in running.ledgers()[name]]
            assert whats == ["received", "started", "ended", "answered"] * 2
            processes = running.processes.values()
        assert not any(process.alive() for process in processes)

    asyncio.run(run())
