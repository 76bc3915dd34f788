from cactusvane.configuration.model import Health, Route, Service
from cactusvane.fleet.vm import Address, Vm
from cactusvane.pool.keeper import EvidenceKeeper
from cactusvane.pool.messages import (
    Ejection,
    EvidenceReported,
    Restoration,
    TargetCounts,
    TargetsListed,
    Ticked,
)

DOMAINS = ("Gobabis", "Witvlei", "Leonardville")
VMS = tuple(Vm(f"t{n}", Address("10.0.0.1", 8000 + n), DOMAINS[n % 3]) for n in range(6))
FAILING = VMS[0].address
OBSERVERS = tuple((f"e{n}", DOMAINS[n % 3]) for n in range(12))


def service():
    return Service(
        "records",
        ("records",),
        (Route("/", ("GET",), True, "read"),),
        6,
        4,
        4,
        health=Health(1.0, 100.0),
    )


def normal_traffic(keeper, rounds=5):
    keeper.handle(TargetsListed(VMS), 0.0)
    for second in range(rounds):
        for name, domain in OBSERVERS:
            counts = tuple(TargetCounts(vm.address, served=10, in_time=10) for vm in VMS)
            keeper.handle(EvidenceReported(name, domain, counts), second * 1_000.0)
    return rounds * 1_000.0


def fail(keeper, observers, targets, now, times=20, gap=10.0):
    commands = []
    for step in range(times):
        name, domain = observers[step % len(observers)]
        now += gap
        counts = tuple(TargetCounts(target, failed=1) for target in targets)
        commands += keeper.handle(EvidenceReported(name, domain, counts), now)
    return commands, now


def test_reports_of_many_observers_eject_in_all_failure_domains():
    keeper = EvidenceKeeper(service())
    now = normal_traffic(keeper)
    commands, _ = fail(keeper, OBSERVERS, [FAILING], now)
    assert [(c.target, c.failure_domains) for c in commands] == [(FAILING, ())]


def test_one_observer_alone_ejects_nothing():
    keeper = EvidenceKeeper(service())
    now = normal_traffic(keeper)
    commands, _ = fail(keeper, OBSERVERS[:1], [FAILING], now, times=500)
    assert commands == []


def test_observer_that_finds_most_targets_failing_is_ignored():
    keeper = EvidenceKeeper(service())
    now = normal_traffic(keeper)
    all_targets = [vm.address for vm in VMS]
    _, now = fail(keeper, OBSERVERS[:3], all_targets, now, times=30)
    for name, _ in OBSERVERS[:3]:
        assert keeper.observers[name].is_suspect(len(VMS))
    assert not any(record.quarantine for record in keeper.records.values())


def test_fault_seen_by_one_failure_domain_ejects_there_only():
    keeper = EvidenceKeeper(service())
    now = normal_traffic(keeper)
    witvlei = [observer for observer in OBSERVERS if observer[1] == "Witvlei"]
    commands, _ = fail(keeper, witvlei, [FAILING], now, gap=25.0)
    assert [c.failure_domains for c in commands] == [("Witvlei",)]


def test_nothing_is_ejected_before_the_expected_traffic_is_known():
    keeper = EvidenceKeeper(service())
    keeper.handle(TargetsListed(VMS), 0.0)
    commands, _ = fail(keeper, OBSERVERS, [FAILING], 0.0, times=100)
    assert commands == []


def test_ejection_is_repeated_until_trials_pass():
    keeper = EvidenceKeeper(service())
    now = normal_traffic(keeper)
    _, now = fail(keeper, OBSERVERS, [FAILING], now)
    repeats = keeper.handle(Ticked(), now + 2_000.0)
    assert [type(c) for c in repeats] == [Ejection]
    now += 6_000.0
    assert keeper.handle(Ticked(), now)[0].trial
    counts = (TargetCounts(FAILING, served=40, in_time=40, trial=True),)
    first = keeper.handle(EvidenceReported("e1", "Witvlei", counts), now)
    second = keeper.handle(EvidenceReported("e2", "Leonardville", counts), now)
    assert (first, second) == ((), (Restoration(FAILING),))


def test_failed_trial_doubles_the_hold_down():
    keeper = EvidenceKeeper(service())
    now = normal_traffic(keeper)
    _, now = fail(keeper, OBSERVERS, [FAILING], now)
    commands, _ = fail(keeper, OBSERVERS, [FAILING], now + 6_000.0)
    assert [(c.hold_ms, c.trial) for c in commands] == [(10_000.0, False)]


def test_one_observer_with_few_errors_of_others_ejects_nothing():
    """Caught: `evaluate` that uses all bad outcomes instead of those of the other observers."""
    keeper = EvidenceKeeper(service())
    now = normal_traffic(keeper)
    _, now = fail(keeper, OBSERVERS[1:4], [FAILING], now, times=3)
    commands, _ = fail(keeper, OBSERVERS[:1], [FAILING], now, times=100)
    assert commands == []


def test_suspect_observers_are_ignored_while_the_base_rate_is_unchanged():
    """Caught: `record_report` without the check for a suspect observer."""
    keeper = EvidenceKeeper(service())
    many = tuple(Vm(f"t{n}", Address("10.0.0.3", n), DOMAINS[n % 3]) for n in range(16))
    now = normal_traffic(keeper)
    keeper.handle(TargetsListed(many), now)
    for second in range(5):
        for name, domain in OBSERVERS:
            counts = tuple(TargetCounts(vm.address, served=10, in_time=10) for vm in many)
            keeper.handle(EvidenceReported(name, domain, counts), now + second * 1_000.0)
    failing = [vm.address for vm in many[:9]]
    commands, _ = fail(keeper, OBSERVERS[:4], failing, now + 5_000.0, times=60)
    assert commands == []


def test_observers_of_a_quiet_service_do_not_expire():
    keeper = EvidenceKeeper(service())
    keeper.handle(TargetsListed(VMS), 0.0)
    for step in range(4 * len(OBSERVERS)):
        name, domain = OBSERVERS[step % len(OBSERVERS)]
        counts = tuple(TargetCounts(vm.address, served=1, in_time=1) for vm in VMS)
        keeper.handle(EvidenceReported(name, domain, counts), step * 4_000.0)
        keeper.handle(Ticked(), step * 4_000.0)
    assert len(keeper.observers) == len(OBSERVERS)


def test_failures_are_ignored_until_the_rates_of_their_observer_are_known():
    """Caught: `record_report` without the check for measured rates."""
    keeper = EvidenceKeeper(service())
    now = normal_traffic(keeper)
    new_observers = tuple((f"new{n}", DOMAINS[n % 3]) for n in range(6))
    commands, _ = fail(keeper, new_observers, [FAILING], now, times=40)
    assert commands == []
