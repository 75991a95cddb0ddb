"""Connections to servers: one for each leg, and what a host knows of a server beside its list entry.

Owns the way of a leg from connecting to its one result, the passing on of the server's lines, and the timing
of lines to their answers. It never chooses a server, never sends a second leg of its own accord, and writes
nothing to a server that a drain has been heard of.
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
from bellrack.net.pairing import ClientEnd
from bellrack.net.ring import Connection
from bellrack.net.start_times import Start

COLD_BUDGET = "cold-budget"  # why an attempt is not written: its server bears no more just now
PROBE_WAIT = 0.25  # seconds that a probe may take
SILENCE_SECONDS = (
    2.5  # an unanswered line this old: clients send every 2 s, looks come each second, 7 s are too long
)
SAID = 0.5  # seconds from a server's last line to its end of the connection; a client is owed that in one


class Endpoint:
    """A server as its host sees it: where it is, what stands there, how long lines take."""

    def __init__(self, name: str, address: tuple[str, int]):
        self.name, self.address = name, address
        self.start: Start | None = None  # the last that was listed
        self.connections: dict[ServerConnection, None] = {}  # standing
        self.line_times: list[float] = []  # by the answers since the last look
        self.was_late = False  # by those, as last told
        self.last_used = 0.0  # when it last was listed or stood for anything
        self.delay_reported_at = 0.0  # when the server itself last told how long messages take

    def take_line_time(self, now: float) -> float:
        """What a line takes here now: by the answers since the last look, else by the lines still out.

        The least of them: guards against a pause of our own that is taken for the server's."""
        took, self.line_times = self.line_times, []
        return min(
            took or [now - link.unanswered[0] for link in self.connections if link.unanswered], default=0.0
        )


class OutgoingConnection(Connection):
    """A connection that we open."""

    task: asyncio.Task | None = None  # while it is coming up
    local_failure = False  # it did not come up for want of something on our own machine

    def open(self, address: tuple[str, int], wait: float) -> None:
        self.task = self.node.loop.create_task(self._open(address, wait))

    async def _open(self, address: tuple[str, int], wait: float) -> None:
        self.node.limits.count_descriptors(1)  # the descriptor is there from the start
        sock = None
        try:
            sock = await self.connected(address, wait)
            # Guards against a pause of our own taken for a server out of reach: it is up or not, and a
            # line that went out meanwhile had run.
            sock.getpeername()
            await self.node.loop.create_connection(lambda: self, sock=sock)
        except OSError as error:
            self.remote_end = "refused" if isinstance(error, ConnectionRefusedError) else "unreached"
            self.local_failure = transient.is_local(error)
            self.wake()
        finally:
            if self.transport is None and sock is not None:
                sock.close()
            self.node.limits.count_descriptors(-1)

    async def connected(self, address: tuple[str, int], wait: float) -> socket.socket:
        """A socket that is up, or on which the time is over. What our own machine fails in for a moment is
        tried again: guards against requests refused, and servers blamed, for it."""
        loop = self.node.loop
        end = loop.time() + wait
        try_until = min(end, loop.time() + transient.CONNECT_RETRY_SECONDS)
        while True:
            sock = None
            try:
                sock = socket.socket(socket.AF_INET)  # fails where the kernel has no descriptor left
                sock.setblocking(False)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout_at(end):
                        await loop.sock_connect(sock, address)
                return sock
            except BaseException as error:
                if sock is not None:
                    sock.close()
                passes = isinstance(error, OSError) and transient.is_local(error)
                if not passes or loop.time() >= try_until:
                    raise
            await asyncio.sleep(transient.RETRY_INTERVAL_SECONDS)

    def on_connected(self) -> None:
        if self.closed:  # given up while it came up
            self.transport.abort()
        self.wake()

    def cancel_connect(self) -> None:
        """Stop connecting, if that is still under way."""
        if self.transport is None and self.task:
            self.task.cancel()


