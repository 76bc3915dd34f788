"""Interface of the platform, independent of its implementation."""

from dataclasses import dataclass
from typing import Protocol

from cactusvane.fleet.vm import Vm

ABSENT = 0
"""Expected version of a row that must not exist before the write."""


@dataclass(frozen=True, slots=True)
class Row:
    """A row of the table; `version` starts at 1 and increases with each write."""

    table: str
    key: str
    value: str
    version: int


@dataclass(frozen=True, slots=True)
class Write:
    """A conditional write.

    `expected` is the version that the row must have, `ABSENT` if the row must not exist.
    """

    table: str
    key: str
    value: str
    expected: int


class Platform(Protocol):
    """The transactional table, the object store and the VM list.

    Every method raises `PlatformUnavailableError` if the platform does not respond; a write may
    have taken effect nevertheless.
    """

    async def read(self, table: str, key: str) -> Row | None:
        """Return a row, or None if it does not exist."""

    async def scan(self, table: str, first: str) -> tuple[Row, ...]:
        """Return the rows of a table whose key is `first` or sorts after it, in order of keys."""

    async def commit(self, writes: tuple[Write, ...]) -> None:
        """Apply all writes, or raise `WriteConflictError` and apply none if a version differs."""

    async def put_object(self, digest: str, data: bytes) -> None:
        """Store an object under its content digest."""

    async def get_object(self, digest: str) -> bytes:
        """Return an object, or raise `NotFoundError` if it does not exist."""

    async def list_vms(self) -> tuple[Vm, ...]:
        """Return the VM list, which may lag behind the fleet."""
