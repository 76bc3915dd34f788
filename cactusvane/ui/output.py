"""Formatting and printing of the results of commands."""

from collections.abc import Sequence

import msgspec
import typer

from cactusvane.ui.codes import ExitCode

COLUMN_GAP = "  "


def print_result(value: object, text: str, as_json: bool) -> None:
    """Print `value` as JSON if `as_json` is set, or else the human-readable `text`."""
    typer.echo(msgspec.json.encode(value).decode() if as_json else text)


def exit_unless_ok(code: ExitCode) -> None:
    """Exit the command with `code` unless it is `ExitCode.OK`."""
    if code is not ExitCode.OK:
        raise typer.Exit(code)


def table(head: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return rows as text with aligned columns.

    Examples
    --------
    >>> print(table(["vm", "version"], [["gobabis-1", 3]]))
    vm         version
    gobabis-1  3
    """
    lines = [[str(cell) for cell in row] for row in (head, *rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(head))]
    return "\n".join(
        COLUMN_GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
