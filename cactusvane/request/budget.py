"""A bound on retries, so that they cannot grow a storm."""

RETRY_SHARE = 0.1
"""Retries for each request, in the long run."""

RETRY_BURST = 20.0
"""Retries that may come at once after a quiet time."""


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
    >>> [budget.withdraw(), budget.withdraw()]
    [True, False]
    >>> budget.deposit()
    >>> budget.deposit()
    >>> budget.withdraw()
    True
    """

    def __init__(self, share: float = RETRY_SHARE, burst: float = RETRY_BURST) -> None:
        self.share = share
        self.burst = burst
        self.tokens = burst

    def deposit(self) -> None:
        """Note one request."""
        self.tokens = min(self.burst, self.tokens + self.share)

    def withdraw(self) -> bool:
        """Take one retry and say whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
