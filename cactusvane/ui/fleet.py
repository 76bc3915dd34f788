"""Fetches the status and the burn counts of the VMs of the fleet from their admin ports."""

import asyncio
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from cactusvane.errors import ExchangeError
from cactusvane.fleet.vm import Address, Vm, VmState
from cactusvane.http.fetch import fetch
from cactusvane.report.ledger import Bucket
from cactusvane.settings import HttpLimits

TIMEOUT_MS = 2_000.0
MAX_CONCURRENT_REQUESTS = 64
OK = 200
T = TypeVar("T")
LIMITS = HttpLimits(body_bytes=64 * 1_048_576)


@dataclass(frozen=True, slots=True)
class TargetStatus:
    """Requests in flight at a target, as counted by one VM."""

    address: str
    in_flight: int = 0


@dataclass(frozen=True, slots=True)
class Status:
    """The fields of the ``/status`` response of a VM that the command line uses."""

    vm: str
    ready: bool
    version: int
    draining: bool = False
    services: dict[str, tuple[TargetStatus, ...]] = msgspec.field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class VmReport:
    """A VM of the list and its status, which is None if the VM did not respond."""

    vm: Vm
    status: Status | None

    def is_ready_with(self, version: int) -> bool:
        """Return whether the VM is ready with `version` or a higher one."""
        return self.status is not None and self.status.ready and self.status.version >= version


def entry_vms(vms: tuple[Vm, ...]) -> tuple[Vm, ...]:
    """Return the live VMs of the fleet, without targets."""
    return tuple(vm for vm in vms if not vm.service and vm.state is VmState.LIVE)


async def fetch_statuses(vms: tuple[Vm, ...]) -> tuple[VmReport, ...]:
    """Return the status of each VM, fetched with limited concurrency."""
    responses = await fetch_each(vms, "/status", Status)
    return tuple(VmReport(vm, status) for vm, status in zip(vms, responses, strict=True))


async def fetch_buckets(vms: tuple[Vm, ...]) -> tuple[Bucket, ...]:
    """Return the buckets for the burn report that the VMs have not stored yet."""
    responses = await fetch_each(vms, "/burn", tuple[Bucket, ...])
    return tuple(bucket for buckets in responses for bucket in buckets or ())


async def fetch_each(vms: tuple[Vm, ...], path: str, kind: type[T]) -> list[T | None]:
    """Fetch `path` from the admin port of each VM; None for a VM that does not respond."""
    limit = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

    async def fetch_one(vm: Vm) -> T | None:
        async with limit:
            return await fetch_admin(vm.admin, path, kind) if vm.admin else None

    return await asyncio.gather(*(fetch_one(vm) for vm in vms))


async def fetch_admin(address: Address, path: str, kind: type[T]) -> T | None:
    """Return the decoded response of an admin port, or None if the exchange failed."""
    try:
        response = await fetch(address, "GET", path, (), b"", TIMEOUT_MS, LIMITS)
        return msgspec.json.decode(response.body, type=kind) if response.status == OK else None
    except (ExchangeError, msgspec.DecodeError):
        return None
