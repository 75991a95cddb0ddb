"""Baseline policies, against which bellrack is measured. Not for production.

A baseline replaces the selection of a server only: the final answer, effects and the server list stay with
the stages of the decision module. None has a slow start, moves established connections or prefers its zone.
The all-seeing reference reads the true state of the simulated servers, which no real balancer can.
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

RING_POINTS = 40  # of each server on the hash ring
MAX_LOAD_RATIO = 1.25  # open connections of a server on the ring, at most, over the mean
CROSSING_COST_CORES = 0.05  # that the all-seeing reference counts for a server in another zone
MUTANT_PREFIX = "broken:"  # prefix of the name of a mutant
# The all-seeing reference places calls by the load that they add, up to the first utilization; above it by
# the fullness of the server; above the second, the server gets none.
GROUPING_UTILIZATION = 0.8
MAX_UTILIZATION = 1.0
COLD_BUDGET_SHARE = 0.5  # of the budget of a cold server, that the all-seeing reference uses


class BaselineSelection(choice.SelectionStage):
    """The last stage of a baseline: chooses among all listed servers that are not marked unhealthy.

    This class chooses at random; subclasses override `choose`.
    """

    def handle(self, call: Call) -> None:
        tried = [leg.server for leg in call.legs]
        healthy = [s for s in call.candidates if s not in tried and self.healthy(s)]
        server = self.choose(call, healthy or call.candidates)
        if server:
            self.send(call, server)
        else:
            self.balancer.enqueue(call)

    def choose(self, call: Call, candidates: list[Server]) -> Server | None:
        """Chooses a server, or None to queue the call."""
        return candidates[int(self.balancer.rng.uniform() * len(candidates))]


class RoundRobin(BaselineSelection):
    """Takes the servers in turn."""

    turn = -1

    def choose(self, call: Call, candidates: list[Server]) -> Server | None:
        self.turn += 1
        return candidates[self.turn % len(candidates)]


class LeastOpen(BaselineSelection):
    """Takes a server with the fewest open connections of this balancer per capacity."""

    def choose(self, call: Call, candidates: list[Server]) -> Server | None:
        lowest = min(server.local_state.open_legs / server.capacity for server in candidates)
        return super().choose(call, [s for s in candidates if s.local_state.open_legs / s.capacity == lowest])


class TwoChoices(BaselineSelection):
    """Draws two servers, and takes the one with fewer open connections of this balancer per capacity."""

    def choose(self, call: Call, candidates: list[Server]) -> Server | None:
        one, other = (super(TwoChoices, self).choose(call, candidates) for _ in range(2))
        return min(one, other, key=lambda server: server.local_state.open_legs / server.capacity)


class BoundedHash(BaselineSelection):
    """Consistent hashing with bounded loads, by group, or by the client's key for calls without a group."""

    ring: list[tuple[int, Server]] = []
    ring_size = 0

    def choose(self, call: Call, candidates: list[Server]) -> Server | None:
        if self.ring_size != len(self.balancer.fleet):
            self.ring_size = len(self.balancer.fleet)
            self.ring = sorted(
                (
                    (rng.lcg_step(rng.lcg_step(server.id_hash ^ n * 0x9E3779B97F4A7C15)), server)
                    for server in self.balancer.fleet
                    for n in range(RING_POINTS)
                ),
                key=lambda point: point[0],
            )
        allowed = set(candidates)
        limit = MAX_LOAD_RATIO * (1 + sum(s.local_state.open_legs for s in candidates)) / len(candidates)
        start = bisect.bisect_left(
            self.ring, rng.lcg_step(rng.lcg_step(call.group or call.key)), key=lambda point: point[0]
        )
        for offset in range(len(self.ring)):
            server = self.ring[(start + offset) % len(self.ring)][1]
            if server in allowed and server.local_state.open_legs < limit:
                return server
        return candidates[0]


