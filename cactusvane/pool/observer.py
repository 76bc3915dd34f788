"""One entry as a keeper sees it: its usual traffic, and whether it is itself the suspect."""

from collections.abc import Iterable

from cactusvane.fleet.vm import Address
from cactusvane.pool.evidence import Cusum
from cactusvane.pool.messages import TargetCounts
from cactusvane.pool.settings import PoolSettings

MIN_RATE_INTERVAL_MS = 500.0
"""Least time over which a rate is measured."""

OBSERVER_EXPIRY_MS = 300_000.0
"""An observer that reports nothing for so long is forgotten; at a quiet service most are silent."""

FAILING_SHARE = 0.5
"""The bad share that makes one observer call one target sick."""

MIN_FAILING_TARGETS = 2


class Observer:
    """Rates and evidence of one observer.

    Parameters
    ----------
    failure_domain
        Where it stands.
    settings
        When it is the suspect.
    now
        When it first reported, in milliseconds.
    """

    __slots__ = (
        "counts",
        "cusums",
        "failure_domain",
        "rates_updated_at",
        "rates",
        "last_report_at",
        "settings",
    )

    def __init__(self, failure_domain: str, settings: PoolSettings, now: float) -> None:
        self.failure_domain = failure_domain
        self.settings = settings
        self.last_report_at = now
        self.rates_updated_at = now
        self.counts: dict[Address, float] = {}
        self.rates: dict[Address, float] = {}
        """Outcomes per millisecond."""
        self.cusums: dict[Address, Cusum] = {}

    def add(self, report: Iterable[TargetCounts], now: float) -> None:
        """Take in a report."""
        self.last_report_at = now
        base_rate = self.settings.failures.base_minimum
        for counts in report:
            target = counts.target
            outcomes = max(counts.served + counts.failed, counts.in_time + counts.slow)
            self.counts[target] = self.counts.get(target, 0.0) + outcomes
            cusum = self.cusums.get(target)
            if cusum is None:
                cusum = self.cusums[target] = Cusum(FAILING_SHARE)
            cusum.add(counts.failed, counts.served, base_rate)
        if now - self.rates_updated_at >= MIN_RATE_INTERVAL_MS:
            self.update_rates(now)

    def update_rates(self, now: float) -> None:
        """Work out the rates since the last time; each counts half against the one before."""
        elapsed_ms = now - self.rates_updated_at
        for target in self.counts.keys() | self.rates.keys():
            latest = self.counts.get(target, 0.0) / elapsed_ms
            self.rates[target] = (self.rates.get(target, latest) + latest) / 2.0
        self.counts.clear()
        self.rates_updated_at = now

    def is_suspect(self, targets: int) -> bool:
        """Say whether the observer finds most of `targets` sick, so that it is the suspect."""
        settings = self.settings
        failing = sum(cusum.score >= settings.suspect_score for cusum in self.cusums.values())
        return failing >= MIN_FAILING_TARGETS and failing > settings.suspect_share * targets

    def is_expired(self, now: float) -> bool:
        """Say whether it has not reported for long."""
        return now - self.last_report_at >= OBSERVER_EXPIRY_MS
