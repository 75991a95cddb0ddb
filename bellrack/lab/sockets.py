"""Sockets of loopback runs: stubs of clients, servers and discovery that use the platform's public protocol.

This module handles bytes, lines and ports. It passes the lines to the world of the run, which decides when
and how a server answers.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
from typing import TYPE_CHECKING, Any

from bellrack.lab.scenario import ScenarioError

if TYPE_CHECKING:
    from bellrack.lab.clients import Attempt
    from bellrack.lab.live import LiveNode, LiveWorld
    from bellrack.lab.machine import Machine
    from bellrack.lab.node import LegRecord

HOST = "127.0.0.1"
MESSAGE_INTERVAL_SECONDS = 2.0  # between messages of a client
KEEP_ALIVE_INTERVAL_SECONDS = 2.0  # between empty lines of a watch
MAX_LINE_BYTES = 1 << 20  # a connection with a longer line is reset
BACKLOG = 512  # connections
STREAM_INTERVAL_SECONDS = 0.1  # between lines of a stream
MAX_STREAM_LINE_BYTES = 4000
BACKLOG_FILLERS = 8  # connections that fill the accept queue of a machine that vanished


class LineProtocol(asyncio.Protocol):
    """A connection on which lines are exchanged. Subclasses override `line_received` and `peer_closed`."""

    transport: asyncio.Transport | None = None  # None until the connection is established

    def __init__(self) -> None:
        self.buffer = b""  # start of a line whose end has not arrived
        self.closed = False

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        if self.closed:
            transport.abort()  # otherwise a connection that was closed while connecting would stay open

    def data_received(self, data: bytes) -> None:
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            if not self.closed:
                self.line_received(line.rstrip(b"\r").decode("ascii", "replace"))
        if len(self.buffer) > MAX_LINE_BYTES:
            self.reset()

    def connection_lost(self, error: Exception | None) -> None:
        if not self.closed:
            self.closed = True
            self.peer_closed()

    def line_received(self, line: str) -> None:
        """Called for each line, without its end."""
        ...

    def peer_closed(self) -> None:
        """Called when the connection ends, unless this side closed it."""
        ...

    def send_line(self, line: str) -> None:
        """Send a line, unless the connection is closed."""
        if not self.closed:
            self.transport.write(line.encode() + b"\r\n")

    def close(self) -> None:
        """Close the connection normally; `peer_closed` is not called."""
        if not self.closed:
            self.closed = True
            if self.transport:
                self.transport.close()

    def reset(self) -> None:
        """Reset the connection, as the kernel does after a process has died; `peer_closed` is not called."""
        if not self.closed:
            self.closed = True
            if not self.transport:
                return
            sock = self.transport.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.transport.abort()


class ClientConnection(LineProtocol):
    """A client's connection to a balancer, for one call. `first_line` is sent when it is established."""

    def __init__(self, node: LiveNode, attempt: Attempt, first_line: str):
        super().__init__()
        self.node, self.attempt, self.first_line = node, attempt, first_line
        self.answer = ""  # first word of the balancer's answer
        self.moved = False
        self.message_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        if self.closed:  # the client gave up while connecting
            transport.abort()
        else:
            self.send_line(self.first_line)
            self.node.on_first_line_sent(self.attempt)

    def line_received(self, line: str) -> None:
        word, _, rest = line.partition(" ")
        if not self.answer:
            self.answer = word
            self.node.on_client_answer(self, word, rest)
            if word == "UP":
                self.send_message()
        elif word == "MOVE":
            self.moved = True

    def send_message(self) -> None:
        """Send a message now, and then at regular intervals."""
        if not self.closed:
            self.send_line("M")
            self.message_timer = self.node.world.loop.call_later(MESSAGE_INTERVAL_SECONDS, self.send_message)

    def peer_closed(self) -> None:
        self.node.on_client_conn_lost(self)


class ServerConnection(LineProtocol):
    """A balancer's connection to a server, for one leg."""

    def __init__(self, world: LiveWorld, machine: Machine):
        super().__init__()
        self.world, self.machine = world, machine
        self.leg_record: LegRecord | None = None
        self.held_answers = 0  # number of answers not sent because the server hangs

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        self.world.server_conns[self.machine][self] = None

    def line_received(self, line: str) -> None:
        if self.machine.silent:
            return
        if self.leg_record is None:
            self.world.legs.on_server_first_line(self, line)
        else:
            self.held_answers += 1
            if self.machine.hung_until <= self.world.now:
                self.send_held_answers()

    def send_held_answers(self) -> None:
        """Answer all messages that have no answer yet."""
        for _ in range(self.held_answers):
            self.send_line("OK")
        self.held_answers = 0

    def send_stream(self, bytes_per_second: int) -> None:
        """Send data at this rate until the connection is closed; nothing while the server hangs."""
        if bytes_per_second and not self.closed:
            if self.machine.hung_until <= self.world.now:
                self.send_line(
                    "S" + "." * min(MAX_STREAM_LINE_BYTES, round(bytes_per_second * STREAM_INTERVAL_SECONDS))
                )
            self.world.loop.call_later(STREAM_INTERVAL_SECONDS, self.send_stream, bytes_per_second)

    def peer_closed(self) -> None:
        self.world.server_conns[self.machine].pop(self, None)
        self.world.legs.on_server_conn_lost(self)

    def close(self) -> None:
        self.world.server_conns[self.machine].pop(self, None)
        super().close()

    def reset(self) -> None:
        self.world.server_conns[self.machine].pop(self, None)
        super().reset()


