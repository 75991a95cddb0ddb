"""The forms on the sockets: lines of clients and servers, entries of the list, HTTP answers.

Owns parsing and writing of text, from bytes to plain values and back. It never reads or writes a socket,
keeps no state of a connection but the part of an HTTP answer that is still to come, and decides nothing.
"""

from __future__ import annotations

import hashlib
import json
import math
import re
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from bellrack import model

STATES = {"in_service": model.READY, "terminating": model.DRAINING, "terminated": model.GONE}
ANSWERS = {
    "UP": "up",
    "BYE": model.COMPLETED,
    "MOVE": model.CANCELLED,
    "ERR": model.ERROR,
    "BUSY": model.FULL,
}
MAX_DISCOVERY_BYTES = 1 << 22  # bytes of one line or head of discovery
DIGITS = 16  # of a number on a line
MAX_LINE_BYTES = 4096  # bytes of a line of clients and servers, its end included
# Printable but for the comma, and for the name no equals sign; names of other tongues come as UTF-8.
PAIR = rb"[!-+\--<>-~\x80-\xff]+=[!-+\--~\x80-\xff]*"
STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')  # of JSON; none goes over the end of a line
REQUEST_LINE = re.compile(rb"OPEN ([!-~]+) ([0-9A-Fa-f]{1,16}) (%b(?:,%b)*)\r\n" % (PAIR, PAIR))


class LineError(ValueError):
    """Input that is not as the pages have it; the text is a reason code."""


@dataclass
class RequestLine:
    """An OPEN line: its own bytes, and what it says."""

    line: bytes
    id: str
    key: int
    values: dict[str, str]

    def number(self, name: str, base: int = 10) -> int | None:
        if name not in self.values:
            return None
        try:
            if self.values[name].isalnum() and len(self.values[name]) <= DIGITS:
                return int(self.values[name], base)
        except ValueError:
            pass
        raise LineError(f"bad-{name}")


def id_hash(name: str) -> int:
    """The same number for a server at every balancer and start; the interpreter's own hash is not."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


def parse_request_line(line: bytes) -> RequestLine:
    """Strict, since the line goes on to a server as it is."""
    form = REQUEST_LINE.fullmatch(line)
    if not form or len(line) > MAX_LINE_BYTES:
        raise LineError("not-open")
    try:
        name, key, pairs = (part.decode() for part in form.groups())
    except UnicodeDecodeError:
        raise LineError("not-utf-8") from None
    values = dict(pair.split("=", 1) for pair in pairs.split(","))
    if len(values) != pairs.count(",") + 1:
        raise LineError("named-twice")
    return RequestLine(line, name, int(key, 16), values)


def is_resumed_request(data: bytes) -> bool:
    """Do these bytes, whole lines or not, begin a resumed connection?"""
    return any(
        line.startswith(b"OPEN ") and (b" at=" in line or b",at=" in line) for line in data.split(b"\n")
    )


def with_remaining_wait(asked: RequestLine, seconds: float) -> bytes:
    """The line as it goes on: unchanged, but for how long we will wait."""
    if "d" not in asked.values:
        return asked.line
    head, space, pairs = asked.line.removesuffix(b"\r\n").rpartition(b" ")
    wait = b"d=%d" % max(1, int(seconds * 1000))
    kept = [wait if pair.startswith(b"d=") else pair for pair in pairs.split(b",")]
    return head + space + b",".join(kept) + b"\r\n"


def parse_server_line(line: bytes) -> tuple[str, str]:
    """What a server's line means, '' for none of the known, and the rest of it."""
    word, _, rest = line.decode("ascii", "replace").strip().partition(" ")
    return ANSWERS.get(word, ""), rest


def busy_line(wait: float) -> bytes:
    return b"BUSY %d\r\n" % int(wait * 1000) if wait > 0 else b"BUSY\r\n"


@dataclass
class Entry:
    """A server as the list has it."""

    name: str
    address: tuple[str, int] | None  # a server that is gone needs none
    zone: str
    row: tuple[str, int, float | None, float]  # state, cell, weight (none if it is no figure), start
    machine: str


@dataclass
class Listing:
    version: int
    whole: bool
    entries: list[Entry]


