"""Membership of the fleet: which VMs are alive, as one VM believes.

Performs no I/O; the current time is passed in. Failure detection by direct and indirect probes,
dissemination by gossip and refutation by incarnation numbers follow SWIM [1]_. In contrast to
SWIM, each VM probes only a few neighbours on a hash ring, the platform's VM list is the seed, and
an exchange of digests repairs what gossip missed.

References
----------
.. [1] A. Das, I. Gupta, A. Motivala, "SWIM: scalable weakly-consistent infection-style process
   group membership protocol", DSN 2002.
"""

from dataclasses import dataclass, replace
from functools import lru_cache
from math import ceil, log2
from random import Random

import xxhash

from cactusvane.configuration.model import Head
from cactusvane.fleet.messages import (
    Ack,
    Body,
    Envelope,
    FleetCommand,
    FleetEvent,
    HeadInForce,
    Member,
    MembersChanged,
    MessageReceived,
    NewerHeadSeen,
    Ping,
    PingRequest,
    Rumor,
    SeedsReceived,
    Send,
    Status,
    Stopping,
    Sync,
    Ticked,
    VmListReceived,
)
from cactusvane.fleet.settings import MembershipSettings
from cactusvane.fleet.vm import Address, Vm, VmState

NEVER = float("-inf")

DEATH_RESENDS = 2
"""How often a death is sent again after a VM sent an older belief about the dead member."""

SAMPLE_FACTOR = 4
"""Members drawn for each one wanted, since some of them may be unsuitable."""


@dataclass(frozen=True, slots=True)
class Probe:
    """A probe without a response so far."""

    target: str
    expires_ms: float
    indirect: bool = False


@dataclass(frozen=True, slots=True)
class RelayedProbe:
    """A probe on behalf of another VM.

    Parameters
    ----------
    origin
        Address of the VM that asked for the probe.
    nonce
        Nonce of its request.
    expires_ms
        When the probe times out.
    """

    origin: Address
    nonce: int
    expires_ms: float


def fingerprint(member: Member) -> int:
    """Return the 64-bit hash of a belief, for digests."""
    text = f"{member.vm.name}\0{member.incarnation}\0{int(member.status)}"
    return xxhash.xxh64_intdigest(text.encode())


@lru_cache(maxsize=16_384)
def ring_position(name: str) -> int:
    """Return the 64-bit position of a VM on the hash ring."""
    return xxhash.xxh64_intdigest(name.encode())


def is_live(member: Member) -> bool:
    """Return whether a member may be a keeper."""
    return member.status in (Status.ALIVE, Status.SUSPECT) and member.vm.state is VmState.LIVE


