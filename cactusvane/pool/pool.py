"""One entry's view of the targets of one service.

Performs no I/O; the current time is passed in.
"""

from dataclasses import dataclass, replace
from math import inf
from random import Random

from cactusvane.configuration.model import Service
from cactusvane.fleet.vm import Address, Vm, VmState
from cactusvane.outcome import Outcome
from cactusvane.pool.evidence import SequentialTest
from cactusvane.pool.floor import Candidate, select_ejected
from cactusvane.pool.latency import RunningMedian
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
    PoolCommand,
    PoolEvent,
    Probe,
    ProbeEnded,
    ReportLeaving,
    RestorationReceived,
    Restored,
    ServiceChanged,
    TargetCounts,
    TargetsListed,
    Ticked,
)
from cactusvane.pool.own_path import PATH_FAILURES, PROBE_INTERVAL_MS, OwnPath
from cactusvane.pool.quarantine import Quarantine, Trial, TrialResult
from cactusvane.pool.reporter import Reporter
from cactusvane.pool.settings import SLOW_SEVERITY, PoolSettings, ejection_threshold
from cactusvane.pool.target import TargetState

FAILURE_OUTCOMES = PATH_FAILURES | {Outcome.FAILED}
"""Outcomes that count as evidence of failure; a shed request does not."""

PENALTY_DURATION_MS = 2_000.0
"""Time after a failure during which a target's cost includes a penalty."""

MAX_PENALTY = 2.0
"""Maximum penalty for idempotent requests, in units of requests in flight."""

NON_IDEMPOTENT_PENALTY_FACTOR = 4.0
"""Factor on the penalty for requests that cannot be retried."""


@dataclass(frozen=True, slots=True)
class LeavingNotice:
    """A notice that a target is leaving.

    A notice from a response expires, since the target's process may be restarted.

    Parameters
    ----------
    vm
        Name of the target's VM; empty while the target is not listed.
    until
        Time at which the notice expires, in milliseconds; infinite for other sources.
    own
        Whether this entry received the target's response.
    """

    vm: str
    until: float
    own: bool = False


