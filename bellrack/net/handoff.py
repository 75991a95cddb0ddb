"""Hot restart: hands the connections of this process over to its successor, as they are.

Defines the message that describes a connection, its sender and its receiver. Neither client nor server
notices: no byte is lost, sent twice or reordered, and no connection is moved. A call that waits for its
answer stays with the process that accepted it, unless its connection is a resumed one.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import socket
from typing import Any

from bellrack import model
from bellrack.model import Leg, Result
from bellrack.net import lines, log
from bellrack.net.clients import ClientConnection
from bellrack.net.ring import Connection
from bellrack.net.servers import Endpoint, ServerConnection

MAX_MESSAGE_BYTES = 65536  # a request line and two full rings, in base64, are half of that
CONNECTIONS_PER_TURN = 16  # handed over in one turn, so that the other connections do not have to pause


def socket_pair() -> tuple[socket.socket, socket.socket]:
    """Returns the two sockets of a hand-off. They carry whole messages, each with its descriptors."""
    return socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)


def take_unread(connection: Connection) -> bytes:
    """Removes and returns what was received and not consumed yet."""
    return connection.ring.take(connection.ring.length)


def put_back(connection: Connection, data: bytes) -> None:
    """Puts received bytes into the empty ring of a connection."""
    connection.ring.writable_space()[: len(data)] = data
    connection.ring.commit(len(data))


def encode(data: bytes) -> str:
    """Encodes bytes for the message."""
    return base64.b64encode(data).decode()


def decode(text: str) -> bytes:
    """Reverses `encode`. Raises ValueError."""
    return base64.b64decode(text, validate=True)


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


class HandoffSender(HandoffEnd):
    """The end of the process that shuts down."""

    def send_batch(self) -> bool:
        """Sends some of the connections that are established or have sent nothing yet.

        Returns True if more may be left."""
        left = CONNECTIONS_PER_TURN
        for client in list(self.node.clients):
            # A resumed connection that sent more before it was established is malformed: it is answered here.
            resumable = client in self.node.resumed.pending and not client.ring.length
            if client.call is None or client.paired or resumable:
                if not left:
                    return True
                left -= self.send_connection(client)
        return False

    def send_connection(self, client: ClientConnection) -> bool:
        """Sends a client's connection, with that to its server if established.

        Returns False if that is not possible now."""
        connections = [client, client.server_connection] if client.paired else [client]
        for connection in connections:
            ending = connection.transport is None or connection.transport.is_closing() or connection.closed
            if ending or connection.remote_end or connection.transport.get_write_buffer_size():
                return False  # it ends here, or can be sent once its write buffer is empty
        for connection in connections:
            connection.transport.pause_reading()
        unread = {connection: take_unread(connection) for connection in connections}
        message = {"in": encode(unread[client]), "opened": client.opened}
        if client.paired:
            message |= self.describe_established(client.server_connection) | {
                "back": encode(unread[client.server_connection])
            }
        elif client.call:  # resumed and not established yet: sent as if its line were unread
            message["in"] = encode(client.request_line.line)
        fds = [connection.transport.get_extra_info("socket").fileno() for connection in connections]
        try:
            socket.send_fds(self.sock, [json.dumps(message).encode()], fds)
        except OSError:
            for connection, data in unread.items():  # the successor received nothing: undo
                put_back(connection, data)
                if not connection.paused:
                    connection.transport.resume_reading()
            return False
        self.descriptors_passed += len(fds)
        self.release(client, connections)
        return True

    def describe_established(self, connection: ServerConnection) -> dict[str, Any]:
        """The part of the message on an established server connection. Times are on this process's clock."""
        return {
            "line": connection.client.request_line.line.decode(),
            "server": connection.endpoint.name,
            "place": lines.format_address(connection.endpoint.address),
            "sent": connection.leg.sent,
            "asked": list(connection.unanswered),
            "said": connection.announced_end,
        }

    def release(self, client: ClientConnection, connections: list[Connection]) -> None:
        """Gives up connections that were sent. The peers do not notice that our descriptors are closed."""
        self.node.counters["handed_over"] += 1
        for connection in connections:
            connection.closed = True
            connection.expire_after(None)
            self.node.log_end(connection, "handed-over", {})
            connection.transport.abort()
        if client.paired:
            leg = client.server_connection.leg
            client.server_connection.endpoint.connections.pop(client.server_connection, None)
            client.server_connection = None
            self.node.leg_ended(leg, Result(model.CANCELLED, self.node.now - leg.sent), True)
        elif client.call:
            client.call.done = True
            self.node.resumed.discard(client)
            if client.server_connection:
                client.server_connection.end(model.CANCELLED, "handed-over")


