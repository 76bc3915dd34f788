"""Which target a request goes to, whether it waits, and when it is turned away.

Answers bursts, lost capacity, gray and slow targets at loads of a few requests a second and
target, where one entry alone sees too little. No sockets, no wall clock.

Each target has a cost in milliseconds: the wait in its queue, the work, what a failure there
would cost, and the way to another failure domain. The cheapest target gets the request. A request
whose answer could not come in time even there is rejected at once. A less urgent kind leaves room
at the targets for the most urgent one and waits, briefly, while there is none.
"""

from collections.abc import Callable, Collection
from random import Random

from cactusvane.fleet.vm import Address, Vm
from cactusvane.metrics import TargetCounts
from cactusvane.outcome import Outcome
from cactusvane.placement import floor
from cactusvane.placement.evidence import RecentOutcomes
from cactusvane.placement.idle import RestLimit
from cactusvane.placement.latency import WorkTimes
from cactusvane.placement.messages import (
    Decision,
    Demand,
    Inputs,
    Observation,
    Place,
    Reject,
    Wait,
    Why,
)
from cactusvane.placement.settings import PlacementSettings
from cactusvane.placement.target import Target

BAD = frozenset({Outcome.FAILED, Outcome.BROKEN, Outcome.TIMED_OUT})
"""Outcomes that speak against a target that was reached."""

TIE_SHARE = 0.05
"""Random part of a target's cost, as a share of the work, so that equal targets share evenly."""

UNUSED_MS = 2_000.0
"""A target without a request for so long counts as unused in the metrics."""


