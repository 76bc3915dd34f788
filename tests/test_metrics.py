from random import Random

from cactusvane.clock import ManualClock
from cactusvane.configuration.model import Configuration, Route, Service
from cactusvane.fleet.vm import Address, Vm
from cactusvane.http.rate_limit import NamedRateLimit
from cactusvane.keeper_entry import KeeperEntry
from cactusvane.metrics import Recorder, RoomCounts
from cactusvane.outcome import Outcome
from cactusvane.placement.placement import Placement
from cactusvane.placement.settings import PlacementSettings
from cactusvane.placement.target_notices import TargetNotices
from cactusvane.pool.messages import Ejected
from cactusvane.settings import Settings
from cactusvane.verdict import Verdict
from tests.placement.fixtures import make_rate_limits

ANY = Address("127.0.0.1", 0)
SERVICE = Service("records", ("a",), (Route("/", ("GET",), True, "read"),), 3, 2, 4)


def test_exposition_lists_metrics_by_service_and_kind():
    recorder = Recorder()
    record = recorder.kind("records", "read")
    record.record_response(200, Verdict.RAN, 12.5, 0.4)
    record.record_attempt(Outcome.SERVED)
    record.record_slot_wait(3.0)
    text = recorder.text().decode()
    labels = 'kind="read",service="records"'
    assert f'cactusvane_requests_total{{{labels},verdict="ran"}} 1.0' in text
    assert 'cactusvane_attempts_total{kind="read",outcome="served",service="records"} 1.0' in text
    assert f"cactusvane_waited_ms_count{{{labels}}} 1.0" in text
    assert f"cactusvane_added_ms_count{{{labels}}} 1.0" in text


def test_exposition_lists_usable_unused_and_limited_targets_of_a_service():
    notices = TargetNotices("e1")
    placement = Placement("Gobabis", Random(1), PlacementSettings(), make_rate_limits(), notices)
    vms = [Vm(f"t{number}", Address("10.0.0.1", number), "Gobabis") for number in range(3)]
    placement.set_targets([*vms, Vm("far", Address("10.0.0.2", 1), "Witvlei")], 0.0)
    placement.record_start("t1", 1_500.0)
    placement.rate_limits.record_response("t2", NamedRateLimit(1.5), 1_500.0, 1_600.0)
    recorder = Recorder()
    recorder.targets = {"records": placement.count_targets(2_500.0)}
    text = recorder.text().decode()
    assert "cactusvane_isolated_requests 0.0" in text
    assert 'cactusvane_targets{service="records",state="usable"} 3.0' in text
    assert 'cactusvane_targets{service="records",state="unused"} 2.0' in text
    assert 'cactusvane_targets{service="records",state="limited"} 1.0' in text
    assert 'cactusvane_targets{service="records",state="leaving"} 0.0' in text
    assert 'cactusvane_targets{service="records",state="paused"} 0.0' in text


def test_exposition_lists_free_slots_of_other_failure_domains():
    """Guards against a shortage whose cause, missing or old reports, shows nowhere."""
    recorder = Recorder()
    assert "cactusvane_remote" not in recorder.text().decode()
    recorder.rooms = [RoomCounts("records", "Witvlei", 7, 120.0)]
    text = recorder.text().decode()
    labels = 'failure_domain="Witvlei",service="records"'
    assert f"cactusvane_remote_free_slots{{{labels}}} 7.0" in text
    assert f"cactusvane_remote_report_age_ms{{{labels}}} 120.0" in text


def test_an_ejection_is_counted_for_its_service():
    settings = Settings("e1", "Gobabis", ANY, ANY, ANY, ANY)
    entry = KeeperEntry(settings, ManualClock(), Random(1), Recorder())
    entry.configure(Configuration((SERVICE,)))
    entry.keeper_placer.execute(Ejected(ANY, "failing"), "records")
    assert 'cactusvane_ejections_total{service="records"} 1.0' in entry.recorder.text().decode()
