"""Choice of targets with the help of keepers: a pool and an admission queue for each service."""

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
from cactusvane.http.connection import FreshConnections, spares_allowed
from cactusvane.http.fetch import fetch
from cactusvane.metrics import Recorder
from cactusvane.pool.messages import (
    CloseIdle,
    Ejected,
    LeavingNoticed,
    LeavingSource,
    OwnPathCleared,
    OwnPathSuspected,
    PoolCommand,
    PoolEvent,
    Probe,
    ProbeEnded,
    ReportEvidence,
    ReportLeaving,
    Restored,
    ServiceChanged,
    TargetsListed,
    Ticked,
)
from cactusvane.pool.pool import Pool
from cactusvane.pool.target import TargetState
from cactusvane.request.admission import Admission
from cactusvane.request.budget import RetryBudget, RetryLimiter
from cactusvane.settings import Settings
from cactusvane.slots.admission import KeeperAdmission
from cactusvane.slots.admission_queue import AdmissionQueue
from cactusvane.slots.entry import EntrySlots, PendingRequest
from cactusvane.slots.messages import TargetsInUse

HEALTH_PATH = "/health"
HEALTHY_STATUS = 200
PROBE_TIMEOUT_MS = 1_000


@dataclass(slots=True)
class ServiceState:
    """State that one entry keeps for one service.

    Parameters
    ----------
    pool
        The targets of the service.
    queue
        Queue in which requests wait for a slot.
    in_use
        The pool's targets in use that were last passed to the queue.
    """

    pool: Pool
    queue: AdmissionQueue
    in_use: tuple[TargetState, ...] = ()


