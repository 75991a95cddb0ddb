"""A hot restart as one process sees it: the other process (its sibling) and what the two exchange.

Decides which of the two processes listens, and exchanges the state that goes over beside the connections. The
Unix socket is in `sibling.py`, the hand-off of connections in `handoff.py`, the merging of state in
`shared_state.py`. Without a sibling nothing here has an effect.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from bellrack.net import handoff, lines, log, shared_state, sibling
from bellrack.net.fact_versions import CordonOrder, EntryVersion, OrderSource
from bellrack.net.handoff_receiver import HandoffReceiver
from bellrack.net.order_relay import OrderOutcome, OrderRelay

# A third process waits so long for the first of two to end: that one's shutdown takes 3.7 s, plus a start.
PREDECESSOR_WAIT_SECONDS = 8.0
PREDECESSOR_RETRY_SECONDS = 0.1  # between two attempts to connect to the predecessor


class HotRestart:
    """This process's part in a hot restart, as predecessor, as successor, or both in turn."""

    def __init__(self, node: Any):
        self.node = node
        self.sibling: sibling.Sibling | None = None  # the predecessor or the successor
        # Hands connections to the successor; set once the successor listens in our place.
        self.handoff_sender: handoff.HandoffSender | None = None
        # Takes over connections of the predecessor.
        self.handoff_receiver: HandoffReceiver | None = None
        self.connecting: asyncio.Task | None = None
        self.reopening: asyncio.Task | None = None
        self.order_relay = OrderRelay(node)
        self.clock_ahead = 0.0  # seconds by which our clock is ahead of the predecessor's

    @property
    def has_successor(self) -> bool:
        """Whether a successor listens in our place."""
        return self.handoff_sender is not None

    async def find_predecessor(self) -> sibling.Predecessor | None:
        """Connect to the process that serves as this balancer, if there is one, and adopt its state.

        Returns None if there is none."""
        path = self.node.listeners.successor_path
        predecessor = await self.await_predecessor(path) if path else None
        if predecessor:
            await self.take_over(predecessor)
        self.order_relay.close()
        return predecessor

    async def await_predecessor(self, path: str) -> sibling.Predecessor | None:
        """Connect to the predecessor at this path; wait while it is busy with another sibling.

        Otherwise a third process would start with no state at all, not even with the detached servers.
        Meanwhile operators' orders are exchanged with it, also while this process shuts down. Returns None if
        there is no predecessor, it stays busy for PREDECESSOR_WAIT_SECONDS, or this process has ended."""
        end = self.node.clock() + PREDECESSOR_WAIT_SECONDS
        while not self.node.finished.is_set():
            self.order_relay.submitted.clear()
            try:
                return await asyncio.to_thread(sibling.connect_to_predecessor, path)
            except (sibling.BusyError, OSError) as error:
                await self.on_busy(error)
                if self.node.clock() >= end:
                    log.event("handover", taken="nothing", error=repr(error))
                    break
            await self.order_relay.wait(PREDECESSOR_RETRY_SECONDS)
        self.order_relay.abandon()
        return None

    async def on_busy(self, error: sibling.BusyError | OSError) -> None:
        """The predecessor cannot hand over now: exchange operators' orders with it, if it can do that."""
        if not self.node.counters["waits_for_predecessor"]:
            log.event("handover", waits=error)
        self.node.counters["waits_for_predecessor"] += 1
        if isinstance(error, sibling.BusyError) and error.channel:
            await self.order_relay.exchange(error.channel)

    async def take_over(self, predecessor: sibling.Predecessor) -> None:
        """Adopt the predecessor's state and connect to it.

        This process listens in its place later, once it is ready."""
        node, state = self.node, predecessor.state
        shared_state.adopt(node, state)
        node.readiness.serve_known_list = False  # the predecessor serves meanwhile
        self.connect(predecessor.sock, unread=predecessor.unread)
        for message in shared_state.replies(node, state):
            self.publish(**message)
        self.handoff_receiver = predecessor.handoff_socket and HandoffReceiver(
            node, predecessor.handoff_socket
        )
        await self.connecting

    def connect(
        self,
        sock: socket.socket,
        handoff_sender: handoff.HandoffSender | None = None,
        unread: bytes = b"",
        unsent: bytes = b"",
    ) -> None:
        """Start to exchange messages with the sibling over this Unix socket.

        `unread`: bytes of its messages that are already read; `unsent`: bytes to write first."""
        self.sibling = sibling.Sibling(self.node, handoff_sender, unread, unsent)
        self.connecting = self.node.loop.create_task(
            self.node.loop.create_unix_connection(lambda: self.sibling, sock=sock)
        )

    def snapshot(self) -> dict[str, Any]:
        """Return the state that a successor gets with the listening socket."""
        return shared_state.snapshot(self.node)

    def receive_last(self) -> int:
        """Receive the connections that the predecessor has sent, and no more.

        Returns how many of them are not attached yet."""
        return self.handoff_receiver.receive_last() if self.handoff_receiver else 0

    def publish(self, **words: Any) -> None:
        """Send a message to the sibling, if there is one; the keywords are its keys."""
        if self.sibling:
            self.sibling.send(**words)

    def give_order(self, name: str, cordon: bool, on_outcome: Callable[[OrderOutcome], None]) -> None:
        """Detach a server (`cordon`) or attach it, on an operator's request, at all processes.

        `on_outcome` is called with the outcome, before or after the return."""
        order = CordonOrder(name, cordon, self.node.clock() - self.node.anchor)
        if self.order_relay.is_open:
            self.order_relay.submit(order, on_outcome)
        else:
            on_outcome(self.apply_order(order))

    def apply_order(self, order: CordonOrder) -> OrderOutcome:
        """Apply an operator's order here and at the sibling."""
        if not self.node.server_list.knows(order.name):
            return OrderOutcome.UNKNOWN_SERVER
        self.node.server_list.on_order(order, OrderSource.OPERATOR)
        self.publish_order(order)
        return OrderOutcome.APPLIED

    def publish_order(self, order: CordonOrder) -> None:
        """Send the sibling an order to detach or attach a server."""
        self.publish(**shared_state.order_message(order))

    def publish_news(self, news: lines.Listing, version: EntryVersion) -> None:
        """Pass news of discovery on to the sibling: the two processes act as one balancer."""
        if self.sibling:
            self.publish(**shared_state.news_message(lines.update_message(news), version))

    def on_message(self, message: dict[str, Any]) -> None:
        """Handle a message of the sibling. Unknown keys are ignored: it may be of another version."""
        node = self.node
        if "held" in message:
            # Descriptors in transit count too: there may be hundreds of them, counted by neither process.
            in_transit = (
                int(message.get("passed", 0)) - self.handoff_receiver.descriptors_passed
                if self.handoff_receiver
                else 0
            )
            node.limits.sibling_descriptors = int(message["held"]) + max(0, in_transit)
            node.limits.make_room(node.now)
        if "news" in message:
            news = lines.parse_list(message["news"])
            node.server_list.apply_from_elsewhere(news, shared_state.news_version(message, news))
        if "ids" in message:
            node.request_ids.on_sibling_ids(message["ids"])
        if "list_age" in message:
            shared_state.adopt_part(shared_state.adopt_list_age, node, shared_state.Predecessor(message))
        if "out" in message or "back" in message:
            ordered_at = float(message.get("given", node.clock() - node.anchor))
            order = CordonOrder(str(message.get("out") or message["back"]), "out" in message, ordered_at)
            node.server_list.on_order(order, OrderSource.SIBLING)
        if "took" in message and self.sibling and self.sibling.handoff_sender:
            self.handoff_sender = self.sibling.handoff_sender
            node.listeners.stop_accepting()
            node.balancer.slow_start.suspend(True)  # the successor uses the budget now
            # Servers may have accepted connections since the snapshot.
            self.publish(list_age=node.discovery.doubt.to_message(with_proofs=True))
            log.event("followed")

    def on_sibling_lost(self, lost: sibling.Sibling) -> None:
        """Handle the end of the connection to the sibling: that process has ended."""
        if lost is not self.sibling:
            return
        lost.close()
        node, had_successor, self.sibling, self.handoff_sender = self.node, self.has_successor, None, None
        node.limits.sibling_descriptors = 0
        if node.finished.is_set():
            return
        if had_successor:
            # Also during our own shutdown: no other process accepts the connections that wait on the socket.
            node.balancer.slow_start.suspend(False)
            self.reopening = node.loop.create_task(node.listeners.reopen())
            if node.shutdown:
                node.shutdown.on_successor_lost()
        elif node.listeners.listener is None:
            # Connections that arrived after its end wait on the listening socket for us. So we are in as much
            # of a hurry as at a start without a predecessor.
            node.readiness.serve_known_list = node.settings.asks
            node.readiness_changed.set()

    def close(self) -> None:
        """Close the connections to the sibling."""
        for connection in (self.sibling, self.handoff_receiver):
            if connection:
                connection.close()
