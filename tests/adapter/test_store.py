"""The client of the platform's store, with the stand-in."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

import pytest
from adapter.store import ENTRIES_TABLE, Store

from cactusvane.errors import PlatformUnavailableError
from cactusvane.fleet.vm import Address, Vm
from cactusvane.fleet_settings import CONFIGURATION_TABLE, TARGETS_TABLE
from cactusvane.following.source import HistoryLostError
from cactusvane.following.table import TableCopy, TableRows
from cactusvane.http.exchange import Caller
from cactusvane.http.message import Request, Response
from tests.adapter.store_standin import LIMIT, StoreStandin

Scenario = Callable[[StoreStandin, Store], Awaitable[None]]


def run_scenario(scenario: Scenario, kind: type[StoreStandin] = StoreStandin) -> None:
    async def run() -> None:
        standin = kind()
        address = await standin.start()
        try:
            await scenario(standin, Store(address))
        finally:
            await standin.server.drain(0)

    asyncio.run(run())


def test_a_whole_table_is_read_in_several_responses() -> None:
    async def scenario(standin: StoreStandin, store: Store) -> None:
        keys = [f"k{number}" for number in range(2 * LIMIT + 1)]
        for key in keys:
            standin.put("servers", key, key.encode())
        read = await store.read_table(TARGETS_TABLE)
        assert [row.key for row in read.rows] == keys
        assert read.whole
        assert read.version == standin.ver

    run_scenario(scenario)


class RestoredBetweenParts(StoreStandin):
    """A store that goes back after its first response."""

    async def handle(self, request: Request, caller: Caller) -> Response:
        response = await super().handle(request, caller)
        if self.era == 1:
            self.restore(1)
        return response


def test_a_table_read_in_parts_never_holds_rows_of_two_eras() -> None:
    async def scenario(standin: StoreStandin, store: Store) -> None:
        keys = [f"k{number}" for number in range(LIMIT + 1)]
        standin.put("servers", keys[-1], b"old")
        for key in keys:
            standin.put("servers", key, b"new")
        with suppress(PlatformUnavailableError):
            read = await store.read_table(TARGETS_TABLE)
            assert {row.value for row in read.rows} in ({b"old"}, {b"new"})
        read = await store.read_table(TARGETS_TABLE)
        assert {row.key: row.value for row in read.rows} == {keys[-1]: b"old"}

    run_scenario(scenario, RestoredBetweenParts)


def test_a_long_poll_returns_as_soon_as_there_are_changes() -> None:
    async def scenario(standin: StoreStandin, store: Store) -> None:
        standin.put("op", "config", b"1")
        read_task = asyncio.ensure_future(store.read_changes(CONFIGURATION_TABLE, 1, 5_000.0))
        await asyncio.sleep(0.05)
        assert not read_task.done()
        standin.put("op", "config", b"2")
        read = await asyncio.wait_for(read_task, 1.0)
        assert [(row.key, row.value) for row in read.rows] == [("config", b"2")]

    run_scenario(scenario)


def test_a_long_poll_without_changes_advances_the_version() -> None:
    async def scenario(standin: StoreStandin, store: Store) -> None:
        standin.put("servers", "a", b"1")
        read = await store.read_changes(CONFIGURATION_TABLE, 0, 10.0)
        assert (read.version, read.rows, read.whole) == (1, (), False)

    run_scenario(scenario)


def test_removed_rows_are_among_the_changes() -> None:
    async def scenario(standin: StoreStandin, store: Store) -> None:
        standin.put("servers", "a", b"1")
        standin.put("servers", "a", None)
        read = await store.read_changes(TARGETS_TABLE, 1, 10.0)
        assert [(row.key, row.value) for row in read.rows] == [("a", None)]

    run_scenario(scenario)


def test_dropped_history_is_distinguished_from_an_outage() -> None:
    async def scenario(standin: StoreStandin, store: Store) -> None:
        standin.oldest = 5
        with pytest.raises(HistoryLostError):
            await store.read_changes(TARGETS_TABLE, 1, 10.0)
        for standin.status in (429, 503, 500):
            with pytest.raises(PlatformUnavailableError):
                await store.read_changes(TARGETS_TABLE, 5, 10.0)

    run_scenario(scenario)


def test_a_store_that_refuses_connections_is_unavailable() -> None:
    async def scenario(standin: StoreStandin, store: Store) -> None:
        gone = Store(Address("127.0.0.1", 1))
        with pytest.raises(PlatformUnavailableError):
            await gone.read_table(TARGETS_TABLE)

    run_scenario(scenario)


def test_entries_find_each_other_and_invalid_rows_are_skipped() -> None:
    async def scenario(standin: StoreStandin, store: Store) -> None:
        def entry(number: int) -> Vm:
            address = Address("10.0.0.1", number)
            return Vm(f"e{number}", address, "Gobabis", peer=address)

        standin.put(ENTRIES_TABLE, "x", b"not an entry", "Gobabis")
        assert await store.register(entry(1)) == (entry(1),)
        assert await store.register(entry(2)) == (entry(1), entry(2))
        assert await store.register(entry(2)) == (entry(1), entry(2))

    run_scenario(scenario)


async def read_configuration(store: Store) -> TableRows:
    copy = TableCopy()
    copy.apply(await store.read_table(CONFIGURATION_TABLE))
    return copy.select(("config",))


def test_rows_are_confirmed_until_one_of_them_is_written_again() -> None:
    """A row of the same value but another version may have had another value in between."""

    async def scenario(standin: StoreStandin, store: Store) -> None:
        standin.put("op", "config", b"1")
        rows = await read_configuration(store)
        standin.put("op", "other", b"1")
        standin.put("servers", "config", b"1")
        version = standin.ver
        assert await store.confirm(CONFIGURATION_TABLE, rows)
        assert standin.ver == version
        standin.put("op", "config", b"1")
        assert not await store.confirm(CONFIGURATION_TABLE, rows)

    run_scenario(scenario)


def test_a_removed_row_and_no_rows_at_all_are_not_confirmed() -> None:
    """A transaction without a precondition takes effect at any time and proves nothing."""

    async def scenario(standin: StoreStandin, store: Store) -> None:
        standin.put("op", "config", b"1")
        rows = await read_configuration(store)
        standin.put("op", "config", None)
        assert not await store.confirm(CONFIGURATION_TABLE, rows)
        assert not await store.confirm(CONFIGURATION_TABLE, await read_configuration(store))

    run_scenario(scenario)


def test_a_version_that_was_given_out_again_after_a_restore_is_not_confirmed() -> None:
    """The row of the new era with the same version may hold other keys."""

    async def scenario(standin: StoreStandin, store: Store) -> None:
        standin.put("servers", "a", b"1")
        standin.put("op", "config", b"with the key")
        rows = await read_configuration(store)
        standin.restore(1)
        standin.put("op", "config", b"without the key")
        assert rows.rows[0].version == standin.ver
        assert not await store.confirm(CONFIGURATION_TABLE, rows)

    run_scenario(scenario)


def test_a_store_that_does_not_respond_confirms_nothing() -> None:
    """Neither an error nor a lost response may count as a proof."""

    async def scenario(standin: StoreStandin, store: Store) -> None:
        standin.put("op", "config", b"1")
        rows = await read_configuration(store)
        for standin.status in (429, 503, 500):
            with pytest.raises(PlatformUnavailableError):
                await store.confirm(CONFIGURATION_TABLE, rows)

    run_scenario(scenario)
