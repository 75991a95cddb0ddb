"""Connections to servers: one for each leg, the probes, and what a node records of a server's endpoint.

A `ServerConnection` takes its leg from connecting to its one result, forwards the server's lines, and times
the server's answers to lines. Which server is tried, and whether there is another attempt, is decided
elsewhere. No request is sent to a server once a drain of it is known.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import socket
from collections import deque
from typing import Any

from bellrack import model
from bellrack.model import Leg, Result, Server
from bellrack.net import lines, transient
from bellrack.net.connection import Connection
from bellrack.net.connection_state import Event
from bellrack.net.pairing import ClientEnd
from bellrack.net.start_times import Start

COLD_BUDGET = "cold-budget"  # reason not to send: the slow start of the server allows no request at present
PROBE_TIMEOUT_SECONDS = 0.25
# Age of an unanswered line from which its server counts as silent. Clients send a line every 2 s, servers are
# checked once a second, and 7 s would be too late.
SILENCE_SECONDS = 2.5
# From a server's last line (BYE, MOVE) until we close if the server has not; the client's connection must
# close within 1 s.
ANNOUNCED_END_SECONDS = 0.5
MAX_UNPIPELINED_LINES = 8  # unanswered lines of a client that does not wait for answers, but sends few
MAX_TIMED_LINES = 64  # unanswered lines of a client whose send times are kept
NOTICE_WORDS = (b"BYE", b"MOVE", b"LOAD")  # a server's lines that may mean something to us hold one of these
NOTICES_PER_TURN = 16  # lines of one server connection that are parsed one by one in a turn


class Endpoint:
    """The node's record of a server: its address, its established connections, how long lines take."""

    def __init__(self, name: str, address: tuple[str, int]):
        self.name, self.address = name, address
        self.start: Start | None = None  # the last start that was listed
        self.connections: dict[ServerConnection, None] = {}  # established
        self.shortest_line_time: float | None = None  # seconds to an answer, the least since the last check
        self.was_late = False  # whether the last check found its lines late
        self.last_used = 0.0  # when it was last listed or had an open leg
        self.delay_reported_at = 0.0  # when the server itself last reported how long messages take

    def on_line_time(self, seconds: float) -> None:
        """An answer to a line took so long."""
        if self.shortest_line_time is None or seconds < self.shortest_line_time:
            self.shortest_line_time = seconds

    def take_line_time(self, now: float) -> float:
        """Seconds that a line takes at present; forgets the answers that were timed so far.

        This is the least time of the answers since the last check, or, without answers, the least age of an
        unanswered line. The least, since a pause of this process lengthens the times of all lines that it
        reads afterwards and would otherwise be taken for a delay of the server."""
        shortest, self.shortest_line_time = self.shortest_line_time, None
        if shortest is not None:
            return shortest
        waiting = (one for one in self.connections if one.unanswered and not one.pipelined)
        return min((now - one.unanswered[0] for one in waiting), default=0.0)


