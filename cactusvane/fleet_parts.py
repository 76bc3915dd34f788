"""Construction of the parts of one entry VM's process that are connected to several others."""

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from cactusvane.customers.freshness import FreshnessSettings
from cactusvane.fleet_settings import CONFIGURATION_TABLE
from cactusvane.following.follower import TableChange, TableFollower
from cactusvane.following.prover import FreshnessProver
from cactusvane.placement.group_reports import GroupReports, OwnGroup

if TYPE_CHECKING:
    from cactusvane.fleet_process import FleetProcess


def make_follower(
    process: "FleetProcess", table: str, changed: Callable[[TableChange], None]
) -> TableFollower:
    """Return a follower of one table.

    Parameters
    ----------
    process
        The process, which already has its client of other entries and its sender of updates.
    table
        Name of the table.
    changed
        Called with each change.
    """
    follower = TableFollower(
        table,
        process.platform.source,
        process.entry_client.pull,
        process.clock,
        process.random,
        process.fleet.follow,
    )
    follower.on_change = changed
    follower.on_response = partial(process.update_sender.schedule_update, urgent=False)
    follower.should_read = process.should_read
    return follower


def make_prover(process: "FleetProcess", revoke_ms: float) -> FreshnessProver:
    """Return what proves that the configuration is current.

    Parameters
    ----------
    process
        The process, which already has its followers and its directory of other entries.
    revoke_ms
        Time after the removal of a key from which no request with it may run.
    """
    prover = FreshnessProver(
        process.followers[CONFIGURATION_TABLE],
        process.platform.decoder.configuration_keys,
        process.domain,
        process.other_entries.foreign_addresses,
        process.update_sender.send,
        process.start_task,
        FreshnessSettings(revoke_ms),
        process.clock,
        process.random,
    )
    process.update_sender.on_freshness = prover.receive
    return prover


def make_group_reports(process: "FleetProcess", started: int) -> GroupReports:
    """Return the exchange of reports with other groups.

    Parameters
    ----------
    process
        The process, which already has its directory of other entries and its sender of updates.
    started
        Start time of this process in milliseconds since the epoch.
    """
    reports = GroupReports(
        process.settings.vm,
        started,
        partial(own_group, process),
        process.other_entries.entries,
        process.other_entries.seed_addresses,
        process.random,
    )
    process.update_sender.relaying.reports = reports
    if process.domain.rooms is not None:
        reports.fills.append(process.domain.rooms.fill)
        reports.listeners.append(process.domain.rooms.receive)
    return reports


def own_group(process: "FleetProcess") -> OwnGroup:
    """Return the group of the process's VM."""
    return OwnGroup(process.domain.group_key(), process.domain.group(), process.relay())
