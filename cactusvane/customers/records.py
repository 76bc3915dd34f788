"""Metrics by customer, with a bounded number of label values."""

from collections.abc import Collection, Iterator
from dataclasses import dataclass, field
from heapq import nlargest

from cactusvane.configuration.model import Customer

MAX_NAMED = 20
"""Customers with label values of their own."""

OTHER = "other"
"""Label value of all others."""


@dataclass(slots=True)
class CustomerRecord:
    """Responses to one customer, or to all others, by class of the status."""

    statuses: dict[int, int] = field(default_factory=dict)

    def record(self, status: int) -> None:
        """Count a response."""
        group = status // 100
        self.statuses[group] = self.statuses.get(group, 0) + 1


class CustomerRecords:
    """Responses by customer; the `MAX_NAMED` with the most requests are named.

    A counter never decreases while it exists: a customer that becomes one of the largest starts at
    0, and the count of one that no longer is goes with its name, not to the others.

    Attributes
    ----------
    totals
        Requests by customer since the process started; only customers of the configuration.
    named
        The largest customers.
    other
        All others.
    """

    def __init__(self) -> None:
        self.totals: dict[str, int] = {}
        self.named: dict[str, CustomerRecord] = {}
        self.other = CustomerRecord()

    def retain(self, customers: Collection[Customer]) -> None:
        """Drop what is known of customers that the configuration no longer has."""
        names = {customer.name for customer in customers}
        self.totals = {name: count for name, count in self.totals.items() if name in names}
        self.named = {name: record for name, record in self.named.items() if name in names}

    def record(self, customer: str, status: int) -> None:
        """Count a response.

        Parameters
        ----------
        customer
            Name of the customer.
        status
            HTTP status of the response.
        """
        self.totals[customer] = self.totals.get(customer, 0) + 1
        if customer not in self.named and customer != OTHER and len(self.named) < MAX_NAMED:
            self.named[customer] = CustomerRecord()
        self.named.get(customer, self.other).record(status)

    def rank(self) -> None:
        """Name the customers that have the most requests now."""
        candidates = [name for name in self.totals if name != OTHER]
        largest = nlargest(MAX_NAMED, candidates, key=self.totals.__getitem__)
        self.named = {name: self.named.get(name) or CustomerRecord() for name in largest}

    def items(self) -> Iterator[tuple[str, CustomerRecord]]:
        """Yield label values with their records."""
        yield from self.named.items()
        yield OTHER, self.other
