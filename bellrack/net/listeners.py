"""The listening sockets: for clients, for operators (admin address), and the Unix socket for hot restarts.

Decides when each is open and when connections are accepted. A descriptor counts as used from the moment the
kernel returns it; while none is free, connections wait in the kernel's accept queue. The clients' socket is
not closed while connections wait in its queue that no other process would accept. What the connections carry
is handled elsewhere.
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
    """Accepts connections on a listening socket while `may_accept` returns true.

    asyncio's own server accepts until the kernel fails, and would count the descriptors too late.
    `new_connection` makes the protocol of an accepted connection."""

    def __init__(
        self,
        node: Any,
        sock: socket.socket,
        may_accept: Callable[[], bool],
        new_connection: Callable[[], Any],
        accepts_per_turn: int = limits.ACCEPTS_PER_TURN,
    ):
        self.node, self.may_accept, self.new_connection = node, may_accept, new_connection
        self.accepts_per_turn = accepts_per_turn
        self.sockets = [sock]
        self.tasks: set[asyncio.Task] = set()  # accepted sockets that have no transport yet
        self.reading = False
        sock.setblocking(False)
        self.read()

    def read(self) -> None:
        """Watch the socket for new connections."""
        if not self.reading and self.sockets:
            self.reading = True
            self.node.loop.add_reader(self.sockets[0].fileno(), self.accept)

    def accept(self) -> None:
        """Accept waiting connections, in at most `accepts_per_turn` attempts in one turn of the event loop.

        An accept may fail for a moment, and the next one succeed. Only if none did is there a pause: a rush
        of clients that waits for each failed accept gets its answers late."""
        accepted, failure = 0, None
        for _ in range(self.accepts_per_turn):
            if not self.may_accept():
                self.pause()
                return
            try:
                self.accept_one()
                accepted += 1
            except (BlockingIOError, ConnectionAbortedError, InterruptedError):
                break
            except OSError as error:
                failure = error
        if failure:
            log.event("accept", error=failure)
        if failure and not accepted:
            self.pause()

    def accept_one(self) -> None:
        """Accept one connection. Raises OSError, BlockingIOError if none waits."""
        sock, _ = self.sockets[0].accept()
        sock.setblocking(False)
        self.node.limits.count_descriptors(1)
        task = self.node.loop.create_task(self.connect(sock))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def connect(self, sock: socket.socket) -> None:
        """Attach an accepted socket to a new connection object."""
        try:
            await self.node.loop.connect_accepted_socket(self.new_connection, sock)
        except OSError:
            sock.close()  # the client has disconnected already
        finally:
            self.node.limits.count_descriptors(-1)  # from here the connection object counts its descriptor

    def pause(self) -> None:
        """Stop accepting for ACCEPT_RETRY_SECONDS; new connections wait in the kernel's queue."""
        self.stop()
        self.node.after(limits.ACCEPT_RETRY_SECONDS, self.resume)

    def resume(self) -> None:
        self.node.limits.make_room(self.node.now)
        self.read()

    def stop(self) -> None:
        """Stop watching the socket."""
        if self.reading:
            self.reading = False
            self.node.loop.remove_reader(self.sockets[0].fileno())

    def close(self) -> None:
        """Stop accepting for good. The socket stays open: its owner closes it."""
        self.stop()
        self.sockets = []


class Listeners:
    """The listening sockets of one process."""

    def __init__(self, node: Any):
        self.node = node
        self.socket: socket.socket | None = None  # for clients; kept open also while the sibling accepts
        self.listener: Listener | None = None  # for clients; None while this process does not accept
        self.admin: Listener | None = None
        self.successor_socket: sibling.SuccessorSocket | None = None
        self.successor_socket_failed = False
        self.failed_final_accepts = 0  # failed final accepts on the clients' socket
        self.final_tasks: set[asyncio.Task] = set()  # connections of the final accepts, not yet set up
        # A second process may be started beside this one only where there is an admin address.
        self.hot_restart_enabled = node.config.control is not None
        self.successor_path = (
            sibling.socket_path(node.config.name, node.config.listen) if self.hot_restart_enabled else None
        )

    async def open_admin(self) -> None:
        """Listen on the admin address, if one is configured. Raises OSError."""
        if address := self.node.config.control:
            self.node.limits.count_descriptors(1)
            sock = socket.create_server(address, backlog=limits.MAX_ADMIN_CONNECTIONS)
            self.admin = Listener(
                self.node,
                sock,
                lambda: not self.node.limits.exhausted(),
                lambda: AdminConnection(self.node),
                limits.ADMIN_ACCEPTS_PER_TURN,
            )

    async def open(self, inherited: socket.socket | None) -> None:
        """Listen for clients from now on. Raises OSError.

        `inherited`: the predecessor's listening socket, or None to open one."""
        self.socket = inherited or socket.create_server(
            self.node.config.listen, reuse_port=self.hot_restart_enabled
        )
        self.node.limits.count_descriptors(1)
        self.accept()
        self.offer_hot_restart()

    def offer_hot_restart(self) -> None:
        """Open the Unix socket on which a successor process can connect.

        A failure is logged once; one that may be transient is retried later."""
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
        """Start to accept clients."""
        self.socket.listen(limits.LISTEN_BACKLOG)
        self.listener = Listener(
            self.node,
            self.socket,
            lambda: not self.node.limits.reserve_reached(2),
            lambda: ClientConnection(self.node),
        )

    def stop_accepting(self, for_good: bool = False) -> None:
        """Stop accepting clients and successors.

        Accepted connections stay with this process. Connections in the kernel's queue go to the process that
        accepts on the same socket now. `for_good`: no process takes over, so the path of the Unix socket is
        removed too."""
        if self.listener:
            self.listener.close()
            self.listener = None
        if self.successor_socket:
            if for_good:
                self.successor_socket.remove_file()
            self.successor_socket.close()
            self.successor_socket = None

    def accept_last(self) -> int:
        """Accept all connections that wait in the kernel's queue, then close the clients' socket for good.

        Otherwise a connection that arrives between the last accept and the close would be reset. Returns how
        many accepted connections are not yet set up; over 0 if the queue could not be emptied yet."""
        if self.listener:
            if not self.accept_waiting():
                return 1 + len(self.listener.tasks)
            self.final_tasks = self.listener.tasks
            self.stop_accepting(for_good=True)
            self.socket.close()
        return len(self.final_tasks)

    def accept_waiting(self) -> bool:
        """Accept all waiting connections; return whether the queue is empty, as far as can be known."""
        try:
            while not self.node.limits.reserve_reached(2):
                self.listener.accept_one()
            return False  # more connections wait than descriptors are free
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            # The connection was aborted, or a resource is short for a moment: others may wait behind it.
            self.failed_final_accepts += 1
            return self.failed_final_accepts >= limits.FINAL_ACCEPT_RETRIES

    async def reopen(self) -> None:
        """Accept clients again after the successor ended early; otherwise no process would answer them."""
        if self.socket and not self.listener:
            self.accept()
            self.offer_hot_restart()

    def close(self) -> None:
        """Close all listening sockets."""
        self.stop_accepting(for_good=True)
        if self.admin:
            (sock,) = self.admin.sockets
            self.admin.close()
            sock.close()
        if self.socket:
            self.socket.close()
