"""The start of a process: when it listens, and when it takes requests."""

from __future__ import annotations

import asyncio
import contextlib
import math
from typing import Any

from bellrack.net import lines, log, resumption, transient


async def wait_until_ready(node: Any, alone: bool) -> None:
    """Until there is a list that may be used, however late it comes, or the process is asked to end.

    `alone`: no other process listens for it, so it does for resumed connections once their clients come."""
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
    """Resumed connections are admitted from now on; whoever else comes is turned away."""
    node.takes_requests = False
    await transient.retry(lambda: node.listeners.open(None))
    log.event("listening", address=lines.format_address(node.listeners.socket.getsockname()), ready=False)
