"""How one entry shares a service's slots with the others; no sockets and no wall clock.

While few requests are shed, requests go straight to a target, own failure domain first, chosen by
the entry's own in-flight counts, and no message is sent. A request that is shed twice, or any
request while many are, waits for a credit from the service's keeper. Without a keeper the entry
keeps to its share of the slots.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from math import ceil
from random import Random

from cactusvane.fleet.vm import Address, Vm
from cactusvane.outcome import Outcome
from cactusvane.slots.messages import (
    Arrived,
    Credit,
    CreditRequest,
    CreditResponse,
    Dispatch,
    Ended,
    EntryCommand,
    EntryEvent,
    FleetSizeChanged,
    KeeperChanged,
    Reject,
    ReturnedCredit,
    TargetsInUse,
    Ticked,
    UncreditedUse,
    Withdrawn,
)
from cactusvane.slots.settings import SlotSettings

LATENCY_WEIGHT = 0.05
"""Weight of the latest attempt in the mean latency."""

FIRST_LATENCY_MS = 10.0
"""Assumed latency before any attempt has ended."""

HEADROOM = 4.0
"""Mean latencies that must be left before the deadline for a request to start."""


@dataclass(slots=True)
class Pending:
    """A request that waits or runs."""

    id: int
    deadline_ms: float
    tried: frozenset[Address]
    idempotent: bool = False
    excluded: frozenset[Address] = frozenset()
    tries: int = 0
    target: Address | None = None
    credit: int | None = None


@dataclass(slots=True)
class Held:
    """A credit in this entry's hands."""

    credit: Credit
    expires_ms: float


Chooser = Callable[[Pending, float], Address | None]


