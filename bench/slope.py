"""Least-squares lines through measured points, and measurement of CPU time."""

import gc
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from statistics import StatisticsError, correlation, linear_regression, median

ROUNDS = 5
NS_PER_US = 1_000


@dataclass(frozen=True, slots=True)
class Point:
    """A size and the cost measured at it; the field names are keys of the JSON output."""

    size: float
    cost: float


@dataclass(frozen=True, slots=True)
class Fit:
    """Least-squares line through points.

    The field names are keys of the JSON output.

    Parameters
    ----------
    name
        What was measured.
    unit
        Unit of the cost.
    per
        Unit of the size.
    points
        Measured points.
    slope, intercept
        Slope of the line in `unit` for each of `per`, and its intercept in `unit`.
    r2
        Share of the variance that the line explains.
    """

    name: str
    unit: str
    per: str
    points: tuple[Point, ...]
    slope: float
    intercept: float
    r2: float

    def at(self, size: float) -> float:
        """Return the cost of `size` according to the line."""
        return self.intercept + self.slope * size


def fit(name: str, unit: str, per: str, points: Sequence[Point]) -> Fit:
    """Return the least-squares line through the points.

    Raises `StatisticsError` for fewer than two points, or if all sizes are the same.

    Examples
    --------
    >>> line = fit("memory", "MB", "route", [Point(1, 3.0), Point(2, 5.0), Point(3, 7.0)])
    >>> line.slope, line.intercept, line.r2
    (2.0, 1.0, 1.0)
    """
    sizes = [point.size for point in points]
    costs = [point.cost for point in points]
    slope, intercept = linear_regression(sizes, costs)
    try:
        r2 = correlation(sizes, costs) ** 2
    except StatisticsError:
        r2 = 1.0
    return Fit(name, unit, per, tuple(points), slope, intercept, r2)


def cpu_us(action: Callable[[], object], times: int) -> float:
    """Return the CPU time of one call in microseconds: the median over rounds of `times` calls."""
    rounds = []
    gc.collect()
    for _ in range(ROUNDS):
        start = time.process_time_ns()
        for _ in range(times):
            action()
        rounds.append((time.process_time_ns() - start) / times / NS_PER_US)
    return median(rounds)
