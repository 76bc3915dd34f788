"""The command that publishes service files."""

import asyncio
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated
from uuid import uuid4

import typer

from cactusvane.configuration.check import check_together, find_service_files, read_files
from cactusvane.configuration.merge import Change
from cactusvane.configuration.publish import Published, publish
from cactusvane.errors import InputError, PlatformError
from cactusvane.fleet.vm import Address
from cactusvane.store.client import HttpPlatform
from cactusvane.store.interface import Platform
from cactusvane.ui.base import read_base, write_base
from cactusvane.ui.codes import ExitCode
from cactusvane.ui.fleet import entry_vms, fetch_statuses
from cactusvane.ui.options import DEFAULT_PLATFORM, JsonOption, PlatformOption
from cactusvane.ui.output import exit_unless_ok, print_result

WAIT_SECONDS = 30.0
POLL_SECONDS = 0.25


@dataclass(frozen=True, slots=True)
class Result:
    """Result of a publish, printed as JSON with these keys.

    `vms` and `in_force` count the VMs and those with the new version; both are 0 without waiting.
    """

    version: int
    digest: str
    publish_id: str
    changed: tuple[str, ...]
    in_force: int = 0
    vms: int = 0


def publish_files(
    directory: Annotated[
        Path, typer.Argument(metavar="DIR", help="Directory of the service files.")
    ],
    wait: Annotated[
        bool, typer.Option("--wait", help="Wait until the version is active on every VM.")
    ] = False,
    wait_seconds: Annotated[float, typer.Option(help="Maximum time to wait.")] = WAIT_SECONDS,
    remove: Annotated[
        list[str] | None, typer.Option(metavar="NAME", help="Remove this service.")
    ] = None,
    publish_id: Annotated[
        str | None, typer.Option("--id", help="Complete or repeat the publish with this id.")
    ] = None,
    overwrite: Annotated[
        bool,
        typer.Option("--overwrite", help="Replace changes that others published in the meantime."),
    ] = False,
    platform: PlatformOption = DEFAULT_PLATFORM,  # type: ignore[assignment]
    as_json: JsonOption = False,
) -> None:
    """Check all files below DIR and publish them together.

    Services that are not in DIR stay unchanged. Concurrent changes of other operators to other
    services are kept; a change to the same service is a conflict.
    """
    files = read_files(find_service_files(directory))
    if not files and not remove:
        raise InputError(f"{directory}: there are no service files (*.json) in this directory")
    configuration = check_together(files)
    change = Change(configuration.services, tuple(remove or ()), read_base(directory), overwrite)
    timeout_s = wait_seconds if wait else 0.0
    result = asyncio.run(run(platform, directory, change, publish_id or uuid4().hex, timeout_s))
    print_result(result, describe(result), as_json)
    everywhere = 0 < result.vms == result.in_force
    exit_unless_ok(ExitCode.OK if everywhere or not wait else ExitCode.NOT_EVERYWHERE)


async def run(
    address: Address, directory: Path, change: Change, publish_id: str, wait_seconds: float
) -> Result:
    """Publish, write the base file, and wait up to `wait_seconds` for the VMs."""
    platform = HttpPlatform(address)
    published = await publish(platform, change, publish_id)
    write_base(directory, change, published.configuration)
    in_force, vms = await wait_until_active(platform, published, wait_seconds)
    head = published.head
    return Result(head.version, head.digest, head.publish_id, published.changed, in_force, vms)


async def wait_until_active(
    platform: Platform, published: Published, wait_seconds: float
) -> tuple[int, int]:
    """Wait until the version is active on all VMs, up to `wait_seconds`.

    Returns
    -------
    tuple of int and int
        The number of VMs on which the version is active, and the number of VMs.
    """
    end = time.monotonic() + wait_seconds
    in_force, vms = 0, 0
    while time.monotonic() < end:
        try:
            reports = await fetch_statuses(entry_vms(await platform.list_vms()))
        except PlatformError:
            reports = ()
        vms = len(reports) or vms
        in_force = sum(report.is_ready_with(published.head.version) for report in reports)
        if reports and in_force == vms:
            break
        await asyncio.sleep(POLL_SECONDS)
    return in_force, vms


def describe(result: Result) -> str:
    """Return the result as human-readable text."""
    changed = ", ".join(result.changed) or "nothing"
    text = f"version {result.version} is accepted; changed: {changed}"
    if result.vms:
        text += f"; in force on {result.in_force} of {result.vms} VMs"
    return text
