"""What outsiders may make grow or last, and how room is made again.

Owns the count of descriptors, the connections to which nothing is owed, oldest first, and the ids that
are open. It never looks into lines, and never ends a connection that has a call.
"""

from __future__ import annotations

import os
import resource
from collections.abc import Callable
from typing import Any

LISTEN_BACKLOG = (
    1024  # connections that the kernel takes in ahead of us: a rush must not wait for its retries
)
ACCEPTS_PER_TURN = 16  # of them accepted at one go
FINAL_ACCEPT_RETRIES = 10  # at who waits in the door as it closes for good; each 0.05 s
ACCEPT_RETRY_SECONDS = 0.02  # seconds until accepting is tried again, when there was no descriptor to spare
RESERVED_DESCRIPTORS = (
    48  # descriptors kept free, or 3/8 of few: half for clients that are told so, half for control
)
FIRST_LINE_SECONDS = (
    2.75  # seconds from connecting for a whole first line: some write for 2; an end is owed within 3
)
MAX_PINGS = 8  # on one connection
SILENT_GRACE_SECONDS = 0.1  # seconds for which a connection without a word stays even if room is needed
RESUMED_GRACE_SECONDS = (
    5.0  # seconds of the same while resumed connections are expected: some of them write late
)
MAX_WAIT_SECONDS = 60.0  # seconds that a client may say it waits: its call is kept as long
MAX_RECENT_IDS = 1024  # ids remembered beside the open ones
DESCRIPTORS_PER_ATTEMPT = (
    2  # descriptors free for an attempt: it counts twice for the instant at which it comes up
)
MAX_PROBES = 32  # that are out at once: more are not sent, and what they were for goes on without
PROBE_RESERVE_DIVISOR = (
    12  # of the reserve, one in so many is for probes when there is nothing but the reserve
)
CONTROL_DESCRIPTORS = 6  # descriptors beside: two watches and a fetch of the list, three of a hand-off
DESCRIPTORS_AT_START = 8  # descriptors of a process that starts: the standard ones and those of the loop
MAX_ADMIN_CONNECTIONS = 32  # operators' calls that are under way at once
ADMIN_REQUEST_SECONDS = 6.0  # seconds from connecting in which an operator's call must be whole


def open_descriptors() -> int:
    """Of this process; as many as it has at a start where the machine has none to read them by."""
    try:
        return len(os.listdir("/proc/self/fd")) - 1  # but the one that it is read by
    except OSError:
        return DESCRIPTORS_AT_START


class Limits:
    def __init__(self, sockets: int):
        self.set_limit(sockets)
        self.probes_in_flight = 0  # that are out
        self.sibling_descriptors = 0  # descriptors of our other process: the two are counted as one
        self.descriptors = open_descriptors()
        self.evictable: dict[Any, float] = {}  # links without a call or answered, by when they became so
        self.partial_lines: dict[
            Any, float
        ] = {}  # links with a part of a first line, by when they last wrote
        self.open_ids: dict[str, Any] = {}  # of calls whose connections are open
        self.recent_ids: dict[str, None] = {}  # of calls that have ended, oldest first
        self.expects_resumed: Callable[[], bool] = bool  # may those without a word be resumed connections?

    def set_limit(self, sockets: int) -> None:
        hard = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self.limit = min(sockets, hard if hard > 0 else sockets)
        self.reserve = min(RESERVED_DESCRIPTORS, 3 * self.limit // 8)

    def count_descriptors(self, by: int) -> None:
        self.descriptors += by

    def may_probe(self) -> bool:
        """May one more probe go out? A few have their part of the reserve."""
        return (
            self.probes_in_flight
            < (self.reserve // PROBE_RESERVE_DIVISOR if self.reserve_reached() else MAX_PROBES)
            and not self.exhausted()
        )

    def knows_id(self, mark: str) -> bool:
        """An id is new with every connection. Guards against another client's: servers refuse it with
        what looks like a failure of theirs."""
        return mark in self.open_ids or mark in self.recent_ids

    def on_call_ended(self, mark: str) -> None:
        del self.open_ids[mark]
        self.recent_ids[mark] = None
        if len(self.recent_ids) > MAX_RECENT_IDS:
            del self.recent_ids[next(iter(self.recent_ids))]

    def reserve_reached(self, part: int = 1) -> bool:
        """No descriptors but the reserve, or that part of it."""
        return self.descriptors + self.sibling_descriptors + self.reserve // part >= self.limit

    def lacks(self, more: int) -> bool:
        """Not even that many more by the part of the reserve that clients may have."""
        return self.descriptors + self.sibling_descriptors + more + self.reserve // 2 > self.limit

    def exhausted(self) -> bool:
        """No descriptor at all, for whatever it is."""
        return self.descriptors >= self.limit

    def on_partial_line(self, link: Any, now: float) -> None:
        """A part of its first line came."""
        self.evictable.pop(link, None)
        self.partial_lines.pop(link, None)
        self.partial_lines[link] = now

    def untrack(self, link: Any) -> None:
        """It has a call, or is gone."""
        self.evictable.pop(link, None)
        self.partial_lines.pop(link, None)

    def make_room(self, now: float, part: int = 1) -> bool:
        """Is there any? Guards against calls told BUSY for the sake of connections that say nothing, and slow
        writers let go before those that are silent or write no more."""
        spared_for = RESUMED_GRACE_SECONDS if self.expects_resumed() else SILENT_GRACE_SECONDS
        for waiting in (self.evictable, self.partial_lines):
            while self.reserve_reached(part) and waiting:
                link, since = next(iter(waiting.items()))
                if now - since < spared_for:
                    break
                link.evict()
        return not self.reserve_reached(part)

    @property
    def max_admin_connections(self) -> int:
        """Operators' calls that may be under way: what is left of the half of the reserve for control."""
        return max(
            1,
            min(
                MAX_ADMIN_CONNECTIONS,
                self.reserve // 2 - self.reserve // PROBE_RESERVE_DIVISOR - CONTROL_DESCRIPTORS,
            ),
        )
