"""The commands that report on the service that callers received."""

import asyncio
from pathlib import Path
from typing import Annotated

import typer

from cactusvane.clock import Clock
from cactusvane.configuration.publish import read_base
from cactusvane.errors import InputError
from cactusvane.fleet.vm import Address
from cactusvane.report.burn import BUDGET_WINDOW_MS, BurnReport, KindBurn, report
from cactusvane.report.page import render
from cactusvane.report.store import load
from cactusvane.store.client import HttpPlatform
from cactusvane.ui.fleet import entry_vms, fetch_buckets
from cactusvane.ui.options import DEFAULT_PLATFORM, JsonOption, PlatformOption
from cactusvane.ui.output import print_result, table

app = typer.Typer(no_args_is_help=True, help="Report on the service that callers received.")

HEADINGS = (
    "service",
    "kind",
    "requests 6 h",
    "burn 1 h",
    "5 min",
    "6 h",
    "30 min",
    "left",
    "alarm",
)

HtmlOption = Annotated[
    Path | None, typer.Option("--html", help="Also write the report as one HTML page.")
]


@app.callback()
def main() -> None:
    """Report on the service that callers received."""


@app.command()
def burn(
    platform: PlatformOption = DEFAULT_PLATFORM,  # type: ignore[assignment]
    html: HtmlOption = None,
    as_json: JsonOption = False,
) -> None:
    """Show how fast each service uses up its error budget, from the counts of all VMs."""
    result = asyncio.run(read_report(platform))
    if html:
        write_page(html, result)
    print_result(result, as_text(result), as_json)


async def read_report(address: Address) -> BurnReport:
    """Return the report on the stored buckets and those that VMs have not stored yet."""
    platform = HttpPlatform(address)
    now = Clock().wall()
    base = await read_base(platform)
    stored = await load(platform, now - BUDGET_WINDOW_MS)
    unstored = await fetch_buckets(entry_vms(await platform.list_vms()))
    return report((*stored, *unstored), base.tree.configuration, now)


def write_page(path: Path, result: BurnReport) -> None:
    """Write the HTML page, or raise `InputError` if the file cannot be written."""
    try:
        path.write_text(render(result))
    except OSError as error:
        raise InputError(f"{path}: {error.strerror}") from error


def as_text(result: BurnReport) -> str:
    """Return the report as human-readable text."""
    rows = [
        (service.service, *as_row(kind)) for service in result.services for kind in service.kinds
    ]
    shares = [(service.service, f"{service.delivered:.4%}") for service in result.services]
    delivered = table(("service", "delivered in good order, weighted by kind"), shares)
    return f"{result.coverage:.1%} of the figures are here\n{table(HEADINGS, rows)}\n\n{delivered}"


def as_row(kind: KindBurn) -> tuple[str, ...]:
    """Return the table cells of one kind of request."""
    windows = (kind.fast_long, kind.fast_short, kind.slow_long, kind.slow_short)
    rates = tuple(f"{window.rate:.2f}" for window in windows)
    left = f"{kind.budget_left:.1%}"
    return (kind.objective.kind, str(kind.slow_long.total), *rates, left, kind.alarm.value)
