"""Counts of good requests and of all requests, kept by each VM in buckets of five minutes."""

from dataclasses import dataclass

from cactusvane.clock import MS_PER_SECOND

BUCKET_MS = 300 * MS_PER_SECOND
"""Length of a bucket in milliseconds."""


@dataclass(frozen=True, slots=True)
class Count:
    """Requests of one kind in one bucket; contains nothing that identifies a customer.

    Parameters
    ----------
    service, kind
        Names from the service file.
    good
        Number of requests with a complete response in time and without a server error.
    total
        Number of all requests that matched a route.
    """

    service: str
    kind: str
    good: int
    total: int


@dataclass(frozen=True, slots=True)
class Bucket:
    """The counts of one VM in one bucket.

    Parameters
    ----------
    vm
        Name of the VM.
    start_ms
        Start of the bucket in milliseconds since the epoch, a multiple of `BUCKET_MS`.
    counts
        One element for each service and kind with requests.
    """

    vm: str
    start_ms: float
    counts: tuple[Count, ...]


@dataclass(slots=True)
class Tally:
    """Running counts of good requests and of all requests."""

    good: int = 0
    total: int = 0


def bucket_start(wall_ms: float) -> float:
    """Return the start of the bucket that contains `wall_ms`, both in ms since the epoch."""
    return wall_ms - wall_ms % BUCKET_MS


class Ledger:
    """Counts requests in buckets and keeps each bucket until it is stored.

    Parameters
    ----------
    vm
        Name of this VM.

    Examples
    --------
    >>> ledger = Ledger("entry-1")
    >>> ledger.record("stock", "lookup", good=True, wall_ms=0.0)
    >>> ledger.record("stock", "lookup", good=False, wall_ms=1.0)
    >>> ledger.closed(wall_ms=BUCKET_MS)[0].counts
    (Count(service='stock', kind='lookup', good=1, total=2),)
    """

    def __init__(self, vm: str) -> None:
        self.vm = vm
        self.buckets: dict[float, dict[tuple[str, str], Tally]] = {}

    def record(self, service: str, kind: str, good: bool, wall_ms: float) -> None:
        """Count one request that ended at `wall_ms` (ms since the epoch)."""
        bucket = self.buckets.setdefault(bucket_start(wall_ms), {})
        tally = bucket.setdefault((service, kind), Tally())
        tally.total += 1
        tally.good += good

    def closed(self, wall_ms: float) -> tuple[Bucket, ...]:
        """Return the buckets that ended by `wall_ms`; they are kept until `forget` removes them."""
        present = bucket_start(wall_ms)
        return tuple(self.snapshot(start) for start in sorted(self.buckets) if start < present)

    def all(self) -> tuple[Bucket, ...]:
        """Return all buckets that are not stored yet, including the open one."""
        return tuple(self.snapshot(start) for start in sorted(self.buckets))

    def forget(self, bucket: Bucket) -> None:
        """Remove a bucket that was stored; does nothing if it is removed already."""
        self.buckets.pop(bucket.start_ms, None)

    def snapshot(self, start_ms: float) -> Bucket:
        """Return a frozen copy of the bucket that starts at `start_ms`."""
        counts = tuple(
            Count(service, kind, tally.good, tally.total)
            for (service, kind), tally in sorted(self.buckets[start_ms].items())
        )
        return Bucket(self.vm, start_ms, counts)
