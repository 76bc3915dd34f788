"""Settings of placement, with every default in one place."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """How loads and evidence become decisions.

    Parameters
    ----------
    good_failures, bad_failures
        Shares of failed requests of a target that is good and of one that is bad.
    onsets_per_s, recoveries_per_s
        How often a good target turns bad and a bad one good; gray failures last some seconds.
    floor_share
        Share of the targets near by that stay in use, however they do.
    spared_share
        The part of the others that may rest for long; what no entry sees takes the rest.
    unused_ms, unused_more_ms
        After so long without a request a target is used again, by a request that may be repeated,
        and this much later by any other.
    spared_ms
        The same for targets that may rest for long.
    failed_ms
        A target that failed by itself counts as capacity again after this time.
    tries_per_s
        How often the entries together try a target that is to be used again.
    half_life_ms
        Time in which the slowness of answers loses half of its weight.
    most_slowness
        Most that one answer counts as a multiple of the usual time; works vary by as much.
    prior_weight
        Answers of the usual time that a target is credited with at first.
    failure_cost
        Cost of a failed non-idempotent request, as a multiple of the time it has left.
    retry_cost
        The same for an idempotent one, which may be sent again.
    far_share
        Cost of a target in another failure domain, as a share of the route's latency objective.
    spread_share
        Cost of a busy slot beside free ones, as a share of the work.
    connect_share
        Cost of a new connection beside one that rests, as a share of that of a busy slot: an idle
        target goes before a busy one.
    cold_factor
        How much slower a target is while it warms up.
    wait_share
        How long a request may wait for room, as a share of its latency objective.
    reserve_share
        The part of the time to spare of the most urgent kind that less urgent ones may use up.
    overdue_factor
        A request in flight for this multiple of the usual time speaks against its target.
    overdue_weight
        How much it does so, in failed requests.
    stale_weight
        The same for a kept connection that broke: the target may only have closed it.
    unreachable_ms, unreachable_most_ms
        How long a target that could not be reached is left alone at first, and at most.
    unreachable_growth
        Factor on this time with each failure in a row.
    work_share
        Usual time of a kind of request before any has ended, as a share of its objective.
    soonest_share
        Share of the usual time that an answer takes at least, as far as giving up goes.
    late_share
        How far beyond its objective the usual answer of a queued request may come, as a share of
        the time from there to its deadline.
    most_late
        Share of late answers at which a queued request must come within its objective; with more
        of them, earlier still.
    least_retry_after_ms, most_retry_after_ms
        Bounds of the time after which refused callers may come back.
    """

    good_failure_share: float = 0.02
    bad_failure_share: float = 0.6
    onsets_per_s: float = 0.01
    recoveries_per_s: float = 0.25
    floor_share: float = 0.7
    cooldown_share: float = 0.5
    unused_ms: float = 1_100.0
    unused_extra_ms: float = 150.0
    cooldown_ms: float = 4_000.0
    failure_memory_ms: float = 2_000.0
    probes_per_s: float = 6.0
    latency_half_life_ms: float = 2_500.0
    max_slowness: float = 4.0
    prior_weight: float = 1.0
    failure_cost: float = 1.0
    idempotent_failure_cost: float = 0.9
    remote_cost_share: float = 0.6
    busy_cost_share: float = 0.3
    connect_cost_share: float = 0.8
    cold_factor: float = 2.0
    wait_share: float = 0.125
    reserve_share: float = 0.5
    overdue_factor: float = 4.0
    overdue_weight: float = 0.5
    stale_weight: float = 0.5
    unreachable_ms: float = 1_000.0
    unreachable_max_ms: float = 8_000.0
    unreachable_growth: float = 2.0
    prior_latency_share: float = 0.4
    min_latency_share: float = 0.5
    lateness_share: float = 0.25
    max_late_share: float = 0.2
    min_retry_after_ms: float = 100.0
    max_retry_after_ms: float = 1_000.0

    @property
    def prior_bad(self) -> float:
        """Share of time that a target is bad."""
        return self.onsets_per_s / (self.onsets_per_s + self.recoveries_per_s)
