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

USUAL_WEIGHT = 0.01
"""Weight of the latest attempt in the service's usual latency."""

SHED_STEP = 0.5
"""Slots that a target loses when work under a credit is shed."""

BARGE_MS = 1_000.0
"""Work without credits explains sheds for this long after one of its own was shed."""


@dataclass(slots=True)
class Limit:
    """How much of a target's slots may be handed out.

    Parameters
    ----------
    vm
        The target.
    slots
        Credits that may be out at once; a fraction counts as a step on the way back.
    used
        Credits out now.
    barged
        Requests that run without credits, as entries report.
    full_until
        No grant before this moment.
    barged_ms
        When the target last shed work without a credit.
    latency_ms
        Mean latency of attempts under credits; 0 before the first.
    """

    vm: Vm
    slots: float
    used: int = 0
    barged: int = 0
    full_until: float = float("-inf")
    barged_ms: float = float("-inf")
    latency_ms: float = 0.0

    def free(self, now: float) -> int:
        """Return how many credits may be granted now."""
        return 0 if now < self.full_until else int(self.slots) - self.used - self.barged


@dataclass(slots=True)
class Demand:
    """What one entry waits for."""

    domain: str
    waiting: int
    since_ms: float
    uses: tuple[UncreditedUse, ...] = ()


