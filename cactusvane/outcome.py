"""How attempts at targets end."""

from enum import Enum


class Outcome(Enum):
    """How one attempt at a target ended."""

    SERVED = "served"
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    BROKEN = "broken"
    UNREACHABLE = "unreachable"
    SHED = "shed"
    DRAINING = "draining"
    CANCELLED = "cancelled"
