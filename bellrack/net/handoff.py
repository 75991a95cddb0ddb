"""Hot restart: hands the connections of this process over to its successor, as they are.

The sender; the receiver is in `handoff_receiver.py`, their message in `handoff_message.py`. Neither client
nor server notices: no byte is lost, sent twice or reordered, and no connection is moved. A call that waits
for its answer stays with the process that accepted it, unless its connection is a resumed one.
"""

from __future__ import annotations

import errno
import socket
from enum import Enum
from typing import Any

from bellrack import model
from bellrack.model import Result
from bellrack.net.clients import ClientConnection
from bellrack.net.connection import Connection
from bellrack.net.connection_state import Event
from bellrack.net.handoff_message import (
    AnnouncedEnd,
    EstablishedPart,
    HandoffMessage,
)
from bellrack.net.servers import ServerConnection

CONNECTIONS_PER_TURN = 16  # handed over in one turn, so that the other connections do not have to pause


def socket_pair() -> tuple[socket.socket, socket.socket]:
    """Returns the two sockets of a hand-off. They carry whole messages, each with its descriptors."""
    return socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)


def take_unread(connection: Connection) -> bytes:
    """Removes and returns what was received and not consumed yet."""
    return connection.received.take(connection.received.length)


def put_back(connection: Connection, data: bytes) -> None:
    """Puts received bytes into the empty receive buffer of a connection."""
    connection.received.writable_space()[: len(data)] = data
    connection.received.commit(len(data))


class HandoffEnd:
    """One end of a hand-off: its socket, which counts as a descriptor."""

    def __init__(self, node: Any, sock: socket.socket):
        self.node, self.sock = node, sock
        self.descriptors_passed = 0  # sent or received so far
        sock.setblocking(False)
        node.limits.count_descriptors(1)

    def close(self) -> None:
        """Closes the socket, unless it is closed."""
        if self.sock.fileno() >= 0:
            self.node.loop.remove_reader(self.sock.fileno())
            self.sock.close()
            self.node.limits.count_descriptors(-1)


# Of a send: no room for the message, or too many descriptors on their way.
SOCKET_FULL_ERRNOS = (errno.EAGAIN, errno.ENOBUFS, errno.ETOOMANYREFS)


class BatchResult(Enum):
    """How far a batch of connections came."""

    MORE_LEFT = "more left"
    SOCKET_FULL = "socket full"  # the successor has to read first
    REFUSED = "refused"  # the successor takes no more, or has ended
    ALL_TRIED = "all tried"


class HandoffSender(HandoffEnd):
    """The end of the process that shuts down."""

    failure: BatchResult | None = None  # why no further connection can be sent now

    def send_batch(self) -> BatchResult:
        """Sends some of the connections that are established or have sent nothing yet."""
        left, self.failure = CONNECTIONS_PER_TURN, None
        for client in list(self.node.clients):
            # A resumed connection that sent more before it was established is malformed: it is answered here.
            resumable = client in self.node.resumed.pending and not client.received.length
            if client.call is None or client.paired or resumable:
                if not left:
                    return BatchResult.MORE_LEFT
                left -= self.send_connection(client)
                if self.failure:
                    return self.failure
        return BatchResult.ALL_TRIED

    def send_connection(self, client: ClientConnection) -> bool:
        """Sends a client's connection, with that to its server if established.

        Returns False if that is not possible now."""
        connections = [client, client.server_connection] if client.paired else [client]
        for connection in connections:
            ending = connection.closed or connection.transport is None or connection.transport.is_closing()
            if ending or connection.remote_end or connection.transport.get_write_buffer_size():
                return False  # it ends here, or can be sent once its write buffer is empty
        for connection in connections:
            connection.transport.pause_reading()
        unread = {connection: take_unread(connection) for connection in connections}
        if client.paired:
            server_side = client.server_connection
            established = self.describe_established(server_side, unread[server_side])
            message = HandoffMessage(unread[client], client.opened, established)
        elif client.call:  # resumed, and sent as if its line were unread
            resumption = self.node.resumed.describe(client)
            message = HandoffMessage(client.request_line.line, client.opened, resumption=resumption)
        else:
            message = HandoffMessage(unread[client], client.opened)
        fds = [connection.transport.get_extra_info("socket").fileno() for connection in connections]
        try:
            socket.send_fds(self.sock, [message.encode()], fds)
        except OSError as error:
            if error.errno != errno.EMSGSIZE:  # that one concerns this connection alone
                full = error.errno in SOCKET_FULL_ERRNOS
                self.failure = BatchResult.SOCKET_FULL if full else BatchResult.REFUSED
            for connection, data in unread.items():  # the successor received nothing: undo
                put_back(connection, data)
                if not connection.paused:
                    connection.transport.resume_reading()
            return False
        self.descriptors_passed += len(fds)
        self.release(client, connections)
        return True

    def describe_established(self, connection: ServerConnection, unread: bytes) -> EstablishedPart:
        """The part of the message on an established server connection. Times are on this process's clock."""
        end = AnnouncedEnd(connection.announced_end, connection.ends_by)
        return EstablishedPart(
            connection.client.request_line,
            connection.endpoint.name,
            connection.endpoint.address,
            connection.leg.sent,
            tuple(connection.unanswered),
            end if connection.announced_end else None,
            unread,
        )

    def release(self, client: ClientConnection, connections: list[Connection]) -> None:
        """Gives up connections that were sent. The peers do not notice that our descriptors are closed."""
        self.node.counters["handed_over"] += 1
        for connection in connections:
            connection.on_event(Event.RELEASE)
            connection.expire_after(None)
            self.node.log_end(connection, "handed-over", {})
            connection.transport.abort()
        client.cancel_answer_timer()
        if client.paired:
            client.server_connection.cancel_timers()
            leg = client.server_connection.leg
            client.server_connection.endpoint.connections.pop(client.server_connection, None)
            client.server_connection = None
            self.node.leg_ended(leg, Result(model.CANCELLED, self.node.now - leg.sent), True)
        elif client.call:
            client.call.done = True
            self.node.resumed.discard(client)
            if client.server_connection:
                client.server_connection.end(model.CANCELLED, "handed-over")
