"""Marks the servers while the list may be out of date, and logs what determines its age.

What counts is decided in `bellrack/list_age.py`; `discovery.py` reports what its requests came to.
"""

from __future__ import annotations

import math
from typing import Any

from bellrack.list_age import ListAge, Windows
from bellrack.net import lines, log


class ListDoubt:
    """Whether the list of one process is doubtful. Times are seconds of the node's clock."""

    def __init__(self, node: Any):
        self.node, self.age = node, ListAge(node.started_at)
        # Whether the list is doubtful, and whether servers should be tried before it is.
        self.doubtful = self.aging = False
        self.logged_event = ""  # the last one that was logged

    def on_confirmed(self, since: float) -> None:
        """The list in use is at least as recent as discovery's at the time `since`."""
        self.age.confirm(since)
        self.on_age_changed("confirmed")

    def on_reached(self) -> None:
        """Discovery queued a call or began to answer it."""
        self.age.on_reached(self.node.now)
        self.on_age_changed("reached")

    def on_unreachable(self, started: float) -> None:
        """A call that began at `started` could not reach discovery, or found it down."""
        self.age.on_unreachable(started)
        self.on_age_changed("unreachable")

    def on_watch_silent(self, last_line_at: float) -> None:
        """A watch is closed that fell silent after the time `last_line_at`."""
        self.age.on_watch_silent(last_line_at, self.node.now)
        self.on_age_changed("watch-silent")

    def on_age_changed(self, event: str) -> None:
        """Acts on a change of the age, which is logged as `event`."""
        self.log_age(event)
        if self.node.hot_restart.sibling:
            self.node.hot_restart.publish(list_age=self.to_message())
        self.update()

    # The two processes of a hot restart hold the same list, so they know its age together.

    def to_message(self, with_proofs: bool = False) -> dict[str, Any]:
        """Returns the age of the list for the sibling, in times of the monotonic clock.

        `with_proofs`: with the times at which servers accepted connections, which are many."""
        node = self.node
        message = self.age.to_message(node.anchor)
        message["discovery"] = lines.format_address(node.discovery.address)
        if with_proofs:
            message["proofs"] = {
                str(server.id_hash): server.last_accepted - node.anchor
                for server in node.servers.values()
                if server.last_accepted > -math.inf
            }
        return message

    def on_sibling_age(self, message: dict[str, Any]) -> None:
        """The sibling sent the age of its list: together with its news, ours is as old.

        Raises KeyError, TypeError or ValueError if the message is malformed."""
        node = self.node
        if message["discovery"] != lines.format_address(node.discovery.address):
            return
        theirs = ListAge.from_message(message, node.anchor)
        if not node.server_list.confirmed:
            self.age.confirmed_at = -math.inf  # the list is the sibling's: our own start says nothing of it
        self.age.merge(theirs)
        for id_hash, accepted_at in message.get("proofs", {}).items():
            if server := node.servers.get(int(id_hash)):
                server.last_accepted = max(server.last_accepted, float(accepted_at) + node.anchor)
        self.log_age("sibling")
        self.update()

    def log_age(self, event: str) -> None:
        """Logs what determines the age of the list, once for each run of equal events."""
        if event != self.logged_event:
            self.logged_event = event
            log.event(
                "list_age",
                because=event,
                confirmed_before=self.node.now - self.age.confirmed_at,
                reached=self.age.reached,
                silent_watches=len(self.age.silent_watches),
            )

    def seconds_to_next_silence(self) -> float:
        """Returns in how many seconds what a silent watch missed counts as told; infinite if nothing does."""
        return self.age.next_silence_due(self.node.now, self.windows()) - self.node.now

    def windows(self) -> Windows:
        """Returns for how long proofs are valid by the settings in force."""
        return self.node.balancer.discovery_retry.windows()

    def update(self) -> None:
        """Recomputes whether the list is doubtful, and marks its servers accordingly."""
        now, windows, server_list = self.node.now, self.windows(), self.node.server_list
        proofs_needed_from = self.age.proofs_needed_from(now, windows)
        was_doubtful, self.doubtful = self.doubtful, proofs_needed_from > -math.inf
        if self.doubtful or was_doubtful:
            server_list.mark_doubtful(proofs_needed_from)
        if self.doubtful != was_doubtful:
            self.node.counters["doubtful_lists"] += self.doubtful
            usable = sum(server.usable for server in self.node.servers.values())
            log.event("list", doubtful=self.doubtful, usable=usable)
        attempts_needed_from = self.age.attempts_needed_from(now, windows)
        was_aging, self.aging = self.aging, attempts_needed_from > -math.inf
        if self.aging or was_aging:
            server_list.mark_untried(attempts_needed_from)
