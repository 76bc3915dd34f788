"""The daemon: ``cactusvaned SETTINGS.json``.

A shell round the entry: it reads settings, follows configuration and VM list, listens, and on
SIGTERM stops being ready, finishes what is in flight and closes.
"""

import argparse
import asyncio
import gc
import signal
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
from cactusvane.configuration.follow import Follower
from cactusvane.configuration.model import Configuration
from cactusvane.errors import InputError, PlatformError, SettingsError
from cactusvane.events import Event
from cactusvane.fleet.vm import Vm
from cactusvane.http.check import bad_request
from cactusvane.http.exchange import Caller
from cactusvane.http.message import Request, Response
from cactusvane.http.server import Server
from cactusvane.keeper_entry import KeeperEntry
from cactusvane.keyed import KeyedRequests
from cactusvane.metrics import Recorder
from cactusvane.peers.node import Node
from cactusvane.report.ledger import BUCKET_MS
from cactusvane.report.store import flush
from cactusvane.settings import Settings, check_addresses
from cactusvane.store.client import HttpPlatform

TICK_MS = 100
"""How often time passes in the pools."""

STORE_BURN_MS = 10_000
"""How often buckets of the burn report that are over are stored."""

CLAIM_TIMEOUT_MS = 1_000
"""How long one exchange about a claim may take before the table counts as silent."""

LIST_READS_PER_SECOND = 1_000.0
"""Reads of the VM list that the whole fleet may do."""

CLAIMS_DRAIN_MS = 3_000
"""How long a stopping daemon waits until outcomes of keyed requests are recorded."""

USAGE_ERROR = 2
GC_THRESHOLD = 50_000
"""Allocations between garbage collections; requests leave few cycles behind."""


@dataclass(frozen=True, slots=True)
class TargetStatus:
    """A target as this VM sees it."""

    address: str
    failure_domain: str
    in_flight: int


@dataclass(frozen=True, slots=True)
class Status:
    """What ``/status`` of the admin port shows."""

    vm: str
    failure_domain: str
    ready: bool
    draining: bool
    version: int
    connections: int
    services: dict[str, tuple[TargetStatus, ...]]


def read_settings(path: Path) -> Settings:
    """Read a daemon's settings.

    Raises
    ------
    SettingsError
        The file cannot be read, or does not hold settings.
    """
    try:
        data = path.read_bytes()
        check = msgspec.json.decode(data)
        settings = msgspec.convert(check, Settings)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except msgspec.DecodeError as error:
        raise SettingsError(f"{path}: {error}") from error
    unknown = unknown_fields(check, msgspec.to_builtins(settings))
    if unknown:
        raise SettingsError(f"{path}: unknown field: {unknown}; remove or rename it")
    check_addresses(str(path), settings)
    return settings


