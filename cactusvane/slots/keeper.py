"""How a keeper hands out the slots of a service's targets; no sockets and no wall clock."""

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
"""Weight of the latest attempt in a target's mean latency."""

SERVICE_LATENCY_WEIGHT = 0.01
"""Weight of the latest attempt in the service's usual latency."""

SHED_SLOT_STEP = 0.5
"""Slots that a target loses when work under a credit is shed."""

UNCREDITED_SHED_MS = 1_000.0
"""Work without credits explains sheds for this long after one of its own was shed."""


@dataclass(slots=True)
class TargetLimit:
    """How much of a target's slots may be handed out.

    Parameters
    ----------
    vm
        The target.
    slots
        Credits that may be out at once; a fraction counts as a step on the way back.
    outstanding
        Credits out now.
    uncredited
        Requests that run without credits, as entries report.
    full_until
        No grant before this moment.
    uncredited_shed_at
        When the target last shed work without a credit.
    latency_ms
        Mean latency of attempts under credits; 0 before the first.
    """

    vm: Vm
    slots: float
    outstanding: int = 0
    uncredited: int = 0
    full_until: float = float("-inf")
    uncredited_shed_at: float = float("-inf")
    latency_ms: float = 0.0

    def free(self, now: float) -> int:
        """Return how many credits may be granted now."""
        return 0 if now < self.full_until else int(self.slots) - self.outstanding - self.uncredited


@dataclass(slots=True)
class EntryDemand:
    """What one entry waits for."""

    failure_domain: str
    waiting: int
    waiting_since: float
    uses: tuple[UncreditedUse, ...] = ()


@dataclass(slots=True)
class OutstandingCredit:
    """A credit that is out."""

    entry: str
    target: Address
    expires_at: float


class SlotKeeper:
    """Hands out the slots of one service, entry by entry in turn.

    Parameters
    ----------
    slots
        Slots of one target, as the operators' file says; never exceeded by credits.
    settings
        Times and bounds.
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
        """Take in one event.

        Parameters
        ----------
        event
            What happened.
        now
            Milliseconds of the process's clock.

        Returns
        -------
        tuple of Grant
            Answers to send; an ask that wants credits is always answered, if with none.
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
        """Whether an entry waits for a slot."""
        return any(demand.waiting > 0 for demand in self.demands.values())

    def set_targets(self, targets: tuple[Vm, ...]) -> None:
        """Start to hand out new targets' slots, and stop for those gone."""
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
        """Take credits back, note full targets and set the entry's demand."""
        for use in request.returned:
            self.return_credit(entry, use, now)
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
        """Add or take away what an entry runs without credits."""
        for use in uses:
            limit = self.limits.get(use.target)
            if limit is not None:
                limit.uncredited += sign * use.count

    def remove_entry(self, entry: str) -> None:
        """Forget an entry's demand; its credits run out by themselves."""
        demand = self.demands.pop(entry, None)
        if demand is not None:
            self.count_uses(demand.uses, -1)
            self.rotation.remove(entry)

    def return_credit(self, entry: str, use: ReturnedCredit, now: float) -> None:
        """Take a credit back and learn from how its last attempt ended."""
        credit = self.outstanding_credits.get(use.id)
        if credit is None or credit.entry != entry:
            return
        del self.outstanding_credits[use.id]
        limit = self.limits.get(credit.target)
        if limit is None:
            return
        limit.outstanding -= 1
        match use.outcome:
            case Outcome.SHED:
                limit.full_until = now + self.settings.full_cooldown_ms
                if now - limit.uncredited_shed_at > UNCREDITED_SHED_MS:
                    limit.slots = max(1.0, limit.slots - SHED_SLOT_STEP)
            case Outcome.SERVED:
                self.record_latency(limit, use.latency_ms)
            case _:
                pass

    def record_latency(self, limit: TargetLimit, latency_ms: float) -> None:
        """Take a slot from a target that is much slower than the service usually is."""
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
        """Let limits grow back towards the configured slots."""
        step = (now - self.limits_updated_at) / self.settings.slot_recovery_ms
        self.limits_updated_at = now
        for limit in self.limits.values():
            limit.slots = min(float(self.slots), limit.slots + step)

    def reclaim_expired(self, now: float) -> None:
        """Count credits that were not given back in time as free."""
        for id, credit in list(self.outstanding_credits.items()):
            if now >= credit.expires_at:
                del self.outstanding_credits[id]
                if credit.target in self.limits:
                    self.limits[credit.target].outstanding -= 1

    def grant_credits(self, now: float) -> dict[str, list[Credit]]:
        """Grant free slots to waiting entries, one at a time in turn."""
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
        """Return who gets which slot next.

        A slot that changes hands within its failure domain stands idle for less time, so the first
        entry that is near a free slot goes first, unless one before it has waited for long.
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
        """Hand out one slot."""
        self.next_id += 1
        limit.outstanding += 1
        address = limit.vm.address
        expires = now + self.settings.lease_ms + self.settings.reclaim_delay_ms
        self.outstanding_credits[self.next_id] = OutstandingCredit(entry, address, expires)
        return Credit(self.next_id, address, self.settings.lease_ms)
