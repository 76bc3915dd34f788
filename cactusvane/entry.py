"""The way of a request: route, target, exchange, answer."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from random import Random

from cactusvane import events
from cactusvane.claims.claims import Claims
from cactusvane.clock import Clock
from cactusvane.configuration.model import Configuration, Service
from cactusvane.configuration.routes import Match, RoutingTable
from cactusvane.configuration.rules import build_table, choose_service
from cactusvane.dispatch import Dispatch
from cactusvane.errors import ExchangeError, RequestError
from cactusvane.events import Event
from cactusvane.fleet.vm import Address, Vm
from cactusvane.http.check import bad_request
from cactusvane.http.client import fetch
from cactusvane.http.connection import MOST_SPARES, TargetConnections, spares_allowed
from cactusvane.http.message import Answer, Request
from cactusvane.http.server import Caller
from cactusvane.http.vocabulary import Vocabulary
from cactusvane.keyed import Keyed, find_key
from cactusvane.metrics import Recorder
from cactusvane.placement.admission import SharedAdmission
from cactusvane.placement.domain import Domain
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
from cactusvane.report.ledger import Ledger
from cactusvane.request.admission import Admission
from cactusvane.request.budget import RetryBudget
from cactusvane.settings import Settings
from cactusvane.slots.admission import KeptAdmission
from cactusvane.slots.entry import EntrySlots, Pending
from cactusvane.slots.gate import Gate
from cactusvane.slots.messages import TargetsInUse
from cactusvane.verdict import Verdict

HEALTH_PATH = "/health"
HEALTHY_STATUS = 200
PROBE_MS = 1_000

FIRST_RETRY_MS = 500.0
"""When callers may come back to a fleet whose VMs know no configuration yet."""


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


@dataclass(frozen=True, slots=True)
class KeeperPlacing:
    """Keepers pool evidence and slots; for services of hundreds of requests a second."""


@dataclass(frozen=True, slots=True)
class SharedPlacing:
    """The entries of a failure domain tell each other every attempt; for few requests a second.

    Parameters
    ----------
    domain
        What they share.
    announce
        Called when the others have something to hear, and whether it is urgent.
    """

    domain: Domain
    announce: Callable[[bool], None]


Placing = KeeperPlacing | SharedPlacing


class Entry:
    """Answers callers' requests by sending them to targets.

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
    placing
        How targets are chosen.
    vocabulary
        Names of the header fields that targets know.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        random: Random,
        recorder: Recorder,
        placing: Placing = KeeperPlacing(),  # noqa: B008
        vocabulary: Vocabulary = Vocabulary(),  # noqa: B008
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.random = random
        self.recorder = recorder
        self.placing = placing
        self.vocabulary = vocabulary
        spares = MOST_SPARES if isinstance(placing, KeeperPlacing) else 0
        self.connections = TargetConnections(settings.http, clock, spares)
        self.claims: Claims | None = None
        self.ledger = Ledger(settings.vm)
        self.configured = False
        self.version = 0
        self.table = RoutingTable(Configuration())
        self.rules = build_table(())
        self.admissions: dict[str, Admission] = {}
        self.budgets: dict[str, RetryBudget] = {}
        self.services: dict[str, ServiceState] = {}
        self.entries = 0
        self.listed: dict[str, tuple[Vm, ...]] = {}
        self.report: Callable[[ReportEvidence | ReportLeaving], None] | None = None
        self.cut_off: set[str] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    def configure(self, configuration: Configuration) -> None:
        """Put a configuration in force; services that did not change are not touched."""
        self.configured = True
        before = self.table.services.copy()
        self.table.replace(configuration)
        self.rules = build_table(configuration.rules)
        names = {service.name for service in configuration.services}
        retries = self.settings.retries
        self.budgets = {
            name: self.budgets.get(name) or RetryBudget(retries.share, retries.burst)
            for name in names
        }
        if isinstance(self.placing, SharedPlacing):
            self.configure_shared(configuration, self.placing)
            return
        self.services = {name: self.services[name] for name in self.services if name in names}
        for service in configuration.services:
            if before.get(service.name) != service:
                self.change_service(service)

    def configure_shared(self, configuration: Configuration, placing: SharedPlacing) -> None:
        """Put a configuration in force where the domain places requests."""
        domain = placing.domain
        domain.configure(configuration, self.clock.now())
        before = self.admissions
        self.admissions = {}
        for name, placement in domain.placements.items():
            self.admissions[name] = before.get(name) or SharedAdmission(
                placement, domain, self.clock, placing.announce
            )

    @property
    def shared_admissions(self) -> tuple[SharedAdmission, ...]:
        """Admissions of services whose loads are shared."""
        return tuple(each for each in self.admissions.values() if isinstance(each, SharedAdmission))

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

    def list_vms(self, vms: tuple[Vm, ...]) -> None:
        """Take in the platform's VM list; pools hear of it where it differs from the last one."""
        before, self.listed = self.listed, group_by_service(vms)
        if isinstance(self.placing, SharedPlacing):
            self.placing.domain.list_targets(self.listed, self.clock.now())
            return
        entries_before, self.entries = self.entries, len(self.listed.get("", ()))
        for name in self.services:
            if before.get(name) != self.listed.get(name) or entries_before != self.entries:
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
        """Let time pass in all pools and connections."""
        for state in self.services.values():
            self.tell(state.pool, Ticked())
        self.connections.tick()

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
            answer = await fetch(target, "GET", HEALTH_PATH, (), b"", PROBE_MS, limits)
            healthy = answer.status == HEALTHY_STATUS
        except ExchangeError:
            healthy = False
        state = self.services.get(service)
        if state:
            self.tell(state.pool, ProbeEnded(target, healthy))

    def note_refused(self, request: Request, status: int, code: str) -> None:
        """Count and log a request that belongs to no service."""
        self.recorder.refuse(code)
        request_id = (request.header(self.vocabulary.request_id) or b"").decode("latin-1")
        events.write(
            Event.REQUEST_ENDED,
            request=request_id,
            status=status,
            verdict=Verdict.NOT_RUN.value,
            code=code,
            path=request.path,
            configuration=self.version,
        )

    def match(self, request: Request) -> Match | None:
        """Return service and route of a request; the services' own routes go first."""
        host = (request.header(b"host") or b"").decode("latin-1")
        match = self.table.find(host, request.method, request.path)
        if match is not None:
            return match
        rule = self.rules.find(host, request.path)
        if rule is None:
            return None
        service = self.table.services.get(choose_service(rule, self.random))
        return Match(service, rule.route) if service is not None else None

    @property
    def reaches_nothing(self) -> bool:
        """Whether this VM's own path to the targets of all services looks broken."""
        return bool(self.services) and self.cut_off.issuperset(self.services)

    async def handle(self, request: Request, caller: Caller) -> Answer:
        """Answer one request.

        Parameters
        ----------
        request
            With its whole body.
        caller
            Tells when the caller is gone.

        Returns
        -------
        Answer
            The target's whole answer, or its beginning and a stream.

        Raises
        ------
        RequestError
            Where no answer can be passed on.
        """
        if not self.configured and isinstance(self.placing, SharedPlacing):
            text = "this VM has no configuration yet"
            self.note_refused(request, 503, "no-configuration")
            raise RequestError(503, "no-configuration", text, Verdict.NOT_RUN, FIRST_RETRY_MS)
        match = self.match(request)
        if match is None:
            self.note_refused(request, 404, "no-route")
            raise bad_request("no-route", f"no service takes {request.method} {request.path}", 404)
        if caller.gone:
            text = "the caller is gone"
            raise RequestError(503, "caller-gone", text, Verdict.NOT_RUN)
        if match.route.idempotent:
            task = asyncio.current_task()
            caller.on_gone = task.cancel if task else None
        dispatch = Dispatch(self, match, request, caller)
        key = None if match.route.idempotent else find_key(request)
        if key is None or self.claims is None:
            return await dispatch.run()
        return await dispatch.run_keyed(
            self.claims, Keyed(match.service, request, key, dispatch.time_ms)
        )


def group_by_service(vms: tuple[Vm, ...]) -> dict[str, tuple[Vm, ...]]:
    """Return the VMs of a list by service, the fleet's own under an empty name."""
    groups: dict[str, list[Vm]] = {}
    for vm in vms:
        groups.setdefault(vm.service, []).append(vm)
    return {name: tuple(group) for name, group in groups.items()}
