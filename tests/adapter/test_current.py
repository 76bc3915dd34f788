"""Revocation of keys by complete processes, with a stand-in of the store that may refuse some."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from cactusvane.fleet_process import FleetProcess
from cactusvane.http.fetch import fetch
from cactusvane.placement.messages import FreshnessQuery
from tests.adapter.current import (
    KEY,
    REVOKE_MS,
    CurrentFleet,
    accepts,
    prover_of,
)
from tests.adapter.test_process import LIMITS, is_ready, until

REVOKE_S = REVOKE_MS / 1_000
Scenario = Callable[[CurrentFleet], Awaitable[None]]


def run_scenario(scenario: Scenario) -> None:
    async def run() -> None:
        fleet = CurrentFleet()
        await fleet.start()
        try:
            await scenario(fleet)
        finally:
            fleet.refuse()
            await fleet.stop()

    asyncio.run(run())


async def start_entries(fleet: CurrentFleet, *names: str) -> list[FleetProcess]:
    """Start entries that become ready one after the other."""
    fleet.publish()
    fleet.list_targets()
    found = []
    for name in names:
        process = await fleet.start_process(name)
        await until(lambda process=process: process.ready)  # type: ignore[misc]
        found.append(process)
    await until(lambda: sum(each.should_read() for each in found) == 1)
    return found


def time() -> float:
    return asyncio.get_running_loop().time()


async def last_accepted(processes: Iterable[FleetProcess], seconds: float) -> float:
    """Return when an entry last accepted the key, watching for some time; 0 if none did."""
    last, end = 0.0, time() + seconds
    while time() < end:
        if any(accepts(process) for process in processes):
            last = time()
        await asyncio.sleep(0.005)
    return last


def test_an_entry_without_a_lease_is_not_ready_and_gains_one() -> None:
    """An entry that starts must not accept keys by a table that may be outdated."""

    async def scenario(fleet: CurrentFleet) -> None:
        fleet.publish()
        fleet.list_targets()
        process = await fleet.start_process("e1")
        assert not process.ready
        await until(lambda: process.ready)
        assert accepts(process)
        assert await is_ready(process)
        metrics = await fetch(process.settings.admin, "GET", "/metrics", (), b"", 1_000, LIMITS)
        assert b"cactusvane_proof_age_ms " in metrics.body

    run_scenario(scenario)


def test_only_the_reader_calls_the_store() -> None:
    """Each call has a price; a fleet of entries that each prove currency would pay it each.

    Another entry is the reader for a moment if the machine stalls, so calls count by that role.
    """

    async def scenario(fleet: CurrentFleet) -> None:
        first, *others = await start_entries(fleet, "e1", "e2", "e3")
        stores = fleet.stores.values()
        before = [(store.confirmations, store.standby_confirmations) for store in stores]
        since = time()
        while time() < since + 2.0 * REVOKE_S:
            await asyncio.sleep(0.02)
            assert all(accepts(process) for process in (first, *others))
        calls = sum(store.confirmations for store in stores) - sum(each for each, _ in before)
        assert [store.standby_confirmations for store in stores] == [each for _, each in before]
        assert 5 <= calls <= 13
        assert fleet.endpoints["e1"].sent[FreshnessQuery] <= 1

    run_scenario(scenario)


def test_entries_that_the_store_refuses_learn_of_the_removal_and_go_on() -> None:
    """The removed key must end, and the other must not, where the store refuses some entries."""

    async def scenario(fleet: CurrentFleet) -> None:
        processes = await start_entries(fleet, "e1", "e2", "e3")
        fleet.refuse("e1", "e2")
        await asyncio.sleep(0.5 * REVOKE_S)
        fleet.keys.remove(KEY)
        fleet.publish()
        removed = time()
        assert await last_accepted(processes, 1.5 * REVOKE_S) < removed + REVOKE_S
        assert all(accepts(process, "key-2") for process in processes)

    run_scenario(scenario)


def test_without_the_store_leases_expire_and_return_with_it() -> None:
    """Entries that answer each other's queries must not keep an old proof alive."""

    async def scenario(fleet: CurrentFleet) -> None:
        processes = await start_entries(fleet, "e1", "e2", "e3")
        fleet.refuse("e1", "e2", "e3")
        refused = time()
        last = await last_accepted(processes, 1.5 * REVOKE_S)
        assert 0.5 * REVOKE_S < last - refused < REVOKE_S
        assert not any(process.ready for process in processes)
        fleet.refuse()
        await until(lambda: all(accepts(process) for process in processes), 1.0)

    run_scenario(scenario)


def test_another_entry_proves_currency_after_the_reader_has_stopped() -> None:
    """No key of a customer may be rejected while the next reader takes over."""

    async def scenario(fleet: CurrentFleet) -> None:
        first, *others = await start_entries(fleet, "e1", "e2", "e3")
        first.stopping.set()
        since = time()
        while time() < since + 2.0 * REVOKE_S:
            await asyncio.sleep(0.02)
            assert all(accepts(process) for process in others)
        assert fleet.stores["e2"].confirmations + fleet.stores["e3"].confirmations > 0

    run_scenario(scenario)


def test_another_entry_proves_currency_while_the_reader_is_cut_off() -> None:
    """A frozen reader leaves no farewell; until it counts as gone, its peers query it in vain."""

    async def scenario(fleet: CurrentFleet) -> None:
        _, *others = await start_entries(fleet, "e1", "e2", "e3")
        fleet.refuse("e1")
        fleet.endpoints["e1"].cut_off = True
        since = time()
        while time() < since + 2.0 * REVOKE_S:
            await asyncio.sleep(0.02)
            assert all(accepts(process) for process in others)

    run_scenario(scenario)


