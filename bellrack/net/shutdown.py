"""The graceful shutdown of a process, from SIGTERM until it may exit.

Decides when each established connection is moved or handed to the successor, when requests that still wait
are answered, and when the process ends. No connection is closed without a final line, and the process never
stays longer than the time limit.
"""

from __future__ import annotations

from typing import Any

from bellrack.net import log
from bellrack.net.handoff import BatchResult

# Shares of the time limit. The first connection is moved late: earlier, the front may send it here again.
FIRST_MOVE_SHARE = 1 / 3
LAST_MOVE_SHARE = 0.8  # when the last of the connections established at the start of the shutdown is moved
MOVE_REST_SHARE = 0.85  # when all that were established meanwhile are moved
MIN_SECONDS = 1.0  # the process stays at least so long
# The time limit is the longest default timeout of a request, at most this, and a grace period.
MAX_REQUEST_SECONDS = 3.0
GRACE_SECONDS = 0.7
# So long before the time limit, requests that still wait are answered: some clients would wait for longer.
ANSWER_BEFORE_END_SECONDS = 0.4
EXIT_BEFORE_END_SECONDS = 0.2  # so long before the time limit the process ends, with or without connections
CHECK_INTERVAL_SECONDS = 0.05  # between two checks whether the process may end
# Until the next batch of connections is handed over.
NEXT_BATCH_SECONDS = {
    BatchResult.MORE_LEFT: 0.0,
    BatchResult.SOCKET_FULL: 0.005,
    BatchResult.REFUSED: CHECK_INTERVAL_SECONDS,
    BatchResult.ALL_TRIED: CHECK_INTERVAL_SECONDS,
}


class Shutdown:
    """The shutdown of one process. It starts with the object; times are seconds of the node's clock."""

    def __init__(self, node: Any):
        self.node, self.started_at = node, node.now
        self.time_limit = min(MAX_REQUEST_SECONDS, max(node.names.default_timeouts)) + GRACE_SECONDS
        established = [client for client in node.clients if client.paired]
        log.event(
            "leaving",
            standing=len(established),
            seconds=self.time_limit,
            handed_over=node.hot_restart.has_successor,
        )
        if node.hot_restart.handoff_sender:
            self.hand_over()
        else:
            self.move_spread(established)
        node.after(MOVE_REST_SHARE * self.time_limit, self.move_rest)
        node.after(self.time_limit - ANSWER_BEFORE_END_SECONDS, self.answer_rest)
        self.end_if_empty()

    @property
    def admits_requests(self) -> bool:
        """Whether a new request is still sent to a server: with a successor, and while there is time."""
        return (
            self.node.hot_restart.has_successor
            and self.node.now - self.started_at < self.time_limit - ANSWER_BEFORE_END_SECONDS
        )

    def on_successor_lost(self) -> None:
        """Move the remaining connections if the regular time for that has passed: no successor will."""
        if self.node.now - self.started_at >= MOVE_REST_SHARE * self.time_limit:
            self.move_rest()

    def move_spread(self, established: list[Any]) -> None:
        """Move these connections one by one, spread over the time from FIRST_ to LAST_MOVE_SHARE."""
        for index, client in enumerate(established):
            # Late, as the balancer that restarted before us may not be back yet, and clients would find none;
            # and not all at once, which would be a rush on the others.
            share = FIRST_MOVE_SHARE + (LAST_MOVE_SHARE - FIRST_MOVE_SHARE) * index / len(established)
            self.node.after(share * self.time_limit, client.move, "leaving")

    def move_rest(self) -> None:
        """Move all remaining established connections."""
        for client in list(self.node.clients):
            client.move("leaving")

    def answer_rest(self) -> None:
        """Answer all requests that still wait.

        Otherwise a queued call, or one sent to a server that hangs, would get no answer in time."""
        self.node.resumed.answer_all()
        for client in list(self.node.clients):
            if client.call and not client.call.done:
                self.node.balancer.on_timer(client.call)

    def answer_silent(self) -> None:
        """Accept what still waits, stop listening, and reject all connections without a whole request.

        Otherwise a request that arrives just as the process ends would have no answer."""
        self.node.listeners.accept_last()
        for client in list(self.node.clients):
            if client.call is None and not client.closed:
                client.reject_unread("leaving")

    def hand_over(self) -> None:
        """Hand established connections to the successor, again and again until the end.

        Connections that are established later, or still have unsent data, go over in a later round."""
        if sender := self.node.hot_restart.handoff_sender:
            self.node.after(NEXT_BATCH_SECONDS[sender.send_batch()], self.hand_over)

    def end_if_empty(self) -> None:
        """End the process if it has no connections left or its time is over; else check again later."""
        elapsed = self.node.now - self.started_at
        if elapsed >= self.time_limit - ANSWER_BEFORE_END_SECONDS:
            self.node.hot_restart.receive_last()
            self.answer_silent()
        # Each accepted connection is owed an answer once its request is complete. So the process waits also
        # for those that sent nothing or half a line so far, those whose answer is not yet written out, and
        # those that still wait to be accepted.
        empty = (
            elapsed >= MIN_SECONDS
            and not self.node.clients
            and not self.node.hot_restart.receive_last()
            and not self.node.listeners.accept_last()
        )
        if empty or elapsed >= self.time_limit - EXIT_BEFORE_END_SECONDS:
            self.node.finished.set()
        else:
            self.node.after(CHECK_INTERVAL_SECONDS, self.end_if_empty)
