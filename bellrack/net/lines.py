"""Formats on the sockets: lines of clients and servers, lists of servers, HTTP responses.

Parses bytes into plain values and formats them. Pure: no I/O, and no state beyond the parts of an HTTP
response or a JSON object that are not complete yet.
"""

from __future__ import annotations

import functools
import hashlib
import json
import math
import re
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from bellrack import model

STATES = {"in_service": model.READY, "terminating": model.DRAINING, "terminated": model.GONE}
RESULT_OF_WORD = {
    "UP": "up",
    "BYE": model.COMPLETED,
    "MOVE": model.CANCELLED,
    "ERR": model.ERROR,
    "BUSY": model.FULL,
}
MAX_DISCOVERY_BYTES = 1 << 22  # of one line of a response of discovery
MAX_DISCOVERY_HEAD_BYTES = 1 << 14  # its fields are parsed all at once, at many times their size
MAX_NUMBER_DIGITS = 16  # of a number on a request line
MAX_LINE_BYTES = 4096  # of a line of clients and servers, its end included
# PROTOCOL.md: class, tenant, wait, group, retry, came again, resumed at. Others only go on to the server.
READ_FIELDS = frozenset(("c", "t", "d", "g", "r", "again", "at"))
# A name and a value of printable characters without commas, the name without equals signs. Bytes from 0x80 on
# are allowed, since names in other scripts come as UTF-8.
PAIR = rb"[!-+\--<>-~\x80-\xff]+=[!-+\--~\x80-\xff]*"
JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')  # never contains the end of a line
REQUEST_LINE = re.compile(rb"OPEN ([!-~]+) ([0-9A-Fa-f]{1,16}) (%b(?:,%b)*)\r\n" % (PAIR, PAIR))


class LineError(ValueError):
    """Malformed input; the message is a reason code, which is logged."""


@dataclass
class RequestLine:
    """A request line (OPEN): its bytes, and the fields of it that the balancer reads (READ_FIELDS).

    It stays in memory for as long as its connection is open. A line may have hundreds of further fields."""

    line: bytes
    id: str
    key: int
    values: dict[str, str]

    @functools.cached_property
    def id_hash(self) -> int:
        """The hash of the id, the same at both processes of a hot restart."""
        return id_hash(self.id)

    def number(self, name: str, base: int = 10) -> int | None:
        """Returns the value of `name` as a number; None if the line has no such name.

        Raises LineError if the value is no number or has over MAX_NUMBER_DIGITS digits."""
        if name not in self.values:
            return None
        try:
            if self.values[name].isalnum() and len(self.values[name]) <= MAX_NUMBER_DIGITS:
                return int(self.values[name], base)
        except ValueError:
            pass
        raise LineError(f"bad-{name}")


def id_hash(name: str) -> int:
    """Hashes a name to 64 bits. Unlike `hash()`, all balancers get the same result, also after a restart."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


def parse_request_line(line: bytes) -> RequestLine:
    """Parses a client's request line. Strict, since the line is forwarded to a server unchanged.

    Raises LineError."""
    match = REQUEST_LINE.fullmatch(line)
    if not match or len(line) > MAX_LINE_BYTES:
        raise LineError("not-open")
    try:
        name, key, pairs = (part.decode() for part in match.groups())
    except UnicodeDecodeError:
        raise LineError("not-utf-8") from None
    fields = [pair.split("=", 1) for pair in pairs.split(",")]
    if len({field for field, _ in fields}) != len(fields):
        raise LineError("named-twice")
    values = {field: value for field, value in fields if field in READ_FIELDS}
    return RequestLine(line, name, int(key, 16), values)


def is_resumed_request(data: bytes) -> bool:
    """Whether these bytes, which may end within a line, contain the request line of a resumed connection."""
    return any(
        line.startswith(b"OPEN ") and (b" at=" in line or b",at=" in line) for line in data.split(b"\n")
    )


def with_remaining_wait(request: RequestLine, seconds: float) -> bytes:
    """Returns the line to forward: unchanged, but a wait (`d`) becomes `seconds`."""
    if "d" not in request.values:
        return request.line
    head, space, pairs = request.line.removesuffix(b"\r\n").rpartition(b" ")
    wait = b"d=%d" % max(1, int(seconds * 1000))
    pairs_to_send = [wait if pair.startswith(b"d=") else pair for pair in pairs.split(b",")]
    return head + space + b",".join(pairs_to_send) + b"\r\n"


def parse_server_line(line: bytes) -> tuple[str, str]:
    """Returns the result that the first word of a server's line means ("" if unknown), and the rest."""
    word, _, rest = line.decode("ascii", "replace").strip().partition(" ")
    return RESULT_OF_WORD.get(word, ""), rest


