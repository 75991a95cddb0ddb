"""Decides which of two versions of a fact is kept, where the two processes of a hot restart both receive it.

During a hot restart both processes receive lists of discovery, and operators may send orders to either. The
later version is kept, in whatever order the two arrive. Pure functions and data: no clock and no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any


def supersedes(offered: Any, held: Any) -> bool:
    """Return whether a fact of version `offered` replaces one of version `held`.

    It does if the versions are equal: then it is the same fact."""
    return offered >= held


class OrderSource(Enum):
    """Who told this process of an operator's order. The values stand in the log."""

    OPERATOR = "operator"  # given at our own admin address
    SIBLING = "sibling"  # sent by the other process of a hot restart
    PREDECESSOR = "predecessor"  # held by the serving process when we asked it for its state
    WAITING = "waiting"  # sent by a process that waits for its turn in a hot restart


@dataclass(frozen=True)
class CordonOrder:
    """An operator's last order for one server."""

    name: str
    cordon: bool  # detach it; false: attach it again
    ordered_at: float  # seconds on the machine's monotonic clock, which both processes share

    @property
    def version(self) -> tuple[float, bool]:
        """The sort key. Of two orders given at the same time, the one that detaches counts as later."""
        return self.ordered_at, self.cordon

    def to_row(self) -> list[Any]:
        """Return the order in its form within a message."""
        return [self.name, self.cordon, self.ordered_at]

    @classmethod
    def from_row(cls, row: Any) -> CordonOrder:
        """Parse an order of a message. Raises ValueError or TypeError."""
        name, cordon, ordered_at = row
        return cls(str(name), bool(cordon), float(ordered_at))


@dataclass
class ListVersions:
    """The version of each server's entry that this process holds, as numbered by one discovery address."""

    watched: int = 0  # our own watch has delivered everything up to this version
    sibling_complete: int = 0  # of the last whole list that the sibling received
    newer: dict[int, int] = field(default_factory=dict)  # by id hash: newer entries of the sibling

    @property
    def complete(self) -> int:
        """The version up to which the entries of all servers are held."""
        return max(self.watched, self.sibling_complete)

    def version_of(self, id_hash: int) -> int:
        """Return the version of a server's entry."""
        return max(self.complete, self.newer.get(id_hash, 0))

    def accepts(self, id_hash: int, version: int) -> bool:
        """Return whether an entry of this version replaces the one held of the server."""
        return supersedes(version, self.version_of(id_hash))

    def on_watch(self, version: int) -> None:
        """Record that our own watch has delivered everything up to this version."""
        self.watched = version
        self._drop_covered()

    def on_sibling(self, version: int, whole: bool, id_hashes: Iterable[int]) -> None:
        """Record that the sibling received a whole list of this version, or entries of these servers."""
        if whole:
            self.sibling_complete = max(self.sibling_complete, version)
        else:
            self.newer |= {id_hash: version for id_hash in id_hashes if self.accepts(id_hash, version)}
        self._drop_covered()

    def merge(self, other: ListVersions) -> None:
        """Record that this process now also holds what `other` holds."""
        self.sibling_complete = max(self.sibling_complete, other.complete)
        for id_hash, version in other.newer.items():
            self.newer[id_hash] = max(version, self.newer.get(id_hash, 0))
        self._drop_covered()

    def _drop_covered(self) -> None:
        """Drop the entries that `complete` covers."""
        self.newer = {id_hash: version for id_hash, version in self.newer.items() if version > self.complete}
