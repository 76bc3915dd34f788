"""Entries that need a lease: a decoder of customers, and a gate in front of each entry."""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import replace
from random import Random

import msgspec
from adapter.decoder import CONFIGURATION_KEY, Decoder
from adapter.store import Store

from cactusvane.configuration.model import Customer
from cactusvane.errors import PlatformUnavailableError, RequestError
from cactusvane.fleet.vm import Address
from cactusvane.fleet_process import FleetProcess
from cactusvane.following.decoder import VersionedConfiguration
from cactusvane.following.prover import FreshnessProver
from cactusvane.following.table import TableRows
from cactusvane.placement.endpoint import UpdateEndpoint
from cactusvane.placement.messages import FreshnessAnswer, FreshnessQuery, Message
from tests.adapter.test_process import Fleet

REVOKE_MS = 1_500.0
KEY = "key-1"


class CustomerDecoder(Decoder):
    """Decodes the member `test-keys` of a configuration as customers with one key each."""

    def configuration(self, rows: dict[str, bytes]) -> VersionedConfiguration | None:
        found = super().configuration(rows)
        if found is None:
            return None
        keys = msgspec.json.decode(rows[CONFIGURATION_KEY]).get("test-keys", [])
        customers = tuple(Customer(f"customer of {key}", (key,)) for key in keys)
        return replace(found, configuration=replace(found.configuration, customers=customers))


class CountingStore(Store):
    """Counts confirmations, and fails in several ways.

    Attributes
    ----------
    refused
        Whether each call fails.
    confirms
        Whether confirmations succeed.
    misses_changes
        Whether reads of changes return none, as after a compaction.
    should_read
        Returns whether the entry is the reader; the calls of others are counted separately.
    """

    def __init__(self, address: Address) -> None:
        super().__init__(address)
        self.refused = False
        self.confirms = True
        self.misses_changes = False
        self.confirmations = 0
        self.standby_confirmations = 0
        self.should_read: Callable[[], bool] = lambda: True

    def check(self) -> None:
        if self.refused:
            raise PlatformUnavailableError("the store refuses this entry")

    async def read_table(self, table: str) -> TableRows:
        self.check()
        return await super().read_table(table)

    async def read_changes(self, table: str, after: int, wait_ms: float) -> TableRows:
        self.check()
        read = await super().read_changes(table, after, wait_ms)
        self.check()
        return replace(read, rows=()) if self.misses_changes else read

    async def confirm(self, table: str, rows: TableRows) -> bool:
        self.confirmations += 1
        self.standby_confirmations += not self.should_read()
        self.check()
        if not self.confirms:
            raise PlatformUnavailableError("the store confirms nothing to this entry")
        return await super().confirm(table, rows)


class CountingEndpoint(UpdateEndpoint):
    """Counts messages by type, and loses all of them while `cut_off`."""

    cut_off = False
    lost_share = 0.0
    random = Random(1)

    def __init__(self, process: FleetProcess) -> None:
        super().__init__(self.pass_on)
        self.process = process
        self.sent: Counter[type] = Counter()

    def pass_on(self, message: Message, address: Address) -> None:
        if not self.cut_off:
            self.process.update_sender.receive(message, address)

    def send(self, message: Message, peers: Iterable[Address]) -> None:
        self.sent[type(message)] += 1
        if not self.cut_off:
            super().send(message, [each for each in peers if not self.is_lost()])

    def is_lost(self) -> bool:
        return self.random.random() < self.lost_share

    @property
    def freshness_messages(self) -> int:
        return self.sent[FreshnessQuery] + self.sent[FreshnessAnswer]


class CurrentFleet(Fleet):
    """Entries with strict revocation, whose configuration has customers.

    Attributes
    ----------
    keys
        Keys in the next configuration that is published.
    """

    def __init__(self) -> None:
        super().__init__()
        self.keys = [KEY, "key-2"]
        self.fleet_limits = replace(self.fleet_limits, revoke_ms=REVOKE_MS)
        self.stores: dict[str, CountingStore] = {}
        self.endpoints: dict[str, CountingEndpoint] = {}

    def prepare(self, process: FleetProcess) -> None:
        name = process.settings.vm
        self.stores[name] = CountingStore(self.store_address)
        self.stores[name].should_read = process.should_read
        process.platform = replace(
            process.platform, source=self.stores[name], decoder=CustomerDecoder()
        )
        for follower in process.followers.values():
            follower.source = self.stores[name]
        self.endpoints[name] = CountingEndpoint(process)
        process.update_sender.endpoint = self.endpoints[name]

    def publish(self) -> None:
        """Publish a configuration with the keys."""
        value = self.next_configuration() | {"test-keys": self.keys}
        self.write(msgspec.json.encode(value))

    def write(self, value: bytes) -> None:
        """Write the configuration's row."""
        self.store.put("op", "config", value)

    def refuse(self, *names: str) -> None:
        """Let the store refuse these entries only."""
        for name, store in self.stores.items():
            store.refused = name in names


def prover_of(process: FleetProcess) -> FreshnessProver:
    assert process.prover is not None
    return process.prover


def accepts(process: FleetProcess, key: str = KEY) -> bool:
    """Return whether an entry accepts a request with a key that it has just read."""
    try:
        prover_of(process).gate.check_current()
    except RequestError:
        return False
    return key in known_keys(process)


def known_keys(process: FleetProcess) -> set[str]:
    """Return the keys in the active configuration of an entry."""
    found = CustomerDecoder().configuration(process.configuration_rows)
    customers = () if found is None else found.configuration.customers
    return {key for customer in customers for key in customer.keys}
