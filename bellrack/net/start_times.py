"""When servers started, on our own clock, from stamps of clocks that may be off.

A list stamps a server's start with the wall clock of some machine. Any wall clock, ours too, may be off by
seconds or an hour, and may be stepped. So a stamp is taken as a name of a start: another stamp is another
start. When that start was is bounded by what the monotonic clock saw. An error on the one side takes a server
for colder than it is and costs some load; on the other side it would push over a cold one, so the later of
all possible times is taken. Pure: no clock and no I/O; times are seconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

LONG_AGO = 0.0  # the stamp of a server that started long ago (PROTOCOL.md, "Discovery")


@dataclass(frozen=True)
class Start:
    """A server's last start: its stamp as listed, and when it was at the earliest, on our clock."""

    stamp: float
    time: float


def bounded_start(stamp: float, now: float, confirmed_at: float | None, newest_stamp: float) -> Start:
    """The start that this stamp, new to us, tells of.

    `confirmed_at`: when the list was last known to be what discovery has, before it told of this; None before
    the first list. A start that was not listed then has come since, as far as anybody was told.
    `newest_stamp`: the newest of the whole list. Where nothing was confirmed before, a server is older than
    the newest one by the difference of their stamps; how old that is nobody can tell."""
    if stamp == LONG_AGO:
        return Start(stamp, LONG_AGO)
    by_clocks = min(stamp, now)
    by_newest = now - max(0.0, newest_stamp - stamp)
    by_evidence = by_newest if confirmed_at is None else min(confirmed_at, now)
    return Start(stamp, max(by_clocks, by_evidence))


def newest(stamps: Iterable[float]) -> float:
    return max(stamps, default=LONG_AGO)
