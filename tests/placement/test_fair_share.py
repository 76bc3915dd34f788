"""Fair shares of customers in the capacity of a service."""

from dataclasses import replace
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from cactusvane.configuration.model import Configuration, Customer, Service
from cactusvane.fleet.vm import Address
from cactusvane.placement.domain import Domain
from cactusvane.placement.fair_share import Capacity, FairSharing, ServiceShares, water_level
from cactusvane.placement.messages import Place, Reject, RequestProfile, StateUpdate, Wait
from cactusvane.placement.peer import PEER_TIMEOUT_MS
from cactusvane.placement.placement import Placement
from cactusvane.placement.relaying import count_items, merge_updates
from tests.placement.fixtures import LOCAL, REMOTE, make_placement, make_profile, make_target
from tests.placement.test_domain import SERVICE, STORE_STATUS

PEER = Address("10.0.1.2", 7_000)
WORK_MS = 400


def make_shares(**works: int) -> ServiceShares:
    """Return the shares of a service in which peers have the given work in flight."""
    shares = ServiceShares({"low": 1, "lower": 1}, lambda now: 40.0)
    for customer, work_ms in works.items():
        shares.peers.add(customer, work_ms)
    return shares


def of_customer(name: str, priority: int = 0, now: float = 0.0) -> RequestProfile:
    return replace(make_profile(now=now), customer=name, customer_priority=priority)


def make_short_placement(own: dict[str, int]) -> Placement:
    """Return a placement with one target, with two busy slots and a request in its queue."""
    placement = make_placement(make_target(0, slots=2))
    placement.targets["t0"].peer_load = 3
    placement.shares = make_shares(**own)
    return placement


def make_domain() -> Domain:
    domain = Domain("e1", LOCAL, 100, Random(1))
    domain.set_targets({"records": (make_target(0), make_target(1))}, 0.0)
    domain.configure(Configuration((SERVICE,), customers=(Customer("big", ()),)), 0.0)
    return domain


def make_update(number: int, **works: int) -> StateUpdate:
    work = {"records": works} if works else None
    return StateUpdate("e2", number, 1, {}, store_status=STORE_STATUS, customer_work=work)


def peer_works(domain: Domain) -> dict[str, int]:
    return domain.fair_sharing.services["records"].peers.by_customer


@given(st.lists(st.integers(1, 100), min_size=1), st.integers(1, 500))
def test_the_level_uses_the_capacity_exactly_unless_all_work_fits(
    works: list[int], capacity: int
) -> None:
    """Guards against a level that leaves capacity unused, or that hands out more than there is."""
    level = water_level(works, capacity)
    used = sum(min(work, level) for work in works)
    assert abs(used - min(sum(works), capacity)) < 1e-6


@given(
    st.dictionaries(st.sampled_from("abcdef"), st.integers(1, 100), min_size=1),
    st.integers(1, 30),
    st.integers(1, 30),
)
def test_the_quick_test_agrees_with_the_level(works: dict[str, int], slots: int, load: int) -> None:
    """Guards against a decision that contradicts the share in its log line."""
    shares = make_shares(**works)
    for customer, work_ms in works.items():
        capacity = Capacity(slots, load)
        beyond = shares.is_beyond(of_customer(customer), 10.0, capacity)
        others, room_ms = shares.competition(of_customer(customer), capacity)
        level = water_level([*others, work_ms + 10.0], room_ms)
        if abs(level - work_ms - 10.0) > 1e-6:
            assert beyond == (work_ms + 10.0 > level)


def test_only_the_customer_with_the_most_work_is_beyond_its_share() -> None:
    """Guards against small customers that pay for a hot one."""
    shares = make_shares(hot=9 * WORK_MS, small=WORK_MS)
    assert shares.is_beyond(of_customer("hot"), WORK_MS, Capacity(10, 10))
    assert not shares.is_beyond(of_customer("small"), WORK_MS, Capacity(10, 10))
    assert not shares.is_beyond(of_customer("new"), WORK_MS, Capacity(10, 10))


def test_customers_with_one_request_each_do_not_hold_each_other_back() -> None:
    """Guards against rejections where there are more customers than slots."""
    shares = make_shares(**{f"c{number}": WORK_MS for number in range(20)})
    assert not shares.is_beyond(of_customer("new"), WORK_MS, Capacity(10, 20))


