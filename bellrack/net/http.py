"""HTTP/1.1 requests as they come in, and answers as they go out.

Owns the form of both, for callers that ask one thing a connection. It never touches a socket, knows no path,
and holds no more than a head and a body of bounded size.
"""

from __future__ import annotations

MAX_HEAD_BYTES = 4096  # bytes of the request line and the fields
MAX_BODY_BYTES = 1024  # bytes; an id is far shorter
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
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class HttpError(ValueError):
    """A request that is answered by this status and nothing else."""

    def __init__(self, status: int):
        super().__init__(REASON_PHRASES[status])
        self.status = status


class Request:
    """One request: `feed` it what comes, in pieces of any size, until it is done."""

    def __init__(self) -> None:
        self.rest = bytearray()
        self.method = self.path = ""
        self.body = b""
        self.length = 0
        self.awaits_continue = False  # the caller sends its body only when told to go on
        self.done = False

    def feed(self, data: bytes) -> None:
        if self.done:
            return  # one call to a connection: what follows is nobody's
        self.rest += data
        if not self.method:
            self._head()
        if self.method and len(self.rest) >= self.length:
            self.body, self.done = bytes(self.rest[: self.length]), True

    def _head(self) -> None:
        while self.rest.startswith(b"\r\n"):
            del self.rest[:2]  # an empty line or two may come first (RFC 9112, 2.2)
        at = self.rest.find(b"\r\n\r\n")
        if at > MAX_HEAD_BYTES or at < 0 and len(self.rest) > MAX_HEAD_BYTES:
            raise HttpError(431)
        if at < 0:
            return
        first, *fields = self.rest[:at].decode("latin-1").split("\r\n")
        del self.rest[: at + 4]
        words = first.split(" ")
        if len(words) != 3 or not words[0].isalpha() or not words[2].startswith("HTTP/1."):
            raise HttpError(400)
        named = {}
        for field in fields:
            name, colon, value = field.partition(":")
            if (
                not colon
                or not name
                or name != name.strip()
                or name.lower() in named
                and name.lower() == "content-length"
            ):
                raise HttpError(400)
            named[name.lower()] = value.strip()
        if "transfer-encoding" in named:
            raise HttpError(411)
        length = named.get("content-length", "0")
        if not (length.isascii() and length.isdigit()):
            raise HttpError(400)
        if len(length) > len(str(MAX_BODY_BYTES)) or int(length) > MAX_BODY_BYTES:
            raise HttpError(413)
        self.length = int(length)
        self.awaits_continue = named.get("expect", "").lower() == "100-continue"
        self.method, self.path = words[0], words[1].partition("?")[0]


def response(status: int, text: str, allow: str = "") -> bytes:
    """A whole answer; the connection ends after it."""
    body, allowed = text.encode(), f"Allow: {allow}\r\n" if allow else ""
    return (
        f"HTTP/1.1 {status} {REASON_PHRASES[status]}\r\nContent-Type: text/plain; charset=utf-8\r\n{allowed}"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    ).encode() + body
