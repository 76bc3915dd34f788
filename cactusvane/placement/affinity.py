"""Stable subset of a service's targets that one entry prefers, so that it reuses its connections.

An entry with few requests that spreads them over many targets finds its connections expired. So
each entry prefers a few targets, by rendezvous hashing: those of its own failure domain first, in
an order that depends on the entry and the target alone. A change of the list moves only the targets
that came or went. The subset is as large as the entry's own requests keep connections in use.
Performs no I/O; the current time is passed in.
"""

from collections.abc import Iterable
from math import inf, log

from cactusvane.clock import MS_PER_SECOND
from cactusvane.fleet.vm import Vm
from cactusvane.placement.groups import hash_name

RATE_HALF_LIFE_MS = 10_000.0
"""Half-life of the requests that the rate is computed from; longer than connections are kept."""

INTERVAL_SHARE = 0.5
"""Mean interval between two uses of a member, as a share of how long connections are kept.

With a share of 0.5 and requests at random times, one interval in seven is too long.
"""

MAX_KEPT_MS = 5_000.0
"""Idle connections are kept for this long unless a target announces another time."""


class Affinity:
    """The preferred targets of one service.

    Parameters
    ----------
    vm
        Name of this VM.
    failure_domain
        Its failure domain.

    Examples
    --------
    >>> affinity = Affinity("e1", "a")
    >>> for number in range(100):
    ...     affinity.record_request(100.0 * number)
    >>> affinity.size(MAX_KEPT_MS, 10_000.0)
    12
    """

    def __init__(self, vm: str, failure_domain: str) -> None:
        self.vm = vm
        self.failure_domain = failure_domain
        self.order: tuple[str, ...] = ()
        self.latest: frozenset[str] = frozenset()
        self.requests = 0.0
        self.updated_at = -inf

    def set_targets(self, vms: Iterable[Vm]) -> None:
        """Apply a new list of targets."""
        order = sorted(
            vms,
            key=lambda vm: (
                vm.failure_domain != self.failure_domain,
                hash_name(f"{self.vm}/{vm.name}"),
            ),
        )
        self.order = tuple(vm.name for vm in order)
        self.latest = frozenset()

    def preferred(self, kept_ms: float, now: float) -> frozenset[str]:
        """Return the names of the preferred targets; parameters as for `size`."""
        size = min(len(self.order), self.size(kept_ms, now))
        if len(self.latest) != size:
            self.latest = frozenset(self.order[:size])
        return self.latest

    def record_request(self, now: float) -> None:
        """Record that this entry sent a request to any target of the service."""
        self.requests = self.decayed_requests(now) + 1.0
        self.updated_at = now

    def decayed_requests(self, now: float) -> float:
        """Return the weighted number of recent requests."""
        factor: float = 0.5 ** (max(0.0, now - self.updated_at) / RATE_HALF_LIFE_MS)
        return self.requests * factor

    def rate_per_s(self, now: float) -> float:
        """Return this entry's recent requests per second."""
        return self.decayed_requests(now) * log(2.0) * MS_PER_SECOND / RATE_HALF_LIFE_MS

    def size(self, kept_ms: float, now: float) -> int:
        """Return the number of preferred targets, at least one.

        Parameters
        ----------
        kept_ms
            Time for which idle connections are kept and may be reused, in milliseconds.
        now
            Current time in milliseconds (monotonic clock of the process).
        """
        interval_s = INTERVAL_SHARE * min(MAX_KEPT_MS, kept_ms) / MS_PER_SECOND
        return max(1, round(self.rate_per_s(now) * interval_s))
