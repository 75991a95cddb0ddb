"""The clock and the event queue of a run on virtual time, with a fully defined order of events.

Times are whole microseconds. Events at the same microsecond run by rank, then in the order in which they were
scheduled.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable

START = 1000.0  # seconds on the clock when a run begins; in server lists, 0 means "long ago"

# Ranks of events at the same microsecond. The world changes before anybody learns of it; list updates are
# handled first, as on sockets; an answer that arrives exactly at the guard time is in time; samples see the
# state after all other events.
TROUBLE, LIST_UPDATE, RESULT, ARRIVAL, TIMER, GUARD_TIME, SAMPLE = range(7)


class EventQueue:
    """Callbacks by time and rank. `now` is the present time in seconds."""

    def __init__(self) -> None:
        self.micros = round(START * 1e6)
        self.now = START
        self.heap: list[tuple] = []
        self.count = 0  # of all events scheduled: the order among events of equal time and rank

    def schedule_at(self, when: float, rank: int, callback: Callable, *values: object) -> None:
        """Schedules `callback(*values)` for a time in seconds, or for now if that time has passed."""
        self.count += 1
        micros = round(when * 1e6)
        heapq.heappush(
            self.heap, (micros if micros > self.micros else self.micros, rank, self.count, callback, values)
        )

    def schedule_after(self, wait: float, rank: int, callback: Callable, *values: object) -> None:
        """Schedules `callback(*values)` for `wait` seconds from now."""
        self.schedule_at(self.now + wait, rank, callback, *values)

    def run(self, until: float) -> None:
        """Runs all events up to and including that time (seconds), and sets the clock to it."""
        last, heap, pop = round(until * 1e6), self.heap, heapq.heappop
        while heap and heap[0][0] <= last:
            micros, _, _, callback, values = pop(heap)
            if micros != self.micros:
                self.micros, self.now = micros, micros / 1e6
            callback(*values)
        self.micros, self.now = last, last / 1e6
