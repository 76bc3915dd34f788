"""Bodies of the platform's HTTP exchanges."""

from dataclasses import dataclass

from cactusvane.fleet.vm import Vm
from cactusvane.store.interface import Row, Write


@dataclass(frozen=True, slots=True)
class Transaction:
    """Body of ``POST /transactions``: all writes are done or none."""

    writes: tuple[Write, ...]


@dataclass(frozen=True, slots=True)
class Rows:
    """Answer to ``GET /scan/T/FIRST``."""

    rows: tuple[Row, ...] = ()


@dataclass(frozen=True, slots=True)
class VmList:
    """Answer to ``GET /vms``, and body of ``POST /vms``, which replaces VMs by name."""

    vms: tuple[Vm, ...] = ()
    removed: tuple[str, ...] = ()
