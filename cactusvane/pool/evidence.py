"""Sequential tests (CUSUM) over good and bad outcomes of a service's targets.

Each target has one cumulative sum of log-likelihood ratios per alternative (E. S. Page,
"Continuous inspection schemes", Biometrika 41, 1954), against the base rate of the service. The
sums are stored as outcome counts since the last reset and recomputed with the current base rate.
In an outage of all targets the base rate rises, which resets the sums.
"""

from collections.abc import Iterable
from math import log

from cactusvane.fleet.vm import Address
from cactusvane.pool.settings import SequentialTestSettings

BASE_MARGIN = 1.5
"""An alternative below this multiple of the base rate is not tested."""


def log_likelihood_ratio(bad: float, good: float, base_rate: float, alternative: float) -> float:
    """Return the log-likelihood ratio of counts under `alternative` against `base_rate`.

    Parameters
    ----------
    bad, good
        Outcome counts.
    base_rate, alternative
        Shares of bad outcomes, strictly between 0 and 1.

    Returns
    -------
    float
        Log-likelihood ratio (natural logarithm).

    Examples
    --------
    >>> round(log_likelihood_ratio(1, 0, 0.01, 0.9), 2)
    4.5
    """
    return bad * log(alternative / base_rate) + good * log((1.0 - alternative) / (1.0 - base_rate))


class Cusum:
    """Cumulative sum for one alternative, as outcome counts since it was last zero.

    Parameters
    ----------
    alternative
        Share of bad outcomes to detect.
    discount
        Factor applied to the log-likelihood ratio.
    """

    __slots__ = ("alternative", "bad", "discount", "good", "score")

    def __init__(self, alternative: float, discount: float = 1.0) -> None:
        self.alternative = alternative
        self.discount = discount
        self.bad = 0.0
        self.good = 0.0
        self.score = 0.0

    def add(self, bad: float, good: float, base_rate: float) -> None:
        """Add outcome counts; reset the sum if it is not positive."""
        if bad == 0.0 and self.bad == 0.0:
            return
        self.bad += bad
        self.good += good
        if self.alternative >= BASE_MARGIN * base_rate:
            self.score = self.discount * log_likelihood_ratio(
                self.bad, self.good, base_rate, self.alternative
            )
        else:
            self.score = 0.0
        if self.score <= 0.0:
            self.bad = self.good = self.score = 0.0


class TargetEvidence:
    """Cumulative sums of one target and its recent outcome counts."""

    __slots__ = ("bad", "cusums", "good", "score", "window")

    def __init__(self, settings: SequentialTestSettings) -> None:
        self.cusums = [
            Cusum(alternative, settings.discount) for alternative in settings.alternatives
        ]
        self.window = settings.window
        self.bad = 0.0
        self.good = 0.0
        self.score = 0.0

    def add(self, bad: float, good: float, base_rate: float) -> None:
        """Add outcome counts; recent ones beyond the window are scaled down to half of it."""
        self.bad += bad
        self.good += good
        total = self.bad + self.good
        if total > self.window:
            scale = self.window / 2.0 / total
            self.bad *= scale
            self.good *= scale
        for cusum in self.cusums:
            cusum.add(bad, good, base_rate)
        if bad or self.score:
            self.score = self.strongest.score

    @property
    def strongest(self) -> Cusum:
        """The cumulative sum with the highest score."""
        return max(self.cusums, key=lambda cusum: cusum.score)

    def reset(self) -> None:
        """Discard all evidence."""
        self.bad = self.good = self.score = 0.0
        for cusum in self.cusums:
            cusum.bad = cusum.good = cusum.score = 0.0


class SequentialTest:
    """One sequential test applied to all targets of a service.

    Parameters
    ----------
    settings
        Alternatives and how the base rate is estimated.
    """

    def __init__(self, settings: SequentialTestSettings) -> None:
        self.settings = settings
        self.evidence: dict[Address, TargetEvidence] = {}
        self.base_rate = settings.base_minimum

    def set_targets(self, targets: Iterable[Address]) -> None:
        """Replace the set of targets, keeping the evidence of those that remain."""
        self.evidence = {
            target: self.evidence.get(target) or TargetEvidence(self.settings) for target in targets
        }

    def add(self, target: Address, bad: float, good: float) -> None:
        """Add outcome counts of one target; unknown targets are ignored."""
        target_evidence = self.evidence.get(target)
        if target_evidence is None:
            return
        if bad:
            self.update_base_rate()
        target_evidence.add(bad, good, self.base_rate)

    def update_base_rate(self) -> None:
        """Estimate the base rate: a low quantile of the bad shares of all targets."""
        settings = self.settings
        minimum = settings.base_minimum
        shares = sorted(
            (each.bad + settings.prior * minimum) / (each.bad + each.good + settings.prior)
            for each in self.evidence.values()
        )
        share = shares[int(settings.base_quantile * (len(shares) - 1))] if shares else minimum
        self.base_rate = min(settings.base_maximum, max(minimum, settings.base_margin * share))

    def score(self, target: Address) -> float:
        """Return the log-likelihood ratio against a target, 0 without evidence."""
        target_evidence = self.evidence.get(target)
        return target_evidence.score if target_evidence else 0.0

    def reset(self, target: Address) -> None:
        """Discard the evidence against one target."""
        if target in self.evidence:
            self.evidence[target].reset()
