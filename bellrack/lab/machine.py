"""The model of one server and of the session store that set-ups call.

A server queues work, slows down, sheds connections, warms up after a start and falls over under too many
requests while cold. Virtual-time and loopback runs share the model; network, balancers and clients are
outside of it. Work is in core-seconds, load in cores; times are seconds on a clock that the caller passes in.
"""

from __future__ import annotations

from collections import deque
from typing import Any

from bellrack.lab.scenario import Kind, Scenario, Store

# Above this utilization the delay of a message comes from the backlog; utilization adds no more.
MAX_UTILIZATION = 0.98
# Why a set-up is refused.
FULL = "full"
FAILED = "fails"


class Machine:
    """A server process and its machine.

    `speed` multiplies its cores; `group_cost` is the load (cores) of holding any connection of a group.
    """

    def __init__(
        self, name: str, zone: int, cell: int, kind: Kind, speed: float, scenario: Scenario, group_cost: float
    ):
        self.name, self.zone, self.cell, self.kind = name, zone, cell, kind
        self.speed, self.scenario, self.group_cost = speed, scenario, group_cost
        self.up, self.draining, self.fallen, self.silent = True, False, False, False
        self.slowdown = 1.0
        self.failures: list[float] = []  # shares of set-ups that fail, by the troubles in force
        self.hung_until = 0.0  # it sends nothing until then
        self.started = 0.0  # 0: long ago, so it is warm
        self.starts = 0  # number of restarts
        self.backlog = 0.0  # core-seconds of queued work
        self.demand = 0.0  # load of the connections here, in cores
        self.updated_at = 0.0  # when `backlog` was last updated
        self.held: dict[Any, tuple[float, int]] = {}  # connections, oldest first: load and group
        self.groups: dict[int, int] = {}  # connections of each group
        self.setups = 0  # accepted and not yet up
        self.received_recently: deque[float] = deque()  # arrival times of requests, while cold
        self.sent_recently: deque[float] = deque()  # times when requests were sent to it
        # Core-seconds of set-ups: all, and those that brought no connection.
        self.offered = self.wasted = 0.0

    @property
    def failing(self) -> float:
        """The share of set-ups that fail."""
        return max(self.failures, default=self.kind.errors)

    def warm_share(self, now: float) -> float:
        """The share of its full capacity that it has reached since its start."""
        remaining = self.started + self.kind.warm_up - now
        if remaining <= 0 or not self.started:
            return 1.0
        return 1.0 - (1.0 - self.kind.cold_share) * min(1.0, remaining / self.kind.warm_up)

    def capacity(self, now: float) -> float:
        """Its capacity now, in cores of speed 1."""
        return self.kind.cores * self.speed * self.warm_share(now) / self.slowdown

    def advance(self, now: float) -> None:
        """Updates the backlog, at the mean capacity since the last update."""
        if now > self.updated_at:
            mean_capacity = (self.capacity(now) + self.capacity(self.updated_at)) / 2
            limit = self.kind.buffer * self.capacity(now)
            self.backlog = min(
                max(0.0, self.backlog + (self.demand - mean_capacity) * (now - self.updated_at)), limit
            )
            self.updated_at = now

    def queueing_delay(self, now: float) -> float:
        """Seconds that new work waits for the backlog."""
        self.advance(now)
        return self.backlog / self.capacity(now)

    def message_delay(self, now: float) -> float:
        """Seconds that a message takes now: the queueing delay, and its own time at this utilization."""
        utilization = min(self.demand / self.capacity(now), MAX_UTILIZATION)
        return self.queueing_delay(now) + self.kind.message / self.capacity(now) * self.kind.cores / (
            1 - utilization
        )

    def offer_setup(self, now: float, failing: bool) -> float | str:
        """Offers a set-up. Returns the seconds until the server's own work on it is done, FULL or FAILED."""
        work, wait = self.kind.setup, self.queueing_delay(now)
        self.offered += work
        self.record_cold_request(now)
        if self.fallen:
            return FAILED
        if self.draining or len(self.held) + self.setups >= self.kind.holds or wait > self.kind.queue:
            self.wasted += work
            return FULL
        self.backlog += work
        if failing:
            self.wasted += work
            return FAILED
        self.setups += 1
        return wait + work / self.capacity(now)

    def record_cold_request(self, now: float) -> None:
        """Counts a request at a cold server; over the limit of rule 4 the server falls over for good."""
        if self.warm_share(now) >= 1.0:
            self.received_recently.clear()
            return
        self.record_in_window(self.received_recently, now)
        if self.scenario.overloads_cold_server(len(self.received_recently), self.kind, self.capacity(now)):
            self.fallen = True

    def record_in_window(self, window: deque[float], now: float) -> None:
        """Adds the present time, and drops times that have left the window of rule 4."""
        window.append(now)
        while window[0] <= now - self.scenario.rules.push_window:
            window.popleft()

    def add_connection(self, now: float, connection: Any, load: float, group: int) -> None:
        """A connection is up: `load` in cores, `group` 0 for none."""
        self.advance(now)
        self.held[connection] = load, group
        self.demand += load
        if group:
            self.groups[group] = self.groups.get(group, 0) + 1
            if self.groups[group] == 1:
                self.demand += self.group_cost

    def remove_connection(self, now: float, connection: Any) -> None:
        """A connection ended."""
        if connection not in self.held:
            return
        self.advance(now)
        load, group = self.held.pop(connection)
        self.demand -= load
        if group:
            self.groups[group] -= 1
            if not self.groups[group]:
                del self.groups[group]
                self.demand -= self.group_cost
        if not self.held:
            self.demand = 0.0  # otherwise rounding errors would accumulate

    def change_load(self, now: float, connection: Any, load: float) -> None:
        """The load of a connection changed."""
        if connection in self.held:
            self.advance(now)
            old_load, group = self.held[connection]
            self.held[connection] = load, group
            self.demand += load - old_load

    def connections_to_shed(self, now: float) -> list[Any]:
        """Connections that an overloaded server closes now: enough to bring its load down to its capacity."""
        if self.kind.sheds == "none" or self.queueing_delay(now) <= self.kind.shed_at:
            return []
        order = list(self.held)[::-1]
        if self.kind.sheds == "heaviest":
            order.sort(key=lambda connection: -self.held[connection][0])
        excess, chosen = self.demand - self.capacity(now), []
        for connection in order:
            if excess <= 0:
                break
            excess -= self.held[connection][0]
            chosen.append(connection)
        return chosen

    def stop(self) -> list[Any]:
        """Ends the process; returns its connections."""
        connections, self.up, self.draining = list(self.held), False, False
        self.held, self.groups, self.demand, self.backlog, self.setups = {}, {}, 0.0, 0.0, 0
        self.hung_until = 0.0
        self.received_recently.clear()
        return connections

    def start(self, now: float) -> None:
        """Starts the process again, cold, under the same name."""
        self.up, self.draining, self.fallen, self.silent = True, False, False, False
        self.started, self.updated_at, self.starts = now, now, self.starts + 1


class SessionStore:
    """The session store: one queue that serves `rate` calls a second, with a fixed delay on top."""

    def __init__(self, config: Store):
        self.config, self.slowdown = config, 1.0
        self.free_at = 0.0  # when the queue is empty
        self.calls = self.failed = 0

    def call(self, now: float) -> float | None:
        """Seconds until the store answers, or None if the call times out."""
        self.calls += 1
        start = max(now, self.free_at)
        self.free_at = start + self.slowdown / self.config.rate
        took = self.free_at - now + self.config.delay * self.slowdown
        if took > self.config.timeout:
            self.free_at = start  # abandoned while queued: it costs the store no work
            self.failed += 1
            return None
        return took
