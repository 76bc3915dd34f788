"""Retries that entries share: failures come in clusters at some of them."""

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
    """Return entries of one failure domain that have all heard each other, long after the start."""
    entries = [
        Domain(f"e{number}", "near", 1, Random(number), limit=LIMIT) for number in range(count)
    ]
    for entry in entries:
        entry.configure(Configuration((SERVICE,)), 0.0)
    send_all_updates(entries, WINDOW_MS)
    return entries


def send_all_updates(entries: list[Domain], now: float) -> None:
    """Let every entry tell all others."""
    for number, sender in enumerate(entries):
        update = sender.next_update(STORE_STATUS, now)
        for entry in entries:
            entry.receive(update, Address("10.0.1.1", 7_000 + number), now)


def take_retries(entry: Domain, wanted: int, now: float) -> int:
    """Return how many of the wanted retries an entry gets."""
    return sum(entry.retries["records"].withdraw(now) for _ in range(wanted))


def test_one_entry_may_use_what_the_others_do_not_need() -> None:
    """A gray target fails ten reads in a row at one of sixteen entries of few requests each."""
    entries = make_entries(16)
    assert take_retries(entries[0], 10, WINDOW_MS) == 10


def test_together_they_stay_within_the_allowance() -> None:
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


def test_the_allowance_is_whole_again_after_the_window() -> None:
    entries = make_entries(4)
    assert take_retries(entries[0], 100, WINDOW_MS) == 20
    assert take_retries(entries[0], 100, 1.5 * WINDOW_MS) == 0
    send_all_updates(entries, 2.2 * WINDOW_MS)
    assert take_retries(entries[0], 100, 2.2 * WINDOW_MS) == 20


def test_an_entry_that_hears_nobody_keeps_to_its_own_part() -> None:
    entries = make_entries(10)
    alone = entries[0]
    assert take_retries(alone, 100, WINDOW_MS + 5_000.0) == 2


def test_what_a_process_spent_counts_after_it_was_started_again() -> None:
    entries = make_entries(2)
    assert take_retries(entries[1], 100, WINDOW_MS) == 20
    send_all_updates(entries, WINDOW_MS)
    restarted = Domain("e1", "near", 2, Random(1), limit=LIMIT)
    restarted.configure(Configuration((SERVICE,)), WINDOW_MS)
    entries[0].receive(
        restarted.next_update(STORE_STATUS, WINDOW_MS), Address("10.0.1.1", 7_001), WINDOW_MS
    )
    assert take_retries(entries[0], 100, WINDOW_MS) == 0


def test_right_after_a_start_little_is_given_out_besides_the_share() -> None:
    """What was spent before all processes ended is not known, and still counts."""
    retries = SharedRetries(LIMIT, started_at=0.0, live_share=lambda now: 1.0)
    assert retries.extra_allowance(0.0) == 2.0
    assert retries.extra_allowance(5_000.0) == 10.0
    assert retries.extra_allowance(10_000.0) == 20.0


@settings(max_examples=60)
@given(st.lists(st.tuples(st.floats(0.0, 60_000.0), st.booleans()), max_size=80))
def test_no_window_holds_more_than_the_allowance(steps: list[tuple[float, bool]]) -> None:
    retries = SharedRetries(LIMIT, started_at=-WINDOW_MS, live_share=lambda now: 1.0)
    requests: list[float] = []
    taken: list[float] = []
    for now, is_request in sorted(steps):
        if is_request:
            retries.deposit(now)
            requests.append(now)
        elif retries.withdraw(now):
            taken.append(now)
    for end in taken:
        used = sum(end - WINDOW_MS < at <= end for at in taken)
        asked = sum(end - 1.05 * WINDOW_MS - 1.0 < at <= end for at in requests)
        assert used <= LIMIT.share * asked + LIMIT.extra / LIMIT.domains


def test_counts_of_a_window_leave_it() -> None:
    window = RetryUsageWindow(WINDOW_MS)
    window.add(1, 0, 0.0)
    window.add(1, 1, 6_000.0)
    assert window.total(9_999.0) == RetryUsage(2, 1)
    assert window.total(10_600.0) == RetryUsage(1, 1)
    assert window.total(17_000.0) == RetryUsage(0, 0)
