"""Which VMs of the fleet are alive, as one VM believes; no sockets and no wall clock.

Failure detection by direct and indirect probes, dissemination by gossip and refutation by
incarnation numbers follow SWIM [1]_; here each VM probes only a few neighbours on a hash ring, the
platform's VM list is the seed, and a digest exchange heals what gossip missed.

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
"""How often a death is told again to VMs that seem not to know."""

SAMPLE_FACTOR = 4
"""Members drawn for each one wanted, since some of them may not do."""


@dataclass(frozen=True, slots=True)
class Probe:
    """A probe that waits for its answer."""

    target: str
    expires_ms: float
    indirect: bool = False


@dataclass(frozen=True, slots=True)
class RelayedProbe:
    """A probe made on behalf of another VM."""

    origin: Address
    nonce: int
    expires_ms: float


def fingerprint(member: Member) -> int:
    """Return a 64-bit hash of a belief, for digests."""
    text = f"{member.vm.name}\0{member.incarnation}\0{int(member.status)}"
    return xxhash.xxh64_intdigest(text.encode())


@lru_cache(maxsize=16_384)
def ring_position(name: str) -> int:
    """Return where a VM stands on the ring, 64 bits."""
    return xxhash.xxh64_intdigest(name.encode())


def is_live(member: Member) -> bool:
    """Say whether a member may keep cells."""
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
        Times and bounds.
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
        """Own VM as it sees itself."""
        return self.members[self.name]

    def live(self) -> tuple[Vm, ...]:
        """Return the VMs that may keep cells, this one among them, in order of name."""
        found = [member.vm for member in self.members.values() if is_live(member)]
        return tuple(sorted(found, key=lambda vm: vm.name))

    def handle(self, event: FleetEvent, now: float) -> tuple[FleetCommand, ...]:
        """Take in one event.

        Parameters
        ----------
        event
            What happened.
        now
            Milliseconds of the process's clock.

        Returns
        -------
        tuple of FleetCommand
            What the caller has to do, in order.
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
        """Take in the platform's list: new names join, missing ones come under suspicion.

        New names are no rumor, for all VMs read the list.
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
            gone = self.members.get(name)
            if gone is not None and name != self.name and gone.status is Status.ALIVE:
                self.apply_update(replace(gone, status=Status.SUSPECT), now)

    def announce_head(self, head: Head) -> list[FleetCommand]:
        """Tell others of a head that came into force here."""
        if self.head is not None and head.version <= self.head.version:
            return []
        self.head = head
        self.head_sends_left = self.retransmit_limit()
        return self.gossip()

    def receive(self, envelope: Envelope, now: float) -> list[FleetCommand]:
        """Take in a message and answer it."""
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
        """Do what the body of a message asks for."""
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
        """Return what is held against a sender, so that it can refute it."""
        belief = self.members[sender.vm.name]
        return (belief,) if belief.overrides(sender) else ()

    def handle_ack(self, nonce: int) -> list[FleetCommand]:
        """Settle a probe, or pass the answer on to the VM that asked for it."""
        self.probes.pop(nonce, None)
        relayed = self.relayed_probes.pop(nonce, None)
        if relayed is None:
            return []
        return [self.send(relayed.origin, Ack(relayed.nonce))]

    def apply_update(self, update: Member, now: float) -> None:
        """Take over a belief if it is newer than what is held."""
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
        """Tell again of a death that others have not heard of."""
        if known.status is Status.DEAD and known.overrides(update):
            self.pending_updates.setdefault(known.vm.name, DEATH_RESENDS)

    def set_deadline(self, member: Member, now: float) -> None:
        """Set when a belief turns into the next one by itself."""
        name = member.vm.name
        match member.status:
            case Status.ALIVE:
                self.deadlines.pop(name, None)
            case Status.SUSPECT:
                self.deadlines[name] = now + self.settings.suspicion_timeout_ms
            case Status.DEAD | Status.LEFT:
                self.deadlines[name] = now + self.settings.dead_retention_ms

    def refute(self, update: Member) -> None:
        """Raise the own incarnation where others hold something against this VM."""
        if self.local.status is Status.LEFT or not update.overrides(self.local):
            return
        self.set_member(replace(self.local, incarnation=update.incarnation + 1))
        self.pending_updates[self.name] = self.retransmit_limit()

    def set_member(self, member: Member) -> None:
        """Put a belief in place."""
        name = member.vm.name
        known = self.members.get(name)
        if known is not None:
            self.digest ^= fingerprint(known)
        self.digest ^= fingerprint(member)
        self.members[name] = member
        self.changed |= known is None or is_live(known) != is_live(member) or known.vm != member.vm
        self.ring = None

    def remove_member(self, name: str) -> None:
        """Drop a member."""
        self.digest ^= fingerprint(self.members.pop(name))
        self.pending_updates.pop(name, None)
        self.ring = None
        self.member_names = []

    def retransmit_limit(self) -> int:
        """Return how often one update is sent on, for the present size of the fleet."""
        return 2 * ceil(log2(len(self.members) + 1))

    def tick(self, now: float) -> list[FleetCommand]:
        """Do what is due."""
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
        """Distrust what was pending while this VM stood still, and ask others for news."""
        self.probes.clear()
        self.relayed_probes.clear()
        for name, member in self.members.items():
            if member.status is Status.SUSPECT:
                self.deadlines[name] = now + self.settings.suspicion_timeout_ms
        self.next_sync = now

    def expire_probes(self, now: float) -> list[FleetCommand]:
        """Turn unanswered probes into indirect ones, and those into suspicion."""
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
        """Ask helpers to probe; with none, the direct probe counts as indirect."""
        expires = now + self.settings.ack_timeout_ms
        self.probes[nonce] = Probe(target.vm.name, expires, indirect=True)
        peer = target.vm.peer
        if peer is None:
            return []
        probers = self.sample(self.settings.indirect_probers, exclude=target.vm.name)
        return [self.send(prober, PingRequest(nonce, peer)) for prober in probers]

    def expire_beliefs(self, now: float) -> None:
        """Turn old suspicion into death, and forget old deaths."""
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
        """Probe the next neighbour."""
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
        """Tell a few members what is new."""
        return [self.send(peer, Rumor()) for peer in self.sample(self.settings.fanout)]

    def sync(self) -> list[FleetCommand]:
        """Compare digests with a member picked among all, so that healed cuts are found."""
        peers = self.sample(1) + self.sample_dead()
        return [
            self.send(peer, Sync(self.digest), tuple(self.refutable_beliefs(peer)))
            for peer in peers
        ]

    def refutable_beliefs(self, peer: Address) -> list[Member]:
        """Return the belief that the member at `peer` should refute, if any."""
        return [
            member
            for member in self.members.values()
            if member.vm.peer == peer and member.status in (Status.SUSPECT, Status.DEAD)
        ]

    def sample(self, count: int, exclude: str = "") -> list[Address]:
        """Return the addresses of up to `count` random members that seem alive."""
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
        """Return the address of a random member that seems dead, if there is one."""
        dead = [each for each in self.members.values() if each.status is Status.DEAD]
        found = [member.vm.peer for member in dead if member.vm.peer is not None]
        return self.random.sample(found, min(1, len(found)))

    def stop(self, now: float) -> list[FleetCommand]:
        """Say goodbye, so that nobody has to find out by probing."""
        self.set_member(replace(self.local, status=Status.LEFT))
        return [self.send(peer, Rumor()) for peer in self.sample(2 * self.settings.fanout)]

    def send(self, to: Address, body: Body, extra: tuple[Member, ...] = ()) -> Send:
        """Return a message with as many updates as fit."""
        updates = extra + self.next_updates(self.settings.max_updates - len(extra))
        if self.head_sends_left:
            self.head_sends_left -= 1
        return Send(to, Envelope(self.local, body, updates, self.head))

    def next_updates(self, count: int) -> tuple[Member, ...]:
        """Return the updates that were sent least often, and count this sending."""
        if count <= 0 or not self.pending_updates:
            return ()
        names = sorted(self.pending_updates, key=lambda name: -self.pending_updates[name])[:count]
        for name in names:
            self.pending_updates[name] -= 1
            if self.pending_updates[name] <= 0:
                del self.pending_updates[name]
        return tuple(self.members[name] for name in names)
