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
from cactusvane.outcome import Outcome
from cactusvane.placement import features, floor
from cactusvane.placement.affinity import Affinity
from cactusvane.placement.evidence import RecentOutcomes
from cactusvane.placement.fair_share import Capacity, ServiceShares, StartedWork, measure_capacity
from cactusvane.placement.idle import IdleLimit
from cactusvane.placement.latency import LatencyEstimates
from cactusvane.placement.messages import (
    Decision,
    Observation,
    Place,
    PlacementInputs,
    PlacementReason,
    Reject,
    RequestProfile,
    Wait,
    WorkInputs,
)
from cactusvane.placement.rate_limits import RateLimits
from cactusvane.placement.room import ServiceRooms
from cactusvane.placement.settings import PlacementSettings
from cactusvane.placement.target import Target
from cactusvane.placement.target_notices import TargetNotices
from cactusvane.placement.urgency import Urgency
from cactusvane.placement.work import Estimate, RunningWork, WorkEstimates, service_share

FAILURE_OUTCOMES = frozenset({Outcome.FAILED, Outcome.BROKEN, Outcome.TIMED_OUT})
"""Outcomes that count as evidence of failure of a target that was reached."""

TIE_BREAK_SHARE = 0.05
"""Random part of a cost, as a share of the expected latency, so that equal targets share evenly."""

MAX_LATE_RETURN = 1.1
"""Callers are told to come back after a pause at different times, up to this multiple of it."""

