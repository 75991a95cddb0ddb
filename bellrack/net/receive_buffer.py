"""The receive buffer of a connection: bytes of one direction that were received and not yet consumed."""

from __future__ import annotations

from bellrack.net.lines import MAX_LINE_BYTES

RECEIVE_BUFFER_BYTES = 8192  # a whole line and the start of the next


class ReceiveBuffer:
    """A byte queue of fixed size."""

    __slots__ = ("size", "data", "view", "start", "length")

    def __init__(self, size: int = RECEIVE_BUFFER_BYTES):
        self.size, self.data = size, bytearray()
        self.start = self.length = 0

    def writable_space(self) -> memoryview:
        """Returns free space in one piece, to be filled before `commit`; empty only if the buffer is full."""
        if not self.data:  # allocated at first use: hundreds of idle connections need no buffer
            self.data = bytearray(self.size)
            self.view = memoryview(self.data)
        if not self.length:
            self.start = 0
        end, size = self.start + self.length, self.size
        return self.view[end - size : self.start] if end >= size else self.view[end:]

    def commit(self, count: int) -> None:
        """Adds the first `count` bytes of the writable space to the queue."""
        self.length += count

    @property
    def full(self) -> bool:
        return self.length == self.size

    def take_line(self) -> bytes | None:
        """Removes and returns the first whole line with its line end; None if there is none."""
        length = self._line_length()
        return self.take(length) if length else None

    @property
    def line_too_long(self) -> bool:
        """Whether more than MAX_LINE_BYTES are buffered without a line end."""
        return self.length > MAX_LINE_BYTES and not self._line_length()

    def _line_length(self) -> int:
        """Length of the first whole line; 0 if there is none."""
        size = self.size
        wrapped = self.start + self.length - size
        at = self.data.find(b"\n", self.start, min(self.start + self.length, size))
        if at < 0 < wrapped:
            at = self.data.find(b"\n", 0, wrapped)
            return size - self.start + at + 1 if at >= 0 else 0
        return at + 1 - self.start if at >= 0 else 0

    def peek(self, count: int | None = None) -> bytes:
        """Returns the first `count` bytes, or all, without removing them."""
        count = self.length if count is None else count
        if not count:
            return b""
        size, end = self.size, self.start + count
        data = bytes(self.view[self.start : end])
        if end > size:
            data += bytes(self.view[: end - size])
        return data

    def take(self, count: int) -> bytes:
        """Removes and returns the first `count` bytes."""
        data = self.peek(count)
        self.start, self.length = (self.start + count) % self.size, self.length - count
        return data
