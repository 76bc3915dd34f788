"""Limit on how long connections to the targets of one service may be idle before they are reused.

Some targets drop idle connections, some of them sooner than usual: what is sent next is lost, and a
non-idempotent request may have run. Every new connection has a cost of its own. So connections may
be idle for long until one is lost, then for less than that one had been idle, and longer again as
time passes. An entry shares its losses with the others of its failure domain. Idempotent requests
test the limit first: they may use connections that were idle for twice as long. Performs no I/O;
the current time is passed in.
"""

from math import inf

MAX_IDLE_MS = 8_000.0
"""Upper bound of the limit."""

LOSS_FACTOR = 0.5
"""The limit after a loss, as a share of the idle time of the lost connection."""

MIN_IDLE_MS = 20.0
"""Lower bound of the limit, from which it grows again."""

DOUBLING_MS = 4_000.0
"""Time in which the limit doubles."""

IDEMPOTENT_FACTOR = 2.0
"""Limit for idempotent requests, as a multiple of that for others."""


class IdleLimit:
    """The limit for one service.

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
        """Return how long a connection may have been idle, in milliseconds."""
        doublings = (now - self.lost_at) / DOUBLING_MS
        limit_ms = MAX_IDLE_MS
        if doublings < 16.0:
            limit_ms = min(MAX_IDLE_MS, self.limit_ms * 2.0**doublings)
        return min(MAX_IDLE_MS, limit_ms * (IDEMPOTENT_FACTOR if idempotent else 1.0))

    def record_loss(self, idle_ms: float, now: float) -> None:
        """Record the loss of a connection that had been idle for `idle_ms`."""
        limit_ms = max(MIN_IDLE_MS, LOSS_FACTOR * idle_ms)
        self.limit_ms = min(self.max_idle_ms(False, now), limit_ms)
        self.lost_at = now
