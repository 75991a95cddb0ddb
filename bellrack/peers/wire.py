"""The datagrams between balancers: bytes <-> plain values, version 1.

Owns the packing. It keeps no state and believes nothing: what the values mean is membership's to judge. All
numbers are big-endian; a datagram is at most 256 bytes, whatever the size of the tier.

    head:    version u8, kind u8, sender u16, start_id u32, incarnation u32, sequence u32, target u16,
             count u8
    update:  member u16, status u8, start_id u32, incarnation u32      (count times)
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

VERSION = 1
MOST = 256  # bytes of a datagram
PING, ACK, INDIRECT_PROBE, LEAVE = 1, 2, 3, 4  # a question; its answer; "ping the target for me"; "I go"
ALIVE, SUSPECT, DEAD, LEFT = 0, 1, 2, 3
NOBODY = 0xFFFF  # as target: nobody but the receiver
HEAD, UPDATE = struct.Struct(">BBHIIIHB"), struct.Struct(">HBII")
MAX_UPDATES = (MOST - HEAD.size) // UPDATE.size  # that a datagram has room for


class DatagramError(ValueError):
    """Bytes that are no datagram of ours; the text is a reason code."""


@dataclass(frozen=True)
class MemberUpdate:
    """What is said of one member of the tier."""

    member: int
    status: int
    start_id: int  # drawn anew at each start of a process
    incarnation: int


@dataclass(frozen=True)
class Datagram:
    kind: int
    sender: int
    start_id: int
    incarnation: int
    sequence: int = 0
    target: int = NOBODY
    updates: tuple[MemberUpdate, ...] = field(default=())


def pack(message: Datagram) -> bytes:
    """Raises ValueError for more updates than there is room for."""
    if len(message.updates) > MAX_UPDATES:
        raise ValueError(f"{len(message.updates)} updates, {MAX_UPDATES} at most")
    head = HEAD.pack(
        VERSION,
        message.kind,
        message.sender,
        message.start_id,
        message.incarnation,
        message.sequence,
        message.target,
        len(message.updates),
    )
    return head + b"".join(
        UPDATE.pack(r.member, r.status, r.start_id, r.incarnation) for r in message.updates
    )


def unpack(data: bytes) -> Datagram:
    """Strict, as it comes from a network. Raises DatagramError with a reason code."""
    if len(data) > MOST:
        raise DatagramError("too-long")
    if len(data) < HEAD.size:
        raise DatagramError("too-short")
    version, kind, sender, start_id, incarnation, sequence, target, count = HEAD.unpack_from(data)
    if version != VERSION:
        raise DatagramError("other-version")
    if kind not in (PING, ACK, INDIRECT_PROBE, LEAVE):
        raise DatagramError("unknown-kind")
    if len(data) != HEAD.size + count * UPDATE.size:
        raise DatagramError("wrong-length")
    updates = tuple(MemberUpdate(*values) for values in UPDATE.iter_unpack(data[HEAD.size :]))
    if any(update.status > LEFT for update in updates):
        raise DatagramError("unknown-status")
    return Datagram(kind, sender, start_id, incarnation, sequence, target, updates)
