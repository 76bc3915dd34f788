"""What recent requests say of one target.

A target is taken to be in one of two states, good or bad, and to change by itself from time to
time (a hidden Markov model). Each outcome shifts the probability of the bad state by Bayes' rule;
without outcomes it drifts to what is usual. So two failures in a row weigh heavily, however many
answers came before them, and a target that is left alone is forgiven within seconds.
"""

from math import exp, inf, log

from cactusvane.clock import MS_PER_SECOND
from cactusvane.placement.settings import PlacementSettings


class Evidence:
    """Probability that a target is bad, and how slow its answers are.

    Parameters
    ----------
    settings
        Failures in both states, how long each lasts, and the half-life of slowness.

    Examples
    --------
    >>> evidence = Evidence(PlacementSettings())
    >>> for number in range(20):
    ...     evidence.add_good(1.0, now=250.0 * number)
    >>> round(evidence.failure_share(5_000.0), 2)
    0.02
    >>> evidence.add_bad(1.0, now=5_000.0)
    >>> evidence.add_bad(1.0, now=5_250.0)
    >>> evidence.failure_share(5_250.0) > 0.4
    True
    >>> evidence.failure_share(20_000.0) < 0.1
    True
    """

    __slots__ = ("at", "bad", "settings", "slow_sum", "slow_weight", "told_at")

    def __init__(self, settings: PlacementSettings) -> None:
        self.settings = settings
        self.at = 0.0
        self.bad = settings.usually_bad
        self.slow_sum = 0.0
        self.slow_weight = 0.0
        self.told_at = -inf

    def pass_time(self, now: float) -> None:
        """Let the probability drift and slowness lose weight up to `now`."""
        passed = now - self.at
        if passed <= 0.0:
            return
        settings = self.settings
        self.at = now
        usual = settings.usually_bad
        rate = settings.onsets_per_s + settings.recoveries_per_s
        self.bad = usual + (self.bad - usual) * exp(-rate * passed / MS_PER_SECOND)
        factor = 0.5 ** (passed / settings.half_life_ms)
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
        self.pass_time(now)
        settings = self.settings
        self.shift((1.0 - settings.bad_failures) / (1.0 - settings.good_failures))
        self.told_at = now
        self.slow_sum += slowness
        self.slow_weight += 1.0

    def add_bad(self, weight: float, now: float) -> None:
        """Note a failure, or with a `weight` below 1 what only looks like one."""
        self.pass_time(now)
        settings = self.settings
        self.shift((settings.bad_failures / settings.good_failures) ** weight)
        self.told_at = now

    def shift(self, ratio: float) -> None:
        """Go by an outcome that is `ratio` times as likely in the bad state."""
        bad = self.bad * ratio
        self.bad = bad / (bad + 1.0 - self.bad)

    def failure_share(self, now: float) -> float:
        """Return the expected share of requests that fail."""
        self.pass_time(now)
        settings = self.settings
        return self.bad * settings.bad_failures + (1.0 - self.bad) * settings.good_failures

    def slowness(self, now: float) -> float:
        """Return the time of an answer as a multiple of the usual one."""
        self.pass_time(now)
        weight = self.settings.prior_weight
        return (self.slow_sum + weight) / (self.slow_weight + weight)

    def age(self, now: float) -> float | None:
        """Return the age of the latest outcome in milliseconds, None without any."""
        return None if self.told_at == -inf else now - self.told_at


RECENT_MS = 1_000.0
"""Half-life of the outcomes that say how a service does now."""


class RecentOutcomes:
    """How the requests of a service ended lately.

    Examples
    --------
    >>> outcomes = RecentOutcomes()
    >>> for good in (True, True, True, False):
    ...     outcomes.add(good, 0.0)
    >>> outcomes.failure_share(0.0)
    0.25
    """

    __slots__ = ("all", "at", "bad")

    def __init__(self) -> None:
        self.at = 0.0
        self.all = 0.0
        self.bad = 0.0

    def add(self, good: bool, now: float) -> None:
        """Take in one outcome."""
        factor = 0.5 ** (max(0.0, now - self.at) / RECENT_MS)
        self.at = max(self.at, now)
        self.all = self.all * factor + 1.0
        self.bad = self.bad * factor + (not good)

    def failure_share(self, now: float) -> float:
        """Return the share of failures, 0 without any outcome."""
        return self.bad / self.all if self.all else 0.0

    def per_s(self, now: float) -> float:
        """Return how many outcomes came in a second lately."""
        factor: float = 0.5 ** (max(0.0, now - self.at) / RECENT_MS)
        return self.all * factor * log(2.0) * MS_PER_SECOND / RECENT_MS
