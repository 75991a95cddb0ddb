"""Draws the plan of a soak from its seed: overlapping troubles, faults inside balancers, and requests.

A trouble is done to a process from outside (a signal, a restart, a drain, an outage); a fault is injected
inside a balancer process (`faulty`). Times are seconds from the start of the run.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from typing import Any

WARM_UP_SECONDS = 1.0  # without trouble at the beginning
COOL_DOWN_SECONDS = 4.5  # without new trouble at the end: the longest shutdown and deadline
TROUBLE_INTERVAL_SECONDS = 0.25  # mean time between the starts of two troubles
TROUBLE_DURATION_SECONDS = (0.3, 3.0)  # shortest and longest
PUSHED_SHARE = 0.3  # share of the seeds in which discovery pushes its lists
QUIET_SHARE = 0.25  # share of the seeds with a period without requests and troubles
QUIET_PERIOD_SECONDS = 8.0
MAX_CONNECT_DELAY_SECONDS = 0.85  # less than the connect timeout of the settings (0.9 s)
SIGNALS = ("SIGHUP", "SIGUSR1")  # the signals of a series
SIGNALS_PER_SERIES = (3, 8)  # fewest and most
MAX_SIGNAL_GAP_SECONDS = 0.15  # longest time between two signals of a series
UNLIMITED_STAY_SECONDS = 1e6  # for a client that uses its connection until the balancer ends it
# Time between two lines of an established client; PROTOCOL.md, "Figures": 2 s.
LINE_INTERVALS_SECONDS = (0.4, 2.0)
PROCESS_PAUSE_SECONDS = 0.15  # STANDING.md: "a balancer that is held up for up to 0.15 s"
CLOCK_STEPS_SECONDS = (-3600.0, -5.0, 5.0, 3600.0)

PROCESS_TROUBLES = (
    "restart",
    "kill",
    "hot_restart",
    "hot_restart",
    "hot_restart_twice",
    "hot_restart_both_end",
    "hot_restart_first_killed",
    "hot_restart_second_killed",
    "pause",
    "reload",
    "reload_twice",
    "reload_at_start",
    "detach",
    "signals",
    "signals",
    "restart_in_signals",
    "end_at_start",
)
# What disturbs a hand-off: servers that hang, report late messages, announce the end of their connections or
# reset them; an operator's order at either process; a pause of both; SIGTERM to the successor too;
# other signals to both in series.
HANDOFF_DISTURBANCES = (
    "hang",
    "hang",
    "late",
    "late",
    "bye",
    "idle_reset",
    "detach_at_successor",
    "detach_at_predecessor",
    "pause_both",
    "end_successor",
    "signals_to_both",
)
DISTURBANCES_PER_HANDOFF = (1, 4)  # fewest and most
# Seconds from SIGTERM to the predecessor until a disturbance begins: most connections go over at once.
DISTURBANCE_OFFSETS_SECONDS = (-1.0, -0.2, -0.1, -0.05, -0.02, 0.0, 0.01, 0.02, 0.05, 0.2)
MAX_OVERLAP_SECONDS = 1.5  # from the successor's yes to SIGTERM to the predecessor
HANDOFF_INTERVAL_SECONDS = 0.5  # mean time between two hand-offs, if their balancer is free
DETACHING_TROUBLES = ("detach", "detach_waiting")  # their detail is a server
SERVER_TROUBLES = ("drain", "replace", "replace", "mode", "idle_reset")
DISCOVERY_TROUBLES = ("down", "hang", "slow")
FAULTS = ("accept", "socket", "connect", "connect_late", "short", "broken", "disk", "clock", "clock")
MAX_ATTACH_DELAY_SECONDS = PROCESS_PAUSE_SECONDS
# By kind of fault (see `faulty`): the share of the calls that it affects; 1.0 for other kinds.
FAULT_SHARES = {
    "accept": 0.3,
    "socket": 0.4,
    "connect": 0.5,
    "connect_late": 0.5,
    "broken": 0.03,
    "disk": 0.7,
}
PROXY_MODES = ("hang", "reset", "reset", "late", "half", "spoilt", "pieces", "error")
# How clients behave (see `clients.Client`), with the relative frequency of each.
BEHAVIOUR_WEIGHTS = {
    "plain": 60,
    "pieces": 6,
    "leaves": 14,
    "half": 3,
    "late_line": 3,
    "pinged": 3,
    "pipelines": 2,
    "floods": 1,
}


@dataclass(frozen=True)
class Focus:
    """The kinds of troubles and faults that a run draws from; an empty tuple leaves its group out."""

    processes: tuple[str, ...] = PROCESS_TROUBLES
    servers: tuple[str, ...] = SERVER_TROUBLES
    discovery: tuple[str, ...] = DISCOVERY_TROUBLES
    faults: tuple[str, ...] = FAULTS
    modes: tuple[str, ...] = PROXY_MODES
    trouble_interval: float = TROUBLE_INTERVAL_SECONDS  # mean, in seconds
    mix: str = ""  # of all seeds; empty to draw it

    def weighted_groups(self) -> list[str]:
        """Return the groups to draw from, each as many times as its weight."""
        weights = {"process": 2, "server": 2, "discovery": 1, "fault": 2}
        kinds = {
            "process": self.processes,
            "server": self.servers,
            "discovery": self.discovery,
            "fault": self.faults,
        }
        return [group for group, weight in weights.items() if kinds[group] for _ in range(weight)]


FOCUSES = {
    "all": Focus(),
    # Repeats on connections that are established late.
    "repeat": Focus((), ("mode",), (), ("connect_late",), ("reset", "half"), 0.1),
    # Cold servers, clock steps and processes that replace one another.
    "cold": Focus(("hot_restart", "hot_restart_twice", "kill"), ("replace",), (), ("clock",), (), 0.15),
    # Drains that are announced while connections are being established, and hot restarts.
    "drain": Focus(("hot_restart",), ("drain",), (), ("connect_late",), (), 0.1),
    # Servers detached across hot restarts.
    "detach": Focus(
        ("detach", "hot_restart", "hot_restart_twice", "hot_restart_first_killed"), (), (), (), (), 0.1
    ),
    # Servers detached at a process that waits for its turn in a hot restart.
    "waiting": Focus(("detach_waiting", "hot_restart"), (), (), (), (), 0.2),
    # Clients that leave while the balancer is paused, and connections that are established late.
    "leave": Focus(("pause",), ("mode",), (), ("connect_late",), ("reset", "late"), 0.05),
    # Series of signals to processes that start, serve and shut down.
    "signals": Focus(("signals", "restart_in_signals", "end_at_start", "restart"), (), (), (), (), 0.1),
    # Standing connections that are moved, ended or used while they are handed over.
    "handoff": Focus(
        ("disturbed_hot_restart",), (), (), ("attach_late", "short"), (), HANDOFF_INTERVAL_SECONDS, "standing"
    ),
    # Processes that start, shut down and replace one another, with short failures of the operating system.
    "restart": Focus(PROCESS_TROUBLES, (), (), ("accept", "socket", "short", "disk", "clock"), (), 0.2),
}


@dataclass(frozen=True)
class Mix:
    """Properties of the clients of a seed."""

    rate: float  # factor of the request rate that the command asks for
    stay_share: float  # share of the clients that use their connection until the balancer ends it
    crowd: int  # clients that connect at the same time
    weight: int  # relative frequency of the mix
    crowd_within: float = math.inf  # seconds after the warm-up by which the crowd connects


MIXES = {
    "ordinary": Mix(1.0, 0.08, 0, 4),
    "room": Mix(0.3, 0.3, 0, 4),
    "crowd": Mix(0.7, 0.1, 300, 2),
    # Hundreds of connections that stand from the beginning. Not drawn: for a focus that names it.
    "standing": Mix(0.5, 1.0, 200, 0, crowd_within=0.8),
}


@dataclass(frozen=True)
class Disturbance:
    """Something that happens `offset` seconds after SIGTERM to the predecessor (before it if negative)."""

    kind: str  # one of HANDOFF_DISTURBANCES
    offset: float
    server: str
    seconds: float  # how long a server hangs, is late or is detached


@dataclass(frozen=True)
class Handoff:
    """When the predecessor of a hot restart gets SIGTERM, and what disturbs the hand-off."""

    overlap: float  # seconds from the successor's yes to the first of SIGTERM and the disturbances
    disturbances: tuple[Disturbance, ...]

    @property
    def lead(self) -> float:
        """How long before SIGTERM the first disturbance begins, in seconds."""
        return max([0.0, *(-disturbance.offset for disturbance in self.disturbances)])


@dataclass(frozen=True)
class Trouble:
    """A disturbance of a balancer, a server or discovery; `troubles.Troubles` applies it by its kind."""

    at: float
    kind: str
    target: Any = None  # the number of a balancer, or the name of a server
    until: float = 0.0
    detail: Any = None  # depends on the kind: a server, signals, a mode, a clock step in seconds


@dataclass(frozen=True)
class Demand:
    """One request and how its client behaves."""

    at: float
    balancer: int
    kind: str
    group: int  # the group of the request line
    wait_seconds: float  # the deadline that the client states in its request
    behaviour: str
    stay_seconds: float  # how long an established client keeps its connection
    leaves_after_seconds: float  # for a client with the behaviour "leaves"
    line_interval: float = LINE_INTERVALS_SECONDS[0]  # seconds between two lines of an established client


@dataclass
class Plan:
    """Everything that one run does."""

    seed: int
    seconds: float
    balancers: int
    servers: list[str]
    troubles: list[Trouble] = field(default_factory=list)
    pushed: bool = False  # discovery pushes its lists
    mix: str = "ordinary"
    quiet: tuple[float, float] = (0.0, 0.0)  # a period without requests and troubles
    faults: list[list[dict[str, Any]]] = field(default_factory=list)  # by balancer
    demands: list[Demand] = field(default_factory=list)


def draw(
    seed: int,
    seconds: float,
    balancers: int,
    servers: int,
    rate: float,
    kinds: list[str],
    focus: Focus = FOCUSES["all"],
) -> Plan:
    """Draw the plan of a seed.

    `seconds` is the length of the run, `rate` the requests a second over all balancers, `kinds` the traffic
    types of the requests. The same arguments give the same plan.
    """
    rng = random.Random(seed)
    plan = Plan(seed, seconds, balancers, [f"s-{number}" for number in range(servers)])
    plan.faults = [[] for _ in range(balancers)]
    plan.pushed = rng.random() < PUSHED_SHARE
    if rng.random() < QUIET_SHARE:
        plan.quiet = WARM_UP_SECONDS, WARM_UP_SECONDS + QUIET_PERIOD_SECONDS
    now, end = max(WARM_UP_SECONDS, plan.quiet[1]), seconds - COOL_DOWN_SECONDS
    while (now := now + rng.expovariate(1 / focus.trouble_interval)) < end:
        until = min(end, now + rng.uniform(*TROUBLE_DURATION_SECONDS))
        add_trouble(plan, rng, now, until, focus)
    drawn_mix = rng.choices(list(MIXES), [mix.weight for mix in MIXES.values()])[0]
    plan.mix = focus.mix or drawn_mix
    add_demands(plan, rng, rate, kinds)
    return plan


def add_demands(plan: Plan, rng: random.Random, rate: float, kinds: list[str]) -> None:
    """Draw the mix's requests; `rate` in requests a second."""
    mix, now, last = MIXES[plan.mix], 0.2, plan.seconds - 1.0
    while (now := now + rng.expovariate(rate * mix.rate)) < last:
        if not plan.quiet[0] <= now < plan.quiet[1]:
            plan.demands.append(draw_demand(plan, rng, now, kinds))
    if mix.crowd:
        earliest = max(WARM_UP_SECONDS, plan.quiet[1])
        latest = min(max(last, plan.quiet[1] + 1.0), earliest + mix.crowd_within)
        at = rng.uniform(earliest, latest)
        plan.demands += [draw_demand(plan, rng, at, kinds) for _ in range(mix.crowd)]


