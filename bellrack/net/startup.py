"""The start of a process: when it listens, and when it accepts requests."""

from __future__ import annotations

import asyncio
import contextlib
import math
from typing import Any

from bellrack.net import lines, log, resumption, transient


async def wait_until_ready(node: Any, alone: bool) -> None:
    """Wait until there is a usable server list, however late it comes, or the process is asked to end.

    `alone`: there is no predecessor that listens. Then the process listens before it is ready, once clients
    with resumed connections are due."""
    if not node.readiness.has_known_list:
        log.event("no-list", waits=lines.format_address(node.discovery.address))
    listen_at = node.started_at + resumption.LISTEN_AFTER_SECONDS if alone else math.inf
    while not node.shutdown and not node.readiness.may_open(now := node.clock()):
        if now >= listen_at:
            await listen_unready(node)
            listen_at = math.inf
        node.readiness_changed.clear()
        next_check = min(node.readiness.next_check() or math.inf, listen_at)
        wait = max(0.0, next_check - now) if next_check < math.inf else None
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(node.readiness_changed.wait(), wait)


async def listen_unready(node: Any) -> None:
    """Listen for resumed connections only; all other requests are rejected. Raises OSError."""
    node.takes_requests = False
    await transient.retry(lambda: node.listeners.open(None))
    log.event("listening", address=lines.format_address(node.listeners.socket.getsockname()), ready=False)
