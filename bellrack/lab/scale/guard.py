"""The limit on the memory of a scale run.

Reads the resident memory of this process and its children. Above the limit it raises; the run then ends its
processes.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterable
from pathlib import Path

from bellrack.lab.scenario import ScenarioError


def machine_mb() -> float:
    """Memory of this machine."""
    return _field(Path("/proc/meminfo"), "MemTotal:") / 1024


def resident_mb(processes: Iterable[int | str] = ("self",)) -> float:
    """Resident memory of these processes; a process that has ended counts 0."""
    return sum(_field(Path(f"/proc/{process}/status"), "VmRSS:") for process in processes) / 1024


def _field(path: Path, name: str) -> int:
    """The value in KB of a line of a file in /proc; 0 if it cannot be read."""
    with contextlib.suppress(OSError, IndexError, ValueError):
        return int(path.read_text().partition(name)[2].split()[0])
    return 0


class MemoryGuard:
    """Checks the memory in use against a limit; `peak_mb` is the most that a check found."""

    def __init__(self, limit_mb: float = 0.0):
        """`limit_mb`: 0 for half of the machine's memory, which is also the highest limit."""
        half = machine_mb() / 2
        self.limit_mb = min(limit_mb or half, half)
        self.peak_mb = 0.0

    def check(self, when: str, children: Iterable[int] = ()) -> None:
        """Raises ScenarioError if this process and these children use more than the limit.

        `when` is for the text of the error: at which point of the run the check was made.
        """
        used_mb = resident_mb(["self", *children])
        self.peak_mb = max(self.peak_mb, used_mb)
        if used_mb > self.limit_mb:
            raise ScenarioError(
                f"scale: {used_mb:.0f} MB in use {when}, over the limit of {self.limit_mb:.0f} MB: stopped"
            )
