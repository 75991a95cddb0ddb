"""Fits of what was measured at several sizes, with the standard error of their slopes.

Provides the two models of a role's cost: a power of the size, and a base plus a cost per unit.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

import numpy
from scipy import linalg, stats

ROUNDING_SHARE = 1e-12  # of the largest value: a term that adds less to any value is set to 0
MIN_SIZES = 3  # through two sizes any fit is exact, and the error of its slope says nothing


@dataclass(frozen=True)
class PowerFit:
    """The power law value = factor x size ** slope."""

    slope: float
    factor: float
    error: float  # standard error of the slope
    residual: float  # largest relative residual: |fitted - value| / value

    form = "power"

    def at(self, size: float) -> float:
        """The fitted value at a size."""
        return self.factor * size**self.slope

    def formula(self) -> str:
        """The fit as text, with n for the size."""
        return f"{self.factor:.4g} x n^{self.slope:.3f}"


@dataclass(frozen=True)
class LineFit:
    """The line value = base + per_unit x size."""

    per_unit: float
    base: float
    error: float  # standard error of `per_unit`
    residual: float  # largest relative residual: |fitted - value| / value

    form = "line"

    def at(self, size: float) -> float:
        """The fitted value at a size."""
        return self.base + self.per_unit * size

    def formula(self) -> str:
        """The fit as text, with n for the size."""
        return f"{self.base:.4g} {'-' if self.per_unit < 0 else '+'} {abs(self.per_unit):.4g} x n"


def check_input(sizes: Sequence[float], values: Sequence[float]) -> None:
    """Raises ValueError for input that cannot be fitted."""
    if len(sizes) != len(values):
        raise ValueError(f"{len(sizes)} sizes, {len(values)} values")
    if len(set(sizes)) < MIN_SIZES:
        raise ValueError(f"{len(set(sizes))} different sizes, at least {MIN_SIZES} are needed")


def largest_residual(fitted: Sequence[float], values: Sequence[float]) -> float:
    """The largest relative residual; infinite if a value is 0 and its fit is not."""
    return max(
        abs(fit - value) / abs(value)
        if value
        else (0.0 if math.isclose(fit, 0.0, abs_tol=1e-9) else math.inf)
        for fit, value in zip(fitted, values)
    )


def fit_power(sizes: Sequence[float], values: Sequence[float]) -> PowerFit:
    """Fits a power law by least squares on logarithms.

    Raises ValueError for fewer than three different sizes, or for a size or value that is not positive.
    """
    check_input(sizes, values)
    if min(*sizes, *values) <= 0:
        raise ValueError("a power law needs positive sizes and values")
    regression = stats.linregress([math.log(size) for size in sizes], [math.log(value) for value in values])
    slope, factor = float(regression.slope), math.exp(regression.intercept)
    residual = largest_residual([factor * size**slope for size in sizes], values)
    error = float(regression.stderr) if len(set(values)) > 1 else 0.0  # scipy gives none for equal values
    return PowerFit(slope, factor, error, residual)


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> LineFit:
    """Fits a line by least squares of relative residuals, so that small sizes count as much as large ones; of
    absolute residuals if a value is 0. Raises ValueError for fewer than three different sizes."""
    check_input(sizes, values)
    weights = [1 / value for value in values] if all(values) else [1.0] * len(values)
    design = numpy.array([[weight, weight * size] for size, weight in zip(sizes, weights)])
    target = numpy.array([weight * value for value, weight in zip(values, weights)])
    scale = numpy.abs(design).max(axis=0)  # otherwise digits are lost where the base is thousands of units
    (base, per_unit), *_ = linalg.lstsq(design / scale, target)
    base, per_unit = float(base / scale[0]), float(per_unit / scale[1])
    smallest = ROUNDING_SHARE * max(map(abs, values))
    base = base if abs(base) > smallest else 0.0
    per_unit = per_unit if abs(per_unit) * max(sizes) > smallest else 0.0
    variance = float(((design @ [base, per_unit] - target) ** 2).sum()) / max(1, len(sizes) - 2)
    spread = linalg.inv((design / scale).T @ (design / scale))[1, 1] / scale[1] ** 2
    fitted = [base + per_unit * size for size in sizes]
    return LineFit(per_unit, base, math.sqrt(variance * spread), largest_residual(fitted, values))
