"""Bodies of requests to the platform and of its responses; field names are JSON keys."""

from dataclasses import dataclass

from cactusvane.fleet.vm import Vm
from cactusvane.store.interface import Row, Write


@dataclass(frozen=True, slots=True)
class Transaction:
    """Body of ``POST /transactions``; the platform applies all writes or none."""

    writes: tuple[Write, ...]


@dataclass(frozen=True, slots=True)
class Rows:
    """Response to ``GET /scan/T/FIRST``."""

    rows: tuple[Row, ...] = ()


@dataclass(frozen=True, slots=True)
class VmList:
    """Response to ``GET /vms``, and body of ``POST /vms``, which replaces VMs by name."""

    vms: tuple[Vm, ...] = ()
    removed: tuple[str, ...] = ()
