"""One VM's process where the platform's tables hold configuration and targets.

It follows both tables, shares loads and evidence with the entries of its failure domain, serves
callers, and on SIGTERM stops being ready, finishes what is in flight and ends.
"""

import asyncio
import signal
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from functools import partial
from random import Random

from cactusvane import events
from cactusvane.admin import metrics_response, ready_response
from cactusvane.clock import MS_PER_SECOND, Clock
from cactusvane.entry import Entry
from cactusvane.errors import CactusvaneError
from cactusvane.events import Event
from cactusvane.fleet.changes import log_changes
from cactusvane.fleet.lapse import LapsedTargets
from cactusvane.fleet.vm import Vm
from cactusvane.following.decoder import TableDecoder, VersionedConfiguration
from cactusvane.following.directory import EntryDirectory
from cactusvane.following.exchange import (
    ENTRIES_PATH,
    TABLES_PATH,
    EntryExchange,
    asked_version,
    encode,
)
from cactusvane.following.finder import EntryFinder
from cactusvane.following.follower import FollowSettings, TableFollower
from cactusvane.following.puller import TablePuller
from cactusvane.following.readers import Candidate, is_reader
from cactusvane.following.source import TableSource
from cactusvane.http.check import bad_request
from cactusvane.http.connection import TargetConnections
from cactusvane.http.exchange import Caller
from cactusvane.http.message import Request, Response
from cactusvane.http.server import Server
from cactusvane.http.vocabulary import Vocabulary
from cactusvane.metrics import Recorder
from cactusvane.placement.announcer import Announcer
from cactusvane.placement.domain import Domain
from cactusvane.placement.messages import Passed, Reading
from cactusvane.placement.placer import SharedPlacer
from cactusvane.placement.retries import RetryLimit
from cactusvane.placement.settings import PlacementSettings
from cactusvane.settings import Settings

CONFIGURATION_TABLE = "configuration"
TARGETS_TABLE = "targets"

TICK_MS = 100.0
"""How often time passes in the decisions."""


@dataclass(frozen=True, slots=True)
class PlatformParts:
    """What a process needs of the platform.

    Parameters
    ----------
    source
        Its tables, under the names `CONFIGURATION_TABLE` and `TARGETS_TABLE`.
    decoder
        What their rows mean.
    directory
        Where entries find each other.
    vocabulary
        Names of the header fields that targets know.
    """

    source: TableSource
    decoder: TableDecoder
    directory: EntryDirectory
    vocabulary: Vocabulary


@dataclass(frozen=True, slots=True)
class FleetLimits:
    """Bounds that all entries keep together.

    Parameters
    ----------
    retries
        For each service.
    follow
        How soon a change must be known everywhere.
    placement
        Which share of a service's targets stays in use, and how requests are placed.
    """

    retries: RetryLimit
    follow: FollowSettings
    placement: PlacementSettings


