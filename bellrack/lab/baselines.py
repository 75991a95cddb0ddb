"""Other policies to measure bellrack against. Never for production.

Owns how each picks a server. The final answer, effects and the list of servers stay with the stages of the
decision module, so that what differs is the pick alone; none fills a cold server slowly, moves what stands or
keeps to its zone. The all-seeing reference reads the true state of the world, which no balancer can.
"""

from __future__ import annotations

import bisect
import importlib.util
import sys
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any

from bellrack import chain, choice, rng
from bellrack.lab.scenario import ScenarioError
from bellrack.model import Call, Leg, Server

if TYPE_CHECKING:
    from bellrack.lab.world import World

POINTS = 40  # of a server on the hash ring
BOUND = 1.25  # times the mean of open connections that a server on the ring may hold
CROSSING = 0.05  # cores that the all-seeing reference pays for another zone
BROKEN = "broken:"  # before the name of a mutant
EASY, BRIM = 0.8, 1.0  # utilisation up to which it gathers groups, and up to which it fills
SPARE = 0.5  # part of a cold server's budget that it spends


class Pick(choice.SelectionStage):
    """The last stage of a baseline: any server of those listed that is not marked unhealthy, by `choose`."""

    def handle(self, call: Call) -> None:
        tried = [leg.server for leg in call.legs]
        fit = [s for s in call.candidates if s not in tried and self.healthy(s)]
        server = self.choose(call, fit or call.candidates)
        if server:
            self.send(call, server)
        else:
            self.balancer.enqueue(call)

    def choose(self, call: Call, places: list[Server]) -> Server | None:
        return places[int(self.balancer.rng.uniform() * len(places))]


class RoundRobin(Pick):
    turn = -1

    def choose(self, call: Call, places: list[Server]) -> Server | None:
        self.turn += 1
        return places[self.turn % len(places)]


class LeastOpen(Pick):
    def choose(self, call: Call, places: list[Server]) -> Server | None:
        least = min(server.local_state.open_legs / server.capacity for server in places)
        return super().choose(call, [s for s in places if s.local_state.open_legs / s.capacity == least])


class TwoChoices(Pick):
    def choose(self, call: Call, places: list[Server]) -> Server | None:
        one, other = (super(TwoChoices, self).choose(call, places) for _ in range(2))
        return min(one, other, key=lambda server: server.local_state.open_legs / server.capacity)


class BoundedHash(Pick):
    """Consistent hashing with bounded loads, by group or else by the client's key."""

    ring: list[tuple[int, Server]] = []
    listed = 0

    def choose(self, call: Call, places: list[Server]) -> Server | None:
        if self.listed != len(self.balancer.fleet):
            self.listed = len(self.balancer.fleet)
            self.ring = sorted(
                (
                    (rng.lcg_step(rng.lcg_step(server.id_hash ^ n * 0x9E3779B97F4A7C15)), server)
                    for server in self.balancer.fleet
                    for n in range(POINTS)
                ),
                key=lambda point: point[0],
            )
        allowed = set(places)
        most = BOUND * (1 + sum(s.local_state.open_legs for s in places)) / len(places)
        start = bisect.bisect_left(
            self.ring, rng.lcg_step(rng.lcg_step(call.group or call.key)), key=lambda point: point[0]
        )
        for at in range(len(self.ring)):
            server = self.ring[(start + at) % len(self.ring)][1]
            if server in allowed and server.local_state.open_legs < most:
                return server
        return places[0]


class AllSeeing(Pick):
    """Knows the true state of all servers at the moment when it places: where a connection would weigh
    least."""

    world: World

    def choose(self, call: Call, places: list[Server]) -> Server | None:
        world, now, demand = self.world, self.world.now, call.host_record.demand
        found = []
        for server in places:
            machine = call.host_record.node.machines[server.id_hash]
            if not machine.up or machine.silent or machine.draining or machine.fallen:
                continue
            extra = demand.load + (
                machine.group_cost if demand.group and demand.group not in machine.groups else 0
            )
            coming, can = machine.setups * world.scenario.load.mean, machine.capacity(now)
            if machine.warm_share(now) < 1:
                recent = sum(at > now - world.scenario.rules.push_window for at in machine.sent_recently)
                if world.scenario.overloads_cold_server((recent + 1) / SPARE, machine.kind, can):
                    continue
            full = (machine.demand + coming + extra) / can + machine.queueing_delay(now)
            if full < BRIM:
                # With room enough, what it adds to the fleet's work counts; then where it is least felt.
                away = CROSSING * (machine.zone != call.host_record.node.zone)
                found.append((full > EASY, extra + away if full <= EASY else full + away, full, server))
        return min(found, key=lambda one: one[:3])[3] if found else None


class Baseline(choice.Balancer):
    """The decision module with its last stages replaced."""

    pick: type[Pick] = Pick

    def __init__(self, settings: Any, seed: int, host: Any):
        super().__init__(settings, seed, host)
        self.selection = self.pick(self)
        chain.link(self.answer, self.listing, self.effect, self.selection)

    def on_delay_reported(self, leg: Leg, delay: float) -> None: ...

    def on_timer(self, what: object) -> None:
        if what != "rebalance":
            super().on_timer(what)


def plain(stage: type[Pick]) -> Callable[[World], Callable[..., Any]]:
    return lambda world: type(stage.__name__, (Baseline,), {"pick": stage})


def all_seeing(world: World) -> Callable[..., Any]:
    return plain(type("AllSeeing", (AllSeeing,), {"world": world}))(world)


POLICIES: dict[str, Callable[[World], Callable[..., Any]]] = {
    "bellrack": lambda world: choice.Balancer,
    "random": plain(Pick),
    "round-robin": plain(RoundRobin),
    "least-open": plain(LeastOpen),
    "two-choices": plain(TwoChoices),
    "bounded-hash": plain(BoundedHash),
    "all-seeing": all_seeing,
}


def policy(name: str) -> Callable[[World], Callable[..., Any]]:
    """A policy by its name, or another build of the decision module by its file. Raises ScenarioError."""
    if name in POLICIES:
        return POLICIES[name]
    if name.startswith(BROKEN):
        from bellrack.lab import mutants

        if broken := mutants.MUTANTS.get(name.removeprefix(BROKEN)):
            return lambda world: broken[1]
    if not name.endswith(".py"):
        raise ScenarioError(f"policy: no {name}; there are {', '.join(POLICIES)}, or a file of a build")
    path = Path(name).resolve()
    known = f"bellrack_build_{path.stem}_{abs(hash(str(path)))}"
    spec = importlib.util.spec_from_file_location(known, path)
    if not spec or not spec.loader or not path.is_file():
        raise ScenarioError(f"policy: {name}: no such file")
    module = importlib.util.module_from_spec(spec)
    sys.modules[known] = module  # its dataclasses look themselves up there
    try:
        spec.loader.exec_module(module)
        build = module.Balancer
    except Exception as error:
        raise ScenarioError(f"policy: {name}: no build of the decision module: {error!r}") from error
    return lambda world: build
