"""Connections of clients, and of the front that asks whether we are ready.

Owns what a client is told: one answer to its first line, then its server's lines unchanged, or MOVE between
two of them. It never answers on its own authority but to malformed lines, and never ends a connection that
stands without a word unless one of its sides has ended.
"""

from __future__ import annotations

from typing import Any

from bellrack import model
from bellrack.model import Call
from bellrack.net import first_line, limits, lines
from bellrack.net.invariants import Invariant
from bellrack.net.pairing import ServerEnd
from bellrack.net.ring import Connection

MOST_ASKED = 64  # lines whose answers are waited for, by their times
FIRST_LINE_RECHECK_SECONDS = (
    0.2  # seconds between looks whether a first line may still come: an end is owed 0.25 s later
)


class ClientConnection(Connection):
    side = "client"
    forwarded_counter = "lines_to_servers"

    def __init__(self, node: Any):
        super().__init__(node)
        self.call: Call | None = None
        self.request_line: lines.RequestLine
        self.server_connection: ServerEnd | None = None  # the leg that is out or stands
        self.pings = 0
        self.answered = False  # its final answer is written
        self.opened: float | None = None  # when the machine accepted it, on the node's clock

    @property
    def request_id(self) -> str:
        return self.request_line.id if self.call else ""

    def log_fields(self) -> dict[str, Any]:
        """By its request, or by where it came from and for how long (seconds) it was there."""
        if self.call:
            return {"id": self.request_line.id}
        peer = self.transport and self.transport.get_extra_info("peername")
        lasted = self.node.clock() - self.opened if self.opened is not None else 0.0
        return {"peer": lines.format_address(peer) if peer else "none", "lasted": lasted}

    def on_connected(self) -> None:
        self.node.clients[self] = None
        now = self.node.clock()
        self.opened = now if self.opened is None else self.opened
        if self.call is None:
            self.node.limits.evictable[self] = now
            self.expire_after(max(0.0, self.opened + limits.FIRST_LINE_SECONDS - now), self.on_expired)
        self.wake()

    def connection_lost(self, error: Exception | None) -> None:
        super().connection_lost(error)
        self.node.clients.pop(self, None)
        if self.call and self.node.limits.open_ids.get(self.request_line.id) is self:
            self.node.limits.on_call_ended(self.request_line.id)

    def on_expired(self) -> None:
        """Guards against connections that say nothing, or never end their line, and stay; and, by an answer,
        against the end of a line that came in with our end."""
        # A process that ends serves nobody who writes late.
        may_precede_run = self.node.resumed.may_precede_run() and not self.node.shutdown
        if self.call is None and first_line.may_still_come(self.ring.peek(), may_precede_run):
            # Guards against BUSY to a resumed connection whose client is slow to write.
            self.expire_after(FIRST_LINE_RECHECK_SECONDS, self.on_expired)
        elif self.call is None:
            # After PING too: a request may be on its way, and its end without an answer would lose it.
            self.reject_unread("no-first-line")

    def finish(self, reason: str, how: str = "fin", **figures: Any) -> None:
        if not self.closed:
            self.node.resumed.discard(self)
            self.node.invariants.check_close(self)
        if self.call and self.call.refusal:
            figures["why"] = self.call.refusal
        super().finish(reason, how, **figures)

    def evict(self) -> None:
        if not self.closed:
            self.reject_unread(how="now")
        super().evict()

    def ready(self) -> None:
        if self.call is None and not self.node.limits.make_room(self.node.now, 2):
            self.refuse_for_descriptors()
        while not self.closed and self.call is None and (line := self.ring.take_line()):
            self.first(line)
        if self.closed:
            return
        if self.call is None and self.ring.length and not self.remote_end:
            self.node.limits.on_partial_line(self, self.node.now)
        if self.paired:
            self.forward_lines()
        if self.call and not self.paired and self.ring.length:
            # Guards against hundreds of commands at once: whoever waits for UP as agreed says nothing before.
            self.refuse("not-awaited")
        elif self.ring.line_too_long:
            self.refuse("line-too-long")
        elif self.has_ended():
            self.on_remote_end()

    def refuse_for_descriptors(self) -> None:
        """Before accepting fails: whatever it wants, it is told; but a resumed connection waits for room."""
        expected = self.node.resumed.window.admits(self.node.now) and lines.is_resumed_request(
            self.ring.peek()
        )
        if not expected and not self.node.resumed.expects_more():
            self.busy()

    def count_outcome(self, outcome: str) -> None:
        """Its one outcome, by traffic type as the line names it."""
        self.node.counters[f"{outcome}.{self.request_line.values['c']}"] += 1

    def first(self, line: bytes) -> None:
        if line.strip() == b"PING":
            if not self.node.takes_requests:
                if self.ring.length:
                    return  # a request behind it has its answer
                self.finish("not-ready")  # as if nobody listened yet
                return
            self.pings += 1
            self.node.counters["pings"] += 1
            if self.pings > limits.MAX_PINGS:
                self.refuse("many-pings")
            self.write(b"PONG\r\n")
            return
        try:
            self.request_line = lines.parse_request_line(line)
            if "at" not in self.request_line.values and not self.node.limits.make_room(self.node.now):
                if self.request_line.values.get("c") in self.node.names.types:
                    self.count_outcome("rejected")
                self.busy()
            else:
                self.node.on_request_line(self)
        except lines.LineError as error:
            self.refuse(str(error))

    def busy(self) -> None:
        self.node.counters["crowded"] += 1
        self.reject_unread()

    def reject_unread(self, reason: str = "no-descriptors", how: str = "fin") -> None:
        """Nothing has been sent for it, so trying again is harmless."""
        self.write_final(lines.busy_line(self.node.settings.max_open_wait))
        self.finish(reason, how)

    def on_line(self, line: bytes) -> None:
        if (
            len(self.paired.unanswered) < MOST_ASKED
        ):  # the oldest tells for how long the server has been silent
            self.paired.unanswered.append(self.node.now)
        self.node.resumed.window.on_client_line()

    def refuse(self, code: str) -> None:
        """Malformed: one failing answer and the end."""
        self.node.counters["malformed"] += 1
        if self.call and not self.call.done and not self.paired:
            self.count_outcome("failed")
        if self.paired:
            self.write(b"SYNTAX\r\n")  # it has had its answer, and spoilt its connection since
            self.finish(code)
        else:
            self.answer(b"SYNTAX\r\n", code)
        self.abandon(model.CANCELLED)

    def answer(self, line: bytes, reason: str) -> None:
        self.write_final(line)
        self.finish(reason)

    def write_final(self, line: bytes) -> None:
        """The one answer to its first line."""
        if self.closed:
            return  # its end is out already, with an answer before it
        if self.answered:
            self.node.invariants.violated(Invariant.ANSWERED_TWICE, self.request_id, line=line.strip())
        self.answered = True
        self.write(line)

    def move(self, reason: str, kind: str = model.CANCELLED) -> None:
        """Send it away between two lines; it comes again through the front."""
        if self.closed or not self.paired:
            return
        self.node.counters["moved"] += 1
        self.write(b"MOVE\r\n")
        self.finish(reason)
        self.server_connection.end(kind, reason)

    def on_remote_end(self) -> None:
        """The client has ended the connection."""
        self.finish("front" if self.pings and not self.call else f"client-{self.remote_end}", self.remote_end)
        self.abandon(model.COMPLETED if self.paired and self.remote_end == "fin" else model.CANCELLED)

    def abandon_if_closed(self) -> None:
        """Guards against something sent for a client whose end only the kernel knows yet."""
        if self.remote_closed():
            self.abandon(model.CANCELLED)

    def abandon(self, kind: str) -> None:
        """Nothing is owed any more; what is out for it ends."""
        if self.call and not self.call.done and not self.paired:
            self.call.done = True
            self.node.balancer.on_client_left(self.call)
        if self.server_connection:
            self.server_connection.end(kind, "client-gone", self.remote_end or "fin")
