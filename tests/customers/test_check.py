"""Checks of the customers in a configuration."""

import pytest

from cactusvane.configuration.model import Customer
from cactusvane.customers.check import check_customers
from cactusvane.errors import CustomerError

KEY = "s3cret-key"


@pytest.mark.parametrize(
    ("customers", "reason"),
    [
        ((Customer("a", (KEY,)), Customer("b", ("x", KEY))), "'a' and 'b' have the same key"),
        ((Customer("a", (KEY,)), Customer("a", ("x",))), "two customers have the name 'a'"),
        ((Customer("", (KEY,)),), "no name"),
        ((Customer("a\r\nx-admin: 1", (KEY,)),), "cannot be sent"),
        ((Customer(" a", (KEY,)),), "cannot be sent"),
        ((Customer("a", (KEY, "")),), "empty or not visible ASCII"),
        ((Customer("a", (f"{KEY} x",)),), "empty or not visible ASCII"),
        ((Customer("a", (f"{KEY}\n",)),), "empty or not visible ASCII"),
        ((Customer("a", (f"{KEY}é",)),), "empty or not visible ASCII"),
    ],
)
def test_invalid_customers_are_rejected_without_their_keys(
    customers: tuple[Customer, ...], reason: str
) -> None:
    """Guards against an ambiguous key, a forged header field, and a key in the logged reason."""
    with pytest.raises(CustomerError) as caught:
        check_customers(customers)
    assert reason in str(caught.value)
    assert KEY not in repr(caught.value)


def test_valid_customers() -> None:
    """Guards against rejecting a configuration for what is allowed; it would be rejected whole."""
    check_customers(
        (
            Customer("a", ("!~", "k,2", KEY)),
            Customer("twice the same", ("k3", "k3")),
            Customer("without keys", ()),
            Customer("Müller & Söhne", ("k4",)),
        )
    )
