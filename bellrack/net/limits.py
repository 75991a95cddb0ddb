"""What outsiders may make grow or last, and how room is made again.

Owns the count of descriptors, the connections to which nothing is owed, oldest first, and the ids that
are open. It never looks into lines, and never ends a connection that has a call.
"""

from __future__ import annotations

import os
import resource
from collections.abc import Callable
from typing import Any

BACKLOG = 1024  # connections that the kernel takes in ahead of us: a rush must not wait for its retries
ACCEPTS = 16  # of them accepted at one go
FAILED_LOOKS = 10  # at who waits in the door as it closes for good; each 0.05 s
PAUSE = 0.02  # seconds until accepting is tried again, when there was no descriptor to spare
RESERVE = 48  # descriptors kept free, or 3/8 of few: half for clients that are told so, half for control
FIRST_LINE = 2.75  # seconds from connecting for a whole first line: some write for 2; an end is owed within 3
PINGS = 8  # on one connection
YOUNG = 0.1  # seconds for which a connection without a word stays even if room is needed
SLOW_FIRST_LINE = 5.0  # seconds of the same while resumed connections are expected: some of them write late
LONGEST_WAIT = 60.0  # seconds that a client may say it waits: its call is kept as long
SEEN = 1024  # ids remembered beside the open ones
CONNECTING = 2  # descriptors free for an attempt: it counts twice for the instant at which it comes up
PROBES = 32  # that are out at once: more are not sent, and what they were for goes on without
PROBES_PART = 12  # of the reserve, one in so many is for probes when there is nothing but the reserve
CONTROL = 6  # descriptors beside: two watches and a fetch of the list, three of a hand-off
AT_START = 8  # descriptors of a process that starts: the standard ones and those of the loop
CALLERS = 32  # operators' calls that are under way at once
CALL = 6.0  # seconds from connecting in which an operator's call must be whole


def open_descriptors() -> int:
    """Of this process; as many as it has at a start where the machine has none to read them by."""
    try:
        return len(os.listdir("/proc/self/fd")) - 1  # but the one that it is read by
    except OSError:
        return AT_START


class Limits:
    def __init__(self, sockets: int):
        self.set_limit(sockets)
        self.probes = 0  # that are out
        self.sibling_descriptors = 0  # descriptors of our other process: the two are counted as one
        self.descriptors = open_descriptors()
        self.evictable: dict[Any, float] = {}  # links without a call or answered, by when they became so
        self.writing: dict[Any, float] = {}  # links with a part of a first line, by when they last wrote
        self.ids: dict[str, Any] = {}  # of calls whose connections are open
        self.seen: dict[str, None] = {}  # of calls that have ended, oldest first
        self.expects_resumed: Callable[[], bool] = bool  # may those without a word be resumed connections?

    def set_limit(self, sockets: int) -> None:
        hard = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self.limit = min(sockets, hard if hard > 0 else sockets)
        self.reserve = min(RESERVE, 3 * self.limit // 8)

    def count_descriptors(self, by: int) -> None:
        self.descriptors += by

    def probe(self) -> bool:
        """May one more probe go out? A few have their part of the reserve."""
        return (
            self.probes < (self.reserve // PROBES_PART if self.crowded() else PROBES) and not self.exhausted()
        )

    def known(self, mark: str) -> bool:
        """An id is new with every connection. Guards against another client's: servers refuse it with
        what looks like a failure of theirs."""
        return mark in self.ids or mark in self.seen

    def ended(self, mark: str) -> None:
        del self.ids[mark]
        self.seen[mark] = None
        if len(self.seen) > SEEN:
            del self.seen[next(iter(self.seen))]

    def crowded(self, part: int = 1) -> bool:
        """No descriptors but the reserve, or that part of it."""
        return self.descriptors + self.sibling_descriptors + self.reserve // part >= self.limit

    def full(self, more: int) -> bool:
        """Not even that many more by the part of the reserve that clients may have."""
        return self.descriptors + self.sibling_descriptors + more + self.reserve // 2 > self.limit

    def exhausted(self) -> bool:
        """No descriptor at all, for whatever it is."""
        return self.descriptors >= self.limit

    def on_partial_line(self, link: Any, now: float) -> None:
        """A part of its first line came."""
        self.evictable.pop(link, None)
        self.writing.pop(link, None)
        self.writing[link] = now

    def untrack(self, link: Any) -> None:
        """It has a call, or is gone."""
        self.evictable.pop(link, None)
        self.writing.pop(link, None)

    def make_room(self, now: float, part: int = 1) -> bool:
        """Is there any? Guards against calls told BUSY for the sake of connections that say nothing, and slow
        writers let go before those that are silent or write no more."""
        spared_for = SLOW_FIRST_LINE if self.expects_resumed() else YOUNG
        for waiting in (self.evictable, self.writing):
            while self.crowded(part) and waiting:
                link, since = next(iter(waiting.items()))
                if now - since < spared_for:
                    break
                link.spared()
        return not self.crowded(part)

    @property
    def max_admin_connections(self) -> int:
        """Operators' calls that may be under way: what is left of the half of the reserve for control."""
        return max(1, min(CALLERS, self.reserve // 2 - self.reserve // PROBES_PART - CONTROL))
