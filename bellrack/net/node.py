"""One balancer on sockets: hosts the decisions (`choice.Balancer`) and carries out what they order.

A node keeps the accounts of calls and legs, passes the clients' requests to the decisions, and starts and
ends the process. It chooses no server itself. An error with one connection does not end the process, and no
attempt is begun for a client that the kernel reports as closed.
"""

from __future__ import annotations

import asyncio
import signal
import socket
from typing import Any

from bellrack import model, start_signals
from bellrack.accounting import Accounting
from bellrack.model import Call, Leg, Result, Server
from bellrack.net import limits, lines, log, metrics, reload, server_list, startup, transient
from bellrack.net.clients import MOVE_ORDERED, ClientConnection
from bellrack.net.config import Config
from bellrack.net.control import AdminConnection
from bellrack.net.discovery import Discovery
from bellrack.net.hot_restart import HotRestart
from bellrack.net.invariants import Invariant, Invariants
from bellrack.net.listeners import Listeners
from bellrack.net.peer_socket import MAX_DATAGRAM_BYTES, PeerSocket
from bellrack.net.readiness import Readiness
from bellrack.net.request_ids import RequestIds
from bellrack.net.resumed import ResumedConnections
from bellrack.net.server_watch import ServerWatch
from bellrack.net.servers import Endpoint, Probe, ServerConnection
from bellrack.net.shutdown import Shutdown
from bellrack.net.turns import TurnLoop

# Seconds after the start to wait for discovery before a list from before the start is used.
KNOWN_LIST_WAIT = 2.0