def busy_line(wait: float) -> bytes:
    """Formats BUSY with the wait in seconds after which the client should retry; without one if it is 0."""
    return b"BUSY %d\r\n" % int(wait * 1000) if wait > 0 else b"BUSY\r\n"


@dataclass
class Entry:
    """A server as listed."""

    name: str
    address: tuple[str, int] | None  # None only for a server that is gone
    zone: str
    row: tuple[str, int, float | None, float]  # state, cell, weight (None if it is not a number), start
    machine: str


@dataclass
class Listing:
    """A list of servers, or changes of one (`whole` is False)."""

    version: int
    whole: bool
    entries: list[Entry]


def parse_list(raw: Any) -> Listing:
    """Parses a list, or changes of one, from its JSON object. Raises LineError."""
    try:
        return Listing(
            int(raw["generation"]), bool(raw["reset"]), [parse_entry(item) for item in raw["instances"]]
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise LineError(f"bad-list: {error!r}") from None


def list_message(rows: Iterable[tuple], version: int = 0, whole: bool = True) -> dict[str, Any]:
    """Formats a list, or changes of one, in the form that `parse_list` reads.

    Each row is a name, address, zone, state, cell, weight, start (Unix time in seconds) and machine type."""
    lifecycles = {state: word for word, state in STATES.items()}
    return {
        "generation": version,
        "reset": whole,
        "instances": [
            {
                "instanceId": name,
                "hostPort": format_address(address) if address else "",
                "zone": zone,
                "lifecycle": lifecycles[state],
                "cell": cell,
                "weight": weight,
                "startedAtMs": since * 1000,
                "machineType": kind,
            }
            for name, address, zone, state, cell, weight, since, kind in rows
        ],
    }


def update_message(news: Listing) -> dict[str, Any]:
    """Formats an update of discovery in the form in which it came."""
    rows = (
        (
            e.name,
            e.address,
            e.zone,
            e.row[0],
            e.row[1],
            0.0 if e.row[2] is None else e.row[2],
            e.row[3],
            e.machine,
        )
        for e in news.entries
    )
    return list_message(rows, news.version, news.whole)


def parse_entry(item: Any) -> Entry:
    """Parses one entry.

    A server in an unknown state counts as draining, and one that is gone needs no address: otherwise one such
    entry would make the whole list unusable."""
    state = STATES.get(item["lifecycle"], model.DRAINING)
    if state == model.GONE:
        item = {"hostPort": "", "zone": ""} | item
    since = float(item.get("startedAtMs", 0)) / 1000
    return Entry(
        item["instanceId"],
        parse_address(item["hostPort"]) if item["hostPort"] or state != model.GONE else None,
        item["zone"],
        (
            state,
            int(item.get("cell", 0)),
            parse_number(item.get("weight", 1.0)) or None,
            since if math.isfinite(since) else 0.0,
        ),
        str(item.get("machineType", "")),
    )


def parse_number(value: Any) -> float | None:
    """Returns a finite number of 0 or more; None for anything else that a line or a list may contain."""
    try:
        number = float(value)
    except (TypeError, ValueError, OverflowError):
        return None
    return number if 0 <= number < math.inf and not isinstance(value, bool) else None


def parse_report(line: bytes, count: int) -> tuple[float, ...] | None:
    """Returns the `count` values of a load report, with PONG before them or without; None if malformed."""
    values = tuple(map(parse_number, line.removeprefix(b"PONG").split()))
    return values if len(values) == count and None not in values else None


def parse_address(text: str) -> tuple[str, int]:
    """Parses HOST:PORT. Raises ValueError."""
    host, colon, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"not an address (HOST:PORT): {text!r}")
    return host, int(port)


