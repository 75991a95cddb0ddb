"""A stub of the discovery service: the list of servers, its changes, and the balancers that watch it.

Keeps the list of a run and builds the messages that are sent on the connections of the lab's discovery.
Whether a balancer gets a change late, or not at all, is decided by the run.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from time import process_time_ns
from typing import Any

from bellrack.lab import sockets
from bellrack.lab.scale import figures
from bellrack.lab.scale.plan import Plan, zone_name

DRAIN_SECONDS = 10.0  # from the start of a server's drain to its end
KEPT_CHANGES = 512  # a renewed watch that missed more gets the whole list


class CountedWatch(sockets.DiscoveryConnection):
    """A balancer's connection to discovery, with its bytes counted."""

    def data_received(self, data: bytes) -> None:
        start_ns = process_time_ns()
        self.node.measurements.bytes_in += len(data)
        super().data_received(data)
        self.node.count_processor_time(start_ns)

    def send_chunk(self, body: bytes) -> None:
        if not self.closed:
            self.node.measurements.bytes_out += len(body) + len(b"%x\r\n\r\n" % len(body))
        super().send_chunk(body)


class DiscoveryStub:
    """The discovery service. As all balancers get the same list, this one object stands for the `node`, its
    `world` and the world's `discovery` that a `sockets.DiscoveryConnection` uses."""

    down = False

    def __init__(self, plan: Plan, loop: Any, server_address: Callable[[int], str]):
        """`server_address(number)` gives the address, as host:port, under which a server is listed."""
        self.plan, self.loop, self.server_address = plan, loop, server_address
        self.world = self.discovery = self
        self.discovery_conns: dict[CountedWatch, None] = {}
        self.watching: dict[CountedWatch, None] = {}
        self.measurements = figures.DiscoveryMeasurements()
        self.version = 1
        self.states: dict[int, str] = dict.fromkeys(range(plan.servers), "in_service")  # by number
        self.next_number = plan.servers
        self.changes: list[tuple[int, bytes]] = []  # version and line
        self.cached_full_list: tuple[int, bytes] = (0, b"")  # version and line

    # The list.

    def entry(self, number: int, state: str) -> dict[str, Any]:
        """A server's entry of the list."""
        zone = number % self.plan.zones
        return {
            "instanceId": f"{zone_name(self.plan, zone)}-s{number}",
            "hostPort": self.server_address(number),
            "zone": zone_name(self.plan, zone),
            "machineType": "std",
            "cell": 0,
            "lifecycle": state,
            "weight": 1.0,
            "startedAtMs": 0,
        }

    def name(self, number: int) -> str:
        """A server's name."""
        return f"{zone_name(self.plan, number % self.plan.zones)}-s{number}"

    def line(self, entries: list[dict[str, Any]], whole: bool) -> bytes:
        """A message to a watch: the whole list, or changed entries."""
        return json.dumps({"generation": self.version, "reset": whole, "instances": entries}).encode() + b"\n"

    def full_list(self) -> bytes:
        """The message with the whole list, built once for each version."""
        if self.cached_full_list[0] != self.version:
            entries = [self.entry(number, state) for number, state in self.states.items()]
            self.cached_full_list = self.version, self.line(entries, True)
        return self.cached_full_list[1]

    def change_server(self, number: int, state: str) -> bytes:
        """Changes a server's state, sends the change to all watches, and returns the message."""
        start_ns = process_time_ns()
        self.version += 1
        if state == "terminated":
            self.states.pop(number, None)
        else:
            self.states[number] = state
        line = self.line([self.entry(number, state)], False)
        self.changes = [*self.changes[-KEPT_CHANGES + 1 :], (self.version, line)]
        for watch in list(self.watching):
            self.send(watch, line)
        self.count_processor_time(start_ns)
        return line

    def ready_servers(self, zone: int) -> list[int]:
        """Numbers of the ready servers of a zone, or of all zones if this one has none.

        This agrees with the spillover ratio: balancers would keep moving connections that cross zones back.
        """
        ready = [number for number, state in self.states.items() if state == "in_service"]
        return [number for number in ready if number % self.plan.zones == zone] or ready

    def choose_replacement(self, draw: float) -> tuple[int, int]:
        """Numbers of a ready server, selected by a random number from 0 to 1, and of its replacement."""
        ready = [number for number, state in self.states.items() if state == "in_service"]
        self.next_number += 1
        return ready[int(draw * len(ready))], self.next_number - 1

    # Called by the connections of watches.

    def watch_opened(self, watch: CountedWatch) -> None:
        """Begins a watch: sends the changes that it missed, or the whole list."""
        self.watching[watch] = None
        self.measurements.watches += 1
        after = int(watch.target.partition("after=")[2] or 0)
        missed = [line for version, line in self.changes if version > after]
        if after < self.version - len(missed) or not after:
            self.send(watch, self.full_list())
        else:
            for line in missed:
                self.send(watch, line)

    def send(self, watch: CountedWatch, line: bytes) -> None:
        self.measurements.lines += 1
        watch.send_chunk(line)

    def watch_closed(self, watch: CountedWatch) -> None:
        """Ends a watch."""
        self.watching.pop(watch, None)

    def request_refused(self) -> None: ...

    def rows(self) -> list[tuple[int, str]]:
        """All servers with their states, as the response to a request for a single list."""
        self.measurements.fetches += 1
        return list(self.states.items())

    def list_message(self, rows: list[tuple[int, str]], whole: bool) -> dict[str, Any]:
        return {
            "generation": self.version,
            "reset": whole,
            "instances": [self.entry(number, state) for number, state in rows],
        }

    def count_processor_time(self, start_ns: int) -> None:
        """Adds the processor time since `start_ns`, which is a value of `process_time_ns`."""
        spent_ns = process_time_ns() - start_ns
        self.measurements.cpu_ns += spent_ns
        self.measurements.longest_turn_ns = max(self.measurements.longest_turn_ns, spent_ns)
