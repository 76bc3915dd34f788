"""Exchange of reports between the groups of entries of the fleet.

State updates stay within a group. The relay of each group sends a report to one entry of each other
group, preferably its relay. An entry that is not the relay forwards it to its own relay, which
passes it on to the group in its batches. Lost reports are made up for by the next ones, since their
contents are cumulative. Performs no I/O; the current time is passed in, in milliseconds (monotonic
clock of the process).
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from math import inf
from random import Random

from cactusvane.fleet.vm import Address, Vm
from cactusvane.placement.groups import count_groups, hash_name
from cactusvane.placement.messages import DomainReport, Message
from cactusvane.placement.peer import Peer

REPORT_INTERVAL_MS = 100.0
"""Time between two reports of a group."""

SENDER_TIMEOUT_MS = 1_000.0
"""How long the address from which a report came is used; several reports may be lost."""

SEEDS_PER_REPORT = 4
"""Seeds that get a report while no entry of any other group is known."""

GroupKey = tuple[str, int]
"""Failure domain and number of a group."""


@dataclass(frozen=True, slots=True)
class OutgoingReport:
    """A report and its receivers."""

    message: Message
    to: tuple[Address, ...]


@dataclass(frozen=True, slots=True)
class Origin:
    """Address of the entry that reports on another group, and when that was learnt."""

    address: Address
    learnt_at: float


@dataclass(frozen=True, slots=True)
class OwnGroup:
    """The group of this entry, as it is now.

    Parameters
    ----------
    key
        Its failure domain and number.
    peers
        Its other entries.
    relay
        VM of its relay.
    """

    key: GroupKey
    peers: dict[str, Peer]
    relay: str


Fill = Callable[[DomainReport, float], DomainReport]
"""Returns a report with one part of its contents; gets the current time in milliseconds."""

Listener = Callable[[DomainReport, float], None]
"""Called with each new report of another group, and the current time in milliseconds."""


class GroupReports:
    """One entry's part in the exchange of reports.

    Parameters
    ----------
    vm
        Name of this VM.
    started
        Start time of this process in milliseconds since the epoch.
    own_group
        Returns the group of this entry.
    known_entries
        Returns the entries of all failure domains, as far as they are known.
    seeds
        Returns addresses of some entries, for when no others are known.
    random
        Source of all random choices.

    Attributes
    ----------
    fills
        What reports contain. Without any, none are sent.
    listeners
        Called with each new report of another group.
    pending
        Reports to pass on to the group, the latest of each sender.
    """

    def __init__(
        self,
        vm: str,
        started: int,
        own_group: Callable[[], OwnGroup],
        known_entries: Callable[[], Iterable[Vm]],
        seeds: Callable[[], list[Address]],
        random: Random,
    ) -> None:
        self.vm = vm
        self.started = started
        self.own_group = own_group
        self.known_entries = known_entries
        self.seeds = seeds
        self.random = random
        self.fills: list[Fill] = []
        self.listeners: list[Listener] = []
        self.number = 0
        self.due_at = -inf
        self.origins: dict[GroupKey, Origin] = {}
        self.latest: dict[str, tuple[int, int]] = {}
        self.pending: dict[str, DomainReport] = {}

    @property
    def active(self) -> bool:
        """Whether reports are sent."""
        return bool(self.fills)

    def next_step_at(self, now: float) -> float:
        """Return when `step` is to be called next."""
        if not self.active or self.own_group().relay != self.vm:
            return inf
        return self.due_at

    def step(self, now: float) -> Iterator[OutgoingReport]:
        """Return the report to send now, if this entry is the relay and one is due."""
        if not self.active or now < self.due_at:
            return
        group = self.own_group()
        if group.relay != self.vm:
            return
        self.due_at = now + REPORT_INTERVAL_MS
        receivers = self.receivers(group, now)
        if receivers:
            yield OutgoingReport(self.make_report(group.key, now), tuple(receivers))

    def make_report(self, key: GroupKey, now: float) -> DomainReport:
        """Return a new report on the own group."""
        self.number += 1
        report = DomainReport(self.vm, key[0], key[1], self.number, self.started)
        for fill in self.fills:
            report = fill(report, now)
        return report

    def receivers(self, group: OwnGroup, now: float) -> list[Address]:
        """Return the address of one entry of each other group."""
        chosen = {
            key: origin.address
            for key, origin in self.origins.items()
            if now - origin.learnt_at <= SENDER_TIMEOUT_MS and key != group.key
        }
        for key, addresses in self.addresses_by_group().items():
            if key != group.key and key not in chosen:
                chosen[key] = self.random.choice(addresses)
        if chosen:
            return list(chosen.values())
        seeds = self.seeds()
        return self.random.sample(seeds, min(SEEDS_PER_REPORT, len(seeds)))

    def addresses_by_group(self) -> dict[GroupKey, list[Address]]:
        """Return the addresses of the known entries by group."""
        domains: dict[str, list[Vm]] = {}
        for vm in self.known_entries():
            domains.setdefault(vm.failure_domain, []).append(vm)
        groups: dict[GroupKey, list[Address]] = {}
        for domain, vms in domains.items():
            count = count_groups(len(vms))
            for vm in vms:
                if vm.peer is not None:
                    groups.setdefault((domain, hash_name(vm.name) % count), []).append(vm.peer)
        return groups

    def receive(
        self, report: DomainReport, address: Address, now: float
    ) -> Iterator[OutgoingReport]:
        """Process a report that was sent to this entry, and return it if it is to be forwarded.

        A report that an entry of the own group has forwarded is not forwarded again.
        """
        group = self.own_group()
        key = (report.failure_domain, report.group)
        if not self.active or key == group.key or not self.apply(report, now):
            return
        forwarded = any(peer.address == address for peer in group.peers.values())
        origin = self.known_address(report.sender) if forwarded else address
        if origin is not None:
            self.origins[key] = Origin(origin, now)
        if forwarded or group.relay == self.vm:
            self.pending[report.sender] = report
        elif group.relay in group.peers:
            yield OutgoingReport(report, (group.peers[group.relay].address,))

    def receive_batch(self, reports: Iterable[DomainReport], now: float) -> None:
        """Process the reports that a relay of the own group passes on."""
        own_key = self.own_group().key
        for report in reports:
            if self.active and (report.failure_domain, report.group) != own_key:
                self.apply(report, now)

    def apply(self, report: DomainReport, now: float) -> bool:
        """Pass a report to the listeners, and return whether it is newer than the last one."""
        position = (report.started, report.number)
        if position <= self.latest.get(report.sender, (0, 0)):
            return False
        self.latest[report.sender] = position
        for listener in self.listeners:
            listener(report, now)
        return True

    def known_address(self, vm: str) -> Address | None:
        """Return the address of an entry; None if it is not known."""
        return next((each.peer for each in self.known_entries() if each.name == vm), None)

    def take_pending(self) -> tuple[DomainReport, ...]:
        """Return the reports to pass on to the group now."""
        pending, self.pending = self.pending, {}
        return tuple(pending.values())