def test_shares_are_of_work_and_not_of_requests() -> None:
    """Guards against a customer that takes most of the capacity by a few long requests."""
    shares = make_shares(long=8_000, short=800)
    assert shares.is_beyond(of_customer("long"), 2_000, Capacity(12, 12))
    assert not shares.is_beyond(of_customer("short"), 100, Capacity(12, 12))


def test_work_of_a_lower_priority_takes_nothing_from_a_higher_one() -> None:
    """Guards against a customer of high priority that is held back for one of low priority."""
    shares = make_shares(high=2 * WORK_MS, low=8 * WORK_MS)
    assert not shares.is_beyond(of_customer("high", 0), WORK_MS, Capacity(10, 10))
    assert shares.is_beyond(of_customer("low", 1), WORK_MS, Capacity(10, 10))


def test_what_a_higher_priority_leaves_is_shared_among_the_lower_one() -> None:
    """Guards against equals of a low priority that lose their shares to each other."""
    shares = make_shares(high=6 * WORK_MS, low=3 * WORK_MS, lower=WORK_MS)
    assert shares.is_beyond(of_customer("low", 1), WORK_MS, Capacity(10, 10))
    assert not shares.is_beyond(of_customer("lower", 1), WORK_MS, Capacity(10, 10))


def test_without_a_local_target_nobody_is_beyond_its_share() -> None:
    """Guards against rejections by a capacity of which this entry knows nothing."""
    placement = make_placement(make_target(0, domain=REMOTE, slots=2))
    placement.targets["t0"].peer_load = 5
    shares = make_shares(hot=9 * WORK_MS)
    assert not shares.is_beyond(of_customer("hot"), WORK_MS, placement.capacity(0.0))


def test_work_that_ended_occupies_no_memory() -> None:
    """Guards against a table that grows with the customers that ever sent a request."""
    shares = make_shares()
    started = [shares.start(f"c{number}", 123.4) for number in range(100)]
    assert len(shares.own.by_customer) == 100
    for work in started:
        work.end()
    assert shares.own.by_customer == {}


def test_a_customer_beyond_its_share_waits_and_is_then_rejected() -> None:
    """Guards against a hot customer whose requests fill the queues of the targets."""
    placement = make_short_placement({"hot": 3 * WORK_MS})
    hot = of_customer("hot")
    decision = placement.place(hot, frozenset(), 0.0)
    assert isinstance(decision, Wait)
    later = placement.place(hot, frozenset(), decision.until)
    assert isinstance(later, Reject)
    assert later.reason == "over-share"
    assert later.retry_after_ms >= placement.settings.min_retry_after_ms
    assert later.share is not None
    assert (later.share.work_ms, later.share.slots, later.share.load) == (3 * WORK_MS, 2, 3)
    assert later.share.share_ms == 2 * WORK_MS
    assert later.share.age_ms == 40


def test_others_are_queued_meanwhile() -> None:
    """Guards against a shortage that is passed on to customers within their shares."""
    placement = make_short_placement({"hot": 3 * WORK_MS})
    assert isinstance(placement.place(of_customer("small"), frozenset(), 0.0), Place)


def test_nobody_is_held_back_while_a_slot_is_free() -> None:
    """Guards against capacity that is left unused."""
    placement = make_short_placement({"hot": 3 * WORK_MS})
    placement.targets["t0"].peer_load = 1
    assert isinstance(placement.place(of_customer("hot"), frozenset(), 0.0), Place)


def make_queued_placement(load: int, customer: str = "hot") -> Placement:
    """Return a placement with one target of four slots, at which one customer has all requests."""
    placement = make_placement(make_target(0, slots=4))
    placement.targets["t0"].peer_load = load
    placement.shares = make_shares(**{customer: load * WORK_MS})
    return placement


def test_a_customer_beyond_its_share_may_use_a_short_queue_only() -> None:
    """Guards against slots that stay idle until a request that is held back hears of them."""
    short, long = make_queued_placement(5), make_queued_placement(6)
    assert isinstance(short.place(of_customer("hot"), frozenset(), 0.0), Place)
    assert isinstance(long.place(of_customer("hot"), frozenset(), 0.0), Wait)


