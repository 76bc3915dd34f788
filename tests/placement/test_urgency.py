"""Which requests are the most urgent ones."""

from dataclasses import replace

from cactusvane.outcome import Outcome
from cactusvane.placement.messages import Observation, Place, RequestProfile, Wait
from cactusvane.placement.urgency import CUSTOMER_MEMORY_MS, Urgency
from tests.placement.fixtures import make_placement, make_profile, make_target


def of_customer(priority: int, now: float = 0.0, kind: str = "read") -> RequestProfile:
    profile = make_profile(kind, now=now)
    return replace(profile, customer=f"c{priority}", customer_priority=priority)


def test_the_customers_priority_takes_precedence_over_the_routes() -> None:
    """Guards against a route of low priority that ranks a customer of high priority last."""
    high = replace(of_customer(0), priority=9)
    low = replace(of_customer(1), priority=0)
    assert sorted([low, high], key=lambda each: each.rank) == [high, low]


def test_a_later_request_of_the_same_kind_does_not_hide_a_more_urgent_customer() -> None:
    """Guards against a flood of one customer that makes itself the most urgent one."""
    urgency = Urgency()
    urgency.record(of_customer(0))
    flood = of_customer(1)
    urgency.record(flood)
    assert urgency.most_urgent(flood).customer == "c0"


def test_a_customer_that_sends_nothing_more_reserves_no_capacity() -> None:
    """Guards against capacity that is held back for good for a customer that was removed."""
    urgency = Urgency()
    urgency.record(of_customer(0))
    late = of_customer(1, CUSTOMER_MEMORY_MS + 1.0)
    urgency.record(late)
    assert urgency.most_urgent(late) == late


def test_kinds_without_customers_are_urgent_for_good_as_before() -> None:
    """Guards against another decision where the configuration has no customers."""
    urgency = Urgency()
    urgency.record(make_profile("urgent", priority=0))
    late = make_profile("patient", priority=2, now=10 * CUSTOMER_MEMORY_MS)
    urgency.record(late)
    assert urgency.most_urgent(late).kind == "urgent"


def test_a_less_urgent_customer_leaves_capacity_for_the_most_urgent_one() -> None:
    """Guards against a queue that the requests of the less urgent customer fill alone."""
    placement = make_placement(make_target(0, slots=2))
    for _ in range(30):
        placement.record_observation(Observation("t0", "read", Outcome.SERVED, 700.0), 0.0)
    high, low = of_customer(0), of_customer(1)
    assert isinstance(placement.place(low, frozenset(), 0.0), Place)
    placement.targets["t0"].peer_load = 2
    placement.place(high, frozenset(), 0.0)
    assert isinstance(placement.place(low, frozenset(), 0.0), Wait)
    assert isinstance(placement.place(high, frozenset(), 0.0), Place)


def test_only_recent_requests_of_less_urgent_routes_count() -> None:
    """Guards against a longer queue for a customer beyond its share, for requests of long ago."""
    urgency = Urgency()
    urgency.record(replace(of_customer(0, kind="patient"), priority=5))
    urgent = of_customer(0)
    assert urgency.has_less_urgent(urgent)
    assert not urgency.has_less_urgent(replace(urgent, priority=5))
    assert not urgency.has_less_urgent(of_customer(0, CUSTOMER_MEMORY_MS + 1.0))
