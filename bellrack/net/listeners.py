"""The doors: the sockets that listen, for clients, for operators and for the process that comes after us.

Owns when each is open, and who is accepted: counted from the moment that the kernel gives the descriptor, and
left in the kernel's queue when there is none to spare. It never looks at who comes through one, and never
closes the clients' door while connections wait in it that no other process takes.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Any

from bellrack.net import limits, log, sibling, transient
from bellrack.net.clients import ClientConnection
from bellrack.net.control import AdminConnection


class Listener:
    """Accepts at a socket while it may. asyncio's own accepts until the kernel fails, and counts too late."""

    def __init__(
        self,
        node: Any,
        sock: socket.socket,
        may_accept: Callable[[], bool],
        new_connection: Callable[[], Any],
    ):
        self.node, self.may_accept, self.new_connection = node, may_accept, new_connection
        self.sockets = [sock]
        self.tasks: set[asyncio.Task] = set()  # the last that came, until they are connections
        self.reading = False
        sock.setblocking(False)
        self.read()

    def read(self) -> None:
        if not self.reading and self.sockets:
            self.reading = True
            self.node.loop.add_reader(self.sockets[0].fileno(), self.accept)

    def accept(self) -> None:
        """Those that wait, as many as may come in at one go."""
        for _ in range(limits.ACCEPTS_PER_TURN):
            if not self.may_accept():
                self.pause()
                return
            try:
                self.accept_one()
            except (BlockingIOError, ConnectionAbortedError, InterruptedError):
                return
            except OSError as error:
                log.event("accept", error=error)
                self.pause()
                return

    def accept_one(self) -> None:
        sock, _ = self.sockets[0].accept()
        sock.setblocking(False)
        self.node.limits.count_descriptors(1)
        task = self.node.loop.create_task(self.connect(sock))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def connect(self, sock: socket.socket) -> None:
        try:
            await self.node.loop.connect_accepted_socket(self.new_connection, sock)
        except OSError:
            sock.close()  # it has gone again
        finally:
            self.node.limits.count_descriptors(-1)  # its connection counts itself

    def pause(self) -> None:
        """Who waits stays with the kernel until there is room."""
        self.stop()
        self.node.after(limits.ACCEPT_RETRY_SECONDS, self.resume)

    def resume(self) -> None:
        self.node.limits.make_room(self.node.now)
        self.read()

    def stop(self) -> None:
        if self.reading:
            self.reading = False
            self.node.loop.remove_reader(self.sockets[0].fileno())

    def close(self) -> None:
        """Accept no more. The socket itself stays open: it is another's to close."""
        self.stop()
        self.sockets = []


class Listeners:
    def __init__(self, node: Any):
        self.node = node
        self.socket: socket.socket | None = None  # the clients' door; held also while the other accepts
        self.listener: Listener | None = None
        self.admin: Listener | None = None
        self.successor_socket: sibling.SuccessorSocket | None = None
        self.successor_socket_failed = False
        self.failed_looks = 0  # at who still waits in the clients' door when it closes for good
        self.last_in: set[asyncio.Task] = set()  # who waited in the clients' door when it closed for good
        # Only where operators call may another process of ours be started beside us.
        self.hot_restart_enabled = node.config.control is not None
        self.successor_path = (
            sibling.socket_path(node.config.name, node.config.listen) if self.hot_restart_enabled else None
        )

    async def open_admin(self) -> None:
        if place := self.node.config.control:
            self.node.limits.count_descriptors(1)
            sock = socket.create_server(place, backlog=limits.MAX_ADMIN_CONNECTIONS)
            self.admin = Listener(
                self.node, sock, lambda: not self.node.limits.exhausted(), lambda: AdminConnection(self.node)
            )

    async def open(self, taken: socket.socket | None) -> None:
        """Accept from now on, at the door of the process before us if it gave it."""
        self.socket = taken or socket.create_server(
            self.node.config.listen, reuse_port=self.hot_restart_enabled
        )
        self.node.limits.count_descriptors(1)
        self.accept()
        self.offer_hot_restart()

    def offer_hot_restart(self) -> None:
        """Be found by the process that comes after us. A folder where that fails costs a log line, and is
        tried again where it may take files later."""
        if not self.successor_path or self.successor_socket or not self.listener:
            return
        try:
            self.successor_socket = sibling.SuccessorSocket(self.node, self.successor_path)
        except OSError as error:
            if not self.successor_socket_failed:
                log.event("handover", offered="nothing", error=error)
            self.successor_socket_failed = True
            if transient.is_transient(error):
                self.node.after(transient.FOLDER_RETRY_INTERVAL_SECONDS, self.offer_hot_restart)

    def accept(self) -> None:
        self.socket.listen(limits.LISTEN_BACKLOG)
        self.listener = Listener(
            self.node,
            self.socket,
            lambda: not self.node.limits.reserve_reached(2),
            lambda: ClientConnection(self.node),
        )

    def stop_accepting(self, for_good: bool = False) -> None:
        """The other process accepts now. Who has come in stays with us; who waits in the door goes to it. Or
        nobody does: then we are not found any more."""
        if self.listener:
            self.listener.close()
            self.listener = None
        if self.successor_socket:
            if for_good:
                self.successor_socket.leave()
            self.successor_socket.close()
            self.successor_socket = None

    def accept_last(self) -> int:
        """Close the clients' door for good, and take in whoever the machine has accepted there: how many are
        still on their way in. Guards against the instant between our last look at the door and its end."""
        if self.listener:
            if not self.accept_waiting():
                return 1 + len(self.listener.tasks)
            self.last_in = self.listener.tasks
            self.stop_accepting(for_good=True)
            self.socket.close()
        return len(self.last_in)

    def accept_waiting(self) -> bool:
        """Accept whoever waits. Is nobody left, as far as can be known?"""
        try:
            while not self.node.limits.reserve_reached(2):
                self.listener.accept_one()
            return False  # more wait than there are descriptors for
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            # One that has gone again, or nothing to be had for a moment: others may wait behind it.
            self.failed_looks += 1
            return self.failed_looks >= limits.FINAL_ACCEPT_RETRIES

    async def reopen(self) -> None:
        """The other process is gone before its time: guards against a door that nobody answers."""
        if self.socket and not self.listener:
            self.accept()
            self.offer_hot_restart()

    def close(self) -> None:
        self.stop_accepting(for_good=True)
        if self.admin:
            (sock,) = self.admin.sockets
            self.admin.close()
            sock.close()
        if self.socket:
            self.socket.close()