class OutgoingConnection(Connection):
    """A connection that this process opens."""

    task: asyncio.Task | None = None  # connects
    request_sent = False
    local_failure = False  # connecting failed for want of a resource of this machine

    def open(self, address: tuple[str, int], wait: float) -> None:
        """Starts connecting, for `wait` seconds at most. `ready` runs when it succeeds or fails."""
        self.task = self.node.loop.create_task(self._open(address, wait))

    async def _open(self, address: tuple[str, int], wait: float) -> None:
        self.node.limits.count_descriptors(1)  # the descriptor is in use from the start of the handshake
        sock = None
        try:
            sock = await self.connect_with_retries(address, wait)
            # Raises if the socket is not connected. The timeout covers the handshake alone: if this process
            # was paused past the timeout, an established connection must not count as an unreachable server,
            # and a request that was written meanwhile must not count as never sent.
            sock.getpeername()
            await self.node.loop.create_connection(lambda: self, sock=sock)
        except OSError as error:
            self.remote_end = "refused" if isinstance(error, ConnectionRefusedError) else "unreached"
            self.local_failure = transient.is_local(error)
            self.wake()
        finally:
            if self.transport is None:
                self.on_event(Event.LOSE)
                if sock is not None:
                    sock.close()
            self.node.limits.count_descriptors(-1)

    async def connect_with_retries(self, address: tuple[str, int], wait: float) -> socket.socket:
        """Returns a socket that is connected, or on which connecting timed out after `wait` seconds.

        Transient errors of this machine are retried for CONNECT_RETRY_SECONDS, so that neither a request
        fails nor a server is blamed for them. Raises the OSError of any other failure."""
        loop = self.node.loop
        end = loop.time() + wait
        retry_until = min(end, loop.time() + transient.CONNECT_RETRY_SECONDS)
        while True:
            sock = None
            try:
                sock = socket.socket(socket.AF_INET)  # fails if the kernel has no descriptor left
                sock.setblocking(False)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout_at(end):
                        await loop.sock_connect(sock, address)
                return sock
            except BaseException as error:
                if sock is not None:
                    sock.close()
                may_retry = isinstance(error, OSError) and transient.is_local(error)
                if not may_retry or loop.time() >= retry_until:
                    raise
            await asyncio.sleep(transient.RETRY_INTERVAL_SECONDS)

    def on_connected(self) -> None:
        self.wake()

    def close_late(self) -> None:
        """Aborts a connection that was given up while connecting; nothing was sent on it."""
        if self.request_sent:
            super().close_late()
        else:
            self.transport.abort()

    def cancel_connect(self) -> None:
        """Stops connecting, if that is still under way."""
        if self.transport is None and self.task:
            self.task.cancel()


