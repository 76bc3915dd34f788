"""One VM's participation in the fleet: the I/O around membership, cells and keeper links."""

import asyncio
from collections.abc import Coroutine
from functools import partial
from random import Random

from cactusvane import events
from cactusvane.clock import MS_PER_SECOND, Clock
from cactusvane.configuration.follower import ConfigurationFollower
from cactusvane.configuration.model import Configuration
from cactusvane.events import Event
from cactusvane.fleet.assignment import Assignment
from cactusvane.fleet.cells import keepers
from cactusvane.fleet.membership import Membership
from cactusvane.fleet.messages import (
    Envelope,
    FleetCommand,
    FleetEvent,
    HeadInForce,
    MembersChanged,
    MessageReceived,
    NewerHeadSeen,
    SeedsReceived,
    Send,
    Stopping,
    Ticked,
    VmListReceived,
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
    ServiceCreditRequest,
    ServiceCredits,
    ServiceEjection,
    ServiceLeaving,
    ServiceRestoration,
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

TICK_INTERVAL_MS = 100.0
"""Interval in milliseconds between ticks of the membership and the cells."""

SLOT_TICK_INTERVAL_MS = 5.0
"""Interval in milliseconds between ticks of a cell while entries wait for its slots."""

LEAVING_REPORT_INTERVAL_MS = 500.0
"""Interval at which an entry repeats its reports of leaving targets; one may have been lost."""

MAX_PEERS_ASKED = 3
"""Maximum number of VMs asked for a configuration or for the VM list."""


class Node:
    """Takes part in the fleet on behalf of one daemon.

    Parameters
    ----------
    settings
        Settings of the daemon.
    clock
        Clock of the process.
    entry
        The entry of this VM, which serves callers' requests.
    follower
        The configuration follower, which is offered the heads that are active at peers.
    """

    def __init__(
        self, settings: Settings, clock: Clock, entry: KeeperEntry, follower: ConfigurationFollower
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.entry = entry
        self.follower = follower
        self.random = Random(f"{settings.seed}/{settings.vm}/node")
        self.hello = Hello(settings.vm, settings.failure_domain)
        self.membership = Membership(self.own_vm(), Random(self.random.random()))
        self.channels = Channels()
        self.gossiper = Gossiper(self.channels, self.receive_reply)
        self.server = PeerServer(self)
        self.cells: dict[str, Cell] = {}
        self.assignment = Assignment()
        self.keepers: dict[str, Vm] = {}
        self.links: dict[Address, KeeperLink] = {}
        self.entry_links: dict[str, EntryLink] = {}
        self.vm_list: tuple[Vm, ...] | None = None
        self.leaving_reports_due_at = 0.0
        self.slot_timer: asyncio.TimerHandle | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        follower.fetch_from_peers = self.fetch_from_peers
        entry.keeper_placer.send_report = self.send_report

    def own_vm(self) -> Vm:
        """Return this VM as other VMs see it."""
        settings = self.settings
        return Vm(
            settings.vm,
            settings.listen,
            settings.failure_domain,
            settings.region,
            peer=settings.peer,
        )

    async def start(self) -> None:
        """Listen for other VMs and join the fleet."""
        await self.server.start(self.settings.peer)
        self.handle(SeedsReceived(self.settings.peers))
        self.update_assignment()
        self.start_task(self.run())

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(TICK_INTERVAL_MS / MS_PER_SECOND)

    async def stop(self) -> None:
        """Announce that this VM stops, and close all connections."""
        self.handle(Stopping())
        await asyncio.sleep(0)
        tasks = tuple(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for link in self.links.values():
            await link.close()
        await asyncio.gather(*self.gossiper.calls, return_exceptions=True)
        if self.slot_timer is not None:
            self.slot_timer.cancel()
        await self.server.stop()
        await self.channels.close()

    def start_task(self, work: Coroutine[None, None, None]) -> None:
        """Run `work` as a background task."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def tick(self) -> None:
        """Advance the time of the membership and the cells."""
        self.handle(Ticked())
        now = self.clock.now()
        for name, cell in self.cells.items():
            self.execute_cell_commands(cell.tick(now))
            self.update_cell_targets(name)
        if now >= self.leaving_reports_due_at:
            self.leaving_reports_due_at = now + LEAVING_REPORT_INTERVAL_MS
            self.repeat_leaving_reports()

    def repeat_leaving_reports(self) -> None:
        """Report again which targets announced their leaving to this entry."""
        for state in self.entry.keeper_placer.services.values():
            for report in state.pool.leaving_reports():
                self.send_report(report)

    def update_vms(self, vms: tuple[Vm, ...]) -> None:
        """Apply the platform's VM list."""
        self.vm_list = vms
        self.handle(
            VmListReceived(tuple(vm for vm in vms if not vm.service and vm.peer is not None))
        )

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration that became active."""
        self.update_assignment()
        if self.follower.head:
            self.handle(HeadInForce(self.follower.head))

    def handle(self, event: FleetEvent) -> None:
        """Pass an event to the membership and execute the resulting commands."""
        for command in self.membership.handle(event, self.clock.now()):
            self.execute(command)

    def execute(self, command: FleetCommand) -> None:
        """Execute one command of the membership."""
        match command:
            case Send(to, envelope):
                self.gossiper.send(to, envelope)
            case MembersChanged():
                self.update_assignment()
            case NewerHeadSeen(head, vm):
                self.follower.offer(head, vm.failure_domain, vm.peer)

    def receive_reply(self, envelope: Envelope) -> None:
        """Handle a reply from another VM."""
        self.handle(MessageReceived(envelope))

    # Methods of `peers.server.Handler`.

    def gossip(self, envelope: Envelope) -> tuple[Envelope, ...]:
        """Handle a message; messages to its sender are returned as the reply."""
        replies: list[Envelope] = []
        for command in self.membership.handle(MessageReceived(envelope), self.clock.now()):
            if isinstance(command, Send) and command.to == envelope.sender.vm.peer:
                replies.append(command.envelope)
            else:
                self.execute(command)
        return tuple(replies)

    def find_configuration(self, digest: str) -> bytes | None:
        """Return the stored part of a configuration that has this digest, or None."""
        return self.follower.find(digest)

    def known_vms(self) -> tuple[Vm, ...] | None:
        """Return the platform's VM list as last seen, or None."""
        return self.vm_list

    def entry_connected(self, link: EntryLink) -> None:
        """Handle the start of an entry's stream."""
        self.entry_links[link.hello.vm] = link
        for cell in self.cells.values():
            self.execute_cell_commands(cell.add_entry(link.hello.vm))

    def entry_message_received(self, link: EntryLink, message: EntryMessage) -> None:
        """Handle a message from an entry."""
        self.handle_entry_message(link.hello, message)

    def entry_disconnected(self, link: EntryLink) -> None:
        """Handle the end of an entry's stream, unless a newer stream has replaced it."""
        vm = link.hello.vm
        if self.entry_links.get(vm) is not link:
            return
        del self.entry_links[vm]
        for cell in self.cells.values():
            self.execute_cell_commands(cell.remove_entry(vm, self.clock.now()))

    # Role of a keeper.

    def handle_entry_message(self, hello: Hello, message: EntryMessage) -> None:
        """Handle a message from an entry, which may be this VM itself."""
        now = self.clock.now()
        match message:
            case ReportEvidence(service, counts) if service in self.cells:
                cell = self.cells[service]
                self.execute_cell_commands(
                    cell.record_evidence(hello.vm, hello.failure_domain, counts, now)
                )
            case ReportLeaving(service, target) if service in self.cells:
                self.execute_cell_commands(self.cells[service].record_leaving(target, now))
            case ServiceCreditRequest(service, request) if service in self.cells:
                cell = self.cells[service]
                self.execute_cell_commands(
                    cell.request_credits(hello.vm, hello.failure_domain, request, now)
                )
                self.schedule_slot_tick()
            case _:
                pass

    def execute_cell_commands(self, commands: tuple[CellCommand, ...]) -> None:
        """Send the messages that a cell has returned."""
        for command in commands:
            match command:
                case ToAll(message):
                    for link in self.entry_links.values():
                        link.send(message)
                    self.deliver_locally(message)
                case ToOne(vm, message) if vm == self.settings.vm:
                    self.deliver_locally(message)
                case ToOne(vm, message) if vm in self.entry_links:
                    self.entry_links[vm].send(message)

    def deliver_locally(self, message: KeeperMessage) -> None:
        """Schedule the delivery of this VM's own keeper message, after the current callback."""
        asyncio.get_running_loop().call_soon(self.handle_keeper_message, self.settings.vm, message)

    def schedule_slot_tick(self) -> None:
        """Schedule a tick of the slots if entries wait for any."""
        if self.slot_timer is None and any(cell.slots.is_waiting for cell in self.cells.values()):
            loop = asyncio.get_running_loop()
            self.slot_timer = loop.call_later(
                SLOT_TICK_INTERVAL_MS / MS_PER_SECOND, self.tick_slots
            )

    def tick_slots(self) -> None:
        """Advance the time of all cells' slots."""
        self.slot_timer = None
        now = self.clock.now()
        for cell in self.cells.values():
            self.execute_cell_commands(cell.tick_slots(now))
        self.schedule_slot_tick()

    def update_cell_targets(self, name: str) -> None:
        """Set a cell's targets to those in this VM's own pool."""
        state = self.entry.keeper_placer.services.get(name)
        if state is None:
            return
        listed = tuple(target.vm for target in state.pool.targets.values())
        warm = tuple(target.vm for target in state.pool.in_use if target.warm_up_started_at is None)
        cell = self.cells[name]
        self.execute_cell_commands(cell.update_targets(listed, warm, self.clock.now()))

    # Role of an entry.

    def update_assignment(self) -> None:
        """Recompute which VM keeps which cell, and link to the keepers."""
        live = self.membership.live()
        if self.follower.vms != len(live):
            events.write(Event.FLEET_CHANGED, vms=len(live))
        self.follower.vms = len(live)
        before = self.keepers
        self.assignment.set_vms(live)
        self.assignment.set_cells(self.entry.keeper_placer.services)
        ranked = self.assignment.keepers
        self.keepers = {name: chosen[0] for name, chosen in ranked.items() if chosen}
        self.update_cells()
        self.update_links()
        for name, state in self.entry.keeper_placer.services.items():
            state.queue.handle(FleetSizeChanged(len(live)))
            state.queue.send_request = partial(self.request_credits, name)
            keeper = self.keepers.get(name)
            if keeper is None or before.get(name) != keeper:
                self.keeper_changed(name, keeper)

    def update_cells(self) -> None:
        """Create and remove the cells that this VM keeps."""
        now = self.clock.now()
        own_cells = {name for name, vm in self.keepers.items() if vm.name == self.settings.vm}
        for name in self.cells.keys() - own_cells:
            del self.cells[name]
        for name in own_cells:
            service = self.entry.keeper_placer.services[name].pool.service
            if name in self.cells:
                self.cells[name].configure(service, now)
            else:
                self.cells[name] = Cell(service)
            self.update_cell_targets(name)

    def update_links(self) -> None:
        """Open and close links, so that there is one stream to each keeper."""
        own = self.settings.peer
        wanted = {vm.peer for vm in self.keepers.values() if vm.peer not in (None, own)}
        for peer in self.links.keys() - wanted:
            self.start_task(self.links.pop(peer).close())
        for peer in wanted - self.links.keys():
            if peer is not None:
                self.links[peer] = self.open_link(peer)

    def open_link(self, peer: Address) -> KeeperLink:
        """Return a new link to a keeper."""
        return KeeperLink(
            self.channels,
            peer,
            self.hello,
            partial(self.receive_from_keeper, peer),
            partial(self.link_changed, peer),
            self.random,
        )

    def keeper_changed(self, service: str, keeper: Vm | None) -> None:
        """Log the new keeper of a service and update whether it can be reached."""
        if keeper is not None:
            events.write(Event.KEEPER_CHANGED, service=service, vm=keeper.name)
        self.update_keeper_state(service)

    def update_keeper_state(self, service: str) -> None:
        """Notify the admission queue of a service whether its keeper can be reached."""
        keeper = self.keepers.get(service)
        own = keeper is not None and keeper.name == self.settings.vm
        link = self.links.get(keeper.peer) if keeper and keeper.peer else None
        reachable = own or (link is not None and link.is_open)
        self.entry.keeper_placer.services[service].queue.handle(KeeperChanged(reachable))

    def link_changed(self, peer: Address, is_open: bool) -> None:
        """Handle that the stream to a keeper opened or broke."""
        for service, keeper in self.keepers.items():
            if keeper.peer == peer and service in self.entry.keeper_placer.services:
                self.update_keeper_state(service)

    def send_report(self, report: ReportEvidence | ReportLeaving) -> None:
        """Send a report of the pool to the keeper."""
        self.send_to_keeper(report.service, report)

    def request_credits(self, service: str, request: CreditRequest) -> None:
        """Send a credit request of the admission queue to the keeper."""
        self.send_to_keeper(service, ServiceCreditRequest(service, request))

    def send_to_keeper(self, service: str, message: EntryMessage) -> None:
        """Send a message to the keeper of a service, which may be this VM itself."""
        keeper = self.keepers.get(service)
        if keeper is None:
            return
        if keeper.name == self.settings.vm:
            asyncio.get_running_loop().call_soon(self.handle_entry_message, self.hello, message)
        elif keeper.peer in self.links:
            self.links[keeper.peer].send(message)

    def receive_from_keeper(self, peer: Address, message: KeeperMessage) -> None:
        """Handle a message from a keeper's stream, if that VM still keeps the service."""
        keeper = self.keepers.get(message.service)
        if keeper is not None and keeper.peer == peer:
            self.handle_keeper_message(keeper.name, message)

    def handle_keeper_message(self, keeper: str, message: KeeperMessage) -> None:
        """Handle a message from the keeper of a service."""
        state = self.entry.keeper_placer.services.get(message.service)
        known = self.keepers.get(message.service)
        if state is None or known is None or known.name != keeper:
            return
        match message:
            case ServiceEjection(_, ejection):
                self.entry.keeper_placer.handle(state.pool, EjectionReceived(ejection))
            case ServiceRestoration(_, target):
                self.entry.keeper_placer.handle(state.pool, RestorationReceived(target))
            case ServiceLeaving(_, target):
                self.entry.keeper_placer.handle(
                    state.pool, LeavingNoticed(target, LeavingSource.KEEPER)
                )
            case ServiceCredits(_, response):
                state.queue.handle(response)

    # Data fetched from other VMs.

    def choose_peers(self) -> tuple[Address, ...]:
        """Return a few random VMs to ask, in different failure domains if possible."""
        live = [vm for vm in self.membership.live() if vm.name != self.settings.vm]
        chosen = keepers(f"{self.random.random()}", live, MAX_PEERS_ASKED)
        found = tuple(vm.peer for vm in chosen if vm.peer is not None)
        return found or self.settings.peers[:MAX_PEERS_ASKED]

    async def fetch_from_peers(self, digest: str, sources: tuple[Address, ...]) -> bytes | None:
        """Fetch a part of a stored configuration from peers; return None if none has it."""
        peers = sources[:MAX_PEERS_ASKED] or self.choose_peers()
        return await fetch_configuration(self.channels, digest, peers)

    async def fetch_list(self) -> tuple[Vm, ...] | None:
        """Fetch the VM list from peers; return None if none knows it."""
        vms = await fetch_vms(self.channels, self.choose_peers())
        if vms is not None:
            events.write(Event.LISTED_BY_PEER, vms=len(vms))
        return vms
