"""Generated starts of cold servers: do all balancers together keep within the budget of a cold server?

A start consists of a tier of balancers with uneven traffic, servers that come back cold, and clients that
reconnect at once. The simulation counts the set-ups sent to each cold server, and compares the count in each
window with the formula of rule 4. Balancers run the decisions of this build on virtual time; the network is
a delay. The same seed gives the same start and the same result.
"""

from __future__ import annotations

import heapq
import math
import multiprocessing
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass
from random import Random
from typing import Any

from tqdm import tqdm

from bellrack import model
from bellrack.accounting import Accounting
from bellrack.choice import Balancer
from bellrack.lab.scenario import max_cold_requests
from bellrack.model import Call, Leg, Result, Server, Settings, TrafficType

# Numbers of balancers: half of the starts have one of these, the others a number between them.
SIZES = (3, 20, 30, 200)
MESSAGE_AIM_SECONDS = 0.1
SETUP_TARGET_SECONDS = 0.3
GUARD_SECONDS = 1.5  # until a client gives up
SETUP_SECONDS = (0.004, 0.03)  # range of the duration of a set-up
SHORT_LIFE_SECONDS = (0.0, 0.2)  # range of the life of a short connection
NOTICE_SECONDS = (0.0, 3.0)  # range of the delay until a balancer learns of a start
MESSAGE_SECONDS = 0.002  # delay of a datagram between balancers
MAX_FULLNESS = 1.7  # a warm server refuses connections above this multiple of those that it can carry
OBSERVATION_SECONDS = 2.5  # in which balancers see the load of warm servers, before the cold ones start
LATE_DELAY_SHARE = 0.6  # of the message aim: the delay that overloaded warm servers report each second
MAX_CALLS = 2500  # for each start; otherwise some would take minutes


@dataclass(frozen=True)
class Start:
    """The properties drawn for one start, in seconds, shares and numbers of connections."""

    seed: int
    balancers: int
    idle: float  # share of the balancers without traffic, except during the rush
    fresh: float  # share of the others that has just restarted, without connections
    spread: float  # standard deviation of the logarithm of a balancer's part of the traffic
    bears: float  # connections that a warm server can carry, per unit of listed size
    size: float  # of each server, as listed
    used: float  # share of these connections that warm servers have
    warm: int  # servers that keep running
    cold: int  # servers that come back cold, all at once
    zone: bool  # the cold ones are a whole zone
    cold_share: float
    ramp_time: float
    overload_factor: float
    fall_time: float
    tells: bool  # balancers may exchange messages
    short: float  # share of the connections that end at once
    demand: float  # new connections for each cold server, over those that fill it evenly during the warm-up
    rush: float  # share of all connections, with those of lost servers, that reconnect within 0.5 s
    rush_at: float  # share of the warm-up after which the rush comes
    drowning: bool  # warm servers report late messages all the time
    retries: int
    grouped: bool
    moves: int = 0  # times that the traffic moved between balancers before the start


def draw_start(seed: int, sizes: tuple[int, ...] = SIZES) -> Start:
    """Draws the start of a seed; `sizes` are the numbers of balancers to draw from."""
    random = Random(seed)
    between, one_of = random.uniform, random.choice
    any_size = round(math.exp(between(math.log(min(sizes)), math.log(max(sizes)))))
    return Start(
        seed=seed,
        balancers=one_of((one_of(sizes), any_size)),
        idle=one_of((0.0, 0.5)),
        fresh=one_of((0.0, 0.5, 0.5, 1.0)),
        spread=one_of((0.0, 0.7, 1.4)),
        bears=between(8.0, 30.0),
        size=one_of((1.0, 2.0, 3.5)),
        used=between(0.2, 1.0),
        warm=one_of((1, 3, 6, 20, 50)),
        cold=random.randint(1, 4),
        zone=random.random() < 0.4,
        cold_share=between(0.12, 0.36),
        ramp_time=between(6.0, 24.0),
        overload_factor=between(1.5, 4.0),
        fall_time=between(1.0, 2.0),
        tells=random.random() < 0.5,
        short=one_of((0.0, 0.3, 1.0)),
        demand=one_of((0.3, 1.0, 4.0)),
        rush=one_of((0.0, 0.3, 0.6)),
        rush_at=between(0.0, 0.9),
        drowning=random.random() < 0.4,
        retries=one_of((0, 1, 3)),
        grouped=random.random() < 0.3,
    )


