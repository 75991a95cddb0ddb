"""Parsing of HTTP/1.1 requests and formatting of responses, for one request per connection.

Does no I/O and knows no paths. The size of a request's head and of its body is bounded.
"""

from __future__ import annotations

import re

MAX_HEAD_BYTES = 4096  # the request line and the header fields
MAX_BODY_BYTES = 1024  # a server's id, the only content, is far shorter
REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    411: "Length Required",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    503: "Service Unavailable",
}
EMPTY_LINES = re.compile(rb"(?:\r\n)*")
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class HttpError(ValueError):
    """A request that is answered with the status `status` only."""

    def __init__(self, status: int):
        super().__init__(REASON_PHRASES[status])
        self.status = status


class Request:
    """A parser of one request: `feed` it the received bytes, in pieces of any size, until it is `done`."""

    def __init__(self) -> None:
        self.rest = bytearray()  # received and not parsed yet
        self.method = self.path = ""
        self.body = b""
        self.length = 0
        self.empty_bytes = 0  # of empty lines before the request line
        self.awaits_continue = False  # the client sends the body only after `100 Continue`
        self.done = False

    def feed(self, data: bytes) -> None:
        """Parses further bytes. Raises HttpError for a malformed or too large request."""
        if self.done:
            return  # one request per connection: what follows is ignored
        self.rest += data
        if not self.method:
            self._parse_head()
        if self.method and len(self.rest) >= self.length:
            self.body, self.done = bytes(self.rest[: self.length]), True

    def _parse_head(self) -> None:
        # Empty lines may precede the request line (RFC 9112, 2.2). They count towards the size of the head.
        empty = EMPTY_LINES.match(self.rest).end()
        del self.rest[:empty]
        self.empty_bytes += empty
        if self.empty_bytes > MAX_HEAD_BYTES:
            raise HttpError(431)
        head_end = self.rest.find(b"\r\n\r\n")
        if head_end > MAX_HEAD_BYTES or head_end < 0 and len(self.rest) > MAX_HEAD_BYTES:
            raise HttpError(431)
        if head_end < 0:
            return
        request_line, *fields = self.rest[:head_end].decode("latin-1").split("\r\n")
        del self.rest[: head_end + 4]
        words = request_line.split(" ")
        if len(words) != 3 or not words[0].isalpha() or not words[2].startswith("HTTP/1."):
            raise HttpError(400)
        headers = {}
        for field in fields:
            name, colon, value = field.partition(":")
            if (
                not colon
                or not name
                or name != name.strip()
                or name.lower() in headers
                and name.lower() == "content-length"
            ):
                raise HttpError(400)
            headers[name.lower()] = value.strip()
        if "transfer-encoding" in headers:
            raise HttpError(411)
        length = headers.get("content-length", "0")
        if not (length.isascii() and length.isdigit()):
            raise HttpError(400)
        if len(length) > len(str(MAX_BODY_BYTES)) or int(length) > MAX_BODY_BYTES:
            raise HttpError(413)
        self.length = int(length)
        self.awaits_continue = headers.get("expect", "").lower() == "100-continue"
        self.method, self.path = words[0], words[1].partition("?")[0]


def response(status: int, text: str, allow: str = "") -> bytes:
    """A whole response, after which the connection is closed. `allow`: the methods allowed, with a 405."""
    body, allowed = text.encode(), f"Allow: {allow}\r\n" if allow else ""
    return (
        f"HTTP/1.1 {status} {REASON_PHRASES[status]}\r\nContent-Type: text/plain; charset=utf-8\r\n{allowed}"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    ).encode() + body
