"""How long a request may take or wait at its cheapest target.

Performs no I/O; times are milliseconds of the process's monotonic clock.
"""

from cactusvane.placement.evidence import RecentOutcomes
from cactusvane.placement.latency import LatencyEstimates
from cactusvane.placement.messages import PlacementInputs, RequestProfile
from cactusvane.placement.settings import PlacementSettings
from cactusvane.placement.urgency import Urgency


class TimeLimits:
    """Limits on the time of one service's requests.

    Parameters
    ----------
    settings
        Shares of a request's time.
    latencies
        Expected latencies by kind of request.
    latency_outcomes
        Whether recent responses came within their latency objective.
    urgency
        Determines the most urgent requests.
    """

    def __init__(
        self,
        settings: PlacementSettings,
        latencies: LatencyEstimates,
        latency_outcomes: RecentOutcomes,
        urgency: Urgency,
    ) -> None:
        self.settings = settings
        self.latencies = latencies
        self.latency_outcomes = latency_outcomes
        self.urgency = urgency

    def is_too_late(
        self, profile: RequestProfile, inputs: PlacementInputs, expected_ms: float, now: float
    ) -> bool:
        """Return whether a request has too little time left even for its cheapest target.

        Without a queue, a request is tried while a response may come faster than expected. It is
        queued only while the expected response would be of use: in overload, a longer queue
        serves no more requests, and all of them later.
        """
        latency_ms = expected_ms * inputs.slowness
        if inputs.wait_ms == 0.0:
            return now + self.settings.min_latency_share * latency_ms > profile.deadline
        objective = profile.arrived + profile.latency_ms
        late_ratio = self.latency_outcomes.failure_share(now) / self.settings.max_late_share
        lateness_share = self.settings.lateness_share * max(-1.0, 1.0 - late_ratio)
        latest = objective + lateness_share * (profile.deadline - objective)
        return now + inputs.wait_ms + latency_ms > min(latest, profile.deadline)

    def max_wait_ms(self, profile: RequestProfile) -> float:
        """Return the maximum wait in a target's queue that the request may add to, in milliseconds.

        The most urgent requests, by customer and then by kind, may wait for as long as they have
        time. Any other may use only a part of the slack of the most urgent ones.
        """
        urgent = self.urgency.most_urgent(profile)
        if profile.rank <= urgent.rank:
            return profile.deadline - profile.arrived
        expected_ms = self.latencies.expected_ms(urgent.kind, urgent.latency_ms)
        slack_ms = max(0.0, urgent.latency_ms - expected_ms)
        return self.settings.reserve_share * slack_ms

    def max_share_wait_ms(self, profile: RequestProfile, expected_ms: float) -> float:
        """Return the maximum wait in a queue that a customer beyond its share may add to.

        It is 0 while a customer of a higher priority sends requests. For the most urgent requests
        it goes beyond what less urgent ones may use, as the route's priority goes before the share.
        """
        if self.urgency.most_urgent(profile).customer_priority < profile.customer_priority:
            return 0.0
        share = self.settings.over_share_wait
        if self.urgency.has_less_urgent(profile):
            share += self.settings.reserve_share
        return share * max(0.0, profile.latency_ms - expected_ms)
