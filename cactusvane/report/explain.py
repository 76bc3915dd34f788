"""The story of one request, from the logs of the processes that saw it.

An attempt's line holds what its target was chosen by. This module adds what the process believed
then, and since when: the target's entry, the configuration, the tables that did not answer.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from cactusvane.events import Event

JsonObject = dict[str, object]
"""A log line; its members depend on the event."""

ATTEMPTED = Event.REQUEST_ATTEMPTED.value.number
ENDED = Event.REQUEST_ENDED.value.number
REQUEST_EVENTS = frozenset({ATTEMPTED, ENDED})


@dataclass(frozen=True, slots=True)
class KnownState:
    """Something that a process went by.

    Parameters
    ----------
    text
        What it was, as the log says it.
    age_s
        How long before the request's line it was logged, in seconds.
    """

    text: str
    age_s: float


@dataclass(frozen=True, slots=True)
class Step:
    """One line about the request.

    Parameters
    ----------
    time
        Seconds since the epoch, by the VM's clock.
    vm
        The VM that logged it.
    event
        Number of the event.
    text
        The line's message.
    details
        The line's other members.
    beliefs
        What the VM went by.
    """

    time: float
    vm: str
    event: int
    text: str
    details: JsonObject
    beliefs: tuple[KnownState, ...]


@dataclass(slots=True)
class StateTracker:
    """The latest lines of one VM about what it believes."""

    targets: dict[str, JsonObject] = field(default_factory=dict)
    configuration: JsonObject | None = None
    outages: dict[str, JsonObject] = field(default_factory=dict)

    def record(self, line: JsonObject) -> None:
        """Take in a line that changes what the VM believes."""
        match line.get("event"):
            case Event.TARGET_LISTED.value.number | Event.TARGET_UNLISTED.value.number:
                self.targets[str(line.get("target"))] = line
            case Event.CONFIGURATION_ADOPTED.value.number:
                self.configuration = line
            case Event.TABLE_LOST.value.number:
                self.outages.setdefault(str(line.get("table")), line)
            case Event.TABLE_REGAINED.value.number:
                self.outages.pop(str(line.get("table")), None)

    def known_states(self, target: str, time: float) -> tuple[KnownState, ...]:
        """Return what the VM goes by at `time` for a request to `target`."""
        lines = [self.targets.get(target), self.configuration, *self.outages.values()]
        return tuple(
            KnownState(str(line.get("message")), time - number(line.get("time")))
            for line in lines
            if line is not None
        )


def number(value: object) -> float:
    """Return a number of a log line, 0 for anything else."""
    return float(value) if isinstance(value, int | float) else 0.0


def parse_line(text: str) -> JsonObject | None:
    """Return the JSON object of a log line, whatever a collector put before it; None without one.

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
    """Return what the logs say of one request, in order.

    Parameters
    ----------
    request
        The request's id.
    texts
        Lines of the logs of any number of VMs, those of each VM in order.
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
    """Return a line of the request with what its VM believed."""
    time = number(line.get("time"))
    attempt = line.get("attempt") or line.get("last")
    target = str(attempt.get("target")) if isinstance(attempt, dict) else ""
    common = {"time", "vm", "event", "message", "level", "request"}
    details = {name: value for name, value in line.items() if name not in common}
    event = int(number(line.get("event")))
    known_states = tracker.known_states(target, time)
    return Step(time, vm, event, str(line.get("message")), details, known_states)


def format_steps(steps: tuple[Step, ...]) -> str:
    """Return the steps as text for a person."""
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
