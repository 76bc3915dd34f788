"""Interface of a decoder for the rows of the platform's tables."""

from dataclasses import dataclass
from typing import Protocol

from cactusvane.configuration.model import Configuration
from cactusvane.fleet.vm import Vm
from cactusvane.settings import HttpLimits


@dataclass(frozen=True, slots=True)
class VersionedConfiguration:
    """A configuration as the operators published it.

    Parameters
    ----------
    version
        Version number; increases with each change, not necessarily by one.
    configuration
        Services and rules.
    limits
        Limits on callers' requests.
    """

    version: int
    configuration: Configuration
    limits: HttpLimits


class TableDecoder(Protocol):
    """Decodes rows; a row that cannot be used is logged and skipped."""

    @property
    def configuration_keys(self) -> tuple[str, ...]:
        """Keys of the rows that the configuration is decoded from."""

    def configuration(self, rows: dict[str, bytes]) -> VersionedConfiguration | None:
        """Return the configuration, or None if there is no usable one."""

    def targets(self, rows: dict[str, bytes]) -> tuple[Vm, ...]:
        """Return the targets of all services."""
