"""The doors: the sockets that listen, for clients, for operators and for the process that comes after us.

Owns when each is open. It never looks at who comes through one, and never closes the clients' door while
connections wait in it that no other process takes.
"""
from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import Any

from bellrack.net import handover, limits, log
from bellrack.net.clients import Client
from bellrack.net.control import Caller


class Doors:
    def __init__(self, node: Any):
        self.node = node
        self.socket: socket.socket | None = None  # the clients' door; held also while the other accepts
        self.listener: asyncio.Server | None = None
        self.desk: asyncio.Server | None = None
        self.meeting: handover.Meeting | None = None
        self.coming: set[asyncio.Task] = set()  # the last that came, until they are clients
        # Only where operators call may another process of ours be started beside us.
        self.shared = node.config.control is not None
        self.path = handover.place(node.config.name, node.config.listen) if self.shared else None

    async def open_desk(self) -> None:
        if place := self.node.config.control:
            self.desk = await self.node.loop.create_server(lambda: Caller(self.node), *place)
            self.node.limits.counted(1)

    async def open(self, taken: socket.socket | None) -> None:
        """Accept from now on, at the door of the process before us if it gave it."""
        self.socket = taken or socket.create_server(self.node.config.listen, reuse_port=self.shared)
        await self.accept()
        self.meet()

    def meet(self) -> None:
        """Be found by the process that comes after us. A folder where that fails costs a log line."""
        if self.path and not self.meeting:
            try:
                self.meeting = handover.Meeting(self.node, self.path)
            except OSError as error:
                log.tell("handover", offered="nothing", error=error)

    async def accept(self) -> None:
        # A copy, since asyncio closes what it listens at and the door itself must last.
        self.node.limits.counted(1)
        self.listener = await self.node.loop.create_server(
            lambda: Client(self.node), sock=self.socket.dup(), backlog=limits.ACCEPTS)
        self.socket.listen(limits.BACKLOG)  # after asyncio, which takes one figure for both

    def shut(self, for_good: bool = False) -> None:
        """The other process accepts now. Who has come in stays with us; who waits in the door goes to it. Or
        nobody does: then we are not found any more."""
        if self.listener:
            self.listener.close()
            self.listener = None
            self.node.limits.counted(-1)
        if self.meeting:
            if for_good:
                self.meeting.leave()
            self.meeting.close()
            self.meeting = None

    def last(self) -> int:
        """Close the clients' door for good, and take in whoever the machine has accepted there: how many are
        still on their way in. Guards against the instant between our last look at the door and its end."""
        waiting = []
        if self.listener:
            self.socket.setblocking(False)
            with contextlib.suppress(OSError):  # nobody waits any more, or none can be taken in
                while True:
                    waiting.append(self.socket.accept()[0])
            self.shut(for_good=True)
            self.socket.close()
        for sock in waiting:
            sock.setblocking(False)
            task = self.node.loop.create_task(
                self.node.loop.connect_accepted_socket(lambda: Client(self.node), sock))
            self.coming.add(task)
            task.add_done_callback(self.coming.discard)
        return len(self.coming)

    async def reopen(self) -> None:
        """The other process is gone before its time: guards against a door that nobody answers."""
        if self.socket and not self.listener:
            await self.accept()
            self.meet()

    def close(self) -> None:
        self.shut(for_good=True)
        if self.desk:
            self.desk.close()
        if self.socket:
            self.socket.close()
