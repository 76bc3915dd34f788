"""Counters and histograms of one daemon.

Recording one request costs two dictionary look-ups, one addition for each counter and one
`record_value` for each histogram. The Prometheus text is generated only on request.
"""

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from cactusvane.customers.records import CustomerRecords
from cactusvane.http.memory import Budgets
from cactusvane.outcome import Outcome
from cactusvane.verdict import Verdict

US_PER_MS = 1_000
MAX_DURATION_US = 600_000_000
SIGNIFICANT_DIGITS = 2


def new_histogram() -> HdrHistogram:
    """Return a histogram of microseconds up to ten minutes, exact to two digits."""
    return HdrHistogram(1, MAX_DURATION_US, SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class KindRecord:
    """Metrics of the requests of one kind of one service.

    Attributes
    ----------
    verdicts
        Number of requests by the verdict that callers received.
    statuses
        Number of requests by class of the response status, for example 2 for 200 to 299.
    attempts
        Number of attempts by outcome.
    total
        Time from the complete request to the available response, in microseconds.
    added
        The part of that time that was not spent at targets, in microseconds.
    waited
        Time spent waiting for a slot, in microseconds.
    """

    verdicts: dict[Verdict, int] = field(default_factory=lambda: dict.fromkeys(Verdict, 0))
    statuses: dict[int, int] = field(default_factory=dict)
    attempts: dict[Outcome, int] = field(default_factory=lambda: dict.fromkeys(Outcome, 0))
    total: HdrHistogram = field(default_factory=new_histogram)
    added: HdrHistogram = field(default_factory=new_histogram)
    waited: HdrHistogram = field(default_factory=new_histogram)

    def record_response(
        self, status: int, verdict: Verdict, total_ms: float, added_ms: float
    ) -> None:
        """Record one request.

        Parameters
        ----------
        status
            HTTP status of the response to the caller.
        verdict
            Verdict in the response to the caller.
        total_ms
            Time from the complete request to the available response, in milliseconds.
        added_ms
            The part of that time that was not spent at targets, in milliseconds.
        """
        self.verdicts[verdict] += 1
        group = status // 100
        self.statuses[group] = self.statuses.get(group, 0) + 1
        self.total.record_value(max(1, int(total_ms * US_PER_MS)))
        self.added.record_value(max(1, int(added_ms * US_PER_MS)))

    def record_attempt(self, outcome: Outcome) -> None:
        """Record the outcome of one attempt."""
        self.attempts[outcome] += 1

    def record_slot_wait(self, ms: float) -> None:
        """Record the time spent waiting for a slot, in milliseconds."""
        self.waited.record_value(max(1, int(ms * US_PER_MS)))


@dataclass(frozen=True, slots=True)
class TargetCounts:
    """Number of targets of one service in this VM's failure domain.

    Parameters
    ----------
    usable
        Targets that accept requests.
    unused
        Usable targets that no entry of the failure domain has used for two seconds.
    limited
        Usable targets that name a rate limit.
    leaving
        Targets that have said in a response that they leave.
    paused
        Usable targets that want no request from this VM for some time.
    """

    usable: int
    unused: int
    limited: int
    leaving: int = 0
    paused: int = 0


@dataclass(frozen=True, slots=True)
class QuotaCounts:
    """Requests of customers with a quota.

    Parameters
    ----------
    admitted
        Requests within the quota.
    rejected
        Requests over it, by customer; the customers with few of them are summed up.
    reach
        Share of the fleet that quotas are shared with at the moment.
    """

    admitted: int
    rejected: dict[str, int]
    reach: float


@dataclass(frozen=True, slots=True)
class RoomCounts:
    """Free capacity of a service in another failure domain.

    Parameters
    ----------
    service
        Name of the service.
    failure_domain
        The other failure domain.
    free_slots
        Its free slots, less the requests that other failure domains have there.
    age_ms
        Time since the report on it was received, in milliseconds.
    """

    service: str
    failure_domain: str
    free_slots: int
    age_ms: float


class Recorder:
    """All metrics of one daemon, by service and kind of request.

    Attributes
    ----------
    proof_age_ms
        Age of the proof that the configuration is current; None if there is none or none is needed.
    rooms
        Free capacity of other failure domains, where it is known.

    Examples
    --------
    >>> recorder = Recorder()
    >>> recorder.kind("records", "read").record_response(200, Verdict.RAN, 12.5, 0.4)
    >>> "cactusvane_requests_total" in recorder.text().decode()
    True
    """

    def __init__(self) -> None:
        self.kinds: dict[tuple[str, str], KindRecord] = {}
        self.refused: dict[str, int] = {}
        self.ejections: dict[str, int] = {}
        self.targets: dict[str, TargetCounts] = {}
        self.customers = CustomerRecords()
        self.isolated_requests = 0
        self.proof_age_ms: float | None = None
        self.quota: QuotaCounts | None = None
        self.rooms: list[RoomCounts] = []
        self.budgets = Budgets()

    def kind(self, service: str, kind: str) -> KindRecord:
        """Return the metrics of one kind of requests of one service; create them if needed."""
        record = self.kinds.get((service, kind))
        if record is None:
            record = self.kinds[service, kind] = KindRecord()
        return record

    def record_rejection(self, code: str) -> None:
        """Record a request that was rejected before a target was looked for."""
        self.refused[code] = self.refused.get(code, 0) + 1

    def record_ejection(self, service: str) -> None:
        """Record that this VM ejects a target of a service."""
        self.ejections[service] = self.ejections.get(service, 0) + 1

    def text(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        from cactusvane.exposition import text

        return text(self)
