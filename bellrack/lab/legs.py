"""What becomes of a leg at its server: the set-up with its call to the session store, the effect, the end.

Owns the server's side of a leg on both faces of the lab, and its way through the modelled network on
virtual time. It tells results and never decides anything.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from bellrack import model
from bellrack.lab import machine as machines
from bellrack.lab.event_queue import RESULT, TIMER
from bellrack.lab.node import SILENT, LegRecord
from bellrack.model import REFERENCED

if TYPE_CHECKING:
    from bellrack.lab.machine import Machine
    from bellrack.lab.scenario import Type
    from bellrack.lab.world import World

CONNECT, LINE = 2, 3  # one-way delays until a connection is up, and until its first line has come


class ServerLegs:
    """Set-ups and standing connections at the servers. A face defines how results reach a balancer:
    `report_result`, `report_up`, `report_end`."""

    def __init__(self, world: World):
        self.world = world
        self.under_way: dict[Machine, dict[LegRecord, None]] = {
            m: {} for m in world.machines
        }  # set-ups, by server
        self.standing: dict[Machine, dict] = {m: {} for m in world.machines}  # by balancer, then by leg
        self.memory: dict[tuple[int, int], float] = {}  # referenced calls that ran, till they are forgotten
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
        leg_record.machine.within(leg_record.machine.aimed, world.now)
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
        wait = machine.offer(now, failing)
        if machine.fallen and not fell:
            world.falls(machine)
            self.report_result(leg_record, model.RESET, leg_record.delay)
        elif wait == machines.FULL:
            self.report_result(leg_record, model.FULL, leg_record.delay)
        elif wait == machines.FAILS:
            self.report_result(leg_record, model.ERROR, leg_record.delay)
        else:
            self.under_way[machine][leg_record] = None
            stored = world.store.call(now)
            if stored is None:
                world.event_queue.schedule_after(
                    world.scenario.store.timeout, RESULT, self.store_failed, leg_record
                )
            else:
                world.event_queue.schedule_after(wait + stored, RESULT, self.comes_up, leg_record)

    def hangs(self, machine: Machine) -> None:
        """What stands there brings no messages any more."""

    def store_failed(self, leg_record: LegRecord) -> None:
        if self.ended_here(leg_record):
            leg_record.machine.wasted += leg_record.machine.kind.setup
            self.report_result(leg_record, model.ERROR, leg_record.delay)

    def ended_here(self, leg_record: LegRecord) -> bool:
        """Is the set-up still under way in the process that began it? It no longer is."""
        if (
            leg_record.starts != leg_record.machine.starts
            or leg_record not in self.under_way[leg_record.machine]
        ):
            return False
        del self.under_way[leg_record.machine][leg_record]
        leg_record.machine.setups -= 1
        return True

    def comes_up(self, leg_record: LegRecord) -> None:
        """The set-up is done: this is when its effect happens, whoever still waits for it."""
        if leg_record.machine.hung_until > self.world.now:
            self.world.event_queue.schedule_at(
                leg_record.machine.hung_until, RESULT, self.comes_up, leg_record
            )
            return
        if not self.ended_here(leg_record):
            return
        world, machine, demand = self.world, leg_record.machine, leg_record.attempt.demand
        kind = world.scenario.type[demand.type]
        if kind.effect != REFERENCED or not self.repeated(machine, demand.request, kind):
            world.trace.add(world.now, "ran", leg_record.attempt.id, leg_record.number, machine.name)
        if leg_record.over or not leg_record.node.alive:
            machine.wasted += machine.kind.setup
            return
        self.stands_at(leg_record)
        self.report_up(leg_record)

    def repeated(self, machine: Machine, request: int, kind: Type) -> bool:
        """Has a server among those that drop repeats of this call run it already? They remember it from
        now."""
        scope = {"all": -1, "zone": machine.zone, "cell": machine.cell}[kind.group]
        now = self.world.now
        while self.memory and next(iter(self.memory.values())) <= now:
            del self.memory[next(iter(self.memory))]
        if self.memory.get((scope, request), 0.0) > now:
            return True
        self.memory[scope, request] = now + kind.remembered
        return False

    def stands_at(self, leg_record: LegRecord) -> None:
        """It stands at its server from now on."""
        leg_record.up = True
        leg_record.machine.take(
            self.world.now, leg_record, leg_record.attempt.demand.load, leg_record.attempt.demand.group
        )
        self.standing[leg_record.machine].setdefault(leg_record.node, {})[leg_record] = None
        self.world.service_record.connection_up(leg_record)

    def closed(self, leg_record: LegRecord) -> None:
        """The balancer's side of it has ended; the server hears of it a delay later."""
        if leg_record.up:
            self.world.service_record.connection_down(leg_record)
            self.forget(leg_record)
            self.world.event_queue.schedule_after(
                leg_record.delay, RESULT, self.remove_from_machine, leg_record
            )

    def remove_from_machine(self, leg_record: LegRecord) -> None:
        if leg_record.starts == leg_record.machine.starts:
            leg_record.machine.leave(self.world.now, leg_record)

    def forget(self, leg_record: LegRecord) -> None:
        leg_record.up = False
        theirs = self.standing[leg_record.machine].get(leg_record.node, {})
        theirs.pop(leg_record, None)
        if not theirs:
            self.standing[leg_record.machine].pop(leg_record.node, None)

    def machine_ends(self, machine: Machine, silent: bool) -> None:
        """A server's process is gone, with all that stands there and all set-ups under way."""
        leg_records = [leg_record for legs in self.standing[machine].values() for leg_record in legs]
        begun = list(self.under_way[machine])
        self.under_way[machine].clear()
        for leg_record in leg_records:
            self.world.service_record.connection_down(leg_record)
            self.forget(leg_record)
            self.report_end(leg_record, silent)
        if not silent:
            for leg_record in begun:
                self.report_result(leg_record, model.RESET, leg_record.delay)

    def drops(self, leg_record: LegRecord) -> None:
        """The server cuts this one off, as more is piled up than it bears."""
        self.world.counters["shed"] += 1
        leg_record.machine.leave(self.world.now, leg_record)
        self.world.service_record.connection_down(leg_record)
        self.forget(leg_record)
        self.report_end(leg_record, False)


