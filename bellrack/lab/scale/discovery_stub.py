"""The stand-in for discovery: the list of servers, its changes, and who watches it.

Owns the list of a run and what is said of it on the lines of the lab's discovery. It knows no balancer and
no loop but the one it is given; who hears of a change late or not at all is the run's.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from time import process_time_ns
from typing import Any

from bellrack.lab import sockets
from bellrack.lab.scale import figures
from bellrack.lab.scale.plan import Plan, zone_name

DRAINS = 10.0  # seconds from a server's drain to its end
KEPT = 512  # changes that a renewed watch may ask for; of older versions it gets the whole list


class CountedWatch(sockets.DiscoveryConnection):
    """A balancer's connection to discovery, whose bytes are counted."""

    def data_received(self, data: bytes) -> None:
        begun = process_time_ns()
        self.node.measurements.bytes_in += len(data)
        super().data_received(data)
        self.node.spent(begun)

    def send_chunk(self, body: bytes) -> None:
        if not self.closed:
            self.node.measurements.bytes_out += len(body) + len(b"%x\r\n\r\n" % len(body))
        super().send_chunk(body)


class DiscoveryStub:
    """Is its own `world` and `discovery` to the lines of discovery: there is one list for all."""

    down = False

    def __init__(self, plan: Plan, loop: Any, place: Callable[[int], str]):
        self.plan, self.loop, self.place = plan, loop, place
        self.world = self.discovery = self
        self.discovery_conns: dict[CountedWatch, None] = {}
        self.watching: dict[CountedWatch, None] = {}
        self.measurements = figures.DiscoveryMeasurements()
        self.version = 1
        self.states: dict[int, str] = dict.fromkeys(range(plan.servers), "in_service")  # by number
        self.next = plan.servers
        self.changes: list[tuple[int, bytes]] = []  # version and line
        self.whole_at: tuple[int, bytes] = (0, b"")

    # The list.

    def item(self, number: int, state: str) -> dict[str, Any]:
        zone = number % self.plan.zones
        return {
            "instanceId": f"{zone_name(self.plan, zone)}-s{number}",
            "hostPort": self.place(number),
            "zone": zone_name(self.plan, zone),
            "machineType": "std",
            "cell": 0,
            "lifecycle": state,
            "weight": 1.0,
            "startedAtMs": 0,
        }

    def name(self, number: int) -> str:
        return f"{zone_name(self.plan, number % self.plan.zones)}-s{number}"

    def line(self, items: list[dict[str, Any]], whole: bool) -> bytes:
        return json.dumps({"generation": self.version, "reset": whole, "instances": items}).encode() + b"\n"

    def whole(self) -> bytes:
        if self.whole_at[0] != self.version:
            items = [self.item(number, state) for number, state in self.states.items()]
            self.whole_at = self.version, self.line(items, True)
        return self.whole_at[1]

    def change(self, number: int, state: str) -> bytes:
        """A server's entry is another now; all who watch are told."""
        begun = process_time_ns()
        self.version += 1
        if state == "terminated":
            self.states.pop(number, None)
        else:
            self.states[number] = state
        line = self.line([self.item(number, state)], False)
        self.changes = [*self.changes[-KEPT + 1 :], (self.version, line)]
        for watcher in list(self.watching):
            self.tell(watcher, line)
        self.spent(begun)
        return line

    def ready(self, zone: int) -> list[int]:
        """Servers of a zone that may be sent to, or of all zones if it has none: as the spillover ratio has
        it, and connections that cross zones would be called home all the time."""
        ready = [number for number, state in self.states.items() if state == "in_service"]
        return [number for number in ready if number % self.plan.zones == zone] or ready

    def replace(self, lot: float) -> tuple[int, int]:
        """A server, by a lot of 0 to 1, that is to go, and the number of the one that takes its place."""
        ready = [number for number, state in self.states.items() if state == "in_service"]
        self.next += 1
        return ready[int(lot * len(ready))], self.next - 1

    # What the lines ask of it.

    def watch_opened(self, line: CountedWatch) -> None:
        self.watching[line] = None
        self.measurements.watches += 1
        after = int(line.target.partition("after=")[2] or 0)
        missed = [told for version, told in self.changes if version > after]
        if after < self.version - len(missed) or not after:
            self.tell(line, self.whole())
        else:
            for told in missed:
                self.tell(line, told)

    def tell(self, line: CountedWatch, told: bytes) -> None:
        self.measurements.lines += 1
        line.send_chunk(told)

    def watch_closed(self, line: CountedWatch) -> None:
        self.watching.pop(line, None)

    def request_refused(self) -> None: ...

    def rows(self) -> list[tuple[int, str]]:
        self.measurements.fetches += 1
        return list(self.states.items())

    def list_message(self, rows: list[tuple[int, str]], whole: bool) -> dict[str, Any]:
        return {
            "generation": self.version,
            "reset": whole,
            "instances": [self.item(number, state) for number, state in rows],
        }

    def spent(self, begun: int) -> None:
        spent = process_time_ns() - begun
        self.measurements.cpu_ns += spent
        self.measurements.longest_turn_ns = max(self.measurements.longest_turn_ns, spent)
