"""Which part of the fleet an entry is in contact with."""

import pytest

from cactusvane.quota.contacts import GROUP_RESUME_MS, RESUME_MS, START_MS, Contacts
from cactusvane.quota.reach import FULL_REACH
from cactusvane.quota.settings import QuotaSettings

DOMAINS = ("z0", "z1", "z2")


def make_contacts(is_first_start: bool = True) -> Contacts:
    contacts = Contacts("z0", DOMAINS, QuotaSettings(), 0.0, is_first_start)
    contacts.group_size = 10
    return contacts


def hear_all(contacts: Contacts, now: float) -> None:
    contacts.heard(now)
    contacts.reported(("z1", 0), now)
    contacts.reported(("z2", 0), now)


def test_an_entry_that_hears_all_groups_shares_the_whole_quota() -> None:
    contacts = make_contacts()
    hear_all(contacts, 0.0)
    assert contacts.reach(300.0) == FULL_REACH


def test_a_silent_group_keeps_its_share_until_it_has_reported_all() -> None:
    """Guards against giving away the tokens of a group that returns before its usage is known."""
    contacts = make_contacts()
    hear_all(contacts, 0.0)
    for now in range(100, 2_000, 100):
        contacts.heard(now)
        contacts.reported(("z1", 0), now)
    reach = contacts.reach(1_900.0)
    assert (reach.share, reach.silent) == (pytest.approx(2.0 / 3.0), (("z2", 0),))
    hear_all(contacts, 2_000.0)
    assert contacts.reach(2_000.0).share < 1.0
    for now in range(2_100, 3_300, 100):
        hear_all(contacts, now)
    assert contacts.reach(2_000.0 + GROUP_RESUME_MS + 100.0) == FULL_REACH


def test_an_entry_that_wakes_after_a_pause_is_isolated() -> None:
    """Guards against acting on datagrams from the beginning of a pause as if they were new."""
    contacts = make_contacts()
    hear_all(contacts, 0.0)
    assert contacts.reach(4_000.0).isolated
    hear_all(contacts, 4_000.0)
    reach = contacts.reach(4_000.0 + RESUME_MS - 1.0)
    assert reach.isolated
    assert reach.share == pytest.approx(0.1 / 3.0)


def test_a_started_entry_is_isolated_until_it_hears_another_one() -> None:
    """Guards against each entry of a restarted fleet using the whole quota."""
    contacts = make_contacts(is_first_start=False)
    assert contacts.reach(10.0).share < 0.01
    contacts.heard(50.0)
    assert not contacts.reach(50.0).isolated
    assert contacts.reach(50.0).share == pytest.approx(1.0 / 3.0)
    alone = make_contacts(is_first_start=False)
    assert not alone.reach(START_MS).isolated
