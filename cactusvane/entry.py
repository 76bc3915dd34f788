"""The entry: accepts callers' requests, routes them, and dispatches them to targets."""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from random import Random
from typing import Protocol

from cactusvane import events
from cactusvane.clock import Clock
from cactusvane.configuration.model import Configuration, Customer
from cactusvane.configuration.routes import Match, RoutingTable
from cactusvane.configuration.rules import build_rule_table, choose_service
from cactusvane.customers.gate import CustomerGate
from cactusvane.customers.identity import (
    Identity,
    NoCustomers,
    UnknownKey,
    customer_of,
    identify,
)
from cactusvane.customers.keys import KeyTable, build_key_table, compare
from cactusvane.dispatch import Dispatch
from cactusvane.errors import RequestError
from cactusvane.events import Event
from cactusvane.fleet.vm import Vm, VmState, group_by_service
from cactusvane.http.check import bad_request
from cactusvane.http.connection import FreshConnections
from cactusvane.http.exchange import Caller
from cactusvane.http.idle import IdleConnections
from cactusvane.http.message import Request, Response
from cactusvane.http.vocabulary import HeaderNames
from cactusvane.metrics import Recorder
from cactusvane.report.ledger import Ledger
from cactusvane.request.admission import Placer
from cactusvane.request.budget import RetryLimiter
from cactusvane.request.crashes import CrashRecord
from cactusvane.request.stopping import StopSchedule
from cactusvane.settings import Settings
from cactusvane.verdict import Verdict

MAX_LOGGED_CUSTOMERS = 20
"""Names of customers in one log line; the line must stay short with any configuration."""

UNCONFIGURED_RETRY_AFTER_MS = 500.0
"""Delay after which callers may retry while this VM has no configuration yet."""


class KeyedHandler(Protocol):
    """Handles non-idempotent requests, which may have an idempotency key."""

    async def run(self, dispatch: Dispatch, request: Request) -> Response:
        """Return the response to one request."""


