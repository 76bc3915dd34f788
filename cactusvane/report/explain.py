"""Collects the log lines of one request, with the state that each VM knew at that time.

The line of an attempt contains the inputs of the choice of its target. This module adds the state
that the process used and since when it was known: the listing of the target, the configuration
and the tables that did not respond.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from cactusvane.events import Event

JsonObject = dict[str, object]
"""A parsed log line; its members depend on the event."""

ATTEMPTED = Event.REQUEST_ATTEMPTED.value.number
ENDED = Event.REQUEST_ENDED.value.number
LEASE = "lease"
REQUEST_EVENTS = frozenset({ATTEMPTED, ENDED})


@dataclass(frozen=True, slots=True)
class KnownState:
    """A piece of state that a process used.

    Parameters
    ----------
    text
        Message of the log line that reported it.
    age_s
        Time from that line to the line of the request, in seconds.
    """

    text: str
    age_s: float


@dataclass(frozen=True, slots=True)
class Step:
    """One log line of the request.

    Parameters
    ----------
    time
        Seconds since the epoch by the clock of the VM.
    vm
        Name of the VM that logged the line.
    event
        Number of the event.
    text
        Message of the line.
    details
        Other members of the line.
    beliefs
        State that the VM used.
    """

    time: float
    vm: str
    event: int
    text: str
    details: JsonObject
    beliefs: tuple[KnownState, ...]


@dataclass(slots=True)
class StateTracker:
    """The latest log lines of one VM that describe its state."""

    targets: dict[str, JsonObject] = field(default_factory=dict)
    configuration: JsonObject | None = None
    outages: dict[str, JsonObject] = field(default_factory=dict)

    def record(self, line: JsonObject) -> None:
        """Store a line that reports a change of state; other lines are ignored."""
        match line.get("event"):
            case Event.TARGET_LISTED.value.number | Event.TARGET_UNLISTED.value.number:
                self.targets[str(line.get("target"))] = line
            case Event.CONFIGURATION_ADOPTED.value.number:
                self.configuration = line
            case Event.TABLE_LOST.value.number:
                self.outages.setdefault(str(line.get("table")), line)
            case Event.TABLE_REGAINED.value.number:
                self.outages.pop(str(line.get("table")), None)
            case Event.LEASE_LOST.value.number:
                self.outages[LEASE] = line
            case Event.LEASE_GAINED.value.number:
                self.outages.pop(LEASE, None)

    def known_states(self, target: str, time: float) -> tuple[KnownState, ...]:
        """Return the state that the VM uses at `time` for a request to `target`."""
        lines = [self.targets.get(target), self.configuration, *self.outages.values()]
        return tuple(
            KnownState(str(line.get("message")), time - number(line.get("time")))
            for line in lines
            if line is not None
        )


def number(value: object) -> float:
    """Return a numeric member of a log line, or 0 if the value is not a number."""
    return float(value) if isinstance(value, int | float) else 0.0


def parse_line(text: str) -> JsonObject | None:
    """Return the JSON object in a log line, or None if there is none.

    A prefix that a log collector added is ignored.

    Examples
    --------
    >>> parse_line('2026-01-01 gobabis-1 {"event":1004}')
    {'event': 1004}
    >>> parse_line("not ours") is None
    True
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        line = msgspec.json.decode(text[start:])
    except msgspec.DecodeError:
        return None
    return line if isinstance(line, dict) else None


def explain(request: str, texts: Iterable[str]) -> tuple[Step, ...]:
    """Return the log lines of one request, sorted by time.

    Parameters
    ----------
    request
        Id of the request.
    texts
        Log lines of any number of VMs; the lines of each VM must be in order of time.
    """
    trackers: dict[str, StateTracker] = {}
    steps: list[Step] = []
    for text in texts:
        line = parse_line(text)
        if line is None:
            continue
        vm = str(line.get("vm", ""))
        tracker = trackers.setdefault(vm, StateTracker())
        tracker.record(line)
        if line.get("event") in REQUEST_EVENTS and line.get("request") == request:
            steps.append(to_step(vm, line, tracker))
    return tuple(sorted(steps, key=lambda step: step.time))


def to_step(vm: str, line: JsonObject, tracker: StateTracker) -> Step:
    """Return the step for a line of the request, with the state that its VM knew."""
    time = number(line.get("time"))
    attempt = line.get("attempt") or line.get("last")
    target = str(attempt.get("target")) if isinstance(attempt, dict) else ""
    common = {"time", "vm", "event", "message", "level", "request"}
    details = {name: value for name, value in line.items() if name not in common}
    event = int(number(line.get("event")))
    known_states = tracker.known_states(target, time)
    return Step(time, vm, event, str(line.get("message")), details, known_states)


def format_steps(steps: tuple[Step, ...]) -> str:
    """Return the steps as human-readable text."""
    if not steps:
        return "no line names this request"
    first = steps[0].time
    lines = []
    for step in steps:
        lines.append(f"{step.time - first:8.3f} s  {step.vm}  [{step.event}] {step.text}")
        for name, value in step.details.items():
            lines.append(f"{'':14}{name}: {msgspec.json.encode(value).decode()}")
        for known in step.beliefs:
            lines.append(f"{'':14}known for {known.age_s:.3f} s: {known.text}")
    return "\n".join(lines)