class AllSeeing(BaselineSelection):
    """Reads the true state of all servers, and takes the one where the connection costs least."""

    world: World

    def choose(self, call: Call, candidates: list[Server]) -> Server | None:
        world, now, demand = self.world, self.world.now, call.host_record.demand
        options = []
        for server in candidates:
            machine = call.host_record.node.machines[server.id_hash]
            if not machine.up or machine.silent or machine.draining or machine.fallen:
                continue
            added_load = demand.load + (
                machine.group_cost if demand.group and demand.group not in machine.groups else 0
            )
            expected_load, capacity = machine.setups * world.scenario.load.mean, machine.capacity(now)
            if machine.warm_share(now) < 1:
                recent_requests = sum(
                    sent > now - world.scenario.rules.push_window for sent in machine.sent_recently
                )
                if world.scenario.overloads_cold_server(
                    (recent_requests + 1) / COLD_BUDGET_SHARE, machine.kind, capacity
                ):
                    continue
            fullness = (machine.demand + expected_load + added_load) / capacity + machine.queueing_delay(now)
            if fullness < MAX_UTILIZATION:
                # Below GROUPING_UTILIZATION the added work of the fleet decides, above it the fullness.
                crossing_cost = CROSSING_COST_CORES * (machine.zone != call.host_record.node.zone)
                options.append(
                    (
                        fullness > GROUPING_UTILIZATION,
                        added_load + crossing_cost
                        if fullness <= GROUPING_UTILIZATION
                        else fullness + crossing_cost,
                        fullness,
                        server,
                    )
                )
        return min(options, key=lambda option: option[:3])[3] if options else None


class Baseline(choice.Balancer):
    """The decision module with its last stage, and the stages for moves and slow start, replaced."""

    selection_class: type[BaselineSelection] = BaselineSelection

    def __init__(self, settings: Any, seed: int, host: Any):
        super().__init__(settings, seed, host)
        self.selection = self.selection_class(self)
        chain.link(self.answer, self.listing, self.effect, self.selection)

    def on_delay_reported(self, leg: Leg, delay: float) -> None: ...

    def on_timer(self, what: object) -> None:
        if what != "rebalance":
            super().on_timer(what)


def baseline(stage: type[BaselineSelection]) -> Callable[[World], Callable[..., Any]]:
    """A policy that selects servers by this stage."""
    return lambda world: type(stage.__name__, (Baseline,), {"selection_class": stage})


def all_seeing(world: World) -> Callable[..., Any]:
    """The balancer class of the all-seeing reference in this world."""
    return baseline(type("AllSeeing", (AllSeeing,), {"world": world}))(world)


POLICIES: dict[str, Callable[[World], Callable[..., Any]]] = {
    "bellrack": lambda world: choice.Balancer,
    "random": baseline(BaselineSelection),
    "round-robin": baseline(RoundRobin),
    "least-open": baseline(LeastOpen),
    "two-choices": baseline(TwoChoices),
    "bounded-hash": baseline(BoundedHash),
    "all-seeing": all_seeing,
}


def policy(name: str) -> Callable[[World], Callable[..., Any]]:
    """A policy by its name, a mutant by `broken:NAME`, or another build of the decision module by its file.

    Raises ScenarioError if there is none.
    """
    if name in POLICIES:
        return POLICIES[name]
    if name.startswith(MUTANT_PREFIX):
        from bellrack.lab import mutants

        if mutant := mutants.MUTANTS.get(name.removeprefix(MUTANT_PREFIX)):
            return lambda world: mutant[1]
    if not name.endswith(".py"):
        raise ScenarioError(f"policy: no {name}; there are {', '.join(POLICIES)}, or a file of a build")
    path = Path(name).resolve()
    module_name = f"bellrack_build_{path.stem}_{abs(hash(str(path)))}"
    spec = importlib.util.spec_from_file_location(module_name, path)
    if not spec or not spec.loader or not path.is_file():
        raise ScenarioError(f"policy: {name}: no such file")
    module = importlib.util.module_from_spec(spec)
    sys.modules[module_name] = module  # dataclasses look up their module there
    try:
        spec.loader.exec_module(module)
        balancer_class = module.Balancer
    except Exception as error:
        raise ScenarioError(f"policy: {name}: no build of the decision module: {error!r}") from error
    return lambda world: balancer_class