class ServerConnection(OutgoingConnection):
    """One leg."""

    side = "server"
    forwarded_counter = "lines_to_clients"

    def __init__(
        self, node: Any, leg: Leg, client: ClientEnd, until: float, resumed: bool = False, stood: bool = False
    ):
        super().__init__(node)
        self.leg, self.client, self.until, self.resumed = leg, client, until, resumed
        self.unanswered: deque[float] = deque()  # when the client's lines still unanswered went on
        self.request_sent = stood  # in another process before: it is up and needs no connecting
        self.announced_end = ""  # how the server said that the connection ends
        leg.host_record = client.server_connection = self
        self.timer = node.at(until, self.late)
        if not stood:
            # A resumed connection has no other server: it waits for the kernel to repeat the handshake.
            wait = math.inf if resumed else node.names.connect_timeout
            self.open(leg.server.host_record.address, min(wait, max(0.0, until - node.now)))

    @property
    def endpoint(self) -> Endpoint:
        return self.leg.server.host_record

    def log_fields(self) -> dict[str, Any]:
        return {"id": self.request_id}

    def ready(self) -> None:
        if self.client.remote_end and not self.leg.established:
            # Guards against a line sent, or an answer counted, for a client whose end came in the same batch.
            self.client.process()
        if not self.closed and not self.request_sent:
            self.client.abandon_if_closed()
        if not self.closed and not self.request_sent and not self.remote_end:
            self.speak()
        while not self.closed and not self.leg.established and (line := self.ring.take_line()):
            self.answered(line)
        if self.closed:
            return
        if self.leg.established:
            self.forward_lines()
        if self.ring.line_too_long and self.leg.established:
            self.client.move("line-too-long", model.RESET)
        elif self.ring.line_too_long:
            self.end(model.ERROR, "line-too-long", "rst")
        elif self.has_ended():
            self.lost()

    def speak(self) -> None:
        """The first byte goes out now, or the connection counts as never made."""
        if refusal := self.refusal():
            # Not the server's: guards against a cold one that counts as failing since it came up late.
            self.end(model.MOOT if refusal == COLD_BUDGET else model.NO_CONN, refusal)
        else:
            self.request_sent = True
            self.node.counters["upstream_requests"] += 1
            self.write(lines.with_remaining_wait(self.client.request_line, self.until - self.node.now))

    def refusal(self) -> str:
        """The one guard before a first line is written: why it must not be, or ''. It asks the clock itself,
        since the turn may have begun long ago."""
        now = self.node.clock()
        if self.answered_already():
            return "client-answered"
        if self.resumed:
            return ""
        if not self.leg.server.usable:
            return "drain-heard"  # while we connected
        if now >= self.leg.call.write_by:
            return "repeat-window-over"
        slow_start = self.node.balancer.slow_start
        if not slow_start.may_write(self.leg.server):
            return COLD_BUDGET
        may_write, allowed = self.node.invariants.may_write, slow_start.fleet_allowance(self.leg.server)
        return "" if may_write(self.leg, self.request_id, now, self.client.answered, allowed) else "invariant"

    @property
    def request_id(self) -> str:
        return self.client.request_line.id

    def answered_already(self) -> bool:
        """Is the client's answer out, or decided on in this batch and about to go out?"""
        return self.client.closed or self.leg.call.done

    def answered(self, line: bytes) -> None:
        kind, _ = lines.parse_server_line(line)
        if self.answered_already():
            # Guards against a leg that stands for nobody, and against a second answer behind the first.
            self.end(model.CANCELLED, "client-answered")
        elif kind == "up":
            self.timer.cancel()
            self.paired, self.client.paired = self.client, self
            self.endpoint.connections[self] = None
            self.client.write_final(line)
            self.node.on_connection_established(self.leg, self.resumed)
            self.client.wake()
        else:
            if kind == model.COMPLETED:
                self.client.write_final(line)
                self.client.count_outcome("failed")  # it was never up
            self.end(kind or model.ERROR, f"answer-{kind or 'unknown'}")

    def on_line(self, line: bytes) -> None:
        kind, rest = lines.parse_server_line(line)
        if kind in (model.COMPLETED, model.CANCELLED):
            # Guards against a server that hangs between its last line and the end that its client waits for.
            self.announced_end = kind
            self.node.after(SAID, self.lost)
        elif line.startswith(b"LOAD "):
            self.node.on_load_line(self.leg, rest)
        elif self.unanswered:
            self.endpoint.line_times.append(self.node.now - self.unanswered.popleft())

    def lost(self) -> None:
        """The server, or the way to it, has ended the connection, or has said so and not done it."""
        if self.closed:
            return
        if self.leg.established:
            # Guards against a reset that takes along the last line: who has said so has ended in order.
            self.client.finish(
                f"server-{self.announced_end or self.remote_end}",
                "fin" if self.announced_end else self.remote_end,
            )
            self.end(self.announced_end or model.RESET, self.announced_end or self.remote_end)
        elif not self.request_sent:
            self.end(model.MOOT if self.local_failure else model.NO_CONN, self.remote_end)
        else:
            self.end(model.RESET, self.remote_end)

    def late(self) -> None:
        if not self.leg.established:
            self.end(model.TIMEOUT if self.request_sent else model.NO_CONN, "timeout")

    def is_silent(self) -> bool:
        """No whole line comes back, and not because the client takes none. What is held of one says nothing:
        guards against a server that hangs in the middle of a line."""
        return (
            bool(self.unanswered)
            and self.node.now - self.unanswered[0] > SILENCE_SECONDS
            and not self.client.blocked
        )

    def end(self, kind: str, reason: str, how: str = "fin") -> None:
        """The leg's one result; the connection to the server ends with it."""
        if self.closed:
            return
        self.timer.cancel()
        self.cancel_connect()
        self.endpoint.connections.pop(self, None)
        attempt = len(self.leg.call.legs)
        self.finish(reason, how, server=self.endpoint.name, result=kind, attempt=attempt)
        self.client.server_connection = None
        self.node.on_leg_over(self, kind)


