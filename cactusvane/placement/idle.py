"""How long connections to the targets of one service may rest before they are used again.

Answers targets that forget resting connections, some sooner than usual: what is sent next is
lost, and a non-idempotent request may have run. Every new connection has a price of its own. So
connections rest for long until one was lost, then for less than that one had rested, and longer
again as time passes. What one entry lost, the others of its failure domain learn. Requests that
may be repeated go first: they may use connections that rested twice as long. No sockets.
"""

from math import inf

MOST_REST_MS = 8_000.0
"""How long a connection may rest at all."""

CUT = 0.5
"""A new bound as a share of the rest after which a connection was lost."""

LEAST_REST_MS = 20.0
"""Smallest bound, from which it grows again."""

DOUBLING_MS = 4_000.0
"""Time in which the bound doubles."""

IDEMPOTENT_SHARE = 2.0
"""Rest allowed for idempotent requests, as a multiple of that for others."""


class RestLimit:
    """The bound for one service.

    Examples
    --------
    >>> limit = RestLimit()
    >>> limit.most_ms(False, now=0.0)
    8000.0
    >>> limit.note_loss(300.0, now=0.0)
    >>> limit.most_ms(False, now=0.0), limit.most_ms(True, now=0.0)
    (150.0, 300.0)
    >>> limit.most_ms(False, now=8_000.0)
    600.0
    """

    __slots__ = ("at", "bound_ms")

    def __init__(self) -> None:
        self.at = -inf
        self.bound_ms = MOST_REST_MS

    def most_ms(self, idempotent: bool, now: float) -> float:
        """Return how long a connection may have rested, in milliseconds."""
        doublings = (now - self.at) / DOUBLING_MS
        grown = MOST_REST_MS
        if doublings < 16.0:
            grown = min(MOST_REST_MS, self.bound_ms * 2.0**doublings)
        return min(MOST_REST_MS, grown * (IDEMPOTENT_SHARE if idempotent else 1.0))

    def note_loss(self, rested_ms: float, now: float) -> None:
        """Note that a connection was lost that had rested for `rested_ms`."""
        bound = max(LEAST_REST_MS, CUT * rested_ms)
        self.bound_ms = min(self.most_ms(False, now), bound)
        self.at = now
