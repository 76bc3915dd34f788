"""The entries of one failure domain, and the loads and evidence that they share.

Every entry sends the others the number of its requests in flight and the results of its attempts.
A lost update is made up for by the next one, which contains all requests in flight.
"""

from collections import Counter
from collections.abc import Callable
from math import inf
from random import Random

from msgspec.structs import replace

from cactusvane.configuration.model import Configuration
from cactusvane.fleet.vm import Address, Vm
from cactusvane.http.rate_limit import NoRateLimit
from cactusvane.http.target_notice import TargetNotice
from cactusvane.metrics import TargetCounts
from cactusvane.placement.fair_share import FairSharing
from cactusvane.placement.groups import Group, count_groups, hash_name
from cactusvane.placement.messages import Observation, StateUpdate, StoreStatus
from cactusvane.placement.mixed import mixed_services
from cactusvane.placement.outbox import Outbox
from cactusvane.placement.peer import PEER_TIMEOUT_MS, Peer
from cactusvane.placement.placement import Placement
from cactusvane.placement.rate_limits import RateLimits
from cactusvane.placement.retries import RetryLimit, SharedRetries
from cactusvane.placement.room import RoomReports, ServiceRooms
from cactusvane.placement.settings import PlacementSettings
from cactusvane.placement.target import PeerWork, Target
from cactusvane.placement.target_notices import TargetNotices
from cactusvane.quota.quotas import FleetQuotas
from cactusvane.request.crashes import CrashRecord

PEER_EXPIRY_MS = 30_000.0
"""An entry of the same group without an update for this long is sent no more updates."""


