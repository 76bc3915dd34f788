"""Requests under which target after target closes without a response.

A request may crash each target that begins to run it. Such a request comes again under another id,
at any entry, and never completes. A target that ends takes all requests with it that it runs, so a
single close says little; a request that has ended several targets, and completed nowhere, is
isolated. Performs no I/O; the current time is passed in, in milliseconds.
"""

from collections import deque
from dataclasses import dataclass, field
from math import inf
from random import Random

import msgspec

from cactusvane import events
from cactusvane.events import Event

NO_RETRY_CRASHES = 2
"""Targets that a request may have ended before it gets no further attempt at another one."""

REJECT_CRASHES = 3
"""Targets that a request may have ended before it is rejected."""

EVIDENCE_MS = 60_000.0
"""Time without new evidence after which a request that is not rejected is forgotten."""

REJECTION_MS = 600_000.0
"""How long a request is rejected after the latest target that it ended."""

COMPLETION_MS = 60_000.0
"""How long a request that completed is beyond suspicion."""

MIN_COMPLETION_GAP_MS = 20_000.0
"""Other entries are told so often at most that a request completed once more."""

MAX_RETRY_AFTER_MS = 60_000.0
"""Maximum time after which a caller is told to come back."""

MAX_REQUESTS = 2_000
"""Maximum number of remembered requests; those with the oldest evidence are forgotten first."""

OWN_PATH_MS = 50.0
OWN_PATH_TARGETS = 3
"""So many targets that close within this time point at the network path of this VM."""

MAX_CRASH_REPORTS = 32
"""Maximum number of reports in one message."""

REPEATED_REPORTS = 4
"""Number of reports that a full update repeats, for entries that missed them."""

MAX_TARGETS = 4
"""Maximum number of targets that are remembered for one request; more add nothing."""


class CrashReport(msgspec.Struct, frozen=True, array_like=True):
    """What one entry knows of a request that may crash targets.

    Parameters
    ----------
    fingerprint
        Identity of the request.
    crash_ages_ms
        Time since a target closed without a response, by name of the target.
    completed_ago_ms
        Time since the request completed anywhere; None if it never did.
    """

    fingerprint: bytes
    crash_ages_ms: dict[str, float]
    completed_ago_ms: float | None = None


@dataclass(slots=True)
class Suspect:
    """A request under which a target closed without a response.

    Parameters
    ----------
    crashed_at
        Time of each close, by name of the target.
    completed_at
        Time of the latest completion.
    """

    crashed_at: dict[str, float] = field(default_factory=dict)
    completed_at: float = -inf

    @property
    def latest(self) -> float:
        """Time of the latest evidence for or against the request."""
        return max(self.completed_at, *self.crashed_at.values(), -inf)


