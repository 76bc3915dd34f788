"""Rate limits that targets name in their responses.

A target in need states how many requests per second it accepts from all entries together, for as
long as its responses say so. Each entry tells its group what it learns; `pacing` says how often
one entry may send requests meanwhile. Performs no I/O; the current time is passed in.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf
from random import Random

from cactusvane import events
from cactusvane.events import Event
from cactusvane.fleet.vm import Vm
from cactusvane.http.rate_limit import (
    NamedRateLimit,
    NoRateLimit,
    RateLimitField,
    UnusableRateLimit,
)
from cactusvane.placement.groups import Group
from cactusvane.placement.messages import RateLimitReport
from cactusvane.placement.pacing import Pacer, send_interval_ms

SETTLING_MS = 500.0
"""A limit ends with a response to a request that was sent so long after the latest response with
the limit; updates from entries are delayed by less."""

MAX_UNUSABLE = 1_000
"""Number of targets whose unusable limits are remembered, so that each is logged once."""

MEMORY_MS = 600_000.0
"""A limit is forgotten so long after the latest response about it."""

WITHDRAWAL_REPORT_MS = 30_000.0
"""How long an entry tells the others that a limit has ended."""

GROUP_REFRESH_MS = 100.0
"""How old the list of the group's live members may be."""


@dataclass(frozen=True, slots=True)
class Statement:
    """What a target said about its rate limit.

    Parameters
    ----------
    per_s
        Requests per second that it accepts from all entries; None if it names no limit any more.
    at
        Time of the response with the limit; without a limit, when the request was sent. In
        milliseconds (monotonic clock of the process).
    source
        VM of the entry that got the response.
    """

    per_s: float | None
    at: float
    source: str


@dataclass(slots=True)
class RateLimit:
    """The rate limit of one target, and this entry's part of it.

    Parameters
    ----------
    latest
        The latest statement of the target.
    pacer
        Spaces this entry's requests.
    paced_for
        Group and limit that the pacer's interval was computed for.
    """

    latest: Statement
    pacer: Pacer = field(default_factory=Pacer)
    paced_for: tuple[Group, float] | None = None


