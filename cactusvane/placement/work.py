"""How long requests usually take at the targets of one service."""

from cactusvane.placement.settings import PlacementSettings

LATEST_WEIGHT = 0.05
"""Weight of the latest answer in a mean; a mean goes by some twenty answers."""


class WorkTimes:
    """Running means by kind of request and over all.

    Parameters
    ----------
    settings
        What a kind is expected to take before any answer.

    Examples
    --------
    >>> times = WorkTimes(PlacementSettings())
    >>> times.expected("read", objective_ms=1_000.0)
    400.0
    >>> times.add("read", 200.0)
    >>> times.expected("read", objective_ms=1_000.0)
    200.0
    """

    def __init__(self, settings: PlacementSettings) -> None:
        self.settings = settings
        self.means: dict[str, float] = {}
        self.overall: float | None = None

    def add(self, kind: str, latency_ms: float) -> None:
        """Take in the time of one answer."""
        self.means[kind] = self.mix(self.means.get(kind), latency_ms)
        self.overall = self.mix(self.overall, latency_ms)

    def mix(self, mean: float | None, latency_ms: float) -> float:
        """Return `mean` moved towards the latest value."""
        return latency_ms if mean is None else mean + LATEST_WEIGHT * (latency_ms - mean)

    def expected(self, kind: str, objective_ms: float) -> float:
        """Return the usual time of a kind."""
        return self.means.get(kind, self.settings.work_share * objective_ms)

    def mean(self, default_ms: float) -> float:
        """Return the mean over all kinds."""
        return default_ms if self.overall is None else self.overall
