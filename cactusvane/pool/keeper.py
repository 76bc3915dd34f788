"""The keeper's part of outlier ejection: pools the evidence of all entries about one service.

A keeper holds soft state only. If it dies, hangs or runs twice, decisions get worse but stay safe:
each entry enforces the floor itself and lets ejections expire that are not repeated.
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
"""Log-likelihood ratio below which the observers of a failure domain clear a target."""

MAX_CLEARING_SHARE = 0.3
"""Maximum bad share that clearing tests against, since a few good outcomes prove little."""

MIN_BAD_OUTCOMES = 2.0
"""Minimum number of bad outcomes for the observers of a failure domain to find a target failing."""

SPREAD_THRESHOLD_FACTOR = 0.5
"""Factor on the threshold for further failure domains once one has ejected the target."""

UPDATE_INTERVAL_MS = 500.0
"""Minimum time between two updates of a target's evidence without a bad outcome."""


@dataclass(frozen=True, slots=True)
class Finding:
    """The failure domains whose observers find a target failing (empty for all), and why."""

    failure_domains: tuple[str, ...]
    severity: float
    reason: str


class TargetRecord:
    """State that the keeper keeps of one target.

    Parameters
    ----------
    settings
        Hold-down settings.
    now
        Time at which the target was first listed, in milliseconds.

    Attributes
    ----------
    updated_at
        Time of the last evidence update.
    learning_since
        Time since which the keeper measures the expected traffic of the target.
    observers
        Bad outcomes by observer, since `first_bad_at`.
    repeat_at
        Time at which the ejection is repeated.
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
        """Return whether the ejection applies to the entries of a failure domain."""
        domains = self.finding.failure_domains if self.finding else ()
        return not domains or failure_domain in domains

    def count_bad(self, failure_domain: str, observers: Mapping[str, Observer]) -> float:
        """Return the number of bad outcomes that observers of a failure domain have seen."""
        return sum(
            bad
            for name, bad in self.observers.items()
            if name in observers and observers[name].failure_domain == failure_domain
        )

    def reset_observers(self) -> None:
        """Discard the bad outcomes by observer."""
        self.first_bad_at = 0.0
        self.observers: dict[str, float] = {}


class EvidenceKeeper:
    """Evidence about all targets of one service. Performs no I/O; the current time is passed in.

    Parameters
    ----------
    service
        The active service configuration.
    settings
        Thresholds and intervals.
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
        """Handle one event.

        Parameters
        ----------
        event
            What happened; events may be reordered, late or duplicated.
        now
            Current time in milliseconds (monotonic clock of the process).

        Returns
        -------
        tuple of KeeperCommand
            Decisions to send to all entries.
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
        """Record a report; it counts as evidence once the observer's request rates are known."""
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
        """Record outcome counts of one target from one observer."""
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
        """Add bad outcomes and an estimate of the good ones to the evidence.

        Failures are reported at once and successes only as periodic sums, so the good outcomes
        since the last update are estimated from the observers' request rates.
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
        """Return the failure domains of all observers."""
        return {observer.failure_domain for observer in self.observers.values()}

    def expected_rate(self, target: Address, failure_domain: str) -> float:
        """Return the expected outcomes per millisecond of a target as seen by a failure domain."""
        return sum(
            observer.rates.get(target, 0.0)
            for observer in self.observers.values()
            if observer.failure_domain == failure_domain
        )

    def check_ejection(
        self, target: Address, record: TargetRecord, now: float
    ) -> tuple[KeeperCommand, ...]:
        """Eject a target if the pooled evidence of enough observers reaches the threshold."""
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
        """Return a trial against the current base rates of the service."""
        return Trial(self.settings.hold_down, self.failures.base_rate, self.slowness.base_rate)

    def evaluate(self, target: Address, record: TargetRecord, now: float) -> Finding | None:
        """Return the finding that the evidence supports, or None if it is insufficient.

        Without the observer that saw the most bad outcomes, the evidence must still reach half
        the threshold, so that one observer alone cannot eject a target.
        """
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
        """Return the failure domains whose observers find the target failing; empty for all.

        If two failure domains do, the finding also applies to a third that has seen too little.
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
        """Record outcomes of an ejected target; they are ignored during the hold-down."""
        if now < quarantine.until:
            return ()
        match quarantine.trial.add(counts):
            case TrialResult.PASSED:
                return self.restore(counts.target, record, now)
            case TrialResult.REJECTED:
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
        """End the quarantine of a target and restart its learning period."""
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
        """Return the ejection of a target for sending, and schedule its repetition."""
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
        """Update the evidence of quiet targets, drop expired observers and repeat ejections."""
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
