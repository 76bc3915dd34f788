"""Process of one entry VM on a platform whose tables hold the configuration and the targets.

The process follows both tables, shares loads and evidence with the entries of its failure domain
and serves callers. On SIGTERM it stops being ready, completes the requests in flight and exits.
"""

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import replace
from functools import partial
from random import Random

from cactusvane import events
from cactusvane.clock import MS_PER_SECOND, Clock
from cactusvane.entry import Entry
from cactusvane.errors import CactusvaneError
from cactusvane.events import Event
from cactusvane.fleet.changes import log_changes
from cactusvane.fleet.departed import DepartedTargets
from cactusvane.fleet.lapse import LapsedTargets
from cactusvane.fleet.vm import Vm
from cactusvane.fleet_parts import make_follower, make_group_reports, make_prover
from cactusvane.fleet_responses import handle_admin_request, handle_peer_request
from cactusvane.fleet_settings import (
    CONFIGURATION_TABLE,
    TARGETS_TABLE,
    TICK_MS,
    FleetLimits,
    Platform,
)
from cactusvane.following.decoder import VersionedConfiguration
from cactusvane.following.exchange import EntryClient
from cactusvane.following.finder import EntryFinder
from cactusvane.following.follower import TableChange, TableFollower
from cactusvane.following.newest import NewestConfiguration
from cactusvane.following.notifier import CrashNotifier
from cactusvane.following.other_entries import OtherEntries
from cactusvane.following.puller import TablePuller
from cactusvane.following.readers import ReaderCandidate, is_reader
from cactusvane.following.status import reader_candidate, store_status
from cactusvane.http.connection import FreshConnections
from cactusvane.http.memory import budgets_for
from cactusvane.http.server import Server
from cactusvane.metrics import Recorder
from cactusvane.placement.domain import Domain
from cactusvane.placement.messages import RelayedUpdate, StoreStatus
from cactusvane.placement.placer import SharedPlacer
from cactusvane.placement.sender import UpdateSender
from cactusvane.quota.gate import QuotaGate
from cactusvane.settings import Settings
from cactusvane.signals import Signals

RESTART_DELAY_MS = 500.0
"""Delay before a table is followed again after an exception."""


