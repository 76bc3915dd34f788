import dataclasses

from hypothesis import given, settings
from hypothesis import strategies as st

from cactusvane.configuration.model import Configuration, Objective, Route, Service
from cactusvane.report import burn, page
from cactusvane.report.ledger import BUCKET_MS, Bucket, Count, Ledger

OBJECTIVES = (Objective("booking", share=0.999, weight=10.0), Objective("lookup", share=0.99))
SERVICE = Service(
    name="stock",
    hosts=("stock.example",),
    routes=(Route("/", ("GET",), True, "lookup"),),
    targets=6,
    floor=4,
    slots=4,
    objectives=OBJECTIVES,
)
CONFIGURATION = Configuration((SERVICE,))


def bucket(vm: str, index: int, good: int, total: int, kind: str = "booking") -> Bucket:
    return Bucket(vm, index * BUCKET_MS, (Count("stock", kind, good, total),))


def report_of(*buckets: Bucket, index: int) -> burn.BurnReport:
    return burn.report(buckets, CONFIGURATION, index * BUCKET_MS)


def test_a_sudden_outage_raises_the_fast_alarm():
    buckets = [bucket("a", index, good=0 if index >= 80 else 100, total=100) for index in range(85)]
    kind = report_of(*buckets, index=85).services[0].kinds[0]
    assert kind.alarm is burn.Alarm.FAST


def test_an_outage_that_is_over_raises_no_fast_alarm():
    buckets = [bucket("a", i, good=0 if 76 <= i < 80 else 100, total=100) for i in range(83)]
    kind = report_of(*buckets, index=83).services[0].kinds[0]
    assert kind.fast_long.rate > burn.FAST.rate
    assert kind.alarm is not burn.Alarm.FAST


def test_the_delivered_share_is_weighted_by_kind():
    counts = (Count("stock", "booking", 0, 1), Count("stock", "lookup", 10, 10))
    result = report_of(Bucket("a", 0.0, counts), index=1)
    assert result.services[0].delivered == 0.5


def test_a_gap_lowers_coverage_and_is_not_filled():
    result = report_of(bucket("a", 0, 5, 5), bucket("a", 3, 5, 5), index=4)
    assert result.coverage == 0.5
    assert result.services[0].kinds[0].slow_long.total == 10


def test_a_duplicate_bucket_is_counted_once():
    result = report_of(bucket("a", 0, 5, 5), bucket("a", 0, 5, 5), index=1)
    assert result.services[0].kinds[0].slow_long.total == 5


@settings(derandomize=True, deadline=None)
@given(st.permutations([bucket(vm, i, i, i + 1) for vm in "abc" for i in range(4)]))
def test_the_report_does_not_depend_on_the_order_of_buckets(buckets):
    in_order = [bucket(vm, i, i, i + 1) for vm in "abc" for i in range(4)]
    assert report_of(*buckets, index=4) == report_of(*in_order, index=4)


def test_a_count_holds_nothing_that_identifies_customers_or_schools():
    names = {field.name for field in dataclasses.fields(Count)}
    assert names == {"service", "kind", "good", "total"}


def test_the_page_is_self_contained_and_escapes_names():
    evil = dataclasses.replace(SERVICE, name="<script>")
    html = page.render(burn.report((), Configuration((evil,)), 0.0))
    assert "<script>" not in html
    assert "http://" not in html.replace("http://www.w3.org/2000/svg", "")
    assert "src=" not in html


def test_an_open_bucket_is_not_closed_early():
    ledger = Ledger("a")
    ledger.record("stock", "lookup", good=True, wall_ms=BUCKET_MS - 1)
    assert ledger.closed(BUCKET_MS - 1) == ()
    assert len(ledger.closed(BUCKET_MS)) == 1


def test_the_plot_is_interrupted_where_buckets_are_missing():
    points = tuple(burn.SeriesPoint(i * BUCKET_MS, 9.0, 10.0) for i in (0, 1, 5, 6))
    assert page.plot(points).count("M") == 2
