"""Restoration of ejected targets: a hold-down, then a trial that must find the target healthy."""

from enum import Enum

from cactusvane.pool.evidence import log_likelihood_ratio
from cactusvane.pool.messages import TargetCounts
from cactusvane.pool.settings import HoldDownSettings

TRIAL_BASE_FACTOR = 1.5
"""The bad share that a trial tests against is at least this multiple of the base rate."""


class TrialResult(Enum):
    """State of a trial."""

    OPEN = "open"
    PASSED = "passed"
    REJECTED = "refused"


class Trial:
    """Sequential probability ratio tests (A. Wald, 1945) between failing and healthy.

    Both tests, for failures and for slowness, must find the target healthy; either can reject it.

    Parameters
    ----------
    settings
        Bad shares of a failing target, and the scores at which the trial ends.
    failure_base_rate, slow_base_rate
        Shares of failed and of slow outcomes of a healthy target.
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
        """Add outcomes of trial requests and return the state of the trial."""
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
            return TrialResult.REJECTED
        if max(self.failure_score, self.slow_score) <= -settings.accept_score:
            return TrialResult.PASSED
        return TrialResult.OPEN


class HoldDown:
    """Exponential backoff of the hold-down of one target.

    Parameters
    ----------
    settings
        First and maximum hold-down, growth factor, and the healthy time that resets it.
    """

    __slots__ = ("hold_ms", "changed_at", "settings")

    def __init__(self, settings: HoldDownSettings) -> None:
        self.settings = settings
        self.hold_ms = 0.0
        self.changed_at = 0.0

    def begin(self, now: float) -> float:
        """Begin a hold-down at `now` and return its length in milliseconds."""
        settings = self.settings
        lasted = now - self.changed_at >= settings.reset_ms
        if self.hold_ms == 0.0 or lasted:
            self.hold_ms = settings.first_ms
        else:
            self.hold_ms = min(settings.maximum_ms, self.hold_ms * settings.growth)
        self.changed_at = now
        return self.hold_ms

    def end(self, now: float) -> None:
        """Record at `now` that the target was restored."""
        self.changed_at = now


class Quarantine:
    """State of one ejection: hold-down, probe and trial.

    Parameters
    ----------
    until
        Time at which trials may begin, in milliseconds (monotonic clock of the process).
    trial
        The test that ends the quarantine.
    severity
        Share of bad outcomes that caused the ejection.
    keeper_until
        Time until which a keeper decides about the restoration, in milliseconds; 0 if the entry
        ejected the target on its own evidence.
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
        """Restart the hold-down; trials wait until `until` and for a successful probe."""
        self.until = until
        self.probe_at = until
        self.probe_passed = False
        self.last_trial_at = 0.0

    def allows_trial(self, now: float) -> bool:
        """Return whether idempotent requests may try the target now."""
        return self.probe_passed and now >= self.until
