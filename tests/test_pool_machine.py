"""Invariants of pools and keepers under reordered, late and duplicated events.

Each invariant names mutations of the code that it was seen to catch.
"""

from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from cactusvane.configuration.model import Health, Leaving, Route, Service
from cactusvane.fleet.vm import Address, Vm, VmState
from cactusvane.outcome import Outcome
from cactusvane.pool.keeper import EvidenceKeeper
from cactusvane.pool.messages import (
    AttemptEnded,
    AttemptStarted,
    Ejection,
    EjectionReceived,
    EvidenceReported,
    LeavingNoticed,
    LeavingSource,
    ProbeEnded,
    ReportEvidence,
    Restoration,
    RestorationReceived,
    ServiceChanged,
    TargetCounts,
    TargetsListed,
    Ticked,
)
from cactusvane.pool.pool import Pool

DOMAINS = ("Estrie", "Montérégie", "Beauce")
ADDRESSES = tuple(Address("10.0.0.2", 8000 + n) for n in range(5))
FLOOR = 3

addresses = st.sampled_from(ADDRESSES)
outcomes = st.sampled_from(Outcome)
numbers = st.integers(0, len(ADDRESSES) - 1)


def service(leaving: tuple[str, ...] = ()) -> Service:
    return Service(
        "catalogue",
        ("catalogue",),
        (Route("/", ("GET",), True, "read"),),
        len(ADDRESSES),
        FLOOR,
        3,
        warm_up_ms=2_000,
        leaving=Leaving(leaving, drain_ms=500),
        health=Health(1_000.0, 1.0),
    )


def vms(numbers_listed, leaving=frozenset(), generation=0):
    return tuple(
        Vm(
            f"t{n}-{generation}",
            ADDRESSES[n],
            DOMAINS[n % 3],
            state=VmState.LEAVING if n in leaving else VmState.LIVE,
        )
        for n in sorted(numbers_listed)
    )


class PoolMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.pool = Pool(service(), "Estrie", Random(7))
        self.keeper = EvidenceKeeper(service())
        self.messages = []
        self.leaving_until = {}
        self.listed = {}

    def handle(self, event):
        commands = self.pool.handle(event, self.now)
        for command in commands:
            if isinstance(command, ReportEvidence):
                self.report("e0", "Estrie", command.counts)

    def report(self, observer, domain, counts):
        event = EvidenceReported(observer, domain, counts)
        for command in self.keeper.handle(event, self.now):
            self.queue_message(command)

    def queue_message(self, command):
        match command:
            case Ejection():
                self.messages.append(EjectionReceived(command))
            case Restoration(target):
                self.messages.append(RestorationReceived(target))

    def note_leaving(self, address, duration_ms):
        self.leaving_until[address] = max(
            self.now + duration_ms, self.leaving_until.get(address, 0.0)
        )

    @initialize()
    def first_list(self):
        self.list_targets(frozenset(range(len(ADDRESSES))), frozenset(), 0)

    @rule(
        listed=st.frozensets(numbers, min_size=3),
        leaving=st.frozensets(numbers, max_size=2),
        generation=st.integers(0, 1),
    )
    def list_targets(self, listed, leaving, generation):
        rows = vms(listed, leaving, generation)
        for vm in rows:
            if self.listed.get(vm.address) not in (None, vm.name):
                self.leaving_until.pop(vm.address, None)
            self.listed[vm.address] = vm.name
            if vm.state is VmState.LEAVING:
                self.note_leaving(vm.address, float("inf"))
        self.handle(TargetsListed(rows))
        self.keeper.handle(TargetsListed(rows), self.now)

    @rule(ms=st.sampled_from([0.0, 1.0, 30.0, 700.0, 6_000.0, 60_000.0]))
    def pass_time(self, ms):
        self.now += ms
        self.handle(Ticked())
        for command in self.keeper.handle(Ticked(), self.now):
            self.queue_message(command)

    @rule(idempotent=st.booleans(), outcome=outcomes, latency=st.floats(0.0, 5_000.0))
    def serve(self, idempotent, outcome, latency):
        vm = self.pool.choose(self.now, idempotent=idempotent)
        if vm is not None:
            self.handle(AttemptStarted(vm.address))
            self.end(vm.address, outcome, latency)

    @rule(address=addresses)
    def start(self, address):
        self.handle(AttemptStarted(address))

    @rule(address=addresses, outcome=outcomes, latency=st.floats(0.0, 5_000.0))
    def end(self, address, outcome, latency):
        if outcome is Outcome.DRAINING and address in self.pool.targets:
            self.note_leaving(address, 500.0)
        self.handle(AttemptEnded(address, outcome, latency))

    @rule(address=addresses, count=st.integers(1, 30))
    def fail_often(self, address, count):
        for _ in range(count):
            self.handle(AttemptEnded(address, Outcome.FAILED, 5.0))

    @rule(address=addresses, source=st.sampled_from(LeavingSource))
    def notice(self, address, source):
        expires = source in (LeavingSource.RESPONSE, LeavingSource.KEEPER)
        known = self.now < self.leaving_until.get(address, 0.0)
        if not (known and source is LeavingSource.KEEPER):
            self.note_leaving(address, 500.0 if expires else float("inf"))
        self.handle(LeavingNoticed(address, source))

    @rule(leaving=st.frozensets(addresses, max_size=1))
    def change_configuration(self, leaving):
        self.handle(ServiceChanged(service(tuple(str(address) for address in leaving))))

    @rule(address=addresses, healthy=st.booleans())
    def probe(self, address, healthy):
        self.handle(ProbeEnded(address, healthy))

    @rule(address=addresses, severity=st.floats(0.0, 1.0), trial=st.booleans())
    def keeper_sends_ejection(self, address, severity, trial):
        ejection = Ejection(address, (), 1_000.0, 4_000.0, trial, severity, "doubled")
        self.handle(EjectionReceived(ejection))

    @rule(address=addresses)
    def keeper_restores_target(self, address):
        self.handle(RestorationReceived(address))

    @rule(
        address=addresses,
        observer=st.integers(1, 5),
        served=st.integers(0, 50),
        failed=st.integers(0, 20),
    )
    def others_report(self, address, observer, served, failed):
        counts = TargetCounts(address, served=served, failed=failed, in_time=served)
        self.report(f"e{observer}", DOMAINS[observer % 3], (counts,))

    @rule(index=st.integers(0, 1_000), twice=st.booleans())
    def deliver(self, index, twice):
        if self.messages:
            message = self.messages[index % len(self.messages)]
            for _ in range(1 + twice):
                self.handle(message)

    @invariant()
    def floor_holds(self):
        """Caught: `in_use <= floor` removed from `select_ejected`."""
        pool = self.pool
        staying = [state for state in pool.targets.values() if not pool.is_leaving(state)]
        in_use = {state.vm.address for state in pool.in_use}
        warm = [state for state in staying if not state.is_cold(self.now, 2_000.0)]
        warm_in_use = [state for state in warm if state.vm.address in in_use]
        assert len(in_use) >= min(len(staying), FLOOR)
        assert len(warm_in_use) >= min(len(warm), FLOOR)

    @invariant()
    def leaving_targets_get_no_requests(self):
        """Caught: `update_in_use` without `is_leaving`; `is_leaving` that ignores the targets of
        the configuration; a notice from a response that shortens one from the VM list; a notice
        dropped because it was received before the list."""
        leaving = {address for address, until in self.leaving_until.items() if self.now < until}
        leaving |= {a for a in ADDRESSES if str(a) in self.pool.service.leaving.targets}
        for idempotent in (False, True):
            vm = self.pool.choose(self.now, idempotent=idempotent)
            assert vm is None or vm.address not in leaving

    @invariant()
    def in_flight_counts_are_consistent(self):
        """Caught: `TargetState.start` that inserts each request at the front."""
        for state in self.pool.targets.values():
            assert state.in_flight >= 0
            assert state.pending == sorted(state.pending)

    @invariant()
    def evidence_is_never_negative(self):
        """Caught: a `Cusum` that is not reset before its score is below -5."""
        for test in (*self.sequential_tests(self.pool), *self.sequential_tests(self.keeper)):
            for evidence in test.evidence.values():
                assert all(cusum.score >= 0.0 for cusum in evidence.cusums)

    @staticmethod
    def sequential_tests(owner):
        return owner.failures, owner.slowness


PoolMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=120, stateful_step_count=40
)
TestPoolMachine = PoolMachine.TestCase