class FleetProcess:
    """One VM's process.

    Parameters
    ----------
    settings
        Of this VM.
    fleet
        Bounds for all VMs together.
    platform
        The platform as this VM reaches it.
    reload
        Reads the settings again.
    """

    def __init__(
        self,
        settings: Settings,
        fleet: FleetLimits,
        platform: PlatformParts,
        reload: Callable[[], Settings],
    ) -> None:
        self.settings = settings
        self.fleet = fleet
        self.platform = platform
        self.reload = reload
        self.clock = Clock()
        self.random = Random(f"{settings.vm}/{self.clock.wall()}")
        self.recorder = Recorder()
        started = int(self.clock.wall())
        self.domain = Domain(
            settings.vm,
            settings.failure_domain,
            started,
            self.random,
            fleet.placement,
            limit=fleet.retries,
            strength=settings.strength,
        )
        self.announcer = Announcer(self.domain, settings.peer, self.reading, self.heard, self.clock)
        self.placer = SharedPlacer(self.domain, self.clock, self.announcer.announce)
        self.entry = Entry(
            settings,
            self.clock,
            self.random,
            self.recorder,
            self.placer,
            TargetConnections(settings.http, self.clock, spares=0),
            platform.vocabulary,
        )
        self.domain.rested_ms = self.entry.kept.rested_ms
        self.exchange = EntryExchange(settings.http)
        self.followers = {
            CONFIGURATION_TABLE: self.follower(CONFIGURATION_TABLE, self.configuration_changed),
            TARGETS_TABLE: self.follower(TARGETS_TABLE, self.targets_changed),
        }
        self.finder = EntryFinder(
            settings,
            platform.directory,
            self.domain,
            self.exchange,
            self.followers,
            self.announcer.greet,
            self.clock,
        )
        self.puller = TablePuller(self.domain, self.followers, self.clock, self.random)
        self.lapsed = LapsedTargets()
        self.server = Server(settings.http, self.entry.handle)
        self.admin = Server(settings.http, self.handle_admin_request)
        self.peer_server = Server(settings.http, self.handle_peer_request)
        self.version = 0
        self.listed: tuple[Vm, ...] = ()
        self.stopping = asyncio.Event()
        self.ended = False
        self.was_ready = False
        self.tasks: set[asyncio.Task[None]] = set()

    def follower(self, table: str, changed: Callable[[tuple[str, ...]], None]) -> TableFollower:
        """Return a follower of one table."""
        follower = TableFollower(
            table,
            self.platform.source,
            self.exchange.pull,
            self.clock,
            self.random,
            self.fleet.follow,
        )
        follower.on_change = changed
        follower.on_answer = partial(self.announcer.announce, urgent=False)
        follower.should_read = self.should_read
        return follower

    @property
    def ready(self) -> bool:
        """Whether callers should be sent here."""
        knows_targets = self.followers[TARGETS_TABLE].copy.loaded
        return self.version > 0 and knows_targets and not self.stopping.is_set()

    def reading(self) -> Reading:
        """Return how the platform's tables answer this VM."""
        now = self.clock.now()
        followers = self.followers.values()
        failing = any(follower.failing for follower in followers)
        answers = [follower.answered_at for follower in followers]
        known = [at for at in answers if at is not None]
        failures = [follower.failed_at for follower in followers if follower.failed_at is not None]
        return Reading(
            able=not failing and not self.stopping.is_set(),
            answer_age_ms=now - min(known) if len(known) == len(answers) else None,
            failure_age_ms=now - max(failures) if failures else None,
            tables={name: follower.copy.changed for name, follower in self.followers.items()},
        )

    def should_read(self) -> bool:
        """Say whether this VM is to read the platform's tables for its failure domain."""
        now = self.clock.now()
        peers = self.domain.live_peers(now)
        others = tuple(
            candidate(vm, peer.reading, now - peer.read_at)
            for vm, peer in peers.items()
            if peer.reading is not None
        )
        own = self.reading()
        able = own.able or self.stopping.is_set()
        me = Candidate(self.settings.vm, own.answer_age_ms, able)
        return is_reader(me, others, self.fleet.follow.fresh_ms)

    async def run(self) -> None:
        """Serve until told to stop."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.read_settings)
        await self.announcer.start()
        await self.peer_server.start(self.settings.peer)
        await self.admin.start(self.settings.admin)
        address = await self.server.start(self.settings.listen)
        events.write(Event.DAEMON_STARTED, vm=self.settings.vm, address=address)
        for follower in self.followers.values():
            self.start(follower.run())
        self.start(self.finder.enter())
        self.start(self.tick())
        self.start(self.finder.ask_seeds(lambda: self.ready or self.stopping.is_set()))
        await self.stopping.wait()
        await self.stop()

    def start(self, work: Coroutine[None, None, None]) -> None:
        """Run `work` beside the callers' requests; an error in it is logged."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.done)

    def done(self, task: asyncio.Task[None]) -> None:
        """Log how a task ended, if badly."""
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            events.write(Event.DAEMON_TASK_FAILED, error=repr(error))

    def configuration_changed(self, keys: tuple[str, ...]) -> None:
        """Put the table's configuration in force unless it is older than the one in force."""
        rows = self.followers[CONFIGURATION_TABLE].copy.values()
        found = self.platform.decoder.configuration(rows)
        if found is not None and found.version > self.version:
            self.adopt(found)
        self.announcer.announce(urgent=True)

    def adopt(self, found: VersionedConfiguration) -> None:
        """Put a configuration in force."""
        self.version = self.entry.version = found.version
        self.entry.configure(found.configuration)
        self.server.limits = found.limits
        events.write(Event.CONFIGURATION_ADOPTED, version=found.version)
        self.note_ready()

    def targets_changed(self, keys: tuple[str, ...]) -> None:
        """Go by the table's targets."""
        self.list_targets()
        self.announcer.announce(urgent=True)
        self.note_ready()

    def list_targets(self) -> None:
        """Tell the entry of all targets, with those that lapsed in an outage."""
        rows = self.followers[TARGETS_TABLE].copy.values()
        listed = self.platform.decoder.targets(rows)
        before, self.listed = self.listed, self.lapsed.list(listed, self.clock.now())
        log_changes(before, self.listed)
        self.entry.list_vms(self.listed)

    def note_ready(self) -> None:
        """Log the moment in which the process becomes ready."""
        if self.ready and not self.was_ready:
            self.was_ready = True
            events.write(Event.DAEMON_READY, vm=self.settings.vm, version=self.version)

    def heard(self, news: list[Passed]) -> None:
        """Go by what other entries told."""
        for passed in news:
            reading = passed.notice.reading
            if reading is None:
                continue
            for table, version in reading.tables.items():
                if self.puller.should_pull(table, version):
                    self.start(self.puller.pull(table))
            if reading.failure_age_ms is not None:
                self.lapsed.failed(self.clock.now() - reading.failure_age_ms)
        self.placer.wake()

    async def tick(self) -> None:
        """Let time pass."""
        while True:
            await asyncio.sleep(TICK_MS / MS_PER_SECOND)
            now = self.clock.now()
            self.entry.tick()
            self.watch_store(now)

    def watch_store(self, now: float) -> None:
        """Note outages of the platform, and give up targets that did not come back after one."""
        failed_at = self.followers[TARGETS_TABLE].failed_at
        if failed_at is not None:
            self.lapsed.failed(failed_at)
        if self.lapsed.due(now):
            self.list_targets()

    def read_settings(self) -> None:
        """Go by settings that changed."""
        try:
            settings = self.reload()
        except CactusvaneError as error:
            events.write(Event.DAEMON_TASK_FAILED, error=f"settings were not read: {error}")
            return
        self.settings = self.finder.settings = replace(self.settings, peers=settings.peers)
        events.write(Event.SETTINGS_RELOADED, vm=self.settings.vm)

    async def stop(self) -> None:
        """Finish what is in flight and end."""
        events.write(Event.DAEMON_DRAINING, vm=self.settings.vm)
        self.server.leave()
        self.entry.leaving = True
        self.announcer.announce(urgent=True)
        await asyncio.sleep(self.settings.leaving_ms / MS_PER_SECOND)
        await self.server.drain(self.settings.drain_ms)
        self.ended = True
        for task in tuple(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.announcer.close()
        self.entry.connections.close()
        self.entry.kept.close()
        await self.peer_server.drain(0)
        await self.admin.drain(0)
        events.write(Event.DAEMON_STOPPED, vm=self.settings.vm)

    async def handle_admin_request(self, request: Request, caller: Caller) -> Response:
        """Answer on the admin port."""
        match request.method, request.path:
            case "GET", "/ready":
                return ready_response(self.ready)
            case "GET", "/metrics":
                self.recorder.targets = self.domain.count_targets(self.clock.now())
                return metrics_response(self.recorder)
            case _:
                raise bad_request("no-route", "there are /ready and /metrics", 404)

    async def handle_peer_request(self, request: Request, caller: Caller) -> Response:
        """Answer another entry."""
        if request.path == ENTRIES_PATH:
            return encode(self.finder.known())
        follower = self.followers.get(request.path.removeprefix(TABLES_PATH))
        if follower is None:
            raise bad_request("no-route", f"there are {ENTRIES_PATH} and {TABLES_PATH}NAME", 404)
        return encode(follower.copy.since(asked_version(request)))


def candidate(vm: str, reading: Reading, heard_ago_ms: float) -> Candidate:
    """Return another entry as a reader, by what it said `heard_ago_ms` ago."""
    age = reading.answer_age_ms
    return Candidate(vm, None if age is None else age + heard_ago_ms, reading.able)
