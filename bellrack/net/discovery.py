"""The client of discovery, the service that publishes the list of servers over HTTP/1.1.

Keeps one watch open: a streaming response to which discovery appends changes. While a watch has no response,
a hedged request is sent beside it; a watch without data counts as failed. Single lists are fetched on a
connection each. This module also handles a change of discovery's address, and marks the servers when the list
may be out of date. The decisions (`bellrack/choice.py`) say when to watch and when to fetch. The list itself
is kept in `server_list.py`; delays and the age of the list are computed in `bellrack/discovery_retry.py`.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from bellrack import discovery_retry
from bellrack.net import lines, log
from bellrack.net.servers import OutgoingConnection

SILENCE_SECONDS = 4.5  # without a whole line until a watch fails; discovery sends an empty one every 2 s
CHECK_INTERVAL_SECONDS = 0.25  # between checks for silent watches
# The share of the drain grace period after which a lost watch is reopened where discovery pushes its lists: a
# change counts as received there even while no watch is open.
WATCH_RETRY_GRACE_SHARE = 0.25


class DiscoveryRequest(OutgoingConnection):
    """One request to discovery, for a watch or a single list, on a connection of its own."""

    side = "discovery"
    has_priority = True  # list changes are processed first in a batch

    def __init__(self, node: Any, address: tuple[str, int], watch: bool):
        """Starts to connect to `address`. `watch`: request a watch, otherwise a single list."""
        super().__init__(node)
        self.address, self.watch = address, watch
        self.response, self.body, self.request_sent = lines.HttpResponseReader(), b"", False
        self.started_at = self.last_received = self.request_sent_at = node.now
        self.objects, self.received_line = lines.JsonObjectReader(), False
        self.open(address, discovery_retry.CONNECT_TIMEOUT_SECONDS)
        if not watch:
            # Discovery.check_watch looks after watches.
            self.expire_after(SILENCE_SECONDS, self.fail, "list-silent")

    @property
    def reached(self) -> bool:
        """Whether discovery accepted the connection, whatever happened afterwards."""
        return self.transport is not None

    @property
    def service_up(self) -> bool:
        """Whether discovery began to answer, or let the request wait. A request that fails at once shows that
        discovery is down."""
        waited = self.node.now - self.request_sent_at > discovery_retry.PROMPT_FAILURE_SECONDS
        return self.reached and (self.response.status == 200 or self.request_sent and waited)

    @property
    def awaits_response(self) -> bool:
        """Whether no response head has come yet; the request may still be queued at discovery."""
        return not self.response.status

    def ready(self) -> None:
        """Sends the request once connected, and processes what has been received."""
        if self.reached and not self.request_sent:
            self.request_sent, self.request_sent_at = True, self.node.now
            query = f"?watch=1&after={self.node.server_list.version}" if self.watch else ""
            self.write(
                f"GET /v1/endpoints{query} HTTP/1.1\r\nHost: {lines.format_address(self.address)}\r\n"
                f"Accept: application/json\r\n\r\n".encode()
            )
        status_before = self.response.status
        try:
            while self.ring.length and not self.closed:
                self.body += self.response.feed(self.ring.take(self.ring.length))
                if len(self.body) > lines.MAX_DISCOVERY_BYTES:
                    raise lines.LineError("too-long")
            if self.response.status != status_before:
                # The head restarts the silence timeout, once. Otherwise a watch whose request had to wait in
                # discovery's queue would count as silent.
                self.last_received = self.node.now
            if self.response.status not in (0, 200):
                self.fail(f"status-{self.response.status}")
            elif self.watch:
                self.process_changes()
            elif (
                self.response.done
                or self.remote_end == "fin"
                and self.response.left is None
                and self.response.status
            ):
                self.finish("listed")
                if self.address == self.node.discovery.address:
                    self.node.server_list.on_list(lines.parse_list(lines.parse_json(self.body)), fetched=True)
                    self.node.discovery.on_confirmed(self.started_at)
        except lines.LineError as error:
            self.fail(str(error).partition(":")[0])
        if self.remote_end or self.response.done:
            self.fail(f"list-{self.remote_end or 'done'}")

    def process_changes(self) -> None:
        """Applies the whole lines of a watch that have been received. Raises LineError for malformed ones."""
        discovery = self.node.discovery
        while b"\n" in self.body and not self.closed:
            line, end, self.body = self.body.partition(b"\n")
            if listing := self.objects.feed(line + end):
                listing = lines.parse_list(listing)
                discovery.on_line(self, has_listing=True)
                self.node.server_list.on_list(listing, at_current_address=self is not discovery.previous)
            elif self.objects.whole and not self.received_line:
                discovery.on_line(self, has_listing=False)
                self.node.server_list.on_unchanged()  # the watch is open and the list is up to date
            if self.objects.whole:
                self.received_line = True
                # Not set for bytes that never end a line, or lines that never complete an object: these must
                # not keep a watch alive, since changes that it fails to deliver count as received anyway.
                self.last_received = self.node.now
                if self is discovery.current:
                    discovery.on_confirmed(self.node.now)

    def fail(self, reason: str) -> None:
        """Ends the request and reports its failure to Discovery, unless it has ended already."""
        if not self.closed:
            self.stop(reason)
            self.node.discovery.on_request_failed(self)

    def stop(self, reason: str) -> None:
        """Ends a request that is no longer needed; this is not a failure."""
        self.cancel_connect()
        self.finish(reason, "rst")


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
        self.list_age = discovery_retry.ListAge(node.started_at)
        # Whether the list may be out of date, and whether half the time until then has passed.
        self.doubtful = self.aging = False
        self.logged_age_event = ""  # the last one that was logged

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
                request.stop(reason)
        self.current = self.hedged = None

    def fetch(self) -> None:
        """Requests a single list."""
        self.new_request(self.node, self.address, False)

    def change_address(self, address: tuple[str, int]) -> None:
        """Uses another address from now on. Each address has its own versions, so the first list is
        requested whole. Until it has come, changes from the watch at the old address are still applied."""
        self.address, self.node.server_list.version = address, 0
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
            self.hedged.stop("watch-overtaken")
            self.hedged = None
        if self.previous and has_listing:
            self.previous.stop("watch-replaced")
            self.previous = None

    def on_confirmed(self, since: float) -> None:
        """The list in use is at least as recent as discovery's at the time `since` (seconds)."""
        self.list_age.confirm(since)
        self.log_age("confirmed")
        self.node.server_list.confirmed = True
        self.node.balancer.discovery_retry.reset()
        self.update_doubt()

    def on_request_failed(self, request: Any) -> None:
        """A request has failed. If another one is still open, schedules the next hedged request; otherwise
        reports the failure to the decisions, which schedule the next request."""
        if request is self.previous:
            self.previous = None  # expected: not a failure of the list
            return
        # The end of a watch that had received lines does not show whether discovery is up.
        if request.service_up and not request.received_line:
            self.list_age.on_reached()
            self.log_age("reached")
        elif not request.service_up:
            self.list_age.on_unreachable(request.started_at)
            self.log_age("unreachable")
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
        self.node.after(CHECK_INTERVAL_SECONDS, self.check_watch)
        now = self.node.now
        if self.previous and now - self.previous.last_received > SILENCE_SECONDS:
            self.previous.fail("watch-silent")
        if (
            (watch := self.current)
            and not watch.awaits_response
            and now - watch.last_received > SILENCE_SECONDS
        ):
            if watch.received_line:
                self.list_age.on_watch_silent()
                self.log_age("watch-silent")
                self.stop_watches("watch-silent")
                self.watch()
            else:
                watch.fail("watch-silent")  # the response broke off before its first whole line
        elif watch and not watch.received_line and now >= self.hedge_at:
            self.send_hedged()
        self.update_doubt()

    def send_hedged(self) -> None:
        """Sends a hedged request beside the one that has been without a response for too long.

        At most two are open: the older one keeps its better place in discovery's queue for
        `hedge_patience` seconds, then the younger takes its place."""
        self.node.counters["list_failures"] += 1
        retry = self.node.balancer.discovery_retry
        if self.hedged and self.node.now - self.current.started_at > retry.hedge_patience:
            self.current, self.hedged = self.hedged, self.current
        if self.hedged:
            self.hedged.stop("watch-late")
        self.hedged = self.new_request(self.node, self.address, True)
        self.hedge_at = self.node.now + retry.hedge_delay()

    def log_age(self, event: str) -> None:
        """Logs what determines the age of the list, once for each run of equal events."""
        if event != self.logged_age_event:
            self.logged_age_event = event
            log.event(
                "list_age",
                because=event,
                confirmed_before=self.node.now - self.list_age.confirmed_at,
                reached=self.list_age.reached,
            )

    def update_doubt(self) -> None:
        """Recomputes whether the list may be out of date, and marks its servers accordingly."""
        if any(one and not one.received_line and one.service_up for one in (self.current, self.hedged)):
            self.list_age.on_reached()
        window = self.node.balancer.discovery_retry.window()
        doubtful = self.list_age.is_doubtful(self.node.now, window)
        if doubtful != self.doubtful:
            self.doubtful = doubtful
            self.node.counters["doubtful_lists"] += doubtful
            log.event("list", doubtful=doubtful)
            if not doubtful:
                self.node.server_list.mark_doubtful(math.inf)
        if doubtful:
            self.node.server_list.mark_doubtful(window)
        aging = self.list_age.is_doubtful(self.node.now, window / 2)
        if aging or self.aging:
            self.node.server_list.mark_untried(window / 2 if aging else math.inf)
        self.aging = aging
