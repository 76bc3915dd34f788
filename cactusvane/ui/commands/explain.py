"""The command that tells the story of one request from logs."""

from pathlib import Path
from typing import Annotated

import typer

from cactusvane.errors import InputError
from cactusvane.report.explain import explain, format_steps
from cactusvane.ui.codes import ExitCode
from cactusvane.ui.options import JsonOption
from cactusvane.ui.output import exit_unless_ok, print_result

RequestArgument = Annotated[str, typer.Argument(help="The request's id, as its caller sent it.")]
LogsArgument = Annotated[list[Path], typer.Argument(help="Logs of the VMs, one file each or more.")]


def explain_request(
    request: RequestArgument, logs: LogsArgument, as_json: JsonOption = False
) -> None:
    """Say what the logs hold of one request, and what each VM believed; exit code 1 for nothing."""
    steps = explain(request, (line for path in logs for line in read_lines(path)))
    print_result(steps, format_steps(steps), as_json)
    exit_unless_ok(ExitCode.OK if steps else ExitCode.FAILED)


def read_lines(path: Path) -> list[str]:
    """Return the lines of a log.

    Raises
    ------
    InputError
        The file cannot be read.
    """
    try:
        return path.read_text(errors="replace").splitlines()
    except OSError as error:
        raise InputError(f"{path}: {error.strerror}") from error
