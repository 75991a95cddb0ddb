"""The UDP socket between the balancers of a tier."""

from __future__ import annotations

import asyncio
from typing import Any

from bellrack.net.config import Config

MAX_DATAGRAM_BYTES = 256  # bytes; PROTOCOL.md, "Between balancers": a longer one voids the run


class PeerSocket(asyncio.DatagramProtocol):
    """Datagrams from and to the peers that the configuration names, by their numbers in it."""

    def __init__(self, node: Any):
        self.node, self.transport = node, None
        self.peer_numbers = {address: number for number, address in enumerate(node.config.peers)}

    @staticmethod
    async def open(node: Any) -> PeerSocket:
        """Listen at the configuration's `peer_listen`. Raises OSError."""
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
        number = self.peer_numbers.get(sender[:2])
        if number is not None and len(data) <= MAX_DATAGRAM_BYTES:
            self.node.queue(self.node.balancer.on_datagram, number, data)

    def error_received(self, error: Exception) -> None: ...

    def send(self, peer: int | None, data: bytes) -> None:
        """To one peer, or to all if it is None."""
        config: Config = self.node.config
        # Guards against a tier that is larger than the list of its addresses in this file.
        address = config.peers_all if peer is None else (config.peers[peer : peer + 1] or [None])[0]
        if address:
            self.transport.sendto(data, address)
