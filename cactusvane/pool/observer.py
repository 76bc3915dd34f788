"""One entry as a keeper sees it: its usual traffic, and whether it is itself the suspect."""

from collections.abc import Iterable

from cactusvane.fleet.vm import Address
from cactusvane.pool.evidence import Excursion
from cactusvane.pool.messages import TargetCounts
from cactusvane.pool.settings import PoolSettings

RATE_GAP_MS = 500.0
"""Least time over which a rate is measured."""

GONE_MS = 300_000.0
"""An observer that reports nothing for so long is forgotten; at a quiet service most are silent."""

LOOKED_FOR = 0.5
"""The bad share that makes one observer call one target sick."""

FEWEST_TARGETS = 2


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
        "excursions",
        "failure_domain",
        "measured_at",
        "rates",
        "seen",
        "settings",
    )

    def __init__(self, failure_domain: str, settings: PoolSettings, now: float) -> None:
        self.failure_domain = failure_domain
        self.settings = settings
        self.seen = now
        self.measured_at = now
        self.counts: dict[Address, float] = {}
        self.rates: dict[Address, float] = {}
        """Outcomes per millisecond."""
        self.excursions: dict[Address, Excursion] = {}

    def add(self, reported: Iterable[TargetCounts], now: float) -> None:
        """Take in a report."""
        self.seen = now
        base = self.settings.failures.base_minimum
        for counts in reported:
            target = counts.target
            outcomes = max(counts.served + counts.failed, counts.in_time + counts.slow)
            self.counts[target] = self.counts.get(target, 0.0) + outcomes
            excursion = self.excursions.get(target)
            if excursion is None:
                excursion = self.excursions[target] = Excursion(LOOKED_FOR)
            excursion.add(counts.failed, counts.served, base)
        if now - self.measured_at >= RATE_GAP_MS:
            self.measure(now)

    def measure(self, now: float) -> None:
        """Work out the rates since the last time; each counts half against the one before."""
        passed = now - self.measured_at
        for target in self.counts.keys() | self.rates.keys():
            fresh = self.counts.get(target, 0.0) / passed
            self.rates[target] = (self.rates.get(target, fresh) + fresh) / 2.0
        self.counts.clear()
        self.measured_at = now

    def is_suspect(self, targets: int) -> bool:
        """Say whether the observer finds most of `targets` sick, so that it is the suspect."""
        settings = self.settings
        sick = sum(
            excursion.score >= settings.suspect_score for excursion in self.excursions.values()
        )
        return sick >= FEWEST_TARGETS and sick > settings.suspect_share * targets

    def is_gone(self, now: float) -> bool:
        """Say whether it has not reported for long."""
        return now - self.seen >= GONE_MS
