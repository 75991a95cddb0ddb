"""The server's side of a leg: the set-up with its call to the session store, the effect, the end.

`ServerLegs` serves virtual-time and loopback runs; `VirtualLegs` adds the delays of the simulated network.
The module reports results to balancers and makes no decisions.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from bellrack import model
from bellrack.lab import machine as machines
from bellrack.lab.event_queue import RESULT, TIMER
from bellrack.lab.node import SILENCE_SECONDS, LegRecord
from bellrack.model import REFERENCED

if TYPE_CHECKING:
    from bellrack.lab.machine import Machine
    from bellrack.lab.scenario import Type
    from bellrack.lab.world import World

# In one-way network delays from the start of a leg.
CONNECT_DELAYS = 2  # until its connection is up
FIRST_LINE_DELAYS = 3  # until its first line reaches the server


class ServerLegs:
    """Set-ups and established connections at the servers.

    Subclasses define how results reach the balancer: `report_result`, `report_up`, `report_end`.
    """

    def __init__(self, world: World):
        self.world = world
        self.setups_in_progress: dict[Machine, dict[LegRecord, None]] = {m: {} for m in world.machines}
        # Established connections: by server, balancer and leg.
        self.standing: dict[Machine, dict] = {m: {} for m in world.machines}
        # Referenced calls that ran, by scope and request: until when their repeats are dropped.
        self.remembered_until: dict[tuple[int, int], float] = {}
        self.stream = world.streams["failures"]

    def report_result(self, leg_record: LegRecord, kind: str, wait: float) -> None:
        """Reports to the balancer, `wait` seconds from now, that the leg ended before it was established."""
        raise NotImplementedError

    def report_up(self, leg_record: LegRecord) -> None:
        """Reports to the balancer that the connection is up."""
        raise NotImplementedError

    def report_end(self, leg_record: LegRecord, silent: bool) -> None:
        """Reports to the balancer that the server ended an established connection. Where `silent`, the server
        sends nothing, and the balancer notices only that messages stop."""
        raise NotImplementedError

    def record_sent(self, leg_record: LegRecord) -> None:
        """Records a leg that a balancer has sent."""
        world = self.world
        leg_record.attempt.leg_record = leg_record
        leg_record.machine.record_in_window(leg_record.machine.sent_recently, world.now)
        world.counters["legs"] += 1
        world.counters["crossings"] += leg_record.machine.zone != leg_record.node.zone
        world.trace.add(
            world.now,
            "leg",
            leg_record.attempt.id,
            leg_record.number,
            leg_record.node.name,
            leg_record.machine.name,
        )

    def accept_setup(self, leg_record: LegRecord) -> None:
        """Begins the set-up: the first line of the leg has reached a server that is up."""
        world, machine, now = self.world, leg_record.machine, self.world.now
        leg_record.starts, fell = machine.starts, machine.fallen
        failing = self.stream.bernoulli(machine.failing)
        world.trace.add(
            now,
            "work",
            machine.name,
            leg_record.attempt.id,
            machine.kind.setup,
            machine.demand,
            machine.capacity(now),
        )
        wait = machine.offer_setup(now, failing)
        if machine.fallen and not fell:
            world.on_server_fell(machine)
            self.report_result(leg_record, model.RESET, leg_record.delay)
        elif wait == machines.FULL:
            self.report_result(leg_record, model.FULL, leg_record.delay)
        elif wait == machines.FAILED:
            self.report_result(leg_record, model.ERROR, leg_record.delay)
        else:
            self.setups_in_progress[machine][leg_record] = None
            stored = world.store.call(now)
            if stored is None:
                world.event_queue.schedule_after(
                    world.scenario.store.timeout, RESULT, self.on_store_timeout, leg_record
                )
            else:
                world.event_queue.schedule_after(wait + stored, RESULT, self.complete_setup, leg_record)

    def on_hang(self, machine: Machine) -> None:
        """A server began to hang: its connections bring no messages any more."""

    def on_store_timeout(self, leg_record: LegRecord) -> None:
        """The session store did not answer in time: the set-up fails."""
        if self.finish_setup(leg_record):
            leg_record.machine.wasted += leg_record.machine.kind.setup
            self.report_result(leg_record, model.ERROR, leg_record.delay)

    def finish_setup(self, leg_record: LegRecord) -> bool:
        """Takes a set-up off the server's list. False if the process that began it has ended."""
        if (
            leg_record.starts != leg_record.machine.starts
            or leg_record not in self.setups_in_progress[leg_record.machine]
        ):
            return False
        del self.setups_in_progress[leg_record.machine][leg_record]
        leg_record.machine.setups -= 1
        return True

    def complete_setup(self, leg_record: LegRecord) -> None:
        """The set-up is done: its effect happens now, even if nobody waits for it any more."""
        if leg_record.machine.hung_until > self.world.now:
            self.world.event_queue.schedule_at(
                leg_record.machine.hung_until, RESULT, self.complete_setup, leg_record
            )
            return
        if not self.finish_setup(leg_record):
            return
        world, machine, demand = self.world, leg_record.machine, leg_record.attempt.demand
        kind = world.scenario.type[demand.type]
        if kind.effect != REFERENCED or not self.is_repeat(machine, demand.request, kind):
            world.trace.add(world.now, "ran", leg_record.attempt.id, leg_record.number, machine.name)
        if leg_record.over or not leg_record.node.alive:
            machine.wasted += machine.kind.setup
            return
        self.add_standing(leg_record)
        self.report_up(leg_record)

    def is_repeat(self, machine: Machine, request: int, kind: Type) -> bool:
        """Whether a server of the group that drops repeats of this call has run it already.

        If not, the group remembers the call from now on.
        """
        scope = {"all": -1, "zone": machine.zone, "cell": machine.cell}[kind.group]
        now = self.world.now
        while self.remembered_until and next(iter(self.remembered_until.values())) <= now:
            del self.remembered_until[next(iter(self.remembered_until))]
        if self.remembered_until.get((scope, request), 0.0) > now:
            return True
        self.remembered_until[scope, request] = now + kind.remembered
        return False

    def add_standing(self, leg_record: LegRecord) -> None:
        """The connection is up at its server from now on."""
        leg_record.up = True
        leg_record.machine.add_connection(
            self.world.now, leg_record, leg_record.attempt.demand.load, leg_record.attempt.demand.group
        )
        self.standing[leg_record.machine].setdefault(leg_record.node, {})[leg_record] = None
        self.world.service_record.connection_up(leg_record)

    def close_leg(self, leg_record: LegRecord) -> None:
        """The balancer's side has ended; the server learns of it one network delay later."""
        if leg_record.up:
            self.world.service_record.connection_down(leg_record)
            self.forget(leg_record)
            self.world.event_queue.schedule_after(
                leg_record.delay, RESULT, self.remove_from_machine, leg_record
            )

    def remove_from_machine(self, leg_record: LegRecord) -> None:
        """The server learns that a connection has ended, unless its process was restarted meanwhile."""
        if leg_record.starts == leg_record.machine.starts:
            leg_record.machine.remove_connection(self.world.now, leg_record)

    def forget(self, leg_record: LegRecord) -> None:
        """Takes a leg off the established connections of its server."""
        leg_record.up = False
        of_balancer = self.standing[leg_record.machine].get(leg_record.node, {})
        of_balancer.pop(leg_record, None)
        if not of_balancer:
            self.standing[leg_record.machine].pop(leg_record.node, None)

    def end_all(self, machine: Machine, silent: bool) -> None:
        """A server's process ended, and with it all its connections and set-ups."""
        leg_records = [leg_record for legs in self.standing[machine].values() for leg_record in legs]
        unfinished = list(self.setups_in_progress[machine])
        self.setups_in_progress[machine].clear()
        for leg_record in leg_records:
            self.world.service_record.connection_down(leg_record)
            self.forget(leg_record)
            self.report_end(leg_record, silent)
        if not silent:
            for leg_record in unfinished:
                self.report_result(leg_record, model.RESET, leg_record.delay)

    def shed(self, leg_record: LegRecord) -> None:
        """An overloaded server closes this connection."""
        self.world.counters["shed"] += 1
        leg_record.machine.remove_connection(self.world.now, leg_record)
        self.world.service_record.connection_down(leg_record)
        self.forget(leg_record)
        self.report_end(leg_record, False)


