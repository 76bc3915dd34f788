"""How long requests usually take at the targets of one service."""

from cactusvane.placement.settings import PlacementSettings

LATEST_WEIGHT = 0.05
"""Weight of the latest answer in a mean; a mean goes by some twenty answers."""

PRIOR_ANSWERS = 2
"""Answers that what is expected before any of them counts for: one answer alone says little."""


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
    >>> for _ in range(100):
    ...     times.add("read", 200.0, objective_ms=1_000.0)
    >>> round(times.expected("read", objective_ms=1_000.0))
    200
    """

    def __init__(self, settings: PlacementSettings) -> None:
        self.settings = settings
        self.answers: dict[str, int] = {}
        self.means: dict[str, float] = {}
        self.overall: float | None = None

    def add(self, kind: str, latency_ms: float, objective_ms: float) -> None:
        """Take in the time of one answer."""
        answers = self.answers[kind] = self.answers.get(kind, PRIOR_ANSWERS) + 1
        weight = max(LATEST_WEIGHT, 1.0 / answers)
        before = self.expected(kind, objective_ms)
        self.means[kind] = before + weight * (latency_ms - before)
        overall = latency_ms if self.overall is None else self.overall
        self.overall = overall + LATEST_WEIGHT * (latency_ms - overall)

    def expected(self, kind: str, objective_ms: float) -> float:
        """Return the usual time of a kind."""
        return self.means.get(kind, self.settings.work_share * objective_ms)

    def mean(self, default_ms: float) -> float:
        """Return the mean over all kinds."""
        return default_ms if self.overall is None else self.overall
