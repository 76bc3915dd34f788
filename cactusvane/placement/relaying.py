"""How notices reach all entries of a failure domain. No sockets, no wall clock.

Answers domains of dozens of entries: where each told every other one, datagrams would grow with
the square of their number. Instead each tells one, the relay, which passes on in rounds what is
news to it. The relay is the first entry, in an order that is the same everywhere, of those that
were heard lately; nobody is elected. Two that relay at a time do no harm: a notice counts by its
sender and number, however often it comes. To all entries a relay passes on only what it was told
itself; what it heard through another one it repeats to those that tell it, since they may not hear
the other.

The relay's link carries each batch a few times only: some entries, others in each round, send it
on. As each notice goes out in two rounds, one of them that ended takes nothing away.

An entry whose notice does not come back in a batch tells it again. While batches stay away, or
the notice does, it leaves the relay alone for a time and tells the next one.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from math import ceil, inf

from msgspec.structs import replace

from cactusvane.fleet.vm import Address
from cactusvane.placement.domain import Domain, Peer
from cactusvane.placement.messages import (
    Message,
    RelayedUpdate,
    StateUpdate,
    StoreStatus,
    UpdateBatch,
)

HEARTBEAT_MS = 1_000.0
"""How often an entry tells the others of itself without traffic."""

UPDATE_DELAY_MS = 5.0
"""How long ordinary news of an entry waits for more."""

URGENT_DELAY_MS = 2.0
"""The same for news of a failure or of a table's change."""

ROUND_INTERVAL_MS = 50.0
"""Time between two batches of a relay; a small part of what requests take at their targets."""

IDLE_ROUND_INTERVAL_MS = 100.0
"""The same without news, so that a relay that ended is noticed."""

CLIENT_TIMEOUT_MS = 1_500.0
"""How long an entry relays after it was told a notice; more than a beat."""

RETRANSMIT_MS = 110.0
"""A notice that has not come back after this time is told again; two rounds and the way."""

RELAY_TIMEOUT_MS = 300.0
"""After so long without a batch the next entry relays."""

ACK_TIMEOUT_MS = 450.0
"""The same without one's own notices in the batches; some of them may have been lost."""

MAX_OBSERVATIONS = 64
"""Observations that one notice holds; older ones say little by the time they arrive."""

FAN_OUT = 8
"""Entries that one of them serves: the relay sends batches to some, which send them on."""

