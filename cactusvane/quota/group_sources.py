"""Usage of the other groups, which one entry of each reports."""

from collections.abc import Iterator

from cactusvane.placement.messages import DomainReport
from cactusvane.quota.reach import GroupKey
from cactusvane.quota.settings import QuotaSettings
from cactusvane.quota.usage import UsageChange, UsageSource

REPORTER_CHANGE_MS = 250.0
"""A group is reported on by another entry after this time without a report of the previous one.

Longer than two reports, and shorter than the time after which the group counts as silent.
"""


def is_reporter(source: UsageSource, report: DomainReport) -> bool:
    """Return whether a report comes from the process that reported before."""
    return source.sender == report.sender and source.started == report.started


class GroupSources:
    """The latest reports of all other groups.

    Parameters
    ----------
    settings
        For how long the usage of a silent group is assumed.

    Attributes
    ----------
    sources
        What the reporter of each group last reported.
    """

    def __init__(self, settings: QuotaSettings) -> None:
        self.settings = settings
        self.sources: dict[GroupKey, UsageSource] = {}

    def accepts(self, report: DomainReport, now: float) -> bool:
        """Return whether to apply a report: it is new, and from the only reporter at the time."""
        source = self.sources.get((report.failure_domain, report.group))
        if source is None:
            return True
        if is_reporter(source, report):
            return report.number > source.number
        return now - source.seen_at >= REPORTER_CHANGE_MS

    def apply(self, report: DomainReport, is_new_fleet: bool, now: float) -> Iterator[UsageChange]:
        """Apply a report, and return the usage that was not known before.

        Parameters
        ----------
        report
            A report that `accepts` returned True for.
        is_new_fleet
            Whether all entries have started recently, so that all counts are recent.
        now
            Current time in milliseconds.
        """
        group = (report.failure_domain, report.group)
        source = self.sources.get(group)
        is_first = source is None and is_new_fleet
        if source is None or now - source.seen_at > self.settings.max_assumed_ms:
            source = UsageSource(report.sender, report.started, is_first, now, now)
            is_baseline = not is_first
        elif is_reporter(source, report):
            is_baseline = False
        else:
            yield from self.assume_gap(source, now)
            source = self.successor(source, report, now)
            is_baseline = True
        self.sources[group] = source
        source.number = report.number
        yield from source.apply(report.usage, is_baseline, now)

    def assume_gap(self, before: UsageSource, now: float) -> Iterator[UsageChange]:
        """Return the assumed usage since the last report of a previous reporter."""
        yield from before.assume(min(now, before.seen_at + self.settings.max_assumed_ms))

    def successor(self, before: UsageSource, report: DomainReport, now: float) -> UsageSource:
        """Return the source for another reporter, whose counts are only comparable with its own."""
        source = UsageSource(report.sender, report.started, False, now, now)
        for customer, usage in report.usage.items():
            known = before.known.get(customer)
            if known is not None:
                known.usage, known.assumed = usage, 0.0
                source.known[customer] = known
        return source
