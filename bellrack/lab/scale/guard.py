"""What a scale run may take of the machine.

Owns the look at memory, of this process and its children, and the limit. It ends nothing: it raises, and the
run cleans up.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterable
from pathlib import Path

from bellrack.lab.scenario import ScenarioError


def machine_mb() -> float:
    return _field(Path("/proc/meminfo"), "MemTotal:") / 1024


def resident_mb(processes: Iterable[int | str] = ("self",)) -> float:
    """Resident memory of these processes; of one that is gone, none."""
    return sum(_field(Path(f"/proc/{process}/status"), "VmRSS:") for process in processes) / 1024


def _field(path: Path, name: str) -> int:
    """Kilobytes."""
    with contextlib.suppress(OSError, IndexError, ValueError):
        return int(path.read_text().partition(name)[2].split()[0])
    return 0


class MemoryGuard:
    """Raises ScenarioError once more than the limit is in use; `peak_mb` is what it saw."""

    def __init__(self, limit_mb: float = 0.0):
        half = machine_mb() / 2
        self.limit_mb = min(limit_mb or half, half)
        self.peak_mb = 0.0

    def check(self, when: str, children: Iterable[int] = ()) -> None:
        used = resident_mb(["self", *children])
        self.peak_mb = max(self.peak_mb, used)
        if used > self.limit_mb:
            raise ScenarioError(
                f"scale: {used:.0f} MB in use {when}, over the limit of {self.limit_mb:.0f} MB: stopped"
            )
