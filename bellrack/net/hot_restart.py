"""A hot restart as one process sees it: its sibling, before or after it, and what passes between them.

Owns which of the two listens, and the state that goes over beside the connections. The Unix socket is
`sibling.py`, the hand-off of connections `handoff.py`. Without a sibling nothing here does anything.
"""

from __future__ import annotations

import asyncio
import socket
from typing import Any

from bellrack.net import handoff, lines, log, shared_state, sibling
from bellrack.net.fact_versions import CordonOrder

WAIT_FOR_TURN = 8.0  # seconds that a third process waits for the first of two to end: 3.7 s, and its start
TURN_LOOK = 0.1  # seconds between looks for that


class HotRestart:
    def __init__(self, node: Any):
        self.node = node
        self.sibling: sibling.Sibling | None = None  # our other process, before or after us
        self.handoff_sender: handoff.HandoffSender | None = (
            None  # hands connections to it, once it listens in our place
        )
        self.handoff_receiver: handoff.HandoffReceiver | None = None  # takes them from it
        self.connecting: asyncio.Task | None = None
        self.reopening: asyncio.Task | None = None
        self.clock_ahead = 0.0  # seconds by which our clock is ahead of the predecessor's

    @property
    def has_successor(self) -> bool:
        """A process came after us and listens in our place."""
        return self.handoff_sender is not None

    async def find_predecessor(self) -> sibling.Predecessor | None:
        """Where a process of this balancer serves, its listening socket and what it has learned are ours."""
        path = self.node.listeners.successor_path
        predecessor = await self.await_predecessor(path) if path else None
        if predecessor:
            await self.take_over(predecessor)
        return predecessor

    async def await_predecessor(self, path: str) -> sibling.Predecessor | None:
        """Wait while the process that serves has a sibling already: guards against a third process that would
        start with nothing handed over, not even which servers are detached."""
        end = self.node.clock() + WAIT_FOR_TURN
        while not self.node.shutdown:
            try:
                return await asyncio.to_thread(sibling.connect_to_predecessor, path)
            except (sibling.BusyError, OSError) as error:
                if self.node.clock() >= end:
                    log.event("handover", taken="nothing", error=repr(error))
                    break
            await asyncio.sleep(TURN_LOOK)
        return None

    async def take_over(self, predecessor: sibling.Predecessor) -> None:
        """Start beside the process that serves; we listen in its place once we know the servers."""
        node, told = self.node, predecessor.told
        shared_state.adopt(node, told)
        node.readiness.serve_known_list = False  # there is no haste: the other serves
        self.connect(predecessor.sock, early=predecessor.rest)
        for message in shared_state.replies(node, told):
            self.publish(**message)
        self.handoff_receiver = predecessor.handoff_socket and handoff.HandoffReceiver(
            node, predecessor.handoff_socket
        )
        await self.connecting

    def connect(
        self,
        sock: socket.socket,
        handoff_sender: handoff.HandoffSender | None = None,
        early: bytes = b"",
        unsent: bytes = b"",
    ) -> None:
        """The Unix socket to the sibling is up; `early`: bytes of it that are already read; `unsent`: bytes
        that are to go out first."""
        self.sibling = sibling.Sibling(self.node, handoff_sender, early, unsent)
        self.connecting = self.node.loop.create_task(
            self.node.loop.create_unix_connection(lambda: self.sibling, sock=sock)
        )

    def snapshot(self) -> dict[str, Any]:
        """What the process that comes after us is given with the listening socket."""
        return shared_state.snapshot(self.node)

    def publish(self, **words: Any) -> None:
        """Tell the sibling, if there is one."""
        if self.sibling:
            self.sibling.send(**words)

    def publish_order(self, order: CordonOrder) -> None:
        self.publish(**shared_state.order_message(order))

    def publish_news(self, news: lines.Listing, of_present: bool) -> None:
        """Two processes are one balancer: what discovery tells the one counts as told to both. `of_present`:
        in the versions of discovery's present address, not of the one before."""
        if self.sibling:
            discovery = self.node.discovery
            address = discovery.address if of_present else discovery.previous.address
            self.publish(news=lines.update_message(news), discovery=lines.format_address(address))

    def on_message(self, said: dict[str, Any]) -> None:
        """Of the sibling."""
        node = self.node
        if "held" in said:
            # What is on its way counts too: guards against hundreds that neither holds for an instant.
            on_the_way = (
                int(said.get("passed", 0)) - self.handoff_receiver.descriptors_passed
                if self.handoff_receiver
                else 0
            )
            node.limits.sibling_descriptors = int(said["held"]) + max(0, on_the_way)
            node.limits.make_room(node.now)
        if "news" in said and said.get("discovery") == lines.format_address(node.discovery.address):
            node.server_list.on_sibling_news(lines.parse_list(said["news"]))
        if "out" in said or "back" in said:
            given = float(said.get("given", node.clock() - node.anchor))
            order = CordonOrder(str(said.get("out") or said["back"]), "out" in said, given)
            node.server_list.on_order(order)
        if "took" in said and self.sibling and self.sibling.handoff_sender:
            self.handoff_sender = self.sibling.handoff_sender
            node.listeners.stop_accepting()
            node.balancer.slow_start.suspend(True)  # two processes are one balancer: it has the budget now
            log.event("followed")

    def on_sibling_lost(self, lost: sibling.Sibling) -> None:
        """The other process is gone."""
        if lost is not self.sibling:
            return
        lost.close()
        node, followed, self.sibling, self.handoff_sender = self.node, self.has_successor, None, None
        node.limits.sibling_descriptors = 0
        if node.finished.is_set():
            return
        if followed:
            # Also while we end ourselves: who waits in the listener has nobody else.
            node.balancer.slow_start.suspend(False)
            self.reopening = node.loop.create_task(node.listeners.reopen())
            if node.shutdown:
                node.shutdown.on_successor_lost()
        elif node.listeners.listener is None:
            # Who came in after it ended waits in the listener for us: as haste as at a start without it.
            node.readiness.serve_known_list = node.settings.asks
            node.readiness_changed.set()

    def close(self) -> None:
        for way in (self.sibling, self.handoff_receiver):
            if way:
                way.close()