class SimulatedHost(Accounting):
    """One balancer: the `Host` of its decisions (model.py) in the simulation of a start."""

    def __init__(
        self,
        simulation: SimulatedStart,
        number: int,
        settings: Settings,
        seed: int,
        balancer_class: Callable[..., Any],
    ):
        self.simulation, self.number = simulation, number
        super().__init__(settings, seed, simulation.now, balancer_class)

    def turn(self, callback: Callable, *values: Any) -> None:
        """Handles one event now."""
        self.now = self.simulation.now
        callback(*values)

    def schedule_event(self, wait: float, callback: Callable, *values: Any) -> None:
        """Schedules an event of this balancer, `wait` seconds from now."""
        self.simulation.schedule_at(self.simulation.now + wait, self.turn, callback, *values)

    def send(self, call: Call, server: Server, until: float) -> Leg:
        leg = self.begin_leg(call, server)
        self.simulation.record_setup(server)
        self.schedule_event(self.simulation.random.uniform(*SETUP_SECONDS), self.on_setup_done, leg)
        return leg

    def on_setup_done(self, leg: Leg) -> None:
        """The set-up of a leg ended: established, or refused by a full server."""
        if leg.result is None and self.simulation.is_full(leg.server):
            self.leg_ended(leg, Result(model.FULL), False)
        elif leg.result is None:
            leg.call.done = True
            self.leg_established(leg)
            if self.simulation.random.random() < self.simulation.start.short:
                self.schedule_event(
                    self.simulation.random.uniform(*SHORT_LIFE_SECONDS), self.end_leg, leg, model.COMPLETED
                )

    def end_leg(self, leg: Leg, kind: str) -> None:
        """Reports the result of a leg, unless it has one."""
        if leg.result is None:
            self.leg_ended(leg, Result(kind), True)

    def cancel(self, leg: Leg) -> None:
        self.schedule_event(0.0, self.end_leg, leg, model.CANCELLED)

    def reject(self, call: Call, wait: float = 0.0) -> None:
        call.done = True
        if call.host_record:
            self.schedule_event(
                wait + self.simulation.random.uniform(0.05, 0.3),
                self.start_call,
                call.host_record - 1,
                call.group,
            )

    def release(self, call: Call) -> None:
        call.done = True

    def move(self, call: Call) -> None:
        self.schedule_event(0.0, self.end_leg, call.legs[-1], model.CANCELLED)
        self.schedule_event(
            self.simulation.random.uniform(0.05, 1.0),
            self.start_call,
            self.simulation.start.retries,
            call.group,
        )

    def start_call(self, retries: int, group: int) -> None:
        """A client requests a connection; rejected or moved, it comes again up to `retries` times."""
        call = self.new_call(0, GUARD_SECONDS, group=group)
        call.host_record = retries
        self.balancer.on_call(call)

    def set_timer(self, when: float, token: Any) -> None:
        self.simulation.schedule_at(when, self.turn, lambda: self.balancer.on_timer(token))

    def send_datagram(self, peer: int | None, data: bytes) -> None:
        for other in self.simulation.hosts if peer is None else self.simulation.hosts[peer : peer + 1]:
            if other is not self:
                other.schedule_event(MESSAGE_SECONDS, other.receive_datagram, self.number, data)

    def receive_datagram(self, peer: int, data: bytes) -> None:
        """A datagram of another balancer arrived."""
        self.balancer.on_datagram(peer, data)

    def watch(self, on: bool = True) -> None: ...
    def fetch_list(self) -> None: ...
    def probe(self, server: Server) -> None: ...
    def log(self, text: str) -> None: ...


