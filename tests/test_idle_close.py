"""Requests that arrive while the balancer closes an idle connection."""

import pytest
from helpers import World, async_test

from bellrack.net import limits

LINE = "OPEN 00000000000000a1 7f3a9c21e0b4d655 c=chat,t=acme,d=2000"


@pytest.mark.parametrize("first", [b"", b"PING\r\n"])
@async_test
async def test_answers_a_request_that_crosses_the_idle_close(monkeypatch, first):
    monkeypatch.setattr(limits, "FIRST_LINE_SECONDS", 0.1)
    async with World() as world:
        client = await world.dial()
        client.writer.write(first)
        if first:
            assert await client.line() == "PONG"
        ordinary, _ = await world.establish()  # an ordinary request shows that the run has begun
        await world.until(lambda: any(connection.closed for connection in world.node.clients))
        client.say(LINE)  # the node is closing, or has closed
        assert (await client.line()).split()[0] == "BUSY"
        assert world.arrived.empty() and ordinary


@async_test
async def test_answers_a_request_that_follows_a_ping_while_not_ready(monkeypatch):
    async with World() as world:
        world.node.takes_requests = False
        client = await world.dial()
        client.writer.write(b"PING\r\n" + LINE.encode() + b"\r\n")
        assert [await client.line(), await client.line()] == ["BUSY", "fin"]
        world.node.takes_requests = True
