"""Two processes that are one balancer for a while: a new version is started beside the one that serves.

Owns the Unix socket between them, the passing of the listening socket, and what each tells the other until
one is gone. It never decides, never moves a connection that stands, and takes a process of another user for
nobody. Without the other process all is as if there were none.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import hashlib
import json
import os
import socket
import struct
from typing import Any

from bellrack.net import handoff, log, transient

PATIENCE = 1.0  # seconds that the one that starts waits for the one that serves
TELL_EVERY = 0.25  # seconds between figures told to the other
BUSY = b'{"busy": true}\n'  # to a process that comes while there is a sibling already
MAX_MESSAGE_BYTES = 1 << 24  # bytes of one message: 3,200 servers make 1.5 MB
VERSION = 1  # of what is told with the door; what is unknown in it is left
PART = 65536  # bytes read at one go


def socket_path(name: str, listen: tuple[str, int]) -> str | None:
    """Where the two meet: common to both processes, and short enough for the kernel; None for nowhere."""
    folder = os.environ.get("TMPDIR")
    if not folder:
        return None
    mark = hashlib.blake2b(f"{name} {listen}".encode(), digest_size=8).hexdigest()
    path = os.path.join(folder, f"bellrack-{mark}")
    return path if len(path.encode()) < 100 else None


def same_user(sock: socket.socket) -> bool:
    """Guards against whoever else can write to the folder and would be handed our door."""
    _, user, _ = struct.unpack("3i", sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
    return user == os.geteuid()


class BusyError(Exception):
    """The process that serves has a sibling already."""


class Predecessor:
    """The process that serves, as the one that starts finds it: its door, what it told, and bytes of what it
    has begun to say after that."""

    def __init__(
        self,
        sock: socket.socket,
        listening_socket: socket.socket,
        handoff_socket: socket.socket | None,
        told: dict,
        rest: bytes = b"",
    ):
        self.sock, self.listening_socket, self.handoff_socket, self.told, self.rest = (
            sock,
            listening_socket,
            handoff_socket,
            told,
            rest,
        )


def connect_to_predecessor(path: str) -> Predecessor | None:
    """Ask the process that serves for its door; None if there is none, or it does not answer in time. Raises
    BusyError if it says so, or has closed its meeting place just now: another process may be found there.
    Raises OSError for what passes on our own machine."""
    sock = socket.socket(socket.AF_UNIX)
    fds: list[int] = []
    try:
        sock.settimeout(PATIENCE)
        sock.connect(path)
        if not same_user(sock):
            raise OSError("another user's")
        text = b""
        while b"\n" not in text:  # what it says next may come in the same read
            part, got, _, _ = socket.recv_fds(sock, PART, 2)
            fds += got
            text += part
            if not part and text:
                raise BusyError  # cut off in the middle: it has ended, or says so
            if not part or len(text) > MAX_MESSAGE_BYTES:
                raise OSError("cut off")
        text, _, rest = text.partition(b"\n")
        told = json.loads(text)
        if isinstance(told, dict) and told.get("busy"):
            raise BusyError
        if not fds or not isinstance(told, dict):
            raise OSError("no door came")
        door, *ways = (socket.socket(fileno=fd) for fd in fds)
        return Predecessor(sock, door, ways[0] if ways else None, told, rest)
    except (OSError, ValueError, BusyError) as error:
        if isinstance(error, BusyError | ConnectionResetError) and not fds:
            sock.close()
            raise BusyError from error
        if isinstance(error, OSError) and transient.is_transient(error) and not fds:
            sock.close()
            raise
        if not isinstance(error, FileNotFoundError | ConnectionRefusedError):
            log.event("handover", taken="nothing", error=repr(error))
        sock.close()
        for fd in fds:
            os.close(fd)
        return None


class Sibling(asyncio.Protocol):
    """The other process of this balancer, while there is one: a message is a line, one JSON object."""

    def __init__(
        self,
        node: Any,
        handoff_sender: handoff.HandoffSender | None = None,
        early: bytes = b"",
        unsent: bytes = b"",
    ):
        self.node, self.handoff_sender, self.rest = (
            node,
            handoff_sender,
            b"",
        )  # the way over, where it came after us
        self.early = early  # bytes of it that were read with the door
        self.unsaid = unsent  # until the connection is up
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.node.limits.count_descriptors(1)
        transport.write(self.unsaid)
        self.held()
        self.data_received(self.early)

    def data_received(self, data: bytes) -> None:
        *whole, self.rest = (self.rest + data).split(b"\n")
        if len(self.rest) > MAX_MESSAGE_BYTES:
            self.transport.abort()
        for line in whole:
            try:
                said = json.loads(line)
            except ValueError:
                said = None
            if isinstance(said, dict):
                self.node.queue(self.node.hot_restart.on_message, said, first=True)

    def connection_lost(self, error: Exception | None) -> None:
        self.node.limits.count_descriptors(-1)
        self.node.queue(self.node.hot_restart.on_sibling_lost, self)

    def send(self, **words: Any) -> None:
        line = json.dumps(words).encode() + b"\n"
        if self.transport is None:
            self.unsaid += line  # guards against what operators say between the door's way over and this
        elif not self.transport.is_closing():
            self.transport.write(line)

    def close(self) -> None:
        if self.transport:
            self.transport.close()
        if self.handoff_sender:
            self.handoff_sender.close()

    def held(self) -> None:
        """Descriptors count together, so each knows what the other holds."""
        if not self.transport.is_closing():
            self.send(
                held=self.node.limits.descriptors,
                passed=self.handoff_sender.descriptors_passed if self.handoff_sender else 0,
            )
            self.node.loop.call_later(TELL_EVERY, self.held)


class SuccessorSocket:
    """The place where the process that comes after us finds us."""

    def __init__(self, node: Any, path: str):
        self.node, self.path = node, path
        # What lies there is of a process that is gone or has handed over: bound aside and moved in its place.
        aside = f"{path}.{os.getpid()}"
        with contextlib.suppress(FileNotFoundError):
            os.unlink(aside)
        self.sock = socket.socket(socket.AF_UNIX)
        self.sock.setblocking(False)
        try:
            self.sock.bind(aside)
            os.chmod(aside, 0o600)
            self.sock.listen(1)
            os.rename(aside, path)
            self.inode = os.stat(path).st_ino
        except OSError:
            self.sock.close()
            with contextlib.suppress(OSError):
                os.unlink(aside)
            raise
        node.limits.count_descriptors(1)
        node.loop.add_reader(self.sock.fileno(), self.on_connection)

    def on_connection(self) -> None:
        try:
            sock, _ = self.sock.accept()
        except OSError:
            return
        try:
            if not same_user(sock):
                raise OSError("of another user")
            if self.node.hot_restart.sibling:
                self.node.counters["successors_refused"] += 1  # it asks again
                raise OSError(errno.EAGAIN, "another is met already")
            sock.setblocking(False)  # guards against one that connects and reads nothing
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * MAX_MESSAGE_BYTES)
            text = json.dumps(self.node.hot_restart.snapshot()).encode() + b"\n"
            ours, theirs = handoff.socket_pair()
            with theirs:
                fds = [self.node.listeners.socket.fileno(), theirs.fileno()]
                sent = socket.send_fds(sock, [text], fds)  # what it does not take at once follows
        except OSError as error:
            log.event("handover", given="nothing", error=error)
            if error.errno == errno.EAGAIN or transient.is_transient(error):
                with contextlib.suppress(OSError):
                    sock.sendall(BUSY)
            sock.close()
            return
        self.node.hot_restart.connect(sock, handoff.HandoffSender(self.node, ours), unsent=text[sent:])

    def leave(self) -> None:
        """Nothing is left behind, but for the place of a process that came after us."""
        with contextlib.suppress(OSError):
            if os.stat(self.path).st_ino == self.inode:
                os.unlink(self.path)

    def close(self) -> None:
        self.node.loop.remove_reader(self.sock.fileno())
        self.sock.close()
        self.node.limits.count_descriptors(-1)
