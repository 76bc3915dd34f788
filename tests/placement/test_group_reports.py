"""Reports between groups, from relay to relay and on to all entries."""

import heapq
from collections.abc import Callable
from itertools import count
from random import Random

from msgspec.structs import replace

from cactusvane.fleet.vm import Address, Vm
from cactusvane.placement.domain import Domain
from cactusvane.placement.endpoint import ENCODER, MAX_DATAGRAM_BYTES
from cactusvane.placement.group_reports import REPORT_INTERVAL_MS, GroupReports, OwnGroup
from cactusvane.placement.messages import (
    CustomerUsage,
    DomainReport,
    Message,
    RelayedUpdate,
    StateUpdate,
    StoreStatus,
    UpdateBatch,
)
from cactusvane.placement.relaying import MAX_BATCH_ITEMS, Relaying, count_items, merge_updates

STORE_STATUS = StoreStatus(True, 10.0, None, {})
DOMAINS = ("z0", "z1", "z2")
DELAY_MS = 2.0


class FleetEntry:
    """An entry with its relaying and reports."""

    def __init__(self, fleet: "ReportingFleet", name: str, domain: str, address: Address) -> None:
        self.fleet = fleet
        self.address = address
        self.received: list[DomainReport] = []
        self.running = True
        self.domain = Domain(name, domain, 1, Random(name))
        self.relaying = Relaying(self.domain, address, lambda: STORE_STATUS, 0.0)
        self.reports = GroupReports(
            name, 1, self.own_group, self.known_entries, lambda: fleet.seeds, Random(name)
        )
        self.relaying.reports = self.reports
        self.reports.listeners.append(lambda report, now: self.received.append(report))

    def own_group(self) -> OwnGroup:
        return OwnGroup(self.domain.group_key(), self.domain.group(), self.relaying.relay)

    def known_entries(self) -> list[Vm]:
        return self.fleet.listed

    def fill(self, report: DomainReport, now: float) -> DomainReport:
        return replace(report, usage={"a": CustomerUsage(report.number, report.number)})


class ReportingFleet:
    """Entries of three failure domains on a network without losses, and a clock."""

    def __init__(self, entries: int, active: bool = True) -> None:
        self.now = 0.0
        self.order = count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.sent: list[Message] = []
        self.entries = [
            FleetEntry(self, f"{domain}-{number}", domain, Address(f"10.0.{index}.1", number + 1))
            for index, domain in enumerate(DOMAINS)
            for number in range(entries)
        ]
        self.by_address = {entry.address: entry for entry in self.entries}
        self.listed = [
            Vm(e.domain.vm, e.address, e.domain.failure_domain, peer=e.address)
            for e in self.entries
        ]
        self.seeds: list[Address] = []
        for entry in self.entries:
            if active:
                entry.reports.fills.append(entry.fill)
            for other in self.entries:
                if other.domain.failure_domain == entry.domain.failure_domain:
                    entry.domain.add_peer(other.domain.vm, other.address, 0.0)
            for peer in entry.domain.peers.values():
                entry.relaying.introduce(peer.address)
            self.after(0.0, lambda entry=entry: self.step(entry))  # type: ignore[misc]

    def after(self, delay: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + delay, next(self.order), action))

    def step(self, entry: FleetEntry) -> None:
        if not entry.running:
            return
        for outgoing in entry.relaying.step(self.now):
            for address in outgoing.to:
                self.send(entry, outgoing.message, address)
        self.after(5.0, lambda: self.step(entry))

    def send(self, sender: FleetEntry, message: Message, address: Address) -> None:
        receiver = self.by_address.get(address)
        self.sent.append(message)

        def arrive() -> None:
            if receiver is not None and receiver.running:
                receiver.relaying.receive(message, sender.address, self.now)

        self.after(DELAY_MS, arrive)

    def run(self, until: float) -> None:
        while self.events and self.events[0][0] < until:
            self.now, _, action = heapq.heappop(self.events)
            action()

    def relay(self, domain: str) -> FleetEntry:
        (relay,) = [
            entry
            for entry in self.entries
            if entry.running
            and entry.domain.failure_domain == domain
            and entry.relaying.relay == entry.domain.vm
        ]
        return relay

    def check_ages(self, max_age_ms: float) -> None:
        """Check that each entry has a recent report of each other failure domain."""
        for entry in self.entries:
            if not entry.running:
                continue
            for domain in DOMAINS:
                if domain == entry.domain.failure_domain:
                    continue
                newest = max(r.number for r in entry.received if r.failure_domain == domain)
                behind = self.relay(domain).reports.number - newest
                assert behind * REPORT_INTERVAL_MS <= max_age_ms, entry.domain.vm


