"""Options shared by several commands."""

from typing import Annotated

import typer

from cactusvane.configuration.check import is_address
from cactusvane.fleet.vm import Address

DEFAULT_PLATFORM = "127.0.0.1:7000"


def parse_address(text: str) -> Address:
    """Return ``ip:port`` as an address, or raise `typer.BadParameter` for any other text."""
    if not is_address(text):
        raise typer.BadParameter(f"{text} is not an IP address and a port (ip:port)")
    host, _, port = text.rpartition(":")
    return Address(host.strip("[]"), int(port))


PlatformOption = Annotated[
    Address,
    typer.Option(
        "--platform",
        envvar="CACTUSVANE_PLATFORM",
        parser=parse_address,
        metavar="IP:PORT",
        help="Address of the platform's service.",
    ),
]

JsonOption = Annotated[bool, typer.Option("--json", help="Print one JSON object.")]
