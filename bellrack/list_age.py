"""The age of the current list of servers: since when it may lack a change that counts as told.

This module opens no connection and reads no clock: times are seconds, passed in.

A list is doubtful while changes that it may lack count as told. There are two ways to that:

    - Discovery was reached since the list was last confirmed, and sent no list in time: `Windows.unanswered`
      seconds after the list was confirmed, or after the start of the last call that could not reach
      discovery before then. A change counts as told TOLD_AFTER_SECONDS after discovery had it and could be
      reached. A call fails either because it waited too long or because discovery is down (see the protocol
      page); one that fails within PROMPT_FAILURE_SECONDS found discovery down.
    - A watch fell silent: `Windows.silent` seconds after its last line. What it missed until it was closed
      counts as told TOLD_AFTER_SECONDS after it fell silent, whatever becomes of later calls.

Without either the list stays valid, however old it is: while discovery cannot be reached, no further change
counts as told.

While the list is doubtful, only servers that have proved themselves get new connections. A draining server
rejects new connections, so one that accepted a connection was not draining when that was sent. After a watch
that fell silent, a connection proves that if it was sent after the watch was closed: the watch missed nothing
later. Such a proof does not expire, as nothing later counts as told. Once discovery was reached it does: a
drain after the proof counts as told TOLD_AFTER_SECONDS later at the earliest.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

# Of the watches that fell silent since the list was confirmed the last are kept. Each was silent for seconds,
# so when one is dropped a later one is due, whose end asks for newer proofs.
MAX_SILENT_WATCHES = 8


@dataclass(frozen=True)
class Windows:
    """Seconds until changes that the list may lack count as told and the drain grace is over."""

    unanswered: float  # after discovery could be reached
    silent: float  # after the last line of a watch


@dataclass(frozen=True)
class SilentWatch:
    """A watch that was closed after it had fallen silent."""

    last_line_at: float
    closed_at: float


@dataclass
class ListAge:
    """Since when the current list may lack changes that count as told."""

    confirmed_at: float  # the list is at least as recent as discovery's was then
    # When the last call began that could not reach discovery; none has reached it since the confirmation.
    unreachable_at: float = -math.inf
    reached_at: float = -math.inf  # when a call was last known to have reached it since the confirmation
    silent_watches: list[SilentWatch] = field(default_factory=list)  # not yet made up for, the oldest first

    @property
    def reached(self) -> bool:
        """Whether a call has reached discovery since the list was confirmed."""
        return self.reached_at > -math.inf

    @property
    def complete_until(self) -> float:
        """No later call could reach discovery before this time, apart from watches that fell silent."""
        return max(self.confirmed_at, self.unreachable_at)

    def confirm(self, since: float) -> None:
        """The list is at least as recent as discovery's at the time `since`."""
        self.confirmed_at = max(self.confirmed_at, since)
        self.unreachable_at = self.reached_at = -math.inf
        self.silent_watches = [watch for watch in self.silent_watches if watch.closed_at > since]

    def on_watch_silent(self, last_line_at: float, closed_at: float) -> None:
        """A watch that had sent its last line at `last_line_at` was closed at `closed_at`."""
        self.silent_watches.append(SilentWatch(last_line_at, closed_at))
        del self.silent_watches[:-MAX_SILENT_WATCHES]

    def on_reached(self, now: float) -> None:
        """Discovery queued a call or began to answer it: it counts as reached from now on."""
        self.reached_at = now

    def on_unreachable(self, started: float) -> None:
        """A call that began at `started` could not reach discovery, or found it down."""
        if not self.reached:
            self.unreachable_at = max(self.unreachable_at, started)

    def merge(self, other: ListAge) -> None:
        """Takes over what another process of this balancer knows, which holds the same list.

        The result is not younger than the age that one process would have that had seen all of it."""
        self.confirmed_at = max(self.confirmed_at, other.confirmed_at)
        reached = [age for age in (self, other) if age.reached_at >= self.confirmed_at]
        self.unreachable_at = (
            min(age.unreachable_at for age in reached)
            if reached
            else max(self.unreachable_at, other.unreachable_at)
        )
        self.reached_at = max((age.reached_at for age in reached), default=-math.inf)
        watches = {*self.silent_watches, *other.silent_watches}
        missed = [watch for watch in watches if watch.closed_at >= self.confirmed_at]
        self.silent_watches = sorted(missed, key=lambda watch: watch.closed_at)[-MAX_SILENT_WATCHES:]

    def to_message(self, anchor: float) -> dict[str, Any]:
        """Returns the age as a JSON object, for `from_message`; `anchor` is subtracted from all times."""
        return {
            "confirmed": self.confirmed_at - anchor,
            "unreachable": self.unreachable_at - anchor if self.unreachable_at > -math.inf else None,
            "reached": self.reached_at - anchor if self.reached else None,
            "silent": [
                [watch.last_line_at - anchor, watch.closed_at - anchor] for watch in self.silent_watches
            ],
        }

    @classmethod
    def from_message(cls, message: Mapping[str, Any], anchor: float) -> ListAge:
        """Reads a JSON object of `to_message`; `anchor` is added to all times.

        Raises KeyError, TypeError or ValueError if it is malformed."""

        def optional(time: float | None) -> float:
            return -math.inf if time is None else float(time) + anchor

        return cls(
            confirmed_at=float(message["confirmed"]) + anchor,
            unreachable_at=optional(message["unreachable"]),
            reached_at=optional(message["reached"]),
            silent_watches=[
                SilentWatch(float(last_line_at) + anchor, float(closed_at) + anchor)
                for last_line_at, closed_at in message["silent"]
            ][-MAX_SILENT_WATCHES:],
        )

    def proofs_needed_from(self, now: float, windows: Windows) -> float:
        """Returns the time since which a server must have accepted a connection to get new ones.

        It is -inf if the list is not doubtful."""
        needed = [watch.closed_at for watch in self.silent_watches if now >= self._due(watch, windows)]
        if self.reached and now >= self.complete_until + windows.unanswered:
            needed.append(now - windows.unanswered)
        return max(needed, default=-math.inf)

    def attempts_needed_from(self, now: float, windows: Windows) -> float:
        """Returns the time since which each server should have been tried, as the list ages.

        Otherwise only the few servers that proved themselves by chance would stay usable. It is -inf if the
        list is recent."""
        needed = [watch.closed_at for watch in self.silent_watches]
        if self.reached and now >= self.complete_until + windows.unanswered / 2:
            needed.append(now - windows.unanswered / 2)
        return max(needed, default=-math.inf)

    def next_silence_due(self, now: float, windows: Windows) -> float:
        """Returns when what a silent watch missed next counts as told; infinite if there is none."""
        due = (self._due(watch, windows) for watch in self.silent_watches)
        return min((at for at in due if at > now), default=math.inf)

    @staticmethod
    def _due(watch: SilentWatch, windows: Windows) -> float:
        """When the list becomes doubtful because of a watch that fell silent."""
        return watch.last_line_at + windows.silent
