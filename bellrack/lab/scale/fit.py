"""A power law through sizes and values: value = factor * size ** slope, by least squares of logarithms.

Owns the fit and its error. It measures nothing and draws nothing.
"""
from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from scipy.stats import linregress


@dataclass(frozen=True)
class Fit:
    slope: float
    factor: float
    error: float  # standard error of the slope
    residual: float  # the largest, relative to the fit

    def at(self, size: float) -> float:
        return self.factor * size ** self.slope


def fit_power(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Raises ValueError for fewer than three sizes, or values that are not over 0."""
    if len(sizes) < 3 or len(sizes) != len(values) or min(*sizes, *values) <= 0:
        raise ValueError("three sizes or more, and a value over 0 of each")
    line = linregress([math.log(size) for size in sizes], [math.log(value) for value in values])
    slope, factor = float(line.slope), math.exp(line.intercept)
    residual = max(abs(value / (factor * size ** slope) - 1) for size, value in zip(sizes, values))
    return Fit(slope, factor, float(line.stderr), residual)
