"""One VM among the others: the shell round membership, cells and links."""

import asyncio
from collections.abc import Coroutine
from functools import partial
from random import Random

from cactusvane import events
from cactusvane.clock import MS_PER_SECOND, Clock
from cactusvane.configuration.follow import Follower
from cactusvane.configuration.model import Configuration
from cactusvane.events import Event
from cactusvane.fleet.assignment import Assignment
from cactusvane.fleet.cells import keepers
from cactusvane.fleet.membership import Membership
from cactusvane.fleet.messages import (
    Envelope,
    FleetCommand,
    FleetEvent,
    HeadHeard,
    HeadInForce,
    Listed,
    MembersChanged,
    Received,
    SeedsGiven,
    Send,
    Stopping,
    Ticked,
)
from cactusvane.fleet.vm import Address, Vm
from cactusvane.keeper_entry import KeeperEntry
from cactusvane.peers.cell import Cell, CellCommand, ToAll, ToOne
from cactusvane.peers.client import (
    Channels,
    Gossiper,
    KeeperLink,
    fetch_configuration,
    fetch_vms,
)
from cactusvane.peers.messages import (
    EntryMessage,
    Hello,
    KeeperMessage,
    ServiceAsk,
    ServiceCredits,
    ServiceEjection,
    ServiceLeaving,
    ServiceReturn,
)
from cactusvane.peers.server import EntryLink, PeerServer
from cactusvane.pool.messages import (
    EjectionReceived,
    LeavingNoticed,
    LeavingSource,
    ReportEvidence,
    ReportLeaving,
    RestorationReceived,
)
from cactusvane.settings import Settings
from cactusvane.slots.messages import CreditRequest, FleetSizeChanged, KeeperChanged

TICK_MS = 100.0
"""How often time passes in membership and cells."""

SLOT_TICK_MS = 5.0
"""How often time passes in a cell while entries wait for its slots."""

MOST_ASKED = 3
"""VMs that are asked for a configuration or for the VM list."""


