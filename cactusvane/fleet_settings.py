"""What one entry VM of a fleet is given: the platform's interfaces, and limits of the fleet."""

from dataclasses import dataclass

from cactusvane.following.decoder import TableDecoder
from cactusvane.following.directory import EntryDirectory
from cactusvane.following.follower import FollowSettings
from cactusvane.following.source import TableSource
from cactusvane.http.vocabulary import HeaderNames
from cactusvane.placement.retries import RetryLimit
from cactusvane.placement.settings import PlacementSettings

CONFIGURATION_TABLE = "configuration"
TARGETS_TABLE = "targets"

TICK_MS = 100.0
"""Interval of the periodic work of placement and of retained targets."""


@dataclass(frozen=True, slots=True)
class Platform:
    """The platform's interfaces that a process needs.

    Parameters
    ----------
    source
        Tables with the names `CONFIGURATION_TABLE` and `TARGETS_TABLE`.
    decoder
        Decoder of the tables' rows.
    directory
        Directory in which entries find each other.
    header_names
        Names of the header fields that targets understand.
    """

    source: TableSource
    decoder: TableDecoder
    directory: EntryDirectory
    header_names: HeaderNames


@dataclass(frozen=True, slots=True)
class QuotaLimits:
    """How exactly the quotas of customers are to be kept.

    Parameters
    ----------
    window_ms
        Length of the sliding window in which requests are counted.
    over_share
        Share by which a quota may be exceeded in a window.
    slack
        Requests by which it may be exceeded in addition.
    """

    window_ms: float = 5_000.0
    over_share: float = 0.1
    slack: float = 20.0


@dataclass(frozen=True, slots=True)
class FleetLimits:
    """Limits that apply to all entries of the fleet together.

    Parameters
    ----------
    retries
        Limit on the retries of each service.
    follow
        Times that determine how soon a change is known on all VMs.
    placement
        How requests are placed, and which share of a service's targets must stay in use.
    target_drain_ms
        Time from the notice that a target is leaving until it may get no more requests.
    failure_domains
        Names of all failure domains.
    target_lapse_ms
        Time after which the store drops the row of a silent target.
    revoke_ms
        Time after the removal of a key within which requests with it may still run; None if
        only the ordinary time of a change applies.
    quota
        How exactly quotas are to be kept; None if customers have none.
    bootstrap
        Whether all VMs start now for the first time.
    """

    retries: RetryLimit
    follow: FollowSettings
    placement: PlacementSettings
    target_drain_ms: float = 2_000.0
    target_lapse_ms: float = 4_500.0
    failure_domains: tuple[str, ...] = ()
    revoke_ms: float | None = None
    quota: QuotaLimits | None = None
    bootstrap: bool = False

    def max_retention_ms(self, connect_ms: float) -> float:
        """Return how long a target that may have left is retained.

        This VM may learn of the removal later than others, by two delays of batched changes. A
        request may be sent until the next tick, and reach the target after the connect timeout.
        """
        late_ms = 2.0 * self.follow.max_batch_delay_ms + TICK_MS + connect_ms
        return max(0.0, self.target_drain_ms - late_ms)
