"""Case 9: a new version that starts while discovery is crowded takes an old list for a fresh one."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
import stand

TOLD_SECONDS = 6.0  # STANDING.md: "at the latest 6 s after discovery had it and could be reached"
DOWN_SECONDS = 2.0  # STANDING.md, herd+brink: "discovery is down for some seconds"
CALL_WAITS_SECONDS = 2.0  # BENCH: timeout_ms = 2000; then it ends with 503
CROWD_SECONDS = 8.0  # BENCH: all_call_s = [2,8]
SLACK = 0.05  # PROTOCOL.md: "each time limit is 50 ms longer"
LONGEST_DEADLINE_SECONDS = 1.8


async def play(case: stand.Case) -> str:
    record = case.record
    discovery = await stand.Discovery(record).start()
    servers = [await stand.Server(record, f"s-{n:02}").start() for n in range(40)]
    discovery.put(*[server.entry() for server in servers])
    settings = stand.settings()
    one = case.balancer(
        "n1",
        discovery=discovery.address,
        settings=settings,
        known=discovery.whole(),
        control=f"127.0.0.1:{stand.free_port()}",
    )
    await case.start(one)
    await one.ready()
    traffic = stand.Traffic(record, one.port, "path-view", 0.06, 1.0)
    await asyncio.sleep(4.0)
    down_at = record.now
    back_at, calm_at = down_at + DOWN_SECONDS, down_at + DOWN_SECONDS + CROWD_SECONDS

    async def answer(path, reader, writer) -> bool:
        """While down it resets calls; then they wait in its turn, and get 503 if that takes too long."""
        if record.now < back_at:
            record("discovery is down: reset")
            writer.transport.abort()
            return True
        wait = min(CALL_WAITS_SECONDS, calm_at - record.now)
        if wait > 0:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(reader.read(1), wait)
                return True  # the caller has left
        if wait < CALL_WAITS_SECONDS:
            return False
        record("the call has waited too long: 503")
        await discovery.refuse(writer)
        return True

    if case.trouble:
        discovery.on_call = answer
        record("discovery goes down")
        discovery.reset_watches()
    await asyncio.sleep(back_at + 0.2 - record.now)
    draining = servers[:10]
    for server in draining:
        server.draining = True
    had_at = discovery.put(*[server.entry("terminating") for server in draining])
    limit = had_at + TOLD_SECONDS + settings["obligations"]["stopSendingWithinUs"] / 1e6 + SLACK
    record(f"sends to the draining servers break the rule from {limit:.3f} on")
    await asyncio.sleep(down_at + 5.0 - record.now)
    await stand.upgrade(case, one, LONGEST_DEADLINE_SECONDS)
    await asyncio.sleep(calm_at + 2.0 - record.now)
    await traffic.stop()
    return stand.late_sends(record, draining, limit)


stand.run_case(sys.argv[1], play)
