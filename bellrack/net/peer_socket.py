"""The UDP socket through which the balancers of a tier exchange datagrams."""

from __future__ import annotations

import asyncio
from typing import Any

from bellrack.net.config import Config

MAX_DATAGRAM_BYTES = 256  # PROTOCOL.md, "Between balancers": a longer one invalidates the run


class PeerSocket(asyncio.DatagramProtocol):
    """Sends and receives datagrams of the peers in the configuration. Peers are numbered in its order."""

    def __init__(self, node: Any):
        self.node, self.transport = node, None
        self.peer_numbers = {address: number for number, address in enumerate(node.config.peers)}

    @staticmethod
    async def open(node: Any) -> PeerSocket:
        """Opens the socket at the configuration's `peer_listen`. Raises OSError."""
        _, protocol = await node.loop.create_datagram_endpoint(
            lambda: PeerSocket(node),
            local_addr=node.config.peer_listen,
            reuse_port=node.listeners.hot_restart_enabled or None,
        )
        node.limits.count_descriptors(1)
        return protocol

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, sender: tuple[str, int]) -> None:
        """Passes a datagram on to the decisions; drops those of unknown senders and too long ones."""
        number = self.peer_numbers.get(sender[:2])
        if number is not None and len(data) <= MAX_DATAGRAM_BYTES:
            self.node.queue(self.node.balancer.on_datagram, number, data)

    def error_received(self, error: Exception) -> None: ...

    def send(self, peer: int | None, data: bytes) -> None:
        """Sends to one peer, or to all if `peer` is None."""
        config: Config = self.node.config
        # The tier may have more balancers than the configuration has addresses.
        address = config.peers_all if peer is None else (config.peers[peer : peer + 1] or [None])[0]
        if address:
            self.transport.sendto(data, address)
