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

    def __init__(self, begun: float, patience: float, at_once: bool):
        self.begun, self.patience = begun, patience  # since the start, for discovery's word
        self.at_once = at_once  # what is known opens the door unasked: nothing counts as told yet
        self.known = self.heard = self.failed = False

    def on_known(self, usable: bool) -> None:
        """A list from before; `usable` if it names a server that takes calls."""
        self.known = usable

    def on_list(self, named: bool = True) -> None:
        """Discovery has spoken. Guards against a word that is no list: nothing new where nothing is known."""
        self.heard = self.heard or named

    def on_list_failure(self) -> None:
        self.failed = True

    def listed(self, now: float) -> bool:
        """Is there a list that may be used, as far as waiting for a newer one goes?"""
        return self.heard or self.known and (self.failed or now >= self.begun + self.patience)

    def may_open(self, now: float) -> bool:
        """May the clients' door be opened?"""
        return self.listed(now) or self.at_once and self.known

    def look_again(self) -> float | None:
        """When time alone will have changed the judgement; None if only what happens can."""
        return self.begun + self.patience if self.known else None
