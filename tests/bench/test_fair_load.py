"""Fair sharing on simulated load patterns, against the code without it and a fair queue."""

from collections.abc import Iterable
from functools import cache

import pytest

from bench.load import (
    CustomerTally,
    MakeEntry,
    SharedEntry,
    Tally,
    UnfairEntry,
    run_fair_queue,
    run_pattern,
)
from bench.load_model import CUSTOMER_PATTERNS, Pattern

SEEDS = {"mixed work": (1, 2, 3, 4, 5)}
"""Seeds of patterns whose results vary by more than `MAX_LOSS` from seed to seed."""

DEFAULT_SEEDS = (1, 2)
MIN_REQUESTS = 20
"""A customer with fewer requests has a share served that is mostly chance."""

MIN_SHARE = 0.25
"""Least share of a customer's requests that is served, as a part of the share over all."""

MAX_LOSS = 0.02
"""Largest loss of served requests compared to the code without fair sharing."""

MAX_SMALL_LOAD = 0.04
"""A customer with a smaller load, as a share of the capacity, is a small one."""

PATTERNS = {pattern.name: pattern for pattern in CUSTOMER_PATTERNS}
SHORTAGES = [name for name in PATTERNS if name not in ("no shortage", "priorities")]


@cache
def run(name: str, make: MakeEntry) -> Tally:
    return add_up(run_pattern(PATTERNS[name], seed, make) for seed in seeds(name))


def seeds(name: str) -> tuple[int, ...]:
    return SEEDS.get(name, DEFAULT_SEEDS)


def add_up(tallies: Iterable[Tally]) -> Tally:
    """Return the numbers of requests of several runs together."""
    total = Tally()
    for tally in tallies:
        total.requests += tally.requests
        for name, each in tally.by_customer.items():
            customer = total.by_customer.setdefault(name, CustomerTally())
            customer.requests += each.requests
            customer.served += each.served
    return total


def served_share(tally: Tally) -> float:
    return sum(each.served for each in tally.by_customer.values()) / tally.requests


def shares(tally: Tally) -> dict[str, float]:
    return {
        name: each.served_share
        for name, each in tally.by_customer.items()
        if each.requests >= MIN_REQUESTS
    }


def share_of_others(tally: Tally, pattern: Pattern) -> float:
    """Return the share served of the requests of all customers with a small load."""
    small = {each.name for each in pattern.customers if each.load < MAX_SMALL_LOAD}
    tallies = [each for name, each in tally.by_customer.items() if name in small]
    return sum(each.served for each in tallies) / sum(each.requests for each in tallies)


@pytest.mark.parametrize("name", PATTERNS)
def test_each_customer_gets_a_quarter_of_the_common_share(name: str) -> None:
    """Guards against a customer that is starved by the others, or as a punishment."""
    tally = run(name, SharedEntry)
    assert min(shares(tally).values()) >= MIN_SHARE * served_share(tally)


@pytest.mark.parametrize("name", PATTERNS)
def test_as_many_requests_are_served_as_without_fair_sharing(name: str) -> None:
    """Guards against slots that stay idle while requests are held back."""
    assert served_share(run(name, SharedEntry)) >= (1 - MAX_LOSS) * served_share(
        run(name, UnfairEntry)
    )


@pytest.mark.parametrize("name", SHORTAGES)
def test_small_customers_are_served_more_than_without_fair_sharing(name: str) -> None:
    """Guards against a shortage that customers within their shares pay for.

    They get half of what a fair queue that knows each request's work adds for them, or more.
    """
    fair = share_of_others(run(name, SharedEntry), PATTERNS[name])
    unfair = share_of_others(run(name, UnfairEntry), PATTERNS[name])
    perfect = add_up(run_fair_queue(PATTERNS[name], seed) for seed in seeds(name))
    ideal = share_of_others(perfect, PATTERNS[name])
    assert fair >= (unfair + ideal) / 2


def test_a_higher_priority_is_served_more_than_a_lower_one() -> None:
    """Guards against a customer that is held back for one of a lower priority."""
    found = shares(run("priorities", SharedEntry))
    assert min(found["p0"], found["p0 hot"]) > max(found["p1"], found["p1 hot"], found["p2"])
    before = shares(run("priorities", UnfairEntry))
    assert min(found["p0"], found["p0 hot"]) > min(before["p0"], before["p0 hot"])


def test_nothing_changes_while_there_is_enough_capacity() -> None:
    """Guards against requests that are held back without a shortage."""
    fair, unfair = run("no shortage", SharedEntry), run("no shortage", UnfairEntry)
    assert served_share(fair) >= served_share(unfair) - 0.002
