"""One entry's part in sharing the slots of a service's targets.

Performs no I/O; the current time is passed in.

While few requests are shed, requests are sent to a target at once, in the entry's own failure
domain if possible, chosen by the entry's own in-flight counts, and no message is sent to the
keeper. A request that was shed `SlotSettings.max_attempts` times, or any request while many are
shed, waits for a credit from the keeper of the service. Without a keeper the entry stays within
its share of the slots.
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
"""Weight of the latest attempt in the moving average of the latency."""

INITIAL_LATENCY_MS = 10.0
"""Assumed latency until the first attempt has ended."""

MIN_LATENCIES_LEFT = 4.0
"""A request is started only if this many mean latencies are left before its deadline."""


@dataclass(slots=True)
class PendingRequest:
    """A request that is waiting or in flight.

    Parameters
    ----------
    id
        Identifies the request on this VM.
    deadline_ms
        Time after which a response is useless.
    tried
        Targets not to choose: those excluded and those that shed the request since it was queued.
    idempotent
        Whether the request may be sent to a target that is on trial.
    excluded
        Targets that are never to be chosen.
    attempts
        Number of attempts so far.
    target
        Target of the last attempt.
    credit
        Id of the credit of the last attempt, None if it had none.
    """

    id: int
    deadline_ms: float
    tried: frozenset[Address]
    idempotent: bool = False
    excluded: frozenset[Address] = frozenset()
    attempts: int = 0
    target: Address | None = None
    credit: int | None = None


@dataclass(slots=True)
class HeldCredit:
    """A credit that this entry holds until `expires_at` (in milliseconds)."""

    credit: Credit
    expires_at: float


TargetChooser = Callable[[PendingRequest, float], Address | None]


class EntrySlots:
    """Admits requests of one service to its targets.

    Parameters
    ----------
    failure_domain
        Failure domain of this VM.
    slots
        Slots of one target, from the service configuration.
    random
        Source of all random choices.
    settings
        Intervals, limits and weights.
    chooser
        Chooses the target of a request without a credit, given the current time.
    """

    def __init__(
        self,
        failure_domain: str,
        slots: int,
        random: Random,
        settings: SlotSettings | None = None,
        chooser: TargetChooser | None = None,
    ) -> None:
        self.chooser = chooser
        self.failure_domain = failure_domain
        self.slots = slots
        self.random = random
        self.settings = settings or SlotSettings()
        self.targets: dict[Address, Vm] = {}
        self.fleet_size = 1
        self.in_flight: dict[Address, int] = {}
        self.running: dict[int, PendingRequest] = {}
        self.queue: deque[PendingRequest] = deque()
        self.held_credits: dict[int, HeldCredit] = {}
        self.returned: list[ReturnedCredit] = []
        self.full_targets: list[Address] = []
        self.keeper_reachable = False
        self.keeper_late_until = float("-inf")
        self.requested_credits = 0
        self.sequence = 0
        self.responded_sequence = 0
        self.awaited_sequence = 0
        self.requested_at = 0.0
        self.paused_until = float("-inf")
        self.uncredited = 0
        self.uncredited_by_target: dict[Address, int] = {}
        self.reported_uses: tuple[UncreditedUse, ...] = ()
        self.shed_share = 0.0
        self.latency_ms = INITIAL_LATENCY_MS

    def handle(self, event: EntryEvent, now: float) -> tuple[EntryCommand, ...]:
        """Handle one event.

        Parameters
        ----------
        event
            What happened.
        now
            Current time in milliseconds (monotonic clock of the process).

        Returns
        -------
        tuple of EntryCommand
            Commands for the caller to execute in order.
        """
        commands: list[EntryCommand] = []
        match event:
            case TargetsInUse(targets):
                self.targets = {vm.address: vm for vm in targets}
            case FleetSizeChanged(entries):
                self.fleet_size = max(1, entries)
            case Arrived(request, deadline_ms, tried, idempotent):
                pending = PendingRequest(request, deadline_ms, tried, idempotent, excluded=tried)
                commands.extend(self.add_request(pending, now))
            case Ended(request, outcome, latency_ms):
                commands.extend(self.end_attempt(request, outcome, latency_ms, now))
            case Withdrawn(request):
                self.queue = deque(each for each in self.queue if each.id != request)
            case CreditResponse():
                self.receive_credits(event, now)
            case KeeperChanged(reachable):
                self.change_keeper(reachable)
            case Ticked():
                self.check_keeper_timeout(now)
        commands.extend(self.dispatch_queue(now))
        commands.extend(self.request_credits(now))
        return tuple(commands)

    @property
    def is_waiting(self) -> bool:
        """Whether ticks are needed: requests are queued or a response of the keeper is awaited."""
        return bool(self.queue) or self.awaited_sequence > self.responded_sequence

    def has_keeper(self, now: float) -> bool:
        """Return whether a keeper is reachable and not late, so that credits can be expected."""
        return self.keeper_reachable and now >= self.keeper_late_until

    def add_request(self, pending: PendingRequest, now: float) -> list[EntryCommand]:
        """Dispatch a new request at once, queue it, or reject it."""
        if not self.queue and self.shed_share < self.settings.busy_share:
            target = self.choose_target(pending, now)
            if target is not None:
                return [self.dispatch(pending, target)]
        if not self.targets.keys() - pending.tried:
            return [Reject(pending.id)]
        if len(self.queue) >= self.settings.max_queue or self.would_miss_deadline(pending, now):
            return [Reject(pending.id)]
        self.queue.append(pending)
        return []

    def would_miss_deadline(self, pending: PendingRequest, now: float) -> bool:
        """Return whether a request that starts now is likely to miss its deadline."""
        return now + MIN_LATENCIES_LEFT * self.latency_ms > pending.deadline_ms

    def choose_target(self, pending: PendingRequest, now: float) -> Address | None:
        """Choose a target with `chooser`, or by power of two choices, local targets first."""
        if self.chooser is not None:
            return self.chooser(pending, now)
        tried = pending.tried
        local = [
            address
            for address, vm in self.targets.items()
            if vm.failure_domain == self.failure_domain and address not in tried
        ]
        found = local or [address for address in self.targets if address not in tried]
        if not found:
            return None
        pair = self.random.sample(found, min(2, len(found)))
        return min(pair, key=lambda address: self.in_flight.get(address, 0))

    def dispatch(
        self, pending: PendingRequest, target: Address, credit: int | None = None
    ) -> Dispatch:
        """Return the command that sends a request to a target, and count the attempt."""
        pending.target = target
        pending.credit = credit
        pending.attempts += 1
        self.running[pending.id] = pending
        self.in_flight[target] = self.in_flight.get(target, 0) + 1
        if credit is None:
            self.uncredited += 1
            self.uncredited_by_target[target] = self.uncredited_by_target.get(target, 0) + 1
        return Dispatch(pending.id, target)

    def end_attempt(
        self, request: int, outcome: Outcome, latency_ms: float, now: float
    ) -> list[EntryCommand]:
        """Record the end of an attempt; a shed request is retried."""
        pending = self.running.pop(request, None)
        if pending is None or pending.target is None:
            return []
        self.in_flight[pending.target] -= 1
        shed = outcome is Outcome.SHED
        if not shed:
            self.latency_ms += LATENCY_WEIGHT * (latency_ms - self.latency_ms)
        if pending.credit is None:
            self.uncredited -= 1
            self.uncredited_by_target[pending.target] -= 1
            self.record_shed(shed)
        else:
            self.release_credit(
                pending.credit, ReturnedCredit(pending.credit, outcome, latency_ms), now
            )
        return self.retry(pending, pending.target, now) if shed else []

    def retry(self, pending: PendingRequest, target: Address, now: float) -> list[EntryCommand]:
        """Retry a shed request on another target at once, or put it at the head of the queue."""
        if pending.credit is None:
            self.full_targets.append(target)
        pending.tried |= {target}
        if (
            pending.attempts < self.settings.max_attempts
            and self.shed_share < self.settings.busy_share
        ):
            other = self.choose_target(pending, now)
            if other is not None:
                return [self.dispatch(pending, other)]
        pending.tried = pending.excluded
        if not self.has_keeper(now):
            self.paused_until = now + self.settings.backoff_ms * self.random.uniform(0.5, 1.5)
        self.queue.appendleft(pending)
        return []

    def record_shed(self, shed: bool) -> None:
        """Update the share of requests that found no slot at once."""
        self.shed_share += self.settings.shed_share_weight * (shed - self.shed_share)

    def release_credit(self, credit: int, returned: ReturnedCredit, now: float) -> None:
        """Keep a credit for the next request in the queue, or return it to the keeper."""
        held = self.held_credits.get(credit)
        if held is None:
            return
        good = returned.outcome is not Outcome.SHED and held.credit.target in self.targets
        if good and self.queue and now < held.expires_at:
            return
        del self.held_credits[credit]
        self.returned.append(returned)

    def receive_credits(self, response: CreditResponse, now: float) -> None:
        """Add received credits; a response to a request also shows that the keeper is not late."""
        if response.sequence:
            self.responded_sequence = max(self.responded_sequence, response.sequence)
            self.keeper_late_until = float("-inf")
            self.record_shed(not response.credits)
        for credit in response.credits:
            self.held_credits[credit.id] = HeldCredit(credit, now + credit.lease_ms)
        self.requested_credits = max(0, self.requested_credits - len(response.credits))

    def change_keeper(self, reachable: bool) -> None:
        """Reset what was requested from the former keeper; credits in use expire on their own."""
        self.keeper_reachable = reachable
        self.requested_credits = 0
        self.responded_sequence = self.sequence
        self.reported_uses = ()
        self.keeper_late_until = float("-inf")
        self.returned.clear()

    def check_keeper_timeout(self, now: float) -> None:
        """Stop waiting for a keeper that has not responded in time."""
        waiting = self.awaited_sequence > self.responded_sequence
        if (
            waiting
            and self.has_keeper(now)
            and now - self.requested_at >= self.settings.keeper_timeout_ms
        ):
            self.keeper_late_until = now + self.settings.keeper_retry_ms
            self.requested_credits = 0

    def dispatch_queue(self, now: float) -> list[EntryCommand]:
        """Dispatch queued requests with credits, or within the share if there is no keeper."""
        commands: list[EntryCommand] = []
        while self.queue and self.would_miss_deadline(self.queue[0], now):
            commands.append(Reject(self.queue.popleft().id))
        idle = self.collect_idle_credits(now)
        while self.queue and idle:
            held = idle.pop()
            pending = self.queue.popleft()
            commands.append(self.dispatch(pending, held.credit.target, held.credit.id))
        for held in idle:
            del self.held_credits[held.credit.id]
            self.returned.append(ReturnedCredit(held.credit.id))
        if not self.has_keeper(now):
            commands.extend(self.dispatch_share(now))
        return commands

    def collect_idle_credits(self, now: float) -> list[HeldCredit]:
        """Collect the credits that no request uses; expired and unusable ones are returned."""
        if not self.held_credits:
            return []
        used = {pending.credit for pending in self.running.values()}
        idle: list[HeldCredit] = []
        for held in [each for each in self.held_credits.values() if each.credit.id not in used]:
            if now < held.expires_at and held.credit.target in self.targets:
                idle.append(held)
            else:
                del self.held_credits[held.credit.id]
                self.returned.append(ReturnedCredit(held.credit.id))
        return idle

    def share(self) -> int:
        """Return the maximum number of concurrent requests without credits and without a keeper."""
        return max(1, ceil(self.slots * len(self.targets) / self.fleet_size))

    def dispatch_share(self, now: float) -> list[EntryCommand]:
        """Dispatch queued requests up to the entry's share of all slots."""
        commands: list[EntryCommand] = []
        while self.queue and now >= self.paused_until and self.uncredited < self.share():
            target = self.choose_target(self.queue[0], now)
            if target is None:
                break
            commands.append(self.dispatch(self.queue.popleft(), target))
        return commands

    def uses_to_report(self) -> tuple[UncreditedUse, ...]:
        """Return the requests in flight without credits; none while few requests are shed."""
        if self.shed_share < self.settings.report_share:
            return ()
        return tuple(
            UncreditedUse(target, count)
            for target, count in self.uncredited_by_target.items()
            if count
        )

    def request_credits(self, now: float) -> list[EntryCommand]:
        """Return a message to the keeper if there is new demand or anything else to report."""
        if not self.keeper_reachable:
            self.full_targets.clear()
            self.returned.clear()
            return []
        wanted = min(len(self.queue), self.settings.max_credits)
        late = now < self.keeper_late_until
        if late and now - self.requested_at < self.settings.keeper_retry_ms:
            return []
        uses = self.uses_to_report()
        if wanted <= self.requested_credits and not self.returned and uses == self.reported_uses:
            self.full_targets = self.full_targets[-self.settings.max_credits :]
            return []
        self.sequence += 1
        if wanted > self.requested_credits and self.responded_sequence >= self.awaited_sequence:
            self.awaited_sequence = self.sequence
            self.requested_at = now
        if late:
            self.requested_at = now
        self.requested_credits = wanted
        self.reported_uses = uses
        full = tuple(dict.fromkeys(self.full_targets))
        request = CreditRequest(self.sequence, wanted, tuple(self.returned), full, uses)
        self.returned.clear()
        self.full_targets.clear()
        return [request]
