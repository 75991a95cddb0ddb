"""Which of two versions of one fact holds, where two processes of one balancer are told of it apart.

During a hot restart both processes hear discovery, and operators may call either. `supersedes` decides
wherever two versions of one fact meet: the later one holds, in whatever order they come. Pure: no clock and
no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any


def supersedes(offered: Any, held: Any) -> bool:
    """Does a fact of the version `offered` replace the one held? Equal versions are the same fact."""
    return offered >= held


@dataclass(frozen=True)
class CordonOrder:
    """What operators last ordered of one server by hand."""

    name: str
    cordon: bool  # taken out, or put back
    ordered_at: float  # seconds of the machine's monotonic clock, which both processes share

    @property
    def version(self) -> tuple[float, bool]:
        """Of two orders of one moment the one that takes the server out is the later."""
        return self.ordered_at, self.cordon


@dataclass
class ListVersions:
    """How recent what is held of each server is, in the versions of one discovery address."""

    watched: int = 0  # up to which our own watch has told everything
    sibling_complete: int = 0  # of the last whole list that the sibling process was told
    newer: dict[int, int] = field(default_factory=dict)  # by server mark, where the sibling was told more

    @property
    def complete(self) -> int:
        """Up to which every server's facts are held."""
        return max(self.watched, self.sibling_complete)

    def version_of(self, mark: int) -> int:
        return max(self.complete, self.newer.get(mark, 0))

    def accepts(self, mark: int, version: int) -> bool:
        """Does news of this version replace what is held of the server?"""
        return supersedes(version, self.version_of(mark))

    def on_watch(self, version: int) -> None:
        """Our own watch has told everything up to this version."""
        self.watched = version
        self._forget_covered()

    def on_sibling(self, version: int, whole: bool, marks: Iterable[int]) -> None:
        """The sibling was told a whole list of this version, or the entries of these servers."""
        if whole:
            self.sibling_complete = max(self.sibling_complete, version)
        else:
            self.newer |= {mark: version for mark in marks if self.accepts(mark, version)}
        self._forget_covered()

    def merge(self, other: ListVersions) -> None:
        """All that either of the two holds is held from now on."""
        self.sibling_complete = max(self.sibling_complete, other.complete)
        for mark, version in other.newer.items():
            self.newer[mark] = max(version, self.newer.get(mark, 0))
        self._forget_covered()

    def _forget_covered(self) -> None:
        self.newer = {mark: version for mark, version in self.newer.items() if version > self.complete}
