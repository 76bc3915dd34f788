"""Whom a request is of, and the header fields that targets get."""

from dataclasses import replace

import pytest

from cactusvane.configuration.model import Configuration, Customer, Route
from cactusvane.customers.identity import (
    Anonymous,
    Identity,
    KnownCustomer,
    NoCustomers,
    UnknownKey,
    identify,
    replace_fields,
)
from cactusvane.customers.keys import KeyTable, build_key_table
from cactusvane.http.message import Headers
from cactusvane.http.vocabulary import HeaderNames

NAMES = HeaderNames(api_key=b"api-key", customer=b"x-tenant-name")
CUSTOMER = Customer("a", ("k1",))
KEYS = build_key_table(Configuration(customers=(CUSTOMER, Customer("b", ("k2",)))))
ROUTE = Route("/a/", ("GET",), True, "read")
SENT: Headers = [(b"api-key", b"k1"), (b"accept", b"*/*"), (b"x-tenant-name", b"forged")]


@pytest.mark.parametrize(
    ("headers", "identity"),
    [
        ([(b"api-key", b"k1")], KnownCustomer(CUSTOMER)),
        ([(b"api-key", b"k9")], UnknownKey(1)),
        ([(b"api-key", b"")], UnknownKey(1)),
        ([], UnknownKey(0)),
        ([(b"api-key", b"k1"), (b"api-key", b"k1")], UnknownKey(2)),
        ([(b"api-key", b"k1"), (b"api-key", b"k2")], UnknownKey(2)),
        ([(b"x-tenant-name", b"a")], UnknownKey(0)),
        ([(b"api_key", b"k1")], UnknownKey(0)),
    ],
)
def test_a_request_needs_one_known_key(headers: Headers, identity: object) -> None:
    """Guards against accepting a request by its claimed name, or by one of several keys."""
    assert identify(KEYS, ROUTE, headers, NAMES) == identity


def test_requests_that_need_no_key() -> None:
    """Guards against a 401 on an anonymous route or without customers."""
    open_route = replace(ROUTE, anonymous=True)
    assert identify(KEYS, open_route, [(b"api-key", b"k9")], NAMES) == Anonymous()
    assert identify(KeyTable(), ROUTE, [], NAMES) == NoCustomers()


@pytest.mark.parametrize(
    ("identity", "forwarded"),
    [
        (NoCustomers(), SENT),
        (Anonymous(), [(b"accept", b"*/*")]),
        (KnownCustomer(CUSTOMER), [(b"accept", b"*/*"), (b"x-tenant-name", b"a")]),
    ],
)
def test_fields_for_targets(identity: Identity, forwarded: Headers) -> None:
    """Guards against a key at a target, and a customer's name that the caller has chosen."""
    assert list(replace_fields(SENT, identity, NAMES)) == list(forwarded)


def test_names_that_frameworks_take_for_the_same_are_removed() -> None:
    """Guards against a forged name at targets that read an underscore as a hyphen."""
    sent = [(b"x_tenant_name", b"forged"), (b"api_key", b"k1"), (b"x_other", b"1")]
    fields = replace_fields(sent, KnownCustomer(CUSTOMER), NAMES)
    assert list(fields) == [(b"x_other", b"1"), (b"x-tenant-name", b"a")]


def test_a_name_that_is_not_ascii_is_sent_in_utf_8() -> None:
    """Guards against an internal error for each request of such a customer."""
    fields = replace_fields([], KnownCustomer(Customer("Müller", ())), NAMES)
    assert list(fields) == [(b"x-tenant-name", "Müller".encode())]
