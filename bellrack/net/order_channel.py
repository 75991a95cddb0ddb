"""The exchange of operators' orders between a process that waits for its turn and the serving process.

During a hot restart the serving process has one sibling. A further process that connects is told to ask again
later. Operators may call that process meanwhile, so each time it asks, the two processes exchange the orders
that they lack. The messages are lines with one JSON object each:

    serving to waiting    {"busy": true, "orders": [[NAME, DETACH, ORDERED_AT], ...]}
    waiting to serving    {"orders": [[NAME, DETACH, ORDERED_AT, LISTED], ...]}
    serving to waiting    {"unknown": [NAME, ...]}

The waiting process closes the connection after the first message if it has nothing to send, the serving one
closes it after the third. A process of an older release sends a first message without orders, and closes.
"""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

from bellrack.net.fact_versions import CordonOrder, OrderSource

EXCHANGE_SECONDS = 1.0  # the serving process closes an exchange that takes longer
MAX_MESSAGE_BYTES = 1 << 20  # orders for 3,200 servers take some 200 KB
READ_BYTES = 65536  # per receive call


@dataclass(frozen=True)
class OrderOffer:
    """An order that the waiting process sends. `listed`: it knows the server."""

    order: CordonOrder
    listed: bool


def encode_line(message: dict[str, Any]) -> bytes:
    """Return a message as a line."""
    return json.dumps(message).encode() + b"\n"


def offers_message(offers: Iterable[OrderOffer]) -> dict[str, Any]:
    """Return the message of a waiting process."""
    return {"orders": [[*offer.order.to_row(), offer.listed] for offer in offers]}


def parse_offers(line: bytes) -> list[OrderOffer]:
    """Parse the message of a waiting process. Raises ValueError, TypeError or KeyError."""
    rows = json.loads(line)["orders"]
    return [OrderOffer(CordonOrder.from_row(row), bool(listed)) for *row, listed in rows]


class OrderChannel:
    """The waiting process's end of an exchange. Its socket blocks: `send` runs in a thread.

    `orders`: those that the serving process holds; `unread`: bytes that were read after them."""

    def __init__(self, sock: socket.socket, orders: list[CordonOrder], unread: bytes):
        self.sock, self.orders, self.unread = sock, orders, unread

    def send(self, offers: list[OrderOffer]) -> frozenset[str]:
        """Send orders; return once the serving process has applied them.

        Returns the names of the servers that neither process knows: orders for these are not applied. Raises
        OSError or ValueError if no answer comes."""
        self.sock.sendall(encode_line(offers_message(offers)))
        answer = self.unread
        while b"\n" not in answer:
            part = self.sock.recv(READ_BYTES)
            if not part or len(answer) > MAX_MESSAGE_BYTES:
                raise ValueError("the answer of the serving process is incomplete or too long")
            answer += part
        message = json.loads(answer.partition(b"\n")[0])
        if not isinstance(message, dict) or not isinstance(message.get("unknown"), list):
            raise ValueError("the answer of the serving process is malformed")
        return frozenset(map(str, message["unknown"]))

    def close(self) -> None:
        """End the exchange."""
        self.sock.close()


def accept_busy_message(sock: socket.socket, message: dict[str, Any], unread: bytes) -> OrderChannel | None:
    """Return the waiting process's end of an exchange whose first message has arrived on this socket.

    Returns None if the serving process exchanges no orders."""
    try:
        return OrderChannel(sock, [CordonOrder.from_row(row) for row in message["orders"]], unread)
    except (KeyError, TypeError, ValueError):
        return None


class WaitingSuccessor(asyncio.Protocol):
    """The serving process's end of an exchange. `on_closed` is called once it has ended."""

    def __init__(self, node: Any, on_closed: Callable[[WaitingSuccessor], None]):
        self.node, self.on_closed = node, on_closed
        self.received = b""
        self.answered = False
        self.aborted = False  # also before there is a transport
        self.transport: Any = None
        self.expiry: asyncio.TimerHandle | None = None

    async def run(self, sock: socket.socket) -> None:
        """Attach the accepted socket."""
        self.node.limits.count_descriptors(1)
        try:
            await self.node.loop.create_unix_connection(lambda: self, sock=sock)
        except OSError as error:
            sock.close()
            self.connection_lost(error)

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        if self.aborted:
            transport.abort()
            return
        self.expiry = self.node.loop.call_later(EXCHANGE_SECONDS, transport.abort)
        orders = [order.to_row() for order in self.node.server_list.orders.values()]
        transport.write(encode_line({"busy": True, "orders": orders}))

    def data_received(self, data: bytes) -> None:
        self.received += data
        line, end, _ = self.received.partition(b"\n")
        if end and not self.answered:
            self.answered = True
            self.node.queue(self.apply, line, first=True)
        elif len(self.received) > MAX_MESSAGE_BYTES:
            self.transport.abort()

    def apply(self, line: bytes) -> None:
        """Apply the orders of the waiting process, here and at our own sibling, then answer."""
        try:
            offers = parse_offers(line)
        except (ValueError, TypeError, KeyError):
            self.transport.abort()
            return
        unknown = []
        for offer in offers:
            if offer.listed or self.node.server_list.knows(offer.order.name):
                self.node.server_list.on_order(offer.order, OrderSource.WAITING)
                self.node.hot_restart.publish_order(offer.order)
            else:
                unknown.append(offer.order.name)
        self.transport.write(encode_line({"unknown": unknown}))
        self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        if self.expiry:
            self.expiry.cancel()
        self.node.limits.count_descriptors(-1)
        self.on_closed(self)

    def abort(self) -> None:
        """Close the connection at once, or as soon as it has its transport."""
        self.aborted = True
        if self.transport:
            self.transport.abort()
