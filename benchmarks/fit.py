"""Least-squares fits of measured costs."""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence


class Fit(NamedTuple):
    """Least-squares line through measured points.

    Attributes:
        slope: Change of y per unit of x.
        intercept: y at x = 0.
        error: Largest distance of a point from the line, as a share of the
            largest y.
    """

    slope: float
    intercept: float
    error: float


def fit(xs: Sequence[float], ys: Sequence[float]) -> Fit:
    """Returns the least-squares line; `xs` needs two different values."""
    line = statistics.linear_regression(xs, ys)
    distances = [
        abs(y - line.slope * x - line.intercept)
        for x, y in zip(xs, ys, strict=True)
    ]
    scale = max(abs(y) for y in ys) or 1.0
    return Fit(line.slope, line.intercept, max(distances) / scale)
