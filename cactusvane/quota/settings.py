"""Settings of the quotas."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class QuotaSettings:
    """How usage that is reported late or not at all becomes decisions.

    Parameters
    ----------
    window_ms
        Length of the sliding window in which requests are counted.
    min_capacity
        Capacity of a bucket with a smaller burst, in requests. Customers with less than a request
        per second would otherwise be rejected for arrivals that are close together by chance; it
        is taken from the slack of the quota.
    peer_timeout_ms
        An entry of the group without an update for this long is assumed to go on as before.
    max_assumed_ms
        For how long it is.
    report_timeout_ms
        The same for the reports of another group.
    isolation_ms
        An entry that receives nothing for this long counts as isolated.
    """

    window_ms: float = 5_000.0
    min_capacity: float = 8.0
    peer_timeout_ms: float = 1_500.0
    max_assumed_ms: float = 5_000.0
    report_timeout_ms: float = 400.0
    isolation_ms: float = 500.0
