"""Decides which of two versions of a fact is kept, where the two processes of a hot restart both receive it.

During a hot restart both processes receive lists of discovery, and operators may send orders to either. The
later version is kept, in whatever order the two arrive. Pure functions and data: no clock and no I/O.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any


def supersedes(offered: Any, held: Any) -> bool:
    """Return whether a fact of version `offered` replaces one of version `held`.

    It does if the versions are equal: then it is the same fact."""
    return offered >= held


@dataclass(frozen=True, slots=True)
class EntryVersion:
    """How recent an entry of the server list is: a number, and the address of discovery that gave it.

    Numbers of one address are comparable, unless that discovery restarted its numbers. Across addresses the
    entry that was read later is the later one. Times are seconds of the machine's monotonic clock, which both
    processes share."""

    address: str = ""  # HOST:PORT; empty for the list in the configuration
    number: int = 0  # discovery's generation
    # When the whole list was requested with which the count of numbers began; -inf if unknown.
    requested_at: float = -math.inf
    read_at: float = -math.inf  # when it was read from discovery; -inf if it never was

    def __ge__(self, held: EntryVersion) -> bool:
        """Return whether this version is as late as `held`, or later."""
        if self.address != held.address:
            return self.read_at >= held.read_at
        if held.read_at > READ_AT_UNKNOWN and self.requested_at > held.read_at:
            return True  # a lower number then is one of a new count
        if self.read_at > READ_AT_UNKNOWN and held.requested_at > self.read_at:
            return False
        return self.number >= held.number

    def to_row(self) -> list[Any]:
        """Return the version in its form within a message."""
        times = (self.requested_at, self.read_at)
        return [self.address, self.number, *(None if time == -math.inf else time for time in times)]

    @classmethod
    def from_row(cls, row: Any) -> EntryVersion:
        """Parse a version of a message. Raises ValueError or TypeError."""
        address, number, *times = row
        requested_at, read_at = (-math.inf if time is None else float(time) for time in times)
        return cls(str(address), int(number), requested_at, read_at)


# Of an entry that an older release of this program read: that sends no times. Later than any that was never
# read.
READ_AT_UNKNOWN = 0.0


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
    """The version of each server's entry that this process holds."""

    # Our own watch has delivered everything up to this version. Before that, the version of the list in the
    # configuration, after which the watch is requested.
    watched: EntryVersion = EntryVersion()
    # Of the last whole list from elsewhere: the sibling, or a watch at the previous address.
    elsewhere: EntryVersion = EntryVersion()
    newer: dict[int, EntryVersion] = field(default_factory=dict)  # by id hash: newer entries from elsewhere

    @property
    def complete(self) -> EntryVersion:
        """The version up to which the entries of all servers are held."""
        return self.watched if supersedes(self.watched, self.elsewhere) else self.elsewhere

    def version_of(self, id_hash: int) -> EntryVersion:
        """Return the version of a server's entry."""
        return self.newer.get(id_hash, self.complete)

    def accepts(self, id_hash: int, version: EntryVersion) -> bool:
        """Return whether an entry of this version replaces the one held of the server."""
        held = (self.watched, self.elsewhere, self.newer.get(id_hash, self.complete))
        return all(supersedes(version, one) for one in held)

    def on_watch(self, version: EntryVersion) -> None:
        """Record that our own watch has delivered everything up to this version."""
        self.watched = version
        self._drop_covered()

    def on_address_changed(self) -> None:
        """Record that our own watch starts anew at another address. What is held keeps its version."""
        self.watched, self.elsewhere = EntryVersion(), self.complete

    def on_elsewhere(self, version: EntryVersion, whole: bool, id_hashes: Iterable[int]) -> None:
        """Record that a whole list of this version came from elsewhere, or entries of these servers."""
        if not whole:
            self.newer |= {id_hash: version for id_hash in id_hashes if self.accepts(id_hash, version)}
        elif supersedes(version, self.complete):
            self.elsewhere = version
        self._drop_covered()

    def merge(self, other: ListVersions) -> None:
        """Record that this process now also holds what `other` holds."""
        if supersedes(other.complete, self.elsewhere):
            self.elsewhere = other.complete
        for id_hash, version in other.newer.items():
            if supersedes(version, self.newer.get(id_hash, EntryVersion())):
                self.newer[id_hash] = version
        self._drop_covered()

    def _drop_covered(self) -> None:
        """Drop the entries that `complete` covers."""
        if self.newer:
            complete = self.complete
            self.newer = {
                id_hash: version
                for id_hash, version in self.newer.items()
                if not supersedes(complete, version)
            }