def format_address(address: tuple[str, int]) -> str:
    """Formats an address as HOST:PORT."""
    return f"{address[0]}:{address[1]}"


class HttpResponseReader:
    """Reads an HTTP/1.1 response as it is received."""

    def __init__(self) -> None:
        self.rest = bytearray()  # received and not parsed yet
        self.status = 0  # 0 until the head is complete
        self.chunked = self.done = False
        self.left: int | None = None  # bytes to come of the body or chunk; None: until the connection ends

    def feed(self, data: bytes) -> bytes:
        """Returns what `data` adds to the body. Raises LineError if the response is malformed or too long."""
        self.rest += data
        body = b""
        while not self.done:
            if not self.status:
                if not self._parse_head():
                    break
            elif self.left is None and not self.chunked:
                body += self._consume(len(self.rest))
                break
            elif self.left:
                part = self._consume(min(self.left, len(self.rest)))
                if not part:
                    break
                body += part
                self.left -= len(part)
                self.done = not self.left and not self.chunked
            elif not self._parse_chunk_line():
                break
        if len(self.rest) > MAX_DISCOVERY_BYTES:
            raise LineError("too-long")
        return body

    def _consume(self, count: int) -> bytes:
        part = bytes(self.rest[:count])
        del self.rest[:count]
        return part

    def _take_line(self) -> bytes | None:
        at = self.rest.find(b"\r\n")
        return self._consume(at + 2)[:-2] if at >= 0 else None

    def _parse_head(self) -> bool:
        """Parses the head; False if it is not complete."""
        at = self.rest.find(b"\r\n\r\n")
        if at > MAX_DISCOVERY_HEAD_BYTES or at < 0 and len(self.rest) > MAX_DISCOVERY_HEAD_BYTES:
            raise LineError("too-long")
        if at < 0:
            return False
        first, *fields = self._consume(at + 4)[:-4].decode("latin-1").split("\r\n")
        words = first.split(" ", 2)
        if len(words) < 2 or not words[0].startswith("HTTP/1.") or not words[1].isdigit():
            raise LineError("not-http")
        if words[1].startswith("1"):
            return True  # an interim response; the final one follows
        self.status = int(words[1])
        headers = {
            name.strip().lower(): value.strip() for name, _, value in (f.partition(":") for f in fields)
        }
        self.chunked = headers.get("transfer-encoding", "").lower() == "chunked"
        length = headers.get("content-length", "")
        if self.chunked:
            self.left = 0
        elif length.isdigit():
            self.left = int(length)
            self.done = not self.left
        elif length:
            raise LineError("bad-length")
        return True

    def _parse_chunk_line(self) -> bool:
        """Parses the line before a chunk, or the empty line that ends one; False if it is not complete."""
        line = self._take_line()
        if line is None:
            return False
        if line:
            try:
                self.left = int(line.split(b";")[0], 16)
            except ValueError:
                raise LineError("bad-chunk") from None
            if self.left < 0:
                raise LineError("bad-chunk")
            self.done = not self.left
        return True


class JsonObjectReader:
    """Reads JSON objects line by line; each may be on one line or indented over several."""

    def __init__(self) -> None:
        self.text, self.depth = b"", 0

    def feed(self, line: bytes) -> Any:
        """Takes a line, its end included, and returns the object that it completes, or None.

        Empty lines between objects are ignored. Raises LineError if the text is not JSON or is too long."""
        self.text += line
        unquoted = JSON_STRING.sub(b"", line)
        self.depth += sum(map(unquoted.count, (b"{", b"["))) - sum(map(unquoted.count, (b"}", b"]")))
        if self.depth > 0:
            if len(self.text) > MAX_DISCOVERY_BYTES:
                raise LineError("too-long")
            return None
        text, self.text, self.depth = self.text, b"", 0
        return parse_json(text) if text.strip() else None

    @property
    def whole(self) -> bool:
        """Whether no object is incomplete."""
        return not self.text


def parse_json(text: bytes) -> Any:
    """Parses JSON. Raises LineError."""
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        raise LineError("not-json") from None
