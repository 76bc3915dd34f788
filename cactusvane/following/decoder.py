"""What the rows of the platform's tables mean, whoever wrote them."""

from dataclasses import dataclass
from typing import Protocol

from cactusvane.configuration.model import Configuration
from cactusvane.fleet.vm import Vm
from cactusvane.settings import HttpLimits


@dataclass(frozen=True, slots=True)
class VersionedConfiguration:
    """A configuration as the operators accepted it.

    Parameters
    ----------
    version
        Grows with each change, not always by one.
    configuration
        Services and rules.
    limits
        Bounds on what callers may send.
    """

    version: int
    configuration: Configuration
    limits: HttpLimits


class TableDecoder(Protocol):
    """Decodes rows; one that cannot be used is logged and passed over."""

    def configuration(self, rows: dict[str, bytes]) -> VersionedConfiguration | None:
        """Return the configuration, or None where there is none that can be used."""

    def targets(self, rows: dict[str, bytes]) -> tuple[Vm, ...]:
        """Return the targets of all services."""
