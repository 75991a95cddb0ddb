"""Ring buffers, and the end of a TCP connection that reads into one.

Owns the bytes that have come in and are not yet taken: one ring for each direction of a connection, of fixed
size, which pauses reading while it is full. It never looks into lines, never decides, and never acts in a
callback beyond queueing itself for the node's next turn.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import select
import socket
import struct
from typing import Any

from bellrack.net.lines import MAX_LINE_BYTES

SIZE = 8192  # of a ring: a whole line and the start of the next
HIGH = 16384  # bytes that a transport may hold unsent before the other side's reading pauses
FLUSH_SECONDS = 0.5  # seconds that one side's last lines wait for the other to take them
LINGER = 1.0  # seconds that the other side has to end after we have
DROPPED = 65536  # bytes read after our end, for the sake of our last line; more only cost time
UNHEARD = 15000  # milliseconds after which the kernel gives up bytes that nobody takes
ABORT = struct.pack("ii", 1, 0)  # linger of nought: closing resets
NUMBERS = itertools.count(1)  # of this process's connections, in the order in which they came
SCRATCH = memoryview(bytearray(SIZE))  # what comes after our end goes here and is dropped


class Ring:
    """A fixed number of bytes, first in, first out."""

    __slots__ = ("size", "data", "view", "start", "length")

    def __init__(self, size: int = SIZE):
        self.size, self.data = size, bytearray()
        self.start = self.length = 0

    def writable_space(self) -> memoryview:
        """Free room in one piece; empty only when the ring is full."""
        if not self.data:  # guards against hundreds of connections that say nothing, each with its ring
            self.data = bytearray(self.size)
            self.view = memoryview(self.data)
        if not self.length:
            self.start = 0
        end, size = self.start + self.length, self.size
        return self.view[end - size : self.start] if end >= size else self.view[end:]

    def commit(self, count: int) -> None:
        self.length += count

    @property
    def full(self) -> bool:
        return self.length == self.size

    def take_line(self) -> bytes | None:
        """Take the first whole line, its end included."""
        length = self._length()
        return self.take(length) if length else None

    @property
    def line_too_long(self) -> bool:
        """Longer than a line may be, and no end in sight."""
        return self.length > MAX_LINE_BYTES and not self._length()

    def _length(self) -> int:
        size = self.size
        over = self.start + self.length - size
        at = self.data.find(b"\n", self.start, min(self.start + self.length, size))
        if at < 0 < over:
            at = self.data.find(b"\n", 0, over)
            return size - self.start + at + 1 if at >= 0 else 0
        return at + 1 - self.start if at >= 0 else 0

    def peek(self, count: int | None = None) -> bytes:
        """The first so many of the bytes held, or all of them; they stay."""
        count = self.length if count is None else count
        if not count:
            return b""
        size, end = self.size, self.start + count
        out = bytes(self.view[self.start : end])
        if end > size:
            out += bytes(self.view[: end - size])
        return out

    def take(self, count: int) -> bytes:
        out = self.peek(count)
        self.start, self.length = (self.start + count) % self.size, self.length - count
        return out


class Connection(asyncio.BufferedProtocol):
    """One end of a connection. What is read waits in its ring until the node's turn calls `ready`."""

    side = "link"
    forwarded_counter = ""  # the counter of the lines that go on to the other end
    has_priority = False  # its turn comes before the others' of the batch

    def __init__(self, node: Any):
        self.node, self.ring, self.number = node, Ring(), next(NUMBERS)
        self.transport: Any = None
        self.paired: Connection | None = None  # where whole lines go on to, once there is one
        self.queued = self.paused = self.blocked = self.closed = False
        self.remote_end = ""  # how the other side ended: "fin" or "rst"
        self.flush_deadline = 0.0  # until when its last lines wait, once it has
        self.counted = False  # among the descriptors
        self.dropped = 0  # bytes that came after our end
        self.expiry: asyncio.TimerHandle | None = None  # until when it may last as it is

    # Callbacks: they only note and queue.

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        transport.set_write_buffer_limits(high=HIGH)
        if sock := transport.get_extra_info("socket"):
            # Guards against a side that vanished: nothing else would ever end a connection to it.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNHEARD)
        self.count(True)
        self.on_connected()

    def on_connected(self) -> None: ...

    def count(self, on: bool) -> None:
        if self.counted != on:
            self.counted = on
            self.node.limits.count_descriptors(1 if on else -1)

    def get_buffer(self, hint: int) -> memoryview:
        return SCRATCH if self.closed else self.ring.writable_space()

    def buffer_updated(self, count: int) -> None:
        if self.closed:
            # Guards against a client that goes on sending, 60 MB if it likes, when its answer is out.
            self.dropped += count
            if self.dropped > DROPPED:
                self.transport.abort()
            return
        self.ring.commit(count)
        if self.ring.full:
            self.paused = True
            self.transport.pause_reading()
        self.wake()

    def eof_received(self) -> bool:
        self.remote_end = self.remote_end or "fin"
        self.wake()
        return not self.closed  # after our own end there is nothing left to wait for

    def connection_lost(self, error: Exception | None) -> None:
        self.count(False)
        self.node.limits.untrack(self)
        self.expire_after(None)
        self.remote_end = self.remote_end or ("rst" if error else "fin")
        self.wake()

    def pause_writing(self) -> None:
        self.blocked = True

    def resume_writing(self) -> None:
        self.blocked = False
        if self.paired:
            self.paired.wake()

    def remote_closed(self) -> bool:
        """Has the other side ended or reset, as far as the kernel knows by now? Guards against an end that a
        long turn, a pause in reading or bytes still unread hide."""
        if self.remote_end or self.closed:
            return True
        if self.transport is None or (sock := self.transport.get_extra_info("socket")) is None:
            return False
        if self.transport.is_closing() or sock.fileno() < 0:
            return True
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLRDHUP)
        return bool(poll.poll(0))

    def wake(self) -> None:
        if not self.queued and not self.closed:
            self.queued = True
            self.node.queue(self.process, first=self.has_priority)

    # In the node's turn.

    def process(self) -> None:
        self.queued = False
        if not self.closed:
            self.ready()
        if self.paused and not self.ring.full and not self.closed:
            self.paused = False
            self.transport.resume_reading()

    def ready(self) -> None:
        """There are bytes to look at, room to write, or the other side has ended."""
        raise NotImplementedError

    def forward_lines(self) -> None:
        """Whole lines go on to the other end, unchanged, while it has room."""
        out = []
        while not self.paired.blocked and (line := self.ring.take_line()):
            out.append(line)
            self.on_line(line)
        if out:
            self.node.counters[self.forwarded_counter] += len(out)
            self.paired.write(b"".join(out))

    def on_line(self, line: bytes) -> None:
        """What a line tells on its way."""

    def has_ended(self) -> bool:
        """It has ended, and what it sent has gone on or waited long enough.

        Guards against a pair kept up by a side that takes nothing."""
        if not self.remote_end or not (self.paired and self.paired.blocked):
            return bool(self.remote_end)
        if not self.flush_deadline:
            self.flush_deadline = self.node.now + FLUSH_SECONDS
            self.node.after(FLUSH_SECONDS, self.wake)
        return self.node.now >= self.flush_deadline

    def write(self, data: bytes) -> None:
        if not self.closed and self.transport and not self.transport.is_closing():
            self.transport.write(data)

    def finish(self, reason: str, how: str = "fin", **figures: Any) -> None:
        """End it: after what was written, or at once with a reset. Leaves the connection's log line."""
        if self.closed:
            return
        self.closed = True
        self.node.log_end(self, reason, figures)
        if self.transport is None:
            return
        if how == "rst":
            sock = self.transport.get_extra_info("socket")
            if sock is not None and sock.fileno() >= 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORT)
            self.transport.abort()
        elif self.remote_end or self.transport.is_closing() or how == "now":
            self.transport.close()
        else:
            # Guards against a close with bytes still unread, which resets and takes our last line with it;
            # and against a reset that has come in but was not told of yet.
            with contextlib.suppress(OSError):
                self.transport.write_eof()
            if self.paused:
                self.transport.resume_reading()
            # Guards against whole lines that are lost with a side that is slow, and one that takes nothing.
            self.expire_after(FLUSH_SECONDS if self.blocked else LINGER, self.transport.abort)
            self.node.limits.evictable.setdefault(self, self.node.now)

    def log_fields(self) -> dict[str, Any]:
        """What its log line tells of it beside its number."""
        return {}

    def expire_after(self, wait: float | None, then: Any = None, *values: Any) -> None:
        """At most so long as it is now."""
        if self.expiry:
            self.expiry.cancel()
        self.expiry = self.node.after(wait, then, *values) if wait is not None else None

    def evict(self) -> None:
        """Its descriptor is needed and nothing is owed to it: guards against ends that wait long."""
        self.node.limits.untrack(self)
        if self.transport:
            self.transport.abort()
            self.count(False)  # the descriptor is free before the next is accepted
