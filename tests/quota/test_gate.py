"""Admission of requests by quotas, and its place in the exchange between entries."""

from random import Random

import pytest

from cactusvane.clock import ManualClock
from cactusvane.configuration.model import Configuration, Customer
from cactusvane.errors import RequestError
from cactusvane.fleet_settings import FleetLimits, QuotaLimits
from cactusvane.following.follower import FollowSettings
from cactusvane.placement.domain import Domain
from cactusvane.placement.endpoint import ENCODER
from cactusvane.placement.group_reports import GroupReports, OwnGroup
from cactusvane.placement.messages import CustomerUsage, StoreStatus
from cactusvane.placement.retries import RetryLimit
from cactusvane.placement.settings import PlacementSettings
from cactusvane.quota.gate import REJECTION_UPDATE_MS, QuotaGate, quota_settings
from cactusvane.verdict import Verdict

LIMITED = Customer("limited", (), rate_per_s=10.0, burst=10.0)
UNLIMITED = Customer("unlimited", ())
STORE_STATUS = StoreStatus(True, 10.0, None, {})


def make_fleet(quota: QuotaLimits | None, revoke_ms: float | None = None) -> FleetLimits:
    return FleetLimits(
        RetryLimit(),
        FollowSettings(),
        PlacementSettings(),
        failure_domains=("z0",),
        quota=quota,
        revoke_ms=revoke_ms,
        bootstrap=True,
    )


class GateRun:
    """A gate of one entry, and what it scheduled."""

    def __init__(self, quota: QuotaLimits | None = QuotaLimits()) -> None:  # noqa: B008
        self.clock = ManualClock(1_000.0)
        self.scheduled: list[bool] = []
        self.domain = Domain("e1", "z0", 1, Random(1))
        self.reports = GroupReports(
            "e1", 1, lambda: OwnGroup(("z0", 0), {}, "e1"), list, list, Random(1)
        )
        self.gate = QuotaGate(
            make_fleet(quota),
            self.domain,
            self.reports,
            self.scheduled.append,
            lambda: "e1",
            self.clock,
            Random(1),
        )

    def configure(self, *customers: Customer) -> None:
        self.gate.configure(Configuration(customers=customers))

    def use_up(self) -> RequestError:
        for _ in range(50):
            try:
                self.gate.admit(LIMITED)
            except RequestError as error:
                return error
        raise AssertionError("no request was rejected")


@pytest.mark.parametrize(
    ("quota", "customer"), [(None, LIMITED), (QuotaLimits(), UNLIMITED)], ids=["platform", "limits"]
)
def test_nothing_changes_where_no_quota_is_asked_for(
    quota: QuotaLimits | None, customer: Customer
) -> None:
    """Guards against other messages or decisions for users without quotas."""
    run = GateRun(quota)
    before = ENCODER.encode(Domain("e1", "z0", 1, Random(1)).next_update(STORE_STATUS, 0.0))
    run.configure(customer)
    for _ in range(200):
        run.gate.admit(customer)
        run.gate.give_back(customer)
    assert run.scheduled == []
    assert not run.reports.active
    assert ENCODER.encode(run.domain.next_update(STORE_STATUS, 0.0)) == before


def test_a_request_over_the_quota_gets_429_and_has_not_run() -> None:
    """Guards against an error that does not promise that the request has not run."""
    run = GateRun()
    run.configure(LIMITED, UNLIMITED)
    error = run.use_up()
    assert (error.status, error.code, error.verdict) == (429, "over-quota", Verdict.NOT_RUN)
    assert error.retry_after_ms is not None
    assert error.retry_after_ms > 0.0
    run.gate.admit(UNLIMITED)
    assert run.gate.counts().rejected == {"limited": 1}


def test_each_admission_and_each_return_schedules_an_update() -> None:
    """Guards against usage that the other entries learn of with the next heartbeat."""
    run = GateRun()
    run.configure(LIMITED)
    run.gate.admit(LIMITED)
    run.gate.admit(LIMITED)
    run.gate.give_back(LIMITED)
    assert run.scheduled == [False] * 3
    update = run.domain.next_update(STORE_STATUS, run.clock.now())
    assert update.usage == {"limited": CustomerUsage(1, 2)}


def test_rejections_are_reported_at_intervals() -> None:
    """Guards against an update for each request of a flood."""
    run = GateRun()
    run.configure(LIMITED)
    run.use_up()
    run.scheduled.clear()
    run.use_up()
    assert run.scheduled == []
    run.clock.advance(REJECTION_UPDATE_MS)
    run.use_up()
    assert False in run.scheduled


def test_reports_contain_usage_while_customers_have_limits() -> None:
    """Guards against an exchange that goes on after the last limit was removed."""
    run = GateRun()
    run.configure(LIMITED)
    run.gate.admit(LIMITED)
    (outgoing,) = [run.reports.make_report(("z0", 0), run.clock.now())]
    assert outgoing.usage == {"limited": CustomerUsage(1, 1)}
    run.configure(UNLIMITED)
    assert not run.reports.active
    assert run.domain.quotas is None


def test_a_limit_that_is_added_later_begins_with_a_full_bucket() -> None:
    """Guards against rejecting all requests of a customer when it gets a limit."""
    run = GateRun()
    run.configure(UNLIMITED)
    run.clock.advance(60_000.0)
    run.configure(LIMITED)
    run.gate.admit(LIMITED)


def test_silent_entries_are_assumed_for_longer_where_keys_do_not_expire() -> None:
    assert quota_settings(make_fleet(QuotaLimits(), 5_000.0)).max_assumed_ms == 5_000.0
    assert quota_settings(make_fleet(QuotaLimits())).max_assumed_ms == 6_000.0
