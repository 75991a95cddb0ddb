"""Connections that go over to the process that comes after us, as they are.

Owns the form in which a connection goes over, and both of its ends. Nobody at either side of a connection
notices: no byte is lost, sent twice or out of order, and nothing is moved. It never hands over a call that is
still owed its answer: that stays with the process that took it.
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

MESSAGE = 65536  # bytes: a line and two full rings, written out, are half of that
SLICE = 16  # connections that go over in one turn: guards against a pause for all others


def socket_pair() -> tuple[socket.socket, socket.socket]:
    """The way over: whole messages, each with the descriptors that it speaks of."""
    return socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)


def taken(link: Connection) -> bytes:
    """What has come in and was not yet read."""
    return link.ring.take(link.ring.length)


def put_back(link: Connection, data: bytes) -> None:
    link.ring.writable_space()[: len(data)] = data
    link.ring.commit(len(data))


def written(data: bytes) -> str:
    return base64.b64encode(data).decode()


def read(text: str) -> bytes:
    return base64.b64decode(text, validate=True)


class HandoffEnd:
    """One end of the way over."""

    def __init__(self, node: Any, sock: socket.socket):
        self.node, self.sock = node, sock
        self.descriptors_passed = 0  # descriptors that went over so far
        sock.setblocking(False)
        node.limits.count_descriptors(1)

    def close(self) -> None:
        if self.sock.fileno() >= 0:
            self.node.loop.remove_reader(self.sock.fileno())
            self.sock.close()
            self.node.limits.count_descriptors(-1)


class HandoffSender(HandoffEnd):
    """The end of the process that goes."""

    def send_batch(self) -> bool:
        """Some of those that can go: standing, or not yet heard a word of. Are there more?"""
        left = SLICE
        for client in list(self.node.clients):
            # One that is to be resumed and sends more before it is up is malformed: it is answered here.
            resumes = client in self.node.resumed.pending and not client.ring.length
            if client.call is None or client.paired or resumes:
                if not left:
                    return True
                left -= self.send_connection(client)
        return False

    def send_connection(self, client: ClientConnection) -> bool:
        links = [client, client.server_connection] if client.paired else [client]
        for link in links:
            going = link.transport is None or link.transport.is_closing() or link.closed
            if going or link.remote_end or link.transport.get_write_buffer_size():
                return False  # it ends by itself, or may go when what it was sent is out
        for link in links:
            link.transport.pause_reading()
        unread = {link: taken(link) for link in links}
        message = {"in": written(unread[client]), "opened": client.opened}
        if client.paired:
            message |= self.standing(client.server_connection) | {
                "back": written(unread[client.server_connection])
            }
        elif client.call:  # a resumed connection that is not up yet: it goes over as if unread
            message["in"] = written(client.request_line.line)
        fds = [link.transport.get_extra_info("socket").fileno() for link in links]
        try:
            socket.send_fds(self.sock, [json.dumps(message).encode()], fds)
        except OSError:
            for link, data in unread.items():  # nobody has it: all as it was
                put_back(link, data)
                if not link.paused:
                    link.transport.resume_reading()
            return False
        self.descriptors_passed += len(fds)
        self.gone(client, links)
        return True

    def standing(self, link: ServerConnection) -> dict[str, Any]:
        return {
            "line": link.client.request_line.line.decode(),
            "server": link.endpoint.name,
            "place": lines.format_address(link.endpoint.address),
            "sent": link.leg.sent,
            "asked": list(link.unanswered),
            "said": link.announced_end,
        }

    def gone(self, client: ClientConnection, links: list[Connection]) -> None:
        """Ours no more: our copies of the descriptors are closed, which neither side sees."""
        self.node.counters["handed_over"] += 1
        for link in links:
            link.closed = True
            link.expire_after(None)
            self.node.log_end(link, "handed-over", {})
            link.transport.abort()
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
    """The end of the process that comes."""

    def __init__(self, node: Any, sock: socket.socket):
        super().__init__(node, sock)
        self.tasks: set[asyncio.Task] = set()
        node.loop.add_reader(sock.fileno(), self.come)

    def come(self) -> None:
        with contextlib.suppress(BlockingIOError):
            for _ in range(SLICE):
                data, fds, _, _ = socket.recv_fds(self.sock, MESSAGE, 2)
                if not data:
                    self.close()
                    return
                self.descriptors_passed += len(fds)
                self.node.limits.count_descriptors(len(fds))  # before they become connections
                self.node.queue(self.take, data, fds)

    def take(self, data: bytes, fds: list[int]) -> None:
        try:
            message = json.loads(data)
            if len(fds) != 1 + ("line" in message):
                raise ValueError(f"{len(fds)} descriptors")
            client = ClientConnection(self.node)
            if "opened" in message:
                client.opened = float(message["opened"]) + self.node.hot_restart.clock_ahead
            put_back(client, read(message["in"]))
            links = [client, self.standing(client, message)] if "line" in message else [client]
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            # Guards against what another version hands over in a form of its own.
            log.event("handover", taken="not one connection", error=repr(error))
            for fd in fds:
                os.close(fd)
            self.node.limits.count_descriptors(-len(fds))
            return
        task = self.node.loop.create_task(self.connect(links, [socket.socket(fileno=fd) for fd in fds]))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def standing(self, client: ClientConnection, message: dict[str, Any]) -> ServerConnection:
        """The call and its one leg, as they stood in the other process."""
        node, request_line = self.node, lines.parse_request_line(message["line"].encode())
        name, place = str(message["server"]), lines.parse_address(message["place"])
        server = node.server(lines.id_hash(name))
        server.host_record = server.host_record or Endpoint(name, place)
        call = node.new_call(
            node.names.types.get(request_line.values.get("c", ""), 0),
            0.0,
            key=request_line.key,
            group=request_line.number("g", 16) or 0,
        )
        ahead = node.hot_restart.clock_ahead
        leg = Leg(call, server, float(message["sent"]) + ahead)
        call.legs.append(leg)
        call.host_record, client.call, client.request_line = client, call, request_line
        link = ServerConnection(node, leg, client, node.now, established=True)
        link.unanswered.extend(float(when) + ahead for when in message["asked"])
        client.answered = True
        link.announced_end = str(message["said"])
        put_back(link, read(message["back"]))
        # Neither takes a line until both are up: guards against one that goes nowhere.
        client.blocked = link.blocked = True
        link.paired, client.paired = client, link
        # In the books before anything can end it: guards against a leg that is taken off before it is put on.
        node.limits.open_ids[request_line.id] = client
        link.endpoint.connections[link] = None
        node.resume_leg(leg)
        return link

    async def connect(self, links: list[Connection], socks: list[socket.socket]) -> None:
        try:
            for link, sock in zip(links, socks):
                sock.setblocking(False)
                await self.node.loop.connect_accepted_socket(lambda link=link: link, sock)
        finally:
            self.node.limits.count_descriptors(-len(socks))  # each connection counts itself
            self.node.queue(self.start_forwarding, links)

    def start_forwarding(self, links: list[Connection]) -> None:
        client = links[0]
        self.node.counters["taken_over"] += 1
        if client.paired and any(link.transport is None for link in links):
            client.move("not-taken-over", model.RESET)
        for link in links:
            link.blocked = False
            link.wake()
        if self.node.shutdown:  # it may have moved what stands already
            client.move("leaving")
