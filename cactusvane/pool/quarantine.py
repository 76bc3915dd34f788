"""The way back of an ejected target: hold-down, then a trial that must refute sickness."""

from enum import Enum

from cactusvane.pool.evidence import ratio
from cactusvane.pool.messages import TargetCounts
from cactusvane.pool.settings import HoldSettings

TRIAL_CONTRAST = 1.5
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
    failure_base, slow_base
        Shares of bad outcomes of a target that is well.
    """

    __slots__ = ("failure_base", "failures", "settings", "slow_base", "slowness")

    def __init__(self, settings: HoldSettings, failure_base: float, slow_base: float) -> None:
        self.settings = settings
        self.failure_base = failure_base
        self.slow_base = slow_base
        self.failures = 0.0
        self.slowness = 0.0

    def add(self, counts: TargetCounts) -> TrialResult:
        """Take in outcomes of trials and say what they show."""
        settings = self.settings
        sick = max(settings.trial_failures, TRIAL_CONTRAST * self.failure_base)
        slow = max(settings.trial_slowness, TRIAL_CONTRAST * self.slow_base)
        self.failures += ratio(counts.failed, counts.served, self.failure_base, sick)
        self.slowness += ratio(counts.slow, counts.in_time, self.slow_base, slow)
        self.failures = max(self.failures, -settings.accept)
        self.slowness = max(self.slowness, -settings.accept)
        if max(self.failures, self.slowness) >= settings.refuse:
            return TrialResult.REFUSED
        if max(self.failures, self.slowness) <= -settings.accept:
            return TrialResult.PASSED
        return TrialResult.OPEN


class HoldDown:
    """How long a target stays out: longer with each return that did not last.

    Parameters
    ----------
    settings
        First and longest time, growth, and the health that resets it.
    """

    __slots__ = ("hold_ms", "returned_at", "settings")

    def __init__(self, settings: HoldSettings) -> None:
        self.settings = settings
        self.hold_ms = 0.0
        self.returned_at = 0.0

    def begin(self, now: float) -> float:
        """Return how long the target stays out from `now`, in milliseconds."""
        settings = self.settings
        lasted = now - self.returned_at >= settings.reset_ms
        if self.hold_ms == 0.0 or lasted:
            self.hold_ms = settings.first_ms
        else:
            self.hold_ms = min(settings.maximum_ms, self.hold_ms * settings.growth)
        self.returned_at = now
        return self.hold_ms

    def end(self, now: float) -> None:
        """Note that the target came back."""
        self.returned_at = now


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

    __slots__ = ("keeper_until", "probe_at", "probed", "severity", "trial", "tried_at", "until")

    def __init__(
        self, until: float, trial: Trial, severity: float, keeper_until: float = 0.0
    ) -> None:
        self.until = until
        self.trial = trial
        self.severity = severity
        self.keeper_until = keeper_until
        self.hold(until)

    def hold(self, until: float) -> None:
        """Begin the hold-down anew; trials wait until `until` and for a good probe."""
        self.until = until
        self.probe_at = until
        self.probed = False
        self.tried_at = 0.0

    def open_to_trial(self, now: float) -> bool:
        """Say whether idempotent requests may try the target now."""
        return self.probed and now >= self.until
