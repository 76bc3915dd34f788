"""Running median of latencies, cheap enough to update on each request."""

from itertools import accumulate
from math import log2

BUCKETS_PER_DOUBLING = 4
BUCKET_COUNT = 96
MIN_LATENCY_MS = 0.1
WINDOW = 512
MIN_SAMPLES = 20


class RunningMedian:
    """Median of recent latencies, from geometric buckets whose counts decay.

    Examples
    --------
    >>> median = RunningMedian()
    >>> for _ in range(100):
    ...     median.add(25.0)
    >>> 20.0 < median.value < 30.0
    True
    """

    __slots__ = ("counts", "total", "value")

    def __init__(self) -> None:
        self.counts = [0.0] * BUCKET_COUNT
        self.total = 0.0
        self.value = 0.0
        """Median in milliseconds; 0 until there are `MIN_SAMPLES` samples."""

    def add(self, latency_ms: float) -> None:
        """Add one latency in milliseconds; halve all counts when the window is full."""
        index = int(log2(max(latency_ms, MIN_LATENCY_MS) / MIN_LATENCY_MS) * BUCKETS_PER_DOUBLING)
        self.counts[min(index, BUCKET_COUNT - 1)] += 1.0
        self.total += 1.0
        if self.total >= WINDOW:
            self.counts = [count / 2.0 for count in self.counts]
            self.total /= 2.0
        if self.total >= MIN_SAMPLES and int(self.total) % MIN_SAMPLES == 0:
            self.value = self.estimate()

    def estimate(self) -> float:
        """Return the midpoint of the bucket that holds the median, in milliseconds."""
        half = self.total / 2.0
        index = next(
            index for index, cumulative in enumerate(accumulate(self.counts)) if cumulative >= half
        )
        return float(MIN_LATENCY_MS * 2.0 ** ((index + 0.5) / BUCKETS_PER_DOUBLING))
