"""Distribution of state updates to all entries of a failure domain through relays.

In domains of dozens of entries, the number of datagrams would grow with the square of the number
of entries if each entry sent its updates to every other one. Instead each entry sends them to one,
the relay, which passes on in rounds what is new to it. The relay is the first live entry in an
order that is the same everywhere; there is no election. Two simultaneous relays do no harm: an
update is identified by its sender and number, and applied once. A relay passes on to all entries
only the updates that were sent to it directly; those that it received through another relay it
repeats only to its own clients, since these may not receive anything from the other relay.

The relay's link carries each batch only a few times: some entries, different ones in each round,
forward it. As each update is sent in two rounds, nothing is lost if one of the forwarders has
ended.

An entry whose update does not come back in a batch retransmits it. If no batches arrive, or the
update does not come back, the entry avoids the relay for some time and uses the next one. Performs
no I/O; the current time is passed in.
"""

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from math import ceil, inf

from msgspec.structs import replace

from cactusvane.fleet.vm import Address
from cactusvane.placement.domain import Domain
from cactusvane.placement.group_reports import GroupReports
from cactusvane.placement.messages import (
    CrashNotice,
    CustomerUsage,
    DomainReport,
    FreshnessAnswer,
    FreshnessQuery,
    Message,
    RelayedUpdate,
    StateUpdate,
    StoreStatus,
    UpdateBatch,
)
from cactusvane.placement.peer import Peer
from cactusvane.request.crashes import MAX_CRASH_REPORTS

HEARTBEAT_MS = 1_000.0
"""Maximum time between two updates of an entry, also without traffic."""

UPDATE_DELAY_MS = 5.0
"""How long an ordinary change waits for others, to be sent in one update."""

URGENT_DELAY_MS = 2.0
"""The same for a failure or a change of a table."""

ROUND_INTERVAL_MS = 50.0
"""Time between two batches of a relay; a small part of the latency of requests at their targets."""

IDLE_ROUND_INTERVAL_MS = 100.0
"""The same without new updates, so that a relay that has ended is detected."""

CLIENT_TIMEOUT_MS = 1_500.0
"""How long an entry relays after it last received a direct update; longer than a heartbeat."""

RETRANSMIT_MS = 110.0
"""An update that has not come back after this time is sent again; two rounds plus network delay."""

RELAY_TIMEOUT_MS = 300.0
"""After this time without a batch, the next entry is used as the relay."""

ACK_TIMEOUT_MS = 450.0
"""The same without one's own updates in the batches; longer, as some of them may have been lost."""

MAX_OBSERVATIONS = 64
"""Maximum number of observations in one update; older ones are of little use when they arrive."""

MAX_BATCH_ITEMS = 400
"""Maximum number of items in a batch; at 100 bytes each, it fits in a datagram."""

CUSTOMERS_PER_ITEM = 4
"""Customers whose usage or level counts as one item; each takes some 25 bytes."""

ITEMS_PER_REPORT = 2
"""Items as which a report about one request counts."""

FAN_OUT = 8
"""Entries per forwarder: the relay sends batches to some entries, which forward them."""

RELAY_COOLDOWN_MS = 3_000.0
"""How long a relay that stopped responding is not used."""


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A message and its receivers."""

    message: Message
    to: tuple[Address, ...]


class PendingUpdates:
    """Updates to be passed on, each in two rounds, as one batch may be lost.

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
        """Add updates for the next round."""
        self.new += updates

    def next_round(self) -> list[RelayedUpdate]:
        """Return the updates to send now."""
        updates = [*self.repeated, *self.new]
        self.repeated, self.new = self.new, []
        return updates


