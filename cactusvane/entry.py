"""The way of a request: route, target, exchange, answer."""

import asyncio
from random import Random
from typing import Protocol

from cactusvane import events
from cactusvane.clock import Clock
from cactusvane.configuration.model import Configuration
from cactusvane.configuration.routes import Match, RoutingTable
from cactusvane.configuration.rules import build_table, choose_service
from cactusvane.dispatch import Dispatch
from cactusvane.errors import RequestError
from cactusvane.events import Event
from cactusvane.fleet.vm import Vm, VmState, group_by_service
from cactusvane.http.check import bad_request
from cactusvane.http.connection import TargetConnections
from cactusvane.http.exchange import Caller
from cactusvane.http.kept import KeptConnections
from cactusvane.http.message import Request, Response
from cactusvane.http.vocabulary import Vocabulary
from cactusvane.metrics import Recorder
from cactusvane.report.ledger import Ledger
from cactusvane.request.admission import Placer
from cactusvane.request.budget import Retries
from cactusvane.settings import Settings
from cactusvane.verdict import Verdict

FIRST_RETRY_MS = 500.0
"""When callers may come back to a fleet whose VMs know no configuration yet."""


class KeyedHandler(Protocol):
    """Answers non-idempotent requests that may carry an idempotency key."""

    async def run(self, dispatch: Dispatch, request: Request) -> Response:
        """Answer one request."""


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
    placer
        Chooses targets.
    connections
        To targets.
    vocabulary
        Names of the header fields that targets know.

    Attributes
    ----------
    kept
        Connections to targets that rest.
    leaving
        Whether the process stops, and finishes what is in flight.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        random: Random,
        recorder: Recorder,
        placer: Placer,
        connections: TargetConnections,
        vocabulary: Vocabulary = Vocabulary(),  # noqa: B008
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.random = random
        self.recorder = recorder
        self.placer = placer
        self.vocabulary = vocabulary
        self.connections = connections
        self.kept = KeptConnections(clock)
        self.keyed: KeyedHandler | None = None
        self.ledger = Ledger(settings.vm)
        self.configured = False
        self.leaving = False
        self.version = 0
        self.table = RoutingTable(Configuration())
        self.rules = build_table(())
        self.budgets: dict[str, Retries] = {}

    def configure(self, configuration: Configuration) -> None:
        """Put a configuration in force; services that did not change are not touched."""
        self.configured = True
        self.table.replace(configuration)
        self.rules = build_table(configuration.rules)
        self.placer.configure(configuration)
        self.budgets = {
            service.name: self.budgets.get(service.name) or self.placer.retries(service.name)
            for service in configuration.services
        }

    def list_vms(self, vms: tuple[Vm, ...]) -> None:
        """Take in the list of all VMs; connections to those that leave are closed."""
        self.kept.retain({vm.address for vm in vms if vm.state is VmState.LIVE})
        self.placer.list_vms(group_by_service(vms))

    def tick(self) -> None:
        """Let time pass for targets and connections."""
        self.placer.tick()
        self.connections.tick()
        self.kept.tick()

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
        name = choose_service(rule, self.random)
        service = self.table.services.get(name)
        if service is None:
            self.note_refused(request, 503, "no-service")
            raise RequestError(503, "no-service", f"{name} is not known", Verdict.NOT_RUN)
        return Match(service, rule.route)

    async def handle(self, request: Request, caller: Caller) -> Response:
        """Answer one request.

        Parameters
        ----------
        request
            With its whole body.
        caller
            Tells when the caller is gone.

        Returns
        -------
        Response
            The target's whole answer, or its beginning and a stream.

        Raises
        ------
        RequestError
            Where no answer can be passed on.
        """
        if not self.configured:
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
        if match.route.idempotent or self.keyed is None:
            return await dispatch.run()
        return await self.keyed.run(dispatch, request)
