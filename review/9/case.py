"""Case 9: a new version that starts while discovery is crowded takes an old list for a fresh one."""

from __future__ import annotations

import asyncio
import contextlib
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
import stand

TOLD_SECONDS = 6.0  # STANDING.md: "at the latest 6 s after discovery had it and could be reached"
CALL_WAITS_SECONDS = 2.0  # then it ends with 503, as it waited too long
CROWD_SECONDS = 10.0
SLACK = 0.05  # PROTOCOL.md: "each time limit is 50 ms longer"
LONGEST_DEADLINE_SECONDS = 1.8


async def play(case: stand.Case) -> str:
    record = case.record
    discovery = await stand.Discovery(record).start()
    servers = [await stand.Server(record, f"s-{n:02}").start() for n in range(20)]
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
    traffic = stand.Traffic(record, one.port, "path-view", 0.05, 1.0)
    await asyncio.sleep(4.0)
    crowded = case.trouble

    async def wait_in_turn(path, reader, writer) -> bool:
        """Discovery takes the call and lets it wait in its turn; one that has waited too long gets 503."""
        if not crowded:
            return False
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(reader.read(1), CALL_WAITS_SECONDS)
            return True  # the caller has left
        record("the call has waited too long: 503")
        await discovery.refuse(writer)
        return True

    discovery.on_call = wait_in_turn
    crowd_at = record.now
    if case.trouble:
        discovery.reset_watches()
    await asyncio.sleep(0.5)
    draining = servers[:10]
    for server in draining:
        server.draining = True
    had_at = discovery.put(*[server.entry("terminating") for server in draining])
    limit = had_at + TOLD_SECONDS + settings["obligations"]["stopSendingWithinUs"] / 1e6 + SLACK
    record(f"sends to the draining servers break the rule from {limit:.3f} on")
    await asyncio.sleep(crowd_at + 5.0 - record.now)
    await stand.upgrade(case, one, LONGEST_DEADLINE_SECONDS)
    await asyncio.sleep(crowd_at + CROWD_SECONDS - record.now)
    crowded = False
    await asyncio.sleep(2.0)
    await traffic.stop()
    return stand.late_sends(record, draining, limit)


stand.run_case(__file__, play)