class Pool:
    """Chooses targets for requests and ejects failing ones based on outcomes.

    Parameters
    ----------
    service
        The active service configuration.
    failure_domain
        Failure domain of this VM.
    random
        Source of all random choices.
    settings
        Thresholds and intervals.

    Attributes
    ----------
    in_use
        Targets that get regular requests.
    ejected
        Addresses of targets that get none because of the evidence against them.
    on_trial
        The ejected targets that are not leaving; they may get trial requests.
    """

    def __init__(
        self,
        service: Service,
        failure_domain: str,
        random: Random,
        settings: PoolSettings | None = None,
    ) -> None:
        self.settings = settings or PoolSettings()
        self.failure_domain = failure_domain
        self.random = random
        self.targets: dict[Address, TargetState] = {}
        self.leaving_notices: dict[Address, LeavingNotice] = {}
        self.ejected: frozenset[Address] = frozenset()
        self.on_trial: tuple[TargetState, ...] = ()
        self.in_use: tuple[TargetState, ...] = ()
        self.failures = SequentialTest(self.settings.failures)
        self.slowness = SequentialTest(self.settings.slowness)
        self.median = RunningMedian()
        self.path = OwnPath()
        self.reporter = Reporter(service.name, self.settings, random)
        self.configure(service)

    def configure(self, service: Service) -> None:
        """Apply a new version of the service configuration."""
        self.service = service
        self.threshold = ejection_threshold(service.health, self.settings)

    def handle(self, event: PoolEvent, now: float) -> tuple[PoolCommand, ...]:
        """Handle one event.

        Parameters
        ----------
        event
            What happened; events may be reordered, late or duplicated.
        now
            Current time in milliseconds (monotonic clock of the process).

        Returns
        -------
        tuple of PoolCommand
            Commands for the caller to execute in order.
        """
        commands: tuple[PoolCommand, ...] = ()
        match event:
            case AttemptStarted(target):
                if target in self.targets:
                    self.targets[target].start(now)
                return ()
            case AttemptEnded():
                return self.record_attempt(event, now)
            case TargetsListed(targets):
                self.set_targets(targets, now)
            case ServiceChanged(service):
                self.configure(service)
            case LeavingNoticed(target, source):
                self.mark_leaving(target, source, now)
            case ProbeEnded(target, healthy):
                commands = self.record_probe(target, healthy)
            case EjectionReceived(ejection):
                commands = self.apply_ejection(ejection, now)
            case RestorationReceived(target):
                commands = self.apply_restoration(target, now)
            case Ticked():
                changes = self.expire_notices(now) or any(
                    state.warm_up_started_at is not None for state in self.in_use
                )
                commands = self.tick(now)
                if not changes:
                    return commands
        return (*commands, *self.update_in_use(now))

    def choose(
        self, now: float, exclude: frozenset[Address] = frozenset(), idempotent: bool = False
    ) -> Vm | None:
        """Choose a target for one attempt by power of two choices.

        Parameters
        ----------
        now
            Current time in milliseconds (monotonic clock of the process).
        exclude
            Targets that this request has already tried.
        idempotent
            Whether the request may be sent to a target that is on trial.

        Returns
        -------
        Vm or None
            None if no target accepts new requests.
        """
        if idempotent:
            for state in self.on_trial:
                if state.vm.address not in exclude and self.start_trial(state, now):
                    return state.vm
        candidates = [state for state in self.in_use if state.vm.address not in exclude]
        candidates = self.sample_by_warm_up(candidates, now) or candidates
        if not candidates:
            return None
        pair = self.random.sample(candidates, min(2, len(candidates)))
        return min(pair, key=lambda state: self.cost(state, now, idempotent)).vm

    def start_trial(self, state: TargetState, now: float) -> bool:
        """Start a trial request if the target allows one now, and return whether it does."""
        quarantine = state.quarantine
        if quarantine is None or state.in_flight or not quarantine.allows_trial(now):
            return False
        if now - quarantine.last_trial_at < self.settings.hold_down.trial_interval_ms:
            return False
        quarantine.last_trial_at = now
        return True

    def cost(self, state: TargetState, now: float, idempotent: bool) -> float:
        """Return the cost of a target: requests in flight plus a penalty for own evidence."""
        if state.quarantine is not None:
            penalty = 0.0 if idempotent else NON_IDEMPOTENT_PENALTY_FACTOR * MAX_PENALTY
        elif now - state.last_failure_at < PENALTY_DURATION_MS:
            penalty = min(MAX_PENALTY, self.failures.score(state.vm.address))
            penalty *= 1.0 if idempotent else NON_IDEMPOTENT_PENALTY_FACTOR
        else:
            penalty = 0.0
        return state.in_flight + penalty

    def sample_by_warm_up(self, states: list[TargetState], now: float) -> list[TargetState]:
        """Drop cold targets at random, so that each gets its warm-up share of requests."""
        warm_up_ms = self.service.warm_up_ms
        return [
            state
            for state in states
            if state.warm_up_started_at is None
            or self.random.random() < state.warm_up_share(now, warm_up_ms)
        ]

    def record_attempt(self, event: AttemptEnded, now: float) -> tuple[PoolCommand, ...]:
        """Record the end of an attempt."""
        state = self.targets.get(event.target)
        if state is None:
            return ()
        counted_slow = state.end(now - event.latency_ms)
        self.path.add(event.target, event.outcome)
        if event.outcome is Outcome.DRAINING:
            self.mark_leaving(event.target, LeavingSource.RESPONSE, now)
            return (*self.update_in_use(now), ReportLeaving(self.service.name, event.target))
        counts = self.classify_attempt(state, event, counted_slow, now)
        return () if counts is None else self.record_counts(state, counts, now)

    def classify_attempt(
        self, state: TargetState, event: AttemptEnded, counted_slow: bool, now: float
    ) -> TargetCounts | None:
        """Return the outcome counts of an attempt, None if it is no evidence about its target."""
        target = event.target
        trial = target in self.ejected
        if event.outcome in FAILURE_OUTCOMES:
            return TargetCounts(target, failed=1, trial=trial)
        if event.outcome is not Outcome.SERVED:
            return None
        self.median.add(event.latency_ms)
        if counted_slow or state.is_cold(now, self.service.warm_up_ms):
            return TargetCounts(target, served=1, trial=trial)
        slow = 0 < self.slow_threshold_ms < event.latency_ms
        return TargetCounts(target, served=1, in_time=not slow, slow=slow, trial=trial)

    @property
    def slow_threshold_ms(self) -> float:
        """Latency in milliseconds above which a response is slow; 0 while unknown."""
        if self.median.value == 0.0:
            return 0.0
        settings = self.settings
        return max(settings.slow_minimum_ms, settings.slow_factor * self.median.value)

    def record_counts(
        self, state: TargetState, counts: TargetCounts, now: float
    ) -> tuple[PoolCommand, ...]:
        """Add outcome counts of one target to the evidence and to the next report."""
        if self.path.suspected:
            return ()
        self.reporter.add(counts)
        if counts.failed:
            state.last_failure_at = now
        quarantine = state.quarantine
        if quarantine is None:
            self.failures.add(counts.target, counts.failed, counts.served)
            self.slowness.add(counts.target, counts.slow, counts.in_time)
            commands = self.check_ejection(state, now) if counts.failed or counts.slow else ()
        else:
            commands = self.record_trial(state, quarantine, counts, now)
        return (*commands, *self.reporter.pending_report(now))

    def check_ejection(self, state: TargetState, now: float) -> tuple[PoolCommand, ...]:
        """Eject the target on this VM if its own evidence reaches the threshold."""
        target = state.vm.address
        severity = find_severity(self.failures, self.slowness, target, self.threshold)
        if severity is None or self.path.is_suspect():
            return ()
        until = now + state.hold_down.begin(now)
        state.quarantine = Quarantine(until, self.new_trial(), severity)
        self.update_in_use(now)
        return (Ejected(target, f"own evidence, {severity:.0%} bad"),)

    def new_trial(self) -> Trial:
        """Return a trial against the current base rates of the service."""
        return Trial(self.settings.hold_down, self.failures.base_rate, self.slowness.base_rate)

    def record_trial(
        self, state: TargetState, quarantine: Quarantine, counts: TargetCounts, now: float
    ) -> tuple[PoolCommand, ...]:
        """Record outcomes of trials; while a keeper decides, they are only reported."""
        if now < quarantine.until or now < quarantine.keeper_until:
            return ()
        match quarantine.trial.add(counts):
            case TrialResult.PASSED:
                return self.restore(state, now)
            case TrialResult.REJECTED:
                quarantine.trial = self.new_trial()
                quarantine.restart_hold_down(now + state.hold_down.begin(now))
                self.update_in_use(now)
            case TrialResult.OPEN:
                pass
        return ()

    def restore(self, state: TargetState, now: float) -> tuple[PoolCommand, ...]:
        """End the quarantine of a target; a target that was ejected warms up again."""
        target = state.vm.address
        state.quarantine = None
        state.hold_down.end(now)
        if target in self.ejected:
            state.warm_up_started_at = now
        self.failures.reset(target)
        self.slowness.reset(target)
        self.update_in_use(now)
        return (Restored(target),)

    def set_targets(self, vms: tuple[Vm, ...], now: float) -> None:
        """Apply a new VM list; targets of the first list count as warm."""
        before = self.targets
        self.targets = {}
        for vm in vms:
            state = before.get(vm.address)
            if state is None or state.vm.name != vm.name:
                state = TargetState(vm, now if before else None, self.settings)
                self.failures.reset(vm.address)
                self.slowness.reset(vm.address)
            state.vm = vm
            self.targets[vm.address] = state
            self.bind_notice(vm)
            if vm.state is VmState.LEAVING:
                self.mark_leaving(vm.address, LeavingSource.LIST, now)
        self.failures.set_targets(self.targets)
        self.slowness.set_targets(self.targets)
        self.path.set_targets(self.targets)

    def bind_notice(self, vm: Vm) -> None:
        """Bind a notice received before the list to its VM; drop one about a replaced VM."""
        notice = self.leaving_notices.get(vm.address)
        if notice is None or notice.vm == vm.name:
            return
        if notice.vm:
            del self.leaving_notices[vm.address]
        else:
            self.leaving_notices[vm.address] = replace(notice, vm=vm.name)

    def mark_leaving(self, target: Address, source: LeavingSource, now: float) -> None:
        """Record that a target is leaving, so that it gets no new requests.

        The keeper repeats its notices; a repetition does not extend a known one.
        """
        state = self.targets.get(target)
        name = state.vm.name if state else ""
        known = self.leaving_notices.get(target)
        if known is not None and (known.vm not in ("", name) or now >= known.until):
            known = None
        if known is not None and source is LeavingSource.KEEPER:
            return
        own = source is LeavingSource.RESPONSE
        expires = own or source is LeavingSource.KEEPER
        until = now + self.service.leaving.drain_ms if expires else inf
        if known is not None:
            until = max(until, known.until)
            own = own or known.own
        self.leaving_notices[target] = LeavingNotice(name, until, own)

    def leaving_reports(self) -> tuple[ReportLeaving, ...]:
        """Return reports of the targets that announced their leaving to this entry."""
        return tuple(
            ReportLeaving(self.service.name, target)
            for target, notice in self.leaving_notices.items()
            if notice.own
        )

    def is_leaving(self, state: TargetState) -> bool:
        """Return whether the target is leaving by the VM list, a response or the configuration."""
        address = state.vm.address
        notice = self.leaving_notices.get(address)
        noticed = notice is not None and notice.vm in ("", state.vm.name)
        return noticed or str(address) in self.service.leaving.targets

    def apply_ejection(self, ejection: Ejection, now: float) -> tuple[PoolCommand, ...]:
        """Apply a keeper's ejection or its repetition."""
        state = self.targets.get(ejection.target)
        if state is None:
            return ()
        domains = ejection.failure_domains
        if domains and self.failure_domain not in domains:
            return self.apply_restoration(ejection.target, now)
        until = now if ejection.trial else now + ejection.hold_ms
        quarantine = state.quarantine
        if quarantine is None:
            quarantine = Quarantine(until, self.new_trial(), ejection.severity)
            state.quarantine = quarantine
            commands: tuple[PoolCommand, ...] = (Ejected(ejection.target, ejection.reason),)
        else:
            commands = ()
            if not ejection.trial:
                quarantine.restart_hold_down(until)
            elif now < quarantine.until:
                quarantine.until = quarantine.probe_at = now
        quarantine.severity = ejection.severity
        quarantine.keeper_until = now + ejection.expiry_ms
        return commands

    def apply_restoration(self, target: Address, now: float) -> tuple[PoolCommand, ...]:
        """Apply a keeper's restoration, unless this VM ejected the target itself."""
        state = self.targets.get(target)
        if state is None or state.quarantine is None or state.quarantine.keeper_until == 0.0:
            return ()
        return self.restore(state, now)

    def record_probe(self, target: Address, healthy: bool) -> tuple[PoolCommand, ...]:
        """Allow trials after a successful probe, which alone does not restore a target."""
        state = self.targets.get(target)
        if state is None or not healthy:
            return ()
        self.path.add(target, Outcome.SERVED)
        if state.quarantine is not None:
            state.quarantine.probe_passed = True
        return ()

    def tick(self, now: float) -> tuple[PoolCommand, ...]:
        """Find overdue requests and return pending probes and reports."""
        commands: list[PoolCommand] = []
        threshold_ms = self.slow_threshold_ms
        for state in self.targets.values():
            if threshold_ms and state.pending and state.pending[0] < now - threshold_ms:
                commands += self.record_overdue(state, now)
            commands += self.pending_probes(state, now)
        commands += self.update_path_suspicion()
        commands += self.path.pending_probes(now)
        commands += self.reporter.pending_report(now)
        return tuple(commands)

    def record_overdue(self, state: TargetState, now: float) -> tuple[PoolCommand, ...]:
        """Count requests in flight for longer than the slow threshold as slow."""
        count = state.mark_overdue(now - self.slow_threshold_ms)
        if not count or state.is_cold(now, self.service.warm_up_ms):
            return ()
        target = state.vm.address
        return self.record_counts(
            state, TargetCounts(target, slow=count, trial=target in self.ejected), now
        )

    def expire_notices(self, now: float) -> bool:
        """Remove expired notices and return whether there were any.

        The target is put into quarantine, so that it must pass a trial as after an ejection.
        """
        expired = [target for target, notice in self.leaving_notices.items() if now >= notice.until]
        for target in expired:
            del self.leaving_notices[target]
            state = self.targets.get(target)
            if state is not None and state.quarantine is None:
                state.quarantine = Quarantine(now, self.new_trial(), 1.0)
        return bool(expired)

    def pending_probes(self, state: TargetState, now: float) -> tuple[PoolCommand, ...]:
        """Return the pending probe of a target in quarantine, if any."""
        quarantine = state.quarantine
        if quarantine is None:
            return ()
        if quarantine.probe_passed or now < quarantine.probe_at or state.leaving:
            return ()
        quarantine.probe_at = now + PROBE_INTERVAL_MS
        return (Probe(state.vm.address),)

    def update_path_suspicion(self) -> tuple[PoolCommand, ...]:
        """Return a command if this VM's own path becomes the suspect or no longer is."""
        suspected = self.path.is_suspect()
        if suspected == self.path.suspected:
            return ()
        self.path.suspected = suspected
        if suspected:
            self.reporter.discard()
            return (OwnPathSuspected(self.service.name),)
        return (OwnPathCleared(self.service.name),)

    def update_in_use(self, now: float) -> tuple[PoolCommand, ...]:
        """Recompute the targets in use; close idle connections to targets that start to leave."""
        commands = []
        for state in self.targets.values():
            leaving = self.is_leaving(state)
            if leaving and not state.leaving:
                commands.append(CloseIdle(state.vm.address))
            state.leaving = leaving
        available = [state for state in self.targets.values() if not state.leaving]
        candidates = tuple(self.candidate(state, now) for state in available)
        self.ejected = select_ejected(candidates, self.service.floor)
        self.in_use = tuple(state for state in available if state.vm.address not in self.ejected)
        self.on_trial = tuple(state for state in available if state.vm.address in self.ejected)
        return tuple(commands)

    def candidate(self, state: TargetState, now: float) -> Candidate:
        """Return the target as a candidate for the floor; a warm one ends its warm-up."""
        severity = state.quarantine.severity if state.quarantine else None
        warm = not state.is_cold(now, self.service.warm_up_ms)
        if warm:
            state.warm_up_started_at = None
        return Candidate(state.vm.address, warm, severity)


def find_severity(
    failures: SequentialTest, slowness: SequentialTest, target: Address, min_score: float
) -> float | None:
    """Return the severity of a target's evidence, or None if it is below `min_score`.

    Parameters
    ----------
    failures, slowness
        The sequential tests.
    target
        The target.
    min_score
        Minimum log-likelihood ratio.

    Returns
    -------
    float or None
        Share of bad outcomes between 0 and 1; slow outcomes are scaled by `SLOW_SEVERITY`.
    """
    for test, scale in ((failures, 1.0), (slowness, SLOW_SEVERITY)):
        target_evidence = test.evidence.get(target)
        if target_evidence is None:
            continue
        strongest = target_evidence.strongest
        if strongest.score >= min_score:
            return scale * strongest.bad / (strongest.bad + strongest.good)
    return None
