"""Checks of the customers in a configuration; no error text contains a key."""

import re

from cactusvane.configuration.model import Customer
from cactusvane.errors import CustomerError

KEY = re.compile(r"[!-~]+")
"""Visible ASCII characters, since a key is sent in a header field."""

UNSENDABLE = re.compile(r"[\x00-\x1f\x7f]")
"""Control characters, which no header field may contain."""


def check_customers(customers: tuple[Customer, ...]) -> None:
    """Reject customers whose requests cannot be told apart, or whose names cannot be sent.

    A customer may have no keys; none of its requests is accepted then.

    Raises
    ------
    CustomerError
        With the names of the customers concerned.

    Examples
    --------
    >>> check_customers((Customer("a", ("k1",)), Customer("b", ("k1",))))
    Traceback (most recent call last):
    ...
    cactusvane.errors.CustomerError: the customers 'a' and 'b' have the same key
    """
    names: set[str] = set()
    owners: dict[str, str] = {}
    for customer in customers:
        check_name(customer.name)
        if customer.name in names:
            raise CustomerError(f"two customers have the name {customer.name!r}")
        names.add(customer.name)
        check_keys(customer, owners)


def check_name(name: str) -> None:
    """Reject a name that targets cannot be told in a header field.

    Raises
    ------
    CustomerError
        The name is empty, has control characters, or begins or ends with a space.
    """
    if not name:
        raise CustomerError("a customer has no name")
    if UNSENDABLE.search(name) or name != name.strip():
        raise CustomerError(f"the name {name!r} of a customer cannot be sent in a header field")


def check_keys(customer: Customer, owners: dict[str, str]) -> None:
    """Reject a key that cannot be sent, or that an earlier customer has; add all to `owners`.

    Raises
    ------
    CustomerError
        A key is empty, not visible ASCII, or has another owner.
    """
    for key in customer.keys:
        if not KEY.fullmatch(key):
            text = f"a key of the customer {customer.name!r} is empty or not visible ASCII"
            raise CustomerError(text)
        owner = owners.setdefault(key, customer.name)
        if owner != customer.name:
            text = f"the customers {owner!r} and {customer.name!r} have the same key"
            raise CustomerError(text)
