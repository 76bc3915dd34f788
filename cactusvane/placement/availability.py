"""Which targets of a service accept requests, and from when on.

Performs no I/O; times are milliseconds of the process's monotonic clock.
"""

from collections.abc import Collection, Iterable

from cactusvane.metrics import TargetCounts
from cactusvane.placement.fair_share import Capacity, measure_capacity
from cactusvane.placement.rate_limits import RateLimits
from cactusvane.placement.target import Target
from cactusvane.placement.target_notices import TargetNotices

UNUSED_MS = 2_000.0
"""A target without a request for this long counts as unused in the metrics."""


class Availability:
    """Availability of targets, by their state and by what they have said.

    Parameters
    ----------
    failure_domain
        Failure domain of this VM.
    rate_limits
        Rate limits of the targets.
    notices
        Which targets have said that they leave, or that they want a pause.
    """

    def __init__(
        self, failure_domain: str, rate_limits: RateLimits, notices: TargetNotices
    ) -> None:
        self.failure_domain = failure_domain
        self.rate_limits = rate_limits
        self.notices = notices

    def accepts_requests(self, target: Target, now: float) -> bool:
        """Return whether a target may get new requests at all."""
        return target.accepts_requests(now) and not self.notices.is_leaving(target.vm)

    def next_send_at(self, target: Target, now: float) -> float:
        """Return when this entry may send the next request to a target, by what that has said."""
        limited_until = self.rate_limits.next_send_at(target.vm, now)
        return max(limited_until, self.notices.next_send_at(target.vm))

    def all_paused(self, targets: Iterable[Target], now: float) -> bool:
        """Return whether all of the targets want a pause."""
        return all(self.notices.next_send_at(target.vm) > now for target in targets)

    def capacity(self, targets: Iterable[Target], now: float) -> Capacity:
        """Return the capacity of the service, as the customers share it."""
        return measure_capacity(
            targets,
            self.failure_domain,
            lambda target: self.accepts_requests(target, now),
        )

    def count_targets(self, targets: Collection[Target], now: float) -> TargetCounts:
        """Return numbers of targets in the own failure domain."""
        local = [
            target
            for target in targets
            if self.accepts_requests(target, now)
            and target.vm.failure_domain == self.failure_domain
        ]
        leaving = sum(
            self.notices.is_leaving(target.vm) and target.vm.failure_domain == self.failure_domain
            for target in targets
        )
        paused = sum(self.notices.next_send_at(target.vm) > now for target in local)
        unused = sum(now - target.used_at > UNUSED_MS for target in local)
        limited = sum(self.rate_limits.is_limited(target.vm.name) for target in local)
        return TargetCounts(len(local), unused, limited, leaving, paused)
