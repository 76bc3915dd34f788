"""Counters and histograms of one daemon, and their text form for Prometheus.

Recording one request costs two dictionary look-ups, one addition for each counter and one
`record_value` for each histogram; text is made only when somebody asks.
"""

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram
from prometheus_client.core import CounterMetricFamily, SummaryMetricFamily
from prometheus_client.exposition import generate_latest
from prometheus_client.registry import Collector, CollectorRegistry

from cactusvane.pool.messages import Outcome
from cactusvane.verdict import Verdict

US_PER_MS = 1_000
LONGEST_US = 600_000_000
DIGITS = 2
QUANTILES = (0.5, 0.9, 0.99, 0.999)


def new_histogram() -> HdrHistogram:
    """Return a histogram of microseconds up to ten minutes, exact to two digits."""
    return HdrHistogram(1, LONGEST_US, DIGITS)


@dataclass(slots=True)
class KindRecord:
    """What happened to the requests of one kind of one service.

    Attributes
    ----------
    verdicts
        Requests by what their callers were told.
    statuses
        Requests by the class of the answer's status, for example 2 for 200 to 299.
    attempts
        Attempts by outcome.
    total
        From the whole request to the answer in hand, in microseconds.
    added
        The part of it that no target spent, in microseconds.
    waited
        Waiting for a slot, in microseconds.
    """

    verdicts: dict[Verdict, int] = field(default_factory=lambda: dict.fromkeys(Verdict, 0))
    statuses: dict[int, int] = field(default_factory=dict)
    attempts: dict[Outcome, int] = field(default_factory=lambda: dict.fromkeys(Outcome, 0))
    total: HdrHistogram = field(default_factory=new_histogram)
    added: HdrHistogram = field(default_factory=new_histogram)
    waited: HdrHistogram = field(default_factory=new_histogram)

    def answered(self, status: int, verdict: Verdict, total_ms: float, added_ms: float) -> None:
        """Note one request.

        Parameters
        ----------
        status
            What the caller sees.
        verdict
            What the caller is told.
        total_ms
            Time from the whole request to the answer in hand.
        added_ms
            The part of it that no target spent.
        """
        self.verdicts[verdict] += 1
        group = status // 100
        self.statuses[group] = self.statuses.get(group, 0) + 1
        self.total.record_value(max(1, int(total_ms * US_PER_MS)))
        self.added.record_value(max(1, int(added_ms * US_PER_MS)))

    def attempted(self, outcome: Outcome) -> None:
        """Note how one attempt ended."""
        self.attempts[outcome] += 1

    def waited_for_slot(self, ms: float) -> None:
        """Note a wait for a slot."""
        self.waited.record_value(max(1, int(ms * US_PER_MS)))


class Recorder(Collector):
    """All counters of one daemon, by service and kind.

    Examples
    --------
    >>> recorder = Recorder()
    >>> recorder.kind("records", "read").answered(200, Verdict.RAN, 12.5, 0.4)
    >>> "cactusvane_requests_total" in recorder.text().decode()
    True
    """

    def __init__(self) -> None:
        self.kinds: dict[tuple[str, str], KindRecord] = {}
        self.refused: dict[str, int] = {}
        self.ejections: dict[str, int] = {}

    def kind(self, service: str, kind: str) -> KindRecord:
        """Return the record of one kind of one service."""
        record = self.kinds.get((service, kind))
        if record is None:
            record = self.kinds[service, kind] = KindRecord()
        return record

    def refuse(self, code: str) -> None:
        """Note a request that belongs to no service."""
        self.refused[code] = self.refused.get(code, 0) + 1

    def ejected(self, service: str) -> None:
        """Note that this VM takes a target of a service out on evidence."""
        self.ejections[service] = self.ejections.get(service, 0) + 1

    def collect(self) -> list[CounterMetricFamily | SummaryMetricFamily]:
        """Return everything in the form of the Prometheus client."""
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
            "cactusvane_refused", "Requests of no service", labels=("code",)
        )
        ejections = CounterMetricFamily(
            "cactusvane_ejections", "Targets taken out on evidence", labels=("service",)
        )
        for service, count in self.ejections.items():
            ejections.add_metric((service,), count)
        for code, count in self.refused.items():
            refused.add_metric((code,), count)
        for key, record in self.kinds.items():
            for verdict, count in record.verdicts.items():
                requests.add_metric((*key, verdict.value), count)
            for group, count in record.statuses.items():
                statuses.add_metric((*key, f"{group}xx"), count)
            for outcome, count in record.attempts.items():
                attempts.add_metric((*key, outcome.value), count)
        return [requests, statuses, attempts, refused, ejections, *self.summaries()]

    def summaries(self) -> list[SummaryMetricFamily]:
        """Return the histograms as quantiles in milliseconds."""
        families = []
        for name, text in (
            ("total", "Time to the answer in hand"),
            ("added", "Time that no target spent"),
            ("waited", "Time waiting for a slot"),
        ):
            labels = ("service", "kind")
            family = SummaryMetricFamily(f"cactusvane_{name}_ms", text, labels=labels)
            for key, record in self.kinds.items():
                histogram: HdrHistogram = getattr(record, name)
                add_quantiles(family, key, histogram)
            families.append(family)
        return families

    def text(self) -> bytes:
        """Return the text exposition."""
        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)


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
