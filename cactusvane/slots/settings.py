"""Settings of slots, shared by entries and keepers."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SlotSettings:
    """Times in milliseconds, bounds and weights.

    Parameters
    ----------
    busy_share
        Share of requests that found no slot at once, above which an entry asks before it sends.
    report_share
        The same share, above which an entry reports what it runs without credits.
    shed_share_weight
        Weight of the latest request in that share.
    max_attempts
        Targets that a request tries without a credit.
    max_queue
        Requests that may wait at one entry for one service.
    max_credits
        Most credits that an entry wants at once.
    lease_ms
        Lease of a credit.
    keeper_timeout_ms
        A keeper that has not answered an ask after this time is late.
    keeper_retry_ms
        A late keeper is asked again after this time.
    backoff_ms
        Pause after a shed without a keeper.
    full_cooldown_ms
        How long a keeper passes over a target that shed.
    reclaim_delay_ms
        How long after the lease a keeper counts an unreturned credit as in use.
    starvation_ms
        An entry that has waited longer at the keeper goes before entries nearer to the slot.
    slot_recovery_ms
        Time in which a target's limit grows by one slot.
    slow_factor
        A target this many times slower than the service's usual latency loses a slot.
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
