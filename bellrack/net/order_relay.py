"""Operators' orders that are given to a process before it has met its predecessor.

Operators may call any process of a balancer, also one that starts and waits for its turn in a hot restart.
Their answer says that an order holds for the whole balancer. So it is given only once the serving process has
the order too, or there is none; until then the order is pending.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto
from typing import Any

from bellrack.net.fact_versions import CordonOrder, OrderSource
from bellrack.net.order_channel import OrderChannel, OrderOffer

# A pending order is answered after this time: DAYS.md allows 1 s for an answer.
CONFIRMATION_SECONDS = 0.8
MAX_PENDING_ORDERS = 64  # further ones are not taken


class OrderOutcome(Enum):
    """What became of an operator's order."""

    APPLIED = auto()  # it holds at this process and at the one that serves
    UNKNOWN_SERVER = auto()
    UNCONFIRMED = auto()  # the process that serves has not answered


@dataclass(eq=False)
class PendingOrder:
    """An order whose operator waits for an answer. `listed`: this process knew the server."""

    order: CordonOrder
    listed: bool
    on_outcome: Callable[[OrderOutcome], None]


class OrderRelay:
    """Passes on the orders that a process gets until it has met its predecessor, or knows of none."""

    def __init__(self, node: Any):
        self.node = node
        self.is_open = True  # orders are pending at first
        self.pending: list[PendingOrder] = []
        self.submitted = asyncio.Event()  # an order has come since the serving process was last asked

    def submit(self, order: CordonOrder, on_outcome: Callable[[OrderOutcome], None]) -> None:
        """Take an order; `on_outcome` is called once its outcome is known, within CONFIRMATION_SECONDS.

        An order for a server that is known here holds here at once, and is sent whatever its outcome."""
        if len(self.pending) >= MAX_PENDING_ORDERS:
            on_outcome(OrderOutcome.UNCONFIRMED)
            return
        pending = PendingOrder(order, self.node.server_list.knows(order.name), on_outcome)
        if pending.listed:
            self.node.server_list.on_order(order, OrderSource.OPERATOR)
        self.pending.append(pending)
        self.node.after(CONFIRMATION_SECONDS, self.answer, [pending], OrderOutcome.UNCONFIRMED)
        self.submitted.set()

    async def wait(self, seconds: float) -> None:
        """Return when an order is submitted, or after this time."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.submitted.wait(), seconds)

    async def exchange(self, channel: OrderChannel) -> None:
        """Exchange orders with the serving process, and answer those that it has applied.

        If that fails, they are sent again with the next exchange."""
        with contextlib.closing(channel):
            for order in channel.orders:
                self.node.server_list.on_order(order, OrderSource.PREDECESSOR)
            pending, offers = list(self.pending), self.offers(channel.orders)
            try:
                unknown = await asyncio.to_thread(channel.send, offers) if offers else frozenset()
            except (OSError, ValueError):
                return
        self.on_applied(pending, unknown)

    def offers(self, theirs: list[CordonOrder]) -> list[OrderOffer]:
        """Return the pending orders, and those that hold here and not at the serving process."""
        known = set(theirs)
        held = [order for order in self.node.server_list.orders.values() if order not in known]
        unlisted = [one.order for one in self.pending if not one.listed]
        return [OrderOffer(order, True) for order in held] + [OrderOffer(order, False) for order in unlisted]

    def on_applied(self, pending: list[PendingOrder], unknown: frozenset[str]) -> None:
        """The serving process holds these orders or later ones, but none for servers that nobody knows."""
        for one in pending:
            if not one.listed and one.order.name in unknown:
                self.answer([one], OrderOutcome.UNKNOWN_SERVER)
            else:
                self.node.server_list.on_order(one.order, OrderSource.OPERATOR)
                self.answer([one], OrderOutcome.APPLIED)

    def abandon(self) -> None:
        """Answer all pending orders, as the serving process cannot be asked any more."""
        self.answer(list(self.pending), OrderOutcome.UNCONFIRMED)

    def close(self) -> None:
        """Apply what is pending: the predecessor is met, or there is none. Later orders do not come here."""
        self.is_open = False
        for one in list(self.pending):
            self.answer([one], self.node.hot_restart.apply_order(one.order))

    def answer(self, orders: list[PendingOrder], outcome: OrderOutcome) -> None:
        """Report the outcome of these orders, unless they have one already."""
        for one in orders:
            if one in self.pending:
                self.pending.remove(one)
                one.on_outcome(outcome)
