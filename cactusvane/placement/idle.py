"""How long connections to the targets of one service may rest before they are used again.

Answers targets that forget resting connections, some sooner than usual: what is sent next is
lost, and a non-idempotent request may have run. Every new connection has a price of its own. So
connections rest for long until one was lost, then for less than that one had rested, and longer
again as time passes. What one entry lost, the others of its failure domain learn. Requests that
may be repeated go first: they may use connections that rested twice as long. No sockets.
"""

from math import inf

MAX_IDLE_MS = 8_000.0
"""How long a connection may rest at all."""

LOSS_FACTOR = 0.5
"""A new bound as a share of the rest after which a connection was lost."""

MIN_IDLE_MS = 20.0
"""Smallest bound, from which it grows again."""

DOUBLING_MS = 4_000.0
"""Time in which the bound doubles."""

IDEMPOTENT_FACTOR = 2.0
"""Rest allowed for idempotent requests, as a multiple of that for others."""


class IdleLimit:
    """The bound for one service.

    Examples
    --------
    >>> limit = IdleLimit()
    >>> limit.max_idle_ms(False, now=0.0)
    8000.0
    >>> limit.record_loss(300.0, now=0.0)
    >>> limit.max_idle_ms(False, now=0.0), limit.max_idle_ms(True, now=0.0)
    (150.0, 300.0)
    >>> limit.max_idle_ms(False, now=8_000.0)
    600.0
    """

    __slots__ = ("lost_at", "limit_ms")

    def __init__(self) -> None:
        self.lost_at = -inf
        self.limit_ms = MAX_IDLE_MS

    def max_idle_ms(self, idempotent: bool, now: float) -> float:
        """Return how long a connection may have rested, in milliseconds."""
        doublings = (now - self.lost_at) / DOUBLING_MS
        limit_ms = MAX_IDLE_MS
        if doublings < 16.0:
            limit_ms = min(MAX_IDLE_MS, self.limit_ms * 2.0**doublings)
        return min(MAX_IDLE_MS, limit_ms * (IDEMPOTENT_FACTOR if idempotent else 1.0))

    def record_loss(self, idle_ms: float, now: float) -> None:
        """Note that a connection was lost that had rested for `rested_ms`."""
        limit_ms = max(MIN_IDLE_MS, LOSS_FACTOR * idle_ms)
        self.limit_ms = min(self.max_idle_ms(False, now), limit_ms)
        self.lost_at = now
