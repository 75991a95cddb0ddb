"""What becomes of a leg at its server: the set-up with its call to the session store, the effect, the end.

Owns the server's side of a leg on both faces of the lab, and its way through the modelled network on
virtual time. It tells results and never decides anything.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from bellrack import model
from bellrack.lab import machine as machines
from bellrack.lab.event_queue import RESULT, TIMER
from bellrack.lab.node import SILENT, Out
from bellrack.model import REFERENCED

if TYPE_CHECKING:
    from bellrack.lab.machine import Machine
    from bellrack.lab.scenario import Type
    from bellrack.lab.world import World

CONNECT, LINE = 2, 3  # one-way delays until a connection is up, and until its first line has come


class Setups:
    """Set-ups and standing connections at the servers. A face says how results reach a balancer: `result`,
    `is_up`, `ended`."""

    def __init__(self, world: World):
        self.world = world
        self.under_way: dict[Machine, dict[Out, None]] = {m: {} for m in world.machines}  # set-ups, by server
        self.standing: dict[Machine, dict] = {m: {} for m in world.machines}  # by balancer, then by leg
        self.memory: dict[tuple[int, int], float] = {}  # referenced calls that ran, till they are forgotten
        self.stream = world.streams["failures"]

    def result(self, out: Out, kind: str, wait: float) -> None:
        """The leg's balancer hears after that wait how it ended before it stood."""
        raise NotImplementedError

    def is_up(self, out: Out) -> None:
        """It stands at the server: its balancer hears."""
        raise NotImplementedError

    def ended(self, out: Out, silent: bool) -> None:
        """What stood was ended by the server or, where it is silent, will be missed by its balancer."""
        raise NotImplementedError

    def sent(self, out: Out) -> None:
        """Book a leg that is on its way."""
        world = self.world
        out.attempt.out = out
        out.machine.within(out.machine.aimed, world.now)
        world.counters["legs"] += 1
        world.counters["crossings"] += out.machine.zone != out.node.zone
        world.trace.add(world.now, "leg", out.attempt.id, out.number, out.node.name, out.machine.name)

    def accept(self, out: Out) -> None:
        """Its first line has come to a server that is up."""
        world, machine, now = self.world, out.machine, self.world.now
        out.starts, fell = machine.starts, machine.fallen
        failing = self.stream.hit(machine.failing)
        world.trace.add(
            now,
            "work",
            machine.name,
            out.attempt.id,
            machine.kind.setup,
            machine.demand,
            machine.capacity(now),
        )
        wait = machine.offer(now, failing)
        if machine.fallen and not fell:
            world.falls(machine)
            self.result(out, model.RESET, out.delay)
        elif wait == machines.FULL:
            self.result(out, model.FULL, out.delay)
        elif wait == machines.FAILS:
            self.result(out, model.ERROR, out.delay)
        else:
            self.under_way[machine][out] = None
            stored = world.store.call(now)
            if stored is None:
                world.event_queue.schedule_after(world.scenario.store.timeout, RESULT, self.store_failed, out)
            else:
                world.event_queue.schedule_after(wait + stored, RESULT, self.comes_up, out)

    def hangs(self, machine: Machine) -> None:
        """What stands there brings no messages any more."""

    def store_failed(self, out: Out) -> None:
        if self.ended_here(out):
            out.machine.wasted += out.machine.kind.setup
            self.result(out, model.ERROR, out.delay)

    def ended_here(self, out: Out) -> bool:
        """Is the set-up still under way in the process that began it? It no longer is."""
        if out.starts != out.machine.starts or out not in self.under_way[out.machine]:
            return False
        del self.under_way[out.machine][out]
        out.machine.setups -= 1
        return True

    def comes_up(self, out: Out) -> None:
        """The set-up is done: this is when its effect happens, whoever still waits for it."""
        if out.machine.hung_until > self.world.now:
            self.world.event_queue.schedule_at(out.machine.hung_until, RESULT, self.comes_up, out)
            return
        if not self.ended_here(out):
            return
        world, machine, want = self.world, out.machine, out.attempt.want
        kind = world.scenario.type[want.type]
        if kind.effect != REFERENCED or not self.repeated(machine, want.request, kind):
            world.trace.add(world.now, "ran", out.attempt.id, out.number, machine.name)
        if out.over or not out.node.alive:
            machine.wasted += machine.kind.setup
            return
        self.stands_at(out)
        self.is_up(out)

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

    def stands_at(self, out: Out) -> None:
        """It stands at its server from now on."""
        out.up = True
        out.machine.take(self.world.now, out, out.attempt.want.load, out.attempt.want.group)
        self.standing[out.machine].setdefault(out.node, {})[out] = None
        self.world.service_record.stands(out)

    def closed(self, out: Out) -> None:
        """The balancer's side of it has ended; the server hears of it a delay later."""
        if out.up:
            self.world.service_record.ends(out)
            self.forget(out)
            self.world.event_queue.schedule_after(out.delay, RESULT, self.leaves, out)

    def leaves(self, out: Out) -> None:
        if out.starts == out.machine.starts:
            out.machine.leave(self.world.now, out)

    def forget(self, out: Out) -> None:
        out.up = False
        theirs = self.standing[out.machine].get(out.node, {})
        theirs.pop(out, None)
        if not theirs:
            self.standing[out.machine].pop(out.node, None)

    def machine_ends(self, machine: Machine, silent: bool) -> None:
        """A server's process is gone, with all that stands there and all set-ups under way."""
        outs = [out for legs in self.standing[machine].values() for out in legs]
        begun = list(self.under_way[machine])
        self.under_way[machine].clear()
        for out in outs:
            self.world.service_record.ends(out)
            self.forget(out)
            self.ended(out, silent)
        if not silent:
            for out in begun:
                self.result(out, model.RESET, out.delay)

    def drops(self, out: Out) -> None:
        """The server cuts this one off, as more is piled up than it bears."""
        self.world.counters["shed"] += 1
        out.machine.leave(self.world.now, out)
        self.world.service_record.ends(out)
        self.forget(out)
        self.ended(out, False)


