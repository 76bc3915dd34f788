"""Pools the evidence of all entries about one service's targets and answers with ejections.

A keeper is soft state: it can die, freeze or stand twice, and only quality suffers, for every
entry holds the floor itself and lets an ejection lapse that is not repeated.
"""

from dataclasses import dataclass

from cactusvane.configuration.model import Service
from cactusvane.fleet.vm import Address
from cactusvane.pool.evidence import Stream, ratio
from cactusvane.pool.messages import (
    Ejection,
    EvidenceReported,
    KeeperCommand,
    KeeperEvent,
    Return,
    ServiceChanged,
    TargetCounts,
    TargetsListed,
    Ticked,
)
from cactusvane.pool.observer import Observer
from cactusvane.pool.quarantine import HoldDown, Quarantine, Trial, TrialResult
from cactusvane.pool.settings import PoolSettings, threshold

SLOW_SEVERITY = 0.5
"""A slow target is less sick than one that fails as often."""

ENOUGH_EXPECTED = 8.0
"""Outcomes expected from a failure domain before it can clear a target."""

CLEARING_SHARE = 0.05
"""A failure domain clears a target if its outcomes speak against this bad share."""

CREDIT_GAP_MS = 500.0
"""Least time between two credits without a bad outcome."""

MS_PER_SECOND = 1_000.0


@dataclass(frozen=True, slots=True)
class Finding:
    """Which failure domains' observers find a target sick, and how sick."""

    failure_domains: tuple[str, ...]
    severity: float
    reason: str


class Case:
    """What the keeper holds about one target.

    Parameters
    ----------
    settings
        The hold-down rule.
    now
        When the target was first listed, in milliseconds.
    """

    __slots__ = (
        "credited_at",
        "finding",
        "first_bad_at",
        "hold_down",
        "known_since",
        "observers",
        "quarantine",
        "repeat_at",
    )

    def __init__(self, settings: PoolSettings, now: float) -> None:
        self.known_since = now
        self.credited_at = now
        self.hold_down = HoldDown(settings.hold)
        self.quarantine: Quarantine | None = None
        self.finding: Finding | None = None
        self.repeat_at = 0.0
        self.forget()

    def forget(self) -> None:
        """Forget who saw bad outcomes."""
        self.first_bad_at = 0.0
        self.observers: dict[str, float] = {}


