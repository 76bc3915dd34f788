"""The prover of one entry, with a source that answers as it is told."""

import asyncio
from collections.abc import Coroutine, Iterable
from random import Random

import pytest

from cactusvane.clock import ManualClock
from cactusvane.customers.freshness import FreshnessSettings
from cactusvane.errors import PlatformUnavailableError
from cactusvane.events import Event
from cactusvane.fleet.vm import Address
from cactusvane.following.follower import FollowSettings, TableFollower
from cactusvane.following.prover import FreshnessProver
from cactusvane.following.table import TablePosition, TableRow, TableRows
from cactusvane.placement.domain import Domain
from cactusvane.placement.messages import (
    FreshnessAnswer,
    FreshnessQuery,
    Message,
    StateUpdate,
    StoreStatus,
)

KEYS = ("config",)
PEER = Address("10.0.0.2", 7_200)
SEED = Address("10.0.1.9", 7_200)
OTHER = Address("10.0.2.3", 7_200)


class Source:
    """A store with one row; a call takes `call_ms`.

    Attributes
    ----------
    version
        Version of the row; None if the store does not respond.
    """

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.version: int | None = 7
        self.call_ms = 40.0
        self.confirmed: list[TableRows] = []

    async def read_table(self, table: str) -> TableRows:
        raise AssertionError("a prover reads nothing")

    async def read_changes(self, table: str, after: int, wait_ms: float) -> TableRows:
        raise AssertionError("a prover reads nothing")

    async def confirm(self, table: str, rows: TableRows) -> bool:
        self.confirmed.append(rows)
        self.clock.advance(self.call_ms)
        if self.version is None:
            raise PlatformUnavailableError("down")
        return [row.version for row in rows.rows] == [self.version]


async def no_pull(address: Address, table: str, after: TablePosition) -> TableRows:
    raise PlatformUnavailableError("nobody")


class Entry:
    """A prover, its table and what it sends."""

    def __init__(self, reads: bool = True) -> None:
        self.clock = ManualClock(1_000.0)
        self.source = Source(self.clock)
        random = Random(1)
        self.follower = TableFollower(
            "configuration", self.source, no_pull, self.clock, random, FollowSettings()
        )
        self.follower.should_read = lambda: reads
        self.domain = Domain("own", "estrie", 1, random)
        self.sent: list[tuple[Message, Address]] = []
        self.work: list[Coroutine[None, None, None]] = []
        self.prover = FreshnessProver(
            self.follower,
            KEYS,
            self.domain,
            lambda: [SEED],
            self.send,
            self.work.append,
            FreshnessSettings(revoke_ms=5_000.0),
            self.clock,
            random,
        )
        self.prover.activate(has_customers=True)

    def send(self, message: Message, to: Iterable[Address]) -> None:
        self.sent += [(message, address) for address in to]

    def write(self, version: int, value: bytes, usable: bool = True, era: int = 1) -> None:
        """Apply a row, which can be used or not."""
        rows = (TableRow("config", value, version), TableRow("other", b"x", version + 1))
        self.follower.copy.apply(TableRows(version + 1, rows, whole=True, era=era))
        if usable:
            self.prover.record_usable(self.follower.copy.values())

    def step(self) -> None:
        """Perform the pending work, with all calls."""
        self.prover.step()
        work, self.work[:] = self.work[:], []
        for each in work:
            asyncio.run(each)  # type: ignore[arg-type]

    def add_peer(self, vm: str, address: Address, proof_age_ms: float | None) -> None:
        status = StoreStatus(True, 0.0, None, {}, proof_age_ms=proof_age_ms)
        update = StateUpdate(vm, 1, 1, {}, store_status=status)
        self.domain.receive(update, address, self.clock.now())


def test_a_proof_counts_from_the_start_of_the_call() -> None:
    """The store may have checked the row as soon as the call was sent."""
    entry = Entry()
    entry.write(7, b"a")
    entry.source.call_ms = 900.0
    entry.step()
    assert entry.prover.proof_age_ms() == 900.0


def test_only_the_rows_of_the_configuration_are_confirmed() -> None:
    """Another row of the table that changes often would refute each call."""
    entry = Entry()
    entry.write(7, b"a")
    entry.step()
    assert [[row.key for row in rows.rows] for rows in entry.source.confirmed] == [["config"]]


