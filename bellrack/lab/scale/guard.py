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


def used_mb(processes: Iterable[int | str] = ("self",)) -> float:
    """Resident memory of these processes; of one that is gone, none."""
    return sum(_field(Path(f"/proc/{process}/status"), "VmRSS:") for process in processes) / 1024


def _field(path: Path, name: str) -> int:
    """Kilobytes."""
    with contextlib.suppress(OSError, IndexError, ValueError):
        return int(path.read_text().partition(name)[2].split()[0])
    return 0


class Guard:
    """Raises ScenarioError once more than the limit is in use; `most` is what it saw."""

    def __init__(self, limit_mb: float = 0.0):
        half = machine_mb() / 2
        self.limit = min(limit_mb or half, half)
        self.most = 0.0

    def look(self, when: str, children: Iterable[int] = ()) -> None:
        used = used_mb(["self", *children])
        self.most = max(self.most, used)
        if used > self.limit:
            raise ScenarioError(
                f"scale: {used:.0f} MB in use {when}, over the limit of {self.limit:.0f} MB: stopped"
            )
