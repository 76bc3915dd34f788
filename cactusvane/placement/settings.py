"""Settings of placement, with all defaults."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """How loads and evidence become decisions.

    Parameters
    ----------
    good_failure_share, bad_failure_share
        Shares of failed requests of a target in the good state and of one in the bad state.
    onsets_per_s, recoveries_per_s
        Rates at which a good target turns bad and a bad one good; gray failures last some seconds.
    floor_share
        Share of the targets in the own failure domain that stays in use, whatever their evidence.
    cooldown_share
        Share of the remaining targets that may be in the long cooldown; the rest is reserved for
        failures that no entry sees.
    unused_ms, unused_extra_ms
        A target is probed after this time without a request, by an idempotent request; and
        after the extra time by any other request.
    cooldown_ms
        The same as `unused_ms` for targets that may be in the long cooldown.
    failure_memory_ms
        A target with a gray failure counts as capacity again after this time.
    probes_per_s
        Rate at which all entries together probe a target that is due for it.
    latency_half_life_ms
        Half-life of the weight of a response in a target's slowness.
    max_slowness
        Upper bound of what one response counts, as a multiple of the expected latency; the work of
        requests varies by as much.
    prior_weight
        Number of responses with the expected latency that the evidence of a target starts with.
    failure_cost
        Cost of a failed non-idempotent request, as a multiple of its remaining time.
    idempotent_failure_cost
        The same for an idempotent request, which may be retried.
    remote_cost_share
        Cost of a target in another failure domain, as a share of the route's latency objective.
    busy_cost_share
        Cost of a busy slot next to free ones, as a share of the expected latency.
    connect_cost_share
        Cost of a new connection compared to an idle one, as a share of that of a busy slot. It is
        below 1, so that an idle target is preferred to a busy one.
    affinity_cost_share
        Cost of a target outside the subset that this entry prefers, as a share of that of a busy
        slot; 0 for no preference.
    expected_work
        Whether a request is placed by its own expected work and the remaining work of the targets,
        instead of by the mean latencies of all requests.
    expected_work_where_mixed
        The same at services only whose routes differ much in their latency objectives.
    cold_factor
        Slowness of a target during warm-up.
    wait_share
        How long a request may wait for capacity, as a share of its latency objective.
    reserve_share
        Part of the slack of the most urgent kind that less urgent kinds may use.
    overdue_factor
        A request in flight for this multiple of the expected latency counts as evidence of
        failure.
    overdue_weight
        Weight of this evidence, in failed requests.
    stale_weight
        The same for a pooled connection that broke: the target may merely have closed it.
    unreachable_ms, unreachable_max_ms
        Initial and maximum backoff after a target could not be reached.
    unreachable_growth
        Factor on the backoff with each consecutive failure.
    prior_latency_share
        Expected latency of a kind before any response, as a share of its objective.
    min_latency_share
        Minimum latency that is assumed when a request is rejected as too late, as a share of the
        expected latency.
    lateness_share
        How far beyond its objective the expected response of a queued request may come, as a share
        of the time between the objective and the deadline.
    max_late_share
        Share of late responses at which a queued request must come within its objective; if the
        share is higher, earlier still.
    over_share_wait
        Maximum wait in a queue that requests beyond the fair share of their customer may add to, as
        a share of the time that their latency objective leaves.
    min_retry_after_ms, max_retry_after_ms
        Bounds of the time after which callers with a rejected request may retry.
    share_room
        Whether groups report their free slots to each other, and requests go to another failure
        domain that has some when their own has none.
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
    affinity_cost_share: float = 0.0
    expected_work: bool = False
    expected_work_where_mixed: bool = False
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
    over_share_wait: float = 0.35
    min_retry_after_ms: float = 100.0
    max_retry_after_ms: float = 1_000.0
    share_room: bool = False

    @property
    def prior_bad(self) -> float:
        """Share of time that a target is in the bad state without any evidence."""
        return self.onsets_per_s / (self.onsets_per_s + self.recoveries_per_s)
