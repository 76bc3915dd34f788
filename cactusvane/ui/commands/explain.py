"""The command that traces one request through the logs."""

from pathlib import Path
from typing import Annotated

import typer

from cactusvane.errors import InputError
from cactusvane.report.explain import explain, format_steps
from cactusvane.ui.codes import ExitCode
from cactusvane.ui.options import JsonOption
from cactusvane.ui.output import exit_unless_ok, print_result

RequestArgument = Annotated[str, typer.Argument(help="Id of the request, as sent by its caller.")]
LogsArgument = Annotated[
    list[Path], typer.Argument(help="Logs of the VMs, one or more files each.")
]


def explain_request(
    request: RequestArgument, logs: LogsArgument, as_json: JsonOption = False
) -> None:
    """Show the log lines of one request and what its VMs knew; exit code 1 if there are none."""
    steps = explain(request, (line for path in logs for line in read_lines(path)))
    print_result(steps, format_steps(steps), as_json)
    exit_unless_ok(ExitCode.OK if steps else ExitCode.FAILED)


def read_lines(path: Path) -> list[str]:
    """Return the lines of a log file.

    Raises
    ------
    InputError
        If the file cannot be read.
    """
    try:
        return path.read_text(errors="replace").splitlines()
    except OSError as error:
        raise InputError(f"{path}: {error.strerror}") from error
