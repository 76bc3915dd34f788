"""Costs of sending a request to a target, in milliseconds of its caller's time."""

from random import Random

from cactusvane.placement.messages import PlacementInputs, RequestProfile
from cactusvane.placement.settings import PlacementSettings
from cactusvane.placement.target import Target

TIE_BREAK_SHARE = 0.05
"""Random part of a cost, as a share of the expected latency, so that equal targets share evenly."""


class TargetCosts:
    """Costs of targets, as seen from one failure domain.

    Parameters
    ----------
    failure_domain
        Failure domain of this VM.
    random
        Source of the random part of a cost.
    settings
        Weights of the costs.
    """

    def __init__(self, failure_domain: str, random: Random, settings: PlacementSettings) -> None:
        self.failure_domain = failure_domain
        self.random = random
        self.settings = settings

    def cost(
        self,
        target: Target,
        inputs: PlacementInputs,
        profile: RequestProfile,
        expected_ms: float,
        now: float,
    ) -> float:
        """Return the cost for the caller of sending the request to this target, in milliseconds."""
        settings = self.settings
        factor = (
            settings.failure_cost if not profile.idempotent else settings.idempotent_failure_cost
        )
        failure = inputs.failure_share * factor * max(0.0, profile.deadline - now)
        busy = self.busy_cost(target.load, target, expected_ms)
        is_remote = target.vm.failure_domain != self.failure_domain
        remote = settings.remote_cost_share * profile.latency_ms if is_remote else 0.0
        tie_break = self.random.random() * TIE_BREAK_SHARE * expected_ms
        return inputs.wait_ms + expected_ms * inputs.slowness + busy + failure + remote + tie_break

    def busy_cost(self, load: int, target: Target, expected_ms: float) -> float:
        """Return the cost that a number of requests in flight adds to a target, in milliseconds."""
        return load / target.slots * self.settings.busy_cost_share * expected_ms

    def connect_cost(
        self, target: Target, idle_ms: float | None, max_idle_ms: float, expected_ms: float
    ) -> float:
        """Return the cost of a new connection to a target in milliseconds; 0 if one is idle.

        Parameters
        ----------
        target
            The target.
        idle_ms
            How long a connection to it has been idle, in milliseconds; None if there is none.
        max_idle_ms
            How long a connection may have been idle to be used, in milliseconds.
        expected_ms
            Expected time of the request without a queue, in milliseconds.
        """
        if idle_ms is not None and idle_ms <= max_idle_ms:
            return 0.0
        return self.settings.connect_cost_share * self.busy_cost(1, target, expected_ms)

    def affinity_cost(
        self, target: Target, preferred: frozenset[str] | None, expected_ms: float
    ) -> float:
        """Return the cost of a target by whether this entry prefers it, in milliseconds."""
        if preferred is None or target.vm.name in preferred:
            return 0.0
        return self.settings.affinity_cost_share * self.busy_cost(1, target, expected_ms)
