"""What a soak plays, drawn from its seed: troubles that overlap in time, faults inside balancers, requests.

Times are seconds from the start of the play.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

WARM_UP_SECONDS = 1.0  # seconds without trouble at the beginning
COOL_DOWN_SECONDS = 4.5  # seconds without new trouble at the end: the longest shutdown and deadline
TROUBLE_INTERVAL_SECONDS = 0.25  # seconds between the beginnings of two troubles, in the mean
TROUBLE_DURATION_SECONDS = (0.3, 3.0)  # seconds
PUSHED_SHARE, QUIET_SHARE = 0.3, 0.25  # of the seeds
QUIET_PERIOD_SECONDS = 8.0  # seconds
MAX_CONNECT_DELAY_SECONDS = (
    0.85  # seconds at most that a connection comes up late: under the time-out of the settings
)
SIGNALS, SIGNALS_PER_SERIES = ("SIGHUP", "SIGUSR1"), (3, 8)  # of a series: which, and how many
MAX_SIGNAL_GAP_SECONDS = 0.15  # seconds at most between two signals of a series
UNLIMITED_STAY_SECONDS = 1e6  # seconds that a client stays who uses its connection for as long as it is there
LINE_INTERVALS_SECONDS = (
    0.4,
    2.0,
)  # seconds between two lines of a client that is up; PROTOCOL.md, "Figures": 2 s
PROCESS_PAUSE_SECONDS = 0.15  # seconds: STANDING.md, "a balancer that is held up for up to 0.15 s"
CLOCK_STEPS_SECONDS = (-3600.0, -5.0, 5.0, 3600.0)  # seconds

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
SERVER_TROUBLES = ("drain", "replace", "replace", "mode", "idle_reset")
DISCOVERY_TROUBLES = ("down", "hang", "slow")
FAULTS = ("accept", "socket", "connect", "connect_late", "short", "broken", "disk", "clock", "clock")
FAULT_SHARES = {
    "accept": 0.3,
    "socket": 0.4,
    "connect": 0.5,
    "connect_late": 0.5,
    "broken": 0.03,
    "disk": 0.7,
}
PROXY_MODES = ("hang", "reset", "reset", "late", "half", "spoilt", "pieces", "error")
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
    """The troubles that are drawn; empty ones are left out."""

    processes: tuple[str, ...] = PROCESS_TROUBLES
    servers: tuple[str, ...] = SERVER_TROUBLES
    discovery: tuple[str, ...] = DISCOVERY_TROUBLES
    faults: tuple[str, ...] = FAULTS
    modes: tuple[str, ...] = PROXY_MODES
    trouble_interval: float = TROUBLE_INTERVAL_SECONDS

    def weighted_groups(self) -> list[str]:
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
    # Repeats whose connections come up late.
    "repeat": Focus((), ("mode",), (), ("connect_late",), ("reset", "half"), 0.1),
    # Cold servers, clocks and processes that follow one another.
    "cold": Focus(("hot_restart", "hot_restart_twice", "kill"), ("replace",), (), ("clock",), (), 0.15),
    # A drain that is told while connections are coming up, and processes that follow one another.
    "drain": Focus(("hot_restart",), ("drain",), (), ("connect_late",), (), 0.1),
    # Servers detached across hot restarts.
    "detach": Focus(
        ("detach", "hot_restart", "hot_restart_twice", "hot_restart_first_killed"), (), (), (), (), 0.1
    ),
    # Clients that leave while the process is held up, and connections that come up late.
    "leave": Focus(("pause",), ("mode",), (), ("connect_late",), ("reset", "late"), 0.05),
    # Signals in series at processes that start, serve and end.
    "signals": Focus(("signals", "restart_in_signals", "end_at_start", "restart"), (), (), (), (), 0.1),
    # Processes that start, end and follow one another, on a machine that fails for a moment.
    "restart": Focus(PROCESS_TROUBLES, (), (), ("accept", "socket", "short", "disk", "clock"), (), 0.2),
}


@dataclass(frozen=True)
class Mix:
    """What a seed's clients are like."""

    rate: float  # of the requests that the command asks for
    stay_share: float  # of the clients that use their connection for as long as it is there
    crowd: int  # clients that come in one instant
    weight: int  # how often it is drawn


MIXES = {
    "ordinary": Mix(1.0, 0.08, 0, 4),
    "room": Mix(0.3, 0.3, 0, 4),
    "crowd": Mix(0.7, 0.1, 300, 2),
}


@dataclass(frozen=True)
class Trouble:
    at: float
    kind: str
    target: Any = None  # the number of a balancer, or the name of a server
    until: float = 0.0
    detail: Any = None


@dataclass(frozen=True)
class Demand:
    """One request and how its client behaves."""

    at: float
    balancer: int
    kind: str
    group: int
    wait_seconds: float  # seconds that the client says it waits
    behaviour: str
    stay_seconds: float  # seconds that a client that is up stays
    leaves_after_seconds: float  # seconds, for a client that leaves
    line_interval: float = LINE_INTERVALS_SECONDS[0]  # seconds between two lines of a client that is up


@dataclass
class Plan:
    seed: int
    seconds: float
    balancers: int
    servers: list[str]
    troubles: list[Trouble] = field(default_factory=list)
    pushed: bool = False  # lists come unasked
    mix: str = "ordinary"
    quiet: tuple[float, float] = (0.0, 0.0)  # nobody asks for anything in this time, and nothing goes wrong
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
    """`rate`: requests a second over all balancers. `kinds`: the traffic types."""
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
    plan.mix = rng.choices(list(MIXES), [mix.weight for mix in MIXES.values()])[0]
    add_demands(plan, rng, rate, kinds)
    return plan


def add_demands(plan: Plan, rng: random.Random, rate: float, kinds: list[str]) -> None:
    mix, now, last = MIXES[plan.mix], 0.2, plan.seconds - 1.0
    while (now := now + rng.expovariate(rate * mix.rate)) < last:
        if not plan.quiet[0] <= now < plan.quiet[1]:
            plan.demands.append(draw_demand(plan, rng, now, kinds))
    if mix.crowd:
        at = rng.uniform(max(WARM_UP_SECONDS, plan.quiet[1]), max(last, plan.quiet[1] + 1.0))
        plan.demands += [draw_demand(plan, rng, at, kinds) for _ in range(mix.crowd)]


def draw_demand(plan: Plan, rng: random.Random, at: float, kinds: list[str]) -> Demand:
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
    group = rng.choice(focus.weighted_groups())
    balancer, server = rng.randrange(plan.balancers), rng.choice(plan.servers)
    if group == "process":
        kind = rng.choice(focus.processes)
        series = tuple(rng.choices(SIGNALS, k=rng.randint(*SIGNALS_PER_SERIES)))
        detail = server if kind == "detach" else series
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
        fault["by"] = rng.choice(CLOCK_STEPS_SECONDS) if kind == "clock" else MAX_CONNECT_DELAY_SECONDS
        plan.faults[balancer].append(fault)
