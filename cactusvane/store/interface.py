"""What cactusvane asks of the platform, whoever answers."""

from dataclasses import dataclass
from typing import Protocol

from cactusvane.fleet.vm import Vm

ABSENT = 0
"""Expected version of a row that must not exist yet."""


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the table; `version` starts at 1 and grows with each write."""

    table: str
    key: str
    value: str
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """One conditional write; `expected` is the version that must stand, `ABSENT` for none."""

    table: str
    key: str
    value: str
    expected: int


class Platform(Protocol):
    """The transactional table, the object store and the VM list.

    Every method raises `PlatformUnavailableError` when no answer came; a write may have taken
    effect all the same.
    """

    async def read(self, table: str, key: str) -> Row | None:
        """Return a row, or None where there is none."""

    async def scan(self, table: str, first: str) -> tuple[Row, ...]:
        """Return all rows of a table whose key is `first` or sorts after it, in order."""

    async def commit(self, writes: tuple[Write, ...]) -> None:
        """Do all writes or none; raise `WriteConflictError` if a version differs."""

    async def put_object(self, digest: str, data: bytes) -> None:
        """Store an object under its content digest."""

    async def get_object(self, digest: str) -> bytes:
        """Return an object; raise `NotFoundError` if there is none."""

    async def list_vms(self) -> tuple[Vm, ...]:
        """Return the VM list, which lags."""
