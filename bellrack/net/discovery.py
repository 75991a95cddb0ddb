"""The list of servers, over HTTP/1.1.

Owns the calls to discovery: one standing watch, a younger call beside it while it says nothing, and single
lists, each on a connection of its own; the change to another address; and what follows when the list in hand
is doubtful. It never decides when to call where the decisions do, never keeps the list, and takes silence for
failure. Gaps and ages are worked out in `bellrack/discovery_retry.py`.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from bellrack import discovery_retry
from bellrack.net import lines, log
from bellrack.net.servers import OutgoingConnection

SILENCE_SECONDS = 4.5  # seconds without a whole line on a watch that has begun: an empty one comes every 2 s
CHECK_INTERVAL_SECONDS = 0.25  # seconds between looks for that
WATCH_RETRY_GRACE_SHARE = (
    0.25  # of the grace of a drain: where lists are pushed a change counts as told while no watch is open
)


class DiscoveryRequest(OutgoingConnection):
    """One call to discovery: a watch, or a list."""

    side = "discovery"
    has_priority = True  # list changes go first in a batch

    def __init__(self, node: Any, address: tuple[str, int], watch: bool):
        super().__init__(node)
        self.address, self.watch = address, watch
        self.response, self.body, self.request_sent = lines.HttpResponseReader(), b"", False
        self.started_at = self.last_received = self.request_sent_at = node.now
        self.objects, self.received_line = lines.JsonObjectReader(), False
        self.open(address, discovery_retry.CONNECT_TIMEOUT_SECONDS)
        if not watch:
            self.expire_after(
                SILENCE_SECONDS, self.fail, "list-silent"
            )  # a watch is looked after for as long as it lasts

    @property
    def reached(self) -> bool:
        """Discovery took the connection, whatever came of it."""
        return self.transport is not None

    @property
    def service_up(self) -> bool:
        """Did discovery begin to answer it, or let it wait? One that fails at once found it down."""
        waited = self.node.now - self.request_sent_at > discovery_retry.PROMPT_FAILURE_SECONDS
        return self.reached and (self.response.status == 200 or self.request_sent and waited)

    @property
    def awaits_response(self) -> bool:
        """Has no head yet: it may have to wait for its turn."""
        return not self.response.status

    def ready(self) -> None:
        if self.reached and not self.request_sent:
            self.request_sent, self.request_sent_at = True, self.node.now
            query = f"?watch=1&after={self.node.server_list.version}" if self.watch else ""
            self.write(
                f"GET /v1/endpoints{query} HTTP/1.1\r\nHost: {lines.format_address(self.address)}\r\n"
                f"Accept: application/json\r\n\r\n".encode()
            )
        begun = self.response.status
        try:
            while self.ring.length and not self.closed:
                self.body += self.response.feed(self.ring.take(self.ring.length))
                if len(self.body) > lines.MAX_DISCOVERY_BYTES:
                    raise lines.LineError("too-long")
            if self.response.status != begun:
                # Once: guards against a watch taken for silent since its call had to wait for its turn.
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
                    self.node.discovery.confirmed(self.started_at)
        except lines.LineError as error:
            self.fail(str(error).partition(":")[0])
        if self.remote_end or self.response.done:
            self.fail(f"list-{self.remote_end or 'done'}")

    def process_changes(self) -> None:
        discovery = self.node.discovery
        while b"\n" in self.body and not self.closed:
            line, end, self.body = self.body.partition(b"\n")
            if news := self.objects.feed(line + end):
                news = lines.parse_list(news)
                discovery.on_line(self, news=True)
                self.node.server_list.on_list(news, counts=self is not discovery.previous)
            elif self.objects.whole and not self.received_line:
                discovery.on_line(self, news=False)
                self.node.server_list.on_unchanged()  # it stands and has nothing new
            if self.objects.whole:
                self.received_line = True
                # Guards against a watch kept alive by bytes that never make a line, or lines that never make
                # an object: what it would have to tell counts as told all the same.
                self.last_received = self.node.now
                if self is discovery.current:
                    discovery.confirmed(self.node.now)

    def fail(self, reason: str) -> None:
        if not self.closed:
            self.stop(reason)
            self.node.discovery.failed(self)

    def stop(self, reason: str) -> None:
        """No longer wanted."""
        self.cancel_connect()
        self.finish(reason, "rst")


class Discovery:
    """The watch, while one stands or is asked for, the call beside it, and lists."""

    def __init__(self, node: Any, address: tuple[str, int], new_request: Callable[..., Any] | None = None):
        self.node, self.address, self.new_request = (
            node,
            address,
            new_request or (lambda *values: DiscoveryRequest(*values)),
        )
        self.current: Any = None  # the watch, or the oldest call for one
        self.hedged: Any = None  # the call beside one that says nothing
        self.previous: Any = None  # of the address before, until the new one has told its list
        self.hedge_at = math.inf  # when the next goes out beside the standing one
        self.list_age = discovery_retry.ListAge(node.started_at)
        self.doubtful = self.aging = False  # the list is doubtful; it is on the way there

    def watch(self, on: bool = True) -> None:
        if on and self.current:
            return  # guards against a late retry that ends the watch which a change of address has brought
        self.stop_watches("watch-ended")
        if on:
            self.current = self.new_request(self.node, self.address, True)
            self.hedge_at = self.node.now + self.node.balancer.discovery_retry.hedge_delay()

    def stop_watches(self, reason: str) -> None:
        for question in (self.current, self.hedged):
            if question:
                question.stop(reason)
        self.current = self.hedged = None

    def fetch(self) -> None:
        self.new_request(self.node, self.address, False)

    def change_address(self, address: tuple[str, int]) -> None:
        """Another address from now on. Its versions are its own, so the first list is asked for whole; till
        it has come, the watch at the old address tells what it still has to."""
        self.address, self.node.server_list.version = address, 0
        self.node.balancer.discovery_retry.reset()
        if self.current and not self.current.awaits_response:
            self.previous, self.current = self.current, self.previous
        self.stop_watches("watch-replaced")
        self.watch()

    def on_line(self, question: Any, news: bool) -> None:
        """A call has brought a whole line, about to be heeded. Of two the one that speaks first is the watch;
        the first list of a new address replaces the old one's."""
        if question is self.previous:
            return
        if question is self.hedged:
            self.current, self.hedged = self.hedged, self.current
        if self.hedged:
            self.hedged.stop("watch-overtaken")
            self.hedged = None
        if self.previous and news:
            self.previous.stop("watch-replaced")
            self.previous = None

    def confirmed(self, since: float) -> None:
        """The list is what discovery had then, and was heeded."""
        self.list_age.confirm(since)
        self.node.server_list.confirmed = True
        self.node.balancer.discovery_retry.reset()
        self.update_doubt()

    def failed(self, question: Any) -> None:
        if question is self.previous:
            self.previous = None  # expected, so not a failure of the list
            return
        if (
            question.service_up and not question.received_line
        ):  # the end of a watch tells nothing of what comes after it
            self.list_age.on_reached()
        elif not question.service_up:
            self.list_age.on_unreachable(question.started_at)
        if question is self.hedged or question is self.current and self.hedged:
            # The other one may still be answered; the next beside it goes out as if there were none.
            self.current = self.hedged if question is self.current else self.current
            self.hedged = None
            self.node.counters["list_failures"] += 1
            self.hedge_at = self.node.now + self.node.balancer.discovery_retry.next_delay(question.reached)
            return
        if question is self.current:
            self.current = None
            if not self.node.settings.asks:  # changes come unasked there, so the host holds the watch
                self.node.after(WATCH_RETRY_GRACE_SHARE * self.node.settings.drain_grace, self.watch)
        self.node.server_list.on_failure(question.reached)

    def check_watch(self) -> None:
        """A watch that is cut off says nothing. One that had begun is renewed at once: guards against a drain
        that is told meanwhile and counts as heard 6 s later. One that has not begun may only wait for its
        turn, and who gives that up goes to the end of the queue: it is kept, and another sent beside it."""
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
                self.stop_watches("watch-silent")
                self.watch()
            else:
                watch.fail("watch-silent")  # half an answer
        elif watch and not watch.received_line and now >= self.hedge_at:
            self.send_hedged()
        self.update_doubt()

    def send_hedged(self) -> None:
        """The standing call has not been answered for long."""
        self.node.counters["list_failures"] += 1
        retry = self.node.balancer.discovery_retry
        if self.hedged and self.node.now - self.current.started_at > retry.hedge_patience:
            self.current, self.hedged = self.hedged, self.current
        if self.hedged:
            self.hedged.stop("watch-late")
        self.hedged = self.new_request(self.node, self.address, True)
        self.hedge_at = self.node.now + retry.hedge_delay()

    def update_doubt(self) -> None:
        """May the list still be used for whatever it names?"""
        if any(call and not call.received_line and call.service_up for call in (self.current, self.hedged)):
            self.list_age.on_reached()
        window = self.node.balancer.discovery_retry.window()
        doubts = self.list_age.is_doubtful(self.node.now, window)
        if doubts != self.doubtful:
            self.doubtful = doubts
            self.node.counters["doubtful_lists"] += doubts
            log.event("list", doubtful=doubts)
            if not doubts:
                self.node.server_list.mark_doubtful(math.inf)
        if doubts:
            self.node.server_list.mark_doubtful(window)
        ages = self.list_age.is_doubtful(self.node.now, window / 2)
        if ages or self.aging:
            self.node.server_list.mark_unproved(window / 2 if ages else math.inf)
        self.aging = ages
