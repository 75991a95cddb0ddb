"""The rules of PROTOCOL.md and STANDING.md as invariants that a process checks while it runs.

Each violation is counted as `violation_NAME`, among the counters at `/_vars` and at exit, and is logged in
one line with the request's id. The checks are independent of the decisions: they use the accounting of the
request and what was written, at the moment of the write. A check that fails before a write prevents it.
"""

from __future__ import annotations

import enum
import math
from collections import deque
from collections.abc import Iterator
from typing import Any

from bellrack import model
from bellrack.model import Leg, Server, Settings
from bellrack.net import log

FEW_CALLS = 30  # below this number of allowed requests, slow_start_bound() uses 3 x root of N


class Invariant(enum.Enum):
    """The invariants. The number in each comment is that of the rule in PROTOCOL.md."""

    ANSWERED_TWICE = "answered_twice"  # 1: a second final answer
    CLOSED_UNANSWERED = "closed_unanswered"  # 1: a request's connection was closed without an answer
    EXIT_UNANSWERED = "exit_unanswered"  # 1: the same at the end of the process
    EXIT_STANDING = "exit_standing"  # 1: the process ended with an established connection that was not moved
    SENT_FOR_NOBODY = "sent_for_nobody"  # 1: an attempt for a client that has left or has its answer
    SECOND_COPY = "second_copy"  # 2: an attempt while an earlier one is open
    REPEATED_ONCE_ONLY = "repeated_once_only"  # 2: an earlier attempt may have run
    REPEATED_LATE = "repeated_late"  # 2: the servers no longer drop repeats
    REPEATED_ELSEWHERE = "repeated_elsewhere"  # 2: the server is not in the group that drops repeats
    SENT_TO_UNUSABLE = "sent_to_unusable"  # 3: the server is draining, gone or detached
    COLD_BUDGET = "cold_budget"  # 4: this process alone sent more than a cold server can take
    SERVED_UNREADY = "served_unready"  # a request was sent before there was a usable list


class Invariants:
    """The checks of one process, called where it writes a request, closes a connection or exits."""

    def __init__(self, counters: log.Counters, settings: Settings):
        self.counters, self.settings = counters, settings
        self.cold_sends: dict[int, deque[float]] = {}  # times of sends to cold servers (seconds), by id hash

    def violated(self, invariant: Invariant, request_id: str, **detail: object) -> None:
        """Counts and logs a violation."""
        self.counters[f"violation_{invariant.value}"] += 1
        log.event("violation", rule=invariant.value, id=request_id, **detail)

    def may_write(self, leg: Leg, request_id: str, now: float, answered: bool, allowed: float) -> bool:
        """Checks an attempt just before its first line is written, and returns whether it may be written.

        `now`: seconds. `answered`: the client has its final answer. `allowed`: the number of requests that
        the settings allow the server within `fall_time` seconds, if it is cold."""
        broken = list(broken_by(leg, now, answered))
        for invariant in broken:
            self.violated(invariant, request_id, server=f"{leg.server.id_hash:016x}")
        if not broken and leg.server.local_state.warm_at > now:
            self.check_cold(leg.server, request_id, now, allowed)
        return not broken

    def check_cold(self, server: Server, request_id: str, now: float, allowed: float) -> None:
        """Counts a send to a cold server and checks the sends of this process against the bound of the whole
        tier. The share of one process is far lower than that bound."""
        sends = self.cold_sends.setdefault(server.id_hash, deque())
        while sends and sends[0] <= now - self.settings.fall_time:
            sends.popleft()
        sends.append(now)
        if len(sends) > slow_start_bound(allowed):
            self.violated(Invariant.COLD_BUDGET, request_id, server=f"{server.id_hash:016x}", sent=len(sends))

    def check_close(self, client: Any) -> None:
        """Checks a client's connection that this process is about to close."""
        if client.call and not client.answered and not client.remote_end:
            self.violated(Invariant.CLOSED_UNANSWERED, client.request_id)

    def check_exit(self, clients: Any) -> None:
        """Checks at exit that each request has its answer and no connection is still established."""
        for client in list(clients):
            if client.closed or client.call is None or client.remote_closed():
                continue
            if client.paired:
                self.violated(Invariant.EXIT_STANDING, client.request_id)
            elif not client.answered:
                self.violated(Invariant.EXIT_UNANSWERED, client.request_id)

    def forget_server(self, server: Server) -> None:
        """Drops what is kept of a server that is gone."""
        self.cold_sends.pop(server.id_hash, None)


def broken_by(leg: Leg, now: float, answered: bool) -> Iterator[Invariant]:
    """The invariants that writing this attempt's first line now would violate."""
    call = leg.call
    if answered or call.done:
        yield Invariant.SENT_FOR_NOBODY
    if not leg.server.ready:
        yield Invariant.SENT_TO_UNUSABLE
    earlier = [other for other in call.legs if other is not leg]
    if any(other.result is None for other in earlier):
        yield Invariant.SECOND_COPY
    may_have_run = [other for other in earlier if other.result and other.result.kind not in model.NEVER_RAN]
    if not may_have_run:
        return
    if call.type.effect == model.ONCE_ONLY:
        yield Invariant.REPEATED_ONCE_ONLY
    if call.type.effect == model.REFERENCED:
        first = min(may_have_run, key=lambda other: other.sent)
        if now > first.sent + call.type.key_ttl:
            yield Invariant.REPEATED_LATE
        if not call.type.same_group(first.server, leg.server):
            yield Invariant.REPEATED_ELSEWHERE


def slow_start_bound(calls: float) -> float:
    """Returns the most requests that a cold server may get in a window of `fall_time`, in which the settings
    allow `calls` requests (N in the quotation).

    STANDING.md: "N + 2 x root of N + 2 (N under 30: N + 3 x root of N + 3)"."""
    root = math.sqrt(calls)
    return calls + 3 * root + 3 if calls < FEW_CALLS else calls + 2 * root + 2
