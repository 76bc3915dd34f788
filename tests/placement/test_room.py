"""Tests of the free capacity that groups report to each other."""

from random import Random

import msgspec
from msgspec.structs import replace as replace_message

from cactusvane.configuration.model import Configuration, Service
from cactusvane.metrics import RoomCounts
from cactusvane.outcome import Outcome
from cactusvane.placement.domain import Domain
from cactusvane.placement.messages import (
    Decision,
    DomainReport,
    Message,
    Place,
    PlacementReason,
    ServiceRoom,
)
from cactusvane.placement.placement import Placement
from cactusvane.placement.room import MAX_AGE_MS, MAX_SERVICES, describe_rooms, largest
from cactusvane.placement.settings import PlacementSettings
from tests.placement.fixtures import LOCAL, REMOTE, failed, make_profile, make_target

NOW = 500.0
"""Early enough that no target counts as unused when the latest report is too old."""
SERVICE = "records"
LOCAL_TARGETS = ("t0", "t1")
REMOTE_TARGETS = ("t2", "t3")


def make_domain(share_room: bool = True, seed: int = 1) -> Domain:
    """Return the state of an entry, with two targets of 4 slots in each of two failure domains."""
    domain = Domain("e1", LOCAL, 1, Random(seed), PlacementSettings(share_room=share_room))
    targets = (
        make_target(0),
        make_target(1),
        make_target(2, REMOTE),
        make_target(3, REMOTE),
    )
    domain.set_targets({SERVICE: targets}, 0.0)
    domain.configure(Configuration((Service(SERVICE, (), (), 1, 1, 1),)), 0.0)
    return domain


def placement_of(domain: Domain) -> Placement:
    return domain.placements[SERVICE]


def fill(domain: Domain, names: tuple[str, ...], load: int = 4) -> None:
    """Let requests be in flight at each of these targets."""
    for name in names:
        placement_of(domain).targets[name].own_load = load


def report(
    free_slots: int = 8, number: int = 1, away: dict[str, int] | None = None
) -> DomainReport:
    room = {SERVICE: ServiceRoom(free_slots, 0.0, away or {})}
    return DomainReport("f1", REMOTE, 0, number, 1, room=room)


def receive(domain: Domain, message: DomainReport, now: float = NOW) -> None:
    assert domain.rooms is not None
    domain.rooms.receive(message, now)


def decide(domain: Domain, now: float = NOW, arrived: float = NOW) -> Decision:
    return placement_of(domain).decide(make_profile(now=arrived), frozenset(), now)


def went_for_room(decision: Decision) -> bool:
    return isinstance(decision, Place) and decision.reason is PlacementReason.ROOM


def test_without_a_free_slot_a_request_goes_where_there_is_one() -> None:
    """Guards against requests that queue while targets of another failure domain are free."""
    domain = make_domain()
    fill(domain, LOCAL_TARGETS)
    receive(domain, report())
    decision = decide(domain)
    assert isinstance(decision, Place)
    assert decision.name in REMOTE_TARGETS
    assert decision.reason is PlacementReason.ROOM
    assert decision.room is not None
    assert (decision.room.failure_domain, decision.room.free_slots) == (REMOTE, 8)


def test_a_request_stays_while_its_own_failure_domain_has_a_free_slot() -> None:
    """Guards against paying for the way to another failure domain without need."""
    domain = make_domain()
    fill(domain, LOCAL_TARGETS, 3)
    receive(domain, report())
    decision = decide(domain)
    assert isinstance(decision, Place)
    assert decision.name in LOCAL_TARGETS


def test_old_reports_do_not_count() -> None:
    """Guards against sending to a failure domain whose state is not known any more."""
    domain = make_domain()
    fill(domain, LOCAL_TARGETS)
    receive(domain, report())
    assert went_for_room(decide(domain, NOW + MAX_AGE_MS))
    assert not went_for_room(decide(domain, NOW + MAX_AGE_MS + 1.0))