class Legs(Setups):
    """On virtual time."""

    def goes(self, out: Out, until: float) -> None:
        """A balancer opens a connection to a server, and sends its first line as soon as it is up."""
        self.sent(out)
        self.world.event_queue.schedule_after(LINE * out.delay, RESULT, self.reaches, out)
        self.world.event_queue.schedule_at(until, TIMER, out.node.turn, self.late, out)

    def late(self, out: Out) -> None:
        """The balancer's time for it is up."""
        if not out.stood:
            out.node.leg_over(out, model.TIMEOUT)

    def reaches(self, out: Out) -> None:
        machine = out.machine
        if machine.hung_until > self.world.now:
            self.world.event_queue.schedule_at(machine.hung_until, RESULT, self.reaches, out)
        elif machine.silent:
            wait = self.world.scenario.rules.connect_timeout - LINE * out.delay
            self.result(out, model.NO_CONN, max(0.0, wait))
        elif not machine.up:
            # Refused; or gone between connecting and the line, which may have run for all that is known.
            came_up = self.world.down_since.get(machine, 0.0) > out.sent + CONNECT * out.delay
            self.result(out, model.RESET if came_up else model.NO_CONN, 0.0)
        elif out.node.alive and not out.over:  # else its balancer has hung up before its line was through
            self.accept(out)

    def result(self, out: Out, kind: str, wait: float) -> None:
        self.world.event_queue.schedule_after(wait, RESULT, out.node.turn, out.node.leg_over, out, kind)

    def is_up(self, out: Out) -> None:
        self.world.event_queue.schedule_after(out.delay, RESULT, out.node.turn, out.node.stands, out)

    def ended(self, out: Out, silent: bool) -> None:
        # In a machine that vanished all stays open and silent, till its balancer misses messages.
        wait = self.stream.between(list(SILENT)) if silent else out.delay
        what = self.silent_end if silent else out.node.lost
        self.world.event_queue.schedule_after(wait, RESULT, out.node.turn, what, out)

    def hangs(self, machine: Machine) -> None:
        for legs in self.standing[machine].values():
            for out in legs:
                self.world.event_queue.schedule_after(
                    self.stream.between(list(SILENT)), RESULT, out.node.turn, self.missed, out
                )

    def missed(self, out: Out) -> None:
        if out.machine.hung_until > self.world.now:
            self.silent_end(out)

    def silent_end(self, out: Out) -> None:
        """The host moves a client whose server says nothing; the leg counts as reset."""
        out.node.moved(out.attempt, model.RESET)