class ServerConnection(OutgoingConnection):
    """The connection of one leg: it sends the request, and once established forwards lines to the client."""

    side = "server"
    forwarded_counter = "lines_to_clients"

    def __init__(
        self,
        node: Any,
        leg: Leg,
        client: ClientEnd,
        deadline: float,
        resumed: bool = False,
        established: bool = False,
    ):
        """Connects, unless `established`: then a hot restart has handed the connection over to this process.

        `deadline`: time by which the server must have answered. `resumed`: the client's connection is one."""
        super().__init__(node)
        self.leg, self.client, self.deadline, self.resumed = leg, client, deadline, resumed
        self.unanswered: deque[float] = deque()  # when each unanswered line of the client was forwarded
        # Whether lines wait behind the client's own: how long these take says nothing of the server.
        self.pipelined = False
        self.request_sent = established
        self.announced_end = ""  # result announced by the server's last line: completed or cancelled
        self.ends_by = math.inf  # when both sides are ended if the server has announced its end and hangs
        self.end_timer: asyncio.TimerHandle | None = None
        leg.host_record = client.server_connection = self
        self.deadline_timer = node.at(deadline, self.on_deadline)
        if not established:
            # A resumed connection has no other server: it waits while the kernel retries the handshake.
            wait = math.inf if resumed else node.names.connect_timeout
            self.open(leg.server.host_record.address, min(wait, max(0.0, deadline - node.now)))

    @property
    def endpoint(self) -> Endpoint:
        """The record of the leg's server."""
        return self.leg.server.host_record

    def log_fields(self) -> dict[str, Any]:
        return {"id": self.request_id}

    def ready(self) -> None:
        if self.client.remote_end and not self.leg.established:
            # The client closed in the same batch. It is handled first, so that nothing is sent for it and the
            # server's answer is not counted.
            self.client.process()
        if not self.closed and not self.request_sent:
            self.client.abandon_if_closed()
        if not self.closed and not self.request_sent and not self.remote_end:
            self.send_request_line()
        while not self.closed and not self.leg.established and (line := self.received.take_line()):
            self.on_answer(line)
        if self.closed:
            return
        if self.leg.established:
            self.forward_lines()
        if self.received.line_too_long and self.leg.established:
            self.client.move("line-too-long", model.RESET)
        elif self.received.line_too_long:
            self.end(model.ERROR, "line-too-long", "rst")
        elif self.has_ended():
            self.on_connection_ended()

    def send_request_line(self) -> None:
        """Sends the request, or ends the leg as never sent if it must not be sent any more."""
        if reason := self.reason_not_to_send():
            # A slow start budget that is spent by the time a connection is up is no failure of the server.
            self.end(model.MOOT if reason == COLD_BUDGET else model.NO_CONN, reason)
        else:
            self.request_sent = True
            self.node.counters["upstream_requests"] += 1
            self.write(lines.with_remaining_wait(self.client.request_line, self.deadline - self.node.now))

    def reason_not_to_send(self) -> str:
        """Why the request must not be sent to this server now; empty if it may be.

        This is the only check before a request is written. It reads the clock itself, since `node.now` may be
        old: the turn may have begun long ago."""
        now = self.node.clock()
        if self.client_is_answered():
            return "client-answered"
        if self.resumed:
            return ""
        if not self.leg.server.usable:
            return "drain-heard"  # while connecting
        if now >= self.leg.call.write_by:
            return "repeat-window-over"
        slow_start = self.node.balancer.slow_start
        if not slow_start.may_write(self.leg.server):
            return COLD_BUDGET
        may_write, allowed = self.node.invariants.may_write, slow_start.fleet_allowance(self.leg.server)
        return "" if may_write(self.leg, self.request_id, now, self.client.answered, allowed) else "invariant"

    @property
    def request_id(self) -> str:
        """The id on the client's request line."""
        return self.client.request_line.id

    def client_is_answered(self) -> bool:
        """Whether the client has its answer, or will get it at the end of this turn."""
        return self.client.closed or self.leg.call.done

    def on_answer(self, line: bytes) -> None:
        """Handles the server's answer to the request: UP establishes the connection, others end the leg."""
        kind, _ = lines.parse_server_line(line)
        if self.client_is_answered():
            # Otherwise a connection would be established for a client that is gone, or the client would get a
            # second answer.
            self.end(model.CANCELLED, "client-answered")
        elif kind == "up":
            self.deadline_timer.cancel()
            self.paired, self.client.paired = self.client, self
            self.endpoint.connections[self] = None
            self.client.write_final(line)
            self.node.on_connection_established(self.leg, self.resumed)
            self.client.wake()
        else:
            if kind == model.COMPLETED:
                self.client.write_final(line)
                self.client.count_outcome("failed")  # the connection was never established
            self.end(kind or model.ERROR, f"answer-{kind or 'unknown'}")

    def on_lines_sent(self, count: int) -> None:
        """So many lines of the client are forwarded now. The oldest time shows how long the server has been
        silent, so later ones may be left out."""
        for _ in range(min(count, MAX_TIMED_LINES - len(self.unanswered))):
            self.unanswered.append(self.node.now)
        self.pipelined = self.pipelined or len(self.unanswered) > MAX_UNPIPELINED_LINES

    def take_forwardable(self) -> bytes:
        if not self.received.contains_any(NOTICE_WORDS):
            answers = self.received.take_lines()
            self.on_answers(answers.count(b"\n"))
            return answers
        taken, load = [], None
        while len(taken) < NOTICES_PER_TURN and (line := self.received.take_line()):
            taken.append(line)
            kind, rest = lines.parse_server_line(line)
            if kind in (model.COMPLETED, model.CANCELLED):
                self.announce_end(kind, self.node.now + ANNOUNCED_END_SECONDS)
            elif line.startswith(b"LOAD "):
                load = rest  # of several that came together the last one holds
            else:
                self.on_answers(1)
        if load is not None:
            self.node.on_load_line(self.leg, load)
        if len(taken) == NOTICES_PER_TURN:
            self.wake()  # the other connections come first
        return b"".join(taken)

    def on_answers(self, count: int) -> None:
        """The server has sent so many lines, each an answer to one of the client's."""
        for _ in range(min(count, len(self.unanswered))):
            sent = self.unanswered.popleft()
            if not self.pipelined:
                self.endpoint.on_line_time(self.node.now - sent)
        self.pipelined = self.pipelined and bool(self.unanswered)

    def announce_end(self, kind: str, ends_by: float) -> None:
        """The server has sent its last line, which means the result `kind`.

        Both sides end at the time `ends_by` at the latest: the client waits for that, also if the server
        hangs."""
        if self.end_timer is None:  # a server may repeat the line
            self.ends_by = ends_by
            self.end_timer = self.node.at(ends_by, self.on_connection_ended)
        self.announced_end = kind

    def on_connection_ended(self) -> None:
        """The server or the network has ended the connection, or the server announced its end and hangs."""
        if self.closed:
            return
        if self.leg.established:
            # A reset would discard the last line on its way to the client. A server that announced the end
            # has ended in order, even if a reset follows.
            self.client.finish(
                f"server-{self.announced_end or self.remote_end}",
                "fin" if self.announced_end else self.remote_end,
            )
            self.end(self.announced_end or model.RESET, self.announced_end or self.remote_end)
        elif not self.request_sent:
            self.end(model.MOOT if self.local_failure else model.NO_CONN, self.remote_end)
        else:
            self.end(model.RESET, self.remote_end)

    def on_deadline(self) -> None:
        """Ends the leg if the server has not answered in time."""
        if not self.leg.established:
            self.end(model.TIMEOUT if self.request_sent else model.NO_CONN, "timeout")

    def is_silent(self) -> bool:
        """Whether the server has left a line unanswered for SILENCE_SECONDS while the client accepts data.

        Part of a line is no answer: a server may hang in the middle of one."""
        return (
            bool(self.unanswered)
            and self.node.now - self.unanswered[0] > SILENCE_SECONDS
            and not self.client.blocked
        )

    def cancel_timers(self) -> None:
        """Drops the timers of the leg. They would hold its connections and buffers until they expire."""
        self.deadline_timer.cancel()
        if self.end_timer:
            self.end_timer.cancel()

    def end(self, kind: str, reason: str, how: str = "fin") -> None:
        """Ends the leg with its one result, `kind`, and closes the connection; see `Connection.finish`."""
        if self.closed:
            return
        self.cancel_timers()
        self.cancel_connect()
        self.endpoint.connections.pop(self, None)
        attempt = len(self.leg.call.legs)
        self.finish(reason, how, server=self.endpoint.name, result=kind, attempt=attempt)
        self.client.server_connection = None
        self.node.on_leg_over(self, kind)


