"""The daemon: ``cactusvaned SETTINGS.json``.

Does the I/O around the entry: reads the settings, follows the configuration and the VM list, and
listens for callers. On SIGTERM the daemon stops being ready, finishes the requests in flight and
closes.
"""

import argparse
import asyncio
import gc
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random, SystemRandom

import msgspec

from cactusvane import events
from cactusvane.admin import metrics_response, ready_response
from cactusvane.claims.claims import Claims
from cactusvane.clock import MS_PER_SECOND, Clock
from cactusvane.configuration.follower import ConfigurationFollower
from cactusvane.configuration.model import Configuration
from cactusvane.errors import InputError, PlatformError, SettingsError
from cactusvane.events import Event
from cactusvane.fleet.vm import Vm
from cactusvane.http.check import bad_request
from cactusvane.http.exchange import Caller
from cactusvane.http.message import Request, Response
from cactusvane.http.server import Server
from cactusvane.keeper_entry import KeeperEntry
from cactusvane.keyed import KeyedRequestHandler
from cactusvane.metrics import Recorder
from cactusvane.peers.node import Node
from cactusvane.report.ledger import BUCKET_MS
from cactusvane.report.store import flush
from cactusvane.settings import Settings, check_addresses
from cactusvane.signals import Signals
from cactusvane.store.client import HttpPlatform

TICK_INTERVAL_MS = 100
"""Interval in milliseconds between ticks of the entry."""

BURN_REPORT_INTERVAL_MS = 10_000
"""Interval in milliseconds at which completed buckets of the burn report are stored."""

CLAIM_TIMEOUT_MS = 1_000
"""Time in milliseconds after which the claim table counts as not responding to an exchange."""

MAX_LIST_READS_PER_SECOND = 1_000.0
"""Maximum rate of VM list reads of the whole fleet, in reads per second."""

CLAIMS_DRAIN_TIMEOUT_MS = 3_000
"""Maximum time in milliseconds that a stopping daemon waits for outcomes of keyed requests to be
recorded."""

USAGE_ERROR = 2
GC_THRESHOLD = 50_000
"""Number of allocations between garbage collections; requests create few reference cycles."""


@dataclass(frozen=True, slots=True)
class TargetStatus:
    """State of a target as seen by this VM."""

    address: str
    failure_domain: str
    in_flight: int


@dataclass(frozen=True, slots=True)
class Status:
    """Body of ``/status`` on the admin port."""

    vm: str
    failure_domain: str
    ready: bool
    draining: bool
    version: int
    connections: int
    services: dict[str, tuple[TargetStatus, ...]]


def read_settings(path: Path) -> Settings:
    """Read and validate a daemon's settings.

    Raises
    ------
    SettingsError
        The file cannot be read or does not contain valid settings.
    """
    try:
        data = path.read_bytes()
        given = msgspec.json.decode(data)
        settings = msgspec.convert(given, Settings)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except msgspec.DecodeError as error:
        raise SettingsError(f"{path}: {error}") from error
    unknown = unknown_fields(given, msgspec.to_builtins(settings))
    if unknown:
        raise SettingsError(f"{path}: unknown field: {unknown}; remove or rename it")
    check_addresses(str(path), settings)
    return settings


def unknown_fields(given: object, known: object, path: str = "") -> str:
    """Return the path of the first member of `given` that is not in `known`, or an empty string.

    Examples
    --------
    >>> unknown_fields({"http": {"idle": 1}}, {"http": {"idle_ms": 1}})
    'http.idle'
    """
    if not isinstance(given, dict) or not isinstance(known, dict):
        return ""
    for name, value in given.items():
        if name not in known:
            return f"{path}{name}"
        if found := unknown_fields(value, known[name], f"{path}{name}."):
            return found
    return ""