def test_it_may_use_no_queue_next_to_a_customer_of_a_higher_priority() -> None:
    """Guards against a queue in which the more urgent customer waits for a less urgent one."""
    placement = make_queued_placement(4, "low")
    placement.place(of_customer("high", 0), frozenset(), 0.0)
    assert isinstance(placement.place(of_customer("low", 1), frozenset(), 0.0), Wait)


def test_its_most_urgent_requests_may_use_a_longer_queue_than_less_urgent_routes() -> None:
    """Guards against requests of an urgent route that make room for those of a patient one."""
    placement = make_queued_placement(7)
    hot = of_customer("hot")
    assert isinstance(placement.place(hot, frozenset(), 0.0), Wait)
    placement.urgency.record(replace(hot, kind="patient", priority=5))
    assert isinstance(placement.place(hot, frozenset(), 0.0), Place)


def test_without_customers_no_work_is_counted_or_sent() -> None:
    """Guards against messages and decisions that change without customers."""
    domain = make_domain()
    domain.configure(Configuration((SERVICE,)), 0.0)
    placement = domain.placements["records"]
    assert placement.shares is None
    assert placement.start_work(of_customer("")) is None
    assert domain.next_update(STORE_STATUS, 0.0).customer_work is None


def test_an_update_has_only_work_in_flight() -> None:
    """Guards against updates that grow with the number of customers."""
    domain = make_domain()
    work = domain.placements["records"].start_work(of_customer("big"))
    assert work is not None
    sent = domain.next_update(STORE_STATUS, 0.0).customer_work
    assert sent == {"records": {"big": WORK_MS}}
    work.end()
    assert domain.next_update(STORE_STATUS, 0.0).customer_work is None


def test_an_update_replaces_the_work_of_the_previous_one() -> None:
    """Guards against work that counts twice, or for good."""
    domain = make_domain()
    domain.receive(make_update(1, big=300, small=100), PEER, 0.0)
    domain.receive(make_update(2, big=500), PEER, 0.0)
    assert peer_works(domain) == {"big": 500}
    domain.receive(make_update(3), PEER, 0.0)
    assert peer_works(domain) == {}


def test_a_silent_entry_has_no_work_in_flight() -> None:
    """Guards against a customer that is held back for requests that ended long ago."""
    domain = make_domain()
    domain.receive(make_update(1, big=300), PEER, 0.0)
    domain.expire(PEER_TIMEOUT_MS + 1.0)
    assert peer_works(domain) == {}
    domain.receive(make_update(2, big=200), PEER, PEER_TIMEOUT_MS + 2.0)
    assert peer_works(domain) == {"big": 200}


def test_a_new_list_of_targets_or_configuration_keeps_the_work() -> None:
    """Guards against work that is lost, or counts twice, when something else changes."""
    domain = make_domain()
    domain.receive(make_update(1, big=300), PEER, 0.0)
    domain.set_targets({"records": (make_target(0),)}, 0.0)
    domain.configure(Configuration((SERVICE,), customers=(Customer("big", (), priority=3),)), 0.0)
    assert peer_works(domain) == {"big": 300}
    assert domain.fair_sharing.services["records"].priorities == {"big": 3}


def test_work_of_an_unknown_service_is_ignored() -> None:
    """Guards against an exception while a peer has a newer configuration."""
    sharing = FairSharing(lambda now: None)
    sharing.configure(
        Configuration((Service("s", (), (), 1, 1, 1),), customers=(Customer("a", ()),))
    )
    sharing.add_peer({"other": {"a": 100}}, 1)
    assert sharing.services["s"].peers.by_customer == {}


def test_the_latest_work_survives_a_merge_of_updates() -> None:
    """Guards against work that ended and comes back with a retransmission."""
    merged = merge_updates(make_update(1, big=300), make_update(2))
    assert merged.customer_work is None


def test_work_of_customers_counts_for_the_size_of_a_batch() -> None:
    """Guards against a datagram that is too large for its customers."""
    many = make_update(1, **{f"c{number}": 1 for number in range(40)})
    assert count_items(many) == count_items(make_update(1)) + 10
