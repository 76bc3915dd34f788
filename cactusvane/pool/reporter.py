"""Reports of an entry to the keeper: failures at once, successes as periodic sums."""

from random import Random

from cactusvane.fleet.vm import Address
from cactusvane.pool.messages import ReportEvidence, TargetCounts
from cactusvane.pool.settings import PoolSettings


class Reporter:
    """Collects outcome counts until the next report.

    Parameters
    ----------
    service
        Name of the service.
    settings
        Report intervals.
    random
        Source of the jitter that spreads the reports of many VMs over time.
    """

    def __init__(self, service: str, settings: PoolSettings, random: Random) -> None:
        self.service = service
        self.settings = settings
        self.counts: dict[Address, TargetCounts] = {}
        self.urgent: set[Address] = set()
        self.summary_at = random.random() * settings.summary_interval_ms
        self.urgent_at = 0.0

    def add(self, counts: TargetCounts) -> None:
        """Add outcome counts of one target; failures and slow outcomes make it urgent."""
        earlier = self.counts.get(counts.target)
        if earlier is not None:
            counts = TargetCounts(
                counts.target,
                earlier.served + counts.served,
                earlier.failed + counts.failed,
                earlier.in_time + counts.in_time,
                earlier.slow + counts.slow,
                earlier.trial or counts.trial,
            )
        self.counts[counts.target] = counts
        if counts.failed or counts.slow:
            self.urgent.add(counts.target)

    def pending_report(self, now: float) -> tuple[ReportEvidence, ...]:
        """Return the report to send at `now`, if any."""
        if now >= self.summary_at:
            self.summary_at = now + self.settings.summary_interval_ms
            return self.take_report(tuple(self.counts))
        if self.urgent and now >= self.urgent_at:
            self.urgent_at = now + self.settings.urgent_interval_ms
            return self.take_report(tuple(self.urgent))
        return ()

    def take_report(self, targets: tuple[Address, ...]) -> tuple[ReportEvidence, ...]:
        """Return a report on `targets` and remove their counts."""
        counts = tuple(self.counts.pop(target) for target in targets)
        self.urgent.difference_update(targets)
        return (ReportEvidence(self.service, counts),) if counts else ()

    def discard(self) -> None:
        """Remove all counts without a report."""
        self.counts.clear()
        self.urgent.clear()
