"""Expected work of the requests of one service, learned from the attempts of all entries.

Requests of one kind cost very different amounts of work. The estimate of a request starts with the
mean of its kind, is refined by method and path, then by the size of the body, then by the customer.
A refinement with few samples counts little. The number of refinements is bounded whatever paths
callers send: a new one replaces the least used one. Performs no I/O.

Work is the time that a request takes at a target of usual speed without a queue, in milliseconds.
"""

from dataclasses import dataclass
from math import sqrt

from msgspec.structs import replace

from cactusvane.placement import features
from cactusvane.placement.messages import Observation
from cactusvane.placement.settings import PlacementSettings

LATEST_WEIGHT = 0.05
"""Weight of the latest sample in a mean, which covers some twenty samples."""

LATEST_RATIO_WEIGHT = 0.025
"""The same for a ratio to a less refined estimate, which follows each sample as well.

With 0.05, a single request of ten times the work raised the estimate of its like by 150 %.
"""

RECENT_WEIGHT = 0.25
"""The same for the mean of the most recent samples, which covers some seven."""

RECENT_SAMPLES = 7
"""Samples that the mean of the most recent ones covers: (2 - weight) / weight."""

MOVED_FACTOR = 2.5
"""A mean that differs from that of the most recent samples by this factor may have moved."""

MOVED_ERRORS = 3.0
"""It has moved if they also differ by this many standard errors.

Without this condition, kinds with a rare request of ten times the work lost their mean.
"""

MIN_MOVED_SAMPLES = 8
"""Samples before which a mean is not compared with the most recent ones."""

PRIOR_SAMPLES = 2
"""Samples that the prior of a kind counts for: a single response is little evidence."""

SHRINKAGE_SAMPLES = 4.0
"""Samples that the less refined estimate counts for in a refined one."""

MIN_SOURCE_SAMPLES = 8
"""Samples from which a refinement is reported as the source of an estimate."""

MIN_REMAINING_SHARE = 0.25
"""Remaining work of a request in flight, at least, as a share of its expected work."""

MIN_SERVICE_SHARE = 0.1
"""Part of a latency that is work, at least: the expected wait may be wrong."""

MAX_REFINEMENTS = 512
"""Maximum number of refinements of a service."""

AGING_INTERVAL = 4_096
"""Samples of a service after which the use of each refinement is halved."""

MAX_BOUND_FACTOR = 2.0
"""What a timed-out attempt counts at most, as a multiple of the estimate: its target may hang."""

PRIOR_SPREAD = 1.0
"""Coefficient of variation of a kind without samples."""


@dataclass(frozen=True, slots=True)
class Estimate:
    """Expected work of a request.

    Parameters
    ----------
    mean_ms
        Expected work in milliseconds.
    spread
        Standard deviation of the work as a share of its mean.
    samples
        Number of samples of the most refined mean that the estimate was learned from.
    source
        Which one that is: ``prior``, ``kind``, ``path``, ``size`` or ``customer``.
    """

    mean_ms: float
    spread: float
    samples: int
    source: str


class RunningMean:
    """Exponentially weighted mean and variance of a value, which adapts quickly after a change.

    Parameters
    ----------
    mean
        Mean before any sample.
    samples
        Samples that it counts for.
    latest_weight
        Weight of the latest sample once there are many.

    Attributes
    ----------
    window
        Number of samples that the mean covers, up to the limit by `latest_weight`.
    recent
        Mean of the most recent samples.
    uses
        Samples, halved from time to time.
    """

    __slots__ = ("latest_weight", "mean", "recent", "samples", "uses", "variance", "window")

    def __init__(
        self, mean: float = 0.0, samples: int = 0, latest_weight: float = LATEST_WEIGHT
    ) -> None:
        self.latest_weight = latest_weight
        self.mean = mean
        self.recent = mean
        self.samples = samples
        self.window = samples
        self.variance = 0.0
        self.uses = 0

    def record(self, value: float) -> bool:
        """Record a sample; return whether the mean was restarted."""
        self.samples += 1
        self.window += 1
        self.uses += 1
        weight = max(self.latest_weight, 1.0 / self.window)
        difference = value - self.mean
        self.variance = (1.0 - weight) * (self.variance + weight * difference * difference)
        self.mean += weight * difference
        self.recent += max(RECENT_WEIGHT, 1.0 / self.window) * (value - self.recent)
        moved = self.has_moved
        if moved:
            self.restart()
        return moved

    @property
    def has_moved(self) -> bool:
        """Whether the most recent samples contradict the mean."""
        if self.window < MIN_MOVED_SAMPLES:
            return False
        larger, smaller = max(self.recent, self.mean), min(self.recent, self.mean)
        error = sqrt(self.variance / RECENT_SAMPLES)
        return larger > MOVED_FACTOR * smaller and larger - smaller > MOVED_ERRORS * error

    def restart(self) -> None:
        """Continue with the mean of the most recent samples and the same relative variance."""
        self.variance *= (self.recent / self.mean) ** 2
        self.mean = self.recent
        self.window = RECENT_SAMPLES

    @property
    def spread(self) -> float:
        """Standard deviation as a share of the mean."""
        return sqrt(self.variance) / self.mean if self.mean > 0.0 else 0.0

    def shrunk(self, less_refined: float) -> float:
        """Return the mean, moved towards `less_refined` where samples are few."""
        total = self.samples + SHRINKAGE_SAMPLES
        return (self.samples * self.mean + SHRINKAGE_SAMPLES * less_refined) / total


