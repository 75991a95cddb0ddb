"""What happens to a tier of balancers in a run: changes of connections and of the list, failures, partitions.

Derives the course of a run from its plan and seed, the same on virtual and on real time. Subclasses provide
the network and the balancers.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from bellrack.lab.event_queue import TROUBLE
from bellrack.lab.scale import figures
from bellrack.lab.scale.discovery_stub import DRAIN_SECONDS, DiscoveryStub
from bellrack.lab.scale.guard import MemoryGuard
from bellrack.lab.scale.hollow import HollowBalancer
from bellrack.lab.scale.plan import TARGET_BALANCERS, AggregatorLost, Plan, RackLost, RegionCut, region_of
from bellrack.lab.streams import RandomStreams
from bellrack.net import lines

RECONNECT_DELAY_SECONDS = 1.0  # after its restart, until a balancer gets its connections again


class Tier:
    """All balancers of a run. Each has a number in the tier; `nodes` holds the hollow ones by number.

    Subclasses set `event_queue`, and `discovery_stub`.
    """

    event_queue: Any
    discovery_stub: DiscoveryStub

    def __init__(self, plan: Plan, seed: int, guard: MemoryGuard):
        self.plan, self.guard, self.streams = plan, guard, RandomStreams(seed)
        self.connection_draws, self.balancer_seeds = self.streams["connections"], self.streams["balancers"]
        self.network_draws = self.streams["network"]
        self.measurements: list[figures.Measurements] = []  # by number
        self.nodes: dict[int, HollowBalancer] = {}
        self.hollow: list[int] = []  # numbers of the hollow balancers
        self.cut_regions: set[int] = set()  # regions that are partitioned from all others
        self.cut_until: dict[int, float] = {}  # end of the last partition, by region
        self.lost_datagrams = self.faults = self.restarts = 0
        self.last_broadcaster = -1  # number of the balancer that broadcast last; -1: none did

    @property
    def now(self) -> float:
        return self.event_queue.now

    def make_balancer(self, number: int) -> HollowBalancer:
        """Creates and starts a hollow balancer."""
        raise NotImplementedError

    def zone(self, number: int) -> int:
        """Zone of the balancer with this number."""
        return number % self.plan.zones

    def region(self, zone: int) -> int:
        """Region of a zone."""
        return region_of(self.plan, zone)

    def partitioned(self, zone: int, other_zone: int) -> bool:
        """Whether a partition separates these two zones."""
        zone, other_zone = self.region(zone), self.region(other_zone)
        return zone != other_zone and (zone in self.cut_regions or other_zone in self.cut_regions)

    def drops_datagram(self, sender: int, receiver: int) -> bool:
        """Decides whether a datagram between these two balancers is lost, and counts it if so."""
        if (
            self.cut_regions
            and self.partitioned(self.zone(sender), self.zone(receiver))
            or (self.plan.loss and self.network_draws.uniform() < self.plan.loss)
        ):
            self.lost_datagrams += 1
            return True
        return False

    def reset_counts(self) -> None:
        """Begins the period in which counts are taken."""
        for measurements in [*self.measurements, self.discovery_stub.measurements]:
            measurements.reset()
        self.lost_datagrams = self.restarts = 0

    def schedule_events(self) -> None:
        """Schedules the events of the plan."""
        plan = self.plan
        for number in self.hollow:
            self.event_queue.schedule_after(plan.warm_up * 0.25, TROUBLE, self.open_connections, number)
        if plan.connections.changes:
            self.schedule_connection_change()
        if plan.list_changes:
            self.schedule_at_random("list", 60.0 / plan.list_changes, self.replace_server)
        if rate := plan.restarts * len(self.hollow) / TARGET_BALANCERS / 3600:
            self.schedule_at_random("restarts", 1 / rate, self.restart_random_balancer)
        for trouble in plan.trouble:
            self.event_queue.schedule_after(trouble.at, TROUBLE, self.apply_trouble, trouble)

    def schedule_at_random(self, stream: str, mean_seconds: float, callback: Callable) -> None:
        """Schedules a call after an exponentially distributed delay from the random stream of this name."""
        self.event_queue.schedule_after(self.streams[stream].exponential(mean_seconds), TROUBLE, callback)

    def open_connections(self, number: int) -> None:
        """Chooses the servers at which a balancer holds connections, and opens these."""
        node, connections, draw = self.nodes[number], self.plan.connections, self.connection_draws
        if not node.alive:
            return
        ready = self.discovery_stub.ready_servers(self.zone(number))
        chosen = draw.sample(ready, min(connections.servers, len(ready)))
        node.own_servers = [lines.id_hash(self.discovery_stub.name(server)) for server in chosen]
        node.queue(node.prepare_servers, node.own_servers)
        for id_hash in node.own_servers:
            for _ in range(max(1, round(connections.each * draw.log_normal(0.5)))):
                node.queue(self.open_at, node, id_hash)

    def draw_group(self) -> int:
        """A random group; a small part of the groups have most connections. 0: the plan has no groups."""
        groups = self.plan.connections.groups
        return 1 + int(groups * self.connection_draws.uniform() ** 3) if groups else 0

    def open_at(self, node: HollowBalancer, id_hash: int) -> None:
        """Opens a connection at this server if the balancer's list names it as ready by now."""
        for server in node.ready_servers([id_hash]):
            node.open_connection(server, self.draw_group())

    def open_elsewhere(self, node: HollowBalancer) -> None:
        """Opens a connection at a random server in the place of one that the decisions moved."""
        draw = self.connection_draws.uniform
        if node.alive and node.own_servers:
            node.queue(self.open_at, node, node.own_servers[int(draw() * len(node.own_servers))])

    def schedule_connection_change(self) -> None:
        """Schedules the next change of a connection after an exponentially distributed delay."""
        mean_seconds = 1 / (self.plan.connections.changes * len(self.hollow))
        self.event_queue.schedule_after(
            self.connection_draws.exponential(mean_seconds), TROUBLE, self.change_connection
        )

    def change_connection(self) -> None:
        """Replaces a connection of a random balancer."""
        draw = self.connection_draws.uniform
        node = self.nodes[self.hollow[int(draw() * len(self.hollow))]]
        node.queue(node.replace_connection, draw(), draw(), self.draw_group(), self.plan.connections.setup)
        self.schedule_connection_change()

    def replace_server(self) -> None:
        """Drains and ends a random server, and puts another into its place: three changes of the list."""
        old, new = self.discovery_stub.choose_replacement(self.streams["list"].uniform())
        self.change_server(old, "terminating")
        self.event_queue.schedule_after(DRAIN_SECONDS, TROUBLE, self.change_server, old, "terminated")
        self.event_queue.schedule_after(DRAIN_SECONDS, TROUBLE, self.change_server, new, "in_service")
        self.schedule_at_random("list", 3 * 60.0 / self.plan.list_changes, self.replace_server)

    def change_server(self, number: int, state: str) -> None:
        """Changes a server's state in the list and publishes the change."""
        self.discovery_stub.change_server(number, state)

    def kill(self, number: int, lasts: float) -> None:
        """Kills a balancer, which restarts after `lasts` seconds; 0: never."""
        node = self.nodes[number]
        if node.alive:
            self.faults += node.counters["faults"]
            node.stop()
            if lasts:
                self.event_queue.schedule_after(lasts, TROUBLE, self.restart, number)

    def restart(self, number: int) -> None:
        """Replaces a killed balancer by a new one of the same number."""
        self.restarts += 1
        self.nodes[number] = self.make_balancer(number)
        self.event_queue.schedule_after(RECONNECT_DELAY_SECONDS, TROUBLE, self.open_connections, number)

    def restart_random_balancer(self) -> None:
        """Kills a random balancer, which restarts, and schedules the next such restart."""
        self.kill(self.hollow[int(self.streams["restarts"].uniform() * len(self.hollow))], self.plan.down)
        self.schedule_at_random(
            "restarts",
            3600 * TARGET_BALANCERS / (self.plan.restarts * len(self.hollow)),
            self.restart_random_balancer,
        )

    def apply_trouble(self, trouble: Any) -> None:
        """Begins one of the plan's troubles."""
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
