"""Interfaces of the parts that may reject a request because of its customer.

The entry asks in this order, without a pause between the steps: whether its configuration is
current, which customer has the key, and whether the customer's quota admits the request.
"""

from dataclasses import dataclass
from typing import Protocol

from cactusvane.configuration.model import Customer


class FreshnessGate(Protocol):
    """Knows whether the active configuration is recent enough to decide by its keys."""

    def check_current(self) -> None:
        """Check before a key is looked up that no removed key can be accepted.

        Raises
        ------
        RequestError
            The configuration may be outdated: status 503, verdict not-run.
        """

    def check_unknown_key(self) -> None:
        """Check before an unknown key is rejected that it cannot have been added.

        Raises
        ------
        RequestError
            The configuration may be outdated: status 503, verdict not-run.
        """


class QuotaGate(Protocol):
    """Counts the requests of each customer."""

    def admit(self, customer: Customer) -> None:
        """Count one request.

        Raises
        ------
        RequestError
            The customer is over its quota: status 429, verdict not-run. `give_back` isn't called
            for the request.
        """

    def give_back(self, customer: Customer) -> None:
        """Take back an admitted request that has not run; called once for each of them."""


class OpenGate:
    """Takes every configuration for current, and admits every request."""

    def check_current(self) -> None:
        """Take the configuration for current."""

    def check_unknown_key(self) -> None:
        """Take the configuration for current."""

    def admit(self, customer: Customer) -> None:
        """Admit the request."""

    def give_back(self, customer: Customer) -> None:
        """Ignore that the request has not run."""


OPEN = OpenGate()


@dataclass(slots=True)
class CustomerGate:
    """What rejects requests because of their customers; each part can be replaced alone.

    Parameters
    ----------
    freshness
        Rejects requests while the configuration may be outdated.
    quota
        Rejects requests over a customer's quota.
    """

    freshness: FreshnessGate = OPEN
    quota: QuotaGate = OPEN

    def check_current(self) -> None:
        """Check before a key is looked up that the configuration is current."""
        self.freshness.check_current()

    def check_unknown_key(self) -> None:
        """Check before an unknown key is rejected that the configuration is current."""
        self.freshness.check_unknown_key()

    def admit(self, customer: Customer) -> None:
        """Count one request of a customer, or reject it."""
        self.quota.admit(customer)

    def give_back(self, customer: Customer) -> None:
        """Take back an admitted request that has not run."""
        self.quota.give_back(customer)
