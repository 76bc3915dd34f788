"""Placement: which target a request is sent to, whether it waits, and when it is rejected.

It is made for bursts, lost capacity, gray targets and slow targets at loads of a few requests per
second and target, where the observations of one entry alone are too few. Performs no I/O; the
current time is passed in.

Each target has a cost in milliseconds: the wait in its queue, the latency, the cost of a failure
there, and the cost of another failure domain. The request is sent to the cheapest target. A request
whose response could not come in time even there is rejected at once. A less urgent kind leaves
capacity at the targets for the most urgent one, and waits briefly while there is none.
"""

from collections.abc import Callable, Collection
from dataclasses import replace
from random import Random

from cactusvane.fleet.vm import Address, Vm
from cactusvane.metrics import TargetCounts
from cactusvane.placement import floor
from cactusvane.placement.affinity import Affinity
from cactusvane.placement.availability import Availability
from cactusvane.placement.costs import TargetCosts
from cactusvane.placement.deferral import Deferral
from cactusvane.placement.estimates import ServiceEstimates
from cactusvane.placement.fair_share import Capacity, ServiceShares, StartedWork
from cactusvane.placement.learning import ObservationRecorder
from cactusvane.placement.messages import (
    Decision,
    Observation,
    Place,
    PlacementInputs,
    PlacementReason,
    Reject,
    RequestProfile,
    Wait,
)
from cactusvane.placement.rate_limits import RateLimits
from cactusvane.placement.room import ServiceRooms
from cactusvane.placement.settings import PlacementSettings
from cactusvane.placement.share_decisions import ShareDecisions
from cactusvane.placement.target import Target
from cactusvane.placement.target_notices import TargetNotices
from cactusvane.placement.time_limits import TimeLimits
from cactusvane.placement.urgency import Urgency
from cactusvane.placement.work import Estimate, RunningWork, WorkEstimates