class Relaying:
    """One entry's part in the distribution of updates.

    All times are milliseconds of the monotonic clock of the process.

    Parameters
    ----------
    domain
        The state that the entries share.
    own_address
        Address at which this entry receives updates.
    store_status
        Returns how the platform's tables respond to this entry.
    now
        Current time in milliseconds (monotonic clock of the process).

    Attributes
    ----------
    relay
        The entry that passes on this one's updates.
    relay_since
        Time from which it does.
    cooldown_until
        Entries that are not used as the relay, and until when.
    last_batch_at
        Time of the latest batch of each relay.
    update_due_at
        When to send the next own update.
    unacknowledged
        The latest own update, until it comes back in a batch.
    unacknowledged_since
        Time from which an own update is expected to come back: when the latest one did, or when
        the first unacknowledged one was sent or the relay was chosen, if that is later.
    acknowledged
        Number of the latest own update that came back.
    retransmit_at
        When to send the unacknowledged update again.
    client_seen_at
        Time of the latest direct update of each other entry.
    direct_updates
        Updates that were sent directly to this entry, and its own.
    indirect_updates
        Updates that came in batches of another relay.
    introductions
        Entries that the next update is sent to directly.
    pending_forwards
        Batches to forward for a relay.
    next_forwarder
        Index of the entry that is the next to forward a batch.
    reports
        Exchange of reports with other groups; None if there is none.
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
        self.reports: GroupReports | None = None

    def schedule_update(self, urgent: bool, now: float) -> None:
        """Send an update soon, sooner if it is urgent."""
        self.update_due_at = min(
            self.update_due_at, now + (URGENT_DELAY_MS if urgent else UPDATE_DELAY_MS)
        )

    def introduce(self, address: Address) -> None:
        """Send the next update to an entry directly, once."""
        self.introductions.append(address)

    def is_relay(self, now: float) -> bool:
        """Return whether this entry passes updates on."""
        return self.relay == self.domain.vm or any(
            now - seen_at <= CLIENT_TIMEOUT_MS for seen_at in self.client_seen_at.values()
        )

    def next_step_at(self, now: float) -> float:
        """Return when `step` is to be called next."""
        if self.pending_forwards:
            return now
        times = [self.next_update_at()]
        if self.is_relay(now):
            times.append(self.next_round_at())
        if self.relay != self.domain.vm:
            times += [self.retransmit_at, self.relay_last_seen_at() + RELAY_TIMEOUT_MS]
        elif self.reports is not None:
            times.append(self.reports.next_step_at(now))
        return min(times)

    def next_update_at(self) -> float:
        """Return when to send the next own update, no later than the next heartbeat."""
        return min(self.update_due_at, self.last_sent_at + HEARTBEAT_MS)

    def next_round_at(self) -> float:
        """Return when to send the next batch; sooner if there are new updates."""
        has_reports = self.reports is not None and self.reports.pending
        has_new = self.direct_updates.new or self.indirect_updates.new or has_reports
        return self.last_round_at + (ROUND_INTERVAL_MS if has_new else IDLE_ROUND_INTERVAL_MS)

    def relay_last_seen_at(self) -> float:
        """Return when the latest batch of the relay was received, or when it was chosen."""
        return max(self.relay_since, self.last_batch_at.get(self.relay, -inf))

    def step(self, now: float) -> Iterator[Outgoing]:
        """Perform the pending work, and return the messages to send."""
        pending_forwards, self.pending_forwards = self.pending_forwards, []
        yield from pending_forwards
        self.choose_relay(now)
        if now >= self.next_update_at():
            yield from self.send_update(now)
        elif self.unacknowledged is not None and now >= self.retransmit_at:
            yield from self.send_to_relay(self.unacknowledged, now)
        if self.reports is not None:
            for outgoing in self.reports.step(now):
                yield Outgoing(outgoing.message, outgoing.to)
        if self.is_relay(now):
            yield from self.send_round(now)

    def choose_relay(self, now: float) -> None:
        """Use the first live entry as the relay; the current relay may have ended."""
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
        """Return whether the relay sends no batches, or does not receive this entry's updates."""
        if self.relay == self.domain.vm:
            return False
        if now - self.relay_last_seen_at() >= RELAY_TIMEOUT_MS:
            return True
        return self.unacknowledged is not None and now - self.unacknowledged_since >= ACK_TIMEOUT_MS

    def send_update(self, now: float) -> Iterator[Outgoing]:
        """Send a new update; it repeats the observations of an unacknowledged one."""
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
        """Send an update to the relay, and schedule its retransmission."""
        self.retransmit_at = now + RETRANSMIT_MS
        if self.relay in self.domain.peers:
            yield Outgoing(update, (self.domain.peers[self.relay].address,))

    def send_round(self, now: float) -> Iterator[Outgoing]:
        """Send a batch if it is time for one; each update is in two batches, as one may be lost."""
        if now < self.next_round_at():
            return
        self.last_round_at = now
        peers = list(self.domain.group().values())
        clients = self.relay_clients(now)
        direct, indirect = self.direct_updates.next_round(), self.indirect_updates.next_round()
        reports = () if self.reports is None else self.reports.take_pending()
        if 2 * len(clients) >= len(peers):
            yield from self.fan_out([*indirect, *direct], peers, now, reports)
            return
        if direct or reports:
            yield from self.fan_out(direct, peers, now, reports)
        if clients and (indirect or not direct):
            yield from self.fan_out(indirect, clients, now)

    def relay_clients(self, now: float) -> list[Peer]:
        """Return the entries that use this one as their relay."""
        self.client_seen_at = {
            vm: seen_at
            for vm, seen_at in self.client_seen_at.items()
            if now - seen_at <= CLIENT_TIMEOUT_MS
        }
        group = self.domain.group()
        return [group[vm] for vm in self.client_seen_at if vm in group]

    def fan_out(
        self,
        updates: list[RelayedUpdate],
        to: list[Peer],
        now: float,
        reports: tuple[DomainReport, ...] = (),
    ) -> Iterator[Outgoing]:
        """Send updates and reports to the given entries, in batches that fit in a datagram."""
        for batch in self.make_batches(updates, reports):
            yield from self.fan_out_batch(batch, to, now)

    def make_batches(
        self, updates: list[RelayedUpdate], reports: tuple[DomainReport, ...]
    ) -> Iterator[UpdateBatch]:
        """Return batches that fit in a datagram; the reports are in the first one if they fit."""
        for part in split_updates(updates):
            size = sum(count_items(each.update) for each in part)
            size += sum(count_report_items(report) for report in reports)
            if size <= MAX_BATCH_ITEMS:
                yield UpdateBatch(self.domain.vm, tuple(part), reports=reports)
                reports = ()
            else:
                yield self.make_batch(part)
        for report in reports:
            yield UpdateBatch(self.domain.vm, (), reports=(report,))

    def fan_out_batch(self, batch: UpdateBatch, to: list[Peer], now: float) -> Iterator[Outgoing]:
        """Send a batch to the given entries, with some of the live ones as forwarders."""
        peers = list(to)
        self.domain.random.shuffle(peers)
        forwarders = self.next_forwarders(peers, now)
        chosen = {peer.address for peer in forwarders}
        others = [peer.address for peer in peers if peer.address not in chosen]
        if not forwarders:
            yield Outgoing(batch, tuple(others))
        for number, forwarder in enumerate(forwarders):
            forward_to = tuple(others[number :: len(forwarders)])
            yield Outgoing(replace(batch, forward_to=forward_to), (forwarder.address,))

    def next_forwarders(self, peers: list[Peer], now: float) -> list[Peer]:
        """Return the forwarders of this batch, in rotation; none if there are few receivers."""
        live = [peer for peer in peers if peer.is_live(now)]
        if len(peers) <= 2 * FAN_OUT or not live:
            return []
        live.sort(key=lambda peer: peer.rank)
        wanted = min(len(live), ceil(len(peers) / FAN_OUT))
        begin = self.next_forwarder % len(live)
        self.next_forwarder += wanted
        return [live[(begin + number) % len(live)] for number in range(wanted)]

    def make_batch(self, updates: list[RelayedUpdate]) -> UpdateBatch:
        """Return a batch sent by this entry."""
        return UpdateBatch(self.domain.vm, tuple(updates))

    def receive(self, message: Message, address: Address, now: float) -> list[RelayedUpdate]:
        """Process a message and return the updates in it that are new."""
        match message:
            case CrashNotice():
                self.domain.crashes.receive(message.reports, now, pass_on=True)
                self.schedule_update(True, now)
                return []
            case StateUpdate():
                self.client_seen_at[message.sender] = now
                self.domain.record_contact(now)
                self.domain.add_peer(message.sender, address, now)
                relayed_update = relayed(message, address)
                if not self.receive_update(relayed_update, now):
                    self.retransmit(relayed_update)
                    return []
                self.direct_updates.add(relayed_update)
                return [relayed_update]
            case DomainReport():
                self.receive_report(message, address, now)
                return []
            case FreshnessQuery() | FreshnessAnswer():
                return []
            case UpdateBatch():
                self.last_batch_at[message.sender] = now
                self.domain.record_contact(now)
                if message.forward_to:
                    batch = replace(message, forward_to=())
                    self.pending_forwards.append(Outgoing(batch, message.forward_to))
                if self.reports is not None:
                    self.reports.receive_batch(message.reports, now)
                new_updates = [each for each in message.updates if self.receive_update(each, now)]
                if self.is_relay(now):
                    self.indirect_updates.add(*new_updates)
                return new_updates

    def receive_report(self, report: DomainReport, address: Address, now: float) -> None:
        """Process a report of another group."""
        if self.reports is not None:
            self.pending_forwards += [
                Outgoing(outgoing.message, outgoing.to)
                for outgoing in self.reports.receive(report, address, now)
            ]

    def receive_update(self, relayed_update: RelayedUpdate, now: float) -> bool:
        """Apply one update, and return whether it was new."""
        update = relayed_update.update
        if update.sender == self.domain.vm:
            self.record_acknowledgement(update, now)
            return False
        return self.domain.receive(update, relayed_update.address, now)

    def retransmit(self, relayed_update: RelayedUpdate) -> None:
        """Pass on an update again that its sender repeats, since the batches with it were lost."""
        peer = self.domain.peers.get(relayed_update.update.sender)
        if (
            peer is not None
            and peer.last_update == relayed_update.update
            and relayed_update not in self.direct_updates.new
        ):
            self.direct_updates.add(relayed_update)

    def record_acknowledgement(self, update: StateUpdate, now: float) -> None:
        """Record that an own update came back, and so reached the others, too."""
        pending = self.unacknowledged
        if pending is None or update.started != pending.started:
            return
        if update.number > self.acknowledged:
            self.acknowledged = update.number
            self.unacknowledged_since = now
        if update.number >= pending.number:
            self.unacknowledged = None
            self.retransmit_at = inf