def test_a_failure_domain_that_does_not_report_a_service_counts_as_full() -> None:
    """Guards against taking unknown capacity for free."""
    domain = make_domain()
    fill(domain, LOCAL_TARGETS)
    receive(domain, replace_message(report(), room={}))
    assert not went_for_room(decide(domain))


def test_a_request_stays_if_the_other_failure_domain_reports_no_free_slot() -> None:
    """Guards against requests that leave one queue for an unknown one in overload."""
    domain = make_domain()
    fill(domain, LOCAL_TARGETS, 7)
    without_report = decide(domain)
    assert isinstance(without_report, Place)
    assert without_report.name in REMOTE_TARGETS
    receive(domain, report(free_slots=0))
    decision = decide(domain)
    assert not isinstance(decision, Place) or decision.name in LOCAL_TARGETS


def test_without_usable_targets_of_its_own_a_full_failure_domain_is_used() -> None:
    """Guards against rejecting requests for a report while targets accept them."""
    domain = make_domain()
    for name in LOCAL_TARGETS:
        placement_of(domain).targets[name].misplaced = True
    receive(domain, report(free_slots=0))
    decision = decide(domain)
    assert isinstance(decision, Place)
    assert decision.name in REMOTE_TARGETS


def test_a_bad_target_with_a_free_slot_is_no_shortage() -> None:
    """Guards against moving requests away for failures, which costs decide about as before."""
    domain = make_domain()
    fill(domain, ("t0",))
    for _ in range(5):
        placement_of(domain).record_observation(failed("t1", Outcome.FAILED), NOW)
    receive(domain, report())
    assert not went_for_room(decide(domain))


def test_with_bad_targets_alone_a_full_failure_domain_is_not_left_out() -> None:
    """Guards against requests that must stay at failing targets because others are busy."""
    domain = make_domain()
    fill(domain, LOCAL_TARGETS)
    for name in LOCAL_TARGETS:
        for _ in range(5):
            placement_of(domain).record_observation(failed(name, Outcome.FAILED), NOW)
    receive(domain, report(free_slots=0))
    decision = decide(domain)
    assert isinstance(decision, Place)
    assert decision.name in REMOTE_TARGETS


def test_requests_of_other_failure_domains_occupy_reported_slots() -> None:
    """Guards against two failure domains that both fill the free slots of a third one.

    The entries there report their own requests only.
    """
    domain = make_domain()
    fill(domain, LOCAL_TARGETS)
    receive(domain, report())
    other = DomainReport("g1", "Aranos", 0, 1, 1, room={SERVICE: ServiceRoom(0, 0.0, {REMOTE: 8})})
    receive(domain, other)
    assert not went_for_room(decide(domain))


def test_a_group_sends_about_as_many_requests_as_there_are_free_slots() -> None:
    """Guards against a stampede: all entries of a group decide alike, from the same report."""
    domain = make_domain()
    placement = placement_of(domain)
    for _ in range(1_000):
        placement.outcomes.add(True, NOW)
    fill(domain, LOCAL_TARGETS)
    receive(domain, report(free_slots=4))
    assert domain.rooms is not None
    assert placement.rooms is not None
    expected = placement.rooms.expected_requests(NOW)
    assert expected > 40.0
    drawn = [went_for_room(decide(domain, NOW, NOW - number / 7.0)) for number in range(1_000)]
    assert 0.5 * 4 / expected < sum(drawn) / len(drawn) < 1.5 * 4 / expected


def test_a_waiting_request_gets_the_same_draw_until_the_next_report() -> None:
    """Guards against a stampede of waiting requests, which are placed again at each change."""
    domain = make_domain()
    placement = placement_of(domain)
    for _ in range(1_000):
        placement.outcomes.add(True, NOW)
    fill(domain, LOCAL_TARGETS)
    receive(domain, report(free_slots=4))
    refused = next(
        arrived
        for arrived in (NOW - number / 7.0 for number in range(100))
        if not went_for_room(decide(domain, NOW, arrived))
    )
    assert not any(went_for_room(decide(domain, NOW, refused)) for _ in range(100))


