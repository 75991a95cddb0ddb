"""The interface between the decisions (choice.py) and the hosts that carry them out, and its types.

A host makes one `choice.Balancer(settings, seed, host)` per instance and calls it for each event:

    on_servers_listed(servers)         these servers are new to the list, or their entries changed
    on_cordoned(server, cordoned)      operators cordoned this server, or uncordoned it
    on_discovery_failed(reached)       a call to discovery failed; `reached` unless it could not even connect.
                                       The list stays as it was
    refresh_usable()                   the set of usable servers changed without a new list
    on_call(call)                      a call to place; it is owed one final answer
    on_resumed(leg)                    a connection that was established before the instance started
    on_established(leg)                the leg's connection is established
    on_delay_reported(leg, delay)      a message at the leg's server now takes `delay` seconds
    on_leg_ended(leg, result)          the leg ended
    on_client_left(call)               the client is gone and is owed nothing any more
    on_probe_result(server, result)    a probe of the server ended
    on_datagram(peer, data)            a datagram of another balancer arrived
    on_timer(what)                     a timer set with `Host.set_timer(when, what)` expired

The balancer acts through its `Host`. Times are seconds on the host's clock. The host updates the record of a
call (`legs`, `done`, `leg.result`) before it reports an event of that call.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import Any, Protocol

# States of a server.
READY, DRAINING, GONE = "ready", "draining", "gone"
# Effects of a traffic type: whether a call may run twice, and if so, whether the servers drop the repeat.
REPEATABLE, REFERENCED, ONCE_ONLY = "repeatable", "referenced", "once-only"

# Results of a leg or a probe.
COMPLETED, ERROR, FULL, TIMEOUT = "completed", "error", "full", "timeout"
NO_CONN, RESET, CANCELLED, MOOT = "no connection", "reset", "cancelled", "moot"
# Fields of a report: load over what the server can carry, seconds of work queued, errors a second, cores in
# use, calls held.
FULLNESS, BACKLOG, ERRORS, BUSY, HELD = "fullness", "backlog", "errors", "busy", "held"
# Why the decisions move a connection, for the log.
LATE_MESSAGES, REBALANCED, CORDONED = "late-messages", "rebalanced", "cordoned"
# Up to this many balancers exchange no messages: each sees half of the load itself, and makes few set-ups.
MAX_PEERS_WITHOUT_EXCHANGE = 2
# Connections per unit of listed capacity, over all balancers, that overload no server.
SAFE_CONNECTIONS_PER_CAPACITY = 5.0
# The part of a slow-start budget that is renewed within the window; of a budget above WHOLE_REQUEST_BUDGET
# requests, all but one request is renewed.
STEADY_BUDGET_SHARE = 2 / 3
WHOLE_REQUEST_BUDGET = 1.5
# Rule 4 allows a cold server two requests more than N + 2 sqrt(N); the budget uses this many of them.
BUDGET_SLACK_REQUESTS = 1.0
NEVER_RAN = (FULL, NO_CONN, MOOT)  # results that prove that the leg had no effect
# The longest pause of a host between reading its clock and writing (STANDING.md).
MAX_STALL_SECONDS = 0.15


@dataclass(eq=False)
class TrafficType:
    """A row of the traffic-type table. Times are seconds."""

    effect: str  # REPEATABLE, REFERENCED or ONCE_ONLY
    group: str  # which servers drop repeats of a referenced call: "all", or those of the "zone" or "cell"
    key_ttl: float  # how long they drop repeats, from the first leg that may have run
    setup_target: float
    message_aim: float

    def same_group(self, one: Server, other: Server) -> bool:
        """Returns whether `other` drops repeats of a call that was sent to `one`."""
        if self.group == "all":
            return True
        return one.zone == other.zone if self.group == "zone" else one.cell == other.cell


@dataclass(eq=False)
class Settings:
    """The settings that an instance gets at its start. Times are seconds."""

    types: list[TrafficType]
    zone: int
    peers: int  # balancers of the tier, this one included
    asks: bool  # the list comes on request only
    live: bool  # listed weights fall with the calls that a server holds
    report: tuple[str, ...]  # fields of a probe's report, in order; empty without probes or reports
    max_legs: int  # attempts of one call
    max_open_wait: float  # the longest retry delay that clients honour; 0 if they get none
    tick: float
    answer_slack: float
    cold_share: float  # the share of its capacity that a server has when it starts
    ramp_time: float  # from the start of a server until it has its whole capacity
    overload_factor: float = 1.0  # a cold server fails if it gets this many times what it can carry ...
    fall_time: float = 1.0  # ... for this long
    number: int = -1  # of this balancer among its peers; negative if unknown
    may_publish: bool = False  # balancers may send one another messages
    drain_grace: float = 1.0  # within which sending to a server has to stop once its drain is reported
    ask_within: float = 10.0  # how long a list stays valid without a watch, if the list comes on request

    def update_from(self, other: Settings) -> None:
        """Takes over all values of `other`, so every holder of this object has them. Calls keep their
        traffic type."""
        vars(self).update(vars(other))

    def slow_start_allowance(self, proven_load: float, capacity: float) -> float:
        """Returns this balancer's part of N, the requests that the settings allow a cold server within
        `fall_time`.

        `proven_load`: open legs of this balancer per unit of capacity that warm servers carry.
        `capacity`: what the server has by now."""
        load = max(proven_load, SAFE_CONNECTIONS_PER_CAPACITY / self.peers) * capacity
        return self.overload_factor * self.fall_time / self.ramp_time * load

    def slow_start_budget(self, proven_load: float, capacity: float) -> tuple[float, float]:
        """Returns this balancer's part of the requests that a cold server may get within `fall_time`, and the
        part of them that is renewed within that time. Arguments as for `slow_start_allowance`.

        The budgets of all balancers add up to N + 2 sqrt(N) + BUDGET_SLACK_REQUESTS at most, where N is
        overload_factor times the requests that an even fill over the warm-up sends within `fall_time`."""
        allowed = self.slow_start_allowance(proven_load, capacity)
        budget = allowed + 2 * math.sqrt(allowed / self.peers) + BUDGET_SLACK_REQUESTS / self.peers
        return budget, budget - 1 if budget > WHOLE_REQUEST_BUDGET else STEADY_BUDGET_SHARE * budget

    @property
    def peers_unseen(self) -> bool:
        """Whether this is one of many balancers and learns the load of the others neither from messages nor
        from reports. What each opens for a group beyond the group's first server then adds up unseen."""
        return self.peers > MAX_PEERS_WITHOUT_EXCHANGE and not self.may_publish and not self.report

    @property
    def answer_margin(self) -> float:
        """Seconds that an answer needs to reach a client in time."""
        return self.answer_slack + 2 * self.tick

    @property
    def shortest_message_aim(self) -> float:
        """The shortest message aim of all traffic types, in seconds."""
        return min(kind.message_aim for kind in self.types)


