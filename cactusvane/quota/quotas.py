"""Quotas of all customers, as one entry sees them.

Each entry has a replica of the token bucket of each customer, and applies its own requests at once
and those of the other entries as they are reported. Performs no I/O; the current time is passed in,
in milliseconds (monotonic clock of the process).
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from math import inf
from random import Random

from cactusvane import events
from cactusvane.clock import MS_PER_SECOND
from cactusvane.configuration.model import Customer
from cactusvane.events import Event
from cactusvane.placement.messages import CustomerUsage, DomainReport, StateUpdate
from cactusvane.quota.average import RateAverage
from cactusvane.quota.bucket import Bucket
from cactusvane.quota.contacts import Contacts
from cactusvane.quota.counters import MAX_CUSTOMERS, UsageCounters
from cactusvane.quota.decisions import (
    Admitted,
    QuotaDecision,
    QuotaInputs,
    Rejected,
    RejectionReason,
)
from cactusvane.quota.group_sources import REPORTER_CHANGE_MS, GroupSources
from cactusvane.quota.reach import FULL_REACH, Reach
from cactusvane.quota.settings import QuotaSettings
from cactusvane.quota.usage import UsageChange, UsageSource

DRAIN_S = 1.0
"""Time over which a level is used up while the demand is over the rate."""

MIN_RETRY_AFTER_MS = 100.0
MAX_RETRY_AFTER_MS = 2_000.0
RETRY_JITTER = 0.25
"""Bounds of `Retry-After`, and the share by which it varies so that callers spread out."""

NEW_NUMBER = 50
"""Number of a first update up to which its process counts as new, and all its counts as recent."""

NEW_FLEET_MS = 10_000.0
"""All counts are recent for this long after a first start of the whole fleet."""

RELAY_MEMORY_MS = 2_000.0
"""How long an entry still sends levels after it was the relay, for a relay that returns."""

MAX_SHORT_ISOLATION_MS = 1_000.0
"""After a longer isolation an entry continues as after a start."""

LOG_INTERVAL_MS = 1_000.0
"""Minimum time between two log lines about the contact with the other entries."""

SOURCE_EXPIRY_MS = 60_000.0
"""Counts of an entry are kept for this long after its latest update."""

REPEAT_INTERVAL_MS = 1_000.0
"""Interval at which an entry repeats its recent counts, and a relay the levels.