def test_sending_starts_with_more_free_slots_than_it_stops_at() -> None:
    """Guards against a group that starts and stops sending at each report."""
    domain = make_domain()
    fill(domain, LOCAL_TARGETS)
    rooms = placement_of(domain).rooms
    assert rooms is not None
    room = rooms.room(REMOTE, [], NOW)
    assert room is None
    targets = tuple(make_target(number, REMOTE) for number in range(2, 12))
    domain.set_targets({SERVICE: (make_target(0), make_target(1), *targets)}, 0.0)
    fill(domain, LOCAL_TARGETS)
    seen = []
    for number, free_slots in enumerate((3, 4, 3, 1, 3), start=1):
        receive(domain, report(free_slots, number))
        assert domain.rooms is not None
        seen.append(bool(rooms.rooms(domain.rooms.recent(NOW), NOW)))
    assert seen == [False, True, True, False, False]


def test_bad_targets_of_other_failure_domains_get_no_requests_for_room() -> None:
    """Guards against leaving a queue for a target that fails requests."""
    domain = make_domain()
    fill(domain, LOCAL_TARGETS)
    receive(domain, report())
    for _ in range(5):
        placement_of(domain).record_observation(failed("t2", Outcome.FAILED), NOW)
    names = set()
    for number in range(50):
        decision = decide(domain, NOW, NOW - number)
        assert isinstance(decision, Place)
        names.add(decision.name)
    assert names == {"t3"}


def test_a_report_tells_free_slots_and_requests_sent_away() -> None:
    """Guards against reporting the slots of other failure domains as own ones."""
    domain = make_domain()
    fill(domain, ("t0",), 3)
    fill(domain, ("t2",), 2)
    assert domain.rooms is not None
    filled = domain.rooms.fill(DomainReport("e1", LOCAL, 0, 1, 1), NOW)
    assert filled.room[SERVICE].free_slots == 5
    assert filled.room[SERVICE].away == {REMOTE: 2}


def test_each_of_several_groups_reports_its_part_of_the_slots() -> None:
    """Guards against counting the free slots of a failure domain once for each of its groups."""
    domain = make_domain()
    assert domain.rooms is not None
    domain.rooms.group_count = lambda: 2
    fill(domain, ("t0",), 1)
    filled = domain.rooms.fill(DomainReport("e1", LOCAL, 0, 1, 1), NOW)
    assert filled.room[SERVICE].free_slots == 3


def test_a_report_is_bounded() -> None:
    """Guards against reports that fill a slow link in fleets with many services."""
    rooms = {f"s{number:03}": ServiceRoom(number, 0.0) for number in range(500)}
    kept = largest(rooms)
    assert len(kept) == MAX_SERVICES
    assert min(room.free_slots for room in kept.values()) == 500 - MAX_SERVICES


def test_metrics_tell_the_free_slots_that_are_known() -> None:
    """Guards against metrics that count a failure domain without a recent report as free."""
    domain = make_domain()
    receive(domain, report(free_slots=6))
    assert describe_rooms(domain.placements, NOW + 40.0) == [RoomCounts(SERVICE, REMOTE, 6, 40.0)]
    assert describe_rooms(domain.placements, NOW + MAX_AGE_MS + 1.0) == []


def test_a_report_crosses_the_network_unchanged() -> None:
    """Guards against a receiver that cannot read what was sent to other failure domains."""
    message = report(free_slots=3, away={"Aranos": 2})
    assert msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=Message) == message


def test_off_nothing_is_reported_or_used() -> None:
    """Guards against a change of decisions where sharing is not switched on."""
    domain = make_domain(share_room=False)
    assert domain.rooms is None
    assert placement_of(domain).rooms is None
