"""The way of a request: route, target, exchange, answer."""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from functools import partial
from random import Random

from cactusvane import events
from cactusvane.claims.claims import Claims, Held
from cactusvane.clock import MS_PER_SECOND, Clock
from cactusvane.configuration.model import Configuration, Service
from cactusvane.configuration.routes import Match, RoutingTable
from cactusvane.errors import BrokenAnswerError, ConnectError, ExchangeError, RequestError
from cactusvane.events import Event
from cactusvane.fleet.vm import Address, Vm
from cactusvane.http.check import bad_request
from cactusvane.http.client import ClientConnection, fetch
from cactusvane.http.connection import TargetConnections, spares_allowed
from cactusvane.http.message import Answer, Request, end_to_end
from cactusvane.http.server import VERDICT_HEADER, Caller
from cactusvane.http.stream import RelayedStream
from cactusvane.keyed import Keyed, find_key, run_keyed
from cactusvane.metrics import KindRecord, Recorder
from cactusvane.pool.messages import (
    AttemptEnded,
    AttemptStarted,
    CloseIdle,
    Ejected,
    LeavingNoticed,
    NoticeSource,
    Outcome,
    PoolCommand,
    PoolEvent,
    Probe,
    ProbeEnded,
    ReportEvidence,
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
from cactusvane.report.order import in_good_order, objective_of
from cactusvane.request.attempts import (
    Answered,
    AttemptResult,
    Attempts,
    Deliver,
    Lost,
    NoTarget,
    Refuse,
    Try,
)
from cactusvane.request.budget import RetryBudget
from cactusvane.settings import Settings
from cactusvane.slots.entry import EntrySlots, Pending
from cactusvane.slots.gate import Gate, Ticket
from cactusvane.slots.messages import TargetsInUse
from cactusvane.verdict import Verdict

DEADLINE_HEADER = b"cactusvane-deadline-ms"
SHED_HEADER = b"cactusvane-shed"
DRAINING_HEADER = b"cactusvane-draining"
FAILED_STATUS = 500
HEALTH_PATH = "/health"
HEALTHY_STATUS = 200
PROBE_MS = 1_000
RAN_FIELD = (VERDICT_HEADER, Verdict.RAN.value.encode())


@dataclass(slots=True)
class ServiceState:
    """What one entry holds for one service.

    Parameters
    ----------
    pool
        The targets.
    budget
        Retries that may still be made.
    gate
        Where requests wait for a slot.
    in_use
        The pool's targets that the gate was last told of.
    """

    pool: Pool
    budget: RetryBudget
    gate: Gate
    in_use: tuple[TargetState, ...] = ()


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
    """

    def __init__(
        self, settings: Settings, clock: Clock, random: Random, recorder: Recorder
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.random = random
        self.recorder = recorder
        self.connections = TargetConnections(settings.http, clock)
        self.claims: Claims | None = None
        self.ledger = Ledger(settings.vm)
        self.table = RoutingTable(Configuration())
        self.services: dict[str, ServiceState] = {}
        self.entries = 0
        self.listed: dict[str, tuple[Vm, ...]] = {}
        self.report: Callable[[ReportEvidence], None] | None = None
        self.cut_off: set[str] = set()
        self.tasks: set[asyncio.Task[None]] = set()

    def configure(self, configuration: Configuration) -> None:
        """Put a configuration in force; services that did not change are not touched."""
        before = self.table.services.copy()
        self.table.replace(configuration)
        names = {service.name for service in configuration.services}
        self.services = {name: self.services[name] for name in self.services if name in names}
        for service in configuration.services:
            if before.get(service.name) != service:
                self.change_service(service)

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
        return ServiceState(pool, RetryBudget(), Gate(slots, self.clock))

    def list_vms(self, vms: tuple[Vm, ...]) -> None:
        """Take in the platform's VM list; pools hear of it where it differs from the last one."""
        before, self.listed = self.listed, group_by_service(vms)
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
            case ReportEvidence():
                if self.report:
                    self.report(command)
            case Probe(target):
                self.start(self.probe(target, service))
            case CloseIdle(target):
                self.connections.close_idle(target)
            case Ejected(target, reason):
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
        host = (request.header(b"host") or b"").decode("latin-1")
        match = self.table.find(host, request.method, request.path)
        if match is None:
            self.recorder.refuse("no-route")
            raise bad_request("no-route", f"no service takes {request.method} {request.path}", 404)
        if match.route.idempotent:
            task = asyncio.current_task()
            caller.on_gone = task.cancel if task else None
        journey = Journey(self, match, request)
        key = None if match.route.idempotent else find_key(request)
        if key is None or self.claims is None:
            return await journey.run()
        return await journey.run_keyed(
            self.claims, Keyed(match.service, request, key, journey.time_ms)
        )


def group_by_service(vms: tuple[Vm, ...]) -> dict[str, tuple[Vm, ...]]:
    """Return the VMs of a list by service, the fleet's own under an empty name."""
    groups: dict[str, list[Vm]] = {}
    for vm in vms:
        groups.setdefault(vm.service, []).append(vm)
    return {name: tuple(group) for name, group in groups.items()}


def deadline_ms(request: Request, match: Match) -> float:
    """Return the time that a request has; the caller may shorten the route's deadline."""
    text = request.header(DEADLINE_HEADER)
    if text is None:
        return match.route.deadline_ms
    if not text.isdigit() or len(text) > 9:
        raise bad_request("bad-deadline", "Cactusvane-Deadline-Ms is no whole number")
    return min(match.route.deadline_ms, int(text))


class Journey:
    """One request on its way through an entry.

    Parameters
    ----------
    entry
        Where it came in.
    match
        Its service and route.
    request
        As the caller sent it.
    """

    def __init__(self, entry: Entry, match: Match, request: Request) -> None:
        self.entry = entry
        self.clock = entry.clock
        self.route = match.route
        self.state = entry.services[match.service.name]
        self.request = request
        self.headers = end_to_end(request.headers)
        self.headers.append((b"connection", b"close"))
        self.started = self.clock.now()
        self.at_targets = 0.0
        self.record: KindRecord = entry.recorder.kind(match.service.name, match.route.kind)
        self.time_ms = deadline_ms(request, match)
        self.attempts = Attempts(match.route, self.time_ms, self.state.budget, self.started)
        self.held: Held | None = None
        self.tried: frozenset[Address] = frozenset()
        self.answer: Answer | None = None
        self.ticket: Ticket | None = None

    async def run(self) -> Answer:
        """Send the request until the attempts say what its caller gets."""
        command = self.attempts.first(self.started)
        try:
            while isinstance(command, Try):
                result = await self.attempt(command)
                command = self.attempts.ended(result, self.clock.now())
        finally:
            if self.answer is None or self.answer.rest is None:
                self.withdraw()
        match command:
            case Deliver():
                assert self.answer is not None
                self.count(self.answer.status, Verdict.RAN)
                return self.answer
            case Refuse(status, code, text, verdict):
                self.count(status, verdict)
                raise RequestError(status, code, text, verdict)

    async def run_keyed(self, claims: Claims, keyed: Keyed) -> Answer:
        """Send the request under a claim of its key."""

        async def run(held: Held) -> Answer:
            self.held = held
            return await self.run()

        try:
            answer = await run_keyed(claims, keyed, run)
        except RequestError as error:
            if self.held is None:
                self.count(error.status, error.verdict)
            raise
        if self.held is None:
            self.count(answer.status, Verdict.RAN)
        return answer

    def count(self, status: int, verdict: Verdict) -> None:
        """Record what the caller is told."""
        total = self.clock.now() - self.started
        self.record.answered(status, verdict, total, total - self.at_targets)
        service, kind = self.state.pool.service, self.route.kind
        good = in_good_order(objective_of(service, kind), status, verdict, total)
        self.entry.ledger.record(service.name, kind, good, self.clock.wall())

    async def attempt(self, command: Try) -> AttemptResult:
        """Do one attempt and tell the pool how it ended."""
        address = await self.choose()
        if address is None:
            return NoTarget()
        self.tried |= {address}
        self.entry.tell(self.state.pool, AttemptStarted(address))
        started = self.clock.now()
        outcome = Outcome.CANCELLED
        try:
            result = await self.exchange(address, command)
            outcome = self.outcome(result)
            return result
        finally:
            self.at_targets += self.clock.now() - started
            if self.answer is None or self.answer.rest is None:
                self.end(address, started, outcome)

    async def choose(self) -> Address | None:
        """Wait for a slot at a target that this request has not tried."""
        gate = self.state.gate
        if self.ticket is None:
            deadline = self.attempts.deadline
            self.ticket = gate.open(deadline, self.tried, self.route.idempotent)
        address = await gate.wait(self.ticket)
        if address is None:
            self.withdraw()
        return address

    def withdraw(self) -> None:
        """Let go of the place at the gate, if there is one."""
        if self.ticket is not None:
            self.state.gate.withdraw(self.ticket)
            self.ticket = None

    def end(self, address: Address, started: float, outcome: Outcome) -> None:
        """Tell pool and metrics that an attempt ended."""
        latency = self.clock.now() - started
        self.record.attempted(outcome)
        self.entry.tell(self.state.pool, AttemptEnded(address, outcome, latency))
        if self.ticket is not None:
            self.state.gate.end(self.ticket, outcome, latency)
            if outcome is not Outcome.SHED:
                self.ticket = None

    def outcome(self, result: AttemptResult) -> Outcome:
        """Return what the pool learns from a result."""
        match result:
            case Lost(outcome):
                return outcome
            case Answered(status):
                return Outcome.FAILED if status >= FAILED_STATUS else Outcome.SERVED
            case NoTarget():
                return Outcome.UNREACHABLE

    async def exchange(self, address: Address, command: Try) -> AttemptResult:
        """Send the request to one target and wait for its answer."""
        connection: ClientConnection | None = None
        started = self.clock.now()
        try:
            async with asyncio.timeout(command.timeout_ms / MS_PER_SECOND):
                verified = not self.route.idempotent
                connection = await self.entry.connections.take(address, verified)
                if self.held and not self.held.may_send(self.clock.now()):
                    connection.close()
                    return Lost(Outcome.CANCELLED, Verdict.NOT_RUN, "the claim's lease is over")
                remaining = command.remaining_ms - (self.clock.now() - started)
                answer = await connection.exchange(self.outgoing(remaining))
        except ConnectError as error:
            return Lost(Outcome.UNREACHABLE, error.verdict, str(error))
        except BrokenAnswerError as error:
            return Lost(Outcome.BROKEN, error.verdict, f"{address}: {error}")
        except TimeoutError:
            text = f"{address}: no answer in time"
            if connection is None:
                return Lost(Outcome.UNREACHABLE, Verdict.NOT_RUN, text)
            return Lost(Outcome.TIMED_OUT, Verdict.MAY_HAVE_RUN, text)
        return self.receive(address, answer, started)

    def outgoing(self, remaining_ms: float) -> Request:
        """Return the request as targets get it, with what is left of its deadline."""
        left = b"%d" % max(1, int(remaining_ms))
        headers = [*self.headers, (DEADLINE_HEADER, left)]
        return Request(self.request.method, self.request.target, headers, self.request.body)

    def receive(self, address: Address, answer: Answer, started: float) -> AttemptResult:
        """Tell an answer from a target's word that it did not start."""
        if answer.status == 503 and answer.rest is None:
            if answer.header(SHED_HEADER) == b"1":
                return Lost(Outcome.SHED, Verdict.NOT_RUN, f"{address}: sheds load")
            if answer.header(DRAINING_HEADER) == b"1":
                return Lost(Outcome.DRAINING, Verdict.NOT_RUN, f"{address}: is draining")
        rest = None
        if answer.rest is not None:
            ended = partial(self.end, address, started)
            rest = RelayedStream(answer.rest, self.entry.settings.http.body_ms, ended)
        headers = [*end_to_end(answer.headers), RAN_FIELD]
        self.answer = Answer(answer.status, headers, answer.body, rest, answer.length)
        return Answered(answer.status, rest is not None)
