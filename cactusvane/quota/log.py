"""Log lines and counts of requests over a quota, with a bounded number of each."""

from collections import Counter
from dataclasses import asdict, dataclass

from cactusvane import events
from cactusvane.clock import MS_PER_SECOND
from cactusvane.configuration.model import Customer
from cactusvane.events import Event
from cactusvane.quota.decisions import Rejected

LINE_INTERVAL_MS = MS_PER_SECOND
"""Minimum time between two lines about one customer."""

MAX_LINES = 20
"""Lines in this time about all customers."""

MAX_METRIC_CUSTOMERS = 20
"""Customers with a metric of their own; the others are summed up."""

OTHER_CUSTOMERS = "other"


@dataclass(slots=True)
class CustomerLines:
    """Lines about one customer: when the last one was written, and rejections since then."""

    written_at: float
    rejected: int = 0


class RejectionLog:
    """Logs and counts requests over a quota.

    Attributes
    ----------
    rejected
        Number of rejected requests by customer.
    """

    def __init__(self) -> None:
        self.rejected: Counter[str] = Counter()
        self.admitted = 0
        self.lines: dict[str, CustomerLines] = {}
        self.interval_began_at = 0.0
        self.lines_in_interval = 0

    def record(self, customer: Customer, rejected: Rejected, now: float) -> None:
        """Count a rejected request, and log it unless a line was written recently."""
        self.rejected[customer.name] += 1
        lines = self.lines.get(customer.name)
        if lines is None:
            lines = self.lines[customer.name] = CustomerLines(now - LINE_INTERVAL_MS)
        lines.rejected += 1
        if now - lines.written_at < LINE_INTERVAL_MS or not self.take_line(now):
            return
        events.write(
            Event.QUOTA_EXCEEDED,
            customer=customer.name,
            capacity=customer.burst,
            rate_per_s=customer.rate_per_s,
            rejected=lines.rejected,
            reason=rejected.reason.value,
            retry_after_ms=round(rejected.retry_after_ms),
            **asdict(rejected.inputs),
        )
        lines.written_at, lines.rejected = now, 0

    def take_line(self, now: float) -> bool:
        """Return whether one more line may be written now, and count it."""
        if now - self.interval_began_at >= LINE_INTERVAL_MS:
            self.interval_began_at, self.lines_in_interval = now, 0
        self.lines_in_interval += 1
        return self.lines_in_interval <= MAX_LINES

    def keep(self, customers: set[str]) -> None:
        """Forget customers that are no longer configured."""
        self.lines = {name: each for name, each in self.lines.items() if name in customers}
        for name in [name for name in self.rejected if name not in customers]:
            self.rejected[OTHER_CUSTOMERS] += self.rejected.pop(name)

    def largest(self) -> dict[str, int]:
        """Return the rejections of the customers with most of them, and the sum of the others."""
        found = dict(self.rejected.most_common(MAX_METRIC_CUSTOMERS))
        rest = self.rejected.total() - sum(found.values())
        if rest:
            found[OTHER_CUSTOMERS] = found.get(OTHER_CUSTOMERS, 0) + rest
        return found