class Daemon:
    """The process of one VM of the fleet.

    Parameters
    ----------
    settings
        Settings of the daemon.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.clock = Clock()
        self.recorder = Recorder()
        self.entry = KeeperEntry(settings, self.clock, Random(settings.seed), self.recorder)
        self.platform = HttpPlatform(settings.platform)
        claim_table = HttpPlatform(settings.platform, CLAIM_TIMEOUT_MS)
        self.claims = Claims(claim_table, self.clock, SystemRandom(), settings.vm)
        self.entry.keyed_handler = KeyedRequestHandler(self.claims)
        self.follower = ConfigurationFollower(settings, self.platform, self.clock)
        self.follower.on_change.append(self.apply_configuration)
        self.node = Node(settings, self.clock, self.entry, self.follower)
        self.server = Server(settings.http, self.entry.handle, self.recorder.budgets)
        self.admin = Server(
            settings.http.for_side(), self.handle_admin_request, self.recorder.budgets
        )
        self.stopping = asyncio.Event()
        self.vm_list_known = False
        self.ready_logged = False
        self.tasks: list[asyncio.Task[None]] = []

    @property
    def ready(self) -> bool:
        """Whether the load balancer should send callers to this VM."""
        serves = (
            self.version > 0 and self.vm_list_known and not self.entry.keeper_placer.is_isolated
        )
        return serves and not self.stopping.is_set()

    @property
    def version(self) -> int:
        """Version of the active configuration; 0 for none."""
        return self.follower.head.version if self.follower.head else 0

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        signals = Signals()
        signals.handle(self.stopping.set, self.reject_reload)
        address = await self.server.start(self.settings.listen)
        await self.admin.start(self.settings.admin)
        await self.node.start()
        events.write(Event.DAEMON_STARTED, vm=self.settings.vm, address=address)
        self.start_tasks()
        await self.stopping.wait()
        await self.stop()
        signals.ignore()

    def reject_reload(self) -> None:
        """Log that this program reads its settings only when it starts."""
        events.write(Event.SETTINGS_KEPT, vm=self.settings.vm)

    def start_tasks(self) -> None:
        """Start the background tasks."""
        loop = asyncio.get_running_loop()
        for work in (
            self.follower.run(),
            self.poll_vm_list(),
            self.run_periodically(TICK_INTERVAL_MS, self.tick),
            self.run_periodically(BURN_REPORT_INTERVAL_MS, self.store_burn_report),
        ):
            self.tasks.append(loop.create_task(work))

    async def poll_vm_list(self) -> None:
        """Refresh the VM list periodically, less often in a large fleet."""
        while True:
            await self.run_logged(self.refresh_vm_list)
            min_interval_ms = self.follower.vms * MS_PER_SECOND / MAX_LIST_READS_PER_SECOND
            await asyncio.sleep(max(self.settings.vm_list_ms, min_interval_ms) / MS_PER_SECOND)

    async def run_periodically(self, period_ms: float, work: Callable[[], Awaitable[None]]) -> None:
        """Run `work` repeatedly, with pauses of `period_ms`."""
        while True:
            await self.run_logged(work)
            await asyncio.sleep(period_ms / MS_PER_SECOND)

    async def run_logged(self, work: Callable[[], Awaitable[None]]) -> None:
        """Run `work` once; log an exception instead of raising it."""
        try:
            await work()
        except Exception as error:
            events.write(Event.DAEMON_TASK_FAILED, error=repr(error))

    async def refresh_vm_list(self) -> None:
        """Fetch and apply the platform's VM list.

        While the platform does not respond, the last list stays; without one, peers are asked.
        """
        try:
            vms: tuple[Vm, ...] | None = await self.platform.list_vms()
        except PlatformError:
            vms = None if self.vm_list_known else await self.node.fetch_list()
        if vms is None:
            return
        self.entry.update_vms(vms)
        self.node.update_vms(vms)
        self.set_fleet_size(sum(not vm.service for vm in vms))
        self.vm_list_known = True
        self.log_when_ready()

    async def store_burn_report(self) -> None:
        """Store the completed buckets of the burn report."""
        await flush(self.entry.ledger, self.platform, self.clock.wall())

    def set_fleet_size(self, vms: int) -> None:
        """Set the number of VMs that share the fleet's limits on calls to the platform."""
        self.follower.vms = max(1, vms)
        self.claims.budget.vms = max(1, vms)

    async def tick(self) -> None:
        """Advance the time of the entry."""
        self.entry.tick()

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration that became active."""
        self.entry.configure(configuration)
        self.node.configure(configuration)
        self.log_when_ready()

    def log_when_ready(self) -> None:
        """Log an event when the daemon becomes ready for the first time."""
        if self.ready and not self.ready_logged:
            self.ready_logged = True
            events.write(Event.DAEMON_READY, vm=self.settings.vm, version=self.version)

    async def stop(self) -> None:
        """Finish the requests in flight and close."""
        events.write(Event.DAEMON_DRAINING, vm=self.settings.vm)
        self.server.leave()
        self.entry.begin_stop(self.settings.leaving_ms, self.settings.drain_ms)
        await asyncio.sleep(self.settings.leaving_ms / MS_PER_SECOND)
        await self.server.drain(self.settings.drain_ms, self.entry.cut_off)
        await self.claims.drain(CLAIMS_DRAIN_TIMEOUT_MS)
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await flush(self.entry.ledger, self.platform, self.clock.wall() + BUCKET_MS)
        await self.node.stop()
        self.entry.connections.close()
        await self.admin.drain(0)
        events.write(Event.DAEMON_STOPPED, vm=self.settings.vm)

    async def handle_admin_request(self, request: Request, caller: Caller) -> Response:
        """Handle a request on the admin port.

        Raises
        ------
        RequestError
            The path is unknown: status 404.
        """
        match request.method, request.path:
            case "GET", "/ready":
                return ready_response(self.ready)
            case "GET", "/status":
                headers = [(b"content-type", b"application/json")]
                return Response(200, headers, msgspec.json.encode(self.status()))
            case "GET", "/burn":
                headers = [(b"content-type", b"application/json")]
                return Response(200, headers, msgspec.json.encode(self.entry.ledger.all()))
            case "GET", "/metrics":
                return metrics_response(self.recorder)
            case _:
                raise bad_request("no-route", "there are /ready, /status, /burn and /metrics", 404)

    def status(self) -> Status:
        """Return the status of this VM."""
        services = {}
        for name, state in self.entry.keeper_placer.services.items():
            pool = state.pool
            services[name] = tuple(
                TargetStatus(str(address), target.vm.failure_domain, target.in_flight)
                for address, target in sorted(pool.targets.items())
            )
        return Status(
            vm=self.settings.vm,
            failure_domain=self.settings.failure_domain,
            ready=self.ready,
            draining=self.stopping.is_set(),
            version=self.version,
            connections=len(self.server.connections),
            services=services,
        )


async def serve(settings: Settings) -> None:
    """Run a daemon with these settings until it is stopped."""
    await Daemon(settings).run()


def main() -> None:
    """Read the arguments and run the daemon."""
    parser = argparse.ArgumentParser(prog="cactusvaned", description="One VM of the proxy fleet.")
    parser.add_argument("settings", type=Path, help="the daemon's settings, a JSON file")
    options = parser.parse_args()
    try:
        settings = read_settings(options.settings)
    except InputError as error:
        print(f"cactusvaned: {error}", file=sys.stderr)
        sys.exit(USAGE_ERROR)
    events.configure(settings.vm)
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD)
    asyncio.run(serve(settings))


if __name__ == "__main__":
    main()
