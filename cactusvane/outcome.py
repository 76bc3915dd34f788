"""Outcomes of attempts."""

from enum import Enum


class Outcome(Enum):
    """The outcome of one attempt to send a request to a target.

    `STALE` means that a reused connection failed before the first byte of the response was
    received: the target may have closed the connection while it was idle, or may have failed.
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
