"""Settings of slot sharing, for entries and keepers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SlotSettings:
    """Settings of slot sharing; times are in milliseconds.

    Parameters
    ----------
    busy_share
        Share of requests that found no slot at once from which an entry queues requests for
        credits instead of sending them at once.
    report_share
        The same share, from which an entry reports its requests without credits.
    shed_share_weight
        Weight of the latest request in that share, a moving average.
    max_attempts
        Maximum number of attempts of a request without a credit before it is queued.
    max_queue
        Maximum number of requests that wait on one entry for one service.
    max_credits
        Maximum number of credits that an entry requests at once.
    lease_ms
        Lease of a credit.
    keeper_timeout_ms
        A keeper that has not responded to a credit request within this time is late.
    keeper_retry_ms
        Time after which a late keeper is sent a request again.
    backoff_ms
        Mean pause after a shed request while there is no keeper.
    full_cooldown_ms
        Time for which a keeper skips a target that shed a request.
    reclaim_delay_ms
        Time after the end of its lease for which a credit that was not returned counts as in use.
    starvation_ms
        An entry that has waited longer than this gets a slot before entries in the failure domain
        of the slot.
    slot_recovery_ms
        Time in which a target's limit recovers one slot.
    slow_factor
        A target whose latency exceeds this multiple of the service's expected latency loses a
        slot.
    """

    busy_share: float = 0.7
    report_share: float = 0.1
    shed_share_weight: float = 0.05
    max_attempts: int = 6
    max_queue: int = 64
    max_credits: int = 4
    lease_ms: float = 100.0
    keeper_timeout_ms: float = 10.0
    keeper_retry_ms: float = 1_000.0
    backoff_ms: float = 8.0
    full_cooldown_ms: float = 1.0
    reclaim_delay_ms: float = 500.0
    starvation_ms: float = 400.0
    slot_recovery_ms: float = 100.0
    slow_factor: float = 3.0
