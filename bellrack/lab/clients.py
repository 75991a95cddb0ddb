"""Clients: demands for connections, which arrive in open loop, and the attempts at each demand.

The module decides when a client arrives, retries, gives up and leaves. Like a real client, it learns only of
answers and of the end of connections. A demand lasts from its arrival until its drawn end, served or not.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from bellrack.lab.event_queue import ARRIVAL, GUARD_TIME, START
from bellrack.lab.streams import cumulative_sums

if TYPE_CHECKING:
    from bellrack.lab.node import LegRecord, VirtualNode
    from bellrack.lab.world import World
    from bellrack.model import Call

UNREACHED_SECONDS = 0.05  # until a client notices that no balancer accepts its connection
NEVER_SECONDS = 1e9  # stands for an end that never comes


class Demand:
    """A client's demand for a connection.

    `due` is when its present request was first made, `ends` when the demand ends; `request` numbers requests,
    not attempts.
    """

    __slots__ = (
        "request",
        "type",
        "tenant",
        "group",
        "key",
        "zone",
        "load",
        "due",
        "ends",
        "never_retries",
        "honours_wait",
        "failures",
        "attempt",
        "returned",
        "over",
        "cost_draw",
        "failed_since",
    )

    def __init__(self, request: int, due: float):
        self.request, self.due = request, due
        self.failures = 0  # failed attempts in a row
        self.attempt: Attempt | None = None
        self.returned = self.over = False


class Attempt:
    """One attempt at a demand: one call at one balancer.

    `guard` is the guard time, at which the client gives up; `delay` the one-way delay to the balancer.
    """

    __slots__ = (
        "id",
        "demand",
        "node",
        "sent",
        "guard",
        "delay",
        "repeat",
        "call",
        "leg_record",
        "outcome",
        "due",
    )

    def __init__(
        self, number: int, demand: Demand, node: VirtualNode, sent: float, guard: float, delay: float
    ):
        self.id, self.demand, self.node = number, demand, node
        self.sent, self.guard, self.delay = sent, guard, delay
        self.repeat = demand.failures > 0
        self.call: Call | None = None
        self.leg_record: LegRecord | None = None  # of the last leg, under way or standing
        self.outcome = ""  # the answer that the client got, or how the attempt ended

    def on_answer(self, how: str, wait: float) -> None:
        """An answer reaches the client; `wait` is the retry delay (seconds) that it was told."""
        self.node.world.clients.on_answer(self, how, wait)

    def on_connection_end(self, how: str) -> None:
        """The connection ended for the client."""
        self.node.world.clients.on_connection_end(self, how)


class Clients:
    """All clients of a run."""

    def __init__(self, world: World):
        self.world, self.config = world, world.scenario.clients
        scenario = world.scenario
        self.arrivals, self.kinds, self.loads = (world.streams[c] for c in ("arrivals", "kinds", "loads"))
        self.habits, self.waits = world.streams["habits"], world.streams["waits"]
        self.zones = cumulative_sums([zone.clients for zone in scenario.zone])
        self.types = cumulative_sums([kind.share for kind in scenario.type])
        self.tenants = cumulative_sums([tenant.share * tenant.usage for tenant in scenario.tenant] or [1.0])
        self.groups = cumulative_sums(
            [1 / (n + 1) ** scenario.groups.zipf for n in range(scenario.groups.count)]
        )
        self.requests = self.calls = 0
        self.demands: dict[Demand, None] = {}  # those that have not ended
        self.dear: list = []  # `Dear` troubles in force
        self.burst = 1.0  # factor on the arrival rate

    # Arrivals and attempts.

    def begin(self) -> None:
        """Schedules the first arrival."""
        if self.config.rate:
            self.next_arrival()

    def next_arrival(self) -> None:
        """Schedules the next arrival, unless it is after the end of the run."""
        wait = self.arrivals.exponential(1 / (self.config.rate * self.burst))
        if self.world.now + wait < START + self.world.scenario.length:
            self.world.event_queue.schedule_after(wait, ARRIVAL, self.on_arrival)

    def on_arrival(self) -> None:
        """A client arrives."""
        self.next_arrival()
        self.connect(self.new_demand())

    def new_demand(self) -> Demand:
        """Creates a demand that is due now and draws its properties."""
        world, scenario = self.world, self.world.scenario
        self.requests += 1
        demand = Demand(self.requests, world.now)
        demand.type, demand.tenant = (
            self.kinds.weighted_index(self.types),
            self.kinds.weighted_index(self.tenants),
        )
        demand.zone = self.kinds.weighted_index(self.zones)
        demand.group = self.kinds.weighted_index(self.groups) + 1 if self.groups else 0
        demand.key = self.kinds.draw_seed()
        kind = scenario.type[demand.type]
        demand.ends = world.now + self.kinds.exponential(self.config.life * kind.life)
        demand.load = scenario.load.mean * kind.load * self.loads.log_normal(scenario.load.spread)
        # Whether a `Dear` trouble hits the demand; drawn even without one, so that troubles shift no draws.
        demand.cost_draw = self.loads.uniform()
        demand.load *= math.prod(trouble.factor for trouble in self.dear if self.is_dear(demand, trouble))
        demand.never_retries, demand.honours_wait = (
            self.habits.bernoulli(self.config.never),
            self.habits.bernoulli(self.config.honours),
        )
        demand.failed_since = world.now
        self.demands[demand] = None
        world.service_record.add_demand(demand, 1)
        world.event_queue.schedule_at(min(demand.ends, NEVER_SECONDS), GUARD_TIME, self.end_demand, demand)
        return demand

    def is_dear(self, demand: Demand, trouble) -> bool:
        """Whether a `Dear` trouble raises the load of this demand."""
        tenants, kinds = self.world.scenario.tenant, self.world.scenario.type
        matches = (
            tenants[demand.tenant].name == trouble.tenant
            if trouble.tenant and tenants
            else kinds[demand.type].name == trouble.type
        )
        return matches and demand.cost_draw < trouble.share

    def connect(self, demand: Demand) -> None:
        """Begins an attempt at the balancer that the front chooses."""
        if demand.over or demand.attempt:
            return
        world, kind = self.world, self.world.scenario.type[demand.type]
        node = world.front.choose(demand.zone)
        if node is None:
            self.attempt_failed(demand, None, 0.0)
            return
        self.calls += 1
        delay = world.client_delay() + (
            0 if node.zone == demand.zone else world.delay(demand.zone, node.zone)
        )
        attempt = demand.attempt = Attempt(self.calls, demand, node, world.now, world.now + kind.guard, delay)
        world.event_queue.schedule_after(delay, ARRIVAL, self.on_reached, attempt)
        world.event_queue.schedule_at(attempt.guard, GUARD_TIME, self.on_guard_time, attempt)

    def on_reached(self, attempt: Attempt) -> None:
        """The attempt reaches its balancer, if that is alive."""
        if not attempt.node.alive:
            attempt.on_answer("unreached", 0.0)
        else:
            attempt.node.turn(attempt.node.start_call, attempt)

    # Answers and ends.

    def on_answer(self, attempt: Attempt, how: str, wait: float) -> None:
        """The client got an answer; only the first one counts."""
        demand = attempt.demand
        if attempt.outcome:
            return
        attempt.outcome = how
        if demand.over or demand.attempt is not attempt:
            return
        if how == "completed":
            self.world.service_record.record_setup_time(demand, self.world.now - demand.failed_since)
            demand.failures = 0
            return
        self.attempt_failed(demand, attempt, wait)

    def on_guard_time(self, attempt: Attempt) -> None:
        """The guard time is over: without an answer the client gives up."""
        if attempt.outcome or attempt.demand.attempt is not attempt:
            return
        attempt.outcome = "gave up"
        self.world.counters["gave_up"] += 1
        self.close_connection(attempt)
        self.attempt_failed(attempt.demand, attempt, 0.0)

    def attempt_failed(self, demand: Demand, attempt: Attempt | None, wait: float) -> None:
        """Retries a failed attempt, or schedules a new request once retries are used up or not allowed.

        `attempt` is None where the front had no balancer; `wait` is the retry delay (seconds) that the client
        was told.
        """
        demand.attempt = None
        if demand.over:
            return
        world, kind = self.world, self.world.scenario.type[demand.type]
        how = attempt.outcome if attempt else "none"
        # A call that may have run and must not run twice is not retried: the client makes a new request.
        harmless = (
            how in ("rejected", "unreached", "none")
            or kind.effect == "repeatable"
            or kind.effect == "referenced"
            and kind.group == "all"
            and world.now < demand.due + kind.remembered
        )
        demand.failures += 1
        if not demand.never_retries and harmless and demand.failures <= self.config.retries:
            delay = self.waits.uniform_between(self.config.backoff)
            if how == "rejected" and wait and demand.honours_wait:
                delay = wait + delay
            if how in ("none", "unreached"):
                delay = max(delay, UNREACHED_SECONDS)
            world.event_queue.schedule_after(delay, ARRIVAL, self.connect, demand)
        elif self.config.again[1] and not demand.never_retries:
            demand.failures = 0
            world.event_queue.schedule_after(
                max(wait, self.waits.uniform_between(self.config.again)), ARRIVAL, self.new_request, demand
            )

    def new_request(self, demand: Demand) -> None:
        """Makes a new request for the same demand."""
        if not demand.over and not demand.attempt:
            self.requests += 1
            demand.request, demand.due = self.requests, self.world.now
            self.connect(demand)

    def on_connection_end(self, attempt: Attempt, how: str) -> None:
        """The connection ended, with MOVE or without. If it was established, the client soon reconnects."""
        demand = attempt.demand
        if demand.attempt is not attempt or how == attempt.outcome:
            return
        was_established = attempt.outcome == "completed"
        if was_established:
            self.world.trace.add(self.world.now, "over", attempt.id, how)
        # A call at a balancer that was killed counts as failed: the client may retry it.
        attempt.outcome = attempt.outcome or how
        demand.attempt = None
        if demand.over:
            return
        if not was_established:
            self.attempt_failed(demand, attempt, 0.0)
            return
        demand.returned, demand.failures, demand.failed_since = True, 0, self.world.now
        self.requests += 1
        demand.request, demand.due = self.requests, self.world.now
        self.world.event_queue.schedule_after(
            self.waits.uniform_between(self.config.rejoin), ARRIVAL, self.connect, demand
        )

    def close_connection(self, attempt: Attempt, kind: str = "cancelled") -> None:
        """The client closes its connection; the balancer learns of it one network delay later."""
        node = attempt.node
        self.world.event_queue.schedule_after(
            attempt.delay, ARRIVAL, node.turn, node.on_client_closed, attempt, kind
        )

    def end_demand(self, demand: Demand) -> None:
        """The demand is over, whether it was served or not."""
        demand.over = True
        del self.demands[demand]
        self.world.service_record.add_demand(demand, -1)
        if demand.attempt:
            attempt, demand.attempt = demand.attempt, None
            if attempt.outcome == "completed":
                self.world.trace.add(self.world.now, "over", attempt.id, "left")
            attempt.outcome = attempt.outcome or "left"
            self.close_connection(attempt, "completed")

    def drop_clients(self, share: float, zone: int | None) -> None:
        """A share of the connected clients, of one zone or of all, disconnects at once and connects again."""
        stream = self.world.streams["drops"]
        for demand in list(self.demands):
            attempt = demand.attempt
            if (
                stream.bernoulli(share)
                and attempt
                and attempt.outcome == "completed"
                and zone in (None, demand.zone)
            ):
                self.close_connection(attempt, "completed")
                self.on_connection_end(attempt, "dropped")
