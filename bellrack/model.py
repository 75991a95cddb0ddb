"""What passes between the decisions (choice.py) and whoever carries them out.

A host makes one `choice.Balancer(settings, seed, host)` for each instance and tells it what happens:

    on_servers_listed(servers)  these servers are new to the list or their entries changed
    on_cordoned(server, out)  operators took this server out, or put it back
    on_discovery_failed(reached)    discovery failed us, or was not even reached; what was listed stays
    refresh_usable()            which servers are usable has changed, by no list
    on_call(call)        a call to decide; it is owed one final answer
    on_resumed(leg)         a connection that stood before the instance started
    on_established(leg)          the leg's connection is up
    on_delay_reported(leg, delay)  a message at the leg's server takes this long now (seconds)
    on_leg_ended(leg, result)    the leg ended
    on_client_left(call)           the client is gone; nothing is owed any more
    on_probe_result(server, result), on_datagram(peer, data), on_timer(what)

The balancer acts through its `Host`. Times are seconds on the host's clock; the host keeps the books of a
call (`legs`, `done`, `leg.result`) before it tells the balancer.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import Any, Protocol

READY, DRAINING, GONE = "ready", "draining", "gone"
REPEATABLE, REFERENCED, ONCE_ONLY = "repeatable", "referenced", "once-only"

COMPLETED, ERROR, FULL, TIMEOUT = "completed", "error", "full", "timeout"
NO_CONN, RESET, CANCELLED, MOOT = "no connection", "reset", "cancelled", "moot"
# Values of a report: load over what the server can do, seconds piled up, errors a second, cores in use,
# calls held.
FULLNESS, BACKLOG, ERRORS, BUSY, HELD = "fullness", "backlog", "errors", "busy", "held"
MAX_PEERS_WITHOUT_EXCHANGE = (
    2  # balancers tell one another nothing: each sees half itself, and its set-ups and the other's are few
)
SAFE_CONNECTIONS_PER_CAPACITY = 5.0  # connections by listed size, of all balancers, that fill no server
STEADY_BUDGET_SHARE, WHOLE_REQUEST_BUDGET = (
    2 / 3,
    1.5,
)  # of a budget what comes anew; of a larger one all but one request
BUDGET_SLACK_REQUESTS = (
    1.0  # requests that the budget of a cold server spends of the two that its rule leaves besides
)
NEVER_RAN = (FULL, NO_CONN, MOOT)  # results that prove the leg had no effect
MAX_STALL_SECONDS = (
    0.15  # seconds that a host may be held up between reading its clock and writing (STANDING.md)
)


@dataclass(eq=False)
class TrafficType:
    """A row of the traffic-type table."""

    effect: str
    group: str  # who drops repeats of a referenced call: all, zone or cell
    key_ttl: float  # for how long they do, from the first leg that may have run
    setup_target: float
    message_aim: float

    def same_group(self, one: Server, other: Server) -> bool:
        """Are repeats of what went to the one dropped at the other?"""
        if self.group == "all":
            return True
        return one.zone == other.zone if self.group == "zone" else one.cell == other.cell


@dataclass(eq=False)
class Settings:
    """What an instance is told at its start."""

    types: list[TrafficType]
    zone: int
    peers: int
    asks: bool  # the list must be asked for
    live: bool  # listed weights fall with the calls that a server holds
    report: tuple[str, ...]  # what a probe tells, in this order; empty where none may be sent or tells
    max_legs: int
    max_open_wait: float  # the longest wait that a client honours; 0 where clients get none
    tick: float
    answer_slack: float
    cold_share: float
    ramp_time: float
    overload_factor: float = 1.0  # a cold server sent more than this times what it can do ...
    fall_time: float = 1.0  # ... for so long falls over
    number: int = -1  # of this balancer among its peers; under 0: not told
    may_publish: bool = False  # balancers may send one another messages
    drain_grace: float = 1.0  # seconds in which sending to a server has to stop once a drain is told
    ask_within: float = 10.0  # where the list is asked for: seconds for which one stands without a watch

    def update_from(self, other: Settings) -> None:
        """Whoever holds these settings holds the other's values now. Calls keep their traffic type."""
        vars(self).update(vars(other))

    def slow_start_allowance(self, borne: float, size: float) -> float:
        """This balancer's part of N, the requests that the settings allow a cold server in `fall_time`."""
        bears = max(borne, SAFE_CONNECTIONS_PER_CAPACITY / self.peers) * size
        return self.overload_factor * self.fall_time / self.ramp_time * bears

    def slow_start_budget(self, borne: float, size: float) -> tuple[float, float]:
        """This balancer's part of the requests that a cold server may be sent within `fall_time`, and how
        many of them may come anew in it, from own connections by size that warm ones bear and the size that
        it has by now. Over all balancers N + 2 sqrt(N) + BUDGET_SLACK_REQUESTS at most,
        N being overload_factor times what
        fills it evenly over its warm-up."""
        allowed = self.slow_start_allowance(borne, size)
        budget = allowed + 2 * math.sqrt(allowed / self.peers) + BUDGET_SLACK_REQUESTS / self.peers
        return budget, budget - 1 if budget > WHOLE_REQUEST_BUDGET else STEADY_BUDGET_SHARE * budget

    @property
    def peers_unseen(self) -> bool:
        """One of many balancers, whom nobody tells what the others hold: neither they nor reports. What each
        opens for a group beyond the group's first server then adds up, unseen."""
        return self.peers > MAX_PEERS_WITHOUT_EXCHANGE and not self.may_publish and not self.report

    @property
    def answer_margin(self) -> float:
        """What an answer needs to reach a client in time."""
        return self.answer_slack + 2 * self.tick

    @property
    def shortest_message_aim(self) -> float:
        """The shortest message aim."""
        return min(kind.message_aim for kind in self.types)


