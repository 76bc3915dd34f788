"""Which requests a stopping entry still sends to targets.

Performs no I/O; the current time is passed in.
"""

from dataclasses import dataclass

from cactusvane.placement.messages import RequestProfile

MAX_LATENCY_FACTOR = 3.0
"""Latency up to which a response is waited for in a stop, as a multiple of the expected latency."""


@dataclass(frozen=True, slots=True)
class StopSchedule:
    """Times of a planned stop, in milliseconds (monotonic clock of the process).

    Parameters
    ----------
    drains_at
        When the entry closes its listener. Up to then callers come in their usual number.
    ends_at
        When the requests in flight are cut off.

    Examples
    --------
    >>> schedule = StopSchedule(drains_at=2_000.0, ends_at=5_000.0)
    >>> read = RequestProfile("lookup", 0, True, 0.0, 7_000.0, 500.0)
    >>> booking = RequestProfile("booking", 0, False, 0.0, 7_000.0, 500.0)
    >>> schedule.has_time(read, 400.0, 1_000.0), schedule.has_time(booking, 400.0, 1_000.0)
    (True, False)
    >>> schedule.has_time(read, 400.0, 2_500.0)
    False
    """

    drains_at: float
    ends_at: float

    def has_time(
        self, profile: RequestProfile, expected_latency_ms: float | None, now: float
    ) -> bool:
        """Return whether a request that is sent now may be expected to end before the stop does.

        A request that is cut off may have run, and a rejected one has not, so the deadline must lie
        before the end. Until the drain, that would reject every request with a long deadline, and
        an idempotent one can be repeated after a cut: its usual latency with a margin is enough.

        Parameters
        ----------
        profile
            Properties of the request.
        expected_latency_ms
            Expected latency of its kind in milliseconds; None for the latency objective.
        now
            Current time in milliseconds (monotonic clock of the process).
        """
        due = profile.deadline
        if profile.idempotent and now < self.drains_at:
            expected = profile.latency_ms if expected_latency_ms is None else expected_latency_ms
            due = min(due, now + MAX_LATENCY_FACTOR * expected)
        return due <= self.ends_at