class Entry:
    """Serves callers' requests by sending them to targets.

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
    placer
        Chooses targets.
    connections
        New connections to targets.
    header_names
        Names of the header fields that targets understand.

    Attributes
    ----------
    idle_connections
        Idle connections to targets.
    crashes
        Requests that may crash targets.
    stop_schedule
        Times of the planned stop that has begun; None while the process is not stopping.
    dispatches
        Requests that wait for a target or are at one.
    keys
        Keys of the active configuration's customers.
    gate
        May reject requests because of their customers.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        random: Random,
        recorder: Recorder,
        placer: Placer,
        connections: FreshConnections,
        header_names: HeaderNames = HeaderNames(),  # noqa: B008
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.random = random
        self.recorder = recorder
        self.placer = placer
        self.header_names = header_names
        self.connections = connections
        self.idle_connections = IdleConnections(clock)
        self.crashes = CrashRecord()
        self.keyed_handler: KeyedHandler | None = None
        self.ledger = Ledger(settings.vm)
        self.configured = False
        self.stop_schedule: StopSchedule | None = None
        self.dispatches: set[Dispatch] = set()
        self.version = 0
        self.routing_table = RoutingTable(Configuration())
        self.rules = build_rule_table(())
        self.keys = KeyTable()
        self.gate = CustomerGate()
        self.budgets: dict[str, RetryLimiter] = {}

    def configure(self, configuration: Configuration) -> None:
        """Apply a new configuration; services that did not change keep their state."""
        self.configured = True
        self.routing_table.replace(configuration)
        self.rules = build_rule_table(configuration.rules)
        self.configure_customers(configuration)
        self.placer.configure(configuration)
        self.budgets = {
            service.name: self.budgets.get(service.name) or self.placer.retry_limiter(service.name)
            for service in configuration.services
        }

    def configure_customers(self, configuration: Configuration) -> None:
        """Apply the customers of a new configuration, and log whose keys changed."""
        before = self.keys
        self.keys = build_key_table(configuration)
        self.recorder.customers.retain(configuration.customers)
        changes = compare(before, self.keys)
        if changes.customers:
            events.write(
                Event.KEYS_CHANGED,
                version=self.version,
                customers=len(configuration.customers),
                added=changes.added,
                removed=changes.removed,
                names=changes.customers[:MAX_LOGGED_CUSTOMERS],
            )

    def update_vms(self, vms: tuple[Vm, ...]) -> None:
        """Apply a new list of all VMs; close idle connections to those that are not live."""
        self.idle_connections.retain({vm.address for vm in vms if vm.state is VmState.LIVE})
        self.placer.update_vms(group_by_service(vms))

    @property
    def stopping(self) -> bool:
        """Whether the process is stopping and finishes requests in flight."""
        return self.stop_schedule is not None

    def begin_stop(self, leaving_ms: float, drain_ms: float) -> None:
        """Begin a planned stop.

        Parameters
        ----------
        leaving_ms
            Time in milliseconds until the listener is closed.
        drain_ms
            Time from then until the requests in flight are cut off, in milliseconds.
        """
        drains_at = self.clock.now() + leaving_ms
        self.stop_schedule = StopSchedule(drains_at, drains_at + drain_ms)

    def cut_off(self) -> None:
        """End all requests; each gets a response that says whether it may have run."""
        for dispatch in tuple(self.dispatches):
            dispatch.cut_off()

    def reject_late(self) -> None:
        """Reject the waiting requests that a stop leaves no time for."""
        for dispatch in tuple(self.dispatches):
            dispatch.reject_if_late()

    def tick(self) -> None:
        """Run periodic work of targets and connections."""
        if self.stopping:
            self.reject_late()
        self.placer.tick()
        self.connections.tick()
        self.idle_connections.tick()

    def record_rejection(self, request: Request, status: int, code: str, **details: object) -> None:
        """Count and log a request that was rejected before a target was looked for.

        Parameters
        ----------
        request
            The request.
        status, code
            Status and code of the response.
        details
            More fields of the log line.
        """
        self.recorder.record_rejection(code)
        request_id = (request.header(self.header_names.request_id) or b"").decode("latin-1")
        events.write(
            Event.REQUEST_ENDED,
            request=request_id,
            status=status,
            verdict=Verdict.NOT_RUN.value,
            code=code,
            path=request.path,
            configuration=self.version,
            **details,
        )

    @contextmanager
    def recording_rejection(
        self, request: Request, found: Match, customer: Customer | None = None
    ) -> Iterator[None]:
        """Context manager that counts and logs the rejection of a request of a known service."""
        try:
            yield
        except RequestError as error:
            name = customer.name if customer else ""
            self.record_rejection(
                request,
                error.status,
                error.code,
                service=found.service.name,
                kind=found.route.kind,
                reason=error.text,
                customer=name,
            )
            if customer:
                self.recorder.customers.record(name, error.status)
            raise

    def identify(self, request: Request, found: Match) -> Identity:
        """Return whom a request is of.

        Raises
        ------
        RequestError
            The request has no key of a customer (status 401), or the configuration may be too old
            to tell (503).
        """
        if not self.keys.required:
            return NoCustomers()
        with self.recording_rejection(request, found):
            if not found.route.anonymous:
                self.gate.check_current()
            identity = identify(self.keys, found.route, request.headers, self.header_names)
            if isinstance(identity, UnknownKey):
                self.gate.check_unknown_key()
                raise RequestError(401, "unknown-key", identity.reason, Verdict.NOT_RUN)
            return identity

    def match(self, request: Request) -> Match | None:
        """Return service and route of a request, or None; routes take precedence over rules.

        Raises
        ------
        RequestError
            A rule names a service that is not in the configuration.
        """
        host = (request.header(b"host") or b"").decode("latin-1")
        match = self.routing_table.find(host, request.method, request.path)
        if match is not None:
            return match
        rule = self.rules.find(host, request.path)
        if rule is None:
            return None
        name = choose_service(rule, self.random)
        service = self.routing_table.services.get(name)
        if service is None:
            self.record_rejection(request, 503, "no-service")
            raise RequestError(
                503, "no-service", f"service {name} is not in the configuration", Verdict.NOT_RUN
            )
        return Match(service, rule.route)

    async def handle(self, request: Request, caller: Caller) -> Response:
        """Return the response to one request.

        Parameters
        ----------
        request
            The request with its complete body.
        caller
            The caller's connection; an idempotent request is cancelled when the caller
            disconnects.

        Returns
        -------
        Response
            The target's complete response, or its beginning and a stream.

        Raises
        ------
        RequestError
            No response can be forwarded.
        """
        if not self.configured:
            text = "this VM has no configuration yet"
            self.record_rejection(request, 503, "no-configuration")
            raise RequestError(
                503, "no-configuration", text, Verdict.NOT_RUN, UNCONFIGURED_RETRY_AFTER_MS
            )
        match = self.match(request)
        if match is None:
            self.record_rejection(request, 404, "no-route")
            raise bad_request(
                "no-route", f"no service accepts {request.method} {request.path}", 404
            )
        identity = self.identify(request, match)
        if caller.gone:
            text = "the caller has disconnected"
            raise RequestError(503, "caller-gone", text, Verdict.NOT_RUN)
        if match.route.idempotent:
            task = asyncio.current_task()
            caller.on_gone = task.cancel if task else None
        dispatch = Dispatch(self, match, request, caller, identity)
        customer = customer_of(identity)
        if customer is None:
            return await self.run(dispatch)
        with self.recording_rejection(request, match, customer):
            self.gate.admit(customer)
        return await self.run_admitted(dispatch, customer)

    async def run(self, dispatch: Dispatch) -> Response:
        """Return the response to a request that may be sent."""
        if dispatch.route.idempotent or self.keyed_handler is None:
            return await dispatch.run()
        return await self.keyed_handler.run(dispatch, dispatch.request)

    async def run_admitted(self, dispatch: Dispatch, customer: Customer) -> Response:
        """Return the response to an admitted request; give it back if it has not run.

        A request that is cancelled has not run if no target was chosen for it yet.
        """
        try:
            return await self.run(dispatch)
        except RequestError as error:
            if error.verdict is Verdict.NOT_RUN:
                self.gate.give_back(customer)
            raise
        except asyncio.CancelledError:
            if not dispatch.tried:
                self.gate.give_back(customer)
            raise