class WorkEstimates:
    """Expected work of the requests of one service.

    Parameters
    ----------
    settings
        Expected work of a kind before any sample.

    Attributes
    ----------
    kinds
        Mean work by kind, in milliseconds.
    refinements
        By kind, refinement and its value: the mean work by path, in milliseconds; and the mean of
        the ratio of work to the less refined estimate, by path and size and by customer.
    usual_slowness
        Mean slowness of the targets that served requests.

    Examples
    --------
    >>> work = WorkEstimates(PlacementSettings())
    >>> for _ in range(100):
    ...     work.record("read", 1, 50.0, objective_ms=1_000.0)
    ...     work.record("read", 2, 950.0, objective_ms=1_000.0)
    >>> round(work.estimate("read", 1, 1_000.0).mean_ms, -1)
    70.0
    >>> work.estimate("read", 2, 1_000.0).source
    'size'
    """

    def __init__(self, settings: PlacementSettings) -> None:
        self.settings = settings
        self.kinds: dict[str, RunningMean] = {}
        self.refinements: dict[tuple[str, str, int], RunningMean] = {}
        self.until_aging = AGING_INTERVAL
        self.overall: RunningMean | None = None
        self.usual_slowness = RunningMean(1.0, PRIOR_SAMPLES)

    def estimate(self, kind: str, packed: int, objective_ms: float) -> Estimate:
        """Return the expected work of a request.

        Parameters
        ----------
        kind
            Kind of request.
        packed
            Its features, as `features.pack` returns them.
        objective_ms
            Its latency objective in milliseconds.
        """
        learned = self.kinds.get(kind)
        if learned is None:
            prior_ms = self.settings.prior_latency_share * objective_ms
            return Estimate(prior_ms, PRIOR_SPREAD, 0, "prior")
        mean_ms, source = learned.mean, "kind"
        for key in keys(kind, packed):
            refinement = self.refinements.get(key)
            if refinement is None:
                continue
            mean_ms = refine(mean_ms, key, refinement)
            if refinement.samples >= MIN_SOURCE_SAMPLES:
                learned, source = refinement, key[1]
        return Estimate(mean_ms, learned.spread, learned.samples, source)

    def record(self, kind: str, packed: int, work_ms: float, objective_ms: float) -> None:
        """Record the work of one request; parameters as for `estimate`."""
        mean = self.kinds.get(kind)
        if mean is None:
            prior_ms = self.settings.prior_latency_share * objective_ms
            mean = self.kinds[kind] = RunningMean(prior_ms, PRIOR_SAMPLES)
        less_refined_ms = mean.mean
        mean.record(work_ms)
        if self.overall is None:
            self.overall = RunningMean(work_ms, 1)
        self.overall.record(work_ms)
        self.record_refinements(kind, packed, work_ms, less_refined_ms)
        self.age()

    def record_refinements(
        self, kind: str, packed: int, work_ms: float, less_refined_ms: float
    ) -> None:
        """Record the work of one request in its refinements.

        A change is attributed once: when one refinement has restarted, the more refined ones
        forget the samples that made it do so. Ratios are to the mean of the path itself once it has
        some samples; otherwise they would learn to undo its shrinkage.
        """
        restarted = False
        for key in keys(kind, packed):
            refinement = self.refinement(key)
            if restarted:
                refinement.recent = refinement.mean
            elif key[1] == "path":
                restarted = refinement.record(work_ms)
            else:
                restarted = refinement.record(work_ms / max(1.0, less_refined_ms))
            if key[1] == "path" and refinement.samples >= MIN_SOURCE_SAMPLES:
                less_refined_ms = refinement.mean
            else:
                less_refined_ms = refine(less_refined_ms, key, refinement)

    def record_bound(self, kind: str, packed: int, work_ms: float, objective_ms: float) -> None:
        """Record that a request has more work than `work_ms`; this never lowers an estimate."""
        expected_ms = self.estimate(kind, packed, objective_ms).mean_ms
        if work_ms > expected_ms:
            counted_ms = min(work_ms, MAX_BOUND_FACTOR * expected_ms)
            self.record(kind, packed, counted_ms, objective_ms)

    def at_usual_speed(self, service_ms: float, slowness: float) -> float:
        """Return the work of a request from its time at a target of the given slowness.

        The slowness counts relative to that of the other targets: if all of them look fast or
        slow, the expected work is wrong.
        """
        return service_ms * self.usual_slowness.mean / slowness

    def mean_ms(self, default_ms: float) -> float:
        """Return the mean work of all requests in ms, or `default_ms` before any sample."""
        return default_ms if self.overall is None else self.overall.mean

    def refinement(self, key: tuple[str, str, int]) -> RunningMean:
        """Return a refinement; a new one replaces the least used if there are too many."""
        found = self.refinements.get(key)
        if found is None:
            if len(self.refinements) >= MAX_REFINEMENTS:
                del self.refinements[min(self.refinements, key=self.uses)]
            weight = LATEST_WEIGHT if key[1] == "path" else LATEST_RATIO_WEIGHT
            found = self.refinements[key] = RunningMean(latest_weight=weight)
        return found

    def uses(self, key: tuple[str, str, int]) -> int:
        """Return how often a refinement was used recently."""
        return self.refinements[key].uses

    def age(self) -> None:
        """Halve the uses from time to time, so that refinements no longer used can be replaced."""
        self.until_aging -= 1
        if self.until_aging > 0:
            return
        self.until_aging = AGING_INTERVAL
        for refinement in self.refinements.values():
            refinement.uses //= 2