class DiscoveryConnection(LineProtocol):
    """A balancer's request to discovery: for the whole list once, or for a watch, which sends changes."""

    def __init__(self, node: LiveNode):
        super().__init__()
        self.node, self.target, self.watch = node, "", False

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        self.node.discovery_conns[self] = None

    def line_received(self, line: str) -> None:
        if not self.target:
            self.target = line.split(" ")[1] if line.count(" ") >= 2 else "/"
        elif not line and not self.watch:
            if self.node.world.discovery.down:
                self.refuse()
            elif "watch=1" in self.target:
                self.watch = True
                self.transport.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
                )
                self.send_keep_alives()
                self.node.watch_opened(self)
            else:
                body = json.dumps(self.node.list_message(self.node.world.discovery.rows(), True)).encode()
                self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                self.close()

    def refuse(self) -> None:
        """Answer that discovery is unavailable."""
        self.transport.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        self.node.request_refused()
        self.close()

    def send_chunk(self, body: bytes) -> None:
        """Send an HTTP chunk, unless the connection is closed."""
        if not self.closed:
            self.transport.write(b"%x\r\n%b\r\n" % (len(body), body))

    def send_keep_alives(self) -> None:
        """Send an empty line now, and then at regular intervals."""
        if not self.closed:
            self.send_chunk(b"\n")
            self.node.world.loop.call_later(KEEP_ALIVE_INTERVAL_SECONDS, self.send_keep_alives)

    def peer_closed(self) -> None:
        self.node.discovery_conns.pop(self, None)
        self.node.watch_closed(self)

    def close(self) -> None:
        self.node.discovery_conns.pop(self, None)
        super().close()


class Port:
    """A TCP port that accepts connections, refuses them, or leaves them without an answer."""

    def __init__(self) -> None:
        self.number = 0
        self.listener: asyncio.Server | None = None
        self.held: list[socket.socket] = []  # keep the port number reserved, or fill the accept queue

    def bind(self) -> socket.socket:
        """Return a new socket that is bound to the port; the first one selects a free number."""
        sock = socket.socket(socket.AF_INET)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((HOST, self.number))
        sock.setblocking(False)
        self.number = sock.getsockname()[1]
        return sock

    async def open(self, loop: asyncio.AbstractEventLoop, factory: Any) -> None:
        """Accept connections, with a protocol from `factory` for each."""
        self.close()
        sock = self.bind()
        self.listener = await loop.create_server(factory, sock=sock, backlog=BACKLOG)

    def close(self) -> None:
        """Refuse connections, and release the port number."""
        if self.listener:
            self.listener.close()
            self.listener = None
        for sock in self.held:
            sock.close()
        self.held = []

    def refuse(self) -> None:
        """Refuse connections, and keep the port number reserved."""
        self.close()
        self.held.append(self.bind())

    def blackhole(self) -> None:
        """Leave connections without an answer, as after the loss of a machine: the accept queue is full."""
        self.close()
        sock = self.bind()
        sock.listen(0)
        self.held.append(sock)
        for _ in range(BACKLOG_FILLERS):
            filler = socket.socket(socket.AF_INET)
            filler.setblocking(False)
            filler.connect_ex((HOST, self.number))
            self.held.append(filler)


def free_ports(count: int) -> list[int]:
    """Return `count` different UDP ports that are free now. Raises ScenarioError if there are fewer."""
    socks = []
    try:
        for _ in range(count):
            sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.bind((HOST, 0))
            socks.append(sock)
        return [sock.getsockname()[1] for sock in socks]
    except OSError as error:
        raise ScenarioError(f"no port is free: {error.strerror}") from error
    finally:
        for sock in socks:
            sock.close()


class Relay(asyncio.DatagramProtocol):
    """The socket to which one balancer sends its datagrams for another. It forwards them to the world."""

    def __init__(self, world: LiveWorld, sender: int, receiver: int):
        self.world, self.sender, self.receiver = world, sender, receiver
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, address: Any) -> None:
        self.world.relay_datagram(self, data)

    def error_received(self, error: Exception) -> None: ...
