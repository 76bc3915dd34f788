"""Output of quota decisions."""

from dataclasses import dataclass
from enum import Enum


class RejectionReason(Enum):
    """Why a request is over the quota."""

    EMPTY = "empty"
    """The bucket has less than one token."""

    SHARED = "shared"
    """The fleet's demand is over the rate, and this request was not drawn."""


@dataclass(frozen=True, slots=True)
class QuotaInputs:
    """The data that a decision was made on; the field names are keys of a log line.

    Parameters
    ----------
    level
        Tokens in this entry's replica of the bucket.
    level_age_ms
        Time since another entry was last heard; what was admitted since then is not known here.
    demand_per_s
        Requests per second that the fleet received, as far as it is known here.
    refill_per_s
        Tokens per second that this entry and the entries in contact with it may use.
    reach
        Share of the fleet that this entry is in contact with.
    """

    level: float
    level_age_ms: float
    demand_per_s: float
    refill_per_s: float
    reach: float


@dataclass(frozen=True, slots=True)
class Admitted:
    """Decision to admit the request."""


@dataclass(frozen=True, slots=True)
class Rejected:
    """Decision to reject the request.

    Parameters
    ----------
    retry_after_ms
        Time after which the caller may retry, in milliseconds.
    reason
        Why it is rejected.
    inputs
        What was known.
    """

    retry_after_ms: float
    reason: RejectionReason
    inputs: QuotaInputs


QuotaDecision = Admitted | Rejected
