"""Discovery in virtual time, and the front that deals out clients.

Owns what the service knows of the servers and when it tells whom, and which balancers the front takes for
alive. Neither sees a server's load, and neither decides where a call goes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from bellrack import model
from bellrack.lab.event_queue import LIST_UPDATE, TROUBLE

if TYPE_CHECKING:
    from bellrack.lab.machine import Machine
    from bellrack.lab.node import VirtualNode
    from bellrack.lab.world import World

FAILED_REQUEST_FACTOR = 4  # times as long counts a change as untold to a balancer whose question has failed
RESPONSE_SECONDS = 0.002  # seconds that the service takes for an answer


class DiscoveryModel:
    """Servers as discovery knows them: late, and by their processes alone."""

    def __init__(self, world: World):
        self.world, self.config, self.stream = world, world.scenario.listing, world.streams["list"]
        self.known: dict[Machine, tuple[str, float]] = dict.fromkeys(world.machines, (model.READY, 0.0))
        self.notice_due: dict[Machine, float] = {}  # when the last change of each is known
        self.down = 0  # outages that last
        self.watching: dict[VirtualNode, None] = {}
        self.lines = 0

    def change(self, machine: Machine, state: str, since: float, silent: bool = False) -> None:
        """It happened; the service learns of it later, of changes to one server in their order."""
        notice = self.stream.uniform_between(self.config.silent_notice if silent else self.config.notice)
        when = max(self.world.now + notice, self.notice_due.get(machine, 0.0))
        self.notice_due[machine] = when
        self.world.event_queue.schedule_at(when, TROUBLE, self.learn, machine, state, since)

    def learn(self, machine: Machine, state: str, since: float) -> None:
        if self.known[machine] == (state, since):
            return
        self.known[machine] = state, since
        if not self.down:
            for node in list(self.watching):
                self.send_update(node, [machine], False)
        within = self.world.scenario.rules.ask_within
        self.world.event_queue.schedule_after(
            within, LIST_UPDATE, self.count_as_told, machine, state, since, False
        )
        self.world.event_queue.schedule_after(
            FAILED_REQUEST_FACTOR * within, LIST_UPDATE, self.count_as_told, machine, state, since, True
        )

    def count_as_told(self, machine: Machine, state: str, since: float, after_failure: bool) -> None:
        """One that neither watches nor asks counts as told: it can't plead that it never heard. `even_so`:
        also one that has asked in vain."""
        if self.known[machine] == (state, since):
            for node in self.world.nodes:
                deaf = node not in self.watching and (after_failure or not node.discovery_failed)
                if node.alive and deaf and node.told.get(machine) != (state, since):
                    node.record_told(machine, state, since)

    def send_update(self, node: VirtualNode, machines: list[Machine], whole: bool) -> None:
        """Each balancer's line has its own delay; lines to one of them stay in order."""
        node.discovery_failed = False
        wait = RESPONSE_SECONDS + self.world.client_delay() + self.config.spread * self.stream.uniform()
        node.last_arrival = max(node.last_arrival, self.world.now + wait)
        rows = [(machine, *self.known[machine]) for machine in machines]
        self.lines += len(rows)
        self.world.event_queue.schedule_at(node.last_arrival, LIST_UPDATE, node.apply_list, rows, whole)

    def rows(self) -> list[tuple[Machine, str, float]]:
        return [(machine, *known) for machine, known in self.known.items()]

    def watch(self, node: VirtualNode, on: bool) -> None:
        if not on:
            self.watching.pop(node, None)
        elif self.down:
            self.world.event_queue.schedule_after(
                self.world.client_delay() * 2, LIST_UPDATE, node.on_discovery_failure
            )
        elif node not in self.watching:
            self.watching[node] = None
            self.send_update(node, list(self.known), True)

    def fetch(self, node: VirtualNode) -> None:
        if self.down:
            self.world.event_queue.schedule_after(
                self.world.client_delay() * 2, LIST_UPDATE, node.on_discovery_failure
            )
        else:
            self.send_update(node, list(self.known), True)

    def set_outage(self, down: bool) -> None:
        """An outage begins or ends; watches end with it, and each balancer is told that at once."""
        self.down += 1 if down else -1
        if down:
            watching, self.watching = list(self.watching), {}
            for node in watching:
                self.world.event_queue.schedule_after(
                    self.world.client_delay(), LIST_UPDATE, node.on_discovery_failure
                )


class Front:
    """Deals out clients among the balancers of their zone that it takes for alive, else among all."""

    def __init__(self, world: World):
        self.world, self.stream = world, world.streams["front"]
        self.alive: list[list[VirtualNode]] = [[] for _ in world.scenario.zone]

    def add(self, node: VirtualNode) -> None:
        if node.alive:
            self.alive[node.zone].append(node)

    def remove(self, node: VirtualNode) -> None:
        if node in self.alive[node.zone]:
            self.alive[node.zone].remove(node)

    def choose(self, zone: int) -> VirtualNode | None:
        among = self.alive[zone] or [node for nodes in self.alive for node in nodes]
        return among[int(self.stream.uniform() * len(among))] if among else None
