"""When a process that starts may say that it is ready: take calls, and answer yes to who asks.

Owns the one judgement of what is known of the list at the start. It has no clock and opens nothing: its host
tells it what happens, and looks again when it says.
"""

from __future__ import annotations


class Readiness:
    """A list that may be used is what discovery has said since the start or, where that says nothing in time
    or fails, the list that was known before, if it names a server that may be used. Without one a process is
    never ready, however long that lasts: it would turn away whoever comes.

    Times are seconds, all of one clock."""

    def __init__(self, started_at: float, list_wait: float, serve_known_list: bool):
        self.started_at, self.list_wait = started_at, list_wait  # since the start, for discovery's word
        self.serve_known_list = (
            serve_known_list  # what is known opens the door unasked: nothing counts as told yet
        )
        self.has_known_list = self.list_received = self.list_failed = False

    def on_known(self, usable: bool) -> None:
        """A list from before; `usable` if it names a server that takes calls."""
        self.has_known_list = usable

    def on_list(self, named: bool = True) -> None:
        """Discovery has spoken. Guards against a word that is no list: nothing new where nothing is known."""
        self.list_received = self.list_received or named

    def on_list_failure(self) -> None:
        self.list_failed = True

    def has_usable_list(self, now: float) -> bool:
        """Is there a list that may be used, as far as waiting for a newer one goes?"""
        return (
            self.list_received
            or self.has_known_list
            and (self.list_failed or now >= self.started_at + self.list_wait)
        )

    def may_open(self, now: float) -> bool:
        """May the clients' door be opened?"""
        return self.has_usable_list(now) or self.serve_known_list and self.has_known_list

    def next_check(self) -> float | None:
        """When time alone will have changed the judgement; None if only what happens can."""
        return self.started_at + self.list_wait if self.has_known_list else None