class Node:
    """Takes part in the fleet on behalf of one daemon.

    Parameters
    ----------
    settings
        The daemon's settings.
    clock
        The process's clock.
    entry
        What this VM does with callers' requests.
    follower
        Takes heads that peers have in force.
    """

    def __init__(
        self, settings: Settings, clock: Clock, entry: KeeperEntry, follower: Follower
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.entry = entry
        self.follower = follower
        self.random = Random(f"{settings.seed}/{settings.vm}/node")
        self.hello = Hello(settings.vm, settings.failure_domain)
        self.membership = Membership(self.own_vm(), Random(self.random.random()))
        self.channels = Channels()
        self.gossiper = Gossiper(self.channels, self.receive)
        self.server = PeerServer(self)
        self.cells: dict[str, Cell] = {}
        self.assignment = Assignment()
        self.keepers: dict[str, Vm] = {}
        self.links: dict[Address, KeeperLink] = {}
        self.entries: dict[str, EntryLink] = {}
        self.listed: tuple[Vm, ...] | None = None
        self.ticking: asyncio.TimerHandle | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        follower.fetch_from_peers = self.fetch_from_peers
        entry.keeper_placer.send_report = self.report

    def own_vm(self) -> Vm:
        """Return this VM as others see it."""
        settings = self.settings
        return Vm(
            settings.vm,
            settings.listen,
            settings.failure_domain,
            settings.region,
            peer=settings.peer,
        )

    async def start(self) -> None:
        """Listen for other VMs and begin to take part."""
        await self.server.start(self.settings.peer)
        self.tell(SeedsGiven(self.settings.peers))
        self.assign()
        self.start_task(self.run())

    async def run(self) -> None:
        """Let time pass until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(TICK_MS / MS_PER_SECOND)

    async def stop(self) -> None:
        """Say goodbye and close."""
        self.tell(Stopping())
        await asyncio.sleep(0)
        tasks = tuple(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for link in self.links.values():
            await link.close()
        await asyncio.gather(*self.gossiper.calls, return_exceptions=True)
        if self.ticking is not None:
            self.ticking.cancel()
        await self.server.stop()
        await self.channels.close()

    def start_task(self, work: Coroutine[None, None, None]) -> None:
        """Run `work` beside the rest."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def tick(self) -> None:
        """Let time pass in membership and cells."""
        self.tell(Ticked())
        now = self.clock.now()
        for name, cell in self.cells.items():
            self.execute_all(cell.tick(now))
            self.show_targets(name)

    def list_vms(self, vms: tuple[Vm, ...]) -> None:
        """Take in the platform's VM list."""
        self.listed = vms
        self.tell(Listed(tuple(vm for vm in vms if not vm.service and vm.peer is not None)))

    def configure(self, configuration: Configuration) -> None:
        """Take in a configuration that came into force."""
        self.assign()
        if self.follower.head:
            self.tell(HeadInForce(self.follower.head))

    def tell(self, event: FleetEvent) -> None:
        """Give an event to the membership and carry out its commands."""
        for command in self.membership.handle(event, self.clock.now()):
            self.execute(command)

    def execute(self, command: FleetCommand) -> None:
        """Carry out one command of the membership."""
        match command:
            case Send(to, envelope):
                self.gossiper.send(to, envelope)
            case MembersChanged():
                self.assign()
            case HeadHeard(head, vm):
                self.follower.offer(head, vm.failure_domain, vm.peer)

    def receive(self, envelope: Envelope) -> None:
        """Take in a reply of another VM."""
        self.tell(Received(envelope))

    # What the server asks.

    def gossip(self, envelope: Envelope) -> tuple[Envelope, ...]:
        """Take in a message; answers to its sender travel back in the reply."""
        replies: list[Envelope] = []
        for command in self.membership.handle(Received(envelope), self.clock.now()):
            if isinstance(command, Send) and command.to == envelope.sender.vm.peer:
                replies.append(command.envelope)
            else:
                self.execute(command)
        return tuple(replies)

    def find_configuration(self, digest: str) -> bytes | None:
        """Return the stored form of a part of the configuration in force, if it is one."""
        return self.follower.find(digest)

    def list_known(self) -> tuple[Vm, ...] | None:
        """Return the platform's VM list as last seen."""
        return self.listed

    def entry_came(self, link: EntryLink) -> None:
        """Take in the beginning of an entry's stream."""
        self.entries[link.hello.vm] = link

    def entry_said(self, link: EntryLink, message: EntryMessage) -> None:
        """Take in a message of an entry."""
        self.keep(link.hello, message)

    def entry_went(self, link: EntryLink) -> None:
        """Take in the end of an entry's stream."""
        vm = link.hello.vm
        if self.entries.get(vm) is not link:
            return
        del self.entries[vm]
        for cell in self.cells.values():
            self.execute_all(cell.drop(vm, self.clock.now()))

    # This VM as a keeper.

    def keep(self, hello: Hello, message: EntryMessage) -> None:
        """Take in a message of an entry, which may be this VM's own."""
        now = self.clock.now()
        match message:
            case ReportEvidence(service, counts) if service in self.cells:
                cell = self.cells[service]
                self.execute_all(cell.report(hello.vm, hello.failure_domain, counts, now))
            case ReportLeaving(service, target) if service in self.cells:
                self.execute_all((ToAll(ServiceLeaving(service, target)),))
            case ServiceAsk(service, ask) if service in self.cells:
                cell = self.cells[service]
                self.execute_all(cell.ask(hello.vm, hello.failure_domain, ask, now))
                self.tick_soon()
            case _:
                pass

    def execute_all(self, commands: tuple[CellCommand, ...]) -> None:
        """Send what a cell has to say."""
        for command in commands:
            match command:
                case ToAll(message):
                    for link in self.entries.values():
                        link.send(message)
                    self.hear_soon(message)
                case ToOne(vm, message) if vm == self.settings.vm:
                    self.hear_soon(message)
                case ToOne(vm, message) if vm in self.entries:
                    self.entries[vm].send(message)

    def hear_soon(self, message: KeeperMessage) -> None:
        """Hear the own keeper, once what is being done is done."""
        asyncio.get_running_loop().call_soon(self.hear, self.settings.vm, message)

    def tick_soon(self) -> None:
        """Let time pass in the cells while entries wait for slots."""
        if self.ticking is None and any(cell.slots.is_waiting for cell in self.cells.values()):
            loop = asyncio.get_running_loop()
            self.ticking = loop.call_later(SLOT_TICK_MS / MS_PER_SECOND, self.tick_slots)

    def tick_slots(self) -> None:
        """Let time pass for slots."""
        self.ticking = None
        now = self.clock.now()
        for cell in self.cells.values():
            self.execute_all(cell.tick_slots(now))
        self.tick_soon()

    def show_targets(self, name: str) -> None:
        """Tell a cell of the targets that this VM's own pool holds."""
        state = self.entry.keeper_placer.services.get(name)
        if state is None:
            return
        listed = tuple(target.vm for target in state.pool.targets.values())
        warm = tuple(target.vm for target in state.pool.in_use if target.warm_up_started_at is None)
        cell = self.cells[name]
        self.execute_all(cell.list_targets(listed, warm, self.clock.now()))

    # This VM as an entry.

    def assign(self) -> None:
        """Work out anew who keeps which cell, and link to the keepers."""
        live = self.membership.live()
        if self.follower.vms != len(live):
            events.write(Event.FLEET_CHANGED, vms=len(live))
        self.follower.vms = len(live)
        before = self.keepers
        self.assignment.set_vms(live)
        self.assignment.set_cells(self.entry.keeper_placer.services)
        ranked = self.assignment.keepers
        self.keepers = {name: chosen[0] for name, chosen in ranked.items() if chosen}
        self.assign_cells()
        self.assign_links()
        for name, state in self.entry.keeper_placer.services.items():
            state.queue.handle(FleetSizeChanged(len(live)))
            state.queue.send_request = partial(self.ask, name)
            keeper = self.keepers.get(name)
            if keeper is None or before.get(name) != keeper:
                self.change_keeper(name, keeper)

    def assign_cells(self) -> None:
        """Begin and end to keep cells."""
        now = self.clock.now()
        mine = {name for name, vm in self.keepers.items() if vm.name == self.settings.vm}
        for name in self.cells.keys() - mine:
            del self.cells[name]
        for name in mine:
            service = self.entry.keeper_placer.services[name].pool.service
            if name in self.cells:
                self.cells[name].configure(service, now)
            else:
                self.cells[name] = Cell(service)
            self.show_targets(name)

    def assign_links(self) -> None:
        """Hold one stream to each keeper."""
        own = self.settings.peer
        wanted = {vm.peer for vm in self.keepers.values() if vm.peer not in (None, own)}
        for peer in self.links.keys() - wanted:
            self.start_task(self.links.pop(peer).close())
        for peer in wanted - self.links.keys():
            if peer is not None:
                self.links[peer] = self.open_link(peer)

    def open_link(self, peer: Address) -> KeeperLink:
        """Open a stream to a keeper."""
        return KeeperLink(
            self.channels,
            peer,
            self.hello,
            partial(self.hear_peer, peer),
            partial(self.link_changed, peer),
            self.random,
        )

    def change_keeper(self, service: str, keeper: Vm | None) -> None:
        """Tell the gate of a service whether its keeper can be reached."""
        if keeper is not None:
            events.write(Event.KEEPER_CHANGED, service=service, vm=keeper.name)
        self.show_keeper(service)

    def show_keeper(self, service: str) -> None:
        """Tell a gate whether the keeper's stream stands."""
        keeper = self.keepers.get(service)
        own = keeper is not None and keeper.name == self.settings.vm
        link = self.links.get(keeper.peer) if keeper and keeper.peer else None
        reachable = own or (link is not None and link.up)
        self.entry.keeper_placer.services[service].queue.handle(KeeperChanged(reachable))

    def link_changed(self, peer: Address, up: bool) -> None:
        """Take in that the stream to a keeper stands or broke."""
        for service, keeper in self.keepers.items():
            if keeper.peer == peer and service in self.entry.keeper_placer.services:
                self.show_keeper(service)

    def report(self, report: ReportEvidence | ReportLeaving) -> None:
        """Send what the pool has to report to the keeper."""
        self.send(report.service, report)

    def ask(self, service: str, ask: CreditRequest) -> None:
        """Send the gate's ask to the keeper."""
        self.send(service, ServiceAsk(service, ask))

    def send(self, service: str, message: EntryMessage) -> None:
        """Send a message to the keeper of a service."""
        keeper = self.keepers.get(service)
        if keeper is None:
            return
        if keeper.name == self.settings.vm:
            asyncio.get_running_loop().call_soon(self.keep, self.hello, message)
        elif keeper.peer in self.links:
            self.links[keeper.peer].send(message)

    def hear_peer(self, peer: Address, message: KeeperMessage) -> None:
        """Take in what a keeper says on its stream."""
        keeper = self.keepers.get(message.service)
        if keeper is not None and keeper.peer == peer:
            self.hear(keeper.name, message)

    def hear(self, keeper: str, message: KeeperMessage) -> None:
        """Take in what the keeper of a service says."""
        state = self.entry.keeper_placer.services.get(message.service)
        known = self.keepers.get(message.service)
        if state is None or known is None or known.name != keeper:
            return
        match message:
            case ServiceEjection(_, ejection):
                self.entry.keeper_placer.handle(state.pool, EjectionReceived(ejection))
            case ServiceReturn(_, target):
                self.entry.keeper_placer.handle(state.pool, RestorationReceived(target))
            case ServiceLeaving(_, target):
                self.entry.keeper_placer.handle(
                    state.pool, LeavingNoticed(target, LeavingSource.RESPONSE)
                )
            case ServiceCredits(_, answer):
                state.queue.handle(answer)

    # What other VMs have.

    def someone(self) -> tuple[Address, ...]:
        """Return a few VMs to ask, of different failure domains where possible."""
        live = [vm for vm in self.membership.live() if vm.name != self.settings.vm]
        chosen = keepers(f"{self.random.random()}", live, MOST_ASKED)
        found = tuple(vm.peer for vm in chosen if vm.peer is not None)
        return found or self.settings.peers[:MOST_ASKED]

    async def fetch_from_peers(self, wanted: str, sources: tuple[Address, ...]) -> bytes | None:
        """Ask peers for a part of a stored configuration; None where none has it."""
        peers = sources[:MOST_ASKED] or self.someone()
        return await fetch_configuration(self.channels, wanted, peers)

    async def fetch_list(self) -> tuple[Vm, ...] | None:
        """Ask peers for the VM list; None where none has one."""
        vms = await fetch_vms(self.channels, self.someone())
        if vms is not None:
            events.write(Event.LISTED_BY_PEER, vms=len(vms))
        return vms
