"""Sequential tests over good and bad outcomes of a service's targets.

Each target has one cumulative sum of log-likelihood ratios per alternative (E. S. Page,
"Continuous inspection schemes", Biometrika 41, 1954), against the service's own base rate. The
sums are kept as counts since the last restart, so that a change of the base rate re-weighs the
evidence already held: in an outage common to all targets the base rate rises and no sum lasts.
"""

from collections.abc import Iterable
from math import log

from cactusvane.fleet.vm import Address
from cactusvane.pool.settings import StreamSettings

BASE_MARGIN = 1.5
"""An alternative closer to the base rate than this factor is not looked for."""


def ratio(bad: float, good: float, base: float, alternative: float) -> float:
    """Return the log-likelihood ratio of counts under `alternative` against `base`.

    Parameters
    ----------
    bad, good
        Counts of outcomes.
    base, alternative
        Shares of bad outcomes, between 0 and 1.

    Returns
    -------
    float
        Natural logarithm.

    Examples
    --------
    >>> round(ratio(1, 0, 0.01, 0.9), 2)
    4.5
    """
    return bad * log(alternative / base) + good * log((1.0 - alternative) / (1.0 - base))


class Excursion:
    """Counts for one alternative since its sum last stood at zero.

    Parameters
    ----------
    alternative
        The share of bad outcomes looked for.
    discount
        Factor on the evidence.
    """

    __slots__ = ("alternative", "bad", "discount", "good", "score")

    def __init__(self, alternative: float, discount: float = 1.0) -> None:
        self.alternative = alternative
        self.discount = discount
        self.bad = 0.0
        self.good = 0.0
        self.score = 0.0

    def add(self, bad: float, good: float, base: float) -> None:
        """Take in counts; a sum that is not positive starts afresh."""
        if bad == 0.0 and self.bad == 0.0:
            return
        self.bad += bad
        self.good += good
        if self.alternative >= BASE_MARGIN * base:
            self.score = self.discount * ratio(self.bad, self.good, base, self.alternative)
        else:
            self.score = 0.0
        if self.score <= 0.0:
            self.bad = self.good = self.score = 0.0


class Sums:
    """The cumulative sums of one target and its recent share of bad outcomes."""

    __slots__ = ("bad", "excursions", "good", "score", "window")

    def __init__(self, settings: StreamSettings) -> None:
        self.excursions = [
            Excursion(alternative, settings.discount) for alternative in settings.alternatives
        ]
        self.window = settings.window
        self.bad = 0.0
        self.good = 0.0
        self.score = 0.0

    def add(self, bad: float, good: float, base: float) -> None:
        """Take in counts."""
        self.bad += bad
        self.good += good
        total = self.bad + self.good
        if total > self.window:
            keep = self.window / 2.0 / total
            self.bad *= keep
            self.good *= keep
        for excursion in self.excursions:
            excursion.add(bad, good, base)
        if bad or self.score:
            self.score = self.worst.score

    @property
    def worst(self) -> Excursion:
        """The alternative with the most evidence."""
        return max(self.excursions, key=lambda excursion: excursion.score)

    def restart(self) -> None:
        """Forget all evidence."""
        self.bad = self.good = self.score = 0.0
        for excursion in self.excursions:
            excursion.bad = excursion.good = excursion.score = 0.0


class Stream:
    """The same test over all targets of a service.

    Parameters
    ----------
    settings
        Alternatives and the rule for the base rate.
    """

    def __init__(self, settings: StreamSettings) -> None:
        self.settings = settings
        self.sums: dict[Address, Sums] = {}
        self.base = settings.base_minimum

    def keep(self, targets: Iterable[Address]) -> None:
        """Forget targets that are no longer listed and begin with new ones."""
        self.sums = {target: self.sums.get(target) or Sums(self.settings) for target in targets}

    def add(self, target: Address, bad: float, good: float) -> None:
        """Take in counts of one target; unknown targets are ignored."""
        sums = self.sums.get(target)
        if sums is None:
            return
        if bad:
            self.refresh_base()
        sums.add(bad, good, self.base)

    def refresh_base(self) -> None:
        """Estimate the bad share that is nobody's fault: a low quantile over the targets."""
        settings = self.settings
        least = settings.base_minimum
        shares = sorted(
            (sums.bad + settings.prior * least) / (sums.bad + sums.good + settings.prior)
            for sums in self.sums.values()
        )
        share = shares[int(settings.base_quantile * (len(shares) - 1))] if shares else least
        self.base = min(settings.base_maximum, max(least, settings.base_margin * share))

    def score(self, target: Address) -> float:
        """Return the evidence against a target as a log-likelihood ratio, 0 for none."""
        sums = self.sums.get(target)
        return sums.score if sums else 0.0

    def restart(self, target: Address) -> None:
        """Forget the evidence against one target."""
        if target in self.sums:
            self.sums[target].restart()