class Probe(OutgoingConnection):
    """A health check of one server: PING, or STATS if probes fetch a load report."""

    side = "probe"

    def __init__(self, node: Any, server: Server):
        super().__init__(node)
        self.server, self.started_at, self.request_sent = server, node.now, False
        self.report_fields = len(node.settings.report)
        node.limits.probes_in_flight += 1
        self.expire_after(PROBE_TIMEOUT_SECONDS, self.complete, model.TIMEOUT)
        self.open(server.host_record.address, PROBE_TIMEOUT_SECONDS)

    def ready(self) -> None:
        if not self.request_sent and not self.remote_end:
            self.request_sent = True
            self.write(b"STATS\r\n" if self.report_fields else b"PING\r\n")
        line = (self.received.take_line() or b"").strip()
        if line == b"PONG" and self.report_fields:
            line = (self.received.take_line() or b"").strip()  # the report may follow on a line of its own
        if line == b"PONG" and not self.report_fields:
            self.complete(model.COMPLETED)
        elif self.report_fields and (values := lines.parse_report(line, self.report_fields)):
            self.complete(model.COMPLETED, values)
        elif line:
            self.node.counters["bad_reports"] += bool(self.report_fields)
            self.complete(model.ERROR)
        elif self.remote_end:
            self.complete(model.RESET if self.request_sent else model.NO_CONN)

    def complete(self, kind: str, report: tuple[float, ...] = ()) -> None:
        """Closes the probe and tells the balancer its result, `kind`, with the values of the report."""
        if not self.closed:
            self.cancel_connect()
            self.expire_after(None)
            self.node.limits.probes_in_flight -= 1
            self.node.counters[f"probe_{kind.replace(' ', '_')}"] += 1
            self.finish(kind, server=self.server.host_record.name)
            self.node.balancer.on_probe_result(
                self.server, Result(kind, self.node.now - self.started_at, report)
            )
