"""Retry budget that entries share, as failures come in clusters at some of them."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from cactusvane.configuration.model import Configuration, Service
from cactusvane.fleet.vm import Address
from cactusvane.placement.domain import Domain
from cactusvane.placement.messages import StoreStatus
from cactusvane.placement.retries import RetryLimit, RetryUsage, RetryUsageWindow, SharedRetries

WINDOW_MS = 10_000.0
LIMIT = RetryLimit(share=0.2, extra=60.0, window_ms=WINDOW_MS, domains=3)
STORE_STATUS = StoreStatus(True, 0.0, None, {})
SERVICE = Service("records", (), (), 1, 1, 1)


def make_entries(count: int) -> list[Domain]:
    """Return entries of one failure domain that know each other, long after their start."""
    entries = [
        Domain(f"e{number}", "near", 1, Random(number), limit=LIMIT) for number in range(count)
    ]
    for entry in entries:
        entry.configure(Configuration((SERVICE,)), 0.0)
    send_all_updates(entries, WINDOW_MS)
    return entries


def send_all_updates(entries: list[Domain], now: float) -> None:
    """Send an update of every entry to all others."""
    for number, sender in enumerate(entries):
        update = sender.next_update(STORE_STATUS, now)
        for entry in entries:
            entry.receive(update, Address("10.0.1.1", 7_000 + number), now)


def take_retries(entry: Domain, wanted: int, now: float) -> int:
    """Return how many of the wanted retries an entry gets."""
    return sum(entry.retries["records"].withdraw(now) for _ in range(wanted))


def test_one_entry_may_use_the_retries_that_the_others_do_not_need() -> None:
    """A gray target fails ten reads in a row at one of sixteen entries with few requests each."""
    entries = make_entries(16)
    assert take_retries(entries[0], 10, WINDOW_MS) == 10


def test_all_entries_together_stay_within_the_budget() -> None:
    entries = make_entries(16)
    now = WINDOW_MS
    for entry in entries:
        for _ in range(5):
            entry.retries["records"].deposit(now)
    send_all_updates(entries, now)
    granted = 0
    for _ in range(10):
        for entry in entries:
            granted += take_retries(entry, 1, now)
            send_all_updates(entries, now)
    assert granted == int(0.2 * 16 * 5 + 60.0 / 3)


def test_the_full_budget_is_available_again_after_the_window() -> None:
    entries = make_entries(4)
    assert take_retries(entries[0], 100, WINDOW_MS) == 20
    assert take_retries(entries[0], 100, 1.5 * WINDOW_MS) == 0
    send_all_updates(entries, 2.2 * WINDOW_MS)
    assert take_retries(entries[0], 100, 2.2 * WINDOW_MS) == 20


def test_an_isolated_entry_uses_only_its_own_share() -> None:
    entries = make_entries(10)
    isolated = entries[0]
    assert take_retries(isolated, 100, WINDOW_MS + 5_000.0) == 2


def test_the_usage_of_a_process_counts_after_its_restart() -> None:
    entries = make_entries(2)
    assert take_retries(entries[1], 100, WINDOW_MS) == 20
    send_all_updates(entries, WINDOW_MS)
    restarted = Domain("e1", "near", 2, Random(1), limit=LIMIT)
    restarted.configure(Configuration((SERVICE,)), WINDOW_MS)
    entries[0].receive(
        restarted.next_update(STORE_STATUS, WINDOW_MS), Address("10.0.1.1", 7_001), WINDOW_MS
    )
    assert take_retries(entries[0], 100, WINDOW_MS) == 0


def test_little_of_the_extra_retries_is_available_right_after_a_start() -> None:
    """The usage from before a restart of all processes is unknown and still counts."""
    retries = SharedRetries(LIMIT, started_at=0.0, live_share=lambda now: 1.0)
    assert retries.extra_allowance(0.0) == 2.0
    assert retries.extra_allowance(5_000.0) == 10.0
    assert retries.extra_allowance(10_000.0) == 20.0


@settings(max_examples=60)
@given(st.lists(st.tuples(st.floats(0.0, 60_000.0), st.booleans()), max_size=80))
def test_no_window_contains_more_retries_than_the_budget(steps: list[tuple[float, bool]]) -> None:
    retries = SharedRetries(LIMIT, started_at=-WINDOW_MS, live_share=lambda now: 1.0)
    requests: list[float] = []
    granted_at: list[float] = []
    for now, is_request in sorted(steps):
        if is_request:
            retries.deposit(now)
            requests.append(now)
        elif retries.withdraw(now):
            granted_at.append(now)
    for end in granted_at:
        used = sum(end - WINDOW_MS < at <= end for at in granted_at)
        requested = sum(end - 1.05 * WINDOW_MS - 1.0 < at <= end for at in requests)
        assert used <= LIMIT.share * requested + LIMIT.extra / LIMIT.domains


def test_counts_expire_from_the_window() -> None:
    window = RetryUsageWindow(WINDOW_MS)
    window.add(1, 0, 0.0)
    window.add(1, 1, 6_000.0)
    assert window.total(9_999.0) == RetryUsage(2, 1)
    assert window.total(10_600.0) == RetryUsage(1, 1)
    assert window.total(17_000.0) == RetryUsage(0, 0)
