"""What is recorded during a run of the soak, the limits that hold, and the form of a violation.

Times are seconds of the machine's monotonic clock. A constant that comes from an operators' page names the
page.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any

from bellrack.lab.soak.clients import Outcome

TOLERANCE_SECONDS = 0.05  # PROTOCOL.md: "each time limit is 50 ms longer"
RECORDING_DELAY_SECONDS = 0.1  # the recording processes may note an event this much late
# A new process can ask discovery this long after its start, or when it first answers an operator, if later.
STARTUP_SECONDS = 0.5
READ_AFTER_PAUSE_SECONDS = 0.1  # for this long after a pause, the clients' process reads queued input
SMALL_BOUND_CALLS = 30  # below this number of calls, the bound of the slow start allows 3 deviations, not 2


@dataclass(frozen=True)
class Limits:
    """The limits that follow from the balancers' settings; times are in seconds."""

    effects: dict[str, str]  # by traffic type: the effect, under its name in the settings
    key_ttl: float
    drain_grace: float
    ramp_time: float
    fall_time: float  # length of the window in which requests to a cold server are counted
    cold_share: float
    overload_factor: float
    capacity: float  # connections that a warm server of size 1 can hold

    def allowed_requests(self, age: float) -> float:
        """Return how many requests a server may get within `fall_time`, `age` seconds after its start."""
        warm = self.cold_share + (1 - self.cold_share) * min(1.0, age / self.ramp_time)
        return self.overload_factor * self.capacity * warm * self.fall_time / self.ramp_time

    def request_bound(self, age: float) -> float:
        """Return the allowed number of requests plus a margin for random variation."""
        calls = self.allowed_requests(age)
        root = math.sqrt(calls)
        return calls + 3 * root + 3 if calls < SMALL_BOUND_CALLS else calls + 2 * root + 2


@dataclass(frozen=True)
class Violation:
    """A broken rule: its name, when it was broken, and by which request or server."""

    rule: str
    time: float  # seconds
    subject: str
    detail: str


@dataclass
class Record:
    """Everything that was recorded during one run of the soak."""

    limits: Limits
    events: list[dict[str, Any]]
    outcomes: list[Outcome]
    kills: dict[int, list[float]]  # by balancer: when its processes were killed
    starts: dict[int, list[float]]  # by balancer: starts without a predecessor that hands over
    detached: list[tuple[int, str, float, float]]  # balancer, server, since, until
    unreachable: list[tuple[float, float]]  # periods in which discovery was down: from, until
    pushed: bool = False  # discovery pushes lists: a balancer counts as informed at once
    # By balancer: periods in which faults broke its connections to servers and to discovery.
    breaks: dict[int, list[tuple[float, float]]] = field(default_factory=dict)
    reloads: dict[int, list[float]] = field(default_factory=dict)  # by balancer: when SIGHUP was sent
    # By balancer: when each of its processes first answered an operator.
    first_answers: dict[int, list[float]] = field(default_factory=dict)
    pauses: list[tuple[float, float]] = field(default_factory=list)  # of the process that runs the clients

    def earliest_arrival(self, read: float) -> float:
        """Return the earliest time at which input that a client read at `read` can have arrived."""
        return min(
            [since for since, until in self.pauses if since <= read <= until + READ_AFTER_PAUSE_SECONDS],
            default=read,
        )

    def discovery_usable_at(self, balancer: int, started: float) -> float:
        """Return when the process that was started at `started` can ask discovery, at the latest."""
        answer_times = (time for time in self.first_answers.get(balancer, ()) if time >= started)
        return max(started + STARTUP_SECONDS, min(answer_times, default=started))

    def last_fresh_start(self, balancer: int, now: float) -> float:
        """Return when the balancer last started without a predecessor that hands over; 0.0 if never."""
        return max((start for start in self.starts[balancer] if start <= now), default=0.0)

    def killed_between(self, outcome: Outcome, until: float) -> bool:
        """Return whether the client's balancer was killed between the client's connecting and `until`."""
        kills = self.kills.get(outcome.demand.balancer, [])
        return any(
            outcome.connected_at - RECORDING_DELAY_SECONDS <= kill <= until + RECORDING_DELAY_SECONDS
            for kill in kills
        )
