"""The client of discovery, the service that publishes the list of servers over HTTP/1.1.

Keeps one watch open: a streaming response to which discovery appends changes. While a watch has no response,
a hedged request is sent beside it; a watch without data counts as failed. Single lists are fetched on a
connection each. This module also handles a change of discovery's address. The decisions
(`bellrack/choice.py`) say when to watch and when to fetch. The requests themselves are in
`discovery_request.py`, the list is kept in `server_list.py`, and what its age means for the servers is in
`list_doubt.py`; delays are computed in `bellrack/discovery_retry.py`.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from bellrack.net import discovery_request
from bellrack.net.discovery_request import DiscoveryRequest
from bellrack.net.list_doubt import ListDoubt

CHECK_INTERVAL_SECONDS = 0.25  # between checks of the requests, at most
MIN_CHECK_INTERVAL_SECONDS = 0.001
EMPTY_LINE_LATE_SECONDS = 2.5  # without a line after which a watch has fallen silent; one is due every 2 s
# The share of the drain grace period after which a lost watch is reopened where discovery pushes its lists: a
# change counts as received there even while no watch is open.
WATCH_RETRY_GRACE_SHARE = 0.25


class Discovery:
    """The requests to discovery: the watch, the hedged request beside it, and single lists."""

    def __init__(self, node: Any, address: tuple[str, int], new_request: Callable[..., Any] | None = None):
        """`new_request` replaces the constructor of DiscoveryRequest and takes the same arguments."""
        self.node, self.address, self.new_request = (
            node,
            address,
            new_request or (lambda *args: DiscoveryRequest(*args)),
        )
        self.current: Any = None  # the open watch, or the oldest request for one
        self.hedged: Any = None  # the second request, while the first has no response
        self.previous: Any = None  # the watch at the previous address, until the new one has sent its list
        self.hedge_at = math.inf  # when the next hedged request is sent
        self.doubt = ListDoubt(node)

    def watch(self, on: bool = True) -> None:
        """Opens a watch unless there is one, or closes it."""
        if on and self.current:
            return  # a late retry must not close the watch that a change of address has opened
        self.stop_watches("watch-ended")
        if on:
            self.current = self.new_request(self.node, self.address, True)
            self.hedge_at = self.node.now + self.node.balancer.discovery_retry.hedge_delay()

    def stop_watches(self, reason: str) -> None:
        """Closes the watch and the hedged request, if any; `reason` is logged."""
        for request in (self.current, self.hedged):
            if request:
                self.stop(request, reason)
        self.current = self.hedged = None

    def stop(self, request: Any, reason: str) -> None:
        """Closes a watch, or a request for one, that is no longer needed."""
        self.note_silence(request)
        request.stop(reason)

    def note_silence(self, request: Any) -> None:
        """A request ends. If it is a watch that has fallen silent, what it missed counts as told in time,
        whatever becomes of the requests that follow."""
        quiet_for = self.node.now - request.last_received
        if request.watch and not request.awaits_response and quiet_for >= EMPTY_LINE_LATE_SECONDS:
            self.doubt.on_watch_silent(request.last_received)

    def fetch(self) -> None:
        """Requests a single list."""
        self.new_request(self.node, self.address, False)

    def change_address(self, address: tuple[str, int]) -> None:
        """Uses another address from now on. Each address has its own versions, so the first list is
        requested whole. Until it has come, changes from the watch at the old address are still applied."""
        self.address = address
        self.node.server_list.versions.on_address_changed()
        self.node.balancer.discovery_retry.reset()
        if self.current and not self.current.awaits_response:
            self.previous, self.current = self.current, self.previous
        self.stop_watches("watch-replaced")
        self.watch()

    def on_line(self, request: Any, has_listing: bool) -> None:
        """A watch request has received a whole line, which is applied next. `has_listing`: the line completes
        a list or changes of one. Of the watch and its hedged request the first to receive a line becomes the
        watch; the first list of a new address ends the watch at the previous one."""
        if request is self.previous:
            return
        if request is self.hedged:
            self.current, self.hedged = self.hedged, self.current
        if self.hedged:
            self.stop(self.hedged, "watch-overtaken")
            self.hedged = None
        if self.previous and has_listing:
            self.stop(self.previous, "watch-replaced")
            self.previous = None

    def on_confirmed(self, since: float) -> None:
        """The list in use is at least as recent as discovery's at the time `since` (seconds)."""
        self.node.server_list.confirmed = True
        self.node.balancer.discovery_retry.reset()
        self.doubt.on_confirmed(since)

    def on_request_failed(self, request: Any) -> None:
        """A request has failed. If another one is still open, schedules the next hedged request; otherwise
        reports the failure to the decisions, which schedule the next request."""
        self.note_silence(request)
        if request is self.previous:
            self.previous = None  # expected: not a failure of the list
            return
        # The end of a watch that had received lines does not show whether discovery is up.
        if request.service_up and not request.received_line:
            self.doubt.on_reached()
        elif not request.service_up:
            self.doubt.on_unreachable(request.started_at)
        if request is self.hedged or request is self.current and self.hedged:
            # The other request may still be answered; the next one beside it goes out when a retry is due.
            self.current = self.hedged if request is self.current else self.current
            self.hedged = None
            self.node.counters["list_failures"] += 1
            self.hedge_at = self.node.now + self.node.balancer.discovery_retry.next_delay(request.reached)
            return
        if request is self.current:
            self.current = None
            if not self.node.settings.asks:  # discovery pushes changes: the decisions request no watch
                self.node.after(WATCH_RETRY_GRACE_SHARE * self.node.settings.drain_grace, self.watch)
        self.node.server_list.on_failure(request.reached)

    def check_watch(self) -> None:
        """Detects watches whose connection is dead, which only shows as silence.

        A watch that has received a line is reopened at once: a drain that it misses counts as received 6 s
        after discovery has it. A request without a response may be queued at discovery, and a new one would
        go to the end of that queue, so it is kept and a hedged request is sent beside it."""
        self.node.after(self.seconds_to_check(), self.check_watch)
        if self.previous and self.seconds_to_silence(self.previous) <= 0:
            self.previous.fail("watch-silent")
        watch = self.current
        if watch and self.seconds_to_silence(watch) <= 0:
            if watch.received_line:
                self.stop_watches("watch-silent")
                self.watch()
            else:
                watch.fail("watch-silent")  # the response broke off before its first whole line
        elif watch and not watch.received_line and self.node.now >= self.hedge_at:
            self.send_hedged()
        if any(one and not one.received_line and one.service_up for one in (self.current, self.hedged)):
            self.doubt.on_reached()
        self.doubt.update()

    def seconds_to_silence(self, watch: Any) -> float:
        """Returns in how many seconds a watch counts as silent if it receives no line; infinite for one whose
        request may still be queued at discovery."""
        if watch.awaits_response:
            return math.inf
        return watch.last_received + discovery_request.SILENCE_SECONDS - self.node.now

    def seconds_to_check(self) -> float:
        """Returns the seconds until the next check. Servers can prove themselves between the end of a silent
        watch and the moment in which the list becomes doubtful, so both are kept to the moment."""
        waits = [self.seconds_to_silence(watch) for watch in (self.current, self.previous) if watch]
        waits.append(self.doubt.seconds_to_next_silence())
        next_event = min((wait for wait in waits if wait > 0), default=math.inf)
        return max(MIN_CHECK_INTERVAL_SECONDS, min(CHECK_INTERVAL_SECONDS, next_event))

    def send_hedged(self) -> None:
        """Sends a hedged request beside the one that has been without a response for too long.

        At most two are open: the older one keeps its better place in discovery's queue for
        `hedge_patience` seconds, then the younger takes its place."""
        self.node.counters["list_failures"] += 1
        retry = self.node.balancer.discovery_retry
        if self.hedged and self.node.now - self.current.started_at > retry.hedge_patience:
            self.current, self.hedged = self.hedged, self.current
        if self.hedged:
            self.stop(self.hedged, "watch-late")
        self.hedged = self.new_request(self.node, self.address, True)
        self.hedge_at = self.node.now + retry.hedge_delay()
