"""Pools the evidence of all entries about one service's targets and answers with ejections.

A keeper is soft state: it can die, freeze or stand twice, and only quality suffers, for every
entry holds the floor itself and lets an ejection lapse that is not repeated.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from cactusvane.configuration.model import Service
from cactusvane.fleet.vm import Address
from cactusvane.pool.evidence import Cusum, SequentialTest, log_likelihood_ratio
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
from cactusvane.pool.settings import SLOW_SEVERITY, PoolSettings, ejection_threshold

CLEARED_SCORE = -2.0
"""Log-likelihood ratio below which a failure domain's observers clear a target."""

MAX_CLEARING_SHARE = 0.3
"""Clearing looks at no greater bad share than this: a few good outcomes prove little."""

MIN_BAD_OUTCOMES = 2.0
"""Bad outcomes without which a failure domain's observers do not find a target sick."""

SPREAD_THRESHOLD_FACTOR = 0.5
"""Once one failure domain is ejecting, others follow on this share of the evidence."""

UPDATE_INTERVAL_MS = 500.0
"""Least time between two credits without a bad outcome."""


@dataclass(frozen=True, slots=True)
class Finding:
    """Which failure domains' observers find a target sick, and how sick."""

    failure_domains: tuple[str, ...]
    severity: float
    reason: str


