"""Quotas over complete processes of two failure domains, with datagrams over loopback."""

from dataclasses import replace

import pytest

from cactusvane.configuration.model import Configuration, Customer
from cactusvane.errors import RequestError
from cactusvane.fleet_process import FleetProcess
from cactusvane.fleet_settings import QuotaLimits
from cactusvane.http.fetch import fetch
from tests.adapter.test_process import LIMITS, Fleet, run_scenario, until

CUSTOMER = Customer("tenant", (), rate_per_s=0.5, burst=40.0)
ZONES = ("gobabis", "witvlei")


def level(process: FleetProcess) -> float:
    quotas = process.quota_gate.quotas
    assert quotas is not None
    return quotas.states[CUSTOMER.name].bucket.level


def set_limit(process: FleetProcess) -> None:
    process.quota_gate.configure(Configuration(customers=(CUSTOMER,)))


async def start_processes(fleet: Fleet) -> list[FleetProcess]:
    fleet.fleet_limits = replace(
        fleet.fleet_limits, failure_domains=ZONES, quota=QuotaLimits(), bootstrap=True
    )
    fleet.configure()
    fleet.list_targets()
    processes = [
        await fleet.start_process("e1", zone="gobabis"),
        await fleet.start_process("e2", zone="gobabis"),
        await fleet.start_process("e3", zone="witvlei"),
    ]
    await until(lambda: all(process.ready for process in processes))
    for process in processes:
        set_limit(process)
    return processes


def is_in_contact(process: FleetProcess) -> bool:
    quotas = process.quota_gate.quotas
    return quotas is not None and len(quotas.groups.sources) == 1 and quotas.reach.share == 1.0


def test_all_processes_learn_of_the_requests_that_one_admitted() -> None:
    """Guards against usage that does not leave the failure domain, or the process."""

    async def scenario(fleet: Fleet) -> None:
        processes = await start_processes(fleet)
        await until(lambda: all(is_in_contact(process) for process in processes), 6.0)
        for _ in range(20):
            processes[0].quota_gate.admit(CUSTOMER)
        await until(lambda: all(level(process) < 22.0 for process in processes), 2.0)
        assert all(level(process) > 18.0 for process in processes)
        metrics = await fetch(
            processes[0].settings.admin, "GET", "/metrics", (), b"", 1_000, LIMITS
        )
        assert b"cactusvane_quota_admitted_total 20.0" in metrics.body

    run_scenario(scenario)


def test_a_restarted_process_takes_over_the_levels() -> None:
    """Guards against a second burst by a process that has forgotten the first one."""

    async def scenario(fleet: Fleet) -> None:
        processes = await start_processes(fleet)
        await until(lambda: all(is_in_contact(process) for process in processes), 6.0)
        for _ in range(20):
            processes[0].quota_gate.admit(CUSTOMER)
        await until(lambda: all(level(process) < 22.0 for process in processes), 2.0)
        fleet.fleet_limits = replace(fleet.fleet_limits, bootstrap=False)
        started = await fleet.start_process("e4", zone="gobabis")
        started.quota_gate.configured = False
        set_limit(started)
        with pytest.raises(RequestError):
            started.quota_gate.admit(CUSTOMER)
        await until(lambda: level(started) > 15.0, 6.0)
        assert level(started) < 30.0

    run_scenario(scenario)
