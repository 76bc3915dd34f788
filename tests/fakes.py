"""Fakes of interfaces, shared by all tests."""

from dataclasses import replace

from cactusvane.clock import ManualClock
from cactusvane.errors import NotFoundError, PlatformUnavailableError, WriteConflictError
from cactusvane.fleet.vm import Vm
from cactusvane.store.interface import Row, Write
from standins.store import Counters, Faults, Store


class FakePlatform:
    """An in-memory `Platform` with the faults of the platform stand-in."""

    def __init__(self, clock: ManualClock | None = None) -> None:
        self.clock = clock or ManualClock()
        self.store = Store()
        self.faults = Faults()
        self.counters = Counters()

    def start_request(self, *, write: bool) -> None:
        if self.faults.down:
            self.counters.refused += 1
            raise PlatformUnavailableError("the platform is down")
        self.counters.writes += write
        self.counters.reads += not write

    def lose_response(self) -> None:
        if self.faults.lose_answers > 0:
            self.faults = replace(self.faults, lose_answers=self.faults.lose_answers - 1)
            raise PlatformUnavailableError("the response was lost")

    async def read(self, table: str, key: str) -> Row | None:
        self.start_request(write=False)
        return self.store.read(table, key)

    async def scan(self, table: str, first: str) -> tuple[Row, ...]:
        self.start_request(write=False)
        return self.store.scan(table, first)

    async def commit(self, writes: tuple[Write, ...]) -> None:
        self.start_request(write=True)
        conflict = self.store.commit(writes)
        self.lose_response()
        if conflict:
            raise WriteConflictError(f"{conflict.table}/{conflict.key}")

    async def put_object(self, digest: str, data: bytes) -> None:
        self.start_request(write=True)
        self.store.objects[digest] = data
        self.lose_response()

    async def get_object(self, digest: str) -> bytes:
        self.start_request(write=False)
        if digest not in self.store.objects:
            raise NotFoundError(digest)
        return self.store.objects[digest]

    async def list_vms(self) -> tuple[Vm, ...]:
        self.start_request(write=False)
        return self.store.list_vms(self.clock.now(), self.faults.list_lag_ms)
