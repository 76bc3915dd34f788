"""State of one target as one entry knows it: load, evidence, reachability."""

from dataclasses import dataclass
from math import inf

from cactusvane.fleet.vm import Vm, VmState
from cactusvane.placement.evidence import Evidence
from cactusvane.placement.settings import PlacementSettings
from cactusvane.placement.work import RunningWork

DEFAULT_SLOTS = 1
"""Slots of a target that does not declare how many it has."""


@dataclass(frozen=True, slots=True)
class PeerWork:
    """Requests of another entry in flight at a target, as of its latest update.

    Parameters
    ----------
    count
        Number of requests.
    remaining_ms
        Their remaining work in milliseconds; None if the entry does not tell.
    """

    count: int
    remaining_ms: float | None


class Target:
    """A listed target.

    Parameters
    ----------
    vm
        Its row in the VM list.
    settings
        How evidence is weighted.
    now
        Time at which it was listed, in milliseconds (monotonic clock of the process).

    Attributes
    ----------
    own_load
        This entry's requests in flight.
    peer_load
        Requests in flight of the other entries of the failure domain.
    own_work
        This entry's requests in flight, if their expected work is known.
    peer_work
        The other entries' requests in flight, by entry.
    unreachable_until
        End of the backoff after this entry could not reach it.
    failed_at
        Time of the latest failure of a request from any entry of the failure domain, as far as
        this one knows.
    used_at
        Time at which any entry of the failure domain last sent it a request, as far as this one
        knows.
    cold_until
        End of its warm-up.
    misplaced
        Whether another target has its address by now.
    """

    __slots__ = (
        "cold_until",
        "evidence",
        "failed_at",
        "consecutive_failures",
        "misplaced",
        "peer_load",
        "own_load",
        "own_work",
        "peer_work",
        "unreachable_until",
        "settings",
        "used_at",
        "vm",
    )

    def __init__(self, vm: Vm, settings: PlacementSettings, now: float) -> None:
        self.settings = settings
        self.evidence = Evidence(settings)
        self.own_load = 0
        self.peer_load = 0
        self.own_work: set[RunningWork] = set()
        self.peer_work: dict[str, PeerWork] = {}
        self.unreachable_until = 0.0
        self.consecutive_failures = 0
        self.misplaced = False
        self.cold_until = now + vm.warm_up_ms
        self.used_at = now
        self.failed_at = -inf
        self.vm = vm

    def update_row(self, vm: Vm, now: float) -> None:
        """Apply the current row of the target."""
        if vm.address != self.vm.address:
            self.misplaced = False
        if vm.warm_up_ms != self.vm.warm_up_ms:
            self.cold_until = now + vm.warm_up_ms
        self.vm = vm

    @property
    def load(self) -> int:
        """Requests in flight, as far as this entry knows."""
        return self.own_load + self.peer_load

    def own_remaining_ms(self, now: float) -> float:
        """Return the remaining work of this entry's requests in flight, in milliseconds."""
        return sum(work.remaining_ms(now) for work in self.own_work)

    def remaining_ms(self, mean_ms: float, now: float) -> float:
        """Return the remaining work of all requests in flight, in milliseconds.

        Parameters
        ----------
        mean_ms
            Work that is assumed for requests of which nothing is known.
        now
            Current time in milliseconds (monotonic clock of the process).
        """
        total_ms = self.own_remaining_ms(now) + (self.own_load - len(self.own_work)) * mean_ms
        for each in self.peer_work.values():
            known_ms = each.remaining_ms
            total_ms += each.count * mean_ms if known_ms is None else known_ms
        return total_ms

    @property
    def slots(self) -> int:
        """Requests that the target runs concurrently."""
        return self.vm.slots or DEFAULT_SLOTS

    def accepts_requests(self, now: float) -> bool:
        """Return whether the target may get new requests at all."""
        live = self.vm.state is VmState.LIVE and not self.misplaced
        return live and now >= self.unreachable_until

    def record_failure(self, weight: float, now: float) -> None:
        """Record a failure; a `weight` below 1 stands for uncertain evidence."""
        self.evidence.record_failure(weight, now)
        self.failed_at = now

    def ms_since_failure(self, now: float) -> float | None:
        """Return the time since a request failed here, in milliseconds; None if none ever did."""
        return None if self.failed_at == -inf else now - self.failed_at

    def record_connected(self) -> None:
        """Record that a connection was established."""
        self.consecutive_failures = 0

    def record_unreachable(self, now: float) -> None:
        """Back off from the target, for longer with each consecutive failure."""
        settings = self.settings
        growth = settings.unreachable_growth**self.consecutive_failures
        backoff_ms = min(settings.unreachable_max_ms, settings.unreachable_ms * growth)
        self.unreachable_until = now + backoff_ms
        self.consecutive_failures += 1
