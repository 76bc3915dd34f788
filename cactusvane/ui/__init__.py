"""Command line for operators."""

import sys
from collections.abc import Sequence

import typer

from cactusvane.errors import CactusvaneError
from cactusvane.ui.codes import ExitCode, exit_code
from cactusvane.ui.commands import report, show
from cactusvane.ui.commands.check import check
from cactusvane.ui.commands.explain import explain_request
from cactusvane.ui.commands.publish import publish_files
from cactusvane.ui.commands.status import status

EPILOG = (
    "Exit codes: 0 done, 1 failed, 2 wrong usage, 3 wrong file, 4 conflict with another publish, "
    "5 platform does not answer, 6 may have been published (repeat with --id), "
    "7 not in force or not ready everywhere."
)

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    epilog=EPILOG,
    help="Check, publish and watch the configuration of a proxy fleet.",
)
app.command("check")(check)
app.command("publish")(publish_files)
app.command("status")(status)
app.command("explain")(explain_request)
app.add_typer(show.app, name="show")
app.add_typer(report.app, name="report")


def run(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code.

    Each `CactusvaneError` is caught here and printed to standard error.
    """
    try:
        app(args=arguments, prog_name="cactusvane")
    except CactusvaneError as error:
        typer.echo(f"cactusvane: {error}", err=True)
        return exit_code(error)
    except SystemExit as end:
        return end.code if isinstance(end.code, int) else ExitCode.FAILED
    return ExitCode.OK


def main() -> None:
    """Run the command given by the arguments of the process and exit with its code."""
    sys.exit(run())
