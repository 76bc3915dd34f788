"""Fair sharing between customers in the decisions about one service's requests.

Without customers nothing is counted or held back. Performs no I/O; times are milliseconds of the
process's monotonic clock.
"""

from collections.abc import Callable, Collection
from dataclasses import replace

from cactusvane.placement.deferral import Deferral
from cactusvane.placement.fair_share import Capacity, ServiceShares, StartedWork
from cactusvane.placement.latency import LatencyEstimates
from cactusvane.placement.messages import Reject, RequestProfile, Wait
from cactusvane.placement.time_limits import TimeLimits


class ShareDecisions:
    """Decisions by the fair shares of customers.

    Parameters
    ----------
    latencies
        Expected latencies by kind of request.
    limits
        How long a request may wait at a target.
    deferral
        Whether a request that is not sent now waits or is rejected.
    measure
        Returns the capacity of the service at the given time.

    Attributes
    ----------
    shares
        Work of customers in flight, and their fair shares; None if the configuration has none.
    """

    def __init__(
        self,
        latencies: LatencyEstimates,
        limits: TimeLimits,
        deferral: Deferral,
        measure: Callable[[float], Capacity],
    ) -> None:
        self.latencies = latencies
        self.limits = limits
        self.deferral = deferral
        self.measure = measure
        self.shares: ServiceShares | None = None

    def start_work(self, profile: RequestProfile) -> StartedWork | None:
        """Count the expected work of a request that is sent; None if there are no customers."""
        if self.shares is None:
            return None
        expected_ms = self.latencies.expected_ms(profile.kind, profile.latency_ms)
        return self.shares.start(profile.customer, expected_ms)

    def over_share(self, profiles: Collection[RequestProfile], now: float) -> set[RequestProfile]:
        """Return those requests that take their customers beyond their fair shares."""
        if self.shares is None or not profiles:
            return set()
        capacity = self.measure(now)
        return {
            profile
            for profile in profiles
            if self.shares.is_beyond(
                profile, self.latencies.expected_ms(profile.kind, profile.latency_ms), capacity
            )
        }

    def is_held_back(
        self, profile: RequestProfile, wait_ms: float, expected_ms: float, now: float
    ) -> bool:
        """Return whether a request leaves a queue of this length to the other customers."""
        if self.shares is None or wait_ms <= self.limits.max_share_wait_ms(profile, expected_ms):
            return False
        return self.shares.is_beyond(profile, expected_ms, self.measure(now))

    def wait_or_reject(
        self, profile: RequestProfile, wait_ms: float, expected_ms: float, now: float
    ) -> Wait | Reject:
        """Return the decision about a request that is held back for its customer's share."""
        decision = self.deferral.wait_or_reject(profile, "over-share", wait_ms, now)
        if isinstance(decision, Reject) and self.shares is not None:
            inputs = self.shares.inputs(profile, expected_ms, self.measure(now), now)
            return replace(decision, share=inputs)
        return decision
