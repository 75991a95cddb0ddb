"""Models of discovery and of the front, which distributes clients over balancers.

Discovery knows the states of servers with a delay, and tells balancers with another. The front knows with a
delay which balancers are alive. Neither sees the load of servers, and neither chooses a server for a call.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from bellrack import model
from bellrack.lab.event_queue import LIST_UPDATE, TROUBLE

if TYPE_CHECKING:
    from bellrack.lab.machine import Machine
    from bellrack.lab.node import VirtualNode
    from bellrack.lab.world import World

# After a failed request, a balancer has this many times as long to ask again before it counts as told.
FAILED_REQUEST_FACTOR = 4
RESPONSE_SECONDS = 0.002  # that the service takes for an answer


class DiscoveryModel:
    """The servers as discovery knows them: late, and only by whether their processes run."""

    def __init__(self, world: World):
        self.world, self.config, self.stream = world, world.scenario.listing, world.streams["list"]
        self.known: dict[Machine, tuple[str, float]] = dict.fromkeys(world.machines, (model.READY, 0.0))
        self.notice_due: dict[Machine, float] = {}  # when it learns of the last change of each
        self.down = 0  # number of outages in force
        self.watching: dict[VirtualNode, None] = {}  # balancers with an open watch
        self.lines = 0  # list entries sent

    def change(self, machine: Machine, state: str, since: float, silent: bool = False) -> None:
        """A server changed its state; discovery learns of it later, in the order of the server's changes.

        `since` is the start of the server's process. `silent`: its machine vanished, which is noticed later.
        """
        notice = self.stream.uniform_between(self.config.silent_notice if silent else self.config.notice)
        when = max(self.world.now + notice, self.notice_due.get(machine, 0.0))
        self.notice_due[machine] = when
        self.world.event_queue.schedule_at(when, TROUBLE, self.learn, machine, state, since)

    def learn(self, machine: Machine, state: str, since: float) -> None:
        """Discovery learns of a change and sends it to all watches."""
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
        """Counts balancers as told that neither watch nor asked in time, so that rule 3 binds them too.

        `after_failure`: also those whose last request failed.
        """
        if self.known[machine] == (state, since):
            for node in self.world.nodes:
                not_listening = node not in self.watching and (after_failure or not node.discovery_failed)
                if node.alive and not_listening and node.told.get(machine) != (state, since):
                    node.record_told(machine, state, since)

    def send_update(self, node: VirtualNode, machines: list[Machine], whole: bool) -> None:
        """Sends the entries of these servers. Each line has its own delay; lines to one balancer keep their
        order. `whole`: the entries are the whole list."""
        node.discovery_failed = False
        wait = RESPONSE_SECONDS + self.world.client_delay() + self.config.spread * self.stream.uniform()
        node.last_arrival = max(node.last_arrival, self.world.now + wait)
        rows = [(machine, *self.known[machine]) for machine in machines]
        self.lines += len(rows)
        self.world.event_queue.schedule_at(node.last_arrival, LIST_UPDATE, node.apply_list, rows, whole)

    def rows(self) -> list[tuple[Machine, str, float]]:
        """Server, state and start of all servers, as discovery knows them."""
        return [(machine, *known) for machine, known in self.known.items()]

    def watch(self, node: VirtualNode, on: bool) -> None:
        """Opens or closes the watch of a balancer; the first update is the whole list."""
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
        """Sends a balancer the whole list once."""
        if self.down:
            self.world.event_queue.schedule_after(
                self.world.client_delay() * 2, LIST_UPDATE, node.on_discovery_failure
            )
        else:
            self.send_update(node, list(self.known), True)

    def set_outage(self, down: bool) -> None:
        """Begins or ends an outage. When one begins, all watches end, and their balancers notice at once."""
        self.down += 1 if down else -1
        if down:
            watching, self.watching = list(self.watching), {}
            for node in watching:
                self.world.event_queue.schedule_after(
                    self.world.client_delay(), LIST_UPDATE, node.on_discovery_failure
                )


class Front:
    """Distributes clients over the balancers of their zone that it considers alive, else over those of all
    zones."""

    def __init__(self, world: World):
        self.world, self.stream = world, world.streams["front"]
        self.alive: list[list[VirtualNode]] = [[] for _ in world.scenario.zone]

    def add(self, node: VirtualNode) -> None:
        """The front begins to send clients to a balancer."""
        if node.alive:
            self.alive[node.zone].append(node)

    def remove(self, node: VirtualNode) -> None:
        """The front stops sending clients to a balancer."""
        if node in self.alive[node.zone]:
            self.alive[node.zone].remove(node)

    def choose(self, zone: int) -> VirtualNode | None:
        """A balancer for a client of this zone, drawn at random; None if none is alive."""
        candidates = self.alive[zone] or [node for nodes in self.alive for node in nodes]
        return candidates[int(self.stream.uniform() * len(candidates))] if candidates else None
