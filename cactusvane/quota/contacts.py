"""Decides which part of the fleet an entry is in contact with, from when it heard the others."""

from math import inf

from cactusvane.quota.reach import FULL_REACH, GroupKey, Reach
from cactusvane.quota.settings import QuotaSettings

RESUME_MS = 150.0
"""An isolated entry that receives something again stays isolated for this long.

After a pause of the process it first receives datagrams from the time of the pause.
"""

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

    Attributes
    ----------
    heard_at
        Time of the latest message from an entry of the group.
    group_size
        Number of entries of the group, as of the time when it was last in contact.
    reported_at
        Time of the latest report of each other group.
    """

    def __init__(
        self,
        failure_domain: str,
        failure_domains: tuple[str, ...],
        settings: QuotaSettings,
        now: float,
    ) -> None:
        self.settings = settings
        self.heard_at = now
        self.resumed_at = -inf
        self.group_size = 1
        self.reported_at: dict[GroupKey, float] = {
            (domain, UNHEARD_GROUP): now for domain in failure_domains if domain != failure_domain
        }

    def heard(self, now: float) -> None:
        """Record a message from an entry of the group."""
        if now - self.heard_at > self.timeout_ms():
            self.resumed_at = now
        self.heard_at = now

    def reported(self, group: GroupKey, now: float) -> None:
        """Record a report of another group."""
        self.reported_at.pop((group[0], UNHEARD_GROUP), None)
        self.reported_at[group] = now

    def timeout_ms(self) -> float:
        """Return the time without a message after which the entry counts as isolated."""
        if self.group_size >= LARGE_GROUP:
            return self.settings.isolation_ms
        return self.settings.peer_timeout_ms

    def is_isolated(self, now: float) -> bool:
        """Return whether this entry hears nothing of its own group."""
        if self.group_size <= 1:
            return False
        return now - self.heard_at > self.timeout_ms() or now - self.resumed_at < RESUME_MS

    def reach(self, now: float) -> Reach:
        """Return the part of the fleet that this entry is in contact with."""
        isolated = self.is_isolated(now)
        timeout_ms = self.settings.report_timeout_ms
        silent = tuple(
            group
            for group, reported_at in self.reported_at.items()
            if isolated or now - reported_at > timeout_ms
        )
        if not silent and not isolated:
            return FULL_REACH
        own = 1.0 / self.group_size if isolated else 1.0
        share = (own + len(self.reported_at) - len(silent)) / (len(self.reported_at) + 1)
        silent_since = min(
            [self.reported_at[group] for group in silent],
            default=self.heard_at,
        )
        lasting = now - silent_since > self.settings.max_assumed_ms
        return Reach(share, isolated, silent, lasting)

    def silent_since(self, group: GroupKey) -> float:
        """Return the time of the latest report of a group."""
        return self.reported_at.get(group, self.heard_at)
