"""What recent requests say of one target; older ones count less and less."""

from math import inf

from cactusvane.placement.settings import PlacementSettings


class Evidence:
    """Decaying counts of good and bad outcomes, and of how slow the good ones were.

    Parameters
    ----------
    settings
        Half-life and prior.

    Examples
    --------
    >>> evidence = Evidence(PlacementSettings())
    >>> evidence.add_bad(1.0, now=0.0)
    >>> round(evidence.failure_share(0.0), 2), round(evidence.failure_share(10_000.0), 2)
    (0.51, 0.08)
    """

    __slots__ = ("at", "bad", "good", "settings", "slow_sum", "slow_weight", "told_at")

    def __init__(self, settings: PlacementSettings) -> None:
        self.settings = settings
        self.at = 0.0
        self.bad = 0.0
        self.good = 0.0
        self.slow_sum = 0.0
        self.slow_weight = 0.0
        self.told_at = -inf

    def decay(self, now: float) -> None:
        """Let the counts lose weight up to `now`."""
        passed = now - self.at
        if passed <= 0.0:
            return
        factor = 0.5 ** (passed / self.settings.half_life_ms)
        self.at = now
        self.bad *= factor
        self.good *= factor
        self.slow_sum *= factor
        self.slow_weight *= factor

    def add_good(self, slowness: float, now: float) -> None:
        """Note an answer.

        Parameters
        ----------
        slowness
            Its time as a multiple of the usual one.
        now
            Milliseconds of the process's clock.
        """
        self.decay(now)
        self.told_at = now
        self.good += 1.0
        self.slow_sum += slowness
        self.slow_weight += 1.0

    def add_bad(self, weight: float, now: float) -> None:
        """Note a failure."""
        self.decay(now)
        self.told_at = now
        self.bad += weight

    def failure_share(self, now: float) -> float:
        """Return the expected share of requests that fail."""
        self.decay(now)
        weight = self.settings.prior_weight
        prior = self.settings.prior_failures * weight
        return (self.bad + prior) / (self.bad + self.good + weight)

    def slowness(self, now: float) -> float:
        """Return the time of an answer as a multiple of the usual one."""
        self.decay(now)
        weight = self.settings.prior_weight
        return (self.slow_sum + weight) / (self.slow_weight + weight)

    def age(self, now: float) -> float | None:
        """Return the age of the latest outcome in milliseconds, None without any."""
        return None if self.told_at == -inf else now - self.told_at
