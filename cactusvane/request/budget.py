"""A bound on retries, so that they cannot grow a storm."""

from dataclasses import dataclass
from typing import Annotated, ClassVar, Protocol

from annotated_types import Ge, Le

from cactusvane.configuration.model import STRICT

RETRY_SHARE = 0.1
"""Retries for each request, in the long run."""

RETRY_BURST = 20.0
"""Retries that may come at once after a quiet time."""


@dataclass(frozen=True, slots=True)
class RetrySettings:
    """How often requests are sent again.

    Parameters
    ----------
    share
        Retries for each request of a service, in the long run.
    burst
        Retries that may come at once after a quiet time.
    paced_sheds
        Shed attempts of one request that count for nothing else; the gate before the targets
        paces them, so they need no retry budget.
    free_connects
        Connections that fail for one request and need no retry budget, since no target saw it.
    """

    __pydantic_config__: ClassVar = STRICT

    share: Annotated[float, Ge(0.0), Le(1.0)] = RETRY_SHARE
    burst: Annotated[float, Ge(0.0)] = RETRY_BURST
    paced_sheds: Annotated[int, Ge(0)] = 8
    free_connects: Annotated[int, Ge(0)] = 0


class Retries(Protocol):
    """Retries that a service may make; times are milliseconds of the process's clock."""

    def deposit(self, now: float) -> None:
        """Count one request."""

    def withdraw(self, now: float) -> bool:
        """Take one retry and say whether there was one."""

    def left(self, now: float) -> float:
        """Return how many retries may be made now."""


class RetryBudget:
    """A token bucket that requests fill and retries empty.

    Parameters
    ----------
    share
        Tokens that one request adds.
    burst
        Most tokens held.

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
        """Take one retry and say whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def left(self, now: float) -> float:
        """Return how many retries may be made now."""
        return self.tokens
