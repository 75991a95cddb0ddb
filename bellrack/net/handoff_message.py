"""The message with which one connection goes over in a hot restart. Formats and parses; no I/O.

Times are seconds on the predecessor's clock. Keys that a process does not know are ignored, and keys that are
absent have defaults: the two processes may be of different versions.
"""

from __future__ import annotations

import base64
import json
from dataclasses import dataclass
from typing import Any

from bellrack.net import lines
from bellrack.net.lines import RequestLine
from bellrack.net.receive_buffer import RECEIVE_BUFFER_BYTES

# A request line, two full receive buffers in base64 and the times of unanswered lines take less than half.
MAX_MESSAGE_BYTES = 65536


class MessageError(ValueError):
    """A message that cannot be read: a predecessor of another version may send one of another form."""


@dataclass(frozen=True)
class AnnouncedEnd:
    """A server's last line (BYE, MOVE) has been forwarded."""

    result: str  # of the leg: completed or cancelled
    ends_by: float | None  # when both sides are ended if the server does not; None from an older version


@dataclass(frozen=True)
class EstablishedPart:
    """What goes over of an established connection beside its client's side."""

    request_line: RequestLine
    server: str
    address: tuple[str, int]  # of the server
    sent: float  # when the request was sent
    unanswered: tuple[float, ...]  # when each unanswered line of the client was forwarded
    announced_end: AnnouncedEnd | None
    unread: bytes  # received from the server and not forwarded yet


@dataclass(frozen=True)
class ResumptionPart:
    """What goes over of a resumed connection that is not established yet."""

    answer_by: float  # when its client must have an answer
    may_have_run: bool  # an attempt was sent, and its result does not exclude that it ran


@dataclass(frozen=True)
class HandoffMessage:
    """One connection; its descriptors, the client's first, go with the message."""

    unread: bytes  # received from the client and not consumed yet
    opened: float | None  # when the machine accepted it; None from an older version
    established: EstablishedPart | None = None
    resumption: ResumptionPart | None = None

    @property
    def descriptors(self) -> int:
        """How many descriptors go with it."""
        return 2 if self.established else 1

    def encode(self) -> bytes:
        """Format the message."""
        message: dict[str, Any] = {"in": encode_bytes(self.unread), "opened": self.opened}
        if part := self.established:
            end = part.announced_end or AnnouncedEnd("", None)
            message |= {
                "line": part.request_line.line.decode(),
                "server": part.server,
                "place": lines.format_address(part.address),
                "sent": part.sent,
                "asked": part.unanswered,
                "said": end.result,
                "ends": end.ends_by,
                "back": encode_bytes(part.unread),
            }
        if self.resumption:
            message |= {"answer_by": self.resumption.answer_by, "may_have_run": self.resumption.may_have_run}
        return json.dumps(message).encode()

    @classmethod
    def decode(cls, data: bytes) -> HandoffMessage:
        """Parse a message. Raises MessageError."""
        try:
            message = json.loads(data)
            opened = message.get("opened")
            return cls(
                decode_bytes(message["in"]),
                None if opened is None else float(opened),
                decode_established(message) if "line" in message else None,
                decode_resumption(message) if "answer_by" in message else None,
            )
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise MessageError(repr(error)) from error


def decode_established(message: dict[str, Any]) -> EstablishedPart:
    """Parse the part on an established connection. Raises ValueError, KeyError, TypeError, AttributeError."""
    said, ends = str(message["said"]), message.get("ends")
    request_line = lines.parse_request_line(message["line"].encode())
    request_line.number("g", 16)
    return EstablishedPart(
        request_line,
        str(message["server"]),
        lines.parse_address(message["place"]),
        float(message["sent"]),
        tuple(float(when) for when in message["asked"]),
        AnnouncedEnd(said, None if ends is None else float(ends)) if said else None,
        decode_bytes(message["back"]),
    )


def decode_resumption(message: dict[str, Any]) -> ResumptionPart:
    """Parse the part on a resumed connection. Raises ValueError or TypeError."""
    return ResumptionPart(float(message["answer_by"]), bool(message.get("may_have_run")))


def encode_bytes(data: bytes) -> str:
    """Format bytes for the message."""
    return base64.b64encode(data).decode()


def decode_bytes(text: str) -> bytes:
    """Reverse `encode_bytes`. Raises ValueError, also for more bytes than a receive buffer holds."""
    data = base64.b64decode(text, validate=True)
    if len(data) > RECEIVE_BUFFER_BYTES:
        raise ValueError(f"{len(data)} unread bytes")
    return data
