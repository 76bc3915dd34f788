"""Simulation of the entries of three failure domains that keep the quotas of customers.

Runs on a virtual clock and without sockets: `FleetQuotas` decides, and the messages between entries
arrive late or not at all. An update takes 5 ms to be sent and some milliseconds to the relay, which
passes it on in rounds of 50 ms; a report to another group is sent every 100 ms.
"""

import heapq
from bisect import bisect_left
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import count
from random import Random

from cactusvane.clock import MS_PER_SECOND
from cactusvane.configuration.model import Customer
from cactusvane.placement.messages import DomainReport, StateUpdate
from cactusvane.quota.decisions import Admitted
from cactusvane.quota.quotas import FleetQuotas
from cactusvane.quota.settings import QuotaSettings

WINDOW_MS = 5_000.0
OVER_SHARE = 0.1
SLACK = 20.0

UPDATE_MS = 5.0
ROUND_MS = 50.0
REPORT_MS = 100.0
TICK_MS = 100.0
FULL_MS = 500.0
HEARTBEAT_MS = 1_000.0
RELAY_TIMEOUT_MS = 300.0


@dataclass(slots=True)
class Load:
    """A customer with its limit and its requests.

    Parameters
    ----------
    usual_per_s
        Requests per second outside a burst of load.
    factor
        What they are multiplied by from `hot_from` to `hot_until`, in milliseconds.
    before, changed_at
        The customer before its limit was changed, and when, in milliseconds.
    """

    customer: Customer
    usual_per_s: float
    factor: float = 1.0
    hot_from: float = 4_000.0
    hot_until: float = 10_500.0
    before: Customer | None = None
    changed_at: float = 0.0

    def per_s(self, now: float) -> float:
        """Return the requests per second now."""
        is_hot = self.hot_from <= now < self.hot_until
        return self.usual_per_s * (self.factor if is_hot else 1.0)


@dataclass(slots=True)
class Node:
    """One entry.

    Parameters
    ----------
    quotas
        Its replicas.
    frozen_until
        End of the time in which it does nothing; what is sent to it waits.
    deaf, mute
        Whether it receives nothing; whether nothing of it arrives.
    running
        Whether it has not ended.
    """

    vm: str
    domain: str
    quotas: FleetQuotas
    started: int = 1
    number: int = 0
    reports: int = 0
    update_due: bool = False
    full_at: float = -FULL_MS
    sent_at: float = 0.0
    frozen_until: float = 0.0
    deaf: bool = False
    mute: bool = False
    running: bool = True
    inbox: list[Callable[[], None]] = field(default_factory=list)
    outbox: list[tuple[str, StateUpdate]] = field(default_factory=list)
    reports_in: dict[str, DomainReport] = field(default_factory=dict)
    relay: str = ""
    relay_heard_at: float = 0.0
    avoided: dict[str, float] = field(default_factory=dict)
    known: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class Tally:
    """What happened to the requests of one customer."""

    admitted: list[float] = field(default_factory=list)
    asked: int = 0
    rejected: int = 0


