"""Odd rows of another writer in the platform's tables, with real entries."""

import asyncio
from typing import Any

import msgspec
import pytest
from adapter.store import ENTRIES_TABLE

from tests.adapter.test_decoder import CONFIGURATION, TARGET
from tests.adapter.test_process import Fleet, TargetStandin, run_scenario, send_request, until

NESTED = b"[" * 100_000 + b"]" * 100_000
LONG = "9" * 5_000


def odd(**changes: Any) -> bytes:
    """Return a target's row with some members replaced."""
    return msgspec.json.encode(TARGET | {"info": TARGET["info"] | {"service": "huvo11a"}} | changes)


def odd_address(port: str) -> bytes:
    return odd(address=f"127.0.0.1:{port}")


ODD_TARGETS = {
    "nested": NESTED,
    "nested member": b'{"odd": ' + NESTED + b"," + odd()[1:],
    "number too long": b'{"born": ' + LONG.encode() + b"," + odd()[1:],
    "port too long": odd_address(LONG),
    "port is no decimal": odd_address("²"),
    "port 0": odd_address("0"),
    "port out of range": odd_address("99999"),
    "port below 0": odd_address("-1"),
    "host with line feed": odd(address="127.0.0.1\n:80"),
    "host is a name": odd(address="somewhere.example:80"),
    "no slots": odd(info=TARGET["info"] | {"service": "huvo11a", "max-concurrency": 0}),
    "slots below 0": odd(info=TARGET["info"] | {"service": "huvo11a", "max-concurrency": -4}),
    "too many slots": odd(info=TARGET["info"] | {"service": "huvo11a", "max-concurrency": 2**62}),
    "endless warm-up": odd(status=TARGET["status"] | {"warmup-left-ms": 1e308}),
    "warm-up below 0": odd(status=TARGET["status"] | {"warmup-left-ms": -1e9}),
    "started before 0": odd(born=-(2**62)),
}


async def assert_follows(fleet: Fleet) -> None:
    """Both tables are still followed, and requests are served by listed targets only."""
    (process,) = fleet.processes
    late = TargetStandin("late")
    await late.start()
    fleet.targets.append(late)
    fleet.store.put("servers", late.name, late.row())
    fleet.configure()
    await until(lambda: process.version == fleet.operator_version, 2.0)
    names = {target.name for target in fleet.targets}
    await until(lambda: {vm.name for vm in process.listed} == names, 2.0)
    for number in range(6):
        response = await send_request(process, request=f"q{number}")
        assert response.status == 200


async def start(fleet: Fleet) -> None:
    fleet.configure()
    fleet.list_targets()
    process = await fleet.start_process("e1")
    await until(lambda: process.ready)


@pytest.mark.parametrize("kind", ODD_TARGETS)
def test_an_odd_row_names_no_target_and_the_other_rows_hold(kind: str) -> None:
    async def scenario(fleet: Fleet) -> None:
        await start(fleet)
        fleet.store.put("servers", "odd", ODD_TARGETS[kind])
        await asyncio.sleep(0.1)
        await assert_follows(fleet)

    run_scenario(scenario)


def test_a_row_whose_key_is_no_name_names_no_target() -> None:
    """A target's name is sent to it in a header field."""

    async def scenario(fleet: Fleet) -> None:
        await start(fleet)
        target = fleet.targets[0]
        for key in ("odd\r\nx-odd: 1", "öd", "odd name", ""):
            fleet.store.put("servers", key, target.row())
        await assert_follows(fleet)

    run_scenario(scenario)


def test_odd_rows_do_not_keep_an_entry_from_starting() -> None:
    async def scenario(fleet: Fleet) -> None:
        for number, value in enumerate(ODD_TARGETS.values()):
            fleet.store.put("servers", f"odd{number}", value)
        await start(fleet)
        await assert_follows(fleet)

    run_scenario(scenario)


@pytest.mark.parametrize(
    "value",
    [
        NESTED,
        b"\xff\xfe",
        msgspec.json.encode(CONFIGURATION | {"version": "²"}),
        msgspec.json.encode(CONFIGURATION | {"version": LONG}),
        b'{"odd": ' + NESTED + b"," + msgspec.json.encode(CONFIGURATION)[1:],
    ],
)
def test_an_odd_configuration_leaves_the_active_one(value: bytes) -> None:
    async def scenario(fleet: Fleet) -> None:
        await start(fleet)
        fleet.store.put("op", "config", value)
        await asyncio.sleep(0.1)
        await assert_follows(fleet)

    run_scenario(scenario)


ODD_ENTRY = {"name": "odd", "failure_domain": "gobabis"}


@pytest.mark.parametrize("port", [0, -1, 99_999, 2**62])
def test_odd_registrations_of_entries_are_skipped(port: int) -> None:
    async def scenario(fleet: Fleet) -> None:
        address = {"host": "127.0.0.1", "port": port}
        good = {"host": "127.0.0.1", "port": 80}
        values = [
            NESTED,
            b"\xff",
            msgspec.json.encode(ODD_ENTRY | {"address": address, "peer": address}),
            msgspec.json.encode(ODD_ENTRY | {"address": address}),
            *(
                msgspec.json.encode(ODD_ENTRY | {"address": good, "peer": good | {"host": host}})
                for host in ("a\nb", "somewhere.example", "")
            ),
        ]
        for number, value in enumerate(values):
            fleet.store.put(ENTRIES_TABLE, f"odd{number}", value, part="gobabis")
        await start(fleet)
        other = await fleet.start_process("e2")
        await until(lambda: other.ready)
        assert set(other.domain.peers) == {"e1"}
        fleet.processes.remove(other)
        await assert_follows(fleet)
        fleet.processes.append(other)

    run_scenario(scenario)


def odd_batch(port: int) -> bytes:
    """Return a batch that is to be forwarded to an address with this port."""
    return msgspec.msgpack.encode(["b", "odd", [], [{"host": "127.0.0.1", "port": port}]])


@pytest.mark.parametrize(
    "data", [b"\x91" * 50_000, b"\xff", odd_batch(0), odd_batch(99_999), odd_batch(-1)]
)
def test_odd_datagrams_leave_the_updates_between_entries(data: bytes) -> None:
    async def scenario(fleet: Fleet) -> None:
        await start(fleet)
        (first,) = fleet.processes
        second = await fleet.start_process("e2")
        await until(lambda: second.ready and not second.should_read())
        loop = asyncio.get_running_loop()
        for each in (first, second):
            to = (each.settings.peer.host, each.settings.peer.port)
            transport, _ = await loop.create_datagram_endpoint(
                asyncio.DatagramProtocol, remote_addr=to
            )
            transport.sendto(data)
            transport.close()
        await asyncio.sleep(0.1)
        fleet.configure()
        await until(lambda: second.version == fleet.operator_version, 1.5)

    run_scenario(scenario)


def test_a_table_is_followed_on_after_an_exception_that_nobody_has_foreseen() -> None:
    async def scenario(fleet: Fleet) -> None:
        await start(fleet)
        (process,) = fleet.processes
        refresh, failures = process.refresh_targets, [RuntimeError("unforeseen")]

        def fail_once() -> None:
            if failures:
                raise failures.pop()
            refresh()

        process.refresh_targets = fail_once
        fleet.store.put("servers", "i0", fleet.targets[0].row(sequence=9))
        await until(lambda: not failures)
        await assert_follows(fleet)

    run_scenario(scenario)
