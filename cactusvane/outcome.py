"""How attempts at targets end."""

from enum import Enum


class Outcome(Enum):
    """How one attempt at a target ended.

    `STALE` is an attempt on a kept connection that broke before a byte of the answer came: the
    target may have closed it while it rested, or may have failed.
    """

    SERVED = "served"
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    BROKEN = "broken"
    STALE = "stale"
    UNREACHABLE = "unreachable"
    SHED = "shed"
    DRAINING = "draining"
    CANCELLED = "cancelled"