class QuotaReplay:
    """One run of the simulation."""

    def __init__(
        self,
        loads: Iterable[Load],
        seed: int,
        entries: int = 12,
        loss: float = 0.02,
        starts_full: bool = True,
    ) -> None:
        self.random = Random(seed)
        self.loss = loss
        self.now = 0.0
        self.order = count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.domains = ("z0", "z1", "z2")
        self.loads = {load.customer.name: load for load in loads}
        self.tallies = {name: Tally() for name in self.loads}
        self.cut: set[str] = set()
        self.nodes: dict[str, Node] = {}
        for domain in self.domains:
            for number in range(entries):
                self.start_node(f"{domain}-{number:02}", domain, starts_full)
        for name in self.loads:
            self.after(0.0, lambda name=name: self.arrive(name))  # type: ignore[misc]

    def start_node(self, vm: str, domain: str, starts_full: bool) -> None:
        """Start an entry, again if it was there."""
        before = self.nodes.get(vm)
        quotas = FleetQuotas(
            domain, self.domains, QuotaSettings(), Random(f"{vm}{self.now}"), self.now, starts_full
        )
        quotas.configure([load.customer for load in self.loads.values()], self.now)
        started = 1 if before is None else before.started + 1
        node = Node(vm, domain, quotas, started, relay_heard_at=self.now)
        quotas.is_relay = lambda: node.relay == node.vm
        self.nodes[vm] = node
        if before is not None:
            before.running = False
        for action, interval_ms in (
            (self.tick, TICK_MS),
            (self.send_round, ROUND_MS),
            (self.send_report, REPORT_MS),
        ):
            self.repeat(node, action, interval_ms, self.random.random() * interval_ms)

    def after(self, delay: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self.events, (self.now + delay, next(self.order), action))

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time."""
        self.after(time - self.now, action)

    def repeat(
        self, node: Node, action: Callable[[Node], None], interval_ms: float, delay: float
    ) -> None:
        """Run an action of an entry regularly until it ends; not while it is frozen."""

        def run() -> None:
            if not node.running:
                return
            if self.now >= node.frozen_until:
                action(node)
            self.repeat(node, action, interval_ms, interval_ms)

        self.after(delay, run)

    def run(self, until: float) -> None:
        """Run until a time in milliseconds."""
        while self.events and self.events[0][0] < until:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = until

    # Requests

    def arrive(self, name: str) -> None:
        """Receive a request of a customer at any entry, and schedule the next."""
        per_s = self.loads[name].per_s(self.now)
        self.after(self.random.expovariate(per_s) * MS_PER_SECOND, lambda: self.arrive(name))
        node = self.nodes[self.random.choice(list(self.nodes))]
        if node.running:
            self.request(node, name)

    def request(self, node: Node, name: str) -> None:
        """Decide on a request; a frozen entry does so when it wakes."""
        if self.now < node.frozen_until:
            node.inbox.append(lambda: self.request(node, name))
            return
        tally = self.tallies[name]
        tally.asked += 1
        if isinstance(node.quotas.admit(name, self.now), Admitted):
            tally.admitted.append(self.now)
        else:
            tally.rejected += 1
        self.schedule_update(node)

    # Messages

    def deliver(self, sender: Node, receiver: Node, action: Callable[[], None]) -> None:
        """Run an action at another entry, late or never."""
        is_cut = sender.domain != receiver.domain and (
            sender.domain in self.cut or receiver.domain in self.cut
        )
        if sender.mute or is_cut or self.random.random() < self.loss:
            return

        def arrive() -> None:
            if receiver.deaf or not receiver.running:
                return
            if self.now < receiver.frozen_until:
                receiver.inbox.append(action)
            else:
                action()

        self.after(self.random.uniform(2.0, 25.0), arrive)

    def freeze(self, node: Node, lasts_ms: float) -> None:
        """Stop an entry for some time; then it first handles what arrived meanwhile."""
        node.frozen_until = self.now + lasts_ms

        def wake() -> None:
            inbox, node.inbox = node.inbox, []
            for action in inbox:
                action()

        self.after(lasts_ms, wake)

    def schedule_update(self, node: Node) -> None:
        """Send an update soon."""
        if not node.update_due:
            node.update_due = True
            self.after(UPDATE_MS, lambda: self.send_update(node))

    def send_update(self, node: Node) -> None:
        """Send an update to the relay."""
        if not node.running or self.now < node.frozen_until:
            node.update_due = False
            return
        node.update_due = False
        node.sent_at = self.now
        full = self.now - node.full_at >= FULL_MS
        if full:
            node.full_at = self.now
        node.number += 1
        quotas = node.quotas
        update = StateUpdate(
            node.vm,
            node.number,
            node.started,
            {},
            usage=quotas.take_usage(full, self.now),
            levels=quotas.take_levels(full, self.now),
        )
        relay = self.nodes.get(node.relay)
        if relay is node:
            node.outbox.append((node.vm, update))
        elif relay is not None:
            self.deliver(node, relay, lambda: self.receive_direct(relay, node.vm, update))

    def receive_direct(self, node: Node, sender: str, update: StateUpdate) -> None:
        """Take an update that is to be passed on."""
        self.receive_update(node, update)
        node.outbox.append((sender, update))

    def receive_update(self, node: Node, update: StateUpdate) -> None:
        """Apply an update."""
        if update.sender == node.vm:
            return
        source = node.quotas.peers.get(update.sender)
        node.known[update.sender] = self.now
        node.quotas.heard(self.now)
        if source is None or (update.started, update.number) > (source.started, source.number):
            node.quotas.receive_update(update, self.now)
            node.quotas.peers[update.sender].number = update.number

    def send_round(self, node: Node) -> None:
        """Pass on updates and reports to the group."""
        self.choose_relay(node)
        if node.relay != node.vm:
            return
        updates, node.outbox = node.outbox, []
        reports, node.reports_in = node.reports_in, {}

        for other in self.nodes.values():
            if other is node or other.domain != node.domain:
                continue

            def receive(other: Node = other) -> None:
                other.quotas.heard(self.now)
                other.known[node.vm] = self.now
                if other.relay == node.vm:
                    other.relay_heard_at = self.now
                for _, update in updates:
                    self.receive_update(other, update)
                for report in reports.values():
                    other.quotas.receive_report(report, self.now)

            self.deliver(node, other, receive)

    def send_report(self, node: Node) -> None:
        """Report to the relays of the other groups."""
        if node.relay != node.vm:
            return
        node.reports += 1
        usage = node.quotas.take_group_usage(self.now)
        report = DomainReport(node.vm, node.domain, 0, node.reports, node.started, usage)
        for domain in self.domains:
            relay = next(
                (n for n in self.nodes.values() if n.domain == domain and n.relay == n.vm), None
            )
            if domain != node.domain and relay is not None:
                self.deliver(node, relay, lambda relay=relay: self.take_report(relay, report))

    def take_report(self, node: Node, report: DomainReport) -> None:
        """Apply a report, and pass it on in the next round."""
        node.quotas.receive_report(report, self.now)
        node.reports_in[report.sender] = report

    def tick(self, node: Node) -> None:
        """Run the periodic work of an entry."""
        node.quotas.tick(self.now)
        if self.now - node.sent_at >= HEARTBEAT_MS:
            self.schedule_update(node)

    def choose_relay(self, node: Node) -> None:
        """Use the first live entry as the relay."""
        if node.relay != node.vm and self.now - node.relay_heard_at > RELAY_TIMEOUT_MS:
            node.avoided[node.relay] = self.now + 3_000.0
        names = [
            vm
            for vm, seen_at in node.known.items()
            if self.now - seen_at < 2_500.0 and self.now >= node.avoided.get(vm, 0.0)
        ]
        if self.now < 200.0:
            names += [vm for vm, other in self.nodes.items() if other.domain == node.domain]
        relay = min([*names, node.vm])
        if relay != node.relay:
            node.relay, node.relay_heard_at = relay, self.now

    # Results

    def worst_excess(self, name: str) -> float:
        """Return by how many requests any window exceeds what is allowed; negative if none."""
        admitted = self.tallies[name].admitted
        return max(
            (
                number + 1 - bisect_left(admitted, at - WINDOW_MS) - self.allowed(name, at)
                for number, at in enumerate(admitted)
            ),
            default=0.0,
        )

    def allowed(self, name: str, end: float) -> float:
        """Return how many requests may run in the window that ends at a time in milliseconds.

        In a window in which the limit changes, each rate counts for its part, and the larger burst.
        """
        load = self.loads[name]
        customer, before = load.customer, load.before or load.customer
        old_ms = min(WINDOW_MS, max(0.0, load.changed_at - (end - WINDOW_MS)))
        tokens = before.rate_per_s * old_ms + customer.rate_per_s * (WINDOW_MS - old_ms)
        burst = before.burst if old_ms > 0.0 else customer.burst
        return (tokens / MS_PER_SECOND + burst) * (1.0 + OVER_SHARE) + SLACK

    def lower_limit(self, name: str, factor: float) -> None:
        """Lower the limit of a customer at all entries, each within 50 ms."""
        load = self.loads[name]
        load.before, load.changed_at = load.customer, self.now + 50.0
        load.customer = Customer(
            name, (), load.customer.rate_per_s * factor, load.customer.burst * factor
        )
        customers = [each.customer for each in self.loads.values()]
        for node in self.nodes.values():
            delay = self.random.uniform(0.0, 50.0)
            self.after(delay, lambda node=node: node.quotas.configure(customers, self.now))  # type: ignore[misc]

    def excesses(self) -> dict[str, float]:
        """Return the customers whose windows exceed what is allowed, and by how much."""
        found = {name: round(self.worst_excess(name), 1) for name in self.loads}
        return {name: excess for name, excess in found.items() if excess > 0.0}

    def rejected_share(self, *names: str) -> float:
        """Return the share of the requests of some customers that were rejected."""
        tallies = [self.tallies[name] for name in names]
        return sum(t.rejected for t in tallies) / max(1, sum(t.asked for t in tallies))


def make_load(name: str, usual_per_s: float, factor: float = 1.0) -> Load:
    """Return a customer whose limit is 1.6 times its usual load, and its burst one second of it."""
    limit = 1.6 * usual_per_s
    return Load(Customer(name, (), limit, limit), usual_per_s, factor)


def zipf_loads(customers: int, total_per_s: float, *hot: str) -> list[Load]:
    """Return customers whose shares of the load fall as rank^-1.2; `hot` ones send 7.5 times it."""
    weights = [(rank + 1) ** -1.2 for rank in range(customers)]
    return [
        make_load(
            f"c{rank}", total_per_s * weight / sum(weights), 7.5 if f"c{rank}" in hot else 1.0
        )
        for rank, weight in enumerate(weights)
    ]
