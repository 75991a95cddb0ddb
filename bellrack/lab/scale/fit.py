"""Slopes of what was measured at several sizes, and how far they are to be trusted.

Owns the two forms that a role's cost takes here: a power of the size, and a base with so much a unit. It
measures nothing, draws nothing, and knows no target.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

import numpy
from scipy import linalg, stats

ROUNDING = 1e-12  # of the largest value: what adds less to any is nought
LEAST = 3  # different sizes: of two the error of a slope is nought, whatever they are


@dataclass(frozen=True)
class PowerFit:
    """value = factor x size ** slope."""

    slope: float
    factor: float
    error: float  # standard error of the slope
    residual: float  # largest relative residual: |fitted - value| / value

    form = "power"

    def at(self, size: float) -> float:
        return self.factor * size**self.slope

    def formula(self) -> str:
        return f"{self.factor:.4g} x n^{self.slope:.3f}"


@dataclass(frozen=True)
class LineFit:
    """value = base + per_unit x size."""

    per_unit: float
    base: float
    error: float  # standard error of what is per unit
    residual: float  # largest relative residual: |fitted - value| / value

    form = "line"

    def at(self, size: float) -> float:
        return self.base + self.per_unit * size

    def formula(self) -> str:
        return f"{self.base:.4g} {'-' if self.per_unit < 0 else '+'} {abs(self.per_unit):.4g} x n"


def checked(sizes: Sequence[float], values: Sequence[float]) -> None:
    if len(sizes) != len(values):
        raise ValueError(f"{len(sizes)} sizes, {len(values)} values")
    if len(set(sizes)) < LEAST:
        raise ValueError(f"{len(set(sizes))} different sizes, {LEAST} at least")


def largest(fitted: Sequence[float], values: Sequence[float]) -> float:
    """The largest relative residual; infinite where a value is nought and its fit is not."""
    return max(
        abs(fit - value) / abs(value)
        if value
        else (0.0 if math.isclose(fit, 0.0, abs_tol=1e-9) else math.inf)
        for fit, value in zip(fitted, values)
    )


def fit_power(sizes: Sequence[float], values: Sequence[float]) -> PowerFit:
    """Least squares on logarithms. Raises ValueError for fewer than three sizes, or what is not over 0."""
    checked(sizes, values)
    if min(*sizes, *values) <= 0:
        raise ValueError("a power is fitted to sizes and values over 0")
    found = stats.linregress([math.log(size) for size in sizes], [math.log(value) for value in values])
    slope, factor = float(found.slope), math.exp(found.intercept)
    residual = largest([factor * size**slope for size in sizes], values)
    error = float(found.stderr) if len(set(values)) > 1 else 0.0  # where all are the same scipy has none
    return PowerFit(slope, factor, error, residual)


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> LineFit:
    """Least squares of relative residuals, so that small sizes count as much as large ones; of plain ones
    where a value is nought. Raises ValueError for fewer than three sizes."""
    checked(sizes, values)
    weights = [1 / value for value in values] if all(values) else [1.0] * len(values)
    table = numpy.array([[weight, weight * size] for size, weight in zip(sizes, weights)])
    wanted = numpy.array([weight * value for value, weight in zip(values, weights)])
    scale = numpy.abs(table).max(axis=0)  # guards against figures lost where a base is thousands of units
    (base, per_unit), *_ = linalg.lstsq(table / scale, wanted)
    base, per_unit = float(base / scale[0]), float(per_unit / scale[1])
    least = ROUNDING * max(map(abs, values))
    base = base if abs(base) > least else 0.0
    per_unit = per_unit if abs(per_unit) * max(sizes) > least else 0.0
    left = float(((table @ [base, per_unit] - wanted) ** 2).sum()) / max(1, len(sizes) - 2)
    spread = linalg.inv((table / scale).T @ (table / scale))[1, 1] / scale[1] ** 2
    fitted = [base + per_unit * size for size in sizes]
    return LineFit(per_unit, base, math.sqrt(left * spread), largest(fitted, values))