class Domain:
    """Placements of all services, and the other entries that share their loads.

    Parameters
    ----------
    vm
        Name of this VM.
    failure_domain
        Its failure domain.
    started
        Start time of this process in milliseconds since the epoch.
    random
        Source of all random choices.
    settings
        How loads and evidence become decisions.
    limit
        Retry limit of the whole fleet for each service.
    strength
        How suitable this VM is to do work for others; higher is better.

    Attributes
    ----------
    idle_ms
        Returns how long a connection to a target has been idle; None if there is none.
    quotas
        Quotas of customers; None if the configuration has none.
    rooms
        Free capacity that groups report to each other; None unless it is shared.
    """

    def __init__(
        self,
        vm: str,
        failure_domain: str,
        started: int,
        random: Random,
        settings: PlacementSettings | None = None,
        limit: RetryLimit = RetryLimit(),  # noqa: B008
        strength: int = 0,
    ) -> None:
        self.strength = strength
        self.vm = vm
        self.rank = hash_name(vm)
        self.failure_domain = failure_domain
        self.started = started
        self.random = random
        self.settings = settings or PlacementSettings()
        self.limit = limit
        self.rate_limits = RateLimits(vm, self.live_group, random)
        self.crashes = CrashRecord()
        self.notices = TargetNotices(vm)
        self.placements: dict[str, Placement] = {}
        self.retries: dict[str, SharedRetries] = {}
        self.placement_by_target: dict[str, Placement] = {}
        self.idle_ms: Callable[[Address], float | None] = lambda target: None
        self.targets_by_service: dict[str, tuple[Vm, ...]] = {}
        self.peers: dict[str, Peer] = {}
        self.outbox = Outbox()
        self.quotas: FleetQuotas | None = None
        self.fair_sharing = FairSharing(self.customer_work_age_ms)
        self.rooms = self.make_room_reports() if self.settings.share_room else None

    def make_room_reports(self) -> RoomReports:
        """Return the reports of the capacity of other groups."""
        return RoomReports(
            self.failure_domain, lambda: self.placements, lambda: count_groups(len(self.peers) + 1)
        )

    def configure(self, configuration: Configuration, now: float) -> None:
        """Create a placement for each service; the state of services that stay is kept."""
        previous = self.placements
        mixed = mixed_services(configuration)
        self.placements = {}
        for service in configuration.services:
            placement = previous.get(service.name)
            if placement is None:
                placement = Placement(
                    self.failure_domain,
                    self.random,
                    self.settings,
                    self.rate_limits,
                    self.notices,
                    self.vm,
                )
                placement.idle_ms = self.idle_ms
                if self.rooms is not None:
                    placement.rooms = ServiceRooms(service.name, self.rooms, placement)
            placement.set_mixed(service.name in mixed)
            self.placements[service.name] = placement
        self.fair_sharing.configure(configuration)
        for name, placement in self.placements.items():
            placement.shares = self.fair_sharing.services.get(name)
        self.retries = {
            name: self.retries.get(name)
            or SharedRetries(self.limit, now, self.live_share, self.outbox.record_retry)
            for name in self.placements
        }
        self.set_targets(self.targets_by_service, now)

    def set_targets(self, targets_by_service: dict[str, tuple[Vm, ...]], now: float) -> None:
        """Apply a new list of targets by service."""
        self.targets_by_service = targets_by_service
        self.placement_by_target = {}
        for name, placement in self.placements.items():
            placement.set_targets(targets_by_service.get(name, ()), now)
            self.placement_by_target.update(dict.fromkeys(placement.targets, placement))
        self.recount_peer_load()

    def recount_peer_load(self) -> None:
        """Recompute the requests in flight of the other entries."""
        for placement in self.placements.values():
            for target in placement.targets.values():
                target.peer_load = 0
                target.peer_work.clear()
        self.fair_sharing.forget_peers()
        for peer in self.peers.values():
            if peer.last_update is not None:
                self.add_peer_load(peer.last_update, 1)

    def customer_work_age_ms(self, now: float) -> float | None:
        """Return the age of the oldest update with work of customers; None if there is none."""
        return max(
            (
                now - peer.last_seen_at
                for peer in self.peers.values()
                if peer.last_update is not None and peer.last_update.customer_work
            ),
            default=None,
        )

    def add_peer_load(self, update: StateUpdate, sign: int) -> None:
        """Add an entry's requests in flight, or subtract them (`sign` -1)."""
        if update.customer_work:
            self.fair_sharing.add_peer(update.customer_work, sign)
        for name, count in update.in_flight.items():
            placement = self.placement_by_target.get(name)
            if placement is not None:
                placement.targets[name].peer_load += sign * count
                if placement.work is not None:
                    set_peer_work(placement.targets[name], update, count if sign > 0 else 0)

    def record_use(self, update: StateUpdate, last: StateUpdate | None, now: float) -> None:
        """Record to which targets another entry sent requests since its previous update.

        A target with only the requests that it had before does not count as used: a request may
        hang there.
        """
        previous = last.in_flight if last is not None and last.started == update.started else {}
        ended = Counter(
            observation.target
            for observation in update.observations
            if observation.outcome is not None
        )
        for name, count in update.in_flight.items():
            placement = self.placement_by_target.get(name)
            if placement is not None and count > previous.get(name, 0) - ended[name]:
                placement.targets[name].used_at = now

    def record_retry_usage(self, update: StateUpdate, now: float) -> None:
        """Record the retry usage of another entry, by service."""
        if update.retry_usage is None:
            return
        for service, usage in update.retry_usage.items():
            retries = self.retries.get(service)
            if retries is not None:
                retries.record_peer_usage(update.sender, update.started, usage, now)

    def live_share(self, now: float) -> float:
        """Return the share of the failure domain's entries that are live, including this one."""
        return (len(self.live_peers(now)) + 1) / (len(self.peers) + 1)

    def add_peer(self, vm: str, address: Address, now: float) -> bool:
        """Add an entry of the failure domain; return whether it or its address is new here."""
        if vm == self.vm:
            return False
        peer = self.peers.get(vm)
        if peer is not None and peer.address == address:
            return False
        self.peers[vm] = Peer(address, now, hash_name(vm))
        return True

    def receive(self, update: StateUpdate, address: Address | None, now: float) -> bool:
        """Apply an update; one that was overtaken by a later one is ignored.

        Parameters
        ----------
        update
            Update of any entry.
        address
            Address at which its sender receives updates; None if the sender is known already, or if
            its address is not.
        now
            Current time in milliseconds (monotonic clock of the process).

        Returns
        -------
        bool
            Whether the update was new.
        """
        if update.sender == self.vm:
            return False
        if address is not None:
            self.add_peer(update.sender, address, now)
        peer = self.peers.get(update.sender)
        if peer is None:
            return False
        last = peer.last_update
        if last is not None and (update.started, update.number) <= (last.started, last.number):
            return False
        if last is not None:
            self.add_peer_load(last, -1)
        peer.last_update = update
        peer.last_seen_at = now
        if update.store_status is not None:
            peer.store_status, peer.store_status_at = update.store_status, now
        self.add_peer_load(update, 1)
        self.record_use(update, last, now)
        self.record_retry_usage(update, now)
        self.rate_limits.receive(update.rate_limits or {}, update.sender, now)
        self.crashes.receive(update.crash_reports, now, pass_on=False)
        self.notices.receive(update.leaving or {}, update.sender, now)
        if self.quotas is not None:
            self.quotas.receive_update(update, now)
        if last is not None and last.started != update.started:
            peer.known_observations = 0
        self.record_observations(peer, update, now)
        return True

    def record_contact(self, now: float) -> None:
        """Record that a message from another entry of the group arrived."""
        if self.quotas is not None:
            self.quotas.heard(now)

    def record_observations(self, peer: Peer, update: StateUpdate, now: float) -> None:
        """Apply those observations of another entry that are not known yet."""
        known = max(0, peer.known_observations - update.observations_before)
        peer.known_observations = max(
            peer.known_observations, update.observations_before + len(update.observations)
        )
        for observation in update.observations[known:]:
            placement = self.placement_by_target.get(observation.target)
            if placement is not None:
                placement.record_observation(observation, now)

    def expire(self, now: float) -> None:
        """Drop the loads of entries without a recent update, and old retry usage."""
        for retries in self.retries.values():
            retries.expire(now)
        self.rate_limits.expire(now)
        self.crashes.expire(now)
        self.notices.expire(self.placement_by_target, now)
        if self.quotas is not None:
            self.quotas.tick(now)
        group = self.group()
        for vm, peer in tuple(self.peers.items()):
            if now - peer.last_seen_at <= PEER_TIMEOUT_MS:
                continue
            if peer.last_update is not None:
                self.add_peer_load(peer.last_update, -1)
                peer.last_update = replace(peer.last_update, in_flight={}, customer_work=None)
            if now - peer.last_seen_at > PEER_EXPIRY_MS and vm in group:
                del self.peers[vm]

    def live_peers(self, now: float) -> dict[str, Peer]:
        """Return the entries with a recent update."""
        return {vm: peer for vm, peer in self.peers.items() if peer.is_live(now)}

    def group(self) -> dict[str, Peer]:
        """Return the other entries that share their loads with this one."""
        groups = count_groups(len(self.peers) + 1)
        if groups == 1:
            return self.peers
        own = self.rank % groups
        return {vm: peer for vm, peer in self.peers.items() if peer.rank % groups == own}

    def group_key(self) -> tuple[str, int]:
        """Return the failure domain and the number of the group of this entry."""
        return self.failure_domain, self.rank % count_groups(len(self.peers) + 1)

    def live_group(self, now: float) -> Group:
        """Return the live entries of the group, including this one."""
        groups = count_groups(len(self.peers) + 1)
        live = {vm for vm, peer in self.group().items() if peer.is_live(now)}
        return Group(
            vm=self.vm,
            failure_domain=self.failure_domain,
            members=frozenset({self.vm, *live}),
            number=self.rank % groups,
            count=groups,
            domains=self.limit.domains,
        )

    def count_targets(self, now: float) -> dict[str, TargetCounts]:
        """Return the numbers of usable and unused targets of the own failure domain, by service."""
        return {name: each.count_targets(now) for name, each in self.placements.items()}

    def record_notice(
        self, target: str, notice: TargetNotice, sent_at: float, succeeded: bool, now: float
    ) -> bool:
        """Record what a target said of itself; return whether the other entries are to be told.

        Parameters
        ----------
        target
            Name of the target.
        notice
            What it said in a response to this entry.
        sent_at
            When the request was sent, in milliseconds (monotonic clock of the process).
        succeeded
            Whether the response has a status of success. Only then does it show that there is no
            rate limit: others may come from a part of the target that knows of none.
        now
            Current time on the same clock.
        """
        placement = self.placement_by_target.get(target)
        started_ms = inf if placement is None else placement.targets[target].vm.started_ms
        news = self.notices.record(target, started_ms, notice, now)
        if isinstance(notice.rate_limit, NoRateLimit) and not succeeded:
            return news
        return self.rate_limits.record_response(target, notice.rate_limit, sent_at, now) or news

    def observe(self, observation: Observation) -> None:
        """Add an observation to the next update."""
        self.outbox.observe(observation)

    def next_update(self, store_status: StoreStatus, now: float) -> StateUpdate:
        """Return the update to send to the other entries now.

        Parameters
        ----------
        store_status
            How the platform's tables respond to this entry.
        now
            Current time in milliseconds (monotonic clock of the process).
        """
        in_flight = {
            name: target.own_load
            for placement in self.placements.values()
            for name, target in placement.targets.items()
            if target.own_load
        }
        outbox = self.outbox
        status = outbox.status_to_send(store_status, now)
        observations, observations_before = outbox.take_observations()
        quotas = self.quotas
        return StateUpdate(
            self.vm,
            outbox.next_number(),
            self.started,
            in_flight,
            observations,
            observations_before,
            status,
            outbox.usage_to_send(self.retries, now),
            self.strength,
            self.rate_limits.reports(status is not None, now),
            self.crashes.take_news(status is not None, self.random, now),
            self.notices.reports(status is not None, now),
            usage=None if quotas is None else quotas.take_usage(status is not None, now),
            levels=None if quotas is None else quotas.take_levels(status is not None, now),
            work=self.own_work(now),
            customer_work=self.fair_sharing.to_send(),
        )

    def own_work(self, now: float) -> dict[str, int] | None:
        """Return the remaining work of this entry's requests in flight, by target, in ms."""
        if all(placement.work is None for placement in self.placements.values()):
            return None
        return {
            name: round(target.own_remaining_ms(now))
            for placement in self.placements.values()
            for name, target in placement.targets.items()
            if target.own_work
        }


def set_peer_work(target: Target, update: StateUpdate, count: int) -> None:
    """Apply the remaining work of another entry's requests at a target; 0 requests remove it."""
    if count:
        remaining_ms = None if update.work is None else update.work.get(target.vm.name)
        target.peer_work[update.sender] = PeerWork(count, remaining_ms)
    else:
        target.peer_work.pop(update.sender, None)