@dataclass(slots=True)
class Lent:
    """A credit that is out."""

    entry: str
    target: Address
    expires_ms: float


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
        self.limits: dict[Address, Limit] = {}
        self.demands: dict[str, Demand] = {}
        self.turns: deque[str] = deque()
        self.lent: dict[int, Lent] = {}
        self.next_id = 0
        self.usual_ms = 0.0
        self.last_ms = 0.0

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
        self.grow(now)
        answering = ""
        sequence = 0
        match event:
            case TargetsInUse(targets):
                self.take_targets(targets)
            case CreditRequestReceived(entry, failure_domain, ask):
                self.take_ask(entry, failure_domain, ask, now)
                answering = entry if ask.waiting else ""
                sequence = ask.sequence
            case EntryDisconnected(entry):
                self.drop(entry)
            case Ticked():
                self.reclaim(now)
        granted = self.grant(now)
        if answering:
            granted.setdefault(answering, [])
        return tuple(
            SendCredits(
                entry, CreditResponse(sequence if entry == answering else 0, tuple(credits))
            )
            for entry, credits in granted.items()
        )

    @property
    def waits(self) -> bool:
        """Whether an entry waits for a slot."""
        return any(demand.waiting > 0 for demand in self.demands.values())

    def take_targets(self, targets: tuple[Vm, ...]) -> None:
        """Start to hand out new targets' slots, and stop for those gone."""
        known = self.limits
        fresh = {vm.address: known.get(vm.address) or Limit(vm, self.slots) for vm in targets}
        for address in known.keys() - fresh.keys():
            self.lent = {id: lent for id, lent in self.lent.items() if lent.target != address}
        self.limits = fresh
        for limit in fresh.values():
            limit.barged = 0
        for demand in self.demands.values():
            self.count_uses(demand.uses, 1)

    def take_ask(self, entry: str, failure_domain: str, ask: CreditRequest, now: float) -> None:
        """Take credits back, note full targets and set the entry's demand."""
        for use in ask.returned:
            self.take_back(entry, use, now)
        for address in ask.full:
            if address in self.limits:
                self.limits[address].full_until = now + self.settings.full_ms
                self.limits[address].barged_ms = now
        before = self.demands.get(entry)
        if before is None:
            self.turns.append(entry)
        else:
            self.count_uses(before.uses, -1)
        self.count_uses(ask.uses, 1)
        waits = before is not None and before.waiting > 0
        since = before.since_ms if before is not None and waits else now
        self.demands[entry] = Demand(failure_domain, ask.waiting, since, ask.uses)

    def count_uses(self, uses: tuple[UncreditedUse, ...], sign: int) -> None:
        """Add or take away what an entry runs without credits."""
        for use in uses:
            limit = self.limits.get(use.target)
            if limit is not None:
                limit.barged += sign * use.count

    def drop(self, entry: str) -> None:
        """Forget an entry's demand; its credits run out by themselves."""
        demand = self.demands.pop(entry, None)
        if demand is not None:
            self.count_uses(demand.uses, -1)
            self.turns.remove(entry)

    def take_back(self, entry: str, use: ReturnedCredit, now: float) -> None:
        """Take a credit back and learn from how its last attempt ended."""
        lent = self.lent.get(use.id)
        if lent is None or lent.entry != entry:
            return
        del self.lent[use.id]
        limit = self.limits.get(lent.target)
        if limit is None:
            return
        limit.used -= 1
        match use.outcome:
            case Outcome.SHED:
                limit.full_until = now + self.settings.full_ms
                if now - limit.barged_ms > BARGE_MS:
                    limit.slots = max(1.0, limit.slots - SHED_STEP)
            case Outcome.SERVED:
                self.learn(limit, use.latency_ms)
            case _:
                pass

    def learn(self, limit: Limit, latency_ms: float) -> None:
        """Take a slot from a target that is much slower than the service usually is."""
        if not self.usual_ms:
            self.usual_ms = latency_ms
        self.usual_ms += USUAL_WEIGHT * (latency_ms - self.usual_ms)
        if not limit.latency_ms:
            limit.latency_ms = self.usual_ms
        limit.latency_ms += LATENCY_WEIGHT * (latency_ms - limit.latency_ms)
        if limit.latency_ms > self.settings.slow_factor * self.usual_ms:
            limit.slots = max(1.0, limit.slots - 1.0)
            limit.latency_ms = self.usual_ms

    def grow(self, now: float) -> None:
        """Let limits grow back towards the configured slots."""
        step = (now - self.last_ms) / self.settings.recover_ms
        self.last_ms = now
        for limit in self.limits.values():
            limit.slots = min(float(self.slots), limit.slots + step)

    def reclaim(self, now: float) -> None:
        """Count credits that were not given back in time as free."""
        for id, lent in list(self.lent.items()):
            if now >= lent.expires_ms:
                del self.lent[id]
                if lent.target in self.limits:
                    self.limits[lent.target].used -= 1

    def grant(self, now: float) -> dict[str, list[Credit]]:
        """Grant free slots to waiting entries, one at a time in turn."""
        granted: dict[str, list[Credit]] = {}
        waiting = [entry for entry in self.turns if self.demands[entry].waiting > 0]
        free = [limit for limit in self.limits.values() if limit.free(now) > 0]
        while waiting and free:
            entry, limit = self.match(waiting, free, now)
            granted.setdefault(entry, []).append(self.lend(entry, limit, now))
            self.turns.remove(entry)
            self.turns.append(entry)
            waiting.remove(entry)
            demand = self.demands[entry]
            demand.waiting -= 1
            demand.since_ms = now
            if demand.waiting > 0:
                waiting.append(entry)
            if limit.free(now) <= 0:
                free.remove(limit)
        return granted

    def match(self, waiting: list[str], free: list[Limit], now: float) -> tuple[str, Limit]:
        """Return who gets which slot next.

        A slot that changes hands within its failure domain stands idle for less time, so the first
        entry that is near a free slot goes first, unless one before it has waited for long.
        """
        domains = {limit.vm.failure_domain for limit in free}
        entry = waiting[0]
        for name in waiting:
            demand = self.demands[name]
            if now - demand.since_ms > self.settings.patience_ms or demand.domain in domains:
                entry = name
                break
        domain = self.demands[entry].domain
        limit = max(free, key=lambda each: (each.vm.failure_domain == domain, each.free(now)))
        return entry, limit

    def lend(self, entry: str, limit: Limit, now: float) -> Credit:
        """Hand out one slot."""
        self.next_id += 1
        limit.used += 1
        address = limit.vm.address
        expires = now + self.settings.lease_ms + self.settings.reclaim_ms
        self.lent[self.next_id] = Lent(entry, address, expires)
        return Credit(self.next_id, address, self.settings.lease_ms)