def split_updates(updates: list[RelayedUpdate]) -> Iterator[list[RelayedUpdate]]:
    """Return the updates in parts that fit in a datagram; one empty part if there are none."""
    part: list[RelayedUpdate] = []
    items = 0
    for each in updates:
        size = count_items(each.update)
        if part and items + size > MAX_BATCH_ITEMS:
            yield part
            part, items = [], 0
        part.append(each)
        items += size
    yield part


def count_items(update: StateUpdate) -> int:
    """Return the number of items in an update; the update itself counts as two.

    Examples
    --------
    >>> count_items(StateUpdate("a", 1, 1, {"t1": 2, "t2": 1}))
    4
    """
    parts = (
        update.in_flight,
        update.observations,
        update.retry_usage,
        update.rate_limits,
        update.leaving,
        update.work,
    )
    reports = ITEMS_PER_REPORT * len(update.crash_reports)
    customers = count_customer_items(update.usage) + count_customer_items(update.levels)
    customers += sum(map(count_customer_items, (update.customer_work or {}).values()))
    return 2 + reports + customers + sum(len(part) for part in parts if part)


def count_customer_items(values: Mapping[str, object] | None) -> int:
    """Return the number of items as which values by customer count."""
    return ceil(len(values) / CUSTOMERS_PER_ITEM) if values else 0


