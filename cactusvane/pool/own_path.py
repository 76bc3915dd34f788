"""Whether most targets look unreachable from here, so that this VM's path is the suspect."""

from collections.abc import Iterable

from cactusvane.fleet.vm import Address
from cactusvane.outcome import Outcome
from cactusvane.pool.messages import Probe

MIN_CONSECUTIVE_FAILURES = 2
"""Path failures in a row after which a target looks unreachable."""

PROBE_INTERVAL_MS = 1_000.0
"""Time between two probes of one target."""

SUSPECT_SHARE = 0.55
"""Above this share of unreachable targets the VM suspects itself."""

PATH_FAILURES = frozenset({Outcome.UNREACHABLE, Outcome.TIMED_OUT, Outcome.BROKEN})


class OwnPath:
    """Counts path failures in a row per target."""

    def __init__(self) -> None:
        self.consecutive_failures: dict[Address, int] = {}
        self.suspected = False
        self.probe_at = 0.0

    def set_targets(self, targets: Iterable[Address]) -> None:
        """Forget targets that are no longer listed."""
        self.consecutive_failures = {
            target: self.consecutive_failures.get(target, 0) for target in targets
        }

    def add(self, target: Address, outcome: Outcome) -> None:
        """Take in one outcome; any answer at all proves the path."""
        if target not in self.consecutive_failures or outcome is Outcome.CANCELLED:
            return
        if outcome in PATH_FAILURES:
            self.consecutive_failures[target] += 1
        else:
            self.consecutive_failures[target] = 0

    def is_suspect(self) -> bool:
        """Return whether the VM's own path is the suspect; a single target proves nothing."""
        count = len(self.consecutive_failures)
        unreachable = sum(
            failures >= MIN_CONSECUTIVE_FAILURES for failures in self.consecutive_failures.values()
        )
        return count > 1 and unreachable > SUSPECT_SHARE * count

    def pending_probes(self, now: float) -> tuple[Probe, ...]:
        """Return probes of all silent targets while the VM suspects itself."""
        if not self.suspected or now < self.probe_at:
            return ()
        self.probe_at = now + PROBE_INTERVAL_MS
        return tuple(
            Probe(target) for target, failures in self.consecutive_failures.items() if failures
        )
