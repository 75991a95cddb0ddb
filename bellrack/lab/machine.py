"""The model of one server, and of the session store that set-ups draw on: plain figures under a clock
handed in.

Owns how a server fills, slows, sheds, warms up and falls over. It knows no network, no balancer and no
client; both faces of the lab play it. Work is in core-seconds, load in cores, times are seconds on the
caller's clock.
"""

from __future__ import annotations

from collections import deque
from typing import Any

from bellrack.lab.scenario import Kind, Scenario, Store

MAX_UTILIZATION = (
    0.98  # utilisation beyond which a message's wait no longer follows from it but from what is piled up
)
FULL, FAILED = "full", "fails"


class Machine:
    """A server process and the machine under it."""

    def __init__(
        self, name: str, zone: int, cell: int, kind: Kind, speed: float, scenario: Scenario, group_cost: float
    ):
        self.name, self.zone, self.cell, self.kind = name, zone, cell, kind
        self.speed, self.scenario, self.group_cost = speed, scenario, group_cost
        self.up, self.draining, self.fallen, self.silent = True, False, False, False
        self.slowdown = 1.0
        self.failures: list[float] = []  # shares of set-ups that fail, by the troubles in force
        self.hung_until = 0.0  # it answers nothing till then
        self.started = 0.0  # 0: long ago
        self.starts = 0  # how often it came back
        self.backlog = 0.0  # core-seconds piled up
        self.demand = 0.0  # cores that what stands here asks for
        self.updated_at = 0.0  # when backlog was last brought up to date
        self.held: dict[Any, tuple[float, int]] = {}  # what stands, oldest first: its load and group
        self.groups: dict[int, int] = {}
        self.setups = 0  # accepted and not yet up
        self.received_recently: deque[float] = deque()  # when requests reached it lately, while cold
        self.sent_recently: deque[float] = deque()  # when some were sent to it lately
        self.offered = self.wasted = 0.0  # core-seconds of set-ups: all, and those that came to nothing

    @property
    def failing(self) -> float:
        return max(self.failures, default=self.kind.errors)

    def warm_share(self, now: float) -> float:
        """The share of its capacity that it has by now."""
        left = self.started + self.kind.warm_up - now
        if left <= 0 or not self.started:
            return 1.0
        return 1.0 - (1.0 - self.kind.cold_share) * min(1.0, left / self.kind.warm_up)

    def capacity(self, now: float) -> float:
        """Cores of speed 1 that it is worth now."""
        return self.kind.cores * self.speed * self.warm_share(now) / self.slowdown

    def advance(self, now: float) -> None:
        """Bring what is piled up to this time, evenly between two calls."""
        if now > self.updated_at:
            can = (self.capacity(now) + self.capacity(self.updated_at)) / 2
            most = self.kind.buffer * self.capacity(now)
            self.backlog = min(max(0.0, self.backlog + (self.demand - can) * (now - self.updated_at)), most)
            self.updated_at = now

    def queueing_delay(self, now: float) -> float:
        """Seconds of work that a new arrival waits for."""
        self.advance(now)
        return self.backlog / self.capacity(now)

    def message_delay(self, now: float) -> float:
        """Seconds that a message takes here now: what is piled up, and its own time under this
        utilisation."""
        busy = min(self.demand / self.capacity(now), MAX_UTILIZATION)
        return self.queueing_delay(now) + self.kind.message / self.capacity(now) * self.kind.cores / (
            1 - busy
        )

    def offer_setup(self, now: float, failing: bool) -> float | str:
        """A set-up reaches it: seconds until its own work on it is done, or why it turns it away."""
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
        """Count what a cold server is sent; over its budget it falls over and stays down."""
        if self.warm_share(now) >= 1.0:
            self.received_recently.clear()
            return
        self.record_in_window(self.received_recently, now)
        if self.scenario.overloads_cold_server(len(self.received_recently), self.kind, self.capacity(now)):
            self.fallen = True

    def record_in_window(self, window: deque[float], now: float) -> None:
        """One more now; those that the window of the cold rule has left behind go."""
        window.append(now)
        while window[0] <= now - self.scenario.rules.push_window:
            window.popleft()

    def add_connection(self, now: float, connection: Any, load: float, group: int) -> None:
        """A connection stands."""
        self.advance(now)
        self.held[connection] = load, group
        self.demand += load
        if group:
            self.groups[group] = self.groups.get(group, 0) + 1
            if self.groups[group] == 1:
                self.demand += self.group_cost

    def remove_connection(self, now: float, connection: Any) -> None:
        """It no longer does."""
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
            self.demand = 0.0  # guards against sums of fractions that never come back to nought

    def change_load(self, now: float, connection: Any, load: float) -> None:
        """Its load is another from now on."""
        if connection in self.held:
            self.advance(now)
            before, group = self.held[connection]
            self.held[connection] = load, group
            self.demand += load - before

    def connections_to_shed(self, now: float) -> list[Any]:
        """Connections that it drops now, as too much is piled up: enough to catch up within that time."""
        if self.kind.sheds == "none" or self.queueing_delay(now) <= self.kind.shed_at:
            return []
        order = list(self.held)[::-1]
        if self.kind.sheds == "heaviest":
            order.sort(key=lambda connection: -self.held[connection][0])
        over, gone = self.demand - self.capacity(now), []
        for connection in order:
            if over <= 0:
                break
            over -= self.held[connection][0]
            gone.append(connection)
        return gone

    def stop(self) -> list[Any]:
        """The process is gone; what stood here."""
        gone, self.up, self.draining = list(self.held), False, False
        self.held, self.groups, self.demand, self.backlog, self.setups = {}, {}, 0.0, 0.0, 0
        self.hung_until = 0.0
        self.received_recently.clear()
        return gone

    def start(self, now: float) -> None:
        """It is back, cold, under its old name."""
        self.up, self.draining, self.fallen, self.silent = True, False, False, False
        self.started, self.updated_at, self.starts = now, now, self.starts + 1


class SessionStore:
    """Calls wait in turn; each takes 1/rate, and a fixed delay that nobody waits behind."""

    def __init__(self, form: Store):
        self.config, self.slowdown = form, 1.0
        self.free_at = 0.0  # when the last that waits is through
        self.calls = self.failed = 0

    def call(self, now: float) -> float | None:
        """Seconds until it answers, or None if the caller gives it up after its time-out."""
        self.calls += 1
        begin = max(now, self.free_at)
        self.free_at = begin + self.slowdown / self.config.rate
        took = self.free_at - now + self.config.delay * self.slowdown
        if took > self.config.timeout:
            self.free_at = begin  # given up while it waits: it costs the store nothing
            self.failed += 1
            return None
        return took
