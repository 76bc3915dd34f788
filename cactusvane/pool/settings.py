"""Settings of pools and keepers with their defaults."""

from dataclasses import dataclass, field
from math import log

from cactusvane.configuration.model import Health

SLOW_SEVERITY = 0.5
"""Factor on the severity of slow outcomes: being slow is less severe than failing as often."""


@dataclass(frozen=True, slots=True)
class SequentialTestSettings:
    """One sequential test over good and bad outcomes.

    Parameters
    ----------
    alternatives
        Bad shares of a failing target that the test detects.
    base_minimum, base_maximum
        Bounds of the base rate, the bad share of a healthy target.
    base_quantile
        Quantile of the bad shares of the service's targets that estimates the base rate.
    base_margin
        Factor on the estimate.
    prior
        Number of outcomes at `base_minimum` that the estimate starts from for each target.
    window
        Number of recent outcomes of a target that the estimate uses.
    discount
        Factor on the log-likelihood ratio, below 1 where outcomes are correlated: requests in
        one queue are slow together.
    """

    alternatives: tuple[float, ...]
    base_minimum: float
    base_maximum: float = 0.95
    base_quantile: float = 0.4
    base_margin: float = 1.25
    prior: float = 20.0
    window: float = 64.0
    discount: float = 1.0


FAILURES = SequentialTestSettings(alternatives=(0.05, 0.3, 0.9), base_minimum=0.01)
SLOWNESS = SequentialTestSettings(alternatives=(0.25, 0.7), base_minimum=0.03, discount=0.5)


@dataclass(frozen=True, slots=True)
class HoldDownSettings:
    """Hold-down of ejected targets and the trials that restore them.

    Parameters
    ----------
    first_ms, maximum_ms
        First and maximum hold-down.
    growth
        Factor on the hold-down at each further one that begins before `reset_ms` has passed.
    reset_ms
        Time since the last hold-down began or ended after which the next one is `first_ms` again.
    trial_interval_ms
        Minimum time between two trial requests of one entry to one target.
    trial_failure_share, trial_slow_share
        Bad shares of a failing target that a trial must rule out.
    accept_score, reject_score
        Log-likelihood ratios at which a trial passes (as a negative value) or is rejected.
    """

    first_ms: float = 5_000.0
    maximum_ms: float = 300_000.0
    growth: float = 2.0
    reset_ms: float = 600_000.0
    trial_interval_ms: float = 500.0
    trial_failure_share: float = 0.05
    trial_slow_share: float = 0.25
    accept_score: float = 3.0
    reject_score: float = 4.0


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """Thresholds and intervals of outlier ejection.

    Parameters
    ----------
    failures, slowness
        The two sequential tests.
    hold_down
        Hold-down and trials.
    change_odds
        Odds that a target starts to fail between one outcome and the next.
    slow_factor
        A latency above this multiple of the service's median is slow.
    slow_minimum_ms
        No latency below this is slow.
    summary_interval_ms
        Time between two reports of summed outcomes.
    urgent_interval_ms
        Minimum time between two reports of failures.
    expiry_ms
        A keeper whose ejection is not repeated within this time counts as gone.
    repeat_interval_ms
        Time between two repetitions of an ejection.
    learning_ms
        Time for which a keeper measures the expected traffic of a target before it may eject it.
    min_observers
        Number of observers that must have seen bad outcomes before a keeper ejects a target.
    suspect_score
        Log-likelihood ratio from which one observer finds a target failing.
    suspect_share
        An observer that finds more than this share of targets failing is itself the suspect.
    warm_up_initial_share
        Share of its regular load that a cold target gets at first.
    """

    failures: SequentialTestSettings = field(default=FAILURES)
    slowness: SequentialTestSettings = field(default=SLOWNESS)
    hold_down: HoldDownSettings = field(default_factory=HoldDownSettings)
    change_odds: float = 1e-7
    slow_factor: float = 10.0
    slow_minimum_ms: float = 20.0
    summary_interval_ms: float = 1_000.0
    urgent_interval_ms: float = 20.0
    expiry_ms: float = 4_000.0
    repeat_interval_ms: float = 1_000.0
    learning_ms: float = 2_500.0
    min_observers: int = 3
    suspect_score: float = 6.0
    suspect_share: float = 0.55
    warm_up_initial_share: float = 0.1


MIN_THRESHOLD = 4.0
"""Lower bound of the ejection threshold for any weights; a log-likelihood ratio."""


def ejection_threshold(health: Health, settings: PoolSettings) -> float:
    """Return the log-likelihood ratio at which a target is ejected.

    Bayes decision rule for two costs: eject a target once the odds that it is failing exceed the
    ratio of the costs.

    Parameters
    ----------
    health
        The weights from the service configuration.
    settings
        Supplies the odds that a target starts to fail.

    Returns
    -------
    float
        Log-likelihood ratio (natural logarithm), at least `MIN_THRESHOLD`.

    Examples
    --------
    >>> round(ejection_threshold(Health(1.0, 100.0), PoolSettings()), 1)
    20.7
    """
    cost_ratio = health.false_ejection_weight / health.detection_weight
    return max(MIN_THRESHOLD, log(cost_ratio / settings.change_odds))
