from random import Random

import pytest

from cactusvane.configuration.model import Health, Leaving, Route, Service
from cactusvane.fleet.vm import Address, Vm, VmState
from cactusvane.outcome import Outcome
from cactusvane.pool.messages import (
    AttemptEnded,
    AttemptStarted,
    CloseIdle,
    Ejected,
    Ejection,
    EjectionReceived,
    LeavingNoticed,
    LeavingSource,
    OwnPathCleared,
    OwnPathSuspected,
    Probe,
    ProbeEnded,
    ReportEvidence,
    ReportLeaving,
    RestorationReceived,
    Restored,
    ServiceChanged,
    TargetsListed,
    Ticked,
)
from cactusvane.pool.pool import Pool

DOMAINS = ("Gobabis", "Witvlei", "Leonardville")
VMS = tuple(
    Vm(f"t{n}", Address("10.0.0.1", 8000 + n), DOMAINS[n % 3], service="records") for n in range(6)
)
FAILING = VMS[0].address


def service(**changes: object) -> Service:
    values: dict[str, object] = {
        "name": "records",
        "hosts": ("records",),
        "routes": (Route("/", ("GET",), True, "read"),),
        "targets": 6,
        "floor": 4,
        "slots": 4,
        "health": Health(20.0, 1.0),
    }
    return Service(**(values | changes))  # type: ignore[arg-type]


def listed_pool(**changes: object) -> Pool:
    pool = Pool(service(**changes), "Gobabis", Random(1))
    pool.handle(TargetsListed(VMS), 0.0)
    return pool


def run_attempt(pool, target, outcome, now, latency=20.0):
    pool.handle(AttemptStarted(target), now)
    return pool.handle(AttemptEnded(target, outcome, latency), now + latency)


def run_traffic(pool, outcomes, rounds, now=0.0):
    commands = []
    for _ in range(rounds):
        for vm in VMS:
            now += 25.0
            outcome = outcomes.get(vm.address, Outcome.SERVED)
            commands += run_attempt(pool, vm.address, outcome, now)
        commands += pool.handle(Ticked(), now + 25.0)
    return commands, now + 25.0


def test_failing_target_is_ejected_on_own_evidence():
    pool = listed_pool()
    commands, _ = run_traffic(pool, {FAILING: Outcome.FAILED}, 10)
    assert [c.target for c in commands if isinstance(c, Ejected)] == [FAILING]
    assert pool.ejected == {FAILING}


def test_shed_request_is_not_evidence_of_failure():
    pool = listed_pool()
    commands, _ = run_traffic(pool, {FAILING: Outcome.SHED}, 50)
    assert not [c for c in commands if isinstance(c, Ejected)]


def test_outage_of_all_targets_ejects_none():
    pool = listed_pool()
    commands, _ = run_traffic(pool, {vm.address: Outcome.FAILED for vm in VMS}, 30)
    assert not [c for c in commands if isinstance(c, Ejected)]


def test_floor_keeps_the_target_with_the_lowest_severity():
    pool = listed_pool(floor=5)
    for vm, severity in ((VMS[1], 0.3), (VMS[2], 0.9)):
        ejection = Ejection(vm.address, (), 5_000.0, 4_000.0, False, severity, "failing")
        pool.handle(EjectionReceived(ejection), 0.0)
    assert pool.ejected == {VMS[2].address}


def test_leaving_counts_as_missing_capacity():
    pool = listed_pool(floor=4)
    for vm in VMS[:2]:
        pool.handle(LeavingNoticed(vm.address, LeavingSource.LIST), 0.0)
    ejection = Ejection(VMS[3].address, (), 5_000.0, 4_000.0, False, 0.9, "failing")
    pool.handle(EjectionReceived(ejection), 0.0)
    assert not pool.ejected


def test_cold_target_counts_as_missing_capacity_and_gets_few_requests():
    pool = listed_pool(floor=6)
    cold = Vm("t9", Address("10.0.0.9", 80), "Gobabis", service="records")
    pool.handle(TargetsListed((*VMS, cold)), 1_000.0)
    ejection = Ejection(FAILING, (), 5_000.0, 40_000.0, False, 0.9, "failing")
    pool.handle(EjectionReceived(ejection), 1_000.0)
    assert not pool.ejected
    chosen = [pool.choose(1_100.0) for _ in range(1_000)]
    assert 0 < chosen.count(cold) < 100
    pool.handle(Ticked(), 12_000.0)
    assert pool.ejected == {FAILING}


def test_slowness_of_a_cold_target_is_not_evidence():
    pool = listed_pool()
    run_traffic(pool, {}, 10)
    cold = Vm("t9", Address("10.0.0.9", 80), "Gobabis", service="records")
    pool.handle(TargetsListed((*VMS, cold)), 3_000.0)
    for step in range(20):
        run_attempt(pool, cold.address, Outcome.SERVED, 3_000.0 + step * 300.0, 250.0)
    assert pool.slowness.score(cold.address) == 0.0


