"""A balancer on virtual time: a `Host` of the decisions that acts on the simulated world.

Does what `bellrack/net/node.py` does on sockets: reports events to the decisions, runs timers, gives each leg
exactly one result and shuts down. Orders that the decisions give during an event are carried out after it, as
on sockets. The choice of servers is left to the decisions.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from bellrack import model
from bellrack.accounting import Accounting
from bellrack.lab.event_queue import ARRIVAL, LIST_UPDATE, RESULT, TIMER
from bellrack.model import Call, Leg, Result, Server, Settings
from bellrack.net import shutdown

if TYPE_CHECKING:
    from bellrack.lab.clients import Attempt
    from bellrack.lab.machine import Machine
    from bellrack.lab.world import World

MAX_LOG_LINES = 200  # log lines of the decisions that a run keeps
WATCH_RETRY_SECONDS = 1.0  # until a watch that ended is opened again, where the host holds the watch
# Clients of a silent server are moved when it has sent nothing for a time in this range.
SILENCE_SECONDS = (4.5, 5.5)


class LegRecord:
    """The world's record of a leg, from when it is sent until it ends."""

    __slots__ = (
        "attempt",
        "leg",
        "machine",
        "node",
        "number",
        "sent",
        "starts",
        "delay",
        "over",
        "up",
        "established",
        "link",
    )

    def __init__(self, attempt: Attempt, leg: Leg, machine: Machine, number: int, sent: float, delay: float):
        self.attempt, self.leg, self.machine, self.number = attempt, leg, machine, number
        self.node, self.sent, self.delay = attempt.node, sent, delay
        self.starts = machine.starts
        self.over = False  # the balancer has its result
        self.up = False  # the connection is up at the server
        self.established = False  # the balancer knows that it is up
        self.link: Any = None  # on sockets: the server's side of the connection


class BalancerRecord:
    """The world's record of one balancer, in a virtual-time run and in a loopback run.

    Holds its identity, the state of each server as discovery told it, and its calls; the `record_*` methods
    write its events to the trace and to the counters.
    """

    def __init__(self, world: World, name: str, number: int, zone: int, incarnation: int):
        self.world, self.name, self.number, self.zone = world, name, number, zone
        self.incarnation, self.alive, self.shutting_down = incarnation, True, False
        self.told: dict[Machine, tuple[str, float]] = {}  # state and start of each server, as told
        self.discovery_failed = False  # its last request to discovery failed
        self.last_arrival = 0.0  # when the last line of the list arrives
        self.attempts: dict[Attempt, None] = {}  # attempts here that have not ended

    def record_told(self, machine: Machine, state: str, since: float) -> None:
        """Discovery told the balancer the state of a server."""
        if self.told.get(machine) != (state, since):
            self.told[machine] = state, since
            self.world.trace.add(self.world.now, "told", self.name, machine.name, state)

    def record_call(self, attempt: Attempt) -> None:
        """The balancer received a request."""
        demand = attempt.demand
        self.world.counters["calls"] += 1
        self.world.trace.add(
            self.world.now, "call", attempt.id, self.name, demand.request, demand.type, attempt.guard
        )

    def record_stood(self, attempt: Attempt, machine: Machine) -> None:
        """The connection was established before the run."""
        self.world.trace.add(self.world.now, "stood", attempt.id, self.name, machine.name)

    def record_answer(self, attempt: Attempt, how: str, wait: float = 0.0) -> None:
        """The balancer answered; `wait` is the retry delay (seconds) that it told the client."""
        self.world.counters[how] += 1
        self.world.trace.add(self.world.now, "answer", attempt.id, how, wait)

    def record_back(self, leg_record: LegRecord, kind: str) -> None:
        """The balancer got the result of a leg."""
        self.world.counters[f"leg_{kind.replace(' ', '_')}"] += 1
        self.world.trace.add(self.world.now, "back", leg_record.attempt.id, leg_record.number, kind)

    def record_stop(self, how: str) -> None:
        """The balancer ended."""
        self.alive = False
        self.world.discovery.watching.pop(self, None)
        self.world.trace.add(self.world.now, "stop", self.name, how)


