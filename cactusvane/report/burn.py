"""Service-level burn: how fast each service spends its error budget.

The burn rate is the share of bad requests over the share that the objective allows; the pairs of
windows and their thresholds follow "Alerting on SLOs" in The Site Reliability Workbook (O'Reilly,
2018), chapter 5.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from cactusvane.clock import MS_PER_SECOND
from cactusvane.configuration.model import Configuration, Objective, Service
from cactusvane.report.ledger import BUCKET_MS, Bucket

MINUTE_MS = 60 * MS_PER_SECOND
HOUR_MS = 60 * MINUTE_MS
BUDGET_WINDOW_MS = 30 * 24 * HOUR_MS


class Alarm(Enum):
    """What an operator should do about a burn rate."""

    NONE = "none"
    SLOW = "slow"
    FAST = "fast"


@dataclass(frozen=True, slots=True)
class WindowPair:
    """A long window that must burn, and a short one that must still be burning.

    Parameters
    ----------
    alarm
        Raised when both windows burn faster than `rate`.
    long_ms, short_ms
        Lengths of the windows in milliseconds.
    rate
        Burn rate; 1 spends the whole budget within `BUDGET_WINDOW_MS`.
    """

    alarm: Alarm
    long_ms: float
    short_ms: float
    rate: float


FAST = WindowPair(Alarm.FAST, HOUR_MS, 5 * MINUTE_MS, 14.4)
SLOW = WindowPair(Alarm.SLOW, 6 * HOUR_MS, 30 * MINUTE_MS, 6.0)


@dataclass(frozen=True, slots=True)
class WindowBurn:
    """One objective over one window.

    Parameters
    ----------
    window_ms
        Length in milliseconds.
    good, total
        Requests.
    rate
        Burn rate, 0 where there was no request.
    """

    window_ms: float
    good: int
    total: int
    rate: float


@dataclass(frozen=True, slots=True)
class KindBurn:
    """One kind of request of a service.

    Parameters
    ----------
    objective
        As in the service file.
    fast_long, fast_short, slow_long, slow_short
        The four windows.
    budget_left
        Share of the error budget left over `BUDGET_WINDOW_MS`; below 0 when overspent.
    alarm
        The most urgent alarm.
    """

    objective: Objective
    fast_long: WindowBurn
    fast_short: WindowBurn
    slow_long: WindowBurn
    slow_short: WindowBurn
    budget_left: float
    alarm: Alarm


@dataclass(frozen=True, slots=True)
class SeriesPoint:
    """Good and all requests of a service in one bucket, weighted by kind."""

    start_ms: float
    good: float
    total: float


@dataclass(frozen=True, slots=True)
class ServiceBurn:
    """One service.

    Parameters
    ----------
    service
        Its name.
    delivered
        Share of requests in good order over the budget window, weighted by kind; 1 for none.
    kinds
        One for each objective.
    series
        One point for each bucket with requests, oldest first.
    """

    service: str
    delivered: float
    kinds: tuple[KindBurn, ...]
    series: tuple[SeriesPoint, ...]


@dataclass(frozen=True, slots=True)
class BurnReport:
    """All services at one moment.

    Parameters
    ----------
    at_ms
        Milliseconds since the epoch.
    coverage
        Share of the expected buckets that VMs delivered; a VM is expected in every bucket
        between its first and its last. Missing buckets count neither as good nor as bad.
    services
        In order of their names.
    """

    at_ms: float
    coverage: float
    services: tuple[ServiceBurn, ...]


def burn_rate(good: int, total: int, share: float) -> float:
    """Return the share of bad requests over the share that the objective allows.

    Examples
    --------
    >>> round(burn_rate(good=990, total=1000, share=0.999), 6)
    10.0
    >>> burn_rate(good=0, total=0, share=0.999)
    0.0
    """
    if total == 0:
        return 0.0
    return (total - good) / total / (1.0 - share)


def coverage(buckets: Iterable[Bucket]) -> float:
    """Return the share of expected buckets that were delivered, 1 for none expected."""
    starts: dict[str, set[float]] = {}
    for bucket in buckets:
        starts.setdefault(bucket.vm, set()).add(bucket.start_ms)
    expected = sum((max(seen) - min(seen)) / BUCKET_MS + 1 for seen in starts.values())
    delivered = sum(len(seen) for seen in starts.values())
    return delivered / expected if expected else 1.0


def window_burn(buckets: tuple[Bucket, ...], key: tuple[str, Objective], ms: float) -> WindowBurn:
    """Sum one service's objective over buckets that are already within the window."""
    service, objective = key
    good = total = 0
    for bucket in buckets:
        for count in bucket.counts:
            if count.service == service and count.kind == objective.kind:
                good += count.good
                total += count.total
    return WindowBurn(ms, good, total, burn_rate(good, total, objective.share))


