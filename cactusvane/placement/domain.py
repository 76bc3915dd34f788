"""The entries of one failure domain, and the loads and evidence that they share.

Every entry tells the others what it has in flight and how attempts ended. A lost notice is made
good by the next: it holds all that is in flight.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from random import Random

import xxhash
from msgspec.structs import replace

from cactusvane.configuration.model import Configuration
from cactusvane.fleet.vm import Address, Vm
from cactusvane.metrics import TargetCounts
from cactusvane.placement.messages import Observation, StateUpdate, StoreStatus
from cactusvane.placement.placement import Placement
from cactusvane.placement.retries import RetryLimit, RetryUsage, SharedRetries
from cactusvane.placement.settings import PlacementSettings

PEER_TIMEOUT_MS = 2_500.0
"""An entry that was not heard for so long counts as gone; more than two beats."""

PEER_EXPIRY_MS = 30_000.0
"""An entry of the same group that was not heard for so long gets no more notices."""

USAGE_INTERVAL_MS = 1_000.0
"""How often an entry tells its requests; with too few of them the others are only too careful."""

STATUS_INTERVAL_MS = 500.0
"""How often an entry tells how the platform answers it, and of itself, without a change there."""

MAX_GROUP_SIZE = 64
"""Entries that share loads with each other; a larger failure domain falls into groups."""


def count_groups(entries: int) -> int:
    """Return the groups of a failure domain of so many entries.

    The number is a power of two, so that a few entries more or less leave the groups as they are.

    Examples
    --------
    >>> count_groups(48), count_groups(65), count_groups(1_425)
    (1, 2, 32)
    """
    groups = 1
    while groups * MAX_GROUP_SIZE < entries:
        groups *= 2
    return groups


def hash_name(vm: str) -> int:
    """Return a number that is the same on all VMs."""
    return xxhash.xxh64_intdigest(vm.encode())


@dataclass(slots=True)
class Peer:
    """Another entry of the failure domain.

    Parameters
    ----------
    address
        Where it takes notices.
    heard
        When it was heard last, in milliseconds of the process's clock.
    rank
        A number that is the same on all VMs.
    notice
        What it said last; None before its first notice.
    reading, read_at
        What it said last of the platform's answers, and when that was heard.
    seen
        Number of its observations that are known here.
    """

    address: Address
    last_seen_at: float
    rank: int
    last_update: StateUpdate | None = None
    store_status: StoreStatus | None = None
    store_status_at: float = 0.0
    known_observations: int = 0

    def is_live(self, now: float) -> bool:
        """Say whether it was heard lately."""
        return self.last_update is not None and now - self.last_seen_at <= PEER_TIMEOUT_MS

    @property
    def order(self) -> tuple[int, int]:
        """Its place in an order that is the same on all VMs, the strongest first."""
        return (-self.last_update.strength if self.last_update else 0, self.rank)


class Domain:
    """Placements of all services, and the other entries that share their loads.

    Parameters
    ----------
    vm
        Name of this VM.
    failure_domain
        Where it stands.
    started
        When this process started, in milliseconds since the epoch.
    random
        Source of all random choices.
    settings
        How loads and evidence become decisions.
    limit
        Retries of the whole fleet for each service.
    strength
        How well suited this VM is to work for others.

    Attributes
    ----------
    rested_ms
        Returns how long a connection to a target has rested; None where there is none.
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
        self.placements: dict[str, Placement] = {}
        self.retries: dict[str, SharedRetries] = {}
        self.placement_by_target: dict[str, Placement] = {}
        self.idle_ms: Callable[[Address], float | None] = lambda target: None
        self.targets_by_service: dict[str, tuple[Vm, ...]] = {}
        self.peers: dict[str, Peer] = {}
        self.unsent_observations: list[Observation] = []
        self.observations_sent = 0
        self.number = 0
        self.retry_unsent = False
        self.usage_sent_at = -inf
        self.sent_status: StoreStatus | None = None
        self.status_sent_at = -inf

    def configure(self, configuration: Configuration, now: float) -> None:
        """Hold a placement for each service; what is known of services that stay is kept."""
        previous = self.placements
        self.placements = {}
        for service in configuration.services:
            placement = previous.get(service.name)
            if placement is None:
                placement = Placement(self.failure_domain, self.random, self.settings)
                placement.idle_ms = self.idle_ms
            self.placements[service.name] = placement
        self.retries = {
            name: self.retries.get(name)
            or SharedRetries(self.limit, now, self.live_share, self.record_retry)
            for name in self.placements
        }
        self.set_targets(self.targets_by_service, now)

    def set_targets(self, targets_by_service: dict[str, tuple[Vm, ...]], now: float) -> None:
        """Go by a new list of targets by service."""
        self.targets_by_service = targets_by_service
        self.placement_by_target = {}
        for name, placement in self.placements.items():
            placement.set_targets(targets_by_service.get(name, ()), now)
            self.placement_by_target.update(dict.fromkeys(placement.targets, placement))
        self.recount_peer_load()

    def recount_peer_load(self) -> None:
        """Work out anew what the other entries have in flight."""
        for placement in self.placements.values():
            for target in placement.targets.values():
                target.peer_load = 0
        for peer in self.peers.values():
            if peer.last_update is not None:
                self.add_peer_load(peer.last_update, 1)

    def add_peer_load(self, update: StateUpdate, sign: int) -> None:
        """Add what an entry has in flight, or take it off."""
        for name, count in update.in_flight.items():
            placement = self.placement_by_target.get(name)
            if placement is not None:
                placement.targets[name].peer_load += sign * count

    def record_use(self, update: StateUpdate, last: StateUpdate | None, now: float) -> None:
        """Note to which targets another entry sent requests since its last notice.

        One that only goes on with what it had is not used: a request may hang there.
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
        """Note what another entry spent of the retries, by service."""
        if update.retry_usage is None:
            return
        for service, usage in update.retry_usage.items():
            retries = self.retries.get(service)
            if retries is not None:
                retries.record_peer_usage(update.sender, update.started, usage, now)

    def record_retry(self) -> None:
        """Note that the others have to hear of a retry."""
        self.retry_unsent = True

    def live_share(self, now: float) -> float:
        """Return the share of the failure domain's entries that are heard, with this one."""
        return (len(self.live_peers(now)) + 1) / (len(self.peers) + 1)

    def add_peer(self, vm: str, address: Address, now: float) -> bool:
        """Take in an entry of the failure domain and say whether it is new here."""
        if vm == self.vm:
            return False
        peer = self.peers.get(vm)
        if peer is not None and peer.address == address:
            return False
        self.peers[vm] = Peer(address, now, hash_name(vm))
        return True

    def receive(self, update: StateUpdate, address: Address | None, now: float) -> bool:
        """Take in a notice; one that was overtaken by another is passed over.

        Parameters
        ----------
        notice
            Of any entry.
        address
            Where its sender takes notices; None where that is known, or never heard of.
        now
            Milliseconds of the process's clock.

        Returns
        -------
        bool
            Whether it was news.
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
        if last is not None and last.started != update.started:
            peer.known_observations = 0
        self.record_observations(peer, update, now)
        return True

    def record_observations(self, peer: Peer, update: StateUpdate, now: float) -> None:
        """Learn from those observations of another entry that are not known yet."""
        known = max(0, peer.known_observations - update.observations_before)
        peer.known_observations = max(
            peer.known_observations, update.observations_before + len(update.observations)
        )
        for observation in update.observations[known:]:
            placement = self.placement_by_target.get(observation.target)
            if placement is not None:
                placement.record_observation(observation, now)

    def expire(self, now: float) -> None:
        """Drop the loads of entries that were not heard for long, and old spending."""
        for retries in self.retries.values():
            retries.expire(now)
        group = self.group()
        for vm, peer in tuple(self.peers.items()):
            if now - peer.last_seen_at <= PEER_TIMEOUT_MS:
                continue
            if peer.last_update is not None:
                self.add_peer_load(peer.last_update, -1)
                peer.last_update = replace(peer.last_update, in_flight={})
            if now - peer.last_seen_at > PEER_EXPIRY_MS and vm in group:
                del self.peers[vm]

    def live_peers(self, now: float) -> dict[str, Peer]:
        """Return the entries that were heard lately."""
        return {vm: peer for vm, peer in self.peers.items() if peer.is_live(now)}

    def group(self) -> dict[str, Peer]:
        """Return the other entries that share their loads with this one."""
        groups = count_groups(len(self.peers) + 1)
        if groups == 1:
            return self.peers
        own = self.rank % groups
        return {vm: peer for vm, peer in self.peers.items() if peer.rank % groups == own}

    def count_targets(self, now: float) -> dict[str, TargetCounts]:
        """Return how many targets near by may take work, and how many nobody used, by service."""
        return {name: each.count_targets(now) for name, each in self.placements.items()}

    def observe(self, observation: Observation) -> None:
        """Keep an observation for the next notice."""
        self.unsent_observations.append(observation)

    def usage_to_send(self, now: float) -> dict[str, RetryUsage] | None:
        """Return what this entry had in the latest window, for services with any request.

        None where the others know it well enough.
        """
        if not self.retry_unsent and now - self.usage_sent_at < USAGE_INTERVAL_MS:
            return None
        self.retry_unsent = False
        self.usage_sent_at = now
        totals = {name: retries.own.total(now) for name, retries in self.retries.items()}
        return {name: total for name, total in totals.items() if total.requests or total.retries}

    def status_to_send(self, store_status: StoreStatus, now: float) -> StoreStatus | None:
        """Return how the platform answers this entry, if the others are to hear of it now."""
        sent = self.sent_status
        sent_ago_ms = now - self.status_sent_at
        same = sent is not None and (sent.table_versions, sent.can_read) == (
            store_status.table_versions,
            store_status.can_read,
        )
        has_new_response = (
            store_status.response_age_ms is not None and store_status.response_age_ms < sent_ago_ms
        )
        if same and not has_new_response and sent_ago_ms < STATUS_INTERVAL_MS:
            return None
        self.sent_status = store_status
        self.status_sent_at = now
        return store_status

    def next_update(self, store_status: StoreStatus, now: float) -> StateUpdate:
        """Return what to tell the other entries now.

        Parameters
        ----------
        reading
            How the platform answers this entry.
        now
            Milliseconds of the process's clock.
        """
        self.number += 1
        observations, self.unsent_observations = tuple(self.unsent_observations), []
        observations_before = self.observations_sent
        self.observations_sent += len(observations)
        in_flight = {
            name: target.own_load
            for placement in self.placements.values()
            for name, target in placement.targets.items()
            if target.own_load
        }
        return StateUpdate(
            self.vm,
            self.number,
            self.started,
            in_flight,
            observations,
            observations_before,
            self.status_to_send(store_status, now),
            self.usage_to_send(now),
            self.strength,
        )
