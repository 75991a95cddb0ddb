"""The sockets of the loopback face: clients, servers and discovery as the text protocol has them.

Owns bytes, lines and ports. What a line means to the model is told to the world that made the socket;
nothing here decides when a server answers what. Stand-ins only: written for the lab, of the platform's
public protocol.
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
SPEAKS = 2.0  # seconds between a client's lines
EMPTY = 2.0  # seconds between empty lines of a watch
LINE = 1 << 20  # bytes: more without an end are no line
BACKLOG = 512
STREAM_EACH = 0.1  # seconds between lines of a stream
LONGEST = 4000  # bytes of such a line
CLOGGED = 8  # connections tried to fill the queue of a machine that vanished


class LineProtocol(asyncio.Protocol):
    """A connection of lines; those that derive from it say what is done with each."""

    transport: asyncio.Transport | None = None  # until the connection is up

    def __init__(self) -> None:
        self.rest = b""
        self.closed = False

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        if self.closed:
            transport.abort()  # guards against a line that was ended before it was up, and then stays

    def data_received(self, data: bytes) -> None:
        *whole, self.rest = (self.rest + data).split(b"\n")
        for line in whole:
            if not self.closed:
                self.line_received(line.rstrip(b"\r").decode("ascii", "replace"))
        if len(self.rest) > LINE:
            self.reset()

    def connection_lost(self, error: Exception | None) -> None:
        if not self.closed:
            self.closed = True
            self.peer_closed()

    def line_received(self, line: str) -> None: ...

    def peer_closed(self) -> None: ...

    def send_line(self, line: str) -> None:
        if not self.closed:
            self.transport.write(line.encode() + b"\r\n")

    def close(self) -> None:
        """End it as agreed; nothing is told to `peer_closed` any more."""
        if not self.closed:
            self.closed = True
            if self.transport:
                self.transport.close()

    def reset(self) -> None:
        """End it as the kernel does for a process that is gone."""
        if not self.closed:
            self.closed = True
            if not self.transport:
                return
            sock = self.transport.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.transport.abort()


class ClientConnection(LineProtocol):
    """A client's connection to a balancer: one call."""

    def __init__(self, node: LiveNode, attempt: Attempt, first: str):
        super().__init__()
        self.node, self.attempt, self.first = node, attempt, first
        self.answer = ""
        self.moved = False
        self.speaking: asyncio.TimerHandle | None = None

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        if self.closed:  # given up while it came up
            transport.abort()
        else:
            self.send_line(self.first)
            self.node.wrote(self.attempt)

    def line_received(self, line: str) -> None:
        word, _, rest = line.partition(" ")
        if not self.answer:
            self.answer = word
            self.node.answered(self, word, rest)
            if word == "UP":
                self.speak()
        elif word == "MOVE":
            self.moved = True

    def speak(self) -> None:
        if not self.closed:
            self.send_line("M")
            self.speaking = self.node.world.loop.call_later(SPEAKS, self.speak)

    def peer_closed(self) -> None:
        self.node.ended(self)


class ServerConnection(LineProtocol):
    """A balancer's connection to a server: one leg."""

    def __init__(self, world: LiveWorld, machine: Machine):
        super().__init__()
        self.world, self.machine = world, machine
        self.leg_record: LegRecord | None = None
        self.owed = 0  # answers held back while the server hangs

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        self.world.server_lines[self.machine][self] = None

    def line_received(self, line: str) -> None:
        if self.machine.silent:
            return
        if self.leg_record is None:
            self.world.legs.line_came(self, line)
        else:
            self.owed += 1
            if self.machine.hung_until <= self.world.now:
                self.say_owed()

    def say_owed(self) -> None:
        for _ in range(self.owed):
            self.send_line("OK")
        self.owed = 0

    def stream(self, bytes_a_second: int) -> None:
        """Send so much as long as the connection stands."""
        if bytes_a_second and not self.closed:
            if self.machine.hung_until <= self.world.now:
                self.send_line("S" + "." * min(LONGEST, round(bytes_a_second * STREAM_EACH)))
            self.world.loop.call_later(STREAM_EACH, self.stream, bytes_a_second)

    def peer_closed(self) -> None:
        self.world.server_lines[self.machine].pop(self, None)
        self.world.legs.link_lost(self)

    def close(self) -> None:
        self.world.server_lines[self.machine].pop(self, None)
        super().close()

    def reset(self) -> None:
        self.world.server_lines[self.machine].pop(self, None)
        super().reset()


class DiscoveryConnection(LineProtocol):
    """A balancer's question to discovery: the whole list once, or a watch."""

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
        self.transport.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        self.node.request_refused()
        self.close()

    def send_chunk(self, body: bytes) -> None:
        if not self.closed:
            self.transport.write(b"%x\r\n%b\r\n" % (len(body), body))

    def send_keep_alives(self) -> None:
        if not self.closed:
            self.send_chunk(b"\n")
            self.node.world.loop.call_later(EMPTY, self.send_keep_alives)

    def peer_closed(self) -> None:
        self.node.discovery_conns.pop(self, None)
        self.node.watch_closed(self)

    def close(self) -> None:
        self.node.discovery_conns.pop(self, None)
        super().close()


class Port:
    """A port of a server that is at times closed, or clogged so that connections never come up."""

    def __init__(self) -> None:
        self.number = 0
        self.listener: asyncio.Server | None = None
        self.held: list[socket.socket] = []  # what keeps the number, and what clogs it

    def bound(self) -> socket.socket:
        sock = socket.socket(socket.AF_INET)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((HOST, self.number))
        sock.setblocking(False)
        self.number = sock.getsockname()[1]
        return sock

    async def open(self, loop: asyncio.AbstractEventLoop, factory: Any) -> None:
        self.shut()
        sock = self.bound()
        self.listener = await loop.create_server(factory, sock=sock, backlog=BACKLOG)

    def shut(self) -> None:
        """Connections are refused."""
        if self.listener:
            self.listener.close()
            self.listener = None
        for sock in self.held:
            sock.close()
        self.held = []

    def refuse(self) -> None:
        """Shut, and the number stays ours."""
        self.shut()
        self.held.append(self.bound())

    def clog(self) -> None:
        """As a machine that is gone: nobody accepts and the queue is full, so that nothing comes up."""
        self.shut()
        sock = self.bound()
        sock.listen(0)
        self.held.append(sock)
        for _ in range(CLOGGED):
            filler = socket.socket(socket.AF_INET)
            filler.setblocking(False)
            filler.connect_ex((HOST, self.number))
            self.held.append(filler)


def free_ports(count: int) -> list[int]:
    """Numbers for datagrams that were free a moment ago, all different."""
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
    """The way of datagrams from one balancer to another, under the address that the other has there."""

    def __init__(self, world: LiveWorld, sender: int, receiver: int):
        self.world, self.sender, self.receiver = world, sender, receiver
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, address: Any) -> None:
        self.world.relayed(self, data)

    def error_received(self, error: Exception) -> None: ...
