"""Retry budget that the entries of a failure domain share.

With capacity lost and gray targets at a few requests per second and entry, failures come in
clusters at whichever entries use a bad target: a fixed part of the budget for each entry is
exhausted at some of them and unused at the others. Performs no I/O; the current time is passed in.

Each entry sends the others its numbers of requests and retries in a sliding window, and retries
while the sums stay within the budget.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

WINDOW_STEPS = 20
"""Number of steps of the window; counts are up to one step out of date."""

MIN_EXTRA_SHARE = 0.1
"""Share of the extra retries that is available right after a start."""


@dataclass(frozen=True, slots=True)
class RetryLimit:
    """Retries that the entries of the whole fleet may make for one service.

    Parameters
    ----------
    share
        Retries per request.
    extra
        Additional retries in each window.
    window_ms
        Length of the sliding window in milliseconds.
    domains
        Number of failure domains, which share `extra` evenly.
    """

    share: float = 0.1
    extra: float = 20.0
    window_ms: float = 10_000.0
    domains: int = 1


class RetryUsage(msgspec.Struct, frozen=True, array_like=True):
    """Requests and retries of one entry for one service in the latest window.

    Parameters
    ----------
    requests
        Requests of callers.
    retries
        Attempts beyond the first of each request.
    """

    requests: int
    retries: int


class RetryUsageWindow:
    """Counts of one entry over a sliding window.

    Parameters
    ----------
    window_ms
        Length of the window in milliseconds.

    Examples
    --------
    >>> window = RetryUsageWindow(10_000.0)
    >>> window.add(requests=3, retries=1, now=0.0)
    >>> window.total(9_000.0)
    RetryUsage(requests=3, retries=1)
    >>> window.total(11_000.0)
    RetryUsage(requests=0, retries=0)
    """

    def __init__(self, window_ms: float) -> None:
        self.step_ms = window_ms / WINDOW_STEPS
        self.steps: deque[tuple[int, RetryUsage]] = deque()

    def add(self, requests: int, retries: int, now: float) -> None:
        """Count requests and retries."""
        number = int(now / self.step_ms)
        if self.steps and self.steps[-1][0] == number:
            last = self.steps.pop()[1]
            requests += last.requests
            retries += last.retries
        self.steps.append((number, RetryUsage(requests, retries)))

    def total(self, now: float) -> RetryUsage:
        """Return the counts of the window that ends now."""
        oldest = int(now / self.step_ms) - WINDOW_STEPS
        while self.steps and self.steps[0][0] < oldest:
            self.steps.popleft()
        requests = sum(usage.requests for _, usage in self.steps)
        retries = sum(usage.retries for _, usage in self.steps)
        return RetryUsage(requests, retries)


@dataclass(frozen=True, slots=True)
class PeerUsage:
    """Usage that another entry reported, and the time of receipt in milliseconds."""

    usage: RetryUsage
    received_at: float


class SharedRetries:
    """Retry budget of one service, shared by the entries of the failure domain.

    Parameters
    ----------
    limit
        Limit of the whole fleet.
    started_at
        Start time of the process in milliseconds (its monotonic clock). Usage from before the start
        is unknown, so `extra` becomes available only as the window passes.
    live_share
        Returns the share of the failure domain's entries that are live, including this one; the
        others may be working out of reach and keep their part of `extra`.
    on_retry
        Called when a retry is taken from the budget.
    """

    def __init__(
        self,
        limit: RetryLimit,
        started_at: float,
        live_share: Callable[[float], float],
        on_retry: Callable[[], None] = lambda: None,
    ) -> None:
        self.limit = limit
        self.on_retry = on_retry
        self.started_at = started_at
        self.live_share = live_share
        self.own = RetryUsageWindow(limit.window_ms)
        self.peer_usage: dict[tuple[str, int], PeerUsage] = {}

    def deposit(self, now: float) -> None:
        """Count one request."""
        self.own.add(1, 0, now)

    def withdraw(self, now: float) -> bool:
        """Take one retry from the budget, and return whether one was available."""
        if self.remaining(now) < 1.0:
            return False
        self.own.add(0, 1, now)
        self.on_retry()
        return True

    def remaining(self, now: float) -> float:
        """Return how many retries the failure domain may still make now."""
        usages = [self.own.total(now)]
        oldest = now - self.limit.window_ms
        usages += [
            report.usage for report in self.peer_usage.values() if report.received_at >= oldest
        ]
        requests = sum(usage.requests for usage in usages)
        retries = sum(usage.retries for usage in usages)
        return self.limit.share * requests + self.extra_allowance(now) - retries

    def extra_allowance(self, now: float) -> float:
        """Return the retries that are available independent of the number of requests."""
        limit = self.limit
        available_share = min(1.0, max(MIN_EXTRA_SHARE, (now - self.started_at) / limit.window_ms))
        return limit.extra / limit.domains * self.live_share(now) * available_share

    def record_peer_usage(self, sender: str, started: int, usage: RetryUsage, now: float) -> None:
        """Record the usage of another entry.

        The usage of a process from before its restart stays until its window has passed.
        """
        self.peer_usage[sender, started] = PeerUsage(usage, now)

    def expire(self, now: float) -> None:
        """Remove reports that are older than the window."""
        oldest = now - self.limit.window_ms
        for key, report in tuple(self.peer_usage.items()):
            if report.received_at < oldest:
                del self.peer_usage[key]