class Node(TurnLoop, Accounting):
    """The process's one balancer with its sockets and timers; the `Host` of the decisions."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop):
        TurnLoop.__init__(self, loop, log.Counters())
        self.config, self.names = config, config.names
        self.clients: dict[ClientConnection, None] = {}
        # Operators whose request is not complete, oldest first.
        self.admin_connections: dict[AdminConnection, None] = {}
        self.peers: PeerSocket | None = None
        self.limits = limits.Limits(config.sockets)
        self.started_at = self.clock()
        self.resumed = ResumedConnections(self, self.started_at, limits.FIRST_LINE_SECONDS)
        self.limits.expects_resumed = self.resumed.expects_more
        self.takes_requests = True  # False while it listens before it is ready
        # Where discovery pushes lists (`asks` is off), the list that it has counts as known to this process
        # from the start, so an older one is not used at once.
        self.readiness, self.readiness_changed = (
            Readiness(self.started_at, KNOWN_LIST_WAIT, config.settings.asks),
            asyncio.Event(),
        )
        self.shutdown: Shutdown | None = None
        self.finished = asyncio.Event()
        self.discovery = Discovery(self, config.discovery)
        self.server_list = server_list.ServerList(self)
        self.server_watch = ServerWatch(self)
        self.request_ids = RequestIds(self)
        self.listeners = Listeners(self)
        self.hot_restart = HotRestart(self)
        Accounting.__init__(self, config.settings, config.seed, self.clock())
        self.invariants = Invariants(self.counters, config.settings)

    def log_end(self, connection: Any, reason: str, fields: dict) -> None:
        """Counts and logs the end of a connection; one without a transport is logged as not attached."""
        self.counters[f"ended_{connection.side}"] += 1
        if connection.handed_over_to_us and connection.transport is None:
            self.counters["ended_before_attach"] += 1
            fields = fields | {"attached": False}
        log.event(
            "ended",
            side=connection.side,
            reason=reason,
            connection=connection.number,
            **connection.log_fields(),
            **fields,
        )

    # The `Host` of the decisions. Orders are carried out once the decisions have had all events of the turn.

    def send(self, call: Call, server: Server, until: float) -> Leg:
        """Begins an attempt of a call at a server, which must answer before `until`."""
        leg, server.last_attempted, server.needs_attempt = self.begin_leg(call, server), self.now, False
        self.queue_action(self.connect, leg, until)
        return leg

    def cancel(self, leg: Leg) -> None:
        """Ends a leg that is not established."""
        self.queue_action(self.cancel_leg, leg)

    def reject(self, call: Call, wait: float = 0.0) -> None:
        """Answers BUSY; `wait`: seconds after which the client should retry, 0 to name none."""
        self.answer(call, lines.busy_line(min(wait, self.settings.max_open_wait)), "rejected")

    def release(self, call: Call) -> None:
        """Answers ERR, which invites no retry: the request may have run."""
        self.answer(call, b"ERR\r\n", "released")

    def move(self, call: Call) -> None:
        """Moves the client of an established connection, unless the run may not have begun yet."""
        if self.resumed.holds_back_move(call.legs[-1]):
            self.queue_action(self.may_move_later, call.legs[-1])
        else:
            self.queue_action(call.host_record.move, MOVE_ORDERED)

    def watch(self, on: bool = True) -> None:
        """Keeps a watch on the list of servers open, or closes it."""
        self.queue_action(self.discovery.watch, on)

    def fetch_list(self) -> None:
        """Asks discovery for the whole list once."""
        self.queue_action(self.discovery.fetch)

    def probe(self, server: Server) -> None:
        """Probes a server; the result goes to `on_probe_result`."""
        self.queue_action(self.start_probe, server)

    def send_datagram(self, peer: int | None, data: bytes) -> None:
        """Sends a datagram to a peer, or to all if None; one that is too long is dropped."""
        if self.peers and len(data) <= MAX_DATAGRAM_BYTES:
            self.queue_action(self.peers.send, peer, data)

    def set_timer(self, when: float, token: Any) -> None:
        """Calls `on_timer(token)` of the decisions at the time `when`, unless the token is a call that has
        its final answer by then."""
        timer = self.at(when, self.on_timer, token)
        if isinstance(token, Call):
            token.host_record.answer_timer = timer

    def log(self, text: str) -> None:
        """Logs a change of mode of the decisions."""
        log.event("mode", text=text)

    def on_timer(self, token: Any) -> None:
        """A timer of the decisions has expired; `token` is what they passed to `set_timer`."""
        self.balancer.on_timer(token)

    def answer(self, call: Call, line: bytes, reason: str) -> None:
        """Ends a call with `line` as its final answer; `reason` is "rejected" or "released"."""
        call.done = True
        self.counters[reason] += 1
        call.host_record.count_outcome("rejected" if reason == "rejected" else "failed")
        self.queue_action(call.host_record.answer, line, reason)

    def connect(self, leg: Leg, deadline: float) -> None:
        """Opens the connection of a leg, unless its client is gone or descriptors are short."""
        client: ClientConnection = leg.call.host_record
        if not leg.call.done:
            client.abandon_if_closed()
        if leg.call.done:
            self.leg_ended(leg, Result(model.MOOT), True)
        elif self.limits.lacks(limits.DESCRIPTORS_PER_ATTEMPT):  # nothing was sent, so it cannot have run
            self.leg_ended(leg, Result(model.MOOT), False)
        else:
            self.counters["legs"] += 1
            ServerConnection(self, leg, client, deadline)

    def start_probe(self, server: Server) -> None:
        """Sends a probe, unless too many are in flight."""
        if server.host_record and self.limits.may_probe():
            self.counters["probes"] += 1
            Probe(self, server)
        else:
            self.counters["probes_held_back"] += 1

    def cancel_leg(self, leg: Leg) -> None:
        """Ends a leg that is not established."""
        if leg.host_record and not leg.established:
            leg.host_record.end(model.CANCELLED, "cancelled")

    # Events of connections.

    def on_request_line(self, client: ClientConnection) -> None:
        """Creates the call of a well-formed request line and passes it to the decisions.

        Raises LineError with a reason code if its fields do not fit the settings or the state."""
        request_line = client.request_line
        values, wait = request_line.values, request_line.number("d")
        kind = self.names.types.get(values.get("c", ""))
        if kind is None:
            raise lines.LineError("unknown-type")
        wait = self.names.default_timeouts[kind] if wait is None else wait / 1000
        resumes = "at" in values
        if not resumes and wait > limits.MAX_WAIT_SECONDS:  # resumed connections ask to wait for an hour
            raise lines.LineError("bad-d")
        # A resumed connection keeps its id on a retry, so for it only open ids count as taken.
        if self.request_ids.is_taken(request_line.id_hash, resumes):
            raise lines.LineError("id-known")
        if resumes and not self.resumed.window.admits(self.now):
            raise lines.LineError("late-at")
        tenant = self.names.tenants.get(values.get("t", ""), 0)
        if "t" in values and self.names.tenants and values["t"] not in self.names.tenants:
            raise lines.LineError("unknown-tenant")
        call = self.new_call(
            kind,
            wait,
            key=request_line.key,
            group=request_line.number("g", 16) or 0,
            tenant=tenant,
            repeat=values.get("r") == "1",
            returned=values.get("again") == "1",
        )
        self.counters["calls"] += 1
        call.host_record, client.call = client, call
        self.request_ids.on_taken(client)
        self.limits.untrack(client)
        client.expire_after(None)
        if resumes:
            self.resumed.admit(client, wait if "d" in values else None)
            return
        self.resumed.window.on_request()
        if not self.takes_requests or self.shutdown and not self.shutdown.admits_requests:
            # Nothing was sent, so a retry is safe; the load balancer in front sends it to another balancer.
            call.refusal = "not-ready" if not self.takes_requests else "shutdown"
            self.reject(call)
        else:
            if not self.readiness.may_open(self.now):
                self.invariants.violated(Invariant.SERVED_UNREADY, request_line.id)
            self.balancer.on_call(call)

    def on_connection_established(self, leg: Leg, resumed: bool) -> None:
        """The server has accepted the request of a leg; `resumed`: of a resumed connection."""
        self.counters["stood"] += 1
        if resumed:
            self.resumed.on_established(leg.call.host_record)
            leg.call.legs.append(leg)
            self.resume_leg(leg)
        else:
            leg.call.host_record.count_outcome("completed")
            leg.server.last_accepted = max(leg.server.last_accepted, leg.sent)
            self.leg_established(leg)
        if self.shutdown and not self.hot_restart.handoff_sender:
            self.queue_action(leg.call.host_record.move, MOVE_ORDERED)

    def on_leg_over(self, connection: ServerConnection, kind: str) -> None:
        """The leg of `connection` has ended with the result `kind`."""
        leg = connection.leg
        self.counters[f"leg_{kind.replace(' ', '_')}"] += 1
        if connection.resumed and not leg.established:
            self.resumed.on_attempt_ended(connection, kind)
        else:
            self.leg_ended(leg, Result(kind, self.now - leg.sent), leg.established or kind == model.COMPLETED)
        if kind == model.COMPLETED:
            connection.client.finish("completed")

    def on_load_line(self, leg: Leg, text: str) -> None:
        """Handles a LOAD line: a delay in milliseconds if servers report delays and no loads, else a load.

        Delays come once a second, on one connection per server, while they are over a third of the shortest
        message aim, and once more when they are below it. Lines are answered within 3 ms all that time, so
        timing them does not show the delay."""
        value = lines.parse_number(text)
        if value is None:
            return  # malformed; this says nothing about the server
        endpoint: Endpoint = leg.server.host_record
        if self.names.reports_delay and not self.names.reports_load:
            endpoint.delay_reported_at = self.now
            self.counters["late_notices"] += 1
            self.balancer.on_delay_reported(leg, value / 1000)
        else:
            leg.load = value

    # Start and end of the process.

    async def serve(self) -> None:
        """Runs the balancer from its start to the end of its shutdown."""
        server_list.load_known(self)
        if not self.settings.asks:
            self.watch()
        self.queue(self.server_watch.check)
        self.queue(self.discovery.check_watch)
        self.queue(self.request_ids.start_sweeps)
        if self.config.peer_listen:
            self.peers = await transient.retry(lambda: PeerSocket.open(self))
        self.handle_signals()
        await transient.retry(self.listeners.open_admin)
        predecessor = await self.hot_restart.find_predecessor()
        await startup.wait_until_ready(self, alone=predecessor is None)
        if not self.shutdown:  # otherwise clients would be accepted only to be turned away
            await self.take_requests(predecessor.listening_socket if predecessor else None)
        await self.finished.wait()
        self.invariants.check_exit(self.clients)
        self.listeners.close()
        self.hot_restart.close()
        self.log_counters()
        self.stop()

    def handle_signals(self) -> None:
        """Installs the signal handlers, and handles signals that came before them."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.queue, self.begin_shutdown)
        self.loop.add_signal_handler(signal.SIGHUP, self.queue, reload.reload, self)
        self.loop.add_signal_handler(signal.SIGUSR1, self.queue, self.log_counters)
        if start_signals.claim(signal.SIGHUP):
            self.queue(reload.reload, self)
        if start_signals.claim(signal.SIGUSR1):
            self.queue(self.log_counters)

    async def take_requests(self, listening: socket.socket | None) -> None:
        """Opens the clients' listener, on a predecessor's socket `listening` if there is one."""
        if not self.listeners.listener:
            await transient.retry(lambda: self.listeners.open(listening))
        self.takes_requests = True
        if listening:
            self.balancer.slow_start.suspend(False)  # the predecessor has issued what was due until now
        self.hot_restart.publish(took=True)
        self.address = self.listeners.socket.getsockname()
        log.event(
            "serving",
            name=self.config.name,
            listen=lines.format_address(self.address),
            servers=len(self.servers),
            weights="live" if self.settings.live else "nominal",
            report=",".join(self.settings.report) or "none",
            after=listening is not None,
        )

    def can_serve(self) -> bool:
        """Whether it accepts requests and has a list: from discovery or, if that is late, from before."""
        listening = self.takes_requests and self.listeners.listener is not None
        return listening and self.readiness.has_usable_list(self.clock()) and not self.shutdown

    def log_counters(self) -> None:
        """Logs the counters that operators get from the admin address, as one line."""
        log.event("counters", **metrics.collect(self), longest_turn_us=int(1e6 * self.longest_turn))

    def begin_shutdown(self) -> None:
        """Begins to shut down: moves connections, spread over the time limit, and ends once none is left."""
        self.shutdown = self.shutdown or Shutdown(self)
        self.readiness_changed.set()


def run(config: Config) -> None:
    """Runs a balancer with this configuration until it has shut down."""
    log.configure()
    start_signals.install()

    async def main() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(
            lambda _, context: log.event(
                "loop", what=context.get("message", ""), error=repr(context.get("exception", ""))
            )
        )
        await Node(config, loop).serve()
        start_signals.block()

    asyncio.run(main())
