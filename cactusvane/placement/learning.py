"""What is learned from the results of attempts: evidence, latencies and work.

Performs no I/O; times are milliseconds of the process's monotonic clock.
"""

from cactusvane.outcome import Outcome
from cactusvane.placement import features
from cactusvane.placement.estimates import ServiceEstimates
from cactusvane.placement.evidence import RecentOutcomes
from cactusvane.placement.idle import IdleLimit
from cactusvane.placement.messages import Observation, RequestProfile
from cactusvane.placement.settings import PlacementSettings
from cactusvane.placement.target import Target
from cactusvane.placement.work import RunningWork, WorkEstimates

FAILURE_OUTCOMES = frozenset({Outcome.FAILED, Outcome.BROKEN, Outcome.TIMED_OUT})
"""Outcomes that count as evidence of failure of a target that was reached."""


class ObservationRecorder:
    """Applies the results of attempts to the estimates and targets of one service.

    Parameters
    ----------
    settings
        Weights of the evidence.
    estimates
        Estimates that learn from responses.

    Attributes
    ----------
    profiles
        Latest request of each kind.
    outcomes
        Recent outcomes of the service's requests, including rejections.
    latency_outcomes
        Whether recent responses came within their latency objective.
    idle_limit
        How long connections may be idle before they are reused.
    """

    def __init__(self, settings: PlacementSettings, estimates: ServiceEstimates) -> None:
        self.settings = settings
        self.estimates = estimates
        self.profiles: dict[str, RequestProfile] = {}
        self.outcomes = RecentOutcomes()
        self.latency_outcomes = RecentOutcomes()
        self.idle_limit = IdleLimit()

    def record_start(
        self, target: Target, profile: RequestProfile | None, wait_ms: float, now: float
    ) -> RunningWork | None:
        """Record that this entry sent a request to a target.

        Parameters
        ----------
        target, profile, wait_ms, now
            As for `Placement.record_start`.

        Returns
        -------
        RunningWork or None
            The request in flight; None unless the settings ask for its work.
        """
        target.own_load += 1
        target.used_at = now
        work = self.estimates.work
        if work is None or profile is None:
            return None
        packed = features.pack(profile.features, profile.customer)
        estimate = work.estimate(profile.kind, packed, profile.latency_ms)
        wait_ms /= self.estimates.congestion()
        running = RunningWork(estimate.mean_ms, wait_ms, now + wait_ms, packed, estimate.spread)
        target.own_work.add(running)
        return running

    def record_end(
        self, target: Target, observation: Observation, now: float, running: RunningWork | None
    ) -> None:
        """Record the end of one of this entry's attempts at a target.

        Parameters
        ----------
        target, observation, now, running
            As for `Placement.record_end`.
        """
        target.own_load = max(0, target.own_load - 1)
        if running is not None:
            target.own_work.discard(running)
        match observation.outcome:
            case Outcome.UNREACHABLE:
                target.record_unreachable(now)
            case Outcome.DRAINING:
                target.misplaced = True
            case _:
                target.record_connected()
        self.record(target, observation, now)

    def record(self, target: Target, observation: Observation, now: float) -> None:
        """Apply the result of an attempt of any entry at a target."""
        if observation.outcome is not None:
            target.used_at = max(target.used_at, now - observation.latency_ms)
            self.outcomes.add(observation.outcome is Outcome.SERVED, now)
        if observation.outcome is None:
            target.record_failure(self.settings.overdue_weight, now)
        elif observation.outcome is Outcome.STALE:
            target.record_failure(self.settings.stale_weight, now)
            self.idle_limit.record_loss(observation.latency_ms, now)
        elif observation.outcome in FAILURE_OUTCOMES:
            target.record_failure(1.0, now)
            self.record_work_bound(target, observation, now)
        elif observation.outcome is Outcome.SERVED:
            self.record_latency(target, observation, now)

    def record_latency(self, target: Target, observation: Observation, now: float) -> None:
        """Apply the latency of a response; that of a cold target is no evidence."""
        if now < target.cold_until:
            target.evidence.record_success(1.0, now)
            return
        profile = self.profiles.get(observation.kind)
        objective = observation.latency_ms if profile is None else profile.latency_ms
        expected_ms = self.estimates.latencies.expected_ms(observation.kind, objective)
        self.latency_outcomes.add(observation.latency_ms <= objective, now)
        self.estimates.latencies.record(observation.kind, observation.latency_ms, objective)
        slowness = observation.latency_ms / max(1.0, expected_ms)
        if self.estimates.work is not None:
            slowness = self.record_work(self.estimates.work, target, observation, objective, now)
        target.evidence.record_success(min(self.settings.max_slowness, slowness), now)

    def record_work(
        self,
        work: WorkEstimates,
        target: Target,
        observation: Observation,
        objective_ms: float,
        now: float,
    ) -> float:
        """Learn from a response how much work its request was.

        Returns
        -------
        float
            Its latency without the expected wait, as a multiple of the expected work.
        """
        service_ms = self.estimates.service_ms(target, observation, now)
        kind, packed = observation.kind, observation.packed
        expected_ms = work.estimate(kind, packed, objective_ms).mean_ms
        slowness = target.evidence.slowness(now)
        work.record(kind, packed, work.at_usual_speed(service_ms, slowness), objective_ms)
        work.usual_slowness.record(slowness)
        return service_ms / max(1.0, expected_ms)

    def record_work_bound(self, target: Target, observation: Observation, now: float) -> None:
        """Learn from an attempt that timed out that its request was more work than that."""
        work = self.estimates.work
        if work is None or observation.outcome is not Outcome.TIMED_OUT:
            return
        profile = self.profiles.get(observation.kind)
        objective_ms = observation.latency_ms if profile is None else profile.latency_ms
        service_ms = self.estimates.service_ms(target, observation, now)
        bound_ms = work.at_usual_speed(service_ms, target.evidence.slowness(now))
        work.record_bound(observation.kind, observation.packed, bound_ms, objective_ms)
