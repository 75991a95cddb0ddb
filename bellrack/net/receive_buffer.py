"""The receive buffer of a connection: bytes of one direction that were received and not yet consumed.

A buffer takes no more memory than what waits in it: hundreds of connections that stand, or that wrote half a
line, hold their bytes and nothing else. Sockets are read into one scratch area of the process.
"""

from __future__ import annotations

from collections.abc import Iterable

from bellrack.net.lines import MAX_LINE_BYTES

RECEIVE_BUFFER_BYTES = 8192  # a whole line and the start of the next
# Filled and committed within one callback of the event loop, so all buffers can share it.
SCRATCH = memoryview(bytearray(RECEIVE_BUFFER_BYTES))


class ReceiveBuffer:
    """A byte queue of bounded size."""

    __slots__ = ("size", "data")

    def __init__(self, size: int = RECEIVE_BUFFER_BYTES):
        """`size`: the most bytes that it holds, RECEIVE_BUFFER_BYTES at most."""
        self.size, self.data = size, bytearray()

    @property
    def length(self) -> int:
        """The number of bytes that wait."""
        return len(self.data)

    @property
    def full(self) -> bool:
        """Whether it takes no more bytes."""
        return len(self.data) >= self.size

    @property
    def has_line(self) -> bool:
        """Whether a whole line waits."""
        return b"\n" in self.data

    @property
    def line_too_long(self) -> bool:
        """Whether more than MAX_LINE_BYTES wait without a line end."""
        return len(self.data) > MAX_LINE_BYTES and not self.has_line

    def writable_space(self) -> memoryview:
        """Returns free space, to be filled before `commit`; empty only if the buffer is full."""
        return SCRATCH[: self.size - len(self.data)]

    def commit(self, count: int) -> None:
        """Adds the first `count` bytes of the writable space to the queue."""
        self.data += SCRATCH[:count]

    def take_line(self) -> bytes | None:
        """Removes and returns the first whole line with its line end; None if there is none."""
        length = self.data.find(b"\n") + 1
        return self.take(length) if length else None

    def take_lines(self) -> bytes:
        """Removes and returns all whole lines; empty if there is none."""
        return self.take(self.data.rfind(b"\n") + 1)

    def peek(self, count: int | None = None) -> bytes:
        """Returns the first `count` bytes, or all, without removing them."""
        return bytes(self.data if count is None else self.data[:count])

    def take(self, count: int) -> bytes:
        """Removes and returns the first `count` bytes."""
        data = bytes(self.data[:count])
        del self.data[:count]
        return data

    def contains_any(self, words: Iterable[bytes]) -> bool:
        """Whether one of the words stands anywhere among the bytes."""
        return any(word in self.data for word in words)

    def clear(self) -> None:
        """Drops all bytes."""
        self.data = bytearray()
