"""The age of the current list of servers: since when it may lack a change that counts as told.

This module opens no connection and reads no clock: times are seconds, passed in.

A balancer that has no answer in time then, for whatever reason, has a doubtful list (`ListAge.is_doubtful`):
discovery was reached since the list was last confirmed, and that was a window ago (TOLD_AFTER_SECONDS and the
grace, less MARGIN_SECONDS). A call fails either because it waited too long or because discovery is down (see
the protocol page); one that fails within PROMPT_FAILURE_SECONDS found discovery down. While the list is
doubtful, only servers that accepted a connection within the last window get new ones. A draining server
rejects new connections, so a server that accepted one was not draining yet, and a drain since then counts as
told TOLD_AFTER_SECONDS later at the earliest.

This does not hold after a watch that fell silent: all changes that it missed count as told TOLD_AFTER_SECONDS
after its last line, so connections accepted before then prove nothing (`ListAge.on_watch_silent`). While
discovery cannot be reached at all, nothing counts as told and the list stays valid.
"""

from __future__ import annotations

import math

from bellrack import discovery_retry


class ListAge:
    """The age of the current list: since when it may lack a change that counts as told."""

    def __init__(self, now: float):
        self.confirmed_at, self.reached = now, False  # reached: by a call since then
        self.proofs_valid_from = -math.inf  # connections that servers accepted before prove nothing

    def confirm(self, now: float) -> None:
        """Discovery sent the list, or all changes of it, as of `now`."""
        self.confirmed_at, self.reached, self.proofs_valid_from = now, False, -math.inf

    def on_watch_silent(self) -> None:
        """A watch fell silent after its last line. All changes that it misses count as told
        TOLD_AFTER_SECONDS after that line, even one just before then: a server that accepted a connection
        meanwhile may have drained since."""
        self.proofs_valid_from = self.confirmed_at + discovery_retry.TOLD_AFTER_SECONDS

    def on_reached(self) -> None:
        """Discovery queued a call or began to answer it: it counts as reached from now on."""
        self.reached = True

    def on_unreachable(self, started: float) -> None:
        """A call that began at `started` could not reach discovery, or found it down."""
        if not self.reached:
            self.confirmed_at = max(self.confirmed_at, started)

    def is_doubtful(self, now: float, window: float) -> bool:
        """Returns whether the list was not confirmed for `window` seconds and discovery was reached since."""
        return self.reached and now - self.confirmed_at >= window
