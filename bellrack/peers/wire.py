"""Packs and unpacks the datagrams of the membership protocol, version 1.

The module keeps no state and does not interpret the values; `membership` does. All numbers are big-endian. A
datagram has at most 256 bytes, whatever the size of the tier.

    header:  version u8, kind u8, sender u16, start_id u32, incarnation u32, sequence u32, target u16,
             count u8
    update:  member u16, status u8, start_id u32, incarnation u32      (count times)
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field

VERSION = 1
MAX_BYTES = 256  # of a datagram
# Kinds of datagrams: a probe; its answer; a request to the receiver to ping the target; the sender leaves.
PING, ACK, INDIRECT_PROBE, LEAVE = 1, 2, 3, 4
ALIVE, SUSPECT, DEAD, LEFT = 0, 1, 2, 3
NOBODY = 0xFFFF  # as the target: the receiver itself
HEADER = struct.Struct(">BBHIIIHB")
UPDATE = struct.Struct(">HBII")
MAX_UPDATES = (MAX_BYTES - HEADER.size) // UPDATE.size  # in a datagram


class DatagramError(ValueError):
    """Raised for bytes that are no valid datagram; the text is a reason code."""


@dataclass(frozen=True)
class MemberUpdate:
    """The status of one member, as a datagram reports it."""

    member: int
    status: int
    start_id: int  # drawn at random at each start of a process
    incarnation: int


@dataclass(frozen=True)
class Datagram:
    """One datagram. `kind`, `target` and the status of updates are the constants of this module."""

    kind: int
    sender: int
    start_id: int
    incarnation: int
    sequence: int = 0
    target: int = NOBODY
    updates: tuple[MemberUpdate, ...] = field(default=())


def pack(message: Datagram) -> bytes:
    """Packs a datagram. Raises ValueError if it has more than MAX_UPDATES updates."""
    if len(message.updates) > MAX_UPDATES:
        raise ValueError(f"{len(message.updates)} updates, {MAX_UPDATES} at most")
    header = HEADER.pack(
        VERSION,
        message.kind,
        message.sender,
        message.start_id,
        message.incarnation,
        message.sequence,
        message.target,
        len(message.updates),
    )
    return header + b"".join(
        UPDATE.pack(update.member, update.status, update.start_id, update.incarnation)
        for update in message.updates
    )


def unpack(data: bytes) -> Datagram:
    """Unpacks a datagram from the network. Raises DatagramError if any field or the length is invalid."""
    if len(data) > MAX_BYTES:
        raise DatagramError("too-long")
    if len(data) < HEADER.size:
        raise DatagramError("too-short")
    version, kind, sender, start_id, incarnation, sequence, target, count = HEADER.unpack_from(data)
    if version != VERSION:
        raise DatagramError("other-version")
    if kind not in (PING, ACK, INDIRECT_PROBE, LEAVE):
        raise DatagramError("unknown-kind")
    if len(data) != HEADER.size + count * UPDATE.size:
        raise DatagramError("wrong-length")
    updates = tuple(MemberUpdate(*values) for values in UPDATE.iter_unpack(data[HEADER.size :]))
    if any(update.status > LEFT for update in updates):
        raise DatagramError("unknown-status")
    return Datagram(kind, sender, start_id, incarnation, sequence, target, updates)