class Keeper:
    """The evidence about all targets of one service.

    Parameters
    ----------
    service
        The operators' file in force.
    settings
        How evidence becomes decisions.
    """

    def __init__(self, service: Service, settings: PoolSettings | None = None) -> None:
        self.settings = settings or PoolSettings()
        self.service = service
        self.threshold = threshold(service.health, self.settings)
        self.failures = Stream(self.settings.failures)
        self.slowness = Stream(self.settings.slowness)
        self.cases: dict[Address, Case] = {}
        self.observers: dict[str, Observer] = {}

    def handle(self, event: KeeperEvent, now: float) -> tuple[KeeperCommand, ...]:
        """Take in one event.

        Parameters
        ----------
        event
            What happened; in any order, late or twice.
        now
            Milliseconds of the process's clock.

        Returns
        -------
        tuple of KeeperCommand
            What all entries have to hear.
        """
        match event:
            case EvidenceReported(observer, failure_domain, counts):
                return self.reported(observer, failure_domain, counts, now)
            case TargetsListed(targets):
                addresses = [vm.address for vm in targets]
                self.failures.keep(addresses)
                self.slowness.keep(addresses)
                self.cases = {
                    address: self.cases.get(address) or Case(self.settings, now)
                    for address in addresses
                }
            case ServiceChanged(service):
                self.service = service
                self.threshold = threshold(service.health, self.settings)
            case Ticked():
                return self.ticked(now)
        return ()

    def reported(
        self, name: str, failure_domain: str, counts: tuple[TargetCounts, ...], now: float
    ) -> tuple[KeeperCommand, ...]:
        """Weigh one observer's report."""
        observer = self.observers.get(name)
        if observer is None:
            observer = Observer(failure_domain, self.settings, now)
            self.observers[name] = observer
        known = [count for count in counts if count.target in self.cases]
        observer.add(known, now)
        if observer.is_suspect(len(self.cases)):
            return ()
        commands: list[KeeperCommand] = []
        for count in known:
            commands += self.weigh(name, count, now)
        return tuple(commands)

    def weigh(self, observer: str, counts: TargetCounts, now: float) -> tuple[KeeperCommand, ...]:
        """Weigh one observer's counts of one target."""
        case = self.cases[counts.target]
        if case.quarantine is not None:
            return self.tried(case, case.quarantine, counts, now)
        bad = counts.failed + counts.slow
        if not bad:
            return ()
        if not case.observers:
            case.first_bad_at = now
        case.observers[observer] = case.observers.get(observer, 0.0) + bad
        self.credit(counts.target, case, counts.failed, counts.slow, now)
        return self.judge(counts.target, case, now)

    def credit(self, target: Address, case: Case, failed: float, slow: float, now: float) -> None:
        """Add bad outcomes, and the good ones that the usual traffic makes likely.

        Failures arrive at once and successes as rare sums, so the good outcomes since the last
        credit are estimated from the observers' rates.
        """
        expected = self.rate(target, "") * (now - case.credited_at)
        case.credited_at = now
        self.failures.add(target, failed, max(0.0, expected - failed))
        self.slowness.add(target, slow, max(0.0, expected - slow))
        if self.failures.score(target) == 0.0 and self.slowness.score(target) == 0.0:
            case.forget()

    def rate(self, target: Address, failure_domain: str) -> float:
        """Return the usual outcomes per millisecond, of one failure domain or of all."""
        return sum(
            observer.rates.get(target, 0.0)
            for observer in self.observers.values()
            if failure_domain in ("", observer.failure_domain)
        )

    def judge(self, target: Address, case: Case, now: float) -> tuple[KeeperCommand, ...]:
        """Eject a target if the pooled evidence of enough observers suffices."""
        if now - case.known_since < self.settings.learn_ms:
            return ()
        finding = self.find(target, case, now)
        if finding is None:
            return ()
        until = now + case.hold_down.begin(now)
        trial = Trial(self.settings.hold, self.failures.base, self.slowness.base)
        case.quarantine = Quarantine(until, trial, finding.severity)
        case.finding = finding
        return self.repeat(target, case, now)

    def find(self, target: Address, case: Case, now: float) -> Finding | None:
        """Return what the evidence against a target amounts to, None for too little."""
        if len(case.observers) < self.settings.least_observers:
            return None
        top = max(case.observers.values())
        for stream, scale, kind in (
            (self.failures, 1.0, "failing"),
            (self.slowness, SLOW_SEVERITY, "slow"),
        ):
            worst = stream.sums[target].worst
            if worst.score < self.threshold:
                continue
            others = max(0.0, worst.bad - top)
            if ratio(others, worst.good, stream.base, worst.alternative) < self.threshold / 2.0:
                continue
            severity = scale * worst.bad / (worst.bad + worst.good)
            reason = f"{len(case.observers)} VMs find it {kind}"
            return Finding(self.domains(target, case, stream.base, now), severity, reason)
        return None

    def domains(self, target: Address, case: Case, base: float, now: float) -> tuple[str, ...]:
        """Return the failure domains that do not clear the target; empty for all."""
        names = sorted({observer.failure_domain for observer in self.observers.values()})
        against = []
        for name in names:
            bad = sum(
                count
                for observer, count in case.observers.items()
                if observer in self.observers and self.observers[observer].failure_domain == name
            )
            expected = self.rate(target, name) * (now - case.first_bad_at)
            good = max(0.0, expected - bad)
            share = max(CLEARING_SHARE, 2.0 * base)
            if expected < ENOUGH_EXPECTED or ratio(bad, good, base, share) > 0.0:
                against.append(name)
        return () if len(against) == len(names) else tuple(against)

    def tried(
        self, case: Case, quarantine: Quarantine, counts: TargetCounts, now: float
    ) -> tuple[KeeperCommand, ...]:
        """Weigh outcomes of a target that is out, once trials may have begun."""
        if now < quarantine.until:
            return ()
        match quarantine.trial.add(counts):
            case TrialResult.PASSED:
                return self.take_in(counts.target, case, now)
            case TrialResult.REFUSED:
                quarantine.trial = Trial(self.settings.hold, self.failures.base, self.slowness.base)
                quarantine.hold(now + case.hold_down.begin(now))
                return self.repeat(counts.target, case, now)
            case TrialResult.OPEN:
                pass
        return ()

    def take_in(self, target: Address, case: Case, now: float) -> tuple[KeeperCommand, ...]:
        """End a quarantine."""
        case.quarantine = None
        case.hold_down.end(now)
        case.credited_at = now
        case.known_since = now
        case.forget()
        self.failures.restart(target)
        self.slowness.restart(target)
        return (Return(target),)

    def repeat(self, target: Address, case: Case, now: float) -> tuple[KeeperCommand, ...]:
        """Say that a target is out, again and again while it is."""
        quarantine, finding = case.quarantine, case.finding
        if quarantine is None or finding is None:
            return ()
        case.repeat_at = now + self.settings.repeat_ms
        return (
            Ejection(
                target,
                finding.failure_domains,
                hold_ms=max(0.0, quarantine.until - now),
                expiry_ms=self.settings.expiry_ms,
                trial=now >= quarantine.until,
                severity=finding.severity,
                reason=finding.reason,
            ),
        )

    def ticked(self, now: float) -> tuple[KeeperCommand, ...]:
        """Credit quiet targets, forget silent observers and repeat ejections."""
        commands: list[KeeperCommand] = []
        for name, observer in tuple(self.observers.items()):
            if observer.is_gone(now):
                del self.observers[name]
        for target, case in self.cases.items():
            if case.quarantine is None:
                if now - case.credited_at >= CREDIT_GAP_MS:
                    self.credit(target, case, 0.0, 0.0, now)
            elif now >= case.repeat_at:
                commands += self.repeat(target, case, now)
        return tuple(commands)
