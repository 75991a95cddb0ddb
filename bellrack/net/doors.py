"""The doors: the sockets that listen, for clients, for operators and for the process that comes after us.

Owns when each is open. It never looks at who comes through one, and never closes the clients' door while
connections wait in it that no other process takes.
"""
from __future__ import annotations

import asyncio
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

    def shut(self) -> None:
        """The other process accepts now. Who has come in stays with us; who waits in the door goes to it."""
        if self.listener:
            self.listener.close()
            self.listener = None
            self.node.limits.counted(-1)
        if self.meeting:
            self.meeting.close()
            self.meeting = None

    async def reopen(self) -> None:
        """The other process is gone before its time: guards against a door that nobody answers."""
        if self.socket and not self.listener:
            await self.accept()
            self.meet()

    def close(self) -> None:
        if self.meeting:
            self.meeting.leave()
        self.shut()
        if self.desk:
            self.desk.close()
        self.socket.close()
