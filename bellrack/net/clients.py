"""Client connections, including the health checks (`PING`) of the load balancer in front of this one.

A client gets one answer to its first line. Once its connection is established, the server's lines are
forwarded to it unchanged, or MOVE is sent between two of them. This module answers on its own only to
malformed lines, to connections that send no request in time, and when descriptors run out; all other answers
are ordered by the decisions or come from the server. An established connection is closed without a line only
if one of its two ends has closed.
"""

from __future__ import annotations

import asyncio
from typing import Any

from bellrack import model
from bellrack.model import Call
from bellrack.net import first_line, limits, lines
from bellrack.net.connection import Connection
from bellrack.net.invariants import Invariant
from bellrack.net.pairing import ServerEnd

MOVE_ORDERED = "moved"  # logged as the reason if the decisions ordered the move
# Between checks whether a late first line may still come. The connection must be closed 3 s after it was
# opened, 0.25 s after FIRST_LINE_SECONDS.
FIRST_LINE_RECHECK_SECONDS = 0.2


class ClientConnection(Connection):
    """The connection of one client: its request, the answer, and then the lines in both directions."""

    side = "client"
    forwarded_counter = "lines_to_servers"

    def __init__(self, node: Any):
        super().__init__(node)
        self.call: Call | None = None
        self.request_line: lines.RequestLine
        self.server_connection: ServerEnd | None = None  # of the current attempt, or established
        self.pings = 0
        self.answered = False  # the final answer has been written
        self.answer_timer: asyncio.TimerHandle | None = None  # of the last possible answer to the request
        self.taken_at = 0.0  # when its request was taken, on the machine's monotonic clock
        self.opened: float | None = None  # when the machine accepted the connection, on the node's clock

    @property
    def request_id(self) -> str:
        """The id on the request line; empty before there is a request."""
        return self.request_line.id if self.call else ""

    def log_fields(self) -> dict[str, Any]:
        """The request's id, or else the peer's address and how long (seconds) the connection was open."""
        if self.call:
            return {"id": self.request_line.id}
        peer = self.transport and self.transport.get_extra_info("peername")
        lasted = self.node.clock() - self.opened if self.opened is not None else 0.0
        return {"peer": lines.format_address(peer) if peer else "none", "lasted": lasted}

    def on_connected(self) -> None:
        """Registers the connection and starts the timeout of its first line."""
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
        if self.call and self.node.limits.open_ids.get(self.request_line.id_hash) is self:
            self.node.request_ids.on_ended(self.request_line.id_hash)

    def on_expired(self) -> None:
        """Closes a connection that has sent no whole first line in time.

        Otherwise connections that send nothing, or never end their line, would stay open. It is answered
        before it is closed, since the end of its line may arrive while we close."""
        # A process that shuts down serves no client that writes late.
        may_precede_run = self.node.resumed.may_precede_run() and not self.node.shutdown
        if self.call is None and first_line.should_wait(self.received.peek(), may_precede_run):
            # A resumed connection whose client is slow to write must not be told BUSY.
            self.expire_after(FIRST_LINE_RECHECK_SECONDS, self.on_expired)
        elif self.call is None:
            # Also after PING: a request may be under way, and closing without an answer would lose it.
            self.reject_unread("no-first-line")

    def cancel_answer_timer(self) -> None:
        """Drops the timer of the last possible answer. It would hold the connection, its call and its buffers
        for as long as the client had announced to wait."""
        if self.answer_timer:
            self.answer_timer.cancel()
            self.answer_timer = None

    def finish(self, reason: str, how: str = "fin", **fields: Any) -> None:
        """Closes the connection (see `Connection.finish`) and ends its resumption, if one is pending."""
        self.cancel_answer_timer()
        if not self.closed:
            self.node.resumed.discard(self)
            self.node.invariants.check_close(self)
        if self.call and self.call.refusal:
            fields["why"] = self.call.refusal
        super().finish(reason, how, **fields)

    def evict(self) -> None:
        """Closes the connection at once, with BUSY if it is still open, to free its descriptor."""
        if not self.closed:
            self.reject_unread(how="now")
        super().evict()

    def ready(self) -> None:
        if self.call is None and not self.node.limits.make_room(self.node.now, 2):
            self.refuse_for_descriptors()
        while not self.closed and self.call is None and (line := self.received.take_line()):
            self.on_first_line(line)
        if self.closed:
            return
        if self.call is None and self.received.length and not self.remote_end:
            self.node.limits.on_partial_line(self, self.node.now)
        if self.paired:
            self.forward_lines()
        if self.call and not self.paired and self.received.length:
            # The protocol lets a client send nothing before UP. Hundreds of commands in one go are refused.
            self.reject_malformed("not-awaited")
        elif self.received.line_too_long:
            self.reject_malformed("line-too-long")
        elif self.has_ended():
            self.on_remote_end()

    def refuse_for_descriptors(self) -> None:
        """Rejects a connection without a request while descriptors are short, before accepting fails.

        A resumed connection is not rejected: it waits for a free descriptor."""
        expected = self.node.resumed.window.admits(self.node.now) and lines.is_resumed_request(
            self.received.peek()
        )
        if not expected and not self.node.resumed.expects_more():
            self.reject_crowded()

    def count_outcome(self, outcome: str) -> None:
        """Counts the one outcome of the request, by the traffic type that its line names."""
        self.node.counters[f"{outcome}.{self.request_line.values['c']}"] += 1

    def on_first_line(self, line: bytes) -> None:
        """Handles a line that comes before a request was accepted: PING, or the request line."""
        if line.strip() == b"PING":
            if not self.node.takes_requests:
                if self.received.length:
                    return  # the request that follows gets the answer
                self.finish("not-ready")  # closed without PONG, as if nothing listened yet
                return
            self.pings += 1
            self.node.counters["pings"] += 1
            if self.pings > limits.MAX_PINGS:
                self.reject_malformed("many-pings")
            self.write(b"PONG\r\n")
            return
        try:
            self.request_line = lines.parse_request_line(line)
            if "at" not in self.request_line.values and not self.node.limits.make_room(self.node.now):
                if self.request_line.values.get("c") in self.node.names.types:
                    self.count_outcome("rejected")
                self.reject_crowded()
            else:
                self.node.on_request_line(self)
        except lines.LineError as error:
            self.reject_malformed(str(error))

    def reject_crowded(self) -> None:
        """Answers BUSY because descriptors are short, and closes."""
        self.node.counters["crowded"] += 1
        self.reject_unread()

    def reject_unread(self, reason: str = "no-descriptors", how: str = "fin") -> None:
        """Answers BUSY and closes. Nothing has been sent to a server, so a retry of the client is safe."""
        self.write_final(lines.busy_line(self.node.settings.max_open_wait))
        self.finish(reason, how)

    def take_forwardable(self) -> bytes:
        forwarded = self.received.take_lines()
        if forwarded:
            self.paired.on_lines_sent(forwarded.count(b"\n"))
            self.node.resumed.window.on_client_line()
        return forwarded

    def reject_malformed(self, code: str) -> None:
        """Answers SYNTAX, closes the connection and ends the request; `code` is the reason that is logged."""
        self.node.counters["malformed"] += 1
        if self.call and not self.call.done and not self.paired:
            self.count_outcome("failed")
        if self.paired:
            self.write(b"SYNTAX\r\n")  # not a final answer: the connection is established and had its UP
            self.finish(code)
        else:
            self.answer(b"SYNTAX\r\n", code)
        self.abandon(model.CANCELLED)

    def answer(self, line: bytes, reason: str) -> None:
        """Writes the final answer and closes; `reason` is logged."""
        self.write_final(line)
        self.finish(reason)

    def write_final(self, line: bytes) -> None:
        """Writes the one answer to the request; does nothing if the connection is closed already."""
        if self.closed:
            return  # it was answered before it was closed
        if self.answered:
            self.node.invariants.violated(Invariant.ANSWERED_TWICE, self.request_id, line=line.strip())
        self.answered = True
        self.cancel_answer_timer()
        self.write(line)

    def move(self, reason: str, kind: str = model.CANCELLED) -> None:
        """Sends MOVE between two lines and closes; the client reconnects through the load balancer in front.

        `kind` is the result of the leg. Does nothing unless the connection is established. One whose server
        has sent its last line is ended as that said."""
        if self.closed or not self.paired:
            return
        if self.server_connection.announced_end:
            self.server_connection.on_connection_ended()
            return
        self.node.counters["moved"] += 1
        self.write(b"MOVE\r\n")
        cause = {"why": self.call.move_cause} if reason == MOVE_ORDERED and self.call.move_cause else {}
        self.finish(reason, **cause)
        self.server_connection.end(kind, reason)

    def on_remote_end(self) -> None:
        """The client has closed or reset the connection."""
        self.finish("front" if self.pings and not self.call else f"client-{self.remote_end}", self.remote_end)
        self.abandon(model.COMPLETED if self.paired and self.remote_end == "fin" else model.CANCELLED)

    def abandon_if_closed(self) -> None:
        """Abandons the request if the client has closed, also if so far only the kernel knows.

        Otherwise a request could be sent to a server for a client that is gone."""
        if self.remote_closed():
            self.abandon(model.CANCELLED)

    def abandon(self, kind: str) -> None:
        """Ends the request, to which no answer is owed any more, and its leg, with the result `kind`."""
        if self.call and not self.call.done and not self.paired:
            self.call.done = True
            self.node.balancer.on_client_left(self.call)
        if self.server_connection:
            self.server_connection.end(kind, "client-gone", self.remote_end or "fin")
