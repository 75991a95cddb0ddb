"""Marks the servers while the list may be out of date, and logs what determines its age.

What counts is decided in `bellrack/list_age.py`; `discovery.py` reports what its requests came to.
"""

from __future__ import annotations

import math
from typing import Any

from bellrack.list_age import ListAge
from bellrack.net import log


class ListDoubt:
    """Whether the list of one process is doubtful. Times are seconds of the node's clock."""

    def __init__(self, node: Any):
        self.node, self.age = node, ListAge(node.started_at)
        # Whether the list may be out of date, and whether half the time until then has passed.
        self.doubtful = self.aging = False
        self.logged_event = ""  # the last one that was logged

    def on_confirmed(self, since: float) -> None:
        """The list in use is at least as recent as discovery's at the time `since`."""
        self.age.confirm(since)
        self.log_age("confirmed")
        self.update()

    def on_reached(self) -> None:
        """Discovery queued a call or began to answer it."""
        self.age.on_reached()
        self.log_age("reached")

    def on_unreachable(self, started: float) -> None:
        """A call that began at `started` could not reach discovery, or found it down."""
        self.age.on_unreachable(started)
        self.log_age("unreachable")

    def on_watch_silent(self) -> None:
        """The watch fell silent after its last line."""
        self.age.on_watch_silent()
        self.log_age("watch-silent")

    def log_age(self, event: str) -> None:
        """Logs what determines the age of the list, once for each run of equal events."""
        if event != self.logged_event:
            self.logged_event = event
            log.event(
                "list_age",
                because=event,
                confirmed_before=self.node.now - self.age.confirmed_at,
                reached=self.age.reached,
            )

    def update(self) -> None:
        """Recomputes whether the list may be out of date, and marks its servers accordingly."""
        window = self.node.balancer.discovery_retry.window()
        doubtful = self.age.is_doubtful(self.node.now, window)
        if doubtful != self.doubtful:
            self.doubtful = doubtful
            self.node.counters["doubtful_lists"] += doubtful
            log.event("list", doubtful=doubtful)
            if not doubtful:
                self.node.server_list.mark_doubtful(math.inf)
        if doubtful:
            self.node.server_list.mark_doubtful(window)
        aging = self.age.is_doubtful(self.node.now, window / 2)
        if aging or self.aging:
            self.node.server_list.mark_untried(window / 2 if aging else math.inf)
        self.aging = aging
