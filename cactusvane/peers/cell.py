"""The state that a keeper holds for one service."""

from dataclasses import dataclass

from cactusvane.configuration.model import Service
from cactusvane.fleet.vm import Address, Vm
from cactusvane.peers.messages import (
    KeeperMessage,
    ServiceCredits,
    ServiceEjection,
    ServiceLeaving,
    ServiceRestoration,
)
from cactusvane.pool.keeper import EvidenceKeeper
from cactusvane.pool.messages import (
    Ejection,
    EvidenceReported,
    KeeperEvent,
    Restoration,
    ServiceChanged,
    TargetCounts,
    TargetsListed,
    Ticked,
)
from cactusvane.slots.keeper import SlotKeeper
from cactusvane.slots.messages import (
    CreditRequest,
    CreditRequestReceived,
    EntryDisconnected,
    SlotKeeperEvent,
    TargetsInUse,
)
from cactusvane.slots.messages import Ticked as SlotsTicked


@dataclass(frozen=True, slots=True)
class ToAll:
    """Send a message to all entries."""

    message: KeeperMessage


@dataclass(frozen=True, slots=True)
class ToOne:
    """Send a message to one entry, named by its VM."""

    vm: str
    message: KeeperMessage


CellCommand = ToAll | ToOne


class Cell:
    """Evidence and slots of one service's targets, held by its keeper.

    Performs no I/O; the current time is passed in, in milliseconds (monotonic clock).

    Parameters
    ----------
    service
        The active service configuration.

    Attributes
    ----------
    leaving
        Until when entries that connect are told that a target is leaving.
    """

    def __init__(self, service: Service) -> None:
        self.service = service
        self.leaving: dict[Address, float] = {}
        self.evidence = EvidenceKeeper(service)
        self.slots = SlotKeeper(service.slots)

    def configure(self, service: Service, now: float) -> None:
        """Apply another version of the service configuration."""
        if service == self.service:
            return
        if service.slots != self.service.slots:
            self.slots = SlotKeeper(service.slots)
        self.service = service
        self.evidence.handle(ServiceChanged(service), now)

    def update_targets(
        self, listed: tuple[Vm, ...], usable: tuple[Vm, ...], now: float
    ) -> tuple[CellCommand, ...]:
        """Set the listed targets and those that accept new requests."""
        commands = self.handle_evidence_event(TargetsListed(listed), now)
        return commands + self.handle_slot_event(TargetsInUse(usable), now)

    def record_evidence(
        self, vm: str, failure_domain: str, counts: tuple[TargetCounts, ...], now: float
    ) -> tuple[CellCommand, ...]:
        """Record evidence reported by an entry."""
        return self.handle_evidence_event(EvidenceReported(vm, failure_domain, counts), now)

    def record_leaving(self, target: Address, now: float) -> tuple[CellCommand, ...]:
        """Record an entry's report that a target is leaving; entries repeat their reports."""
        if target in self.leaving:
            return ()
        self.leaving[target] = now + self.service.leaving.drain_ms
        return (ToAll(ServiceLeaving(self.service.name, target)),)

    def add_entry(self, vm: str) -> tuple[CellCommand, ...]:
        """Tell an entry that has connected which targets are leaving."""
        name = self.service.name
        return tuple(ToOne(vm, ServiceLeaving(name, target)) for target in self.leaving)

    def request_credits(
        self, vm: str, failure_domain: str, request: CreditRequest, now: float
    ) -> tuple[CellCommand, ...]:
        """Handle a credit request of an entry."""
        return self.handle_slot_event(CreditRequestReceived(vm, failure_domain, request), now)

    def remove_entry(self, vm: str, now: float) -> tuple[CellCommand, ...]:
        """Remove an entry that has disconnected."""
        return self.handle_slot_event(EntryDisconnected(vm), now)

    def tick(self, now: float) -> tuple[CellCommand, ...]:
        """Advance the time of leaving targets, evidence and slots."""
        self.leaving = {target: until for target, until in self.leaving.items() if now < until}
        return self.handle_evidence_event(Ticked(), now) + self.tick_slots(now)

    def tick_slots(self, now: float) -> tuple[CellCommand, ...]:
        """Advance the time of the slots only."""
        return self.handle_slot_event(SlotsTicked(), now)

    def handle_evidence_event(self, event: KeeperEvent, now: float) -> tuple[CellCommand, ...]:
        """Pass an event to the evidence and return the resulting messages."""
        commands: list[CellCommand] = []
        for command in self.evidence.handle(event, now):
            match command:
                case Ejection():
                    commands.append(ToAll(ServiceEjection(self.service.name, command)))
                case Restoration(target):
                    commands.append(ToAll(ServiceRestoration(self.service.name, target)))
        return tuple(commands)

    def handle_slot_event(self, event: SlotKeeperEvent, now: float) -> tuple[CellCommand, ...]:
        """Pass an event to the slots and return the resulting messages."""
        return tuple(
            ToOne(grant.entry, ServiceCredits(self.service.name, grant.response))
            for grant in self.slots.handle(event, now)
        )
