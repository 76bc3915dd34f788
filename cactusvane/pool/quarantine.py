"""The way back of an ejected target: hold-down, then a trial that must refute sickness."""

from enum import Enum

from cactusvane.pool.evidence import log_likelihood_ratio
from cactusvane.pool.messages import TargetCounts
from cactusvane.pool.settings import HoldDownSettings

TRIAL_BASE_FACTOR = 1.5
"""A trial refutes at least this multiple of the base rate."""


class TrialResult(Enum):
    """What a trial has shown so far."""

    OPEN = "open"
    PASSED = "passed"
    REFUSED = "refused"


class Trial:
    """Sequential probability ratio tests (A. Wald, 1945) between sick and well.

    Both tests, for failures and for slowness, must find the target well; either can refuse it.

    Parameters
    ----------
    settings
        The shares of bad outcomes to refute, and both bounds.
    failure_base_rate, slow_base_rate
        Shares of bad outcomes of a target that is well.
    """

    __slots__ = ("failure_base_rate", "failure_score", "settings", "slow_base_rate", "slow_score")

    def __init__(
        self, settings: HoldDownSettings, failure_base_rate: float, slow_base_rate: float
    ) -> None:
        self.settings = settings
        self.failure_base_rate = failure_base_rate
        self.slow_base_rate = slow_base_rate
        self.failure_score = 0.0
        self.slow_score = 0.0

    def add(self, counts: TargetCounts) -> TrialResult:
        """Take in outcomes of trials and say what they show."""
        settings = self.settings
        failing_share = max(
            settings.trial_failure_share, TRIAL_BASE_FACTOR * self.failure_base_rate
        )
        slow_share = max(settings.trial_slow_share, TRIAL_BASE_FACTOR * self.slow_base_rate)
        self.failure_score += log_likelihood_ratio(
            counts.failed, counts.served, self.failure_base_rate, failing_share
        )
        self.slow_score += log_likelihood_ratio(
            counts.slow, counts.in_time, self.slow_base_rate, slow_share
        )
        self.failure_score = max(self.failure_score, -settings.accept_score)
        self.slow_score = max(self.slow_score, -settings.accept_score)
        if max(self.failure_score, self.slow_score) >= settings.reject_score:
            return TrialResult.REFUSED
        if max(self.failure_score, self.slow_score) <= -settings.accept_score:
            return TrialResult.PASSED
        return TrialResult.OPEN


class HoldDown:
    """How long a target stays out: longer with each return that did not last.

    Parameters
    ----------
    settings
        First and longest time, growth, and the health that resets it.
    """

    __slots__ = ("hold_ms", "restored_at", "settings")

    def __init__(self, settings: HoldDownSettings) -> None:
        self.settings = settings
        self.hold_ms = 0.0
        self.restored_at = 0.0

    def begin(self, now: float) -> float:
        """Return how long the target stays out from `now`, in milliseconds."""
        settings = self.settings
        lasted = now - self.restored_at >= settings.reset_ms
        if self.hold_ms == 0.0 or lasted:
            self.hold_ms = settings.first_ms
        else:
            self.hold_ms = min(settings.maximum_ms, self.hold_ms * settings.growth)
        self.restored_at = now
        return self.hold_ms

    def end(self, now: float) -> None:
        """Note that the target came back."""
        self.restored_at = now


class Quarantine:
    """One stay outside.

    Parameters
    ----------
    until
        When trials may begin, in milliseconds of the process's clock.
    trial
        The test that ends the stay.
    severity
        Share of bad outcomes that led here.
    keeper_until
        Until when a keeper decides about the return; 0 for own decisions.
    """

    __slots__ = (
        "keeper_until",
        "probe_at",
        "probe_passed",
        "severity",
        "trial",
        "last_trial_at",
        "until",
    )

    def __init__(
        self, until: float, trial: Trial, severity: float, keeper_until: float = 0.0
    ) -> None:
        self.until = until
        self.trial = trial
        self.severity = severity
        self.keeper_until = keeper_until
        self.restart_hold_down(until)

    def restart_hold_down(self, until: float) -> None:
        """Begin the hold-down anew; trials wait until `until` and for a good probe."""
        self.until = until
        self.probe_at = until
        self.probe_passed = False
        self.last_trial_at = 0.0

    def allows_trial(self, now: float) -> bool:
        """Say whether idempotent requests may try the target now."""
        return self.probe_passed and now >= self.until
