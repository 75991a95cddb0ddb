"""The ids of the requests that came to this process or to its sibling in a hot restart.

The two processes are one balancer: a request that came to one must not run again at the other. Each tells the
other an id when it takes the request, before that can be sent to a server, and again when it has ended. If
the same id comes to both at the same time, the one that took it first keeps it, unless the other was sent.
"""

from __future__ import annotations

from typing import Any

from bellrack.net import limits, lines, recent_ids


class RequestIds:
    """The ids that this process knows. Its times are seconds of the machine's monotonic clock."""

    def __init__(self, node: Any):
        self.node = node
        self.unpublished: list[tuple[int, float]] = []  # ids and when they were taken or ended

    def now(self) -> float:
        """The time on the clock that both processes share."""
        return self.node.clock() - self.node.anchor

    def start_sweeps(self) -> None:
        """Frees the memory of forgotten ids from now on, at regular intervals."""
        self.node.after(recent_ids.SWEEP_INTERVAL_SECONDS, self.start_sweeps)
        # The longest wait of a client, and the longest delay after which it comes again.
        longest_wait = max(limits.MAX_WAIT_SECONDS, *self.node.names.default_timeouts)
        self.node.limits.recent_ids.retention = longest_wait + self.node.settings.max_open_wait
        self.node.limits.recent_ids.sweep(self.now())

    def is_taken(self, id_hash: int, resumes: bool) -> bool:
        """Whether a request with this id must not be admitted. A resumed connection keeps its id on a retry,
        so for it only open ones count."""
        if resumes:
            return id_hash in self.node.limits.open_ids
        return self.node.limits.knows_id(id_hash, self.now())

    def on_taken(self, client: Any) -> None:
        """The client's request is admitted now. The sibling is told before it is sent to a server."""
        client.taken_at = self.now()
        self.node.limits.open_ids[client.request_line.id_hash] = client
        self.note(client.request_line.id_hash, client.taken_at)
        self.node.queue_action(self.publish)

    def on_ended(self, id_hash: int) -> None:
        """The connection of a request has ended."""
        now = self.now()
        self.node.limits.on_call_ended(id_hash, now)
        self.note(id_hash, now)
        self.node.queue(self.publish)

    def note(self, id_hash: int, time: float) -> None:
        """Keeps an id for the next message to the sibling."""
        if self.node.hot_restart.sibling:
            self.unpublished.append((id_hash, time))

    def publish(self) -> None:
        """Sends the sibling the ids that it was not told yet, in one message."""
        if self.unpublished:
            self.node.hot_restart.publish(
                ids=[[f"{id_hash:016x}", time] for id_hash, time in self.unpublished]
            )
            self.unpublished = []

    def on_sibling_ids(self, rows: list[Any]) -> None:
        """The sibling has taken or ended requests with these ids. Raises ValueError or TypeError."""
        for text, time in rows:
            id_hash = int(text, 16)
            self.node.limits.recent_ids.add(id_hash, self.now())
            client = self.node.limits.open_ids.get(id_hash)
            if client and float(time) < client.taken_at and may_still_be_refused(client):
                client.reject_malformed("id-known")

    def to_message(self) -> list[str]:
        """Returns all ids for a successor, those of open requests included."""
        ids, now = self.node.limits.recent_ids, self.now()
        for id_hash in self.node.limits.open_ids:
            if not ids.knows(id_hash, now):
                ids.add(id_hash, now)
        return ids.to_message()

    def adopt(self, state: dict[str, Any]) -> None:
        """Adds the ids of a predecessor's state. Raises ValueError or TypeError."""
        ids, now = self.node.limits.recent_ids, self.now()
        if "recent_ids" in state:
            ids.merge_message(state["recent_ids"], now)
        for request_id in state.get("seen", ()):
            ids.add(lines.id_hash(request_id), now)


def may_still_be_refused(client: Any) -> bool:
    """Whether no attempt of the client's request was written yet. Resumed connections keep their ids."""
    attempts = [leg.host_record for leg in client.call.legs]
    written = any(attempt and attempt.request_sent for attempt in attempts)
    return not (client.call.done or client.paired or written or "at" in client.request_line.values)