@dataclass(frozen=True, slots=True, eq=False)
class RunningWork:
    """One request of this entry in flight; compared by identity.

    Parameters
    ----------
    expected_ms
        Its expected work in milliseconds.
    wait_ms
        Expected time in the target's queue.
    starts_at
        Expected time at which the target starts it, in milliseconds (monotonic clock of the
        process).
    packed
        Its features, as `features.pack` returns them.
    spread
        Standard deviation of the work as a share of its mean.
    """

    expected_ms: float
    wait_ms: float
    starts_at: float
    packed: int
    spread: float

    def remaining_ms(self, now: float) -> float:
        """Return the expected remaining work in milliseconds.

        A request past its usual time is likely a long one, so some work always remains. The time
        since the start counts the less, the more the work varies: with a standard deviation as
        large as the mean (exponential distribution) it says nothing about the remaining work.
        """
        done_ms = max(0.0, now - self.starts_at) * max(0.0, 1.0 - self.spread)
        return max(MIN_REMAINING_SHARE * self.expected_ms, self.expected_ms - done_ms)

    def describe(self, observation: Observation) -> Observation:
        """Return an observation of this request with its features and its time without queue."""
        service_ms = service_share(observation.latency_ms, self.wait_ms)
        return replace(observation, packed=self.packed, service_ms=max(1, round(service_ms)))


def service_share(latency_ms: float, wait_ms: float) -> float:
    """Return the part of a latency that was not spent in the queue, in milliseconds."""
    return max(MIN_SERVICE_SHARE * latency_ms, latency_ms - wait_ms)


def keys(kind: str, packed: int) -> tuple[tuple[str, str, int], ...]:
    """Return the keys of a request's refinements, the least refined first."""
    if packed == 0:
        return ()
    path = (kind, "path", features.path_of(packed))
    size = (kind, "size", features.path_and_size_of(packed))
    customer = features.customer_of(packed)
    return (path, size, (kind, "customer", customer)) if customer else (path, size)


def refine(mean_ms: float, key: tuple[str, str, int], refinement: RunningMean) -> float:
    """Return an expected work with one more refinement, in milliseconds."""
    if key[1] == "path":
        return refinement.shrunk(mean_ms)
    return mean_ms * refinement.shrunk(1.0)
