"""Count what happened from the callers' and the targets' ledgers alone."""

from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import msgspec

from standins.target import LedgerLine
from tests.processes.callers import Call, Outcome

CATCH_UP_SECONDS = 1.0
"""How long a frozen process may take to catch up."""


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """A target or an entry was told to stop in an orderly way, at seconds since the epoch."""

    name: str
    at: float
    by: str = ""


@dataclass(frozen=True, slots=True)
class Disturbance:
    """An entry or target was killed, frozen or cut off between two moments."""

    name: str
    start: float
    end: float


@dataclass(frozen=True, slots=True)
class Verdicts:
    """The last line of the demo and the soak."""

    sent: int
    whole: int
    not_run: int
    may_have_run: int
    foreign: int
    doubled: int
    false_not_run: int
    cut_by_planned_stop: int

    def good(self) -> bool:
        """Say whether no promise was broken."""
        return not (self.foreign or self.doubled or self.false_not_run or self.cut_by_planned_stop)

    def to_json(self) -> str:
        """Return one line of JSON."""
        return msgspec.json.encode(self).decode()


Ledgers = dict[str, list[LedgerLine]]


def read_ledgers(directory: Path) -> Ledgers:
    """Read the ledger files of all targets; the file's stem is the target's name."""
    decoder = msgspec.json.Decoder(LedgerLine)
    return {
        path.stem: [decoder.decode(line) for line in path.read_bytes().splitlines()]
        for path in sorted(directory.glob("*.ledger"))
    }


def find_starts(ledgers: Ledgers) -> list[LedgerLine]:
    """Return every start of work at any target."""
    return [line for lines in ledgers.values() for line in lines if line.what == "started"]


def find_doubled(ledgers: Ledgers) -> list[str]:
    """Return the keys, or ids where there is no key, of non-idempotent work that ran twice."""
    runs = Counter(
        line.key or line.request_id for line in find_starts(ledgers) if line.method != "GET"
    )
    return [work for work, times in runs.items() if times > 1]


def find_false_not_run(calls: list[Call], ledgers: Ledgers) -> list[Call]:
    """Return calls that were told "not run" although their request or key had been started."""
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
    """Return calls in flight at a planned stop that broke, and that no other fault touched."""
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
    """Return the target at which each request was started last."""
    last: dict[str, tuple[float, str]] = {}
    for name, lines in ledgers.items():
        for line in lines:
            if line.what == "started":
                last[line.request_id] = max((line.at, name), last.get(line.request_id, (0.0, "")))
    return {request_id: name for request_id, (_, name) in last.items()}


def is_explained_by_disturbance(call: Call, disturbances: list[Disturbance]) -> bool:
    """Say whether a killed, frozen or cut-off entry explains a broken call."""
    return any(
        fault.name == call.entry
        and call.sent_at < fault.end + CATCH_UP_SECONDS
        and call.ended_at > fault.start
        for fault in disturbances
    )


def find_late_work(
    ledgers: Ledgers, stops: list[PlannedStop], bound_seconds: float
) -> list[LedgerLine]:
    """Return work offered to a leaving target later than the bound after the notice."""
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
    """Count everything."""
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
