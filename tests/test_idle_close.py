"""Requests that cross the end of a resting connection."""

import pytest
from helpers import World, played

from bellrack.net import limits

LINE = "OPEN 00000000000000a1 7f3a9c21e0b4d655 c=chat,t=acme,d=2000"


@pytest.mark.parametrize("first", [b"", b"PING\r\n"])
@played
async def test_a_request_that_crosses_the_idle_close_has_its_answer(monkeypatch, first):
    monkeypatch.setattr(limits, "FIRST_LINE_SECONDS", 0.1)
    async with World() as world:
        client = await world.dial()
        client.writer.write(first)
        if first:
            assert await client.line() == "PONG"
        ordinary, _ = await world.standing()  # the run has begun
        await world.until(lambda: any(one.closed for one in world.node.clients))
        client.say(LINE)  # our end is on its way, or out already
        assert (await client.line()).split()[0] == "BUSY"
        assert world.arrived.empty() and ordinary


@played
async def test_a_request_behind_a_ping_at_a_process_that_is_not_ready_is_answered(monkeypatch):
    async with World() as world:
        world.node.takes_requests = False
        client = await world.dial()
        client.writer.write(b"PING\r\n" + LINE.encode() + b"\r\n")
        assert [await client.line(), await client.line()] == ["BUSY", "fin"]
        world.node.takes_requests = True