def parse_list(raw: Any) -> Listing:
    """A list or the changes of one, from its JSON object."""
    try:
        return Listing(
            int(raw["generation"]), bool(raw["reset"]), [parse_entry(item) for item in raw["instances"]]
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise LineError(f"bad-list: {error!r}") from None


def list_message(rows: Iterable[tuple], version: int = 0, whole: bool = True) -> dict[str, Any]:
    """A list, or changes of one, in the form that `listing` reads, from rows of what an entry has."""
    states = {state: word for word, state in STATES.items()}
    return {
        "generation": version,
        "reset": whole,
        "instances": [
            {
                "instanceId": name,
                "hostPort": format_address(place) if place else "",
                "zone": zone,
                "lifecycle": states[state],
                "cell": cell,
                "weight": weight,
                "startedAtMs": since * 1000,
                "machineType": kind,
            }
            for name, place, zone, state, cell, weight, since, kind in rows
        ],
    }


def update_message(news: Listing) -> dict[str, Any]:
    """News of discovery in the form in which they came."""
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
    """One server. Guards against a list lost for one entry: in a state that we do not know it gets nothing
    new, and one that is gone needs no address."""
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


def parse_number(told: Any) -> float | None:
    """A number, nought or more and finite; None for whatever else a line or a list may hold."""
    try:
        number = float(told)
    except (TypeError, ValueError, OverflowError):
        return None
    return number if 0 <= number < math.inf and not isinstance(told, bool) else None


def parse_report(line: bytes, count: int) -> tuple[float, ...] | None:
    """The values of a load report, `PONG` before them or not; nothing if one is missing or no figure."""
    values = tuple(map(parse_number, line.removeprefix(b"PONG").split()))
    return values if len(values) == count and None not in values else None


def parse_address(text: str) -> tuple[str, int]:
    host, colon, port = text.rpartition(":")
    if not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"no address: {text!r}")
    return host, int(port)


def format_address(place: tuple[str, int]) -> str:
    return f"{place[0]}:{place[1]}"


class HttpResponseReader:
    """An HTTP/1.1 answer as it comes in: `feed` returns what the bytes add to the body."""

    def __init__(self) -> None:
        self.rest = bytearray()
        self.status = 0
        self.chunked = self.done = False
        self.left: int | None = None  # of the body or the chunk; None: until the end of the connection

    def feed(self, data: bytes) -> bytes:
        self.rest += data
        body = b""
        while not self.done:
            if not self.status:
                if not self._head():
                    break
            elif self.left is None and not self.chunked:
                body += self._cut(len(self.rest))
                break
            elif self.left:
                part = self._cut(min(self.left, len(self.rest)))
                if not part:
                    break
                body += part
                self.left -= len(part)
                self.done = not self.left and not self.chunked
            elif not self._chunk():
                break
        if len(self.rest) > MAX_DISCOVERY_BYTES:
            raise LineError("too-long")
        return body

    def _cut(self, count: int) -> bytes:
        part = bytes(self.rest[:count])
        del self.rest[:count]
        return part

    def _line(self) -> bytes | None:
        at = self.rest.find(b"\r\n")
        return self._cut(at + 2)[:-2] if at >= 0 else None

    def _head(self) -> bool:
        at = self.rest.find(b"\r\n\r\n")
        if at < 0:
            return False
        first, *fields = self._cut(at + 4)[:-4].decode("latin-1").split("\r\n")
        words = first.split(" ", 2)
        if len(words) < 2 or not words[0].startswith("HTTP/1.") or not words[1].isdigit():
            raise LineError("not-http")
        if words[1].startswith("1"):
            return True  # an interim answer; the real one follows
        self.status = int(words[1])
        named = {name.strip().lower(): value.strip() for name, _, value in (f.partition(":") for f in fields)}
        self.chunked = named.get("transfer-encoding", "").lower() == "chunked"
        length = named.get("content-length", "")
        if self.chunked:
            self.left = 0
        elif length.isdigit():
            self.left = int(length)
            self.done = not self.left
        elif length:
            raise LineError("bad-length")
        return True

    def _chunk(self) -> bool:
        """The line before a chunk; the one that ends the chunk before it is empty."""
        line = self._line()
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
    """JSON objects as they come in by lines, each on one line or indented over several."""

    def __init__(self) -> None:
        self.text, self.depth = b"", 0

    def feed(self, line: bytes) -> Any:
        """A line, its end included: the object that it makes whole, or None. Raises LineError for what is no
        JSON. An empty line between two objects is nothing."""
        self.text += line
        bare = STRING.sub(b"", line)
        self.depth += sum(map(bare.count, (b"{", b"["))) - sum(map(bare.count, (b"}", b"]")))
        if self.depth > 0:
            if len(self.text) > MAX_DISCOVERY_BYTES:
                raise LineError("too-long")
            return None
        text, self.text, self.depth = self.text, b"", 0
        return parse_json(text) if text.strip() else None

    @property
    def whole(self) -> bool:
        """Is there nothing of an object that has not ended?"""
        return not self.text


def parse_json(text: bytes) -> Any:
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        raise LineError("not-json") from None
