"""Limits on what clients and operators can make the process hold: descriptors, connections, request ids.

Counts file descriptors, keeps part of them in reserve, and makes room by ending connections that have no
unanswered call, oldest first; connections with one are never ended here. Also keeps the request ids in use.
"""

from __future__ import annotations

import os
import resource
from collections.abc import Callable
from typing import Any

from bellrack.net.recent_ids import RecentIds

LISTEN_BACKLOG = 1024  # connections; clients beyond it in a burst wait until their SYN is sent again
ACCEPTS_PER_TURN = 16  # connections accepted in one turn of the event loop
# The same of operators, whose requests are processed first: a rush of them must leave time for clients.
ADMIN_ACCEPTS_PER_TURN = 4
FINAL_ACCEPT_RETRIES = 10  # for connections still queued when the listener closes for good, 0.05 s apart
ACCEPT_RETRY_SECONDS = 0.02  # delay of the next accept after one failed for lack of descriptors
# Descriptors kept free, at most 3/8 of the limit: half to answer clients that are refused, half for control.
RESERVED_DESCRIPTORS = 48
# From connecting to a whole first line. Some clients take 2 s to write it; an answer is due within 3 s.
FIRST_LINE_SECONDS = 2.75
MAX_PINGS = 8  # on one connection
SILENT_GRACE_SECONDS = 0.1  # a silent connection is kept for so long even if its descriptor is needed
RESUMED_GRACE_SECONDS = 5.0  # the same while resumed connections are expected, some of which write late
MAX_WAIT_SECONDS = 60.0  # the longest wait that a client may announce; its call is kept for as long
# Free descriptors needed for an attempt: one is counted twice at the moment at which its connection comes up.
DESCRIPTORS_PER_ATTEMPT = 2
MAX_PROBES = 32  # in flight at once; further ones are skipped, and the decisions do without their result
PROBE_RESERVE_DIVISOR = 12  # with only the reserve left, 1/12 of it may be used for probes
CONTROL_DESCRIPTORS = 6  # further use of the reserve: two watches, a fetch of the list, three of a hand-off
DESCRIPTORS_AT_START = 8  # of a new process: the standard streams and those of the event loop
MAX_ADMIN_CONNECTIONS = 32  # requests of operators in progress at once
ADMIN_REQUEST_SECONDS = 6.0  # from connecting until an operator's request must be complete


def open_descriptors() -> int:
    """The open descriptors of this process; DESCRIPTORS_AT_START where they cannot be listed."""
    try:
        return len(os.listdir("/proc/self/fd")) - 1  # not the one that lists them
    except OSError:
        return DESCRIPTORS_AT_START


class Limits:
    """The limits of one process and what counts towards them. Times are seconds of the node's clock."""

    def __init__(self, sockets: int):
        """`sockets`: the configured number of descriptors."""
        self.set_limit(sockets)
        self.probes_in_flight = 0
        self.sibling_descriptors = 0  # of the sibling process in a hot restart: both share one limit
        self.descriptors = open_descriptors()
        # Connections without a call or already answered, and the time since which they are; oldest first.
        self.evictable: dict[Any, float] = {}
        # Connections with part of a first line, and the time of their last write; oldest first.
        self.partial_lines: dict[Any, float] = {}
        # Clients by the id hash of their request, while its connection is open.
        self.open_ids: dict[int, Any] = {}
        self.recent_ids = RecentIds()  # of requests that have ended, or came to the sibling
        self.expects_resumed: Callable[[], bool] = bool  # whether silent connections may be resumed ones

    def set_limit(self, sockets: int) -> None:
        """Sets the limit to the configured number of descriptors, or to the process's own limit if lower."""
        process_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self.limit = min(sockets, process_limit if process_limit > 0 else sockets)
        self.reserve = min(RESERVED_DESCRIPTORS, 3 * self.limit // 8)

    def count_descriptors(self, by: int) -> None:
        """Adds `by`, which may be negative, to the open descriptors."""
        self.descriptors += by

    def may_probe(self) -> bool:
        """Whether one more probe may be sent. A few may use the reserve."""
        return (
            self.probes_in_flight
            < (self.reserve // PROBE_RESERVE_DIVISOR if self.reserve_reached() else MAX_PROBES)
            and not self.exhausted()
        )

    def knows_id(self, id_hash: int, now: float) -> bool:
        """Whether the id belongs to an open or a recent request. Each connection has a new id; servers refuse
        a duplicate with what looks like a failure of their own, or run it again.

        `now`: seconds of the machine's monotonic clock."""
        return id_hash in self.open_ids or self.recent_ids.knows(id_hash, now)

    def on_call_ended(self, id_hash: int, now: float) -> None:
        """Moves the id of an ended request to the recent ones. `now`: as for `knows_id`."""
        del self.open_ids[id_hash]
        self.recent_ids.add(id_hash, now)

    def reserve_reached(self, part: int = 1) -> bool:
        """Whether no more than the reserve, or than 1/`part` of it, is left."""
        return self.descriptors + self.sibling_descriptors + self.reserve // part >= self.limit

    def lacks(self, more: int) -> bool:
        """Whether `more` further descriptors do not fit, the half of the reserve for clients included."""
        return self.descriptors + self.sibling_descriptors + more + self.reserve // 2 > self.limit

    def exhausted(self) -> bool:
        """Whether no descriptor is left, the reserve included."""
        return self.descriptors >= self.limit

    def on_partial_line(self, connection: Any, now: float) -> None:
        """A connection has sent part of its first line."""
        self.evictable.pop(connection, None)
        self.partial_lines.pop(connection, None)
        self.partial_lines[connection] = now

    def untrack(self, connection: Any) -> None:
        """The connection has a call or has ended: it is no longer ended to make room."""
        self.evictable.pop(connection, None)
        self.partial_lines.pop(connection, None)

    def make_room(self, now: float, part: int = 1) -> bool:
        """Ends connections without an unanswered call until more than 1/`part` of the reserve is left, and
        returns whether it is. Otherwise calls would be rejected with BUSY because of connections that send
        nothing.

        Silent connections are ended first, then those with part of a line, the longest without a write first.
        Otherwise slow but active clients would be ended before idle ones."""
        grace = RESUMED_GRACE_SECONDS if self.expects_resumed() else SILENT_GRACE_SECONDS
        for waiting in (self.evictable, self.partial_lines):
            while self.reserve_reached(part) and waiting:
                connection, since = next(iter(waiting.items()))
                if now - since < grace:
                    break
                connection.evict()
        return not self.reserve_reached(part)

    @property
    def max_admin_connections(self) -> int:
        """Requests of operators that may be in progress: what is left of the reserve's half for control."""
        return max(
            1,
            min(
                MAX_ADMIN_CONNECTIONS,
                self.reserve // 2 - self.reserve // PROBE_RESERVE_DIVISOR - CONTROL_DESCRIPTORS,
            ),
        )
