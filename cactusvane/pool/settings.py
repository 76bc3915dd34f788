"""Settings of pools and keepers, with every default in one place."""

from dataclasses import dataclass, field
from math import log

from cactusvane.configuration.model import Health

SLOW_SEVERITY = 0.5
"""A slow target is less sick than one that fails as often."""


@dataclass(frozen=True, slots=True)
class SequentialTestSettings:
    """One sequential test over good and bad outcomes.

    Parameters
    ----------
    alternatives
        Bad shares of a sick target that the test looks for.
    base_minimum, base_maximum
        Bounds of the bad share that counts as nobody's fault.
    base_quantile
        Quantile over the service's targets that estimates this share.
    base_margin
        Factor on the estimate.
    prior
        Outcomes at `base_minimum` that each target is credited with at first.
    window
        Recent outcomes of a target that the estimate goes by.
    discount
        Factor on the evidence, below 1 where outcomes come in clusters: requests in one queue
        are slow together.
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
    """How long a target stays out, and what brings it back.

    Parameters
    ----------
    first_ms, maximum_ms
        First and longest hold-down.
    growth
        Factor with each return that did not last.
    reset_ms
        Health of this length forgets earlier returns.
    trial_interval_ms
        Least time between two trials of one entry.
    trial_failure_share, trial_slow_share
        The bad shares that a trial must refute.
    accept_score, reject_score
        Log-likelihood ratios that end a trial well or badly.
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
    """How evidence becomes decisions.

    Parameters
    ----------
    failures, slowness
        The two sequential tests.
    hold_down
        Hold-down and trials.
    change_odds
        Odds that a target falls sick from one outcome to the next.
    slow_factor
        A latency above this multiple of the service's median is slow.
    slow_minimum_ms
        No latency below this is slow.
    summary_interval_ms
        Time between two sums of successes.
    urgent_interval_ms
        Least time between two reports of failures.
    expiry_ms
        An ejection that is not repeated for so long has no keeper any more.
    repeat_interval_ms
        Time between two repetitions of an ejection.
    learning_ms
        A keeper learns the usual traffic for so long before it decides.
    min_observers
        Observers that must have seen bad outcomes before a keeper ejects.
    suspect_score
        Log-likelihood ratio from which one observer finds one target sick.
    suspect_share
        An observer that finds more than this share of targets sick is itself the suspect.
    warm_up_initial_share
        Share of its usual work that a cold target gets at first.
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
"""No weights lead to an ejection on less evidence; a log-likelihood ratio."""


def ejection_threshold(health: Health, settings: PoolSettings) -> float:
    """Return the log-likelihood ratio at which a target is ejected.

    The Bayes rule for two costs: eject once the odds of sickness exceed the ratio of the costs.

    Parameters
    ----------
    health
        The weights of the operators' file.
    settings
        The odds that a target falls sick at all.

    Returns
    -------
    float
        Natural logarithm of odds.

    Examples
    --------
    >>> round(ejection_threshold(Health(1.0, 100.0), PoolSettings()), 1)
    20.7
    """
    cost_ratio = health.false_ejection_weight / health.detection_weight
    return max(MIN_THRESHOLD, log(cost_ratio / settings.change_odds))
