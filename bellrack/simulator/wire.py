"""Frames of the simulator's binary protocol: converts between bytes and plain records."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from typing import BinaryIO

# Bytes of an event, of an action, and of an entry in a list of servers.
EVENT_SIZE = 48
ACTION_SIZE = 24
ENTRY_SIZE = 21
HEADER = struct.Struct(">IQII")
REPLY_HEADER = struct.Struct(">III")
ENTRY = struct.Struct(">BHBfQBI")
EVERY_PEER = 0xFFFFFFFF  # the recipient of a message to all balancers

# Events: code -> (name, packed fields after the code, their names). Two fields with a name that ends in * are
# the offset and the length of data in the tail of the frame.
EVENTS = {
    256: ("Notice", ">QIfHB", "xid server x sendNo sort"),
    257: ("TickDue", ">Q", "nonce"),
    258: ("Dropped", ">Q", "xid"),
    259: ("Members", ">BII", "kind rosterId revision"),
    260: ("Exit", ">", ""),
    261: ("On", ">H", "who"),
    262: ("Launch", ">QII", "initSeed setup* setup*"),
    263: ("Pong", ">IBIBffff", "server result durationUs n x0 x1 x2 x3"),
    264: ("Returned", ">QHIBIBBffff", "xid sendNo server result durationUs complete n x0 x1 x2 x3"),
    265: ("Pool", ">III", "rosterId membersList* membersList*"),
    266: ("Heard", ">HII", "by msg* msg*"),
    267: ("Inbound", ">QQIQIIBH", "xid affinity remainingUs group costUs customer stateBits priority"),
    268: ("Flowing", ">QIIH", "xid server durationUs sendNo"),
    269: (
        "Preexisting",
        ">QQIIQIIHB",
        "xid affinity customer server group remainingUs costUs priority stateBits",
    ),
}
# Actions: name -> (code, packed fields after the code).
ACTIONS = {
    "CloseIdle": (320, ">I"),
    "Bug": (321, ">II"),
    "ReportFailure": (322, ">Q"),
    "At": (323, ">H"),
    "Cancel": (324, ">QH"),
    "Fetch": (325, ">"),
    "HealthCheck": (326, ">I"),
    "Forward": (327, ">QIQ"),
    "Deny": (328, ">QI"),
    "SetAlarm": (329, ">QQ"),
    "JournalLine": (330, ">II"),
    "Notify": (331, ">III"),
    "KeepInformed": (332, ">B"),
    "Shift": (333, ">Q"),
}
_EVENTS = {code: (name, struct.Struct(form), fields.split()) for code, (name, form, fields) in EVENTS.items()}
_ACTIONS = {name: struct.Struct(">H" + form[1:]) for name, (_, form) in ACTIONS.items()}


class WireError(Exception):
    """A frame is malformed."""


class Batch:
    """A frame of events, decoded while it is iterated over. Raises WireError.

    `clock` is the time in microseconds, `count` the number of events, `body` the events and the tail.
    """

    def __init__(self, number: int, clock: int, count: int, body: bytes):
        self.number, self.clock, self.count, self.body = number, clock, count, body
        self.tail = count * EVENT_SIZE
        if self.tail > len(body):
            raise WireError(f"batch {number}: record count {count} does not fit its {len(body)} bytes")

    def __iter__(self) -> Iterator[tuple[str, tuple]]:
        """Yields each event as its name and values; references into the tail become bytes."""
        for index in range(self.count):
            at = index * EVENT_SIZE
            code = int.from_bytes(self.body[at : at + 2], "big")
            if code not in _EVENTS:
                raise WireError(f"batch {self.number}, record {index}: unknown code {code}")
            name, form, fields = _EVENTS[code]
            values = form.unpack_from(self.body, at + 2)
            if name in ("Launch", "Pool", "Heard"):
                width = ENTRY_SIZE if name == "Pool" else 1
                values = (values[0], self._tail(index, f"{name}.{fields[1][:-1]}", *values[1:], width))
            yield name, values

    def _tail(self, index: int, field: str, offset: int, length: int, width: int) -> bytes:
        start = self.tail + offset
        stop = start + length * width
        if stop > len(self.body):
            raise WireError(
                f"batch {self.number}, record {index}: {field} lies outside the tail "
                f"(offset {offset}, length {length})"
            )
        return self.body[start:stop]


def read_batch(stream: BinaryIO) -> Batch | None:
    """Returns the next batch, or None at the end of the input. Raises WireError."""
    head = stream.read(HEADER.size)
    if not head:
        return None
    if len(head) < HEADER.size:
        raise WireError(f"batch header: truncated after {len(head)} bytes")
    number, clock, length, count = HEADER.unpack(head)
    if length < 4:
        raise WireError(f"batch {number}: length {length} leaves no room for the record count")
    body = stream.read(length - 4)
    if len(body) < length - 4:
        raise WireError(f"batch {number}: truncated, {len(body)} of {length - 4} bytes after the header")
    return Batch(number, clock, count, body)


def entries(data: bytes) -> list[tuple]:
    """Returns the entries of a list of servers: status, pack, area, capacityHint, sinceUs, type, server."""
    return list(ENTRY.iter_unpack(data))


class Reply:
    """A reply that is being written: its records and their tail."""

    def __init__(self, number: int):
        self.number = number
        self.records: list[bytes] = []
        self.tail = bytearray()
        self._who: int | None = None

    def add(self, who: int, name: str, *values: int) -> None:
        """Adds an action of the instance `who`."""
        if self._who != who:
            self._who = who
            self._put("At", who)
        self._put(name, *values)

    def add_data(self, who: int, name: str, data: bytes, *values: int) -> None:
        """Adds an action whose last field, `data`, goes into the tail."""
        offset = len(self.tail)
        self.tail += data
        self.add(who, name, *values, offset, len(data))

    def _put(self, name: str, *values: int) -> None:
        self.records.append(_ACTIONS[name].pack(ACTIONS[name][0], *values).ljust(ACTION_SIZE, b"\0"))

    def encode(self) -> bytes:
        """Returns the frame of the reply."""
        body = b"".join(self.records) + bytes(self.tail)
        return REPLY_HEADER.pack(self.number, len(body) + 4, len(self.records)) + body