class Placement:
    """The targets of one service, as one entry sees them.

    Parameters
    ----------
    failure_domain
        Where this VM stands.
    random
        Source of all random choices.
    settings
        How loads and evidence become decisions.

    Attributes
    ----------
    rested_ms
        Returns how long a connection to a target has rested; None where there is none.
    """

    def __init__(self, failure_domain: str, random: Random, settings: PlacementSettings) -> None:
        self.failure_domain = failure_domain
        self.random = random
        self.settings = settings
        self.targets: dict[str, Target] = {}
        self.part_before = floor.NEAREST
        self.work = WorkTimes(settings)
        self.objectives: dict[str, Demand] = {}
        self.outcomes = RecentOutcomes()
        self.late = RecentOutcomes()
        self.rest = RestLimit()
        self.rested_ms: Callable[[Address], float | None] = lambda target: None

    def list_targets(self, vms: Collection[Vm], now: float) -> None:
        """Go by a new list; what is known of targets that stay is kept."""
        self.part_before = floor.part_before(vms, self.failure_domain, self.settings)
        before = self.targets
        self.targets = {}
        for vm in vms:
            target = before.get(vm.name)
            if target is None:
                target = Target(vm, self.settings, now)
            else:
                target.list(vm, now)
            self.targets[vm.name] = target

    def place(self, demand: Demand, tried: frozenset[Address], now: float) -> Decision:
        """Decide about one request, and count it as failed if it is rejected.

        Parameters
        ----------
        demand, tried, now
            As for `decide`.
        """
        decision = self.decide(demand, tried, now)
        if isinstance(decision, Reject):
            self.outcomes.add(False, now)
        return decision

    def decide(self, demand: Demand, tried: frozenset[Address], now: float) -> Decision:
        """Return what would become of one request.

        Parameters
        ----------
        demand
            The request.
        tried
            Targets that it was sent to already.
        now
            Milliseconds of the process's clock.
        """
        self.objectives[demand.kind] = demand
        usable = [
            target
            for target in self.targets.values()
            if target.takes_work(now) and target.vm.address not in tried
        ]
        if not usable:
            return self.wait_or_reject(demand, "no-target", demand.latency_ms, now)
        due = [] if tried else self.due(usable, demand, now)
        if due:
            decision = self.choose(due, Why.UNUSED, demand, now)
            if isinstance(decision, Place):
                return decision
        return self.choose(usable, Why.CHEAPEST, demand, now)

    def choose(self, targets: list[Target], why: Why, demand: Demand, now: float) -> Decision:
        """Return what would become of a request if it may only go to some targets."""
        objective = min(demand.latency_ms, demand.deadline - now)
        work = self.work.expected(demand.kind, objective)
        most_rest_ms = self.rest.most_ms(demand.idempotent, now)
        known = [(target, self.inputs(target, work, now)) for target in targets]
        best, inputs = min(
            known,
            key=lambda each: self.cost(each[0], each[1], demand, work, now)
            + self.connect_cost(each[0], most_rest_ms, work),
        )
        if self.is_hopeless(demand, inputs, work, now):
            return Reject("too-late", self.retry_after(inputs.wait_ms))
        if inputs.wait_ms > self.most_wait(demand):
            return self.wait_or_reject(demand, "no-room", inputs.wait_ms, now)
        return Place(best.vm.name, best.vm.address, inputs, why)

    def is_hopeless(self, demand: Demand, inputs: Inputs, work: float, now: float) -> bool:
        """Say whether a request has too little time left for the target that suits it best.

        Without a queue it is tried while an answer may come sooner than usual. Into a queue it
        goes only while the usual answer would be of use: in overload a longer queue serves no
        more requests, and all of them later.
        """
        usual = work * inputs.slowness
        if inputs.wait_ms == 0.0:
            return now + self.settings.soonest_share * usual > demand.deadline
        objective = demand.arrived + demand.latency_ms
        late = self.late.failure_share(now) / self.settings.most_late
        share = self.settings.late_share * max(-1.0, 1.0 - late)
        latest = objective + share * (demand.deadline - objective)
        return now + inputs.wait_ms + usual > min(latest, demand.deadline)

    def due(self, usable: list[Target], demand: Demand, now: float) -> list[Target]:
        """Return the targets near by that this request may try since nobody used them for long."""
        near = [target for target in usable if target.vm.failure_domain == self.failure_domain]
        due = floor.due(near, self.part_before, demand.idempotent, self.settings, now)
        return floor.take_chance(due, self.outcomes.per_s(now), self.settings, self.random)

    def wait_or_reject(
        self, demand: Demand, reason: str, wait_ms: float, now: float
    ) -> Wait | Reject:
        """Let a request wait for a small part of its time, or reject it."""
        until = demand.arrived + self.settings.wait_share * demand.latency_ms
        if now < until:
            return Wait(until)
        return Reject(reason, self.retry_after(wait_ms))

    def retry_after(self, wait_ms: float) -> float:
        """Return when a caller may come back, spread so that they do not come together."""
        settings = self.settings
        bounded = min(settings.most_retry_after_ms, wait_ms)
        return max(settings.least_retry_after_ms, bounded * self.random.uniform(0.5, 1.0))

    def most_wait(self, demand: Demand) -> float:
        """Return the wait in a target's queue that the request may add to, in milliseconds.

        The most urgent kind may wait as long as it has time. Any other may use up only a part of
        the time that the most urgent one has to spare.
        """
        urgent = min(self.objectives.values(), key=lambda each: each.priority)
        if demand.priority <= urgent.priority:
            return demand.deadline - demand.arrived
        work = self.work.expected(urgent.kind, urgent.latency_ms)
        spare = max(0.0, urgent.latency_ms - work)
        return self.settings.reserve_share * spare

    def cost(
        self, target: Target, inputs: Inputs, demand: Demand, work: float, now: float
    ) -> float:
        """Return what sending the request to this target costs its caller, in milliseconds."""
        settings = self.settings
        factor = settings.failure_cost if not demand.idempotent else settings.retry_cost
        failure = inputs.failure_share * factor * max(0.0, demand.deadline - now)
        busy = self.busy_cost(target.load, target, work)
        away = target.vm.failure_domain != self.failure_domain
        far = settings.far_share * demand.latency_ms if away else 0.0
        tie = self.random.random() * TIE_SHARE * work
        return inputs.wait_ms + work * inputs.slowness + busy + failure + far + tie

    def busy_cost(self, load: int, target: Target, work: float) -> float:
        """Return what a number of requests in flight makes a target dearer."""
        return load / target.slots * self.settings.spread_share * work

    def connect_cost(self, target: Target, most_rest_ms: float, work: float) -> float:
        """Return what a new connection to a target costs; 0 where one rests."""
        rested_ms = self.rested_ms(target.vm.address)
        if rested_ms is not None and rested_ms <= most_rest_ms:
            return 0.0
        return self.settings.connect_share * self.busy_cost(1, target, work)

    def inputs(self, target: Target, work: float, now: float) -> Inputs:
        """Return what is known of a target."""
        slowness = target.evidence.slowness(now)
        if now < target.cold_until:
            slowness = max(slowness, self.settings.cold_factor)
        ahead = max(0, target.load + 1 - target.slots)
        wait = ahead / target.slots * self.work.mean(work) * slowness
        failure_share = target.evidence.failure_share(now)
        return Inputs(
            load=target.load,
            slots=target.slots,
            failure_share=failure_share,
            slowness=slowness,
            wait_ms=wait,
            evidence_age_ms=target.evidence.age(now),
            unused_ms=now - target.used_at,
            failed_ago_ms=target.failed_ago(now),
        )

    def count_targets(self, now: float) -> TargetCounts:
        """Return how many targets near by may take work, and how many nobody used lately."""
        near = [
            target
            for target in self.targets.values()
            if target.takes_work(now) and target.vm.failure_domain == self.failure_domain
        ]
        unused = sum(now - target.used_at > UNUSED_MS for target in near)
        return TargetCounts(len(near), unused)

    def started(self, name: str, now: float) -> None:
        """Note that a request was sent to a target."""
        if name in self.targets:
            self.targets[name].own += 1
            self.targets[name].used_at = now

    def ended(self, seen: Observation, now: float) -> None:
        """Learn from the end of one of this entry's attempts."""
        target = self.targets.get(seen.target)
        if target is None:
            return
        target.own = max(0, target.own - 1)
        match seen.outcome:
            case Outcome.UNREACHABLE:
                target.unreachable(now)
            case Outcome.DRAINING:
                target.misplaced = True
            case _:
                target.reached()
        self.learn(seen, now)

    def learn(self, seen: Observation, now: float) -> None:
        """Learn from an attempt of any entry."""
        target = self.targets.get(seen.target)
        if target is None:
            return
        if seen.outcome is not None:
            target.used_at = max(target.used_at, now - seen.latency_ms)
            self.outcomes.add(seen.outcome is Outcome.SERVED, now)
        if seen.outcome is None:
            target.fail(self.settings.overdue_weight, now)
        elif seen.outcome is Outcome.STALE:
            target.fail(self.settings.stale_weight, now)
            self.rest.note_loss(seen.latency_ms, now)
        elif seen.outcome in BAD:
            target.fail(1.0, now)
        elif seen.outcome is Outcome.SERVED:
            self.learn_time(target, seen, now)

    def learn_time(self, target: Target, seen: Observation, now: float) -> None:
        """Learn from the time of an answer; that of a cold target says nothing."""
        if now < target.cold_until:
            target.evidence.add_good(1.0, now)
            return
        demand = self.objectives.get(seen.kind)
        objective = seen.latency_ms if demand is None else demand.latency_ms
        usual = self.work.expected(seen.kind, objective)
        self.late.add(seen.latency_ms <= objective, now)
        self.work.add(seen.kind, seen.latency_ms, objective)
        slowness = seen.latency_ms / max(1.0, usual)
        target.evidence.add_good(min(self.settings.most_slowness, slowness), now)

    def overdue_ms(self, kind: str, objective_ms: float) -> float:
        """Return the time after which a request in flight speaks against its target."""
        return self.settings.overdue_factor * self.work.expected(kind, objective_ms)
