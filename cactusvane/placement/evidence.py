"""Evidence from recent requests about one target or one service.

A target is modelled as being in one of two states, good or bad, and as changing its state by
itself from time to time (a hidden Markov model). Each outcome updates the probability of the bad
state by Bayes' rule; without outcomes the probability drifts back to its prior. So two consecutive
failures weigh heavily, however many successes came before them, and a target that gets no requests
loses its bad evidence within seconds.
"""

from math import exp, inf, log

from cactusvane.clock import MS_PER_SECOND
from cactusvane.placement.settings import PlacementSettings


class Evidence:
    """Probability that a target is bad, and how slow its responses are.

    Parameters
    ----------
    settings
        Failure shares of both states, their transition rates, and the half-life of slowness.

    Examples
    --------
    >>> evidence = Evidence(PlacementSettings())
    >>> for number in range(20):
    ...     evidence.record_success(1.0, now=250.0 * number)
    >>> round(evidence.failure_share(5_000.0), 2)
    0.02
    >>> evidence.record_failure(1.0, now=5_000.0)
    >>> evidence.record_failure(1.0, now=5_250.0)
    >>> evidence.failure_share(5_250.0) > 0.4
    True
    >>> evidence.failure_share(20_000.0) < 0.1
    True
    """

    __slots__ = (
        "updated_at",
        "bad_probability",
        "settings",
        "slowness_sum",
        "slowness_weight",
        "observed_at",
    )

    def __init__(self, settings: PlacementSettings) -> None:
        self.settings = settings
        self.updated_at = 0.0
        self.bad_probability = settings.prior_bad
        self.slowness_sum = 0.0
        self.slowness_weight = 0.0
        self.observed_at = -inf

    def advance(self, now: float) -> None:
        """Apply the drift of the probability and the decay of the slowness up to `now`."""
        elapsed_ms = now - self.updated_at
        if elapsed_ms <= 0.0:
            return
        settings = self.settings
        self.updated_at = now
        prior = settings.prior_bad
        rate = settings.onsets_per_s + settings.recoveries_per_s
        self.bad_probability = prior + (self.bad_probability - prior) * exp(
            -rate * elapsed_ms / MS_PER_SECOND
        )
        factor = 0.5 ** (elapsed_ms / settings.latency_half_life_ms)
        self.slowness_sum *= factor
        self.slowness_weight *= factor

    def record_success(self, slowness: float, now: float) -> None:
        """Record a response.

        Parameters
        ----------
        slowness
            Its latency as a multiple of the expected latency.
        now
            Current time in milliseconds (monotonic clock of the process).
        """
        self.advance(now)
        settings = self.settings
        self.apply_likelihood_ratio(
            (1.0 - settings.bad_failure_share) / (1.0 - settings.good_failure_share)
        )
        self.observed_at = now
        self.slowness_sum += slowness
        self.slowness_weight += 1.0

    def record_failure(self, weight: float, now: float) -> None:
        """Record a failure; a `weight` below 1 stands for uncertain evidence."""
        self.advance(now)
        settings = self.settings
        self.apply_likelihood_ratio(
            (settings.bad_failure_share / settings.good_failure_share) ** weight
        )
        self.observed_at = now

    def apply_likelihood_ratio(self, ratio: float) -> None:
        """Apply an outcome that is `ratio` times as likely in the bad state."""
        bad = self.bad_probability * ratio
        self.bad_probability = bad / (bad + 1.0 - self.bad_probability)

    def failure_share(self, now: float) -> float:
        """Return the expected share of requests that fail."""
        self.advance(now)
        settings = self.settings
        return (
            self.bad_probability * settings.bad_failure_share
            + (1.0 - self.bad_probability) * settings.good_failure_share
        )

    def slowness(self, now: float) -> float:
        """Return the latency at the target as a multiple of the expected latency."""
        self.advance(now)
        weight = self.settings.prior_weight
        return (self.slowness_sum + weight) / (self.slowness_weight + weight)

    def age(self, now: float) -> float | None:
        """Return the age of the latest outcome in milliseconds; None if there is none."""
        return None if self.observed_at == -inf else now - self.observed_at


RECENT_HALF_LIFE_MS = 1_000.0
"""Half-life of the outcomes that describe the current state of a service."""


class RecentOutcomes:
    """Exponentially decaying counts of the outcomes of a service's requests.

    Examples
    --------
    >>> outcomes = RecentOutcomes()
    >>> for good in (True, True, True, False):
    ...     outcomes.add(good, 0.0)
    >>> outcomes.failure_share(0.0)
    0.25
    """

    __slots__ = ("total", "updated_at", "failures")

    def __init__(self) -> None:
        self.updated_at = 0.0
        self.total = 0.0
        self.failures = 0.0

    def add(self, good: bool, now: float) -> None:
        """Add one outcome."""
        factor = 0.5 ** (max(0.0, now - self.updated_at) / RECENT_HALF_LIFE_MS)
        self.updated_at = max(self.updated_at, now)
        self.total = self.total * factor + 1.0
        self.failures = self.failures * factor + (not good)

    def failure_share(self, now: float) -> float:
        """Return the share of failures; 0 without any outcome."""
        return self.failures / self.total if self.total else 0.0

    def rate_per_s(self, now: float) -> float:
        """Return the recent rate of outcomes per second."""
        factor: float = 0.5 ** (max(0.0, now - self.updated_at) / RECENT_HALF_LIFE_MS)
        return self.total * factor * log(2.0) * MS_PER_SECOND / RECENT_HALF_LIFE_MS
