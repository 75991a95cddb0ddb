"""Virtual time: what is due, in an order that is defined to the last event.

Owns the clock of a run and the heap of what is to come. Time is kept in whole microseconds; what falls on the
same one goes by rank, then in the order in which it was put down. It never looks at what it calls.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable

START = 1000.0  # seconds on the clock when a run begins; 0 is "long ago" to lists of servers

# Of events at the same microsecond: the world changes before anybody hears of it, list changes go first in a
# turn as they do on sockets, an answer that comes at the guard time has come in time, and looks come last.
TROUBLE, LIST_UPDATE, RESULT, ARRIVAL, TIMER, GUARD_TIME, SAMPLE = range(7)


class EventQueue:
    def __init__(self) -> None:
        self.micros = round(START * 1e6)
        self.now = START
        self.heap: list[tuple] = []
        self.count = 0  # of all put down: the order among equals

    def schedule_at(self, when: float, rank: int, what: Callable, *values: object) -> None:
        """Due at that time in seconds, or now if that has passed."""
        self.count += 1
        micros = round(when * 1e6)
        heapq.heappush(
            self.heap, (micros if micros > self.micros else self.micros, rank, self.count, what, values)
        )

    def schedule_after(self, wait: float, rank: int, what: Callable, *values: object) -> None:
        self.schedule_at(self.now + wait, rank, what, *values)

    def run(self, until: float) -> None:
        """Play all that is due up to and with that time."""
        last, heap, pop = round(until * 1e6), self.heap, heapq.heappop
        while heap and heap[0][0] <= last:
            micros, _, _, what, values = pop(heap)
            if micros != self.micros:
                self.micros, self.now = micros, micros / 1e6
            what(*values)
        self.micros, self.now = last, last / 1e6
