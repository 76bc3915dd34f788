"""What is expected of a service's requests and targets: work, latency, queue and slowness.

Performs no I/O; times are milliseconds of the process's monotonic clock.
"""

from cactusvane.placement import features
from cactusvane.placement.latency import LatencyEstimates
from cactusvane.placement.messages import (
    Observation,
    PlacementInputs,
    RequestProfile,
    WorkInputs,
)
from cactusvane.placement.settings import PlacementSettings
from cactusvane.placement.target import Target
from cactusvane.placement.work import Estimate, RunningWork, WorkEstimates, service_share


class ServiceEstimates:
    """Estimates for the requests and targets of one service.

    Parameters
    ----------
    settings
        Priors and factors of the estimates.

    Attributes
    ----------
    latencies
        Expected latencies by kind of request.
    work
        Expected work of requests; None unless the settings ask for it.

    Examples
    --------
    >>> estimates = ServiceEstimates(PlacementSettings())
    >>> estimates.congestion()
    1.0
    >>> estimates.overdue_ms("read", 1_000.0) == (
    ...     estimates.settings.overdue_factor * estimates.latencies.expected_ms("read", 1_000.0)
    ... )
    True
    """

    def __init__(self, settings: PlacementSettings) -> None:
        self.settings = settings
        self.latencies = LatencyEstimates(settings)
        self.work = WorkEstimates(settings) if settings.expected_work else None

    def set_mixed(self, mixed: bool) -> None:
        """Apply whether the service's routes differ much; what was learned is kept while they do.

        Parameters
        ----------
        mixed
            Whether requests of the service are likely to cost very different amounts of work.
        """
        settings = self.settings
        if not settings.expected_work and not (settings.expected_work_where_mixed and mixed):
            self.work = None
        elif self.work is None:
            self.work = WorkEstimates(settings)

    def estimate(self, profile: RequestProfile, objective_ms: float) -> Estimate | None:
        """Return the expected work of a request; None unless the settings ask for it."""
        if self.work is None:
            return None
        packed = features.pack(profile.features, profile.customer)
        return self.work.estimate(profile.kind, packed, objective_ms)

    def expected_ms(
        self, profile: RequestProfile, objective_ms: float, estimate: Estimate | None
    ) -> float:
        """Return the expected time of a request at a target without a queue, in milliseconds."""
        if estimate is not None:
            return estimate.mean_ms * self.congestion()
        return self.latencies.expected_ms(profile.kind, objective_ms)

    def work_inputs(self, target: Target, estimate: Estimate, now: float) -> WorkInputs:
        """Return an estimate and the remaining work of the chosen target, for the log."""
        return WorkInputs(
            expected_ms=round(estimate.mean_ms, 1),
            spread=round(estimate.spread, 2),
            samples=estimate.samples,
            source=estimate.source,
            remaining_ms=round(self.remaining_ms(target, estimate.mean_ms, now), 1),
        )

    def remaining_ms(self, target: Target, default_ms: float, now: float) -> float:
        """Return the expected remaining work of a target's requests in flight, in milliseconds."""
        if self.work is None:
            return target.load * self.latencies.mean_ms(default_ms)
        return target.remaining_ms(self.work.mean_ms(default_ms), now)

    def slowness(self, target: Target, now: float) -> float:
        """Return the latency at a target as a multiple of the expected latency."""
        slowness = target.evidence.slowness(now)
        if now >= target.cold_until:
            return slowness
        cold = self.settings.cold_factor
        if self.work is not None:
            cold = 1.0 + (cold - 1.0) * (target.cold_until - now) / target.vm.warm_up_ms
        return max(slowness, cold)

    def wait_ms(self, target: Target, expected_ms: float, now: float) -> float:
        """Return the expected time in a target's queue at usual speed, in milliseconds."""
        queued = target.load + 1 - target.slots
        if queued <= 0:
            return 0.0
        if self.work is None:
            return queued / target.slots * self.latencies.mean_ms(expected_ms)
        remaining_ms = self.remaining_ms(target, expected_ms, now)
        return queued / target.slots * remaining_ms / target.load * self.congestion()

    def congestion(self) -> float:
        """Return the mean latency as a multiple of the mean work; 1 without any response.

        The present congestion is a forecast of that which a request meets. Without this factor,
        0.756 of the worth was served at a load of 1.2, and 0.811 with it.
        """
        if self.work is None or self.work.overall is None:
            return 1.0
        work_ms = max(1.0, self.work.overall.mean)
        return max(1.0, self.latencies.mean_ms(work_ms) / work_ms)

    def inputs(self, target: Target, expected_ms: float, now: float) -> PlacementInputs:
        """Return what is known of a target."""
        slowness = self.slowness(target, now)
        wait_ms = self.wait_ms(target, expected_ms, now) * slowness
        failure_share = target.evidence.failure_share(now)
        return PlacementInputs(
            load=target.load,
            slots=target.slots,
            failure_share=failure_share,
            slowness=slowness,
            wait_ms=wait_ms,
            evidence_age_ms=target.evidence.age(now),
            unused_ms=now - target.used_at,
            failed_ago_ms=target.ms_since_failure(now),
        )

    def service_ms(self, target: Target, observation: Observation, now: float) -> float:
        """Return the part of a latency that was not spent in the target's queue, in milliseconds.

        If the entry that sent the request does not tell, the present queue is assumed.
        """
        if observation.service_ms:
            return observation.service_ms
        latency_ms = observation.latency_ms
        wait_ms = self.wait_ms(target, latency_ms, now) * target.evidence.slowness(now)
        wait_ms /= self.congestion()
        return service_share(latency_ms, wait_ms)

    def overdue_ms(
        self, kind: str, objective_ms: float, running: RunningWork | None = None
    ) -> float:
        """Return the time after which a request in flight counts as evidence of failure.

        Parameters
        ----------
        kind
            Kind of request.
        objective_ms
            Its latency objective in milliseconds.
        running
            The request, if its expected work is known.
        """
        expected_ms = self.latencies.expected_ms(kind, objective_ms)
        if running is not None:
            expected_ms = max(expected_ms, running.expected_ms)
        return self.settings.overdue_factor * expected_ms