@dataclass(eq=False)
class Server:
    """A server of the list. Times are seconds on the host's clock."""

    id_hash: int  # of its identifier: the same at every balancer
    zone: int = 0
    cell: int = 0
    state: str = READY  # as last listed
    capacity: float = 1.0  # relative to other servers
    weight: float = 1.0  # as last listed: the capacity, or the capacity reduced by the calls that it holds
    machine_type: int = 0
    started_at: float = 0.0  # its last start; 0 for long ago
    cordoned: bool = False  # by operators, whatever the list says
    last_accepted: float = -math.inf  # when the last new connection that it accepted was sent
    doubtful: bool = False  # the list is doubtful, and this server accepted no connection since
    last_attempted: float = -math.inf  # when the last new connection was sent to it
    # Neither accepted nor attempted for long while the list ages: calls without a group go there first.
    needs_attempt: bool = False
    local_state: Any = None  # the ServerState of the decisions
    host_record: Any = None  # the host's own record of it

    @property
    def ready(self) -> bool:
        """Whether it is ready by the list and not cordoned."""
        return self.state == READY and not self.cordoned

    @property
    def usable(self) -> bool:
        """Whether it may get new connections."""
        return self.ready and not self.doubtful


class ServerState:
    """What the decisions keep of one server: all that this balancer has seen of it.

    `rounding_offset`, in [0, 1), is added to the number of open legs before it is compared with a limit. The
    offsets are spread evenly over the balancers, so that fractions of a connection add up over all of them.
    """

    def __init__(self, rounding_offset: float) -> None:
        self.rounding_offset = rounding_offset
        self.failure_weight, self.consecutive_failures = 1.0, 0
        self.open_legs = 0  # own legs, those being set up included
        self.started_at = self.cordoned_at = self.unhealthy_until = 0.0
        self.warm_at = 0.0  # when it has its whole capacity at the latest
        self.next_leg_at = 0.0  # no leg is sent to it before
        # Tokens for set-ups while it is cold, and the time up to which they were issued.
        self.tokens_issued = self.tokens_issued_at = 0.0
        self.tokens_used = 0  # or expired
        self.recent_setups: deque[float] = deque()  # times of recent set-ups written to it while it was cold
        self.legs_by_group: dict[int, int] = {}  # open legs by group
        self.established_legs: dict[Leg, None] = {}  # own established connections, oldest first
        # Message delay as last reported, over the shortest message aim; seconds for which that is valid.
        self.delay_ratio, self.delay_valid_for = 0.0, 0.0
        self.reported_load = 0.0  # load over what it can carry, as last reported
        self.report_valid_until = -math.inf
        # When its delay was last reported, when the limit was last cut, when it was last probed.
        self.delay_reported_at = self.limit_cut_at = self.probed_at = -math.inf
        # The most open legs that it gets; whether it was uncordoned and not used since.
        self.limit, self.unused_since_uncordon = math.inf, False


