"""Retries that the entries of a failure domain draw from one allowance.

Answers lost capacity and gray targets at a few requests a second and entry: failures come in
clusters at whichever entries use a bad target, so a fixed part of the allowance for each entry is
used up at some of them and lies idle at the others. No sockets, no wall clock.

Each entry tells the others how many requests and retries it had in a sliding window, and retries
while the sum stays within the allowance.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

STEPS = 20
"""Steps into which the window is cut; counts are up to one step too old."""

LEAST_EXTRA = 0.1
"""Share of the extra retries that may be used right after a start."""


@dataclass(frozen=True, slots=True)
class RetryLimit:
    """Retries that the entries of the whole fleet may make for one service.

    Parameters
    ----------
    share
        Retries for each request.
    extra
        Retries in each window besides.
    window_ms
        Length of the sliding window in milliseconds.
    domains
        Failure domains that share `extra` evenly.
    """

    share: float = 0.1
    extra: float = 20.0
    window_ms: float = 10_000.0
    domains: int = 1


class Spending(msgspec.Struct, frozen=True, array_like=True):
    """What one entry did for one service within the latest window.

    Parameters
    ----------
    requests
        Requests of callers.
    retries
        Attempts beyond the first of each.
    """

    requests: int
    retries: int


class SpendingWindow:
    """Counts of one entry over a sliding window.

    Parameters
    ----------
    window_ms
        Its length in milliseconds.

    Examples
    --------
    >>> window = SpendingWindow(10_000.0)
    >>> window.add(requests=3, retries=1, now=0.0)
    >>> window.total(9_000.0)
    Spending(requests=3, retries=1)
    >>> window.total(11_000.0)
    Spending(requests=0, retries=0)
    """

    def __init__(self, window_ms: float) -> None:
        self.step_ms = window_ms / STEPS
        self.steps: deque[tuple[int, Spending]] = deque()

    def add(self, requests: int, retries: int, now: float) -> None:
        """Count requests and retries."""
        number = int(now / self.step_ms)
        if self.steps and self.steps[-1][0] == number:
            last = self.steps.pop()[1]
            requests += last.requests
            retries += last.retries
        self.steps.append((number, Spending(requests, retries)))

    def total(self, now: float) -> Spending:
        """Return the counts of the window that ends now."""
        oldest = int(now / self.step_ms) - STEPS
        while self.steps and self.steps[0][0] < oldest:
            self.steps.popleft()
        requests = sum(spending.requests for _, spending in self.steps)
        retries = sum(spending.retries for _, spending in self.steps)
        return Spending(requests, retries)


@dataclass(frozen=True, slots=True)
class Report:
    """What another entry said that it had spent, and when that was heard in milliseconds."""

    spending: Spending
    at: float


class SharedRetries:
    """Retries for one service, as one entry sees those of its failure domain.

    Parameters
    ----------
    limit
        For the whole fleet.
    since
        When the process started, in milliseconds of its clock. What it spent before is not known
        any more, so that `extra` becomes available only as the window passes.
    heard_share
        Returns the share of the failure domain's entries that are heard, this one among them;
        the others may be at work elsewhere and keep their part of `extra`.
    on_retry
        Called when a retry was taken.
    """

    def __init__(
        self,
        limit: RetryLimit,
        since: float,
        heard_share: Callable[[float], float],
        on_retry: Callable[[], None] = lambda: None,
    ) -> None:
        self.limit = limit
        self.on_retry = on_retry
        self.since = since
        self.heard_share = heard_share
        self.own = SpendingWindow(limit.window_ms)
        self.reports: dict[tuple[str, int], Report] = {}

    def deposit(self, now: float) -> None:
        """Count one request."""
        self.own.add(1, 0, now)

    def withdraw(self, now: float) -> bool:
        """Take one retry and say whether there was one."""
        if self.remaining(now) < 1.0:
            return False
        self.own.add(0, 1, now)
        self.on_retry()
        return True

    def remaining(self, now: float) -> float:
        """Return how many retries the failure domain may still make now."""
        spent = [self.own.total(now)]
        oldest = now - self.limit.window_ms
        spent += [report.spending for report in self.reports.values() if report.at >= oldest]
        requests = sum(spending.requests for spending in spent)
        retries = sum(spending.retries for spending in spent)
        return self.limit.share * requests + self.extra(now) - retries

    def extra(self, now: float) -> float:
        """Return the retries that do not depend on the number of requests."""
        limit = self.limit
        known = min(1.0, max(LEAST_EXTRA, (now - self.since) / limit.window_ms))
        return limit.extra / limit.domains * self.heard_share(now) * known

    def hear(self, sender: str, started: int, spending: Spending, now: float) -> None:
        """Take in what another entry spent.

        What a process spent before it was started again stays until its window has passed.
        """
        self.reports[sender, started] = Report(spending, now)

    def expire(self, now: float) -> None:
        """Drop reports that are older than the window."""
        oldest = now - self.limit.window_ms
        for key, report in tuple(self.reports.items()):
            if report.at < oldest:
                del self.reports[key]