class TargetRecord:
    """What the keeper holds about one target.

    Parameters
    ----------
    settings
        The hold-down rule.
    now
        When the target was first listed, in milliseconds.
    """

    __slots__ = (
        "updated_at",
        "finding",
        "first_bad_at",
        "hold_down",
        "learning_since",
        "observers",
        "quarantine",
        "repeat_at",
    )

    def __init__(self, settings: PoolSettings, now: float) -> None:
        self.learning_since = now
        self.updated_at = now
        self.hold_down = HoldDown(settings.hold_down)
        self.quarantine: Quarantine | None = None
        self.finding: Finding | None = None
        self.repeat_at = 0.0
        self.reset_observers()

    def is_ejected_for(self, failure_domain: str) -> bool:
        """Say whether the ejection holds for observers of a failure domain."""
        domains = self.finding.failure_domains if self.finding else ()
        return not domains or failure_domain in domains

    def count_bad(self, failure_domain: str, observers: Mapping[str, Observer]) -> float:
        """Return how many bad outcomes one failure domain's observers have seen."""
        return sum(
            bad
            for name, bad in self.observers.items()
            if name in observers and observers[name].failure_domain == failure_domain
        )

    def reset_observers(self) -> None:
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
        self.threshold = ejection_threshold(service.health, self.settings)
        self.failures = SequentialTest(self.settings.failures)
        self.slowness = SequentialTest(self.settings.slowness)
        self.records: dict[Address, TargetRecord] = {}
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
                return self.record_report(observer, failure_domain, counts, now)
            case TargetsListed(targets):
                addresses = [vm.address for vm in targets]
                self.failures.set_targets(addresses)
                self.slowness.set_targets(addresses)
                self.records = {
                    address: self.records.get(address) or TargetRecord(self.settings, now)
                    for address in addresses
                }
            case ServiceChanged(service):
                self.service = service
                self.threshold = ejection_threshold(service.health, self.settings)
            case Ticked():
                return self.tick(now)
        return ()

    def record_report(
        self, name: str, failure_domain: str, counts: tuple[TargetCounts, ...], now: float
    ) -> tuple[KeeperCommand, ...]:
        """Weigh one observer's report, once its usual traffic is known."""
        observer = self.observers.get(name)
        if observer is None:
            observer = Observer(failure_domain, self.settings, now)
            self.observers[name] = observer
        known = [count for count in counts if count.target in self.records]
        observer.add(known, now)
        if not observer.rates or observer.is_suspect(len(self.records)):
            return ()
        commands: list[KeeperCommand] = []
        for count in known:
            commands += self.record_counts(name, failure_domain, count, now)
        return tuple(commands)

    def record_counts(
        self, observer: str, failure_domain: str, counts: TargetCounts, now: float
    ) -> tuple[KeeperCommand, ...]:
        """Weigh one observer's counts of one target."""
        record = self.records[counts.target]
        if record.quarantine is not None and record.is_ejected_for(failure_domain):
            return self.record_trial(record, record.quarantine, counts, now)
        bad = counts.failed + counts.slow
        if not bad:
            return ()
        if not record.observers:
            record.first_bad_at = now
        record.observers[observer] = record.observers.get(observer, 0.0) + bad
        self.update_evidence(counts.target, record, counts.failed, counts.slow, now)
        return self.check_ejection(counts.target, record, now)

    def update_evidence(
        self, target: Address, record: TargetRecord, failed: float, slow: float, now: float
    ) -> None:
        """Add bad outcomes, and the good ones that the usual traffic makes likely.

        Failures arrive at once and successes as rare sums, so the good outcomes since the last
        credit are estimated from the observers' rates.
        """
        rate = sum(
            self.expected_rate(target, name)
            for name in self.failure_domains()
            if record.quarantine is None or not record.is_ejected_for(name)
        )
        expected = rate * (now - record.updated_at)
        record.updated_at = now
        self.failures.add(target, failed, max(0.0, expected - failed))
        self.slowness.add(target, slow, max(0.0, expected - slow))
        if self.failures.score(target) == 0.0 and self.slowness.score(target) == 0.0:
            record.reset_observers()

    def failure_domains(self) -> set[str]:
        """Return where observers stand."""
        return {observer.failure_domain for observer in self.observers.values()}

    def expected_rate(self, target: Address, failure_domain: str) -> float:
        """Return the usual outcomes per millisecond that one failure domain sees."""
        return sum(
            observer.rates.get(target, 0.0)
            for observer in self.observers.values()
            if observer.failure_domain == failure_domain
        )

    def check_ejection(
        self, target: Address, record: TargetRecord, now: float
    ) -> tuple[KeeperCommand, ...]:
        """Eject a target if the pooled evidence of enough observers suffices."""
        if now - record.learning_since < self.settings.learning_ms:
            return ()
        finding = self.evaluate(target, record, now)
        if finding is None:
            return ()
        if record.quarantine is None:
            until = now + record.hold_down.begin(now)
            record.quarantine = Quarantine(until, self.new_trial(), finding.severity)
        record.finding = finding
        if finding.failure_domains:
            record.reset_observers()
            self.failures.reset(target)
            self.slowness.reset(target)
        return self.announce_ejection(target, record, now)

    def new_trial(self) -> Trial:
        """Return a trial against the service's present base rates."""
        return Trial(self.settings.hold_down, self.failures.base_rate, self.slowness.base_rate)

    def evaluate(self, target: Address, record: TargetRecord, now: float) -> Finding | None:
        """Return what the evidence against a target amounts to, None for too little."""
        if len(record.observers) < self.settings.min_observers:
            return None
        min_score = self.threshold * (1.0 if record.quarantine is None else SPREAD_THRESHOLD_FACTOR)
        max_by_observer = max(record.observers.values())
        for test, scale, kind in (
            (self.failures, 1.0, "failing"),
            (self.slowness, SLOW_SEVERITY, "slow"),
        ):
            strongest = test.evidence[target].strongest
            if strongest.score < min_score:
                continue
            others = max(0.0, strongest.bad - max_by_observer)
            if (
                log_likelihood_ratio(others, strongest.good, test.base_rate, strongest.alternative)
                < min_score / 2.0
            ):
                continue
            severity = scale * strongest.bad / (strongest.bad + strongest.good)
            reason = f"{len(record.observers)} VMs find it {kind}"
            domains = self.select_domains(target, record, strongest, test.base_rate, now)
            return Finding(domains, severity, reason)
        return None

    def select_domains(
        self, target: Address, record: TargetRecord, strongest: Cusum, base_rate: float, now: float
    ) -> tuple[str, ...]:
        """Return the failure domains whose observers find the target sick; empty for all.

        Two failure domains that do so speak for a third that has seen too little yet.
        """
        names = self.failure_domains()
        affected = {name for name in names if record.quarantine and record.is_ejected_for(name)}
        share = min(MAX_CLEARING_SHARE, strongest.alternative)
        cleared = set()
        for name in names - affected:
            bad = record.count_bad(name, self.observers)
            expected = self.expected_rate(target, name) * (now - record.first_bad_at)
            evidence = log_likelihood_ratio(bad, max(0.0, expected - bad), base_rate, share)
            if bad >= MIN_BAD_OUTCOMES and evidence > 0.0:
                affected.add(name)
            elif evidence < CLEARED_SCORE:
                cleared.add(name)
        everywhere = not cleared and len(affected) != 1
        return () if everywhere or affected == names else tuple(sorted(affected or names - cleared))

    def record_trial(
        self, record: TargetRecord, quarantine: Quarantine, counts: TargetCounts, now: float
    ) -> tuple[KeeperCommand, ...]:
        """Weigh outcomes of a target that is out, once trials may have begun."""
        if now < quarantine.until:
            return ()
        match quarantine.trial.add(counts):
            case TrialResult.PASSED:
                return self.restore(counts.target, record, now)
            case TrialResult.REFUSED:
                quarantine.trial = Trial(
                    self.settings.hold_down, self.failures.base_rate, self.slowness.base_rate
                )
                quarantine.restart_hold_down(now + record.hold_down.begin(now))
                return self.announce_ejection(counts.target, record, now)
            case TrialResult.OPEN:
                pass
        return ()

    def restore(
        self, target: Address, record: TargetRecord, now: float
    ) -> tuple[KeeperCommand, ...]:
        """End a quarantine."""
        record.quarantine = None
        record.finding = None
        record.hold_down.end(now)
        record.updated_at = now
        record.learning_since = now
        record.reset_observers()
        self.failures.reset(target)
        self.slowness.reset(target)
        return (Restoration(target),)

    def announce_ejection(
        self, target: Address, record: TargetRecord, now: float
    ) -> tuple[KeeperCommand, ...]:
        """Say that a target is out, again and again while it is."""
        quarantine, finding = record.quarantine, record.finding
        if quarantine is None or finding is None:
            return ()
        record.repeat_at = now + self.settings.repeat_interval_ms
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

    def tick(self, now: float) -> tuple[KeeperCommand, ...]:
        """Credit quiet targets, forget silent observers and repeat ejections."""
        commands: list[KeeperCommand] = []
        for name, observer in tuple(self.observers.items()):
            if observer.is_expired(now):
                del self.observers[name]
        for target, record in self.records.items():
            is_partial = record.finding is not None and bool(record.finding.failure_domains)
            is_due = now - record.updated_at >= UPDATE_INTERVAL_MS
            if is_due and (record.quarantine is None or is_partial):
                self.update_evidence(target, record, 0.0, 0.0, now)
            if record.quarantine is not None and now >= record.repeat_at:
                commands += self.announce_ejection(target, record, now)
        return tuple(commands)
