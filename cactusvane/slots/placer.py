"""Targets chosen with the help of keepers: a pool and a gate for each service."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from random import Random

from cactusvane import events
from cactusvane.clock import Clock
from cactusvane.configuration.model import Configuration, Service
from cactusvane.errors import ExchangeError
from cactusvane.events import Event
from cactusvane.fleet.vm import Address, Vm
from cactusvane.http.connection import TargetConnections, spares_allowed
from cactusvane.http.fetch import fetch
from cactusvane.metrics import Recorder
from cactusvane.pool.messages import (
    CloseIdle,
    Ejected,
    LeavingNoticed,
    NoticeSource,
    PoolCommand,
    PoolEvent,
    Probe,
    ProbeEnded,
    ReportEvidence,
    ReportLeaving,
    Returned,
    SelfCleared,
    SelfSuspected,
    ServiceChanged,
    TargetsListed,
    Ticked,
)
from cactusvane.pool.pool import Pool
from cactusvane.pool.target import TargetState
from cactusvane.request.admission import Admission
from cactusvane.request.budget import Retries, RetryBudget
from cactusvane.settings import Settings
from cactusvane.slots.admission import KeptAdmission
from cactusvane.slots.entry import EntrySlots, Pending
from cactusvane.slots.gate import Gate
from cactusvane.slots.messages import TargetsInUse

HEALTH_PATH = "/health"
HEALTHY_STATUS = 200
PROBE_MS = 1_000


@dataclass(slots=True)
class ServiceState:
    """What one entry holds for one service.

    Parameters
    ----------
    pool
        The targets.
    gate
        Where requests wait for a slot.
    in_use
        The pool's targets that the gate was last told of.
    """

    pool: Pool
    gate: Gate
    in_use: tuple[TargetState, ...] = ()


class KeeperPlacer:
    """Pools and gates of all services of one entry.

    Parameters
    ----------
    settings
        The daemon's settings.
    clock
        The process's clock.
    random
        Source of all random choices.
    recorder
        Counts what happens.
    connections
        To targets.

    Attributes
    ----------
    admissions
        By service.
    report
        Takes what the services' keepers are told.
    cut_off
        Services whose targets this VM's own path does not seem to reach.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        random: Random,
        recorder: Recorder,
        connections: TargetConnections,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.random = random
        self.recorder = recorder
        self.connections = connections
        self.admissions: dict[str, Admission] = {}
        self.services: dict[str, ServiceState] = {}
        self.files: dict[str, Service] = {}
        self.entries = 0
        self.listed: dict[str, tuple[Vm, ...]] = {}
        self.report: Callable[[ReportEvidence | ReportLeaving], None] | None = None
        self.cut_off: set[str] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def reaches_nothing(self) -> bool:
        """Whether this VM's own path to the targets of all services looks broken."""
        return bool(self.services) and self.cut_off.issuperset(self.services)

    def configure(self, configuration: Configuration) -> None:
        """Put a configuration in force; services that did not change are not touched."""
        before = self.files
        self.files = {service.name: service for service in configuration.services}
        self.services = {name: self.services[name] for name in self.services if name in self.files}
        for name, service in self.files.items():
            if before.get(name) != service:
                self.change_service(service)

    def retries(self, service: str) -> Retries:
        """Return the retries that this entry may make for a service."""
        settings = self.settings.retries
        return RetryBudget(settings.share, settings.burst)

    def change_service(self, service: Service) -> None:
        """Put one service's file in force; what is known of its targets stays."""
        state = self.services[service.name] = self.state(service)
        self.show_targets(service.name)
        for text in service.leaving.targets:
            host, _, port = text.rpartition(":")
            self.tell(state.pool, LeavingNoticed(Address(host, int(port)), NoticeSource.FILE))

    def state(self, service: Service) -> ServiceState:
        """Return the state of `service`, new or carried on."""
        state = self.services.get(service.name)
        if state is None:
            return self.new_state(service)
        state.gate.slots.slots = service.slots
        self.tell(state.pool, ServiceChanged(service))
        return state

    def new_state(self, service: Service) -> ServiceState:
        """Return the state of a service that was not there before."""
        domain = self.settings.failure_domain
        pool = Pool(service, domain, self.random)

        def choose(pending: Pending, now: float) -> Address | None:
            vm = pool.choose(now, pending.tried, pending.idempotent)
            return vm.address if vm else None

        slots = EntrySlots(domain, service.slots, self.random, chooser=choose)
        gate = Gate(slots, self.clock, service.name)

        def tell(event: PoolEvent) -> None:
            self.tell(pool, event)

        self.admissions[service.name] = KeptAdmission(gate, tell)
        return ServiceState(pool, gate)

    def list_vms(self, listed: dict[str, tuple[Vm, ...]]) -> None:
        """Take in the VM list by service; pools hear of it where it differs from the last one."""
        before, self.listed = self.listed, listed
        entries_before, self.entries = self.entries, len(listed.get("", ()))
        for name in self.services:
            if before.get(name) != listed.get(name) or entries_before != self.entries:
                self.show_targets(name)

    def show_targets(self, name: str) -> None:
        """Tell the pool of a service what the VM list shows of it."""
        targets = self.listed.get(name, ())
        self.allow_spares(self.services[name].pool.service, targets)
        self.tell(self.services[name].pool, TargetsListed(targets))

    def allow_spares(self, service: Service, targets: tuple[Vm, ...]) -> None:
        """Keep this entry's unused connections within its share of the targets' limit."""
        allowed = spares_allowed(service.connections, self.entries, service.slots)
        for vm in targets:
            self.connections.most_spares[vm.address] = allowed

    def tick(self) -> None:
        """Let time pass in all pools."""
        for state in self.services.values():
            self.tell(state.pool, Ticked())

    def tell(self, pool: Pool, event: PoolEvent) -> None:
        """Give an event to a pool and carry out its commands."""
        for command in pool.handle(event, self.clock.now()):
            self.execute(command, pool.service.name)
        state = self.services.get(pool.service.name)
        if state is not None and state.in_use is not pool.in_use:
            state.in_use = pool.in_use
            state.gate.tell(TargetsInUse(tuple(target.vm for target in pool.in_use)))

    def execute(self, command: PoolCommand, service: str) -> None:
        """Carry out one command of a pool."""
        match command:
            case ReportEvidence() | ReportLeaving():
                if self.report:
                    self.report(command)
            case Probe(target):
                self.start(self.probe(target, service))
            case CloseIdle(target):
                self.connections.close_idle(target)
            case Ejected(target, reason):
                self.recorder.ejected(service)
                events.write(Event.TARGET_EJECTED, service=service, target=target, reason=reason)
            case Returned(target):
                events.write(Event.TARGET_RETURNED, service=service, target=target)
            case SelfSuspected():
                self.cut_off.add(service)
                events.write(Event.OWN_PATH_SUSPECTED, service=service)
            case SelfCleared():
                self.cut_off.discard(service)
                events.write(Event.OWN_PATH_CLEARED, service=service)

    def start(self, work: Coroutine[None, None, None]) -> None:
        """Run `work` beside the requests."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def probe(self, target: Address, service: str) -> None:
        """Ask a target's health endpoint and tell the pool."""
        limits = self.settings.http
        try:
            response = await fetch(target, "GET", HEALTH_PATH, (), b"", PROBE_MS, limits)
            healthy = response.status == HEALTHY_STATUS
        except ExchangeError:
            healthy = False
        state = self.services.get(service)
        if state:
            self.tell(state.pool, ProbeEnded(target, healthy))