class HandoffReceiver(HandoffEnd):
    """The end of the successor."""

    def __init__(self, node: Any, sock: socket.socket):
        super().__init__(node, sock)
        self.tasks: set[asyncio.Task] = set()
        node.loop.add_reader(sock.fileno(), self.on_readable)

    def on_readable(self) -> None:
        """Receives some messages and queues them."""
        with contextlib.suppress(BlockingIOError):
            for _ in range(CONNECTIONS_PER_TURN):
                data, fds, _, _ = socket.recv_fds(self.sock, MAX_MESSAGE_BYTES, 2)
                if not data:
                    self.close()
                    return
                self.descriptors_passed += len(fds)
                self.node.limits.count_descriptors(len(fds))  # until the connections count themselves
                self.node.queue(self.receive, data, fds)

    def receive(self, data: bytes, fds: list[int]) -> None:
        """Takes over the connections of one message, or closes their descriptors if it is malformed."""
        try:
            message = json.loads(data)
            if len(fds) != 1 + ("line" in message):
                raise ValueError(f"{len(fds)} descriptors")
            client = ClientConnection(self.node)
            client.handed_over_to_us = True
            if "opened" in message:
                client.opened = float(message["opened"]) + self.node.hot_restart.clock_ahead
            put_back(client, decode(message["in"]))
            connections = (
                [client, self.restore_established(client, message)] if "line" in message else [client]
            )
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            # A predecessor of another version may send messages of another form.
            log.event("handover", taken="not one connection", error=repr(error))
            for fd in fds:
                os.close(fd)
            self.node.limits.count_descriptors(-len(fds))
            return
        task = self.node.loop.create_task(self.connect(connections, [socket.socket(fileno=fd) for fd in fds]))
        self.tasks.add(task)
        self.node.counters["handoffs_received"] += 1
        log.event(
            "handoff",
            state="received",
            id=client.request_id,
            connections=",".join(str(connection.number) for connection in connections),
        )
        task.add_done_callback(self.tasks.discard)

    def restore_established(self, client: ClientConnection, message: dict[str, Any]) -> ServerConnection:
        """Restores the call and its one leg as in the predecessor, and returns its server connection.

        Raises ValueError, KeyError, TypeError or AttributeError if the message is malformed."""
        node, request_line = self.node, lines.parse_request_line(message["line"].encode())
        name, address = str(message["server"]), lines.parse_address(message["place"])
        server = node.server(lines.id_hash(name))
        server.host_record = server.host_record or Endpoint(name, address)
        call = node.new_call(
            node.names.types.get(request_line.values.get("c", ""), 0),
            0.0,
            key=request_line.key,
            group=request_line.number("g", 16) or 0,
        )
        clock_offset = node.hot_restart.clock_ahead
        leg = Leg(call, server, float(message["sent"]) + clock_offset)
        call.legs.append(leg)
        call.host_record, client.call, client.request_line = client, call, request_line
        connection = ServerConnection(node, leg, client, node.now, established=True)
        connection.handed_over_to_us = True
        connection.unanswered.extend(float(when) + clock_offset for when in message["asked"])
        client.answered = True
        connection.announced_end = str(message["said"])
        put_back(connection, decode(message["back"]))
        # Neither forwards a line until both are connected; such a line would be lost.
        client.blocked = connection.blocked = True
        connection.paired, client.paired = client, connection
        # Recorded before anything can end it; otherwise the leg would be removed before it was added.
        node.limits.open_ids[request_line.id] = client
        connection.endpoint.connections[connection] = None
        node.resume_leg(leg)
        return connection

    async def connect(self, connections: list[Connection], socks: list[socket.socket]) -> None:
        """Attaches received sockets to their connections."""
        try:
            for connection, sock in zip(connections, socks):
                sock.setblocking(False)
                await self.node.loop.connect_accepted_socket(lambda connection=connection: connection, sock)
        finally:
            self.node.limits.count_descriptors(-len(socks))  # each connection counts itself by now
            self.node.queue(self.start_forwarding, connections)

    def start_forwarding(self, connections: list[Connection]) -> None:
        """Lets lines pass, or moves the client if one of its two connections has been lost."""
        client = connections[0]
        self.node.counters["taken_over"] += 1
        log.event(
            "handoff",
            state="taken-over",
            id=client.request_id,
            connections=",".join(str(connection.number) for connection in connections),
            attached=sum(connection.transport is not None for connection in connections),
            closed=sum(connection.closed for connection in connections),
        )
        if client.paired and any(connection.transport is None for connection in connections):
            client.move("not-taken-over", model.RESET)
        for connection in connections:
            connection.blocked = False
            connection.wake()
        if self.node.shutdown:  # the shutdown may have moved the established connections already
            client.move("leaving")
