"""Rule 2, checked when the request is written: a referenced call is repeated only within the time in which
servers drop repeats, however late the connection is established and however long the process is paused
between reading its clock and writing."""

import asyncio

import pytest
from helpers import World, async_test

from bellrack.net import servers

TTL_SECONDS = 0.6
MAX_STALL_SECONDS = 0.15  # STANDING.md: "held up for up to 0.15 s between reading its clock and writing"


def traffic_types(effect):
    return [
        {
            "name": "chat",
            "effect": effect,
            "group": "all",
            "keyTtlUs": TTL_SECONDS * 1e6,
            "guardTimeUs": 2e6,
            "setupTargetUs": 3e5,
        }
    ]


CAPS = {"maxLegs": 3, "retryAfter": True, "maxRetryAfterUs": 1500000, "connectTimeoutUs": 1500000}


class SlowConnects:
    """Delays connections to servers, once active, until the test releases them."""

    def __init__(self, monkeypatch, loop):
        self.released, self.waiting, self.real = asyncio.Event(), 0, loop.sock_connect
        monkeypatch.setattr(
            servers.OutgoingConnection, "_open", self.delayed(servers.OutgoingConnection._open)
        )
        self.active = False

    def delayed(self, connect):
        async def delayed_connect(connection, address, wait):
            if self.active and connection.side == "server":
                self.waiting += 1
                await self.released.wait()
            await connect(connection, address, wait)

        return delayed_connect


@pytest.mark.parametrize("effect, again", [("dedup", False), ("retryable", True)])
@pytest.mark.parametrize("late", [TTL_SECONDS + 0.05, TTL_SECONDS - MAX_STALL_SECONDS + 0.05])
@async_test
async def test_does_not_send_a_referenced_repeat_that_is_established_after_the_window(
    monkeypatch, effect, again, late
):
    async with World(servers=2, trafficTypes=traffic_types(effect), caps=CAPS) as world:
        connects = SlowConnects(monkeypatch, world.node.loop)
        client = await world.call("c=chat,t=acme,d=1900")
        _, first, _ = await world.leg()
        connects.active = True
        first.end("rst")  # the request may have run
        await world.until(lambda: connects.waiting)
        sent = next(iter(world.node.clients)).call.legs[0].sent
        # Moves the clock on to `late` seconds after the first attempt.
        world.node.anchor += max(0.0, sent + late - world.node.clock())
        connects.released.set()
        if again:
            _, server, line = await world.leg()
            assert line.startswith("OPEN ")
            server.say("UP 2")
            assert await client.line() == "UP 2"
        else:
            assert (await client.line()).split()[0] in ("BUSY", "ERR")
            assert world.node.counters["upstream_requests"] == 1


@pytest.mark.parametrize("effect", ["dedup", "retryable"])
@async_test
async def test_sends_a_repeat_within_the_window(monkeypatch, effect):
    async with World(servers=2, trafficTypes=traffic_types(effect), caps=CAPS) as world:
        client = await world.call("c=chat,t=acme,d=1900")
        _, first, _ = await world.leg()
        first.end("rst")
        _, second, line = await world.leg()
        assert line.startswith("OPEN ")
        second.say("UP 2")
        assert await client.line() == "UP 2"
