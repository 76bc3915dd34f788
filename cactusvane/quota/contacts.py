"""Decides which part of the fleet an entry is in contact with, from when it heard the others."""

from math import inf

from cactusvane.quota.reach import FULL_REACH, GroupKey, Reach
from cactusvane.quota.settings import QuotaSettings

RESUME_MS = 150.0
"""An isolated entry that receives something again stays isolated for this long.

After a pause of the process it first receives datagrams from the time of the pause.
"""

GROUP_RESUME_MS = 1_100.0
"""A silent group that reports again still counts as silent for this long.

Until then a report with all of its recent usage has arrived, so that its tokens are not given away.
"""

START_MS = 3_000.0
"""A started entry that hears no other one counts as isolated for this long, and then as alone."""

ASSUMED_GROUP_SIZE = 64
"""Members of its group that a started entry assumes until it hears one; the maximum."""

LARGE_GROUP = 8
"""Members from which one is heard within `isolation_ms` also without traffic.

An idle entry sends an update each second, so the relay of fewer entries hears them less often.
"""

UNHEARD_GROUP = -1
"""Number of the group that stands for a failure domain that was never heard."""


class Contacts:
    """When one entry last heard its own group and the others.

    Parameters
    ----------
    failure_domain
        Failure domain of this entry.
    failure_domains
        Names of all failure domains.
    settings
        Times after which silence counts.
    now
        Current time in milliseconds.
    is_first_start
        Whether the whole fleet starts for the first time, so that nothing was admitted before.

    Attributes
    ----------
    joined
        Whether another entry was heard since the start.
    heard_at
        Time of the latest message from an entry of the group.
    group_size
        Number of entries of the group, as of the time when it was last in contact.
    reported_at
        Time of the latest report of each other group.
    resumed_reports_at
        Time of the first report after a silence of each group that was silent.
    """

    def __init__(
        self,
        failure_domain: str,
        failure_domains: tuple[str, ...],
        settings: QuotaSettings,
        now: float,
        is_first_start: bool = True,
    ) -> None:
        self.settings = settings
        self.started_at = now
        self.joined = is_first_start
        self.heard_at = now
        self.resumed_at = -inf
        self.group_size = 1
        reported_at = now if is_first_start else -inf
        self.reported_at: dict[GroupKey, float] = {
            (domain, UNHEARD_GROUP): reported_at
            for domain in failure_domains
            if domain != failure_domain
        }
        self.resumed_reports_at: dict[GroupKey, float] = {}

    def heard(self, now: float) -> None:
        """Record a message from an entry of the group."""
        if self.joined and self.group_size > 1 and now - self.heard_at > self.timeout_ms():
            self.resumed_at = now
        self.joined = True
        self.heard_at = now

    def reported(self, group: GroupKey, now: float) -> None:
        """Record a report of another group."""
        self.reported_at.pop((group[0], UNHEARD_GROUP), None)
        if now - self.reported_at.get(group, now) > self.settings.report_timeout_ms:
            self.resumed_reports_at[group] = now
        self.reported_at[group] = now

    def timeout_ms(self) -> float:
        """Return the time without a message after which the entry counts as isolated."""
        if self.group_size >= LARGE_GROUP:
            return self.settings.isolation_ms
        return self.settings.peer_timeout_ms

    def is_isolated(self, now: float) -> bool:
        """Return whether this entry hears nothing of its own group."""
        if not self.joined:
            return now - self.started_at < START_MS
        if self.group_size <= 1:
            return False
        return now - self.heard_at > self.timeout_ms() or now - self.resumed_at < RESUME_MS

    def reach(self, now: float) -> Reach:
        """Return the part of the fleet that this entry is in contact with."""
        isolated = self.is_isolated(now)
        silent = tuple(
            group for group in self.reported_at if isolated or self.is_silent(group, now)
        )
        if not silent and not isolated:
            return FULL_REACH
        size = self.group_size if self.joined else ASSUMED_GROUP_SIZE
        own = 1.0 / size if isolated else 1.0
        share = (own + len(self.reported_at) - len(silent)) / (len(self.reported_at) + 1)
        silent_since = min(
            [self.reported_at[group] for group in silent],
            default=self.heard_at,
        )
        lasting = now - silent_since > self.settings.max_assumed_ms
        return Reach(share, isolated, silent, lasting)

    def is_silent(self, group: GroupKey, now: float) -> bool:
        """Return whether nothing is heard of a group, or was not until recently."""
        if now - self.reported_at[group] > self.settings.report_timeout_ms:
            return True
        return now - self.resumed_reports_at.get(group, -inf) < GROUP_RESUME_MS
