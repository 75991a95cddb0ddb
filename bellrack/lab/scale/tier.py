"""What happens to a tier while it is played: connections and lists that change, what dies and is cut off.

Owns the course of a run by its plan and seed, the same on virtual and on real time. It never carries a byte:
the network, and how a balancer is made, are its faces'.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from bellrack.lab.event_queue import TROUBLE
from bellrack.lab.scale import figures
from bellrack.lab.scale.discovery_stub import DRAINS, DiscoveryStub
from bellrack.lab.scale.guard import MemoryGuard
from bellrack.lab.scale.hollow import HollowBalancer
from bellrack.lab.scale.plan import TARGET_BALANCERS, AggregatorLost, Plan, RackLost, RegionCut, region_of
from bellrack.lab.streams import RandomStreams
from bellrack.net import lines

REFILLED = 1.0  # seconds after its start in which a balancer gets its connections again


class Tier:
    """`event_queue` is an `EventQueue`. Numbers are balancers' in the tier; `nodes` has the hollow
    ones."""

    event_queue: Any
    discovery_stub: DiscoveryStub

    def __init__(self, plan: Plan, seed: int, guard: MemoryGuard):
        self.plan, self.guard, self.streams = plan, guard, RandomStreams(seed)
        self.connection_draws, self.balancer_seeds = self.streams["connections"], self.streams["balancers"]
        self.network_draws = self.streams["network"]
        self.measurements: list[figures.Measurements] = []  # by number
        self.nodes: dict[int, HollowBalancer] = {}
        self.hollow: list[int] = []  # their numbers
        self.cut_regions: set[int] = set()  # regions that are cut off
        self.cut_until: dict[int, float] = {}
        self.lost_datagrams = self.faults = self.restarts = 0
        self.last_broadcaster = -1

    @property
    def now(self) -> float:
        return self.event_queue.now

    def make_balancer(self, number: int) -> HollowBalancer:
        """A hollow balancer at its start."""
        raise NotImplementedError

    def zone(self, number: int) -> int:
        return number % self.plan.zones

    def region(self, zone: int) -> int:
        return region_of(self.plan, zone)

    def partitioned(self, one: int, other: int) -> bool:
        """Are these two zones cut off from each other?"""
        one, other = self.region(one), self.region(other)
        return one != other and (one in self.cut_regions or other in self.cut_regions)

    def drops_datagram(self, sender: int, receiver: int) -> bool:
        """Is a datagram on this way lost?"""
        if (
            self.cut_regions
            and self.partitioned(self.zone(sender), self.zone(receiver))
            or (self.plan.loss and self.network_draws.uniform() < self.plan.loss)
        ):
            self.lost_datagrams += 1
            return True
        return False

    def reset_counts(self) -> None:
        """From here on it counts."""
        for one in [*self.measurements, self.discovery_stub.measurements]:
            one.reset()
        self.lost_datagrams = self.restarts = 0

    def schedule_events(self) -> None:
        plan = self.plan
        for number in self.hollow:
            self.event_queue.schedule_after(plan.warm_up * 0.25, TROUBLE, self.open_connections, number)
        if plan.connections.changes:
            self.next_change()
        if plan.list_changes:
            self.later("list", 60.0 / plan.list_changes, self.list_changes)
        if rate := plan.restarts * len(self.hollow) / TARGET_BALANCERS / 3600:
            self.later("restarts", 1 / rate, self.restart_one)
        for trouble in plan.trouble:
            self.event_queue.schedule_after(trouble.at, TROUBLE, self.apply_trouble, trouble)

    def later(self, concern: str, mean: float, what: Callable) -> None:
        self.event_queue.schedule_after(self.streams[concern].exponential(mean), TROUBLE, what)

    def open_connections(self, number: int) -> None:
        """Choose the servers at which it holds connections, and let them stand."""
        node, connections, draw = self.nodes[number], self.plan.connections, self.connection_draws
        if not node.alive:
            return
        ready = self.discovery_stub.ready(self.zone(number))
        chosen = draw.sample(ready, min(connections.servers, len(ready)))
        node.own_servers = [lines.id_hash(self.discovery_stub.name(n)) for n in chosen]
        node.queue(node.prepare_servers, node.own_servers)
        for mark in node.own_servers:
            for _ in range(max(1, round(connections.each * draw.log_normal(0.5)))):
                node.queue(self.open_at, node, mark)

    def group(self) -> int:
        """A small part of the groups have most connections."""
        groups = self.plan.connections.groups
        return 1 + int(groups * self.connection_draws.uniform() ** 3) if groups else 0

    def open_at(self, node: HollowBalancer, mark: int) -> None:
        """If the list names it, now that the node's turn has come."""
        for server in node.ready_of([mark]):
            node.open_connection(server, self.group())

    def open_elsewhere(self, node: HollowBalancer) -> None:
        """The decisions moved one: it stands elsewhere now."""
        draw = self.connection_draws.uniform
        if node.alive and node.own_servers:
            node.queue(self.open_at, node, node.own_servers[int(draw() * len(node.own_servers))])

    def next_change(self) -> None:
        mean = 1 / (self.plan.connections.changes * len(self.hollow))
        self.event_queue.schedule_after(
            self.connection_draws.exponential(mean), TROUBLE, self.connection_changes
        )

    def connection_changes(self) -> None:
        draw = self.connection_draws.uniform
        node = self.nodes[self.hollow[int(draw() * len(self.hollow))]]
        node.queue(node.replace_connection, draw(), draw(), self.group(), self.plan.connections.setup)
        self.next_change()

    def list_changes(self) -> None:
        """A server drains, ends, and another takes its place: three changes."""
        old, new = self.discovery_stub.replace(self.streams["list"].uniform())
        self.tell_change(old, "terminating")
        self.event_queue.schedule_after(DRAINS, TROUBLE, self.tell_change, old, "terminated")
        self.event_queue.schedule_after(DRAINS, TROUBLE, self.tell_change, new, "in_service")
        self.later("list", 3 * 60.0 / self.plan.list_changes, self.list_changes)

    def tell_change(self, number: int, state: str) -> None:
        self.discovery_stub.change(number, state)

    def kill(self, number: int, lasts: float) -> None:
        node = self.nodes[number]
        if node.alive:
            self.faults += node.counters["faults"]
            node.stop()
            if lasts:
                self.event_queue.schedule_after(lasts, TROUBLE, self.restart, number)

    def restart(self, number: int) -> None:
        self.restarts += 1
        self.nodes[number] = self.make_balancer(number)
        self.event_queue.schedule_after(REFILLED, TROUBLE, self.open_connections, number)

    def restart_one(self) -> None:
        self.kill(self.hollow[int(self.streams["restarts"].uniform() * len(self.hollow))], self.plan.down)
        self.later(
            "restarts", 3600 * TARGET_BALANCERS / (self.plan.restarts * len(self.hollow)), self.restart_one
        )

    def apply_trouble(self, trouble: Any) -> None:
        if isinstance(trouble, RackLost):
            count = max(1, round(trouble.share * len(self.measurements)))
            first = int(self.streams["racks"].uniform() * (len(self.measurements) - count + 1))
            for number in range(first, first + count):
                self.kill(number, trouble.lasts)
        elif isinstance(trouble, AggregatorLost):
            if self.last_broadcaster >= 0:
                self.kill(self.last_broadcaster, trouble.lasts)
        elif isinstance(trouble, RegionCut):
            self.cut_regions.add(trouble.region)
            self.cut_until[trouble.region] = self.now + trouble.lasts
            self.event_queue.schedule_after(trouble.lasts, TROUBLE, self.cut_regions.discard, trouble.region)
