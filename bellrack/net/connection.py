"""The base class of all TCP connections.

What is received waits in a buffer of bounded size (`receive_buffer.py`); reading is paused while it is full.
The callbacks of asyncio only store data and queue the connection for the node's next turn; lines are parsed,
and decisions made, in that turn. What is written or closed before a connection has its transport is carried
out once it has (`connection_state.py`).
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import select
import socket
import struct
from typing import Any

from bellrack.net.connection_state import Event, State, next_state
from bellrack.net.receive_buffer import SCRATCH, ReceiveBuffer

WRITE_BUFFER_BYTES = 16384  # with more unsent bytes in a transport, its paired connection pauses reading
FLUSH_SECONDS = 0.5  # how long the last lines of a closed side wait while the other side accepts no data
LINGER_SECONDS = 1.0  # how long the remote end may take to close after our close
MAX_DISCARDED_BYTES = 65536  # read after we closed, so that our last line is not lost; more only costs time
TCP_USER_TIMEOUT_MS = 15000  # the kernel drops a connection whose data is not acknowledged for so long
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0: close() sends a reset
CONNECTION_NUMBERS = itertools.count(1)  # numbers the connections of this process in order of creation


class Connection(asyncio.BufferedProtocol):
    """A TCP connection. Received bytes wait in its buffer until the node's turn calls `ready`."""

    side = "link"
    forwarded_counter = ""  # the counter of the lines that are forwarded to the paired connection
    has_priority = False  # processed before the other connections of a turn

    def __init__(self, node: Any):
        self.node, self.received, self.number = node, ReceiveBuffer(), next(CONNECTION_NUMBERS)
        self.transport: Any = None
        self.state = State.PENDING
        self.closed = False  # this process has closed it or handed it over; follows from `state`
        self.unsent = b""  # written before there was a transport
        self.close_how = "fin"  # see `finish`
        self.paired: Connection | None = None  # whole lines are forwarded to it
        self.queued = self.paused = False
        self.write_blocked = False  # the transport's write buffer is full
        self.remote_end = ""  # how the remote end closed: "fin" or "rst"
        self.flush_deadline = 0.0  # until when its last lines wait to be forwarded after it closed
        self.handed_over_to_us = False  # by the predecessor in a hot restart
        self.counted = False  # whether its descriptor is counted
        self.discarded = 0  # bytes received after we closed
        self.expiry: asyncio.TimerHandle | None = None  # see `expire_after`

    @property
    def blocked(self) -> bool:
        """Whether it accepts no lines: its write buffer is full, or it has no transport yet."""
        return self.write_blocked or self.state is State.PENDING

    def on_event(self, event: Event) -> None:
        """Changes the state. Raises TransitionError."""
        self.state = next_state(self.state, event)
        self.closed = self.state.closed

    # Callbacks of asyncio: they only store and queue, and carry out what was ordered before there was a
    # transport.

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.on_event(Event.ATTACH)
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        if sock := transport.get_extra_info("socket"):
            # Without these options a connection to a peer that has vanished would never end.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        self.count_descriptor(True)
        if self.unsent and self.state is not State.CLOSED:
            transport.write(self.unsent)
        self.unsent = b""
        if self.received.full:  # as it was when it was handed over
            self.paused = True
            transport.pause_reading()
        if self.state is State.OPEN:
            self.on_connected()
        else:
            self.close_late()
        if self.paired:
            self.paired.wake()

    def on_connected(self) -> None: ...  # called once the connection has its transport, unless it is closed

    def close_late(self) -> None:
        """Called once the connection has its transport if it was closed before."""
        self.close_transport()

    def count_descriptor(self, on: bool) -> None:
        """Counts this connection's descriptor, or counts it no longer."""
        if self.counted != on:
            self.counted = on
            self.node.limits.count_descriptors(1 if on else -1)

    def get_buffer(self, hint: int) -> memoryview:
        return SCRATCH if self.closed else self.received.writable_space()

    def buffer_updated(self, count: int) -> None:
        if self.closed:
            # A client may go on sending after its answer, even 60 MB; that is cut short.
            self.discarded += count
            if self.discarded > MAX_DISCARDED_BYTES:
                self.transport.abort()
            return
        self.received.commit(count)
        if self.received.full:
            self.paused = True
            self.transport.pause_reading()
        self.wake()

    def eof_received(self) -> bool:
        self.remote_end = self.remote_end or "fin"
        self.wake()
        return not self.closed  # False closes the transport: both ends are closed

    def connection_lost(self, error: Exception | None) -> None:
        """Called when the transport has ended, or when the connection will get none."""
        self.on_event(Event.LOSE)
        self.count_descriptor(False)
        self.node.limits.untrack(self)
        self.expire_after(None)
        self.remote_end = self.remote_end or ("rst" if error else "fin")
        self.wake()

    def pause_writing(self) -> None:
        self.write_blocked = True

    def resume_writing(self) -> None:
        self.write_blocked = False
        if self.paired:
            self.paired.wake()

    def remote_closed(self) -> bool:
        """Whether the remote end has closed or reset, asked of the kernel.

        asyncio may not have reported that yet: because of a long turn, paused reading or unread bytes."""
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
        """Queues the connection for the node's next turn."""
        if not self.queued and not self.closed:
            self.queued = True
            self.node.queue(self.process, first=self.has_priority)

    # Run in the node's turn.

    def process(self) -> None:
        """Handles what was received, and resumes reading once the buffer has space."""
        self.queued = False
        if not self.closed:
            self.ready()
        if self.paused and not self.received.full and not self.closed:
            self.paused = False
            self.transport.resume_reading()

    def ready(self) -> None:
        """Called if bytes were received, the paired connection accepts data, or the remote end closed."""
        raise NotImplementedError

    def forward_lines(self) -> None:
        """Forwards whole lines to the paired connection, unchanged, unless that is blocked.

        They go together, whatever their number, so what a connection costs in a turn goes by its bytes."""
        if self.paired.blocked:
            return
        if forwarded := self.take_forwardable():
            self.node.counters[self.forwarded_counter] += forwarded.count(b"\n")
            self.paired.write(forwarded)

    def take_forwardable(self) -> bytes:
        """Removes and returns the whole lines that are forwarded in this turn."""
        raise NotImplementedError

    def has_ended(self) -> bool:
        """Whether the remote end has closed and its last lines are forwarded, or have waited FLUSH_SECONDS.

        Without that limit a peer that accepts no data would keep both connections open."""
        if not self.remote_end or not self.paired:
            return bool(self.remote_end)
        if not self.paired.blocked:
            return not self.received.has_line  # the rest of them are forwarded in the next turns
        if not self.flush_deadline:
            self.flush_deadline = self.node.now + FLUSH_SECONDS
            self.node.after(FLUSH_SECONDS, self.wake)
        return self.node.now >= self.flush_deadline

    def write(self, data: bytes) -> None:
        """Writes, unless the connection is closed; without a transport, once it has one."""
        if self.state is State.PENDING:
            self.unsent += data
        elif self.state is State.OPEN and not self.transport.is_closing():
            self.transport.write(data)

    def finish(self, reason: str, how: str = "fin", **fields: Any) -> None:
        """Closes the connection and logs its end with `reason` and `fields`; does nothing if already closed.

        `how`: "fin" sends what was written, then closes and waits for the remote end; "now" does not wait;
        "rst" resets at once. Without a transport, that is done once it has one."""
        if self.closed:
            return
        self.close_how = how
        self.on_event(Event.CLOSE)
        self.received.clear()
        self.node.log_end(self, reason, fields)
        if self.state is State.CLOSING:
            self.close_transport()

    def close_transport(self) -> None:
        """Closes the transport as ordered; see `finish`."""
        if self.close_how == "rst":
            sock = self.transport.get_extra_info("socket")
            if sock is not None and sock.fileno() >= 0:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self.transport.abort()
        elif self.remote_end or self.transport.is_closing() or self.close_how == "now":
            self.transport.close()
        else:
            # Only the write side is closed at first: close() with unread bytes sends a reset, which discards
            # our last line. Fails with OSError if a reset was received that asyncio has not reported yet.
            with contextlib.suppress(OSError):
                self.transport.write_eof()
            if self.paused:
                self.transport.resume_reading()
            # Time for a slow peer to take the last whole lines; a peer that takes nothing is cut off.
            self.expire_after(FLUSH_SECONDS if self.write_blocked else LINGER_SECONDS, self.transport.abort)
            self.node.limits.evictable.setdefault(self, self.node.now)

    def log_fields(self) -> dict[str, Any]:
        """What its log line has beside its number, side and reason."""
        return {}

    def expire_after(self, wait: float | None, callback: Any = None, *args: Any) -> None:
        """Calls `callback` in `wait` seconds, in place of an earlier one; None only cancels that."""
        if self.expiry:
            self.expiry.cancel()
        self.expiry = self.node.after(wait, callback, *args) if wait is not None else None

    def evict(self) -> None:
        """Aborts a connection to which nothing is owed, since its descriptor is needed.

        Otherwise connections that wait long for their remote end would use up the descriptors."""
        self.node.limits.untrack(self)
        if self.transport:
            self.transport.abort()
            self.count_descriptor(False)  # the descriptor is free before the next connection is accepted
