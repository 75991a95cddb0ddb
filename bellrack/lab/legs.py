"""What becomes of a leg at its server: the set-up with its call to the session store, the effect, the end.

Owns the server's side of a leg on both faces of the lab, and its way through the modelled network on
virtual time. It tells results and never decides anything.
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

CONNECT_DELAYS, FIRST_LINE_DELAYS = (
    2,
    3,
)  # one-way delays until a connection is up, and until its first line has come


class ServerLegs:
    """Set-ups and standing connections at the servers. A face defines how results reach a balancer:
    `report_result`, `report_up`, `report_end`."""

    def __init__(self, world: World):
        self.world = world
        self.setups_in_progress: dict[Machine, dict[LegRecord, None]] = {
            m: {} for m in world.machines
        }  # set-ups, by server
        self.standing: dict[Machine, dict] = {m: {} for m in world.machines}  # by balancer, then by leg
        self.remembered_until: dict[
            tuple[int, int], float
        ] = {}  # referenced calls that ran, till they are forgotten
        self.stream = world.streams["failures"]

    def report_result(self, leg_record: LegRecord, kind: str, wait: float) -> None:
        """The leg's balancer hears after that wait how it ended before it stood."""
        raise NotImplementedError

    def report_up(self, leg_record: LegRecord) -> None:
        """It stands at the server: its balancer hears."""
        raise NotImplementedError

    def report_end(self, leg_record: LegRecord, silent: bool) -> None:
        """What stood was ended by the server or, where it is silent, will be missed by its balancer."""
        raise NotImplementedError

    def record_sent(self, leg_record: LegRecord) -> None:
        """Book a leg that is on its way."""
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
        """Its first line has come to a server that is up."""
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
        """What stands there brings no messages any more."""

    def on_store_timeout(self, leg_record: LegRecord) -> None:
        if self.finish_setup(leg_record):
            leg_record.machine.wasted += leg_record.machine.kind.setup
            self.report_result(leg_record, model.ERROR, leg_record.delay)

    def finish_setup(self, leg_record: LegRecord) -> bool:
        """Is the set-up still under way in the process that began it? It no longer is."""
        if (
            leg_record.starts != leg_record.machine.starts
            or leg_record not in self.setups_in_progress[leg_record.machine]
        ):
            return False
        del self.setups_in_progress[leg_record.machine][leg_record]
        leg_record.machine.setups -= 1
        return True

    def complete_setup(self, leg_record: LegRecord) -> None:
        """The set-up is done: this is when its effect happens, whoever still waits for it."""
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
        """Has a server among those that drop repeats of this call run it already? They remember it from
        now."""
        scope = {"all": -1, "zone": machine.zone, "cell": machine.cell}[kind.group]
        now = self.world.now
        while self.remembered_until and next(iter(self.remembered_until.values())) <= now:
            del self.remembered_until[next(iter(self.remembered_until))]
        if self.remembered_until.get((scope, request), 0.0) > now:
            return True
        self.remembered_until[scope, request] = now + kind.remembered
        return False

    def add_standing(self, leg_record: LegRecord) -> None:
        """It stands at its server from now on."""
        leg_record.up = True
        leg_record.machine.add_connection(
            self.world.now, leg_record, leg_record.attempt.demand.load, leg_record.attempt.demand.group
        )
        self.standing[leg_record.machine].setdefault(leg_record.node, {})[leg_record] = None
        self.world.service_record.connection_up(leg_record)

    def close_leg(self, leg_record: LegRecord) -> None:
        """The balancer's side of it has ended; the server hears of it a delay later."""
        if leg_record.up:
            self.world.service_record.connection_down(leg_record)
            self.forget(leg_record)
            self.world.event_queue.schedule_after(
                leg_record.delay, RESULT, self.remove_from_machine, leg_record
            )

    def remove_from_machine(self, leg_record: LegRecord) -> None:
        if leg_record.starts == leg_record.machine.starts:
            leg_record.machine.remove_connection(self.world.now, leg_record)

    def forget(self, leg_record: LegRecord) -> None:
        leg_record.up = False
        theirs = self.standing[leg_record.machine].get(leg_record.node, {})
        theirs.pop(leg_record, None)
        if not theirs:
            self.standing[leg_record.machine].pop(leg_record.node, None)

    def end_all(self, machine: Machine, silent: bool) -> None:
        """A server's process is gone, with all that stands there and all set-ups under way."""
        leg_records = [leg_record for legs in self.standing[machine].values() for leg_record in legs]
        begun = list(self.setups_in_progress[machine])
        self.setups_in_progress[machine].clear()
        for leg_record in leg_records:
            self.world.service_record.connection_down(leg_record)
            self.forget(leg_record)
            self.report_end(leg_record, silent)
        if not silent:
            for leg_record in begun:
                self.report_result(leg_record, model.RESET, leg_record.delay)

    def shed(self, leg_record: LegRecord) -> None:
        """The server cuts this one off, as more is piled up than it bears."""
        self.world.counters["shed"] += 1
        leg_record.machine.remove_connection(self.world.now, leg_record)
        self.world.service_record.connection_down(leg_record)
        self.forget(leg_record)
        self.report_end(leg_record, False)


class VirtualLegs(ServerLegs):
    """On virtual time."""

    def open_leg(self, leg_record: LegRecord, until: float) -> None:
        """A balancer opens a connection to a server, and sends its first line as soon as it is up."""
        self.record_sent(leg_record)
        self.world.event_queue.schedule_after(
            FIRST_LINE_DELAYS * leg_record.delay, RESULT, self.on_first_line, leg_record
        )
        self.world.event_queue.schedule_at(until, TIMER, leg_record.node.turn, self.on_timeout, leg_record)

    def on_timeout(self, leg_record: LegRecord) -> None:
        """The balancer's time for it is up."""
        if not leg_record.established:
            leg_record.node.end_leg(leg_record, model.TIMEOUT)

    def on_first_line(self, leg_record: LegRecord) -> None:
        machine = leg_record.machine
        if machine.hung_until > self.world.now:
            self.world.event_queue.schedule_at(machine.hung_until, RESULT, self.on_first_line, leg_record)
        elif machine.silent:
            wait = self.world.scenario.rules.connect_timeout - FIRST_LINE_DELAYS * leg_record.delay
            self.report_result(leg_record, model.NO_CONN, max(0.0, wait))
        elif not machine.up:
            # Refused; or gone between connecting and the line, which may have run for all that is known.
            came_up = (
                self.world.down_since.get(machine, 0.0) > leg_record.sent + CONNECT_DELAYS * leg_record.delay
            )
            self.report_result(leg_record, model.RESET if came_up else model.NO_CONN, 0.0)
        elif (
            leg_record.node.alive and not leg_record.over
        ):  # else its balancer has hung up before its line was through
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
        # In a machine that vanished all stays open and silent, till its balancer misses messages.
        wait = self.stream.uniform_between(list(SILENCE_SECONDS)) if silent else leg_record.delay
        what = self.move_from_silent_server if silent else leg_record.node.on_server_closed
        self.world.event_queue.schedule_after(wait, RESULT, leg_record.node.turn, what, leg_record)

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
        if leg_record.machine.hung_until > self.world.now:
            self.move_from_silent_server(leg_record)

    def move_from_silent_server(self, leg_record: LegRecord) -> None:
        """The host moves a client whose server says nothing; the leg counts as reset."""
        leg_record.node.move_client(leg_record.attempt, model.RESET)
