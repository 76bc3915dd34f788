"""Expected latency of requests to the targets of one service."""

from cactusvane.placement.settings import PlacementSettings

LATEST_WEIGHT = 0.05
"""Weight of the latest response in a running mean, which covers some twenty responses."""

PRIOR_SAMPLES = 2
"""Number of responses that the prior counts for: a single response is little evidence."""


class LatencyEstimates:
    """Running means of latencies by kind of request and over all kinds.

    Parameters
    ----------
    settings
        Expected latency of a kind before any response.

    Examples
    --------
    >>> latencies = LatencyEstimates(PlacementSettings())
    >>> latencies.expected_ms("read", objective_ms=1_000.0)
    400.0
    >>> for _ in range(100):
    ...     latencies.record("read", 200.0, objective_ms=1_000.0)
    >>> round(latencies.expected_ms("read", objective_ms=1_000.0))
    200
    """

    def __init__(self, settings: PlacementSettings) -> None:
        self.settings = settings
        self.samples: dict[str, int] = {}
        self.means: dict[str, float] = {}
        self.overall_ms: float | None = None

    def record(self, kind: str, latency_ms: float, objective_ms: float) -> None:
        """Record the latency of one response."""
        samples = self.samples[kind] = self.samples.get(kind, PRIOR_SAMPLES) + 1
        weight = max(LATEST_WEIGHT, 1.0 / samples)
        previous_ms = self.expected_ms(kind, objective_ms)
        self.means[kind] = previous_ms + weight * (latency_ms - previous_ms)
        overall_ms = latency_ms if self.overall_ms is None else self.overall_ms
        self.overall_ms = overall_ms + LATEST_WEIGHT * (latency_ms - overall_ms)

    def expected_ms(self, kind: str, objective_ms: float) -> float:
        """Return the expected latency of a kind, in milliseconds."""
        return self.means.get(kind, self.settings.prior_latency_share * objective_ms)

    def mean_ms(self, default_ms: float) -> float:
        """Return the mean latency over all kinds in ms, or `default_ms` if there is none."""
        return default_ms if self.overall_ms is None else self.overall_ms
