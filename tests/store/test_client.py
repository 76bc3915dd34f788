import asyncio
from collections.abc import Awaitable, Callable

import pytest

from cactusvane.clock import ManualClock
from cactusvane.errors import NotFoundError, PlatformUnavailableError, WriteConflictError
from cactusvane.fleet.vm import Address, Vm
from cactusvane.store.client import HttpPlatform
from cactusvane.store.interface import Row, Write
from standins.platform import PlatformServer
from standins.store import Faults

Check = Callable[[HttpPlatform, PlatformServer], Awaitable[None]]


def run_against_stand_in(check: Check, timeout_ms: float = 2_000.0) -> None:
    async def run() -> None:
        stand_in = PlatformServer(ManualClock())
        server = await asyncio.start_server(stand_in.serve_connection, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with server:
            await check(HttpPlatform(Address("127.0.0.1", port), timeout_ms), stand_in)

    asyncio.run(run())


def test_conditional_writes_are_all_or_none():
    async def check(platform: HttpPlatform, _: PlatformServer) -> None:
        await platform.commit((Write("t", "a", "1", 0),))
        with pytest.raises(WriteConflictError):
            await platform.commit((Write("t", "b", "2", 0), Write("t", "a", "2", 0)))
        assert await platform.read("t", "b") is None
        await platform.commit((Write("t", "a", "3", 1),))
        assert await platform.read("t", "a") == Row("t", "a", "3", 2)

    run_against_stand_in(check)


def test_objects_are_stored_and_the_vm_list_lags():
    async def check(platform: HttpPlatform, stand_in: PlatformServer) -> None:
        await platform.put_object("d", b"data")
        assert await platform.get_object("d") == b"data"
        with pytest.raises(NotFoundError):
            await platform.get_object("e")
        vm = Vm("vm-1", Address("127.0.0.1", 1), "Gobabis")
        stand_in.clock.advance(1_000.0)
        stand_in.store.register((vm,), (), stand_in.clock.now())
        assert await platform.list_vms() == (vm,)
        stand_in.faults = Faults(list_lag_ms=500.0)
        assert await platform.list_vms() == ()

    run_against_stand_in(check)


def test_a_write_whose_response_is_lost_takes_effect_and_one_sent_during_an_outage_does_not():
    async def check(platform: HttpPlatform, stand_in: PlatformServer) -> None:
        stand_in.faults = Faults(lose_answers=1)
        with pytest.raises(PlatformUnavailableError):
            await platform.commit((Write("t", "a", "1", 0),))
        assert stand_in.store.read("t", "a") == Row("t", "a", "1", 1)
        stand_in.faults = Faults(down=True)
        with pytest.raises(PlatformUnavailableError):
            await platform.commit((Write("t", "b", "1", 0),))
        assert stand_in.store.read("t", "b") is None

    run_against_stand_in(check)


def test_a_platform_that_exceeds_the_timeout_is_unavailable():
    async def check(platform: HttpPlatform, stand_in: PlatformServer) -> None:
        stand_in.faults = Faults(slow_ms=60_000.0)
        with pytest.raises(PlatformUnavailableError):
            await platform.read("t", "a")

    run_against_stand_in(check, timeout_ms=50.0)
