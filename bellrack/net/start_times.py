"""When servers started, on our own clock, derived from start stamps of clocks that may be wrong.

The list stamps the start of a server with the wall clock of some machine. Any wall clock, ours included, may
be wrong by seconds or by an hour, and may be stepped. So a stamp only identifies a start: a different stamp
means another start. The time of that start is bounded by what our monotonic clock has seen. An error in one
direction treats a server as colder than it is, which costs some load; an error in the other direction would
overload a cold server. So the latest possible time is used: that at which we learned of the start. Pure
functions: no clock and no I/O. Times are seconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

LONG_AGO = 0.0  # stamp and time of a server that started long ago (PROTOCOL.md, "Discovery")


@dataclass(frozen=True)
class Start:
    """A server's last start: the stamp in the list, and the time of the start on our clock."""

    stamp: float
    time: float


def latest_start(stamp: float, now: float, may_be_long_ago: bool, newest_stamp: float) -> Start:
    """Return the latest time at which the server can have started, given a stamp not seen before.

    `now`: the time on our clock. `may_be_long_ago`: this is the first list that we know of, so the server may
    have started long before it. It is older than the newest server of the list (`newest_stamp`) by the
    difference of their stamps; the age of that one is unknown, so it counts as started now. Stamps of clocks
    that differ from each other, and a wrong stamp that happens to agree with our clock, are not detected."""
    if stamp == LONG_AGO:
        return Start(stamp, LONG_AGO)
    if not may_be_long_ago:
        return Start(stamp, now)
    return Start(stamp, max(min(stamp, now), now - max(0.0, newest_stamp - stamp)))


def newest(stamps: Iterable[float]) -> float:
    """Return the newest of these stamps, LONG_AGO if there are none."""
    return max(stamps, default=LONG_AGO)