def unknown_fields(given: object, known: object, path: str = "") -> str:
    """Return the path of a member of `given` that `known` does not have, or an empty text.

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
    """One VM's process.

    Parameters
    ----------
    settings
        From the settings file.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.clock = Clock()
        self.recorder = Recorder()
        self.entry = KeeperEntry(settings, self.clock, Random(settings.seed), self.recorder)
        self.platform = HttpPlatform(settings.platform)
        claim_table = HttpPlatform(settings.platform, CLAIM_TIMEOUT_MS)
        self.claims = Claims(claim_table, self.clock, SystemRandom(), settings.vm)
        self.entry.keyed = KeyedRequests(self.claims)
        self.follower = Follower(settings, self.platform, self.clock)
        self.follower.on_change.append(self.change_configuration)
        self.node = Node(settings, self.clock, self.entry, self.follower)
        self.server = Server(settings.http, self.entry.handle)
        self.admin = Server(settings.http, self.handle_admin_request)
        self.stopping = asyncio.Event()
        self.listed = False
        self.was_ready = False
        self.tasks: list[asyncio.Task[None]] = []

    @property
    def ready(self) -> bool:
        """Whether callers should be sent here."""
        serves = self.version > 0 and self.listed and not self.entry.keeper_placer.is_isolated
        return serves and not self.stopping.is_set()

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 for none."""
        return self.follower.head.version if self.follower.head else 0

    async def run(self) -> None:
        """Serve until told to stop."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        address = await self.server.start(self.settings.listen)
        await self.admin.start(self.settings.admin)
        await self.node.start()
        events.write(Event.DAEMON_STARTED, vm=self.settings.vm, address=address)
        self.start_tasks()
        await self.stopping.wait()
        await self.stop()

    def start_tasks(self) -> None:
        """Start what runs beside the callers' requests."""
        loop = asyncio.get_running_loop()
        for work in (
            self.follower.run(),
            self.follow_list(),
            self.repeat(TICK_MS, self.tick),
            self.repeat(STORE_BURN_MS, self.store_burn),
        ):
            self.tasks.append(loop.create_task(work))

    async def follow_list(self) -> None:
        """Read the VM list again and again, more rarely in a large fleet."""
        while True:
            await self.once(self.list_vms)
            spread = self.follower.vms * MS_PER_SECOND / LIST_READS_PER_SECOND
            await asyncio.sleep(max(self.settings.vm_list_ms, spread) / MS_PER_SECOND)

    async def repeat(self, period_ms: float, work: Callable[[], Awaitable[None]]) -> None:
        """Do `work` again and again."""
        while True:
            await self.once(work)
            await asyncio.sleep(period_ms / MS_PER_SECOND)

    async def once(self, work: Callable[[], Awaitable[None]]) -> None:
        """Do `work`; an error in it is logged."""
        try:
            await work()
        except Exception as error:
            events.write(Event.DAEMON_TASK_FAILED, error=repr(error))

    async def list_vms(self) -> None:
        """Take the platform's VM list; the last one serves while there is none."""
        try:
            vms: tuple[Vm, ...] | None = await self.platform.list_vms()
        except PlatformError:
            vms = None if self.listed else await self.node.fetch_list()
        if vms is None:
            return
        self.entry.list_vms(vms)
        self.node.list_vms(vms)
        self.share_budgets(sum(not vm.service for vm in vms))
        self.listed = True
        self.note_ready()

    async def store_burn(self) -> None:
        """Store what the burn report needs, as far as it is over."""
        await flush(self.entry.ledger, self.platform, self.clock.wall())

    def share_budgets(self, vms: int) -> None:
        """Take this VM's share of what the fleet of `vms` may ask of the platform."""
        self.follower.vms = max(1, vms)
        self.claims.budget.vms = max(1, vms)

    async def tick(self) -> None:
        """Let time pass."""
        self.entry.tick()

    def change_configuration(self, configuration: Configuration) -> None:
        """Put a configuration in force."""
        self.entry.configure(configuration)
        self.node.configure(configuration)
        self.note_ready()

    def note_ready(self) -> None:
        """Log the moment in which the daemon becomes ready."""
        if self.ready and not self.was_ready:
            self.was_ready = True
            events.write(Event.DAEMON_READY, vm=self.settings.vm, version=self.version)

    async def stop(self) -> None:
        """Finish what is in flight and close."""
        events.write(Event.DAEMON_DRAINING, vm=self.settings.vm)
        self.server.leave()
        self.entry.leaving = True
        await asyncio.sleep(self.settings.leaving_ms / MS_PER_SECOND)
        await self.server.drain(self.settings.drain_ms)
        await self.claims.drain(CLAIMS_DRAIN_MS)
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await flush(self.entry.ledger, self.platform, self.clock.wall() + BUCKET_MS)
        await self.node.stop()
        self.entry.connections.close()
        await self.admin.drain(0)
        events.write(Event.DAEMON_STOPPED, vm=self.settings.vm)

    async def handle_admin_request(self, request: Request, caller: Caller) -> Response:
        """Answer on the admin port."""
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
        """Return what this VM knows."""
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
    """Run a daemon with these settings until it is told to stop."""
    await Daemon(settings).run()


def main() -> None:
    """Read the arguments and serve."""
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