class Probe(OutgoingConnection):
    """One question for a server's health, or for its load report where probes bring one."""

    side = "probe"

    def __init__(self, node: Any, server: Server):
        super().__init__(node)
        self.server, self.begun, self.request_sent = server, node.now, False
        self.fields = len(node.settings.report)
        node.limits.probes_in_flight += 1
        self.node.after(PROBE_WAIT, self.over_with, model.TIMEOUT)
        self.open(server.host_record.address, PROBE_WAIT)

    def ready(self) -> None:
        if not self.request_sent and not self.remote_end:
            self.request_sent = True
            self.write(b"STATS\r\n" if self.fields else b"PING\r\n")
        line = (self.ring.take_line() or b"").strip()
        if line == b"PONG" and self.fields:
            line = (self.ring.take_line() or b"").strip()  # the report may stand on a line of its own
        if line == b"PONG" and not self.fields:
            self.over_with(model.COMPLETED)
        elif self.fields and (values := lines.parse_report(line, self.fields)):
            self.over_with(model.COMPLETED, values)
        elif line:
            self.node.counters["bad_reports"] += bool(self.fields)
            self.over_with(model.ERROR)
        elif self.remote_end:
            self.over_with(model.RESET if self.request_sent else model.NO_CONN)

    def over_with(self, kind: str, report: tuple[float, ...] = ()) -> None:
        if not self.closed:
            self.cancel_connect()
            self.node.limits.probes_in_flight -= 1
            self.node.counters[f"probe_{kind.replace(' ', '_')}"] += 1
            self.finish(kind, server=self.server.host_record.name)
            self.node.balancer.on_probe_result(self.server, Result(kind, self.node.now - self.begun, report))
