"""Which customer a request is of, and the header fields that targets get because of it.

Performs no I/O.
"""

from dataclasses import dataclass

from cactusvane.configuration.model import Customer, Route
from cactusvane.customers.keys import KeyTable
from cactusvane.http.message import Headers
from cactusvane.http.vocabulary import HeaderNames


@dataclass(frozen=True, slots=True)
class NoCustomers:
    """The configuration has no customers: the request needs no key."""


@dataclass(frozen=True, slots=True)
class Anonymous:
    """The route needs no key, whatever the request has."""


@dataclass(frozen=True, slots=True)
class KnownCustomer:
    """The request has a key of this customer."""

    customer: Customer


@dataclass(frozen=True, slots=True)
class UnknownKey:
    """The request has not exactly one key of a customer.

    Parameters
    ----------
    fields
        Number of header fields with a key.
    """

    fields: int

    @property
    def reason(self) -> str:
        """What is wrong, for the caller and the log."""
        if self.fields == 0:
            return "the request has no key"
        if self.fields > 1:
            return "the request has several keys"
        return "the key of the request is unknown"


Identity = NoCustomers | Anonymous | KnownCustomer
"""Whom an accepted request is of."""


def customer_of(identity: Identity) -> Customer | None:
    """Return the customer that a request is of, or None."""
    return identity.customer if isinstance(identity, KnownCustomer) else None


def identify(
    keys: KeyTable, route: Route, headers: Headers, names: HeaderNames
) -> Identity | UnknownKey:
    """Return whom a request is of.

    Parameters
    ----------
    keys
        Keys of the active configuration.
    route
        Route of the request.
    headers
        Header fields of the request, with names in lower case.
    names
        Names of the header fields.
    """
    if not keys.required:
        return NoCustomers()
    if route.anonymous:
        return Anonymous()
    values = [value for name, value in headers if name == names.api_key]
    customer = keys.find(values[0]) if len(values) == 1 else None
    return UnknownKey(len(values)) if customer is None else KnownCustomer(customer)


def replace_fields(headers: Headers, identity: Identity, names: HeaderNames) -> Headers:
    """Return the header fields for a target: without the key, with the customer's name.

    Many frameworks read ``_`` in a field's name as ``-``, so that names which differ only in that
    are removed too: a caller could set the customer's name by them.

    Parameters
    ----------
    headers
        Header fields of the request, with names in lower case.
    identity
        Whom the request is of.
    names
        Names of the header fields.
    """
    match identity:
        case NoCustomers():
            return headers
        case Anonymous():
            return remove_fields(headers, names)
        case KnownCustomer(customer):
            return [*remove_fields(headers, names), (names.customer, customer.name.encode())]


def remove_fields(headers: Headers, names: HeaderNames) -> Headers:
    """Return the header fields without the key and the customer's name."""
    removed = (names.api_key, names.customer)
    return [field for field in headers if field[0].replace(b"_", b"-") not in removed]
