"""The command that checks service files and settings files of daemons."""

from pathlib import Path
from typing import Annotated

import typer

from cactusvane.configuration.check import check_together, parse, read_files
from cactusvane.errors import InputError
from cactusvane.settings import Settings, check_addresses
from cactusvane.ui.options import JsonOption
from cactusvane.ui.output import print_result

SettingsOption = Annotated[
    bool, typer.Option("--settings", help="The files are settings of daemons, one for each VM.")
]


def check(
    files: Annotated[list[Path], typer.Argument(metavar="FILE...", help="Files to check.")],
    settings: SettingsOption = False,
    as_json: JsonOption = False,
) -> None:
    """Check service files, each alone and all together, without the platform."""
    if settings:
        vms = [check_settings(file).vm for file in files]
        print_result({"vms": vms}, f"all right: {', '.join(vms)}", as_json)
        return
    configuration = check_together(read_files(files))
    names = [service.name for service in configuration.services]
    print_result({"services": names}, f"all right: {', '.join(names)}", as_json)


def check_settings(file: Path) -> Settings:
    """Return the settings of one daemon after checking them, including the bounds of each field.

    Raises
    ------
    InputError
        If the file cannot be read or is invalid.
    """
    try:
        data = file.read_bytes()
    except OSError as error:
        raise InputError(f"{file}: {error.strerror}") from error
    settings = parse(str(file), data, Settings)
    check_addresses(str(file), settings)
    return settings
