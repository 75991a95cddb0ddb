"""Generated starts of cold servers: does a cold server's budget hold for the sum over all balancers?

Owns what a start is (a tier of balancers, their uneven traffic, servers that come back cold, clients that
come again at once) and the count of set-ups that each cold server is sent, in each window, against the
formula of rule 4. Balancers are the build's own decisions behind the books that all hosts share, on virtual
time; there is no network but a delay. It chooses no server. The same seed plays the same start to one end.
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

SIZES = (3, 20, 30, 200)  # balancers; of one start in two it is one of these, else one between them
AIM, SETUP, PATIENCE = 0.1, 0.3, 1.5  # seconds: message aim, setup target, until a client gives up
TOOK = (0.004, 0.03)  # seconds until a set-up stands
SHORT = (0.0, 0.2)  # seconds that a short connection lives
TOLD = (0.0, 3.0)  # seconds until a balancer hears of a start
TELLS = 0.002  # seconds that a word between balancers takes
CAP = 1.7  # connections over those that fill a warm server, from which it turns new ones away
BEFORE = 2.5  # seconds in which balancers see what warm servers bear
LATE = 0.6  # of the message aim: what warm servers that drown tell each second
MOST_CALLS = 2500  # of a start: guards against one that takes minutes


@dataclass(frozen=True)
class Start:
    """One start: what was drawn for it. Seconds, shares, connections."""

    seed: int
    balancers: int
    idle: float  # share of the balancers without traffic, but for a rush that wakes them
    fresh: float  # share of the rest that has just restarted, and holds nothing
    spread: float  # sigma of the logarithm of a balancer's part of the traffic
    bears: float  # connections by listed size that fill a warm server
    size: float  # of each server, as listed
    used: float  # share of that which warm servers hold
    warm: int  # servers that stay
    cold: int  # servers that come back at once
    zone: bool  # they are a whole zone
    cold_share: float
    ramp_time: float
    overload_factor: float
    fall_time: float
    tells: bool  # balancers may tell one another
    short: float  # share of the connections that end at once
    demand: float  # new connections to each cold server's place, over what would fill it evenly
    rush: float  # share of all connections, of the lost servers too, that come again within half a second
    rush_at: float  # share of the ramp after which they do
    drowning: bool  # warm servers say all along that their messages are late
    retries: int
    grouped: bool
    moves: int = 0  # times that the traffic had been dealt out anew among the balancers before


def draw_start(seed: int, sizes: tuple[int, ...] = SIZES) -> Start:
    """The start of this seed."""
    chance = Random(seed)
    between, one = chance.uniform, chance.choice
    any_size = round(math.exp(between(math.log(min(sizes)), math.log(max(sizes)))))
    return Start(
        seed=seed,
        balancers=one((one(sizes), any_size)),
        idle=one((0.0, 0.5)),
        fresh=one((0.0, 0.5, 0.5, 1.0)),
        spread=one((0.0, 0.7, 1.4)),
        bears=between(8.0, 30.0),
        size=one((1.0, 2.0, 3.5)),
        used=between(0.2, 1.0),
        warm=one((1, 3, 6, 20, 50)),
        cold=chance.randint(1, 4),
        zone=chance.random() < 0.4,
        cold_share=between(0.12, 0.36),
        ramp_time=between(6.0, 24.0),
        overload_factor=between(1.5, 4.0),
        fall_time=between(1.0, 2.0),
        tells=chance.random() < 0.5,
        short=one((0.0, 0.3, 1.0)),
        demand=one((0.3, 1.0, 4.0)),
        rush=one((0.0, 0.3, 0.6)),
        rush_at=between(0.0, 0.9),
        drowning=chance.random() < 0.4,
        retries=one((0, 1, 3)),
        grouped=chance.random() < 0.3,
    )


class SimulatedHost(Accounting):
    """One balancer, and the Host through which it acts on the start that is played."""

    def __init__(
        self, play: Play, number: int, settings: Settings, seed: int, balancer_class: Callable[..., Any]
    ):
        self.play, self.number = play, number
        super().__init__(settings, seed, play.now, balancer_class)

    def turn(self, what: Callable, *values: Any) -> None:
        self.now = self.play.now
        what(*values)

    def later(self, wait: float, what: Callable, *values: Any) -> None:
        self.play.at(self.play.now + wait, self.turn, what, *values)

    def send(self, call: Call, server: Server, until: float) -> Leg:
        leg = self.begin_leg(call, server)
        self.play.counts(server)
        self.later(self.play.chance.uniform(*TOOK), self.stands, leg)
        return leg

    def stands(self, leg: Leg) -> None:
        if leg.result is None and self.play.full(leg.server):
            self.leg_ended(leg, Result(model.FULL), False)
        elif leg.result is None:
            leg.call.done = True
            self.leg_established(leg)
            if self.play.chance.random() < self.play.start.short:
                self.later(self.play.chance.uniform(*SHORT), self.over, leg, model.COMPLETED)

    def over(self, leg: Leg, kind: str) -> None:
        if leg.result is None:
            self.leg_ended(leg, Result(kind), True)

    def cancel(self, leg: Leg) -> None:
        self.later(0.0, self.over, leg, model.CANCELLED)

    def reject(self, call: Call, wait: float = 0.0) -> None:
        call.done = True
        if call.host_record:
            self.later(
                wait + self.play.chance.uniform(0.05, 0.3), self.calls, call.host_record - 1, call.group
            )

    def release(self, call: Call) -> None:
        call.done = True

    def move(self, call: Call) -> None:
        self.later(0.0, self.over, call.legs[-1], model.CANCELLED)
        self.later(self.play.chance.uniform(0.05, 1.0), self.calls, self.play.start.retries, call.group)

    def calls(self, retries: int, group: int) -> None:
        """A client wants a connection."""
        call = self.new_call(0, PATIENCE, group=group)
        call.host_record = retries
        self.balancer.on_call(call)

    def set_timer(self, when: float, what: Any) -> None:
        self.play.at(when, self.turn, lambda: self.balancer.on_timer(what))

    def send_datagram(self, peer: int | None, data: bytes) -> None:
        for other in self.play.hosts if peer is None else self.play.hosts[peer : peer + 1]:
            if other is not self:
                other.later(TELLS, other.heard, self.number, data)

    def heard(self, peer: int, data: bytes) -> None:
        self.balancer.on_datagram(peer, data)

    def watch(self, on: bool = True) -> None: ...
    def fetch_list(self) -> None: ...
    def probe(self, server: Server) -> None: ...
    def log(self, text: str) -> None: ...


class Play:
    """A start from its first moment to its fall, or to the end of the ramp."""

    def __init__(self, start: Start, balancer_class: Callable[..., Any] = Balancer):
        self.start, self.chance, self.now = start, Random(f"{start.seed} play"), 1000.0
        self.heap: list[tuple[float, int, Callable, tuple]] = []
        self.events = 0
        self.back = self.now + BEFORE  # when the servers come back
        self.fills = start.bears * start.size  # connections that fill a server when warm
        self.recent: dict[int, deque[float]] = {}  # by mark of a cold server: set-ups within the window
        self.fell, self.nearest, self.sent, self.window = False, 0.0, 0, 0
        self.marks = list(range(101, 101 + 7919 * (start.warm + start.cold), 7919))
        self.cold = set(self.marks[: start.cold])
        rules = Settings(
            types=[TrafficType(model.REPEATABLE, "all", 0.0, SETUP, AIM)],
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
            mine = Settings(
                **vars(rules)
                | {"number": number, "zone": number % 2, "may_publish": start.tells and start.balancers > 2}
            )
            self.hosts.append(SimulatedHost(self, number, mine, self.chance.getrandbits(62), balancer_class))

    def at(self, when: float, what: Callable, *values: Any) -> None:
        self.events += 1
        heapq.heappush(self.heap, (max(when, self.now), self.events, what, values))

    def zone(self, mark: int) -> int:
        return 0 if mark in self.cold else 1 if self.start.zone else self.marks.index(mark) % 2

    def rows(self, state: str, since: float, marks: list[int]) -> list[tuple]:
        return [(mark, state, 0, self.zone(mark), self.start.size, since, 0) for mark in marks]

    def begin(self) -> None:
        """Traffic, what stands on warm servers, and the news of the start."""
        start, chance = self.start, self.chance
        order = chance.sample(self.hosts, len(self.hosts))
        busy = order[: max(1, round(len(order) * (1 - start.idle)))]
        parts = {host: chance.lognormvariate(0.0, start.spread) for host in busy}
        fresh = set(chance.sample(busy, round(len(busy) * start.fresh)))
        warm = [mark for mark in self.marks if mark not in self.cold]
        for host in self.hosts:
            if host not in fresh:
                host.turn(host.apply_entries, self.rows(model.READY, 0.0, self.marks), True)
                host.turn(host.apply_entries, self.rows(model.GONE, 0.0, sorted(self.cold)), False)
        # What restarted had held has come again elsewhere; all that stands is seen by whoever holds it.
        holders = [host for host in busy if host not in fresh]
        weights = [parts[host] for host in holders]
        for mark in warm if holders else ():
            for host in chance.choices(holders, weights, k=round(start.used * self.fills)):
                call = host.new_call(0, PATIENCE)
                call.done = True
                host.turn(host.resume_leg, host.begin_leg(call, host.servers[mark]))
        for host in self.hosts:
            # A process that starts later has the start in its first list.
            since = self.rows(model.READY, self.back, sorted(self.cold))
            when = self.back + chance.uniform(*TOLD)
            rows = since + self.rows(model.READY, 0.0, warm) if host in fresh else since
            self.at(when, host.turn, host.apply_entries, rows, host in fresh)
        rate = start.demand * start.cold * self.fills / start.ramp_time
        for host in busy:
            self.arrivals(host, rate * parts[host] / sum(parts.values()))
        standing = start.rush * start.used * self.fills * (start.warm + start.cold)
        # Dealt out anew: idle balancers get theirs too.
        for _ in range(min(MOST_CALLS // 2, round(standing))):
            when = self.back + start.rush_at * start.ramp_time + chance.uniform(0.0, 0.5)
            self.at(when, self.arrives, chance.choice(self.hosts))
        self.at(self.back + chance.random(), self.drowns, warm)
        for _ in range(start.moves):
            self.has_seen(self.dealt_anew())
        for host in holders:  # as each call's decision looks
            for turn in range(3):
                self.at(self.now + turn * BEFORE / 2.4, host.turn, host.balancer.slow_start.baseline_load)

    def dealt_anew(self) -> dict[SimulatedHost, float]:
        """Other parts of the same traffic, by balancer; those without any are left out."""
        chance, count = self.chance, max(1, round(len(self.hosts) * (1 - self.start.idle)))
        drawn = {s: chance.lognormvariate(0.0, self.start.spread) for s in chance.sample(self.hosts, count)}
        return {host: part / sum(drawn.values()) for host, part in drawn.items()}

    def has_seen(self, parts: dict[SimulatedHost, float]) -> None:
        """Each balancer has held its part of what warm servers held."""
        for host, part in parts.items():
            cold = host.balancer.slow_start
            cold.proven_load = max(cold.proven_load, self.start.used * self.start.bears * part)

    def arrivals(self, host: SimulatedHost, rate: float) -> None:
        rate, when = min(rate, MOST_CALLS / 2 / self.start.ramp_time), self.back
        while rate and (when := when + self.chance.expovariate(rate)) < self.back + self.start.ramp_time:
            self.at(when, self.arrives, host)

    def arrives(self, host: SimulatedHost) -> None:
        group = self.chance.randint(1, 40) if self.start.grouped else 0
        host.turn(host.calls, self.start.retries, group)

    def holds(self, mark: int) -> int:
        return sum(host.servers[mark].local_state.open_legs for host in self.hosts if mark in host.servers)

    def full(self, server: Server) -> bool:
        return server.id_hash not in self.cold and self.holds(server.id_hash) > CAP * self.fills

    def drowns(self, warm: list[int]) -> None:
        """Servers that hold more than they bear tell late messages once a second, on one connection of each
        balancer."""
        for mark in warm:
            if self.start.drowning or self.holds(mark) > self.fills:
                for host in self.hosts:
                    if mark in host.servers and (
                        leg := next(iter(host.servers[mark].local_state.established_legs), None)
                    ):
                        host.turn(host.balancer.on_delay_reported, leg, LATE * AIM)
        self.at(self.now + 1.0, self.drowns, warm)

    def counts(self, server: Server) -> None:
        """A set-up is sent to a server: whatever becomes of it, it counts."""
        start, age = self.start, self.now - self.back
        if server.id_hash not in self.cold or not 0 <= age < start.ramp_time:
            return
        recent = self.recent.setdefault(server.id_hash, deque())
        recent.append(self.now)
        while recent[0] <= self.now - start.fall_time:
            recent.popleft()
        most = max_cold_requests(self.allowed(age))
        self.sent += 1
        self.nearest, self.window = max((self.nearest, self.window), (len(recent) / most, len(recent)))
        # Whoever sends has been told: a server that is listed as gone gets nothing before.
        self.fell = self.fell or len(recent) > most

    def allowed(self, age: float) -> float:
        """N: requests that a window may bring a server of this age by the settings."""
        start = self.start
        warm = start.cold_share + (1 - start.cold_share) * age / start.ramp_time
        return start.overload_factor * self.fills / start.ramp_time * warm * start.fall_time

    def run(self) -> Play:
        self.begin()
        while self.heap and not self.fell and self.heap[0][0] < self.back + self.start.ramp_time:
            self.now, _, what, values = heapq.heappop(self.heap)
            what(*values)
        return self


def play_start(start: Start, balancer_class: Callable[..., Any] = Balancer) -> dict[str, Any]:
    """How near it came: requests in the worst window over the limit then, and whether a server fell."""
    play = Play(start, balancer_class).run()
    return {
        "start": asdict(start),
        "fell": play.fell,
        "nearest": play.nearest,
        "window": play.window,
        "sent": play.sent,
        "even": start.cold * play.fills,
    }


def draw_starts(count: int, seed: int, sizes: tuple[int, ...] = SIZES) -> list[Start]:
    return [draw_start(seed * 1_000_003 + number, sizes) for number in range(count)]


def play_all(all_of: list[Start], jobs: int = 1, quiet: bool = True) -> list[dict[str, Any]]:
    """All of them, in order; `jobs` processes at once."""

    def shown(results: Iterator[dict[str, Any]]) -> list[dict[str, Any]]:
        return list(tqdm(results, total=len(all_of), disable=quiet, unit="start"))

    if jobs == 1:
        return shown(map(play_start, all_of))
    with multiprocessing.get_context("spawn").Pool(jobs) as pool:
        return shown(pool.imap(play_start, all_of, 8))


def summarize_by_size(results: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """A row a band of sizes: starts, falls, the nearest share of the limit, set-ups over what fills."""
    rows, least = [], 0
    for most in (*SIZES, None):
        band = [
            one
            for one in results
            if least <= one["start"]["balancers"] and (most is None or one["start"]["balancers"] <= most)
        ]
        if band:
            rows.append(
                {
                    "balancers": f"{least} to {most}",
                    "starts": len(band),
                    "fell": sum(one["fell"] for one in band),
                    "nearest": max(one["nearest"] for one in band),
                    "mean_nearest": sum(one["nearest"] for one in band) / len(band),
                    "filled": sum(one["sent"] / one["even"] for one in band) / len(band),
                }
            )
        if most is None:
            break
        least = most + 1
    return rows
