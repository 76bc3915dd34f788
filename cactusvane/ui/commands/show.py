"""The commands that show the published configuration, the fleet and the targets."""

import asyncio
from collections import Counter
from dataclasses import dataclass

import typer

from cactusvane.configuration.model import Configuration, Head
from cactusvane.configuration.publish import read_head
from cactusvane.configuration.tree import fetch_tree
from cactusvane.errors import NotFoundError
from cactusvane.fleet.vm import Address, Vm
from cactusvane.store.client import HttpPlatform
from cactusvane.ui.fleet import VmReport, entry_vms, fetch_statuses
from cactusvane.ui.options import DEFAULT_PLATFORM, JsonOption, PlatformOption
from cactusvane.ui.output import print_result, table

app = typer.Typer(no_args_is_help=True, help="Show the configuration, the fleet or the targets.")


@dataclass(frozen=True, slots=True)
class PublishedConfiguration:
    """The head and the configuration that it refers to."""

    head: Head
    configuration: Configuration


@dataclass(frozen=True, slots=True)
class TargetRow:
    """A target and its requests in flight, summed over all VMs."""

    service: str
    address: str
    failure_domain: str
    state: str
    in_flight: int


@app.command("config")
def show_config(
    platform: PlatformOption = DEFAULT_PLATFORM,  # type: ignore[assignment]
    as_json: JsonOption = False,
) -> None:
    """Show the published configuration."""
    shown = asyncio.run(read_config(platform))
    rows = [
        (service.name, " ".join(service.hosts), service.targets, service.floor, service.slots)
        for service in shown.configuration.services
    ]
    text = table(["service", "hosts", "targets", "floor", "slots"], rows)
    print_result(
        shown, f"version {shown.head.version}, digest {shown.head.digest}\n{text}", as_json
    )


async def read_config(address: Address) -> PublishedConfiguration:
    """Read the head and the configuration that it refers to."""
    platform = HttpPlatform(address)
    head = await read_head(platform)
    if head is None:
        raise NotFoundError("no configuration is published yet; run `cactusvane publish DIR`")
    tree = await fetch_tree(platform.get_object, head.digest)
    return PublishedConfiguration(head, tree.configuration)


@app.command("fleet")
def show_fleet(
    platform: PlatformOption = DEFAULT_PLATFORM,  # type: ignore[assignment]
    as_json: JsonOption = False,
) -> None:
    """Show the VMs of the fleet as listed by the platform."""
    vms = [vm for vm in asyncio.run(HttpPlatform(platform).list_vms()) if not vm.service]
    rows = [(vm.name, vm.failure_domain, vm.address, vm.state.value) for vm in vms]
    print_result({"vms": vms}, table(["vm", "failure domain", "address", "state"], rows), as_json)


@app.command("targets")
def show_targets(
    platform: PlatformOption = DEFAULT_PLATFORM,  # type: ignore[assignment]
    as_json: JsonOption = False,
) -> None:
    """Show the targets of all services with their requests in flight."""
    rows = asyncio.run(read_targets(platform))
    cells = [
        (row.service, row.address, row.failure_domain, row.state, row.in_flight) for row in rows
    ]
    head = ["service", "target", "failure domain", "state", "in flight"]
    print_result({"targets": rows}, table(head, cells), as_json)


async def read_targets(address: Address) -> list[TargetRow]:
    """Return the targets of the VM list, with the requests in flight that all VMs report."""
    vms = await HttpPlatform(address).list_vms()
    in_flight = count_in_flight(await fetch_statuses(entry_vms(vms)))
    targets = sorted((vm for vm in vms if vm.service), key=lambda vm: (vm.service, vm.address))
    return [to_row(vm, in_flight[str(vm.address)]) for vm in targets]


def count_in_flight(reports: tuple[VmReport, ...]) -> Counter[str]:
    """Return the requests in flight by address of the target."""
    counts: Counter[str] = Counter()
    for report in reports:
        services = report.status.services if report.status else {}
        for target in (target for targets in services.values() for target in targets):
            counts[target.address] += target.in_flight
    return counts


def to_row(vm: Vm, in_flight: int) -> TargetRow:
    """Return the table row of one target."""
    return TargetRow(vm.service, str(vm.address), vm.failure_domain, vm.state.value, in_flight)