Updates that do not come back are sent again, so that repeats only make up for rare losses; twice as
many of them took half of the bytes that quotas add.
"""

REPEATED_MS = 1_500.0
"""Counts that changed within this time are repeated; longer than the interval."""

REPORT_REPEATS = 3
"""Number of reports that contain a changed count, as some of them are lost."""

REPORTS_PER_FULL = 10
"""Number of reports of which one contains all usage of the window."""


@dataclass(slots=True)
class CustomerState:
    """What is known of one customer with a quota.

    Parameters
    ----------
    bucket
        Replica of its token bucket.
    admitted
        Rate of the requests that this entry admitted.
    asked
        Rate of the requests that this entry received.
    demand
        Rate of the requests that all entries received.
    """

    bucket: Bucket
    admitted: RateAverage = field(default_factory=RateAverage)
    asked: RateAverage = field(default_factory=RateAverage)
    demand: RateAverage = field(default_factory=RateAverage)


class FleetQuotas:
    """Decides which requests of customers are within the quotas of the whole fleet.

    Parameters
    ----------
    failure_domain
        Failure domain of this entry.
    failure_domains
        Names of all failure domains.
    settings
        How usage that is reported late or not at all becomes decisions.
    random
        Source of all random choices.
    now
        Current time in milliseconds.
    starts_full
        Whether the buckets are full at the start. Otherwise they are empty until another entry
        sends their levels, since this VM may have admitted requests before it restarted.

    Attributes
    ----------
    is_relay
        Returns whether this entry is the relay of its group.
    levels_known
        Whether the levels contain what was admitted before the start of this process.
    """

    def __init__(
        self,
        failure_domain: str,
        failure_domains: tuple[str, ...],
        settings: QuotaSettings,
        random: Random,
        now: float,
        starts_full: bool = False,
    ) -> None:
        self.settings = settings
        self.random = random
        self.started_at = now
        self.new_fleet_until = now + NEW_FLEET_MS if starts_full else -inf
        self.starts_full = starts_full
        self.levels_known = starts_full
        self.configured = False
        self.contacts = Contacts(
            failure_domain, failure_domains, settings, now, is_first_start=starts_full
        )
        self.reach: Reach = FULL_REACH
        self.states: dict[str, CustomerState] = {}
        self.removed: dict[str, CustomerState] = {}
        self.own = UsageCounters(REPEATED_MS)
        self.repeated_at = self.levels_sent_at = -inf
        self.group = UsageCounters(settings.window_ms, REPORT_REPEATS)
        self.reports = 0
        self.reported_at = -inf
        self.peers: dict[str, UsageSource] = {}
        self.groups = GroupSources(settings)
        self.is_relay: Callable[[], bool] = lambda: False
        self.relay_at = -inf
        self.isolated_at = now
        self.logged_share = 1.0
        self.logged_at = -inf

    # Customers

    def configure(self, customers: Iterable[Customer], now: float) -> None:
        """Apply the customers of a configuration; levels of customers that stay are kept.

        The level of a removed customer is kept until its bucket would be full, so that it does not
        get its burst twice if it returns.
        """
        before = {**self.removed, **self.states}
        self.states = {}
        for customer in customers:
            if customer.is_limited:
                state = before.pop(customer.name, None)
                self.states[customer.name] = self.limited_state(customer, state, now)
        self.removed = {
            name: state for name, state in before.items() if not self.is_full(state, now)
        }
        self.configured = True

    def limited_state(
        self, customer: Customer, state: CustomerState | None, now: float
    ) -> CustomerState:
        """Return the state of a customer with its current limit."""
        rate, capacity = customer.rate_per_s, max(customer.burst, self.settings.min_capacity)
        min_level = -rate * self.settings.window_ms / MS_PER_SECOND
        if state is not None:
            state.bucket.change_limit(rate, capacity, min_level, now)
            return state
        is_full = self.starts_full or self.configured
        return CustomerState(Bucket(rate, capacity, min_level, capacity if is_full else 0.0, now))

    def is_full(self, state: CustomerState, now: float) -> bool:
        """Return whether the bucket of a customer is full."""
        self.settle(state, None, now)
        return state.bucket.level >= state.bucket.capacity

    # Decisions

    def admit(self, customer: str, now: float) -> QuotaDecision:
        """Decide on a request and count it; a customer without a quota is admitted."""
        state = self.states.get(customer)
        if state is None:
            return Admitted()
        self.refresh(now)
        self.settle(state, customer, now)
        state.asked.add(1, now)
        state.demand.add(1, now)
        reason = self.rejection(state, now)
        admitted = 1 if reason is None else 0
        self.own.add(customer, admitted, 1, now)
        self.group.add(customer, admitted, 1, now)
        if reason is not None:
            inputs = self.inputs(state, now)
            return Rejected(self.retry_after_ms(inputs), reason, inputs)
        state.admitted.add(1, now)
        state.bucket.add(-1.0)
        return Admitted()

    def rejection(self, state: CustomerState, now: float) -> RejectionReason | None:
        """Return why a request is over the quota; None if it is within it."""
        bucket = state.bucket
        if bucket.level < 1.0:
            return RejectionReason.EMPTY
        demand_per_s = self.demand_per_s(state, now)
        available_per_s = bucket.refill_per_s + bucket.level / DRAIN_S
        if demand_per_s <= bucket.refill_per_s or demand_per_s <= available_per_s:
            return None
        if self.random.random() * demand_per_s < available_per_s:
            return None
        return RejectionReason.SHARED

    def demand_per_s(self, state: CustomerState, now: float) -> float:
        """Return the demand of the entries that share the bucket with this one."""
        return (state.asked if self.reach.isolated else state.demand).value(now)

    def inputs(self, state: CustomerState, now: float) -> QuotaInputs:
        """Return what a decision is made on."""
        return QuotaInputs(
            level=round(state.bucket.level, 2),
            level_age_ms=round(now - self.contacts.heard_at, 1),
            demand_per_s=round(self.demand_per_s(state, now), 2),
            refill_per_s=round(state.bucket.refill_per_s, 3),
            reach=round(self.reach.share, 3),
        )

    def retry_after_ms(self, inputs: QuotaInputs) -> float:
        """Return when there may be tokens for a caller, behind those that were rejected, too."""
        missing = max(0.0, 1.0 - inputs.level)
        waiting = max(0.0, inputs.demand_per_s - inputs.refill_per_s)
        delay_ms = MAX_RETRY_AFTER_MS
        if inputs.refill_per_s > 0.0:
            delay_ms = MS_PER_SECOND * (missing + waiting) / inputs.refill_per_s
        delay_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, delay_ms))
        jitter = self.random.uniform(1.0 - RETRY_JITTER, 1.0 + RETRY_JITTER)
        return min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, delay_ms * jitter))

    def give_back(self, customer: str, now: float) -> None:
        """Return the token of an admitted request that did not run."""
        state = self.states.get(customer)
        if state is None:
            return
        self.settle(state, customer, now)
        state.bucket.add(1.0)
        state.admitted.add(-1, now)
        self.own.add(customer, -1, 0, now)
        self.group.add(customer, -1, 0, now)

    # Contact with the other entries

    def heard(self, now: float) -> None:
        """Record that a message from an entry of the group arrived."""
        self.refresh(now)
        self.contacts.heard(now)
        self.refresh(now)

    def refresh(self, now: float) -> None:
        """Determine which part of the fleet this entry is in contact with."""
        before, self.reach = self.reach, self.contacts.reach(now)
        if before == self.reach:
            self.reach = before
            return
        if self.reach.isolated and not before.isolated:
            self.isolated_at = self.contacts.heard_at
        returned = before.isolated and not self.reach.isolated
        if returned and now - self.isolated_at > MAX_SHORT_ISOLATION_MS:
            self.rejoin(now)

    def log_reach(self, now: float) -> None:
        """Log a change of the contact with the other entries, at most one in some time."""
        share = round(self.reach.share, 3)
        if share == self.logged_share or now - self.logged_at < LOG_INTERVAL_MS:
            return
        events.write(
            Event.QUOTA_REACH_CHANGED,
            share=share,
            before=self.logged_share,
            isolated=self.reach.isolated,
            silent=[f"{domain}/{group}" for domain, group in self.reach.silent],
            heard_ago_ms=round(now - self.contacts.heard_at, 1),
            entries=self.contacts.group_size,
        )
        self.logged_share, self.logged_at = share, now

    def rejoin(self, now: float) -> None:
        """Continue as after a start: with few tokens, until another entry sends the levels.

        What the others counted meanwhile is contained in those levels.
        """
        for name, state in self.states.items():
            self.settle(state, name, now)
            state.bucket.withheld = 0.0
        self.peers.clear()
        self.groups.sources.clear()
        self.levels_known = False
        self.started_at = now
        self.new_fleet_until = -inf

    def settle(self, state: CustomerState, customer: str | None, now: float) -> None:
        """Refill a bucket, and apply a change of the contact with the other entries."""
        bucket = state.bucket
        if bucket.reach is self.reach:
            bucket.settle(now)
            return
        withheld_per_s, missed = 0.0, 0.0
        if self.reach.share < 1.0:
            withheld_per_s, missed = self.withheld(state, customer or "", now)
        bucket.change_reach(self.reach, withheld_per_s, missed, now)

    def withheld(self, state: CustomerState, customer: str, now: float) -> tuple[float, float]:
        """Return the rate to leave to entries out of contact, and what they used unreported."""
        rate_per_s = state.bucket.rate_per_s
        rest = 1.0 - self.reach.share
        if self.reach.lasting:
            return rest * rate_per_s, 0.0
        settled_at = state.bucket.settled_at
        silent, missed = 0.0, 0.0
        groups = self.groups.sources
        sources = [groups[group] for group in self.reach.silent if group in groups]
        if self.reach.isolated:
            sources += self.peers.values()
        for source in sources:
            source_per_s = source.rate_per_s(customer)
            silent += source_per_s
            if self.reach.share < state.bucket.reach.share:
                unreported_ms = min(self.settings.peer_timeout_ms, settled_at - source.seen_at)
                missed += source_per_s * max(0.0, unreported_ms) / MS_PER_SECOND
        total = silent + self.known_rate(state, customer, now)
        if total > rate_per_s:
            return silent * rate_per_s / total, missed
        return silent + rest * (rate_per_s - total), missed

    def known_rate(self, state: CustomerState, customer: str, now: float) -> float:
        """Return the rate at which the entries in contact admit requests of a customer."""
        total = state.admitted.value(now)
        if self.reach.isolated:
            return total
        silent = set(self.reach.silent)
        total += sum(peer.rate_per_s(customer) for peer in self.peers.values())
        return total + sum(
            source.rate_per_s(customer)
            for group, source in self.groups.sources.items()
            if group not in silent
        )

    def tick(self, now: float) -> None:
        """Assume the usage of entries that are silent, and drop those that were for long."""
        self.refresh(now)
        self.log_reach(now)
        if self.is_relay():
            self.relay_at = now
        if now - self.started_at >= self.settings.window_ms and not self.reach.isolated:
            self.levels_known = True
        if self.reach.isolated:
            return
        settings = self.settings
        for vm, source in tuple(self.peers.items()):
            silent_ms = now - source.seen_at
            if silent_ms > settings.peer_timeout_ms:
                until = min(now, source.seen_at + settings.max_assumed_ms)
                self.apply_all(source.assume(until), now)
            if silent_ms > SOURCE_EXPIRY_MS:
                del self.peers[vm]
        oldest = now - settings.peer_timeout_ms - settings.max_assumed_ms
        live = sum(source.seen_at >= oldest for source in self.peers.values())
        self.contacts.group_size = live + 1

    # Messages

    def receive_update(self, update: StateUpdate, now: float) -> None:
        """Apply the usage that an entry of the group reports."""
        self.refresh(now)
        source = self.peers.get(update.sender)
        is_baseline = False
        if source is None or source.started != update.started:
            is_new = source is not None or update.number <= NEW_NUMBER
            is_new = is_new or now < self.new_fleet_until
            is_baseline = not is_new
            source = UsageSource(update.sender, update.started, is_new, now, now)
            self.peers[update.sender] = source
        self.apply_all(source.apply(update.usage or {}, is_baseline, now), now)
        self.apply_all(source.take_assumed(), now)
        if update.levels is not None and not self.levels_known:
            self.adopt_levels(update.levels, update.sender, now)

    def apply_all(self, changes: Iterable[UsageChange], now: float) -> None:
        """Apply usage of entries of the group, which the other groups are told of, too."""
        for change in changes:
            self.group.add(change.customer, change.admitted, change.asked, now)
            self.apply(change, self.reach.isolated, now)

    def apply(self, change: UsageChange, withheld: bool, now: float) -> None:
        """Deduct requests that other entries admitted, from the withheld tokens if so."""
        state = self.states.get(change.customer)
        if state is None:
            return
        self.settle(state, change.customer, now)
        state.bucket.deduct(change.admitted, withheld)
        if change.asked:
            state.demand.add(change.asked, now)

    def adopt_levels(self, levels: dict[str, float], sender: str, now: float) -> None:
        """Take over the levels of another entry; a bucket that it does not name is full."""
        self.levels_known = True
        for name, state in self.states.items():
            self.settle(state, name, now)
            bucket = state.bucket
            bucket.level = min(bucket.capacity, levels.get(name, bucket.capacity))
        events.write(Event.QUOTA_LEVELS_ADOPTED, sender=sender, customers=len(levels))

    def receive_report(self, report: DomainReport, now: float) -> None:
        """Apply the usage of another group."""
        if not self.groups.accepts(report, now):
            return
        group = (report.failure_domain, report.group)
        self.contacts.reported(group, now)
        self.refresh(now)
        withheld = group in self.reach.silent
        for change in self.groups.apply(report, now < self.new_fleet_until, now):
            self.apply(change, withheld, now)

    def take_usage(self, full: bool, now: float) -> dict[str, CustomerUsage] | None:
        """Return this entry's counts for its next update; None if there are none to send."""
        repeats = full and now - self.repeated_at >= REPEAT_INTERVAL_MS
        if repeats:
            self.repeated_at = now
        return self.own.take(repeats, now) or None

    def take_levels(self, full: bool, now: float) -> dict[str, float] | None:
        """Return the levels for the next update, as the relay sends them; None if it does not.

        Only a full update has them, and only while they are known to be right.
        """
        was_relay = self.is_relay() or now - self.relay_at < RELAY_MEMORY_MS
        if not full or not was_relay or not self.levels_known or self.reach.share < 1.0:
            return None
        if now - self.levels_sent_at < REPEAT_INTERVAL_MS:
            return None
        self.levels_sent_at = now
        levels: dict[str, float] = {}
        for name, state in self.states.items():
            self.settle(state, name, now)
            if state.bucket.level < state.bucket.capacity:
                levels[name] = round(state.bucket.level, 1)
        if len(levels) <= MAX_CUSTOMERS:
            return levels
        return dict(sorted(levels.items(), key=lambda item: item[1])[:MAX_CUSTOMERS])

    def take_group_usage(self, now: float) -> dict[str, CustomerUsage]:
        """Return the counts of the whole group for the next report to other groups."""
        is_first = now - self.reported_at > REPORTER_CHANGE_MS
        self.reported_at = now
        self.reports = 0 if is_first else self.reports + 1
        full = self.reports < REPORT_REPEATS or self.reports % REPORTS_PER_FULL == 0
        return self.group.take(full, now)
