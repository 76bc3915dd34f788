"""Prometheus text exposition of a daemon's counters and histograms.

This module is imported on first use, since importing the Prometheus client takes a good part of a
daemon's startup time.
"""

from hdrh.histogram import HdrHistogram
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, SummaryMetricFamily
from prometheus_client.exposition import generate_latest
from prometheus_client.registry import Collector, CollectorRegistry

from cactusvane.customers.records import CustomerRecords
from cactusvane.http.memory import Budgets, ClosingReason
from cactusvane.metrics import US_PER_MS, QuotaCounts, Recorder, RoomCounts

QUANTILES = (0.5, 0.9, 0.99, 0.999)

Families = list[CounterMetricFamily | GaugeMetricFamily | SummaryMetricFamily]


class RecorderCollector(Collector):
    """Provides the metrics of a recorder to the Prometheus client.

    Parameters
    ----------
    recorder
        The recorder whose metrics are exposed.
    """

    def __init__(self, recorder: Recorder) -> None:
        self.recorder = recorder

    def collect(self) -> Families:
        """Return all metric families."""
        return collect(self.recorder)


def text(recorder: Recorder) -> bytes:
    """Return the metrics of `recorder` in the Prometheus text format."""
    registry = CollectorRegistry()
    registry.register(RecorderCollector(recorder))
    return generate_latest(registry)


def collect(recorder: Recorder) -> Families:
    """Return all metrics of `recorder` as Prometheus metric families."""
    labels = ("service", "kind")
    requests = CounterMetricFamily(
        "cactusvane_requests", "Requests by what callers were told", labels=(*labels, "verdict")
    )
    statuses = CounterMetricFamily(
        "cactusvane_answers", "Answers by class of status", labels=(*labels, "class")
    )
    attempts = CounterMetricFamily(
        "cactusvane_attempts", "Attempts by outcome", labels=(*labels, "outcome")
    )
    refused = CounterMetricFamily(
        "cactusvane_refused", "Requests rejected before a target was looked for", labels=("code",)
    )
    ejections = CounterMetricFamily(
        "cactusvane_ejections", "Targets taken out on evidence", labels=("service",)
    )
    for service, count in recorder.ejections.items():
        ejections.add_metric((service,), count)
    for code, count in recorder.refused.items():
        refused.add_metric((code,), count)
    for key, record in recorder.kinds.items():
        for verdict, count in record.verdicts.items():
            requests.add_metric((*key, verdict.value), count)
        for group, count in record.statuses.items():
            statuses.add_metric((*key, f"{group}xx"), count)
        for outcome, count in record.attempts.items():
            attempts.add_metric((*key, outcome.value), count)
    counters = [requests, statuses, attempts, refused, ejections]
    isolated = GaugeMetricFamily(
        "cactusvane_isolated_requests",
        "Requests that may have crashed targets and get no retry, or are rejected",
        value=recorder.isolated_requests,
    )
    memory = memory_families(recorder.budgets)
    customers = customer_answers(recorder.customers)
    age = proof_age(recorder)
    quota = [] if recorder.quota is None else quota_families(recorder.quota)
    rooms = room_families(recorder.rooms)
    gauges = [target_counts(recorder), isolated, *age, *rooms, *memory]
    return [*counters, customers, *quota, *gauges, *summaries(recorder)]


def customer_answers(records: CustomerRecords) -> CounterMetricFamily:
    """Return the responses to the largest customers, and to all others, by class of status."""
    family = CounterMetricFamily(
        "cactusvane_customer_answers", "Answers by customer", labels=("customer", "class")
    )
    records.rank()
    for customer, record in records.items():
        for group, count in record.statuses.items():
            family.add_metric((customer, f"{group}xx"), count)
    return family


def proof_age(recorder: Recorder) -> Families:
    """Return the age of the proof that the configuration is current; nothing without a proof."""
    if recorder.proof_age_ms is None:
        return []
    text = "Milliseconds since the configuration was last known to be current"
    return [GaugeMetricFamily("cactusvane_proof_age_ms", text, value=recorder.proof_age_ms)]


