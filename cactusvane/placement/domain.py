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
from cactusvane.placement.messages import Notice, Observation, Reading
from cactusvane.placement.placement import Placement
from cactusvane.placement.retries import RetryLimit, SharedRetries, Spending
from cactusvane.placement.settings import PlacementSettings

PEER_MS = 2_500.0
"""An entry that was not heard for so long counts as gone; more than two beats."""

FORGET_MS = 30_000.0
"""An entry of the same group that was not heard for so long gets no more notices."""

SPENT_MS = 1_000.0
"""How often an entry tells its requests; with too few of them the others are only too careful."""

READING_MS = 500.0
"""How often an entry tells how the platform answers it, and of itself, without a change there."""

MOST_GROUP = 64
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
    while groups * MOST_GROUP < entries:
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
    heard: float
    rank: int
    notice: Notice | None = None
    reading: Reading | None = None
    read_at: float = 0.0
    seen: int = 0

    def is_heard(self, now: float) -> bool:
        """Say whether it was heard lately."""
        return self.notice is not None and now - self.heard <= PEER_MS

    @property
    def order(self) -> tuple[int, int]:
        """Its place in an order that is the same on all VMs, the strongest first."""
        return (-self.notice.strength if self.notice else 0, self.rank)


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
        self.by_target: dict[str, Placement] = {}
        self.rested_ms: Callable[[Address], float | None] = lambda target: None
        self.listed: dict[str, tuple[Vm, ...]] = {}
        self.peers: dict[str, Peer] = {}
        self.unsent: list[Observation] = []
        self.seen_told = 0
        self.number = 0
        self.retried = False
        self.spent_told_at = -inf
        self.told_reading: Reading | None = None
        self.reading_told_at = -inf

    def configure(self, configuration: Configuration, now: float) -> None:
        """Hold a placement for each service; what is known of services that stay is kept."""
        before = self.placements
        self.placements = {}
        for service in configuration.services:
            placement = before.get(service.name)
            if placement is None:
                placement = Placement(self.failure_domain, self.random, self.settings)
                placement.rested_ms = self.rested_ms
            self.placements[service.name] = placement
        self.retries = {
            name: self.retries.get(name)
            or SharedRetries(self.limit, now, self.heard_share, self.note_retry)
            for name in self.placements
        }
        self.list_targets(self.listed, now)

    def list_targets(self, listed: dict[str, tuple[Vm, ...]], now: float) -> None:
        """Go by a new list of targets by service."""
        self.listed = listed
        self.by_target = {}
        for name, placement in self.placements.items():
            placement.list_targets(listed.get(name, ()), now)
            self.by_target.update(dict.fromkeys(placement.targets, placement))
        self.count_others()

    def count_others(self) -> None:
        """Work out anew what the other entries have in flight."""
        for placement in self.placements.values():
            for target in placement.targets.values():
                target.others = 0
        for peer in self.peers.values():
            if peer.notice is not None:
                self.add_load(peer.notice, 1)

    def add_load(self, notice: Notice, sign: int) -> None:
        """Add what an entry has in flight, or take it off."""
        for name, count in notice.in_flight.items():
            placement = self.by_target.get(name)
            if placement is not None:
                placement.targets[name].others += sign * count

    def note_use(self, notice: Notice, last: Notice | None, now: float) -> None:
        """Note to which targets another entry sent requests since its last notice.

        One that only goes on with what it had is not used: a request may hang there.
        """
        before = last.in_flight if last is not None and last.started == notice.started else {}
        ended = Counter(seen.target for seen in notice.seen if seen.outcome is not None)
        for name, count in notice.in_flight.items():
            placement = self.by_target.get(name)
            if placement is not None and count > before.get(name, 0) - ended[name]:
                placement.targets[name].used_at = now

    def note_spending(self, notice: Notice, now: float) -> None:
        """Note what another entry spent of the retries, by service."""
        if notice.spent is None:
            return
        for service, spending in notice.spent.items():
            retries = self.retries.get(service)
            if retries is not None:
                retries.hear(notice.sender, notice.started, spending, now)

    def note_retry(self) -> None:
        """Note that the others have to hear of a retry."""
        self.retried = True

    def heard_share(self, now: float) -> float:
        """Return the share of the failure domain's entries that are heard, with this one."""
        return (len(self.live_peers(now)) + 1) / (len(self.peers) + 1)

    def meet(self, vm: str, address: Address, now: float) -> bool:
        """Take in an entry of the failure domain and say whether it is new here."""
        if vm == self.vm:
            return False
        peer = self.peers.get(vm)
        if peer is not None and peer.address == address:
            return False
        self.peers[vm] = Peer(address, now, hash_name(vm))
        return True

    def hear(self, notice: Notice, address: Address | None, now: float) -> bool:
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
        if notice.sender == self.vm:
            return False
        if address is not None:
            self.meet(notice.sender, address, now)
        peer = self.peers.get(notice.sender)
        if peer is None:
            return False
        last = peer.notice
        if last is not None and (notice.started, notice.number) <= (last.started, last.number):
            return False
        if last is not None:
            self.add_load(last, -1)
        peer.notice = notice
        peer.heard = now
        if notice.reading is not None:
            peer.reading, peer.read_at = notice.reading, now
        self.add_load(notice, 1)
        self.note_use(notice, last, now)
        self.note_spending(notice, now)
        if last is not None and last.started != notice.started:
            peer.seen = 0
        self.learn(peer, notice, now)
        return True

    def learn(self, peer: Peer, notice: Notice, now: float) -> None:
        """Learn from those observations of another entry that are not known yet."""
        known = max(0, peer.seen - notice.seen_before)
        peer.seen = max(peer.seen, notice.seen_before + len(notice.seen))
        for seen in notice.seen[known:]:
            placement = self.by_target.get(seen.target)
            if placement is not None:
                placement.learn(seen, now)

    def expire(self, now: float) -> None:
        """Drop the loads of entries that were not heard for long, and old spending."""
        for retries in self.retries.values():
            retries.expire(now)
        group = self.group()
        for vm, peer in tuple(self.peers.items()):
            if now - peer.heard <= PEER_MS:
                continue
            if peer.notice is not None:
                self.add_load(peer.notice, -1)
                peer.notice = replace(peer.notice, in_flight={})
            if now - peer.heard > FORGET_MS and vm in group:
                del self.peers[vm]

    def live_peers(self, now: float) -> dict[str, Peer]:
        """Return the entries that were heard lately."""
        return {vm: peer for vm, peer in self.peers.items() if peer.is_heard(now)}

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

    def observe(self, seen: Observation) -> None:
        """Keep an observation for the next notice."""
        self.unsent.append(seen)

    def spent(self, now: float) -> dict[str, Spending] | None:
        """Return what this entry had in the latest window, for services with any request.

        None where the others know it well enough.
        """
        if not self.retried and now - self.spent_told_at < SPENT_MS:
            return None
        self.retried = False
        self.spent_told_at = now
        totals = {name: retries.own.total(now) for name, retries in self.retries.items()}
        return {name: total for name, total in totals.items() if total.requests or total.retries}

    def news_of(self, reading: Reading, now: float) -> Reading | None:
        """Return how the platform answers this entry, if the others are to hear of it now."""
        told = self.told_reading
        told_ago_ms = now - self.reading_told_at
        same = told is not None and (told.tables, told.able) == (reading.tables, reading.able)
        answered = reading.answer_age_ms is not None and reading.answer_age_ms < told_ago_ms
        if same and not answered and told_ago_ms < READING_MS:
            return None
        self.told_reading = reading
        self.reading_told_at = now
        return reading

    def next_notice(self, reading: Reading, now: float) -> Notice:
        """Return what to tell the other entries now.

        Parameters
        ----------
        reading
            How the platform answers this entry.
        now
            Milliseconds of the process's clock.
        """
        self.number += 1
        seen, self.unsent = tuple(self.unsent), []
        seen_before = self.seen_told
        self.seen_told += len(seen)
        in_flight = {
            name: target.own
            for placement in self.placements.values()
            for name, target in placement.targets.items()
            if target.own
        }
        return Notice(
            self.vm,
            self.number,
            self.started,
            in_flight,
            seen,
            seen_before,
            self.news_of(reading, now),
            self.spent(now),
            self.strength,
        )
