"""Pulls of a change that all entries of a failure domain learn of at the same time."""

import asyncio
from random import Random

from cactusvane.clock import Clock
from cactusvane.errors import PlatformUnavailableError
from cactusvane.fleet.vm import Address
from cactusvane.following.follower import FollowSettings, TableFollower
from cactusvane.following.puller import FANOUT_STEP_MS, FIRST_READ_WAIT_MS, TablePuller
from cactusvane.following.table import TablePosition, TableRow, TableRows
from cactusvane.placement.domain import Domain
from cactusvane.placement.messages import StateUpdate, StoreStatus
from tests.following.test_follower import ScriptedSource

CHANGED = TableRows(9, (TableRow("a", b"2", 9),), whole=True)


class RecordingPull:
    def __init__(self) -> None:
        self.addresses: list[Address] = []

    async def pull(self, address: Address, table: str, after: TablePosition) -> TableRows:
        self.addresses.append(address)
        return CHANGED


def make_puller(
    entries: int, versions: dict[int, int], seed: int = 1
) -> tuple[TablePuller, RecordingPull]:
    recording = RecordingPull()
    clock = Clock()
    follower = TableFollower(
        "targets", ScriptedSource(), recording.pull, clock, Random(seed), FollowSettings()
    )
    follower.copy.apply(TableRows(5, (TableRow("a", b"1", 5),), whole=True))
    domain = Domain("own", "d", 1, Random(seed))
    for number in range(entries):
        tables = {"targets": versions.get(number, 5)}
        status = StoreStatus(True, 0.0, None, tables)
        update = StateUpdate(f"e{number}", 1, 1, {}, store_status=status)
        domain.receive(update, Address("10.0.0.1", number), clock.now())
    return TablePuller(domain, {"targets": follower}, clock, Random(seed)), recording


def test_a_random_entry_that_has_the_change_is_asked_once() -> None:
    chosen = set()
    for seed in range(20):
        puller, recording = make_puller(3, {0: 9, 2: 9}, seed)
        assert puller.should_pull("targets", TablePosition(0, 9))
        asyncio.run(puller.pull("targets"))
        chosen.update(address.port for address in recording.addresses)
        assert len(recording.addresses) == 1
        assert not puller.should_pull("targets", TablePosition(0, 9))
    assert chosen == {0, 2}


def test_the_number_of_pulls_doubles_with_each_step() -> None:
    puller, _ = make_puller(56, {0: 9})
    follower = puller.followers["targets"]
    delays = sorted(puller.delay_ms(follower) for _ in range(5_600))
    assert delays[-1] <= FANOUT_STEP_MS * 5.9
    for step in range(1, 5):
        pulls = sum(delay <= step * FANOUT_STEP_MS for delay in delays) / 100
        assert 0.6 * (2**step - 1) <= pulls <= 1.6 * (2**step - 1)


def test_no_entry_is_asked_for_a_change_that_the_copy_is_complete_beyond() -> None:
    """An entry that has read the whole table names that read as its latest change."""
    puller, recording = make_puller(3, {0: 9})
    puller.followers["targets"].copy.apply(TableRows(12, (), whole=False))
    assert not puller.should_pull("targets", TablePosition(0, 9))
    asyncio.run(puller.pull("targets"))
    assert recording.addresses == []


def test_another_entry_is_asked_when_one_does_not_respond() -> None:
    puller, recording = make_puller(3, {0: 9, 1: 9, 2: 9})
    follower = puller.followers["targets"]

    async def fail_once(address: Address, table: str, after: TablePosition) -> TableRows:
        if not recording.addresses:
            recording.addresses.append(address)
            raise PlatformUnavailableError("nobody")
        return await recording.pull(address, table, after)

    follower.pull = fail_once
    asyncio.run(puller.pull("targets"))
    assert len(recording.addresses) == 2
    assert follower.copy.last_change_version == 9


def test_an_entry_without_startup_spread_first_waits_for_the_platforms_response() -> None:
    puller, _ = make_puller(2, {})
    fresh = TableFollower(
        "targets", ScriptedSource(), RecordingPull().pull, Clock(), Random(1), FollowSettings()
    )
    assert puller.delay_ms(fresh) >= FIRST_READ_WAIT_MS


def test_no_entry_is_asked_for_a_change_that_arrived_meanwhile() -> None:
    puller, recording = make_puller(3, {0: 9})
    puller.followers["targets"].copy.apply(CHANGED)
    asyncio.run(puller.pull("targets"))
    assert recording.addresses == []
