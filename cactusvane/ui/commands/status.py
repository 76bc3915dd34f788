"""The command that shows whether the fleet is ready."""

import asyncio
from dataclasses import dataclass

from cactusvane.configuration.publish import read_head
from cactusvane.fleet.vm import Address
from cactusvane.store.client import HttpPlatform
from cactusvane.ui.codes import ExitCode
from cactusvane.ui.fleet import VmReport, entry_vms, fetch_statuses
from cactusvane.ui.options import DEFAULT_PLATFORM, JsonOption, PlatformOption
from cactusvane.ui.output import exit_unless_ok, print_result, table


@dataclass(frozen=True, slots=True)
class VmRow:
    """Status of one VM; `version` is 0 if the VM did not respond."""

    vm: str
    failure_domain: str
    state: str
    version: int


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """Status of all VMs, and the published version, which should be active on each of them."""

    version: int
    vms: tuple[VmRow, ...]
    all_ready: bool


def status(
    platform: PlatformOption = DEFAULT_PLATFORM,  # type: ignore[assignment]
    as_json: JsonOption = False,
) -> None:
    """Show whether every VM is ready with the published version; exit code 7 if not."""
    fleet = asyncio.run(read_status(platform))
    rows = [(row.vm, row.failure_domain, row.state, row.version) for row in fleet.vms]
    text = table(["vm", "failure domain", "state", "version"], rows)
    print_result(fleet, f"version {fleet.version} is published\n{text}", as_json)
    exit_unless_ok(ExitCode.OK if fleet.all_ready else ExitCode.NOT_EVERYWHERE)


async def read_status(address: Address) -> FleetStatus:
    """Read the published version and fetch the status of all VMs."""
    platform = HttpPlatform(address)
    head = await read_head(platform)
    version = head.version if head else 0
    reports = await fetch_statuses(entry_vms(await platform.list_vms()))
    ready = bool(reports) and all(report.is_ready_with(version) for report in reports)
    return FleetStatus(version, tuple(to_row(report) for report in reports), ready)


def to_row(report: VmReport) -> VmRow:
    """Return the table row of one VM."""
    vm, vm_status = report.vm, report.status
    if vm_status is None:
        return VmRow(vm.name, vm.failure_domain, "no answer", 0)
    state = "ready" if vm_status.ready else "not ready"
    return VmRow(vm.name, vm.failure_domain, state, vm_status.version)
