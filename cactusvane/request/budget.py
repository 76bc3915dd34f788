"""Retry budgets, which prevent retry storms."""

from dataclasses import dataclass
from typing import Annotated, ClassVar, Protocol

from annotated_types import Ge, Le

from cactusvane.configuration.model import STRICT

RETRY_SHARE = 0.1
"""Retries allowed per request, on average."""

RETRY_BURST = 20.0
"""Retries allowed in one burst after a period without retries."""


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """Limits on retries.

    Parameters
    ----------
    share
        Retries allowed per request of a service, on average.
    burst
        Retries allowed in one burst after a period without retries.
    paced_sheds
        Shed attempts of one request that count neither as attempts nor against the retry budget,
        since admission control paces them.
    free_connects
        Failed connects of one request that count neither as attempts nor against the retry
        budget, since no target received the request.
    """

    __pydantic_config__: ClassVar = STRICT

    share: Annotated[float, Ge(0.0), Le(1.0)] = RETRY_SHARE
    burst: Annotated[float, Ge(0.0)] = RETRY_BURST
    paced_sheds: Annotated[int, Ge(0)] = 8
    free_connects: Annotated[int, Ge(0)] = 0


class RetryLimiter(Protocol):
    """Limits the retries of one service.

    `now` is the current time in milliseconds (monotonic clock of the process).
    """

    def deposit(self, now: float) -> None:
        """Count one request."""

    def withdraw(self, now: float) -> bool:
        """Take one retry; return whether one was available."""

    def remaining(self, now: float) -> float:
        """Return how many retries are available now."""


class RetryBudget:
    """A token bucket that requests fill and retries empty.

    Parameters
    ----------
    share
        Tokens that one request adds.
    burst
        Maximum number of tokens.

    Examples
    --------
    >>> budget = RetryBudget(share=0.5, burst=1.0)
    >>> [budget.withdraw(0.0), budget.withdraw(0.0)]
    [True, False]
    >>> budget.deposit(0.0)
    >>> budget.deposit(0.0)
    >>> budget.withdraw(0.0)
    True
    """

    def __init__(self, share: float = RETRY_SHARE, burst: float = RETRY_BURST) -> None:
        self.share = share
        self.burst = burst
        self.tokens = burst

    def deposit(self, now: float) -> None:
        """Count one request."""
        self.tokens = min(self.burst, self.tokens + self.share)

    def withdraw(self, now: float) -> bool:
        """Take one retry; return whether one was available."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def remaining(self, now: float) -> float:
        """Return how many retries are available now."""
        return self.tokens
