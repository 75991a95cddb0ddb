"""The way out: from the call to end until the program is empty.

Owns when each standing connection is moved, or handed to the process that comes after us, when those that
still wait are answered, and when the program ends. It takes no call, never cuts off a connection without a
word, and never waits past the time that is left.
"""

from __future__ import annotations

from typing import Any

from bellrack.net import log

FIRST_MOVE_SHARE = (
    1 / 3
)  # of the time there is, until the first is moved: the front may still deal it to us again
LAST_MOVE_SHARE = 0.8  # of that time, until the last is
MOVE_REST_SHARE = 0.85  # of that time, when all go that have come up meanwhile
STAY = 1.0  # seconds that we stay at least
LONGEST, GRACE = 3.0, 0.7  # what is left after that call: the longest guard time, at most, and some more
ANSWER_BEFORE_END_SECONDS = (
    0.4  # seconds before its end that who still waits is answered: some say that they wait for longer
)
MARGIN = 0.2  # seconds before its end that we go, empty or not
LOOK = 0.05  # seconds between looks for that


class Shutdown:
    def __init__(self, node: Any):
        self.node, self.started_at = node, node.now
        self.time_limit = min(LONGEST, max(node.names.default_timeouts)) + GRACE
        standing = [client for client in node.clients if client.paired]
        log.event(
            "leaving",
            standing=len(standing),
            seconds=self.time_limit,
            handed_over=node.hot_restart.has_successor,
        )
        if node.hot_restart.handoff_sender:
            self.hand_over()
        else:
            self.move_spread(standing)
        node.after(MOVE_REST_SHARE * self.time_limit, self.move_rest)
        node.after(self.time_limit - ANSWER_BEFORE_END_SECONDS, self.answer_rest)
        self.empty()

    @property
    def admits_requests(self) -> bool:
        """Is a request that comes now still placed? By a process that was followed, while there is time."""
        return (
            self.node.hot_restart.has_successor
            and self.node.now - self.started_at < self.time_limit - ANSWER_BEFORE_END_SECONDS
        )

    def on_successor_lost(self) -> None:
        """Nobody takes what stands any more."""
        if self.node.now - self.started_at >= MOVE_REST_SHARE * self.time_limit:
            self.move_rest()

    def move_spread(self, standing: list[Any]) -> None:
        for index, client in enumerate(standing):
            # Late, and not at once: guards against clients without a balancer while the one that restarted
            # before us is not yet back, and against a rush on the others.
            share = FIRST_MOVE_SHARE + (LAST_MOVE_SHARE - FIRST_MOVE_SHARE) * index / len(standing)
            self.node.after(share * self.time_limit, client.move, "leaving")

    def move_rest(self) -> None:
        for client in list(self.node.clients):
            client.move("leaving")

    def answer_rest(self) -> None:
        """Guards against a call that is kept, or out at a server that hangs, when our time is over."""
        self.node.resumed.answer_all()
        for client in list(self.node.clients):
            if client.call and not client.call.done:
                self.node.balancer.on_timer(client.call)

    def answer_silent(self) -> None:
        """Take in who still waits in the listener and answer all that have said nothing, or half a line:
        guards against a request that crosses the end of the process. Nobody comes in any more."""
        self.node.listeners.accept_last()
        for client in list(self.node.clients):
            if client.call is None and not client.closed:
                client.reject_unread("leaving")

    def hand_over(self) -> None:
        """What stands goes to the process after us; what comes up later, or is still to be sent, then."""
        if self.node.hot_restart.handoff_sender:
            self.node.after(0 if self.node.hot_restart.handoff_sender.send_batch() else LOOK, self.hand_over)

    def empty(self) -> None:
        gone = self.node.now - self.started_at
        if gone >= self.time_limit - ANSWER_BEFORE_END_SECONDS:
            self.answer_silent()
        # Whoever has come in is owed an answer once its line is whole: also who has said nothing yet, or half
        # a line, who is not told by our answer yet, and who waits in the door.
        alone = gone >= STAY and not self.node.clients and not self.node.listeners.accept_last()
        if alone or gone >= self.time_limit - MARGIN:
            self.node.finished.set()
        else:
            self.node.after(LOOK, self.empty)