@dataclass(eq=False)
class Server:
    """A listed server; `local_state` is the balancer's own record of it."""

    id_hash: int  # the same number at every balancer
    zone: int = 0
    cell: int = 0
    state: str = READY
    capacity: float = 1.0  # nominal capacity, for comparison
    weight: float = 1.0  # as last listed: the size, or the size lowered by what the server holds
    machine_type: int = 0  # of machine
    started_at: float = 0.0  # its last start; 0 for long ago
    cordoned: bool = False  # taken out by hand, whatever the list says
    last_accepted: float = -math.inf  # when a new connection was last sent to it that it took
    doubtful: bool = False  # the list is, and this server proved too little since
    last_attempted: float = -math.inf  # when a new connection was last sent to it
    needs_attempt: bool = (
        False  # neither for long, while the list ages: a call without a group goes there first
    )
    local_state: Any = None
    host_record: Any = None  # the host's own record of it

    @property
    def ready(self) -> bool:
        """By the list and by hand."""
        return self.state == READY and not self.cordoned

    @property
    def usable(self) -> bool:
        """May it get anything new?"""
        return self.ready and not self.doubtful


class ServerState:
    """What the decisions keep of one server: what this balancer has seen of it."""

    def __init__(self, part: float) -> None:
        self.rounding_offset = part  # of one connection: at many balancers it makes fractions add up
        self.failure_weight, self.consecutive_failures = 1.0, 0
        self.open_legs = 0  # own connections and legs out
        self.started_at = self.cordoned_at = self.unhealthy_until = 0.0
        self.warm_at = 0.0  # when it surely is warm
        self.next_leg_at = 0.0  # not before this
        self.tokens_issued = self.tokens_issued_at = (
            0.0  # tokens for set-ups while it is cold, and up to when
        )
        self.tokens_used = 0  # of them, those used or lost
        self.recent_setups: deque[float] = deque()  # when set-ups went out to it while it was cold, of late
        self.legs_by_group: dict[int, int] = {}  # the same by group
        self.established_legs: dict[Leg, None] = {}  # own standing connections, oldest first
        self.delay_ratio, self.delay_valid_for = (
            0.0,
            0.0,
        )  # as last told, over the shortest message aim; for how long
        self.reported_load = 0.0  # load asked of it over what it can do, as last reported
        self.report_valid_until = -math.inf  # how long that stands
        self.delay_reported_at = self.limit_cut_at = (
            self.probed_at
        ) = -math.inf  # asked: when it last was probed
        self.limit, self.unused_since_uncordon = (
            math.inf,
            False,
        )  # missed: put back by hand and not used since


@dataclass(eq=False)
class Call:
    """A client's request for a connection."""

    type: TrafficType
    deadline: float  # when the client gives up
    arrived: float = 0.0
    key: int = 0
    group: int = 0
    tenant: int = 0
    repeat: bool = False  # the client's repeat
    midflow: bool = False  # an open connection's packets now arrive here
    returned: bool = False  # the client came back after a break or a move
    legs: list[Leg] = field(default_factory=list)
    done: bool = False  # answered for good, or nothing is owed any more
    refusal: str = ""  # why it was given up, for the log
    write_by: float = math.inf  # its next attempt is written before this or not at all
    candidates: list[Server] = field(default_factory=list)  # where the chain may still put it
    scores: dict[Server, float] = field(default_factory=dict)  # by server, while it has no leg out
    awaited_servers: list[Server] = field(default_factory=list)  # those that it waits for while it is kept
    host_record: Any = None  # the host's own record of it


@dataclass(eq=False)
class Leg:
    """One try to place a call on a server."""

    call: Call
    server: Server
    sent: float
    established: bool = False
    load: float = 0.0  # as last told; 0 before
    result: Result | None = None
    host_record: Any = None  # the host's own record of it


@dataclass(eq=False)
class Result:
    """How a leg or a probe ended."""

    kind: str
    duration: float = 0.0
    report: tuple[float, ...] = ()


class OptionalEvents:
    """What a balancer may be told and need not heed."""

    def on_client_left(self, call: Call) -> None: ...
    def on_datagram(self, peer: int, data: bytes) -> None: ...


class Host(Protocol):
    """What an instance may do."""

    now: float

    def send(self, call: Call, server: Server, until: float) -> Leg: ...
    def cancel(self, leg: Leg) -> None: ...
    def reject(self, call: Call, wait: float = 0.0) -> None: ...
    def release(self, call: Call) -> None: ...
    def move(self, call: Call) -> None: ...
    def watch(self, on: bool = True) -> None: ...
    def fetch_list(self) -> None: ...
    def probe(self, server: Server) -> None: ...
    def send_datagram(self, peer: int | None, data: bytes) -> None: ...
    def set_timer(self, when: float, what: Any) -> None: ...
    def log(self, text: str) -> None: ...