@dataclass(eq=False)
class Call:
    """A client's request for a connection."""

    type: TrafficType
    deadline: float  # when the client gives up
    arrived: float = 0.0
    key: int = 0
    group: int = 0  # 0 for none
    tenant: int = 0
    repeat: bool = False  # the client marked it as a repeat
    midflow: bool = False  # the packets of an open connection now arrive at this balancer
    returned: bool = False  # the client came back after a broken or moved connection
    legs: list[Leg] = field(default_factory=list)
    done: bool = False  # answered for good, or nothing is owed any more
    refusal: str = ""  # why it was given up, for the log
    move_cause: str = ""  # why the decisions last ordered a move of its connection, for the log
    write_by: float = math.inf  # its next attempt is written before this time or not at all
    candidates: list[Server] = field(default_factory=list)  # the servers that the chain may still choose
    scores: dict[Server, float] = field(default_factory=dict)  # rendezvous scores, until a leg is sent
    awaited_servers: list[Server] = field(default_factory=list)  # those that it waits for while it is queued
    host_record: Any = None  # the host's own record of it


@dataclass(eq=False)
class Leg:
    """One attempt to place a call on a server, and the connection that comes of it."""

    call: Call
    server: Server
    sent: float  # when the attempt was sent
    established: bool = False
    load: float = 0.0  # as last reported; 0 before
    result: Result | None = None
    host_record: Any = None  # the host's own record of it


@dataclass(eq=False)
class Result:
    """How a leg or a probe ended."""

    kind: str  # COMPLETED, ERROR, ...
    duration: float = 0.0  # seconds
    report: tuple[float, ...] = ()  # of a probe: the values of `Settings.report`, in its order


class OptionalEvents:
    """Events that a balancer may ignore: the methods do nothing."""

    def on_client_left(self, call: Call) -> None:
        """The client of the call is gone."""
        ...

    def on_datagram(self, peer: int, data: bytes) -> None:
        """A datagram of the balancer with this number arrived."""
        ...


class Host(Protocol):
    """What an instance may ask of its host."""

    now: float  # seconds on the host's clock

    def send(self, call: Call, server: Server, until: float) -> Leg:
        """Sends the call to the server, and gives up setting up the connection at `until`."""
        ...

    def cancel(self, leg: Leg) -> None:
        """Gives up a leg that is being set up."""
        ...

    def reject(self, call: Call, wait: float = 0.0) -> None:
        """Answers the call finally: the client may try again after `wait` seconds."""
        ...

    def release(self, call: Call) -> None:
        """Answers the call finally: it failed and may have run."""
        ...

    def move(self, call: Call) -> None:
        """Asks the client of an established connection to connect again."""
        ...

    def watch(self, on: bool = True) -> None:
        """Starts a watch of the list, or ends it."""
        ...

    def fetch_list(self) -> None:
        """Asks discovery for the whole list once."""
        ...

    def probe(self, server: Server) -> None:
        """Probes the server; the balancer gets the result as `on_probe_result`."""
        ...

    def send_datagram(self, peer: int | None, data: bytes) -> None:
        """Sends a datagram to the balancer with this number, or to all others."""
        ...

    def set_timer(self, when: float, what: Any) -> None:
        """Has `on_timer(what)` called at `when`. The timer of a call may be dropped once that is done."""
        ...

    def log(self, text: str) -> None:
        """Writes a line to the log."""
        ...
