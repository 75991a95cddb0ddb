"""Rule 2 at the write: a referenced call is repeated only in the time that drop repeats, however late its
connection comes up and however long the process is held up between reading its clock and writing."""

import asyncio

import pytest
from helpers import World, played

from bellrack.net import servers

TTL = 0.6  # seconds
HELD_UP = 0.15  # STANDING.md: "held up for up to 0.15 s between reading its clock and writing"


def kinds(effect):
    return [
        {
            "name": "chat",
            "effect": effect,
            "group": "all",
            "keyTtlUs": TTL * 1e6,
            "guardTimeUs": 2e6,
            "setupTargetUs": 3e5,
        }
    ]


CAPS = {"maxLegs": 3, "retryAfter": True, "maxRetryAfterUs": 1500000, "connectTimeoutUs": 1500000}


class SlowConnects:
    """Connections to servers come up only when the test says so, from the second on."""

    def __init__(self, monkeypatch, loop):
        self.come_up, self.waiting, self.real = asyncio.Event(), 0, loop.sock_connect
        monkeypatch.setattr(servers.OutgoingConnection, "_open", self.held(servers.OutgoingConnection._open))
        self.active = False

    def held(self, honest):
        async def opened(link, address, wait):
            if self.active and link.side == "server":
                self.waiting += 1
                await self.come_up.wait()
            await honest(link, address, wait)

        return opened


@pytest.mark.parametrize("effect, again", [("dedup", False), ("retryable", True)])
@pytest.mark.parametrize("late", [TTL + 0.05, TTL - HELD_UP + 0.05])
@played
async def test_a_repeat_whose_connection_comes_up_late_is_not_written(monkeypatch, effect, again, late):
    async with World(servers=2, trafficTypes=kinds(effect), caps=CAPS) as world:
        slow = SlowConnects(monkeypatch, world.node.loop)
        client = await world.call("c=chat,t=acme,d=1900")
        _, first, _ = await world.leg()
        slow.active = True
        first.end("rst")  # it may have run
        await world.until(lambda: slow.waiting)
        sent = next(iter(world.node.clients)).call.legs[0].sent
        world.node.anchor += max(0.0, sent + late - world.node.clock())  # so much time has passed
        slow.come_up.set()
        if again:
            _, server, line = await world.leg()
            assert line.startswith("OPEN ")
            server.say("UP 2")
            assert await client.line() == "UP 2"
        else:
            assert (await client.line()).split()[0] in ("BUSY", "ERR")
            assert world.node.counters["upstream_requests"] == 1


@pytest.mark.parametrize("effect", ["dedup", "retryable"])
@played
async def test_a_repeat_in_time_is_written(monkeypatch, effect):
    async with World(servers=2, trafficTypes=kinds(effect), caps=CAPS) as world:
        client = await world.call("c=chat,t=acme,d=1900")
        _, first, _ = await world.leg()
        first.end("rst")
        _, second, line = await world.leg()
        assert line.startswith("OPEN ")
        second.say("UP 2")
        assert await client.line() == "UP 2"
