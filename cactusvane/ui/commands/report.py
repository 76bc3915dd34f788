"""The commands that report on the service that callers got."""

import typer

app = typer.Typer(no_args_is_help=True, help="Report on the service that callers got.")


@app.callback()
def report() -> None:
    """Report on the service that callers got."""
