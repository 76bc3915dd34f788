"""Targets that have said in a response that they leave, or that they want a pause.

Both outlive the listing of the target: a target that has said that it leaves gets no request under
this start of its process, whatever the platform lists. That it leaves is told to the other entries
of the group; a pause concerns the entry that was asked for it. Performs no I/O; the current time is
passed in, in milliseconds (monotonic clock of the process).
"""

from collections.abc import Collection
from dataclasses import dataclass
from math import inf

from cactusvane import events
from cactusvane.events import Event
from cactusvane.fleet.vm import Vm
from cactusvane.http.target_notice import TargetNotice, UnusableField
from cactusvane.placement.messages import LeavingReport

MEMORY_MS = 600_000.0
"""How long a target that is no longer listed is remembered as leaving."""

MAX_UNUSABLE = 1_000
"""Number of fields without a meaning that are remembered, so that each is logged once."""

PAUSE_STEP_MS = 1_000.0
"""A pause that ends later than the known one by less is not logged again."""


@dataclass(frozen=True, slots=True)
class Leaving:
    """A target has said that it leaves.

    Parameters
    ----------
    at
        Time of the first response that said so.
    source
        VM of the entry that got it.
    started_ms
        Start of the target's process; a later start is another one.
    """

    at: float
    source: str
    started_ms: float


@dataclass(frozen=True, slots=True)
class Pause:
    """A target wants no request from this entry until a time; a later start wants no pause."""

    until: float
    started_ms: float


class TargetNotices:
    """What targets have said, by their names.

    Parameters
    ----------
    vm
        Name of this VM.
    """

    def __init__(self, vm: str) -> None:
        self.vm = vm
        self.leaving: dict[str, Leaving] = {}
        self.pauses: dict[str, Pause] = {}
        self.unusable: set[tuple[str, UnusableField]] = set()
        self.has_news = False

    def is_leaving(self, target: Vm) -> bool:
        """Return whether a target has said that it leaves."""
        known = self.leaving.get(target.name)
        return known is not None and target.started_ms <= known.started_ms

    def next_send_at(self, target: Vm) -> float:
        """Return the end of the pause that a target has asked this entry for."""
        pause = self.pauses.get(target.name)
        if pause is None or target.started_ms > pause.started_ms:
            return -inf
        return pause.until

    def record(self, target: str, started_ms: float, notice: TargetNotice, now: float) -> bool:
        """Record what a response to this entry says; return whether the others are to be told.

        Parameters
        ----------
        target
            Name of the target.
        started_ms
            Start of its process in milliseconds since the epoch; infinite if it is not known.
        notice
            What the response says.
        now
            Current time in milliseconds (monotonic clock of the process).
        """
        for field in notice.unusable:
            self.log_unusable(target, field)
        if notice.pause_ms is not None:
            self.record_pause(target, Pause(now + notice.pause_ms, started_ms), now)
        news = notice.leaving and self.add(target, Leaving(now, self.vm, started_ms), now)
        self.has_news = self.has_news or news
        return news

    def record_pause(self, target: str, pause: Pause, now: float) -> None:
        """Record that a target wants a pause; the one that ends last holds."""
        known = self.pauses.get(target)
        until = -inf if known is None or known.started_ms < pause.started_ms else known.until
        if pause.until <= until:
            return
        self.pauses[target] = pause
        if pause.until > until + PAUSE_STEP_MS:
            pause_ms = round(pause.until - now)
            events.write(Event.TARGET_PAUSED, target=target, pause_ms=pause_ms)

    def add(self, target: str, news: Leaving, now: float) -> bool:
        """Record that a target leaves, and return whether that is new."""
        known = self.leaving.get(target)
        if known is not None and known.started_ms >= news.started_ms:
            return False
        self.leaving[target] = news
        events.write(
            Event.TARGET_LEAVING,
            target=target,
            source=news.source,
            age_ms=round(now - news.at, 1),
        )
        return True

    def receive(self, reports: dict[str, LeavingReport], sender: str, now: float) -> None:
        """Record which targets have told another entry that they leave."""
        for target, report in reports.items():
            self.add(target, Leaving(now - report.age_ms, sender, report.started_ms), now)

    def reports(self, full: bool, now: float) -> dict[str, LeavingReport] | None:
        """Return which targets have told this entry that they leave, if it is to be sent now.

        Parameters
        ----------
        full
            Whether also to send what was sent before, for entries that missed it.
        now
            Current time in milliseconds (monotonic clock of the process).
        """
        if not full and not self.has_news:
            return None
        self.has_news = False
        own = {
            target: LeavingReport(each.started_ms, round(now - each.at))
            for target, each in self.leaving.items()
            if each.source == self.vm
        }
        return own or None

    def log_unusable(self, target: str, field: UnusableField) -> None:
        """Log a field without a meaning, once for each target and value."""
        if len(self.unusable) >= MAX_UNUSABLE:
            self.unusable.clear()
        if (target, field) not in self.unusable:
            self.unusable.add((target, field))
            events.write(
                Event.NOTICE_FIELD_UNUSABLE, target=target, field=field.name, value=field.value
            )

    def expire(self, listed: Collection[str], now: float) -> None:
        """Forget pauses that are over, and targets that are gone for long."""
        self.pauses = {name: pause for name, pause in self.pauses.items() if now < pause.until}
        for name, each in tuple(self.leaving.items()):
            if name not in listed and now - each.at > MEMORY_MS:
                del self.leaving[name]
