"""The command that checks operators' files."""

from pathlib import Path
from typing import Annotated

import typer

from cactusvane.configuration.check import check_together, read_files
from cactusvane.ui.options import JsonOption
from cactusvane.ui.output import print_result


def check(
    files: Annotated[list[Path], typer.Argument(metavar="FILE...", help="Operators' files.")],
    as_json: JsonOption = False,
) -> None:
    """Check operators' files, each alone and all together, without the platform."""
    configuration = check_together(read_files(files))
    names = [service.name for service in configuration.services]
    print_result({"services": names}, f"all right: {', '.join(names)}", as_json)