RELAY_COOLDOWN_MS = 3_000.0
"""How long a relay that fell silent is left alone."""


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A message and where it goes."""

    message: Message
    to: tuple[Address, ...]


class PendingUpdates:
    """Notices that are to be updates on, each in two rounds, as one batch may be lost.

    Examples
    --------
    >>> pending = PendingUpdates()
    >>> pending.add(RelayedUpdate(StateUpdate("a", 1, 1, {})))
    >>> len(pending.next_round()), len(pending.next_round()), len(pending.next_round())
    (1, 1, 0)
    """

    def __init__(self) -> None:
        self.new: list[RelayedUpdate] = []
        self.repeated: list[RelayedUpdate] = []

    def add(self, *updates: RelayedUpdate) -> None:
        """Take in notices for the next round."""
        self.new += updates

    def next_round(self) -> list[RelayedUpdate]:
        """Return what goes out now."""
        updates = [*self.repeated, *self.new]
        self.repeated, self.new = self.new, []
        return updates


class Relaying:
    """One entry's part in passing notices on.

    Parameters
    ----------
    domain
        What the entries share.
    own
        Where this entry takes notices.
    reading
        Returns how the platform answers this entry.
    now
        Milliseconds of the process's clock, as everywhere here.

    Attributes
    ----------
    relay
        The entry that passes on this one's notices.
    due
        When the next own notice is to be told.
    unreturned
        The latest own notice, until it came back.
    unreturned_since
        Since when none came back that had not before.
    returned
        Number of the latest own notice that came back.
    asked_at
        When other entries told this one a notice last.
    told
        Notices that were told to this entry, and its own.
    heard
        Notices that came in batches of another relay.
    """

    def __init__(
        self,
        domain: Domain,
        own_address: Address,
        store_status: Callable[[], StoreStatus],
        now: float,
    ) -> None:
        self.domain = domain
        self.own_address = own_address
        self.store_status = store_status
        self.relay = domain.vm
        self.relay_since = now
        self.cooldown_until: dict[str, float] = {}
        self.last_batch_at: dict[str, float] = {}
        self.update_due_at = now
        self.last_sent_at = -inf
        self.unacknowledged: StateUpdate | None = None
        self.unacknowledged_since = now
        self.acknowledged = 0
        self.retransmit_at = inf
        self.client_seen_at: dict[str, float] = {}
        self.last_round_at = -inf
        self.direct_updates = PendingUpdates()
        self.indirect_updates = PendingUpdates()
        self.introductions: list[Address] = []
        self.pending_forwards: list[Outgoing] = []
        self.next_forwarder = 0

    def schedule_update(self, urgent: bool, now: float) -> None:
        """Tell the other entries soon, or at once where the news is urgent."""
        self.update_due_at = min(
            self.update_due_at, now + (URGENT_DELAY_MS if urgent else UPDATE_DELAY_MS)
        )

    def introduce(self, address: Address) -> None:
        """Tell an entry of this one, once and directly."""
        self.introductions.append(address)

    def is_relay(self, now: float) -> bool:
        """Say whether this entry passes notices on."""
        return self.relay == self.domain.vm or any(
            now - seen_at <= CLIENT_TIMEOUT_MS for seen_at in self.client_seen_at.values()
        )

    def next_step_at(self, now: float) -> float:
        """Return when `step` has something to do."""
        if self.pending_forwards:
            return now
        times = [self.next_update_at()]
        if self.is_relay(now):
            times.append(self.next_round_at())
        if self.relay != self.domain.vm:
            times += [self.retransmit_at, self.relay_last_seen_at() + RELAY_TIMEOUT_MS]
        return min(times)

    def next_update_at(self) -> float:
        """Return when the next own notice is to be told, at the latest with the next beat."""
        return min(self.update_due_at, self.last_sent_at + HEARTBEAT_MS)

    def next_round_at(self) -> float:
        """Return when the next batch goes out, sooner where there is has_new."""
        has_new = self.direct_updates.new or self.indirect_updates.new
        return self.last_round_at + (ROUND_INTERVAL_MS if has_new else IDLE_ROUND_INTERVAL_MS)

    def relay_last_seen_at(self) -> float:
        """Return when the relay was heard last, or was chosen."""
        return max(self.relay_since, self.last_batch_at.get(self.relay, -inf))

    def step(self, now: float) -> Iterator[Outgoing]:
        """Do what is due, and return what is to be sent."""
        pending_forwards, self.pending_forwards = self.pending_forwards, []
        yield from pending_forwards
        self.choose_relay(now)
        if now >= self.next_update_at():
            yield from self.send_update(now)
        elif self.unacknowledged is not None and now >= self.retransmit_at:
            yield from self.send_to_relay(self.unacknowledged, now)
        if self.is_relay(now):
            yield from self.send_round(now)

    def choose_relay(self, now: float) -> None:
        """Go by the first entry that is heard as the relay; the present one may have ended."""
        if self.has_relay_failed(now):
            self.cooldown_until[self.relay] = now + RELAY_COOLDOWN_MS
        first, order = self.domain.vm, (-self.domain.strength, self.domain.rank)
        for vm, peer in self.domain.group().items():
            if not peer.is_live(now) or now < self.cooldown_until.get(vm, -inf):
                continue
            if peer.order < order:
                first, order = vm, peer.order
        if first != self.relay:
            self.relay = first
            self.relay_since = self.unacknowledged_since = now
            self.update_due_at = now

    def has_relay_failed(self, now: float) -> bool:
        """Say whether the relay sends nothing, or does not get what this entry tells it."""
        if self.relay == self.domain.vm:
            return False
        if now - self.relay_last_seen_at() >= RELAY_TIMEOUT_MS:
            return True
        return self.unacknowledged is not None and now - self.unacknowledged_since >= ACK_TIMEOUT_MS

    def send_update(self, now: float) -> Iterator[Outgoing]:
        """Tell a new notice; it repeats the observations of one that has not come back."""
        self.update_due_at = inf
        self.last_sent_at = now
        update = self.domain.next_update(self.store_status(), now)
        if self.unacknowledged is None:
            self.unacknowledged_since = now
        else:
            update = merge_updates(self.unacknowledged, update)
        if self.introductions:
            introduction = self.make_batch([RelayedUpdate(update, self.own_address)])
            yield Outgoing(introduction, tuple(self.introductions))
            self.introductions = []
        if self.relay == self.domain.vm:
            self.unacknowledged = None
            self.direct_updates.add(relayed(update, self.own_address))
        else:
            self.unacknowledged = update
            yield from self.send_to_relay(update, now)

    def send_to_relay(self, update: StateUpdate, now: float) -> Iterator[Outgoing]:
        """Tell the relay a notice, and once more later unless it comes back."""
        self.retransmit_at = now + RETRANSMIT_MS
        if self.relay in self.domain.peers:
            yield Outgoing(update, (self.domain.peers[self.relay].address,))

    def send_round(self, now: float) -> Iterator[Outgoing]:
        """Send a batch if it is time; each notice goes out in two of them, as one may be lost."""
        if now < self.next_round_at():
            return
        self.last_round_at = now
        peers = list(self.domain.group().values())
        clients = self.relay_clients(now)
        direct, indirect = self.direct_updates.next_round(), self.indirect_updates.next_round()
        if 2 * len(clients) >= len(peers):
            yield from self.fan_out([*indirect, *direct], peers, now)
            return
        if direct:
            yield from self.fan_out(direct, peers, now)
        if clients and (indirect or not direct):
            yield from self.fan_out(indirect, clients, now)

    def relay_clients(self, now: float) -> list[Peer]:
        """Return the entries that go by this one as their relay."""
        self.client_seen_at = {
            vm: seen_at
            for vm, seen_at in self.client_seen_at.items()
            if now - seen_at <= CLIENT_TIMEOUT_MS
        }
        group = self.domain.group()
        return [group[vm] for vm in self.client_seen_at if vm in group]

    def fan_out(
        self, updates: list[RelayedUpdate], to: list[Peer], now: float
    ) -> Iterator[Outgoing]:
        """Send a batch to some entries, with the help of some of those that are heard."""
        peers = list(to)
        self.domain.random.shuffle(peers)
        forwarders = self.next_forwarders(peers, now)
        chosen = {peer.address for peer in forwarders}
        others = [peer.address for peer in peers if peer.address not in chosen]
        if not forwarders:
            yield Outgoing(self.make_batch(updates), tuple(others))
        for number, forwarder in enumerate(forwarders):
            forward_to = tuple(others[number :: len(forwarders)])
            batch = UpdateBatch(self.domain.vm, tuple(updates), forward_to)
            yield Outgoing(batch, (forwarder.address,))

    def next_forwarders(self, peers: list[Peer], now: float) -> list[Peer]:
        """Return those that send this batch on, each in its turn; none where there are few."""
        live = [peer for peer in peers if peer.is_live(now)]
        if len(peers) <= 2 * FAN_OUT or not live:
            return []
        live.sort(key=lambda peer: peer.rank)
        wanted = min(len(live), ceil(len(peers) / FAN_OUT))
        begin = self.next_forwarder % len(live)
        self.next_forwarder += wanted
        return [live[(begin + number) % len(live)] for number in range(wanted)]

    def make_batch(self, updates: list[RelayedUpdate]) -> UpdateBatch:
        """Return a batch of this entry."""
        return UpdateBatch(self.domain.vm, tuple(updates))

    def receive(self, message: Message, address: Address, now: float) -> list[RelayedUpdate]:
        """Take in a message and return the notices in it that are new_updates."""
        match message:
            case StateUpdate():
                self.client_seen_at[message.sender] = now
                self.domain.add_peer(message.sender, address, now)
                relayed_update = relayed(message, address)
                if not self.receive_update(relayed_update, now):
                    self.retransmit(relayed_update)
                    return []
                self.direct_updates.add(relayed_update)
                return [relayed_update]
            case UpdateBatch():
                self.last_batch_at[message.sender] = now
                if message.forward_to:
                    batch = UpdateBatch(message.sender, message.updates)
                    self.pending_forwards.append(Outgoing(batch, message.forward_to))
                new_updates = [each for each in message.updates if self.receive_update(each, now)]
                if self.is_relay(now):
                    self.indirect_updates.add(*new_updates)
                return new_updates

    def receive_update(self, relayed_update: RelayedUpdate, now: float) -> bool:
        """Take in one notice, and say whether it was news."""
        update = relayed_update.update
        if update.sender == self.domain.vm:
            self.record_acknowledgement(update, now)
            return False
        return self.domain.receive(update, relayed_update.address, now)

    def retransmit(self, relayed_update: RelayedUpdate) -> None:
        """Pass on once more what its sender tells again, since the batches with it were lost."""
        peer = self.domain.peers.get(relayed_update.update.sender)
        if (
            peer is not None
            and peer.last_update == relayed_update.update
            and relayed_update not in self.direct_updates.new
        ):
            self.direct_updates.add(relayed_update)

    def record_acknowledgement(self, update: StateUpdate, now: float) -> None:
        """Note that an own notice came back: the others get it, too."""
        pending = self.unacknowledged
        if pending is None or update.started != pending.started:
            return
        if update.number > self.acknowledged:
            self.acknowledged = update.number
            self.unacknowledged_since = now
        if update.number >= pending.number:
            self.unacknowledged = None
            self.retransmit_at = inf


def relayed(update: StateUpdate, address: Address) -> RelayedUpdate:
    """Return a notice as it is passed on; only a full one says where its sender takes notices."""
    return RelayedUpdate(update, address if update.is_full else None)


def merge_updates(earlier: StateUpdate, later: StateUpdate) -> StateUpdate:
    """Return the later of two notices with what only the earlier one tells."""
    observations = earlier.observations + later.observations
    dropped = max(0, len(observations) - MAX_OBSERVATIONS)
    return replace(
        later,
        observations=observations[dropped:],
        observations_before=earlier.observations_before + dropped,
        retry_usage=earlier.retry_usage if later.retry_usage is None else later.retry_usage,
        store_status=earlier.store_status if later.store_status is None else later.store_status,
    )