def quota_families(counts: QuotaCounts) -> Families:
    """Return the requests of customers with a quota, and who shares the quotas."""
    admitted = CounterMetricFamily(
        "cactusvane_quota_admitted", "Requests within the quotas", value=counts.admitted
    )
    rejected = CounterMetricFamily(
        "cactusvane_quota_rejected", "Requests over the quotas", labels=("customer",)
    )
    for customer, count in counts.rejected.items():
        rejected.add_metric((customer,), count)
    reach = GaugeMetricFamily(
        "cactusvane_quota_reach", "Share of the fleet that shares the quotas", value=counts.reach
    )
    return [admitted, rejected, reach]


def room_families(rooms: list[RoomCounts]) -> Families:
    """Return the free capacity of other failure domains; nothing where none is known."""
    if not rooms:
        return []
    labels = ("service", "failure_domain")
    free = GaugeMetricFamily(
        "cactusvane_remote_free_slots", "Free slots of other failure domains", labels=labels
    )
    age = GaugeMetricFamily(
        "cactusvane_remote_report_age_ms",
        "Milliseconds since the report on these slots was received",
        labels=labels,
    )
    for room in rooms:
        free.add_metric((room.service, room.failure_domain), room.free_slots)
        age.add_metric((room.service, room.failure_domain), room.age_ms)
    return [free, age]


def memory_families(budgets: Budgets) -> Families:
    """Return what exchanges hold of the memory, by purpose, and how often it was not enough."""
    held = GaugeMetricFamily(
        "cactusvane_held_bytes", "Bytes of bodies that exchanges hold", labels=("purpose",)
    )
    short = CounterMetricFamily(
        "cactusvane_memory_short", "Times that bodies had no more memory", labels=("purpose",)
    )
    for purpose, budget in (("responses", budgets.responses), ("uploads", budgets.uploads)):
        held.add_metric((purpose,), budget.held)
        short.add_metric((purpose,), budget.times_short)
    closed = CounterMetricFamily(
        "cactusvane_connections_closed", "Connections closed by this VM", labels=("reason",)
    )
    for reason in ClosingReason:
        closed.add_metric((reason.value,), budgets.closed[reason])
    return [held, short, closed]


def target_counts(recorder: Recorder) -> GaugeMetricFamily:
    """Return the numbers of targets of this failure domain, by what is known of them."""
    family = GaugeMetricFamily(
        "cactusvane_targets", "Targets of this failure domain", labels=("service", "state")
    )
    for service, counts in recorder.targets.items():
        family.add_metric((service, "usable"), counts.usable)
        family.add_metric((service, "unused"), counts.unused)
        family.add_metric((service, "limited"), counts.limited)
        family.add_metric((service, "leaving"), counts.leaving)
        family.add_metric((service, "paused"), counts.paused)
    return family


def summaries(recorder: Recorder) -> list[SummaryMetricFamily]:
    """Return the histograms as summaries with quantiles in milliseconds."""
    families = []
    for name, text in (
        ("total", "Time to the answer in hand"),
        ("added", "Time that no target spent"),
        ("waited", "Time waiting for a slot"),
    ):
        labels = ("service", "kind")
        family = SummaryMetricFamily(f"cactusvane_{name}_ms", text, labels=labels)
        for key, record in recorder.kinds.items():
            histogram: HdrHistogram = getattr(record, name)
            add_quantiles(family, key, histogram)
        families.append(family)
    return families


def add_quantiles(
    family: SummaryMetricFamily, key: tuple[str, str], histogram: HdrHistogram
) -> None:
    """Add count, sum and quantiles of `histogram` to `family`."""
    count = histogram.get_total_count()
    total_ms = histogram.get_mean_value() * count / US_PER_MS
    family.add_metric(key, count, total_ms)
    service, kind = key
    for quantile in QUANTILES:
        value = histogram.get_value_at_percentile(quantile * 100) / US_PER_MS
        labels = {"service": service, "kind": kind, "quantile": str(quantile)}
        family.add_sample(family.name, labels, value)