class FleetProcess:
    """Process of one entry VM.

    Parameters
    ----------
    settings
        Settings of this VM.
    fleet
        Limits for all VMs together.
    platform
        The platform's interfaces.
    load_settings
        Loads the settings again.

    Attributes
    ----------
    configuration_rows
        Rows of the active configuration, as they were in the store.
    listed
        Targets of all services, with those that are retained during an outage of the store.
    stopping
        Set when the process has received a signal to stop.
    prover
        Proves that the configuration is current; None where keys need not be revoked strictly.
    ended
        Whether the drain of the requests in flight is over and the process is closing.
    """

    def __init__(
        self,
        settings: Settings,
        fleet: FleetLimits,
        platform: Platform,
        load_settings: Callable[[], Settings],
    ) -> None:
        self.settings = settings
        self.fleet = fleet
        self.platform = platform
        self.load_settings = load_settings
        self.clock = Clock()
        self.random = Random(f"{settings.vm}/{self.clock.wall()}")
        self.recorder = Recorder()
        self.budgets = self.recorder.budgets = budgets_for(settings.memory_mb)
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
        self.update_sender = UpdateSender(
            self.domain, settings.peer, self.store_status, self.receive_updates, self.clock
        )
        self.placer = SharedPlacer(self.domain, self.clock, self.update_sender.schedule_update)
        self.entry = Entry(
            settings,
            self.clock,
            self.random,
            self.recorder,
            self.placer,
            FreshConnections(settings.http, self.clock, default_max_spares=0, budgets=self.budgets),
            platform.header_names,
        )
        self.entry.crashes = self.domain.crashes
        self.domain.idle_ms = self.entry.idle_connections.idle_ms
        self.entry_client = EntryClient(settings.http)
        self.followers = {
            CONFIGURATION_TABLE: make_follower(
                self, CONFIGURATION_TABLE, self.configuration_changed
            ),
            TARGETS_TABLE: make_follower(self, TARGETS_TABLE, self.targets_changed),
        }
        self.finder = EntryFinder(
            settings,
            platform.directory,
            self.domain,
            self.entry_client,
            self.followers,
            self.update_sender.introduce,
            self.clock,
        )
        self.other_entries = OtherEntries(
            settings, fleet.failure_domains, platform.directory, self.clock
        )
        self.crash_notifier = CrashNotifier(
            self.other_entries,
            self.domain.crashes,
            self.update_sender.send,
            self.clock,
            self.random,
        )
        self.group_reports = make_group_reports(self, started)
        self.quota_gate = QuotaGate(
            fleet,
            self.domain,
            self.group_reports,
            self.update_sender.schedule_update,
            self.relay,
            self.clock,
            self.random,
        )
        self.puller = TablePuller(self.domain, self.followers, self.clock, self.random)
        self.prover = None if fleet.revoke_ms is None else make_prover(self, fleet.revoke_ms)
        self.entry.gate.quota = self.quota_gate
        if self.prover is not None:
            self.entry.gate.freshness = self.prover.gate
        self.departed = DepartedTargets(fleet.target_lapse_ms)
        self.newest = NewestConfiguration(
            self.domain,
            self.entry_client.configuration,
            self.offer_configuration,
            self.clock,
            self.random,
            confirmed=fleet.follow.startup_spread_ms > 0.0,
        )
        self.lapsed = LapsedTargets(fleet.max_retention_ms(settings.http.connect_ms))
        self.server = Server(settings.http, self.entry.handle, self.budgets)
        side = settings.http.for_side()
        self.admin = Server(side, partial(handle_admin_request, self), self.budgets)
        self.peer_server = Server(side, partial(handle_peer_request, self), self.budgets)
        self.configuration_rows: dict[str, bytes] = {}
        self.listed: tuple[Vm, ...] = ()
        self.stopping = asyncio.Event()
        self.ended = False
        self.was_ready = False
        self.tasks: set[asyncio.Task[None]] = set()

    def relay(self) -> str:
        """Return the VM that is the relay of this VM's group."""
        return self.update_sender.relaying.relay

    @property
    def ready(self) -> bool:
        """Whether callers should be sent to this VM.

        The newest configuration is active and known to be current where that is required, the
        targets are known, and the process is not stopping.
        """
        if self.version == 0 or self.stopping.is_set():
            return False
        if self.prover is not None and not self.prover.gate.is_current:
            return False
        return self.followers[TARGETS_TABLE].copy.loaded and self.newest.is_confirmed()

    @property
    def version(self) -> int:
        """Version of the active configuration; 0 without any."""
        return self.newest.version

    def store_status(self) -> StoreStatus:
        """Return how the platform's tables respond to this VM."""
        return store_status(
            self.followers,
            self.clock.now(),
            self.stopping.is_set(),
            self.version,
            None if self.prover is None else self.prover.proof_age_ms(),
        )

    def should_read(self) -> bool:
        """Return whether this VM should read the platform's tables for its failure domain.

        Other VMs do not count a stopping VM as eligible; it still follows their order itself.
        """
        now = self.clock.now()
        peers = self.domain.live_peers(now)
        others = tuple(
            reader_candidate(vm, peer.store_status, now - peer.store_status_at)
            for vm, peer in peers.items()
            if peer.store_status is not None
        )
        own = self.store_status()
        eligible = own.can_read or self.stopping.is_set()
        own_candidate = ReaderCandidate(self.settings.vm, own.response_age_ms, eligible)
        return is_reader(own_candidate, others, self.fleet.follow.max_staleness_ms)

    async def run(self, signals: Signals | None = None) -> None:
        """Serve callers until the process receives SIGTERM or SIGINT.

        Parameters
        ----------
        signals
            Signals that were held back while the process was loaded.
        """
        signals = signals or Signals()
        signals.handle(self.stopping.set, self.reload_settings)
        await self.update_sender.start()
        await self.peer_server.start(self.settings.peer)
        await self.admin.start(self.settings.admin)
        address = await self.server.start(self.settings.listen)
        events.write(Event.DAEMON_STARTED, vm=self.settings.vm, address=address)
        for follower in self.followers.values():
            self.start_task(self.follow(follower))
        self.start_task(self.finder.register())
        self.start_task(self.tick())
        if self.prover is not None:
            self.start_task(self.prover.run())
        self.start_task(self.finder.query_seeds(lambda: self.ready or self.stopping.is_set()))
        await self.stopping.wait()
        await self.stop()
        signals.ignore()

    async def follow(self, follower: TableFollower) -> None:
        """Follow a table until cancelled, also after an exception that nobody has foreseen."""
        while True:
            try:
                await follower.run()
            except Exception as error:
                events.write(Event.DAEMON_TASK_FAILED, error=repr(error))
            await asyncio.sleep(RESTART_DELAY_MS / MS_PER_SECOND)

    def start_task(self, work: Coroutine[None, None, None]) -> None:
        """Run `work` as a background task; an exception in it is logged."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.log_task_failure)

    def log_task_failure(self, task: asyncio.Task[None]) -> None:
        """Log the exception of a background task that failed."""
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            events.write(Event.DAEMON_TASK_FAILED, error=repr(error))

    def configuration_changed(self, change: TableChange) -> None:
        """Activate the table's configuration if it is newer than the active one."""
        rows = self.followers[CONFIGURATION_TABLE].copy.values()
        found = self.platform.decoder.configuration(rows)
        self.apply_configuration(found, rows)
        if found is not None and self.prover is not None:
            self.prover.record_usable(rows)

    def offer_configuration(self, rows: dict[str, bytes]) -> int:
        """Activate a configuration if it is newer than the active one; return the active version.

        Parameters
        ----------
        rows
            Rows of the configuration, as they are in the store.
        """
        self.apply_configuration(self.platform.decoder.configuration(rows), rows)
        return self.version

    def apply_configuration(
        self, found: VersionedConfiguration | None, rows: dict[str, bytes]
    ) -> None:
        """Activate a configuration if it is newer than the active one.

        Parameters
        ----------
        found
            The configuration; None if it cannot be used.
        rows
            Rows that it was decoded from, as they are in the store.
        """
        if found is not None and found.version > self.version:
            self.configuration_rows = rows
            self.activate(found)
        self.update_sender.schedule_update(urgent=True)

    def activate(self, found: VersionedConfiguration) -> None:
        """Activate a configuration."""
        self.entry.version = found.version
        self.newest.activated(found.version)
        self.entry.configure(found.configuration)
        self.quota_gate.configure(found.configuration)
        if found.limits.body_bytes != self.server.limits.body_bytes:
            self.check_memory(found)
        self.server.limits = self.settings.http.adopt(found.limits)
        if self.prover is not None:
            self.prover.activate(bool(found.configuration.customers))
        events.write(Event.CONFIGURATION_ADOPTED, version=found.version)
        self.log_ready()

    def check_memory(self, found: VersionedConfiguration) -> None:
        """Log that the configuration allows larger bodies than this VM has memory for."""
        if found.limits.body_bytes > self.budgets.uploads.limit:
            events.write(
                Event.BODIES_TOO_LARGE,
                version=found.version,
                body_bytes=found.limits.body_bytes,
                memory_bytes=round(self.budgets.uploads.limit),
            )

    def targets_changed(self, change: TableChange) -> None:
        """Apply the table's targets; after a restore, check this VM's registration too."""
        if change.restored:
            self.start_task(self.finder.renew())
        self.refresh_targets()
        self.update_sender.schedule_update(urgent=True)
        self.log_ready()

    def refresh_targets(self) -> None:
        """Pass all targets to the entry, with those that lapsed in an outage.

        Rows that came back with an older copy of the store are outdated where more is known.
        """
        now = self.clock.now()
        copy = self.followers[TARGETS_TABLE].copy
        listed = self.platform.decoder.targets(copy.values())
        row_versions = {key: row.version for key, row in copy.rows.items()}
        restored = self.departed.was_restored(copy.era)
        retained = self.lapsed.update(listed, now, restored)
        before = self.listed
        self.listed = self.departed.update(retained, row_versions, copy.era, now)
        log_changes(before, self.listed)
        self.entry.update_vms(self.listed)

    def log_ready(self) -> None:
        """Log once that the process became ready."""
        if self.ready and not self.was_ready:
            self.was_ready = True
            events.write(Event.DAEMON_READY, vm=self.settings.vm, version=self.version)

    def receive_updates(self, updates: list[RelayedUpdate]) -> None:
        """Apply state updates from other entries.

        A newer version of a table starts a pull; a failed call to the store counts as an outage.
        """
        for relayed_update in updates:
            store_status = relayed_update.update.store_status
            if store_status is None:
                continue
            self.pull_newer(store_status)
            if store_status.failure_age_ms is not None:
                self.lapsed.record_failure(self.clock.now() - store_status.failure_age_ms)
        self.placer.wake()

    def pull_newer(self, store_status: StoreStatus) -> None:
        """Pull what another entry has and this one lacks; the tables before the configuration."""
        behind = [
            table
            for table in store_status.table_versions
            if self.puller.should_pull(table, store_status.position(table))
        ]
        for table in behind:
            self.start_task(self.puller.pull(table))
        if not behind and not self.puller.pending and self.newest.should_pull(store_status):
            self.start_task(self.newest.pull())

    async def tick(self) -> None:
        """Run the periodic work until cancelled."""
        while True:
            await asyncio.sleep(TICK_MS / MS_PER_SECOND)
            now = self.clock.now()
            self.entry.tick()
            self.track_outages(now)
            self.newest.alone = self.finder.registered and not self.domain.peers
            self.log_ready()
            if due := self.crash_notifier.due():
                self.start_task(self.crash_notifier.tell(due))
            self.find_other_groups()

    def find_other_groups(self) -> None:
        """Read the directory for reports to other groups; only the relay sends any."""
        is_relay = self.relay() == self.settings.vm
        if self.group_reports.active and is_relay and self.other_entries.is_due():
            self.start_task(self.other_entries.refresh())

    def track_outages(self, now: float) -> None:
        """Record outages of the store, and drop targets that did not register again after one."""
        failed_at = self.followers[TARGETS_TABLE].last_failure_at
        if failed_at is not None:
            self.lapsed.record_failure(failed_at)
        if self.lapsed.has_expired(now) or self.departed.has_expired(now):
            self.refresh_targets()

    def reload_settings(self) -> None:
        """Load the settings again and apply the changed seeds; all else needs a restart."""
        try:
            settings = self.load_settings()
        except CactusvaneError as error:
            events.write(Event.DAEMON_TASK_FAILED, error=f"settings were not reloaded: {error}")
            return
        self.settings = self.finder.settings = replace(self.settings, peers=settings.peers)
        events.write(Event.SETTINGS_RELOADED, vm=self.settings.vm)

    async def stop(self) -> None:
        """Announce that this VM leaves, complete the requests in flight and close."""
        events.write(Event.DAEMON_DRAINING, vm=self.settings.vm)
        self.server.leave()
        self.entry.begin_stop(self.settings.leaving_ms, self.settings.drain_ms)
        self.update_sender.schedule_update(urgent=True)
        await asyncio.sleep(self.settings.leaving_ms / MS_PER_SECOND)
        await self.server.drain(self.settings.drain_ms, self.entry.cut_off)
        self.ended = True
        for task in tuple(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.update_sender.close()
        self.entry.connections.close()
        self.entry.idle_connections.close()
        await self.peer_server.drain(0)
        await self.admin.drain(0)
        events.write(Event.DAEMON_STOPPED, vm=self.settings.vm)