class Membership:
    """The members of the fleet, as this VM believes.

    Parameters
    ----------
    vm
        This VM; `Vm.peer` must be set.
    random
        Source of all random choices.
    settings
        Times and limits.

    Attributes
    ----------
    members
        Beliefs by name of the VM, this VM among them.
    listed
        Names in the latest VM list.
    seeds
        Addresses to contact while no other member is known.
    head
        The newest head of the configuration that is active on this VM.
    digest
        Exclusive or (XOR) of the hashes of all beliefs.
    deadlines
        When a belief expires, by name: a suspect then counts as dead, a dead member is removed.
    pending_updates
        How often the belief about a member still has to be sent, by name.
    head_sends_left
        How often the head still has to be sent by gossip.
    probes
        Probes without a response, by nonce.
    relayed_probes
        Probes on behalf of other VMs, by nonce.
    """

    def __init__(self, vm: Vm, random: Random, settings: MembershipSettings | None = None) -> None:
        self.random = random
        self.settings = settings or MembershipSettings()
        self.name = vm.name
        self.members: dict[str, Member] = {vm.name: Member(vm)}
        self.listed: frozenset[str] = frozenset()
        self.seeds: tuple[Address, ...] = ()
        self.head: Head | None = None
        self.digest = fingerprint(self.local)
        self.deadlines: dict[str, float] = {}
        self.pending_updates: dict[str, int] = {}
        self.head_sends_left = 0
        self.probes: dict[int, Probe] = {}
        self.relayed_probes: dict[int, RelayedProbe] = {}
        self.nonce = 0
        self.probe_index = 0
        self.last_tick = NEVER
        self.next_probe = NEVER
        self.next_gossip = NEVER
        self.next_sync = NEVER
        self.changed = False
        self.ring: list[Member] | None = None
        self.member_names: list[str] = []

    @property
    def local(self) -> Member:
        """Belief of this VM about itself."""
        return self.members[self.name]

    def live(self) -> tuple[Vm, ...]:
        """Return the VMs that may be keepers, this VM among them, sorted by name."""
        found = [member.vm for member in self.members.values() if is_live(member)]
        return tuple(sorted(found, key=lambda vm: vm.name))

    def handle(self, event: FleetEvent, now: float) -> tuple[FleetCommand, ...]:
        """Handle one event.

        Parameters
        ----------
        event
            The event.
        now
            Current time in milliseconds (monotonic clock of the process).

        Returns
        -------
        tuple of FleetCommand
            Commands for the caller, in order.
        """
        self.changed = False
        commands: list[FleetCommand] = []
        match event:
            case VmListReceived(vms):
                self.apply_vm_list(vms, now)
            case SeedsReceived(peers):
                self.seeds = tuple(peer for peer in peers if peer != self.local.vm.peer)
            case MessageReceived(envelope):
                commands.extend(self.receive(envelope, now))
            case HeadInForce(head):
                commands.extend(self.announce_head(head))
            case Stopping():
                commands.extend(self.stop(now))
            case Ticked():
                commands.extend(self.tick(now))
        if self.changed:
            commands.append(MembersChanged())
        return tuple(commands)

    def apply_vm_list(self, vms: tuple[Vm, ...], now: float) -> None:
        """Apply the platform's VM list: new names join, names no longer in it become suspect.

        New names are not sent by gossip, since all VMs read the list.
        """
        before = self.listed
        self.listed = frozenset(vm.name for vm in vms)
        for vm in vms:
            known = self.members.get(vm.name)
            if known is None:
                self.set_member(Member(vm))
            elif vm is not known.vm and vm != known.vm and vm.name != self.name:
                self.set_member(replace(known, vm=vm))
        for name in before - self.listed:
            missing = self.members.get(name)
            if missing is not None and name != self.name and missing.status is Status.ALIVE:
                self.apply_update(replace(missing, status=Status.SUSPECT), now)

    def announce_head(self, head: Head) -> list[FleetCommand]:
        """Send a head that became active on this VM to other VMs."""
        if self.head is not None and head.version <= self.head.version:
            return []
        self.head = head
        self.head_sends_left = self.retransmit_limit()
        return self.gossip()

    def receive(self, envelope: Envelope, now: float) -> list[FleetCommand]:
        """Apply a message from another VM and return the responses."""
        commands: list[FleetCommand] = []
        sender = envelope.sender
        peer = sender.vm.peer
        if sender.vm.name == self.name or peer is None:
            return commands
        self.apply_update(sender, now)
        for update in envelope.updates:
            self.apply_update(update, now)
        version = self.head.version if self.head else 0
        if envelope.head is not None and envelope.head.version > version:
            commands.append(NewerHeadSeen(envelope.head, sender.vm))
        commands.extend(self.handle_body(envelope.body, sender, peer, now))
        return commands

    def handle_body(
        self, body: Body, sender: Member, peer: Address, now: float
    ) -> list[FleetCommand]:
        """Handle the body of a message and return the responses."""
        match body:
            case Ping(nonce):
                return [self.send(peer, Ack(nonce), self.overriding_belief(sender))]
            case Ack(nonce):
                return self.handle_ack(nonce)
            case PingRequest(nonce, target):
                self.nonce += 1
                self.relayed_probes[self.nonce] = RelayedProbe(
                    peer, nonce, now + self.settings.ack_timeout_ms
                )
                return [self.send(target, Ping(self.nonce))]
            case Sync(digest) if digest != self.digest:
                return [self.send(peer, Rumor(), tuple(self.members.values()))]
            case _:
                return []

    def overriding_belief(self, sender: Member) -> tuple[Member, ...]:
        """Return the belief that overrides the sender's own, if any, so that it can refute it."""
        belief = self.members[sender.vm.name]
        return (belief,) if belief.overrides(sender) else ()

    def handle_ack(self, nonce: int) -> list[FleetCommand]:
        """Complete a probe, or forward the response to the VM that asked for the probe."""
        self.probes.pop(nonce, None)
        relayed = self.relayed_probes.pop(nonce, None)
        if relayed is None:
            return []
        return [self.send(relayed.origin, Ack(relayed.nonce))]

    def apply_update(self, update: Member, now: float) -> None:
        """Adopt a belief if it is newer than the current one."""
        name = update.vm.name
        known = self.members.get(name)
        if name == self.name:
            self.refute(update)
            return
        if known is None:
            if update.status in (Status.DEAD, Status.LEFT) or update.vm.peer is None:
                return
        elif not update.overrides(known):
            self.resend_death(known, update)
            return
        self.set_member(update)
        self.pending_updates[name] = self.retransmit_limit()
        self.set_deadline(update, now)

    def resend_death(self, known: Member, update: Member) -> None:
        """Send a death again if another VM's belief about the dead member is older."""
        if known.status is Status.DEAD and known.overrides(update):
            self.pending_updates.setdefault(known.vm.name, DEATH_RESENDS)

    def set_deadline(self, member: Member, now: float) -> None:
        """Set when a belief expires."""
        name = member.vm.name
        match member.status:
            case Status.ALIVE:
                self.deadlines.pop(name, None)
            case Status.SUSPECT:
                self.deadlines[name] = now + self.settings.suspicion_timeout_ms
            case Status.DEAD | Status.LEFT:
                self.deadlines[name] = now + self.settings.dead_retention_ms

    def refute(self, update: Member) -> None:
        """Increase this VM's incarnation if another VM's belief overrides its own."""
        if self.local.status is Status.LEFT or not update.overrides(self.local):
            return
        self.set_member(replace(self.local, incarnation=update.incarnation + 1))
        self.pending_updates[self.name] = self.retransmit_limit()

    def set_member(self, member: Member) -> None:
        """Store a belief and update the digest."""
        name = member.vm.name
        known = self.members.get(name)
        if known is not None:
            self.digest ^= fingerprint(known)
        self.digest ^= fingerprint(member)
        self.members[name] = member
        self.changed |= known is None or is_live(known) != is_live(member) or known.vm != member.vm
        self.ring = None

    def remove_member(self, name: str) -> None:
        """Remove a member."""
        self.digest ^= fingerprint(self.members.pop(name))
        self.pending_updates.pop(name, None)
        self.ring = None
        self.member_names = []

    def retransmit_limit(self) -> int:
        """Return how often one update is sent, for the current size of the fleet."""
        return 2 * ceil(log2(len(self.members) + 1))

    def tick(self, now: float) -> list[FleetCommand]:
        """Expire probes and beliefs; probe, gossip and exchange digests at their intervals."""
        if now - self.last_tick > self.settings.max_tick_gap_ms and self.last_tick != NEVER:
            self.resume(now)
        self.last_tick = now
        commands = self.expire_probes(now)
        self.expire_beliefs(now)
        if now >= self.next_probe:
            self.next_probe = now + self.settings.probe_interval_ms
            commands.extend(self.probe(now))
        if now >= self.next_gossip and (self.pending_updates or self.head_sends_left):
            self.next_gossip = now + self.settings.gossip_interval_ms
            commands.extend(self.gossip())
        if now >= self.next_sync:
            syncs = self.sync()
            if syncs:
                self.next_sync = now + self.settings.sync_interval_ms * self.random.uniform(
                    0.75, 1.25
                )
            commands.extend(syncs)
        return commands

    def resume(self, now: float) -> None:
        """Drop pending probes, restart suspicion timeouts and exchange digests after a suspension.

        Timeouts that passed while this VM was suspended say nothing about other VMs.
        """
        self.probes.clear()
        self.relayed_probes.clear()
        for name, member in self.members.items():
            if member.status is Status.SUSPECT:
                self.deadlines[name] = now + self.settings.suspicion_timeout_ms
        self.next_sync = now

    def expire_probes(self, now: float) -> list[FleetCommand]:
        """Follow up a timed-out probe with indirect probes, and those with suspicion."""
        commands: list[FleetCommand] = []
        for nonce, relayed in list(self.relayed_probes.items()):
            if now >= relayed.expires_ms:
                del self.relayed_probes[nonce]
        for nonce, probe in list(self.probes.items()):
            if now < probe.expires_ms:
                continue
            del self.probes[nonce]
            target = self.members.get(probe.target)
            if target is None or target.status is not Status.ALIVE:
                continue
            if probe.indirect:
                self.apply_update(replace(target, status=Status.SUSPECT), now)
            else:
                commands.extend(self.probe_indirectly(nonce, target, now))
        return commands

    def probe_indirectly(self, nonce: int, target: Member, now: float) -> list[FleetCommand]:
        """Ask other VMs to probe; without any, the direct probe counts as indirect."""
        expires = now + self.settings.ack_timeout_ms
        self.probes[nonce] = Probe(target.vm.name, expires, indirect=True)
        peer = target.vm.peer
        if peer is None:
            return []
        probers = self.sample(self.settings.indirect_probers, exclude=target.vm.name)
        return [self.send(prober, PingRequest(nonce, peer)) for prober in probers]

    def expire_beliefs(self, now: float) -> None:
        """Declare suspects dead after the suspicion timeout, and remove old dead members."""
        if not self.deadlines:
            return
        for name, deadline in list(self.deadlines.items()):
            if now < deadline:
                continue
            del self.deadlines[name]
            member = self.members.get(name)
            if member is None:
                continue
            if member.status is Status.SUSPECT:
                self.apply_update(replace(member, status=Status.DEAD), now)
            elif name in self.listed:
                self.set_deadline(member, now)
            else:
                self.remove_member(name)

    def neighbours(self) -> list[Member]:
        """Return the members that this VM probes: its successors on the hash ring."""
        if self.ring is None:
            present = [m for m in self.members.values() if m.status < Status.DEAD]
            present.sort(key=lambda member: ring_position(member.vm.name))
            names = [member.vm.name for member in present]
            at = names.index(self.name) + 1 if self.name in names else 0
            self.ring = (present[at:] + present[: max(0, at - 1)])[: self.settings.neighbours]
        return self.ring

    def probe(self, now: float) -> list[FleetCommand]:
        """Probe the next neighbour, or contact the seeds if there is none."""
        ring = self.neighbours()
        if not ring:
            return [self.send(seed, Sync(self.digest)) for seed in self.seeds]
        self.probe_index += 1
        target = ring[self.probe_index % len(ring)]
        if target.vm.peer is None:
            return []
        self.nonce += 1
        self.probes[self.nonce] = Probe(target.vm.name, now + self.settings.ack_timeout_ms)
        extra = (target,) if target.status is Status.SUSPECT else ()
        return [self.send(target.vm.peer, Ping(self.nonce), extra)]

    def gossip(self) -> list[FleetCommand]:
        """Send pending updates to a few random members."""
        return [self.send(peer, Rumor()) for peer in self.sample(self.settings.fanout)]

    def sync(self) -> list[FleetCommand]:
        """Compare digests with a random live member and a random dead one.

        The dead one is included because a partition may have healed.
        """
        peers = self.sample(1) + self.sample_dead()
        return [
            self.send(peer, Sync(self.digest), tuple(self.refutable_beliefs(peer)))
            for peer in peers
        ]

    def refutable_beliefs(self, peer: Address) -> list[Member]:
        """Return the beliefs that the member at `peer` should refute."""
        return [
            member
            for member in self.members.values()
            if member.vm.peer == peer and member.status in (Status.SUSPECT, Status.DEAD)
        ]

    def sample(self, count: int, exclude: str = "") -> list[Address]:
        """Return the addresses of up to `count` random members that are believed alive."""
        if len(self.member_names) != len(self.members):
            self.member_names = list(self.members)
        picked = self.random.sample(
            self.member_names, min(len(self.member_names), SAMPLE_FACTOR * (count + 1))
        )
        found: list[Address] = []
        for name in picked:
            member = self.members.get(name)
            if member is None or member.status is not Status.ALIVE or member.vm.peer is None:
                continue
            if name not in (self.name, exclude) and len(found) < count:
                found.append(member.vm.peer)
        return found

    def sample_dead(self) -> list[Address]:
        """Return the address of a random member that is believed dead, if there is one."""
        dead = [each for each in self.members.values() if each.status is Status.DEAD]
        found = [member.vm.peer for member in dead if member.vm.peer is not None]
        return self.random.sample(found, min(1, len(found)))

    def stop(self, now: float) -> list[FleetCommand]:
        """Announce that this VM leaves, so that others need not detect it by probing."""
        self.set_member(replace(self.local, status=Status.LEFT))
        return [self.send(peer, Rumor()) for peer in self.sample(2 * self.settings.fanout)]

    def send(self, to: Address, body: Body, extra: tuple[Member, ...] = ()) -> Send:
        """Return the command to send a message with as many pending updates as fit."""
        updates = extra + self.next_updates(self.settings.max_updates - len(extra))
        if self.head_sends_left:
            self.head_sends_left -= 1
        return Send(to, Envelope(self.local, body, updates, self.head))

    def next_updates(self, count: int) -> tuple[Member, ...]:
        """Return the updates with the most sends left, and count this send."""
        if count <= 0 or not self.pending_updates:
            return ()
        names = sorted(self.pending_updates, key=lambda name: -self.pending_updates[name])[:count]
        for name in names:
            self.pending_updates[name] -= 1
            if self.pending_updates[name] <= 0:
                del self.pending_updates[name]
        return tuple(self.members[name] for name in names)