def test_an_unusable_row_is_never_confirmed() -> None:
    """Its proof would cover the older configuration that is still active."""
    entry = Entry()
    entry.write(5, b"a")
    entry.write(7, b"{", usable=False)
    entry.step()
    assert entry.source.confirmed == []
    entry.prover.receive(FreshnessAnswer("e1", number_sent(entry), TablePosition(1, 7), 0.0), PEER)
    assert not entry.prover.gate.is_current
    entry.write(9, b"b")
    entry.source.version = 9
    entry.step()
    assert entry.prover.gate.is_current


def number_sent(entry: Entry) -> int:
    """Return the number of the only query that was sent."""
    (number,) = [each.number for each, _ in entry.sent if isinstance(each, FreshnessQuery)]
    return number


def test_the_table_is_read_again_if_the_copy_stays_behind() -> None:
    """A read of changes may have missed one, and no further change may come for long."""
    entry = Entry()
    entry.write(7, b"a")
    entry.source.version = 8
    entry.step()
    assert not entry.follower.reread
    entry.clock.advance(500.0)
    entry.step()
    assert entry.follower.reread
    assert not entry.prover.gate.is_current


def test_outages_are_logged_once_and_lost_leases_with_their_proof(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The log has to lead from a rejected request to the cause, without a line for each retry."""
    entry = Entry()
    entry.write(7, b"a")
    with caplog.at_level("INFO", "cactusvane"):
        entry.step()
        entry.source.version = None
        for _ in range(40):
            entry.clock.advance(200.0)
            entry.step()
    numbers = [getattr(each, "number", 0) for each in caplog.records]
    expected = (Event.LEASE_GAINED, Event.CONFIRMATION_FAILED, Event.LEASE_LOST)
    assert numbers == [each.value.number for each in expected]
    fields = getattr(caplog.records[-1], "fields", {})
    assert (fields["version"], fields["era"], fields["source"]) == (7, 1, "platform")
    assert fields["age_ms"] >= 4_750.0


def test_the_peer_with_the_latest_proof_is_queried_first() -> None:
    """Chains of entries with old proofs would add their delays."""
    entry = Entry(reads=False)
    entry.write(7, b"a")
    entry.add_peer("e1", OTHER, 900.0)
    entry.add_peer("e2", PEER, 100.0)
    entry.add_peer("e3", Address("10.0.0.4", 7_200), None)
    entry.step()
    assert [address for _, address in entry.sent] == [PEER]


def test_without_peers_entries_of_other_failure_domains_are_queried() -> None:
    """An entry that is alone in its failure domain and refused by the store needs their proof."""
    entry = Entry(reads=False)
    entry.write(7, b"a")
    entry.step()
    assert [address for _, address in entry.sent] == [SEED]


def test_a_request_without_a_lease_queries_at_once() -> None:
    """An entry that resumes from a pause must not wait for its next step."""
    entry = Entry(reads=False)
    entry.write(7, b"a")
    entry.add_peer("e1", PEER, 0.0)
    with pytest.raises(Exception, match="current"):
        entry.prover.gate.check_current()
    assert len(entry.sent) == 1
    with pytest.raises(Exception, match="current"):
        entry.prover.gate.check_current()
    assert len(entry.sent) == 1


def test_a_query_is_answered_with_the_age_at_that_moment_or_not_at_all() -> None:
    """An age from an earlier time would make the proof of the other entry too young."""
    entry = Entry()
    entry.prover.receive(FreshnessQuery("e1", 5), PEER)
    assert entry.sent == []
    entry.write(7, b"a")
    entry.step()
    entry.clock.advance(300.0)
    entry.prover.receive(FreshnessQuery("e1", 6), PEER)
    entry.clock.advance(5_000.0)
    entry.prover.receive(FreshnessQuery("e1", 7), PEER)
    answers = [each for each in entry.sent if isinstance(each[0], FreshnessAnswer)]
    assert answers == [(FreshnessAnswer("own", 6, TablePosition(1, 7), 340.0), PEER)]


def test_two_processes_never_use_the_same_numbers() -> None:
    """A late answer to the process before a restart would count for a query of the new one."""
    numbers = set()
    for _ in range(20):
        entry = Entry(reads=False)
        entry.write(7, b"a")
        entry.step()
        numbers.add(number_sent(entry))
    assert len(numbers) == 20


def test_without_customers_nothing_is_called_or_sent() -> None:
    """A configuration without keys must cost nothing."""
    entry = Entry()
    entry.write(7, b"a")
    entry.prover.activate(has_customers=False)
    entry.step()
    assert entry.source.confirmed == []
    assert entry.sent == []
    assert entry.prover.proof_age_ms() is None
