"""Case 10: the way to discovery is cut, so the watch falls silent, and servers drain meanwhile."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
import stand

TOLD_SECONDS = 6.0  # STANDING.md: "at the latest 6 s after it fell silent"
CUT_SECONDS = 18.0  # BENCH: `discovery_down`, 5 to 25 s
SLACK = 0.05  # PROTOCOL.md: "each time limit is 50 ms longer"


async def play(case: stand.Case) -> str:
    record = case.record
    discovery = await stand.Discovery(record).start()
    way = await stand.Wire(record, discovery.port).start()
    servers = [await stand.Server(record, f"s-{n:02}").start() for n in range(24)]
    discovery.put(*[server.entry() for server in servers])
    settings = stand.settings()
    one = case.balancer("n1", discovery=way.address, settings=settings, known=discovery.whole())
    await case.start(one)
    await one.ready()
    traffic = stand.Traffic(record, one.port, "path-view", 0.05, 1.0)
    await asyncio.sleep(3.0)
    silent_at = record.now
    if case.trouble:
        await way.set_cut(True)
    await asyncio.sleep(0.5)
    draining = servers[:6]
    for server in draining:
        server.draining = True
    discovery.put(*[server.entry("terminating") for server in draining])
    limit = silent_at + TOLD_SECONDS + settings["obligations"]["stopSendingWithinUs"] / 1e6 + SLACK
    record(f"sends to the draining servers break the rule from {limit:.3f} on")
    await asyncio.sleep(silent_at + CUT_SECONDS - record.now)
    if case.trouble:
        await way.set_cut(False)
    await asyncio.sleep(3.0)
    await traffic.stop()
    return stand.late_sends(record, draining, limit)


stand.run_case(sys.argv[1], play)
