"""What a keeper holds for one service."""

from dataclasses import dataclass

from cactusvane.configuration.model import Service
from cactusvane.fleet.vm import Vm
from cactusvane.peers.messages import (
    KeeperMessage,
    ServiceCredits,
    ServiceEjection,
    ServiceReturn,
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
    """A message for all entries."""

    message: KeeperMessage


@dataclass(frozen=True, slots=True)
class ToOne:
    """A message for one entry, named by its VM."""

    vm: str
    message: KeeperMessage


CellCommand = ToAll | ToOne


class Cell:
    """Evidence and slots of one service's targets, at its keeper.

    Parameters
    ----------
    service
        The operators' file in force.
    """

    def __init__(self, service: Service) -> None:
        self.service = service
        self.evidence = EvidenceKeeper(service)
        self.slots = SlotKeeper(service.slots)

    def configure(self, service: Service, now: float) -> None:
        """Go by another version of the operators' file."""
        if service == self.service:
            return
        if service.slots != self.service.slots:
            self.slots = SlotKeeper(service.slots)
        self.service = service
        self.evidence.handle(ServiceChanged(service), now)

    def list_targets(
        self, listed: tuple[Vm, ...], usable: tuple[Vm, ...], now: float
    ) -> tuple[CellCommand, ...]:
        """Take in which targets there are, and which may take new work."""
        commands = self.judge(TargetsListed(listed), now)
        return commands + self.lend(TargetsInUse(usable), now)

    def report(
        self, vm: str, failure_domain: str, counts: tuple[TargetCounts, ...], now: float
    ) -> tuple[CellCommand, ...]:
        """Take in an entry's evidence."""
        return self.judge(EvidenceReported(vm, failure_domain, counts), now)

    def ask(
        self, vm: str, failure_domain: str, ask: CreditRequest, now: float
    ) -> tuple[CellCommand, ...]:
        """Take in an entry's ask for slots."""
        return self.lend(CreditRequestReceived(vm, failure_domain, ask), now)

    def drop(self, vm: str, now: float) -> tuple[CellCommand, ...]:
        """Take in that an entry has gone."""
        return self.lend(EntryDisconnected(vm), now)

    def tick(self, now: float) -> tuple[CellCommand, ...]:
        """Let time pass."""
        return self.judge(Ticked(), now) + self.tick_slots(now)

    def tick_slots(self, now: float) -> tuple[CellCommand, ...]:
        """Let time pass for the slots alone."""
        return self.lend(SlotsTicked(), now)

    def judge(self, event: KeeperEvent, now: float) -> tuple[CellCommand, ...]:
        """Give an event to the evidence."""
        commands: list[CellCommand] = []
        for command in self.evidence.handle(event, now):
            match command:
                case Ejection():
                    commands.append(ToAll(ServiceEjection(self.service.name, command)))
                case Restoration(target):
                    commands.append(ToAll(ServiceReturn(self.service.name, target)))
        return tuple(commands)

    def lend(self, event: SlotKeeperEvent, now: float) -> tuple[CellCommand, ...]:
        """Give an event to the slots."""
        return tuple(
            ToOne(grant.entry, ServiceCredits(self.service.name, grant.response))
            for grant in self.slots.handle(event, now)
        )
