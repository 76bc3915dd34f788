"""Counts of violated guarantees, taken only from the ledgers of the callers and the targets."""

from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import msgspec

from standins.target import LedgerLine
from tests.processes.callers import Call, Outcome

CATCH_UP_SECONDS = 1.0
"""Time that a suspended process may take to catch up after it resumes."""


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """The notice of a planned stop to a target or an entry.

    Parameters
    ----------
    name
        Name of the process.
    at
        Time of the notice, in seconds since the epoch.
    by
        Kind of the notice: ``signal``, ``list`` or ``answer``.
    """

    name: str
    at: float
    by: str = ""


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A time in which a process was killed, suspended or impaired, in seconds since the epoch."""

    name: str
    start: float
    end: float


@dataclass(frozen=True, slots=True)
class Verdicts:
    """Counts of calls and violated guarantees; the names of the fields are keys of the output.

    Parameters
    ----------
    sent
        Number of calls.
    whole
        Calls with a complete response to their own request.
    not_run
        Calls that were reported as not run.
    may_have_run
        Calls whose caller does not know whether they ran.
    foreign
        Calls with a response that does not belong to the request.
    doubled
        Non-idempotent requests, by key, that ran more than once.
    false_not_run
        Calls that were reported as not run although they ran.
    cut_by_planned_stop
        Calls interrupted by a planned stop and by no other disturbance.
    """

    sent: int
    whole: int
    not_run: int
    may_have_run: int
    foreign: int
    doubled: int
    false_not_run: int
    cut_by_planned_stop: int

    def good(self) -> bool:
        """Return whether no guarantee was violated."""
        return not (self.foreign or self.doubled or self.false_not_run or self.cut_by_planned_stop)

    def to_json(self) -> str:
        """Return the counts as one line of JSON."""
        return msgspec.json.encode(self).decode()


Ledgers = dict[str, list[LedgerLine]]


def read_ledgers(directory: Path) -> Ledgers:
    """Read the ledger files of all targets; the stem of a file is the name of its target."""
    decoder = msgspec.json.Decoder(LedgerLine)
    return {
        path.stem: [decoder.decode(line) for line in path.read_bytes().splitlines()]
        for path in sorted(directory.glob("*.ledger"))
    }


def find_starts(ledgers: Ledgers) -> list[LedgerLine]:
    """Return the events of all targets at which a request started."""
    return [line for lines in ledgers.values() for line in lines if line.what == "started"]


def find_doubled(ledgers: Ledgers) -> list[str]:
    """Return the keys of non-idempotent requests that ran more than once.

    The id of the request stands for its key if it has none.
    """
    runs = Counter(
        line.key or line.request_id for line in find_starts(ledgers) if line.method != "GET"
    )
    return [work for work, times in runs.items() if times > 1]


def find_false_not_run(calls: list[Call], ledgers: Ledgers) -> list[Call]:
    """Return calls reported as not run although their request or their key had started."""
    first: dict[str, float] = {}
    for line in find_starts(ledgers):
        for name in (line.request_id, line.key):
            first[name] = min(line.at, first.get(name, line.at))
    never = float("inf")
    return [
        call
        for call in calls
        if call.told is Outcome.NOT_RUN
        and (
            call.request_id in first
            or (call.key != "" and first.get(call.key, never) < call.ended_at)
        )
    ]


def find_cut_calls(
    calls: list[Call],
    ledgers: Ledgers,
    stops: list[PlannedStop],
    disturbances: list[Disturbance] | None = None,
) -> list[Call]:
    """Return calls that a planned stop interrupted and that no other disturbance explains."""
    last = last_target(ledgers)
    return [
        call
        for call in calls
        for stop in stops
        if call.ended_at > stop.at
        and call.told is Outcome.MAY_HAVE_RUN
        and (
            last.get(call.request_id) == stop.name
            or (call.entry == stop.name and call.broken and call.sent_at < stop.at)
        )
        and not is_explained_by_disturbance(call, disturbances or [])
    ]


def last_target(ledgers: Ledgers) -> dict[str, str]:
    """Return the name of the target that started each request last, by the request's id."""
    last: dict[str, tuple[float, str]] = {}
    for name, lines in ledgers.items():
        for line in lines:
            if line.what == "started":
                last[line.request_id] = max((line.at, name), last.get(line.request_id, (0.0, "")))
    return {request_id: name for request_id, (_, name) in last.items()}


def is_explained_by_disturbance(call: Call, disturbances: list[Disturbance]) -> bool:
    """Return whether a disturbance of the call's entry explains that the call failed."""
    return any(
        fault.name == call.entry
        and call.sent_at < fault.end + CATCH_UP_SECONDS
        and call.ended_at > fault.start
        for fault in disturbances
    )


def find_late_work(
    ledgers: Ledgers, stops: list[PlannedStop], bound_seconds: float
) -> list[LedgerLine]:
    """Return requests that leaving targets received over `bound_seconds` after their notice."""
    return [
        line
        for stop in stops
        for line in ledgers.get(stop.name, [])
        if line.what == "received" and line.at > stop.at + bound_seconds
    ]


def count_verdicts(
    calls: list[Call],
    ledgers: Ledgers,
    stops: list[PlannedStop],
    disturbances: list[Disturbance] | None = None,
) -> Verdicts:
    """Return the counts of all calls."""
    outcomes = Counter(call.told for call in calls)
    return Verdicts(
        sent=len(calls),
        whole=outcomes[Outcome.COMPLETE],
        not_run=outcomes[Outcome.NOT_RUN],
        may_have_run=outcomes[Outcome.MAY_HAVE_RUN],
        foreign=outcomes[Outcome.FOREIGN],
        doubled=len(find_doubled(ledgers)),
        false_not_run=len(find_false_not_run(calls, ledgers)),
        cut_by_planned_stop=len(find_cut_calls(calls, ledgers, stops, disturbances)),
    )
