"""Pools the evidence of all entries about one service's targets and answers with ejections.

A keeper is soft state: it can die, freeze or stand twice, and only quality suffers, for every
entry holds the floor itself and lets an ejection lapse that is not repeated.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from cactusvane.configuration.model import Service
from cactusvane.fleet.vm import Address
from cactusvane.pool.evidence import Excursion, Stream, ratio
from cactusvane.pool.messages import (
    Ejection,
    EvidenceReported,
    KeeperCommand,
    KeeperEvent,
    Restoration,
    ServiceChanged,
    TargetCounts,
    TargetsListed,
    Ticked,
)
from cactusvane.pool.observer import Observer
from cactusvane.pool.quarantine import HoldDown, Quarantine, Trial, TrialResult
from cactusvane.pool.settings import SLOW_SEVERITY, PoolSettings, threshold

CLEARING = -2.0
"""Log-likelihood ratio below which a failure domain's observers clear a target."""

CLEARING_SHARE = 0.3
"""Clearing looks at no greater bad share than this: a few good outcomes prove little."""

FEWEST_BAD = 2.0
"""Bad outcomes without which a failure domain's observers do not find a target sick."""

WIDENING = 0.5
"""Once one failure domain is ejecting, others follow on this share of the evidence."""

CREDIT_GAP_MS = 500.0
"""Least time between two credits without a bad outcome."""


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

    def is_out_for(self, failure_domain: str) -> bool:
        """Say whether the ejection holds for observers of a failure domain."""
        domains = self.finding.failure_domains if self.finding else ()
        return not domains or failure_domain in domains

    def bad_seen_from(self, failure_domain: str, observers: Mapping[str, Observer]) -> float:
        """Return how many bad outcomes one failure domain's observers have seen."""
        return sum(
            bad
            for name, bad in self.observers.items()
            if name in observers and observers[name].failure_domain == failure_domain
        )

    def forget(self) -> None:
        """Forget who saw bad outcomes."""
        self.first_bad_at = 0.0
        self.observers: dict[str, float] = {}


class EvidenceKeeper:
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
        """Weigh one observer's report, once its usual traffic is known."""
        observer = self.observers.get(name)
        if observer is None:
            observer = Observer(failure_domain, self.settings, now)
            self.observers[name] = observer
        known = [count for count in counts if count.target in self.cases]
        observer.add(known, now)
        if not observer.rates or observer.is_suspect(len(self.cases)):
            return ()
        commands: list[KeeperCommand] = []
        for count in known:
            commands += self.weigh(name, failure_domain, count, now)
        return tuple(commands)

    def weigh(
        self, observer: str, failure_domain: str, counts: TargetCounts, now: float
    ) -> tuple[KeeperCommand, ...]:
        """Weigh one observer's counts of one target."""
        case = self.cases[counts.target]
        if case.quarantine is not None and case.is_out_for(failure_domain):
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
        rate = sum(
            self.rate(target, name)
            for name in self.failure_domains()
            if case.quarantine is None or not case.is_out_for(name)
        )
        expected = rate * (now - case.credited_at)
        case.credited_at = now
        self.failures.add(target, failed, max(0.0, expected - failed))
        self.slowness.add(target, slow, max(0.0, expected - slow))
        if self.failures.score(target) == 0.0 and self.slowness.score(target) == 0.0:
            case.forget()

    def failure_domains(self) -> set[str]:
        """Return where observers stand."""
        return {observer.failure_domain for observer in self.observers.values()}

    def rate(self, target: Address, failure_domain: str) -> float:
        """Return the usual outcomes per millisecond that one failure domain sees."""
        return sum(
            observer.rates.get(target, 0.0)
            for observer in self.observers.values()
            if observer.failure_domain == failure_domain
        )

    def judge(self, target: Address, case: Case, now: float) -> tuple[KeeperCommand, ...]:
        """Eject a target if the pooled evidence of enough observers suffices."""
        if now - case.known_since < self.settings.learn_ms:
            return ()
        finding = self.find(target, case, now)
        if finding is None:
            return ()
        if case.quarantine is None:
            until = now + case.hold_down.begin(now)
            case.quarantine = Quarantine(until, self.new_trial(), finding.severity)
        case.finding = finding
        if finding.failure_domains:
            case.forget()
            self.failures.restart(target)
            self.slowness.restart(target)
        return self.repeat(target, case, now)

    def new_trial(self) -> Trial:
        """Return a trial against the service's present base rates."""
        return Trial(self.settings.hold, self.failures.base, self.slowness.base)

    def find(self, target: Address, case: Case, now: float) -> Finding | None:
        """Return what the evidence against a target amounts to, None for too little."""
        if len(case.observers) < self.settings.least_observers:
            return None
        least = self.threshold * (1.0 if case.quarantine is None else WIDENING)
        top = max(case.observers.values())
        for stream, scale, kind in (
            (self.failures, 1.0, "failing"),
            (self.slowness, SLOW_SEVERITY, "slow"),
        ):
            worst = stream.sums[target].worst
            if worst.score < least:
                continue
            others = max(0.0, worst.bad - top)
            if ratio(others, worst.good, stream.base, worst.alternative) < least / 2.0:
                continue
            severity = scale * worst.bad / (worst.bad + worst.good)
            reason = f"{len(case.observers)} VMs find it {kind}"
            domains = self.domains(target, case, worst, stream.base, now)
            return Finding(domains, severity, reason)
        return None

    def domains(
        self, target: Address, case: Case, worst: Excursion, base: float, now: float
    ) -> tuple[str, ...]:
        """Return the failure domains whose observers find the target sick; empty for all.

        Two failure domains that do so speak for a third that has seen too little yet.
        """
        names = self.failure_domains()
        against = {name for name in names if case.quarantine and case.is_out_for(name)}
        share = min(CLEARING_SHARE, worst.alternative)
        cleared = set()
        for name in names - against:
            bad = case.bad_seen_from(name, self.observers)
            expected = self.rate(target, name) * (now - case.first_bad_at)
            evidence = ratio(bad, max(0.0, expected - bad), base, share)
            if bad >= FEWEST_BAD and evidence > 0.0:
                against.add(name)
            elif evidence < CLEARING:
                cleared.add(name)
        everywhere = not cleared and len(against) != 1
        return () if everywhere or against == names else tuple(sorted(against or names - cleared))

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
        case.finding = None
        case.hold_down.end(now)
        case.credited_at = now
        case.known_since = now
        case.forget()
        self.failures.restart(target)
        self.slowness.restart(target)
        return (Restoration(target),)

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
            partly = case.finding is not None and bool(case.finding.failure_domains)
            due = now - case.credited_at >= CREDIT_GAP_MS
            if due and (case.quarantine is None or partly):
                self.credit(target, case, 0.0, 0.0, now)
            if case.quarantine is not None and now >= case.repeat_at:
                commands += self.repeat(target, case, now)
        return tuple(commands)
