"""One request to discovery over HTTP/1.1, for a watch or a single list, on a connection of its own.

A watch is a streaming response to which discovery appends changes. When requests are made and what their ends
mean is decided in `discovery.py`; the lists are kept in `server_list.py`.
"""

from __future__ import annotations

from typing import Any

from bellrack import discovery_retry
from bellrack.net import lines
from bellrack.net.servers import OutgoingConnection

SILENCE_SECONDS = 4.5  # without a whole line until a watch fails; discovery sends an empty one every 2 s


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
            while self.received.length and not self.closed:
                self.body += self.response.feed(self.received.take(self.received.length))
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
                    listing = lines.parse_list(lines.parse_json(self.body))
                    self.node.server_list.on_list(listing, True, requested_at=self.request_sent_at)
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
                self.node.server_list.on_list(
                    listing,
                    at_current_address=self is not discovery.previous,
                    requested_at=self.request_sent_at,
                )
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
