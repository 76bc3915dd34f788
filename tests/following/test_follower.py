"""The table follower and the election of readers, with a scripted platform."""

import asyncio
from random import Random

import pytest

from cactusvane.clock import Clock
from cactusvane.errors import PlatformUnavailableError
from cactusvane.fleet.vm import Address
from cactusvane.following import follower as module
from cactusvane.following.follower import FollowSettings, TableChange, TableFollower
from cactusvane.following.readers import TAKEOVER_INTERVAL_MS, ReaderCandidate, is_reader
from cactusvane.following.source import HistoryLostError
from cactusvane.following.table import TablePosition, TableRow, TableRows

PEER = Address("10.0.0.9", 1)
ALL = TableRows(5, (TableRow("a", b"1", 5),), whole=True)
CHANGE = TableRows(6, (TableRow("a", b"2", 6),), whole=False)

SETTINGS = FollowSettings()
FRESH_MS = SETTINGS.max_staleness_ms

Step = TableRows | Exception


class ScriptedSource:
    """Responds to reads from a script and records the calls."""

    def __init__(self, *script: Step) -> None:
        self.script = list(script)
        self.calls: list[str] = []
        self.waits: list[float] = []

    def next_step(self, call: str) -> TableRows:
        self.calls.append(call)
        step = self.script.pop(0)
        if isinstance(step, Exception):
            raise step
        return step

    async def read_table(self, table: str) -> TableRows:
        return self.next_step("whole")

    async def read_changes(self, table: str, after: int, wait_ms: float) -> TableRows:
        self.waits.append(wait_ms)
        return self.next_step(f"after {after}")

    async def confirm(self, table: str, rows: TableRows) -> bool:
        raise AssertionError("a follower confirms nothing")


async def no_pull(address: Address, table: str, after: TablePosition) -> TableRows:
    raise PlatformUnavailableError("nobody")


def make_follower(source: ScriptedSource) -> TableFollower:
    return TableFollower("targets", source, no_pull, Clock(), Random(1), SETTINGS)


@pytest.fixture(autouse=True)
def short_delays(monkeypatch: pytest.MonkeyPatch) -> None:
    for name in ("MIN_RETRY_DELAY_MS", "MAX_RETRY_DELAY_MS", "MIN_BATCH_DELAY_MS"):
        monkeypatch.setattr(module, name, 1.0)


def follow(*script: Step) -> tuple[TableFollower, list[str]]:
    source = ScriptedSource(*script)
    follower = make_follower(source)

    async def run() -> None:
        while source.script:
            await follower.read()

    asyncio.run(run())
    return follower, source.calls


def test_the_whole_table_is_read_once_and_then_only_changes() -> None:
    follower, calls = follow(ALL, CHANGE, TableRows(9, (), whole=False))
    assert calls == ["whole", "after 5", "after 6"]
    assert follower.copy.values() == {"a": b"2"}


def test_lost_history_is_recovered_by_reading_the_whole_table() -> None:
    _, calls = follow(ALL, HistoryLostError("gone"), ALL, CHANGE)
    assert calls == ["whole", "after 5", "whole", "after 5"]


@pytest.mark.parametrize("source", ["platform", "entry"])
def test_a_restore_is_reported_once_whether_rows_changed_or_not(source: str) -> None:
    """Guards against taking a later removal for the first list after the restore."""
    changes: list[TableChange] = []
    follower = make_follower(ScriptedSource())
    follower.on_change = changes.append
    same = TableRows(5, ALL.rows, whole=True, era=1)
    removed = TableRows(6, (TableRow("a", None, 6),), whole=False, era=1, after=5)
    both = TableRows(7, (), whole=True, era=2)
    for read in (ALL, same, same, removed, both, both):
        follower.apply(read, source)
    expected = [(("a",), False), ((), True), (("a",), False), ((), True)]
    assert changes == [TableChange(*each) for each in expected]


def test_a_restore_and_a_removal_in_the_same_read_are_one_change() -> None:
    changes: list[TableChange] = []
    follower = make_follower(ScriptedSource())
    follower.on_change = changes.append
    follower.apply(ALL, "platform")
    follower.apply(TableRows(7, (), whole=True, era=1), "platform")
    assert changes[1:] == [TableChange(("a",), restored=True)]


def test_an_outage_is_detected_and_recovered_from() -> None:
    down = PlatformUnavailableError("down")
    follower, calls = follow(ALL, down, down)
    assert follower.failing
    assert follower.copy.values() == {"a": b"1"}
    follower, calls = follow(ALL, down, CHANGE)
    assert not follower.failing
    assert calls == ["whole", "after 5", "after 5"]


