"""The loop of turns of one process: its clock, its queues and its timers.

Callbacks of the sockets only queue. Each turn fixes `now` and then runs what is queued: changes of the list
first, then the actions that the decisions asked for, then all other events, each queue in its order. What
does not fit in a turn's time slice waits for the next, so that the sockets are polled in between.
"""

from __future__ import annotations

import asyncio
import math
import time
from collections import deque
from collections.abc import Callable
from typing import Any

from bellrack.net import log

TIME_SLICE = 0.02  # seconds after which a turn stops: the sockets are polled well within 0.1

Queue = deque[tuple[Callable, tuple]]


class TurnLoop:
    """Times are seconds of Unix time, by a clock that no step of the system's clock moves."""

    def __init__(self, loop: asyncio.AbstractEventLoop, counters: log.Counters):
        self.loop, self.counters = loop, counters
        # Anchored once: starts of servers are in Unix time, and a step of that clock must not move timers.
        self.anchor = time.time() - time.monotonic()
        self.list_changes: Queue = deque()
        self.actions: Queue = deque()  # asked for by the decisions
        self.events: Queue = deque()
        self.turning, self.longest_turn = False, 0.0  # seconds
        self.stopped = False
        self.now = self.clock()  # fixed for a turn

    def clock(self) -> float:
        return time.monotonic() + self.anchor

    def queue(self, what: Callable, *values: Any, first: bool = False) -> None:
        """For the next turn; this is all that callbacks do."""
        if self.stopped:
            return
        (self.list_changes if first else self.events).append((what, values))
        if not self.turning:
            self.turning = True
            self.loop.call_soon(self.turn)

    def act(self, what: Callable, *values: Any) -> None:
        """For the end of this turn, once the decisions have had all that is queued."""
        self.actions.append((what, values))

    def at(self, when: float, what: Callable, *values: Any) -> asyncio.TimerHandle:
        return self.loop.call_at(when - self.anchor, self.queue, what, *values)

    def after(self, wait: float, what: Callable, *values: Any) -> asyncio.TimerHandle:
        return self.loop.call_later(wait, self.queue, what, *values)

    def stop(self) -> None:
        """Run nothing more: the event loop goes on for a while when it is taken down."""
        self.stopped = True
        for queue in (self.list_changes, self.actions, self.events):
            queue.clear()

    def turn(self) -> None:
        self.now = self.clock()
        self.run_queue(self.list_changes, len(self.list_changes))
        # Left by the turn before: in order, so nothing is decided between what came first and what is done.
        self.run_queue(self.actions)
        if not self.actions:
            self.run_queue(self.events, len(self.events))  # what comes meanwhile waits for the next
            self.run_queue(self.actions)
        self.longest_turn = max(self.longest_turn, self.clock() - self.now)
        self.turning = bool(self.list_changes or self.events or self.actions)
        if self.turning:
            self.loop.call_soon(self.turn)

    def run_queue(self, queue: Queue, most: float = math.inf) -> None:
        """One of them at least, and more until the time slice is over."""
        while queue and most > 0:
            self.guarded(*queue.popleft())
            most -= 1
            if self.clock() - self.now >= TIME_SLICE:
                break

    def guarded(self, what: Callable, values: tuple) -> None:
        """Guards against a fault with one connection that would end the program, and all others with it."""
        try:
            what(*values)
        except Exception:
            self.counters["faults"] += 1
            log.exception("fault", doing=getattr(what, "__qualname__", what))
