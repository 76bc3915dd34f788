"""The keeper's part in sharing the slots of a service's targets: grants credits to entries.

Performs no I/O; the current time is passed in.
"""

from collections import deque
from dataclasses import dataclass

from cactusvane.fleet.vm import Address, Vm
from cactusvane.outcome import Outcome
from cactusvane.slots.messages import (
    Credit,
    CreditRequest,
    CreditRequestReceived,
    CreditResponse,
    EntryDisconnected,
    ReturnedCredit,
    SendCredits,
    SlotKeeperEvent,
    TargetsInUse,
    Ticked,
    UncreditedUse,
)
from cactusvane.slots.settings import SlotSettings

LATENCY_WEIGHT = 0.1
"""Weight of the latest attempt in the moving average of a target's latency."""

SERVICE_LATENCY_WEIGHT = 0.01
"""Weight of the latest attempt in the moving average of the service's expected latency."""

SHED_SLOT_STEP = 0.5
"""Slots by which a target's limit is reduced when it sheds a request with a credit."""

UNCREDITED_SHED_MS = 1_000.0
"""Time after the shed of a request without a credit during which a target's limit is not reduced.

Requests without credits are then the likely cause of sheds.
"""


@dataclass(slots=True)
class TargetLimit:
    """Limit on the credits for one target.

    Parameters
    ----------
    vm
        The target.
    slots
        Maximum number of outstanding credits; fractional while the limit recovers.
    outstanding
        Number of outstanding credits.
    uncredited
        Number of requests in flight without credits, as reported by entries.
    full_until
        Time before which no credit is granted.
    uncredited_shed_at
        Time at which the target last shed a request without a credit.
    latency_ms
        Moving average of the latency of attempts with credits; 0 before the first.
    """

    vm: Vm
    slots: float
    outstanding: int = 0
    uncredited: int = 0
    full_until: float = float("-inf")
    uncredited_shed_at: float = float("-inf")
    latency_ms: float = 0.0

    def free(self, now: float) -> int:
        """Return how many credits may be granted now; not above 0 if there are none."""
        return 0 if now < self.full_until else int(self.slots) - self.outstanding - self.uncredited


@dataclass(slots=True)
class EntryDemand:
    """Demand of one entry: requests that wait for credits, and uses without credits."""

    failure_domain: str
    waiting: int
    waiting_since: float
    uses: tuple[UncreditedUse, ...] = ()


@dataclass(slots=True)
class OutstandingCredit:
    """A credit that an entry holds and has not returned."""

    entry: str
    target: Address
    expires_at: float


