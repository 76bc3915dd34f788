"""Loads and evidence that entries share, with lost, duplicated and reordered updates."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from cactusvane.configuration.model import Configuration, Service
from cactusvane.fleet.vm import Address
from cactusvane.outcome import Outcome
from cactusvane.placement.domain import PEER_EXPIRY_MS, Domain
from cactusvane.placement.groups import MAX_GROUP_SIZE
from cactusvane.placement.messages import Observation, StateUpdate, StoreStatus
from cactusvane.placement.peer import PEER_TIMEOUT_MS
from tests.placement.fixtures import LOCAL, make_target

PEER = Address("10.0.1.2", 7_000)
STORE_STATUS = StoreStatus(True, 10.0, None, {})
SERVICE = Service("records", (), (), 1, 1, 1)


def make_domain() -> Domain:
    domain = Domain("e1", LOCAL, 100, Random(1))
    domain.set_targets({"records": (make_target(0), make_target(1))}, 0.0)
    domain.configure(Configuration((SERVICE,)), 0.0)
    return domain


def peer_loads(domain: Domain) -> dict[str, int]:
    targets = domain.placements["records"].targets
    return {name: target.peer_load for name, target in targets.items() if target.peer_load}


def make_update(number: int, started: int = 100, **in_flight: int) -> StateUpdate:
    return StateUpdate("e2", number, started, in_flight, store_status=STORE_STATUS)


def test_an_update_replaces_the_previous_one() -> None:
    domain = make_domain()
    assert domain.receive(make_update(1, t0=2), PEER, 0.0)
    assert domain.receive(make_update(2, t0=1, t1=3), PEER, 0.0)
    assert peer_loads(domain) == {"t0": 1, "t1": 3}


def test_an_update_overtaken_by_a_later_one_is_ignored() -> None:
    domain = make_domain()
    domain.receive(make_update(2, t0=1), PEER, 0.0)
    assert not domain.receive(make_update(1, t0=5), PEER, 0.0)
    assert peer_loads(domain) == {"t0": 1}


def test_a_restarted_process_counts_from_the_beginning() -> None:
    domain = make_domain()
    domain.receive(make_update(9, t0=4), PEER, 0.0)
    assert domain.receive(make_update(1, started=200), PEER, 0.0)
    assert peer_loads(domain) == {}


def test_an_entry_without_recent_updates_has_nothing_in_flight() -> None:
    domain = make_domain()
    domain.receive(make_update(1, t0=4), PEER, 0.0)
    domain.expire(PEER_TIMEOUT_MS + 1.0)
    assert peer_loads(domain) == {}
    assert domain.live_peers(PEER_TIMEOUT_MS + 1.0) == {}
    domain.expire(PEER_EXPIRY_MS + 1.0)
    assert domain.peers == {}


def test_own_updates_are_ignored() -> None:
    domain = make_domain()
    assert not domain.receive(replace(make_update(1, t0=1), sender="e1"), PEER, 0.0)
    assert domain.peers == {}


def test_loads_are_counted_for_targets_that_are_listed_later() -> None:
    domain = make_domain()
    domain.receive(make_update(1, t2=2), PEER, 0.0)
    domain.set_targets({"records": (make_target(2),)}, 0.0)
    assert peer_loads(domain) == {"t2": 2}


def test_an_observation_is_sent_once_and_applied() -> None:
    one, two = make_domain(), Domain("e2", LOCAL, 100, Random(2))
    two.observe(Observation("t0", "read", Outcome.FAILED, 10.0))
    update = two.next_update(STORE_STATUS, 0.0)
    assert two.next_update(STORE_STATUS, 0.0).observations == ()
    one.receive(update, PEER, 0.0)
    assert one.placements["records"].targets["t0"].evidence.failure_share(0.0) > 0.3


@settings(derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.integers(1, 8),
            st.dictionaries(st.sampled_from(["t0", "t1", "t9"]), st.integers(1, 4)),
        ),
        max_size=12,
    )
)
def test_loads_are_those_of_the_latest_update_in_any_order_of_arrival(
    updates: list[tuple[int, dict[str, int]]],
) -> None:
    domain = make_domain()
    latest: dict[int, dict[str, int]] = {}
    for number, in_flight in updates:
        domain.receive(make_update(number, **in_flight), PEER, 0.0)
        if number > max(latest, default=0):
            latest[number] = in_flight
    expected = latest[max(latest)] if latest else {}
    assert peer_loads(domain) == {name: n for name, n in expected.items() if name != "t9"}


def test_a_large_domain_is_split_into_groups_that_agree() -> None:
    names = [f"e{number}" for number in range(200)]
    reached: dict[str, set[int]] = {}
    for own in names:
        domain = Domain(own, LOCAL, 1, Random(1))
        for number, name in enumerate(names):
            domain.add_peer(name, Address("10.0.0.1", number), 0.0)
        reached[own] = {peer.address.port for peer in domain.group().values()}
        assert 0 < len(reached[own]) < 2 * MAX_GROUP_SIZE
    for number, name in enumerate(names):
        for other in reached[name]:
            assert number in reached[names[other]]


def test_the_store_status_is_sent_after_each_response_and_change_otherwise_rarely() -> None:
    domain = make_domain()
    assert domain.next_update(StoreStatus(True, 0.0, None, {"a": 1}), 1_000.0).is_full
    assert not domain.next_update(StoreStatus(True, 100.0, None, {"a": 1}), 1_100.0).is_full
    assert domain.next_update(StoreStatus(True, 0.0, None, {"a": 1}), 1_150.0).is_full
    assert domain.next_update(StoreStatus(True, 50.0, None, {"a": 2}), 1_200.0).is_full
    assert not domain.next_update(StoreStatus(True, 150.0, None, {"a": 2}), 1_300.0).is_full
    assert domain.next_update(StoreStatus(False, 250.0, None, {"a": 2}), 1_400.0).is_full
    assert domain.next_update(StoreStatus(False, 800.0, None, {"a": 2}), 1_950.0).is_full


def test_the_age_of_a_proof_alone_causes_no_store_status() -> None:
    """It differs in each update, and a full update is several times as long as another."""
    domain = make_domain()
    first = StoreStatus(True, 0.0, None, {}, proof_age_ms=10.0)
    assert domain.next_update(first, 1_000.0).is_full
    second = StoreStatus(True, 100.0, None, {}, proof_age_ms=110.0)
    assert not domain.next_update(second, 1_100.0).is_full


def test_updates_do_not_mark_a_target_as_used_whose_only_request_hangs() -> None:
    """Targets with hanging requests got nothing for 2 s and were considered to be in use."""
    domain = make_domain()
    domain.receive(make_update(1, t0=1, t1=1), PEER, 0.0)
    for number in range(2, 12):
        now = 200.0 * number
        ended = (Observation("t1", "read", Outcome.SERVED, 150.0),)
        update = replace(
            make_update(number, t0=1, t1=1), observations=ended, observations_before=number - 2
        )
        domain.receive(update, PEER, now)
    targets = domain.placements["records"].targets
    assert targets["t0"].used_at == 0.0
    assert targets["t1"].used_at == now
