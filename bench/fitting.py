"""Straight lines through measured points, by least squares."""

import collections.abc
import dataclasses
import math
import statistics

CONSTANTS = 2
"""Slope and start: fitted from the points, so they count as no evidence."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fit:
    """A line through points.

    Attributes:
      slope: of y for one more of x.
      start: y at x = 0.
      error: standard error of the slope.
      worst: largest distance of a point from the line, as a share of the
        largest y.
    """

    slope: float
    start: float
    error: float
    worst: float


def fit(
    sizes: collections.abc.Sequence[float],
    costs: collections.abc.Sequence[float],
) -> Fit:
    """Returns the line through at least three points.

    Raises:
      statistics.StatisticsError: too few points, or all of one size.
    """
    slope, start = statistics.linear_regression(sizes, costs)
    misses = [y - start - slope * x for x, y in zip(sizes, costs, strict=True)]
    freedom = len(sizes) - CONSTANTS
    middle = statistics.fmean(sizes)
    spread = sum((x - middle) ** 2 for x in sizes)
    error = math.sqrt(sum(miss**2 for miss in misses) / freedom / spread)
    largest = max(abs(cost) for cost in costs)
    worst = max(abs(miss) for miss in misses) / largest if largest else 0.0
    return Fit(slope, start, error, worst)
