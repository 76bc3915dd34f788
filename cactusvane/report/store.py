"""Stores closed buckets in the platform's table, so that they outlive the VM that counted them."""

import msgspec

from cactusvane.errors import PlatformUnavailableError, WriteConflictError
from cactusvane.report.ledger import Bucket, Ledger
from cactusvane.store.interface import ABSENT, Platform, Write

TABLE = "burn"
START_DIGITS = 15


def row_key(bucket: Bucket) -> str:
    """Return the key of the row of a bucket; keys sort by time.

    Examples
    --------
    >>> row_key(Bucket("entry-1", 300_000.0, ()))
    '000000000300000-entry-1'
    """
    return f"{int(bucket.start_ms):0{START_DIGITS}d}-{bucket.vm}"


async def flush(ledger: Ledger, platform: Platform, wall_ms: float) -> int:
    """Store the closed buckets and remove them from the ledger once they are in the table.

    A bucket whose write got no response stays in the ledger. If that write took effect, the next
    one conflicts with the existing row and the bucket counts as stored, because only this VM
    writes rows with its name.

    Returns
    -------
    int
        Number of buckets that were stored.
    """
    stored = 0
    for bucket in ledger.closed(wall_ms):
        write = Write(TABLE, row_key(bucket), msgspec.json.encode(bucket).decode(), ABSENT)
        try:
            await platform.commit((write,))
        except PlatformUnavailableError:
            return stored
        except WriteConflictError:
            pass
        ledger.forget(bucket)
        stored += 1
    return stored


async def load(platform: Platform, since_ms: float) -> tuple[Bucket, ...]:
    """Return all stored buckets that start at `since_ms` or later.

    Raises
    ------
    PlatformUnavailableError
        If the table does not respond.
    """
    first = f"{max(0, int(since_ms)):0{START_DIGITS}d}"
    rows = await platform.scan(TABLE, first)
    return tuple(msgspec.json.decode(row.value, type=Bucket) for row in rows)
