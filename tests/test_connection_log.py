"""The log tells of each connection by a number from its accept on, also of one that made no request."""

import logging

import pytest
from helpers import World, played

from bellrack.net import limits, log


@pytest.fixture
def ended(caplog, monkeypatch):
    """The log lines of connections of clients that have ended, as their figures."""
    monkeypatch.setattr(log.logger, "propagate", True)
    caplog.set_level(logging.INFO, logger="bellrack")
    return lambda: [
        record.fields
        for record in caplog.records
        if record.getMessage() == "ended" and record.fields["side"] == "client"
    ]


@played
async def test_a_connection_without_a_request_is_told_by_number_peer_and_time(monkeypatch, ended):
    monkeypatch.setattr(limits, "FIRST_LINE_SECONDS", 0.1)
    async with World(servers=1) as world:
        world.node.resumed.window.requested = True  # the run has begun
        clients = [await world.dial() for _ in range(2)]
        ports = [client.writer.get_extra_info("sockname")[1] for client in clients]
        clients[0].writer.write(b"OPEN 0000")
        for client in clients:
            assert (await client.line()).startswith("BUSY")
        told = ended()
        assert sorted(line["peer"] for line in told) == sorted(f"127.0.0.1:{port}" for port in ports)
        assert len({line["connection"] for line in told}) == 2
        assert all(limits.FIRST_LINE_SECONDS <= line["lasted"] < 5 and "id" not in line for line in told)


@played
async def test_a_request_and_its_attempt_are_told_by_its_id_and_their_numbers(caplog, ended):
    async with World(servers=1) as world:
        client, server = await world.standing(number=7)
        server.say("BYE")
        server.end("fin")
        assert [await client.line(), await client.line()] == ["BYE", "fin"]
        await world.until(lambda: len(ended()) == 1)
        sides = {r.fields["side"]: r.fields for r in caplog.records if r.getMessage() == "ended"}
        assert sides["client"]["id"] == sides["server"]["id"] == f"{7:016x}"
        assert sides["client"]["connection"] != sides["server"]["connection"]