def count_report_items(report: DomainReport) -> int:
    """Return the number of items in a report of another group."""
    return 2 + count_customer_items(report.usage) + len(report.room)


def relayed(update: StateUpdate, address: Address) -> RelayedUpdate:
    """Return an update as it is passed on; only a full one has its sender's address."""
    return RelayedUpdate(update, address if update.is_full else None)


def merge_updates(earlier: StateUpdate, later: StateUpdate) -> StateUpdate:
    """Return the later of two updates with the data that only the earlier one has."""
    observations = earlier.observations + later.observations
    dropped = max(0, len(observations) - MAX_OBSERVATIONS)
    return replace(
        later,
        observations=observations[dropped:],
        observations_before=earlier.observations_before + dropped,
        retry_usage=earlier.retry_usage if later.retry_usage is None else later.retry_usage,
        store_status=earlier.store_status if later.store_status is None else later.store_status,
        rate_limits=earlier.rate_limits if later.rate_limits is None else later.rate_limits,
        leaving=earlier.leaving if later.leaving is None else later.leaving,
        crash_reports=(earlier.crash_reports + later.crash_reports)[-MAX_CRASH_REPORTS:],
        usage=merge_usage(earlier.usage, later.usage),
        levels=earlier.levels if later.levels is None else later.levels,
    )


def merge_usage(
    earlier: dict[str, CustomerUsage] | None, later: dict[str, CustomerUsage] | None
) -> dict[str, CustomerUsage] | None:
    """Return the latest counts of each customer; they are cumulative."""
    if earlier is None or later is None:
        return earlier if later is None else later
    return {**earlier, **later}
