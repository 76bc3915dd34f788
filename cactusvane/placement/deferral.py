"""Whether a request that is not sent now waits or is rejected, and when its caller may retry.

Performs no I/O; times are milliseconds of the process's monotonic clock.
"""

from random import Random

from cactusvane.placement.messages import Reject, RequestProfile, Wait
from cactusvane.placement.settings import PlacementSettings

MAX_LATE_RETURN = 1.1
"""Callers are told to come back after a pause at different times, up to this multiple of it."""


class Deferral:
    """Decisions about requests that no target gets now.

    Parameters
    ----------
    random
        Source of the jitter of retries.
    settings
        Shares of a request's time, and bounds of the time until a retry.
    """

    def __init__(self, random: Random, settings: PlacementSettings) -> None:
        self.random = random
        self.settings = settings

    def wait_or_reject(
        self, profile: RequestProfile, reason: str, wait_ms: float, now: float
    ) -> Wait | Reject:
        """Return the decision to wait for a small part of the request's time, or to reject it."""
        until = profile.arrived + self.settings.wait_share * profile.latency_ms
        if now < until:
            return Wait(until)
        return Reject(reason, self.retry_after_ms(wait_ms))

    def wait_for_turn(
        self, profile: RequestProfile, next_at: float, paused: bool, now: float
    ) -> Wait | Reject:
        """Return the decision on a request when each target has a rate limit or wants a pause.

        It waits only if this entry may send a request before its waiting time is over.

        Parameters
        ----------
        profile
            The request.
        next_at
            When this entry may send the next request to any target.
        paused
            Whether all targets want a pause.
        now
            Current time in milliseconds (monotonic clock of the process).
        """
        if next_at <= profile.arrived + self.settings.wait_share * profile.latency_ms:
            return Wait(next_at)
        if paused:
            return Reject("paused", (next_at - now) * self.random.uniform(1.0, MAX_LATE_RETURN))
        return Reject("limited", self.retry_after_ms(next_at - now))

    def retry_after_ms(self, wait_ms: float) -> float:
        """Return the time after which a caller may retry, with jitter to spread the retries."""
        settings = self.settings
        bounded = min(settings.max_retry_after_ms, wait_ms)
        return max(settings.min_retry_after_ms, bounded * self.random.uniform(0.5, 1.0))
