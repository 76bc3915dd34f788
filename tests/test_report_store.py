import asyncio

from cactusvane.report.ledger import BUCKET_MS, Ledger
from cactusvane.report.store import flush, load
from standins.store import Faults
from tests.fakes import FakePlatform


def filled_ledger() -> Ledger:
    ledger = Ledger("entry-1")
    for index in range(3):
        ledger.record("stock", "lookup", good=True, wall_ms=index * BUCKET_MS)
    return ledger


def test_closed_buckets_are_stored_in_order_and_the_open_one_is_kept():
    async def run() -> None:
        platform, ledger = FakePlatform(), filled_ledger()
        assert await flush(ledger, platform, 2 * BUCKET_MS) == 2
        starts = [bucket.start_ms for bucket in await load(platform, 0.0)]
        assert starts == [0.0, BUCKET_MS]
        assert list(ledger.buckets) == [2 * BUCKET_MS]

    asyncio.run(run())


def test_buckets_stay_in_the_ledger_while_the_table_is_down():
    async def run() -> None:
        platform, ledger = FakePlatform(), filled_ledger()
        platform.faults = Faults(down=True)
        assert await flush(ledger, platform, 3 * BUCKET_MS) == 0
        platform.faults = Faults()
        assert await flush(ledger, platform, 3 * BUCKET_MS) == 3

    asyncio.run(run())


def test_a_bucket_whose_write_response_is_lost_is_stored_once():
    async def run() -> None:
        platform, ledger = FakePlatform(), filled_ledger()
        platform.faults = Faults(lose_answers=1)
        await flush(ledger, platform, 3 * BUCKET_MS)
        await flush(ledger, platform, 3 * BUCKET_MS)
        assert len(await load(platform, 0.0)) == 3
        assert ledger.buckets == {}

    asyncio.run(run())


def test_only_buckets_from_the_given_time_onward_are_loaded():
    async def run() -> None:
        platform, ledger = FakePlatform(), filled_ledger()
        await flush(ledger, platform, 3 * BUCKET_MS)
        assert len(await load(platform, BUCKET_MS)) == 2

    asyncio.run(run())