class VirtualLegs(ServerLegs):
    """The server's side of legs on virtual time, with the delays of the simulated network."""

    def open_leg(self, leg_record: LegRecord, until: float) -> None:
        """Opens a connection to the server, which sends its first line once it is up. `until` is when the
        attempt times out."""
        self.record_sent(leg_record)
        self.world.event_queue.schedule_after(
            FIRST_LINE_DELAYS * leg_record.delay, RESULT, self.on_first_line, leg_record
        )
        self.world.event_queue.schedule_at(until, TIMER, leg_record.node.turn, self.on_timeout, leg_record)

    def on_timeout(self, leg_record: LegRecord) -> None:
        """The leg timed out, unless it is established."""
        if not leg_record.established:
            leg_record.node.end_leg(leg_record, model.TIMEOUT)

    def on_first_line(self, leg_record: LegRecord) -> None:
        """The first line reaches the server's machine."""
        machine = leg_record.machine
        if machine.hung_until > self.world.now:
            self.world.event_queue.schedule_at(machine.hung_until, RESULT, self.on_first_line, leg_record)
        elif machine.silent:
            wait = self.world.scenario.rules.connect_timeout - FIRST_LINE_DELAYS * leg_record.delay
            self.report_result(leg_record, model.NO_CONN, max(0.0, wait))
        elif not machine.up:
            # Refused, or reset between connecting and the first line: in that case the call may have run.
            connected = (
                self.world.down_since.get(machine, 0.0) > leg_record.sent + CONNECT_DELAYS * leg_record.delay
            )
            self.report_result(leg_record, model.RESET if connected else model.NO_CONN, 0.0)
        elif leg_record.node.alive and not leg_record.over:
            # Otherwise the balancer closed the connection before its line arrived.
            self.accept_setup(leg_record)

    def report_result(self, leg_record: LegRecord, kind: str, wait: float) -> None:
        self.world.event_queue.schedule_after(
            wait, RESULT, leg_record.node.turn, leg_record.node.end_leg, leg_record, kind
        )

    def report_up(self, leg_record: LegRecord) -> None:
        self.world.event_queue.schedule_after(
            leg_record.delay, RESULT, leg_record.node.turn, leg_record.node.on_setup_done, leg_record
        )

    def report_end(self, leg_record: LegRecord, silent: bool) -> None:
        # Connections of a machine that vanished stay open and silent until the balancer misses messages.
        wait = self.stream.uniform_between(list(SILENCE_SECONDS)) if silent else leg_record.delay
        callback = self.move_from_silent_server if silent else leg_record.node.on_server_closed
        self.world.event_queue.schedule_after(wait, RESULT, leg_record.node.turn, callback, leg_record)

    def on_hang(self, machine: Machine) -> None:
        for legs in self.standing[machine].values():
            for leg_record in legs:
                self.world.event_queue.schedule_after(
                    self.stream.uniform_between(list(SILENCE_SECONDS)),
                    RESULT,
                    leg_record.node.turn,
                    self.on_messages_missed,
                    leg_record,
                )

    def on_messages_missed(self, leg_record: LegRecord) -> None:
        """The balancer missed messages of a server; nothing happens if it does not hang any more."""
        if leg_record.machine.hung_until > self.world.now:
            self.move_from_silent_server(leg_record)

    def move_from_silent_server(self, leg_record: LegRecord) -> None:
        """The balancer moves a client whose server is silent; the leg counts as reset."""
        leg_record.node.move_client(leg_record.attempt, model.RESET)