class SimulatedStart:
    """The simulation of one start, until a cold server falls over or the warm-up ends.

    `fell` says whether one fell over; `nearest` and `window` are the highest number of set-ups in a window,
    as a share of the limit and as a count; `sent` counts all set-ups at cold servers.
    """

    def __init__(self, start: Start, balancer_class: Callable[..., Any] = Balancer):
        self.start, self.random, self.now = start, Random(f"{start.seed} play"), 1000.0
        self.heap: list[tuple[float, int, Callable, tuple]] = []
        self.events = 0
        self.returns_at = self.now + OBSERVATION_SECONDS  # when the cold servers come back
        self.warm_connections = start.bears * start.size  # connections that a warm server can carry
        # By id hash of a cold server: the times of the set-ups within the window.
        self.recent_setups: dict[int, deque[float]] = {}
        self.fell, self.nearest, self.sent, self.window = False, 0.0, 0, 0
        self.id_hashes = list(range(101, 101 + 7919 * (start.warm + start.cold), 7919))
        self.cold = set(self.id_hashes[: start.cold])
        rules = Settings(
            types=[TrafficType(model.REPEATABLE, "all", 0.0, SETUP_TARGET_SECONDS, MESSAGE_AIM_SECONDS)],
            zone=0,
            peers=start.balancers,
            asks=False,
            live=False,
            report=(),
            max_legs=3,
            max_open_wait=1.0,
            tick=0.004,
            answer_slack=0.016,
            cold_share=start.cold_share,
            ramp_time=start.ramp_time,
            overload_factor=start.overload_factor,
            fall_time=start.fall_time,
        )
        self.hosts = []
        for number in range(start.balancers):
            settings = Settings(
                **vars(rules)
                | {"number": number, "zone": number % 2, "may_publish": start.tells and start.balancers > 2}
            )
            self.hosts.append(
                SimulatedHost(self, number, settings, self.random.getrandbits(62), balancer_class)
            )

    def schedule_at(self, when: float, callback: Callable, *values: Any) -> None:
        """Schedules `callback(*values)` for a time in seconds, or for now if that time has passed."""
        self.events += 1
        heapq.heappush(self.heap, (max(when, self.now), self.events, callback, values))

    def zone(self, id_hash: int) -> int:
        """The zone of a server."""
        return 0 if id_hash in self.cold else 1 if self.start.zone else self.id_hashes.index(id_hash) % 2

    def entries_of(self, state: str, since: float, id_hashes: list[int]) -> list[tuple]:
        """List entries of these servers: their state, and the start of their processes (seconds)."""
        return [(id_hash, state, 0, self.zone(id_hash), self.start.size, since, 0) for id_hash in id_hashes]

    def begin(self) -> None:
        """Creates the connections on warm servers and schedules the traffic and the notices of the start."""
        start, random = self.start, self.random
        order = random.sample(self.hosts, len(self.hosts))
        busy = order[: max(1, round(len(order) * (1 - start.idle)))]
        parts = {host: random.lognormvariate(0.0, start.spread) for host in busy}
        fresh = set(random.sample(busy, round(len(busy) * start.fresh)))
        warm = [id_hash for id_hash in self.id_hashes if id_hash not in self.cold]
        for host in self.hosts:
            if host not in fresh:
                host.turn(host.apply_entries, self.entries_of(model.READY, 0.0, self.id_hashes), True)
                host.turn(host.apply_entries, self.entries_of(model.GONE, 0.0, sorted(self.cold)), False)
        # Connections of restarted balancers have reconnected elsewhere: only the others have connections.
        hosts_with_load = [host for host in busy if host not in fresh]
        weights = [parts[host] for host in hosts_with_load]
        for id_hash in warm if hosts_with_load else ():
            for host in random.choices(hosts_with_load, weights, k=round(start.used * self.warm_connections)):
                call = host.new_call(0, GUARD_SECONDS)
                call.done = True
                host.turn(host.resume_leg, host.begin_leg(call, host.servers[id_hash]))
        for host in self.hosts:
            # Balancers that have just restarted learn of the start from their first list.
            returned = self.entries_of(model.READY, self.returns_at, sorted(self.cold))
            when = self.returns_at + random.uniform(*NOTICE_SECONDS)
            entries = returned + self.entries_of(model.READY, 0.0, warm) if host in fresh else returned
            self.schedule_at(when, host.turn, host.apply_entries, entries, host in fresh)
        rate = start.demand * start.cold * self.warm_connections / start.ramp_time
        for host in busy:
            self.schedule_arrivals(host, rate * parts[host] / sum(parts.values()))
        reconnecting = start.rush * start.used * self.warm_connections * (start.warm + start.cold)
        # Reconnecting clients are distributed over all balancers, idle ones too.
        for _ in range(min(MAX_CALLS // 2, round(reconnecting))):
            when = self.returns_at + start.rush_at * start.ramp_time + random.uniform(0.0, 0.5)
            self.schedule_at(when, self.on_client_arrival, random.choice(self.hosts))
        self.schedule_at(self.returns_at + random.random(), self.report_late_messages, warm)
        for _ in range(start.moves):
            self.record_earlier_load(self.draw_traffic_shares())
        for host in hosts_with_load:  # as the decision about each call would
            for turn in range(3):
                self.schedule_at(
                    self.now + turn * OBSERVATION_SECONDS / 2.4,
                    host.turn,
                    host.balancer.slow_start.baseline_load,
                )

    def draw_traffic_shares(self) -> dict[SimulatedHost, float]:
        """Draws a distribution of the traffic: shares by balancer, without those that have none."""
        random, count = self.random, max(1, round(len(self.hosts) * (1 - self.start.idle)))
        drawn = {
            host: random.lognormvariate(0.0, self.start.spread) for host in random.sample(self.hosts, count)
        }
        return {host: part / sum(drawn.values()) for host, part in drawn.items()}

    def record_earlier_load(self, parts: dict[SimulatedHost, float]) -> None:
        """Lets each balancer have had its part of the connections of warm servers at some time."""
        for host, part in parts.items():
            slow_start = host.balancer.slow_start
            slow_start.proven_load = max(slow_start.proven_load, self.start.used * self.start.bears * part)

    def schedule_arrivals(self, host: SimulatedHost, rate: float) -> None:
        """Schedules the clients of a balancer during the warm-up; `rate` is a second."""
        rate, when = min(rate, MAX_CALLS / 2 / self.start.ramp_time), self.returns_at
        while (
            rate and (when := when + self.random.expovariate(rate)) < self.returns_at + self.start.ramp_time
        ):
            self.schedule_at(when, self.on_client_arrival, host)

    def on_client_arrival(self, host: SimulatedHost) -> None:
        """A new client requests a connection."""
        group = self.random.randint(1, 40) if self.start.grouped else 0
        host.turn(host.start_call, self.start.retries, group)

    def open_connections(self, id_hash: int) -> int:
        """The legs of all balancers at a server."""
        return sum(
            host.servers[id_hash].local_state.open_legs for host in self.hosts if id_hash in host.servers
        )

    def is_full(self, server: Server) -> bool:
        """Whether a warm server refuses new connections."""
        return (
            server.id_hash not in self.cold
            and self.open_connections(server.id_hash) > MAX_FULLNESS * self.warm_connections
        )

    def report_late_messages(self, warm: list[int]) -> None:
        """Overloaded warm servers report late messages once a second, on one connection of each balancer."""
        for id_hash in warm:
            if self.start.drowning or self.open_connections(id_hash) > self.warm_connections:
                for host in self.hosts:
                    if id_hash in host.servers and (
                        leg := next(iter(host.servers[id_hash].local_state.established_legs), None)
                    ):
                        host.turn(
                            host.balancer.on_delay_reported, leg, LATE_DELAY_SHARE * MESSAGE_AIM_SECONDS
                        )
        self.schedule_at(self.now + 1.0, self.report_late_messages, warm)

    def record_setup(self, server: Server) -> None:
        """Counts a set-up that is sent to a cold server, whatever its result."""
        start, age = self.start, self.now - self.returns_at
        if server.id_hash not in self.cold or not 0 <= age < start.ramp_time:
            return
        recent_setups = self.recent_setups.setdefault(server.id_hash, deque())
        recent_setups.append(self.now)
        while recent_setups[0] <= self.now - start.fall_time:
            recent_setups.popleft()
        limit = max_cold_requests(self.allowed_requests(age))
        self.sent += 1
        self.nearest, self.window = max(
            (self.nearest, self.window), (len(recent_setups) / limit, len(recent_setups))
        )
        # The sender knows of the start: a server that is listed as gone is sent nothing.
        self.fell = self.fell or len(recent_setups) > limit

    def allowed_requests(self, age: float) -> float:
        """N of rule 4: requests that the settings allow in a window, `age` seconds after the start."""
        start = self.start
        warm_share = start.cold_share + (1 - start.cold_share) * age / start.ramp_time
        return start.overload_factor * self.warm_connections / start.ramp_time * warm_share * start.fall_time

    def run(self) -> SimulatedStart:
        """Runs the simulation to its end."""
        self.begin()
        while self.heap and not self.fell and self.heap[0][0] < self.returns_at + self.start.ramp_time:
            self.now, _, callback, values = heapq.heappop(self.heap)
            callback(*values)
        return self


def play_start(start: Start, balancer_class: Callable[..., Any] = Balancer) -> dict[str, Any]:
    """Simulates a start; returns its properties and counts (see `SimulatedStart`).

    `even` is the number of connections that fill the cold servers.
    """
    simulation = SimulatedStart(start, balancer_class).run()
    return {
        "start": asdict(start),
        "fell": simulation.fell,
        "nearest": simulation.nearest,
        "window": simulation.window,
        "sent": simulation.sent,
        "even": start.cold * simulation.warm_connections,
    }


def draw_starts(count: int, seed: int, sizes: tuple[int, ...] = SIZES) -> list[Start]:
    """Draws a number of starts from one seed."""
    return [draw_start(seed * 1_000_003 + number, sizes) for number in range(count)]


def play_all(starts: list[Start], jobs: int = 1, quiet: bool = True) -> list[dict[str, Any]]:
    """The results of all starts, in order, from `jobs` processes; shows progress unless `quiet`."""

    def with_progress(results: Iterator[dict[str, Any]]) -> list[dict[str, Any]]:
        return list(tqdm(results, total=len(starts), disable=quiet, unit="start"))

    if jobs == 1:
        return with_progress(map(play_start, starts))
    with multiprocessing.get_context("spawn").Pool(jobs) as pool:
        return with_progress(pool.imap(play_start, starts, 8))


def summarize_by_size(results: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """A row for each range of numbers of balancers.

    A row has the starts, those with a fall, the highest share of the limit and its mean, and set-ups over
    the connections that fill the cold servers.
    """
    rows, least = [], 0
    for most in (*SIZES, None):
        band = [
            result
            for result in results
            if least <= result["start"]["balancers"]
            and (most is None or result["start"]["balancers"] <= most)
        ]
        if band:
            rows.append(
                {
                    "balancers": f"{least} to {most}",
                    "starts": len(band),
                    "fell": sum(result["fell"] for result in band),
                    "nearest": max(result["nearest"] for result in band),
                    "mean_nearest": sum(result["nearest"] for result in band) / len(band),
                    "filled": sum(result["sent"] / result["even"] for result in band) / len(band),
                }
            )
        if most is None:
            break
        least = most + 1
    return rows
