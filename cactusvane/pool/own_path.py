"""Detection of faults on this VM's own network path: most targets look unreachable."""

from collections.abc import Iterable

from cactusvane.fleet.vm import Address
from cactusvane.outcome import Outcome
from cactusvane.pool.messages import Probe

MIN_CONSECUTIVE_FAILURES = 2
"""Consecutive path failures after which a target looks unreachable."""

PROBE_INTERVAL_MS = 1_000.0
"""Time between two probes of a target."""

SUSPECT_SHARE = 0.55
"""Above this share of unreachable targets the VM suspects its own path."""

PATH_FAILURES = frozenset({Outcome.UNREACHABLE, Outcome.TIMED_OUT, Outcome.BROKEN})


class OwnPath:
    """Counts consecutive path failures per target."""

    def __init__(self) -> None:
        self.consecutive_failures: dict[Address, int] = {}
        self.suspected = False
        self.probe_at = 0.0

    def set_targets(self, targets: Iterable[Address]) -> None:
        """Replace the set of targets, keeping the counts of those that remain."""
        self.consecutive_failures = {
            target: self.consecutive_failures.get(target, 0) for target in targets
        }

    def add(self, target: Address, outcome: Outcome) -> None:
        """Record an outcome; any response shows that the path works."""
        if target not in self.consecutive_failures or outcome is Outcome.CANCELLED:
            return
        if outcome in PATH_FAILURES:
            self.consecutive_failures[target] += 1
        else:
            self.consecutive_failures[target] = 0

    def is_suspect(self) -> bool:
        """Return whether the VM's own path is the suspect; never with a single target."""
        count = len(self.consecutive_failures)
        unreachable = sum(
            failures >= MIN_CONSECUTIVE_FAILURES for failures in self.consecutive_failures.values()
        )
        return count > 1 and unreachable > SUSPECT_SHARE * count

    def pending_probes(self, now: float) -> tuple[Probe, ...]:
        """Return probes of all failing targets while the VM suspects its own path."""
        if not self.suspected or now < self.probe_at:
            return ()
        self.probe_at = now + PROBE_INTERVAL_MS
        return tuple(
            Probe(target) for target, failures in self.consecutive_failures.items() if failures
        )
