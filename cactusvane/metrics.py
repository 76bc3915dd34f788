"""Counters and histograms of one daemon, and their text form for Prometheus.

Recording one request costs two dictionary look-ups, one addition for each counter and one
`record_value` for each histogram; text is made only when somebody asks.
"""

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from cactusvane.outcome import Outcome
from cactusvane.verdict import Verdict

US_PER_MS = 1_000
LONGEST_US = 600_000_000
DIGITS = 2


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

    def record_response(
        self, status: int, verdict: Verdict, total_ms: float, added_ms: float
    ) -> None:
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


@dataclass(frozen=True, slots=True)
class TargetCounts:
    """Targets of one service that may take work, in this VM's failure domain.

    Parameters
    ----------
    usable
        All of them.
    unused
        Those that no entry of the failure domain used for two seconds.
    """

    usable: int
    unused: int


class Recorder:
    """All counters of one daemon, by service and kind.

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

    def text(self) -> bytes:
        """Return the text exposition."""
        from cactusvane.exposition import text

        return text(self)