class RateLimits:
    """Rate limits of the targets of all services, by name of the target.

    Parameters
    ----------
    vm
        Name of this VM.
    find_group
        Returns the live entries that share their state with this one.
    random
        Source of all random choices.
    """

    def __init__(self, vm: str, find_group: Callable[[float], Group], random: Random) -> None:
        self.vm = vm
        self.find_group = find_group
        self.random = random
        self.limits: dict[str, RateLimit] = {}
        self.unusable: dict[str, str] = {}
        self.group: Group | None = None
        self.group_found_at = -inf
        self.has_news = False

    def live_group(self, now: float) -> Group:
        """Return the live entries of the group; the list may be slightly old."""
        if self.group is None or now - self.group_found_at >= GROUP_REFRESH_MS:
            found = self.find_group(now)
            self.group_found_at = now
            self.group = self.group if found == self.group else found
        assert self.group is not None
        return self.group

    def next_send_at(self, target: Vm, now: float) -> float:
        """Return when this entry may send the next request to a target.

        Returns
        -------
        float
            Milliseconds on the clock of `now`; infinite if other entries use the target's limit.
        """
        limit = self.limits.get(target.name)
        if limit is None or limit.latest.per_s is None:
            return -inf
        self.update_pacer(limit, target, limit.latest.per_s, now)
        return limit.pacer.next_at

    def is_limited(self, target: str) -> bool:
        """Return whether a target names a limit."""
        limit = self.limits.get(target)
        return limit is not None and limit.latest.per_s is not None

    def update_pacer(self, limit: RateLimit, target: Vm, per_s: float, now: float) -> None:
        """Compute the interval between requests again if the group or the limit has changed."""
        group = self.live_group(now)
        if limit.paced_for == (group, per_s):
            return
        limit.paced_for = (group, per_s)
        before = limit.pacer.interval_ms
        interval_ms = send_interval_ms(group, target, per_s)
        limit.pacer.set_interval(interval_ms, self.random, now)
        if interval_ms != before:
            events.write(
                Event.RATE_SHARE_CHANGED,
                target=target.name,
                interval_ms=None if interval_ms == inf else round(interval_ms, 1),
                per_s=per_s,
                stated_ago_ms=round(now - limit.latest.at, 1),
                source=limit.latest.source,
                members=len(group.members),
            )

    def record_start(self, target: str, now: float) -> None:
        """Record that this entry sends a request to a target."""
        limit = self.limits.get(target)
        if limit is not None:
            limit.pacer.record_start(now)

    def record_response(
        self, target: str, stated: RateLimitField, sent_at: float, now: float
    ) -> bool:
        """Record what a response to this entry says, and return whether it changes anything.

        Parameters
        ----------
        target
            Name of the target.
        stated
            Field of its response.
        sent_at
            When the request was sent, in milliseconds (monotonic clock of the process).
        now
            Current time on the same clock.
        """
        match stated:
            case NamedRateLimit(per_s):
                changed = self.record(target, Statement(per_s, now, self.vm), now)
            case NoRateLimit():
                changed = self.record(target, Statement(None, sent_at, self.vm), now)
            case UnusableRateLimit(value):
                self.log_unusable(target, value)
                return False
        self.has_news = self.has_news or changed
        return changed

    def record(self, target: str, new: Statement, now: float) -> bool:
        """Record a statement of a target, and return whether it changes anything."""
        limit = self.limits.get(target)
        known = limit.latest if limit is not None else None
        if not supersedes(new, known):
            return False
        if limit is None:
            self.limits[target] = RateLimit(new)
        else:
            limit.latest = new
        before = known.per_s if known is not None else None
        if before == new.per_s:
            return False
        events.write(
            Event.RATE_LIMIT_CHANGED,
            target=target,
            per_s=new.per_s,
            before=before,
            source=new.source,
            age_ms=round(now - new.at, 1),
        )
        return True

    def receive(self, reports: dict[str, RateLimitReport], sender: str, now: float) -> None:
        """Record what another entry learnt from responses."""
        for target, report in reports.items():
            self.record(target, Statement(report.per_s, now - report.age_ms, sender), now)

    def reports(self, full: bool, now: float) -> dict[str, RateLimitReport] | None:
        """Return what this entry learnt from responses, if it is to be sent now.

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
            target: RateLimitReport(limit.latest.per_s, round(now - limit.latest.at))
            for target, limit in self.limits.items()
            if limit.latest.source == self.vm and is_reported(limit.latest, now)
        }
        return own or None

    def log_unusable(self, target: str, value: str) -> None:
        """Log a limit that cannot be used, once for each value."""
        if len(self.unusable) >= MAX_UNUSABLE:
            self.unusable.clear()
        if self.unusable.get(target) != value:
            self.unusable[target] = value
            events.write(Event.RATE_LIMIT_UNUSABLE, target=target, value=value)

    def expire(self, now: float) -> None:
        """Forget what has not been stated for long."""
        for target, limit in tuple(self.limits.items()):
            if now - limit.latest.at > MEMORY_MS:
                del self.limits[target]


def is_reported(statement: Statement, now: float) -> bool:
    """Return whether to send a statement to the other entries."""
    return statement.per_s is not None or now - statement.at <= WITHDRAWAL_REPORT_MS


def supersedes(new: Statement, known: Statement | None) -> bool:
    """Return whether a statement is later than the known one.

    Examples
    --------
    >>> supersedes(Statement(None, 900.0, "e1"), Statement(2.0, 300.0, "e1"))
    True
    >>> supersedes(Statement(None, 700.0, "e1"), Statement(2.0, 300.0, "e1"))
    False
    """
    if known is None:
        return new.per_s is not None
    settling_ms = SETTLING_MS if new.per_s is None and known.per_s is not None else 0.0
    return new.at > known.at + settling_ms