def test_overdue_requests_count_as_slow_while_in_flight():
    pool = listed_pool()
    _, now = run_traffic(pool, {}, 10)
    for _ in range(20):
        pool.handle(AttemptStarted(FAILING), now)
    commands = pool.handle(Ticked(), now + 200.0)
    assert [c.target for c in commands if isinstance(c, Ejected)] == [FAILING]


@pytest.mark.parametrize("source", ["list", "answer", "file", "notice"])
def test_leaving_target_gets_no_new_requests(source):
    pool = listed_pool()
    match source:
        case "list":
            leaving_vm = Vm("t0", FAILING, "Gobabis", service="records", state=VmState.LEAVING)
            commands = pool.handle(TargetsListed((leaving_vm, *VMS[1:])), 1.0)
        case "answer":
            commands = run_attempt(pool, FAILING, Outcome.DRAINING, 1.0)
        case "file":
            changed = service(leaving=Leaving((str(FAILING),)))
            commands = pool.handle(ServiceChanged(changed), 1.0)
        case _:
            commands = pool.handle(LeavingNoticed(FAILING, LeavingSource.LIST), 1.0)
    report = (ReportLeaving("records", FAILING),) if source == "answer" else ()
    assert commands == (CloseIdle(FAILING), *report)
    assert all(pool.choose(2.0, idempotent=True).address != FAILING for _ in range(200))


def test_leaving_notice_from_the_keeper_is_not_reported_again():
    commands = listed_pool().handle(LeavingNoticed(FAILING, LeavingSource.RESPONSE), 1.0)
    assert commands == (CloseIdle(FAILING),)


def test_leaving_notice_before_the_list_is_kept():
    pool = Pool(service(), "Gobabis", Random(1))
    pool.handle(LeavingNoticed(FAILING, LeavingSource.LIST), 0.0)
    pool.handle(TargetsListed(VMS), 1.0)
    assert all(pool.choose(2.0).address != FAILING for _ in range(200))


def test_restoration_needs_a_probe_and_an_idempotent_trial():
    pool = listed_pool()
    _, now = run_traffic(pool, {FAILING: Outcome.FAILED}, 10)
    now += 6_000.0
    assert Probe(FAILING) in pool.handle(Ticked(), now)
    assert all(pool.choose(now, idempotent=True).address != FAILING for _ in range(100))
    pool.handle(ProbeEnded(FAILING, True), now)
    assert all(pool.choose(now).address != FAILING for _ in range(100))
    restored = []
    for _ in range(200):
        now += 600.0
        vm = pool.choose(now, idempotent=True)
        restored += [
            c for c in run_attempt(pool, vm.address, Outcome.SERVED, now) if c == Restored(FAILING)
        ]
    assert restored == [Restored(FAILING)]


def test_ejection_of_a_lost_keeper_ends_with_a_trial():
    pool = listed_pool()
    ejection = Ejection(FAILING, (), 1_000.0, 4_000.0, False, 0.9, "failing")
    pool.handle(EjectionReceived(ejection), 0.0)
    pool.handle(Ticked(), 5_000.0)
    pool.handle(ProbeEnded(FAILING, True), 5_000.0)
    assert pool.choose(5_001.0).address != FAILING
    assert pool.choose(5_001.0, idempotent=True).address == FAILING


def test_keeper_restoration_does_not_undo_own_ejection():
    pool = listed_pool()
    _, now = run_traffic(pool, {FAILING: Outcome.FAILED}, 10)
    assert pool.handle(RestorationReceived(FAILING), now) == ()
    assert pool.ejected == {FAILING}


def test_ejection_for_another_failure_domain_is_not_applied():
    pool = listed_pool()
    ejection = Ejection(FAILING, ("Witvlei",), 1_000.0, 4_000.0, False, 0.9, "failing")
    pool.handle(EjectionReceived(ejection), 0.0)
    assert not pool.ejected


def test_vm_that_reaches_no_target_suspects_its_own_path_and_ejects_none():
    pool = listed_pool()
    commands, now = run_traffic(pool, {vm.address: Outcome.UNREACHABLE for vm in VMS}, 4)
    assert OwnPathSuspected("records") in commands
    assert not [c for c in commands if isinstance(c, Ejected)]
    late, now = run_traffic(pool, {vm.address: Outcome.UNREACHABLE for vm in VMS}, 10, now)
    assert not [c for c in late if isinstance(c, ReportEvidence)]
    for vm in VMS:
        pool.handle(ProbeEnded(vm.address, True), now)
    assert OwnPathCleared("records") in pool.handle(Ticked(), now)


def test_failures_are_reported_at_once_and_successes_as_periodic_sums():
    pool = listed_pool()
    assert [
        c for c in run_attempt(pool, FAILING, Outcome.FAILED, 0.0) if isinstance(c, ReportEvidence)
    ]
    commands, _ = run_traffic(pool, {}, 14, 100.0)
    reports = [c for c in commands if isinstance(c, ReportEvidence)]
    assert len(reports) <= 4