class Placement:
    """The targets of one service, as one entry knows them.

    Parameters
    ----------
    failure_domain
        Failure domain of this VM.
    random
        Source of all random choices.
    settings
        How loads and evidence become decisions.
    rate_limits
        Rate limits of the targets.
    notices
        Which targets have said that they leave, or that they want a pause.
    vm
        Name of this VM.

    Attributes
    ----------
    estimates
        What is expected of the service's requests and targets.
    recorder
        Applies the results of attempts.
    costs
        Costs of the targets.
    limits
        How long a request may take or wait at a target.
    deferral
        Whether a request that is not sent now waits or is rejected.
    affinity
        Targets that this entry prefers; None unless the settings ask for it.
    idle_ms
        Returns how long a connection to a target has been idle; None if there is none.
    profiles
        Latest request of each kind.
    urgency
        Determines the most urgent requests.
    outcomes
        Recent outcomes of the service's requests, including rejections.
    latency_outcomes
        Whether recent responses came within their latency objective.
    availability
        Which targets accept requests, and from when on.
    sharing
        Fair sharing between customers.
    rooms
        Free capacity of other failure domains; None if it is not shared.
    """

    def __init__(
        self,
        failure_domain: str,
        random: Random,
        settings: PlacementSettings,
        rate_limits: RateLimits,
        notices: TargetNotices,
        vm: str = "",
    ) -> None:
        self.failure_domain = failure_domain
        self.random = random
        self.settings = settings
        self.rate_limits = rate_limits
        self.notices = notices
        self.targets: dict[str, Target] = {}
        self.cooldown_carry = floor.ROUND_HALF
        self.estimates = ServiceEstimates(settings)
        self.latencies = self.estimates.latencies
        self.recorder = ObservationRecorder(settings, self.estimates)
        self.profiles = self.recorder.profiles
        self.outcomes = self.recorder.outcomes
        self.latency_outcomes = self.recorder.latency_outcomes
        self.idle_limit = self.recorder.idle_limit
        self.affinity = Affinity(vm, failure_domain) if settings.affinity_cost_share else None
        self.urgency = Urgency()
        self.availability = Availability(failure_domain, rate_limits, notices)
        self.costs = TargetCosts(failure_domain, random, settings)
        self.limits = TimeLimits(settings, self.latencies, self.latency_outcomes, self.urgency)
        self.deferral = Deferral(random, settings)
        self.sharing = ShareDecisions(self.latencies, self.limits, self.deferral, self.capacity)
        self.idle_ms: Callable[[Address], float | None] = lambda target: None
        self.rooms: ServiceRooms | None = None

    @property
    def work(self) -> WorkEstimates | None:
        """Expected work of requests; None unless the settings ask for it."""
        return self.estimates.work

    @property
    def shares(self) -> ServiceShares | None:
        """Work of customers in flight, and their fair shares; None if there are no customers."""
        return self.sharing.shares

    @shares.setter
    def shares(self, shares: ServiceShares | None) -> None:
        self.sharing.shares = shares

    def set_mixed(self, mixed: bool) -> None:
        """Apply whether the service's routes differ much, as `ServiceEstimates.set_mixed`."""
        self.estimates.set_mixed(mixed)

    def set_targets(self, vms: Collection[Vm], now: float) -> None:
        """Apply a new list; the state of targets that stay is kept."""
        self.cooldown_carry = floor.cooldown_carry(vms, self.failure_domain, self.settings)
        before = self.targets
        self.targets = {}
        for vm in vms:
            target = before.get(vm.name)
            if target is None:
                target = Target(vm, self.settings, now)
            else:
                target.update_row(vm, now)
            self.targets[vm.name] = target
        if self.affinity is not None:
            self.affinity.set_targets(vms)

    def place(self, profile: RequestProfile, tried: frozenset[Address], now: float) -> Decision:
        """Decide about one request, and count it as failed if it is rejected.

        Parameters
        ----------
        profile, tried, now
            As for `decide`.
        """
        decision = self.decide(profile, tried, now)
        if isinstance(decision, Reject):
            self.outcomes.add(False, now)
        return decision

    def decide(self, profile: RequestProfile, tried: frozenset[Address], now: float) -> Decision:
        """Return the decision about one request, without recording an outcome.

        Parameters
        ----------
        profile
            The request.
        tried
            Targets that it was sent to already.
        now
            Current time in milliseconds (monotonic clock of the process).
        """
        self.profiles[profile.kind] = profile
        self.urgency.record(profile)
        accepting = [
            target
            for target in self.targets.values()
            if self.availability.accepts_requests(target, now) and target.vm.address not in tried
        ]
        if not accepting:
            return self.deferral.wait_or_reject(profile, "no-target", profile.latency_ms, now)
        usable = [
            target for target in accepting if self.availability.next_send_at(target, now) <= now
        ]
        if not usable:
            return self.wait_for_turn(profile, accepting, now)
        probes = [] if tried else self.targets_to_probe(usable, profile, now)
        if probes:
            decision = self.choose(probes, PlacementReason.UNUSED, profile, now)
            if isinstance(decision, Place):
                return decision
        if self.rooms is None:
            return self.choose(usable, PlacementReason.CHEAPEST, profile, now)
        choice = self.rooms.choose(usable, profile, now)
        decision = self.choose(choice.targets, choice.reason, profile, now)
        return replace(decision, room=choice.inputs) if isinstance(decision, Place) else decision

    def choose(
        self, targets: list[Target], reason: PlacementReason, profile: RequestProfile, now: float
    ) -> Decision:
        """Return the decision about a request that may only be sent to the given targets."""
        objective = min(profile.latency_ms, profile.deadline - now)
        estimate = self.estimates.estimate(profile, objective)
        expected_ms = self.estimates.expected_ms(profile, objective, estimate)
        max_idle_ms = self.idle_limit.max_idle_ms(profile.idempotent, now)
        preferred = self.preferred(now)
        costs = self.costs
        candidates = [
            (target, self.estimates.inputs(target, expected_ms, now)) for target in targets
        ]
        best, inputs = min(
            candidates,
            key=lambda each: costs.cost(each[0], each[1], profile, expected_ms, now)
            + costs.connect_cost(
                each[0], self.idle_ms(each[0].vm.address), max_idle_ms, expected_ms
            )
            + costs.affinity_cost(each[0], preferred, expected_ms),
        )
        if self.limits.is_too_late(profile, inputs, expected_ms, now):
            return Reject("too-late", self.deferral.retry_after_ms(inputs.wait_ms))
        if self.sharing.is_held_back(profile, inputs.wait_ms, expected_ms, now):
            return self.sharing.wait_or_reject(profile, inputs.wait_ms, expected_ms, now)
        if inputs.wait_ms > self.limits.max_wait_ms(profile):
            return self.deferral.wait_or_reject(profile, "no-room", inputs.wait_ms, now)
        if estimate is not None:
            inputs = replace(inputs, work=self.estimates.work_inputs(best, estimate, now))
        return Place(best.vm.name, best.vm.address, inputs, reason)

    def targets_to_probe(
        self, usable: list[Target], profile: RequestProfile, now: float
    ) -> list[Target]:
        """Return the unused targets of the own failure domain that this request may probe."""
        local = [target for target in usable if target.vm.failure_domain == self.failure_domain]
        probes = floor.targets_to_probe(
            local, self.cooldown_carry, profile.idempotent, self.settings, now
        )
        return floor.sample_probes(
            probes, self.outcomes.rate_per_s(now), self.settings, self.random
        )

    def start_work(self, profile: RequestProfile) -> StartedWork | None:
        """Count the expected work of a request that is sent; None if there are no customers."""
        return self.sharing.start_work(profile)

    def over_share(self, profiles: Collection[RequestProfile], now: float) -> set[RequestProfile]:
        """Return those requests that take their customers beyond their fair shares."""
        return self.sharing.over_share(profiles, now)

    def wait_for_turn(
        self, profile: RequestProfile, limited: list[Target], now: float
    ) -> Wait | Reject:
        """Return the decision on a request when each target has a rate limit or wants a pause."""
        next_at = min(self.availability.next_send_at(target, now) for target in limited)
        paused = self.availability.all_paused(limited, now)
        return self.deferral.wait_for_turn(profile, next_at, paused, now)

    def accepts_requests(self, target: Target, now: float) -> bool:
        """Return whether a target may get new requests at all."""
        return self.availability.accepts_requests(target, now)

    def capacity(self, now: float) -> Capacity:
        """Return the capacity of the service, as the customers share it."""
        return self.availability.capacity(self.targets.values(), now)

    def count_targets(self, now: float) -> TargetCounts:
        """Return numbers of targets in the own failure domain."""
        return self.availability.count_targets(self.targets.values(), now)

    def preferred(self, now: float) -> frozenset[str] | None:
        """Return the names of the targets that this entry prefers; None without a preference."""
        if self.affinity is None:
            return None
        return self.affinity.preferred(self.idle_limit.max_idle_ms(False, now), now)

    def estimate(self, profile: RequestProfile, objective_ms: float) -> Estimate | None:
        """Return the expected work of a request; None unless the settings ask for it."""
        return self.estimates.estimate(profile, objective_ms)

    def inputs(self, target: Target, expected_ms: float, now: float) -> PlacementInputs:
        """Return what is known of a target."""
        return self.estimates.inputs(target, expected_ms, now)

    def slowness(self, target: Target, now: float) -> float:
        """Return the latency at a target as a multiple of the expected latency."""
        return self.estimates.slowness(target, now)

    def congestion(self) -> float:
        """Return the mean latency as a multiple of the mean work; 1 without any response."""
        return self.estimates.congestion()

    def overdue_ms(
        self, kind: str, objective_ms: float, running: RunningWork | None = None
    ) -> float:
        """Return the time after which a request in flight counts as evidence of failure."""
        return self.estimates.overdue_ms(kind, objective_ms, running)

    def record_start(
        self,
        name: str,
        now: float,
        profile: RequestProfile | None = None,
        wait_ms: float = 0.0,
    ) -> RunningWork | None:
        """Record that a request was sent to a target.

        Parameters
        ----------
        name
            Name of the target.
        now
            Current time in milliseconds (monotonic clock of the process).
        profile
            The request; None if nothing is known of it.
        wait_ms
            Expected time in the target's queue, as in `PlacementInputs`.

        Returns
        -------
        RunningWork or None
            The request in flight, for `record_end`; None unless the settings ask for its work.
        """
        target = self.targets.get(name)
        if target is None:
            return None
        self.rate_limits.record_start(name, now)
        if self.affinity is not None:
            self.affinity.record_request(now)
        return self.recorder.record_start(target, profile, wait_ms, now)

    def record_end(
        self, observation: Observation, now: float, running: RunningWork | None = None
    ) -> Observation:
        """Record the end of one of this entry's attempts.

        Parameters
        ----------
        observation
            Result of the attempt.
        now
            Current time in milliseconds (monotonic clock of the process).
        running
            What `record_start` returned.

        Returns
        -------
        Observation
            The observation for the other entries.
        """
        if running is not None:
            observation = running.describe(observation)
        target = self.targets.get(observation.target)
        if target is not None:
            self.recorder.record_end(target, observation, now, running)
        return observation

    def record_observation(self, observation: Observation, now: float) -> None:
        """Apply the result of an attempt of any entry."""
        target = self.targets.get(observation.target)
        if target is not None:
            self.recorder.record(target, observation, now)
