"""The work queues of one process, which are run in turns, with its clock and timers.

Callbacks of sockets and timers only queue calls. Each turn sets `now` and runs what is queued: list changes
first, then actions that the decisions have ordered, then all other events, each queue in its order. What does
not fit into the time slice of a turn waits for the next one, so that the sockets are polled in between.
"""

from __future__ import annotations

import asyncio
import math
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from bellrack.net import log

TIME_SLICE_SECONDS = 0.02  # a turn stops after this time, so that the sockets are polled well within 0.1 s

Queue = deque[tuple[Callable, tuple]]


class TurnLoop:
    """Queues calls and runs them in turns on the event loop.

    Times are seconds of Unix time, of a clock that a step of the system's clock does not move."""

    def __init__(self, loop: asyncio.AbstractEventLoop, counters: log.Counters):
        self.loop, self.counters = loop, counters
        # Set once: starts of servers are in Unix time, but a step of that clock must not move timers.
        self.anchor = time.time() - time.monotonic()
        self.list_changes: Queue = deque()
        self.actions: Queue = deque()  # ordered by the decisions
        self.events: Queue = deque()
        self.turn_scheduled, self.longest_turn = False, 0.0  # seconds
        self.stopped = False
        self.now = self.clock()  # constant within a turn

    def clock(self) -> float:
        """The present time; `now` is the time at which the turn began."""
        return time.monotonic() + self.anchor

    def queue(self, callback: Callable, *args: Any, first: bool = False) -> None:
        """Queues a call for the next turn, `first` before all others. asyncio callbacks do nothing else."""
        if self.stopped:
            return
        (self.list_changes if first else self.events).append((callback, args))
        if not self.turn_scheduled:
            self.turn_scheduled = True
            self.loop.call_soon(self.turn)

    def queue_action(self, callback: Callable, *args: Any) -> None:
        """Queues a call for the end of this turn, once the decisions have had all events of the turn."""
        self.actions.append((callback, args))

    def at(self, when: float, callback: Callable, *args: Any) -> asyncio.TimerHandle:
        """Queues a call at the time `when`."""
        return self.loop.call_at(when - self.anchor, self.queue, callback, *args)

    def after(self, wait: float, callback: Callable, *args: Any) -> asyncio.TimerHandle:
        """Queues a call in `wait` seconds."""
        return self.loop.call_later(wait, self.queue, callback, *args)

    def stop(self) -> None:
        """Drops all queued calls and runs no more: the event loop runs on for a while during its shutdown."""
        self.stopped = True
        for queue in (self.list_changes, self.actions, self.events):
            queue.clear()

    def turn(self) -> None:
        """Runs what is queued, for one time slice, and schedules the next turn if anything is left."""
        self.now = self.clock()
        self.run_queue(self.list_changes, len(self.list_changes))
        # Actions that the previous turn left run before new events: no event is handled between an earlier
        # decision and its action.
        self.run_queue(self.actions)
        if not self.actions:
            self.run_queue(self.events, len(self.events))  # events queued meanwhile wait for the next turn
            self.run_queue(self.actions)
        self.longest_turn = max(self.longest_turn, self.clock() - self.now)
        self.turn_scheduled = bool(self.list_changes or self.events or self.actions)
        if self.turn_scheduled:
            self.loop.call_soon(self.turn)

    def run_queue(self, queue: Queue, max_calls: float = math.inf) -> None:
        """Runs at least one queued call, and more until the time slice is over."""
        while queue and max_calls > 0:
            self.run_guarded(*queue.popleft())
            max_calls -= 1
            if self.clock() - self.now >= TIME_SLICE_SECONDS:
                break

    def run_guarded(self, callback: Callable, args: tuple) -> None:
        """Runs a call and logs its exception: an error with one connection must not end the process."""
        try:
            callback(*args)
        except Exception:
            self.counters["faults"] += 1
            log.exception("fault", doing=getattr(callback, "__qualname__", callback))