class VirtualNode(BalancerRecord, Accounting):
    """One incarnation of a balancer; `balancer_class(settings, seed, host)` makes its decisions."""

    def __init__(
        self,
        world: World,
        name: str,
        number: int,
        zone: int,
        incarnation: int,
        settings: Settings,
        seed: int,
        balancer_class: Callable[..., Any],
    ):
        BalancerRecord.__init__(self, world, name, number, zone, incarnation)
        self.machines: dict[int, Machine] = {}  # by id hash
        Accounting.__init__(self, settings, seed, world.now, balancer_class)

    # Events.

    def turn(self, callback: Callable, *values: Any) -> None:
        """Handles one event now. An exception is recorded and ends neither the run nor other calls, as on
        sockets."""
        if not self.alive:
            return
        self.now = self.world.now
        try:
            callback(*values)
        except Exception as error:
            self.world.counters["faults"] += 1
            self.world.trace.add(self.now, "fault", self.name, repr(error))

    def schedule_now(self, callback: Callable, *values: Any) -> None:
        """Runs the callback as an event of its own once the present one is over."""
        self.world.event_queue.schedule_after(0.0, RESULT, self.turn, callback, *values)

    # The `Host` of the decisions (model.py).

    def send(self, call: Call, server: Server, until: float) -> Leg:
        leg = self.begin_leg(call, server)
        attempt: Attempt = call.host_record
        machine = self.machines[server.id_hash]
        leg_record = LegRecord(
            attempt, leg, machine, len(call.legs), self.now, self.world.delay(self.zone, machine.zone)
        )
        leg.host_record = leg_record
        self.world.legs.open_leg(leg_record, until)
        return leg

    def cancel(self, leg: Leg) -> None:
        if not leg.established:
            self.schedule_now(self.end_leg, leg.host_record, model.CANCELLED)

    def reject(self, call: Call, wait: float = 0.0) -> None:
        self.answer(call, "rejected", min(wait, self.settings.max_open_wait))

    def release(self, call: Call) -> None:
        self.answer(call, "released")

    def answer(self, call: Call, how: str, wait: float = 0.0) -> None:
        """Sends the final answer, other than that the connection is established."""
        call.done = True
        attempt: Attempt = call.host_record
        self.record_answer(attempt, how, wait)
        self.attempts.pop(attempt, None)
        self.world.event_queue.schedule_after(attempt.delay, ARRIVAL, attempt.on_answer, how, wait)

    def move(self, call: Call) -> None:
        self.schedule_now(self.move_client, call.host_record, model.CANCELLED)

    def watch(self, on: bool = True) -> None:
        self.world.discovery.watch(self, on)

    def fetch_list(self) -> None:
        self.world.discovery.fetch(self)

    def probe(self, server: Server) -> None:
        self.world.counters["probes"] += 1
        machine, delay = self.machines[server.id_hash], self.world.delay(self.zone, 0)
        kind = model.COMPLETED if machine.up else model.NO_CONN
        wait = 2 * delay + (machine.message_delay(self.now) if machine.up else 0.0)
        self.world.event_queue.schedule_after(
            wait, RESULT, self.turn, self.balancer.on_probe_result, server, Result(kind, wait)
        )

    def send_datagram(self, peer: int | None, data: bytes) -> None:
        self.world.send_datagram(self, peer, data)

    def set_timer(self, when: float, token: Any) -> None:
        self.world.event_queue.schedule_at(when, TIMER, self.turn, self.on_timer, token)

    def on_timer(self, token: Any) -> None:
        self.balancer.on_timer(token)

    def log(self, text: str) -> None:
        if len(self.world.log_lines) < MAX_LOG_LINES:
            self.world.log_lines.append((self.now, self.name, text))

    # Events from clients, servers and discovery.

    def start_call(self, attempt: Attempt) -> None:
        """A client's request arrived."""
        demand = attempt.demand
        call = self.new_call(
            demand.type,
            attempt.guard - self.now,
            key=demand.key,
            group=demand.group,
            tenant=demand.tenant,
            repeat=attempt.repeat,
            returned=demand.returned,
        )
        call.host_record, attempt.call = attempt, call
        self.attempts[attempt] = None
        self.record_call(attempt)
        if self.shutting_down:
            self.reject(call)
        else:
            self.balancer.on_call(call)

    def on_setup_done(self, leg_record: LegRecord) -> None:
        """The server reported that the connection is up."""
        if leg_record.over:
            return
        if leg_record.leg.call.done:
            self.end_leg(leg_record, model.CANCELLED)  # nobody waits for it any more
            return
        self.record_answer(leg_record.attempt, "completed")
        self.world.event_queue.schedule_after(
            leg_record.attempt.delay, ARRIVAL, leg_record.attempt.on_answer, "completed", 0.0
        )
        leg_record.established = True
        self.leg_established(leg_record.leg)
        if self.shutting_down:
            self.move(leg_record.leg.call)

    def end_leg(self, leg_record: LegRecord, kind: str) -> None:
        """Reports the one result of the leg to the decisions; later results are ignored."""
        if leg_record.over:
            return
        leg_record.over, leg = True, leg_record.leg
        self.record_back(leg_record, kind)
        self.world.legs.close_leg(leg_record)
        if leg.established:
            self.attempts.pop(leg_record.attempt, None)
        self.leg_ended(leg, Result(kind, self.now - leg.sent), leg.established or leg.call.done)

    def move_client(self, attempt: Attempt, kind: str) -> None:
        """Asks the client to connect again, and ends both sides. `kind` is the result of the leg."""
        leg_record = attempt.leg_record
        if leg_record is None or leg_record.over or not leg_record.leg.established:
            return
        self.world.counters["moves"] += 1
        self.world.event_queue.schedule_after(attempt.delay, ARRIVAL, attempt.on_connection_end, "moved")
        self.end_leg(leg_record, kind)

    def on_server_closed(self, leg_record: LegRecord) -> None:
        """The server closed the connection, or it was reset."""
        if leg_record.over:
            return
        if leg_record.leg.established:
            self.world.event_queue.schedule_after(
                leg_record.attempt.delay, ARRIVAL, leg_record.attempt.on_connection_end, "reset"
            )
        self.end_leg(leg_record, model.RESET)

    def on_client_closed(self, attempt: Attempt, kind: str) -> None:
        """The client closed the connection; `kind` is the result of its leg."""
        call, leg_record = attempt.call, attempt.leg_record
        if call is None:
            return
        if not call.done and not (leg_record and leg_record.leg.established):
            call.done = True
            self.world.trace.add(self.now, "gone", attempt.id)
            self.balancer.on_client_left(call)
            kind = model.CANCELLED
        self.attempts.pop(attempt, None)
        if leg_record and not leg_record.over:
            self.end_leg(leg_record, kind)

    def resume_standing(self, attempt: Attempt, machine: Machine) -> LegRecord:
        """Takes over a connection that was established before the run."""
        demand = attempt.demand
        call = self.new_call(demand.type, 0.0, key=demand.key, group=demand.group, tenant=demand.tenant)
        call.host_record, attempt.call = attempt, call
        self.attempts[attempt] = None
        leg = self.begin_leg(call, self.servers[self.world.id_hashes[machine]])
        leg_record = leg.host_record = attempt.leg_record = LegRecord(
            attempt, leg, machine, 1, self.now, self.world.delay(self.zone, machine.zone)
        )
        leg_record.established = True
        self.record_stood(attempt, machine)
        self.resume_leg(leg)
        return leg_record

    def apply_list(self, rows: list[tuple[Machine, str, float]], whole: bool) -> None:
        """Applies entries of the server list: the whole list, or the changed entries only."""
        if self.alive:
            for machine, state, since in rows:
                self.record_told(machine, state, since)
            id_hashes = self.world.id_hashes
            for machine, _, _ in rows:
                self.machines[id_hashes[machine]] = machine
            self.turn(
                self.apply_entries,
                [(id_hashes[m], state, m.cell, m.zone, m.kind.listed, since, 0) for m, state, since in rows],
                whole,
            )

    def on_discovery_failure(self) -> None:
        """A request to discovery failed, or a watch ended."""
        self.discovery_failed = True
        self.turn(self.balancer.on_discovery_failed)
        if self.alive and not self.settings.asks:
            self.world.event_queue.schedule_after(WATCH_RETRY_SECONDS, LIST_UPDATE, self.turn, self.watch)

    # Start and end.

    def begin_watch(self) -> None:
        """Opens the watch, unless the decisions ask for it themselves (`asks`)."""
        if not self.settings.asks:
            self.watch()

    def stop(self, how: str) -> None:
        """Ends the balancer, killed or after its shutdown: its state is lost, its connections end on both
        sides."""
        self.record_stop(how)
        for attempt in list(self.attempts):
            if attempt.leg_record and not attempt.leg_record.over:
                attempt.leg_record.over = True
                self.world.legs.close_leg(attempt.leg_record)
            self.world.event_queue.schedule_after(
                attempt.delay, ARRIVAL, attempt.on_connection_end, "balancer killed"
            )

    def begin_shutdown(self, grace: float) -> None:
        """Begins a shutdown, as on SIGTERM: clients are moved at the times of net/shutdown.py, within `grace`
        seconds."""
        if not self.alive or self.shutting_down:
            return
        self.shutting_down = True
        standing = [
            attempt for attempt in self.attempts if attempt.leg_record and attempt.leg_record.leg.established
        ]
        for index, attempt in enumerate(standing):
            share = shutdown.FIRST_MOVE_SHARE + (
                shutdown.LAST_MOVE_SHARE - shutdown.FIRST_MOVE_SHARE
            ) * index / len(standing)
            self.world.event_queue.schedule_after(
                share * grace, TIMER, self.turn, self.move_client, attempt, model.CANCELLED
            )
        self.world.event_queue.schedule_after(
            shutdown.MOVE_REST_SHARE * grace, TIMER, self.turn, self.move_rest
        )

    def move_rest(self) -> None:
        """Moves all clients that are still connected."""
        for attempt in list(self.attempts):
            self.move_client(attempt, model.CANCELLED)