UNUSED_MS = 2_000.0
"""A target without a request for this long counts as unused in the metrics."""


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
    work
        Expected work of requests; None unless the settings ask for it.
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
    shares
        Work of customers in flight, and their fair shares; None if the configuration has none.
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
        self.latencies = LatencyEstimates(settings)
        self.work = WorkEstimates(settings) if settings.expected_work else None
        self.affinity = Affinity(vm, failure_domain) if settings.affinity_cost_share else None
        self.profiles: dict[str, RequestProfile] = {}
        self.urgency = Urgency()
        self.outcomes = RecentOutcomes()
        self.latency_outcomes = RecentOutcomes()
        self.idle_limit = IdleLimit()
        self.shares: ServiceShares | None = None
        self.idle_ms: Callable[[Address], float | None] = lambda target: None
        self.rooms: ServiceRooms | None = None

    def set_mixed(self, mixed: bool) -> None:
        """Apply whether the service's routes differ much; what was learned is kept while they do.

        Parameters
        ----------
        mixed
            Whether requests of the service are likely to cost very different amounts of work.
        """
        settings = self.settings
        if not settings.expected_work and not (settings.expected_work_where_mixed and mixed):
            self.work = None
        elif self.work is None:
            self.work = WorkEstimates(settings)

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
            if self.accepts_requests(target, now) and target.vm.address not in tried
        ]
        if not accepting:
            return self.wait_or_reject(profile, "no-target", profile.latency_ms, now)
        usable = [target for target in accepting if self.next_send_at(target, now) <= now]
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
        estimate = self.estimate(profile, objective)
        expected_ms = self.expected_ms(profile, objective, estimate)
        max_idle_ms = self.idle_limit.max_idle_ms(profile.idempotent, now)
        preferred = self.preferred(now)
        candidates = [(target, self.inputs(target, expected_ms, now)) for target in targets]
        best, inputs = min(
            candidates,
            key=lambda each: self.cost(each[0], each[1], profile, expected_ms, now)
            + self.connect_cost(each[0], max_idle_ms, expected_ms)
            + self.affinity_cost(each[0], preferred, expected_ms),
        )
        if self.is_too_late(profile, inputs, expected_ms, now):
            return Reject("too-late", self.retry_after_ms(inputs.wait_ms))
        if self.is_held_back(profile, inputs.wait_ms, expected_ms, now):
            return self.wait_or_reject_share(profile, inputs.wait_ms, expected_ms, now)
        if inputs.wait_ms > self.max_wait_ms(profile):
            return self.wait_or_reject(profile, "no-room", inputs.wait_ms, now)
        if estimate is not None:
            inputs = replace(inputs, work=self.work_inputs(best, estimate, now))
        return Place(best.vm.name, best.vm.address, inputs, reason)

    def estimate(self, profile: RequestProfile, objective_ms: float) -> Estimate | None:
        """Return the expected work of a request; None unless the settings ask for it."""
        if self.work is None:
            return None
        packed = features.pack(profile.features, profile.customer)
        return self.work.estimate(profile.kind, packed, objective_ms)

    def expected_ms(
        self, profile: RequestProfile, objective_ms: float, estimate: Estimate | None
    ) -> float:
        """Return the expected time of a request at a target without a queue, in milliseconds."""
        if estimate is not None:
            return estimate.mean_ms * self.congestion()
        return self.latencies.expected_ms(profile.kind, objective_ms)

    def work_inputs(self, target: Target, estimate: Estimate, now: float) -> WorkInputs:
        """Return an estimate and the remaining work of the chosen target, for the log."""
        return WorkInputs(
            expected_ms=round(estimate.mean_ms, 1),
            spread=round(estimate.spread, 2),
            samples=estimate.samples,
            source=estimate.source,
            remaining_ms=round(self.remaining_ms(target, estimate.mean_ms, now), 1),
        )

    def is_too_late(
        self, profile: RequestProfile, inputs: PlacementInputs, expected_ms: float, now: float
    ) -> bool:
        """Return whether a request has too little time left even for its cheapest target.

        Without a queue, a request is tried while a response may come faster than expected. It is
        queued only while the expected response would be of use: in overload, a longer queue
        serves no more requests, and all of them later.
        """
        latency_ms = expected_ms * inputs.slowness
        if inputs.wait_ms == 0.0:
            return now + self.settings.min_latency_share * latency_ms > profile.deadline
        objective = profile.arrived + profile.latency_ms
        late_ratio = self.latency_outcomes.failure_share(now) / self.settings.max_late_share
        lateness_share = self.settings.lateness_share * max(-1.0, 1.0 - late_ratio)
        latest = objective + lateness_share * (profile.deadline - objective)
        return now + inputs.wait_ms + latency_ms > min(latest, profile.deadline)

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

    def wait_or_reject(
        self, profile: RequestProfile, reason: str, wait_ms: float, now: float
    ) -> Wait | Reject:
        """Return the decision to wait for a small part of the request's time, or to reject it."""
        until = profile.arrived + self.settings.wait_share * profile.latency_ms
        if now < until:
            return Wait(until)
        return Reject(reason, self.retry_after_ms(wait_ms))

    def start_work(self, profile: RequestProfile) -> StartedWork | None:
        """Count the expected work of a request that is sent; None if there are no customers."""
        if self.shares is None:
            return None
        expected_ms = self.latencies.expected_ms(profile.kind, profile.latency_ms)
        return self.shares.start(profile.customer, expected_ms)

    def over_share(self, profiles: Collection[RequestProfile], now: float) -> set[RequestProfile]:
        """Return those requests that take their customers beyond their fair shares."""
        if self.shares is None or not profiles:
            return set()
        capacity = self.capacity(now)
        return {
            profile
            for profile in profiles
            if self.shares.is_beyond(
                profile, self.latencies.expected_ms(profile.kind, profile.latency_ms), capacity
            )
        }

    def is_held_back(
        self, profile: RequestProfile, wait_ms: float, expected_ms: float, now: float
    ) -> bool:
        """Return whether a request leaves a queue of this length to the other customers."""
        if self.shares is None or wait_ms <= self.max_share_wait_ms(profile, expected_ms):
            return False
        return self.shares.is_beyond(profile, expected_ms, self.capacity(now))

    def max_share_wait_ms(self, profile: RequestProfile, expected_ms: float) -> float:
        """Return the maximum wait in a queue that a customer beyond its share may add to.

        It is 0 while a customer of a higher priority sends requests. For the most urgent requests
        it goes beyond what less urgent ones may use, as the route's priority goes before the share.
        """
        if self.urgency.most_urgent(profile).customer_priority < profile.customer_priority:
            return 0.0
        share = self.settings.over_share_wait
        if self.urgency.has_less_urgent(profile):
            share += self.settings.reserve_share
        return share * max(0.0, profile.latency_ms - expected_ms)

    def wait_or_reject_share(
        self, profile: RequestProfile, wait_ms: float, expected_ms: float, now: float
    ) -> Wait | Reject:
        """Return the decision about a request that is held back for its customer's share."""
        decision = self.wait_or_reject(profile, "over-share", wait_ms, now)
        if isinstance(decision, Reject) and self.shares is not None:
            inputs = self.shares.inputs(profile, expected_ms, self.capacity(now), now)
            return replace(decision, share=inputs)
        return decision

    def capacity(self, now: float) -> Capacity:
        """Return the capacity of the service, as the customers share it."""
        return measure_capacity(
            self.targets.values(),
            self.failure_domain,
            lambda target: self.accepts_requests(target, now),
        )

    def wait_for_turn(
        self, profile: RequestProfile, limited: list[Target], now: float
    ) -> Wait | Reject:
        """Return the decision on a request when each target has a rate limit or wants a pause.

        It waits only if this entry may send a request before its waiting time is over.
        """
        next_at = min(self.next_send_at(target, now) for target in limited)
        if next_at <= profile.arrived + self.settings.wait_share * profile.latency_ms:
            return Wait(next_at)
        if all(self.notices.next_send_at(target.vm) > now for target in limited):
            return Reject("paused", (next_at - now) * self.random.uniform(1.0, MAX_LATE_RETURN))
        return Reject("limited", self.retry_after_ms(next_at - now))

    def accepts_requests(self, target: Target, now: float) -> bool:
        """Return whether a target may get new requests at all."""
        return target.accepts_requests(now) and not self.notices.is_leaving(target.vm)

    def next_send_at(self, target: Target, now: float) -> float:
        """Return when this entry may send the next request to a target, by what that has said."""
        limited_until = self.rate_limits.next_send_at(target.vm, now)
        return max(limited_until, self.notices.next_send_at(target.vm))

    def retry_after_ms(self, wait_ms: float) -> float:
        """Return the time after which a caller may retry, with jitter to spread the retries."""
        settings = self.settings
        bounded = min(settings.max_retry_after_ms, wait_ms)
        return max(settings.min_retry_after_ms, bounded * self.random.uniform(0.5, 1.0))

    def max_wait_ms(self, profile: RequestProfile) -> float:
        """Return the maximum wait in a target's queue that the request may add to, in milliseconds.

        The most urgent requests, by customer and then by kind, may wait for as long as they have
        time. Any other may use only a part of the slack of the most urgent ones.
        """
        urgent = self.urgency.most_urgent(profile)
        if profile.rank <= urgent.rank:
            return profile.deadline - profile.arrived
        expected_ms = self.latencies.expected_ms(urgent.kind, urgent.latency_ms)
        slack_ms = max(0.0, urgent.latency_ms - expected_ms)
        return self.settings.reserve_share * slack_ms

    def cost(
        self,
        target: Target,
        inputs: PlacementInputs,
        profile: RequestProfile,
        expected_ms: float,
        now: float,
    ) -> float:
        """Return the cost for the caller of sending the request to this target, in milliseconds."""
        settings = self.settings
        factor = (
            settings.failure_cost if not profile.idempotent else settings.idempotent_failure_cost
        )
        failure = inputs.failure_share * factor * max(0.0, profile.deadline - now)
        busy = self.busy_cost(target.load, target, expected_ms)
        is_remote = target.vm.failure_domain != self.failure_domain
        remote = settings.remote_cost_share * profile.latency_ms if is_remote else 0.0
        tie_break = self.random.random() * TIE_BREAK_SHARE * expected_ms
        return inputs.wait_ms + expected_ms * inputs.slowness + busy + failure + remote + tie_break

    def busy_cost(self, load: int, target: Target, expected_ms: float) -> float:
        """Return the cost that a number of requests in flight adds to a target, in milliseconds."""
        return load / target.slots * self.settings.busy_cost_share * expected_ms

    def connect_cost(self, target: Target, max_idle_ms: float, expected_ms: float) -> float:
        """Return the cost of a new connection to a target in milliseconds; 0 if one is idle."""
        idle_ms = self.idle_ms(target.vm.address)
        if idle_ms is not None and idle_ms <= max_idle_ms:
            return 0.0
        return self.settings.connect_cost_share * self.busy_cost(1, target, expected_ms)

    def preferred(self, now: float) -> frozenset[str] | None:
        """Return the names of the targets that this entry prefers; None without a preference."""
        if self.affinity is None:
            return None
        return self.affinity.preferred(self.idle_limit.max_idle_ms(False, now), now)

    def affinity_cost(
        self, target: Target, preferred: frozenset[str] | None, expected_ms: float
    ) -> float:
        """Return the cost of a target by whether this entry prefers it, in milliseconds."""
        if preferred is None or target.vm.name in preferred:
            return 0.0
        return self.settings.affinity_cost_share * self.busy_cost(1, target, expected_ms)

    def remaining_ms(self, target: Target, default_ms: float, now: float) -> float:
        """Return the expected remaining work of a target's requests in flight, in milliseconds."""
        if self.work is None:
            return target.load * self.latencies.mean_ms(default_ms)
        return target.remaining_ms(self.work.mean_ms(default_ms), now)

    def slowness(self, target: Target, now: float) -> float:
        """Return the latency at a target as a multiple of the expected latency."""
        slowness = target.evidence.slowness(now)
        if now >= target.cold_until:
            return slowness
        cold = self.settings.cold_factor
        if self.work is not None:
            cold = 1.0 + (cold - 1.0) * (target.cold_until - now) / target.vm.warm_up_ms
        return max(slowness, cold)

    def wait_ms(self, target: Target, expected_ms: float, now: float) -> float:
        """Return the expected time in a target's queue at usual speed, in milliseconds."""
        queued = target.load + 1 - target.slots
        if queued <= 0:
            return 0.0
        if self.work is None:
            return queued / target.slots * self.latencies.mean_ms(expected_ms)
        remaining_ms = self.remaining_ms(target, expected_ms, now)
        return queued / target.slots * remaining_ms / target.load * self.congestion()

    def congestion(self) -> float:
        """Return the mean latency as a multiple of the mean work; 1 without any response.

        The present congestion is a forecast of that which a request meets. Without this factor,
        0.756 of the worth was served at a load of 1.2, and 0.811 with it.
        """
        if self.work is None or self.work.overall is None:
            return 1.0
        work_ms = max(1.0, self.work.overall.mean)
        return max(1.0, self.latencies.mean_ms(work_ms) / work_ms)

    def inputs(self, target: Target, expected_ms: float, now: float) -> PlacementInputs:
        """Return what is known of a target."""
        slowness = self.slowness(target, now)
        wait_ms = self.wait_ms(target, expected_ms, now) * slowness
        failure_share = target.evidence.failure_share(now)
        return PlacementInputs(
            load=target.load,
            slots=target.slots,
            failure_share=failure_share,
            slowness=slowness,
            wait_ms=wait_ms,
            evidence_age_ms=target.evidence.age(now),
            unused_ms=now - target.used_at,
            failed_ago_ms=target.ms_since_failure(now),
        )

    def count_targets(self, now: float) -> TargetCounts:
        """Return numbers of targets in the own failure domain."""
        local = [
            target
            for target in self.targets.values()
            if self.accepts_requests(target, now)
            and target.vm.failure_domain == self.failure_domain
        ]
        leaving = sum(
            self.notices.is_leaving(target.vm) and target.vm.failure_domain == self.failure_domain
            for target in self.targets.values()
        )
        paused = sum(self.notices.next_send_at(target.vm) > now for target in local)
        unused = sum(now - target.used_at > UNUSED_MS for target in local)
        limited = sum(self.rate_limits.is_limited(target.vm.name) for target in local)
        return TargetCounts(len(local), unused, limited, leaving, paused)

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
        target.own_load += 1
        target.used_at = now
        self.rate_limits.record_start(name, now)
        if self.affinity is not None:
            self.affinity.record_request(now)
        if self.work is None or profile is None:
            return None
        packed = features.pack(profile.features, profile.customer)
        estimate = self.work.estimate(profile.kind, packed, profile.latency_ms)
        wait_ms /= self.congestion()
        running = RunningWork(estimate.mean_ms, wait_ms, now + wait_ms, packed, estimate.spread)
        target.own_work.add(running)
        return running

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
        if target is None:
            return observation
        target.own_load = max(0, target.own_load - 1)
        if running is not None:
            target.own_work.discard(running)
        match observation.outcome:
            case Outcome.UNREACHABLE:
                target.record_unreachable(now)
            case Outcome.DRAINING:
                target.misplaced = True
            case _:
                target.record_connected()
        self.record_observation(observation, now)
        return observation

    def record_observation(self, observation: Observation, now: float) -> None:
        """Apply the result of an attempt of any entry."""
        target = self.targets.get(observation.target)
        if target is None:
            return
        if observation.outcome is not None:
            target.used_at = max(target.used_at, now - observation.latency_ms)
            self.outcomes.add(observation.outcome is Outcome.SERVED, now)
        if observation.outcome is None:
            target.record_failure(self.settings.overdue_weight, now)
        elif observation.outcome is Outcome.STALE:
            target.record_failure(self.settings.stale_weight, now)
            self.idle_limit.record_loss(observation.latency_ms, now)
        elif observation.outcome in FAILURE_OUTCOMES:
            target.record_failure(1.0, now)
            self.record_work_bound(target, observation, now)
        elif observation.outcome is Outcome.SERVED:
            self.record_latency(target, observation, now)

    def record_latency(self, target: Target, observation: Observation, now: float) -> None:
        """Apply the latency of a response; that of a cold target is no evidence."""
        if now < target.cold_until:
            target.evidence.record_success(1.0, now)
            return
        profile = self.profiles.get(observation.kind)
        objective = observation.latency_ms if profile is None else profile.latency_ms
        expected_ms = self.latencies.expected_ms(observation.kind, objective)
        self.latency_outcomes.add(observation.latency_ms <= objective, now)
        self.latencies.record(observation.kind, observation.latency_ms, objective)
        slowness = observation.latency_ms / max(1.0, expected_ms)
        if self.work is not None:
            slowness = self.record_work(self.work, target, observation, objective, now)
        target.evidence.record_success(min(self.settings.max_slowness, slowness), now)

    def record_work(
        self,
        work: WorkEstimates,
        target: Target,
        observation: Observation,
        objective_ms: float,
        now: float,
    ) -> float:
        """Learn from a response how much work its request was.

        Returns
        -------
        float
            Its latency without the expected wait, as a multiple of the expected work.
        """
        service_ms = self.service_ms(target, observation, now)
        kind, packed = observation.kind, observation.packed
        expected_ms = work.estimate(kind, packed, objective_ms).mean_ms
        slowness = target.evidence.slowness(now)
        work.record(kind, packed, work.at_usual_speed(service_ms, slowness), objective_ms)
        work.usual_slowness.record(slowness)
        return service_ms / max(1.0, expected_ms)

    def record_work_bound(self, target: Target, observation: Observation, now: float) -> None:
        """Learn from an attempt that timed out that its request was more work than that."""
        if self.work is None or observation.outcome is not Outcome.TIMED_OUT:
            return
        profile = self.profiles.get(observation.kind)
        objective_ms = observation.latency_ms if profile is None else profile.latency_ms
        service_ms = self.service_ms(target, observation, now)
        bound_ms = self.work.at_usual_speed(service_ms, target.evidence.slowness(now))
        self.work.record_bound(observation.kind, observation.packed, bound_ms, objective_ms)

    def service_ms(self, target: Target, observation: Observation, now: float) -> float:
        """Return the part of a latency that was not spent in the target's queue, in milliseconds.

        If the entry that sent the request does not tell, the present queue is assumed.
        """
        if observation.service_ms:
            return observation.service_ms
        latency_ms = observation.latency_ms
        wait_ms = self.wait_ms(target, latency_ms, now) * target.evidence.slowness(now)
        wait_ms /= self.congestion()
        return service_share(latency_ms, wait_ms)

    def overdue_ms(
        self, kind: str, objective_ms: float, running: RunningWork | None = None
    ) -> float:
        """Return the time after which a request in flight counts as evidence of failure.

        Parameters
        ----------
        kind
            Kind of request.
        objective_ms
            Its latency objective in milliseconds.
        running
            The request, if its expected work is known.
        """
        expected_ms = self.latencies.expected_ms(kind, objective_ms)
        if running is not None:
            expected_ms = max(expected_ms, running.expected_ms)
        return self.settings.overdue_factor * expected_ms