class Legs(ServerLegs):
    """On virtual time."""

    def goes(self, leg_record: LegRecord, until: float) -> None:
        """A balancer opens a connection to a server, and sends its first line as soon as it is up."""
        self.record_sent(leg_record)
        self.world.event_queue.schedule_after(LINE * leg_record.delay, RESULT, self.on_first_line, leg_record)
        self.world.event_queue.schedule_at(until, TIMER, leg_record.node.turn, self.late, leg_record)

    def late(self, leg_record: LegRecord) -> None:
        """The balancer's time for it is up."""
        if not leg_record.established:
            leg_record.node.leg_over(leg_record, model.TIMEOUT)

    def on_first_line(self, leg_record: LegRecord) -> None:
        machine = leg_record.machine
        if machine.hung_until > self.world.now:
            self.world.event_queue.schedule_at(machine.hung_until, RESULT, self.on_first_line, leg_record)
        elif machine.silent:
            wait = self.world.scenario.rules.connect_timeout - LINE * leg_record.delay
            self.report_result(leg_record, model.NO_CONN, max(0.0, wait))
        elif not machine.up:
            # Refused; or gone between connecting and the line, which may have run for all that is known.
            came_up = self.world.down_since.get(machine, 0.0) > leg_record.sent + CONNECT * leg_record.delay
            self.report_result(leg_record, model.RESET if came_up else model.NO_CONN, 0.0)
        elif (
            leg_record.node.alive and not leg_record.over
        ):  # else its balancer has hung up before its line was through
            self.accept_setup(leg_record)

    def report_result(self, leg_record: LegRecord, kind: str, wait: float) -> None:
        self.world.event_queue.schedule_after(
            wait, RESULT, leg_record.node.turn, leg_record.node.leg_over, leg_record, kind
        )

    def report_up(self, leg_record: LegRecord) -> None:
        self.world.event_queue.schedule_after(
            leg_record.delay, RESULT, leg_record.node.turn, leg_record.node.stands, leg_record
        )

    def report_end(self, leg_record: LegRecord, silent: bool) -> None:
        # In a machine that vanished all stays open and silent, till its balancer misses messages.
        wait = self.stream.uniform_between(list(SILENT)) if silent else leg_record.delay
        what = self.silent_end if silent else leg_record.node.lost
        self.world.event_queue.schedule_after(wait, RESULT, leg_record.node.turn, what, leg_record)

    def hangs(self, machine: Machine) -> None:
        for legs in self.standing[machine].values():
            for leg_record in legs:
                self.world.event_queue.schedule_after(
                    self.stream.uniform_between(list(SILENT)),
                    RESULT,
                    leg_record.node.turn,
                    self.missed,
                    leg_record,
                )

    def missed(self, leg_record: LegRecord) -> None:
        if leg_record.machine.hung_until > self.world.now:
            self.silent_end(leg_record)

    def silent_end(self, leg_record: LegRecord) -> None:
        """The host moves a client whose server says nothing; the leg counts as reset."""
        leg_record.node.moved(leg_record.attempt, model.RESET)
