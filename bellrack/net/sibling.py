"""The Unix socket between the two processes of a hot restart, on both sides.

During a hot restart a new process runs beside the one that serves, and the two act as one balancer. This
module finds the serving process (the predecessor), passes its listening socket and its state to the new one
(the successor), and carries the messages between the two until one of them ends. It makes no balancing
decisions and moves no established connection (`handoff.py` does). Processes of other users are refused.
Without a sibling process nothing changes for the balancer.
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

from bellrack.net import handoff, log, order_channel, transient
from bellrack.net.order_channel import OrderChannel, WaitingSuccessor

CONNECT_TIMEOUT_SECONDS = 1.0  # how long a starting process waits for the state of the serving one
DESCRIPTORS_INTERVAL_SECONDS = 0.25  # between two messages with the number of open descriptors
BUSY_MESSAGE = b'{"busy": true}\n'  # to a process that connects while there is a sibling already
MAX_MESSAGE_BYTES = 1 << 24  # of one message: 3,200 servers take 1.5 MB
MAX_WAITING_SUCCESSORS = 4  # processes that may exchange orders with the serving one at the same time
# A sibling that reads nothing while so much waits for it counts as ended. Each request adds some 80 bytes.
MAX_UNSENT_BYTES = 1 << 23
VERSION = 1  # of the state that is passed with the listening socket; unknown keys are ignored
READ_BYTES = 65536  # per receive call


def socket_path(name: str, listen: tuple[str, int]) -> str | None:
    """Return the path of the Unix socket on which a balancer's successor connects.

    `name` and `listen` are those of the configuration: both processes derive the same path from them. None if
    TMPDIR is not set, or the path is too long for the kernel."""
    folder = os.environ.get("TMPDIR")
    if not folder:
        return None
    digest = hashlib.blake2b(f"{name} {listen}".encode(), digest_size=8).hexdigest()
    path = os.path.join(folder, f"bellrack-{digest}")
    return path if len(path.encode()) < 100 else None


def same_user(sock: socket.socket) -> bool:
    """Return whether the process at the other end runs as our user.

    Otherwise anyone who can write to the folder would get our listening socket."""
    _, user, _ = struct.unpack("3i", sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
    return user == os.geteuid()


class BusyError(Exception):
    """The serving process has a sibling already, or is ending: the caller may ask again.

    `channel`: where the caller may exchange operators' orders with it meanwhile, and closes it after that;
    None if it exchanges none."""

    def __init__(self, reason: str, channel: OrderChannel | None = None):
        super().__init__(reason)
        self.channel = channel


class Predecessor:
    """What the serving process passed to a starting one.

    `sock`: the connection to it; `listening_socket`: the clients' listening socket; `handoff_socket`: where
    it hands over connections, None from a version that does not; `state`: its state as a JSON object (see
    `shared_state.py`); `unread`: bytes of later messages that were read along with the state."""

    def __init__(
        self,
        sock: socket.socket,
        listening_socket: socket.socket,
        handoff_socket: socket.socket | None,
        state: dict,
        unread: bytes = b"",
    ):
        self.sock, self.listening_socket, self.handoff_socket, self.state, self.unread = (
            sock,
            listening_socket,
            handoff_socket,
            state,
            unread,
        )


def connect_to_predecessor(path: str) -> Predecessor | None:
    """Ask the serving process for its listening socket and state.

    Returns None if there is no such process, or it does not answer in time. Raises BusyError if it answers
    that it is busy, or ends within its message before a descriptor has come: another process may be found
    there soon. Raises OSError for transient failures of our own machine."""
    sock = socket.socket(socket.AF_UNIX)
    fds: list[int] = []
    try:
        sock.settimeout(CONNECT_TIMEOUT_SECONDS)
        sock.connect(path)
        if not same_user(sock):
            raise OSError("the serving process runs as another user")
        text = b""
        while b"\n" not in text:  # the next message may arrive in the same read
            part, received_fds, _, _ = socket.recv_fds(sock, READ_BYTES, 2)
            fds += received_fds
            text += part
            if not part and text:
                raise BusyError("the serving process has ended or is ending")
            if not part or len(text) > MAX_MESSAGE_BYTES:
                raise OSError("the state of the serving process is missing or too long")
        text, _, unread = text.partition(b"\n")
        state = json.loads(text)
        if isinstance(state, dict) and state.get("busy"):
            channel = order_channel.accept_busy_message(sock, state, unread)
            raise BusyError("the serving process has another sibling", channel)
        if not fds or not isinstance(state, dict):
            raise OSError("the serving process sent no listening socket or no state")
        listening_socket, *handoff_sockets = (socket.socket(fileno=fd) for fd in fds)
        return Predecessor(
            sock, listening_socket, handoff_sockets[0] if handoff_sockets else None, state, unread
        )
    except (OSError, ValueError, BusyError) as error:
        if isinstance(error, BusyError) and error.channel:
            raise
        if isinstance(error, BusyError | ConnectionResetError) and not fds:
            sock.close()
            raise BusyError(str(error)) from error
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
    """The connection to the other process of a hot restart. Each message is a line with one JSON object.

    `handoff_sender`: hands connections to the sibling, where that is our successor; `unread`: bytes of its
    messages that were read with its state; `unsent`: bytes to write first."""

    def __init__(
        self,
        node: Any,
        handoff_sender: handoff.HandoffSender | None = None,
        unread: bytes = b"",
        unsent: bytes = b"",
    ):
        self.node, self.handoff_sender, self.rest = node, handoff_sender, b""
        self.unread = unread
        self.unsent = unsent  # written once the transport is there
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.node.limits.count_descriptors(1)
        transport.write(self.unsent)
        self.send_descriptors()
        self.data_received(self.unread)

    def data_received(self, data: bytes) -> None:
        *complete_lines, self.rest = (self.rest + data).split(b"\n")
        if len(self.rest) > MAX_MESSAGE_BYTES:
            self.transport.abort()
        for line in complete_lines:
            try:
                message = json.loads(line)
            except ValueError:
                message = None
            if isinstance(message, dict):
                self.node.queue(self.node.hot_restart.on_message, message, first=True)

    def connection_lost(self, error: Exception | None) -> None:
        self.node.limits.count_descriptors(-1)
        self.node.queue(self.node.hot_restart.on_sibling_lost, self)

    def send(self, **words: Any) -> None:
        """Send one message; the keywords are the keys of its JSON object.

        Before the transport is there, messages are kept: operators may give orders between the transfer of
        the listening socket and that moment."""
        line = json.dumps(words).encode() + b"\n"
        if self.transport is None:
            self.unsent += line
        elif not self.transport.is_closing():
            self.transport.write(line)
            if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
                log.event("handover", given_up="sibling", unsent=self.transport.get_write_buffer_size())
                self.transport.abort()

    def close(self) -> None:
        if self.transport:
            self.transport.close()
        if self.handoff_sender:
            self.handoff_sender.close()

    def send_descriptors(self) -> None:
        """Send the sibling the number of descriptors that this process has open, at regular intervals.

        The limit holds for both processes together, so each has to know the other's count."""
        if not self.transport.is_closing():
            self.send(
                held=self.node.limits.descriptors,
                passed=self.handoff_sender.descriptors_passed if self.handoff_sender else 0,
            )
            self.node.loop.call_later(DESCRIPTORS_INTERVAL_SECONDS, self.send_descriptors)


