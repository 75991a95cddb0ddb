"""Measurements of the roles: a cost at several sizes with its fit, and how it is measured."""

from __future__ import annotations

import sys
import time
import tracemalloc
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from bellrack.lab.scale.fit import LineFit, PowerFit, fit_line, fit_power

REPEATS = 5
# A power law is preferred to a line if its largest residual is below this share of the line's.
POWER_RESIDUAL_SHARE = 0.7
RESIDUAL_ROUNDING = 1e-9  # residuals up to this count as zero


@dataclass(frozen=True)
class Measurement:
    """One cost at several sizes. The field names are keys of the JSON report."""

    role: str
    name: str
    unit: str
    of: str  # what the sizes count
    sizes: list[int]
    values: list[float]
    counted: bool  # bytes or records, which are exactly the same in each run
    fit: PowerFit | LineFit | None = None

    def with_fit(self) -> Measurement:
        """Returns a copy with a linear fit, or with a power law if that has a clearly smaller residual."""
        line = fit_line(self.sizes, self.values)
        power = fit_power(self.sizes, self.values) if min(self.values) > 0 else line
        return replace(
            self,
            fit=(
                power if power.residual < POWER_RESIDUAL_SHARE * line.residual - RESIDUAL_ROUNDING else line
            ),
        )


def measurement(
    role: str, name: str, unit: str, size_unit: str, sizes: Any, values: Any, counted: bool = False
) -> Measurement:
    """Returns a measurement with its fit. `size_unit` says what the sizes count."""
    return Measurement(role, name, unit, size_unit, list(sizes), list(values), counted).with_fit()


def processor_time_us(action: Callable[[], Any], repeats: int = REPEATS) -> float:
    """Returns the processor time of `action()` in microseconds, the minimum of several repeats."""
    best = None
    for _ in range(repeats):
        started_ns = time.process_time_ns()
        action()
        spent_ns = time.process_time_ns() - started_ns
        best = spent_ns if best is None else min(best, spent_ns)
    return (best or 0) / 1000


def allocated_bytes(create: Callable[[], Any]) -> tuple[int, int]:
    """Returns the bytes that the result of `create()` keeps allocated, and the peak while it was created."""
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        created = create()
        kept, peak = tracemalloc.get_traced_memory()
        del created
        return kept - before, peak - before
    finally:
        tracemalloc.stop()


def deep_size(value: Any, seen: set[int] | None = None) -> int:
    """Returns the bytes of a container and of all that it contains, each object counted once.

    `seen`: the ids of objects that are counted already."""
    seen = set() if seen is None else seen
    if id(value) in seen:
        return 0
    seen.add(id(value))
    size = sys.getsizeof(value)
    if isinstance(value, dict):
        size += sum(deep_size(key, seen) + deep_size(item, seen) for key, item in value.items())
    elif isinstance(value, list | tuple | set | frozenset | deque):
        size += sum(deep_size(item, seen) for item in value)
    return size
