"""When a starting process is ready: when it accepts clients, and when it reports ready to operators.

Decides from what is known of the server list at the start. It has no clock and does no I/O: the host reports
events, and asks again at the time that `next_check` returns.
"""

from __future__ import annotations


class Readiness:
    """Whether a starting process has a usable server list.

    Usable is a list that discovery has sent since the start, or, if discovery sends nothing in time or fails,
    the list known from before the start, if it has a usable server. Without either a process is never ready,
    however long that lasts: it would reject every request.

    `started_at`: time of the start; `list_wait`: seconds from then for which discovery is waited for;
    `serve_known_list`: accept clients with the known list at once. It is set where lists are asked
    for; where they are pushed, the process is held to the current list from its start on, and has to wait for
    it. Times are seconds of one clock."""

    def __init__(self, started_at: float, list_wait: float, serve_known_list: bool):
        self.started_at, self.list_wait = started_at, list_wait
        self.serve_known_list = serve_known_list
        self.has_known_list = self.list_received = self.list_failed = False

    def on_known(self, usable: bool) -> None:
        """Record a list from before the start; `usable`: it has a server that accepts requests."""
        self.has_known_list = usable

    def on_list(self, has_list: bool = True) -> None:
        """Record an answer of discovery.

        `has_list`: there is a list now. False if discovery reports no changes while no list is known."""
        self.list_received = self.list_received or has_list

    def on_list_failure(self) -> None:
        """Record that a request to discovery has failed."""
        self.list_failed = True

    def has_usable_list(self, now: float) -> bool:
        """Return whether there is a usable list, and no newer one to wait for."""
        return (
            self.list_received
            or self.has_known_list
            and (self.list_failed or now >= self.started_at + self.list_wait)
        )

    def may_open(self, now: float) -> bool:
        """Return whether the process may accept clients."""
        return self.has_usable_list(now) or self.serve_known_list and self.has_known_list

    def next_check(self) -> float | None:
        """Return the time at which the known list becomes usable, None if there is none."""
        return self.started_at + self.list_wait if self.has_known_list else None
