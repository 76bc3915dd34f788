"""Burn rates: how fast each service uses up its error budget.

The burn rate is the share of bad requests divided by the share that the objective allows. The
pairs of windows and their thresholds follow "Alerting on SLOs" in The Site Reliability Workbook
(O'Reilly, 2018), chapter 5.
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
    """Urgency of a burn rate."""

    NONE = "none"
    SLOW = "slow"
    FAST = "fast"


@dataclass(frozen=True, slots=True)
class WindowPair:
    """A long and a short window that must both exceed a burn rate to raise an alarm.

    The short window ends the alarm soon after the problem is over.

    Parameters
    ----------
    alarm
        Raised if the burn rates of both windows reach `rate`.
    long_ms, short_ms
        Lengths of the windows in milliseconds.
    rate
        Burn rate; at 1 the budget lasts exactly `BUDGET_WINDOW_MS`.
    """

    alarm: Alarm
    long_ms: float
    short_ms: float
    rate: float


FAST = WindowPair(Alarm.FAST, HOUR_MS, 5 * MINUTE_MS, 14.4)
SLOW = WindowPair(Alarm.SLOW, 6 * HOUR_MS, 30 * MINUTE_MS, 6.0)


@dataclass(frozen=True, slots=True)
class WindowBurn:
    """Burn of one objective in one window.

    Parameters
    ----------
    window_ms
        Length of the window in milliseconds.
    good, total
        Number of good requests and of all requests.
    rate
        Burn rate, 0 without requests.
    """

    window_ms: float
    good: int
    total: int
    rate: float


@dataclass(frozen=True, slots=True)
class KindBurn:
    """Burn of one kind of request of a service.

    Parameters
    ----------
    objective
        Objective from the service file.
    fast_long, fast_short, slow_long, slow_short
        Burn in the four windows.
    budget_left
        Share of the error budget of `BUDGET_WINDOW_MS` that is left; negative if it is exceeded.
    alarm
        Most urgent alarm that is raised.
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
    """Number of good requests and of all requests in one bucket, weighted by kind."""

    start_ms: float
    good: float
    total: float


@dataclass(frozen=True, slots=True)
class ServiceBurn:
    """Burn of one service.

    Parameters
    ----------
    service
        Name of the service.
    delivered
        Share of good requests in the budget window, weighted by kind; 1 without requests.
    kinds
        One element for each objective.
    series
        One point for each bucket with requests, oldest first.
    """

    service: str
    delivered: float
    kinds: tuple[KindBurn, ...]
    series: tuple[SeriesPoint, ...]


@dataclass(frozen=True, slots=True)
class BurnReport:
    """Burn of all services at one time.

    Parameters
    ----------
    at_ms
        Time of the report in milliseconds since the epoch.
    coverage
        Share of the expected buckets that are present; each VM is expected to have every bucket
        from its first to its last one. Missing buckets count neither as good nor as bad.
    services
        Sorted by name.
    """

    at_ms: float
    coverage: float
    services: tuple[ServiceBurn, ...]


def burn_rate(good: int, total: int, share: float) -> float:
    """Return the share of bad requests divided by the share that the objective allows.

    Without requests, the burn rate is 0.

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
    """Return the share of expected buckets that are present, 1 if none is expected."""
    starts: dict[str, set[float]] = {}
    for bucket in buckets:
        starts.setdefault(bucket.vm, set()).add(bucket.start_ms)
    expected = sum((max(seen) - min(seen)) / BUCKET_MS + 1 for seen in starts.values())
    delivered = sum(len(seen) for seen in starts.values())
    return delivered / expected if expected else 1.0


def window_burn(buckets: tuple[Bucket, ...], key: tuple[str, Objective], ms: float) -> WindowBurn:
    """Return the burn of one objective, given the buckets of the window of length `ms`."""
    service, objective = key
    good = total = 0
    for bucket in buckets:
        for count in bucket.counts:
            if count.service == service and count.kind == objective.kind:
                good += count.good
                total += count.total
    return WindowBurn(ms, good, total, burn_rate(good, total, objective.share))


def most_urgent_alarm(pairs: tuple[tuple[WindowPair, WindowBurn, WindowBurn], ...]) -> Alarm:
    """Return the alarm of the first pair whose windows both reach its burn rate."""
    for pair, long, short in pairs:
        if min(long.rate, short.rate) >= pair.rate:
            return pair.alarm
    return Alarm.NONE


def kind_burn(
    buckets: tuple[Bucket, ...], service: Service, objective: Objective, at_ms: float
) -> KindBurn:
    """Return the burn of one objective, given all buckets up to `at_ms`."""
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
    """Return the weighted requests of a service in each bucket, oldest first."""
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
    """Return the burn of one service, given all buckets up to `at_ms`."""
    points = series(buckets, service)
    total = sum(point.total for point in points)
    good = sum(point.good for point in points)
    kinds = tuple(kind_burn(buckets, service, o, at_ms) for o in service.objectives)
    return ServiceBurn(service.name, good / total if total else 1.0, kinds, points)


def report(buckets: Iterable[Bucket], configuration: Configuration, at_ms: float) -> BurnReport:
    """Merge the buckets of all VMs into one report.

    Parameters
    ----------
    buckets
        Buckets of any VMs in any order. Of several buckets with the same VM and start, the one
        with the most requests is used.
    configuration
        Configuration with the objectives and weights of the services.
    at_ms
        Time of the report in milliseconds since the epoch.

    Returns
    -------
    BurnReport
        Report with its services sorted by name.
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
    """Return the number of requests in a bucket."""
    return sum(count.total for count in bucket.counts)