def test_lost_datagrams_cost_no_lease() -> None:
    """A lost query or answer must cost one round and not the lease."""

    async def scenario(fleet: CurrentFleet) -> None:
        processes = await start_entries(fleet, "e1", "e2", "e3")
        for endpoint in fleet.endpoints.values():
            endpoint.lost_share = 0.2
        since = time()
        while time() < since + 3.0 * REVOKE_S:
            await asyncio.sleep(0.02)
            assert all(accepts(process) for process in processes)

    run_scenario(scenario)


def test_others_prove_currency_where_the_reader_can_only_read() -> None:
    """A reader whose reads succeed keeps that role, so nobody else would prove anything."""

    async def scenario(fleet: CurrentFleet) -> None:
        processes = await start_entries(fleet, "e1", "e2", "e3")
        fleet.stores["e1"].confirms = False
        since = time()
        while time() < since + 2.5 * REVOKE_S:
            await asyncio.sleep(0.02)
            assert all(accepts(process) for process in processes)

    run_scenario(scenario)


def test_an_entry_that_is_cut_off_stops_accepting_keys_in_time() -> None:
    """An entry that hears nobody does not know of the removal."""

    async def scenario(fleet: CurrentFleet) -> None:
        processes = await start_entries(fleet, "e1", "e2", "e3")
        fleet.refuse("e3")
        fleet.endpoints["e3"].cut_off = True
        fleet.keys.remove(KEY)
        fleet.publish()
        removed = time()
        assert await last_accepted(processes, 1.5 * REVOKE_S) < removed + REVOKE_S
        assert not processes[2].ready
        fleet.endpoints["e3"].cut_off = False
        await until(lambda: accepts(processes[2], "key-2"), 1.0)
        assert not accepts(processes[2])

    run_scenario(scenario)


def test_a_failure_domain_that_the_store_refuses_queries_another_one() -> None:
    """Entries of one failure domain may all be cut off from the store, but not from the others."""

    async def scenario(fleet: CurrentFleet) -> None:
        await start_entries(fleet, "e1")
        cut_off = [await fleet.start_process(name, zone="witvlei") for name in ("w1", "w2")]
        await until(lambda: all(process.ready for process in cut_off))
        address = fleet.processes[0].settings.peer
        for process in cut_off:
            prover_of(process).others = lambda: [address]
        fleet.refuse("w1", "w2")
        await asyncio.sleep(REVOKE_S)
        since = time()
        while time() < since + REVOKE_S:
            await asyncio.sleep(0.02)
            assert all(accepts(process) for process in cut_off)

    run_scenario(scenario)


def test_a_change_that_reads_have_missed_is_found() -> None:
    """The copy counts as complete up to a later version, so nothing else would fill the gap."""

    async def scenario(fleet: CurrentFleet) -> None:
        processes = await start_entries(fleet, "e1", "e2")
        for store in fleet.stores.values():
            store.misses_changes = True
        fleet.keys.remove(KEY)
        fleet.publish()
        removed = time()
        assert await last_accepted(processes, 1.5 * REVOKE_S) < removed + REVOKE_S
        await until(lambda: all(accepts(process, "key-2") for process in processes))

    run_scenario(scenario)


def test_an_unusable_configuration_gets_no_lease() -> None:
    """The row that is in the store may have removed a key of the older one that is active."""

    async def scenario(fleet: CurrentFleet) -> None:
        processes = await start_entries(fleet, "e1", "e2")
        fleet.write(b"{")
        written = time()
        assert await last_accepted(processes, 1.5 * REVOKE_S) < written + REVOKE_S
        fleet.publish()
        await until(lambda: all(accepts(process) for process in processes), 1.0)

    run_scenario(scenario)


def test_a_row_that_is_written_again_without_a_change_keeps_the_lease() -> None:
    """The copy reports no change then, but the version to be confirmed is another one."""

    async def scenario(fleet: CurrentFleet) -> None:
        processes = await start_entries(fleet, "e1", "e2")
        fleet.write(fleet.store.rows["op", "", "config"][0] or b"")
        since = time()
        while time() < since + 1.5 * REVOKE_S:
            await asyncio.sleep(0.02)
            assert all(accepts(process) for process in processes)

    run_scenario(scenario)


def test_after_a_restore_of_the_store_the_newer_configuration_keeps_its_lease() -> None:
    """The restored row is older than the active one; versions only rise."""

    async def scenario(fleet: CurrentFleet) -> None:
        processes = await start_entries(fleet, "e1", "e2")
        before = fleet.store.ver
        fleet.keys.remove(KEY)
        fleet.publish()
        await until(lambda: not any(accepts(process) for process in processes))
        fleet.store.restore(before)
        await asyncio.sleep(1.5 * REVOKE_S)
        assert all(accepts(process, "key-2") for process in processes)
        assert not any(accepts(process) for process in processes)

    run_scenario(scenario)


def test_without_customers_nothing_is_sent_and_no_lease_is_needed() -> None:
    """Deployments without keys must not pay for proofs."""

    async def scenario(fleet: CurrentFleet) -> None:
        fleet.keys = []
        processes = await start_entries(fleet, "e1", "e2")
        await asyncio.sleep(REVOKE_S)
        assert all(process.ready for process in processes)
        assert [store.confirmations for store in fleet.stores.values()] == [0, 0]
        assert [each.freshness_messages for each in fleet.endpoints.values()] == [0, 0]

    run_scenario(scenario)