def test_all_entries_get_the_reports_of_all_other_failure_domains() -> None:
    """Guards against reports that only reach the relays."""
    fleet = ReportingFleet(12)
    fleet.run(3_000.0)
    fleet.check_ages(200.0)
    for entry in fleet.entries:
        assert all(r.failure_domain != entry.domain.failure_domain for r in entry.received)


def test_each_report_is_applied_once() -> None:
    """Guards against usage that is counted for each way by which a report arrives."""
    fleet = ReportingFleet(12)
    fleet.run(3_000.0)
    for entry in fleet.entries:
        numbers = [(report.sender, report.number) for report in entry.received]
        assert len(numbers) == len(set(numbers))


def test_another_relay_takes_over() -> None:
    """Guards against reports that go on to a relay that has ended."""
    fleet = ReportingFleet(12)
    fleet.run(3_000.0)
    fleet.relay("z1").running = False
    fleet.run(6_000.0)
    for entry in fleet.entries:
        entry.received.clear()
    fleet.run(7_000.0)
    fleet.check_ages(200.0)


def test_the_seeds_are_used_while_the_directory_does_not_respond() -> None:
    """Guards against failure domains that never find each other in an outage of the platform."""
    fleet = ReportingFleet(12)
    fleet.listed = []
    fleet.seeds = [fleet.entries[5].address, fleet.entries[17].address, fleet.entries[29].address]
    fleet.run(4_000.0)
    fleet.check_ages(300.0)


def test_nothing_is_sent_without_contents() -> None:
    """Guards against bytes where the platform asks for no quotas."""
    fleet = ReportingFleet(4, active=False)
    fleet.run(3_000.0)
    assert not any(isinstance(message, DomainReport) for message in fleet.sent)
    batches = [message for message in fleet.sent if isinstance(message, UpdateBatch)]
    assert batches
    assert not any(batch.reports for batch in batches)


def usage(customers: int, first: int = 0) -> dict[str, CustomerUsage]:
    return {
        f"customer-{number}": CustomerUsage(number, number)
        for number in range(first, first + customers)
    }


def test_merged_updates_have_the_latest_counts_of_each_customer() -> None:
    """Guards against usage that is lost with an update that did not come back."""
    earlier = StateUpdate("e", 1, 1, {}, usage=usage(2), levels={"x": 1.0})
    later = StateUpdate("e", 2, 1, {}, usage={"customer-1": CustomerUsage(9, 9)})
    merged = merge_updates(earlier, later)
    assert merged.usage == {"customer-0": CustomerUsage(0, 0), "customer-1": CustomerUsage(9, 9)}
    assert merged.levels == {"x": 1.0}
    assert merge_updates(later, StateUpdate("e", 3, 1, {})).usage == later.usage


def test_batches_with_usage_fit_in_a_datagram() -> None:
    """Guards against batches that cannot be sent when many customers are active."""
    fleet = ReportingFleet(2)
    relaying = fleet.entries[0].relaying
    levels = dict.fromkeys(usage(400), -1234.5)
    update = StateUpdate("e" * 20, 1, 1, {}, usage=usage(400, 10**12), levels=levels)
    assert count_items(update) <= MAX_BATCH_ITEMS
    updates = [RelayedUpdate(update)] * 5
    reports = tuple(
        DomainReport(f"r{number}", f"z{number}", 0, 1, 1, usage(400, 10**12)) for number in range(4)
    )
    batches = list(relaying.make_batches(updates, reports))
    assert sum(len(batch.updates) for batch in batches) == 5
    assert sum(len(batch.reports) for batch in batches) == 4
    assert all(len(ENCODER.encode(batch)) <= MAX_DATAGRAM_BYTES for batch in batches)
