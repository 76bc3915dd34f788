"""A keeper's view of one reporting entry: its request rates and whether it is credible."""

from collections.abc import Iterable

from cactusvane.fleet.vm import Address
from cactusvane.pool.evidence import Cusum
from cactusvane.pool.messages import TargetCounts
from cactusvane.pool.settings import PoolSettings

MIN_RATE_INTERVAL_MS = 500.0
"""Minimum time over which a rate is measured."""

OBSERVER_EXPIRY_MS = 300_000.0
"""An observer is removed after this long without a report; on idle services most report rarely."""

FAILING_SHARE = 0.5
"""Share of failures that the test for a failing target, as seen by one observer, detects."""

MIN_FAILING_TARGETS = 2
"""An observer that finds fewer targets failing is never the suspect."""


class Observer:
    """Request rates and evidence of one observer.

    Parameters
    ----------
    failure_domain
        Failure domain of the observer.
    settings
        Thresholds above which the observer is the suspect.
    now
        Time of its first report, in milliseconds.
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
        """Outcomes per millisecond, by target."""
        self.cusums: dict[Address, Cusum] = {}

    def add(self, report: Iterable[TargetCounts], now: float) -> None:
        """Record a report."""
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
        """Update the rates: the mean of the previous rate and the rate since the last update."""
        elapsed_ms = now - self.rates_updated_at
        for target in self.counts.keys() | self.rates.keys():
            latest = self.counts.get(target, 0.0) / elapsed_ms
            self.rates[target] = (self.rates.get(target, latest) + latest) / 2.0
        self.counts.clear()
        self.rates_updated_at = now

    def is_suspect(self, targets: int) -> bool:
        """Return whether the observer finds most of `targets` failing, so it is the suspect."""
        settings = self.settings
        failing = sum(cusum.score >= settings.suspect_score for cusum in self.cusums.values())
        return failing >= MIN_FAILING_TARGETS and failing > settings.suspect_share * targets

    def is_expired(self, now: float) -> bool:
        """Return whether the last report is older than `OBSERVER_EXPIRY_MS`."""
        return now - self.last_report_at >= OBSERVER_EXPIRY_MS