def draw_demand(plan: Plan, rng: random.Random, at: float, kinds: list[str]) -> Demand:
    """Draw a request that is sent at `at`."""
    return Demand(
        at,
        rng.randrange(plan.balancers),
        rng.choice(kinds),
        rng.getrandbits(64) if rng.random() < 0.7 else 77,
        rng.choice((0.15, 0.4, 0.8, 1.5, 2.5)),
        rng.choices(list(BEHAVIOUR_WEIGHTS), list(BEHAVIOUR_WEIGHTS.values()))[0],
        UNLIMITED_STAY_SECONDS if rng.random() < MIXES[plan.mix].stay_share else rng.uniform(0.1, 3.0),
        rng.uniform(0.0, 0.4),
        rng.choice(LINE_INTERVALS_SECONDS),
    )


def add_trouble(plan: Plan, rng: random.Random, now: float, until: float, focus: Focus) -> None:
    """Draw a trouble or a fault that lasts from `now` to `until`."""
    group = rng.choice(focus.weighted_groups())
    balancer, server = rng.randrange(plan.balancers), rng.choice(plan.servers)
    if group == "process":
        kind = rng.choice(focus.processes)
        series = tuple(rng.choices(SIGNALS, k=rng.randint(*SIGNALS_PER_SERIES)))
        detail = server if kind in DETACHING_TROUBLES else series
        if kind == "disturbed_hot_restart":
            detail = draw_handoff(plan, rng)
        plan.troubles.append(Trouble(now, kind, balancer, until, detail))
    elif group == "server":
        kind = rng.choice(focus.servers)
        detail = rng.choice(focus.modes) if kind == "mode" else rng.choice((0.0, *CLOCK_STEPS_SECONDS))
        plan.troubles.append(Trouble(now, kind, server, until, detail))
    elif group == "discovery":
        mode = "down" if plan.pushed else rng.choice(focus.discovery)
        plan.troubles.append(Trouble(now, "discovery", None, until, mode))
    else:
        kind = rng.choice(focus.faults)
        fault = {"kind": kind, "at": now, "until": until, "share": FAULT_SHARES.get(kind, 1.0)}
        delay = MAX_ATTACH_DELAY_SECONDS if kind == "attach_late" else MAX_CONNECT_DELAY_SECONDS
        fault["by"] = rng.choice(CLOCK_STEPS_SECONDS) if kind == "clock" else delay
        plan.faults[balancer].append(fault)


def draw_handoff(plan: Plan, rng: random.Random) -> Handoff:
    """Draw what disturbs one hand-off, in order of time."""
    disturbances = [
        Disturbance(
            rng.choice(HANDOFF_DISTURBANCES),
            rng.choice(DISTURBANCE_OFFSETS_SECONDS),
            rng.choice(plan.servers),
            rng.uniform(*TROUBLE_DURATION_SECONDS),
        )
        for _ in range(rng.randint(*DISTURBANCES_PER_HANDOFF))
    ]
    overlap = rng.choice((0.0, MAX_OVERLAP_SECONDS * rng.random()))
    return Handoff(overlap, tuple(sorted(disturbances, key=lambda disturbance: disturbance.offset)))