class SlotKeeper:
    """Grants credits for the slots of one service to entries, round-robin.

    Parameters
    ----------
    slots
        Slots of one target, from the service configuration; credits never exceed them.
    settings
        Intervals, limits and weights.
    """

    def __init__(self, slots: int, settings: SlotSettings | None = None) -> None:
        self.slots = slots
        self.settings = settings or SlotSettings()
        self.limits: dict[Address, TargetLimit] = {}
        self.demands: dict[str, EntryDemand] = {}
        self.rotation: deque[str] = deque()
        self.outstanding_credits: dict[int, OutstandingCredit] = {}
        self.next_id = 0
        self.expected_latency_ms = 0.0
        self.limits_updated_at = 0.0

    def handle(self, event: SlotKeeperEvent, now: float) -> tuple[SendCredits, ...]:
        """Handle one event.

        Parameters
        ----------
        event
            What happened.
        now
            Current time in milliseconds (monotonic clock of the process).

        Returns
        -------
        tuple of SendCredits
            Responses to send. A request that wants credits always gets one, even without credits.
        """
        self.recover_limits(now)
        responding_to = ""
        sequence = 0
        match event:
            case TargetsInUse(targets):
                self.set_targets(targets)
            case CreditRequestReceived(entry, failure_domain, request):
                self.apply_request(entry, failure_domain, request, now)
                responding_to = entry if request.waiting else ""
                sequence = request.sequence
            case EntryDisconnected(entry):
                self.remove_entry(entry)
            case Ticked():
                self.reclaim_expired(now)
        granted = self.grant_credits(now)
        if responding_to:
            granted.setdefault(responding_to, [])
        return tuple(
            SendCredits(
                entry, CreditResponse(sequence if entry == responding_to else 0, tuple(credits))
            )
            for entry, credits in granted.items()
        )

    @property
    def is_waiting(self) -> bool:
        """Whether any entry waits for a slot."""
        return any(demand.waiting > 0 for demand in self.demands.values())

    def set_targets(self, targets: tuple[Vm, ...]) -> None:
        """Replace the set of targets; credits of removed targets are dropped."""
        known = self.limits
        limits = {
            vm.address: known.get(vm.address) or TargetLimit(vm, self.slots) for vm in targets
        }
        for address in known.keys() - limits.keys():
            self.outstanding_credits = {
                id: credit
                for id, credit in self.outstanding_credits.items()
                if credit.target != address
            }
        self.limits = limits
        for limit in limits.values():
            limit.uncredited = 0
        for demand in self.demands.values():
            self.count_uses(demand.uses, 1)

    def apply_request(
        self, entry: str, failure_domain: str, request: CreditRequest, now: float
    ) -> None:
        """Apply returned credits, mark full targets and replace the entry's demand."""
        for returned in request.returned:
            self.return_credit(entry, returned, now)
        for address in request.full:
            if address in self.limits:
                self.limits[address].full_until = now + self.settings.full_cooldown_ms
                self.limits[address].uncredited_shed_at = now
        previous = self.demands.get(entry)
        if previous is None:
            self.rotation.append(entry)
        else:
            self.count_uses(previous.uses, -1)
        self.count_uses(request.uses, 1)
        was_waiting = previous is not None and previous.waiting > 0
        waiting_since = previous.waiting_since if previous is not None and was_waiting else now
        self.demands[entry] = EntryDemand(
            failure_domain, request.waiting, waiting_since, request.uses
        )

    def count_uses(self, uses: tuple[UncreditedUse, ...], sign: int) -> None:
        """Add (`sign` 1) or subtract (-1) an entry's requests in flight without credits."""
        for use in uses:
            limit = self.limits.get(use.target)
            if limit is not None:
                limit.uncredited += sign * use.count

    def remove_entry(self, entry: str) -> None:
        """Remove an entry's demand; its credits expire on their own."""
        demand = self.demands.pop(entry, None)
        if demand is not None:
            self.count_uses(demand.uses, -1)
            self.rotation.remove(entry)

    def return_credit(self, entry: str, returned: ReturnedCredit, now: float) -> None:
        """Apply the return of a credit and record the outcome of its last attempt."""
        credit = self.outstanding_credits.get(returned.id)
        if credit is None or credit.entry != entry:
            return
        del self.outstanding_credits[returned.id]
        limit = self.limits.get(credit.target)
        if limit is None:
            return
        limit.outstanding -= 1
        match returned.outcome:
            case Outcome.SHED:
                limit.full_until = now + self.settings.full_cooldown_ms
                if now - limit.uncredited_shed_at > UNCREDITED_SHED_MS:
                    limit.slots = max(1.0, limit.slots - SHED_SLOT_STEP)
            case Outcome.SERVED:
                self.record_latency(limit, returned.latency_ms)
            case _:
                pass

    def record_latency(self, limit: TargetLimit, latency_ms: float) -> None:
        """Reduce the limit of a target that is much slower than the service's expected latency."""
        if not self.expected_latency_ms:
            self.expected_latency_ms = latency_ms
        self.expected_latency_ms += SERVICE_LATENCY_WEIGHT * (latency_ms - self.expected_latency_ms)
        if not limit.latency_ms:
            limit.latency_ms = self.expected_latency_ms
        limit.latency_ms += LATENCY_WEIGHT * (latency_ms - limit.latency_ms)
        if limit.latency_ms > self.settings.slow_factor * self.expected_latency_ms:
            limit.slots = max(1.0, limit.slots - 1.0)
            limit.latency_ms = self.expected_latency_ms

    def recover_limits(self, now: float) -> None:
        """Increase reduced limits towards the configured slots."""
        step = (now - self.limits_updated_at) / self.settings.slot_recovery_ms
        self.limits_updated_at = now
        for limit in self.limits.values():
            limit.slots = min(float(self.slots), limit.slots + step)

    def reclaim_expired(self, now: float) -> None:
        """Free the slots of credits that were not returned in time."""
        for id, credit in list(self.outstanding_credits.items()):
            if now >= credit.expires_at:
                del self.outstanding_credits[id]
                if credit.target in self.limits:
                    self.limits[credit.target].outstanding -= 1

    def grant_credits(self, now: float) -> dict[str, list[Credit]]:
        """Grant free slots to waiting entries, one at a time, round-robin."""
        granted: dict[str, list[Credit]] = {}
        waiting = [entry for entry in self.rotation if self.demands[entry].waiting > 0]
        free = [limit for limit in self.limits.values() if limit.free(now) > 0]
        while waiting and free:
            entry, limit = self.match_next(waiting, free, now)
            granted.setdefault(entry, []).append(self.issue_credit(entry, limit, now))
            self.rotation.remove(entry)
            self.rotation.append(entry)
            waiting.remove(entry)
            demand = self.demands[entry]
            demand.waiting -= 1
            demand.waiting_since = now
            if demand.waiting > 0:
                waiting.append(entry)
            if limit.free(now) <= 0:
                free.remove(limit)
        return granted

    def match_next(
        self, waiting: list[str], free: list[TargetLimit], now: float
    ) -> tuple[str, TargetLimit]:
        """Return the entry that gets the next slot, and the target of the slot.

        A slot that is passed on within its failure domain is idle for less time, so the first
        entry in the failure domain of a free slot gets it, unless one before it has waited for
        longer than `SlotSettings.starvation_ms`.
        """
        domains = {limit.vm.failure_domain for limit in free}
        entry = waiting[0]
        for name in waiting:
            demand = self.demands[name]
            if (
                now - demand.waiting_since > self.settings.starvation_ms
                or demand.failure_domain in domains
            ):
                entry = name
                break
        domain = self.demands[entry].failure_domain
        limit = max(free, key=lambda each: (each.vm.failure_domain == domain, each.free(now)))
        return entry, limit

    def issue_credit(self, entry: str, limit: TargetLimit, now: float) -> Credit:
        """Issue a credit for one slot."""
        self.next_id += 1
        limit.outstanding += 1
        address = limit.vm.address
        expires = now + self.settings.lease_ms + self.settings.reclaim_delay_ms
        self.outstanding_credits[self.next_id] = OutstandingCredit(entry, address, expires)
        return Credit(self.next_id, address, self.settings.lease_ms)