def test_concurrent_catch_ups_pull_a_change_only_once() -> None:
    positions = []

    async def pull(address: Address, table: str, after: TablePosition) -> TableRows:
        positions.append(after)
        await asyncio.sleep(0)
        return CHANGE

    follower = make_follower(ScriptedSource())
    follower.pull = pull
    follower.copy.apply(ALL)

    async def run() -> None:
        await asyncio.gather(*(follower.catch_up(PEER, TablePosition(0, 6)) for _ in range(3)))
        await follower.catch_up(PEER, TablePosition(0, 6))

    asyncio.run(run())
    assert positions == [TablePosition(0, 5)]
    assert follower.copy.values() == {"a": b"2"}


def readers(candidates: list[ReaderCandidate]) -> list[str]:
    return [
        own.vm
        for own in candidates
        if is_reader(own, tuple(each for each in candidates if each is not own), FRESH_MS)
    ]


def test_one_vm_reads_while_the_platform_responds_to_it() -> None:
    others = [ReaderCandidate(f"e{number}", None, True) for number in range(1, 6)]
    assert readers([ReaderCandidate("e0", 900.0, True), *others]) == ["e0"]


def test_others_take_over_one_by_one_while_the_reader_gets_no_response() -> None:
    others = [ReaderCandidate(f"e{number}", None, True) for number in range(1, 6)]
    stale = ReaderCandidate("e0", FRESH_MS + 1.5 * TAKEOVER_INTERVAL_MS, True)
    assert readers([stale, *others]) == ["e0", "e1"]
    assert readers(
        [ReaderCandidate("e0", FRESH_MS + 0.5 * TAKEOVER_INTERVAL_MS, True), *others]
    ) == ["e0"]
    taken_over = ReaderCandidate("e1", 20.0, True)
    assert readers([stale, taken_over, *others[1:]]) == ["e0", "e1"]


def test_a_vm_without_responses_keeps_trying_and_the_next_vm_reads() -> None:
    reader = ReaderCandidate("e1", 20.0, True)
    others = [ReaderCandidate(f"e{number}", None, True) for number in range(2, 5)]
    assert readers([ReaderCandidate("e0", 5_000.0, False), reader, *others]) == ["e0", "e1"]


def test_the_first_read_after_a_takeover_is_not_a_long_poll() -> None:
    source = ScriptedSource(ALL, CHANGE, CHANGE)
    follower = make_follower(source)

    async def run() -> None:
        await follower.read()
        follower.taking_over = True
        await follower.read()
        await follower.read()

    asyncio.run(run())
    assert source.waits == [0.0, SETTINGS.long_poll_ms]


def test_a_table_that_is_to_be_read_again_is_read_once_by_a_vm_that_is_not_the_reader() -> None:
    """A copy that missed a change while its VM was the reader gets it from no other VM."""
    missed = TableRows(9, (TableRow("a", b"2", 8),), whole=True)
    source = ScriptedSource(TableRows(9, (TableRow("a", b"1", 5),), whole=True), missed)
    follower = make_follower(source)

    async def run() -> None:
        await follower.read()
        follower.should_read = lambda: False
        follower.reread = True
        task = asyncio.ensure_future(follower.run())
        await asyncio.sleep(0.3)
        task.cancel()

    asyncio.run(run())
    assert source.calls == ["whole", "whole"]
    assert follower.copy.values() == {"a": b"2"}


def test_the_batch_delay_grows_while_changes_follow_each_other() -> None:
    follower = make_follower(ScriptedSource())
    first = follower.next_batch_delay_ms(True)
    batches = [follower.next_batch_delay_ms(True) for _ in range(8)]
    assert batches == sorted(batches)
    assert batches[0] > first
    assert batches[-1] == SETTINGS.max_batch_delay_ms
    follower.last_change_at -= 3.0 * SETTINGS.max_batch_delay_ms
    assert follower.next_batch_delay_ms(True) == first


def test_a_table_from_another_vm_replaces_the_delayed_first_read() -> None:
    source = ScriptedSource()
    settings = FollowSettings(startup_spread_ms=60_000.0)
    follower = TableFollower("targets", source, no_pull, Clock(), Random(1), settings)

    async def run() -> None:
        waiting = asyncio.ensure_future(follower.delay_first_read())
        await asyncio.sleep(0)
        follower.apply(ALL, "entry")
        await asyncio.wait_for(waiting, 2.0)

    asyncio.run(run())
    assert source.calls == []