def most_urgent_alarm(pairs: tuple[tuple[WindowPair, WindowBurn, WindowBurn], ...]) -> Alarm:
    """Return the first alarm whose two windows both burn at its rate or faster."""
    for pair, long, short in pairs:
        if min(long.rate, short.rate) >= pair.rate:
            return pair.alarm
    return Alarm.NONE


def kind_burn(
    buckets: tuple[Bucket, ...], service: Service, objective: Objective, at_ms: float
) -> KindBurn:
    """Work out one objective from all buckets up to `at_ms`."""
    key = (service.name, objective)

    def burn_over(ms: float) -> WindowBurn:
        recent = tuple(b for b in buckets if b.start_ms + BUCKET_MS > at_ms - ms)
        return window_burn(recent, key, ms)

    fast_long, fast_short = burn_over(FAST.long_ms), burn_over(FAST.short_ms)
    slow_long, slow_short = burn_over(SLOW.long_ms), burn_over(SLOW.short_ms)
    urgency = most_urgent_alarm(((FAST, fast_long, fast_short), (SLOW, slow_long, slow_short)))
    budget_left = 1.0 - burn_over(BUDGET_WINDOW_MS).rate
    return KindBurn(objective, fast_long, fast_short, slow_long, slow_short, budget_left, urgency)


def series(buckets: tuple[Bucket, ...], service: Service) -> tuple[SeriesPoint, ...]:
    """Return a service's weighted requests bucket by bucket, oldest first."""
    weights = {objective.kind: objective.weight for objective in service.objectives}
    sums: dict[float, tuple[float, float]] = {}
    for bucket in buckets:
        for count in bucket.counts:
            if count.service != service.name:
                continue
            weight = weights.get(count.kind, 1.0)
            good, total = sums.get(bucket.start_ms, (0.0, 0.0))
            sums[bucket.start_ms] = (good + weight * count.good, total + weight * count.total)
    return tuple(SeriesPoint(start, *sums[start]) for start in sorted(sums))


def service_burn(buckets: tuple[Bucket, ...], service: Service, at_ms: float) -> ServiceBurn:
    """Work out one service from all buckets up to `at_ms`."""
    points = series(buckets, service)
    total = sum(point.total for point in points)
    good = sum(point.good for point in points)
    kinds = tuple(kind_burn(buckets, service, o, at_ms) for o in service.objectives)
    return ServiceBurn(service.name, good / total if total else 1.0, kinds, points)


def report(buckets: Iterable[Bucket], configuration: Configuration, at_ms: float) -> BurnReport:
    """Merge what the VMs counted into one report.

    Parameters
    ----------
    buckets
        From any VMs in any order; of two for the same VM and start the fuller one counts.
    configuration
        Gives objectives and weights.
    at_ms
        The moment of the report in milliseconds since the epoch.

    Returns
    -------
    BurnReport
        Services in order of their names.
    """
    merged: dict[tuple[str, float], Bucket] = {}
    for bucket in buckets:
        if not at_ms - BUDGET_WINDOW_MS <= bucket.start_ms <= at_ms:
            continue
        key = (bucket.vm, bucket.start_ms)
        if key not in merged or requests(bucket) > requests(merged[key]):
            merged[key] = bucket
    unique = tuple(merged.values())
    services = sorted(configuration.services, key=lambda service: service.name)
    burns = tuple(service_burn(unique, service, at_ms) for service in services)
    return BurnReport(at_ms, coverage(unique), burns)


def requests(bucket: Bucket) -> int:
    """Return how many requests a bucket counts."""
    return sum(count.total for count in bucket.counts)
