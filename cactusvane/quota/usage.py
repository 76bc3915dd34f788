"""Usage that other processes report as cumulative counts.

A lost message is made up for by the next one, since only the difference to the last known count is
applied.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from cactusvane.clock import MS_PER_SECOND
from cactusvane.placement.messages import CustomerUsage
from cactusvane.quota.average import RateAverage

UNKNOWN_COUNT = 1
"""Requests counted when a customer first appears in the reports of a process that is not new.

Its count may contain requests from long ago. Reports follow a request within milliseconds, so that
one new request is usual.
"""


@dataclass(frozen=True, slots=True)
class UsageChange:
    """Requests of a customer that were not known before; negative if some are taken back."""

    customer: str
    admitted: float
    asked: int


@dataclass(slots=True)
class KnownUsage:
    """What one process last reported of one customer.

    Parameters
    ----------
    usage
        The cumulative counts.
    rate
        Rate of admitted requests.
    assumed
        Requests that were assumed since the latest report.
    """

    usage: CustomerUsage
    rate: RateAverage = field(default_factory=RateAverage)
    assumed: float = 0.0


@dataclass(slots=True)
class UsageSource:
    """One process that reports usage.

    Parameters
    ----------
    sender
        VM of the process.
    started
        Start time of the process in milliseconds since the epoch.
    is_new
        Whether all that the process has counted is recent.
    seen_at
        Time of the latest report, in milliseconds (monotonic clock of this process).
    assumed_until
        Time up to which usage without a report is assumed.
    number
        Number of the latest report.
    known
        What was reported, by customer.
    """

    sender: str
    started: int
    is_new: bool
    seen_at: float
    assumed_until: float
    number: int = 0
    known: dict[str, KnownUsage] = field(default_factory=dict)

    def apply(
        self, usage: dict[str, CustomerUsage], is_baseline: bool, now: float
    ) -> Iterator[UsageChange]:
        """Apply reported counts, and return what is new.

        Parameters
        ----------
        usage
            Cumulative counts by customer.
        is_baseline
            Whether nothing of it counts as new.
        now
            Current time in milliseconds.
        """
        self.seen_at = now
        self.assumed_until = max(self.assumed_until, now)
        for customer, counts in usage.items():
            known = self.known.get(customer)
            if known is None:
                known = self.known[customer] = KnownUsage(self.first_base(counts, is_baseline))
            admitted = counts.admitted - known.usage.admitted
            asked = max(0, counts.asked - known.usage.asked)
            known.usage = counts
            if admitted:
                known.rate.add(admitted, now)
            if admitted or asked or known.assumed:
                yield UsageChange(customer, admitted - known.assumed, asked)
            known.assumed = 0.0

    def first_base(self, counts: CustomerUsage, is_baseline: bool) -> CustomerUsage:
        """Return the counts that the first ones of a customer are compared with."""
        if is_baseline:
            return counts
        if self.is_new:
            return CustomerUsage(0, 0)
        return CustomerUsage(
            max(0, counts.admitted - UNKNOWN_COUNT), max(0, counts.asked - UNKNOWN_COUNT)
        )

    def rate_per_s(self, customer: str) -> float:
        """Return the rate of admitted requests as of the latest report."""
        known = self.known.get(customer)
        return 0.0 if known is None else known.rate.value(self.seen_at)

    def take_assumed(self) -> Iterator[UsageChange]:
        """Take back the assumptions; the process has reported again, so its counts hold."""
        for customer, known in self.known.items():
            if known.assumed:
                yield UsageChange(customer, -known.assumed, 0)
                known.assumed = 0.0

    def assume(self, until: float) -> Iterator[UsageChange]:
        """Return the usage from the time up to `until`, at the rates of the latest report."""
        elapsed_s = (until - self.assumed_until) / MS_PER_SECOND
        if elapsed_s <= 0.0:
            return
        self.assumed_until = until
        for customer, known in self.known.items():
            tokens = known.rate.value(self.seen_at) * elapsed_s
            if tokens > 0.0:
                known.assumed += tokens
                yield UsageChange(customer, tokens, 0)