class KeeperPlacer:
    """Pools and admission queues of all services of one entry.

    Parameters
    ----------
    settings
        Settings of the daemon.
    clock
        Clock of the process.
    random
        Source of all random choices.
    recorder
        Recorder of the metrics.
    connections
        Connections to targets.

    Attributes
    ----------
    admissions
        Admission by service name.
    send_report
        Sends reports to the keepers of the services; None while there is no way to send them.
    unreachable_services
        Names of the services whose targets this VM seems unable to reach on its network path.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        random: Random,
        recorder: Recorder,
        connections: FreshConnections,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.random = random
        self.recorder = recorder
        self.connections = connections
        self.admissions: dict[str, Admission] = {}
        self.services: dict[str, ServiceState] = {}
        self.service_configs: dict[str, Service] = {}
        self.fleet_size = 0
        self.listed: dict[str, tuple[Vm, ...]] = {}
        self.send_report: Callable[[ReportEvidence | ReportLeaving], None] | None = None
        self.unreachable_services: set[str] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    @property
    def is_isolated(self) -> bool:
        """Whether this VM's network path to the targets of all services looks broken."""
        return bool(self.services) and self.unreachable_services.issuperset(self.services)

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration; services that did not change are left as they are."""
        previous = self.service_configs
        self.service_configs = {service.name: service for service in configuration.services}
        self.services = {
            name: self.services[name] for name in self.services if name in self.service_configs
        }
        for name, service in self.service_configs.items():
            if previous.get(name) != service:
                self.apply_service(service)

    def retry_limiter(self, service: str) -> RetryLimiter:
        """Return the retry budget of this entry for a service."""
        settings = self.settings.retries
        return RetryBudget(settings.share, settings.burst)

    def apply_service(self, service: Service) -> None:
        """Apply the configuration of one service; the state of its targets is kept."""
        state = self.services[service.name] = self.find_or_create(service)
        self.update_targets(service.name)
        for text in service.leaving.targets:
            host, _, port = text.rpartition(":")
            self.handle(
                state.pool, LeavingNoticed(Address(host, int(port)), LeavingSource.CONFIGURATION)
            )

    def find_or_create(self, service: Service) -> ServiceState:
        """Return the state of `service`, updated to its configuration, or a new one."""
        state = self.services.get(service.name)
        if state is None:
            return self.new_state(service)
        state.queue.slots.slots = service.slots
        self.handle(state.pool, ServiceChanged(service))
        return state

    def new_state(self, service: Service) -> ServiceState:
        """Return the state of a new service."""
        domain = self.settings.failure_domain
        pool = Pool(service, domain, self.random)

        def choose(pending: PendingRequest, now: float) -> Address | None:
            vm = pool.choose(now, pending.tried, pending.idempotent)
            return vm.address if vm else None

        slots = EntrySlots(domain, service.slots, self.random, chooser=choose)
        queue = AdmissionQueue(slots, self.clock, service.name)

        def handle(event: PoolEvent) -> None:
            self.handle(pool, event)

        self.admissions[service.name] = KeeperAdmission(queue, handle)
        return ServiceState(pool, queue)

    def update_vms(self, listed: dict[str, tuple[Vm, ...]]) -> None:
        """Apply the VM list by service; pools whose part of the list changed are updated."""
        previous, self.listed = self.listed, listed
        previous_fleet_size, self.fleet_size = self.fleet_size, len(listed.get("", ()))
        for name in self.services:
            if previous.get(name) != listed.get(name) or previous_fleet_size != self.fleet_size:
                self.update_targets(name)

    def update_targets(self, name: str) -> None:
        """Pass the targets of a service on the VM list to its pool."""
        targets = self.listed.get(name, ())
        self.allow_spares(self.services[name].pool.service, targets)
        self.handle(self.services[name].pool, TargetsListed(targets))

    def allow_spares(self, service: Service, targets: tuple[Vm, ...]) -> None:
        """Limit this entry's unused connections to its share of the targets' connection limit."""
        allowed = spares_allowed(service.connections, self.fleet_size, service.slots)
        for vm in targets:
            self.connections.max_spares[vm.address] = allowed

    def tick(self) -> None:
        """Pass a tick to all pools."""
        for state in self.services.values():
            self.handle(state.pool, Ticked())

    def handle(self, pool: Pool, event: PoolEvent) -> None:
        """Pass an event to a pool, execute its commands and update the queue's targets."""
        for command in pool.handle(event, self.clock.now()):
            self.execute(command, pool.service.name)
        state = self.services.get(pool.service.name)
        if state is not None and state.in_use is not pool.in_use:
            state.in_use = pool.in_use
            state.queue.handle(TargetsInUse(tuple(target.vm for target in pool.in_use)))

    def execute(self, command: PoolCommand, service: str) -> None:
        """Execute one command of a pool."""
        match command:
            case ReportEvidence() | ReportLeaving():
                if self.send_report:
                    self.send_report(command)
            case Probe(target):
                self.start_task(self.probe(target, service))
            case CloseIdle(target):
                self.connections.close_spares(target)
            case Ejected(target, reason):
                self.recorder.record_ejection(service)
                events.write(Event.TARGET_EJECTED, service=service, target=target, reason=reason)
            case Restored(target):
                events.write(Event.TARGET_RETURNED, service=service, target=target)
            case OwnPathSuspected():
                self.unreachable_services.add(service)
                events.write(Event.OWN_PATH_SUSPECTED, service=service)
            case OwnPathCleared():
                self.unreachable_services.discard(service)
                events.write(Event.OWN_PATH_CLEARED, service=service)

    def start_task(self, work: Coroutine[None, None, None]) -> None:
        """Run `work` as a background task."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def probe(self, target: Address, service: str) -> None:
        """Probe a target's health endpoint and pass the result to the pool."""
        limits = self.settings.http
        try:
            response = await fetch(target, "GET", HEALTH_PATH, (), b"", PROBE_TIMEOUT_MS, limits)
            healthy = response.status == HEALTHY_STATUS
        except ExchangeError:
            healthy = False
        state = self.services.get(service)
        if state:
            self.handle(state.pool, ProbeEnded(target, healthy))
