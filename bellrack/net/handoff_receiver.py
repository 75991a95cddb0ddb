"""Hot restart: takes over the connections that the predecessor hands to this process.

A received connection is known to the decisions, to operators' orders and to the shutdown from the message on.
What they order before its sockets are attached is carried out then (`connection_state.py`). A client whose
connection cannot be taken over is moved, or told to come again.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from typing import Any

from bellrack import model
from bellrack.model import Leg
from bellrack.net import lines, log
from bellrack.net.clients import ClientConnection
from bellrack.net.connection import Connection
from bellrack.net.handoff import HandoffEnd, put_back
from bellrack.net.handoff_message import (
    MAX_MESSAGE_BYTES,
    EstablishedPart,
    HandoffMessage,
    MessageError,
    ResumptionPart,
)
from bellrack.net.servers import ANNOUNCED_END_SECONDS, MAX_UNPIPELINED_LINES, Endpoint, ServerConnection

MESSAGES_PER_READ = 16  # so that the other connections do not have to pause
NOT_TAKEN_OVER = "not-taken-over"  # logged as the reason


def as_sockets(fds: list[int]) -> list[socket.socket]:
    """Returns sockets for received descriptors; none, and closes all, if one is no socket."""
    socks = []
    try:
        for fd in fds:
            socks.append(socket.socket(fileno=fd))
    except OSError:
        for sock in socks:
            sock.close()
        for fd in fds[len(socks) :]:
            os.close(fd)
        return []
    return socks


class HandoffReceiver(HandoffEnd):
    """The end of the successor."""

    def __init__(self, node: Any, sock: socket.socket):
        super().__init__(node, sock)
        self.tasks: set[asyncio.Task] = set()
        self.unfinished = 0  # messages whose connections are not attached yet
        node.loop.add_reader(sock.fileno(), self.on_readable)

    def on_readable(self) -> None:
        """Receives some messages and queues them."""
        for _ in range(MESSAGES_PER_READ):
            try:
                data, fds, _, _ = socket.recv_fds(self.sock, MAX_MESSAGE_BYTES, 2)
            except BlockingIOError:
                return
            except OSError:
                data = b""  # no more will come
            if not data:
                self.close()
                return
            self.unfinished += 1
            self.descriptors_passed += len(fds)
            socks = as_sockets(fds)
            self.node.limits.count_descriptors(len(socks))  # until the connections count themselves
            self.node.queue(self.receive, data, socks)

    def receive_last(self) -> int:
        """Takes no more connections but those on their way; returns how many of them are unfinished.

        The predecessor keeps what it cannot send any more. Without this, connections on their way would be
        cut off with the end of this process."""
        if self.sock.fileno() >= 0:
            with contextlib.suppress(OSError):  # the predecessor has ended
                self.sock.shutdown(socket.SHUT_RD)
            self.on_readable()
        return self.unfinished

    def receive(self, data: bytes, socks: list[socket.socket]) -> None:
        """Takes over the connection of one message, or ends its client."""
        try:
            message = HandoffMessage.decode(data)
            if len(socks) != message.descriptors:
                raise MessageError(f"{len(socks)} descriptors")
            connections = self.restore(message)
        except MessageError as error:
            log.event("handover", taken="not one connection", error=error)
            connections = self.refuse(established=b'"line"' in data or len(socks) > 1) if socks else []
        self.start_attaching(connections, socks)

    def restore(self, message: HandoffMessage) -> list[Connection]:
        """Restores the client's connection, and that to its server if established, without their sockets."""
        client = self.new_client()
        if message.opened is not None:
            client.opened = message.opened + self.node.hot_restart.clock_ahead
        put_back(client, message.unread)
        if part := message.resumption:
            answer_by = part.answer_by + self.node.hot_restart.clock_ahead
            self.node.resumed.inherit(client, ResumptionPart(answer_by, part.may_have_run))
        if message.established is None:
            return [client]
        connections = [client, self.restore_established(client, message.established)]
        if self.node.shutdown and not self.node.hot_restart.has_successor:
            client.move("leaving")
        return connections

    def new_client(self) -> ClientConnection:
        """Creates the connection of a client, which counts as one of this process from now on."""
        client = ClientConnection(self.node)
        client.handed_over_to_us = True
        self.node.clients[client] = None
        return client

    def refuse(self, established: bool) -> list[Connection]:
        """Ends a client whose message could not be read: MOVE if it is established, else BUSY."""
        client = self.new_client()
        if established:
            client.write(b"MOVE\r\n")
            client.finish(NOT_TAKEN_OVER)
        else:
            client.reject_unread(NOT_TAKEN_OVER)
        return [client]

    def restore_established(self, client: ClientConnection, part: EstablishedPart) -> ServerConnection:
        """Restores the call and its one leg as in the predecessor, and returns its server connection."""
        node, request_line, clock_offset = self.node, part.request_line, self.node.hot_restart.clock_ahead
        server = node.server(lines.id_hash(part.server))
        server.host_record = server.host_record or Endpoint(part.server, part.address)
        call = node.new_call(
            node.names.types.get(request_line.values.get("c", ""), 0),
            0.0,
            key=request_line.key,
            group=request_line.number("g", 16) or 0,
        )
        leg = Leg(call, server, part.sent + clock_offset)
        call.legs.append(leg)
        call.host_record, client.call, client.request_line = client, call, request_line
        connection = ServerConnection(node, leg, client, node.now, established=True)
        connection.handed_over_to_us = True
        connection.unanswered.extend(when + clock_offset for when in part.unanswered)
        connection.pipelined = len(part.unanswered) > MAX_UNPIPELINED_LINES
        client.answered = True
        put_back(connection, part.unread)
        connection.paired, client.paired = client, connection
        node.limits.open_ids[request_line.id_hash] = client
        connection.endpoint.connections[connection] = None
        node.resume_leg(leg)
        if end := part.announced_end:
            in_full = node.now + ANNOUNCED_END_SECONDS
            ends_by = in_full if end.ends_by is None else min(in_full, end.ends_by + clock_offset)
            connection.announce_end(end.result, ends_by)
        return connection

    def start_attaching(self, connections: list[Connection], socks: list[socket.socket]) -> None:
        """Attaches the sockets to their connections; closes those without one."""
        surplus, socks = socks[len(connections) :], socks[: len(connections)]
        for sock in surplus:
            sock.close()
        self.node.limits.count_descriptors(-len(surplus))
        self.node.counters["handoffs_received"] += 1
        log.event(
            "handoff",
            state="received",
            id=connections[0].request_id if connections else "",
            connections=",".join(str(connection.number) for connection in connections),
        )
        task = self.node.loop.create_task(self.attach(connections, socks))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def attach(self, connections: list[Connection], socks: list[socket.socket]) -> None:
        """Attaches received sockets to their connections."""
        try:
            for connection, sock in zip(connections, socks):
                try:
                    sock.setblocking(False)
                    await self.node.loop.connect_accepted_socket(
                        lambda connection=connection: connection, sock
                    )
                except (OSError, ValueError) as error:  # not a connected TCP socket, or no longer
                    log.event("handover", taken="not one socket", error=repr(error))
                    sock.close()
        finally:
            self.node.limits.count_descriptors(-len(socks))  # each connection counts itself by now
            self.node.queue(self.on_attached, connections)

    def on_attached(self, connections: list[Connection]) -> None:
        """Moves the client if one of its two sockets could not be attached."""
        self.unfinished -= 1
        if not connections:
            return
        client, lost = connections[0], [one for one in connections if one.transport is None]
        self.node.counters["taken_over"] += 1
        log.event(
            "handoff",
            state="taken-over",
            id=client.request_id,
            connections=",".join(str(connection.number) for connection in connections),
            attached=len(connections) - len(lost),
            closed=sum(connection.closed for connection in connections),
        )
        if lost:
            client.move(NOT_TAKEN_OVER, model.RESET)
        for connection in lost:
            connection.connection_lost(None)