class SuccessorSocket:
    """The Unix socket on which a successor process connects.

    Raises OSError if the socket cannot be opened at this path."""

    def __init__(self, node: Any, path: str):
        self.node, self.path = node, path
        # Processes that wait for their turn and are connected, with the task that connects each.
        self.waiting: dict[WaitingSuccessor, asyncio.Task] = {}
        # A file at this path belongs to a process that has ended or has been succeeded. The socket is bound
        # under a temporary name and renamed, which replaces such a file atomically.
        temporary_path = f"{path}.{os.getpid()}"
        with contextlib.suppress(FileNotFoundError):
            os.unlink(temporary_path)
        self.sock = socket.socket(socket.AF_UNIX)
        self.sock.setblocking(False)
        try:
            self.sock.bind(temporary_path)
            os.chmod(temporary_path, 0o600)
            self.sock.listen(1)
            os.rename(temporary_path, path)
            self.inode = os.stat(path).st_ino
        except OSError:
            self.sock.close()
            with contextlib.suppress(OSError):
                os.unlink(temporary_path)
            raise
        node.limits.count_descriptors(1)
        node.loop.add_reader(self.sock.fileno(), self.on_connection)

    def on_connection(self) -> None:
        """Accept a successor; send it the state, the listening socket and a socket for handed-over
        connections.

        If there is a sibling already, the successor is told so, and asks again: see `exchange_orders`."""
        try:
            sock, _ = self.sock.accept()
        except OSError:
            return
        try:
            if not same_user(sock):
                raise OSError("the connecting process runs as another user")
            sock.setblocking(False)  # otherwise a process that connects and reads nothing would block us
            if self.node.hot_restart.sibling:
                self.node.counters["successors_refused"] += 1  # the refused process asks again
                self.exchange_orders(sock)
                return
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * MAX_MESSAGE_BYTES)
            text = json.dumps(self.node.hot_restart.snapshot()).encode() + b"\n"
            ours, theirs = handoff.socket_pair()
            with theirs:
                fds = [self.node.listeners.socket.fileno(), theirs.fileno()]
                sent = socket.send_fds(sock, [text], fds)  # the rest of the text is sent by the transport
        except OSError as error:
            log.event("handover", given="nothing", error=error)
            if error.errno == errno.EAGAIN or transient.is_transient(error):
                with contextlib.suppress(OSError):
                    sock.sendall(BUSY_MESSAGE)
            sock.close()
            return
        self.node.hot_restart.connect(sock, handoff.HandoffSender(self.node, ours), unsent=text[sent:])

    def exchange_orders(self, sock: socket.socket) -> None:
        """Tell a process that it has to wait, and exchange operators' orders with it.

        It does not serve yet, but operators call it already. Raises OSError if too many processes wait."""
        if len(self.waiting) >= MAX_WAITING_SUCCESSORS:
            raise OSError(errno.EAGAIN, "another is met already, and many wait")
        waiting = WaitingSuccessor(self.node, self.on_exchange_ended)
        self.waiting[waiting] = self.node.loop.create_task(waiting.run(sock))

    def on_exchange_ended(self, waiting: WaitingSuccessor) -> None:
        """The connection to a process that waits has ended."""
        self.waiting.pop(waiting, None)

    def remove_file(self) -> None:
        """Remove the socket's file, unless a successor has replaced it with its own."""
        with contextlib.suppress(OSError):
            if os.stat(self.path).st_ino == self.inode:
                os.unlink(self.path)

    def close(self) -> None:
        """Close the socket. Its file stays."""
        self.node.loop.remove_reader(self.sock.fileno())
        self.sock.close()
        for waiting in list(self.waiting):
            waiting.abort()
        self.node.limits.count_descriptors(-1)