class CrashRecord:
    """What is known of requests that may crash targets, by fingerprint.

    Attributes
    ----------
    suspects
        What is known of each request.
    unsent
        Requests about which the other entries of the group are to be told.
    witnessed
        Requests that this entry has seen ending a target, or has rejected, since `expire` last
        forgot them.
    rejected
        Requests that this entry has rejected since `take_rejected` asked for them.

    Examples
    --------
    >>> crashes = CrashRecord()
    >>> for number, now in enumerate((0.0, 500.0, 900.0)):
    ...     crashes.record_crash(b"f", f"t{number}", now)
    >>> crashes.rejects(b"f", 1_000.0, retry=False)
    True
    >>> crashes.record_completion(b"f", 1_100.0)
    >>> crashes.rejects(b"f", 1_200.0, retry=False)
    False
    """

    def __init__(self) -> None:
        self.suspects: dict[bytes, Suspect] = {}
        self.unsent: set[bytes] = set()
        self.witnessed: set[bytes] = set()
        self.rejected: set[bytes] = set()
        self.recent: deque[tuple[float, str]] = deque(maxlen=OWN_PATH_TARGETS)

    def count(self, fingerprint: bytes, now: float) -> int:
        """Return how many targets a request has ended, as far as is known."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None or now - suspect.completed_at < COMPLETION_MS:
            return 0
        return sum(at > suspect.completed_at for at in suspect.crashed_at.values())

    def rejects(self, fingerprint: bytes, now: float, retry: bool) -> bool:
        """Return whether a request may not be sent to a target.

        Parameters
        ----------
        fingerprint
            Identity of the request.
        now
            Current time in milliseconds (monotonic clock of the process).
        retry
            Whether it was sent to another target before.
        """
        return self.count(fingerprint, now) >= (NO_RETRY_CRASHES if retry else REJECT_CRASHES)

    def record_rejection(self, fingerprint: bytes, now: float) -> float:
        """Record that this entry rejects a request; return when its caller may come back.

        Returns
        -------
        float
            Milliseconds from `now`.
        """
        self.witnessed.add(fingerprint)
        self.rejected.add(fingerprint)
        until = self.suspects[fingerprint].latest + REJECTION_MS
        return min(MAX_RETRY_AFTER_MS, max(0.0, until - now))

    def take_rejected(self, fingerprint: bytes) -> bool:
        """Return whether this entry has rejected a request since this was last asked."""
        rejected = fingerprint in self.rejected
        self.rejected.discard(fingerprint)
        return rejected

    def record_crash(self, fingerprint: bytes, target: str, now: float) -> None:
        """Record that a target closed without a response to a request of this entry."""
        self.recent.append((now, target))
        if self.is_own_path_suspected(now):
            return
        self.witnessed.add(fingerprint)
        if self.add(fingerprint, Suspect({target: now}), now):
            self.unsent.add(fingerprint)

    def is_own_path_suspected(self, now: float) -> bool:
        """Return whether several targets closed at the same moment."""
        targets = {target for at, target in self.recent if now - at <= OWN_PATH_MS}
        return len(targets) >= OWN_PATH_TARGETS

    def record_completion(self, fingerprint: bytes, now: float) -> None:
        """Record that a target ran a request to its end, if the request is suspected."""
        if fingerprint in self.suspects and self.add(fingerprint, Suspect({}, now), now):
            self.unsent.add(fingerprint)

    def receive(self, reports: tuple[CrashReport, ...], now: float, pass_on: bool) -> None:
        """Record what another entry knows.

        Parameters
        ----------
        reports
            What it knows.
        now
            Current time in milliseconds (monotonic clock of the process).
        pass_on
            Whether the other entries of the group are to be told what is new.
        """
        for report in reports:
            crashed_at = {target: now - age for target, age in report.crash_ages_ms.items()}
            ago = report.completed_ago_ms
            news = Suspect(crashed_at, -inf if ago is None else now - ago)
            if self.add(report.fingerprint, news, now) and pass_on:
                self.unsent.add(report.fingerprint)

    def add(self, fingerprint: bytes, news: Suspect, now: float) -> bool:
        """Add evidence, and return whether any of it is new."""
        known = self.suspects.setdefault(fingerprint, Suspect())
        before = self.count(fingerprint, now)
        targets = news.crashed_at.keys() - known.crashed_at.keys()
        completed = news.completed_at > known.completed_at + MIN_COMPLETION_GAP_MS
        if not targets and not completed:
            return False
        merged = sorted((news.crashed_at | known.crashed_at).items(), key=lambda each: each[1])
        known.crashed_at = dict(merged[-MAX_TARGETS:])
        known.completed_at = max(known.completed_at, news.completed_at)
        self.log_change(fingerprint, known, before, now)
        if len(self.suspects) > MAX_REQUESTS:
            self.forget(min(self.suspects, key=lambda each: self.suspects[each].latest))
        return True

    def log_change(self, fingerprint: bytes, known: Suspect, before: int, now: float) -> None:
        """Log that a request gets no more retries, is rejected, or is free again."""
        count = self.count(fingerprint, now)
        if before == count or max(before, count) < NO_RETRY_CRASHES:
            return
        events.write(
            Event.REQUEST_SUSPECTED,
            fingerprint=fingerprint.hex(),
            targets=count,
            before=before,
            names=tuple(known.crashed_at),
            ages_ms=[round(now - at) for at in known.crashed_at.values()],
            rejected=count >= REJECT_CRASHES,
        )

    def report(self, fingerprint: bytes, now: float) -> CrashReport | None:
        """Return what is known of a request; None if nothing is."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            return None
        ages = {target: now - at for target, at in suspect.crashed_at.items()}
        completed = suspect.completed_at
        return CrashReport(fingerprint, ages, None if completed == -inf else round(now - completed))

    def take_news(self, full: bool, random: Random, now: float) -> tuple[CrashReport, ...]:
        """Return what the other entries of the group are to be told now.

        Parameters
        ----------
        full
            Whether also to repeat some of what was told before.
        random
            Chooses what is repeated.
        now
            Current time in milliseconds (monotonic clock of the process).
        """
        chosen = list(self.unsent)[:MAX_CRASH_REPORTS]
        self.unsent.difference_update(chosen)
        if full and self.suspects:
            isolated = [each for each in self.isolated(now) if each not in chosen]
            chosen += random.sample(isolated, min(REPEATED_REPORTS, len(isolated)))
        found = [self.report(fingerprint, now) for fingerprint in chosen]
        return tuple(report for report in found if report is not None)

    def isolated(self, now: float) -> list[bytes]:
        """Return the fingerprints of the requests that get no retry or are rejected."""
        return [each for each in self.suspects if self.count(each, now) >= NO_RETRY_CRASHES]

    def expire(self, now: float) -> None:
        """Forget what is too old to count."""
        for fingerprint, suspect in tuple(self.suspects.items()):
            rejected = self.count(fingerprint, now) >= REJECT_CRASHES
            if now - suspect.latest > (REJECTION_MS if rejected else EVIDENCE_MS):
                self.forget(fingerprint)

    def forget(self, fingerprint: bytes) -> None:
        """Forget a request."""
        self.witnessed.discard(fingerprint)
        self.rejected.discard(fingerprint)
        targets = tuple(self.suspects.pop(fingerprint).crashed_at)
        if len(targets) >= REJECT_CRASHES:
            events.write(Event.REQUEST_FORGOTTEN, fingerprint=fingerprint.hex(), names=targets)