class EntrySlots:
    """Lets requests of one service through to its targets.

    Parameters
    ----------
    failure_domain
        Where this VM stands.
    slots
        Slots of one target, as the operators' file says.
    random
        Source of all random choices.
    settings
        Times and bounds.
    chooser
        Chooses the target of a request that goes without a credit, given the time.
    """

    def __init__(
        self,
        failure_domain: str,
        slots: int,
        random: Random,
        settings: SlotSettings | None = None,
        chooser: Chooser | None = None,
    ) -> None:
        self.chooser = chooser
        self.failure_domain = failure_domain
        self.slots = slots
        self.random = random
        self.settings = settings or SlotSettings()
        self.targets: dict[Address, Vm] = {}
        self.entries = 1
        self.in_flight: dict[Address, int] = {}
        self.running: dict[int, Pending] = {}
        self.queue: deque[Pending] = deque()
        self.held: dict[int, Held] = {}
        self.returned: list[ReturnedCredit] = []
        self.full: list[Address] = []
        self.reachable = False
        self.late_until = float("-inf")
        self.asked = 0
        self.sequence = 0
        self.answered = 0
        self.awaited = 0
        self.asked_ms = 0.0
        self.paused_until = float("-inf")
        self.uncredited = 0
        self.uses: dict[Address, int] = {}
        self.reported: tuple[UncreditedUse, ...] = ()
        self.shed_share = 0.0
        self.latency_ms = FIRST_LATENCY_MS

    def handle(self, event: EntryEvent, now: float) -> tuple[EntryCommand, ...]:
        """Take in one event.

        Parameters
        ----------
        event
            What happened.
        now
            Milliseconds of the process's clock.

        Returns
        -------
        tuple of EntryCommand
            What the caller has to do, in order.
        """
        commands: list[EntryCommand] = []
        match event:
            case TargetsInUse(targets):
                self.targets = {vm.address: vm for vm in targets}
            case FleetSizeChanged(entries):
                self.entries = max(1, entries)
            case Arrived(request, deadline_ms, tried, idempotent):
                pending = Pending(request, deadline_ms, tried, idempotent, excluded=tried)
                commands.extend(self.arrive(pending, now))
            case Ended(request, outcome, latency_ms):
                commands.extend(self.end(request, outcome, latency_ms, now))
            case Withdrawn(request):
                self.queue = deque(each for each in self.queue if each.id != request)
            case CreditResponse():
                self.take_answer(event, now)
            case KeeperChanged(reachable):
                self.change_keeper(reachable)
            case Ticked():
                self.check_keeper(now)
        commands.extend(self.serve_queue(now))
        commands.extend(self.ask(now))
        return tuple(commands)

    @property
    def waits(self) -> bool:
        """Whether time has to pass for somebody here."""
        return bool(self.queue) or self.awaited > self.answered

    def has_keeper(self, now: float) -> bool:
        """Say whether credits may be waited for."""
        return self.reachable and now >= self.late_until

    def arrive(self, pending: Pending, now: float) -> list[EntryCommand]:
        """Send a new request straight on, or let it wait."""
        if not self.queue and self.shed_share < self.settings.busy_share:
            target = self.choose(pending, now)
            if target is not None:
                return [self.dispatch(pending, target)]
        if not self.targets.keys() - pending.tried:
            return [Reject(pending.id)]
        if len(self.queue) >= self.settings.queue or self.is_hopeless(pending, now):
            return [Reject(pending.id)]
        self.queue.append(pending)
        return []

    def is_hopeless(self, pending: Pending, now: float) -> bool:
        """Say whether a request that starts now would end after its deadline."""
        return now + HEADROOM * self.latency_ms > pending.deadline_ms

    def choose(self, pending: Pending, now: float) -> Address | None:
        """Choose a target: as the pool says, or by power of two choices near first."""
        if self.chooser is not None:
            return self.chooser(pending, now)
        tried = pending.tried
        near = [
            address
            for address, vm in self.targets.items()
            if vm.failure_domain == self.failure_domain and address not in tried
        ]
        found = near or [address for address in self.targets if address not in tried]
        if not found:
            return None
        pair = self.random.sample(found, min(2, len(found)))
        return min(pair, key=lambda address: self.in_flight.get(address, 0))

    def dispatch(self, pending: Pending, target: Address, credit: int | None = None) -> Dispatch:
        """Send a request to a target."""
        pending.target = target
        pending.credit = credit
        pending.tries += 1
        self.running[pending.id] = pending
        self.in_flight[target] = self.in_flight.get(target, 0) + 1
        if credit is None:
            self.uncredited += 1
            self.uses[target] = self.uses.get(target, 0) + 1
        return Dispatch(pending.id, target)

    def end(
        self, request: int, outcome: Outcome, latency_ms: float, now: float
    ) -> list[EntryCommand]:
        """Take in the end of an attempt; a shed one goes on elsewhere."""
        pending = self.running.pop(request, None)
        if pending is None or pending.target is None:
            return []
        self.in_flight[pending.target] -= 1
        shed = outcome is Outcome.SHED
        if not shed:
            self.latency_ms += LATENCY_WEIGHT * (latency_ms - self.latency_ms)
        if pending.credit is None:
            self.uncredited -= 1
            self.uses[pending.target] -= 1
            self.note_busy(shed)
        else:
            self.release(pending.credit, ReturnedCredit(pending.credit, outcome, latency_ms), now)
        return self.retry(pending, pending.target, now) if shed else []

    def retry(self, pending: Pending, target: Address, now: float) -> list[EntryCommand]:
        """Try another target at once, or go back to the head of the queue."""
        if pending.credit is None:
            self.full.append(target)
        pending.tried |= {target}
        if pending.tries < self.settings.tries and self.shed_share < self.settings.busy_share:
            other = self.choose(pending, now)
            if other is not None:
                return [self.dispatch(pending, other)]
        pending.tried = pending.excluded
        if not self.has_keeper(now):
            self.paused_until = now + self.settings.backoff_ms * self.random.uniform(0.5, 1.5)
        self.queue.appendleft(pending)
        return []

    def note_busy(self, busy: bool) -> None:
        """Count whether a request found a slot at once."""
        self.shed_share += self.settings.share_weight * (busy - self.shed_share)

    def release(self, credit: int, use: ReturnedCredit, now: float) -> None:
        """Keep a credit for the next request in the queue, or give it back."""
        held = self.held.get(credit)
        if held is None:
            return
        good = use.outcome is not Outcome.SHED and held.credit.target in self.targets
        if good and self.queue and now < held.expires_ms:
            return
        del self.held[credit]
        self.returned.append(use)

    def take_answer(self, answer: CreditResponse, now: float) -> None:
        """Take in credits; an answer to an ask also proves the keeper in time."""
        if answer.sequence:
            self.answered = max(self.answered, answer.sequence)
            self.late_until = float("-inf")
            self.note_busy(not answer.credits)
        for credit in answer.credits:
            self.held[credit.id] = Held(credit, now + credit.lease_ms)
        self.asked = max(0, self.asked - len(answer.credits))

    def change_keeper(self, reachable: bool) -> None:
        """Forget what was asked of the former keeper; credits in use run out by themselves."""
        self.reachable = reachable
        self.asked = 0
        self.answered = self.sequence
        self.reported = ()
        self.late_until = float("-inf")
        self.returned.clear()

    def check_keeper(self, now: float) -> None:
        """Stop waiting for a keeper that is late."""
        waiting = self.awaited > self.answered
        if waiting and self.has_keeper(now) and now - self.asked_ms >= self.settings.late_ms:
            self.late_until = now + self.settings.retry_ms
            self.asked = 0

    def serve_queue(self, now: float) -> list[EntryCommand]:
        """Start waiting requests under credits, or within the share if there is no keeper."""
        commands: list[EntryCommand] = []
        while self.queue and self.is_hopeless(self.queue[0], now):
            commands.append(Reject(self.queue.popleft().id))
        idle = self.idle_credits(now)
        while self.queue and idle:
            held = idle.pop()
            pending = self.queue.popleft()
            commands.append(self.dispatch(pending, held.credit.target, held.credit.id))
        for held in idle:
            del self.held[held.credit.id]
            self.returned.append(ReturnedCredit(held.credit.id))
        if not self.has_keeper(now):
            commands.extend(self.serve_share(now))
        return commands

    def idle_credits(self, now: float) -> list[Held]:
        """Return the credits that no request uses; those that may not be used are given back."""
        if not self.held:
            return []
        used = {pending.credit for pending in self.running.values()}
        idle: list[Held] = []
        for held in [each for each in self.held.values() if each.credit.id not in used]:
            if now < held.expires_ms and held.credit.target in self.targets:
                idle.append(held)
            else:
                del self.held[held.credit.id]
                self.returned.append(ReturnedCredit(held.credit.id))
        return idle

    def share(self) -> int:
        """Return how many requests this entry runs at once without credits."""
        return max(1, ceil(self.slots * len(self.targets) / self.entries))

    def serve_share(self, now: float) -> list[EntryCommand]:
        """Start waiting requests up to the entry's share of all slots."""
        commands: list[EntryCommand] = []
        while self.queue and now >= self.paused_until and self.uncredited < self.share():
            target = self.choose(self.queue[0], now)
            if target is None:
                break
            commands.append(self.dispatch(self.queue.popleft(), target))
        return commands

    def uses_to_report(self) -> tuple[UncreditedUse, ...]:
        """Return what runs without credits, where the keeper has to know."""
        if self.shed_share < self.settings.report_share:
            return ()
        return tuple(UncreditedUse(target, count) for target, count in self.uses.items() if count)

    def ask(self, now: float) -> list[EntryCommand]:
        """Tell the keeper of new demand and of credits given back."""
        if not self.reachable:
            self.full.clear()
            self.returned.clear()
            return []
        wanted = min(len(self.queue), self.settings.ask)
        late = now < self.late_until
        if late and now - self.asked_ms < self.settings.retry_ms:
            return []
        uses = self.uses_to_report()
        if wanted <= self.asked and not self.returned and uses == self.reported:
            self.full = self.full[-self.settings.ask :]
            return []
        self.sequence += 1
        if wanted > self.asked and self.answered >= self.awaited:
            self.awaited = self.sequence
            self.asked_ms = now
        if late:
            self.asked_ms = now
        self.asked = wanted
        self.reported = uses
        full = tuple(dict.fromkeys(self.full))
        ask = CreditRequest(self.sequence, wanted, tuple(self.returned), full, uses)
        self.returned.clear()
        self.full.clear()
        return [ask]
