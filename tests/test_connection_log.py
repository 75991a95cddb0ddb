"""Each connection has a number in the log from its accept on, also one that made no request."""

import logging

import pytest
from helpers import World, async_test
from test_handover import reserved_address

from bellrack.net import limits, log


@pytest.fixture
def ended_clients(caplog, monkeypatch):
    """A function that returns the fields of the log lines of client connections that have ended."""
    monkeypatch.setattr(log.logger, "propagate", True)
    caplog.set_level(logging.INFO, logger="bellrack")
    return lambda: [
        record.fields
        for record in caplog.records
        if record.getMessage() == "ended" and record.fields["side"] == "client"
    ]


@async_test
async def test_connection_without_a_request_is_logged_with_number_peer_and_duration(
    monkeypatch, ended_clients
):
    monkeypatch.setattr(limits, "FIRST_LINE_SECONDS", 0.1)
    async with World(servers=1) as world:
        world.node.resumed.window.requested = True  # the run has begun
        clients = [await world.dial() for _ in range(2)]
        ports = [client.writer.get_extra_info("sockname")[1] for client in clients]
        clients[0].writer.write(b"OPEN 0000")
        for client in clients:
            assert (await client.line()).startswith("BUSY")
        logged = ended_clients()
        assert sorted(line["peer"] for line in logged) == sorted(f"127.0.0.1:{port}" for port in ports)
        assert len({line["connection"] for line in logged}) == 2
        assert all(limits.FIRST_LINE_SECONDS <= line["lasted"] < 5 and "id" not in line for line in logged)


@async_test
async def test_request_and_its_attempt_are_logged_with_the_id_and_their_numbers(caplog, ended_clients):
    async with World(servers=1) as world:
        client, server = await world.establish(number=7)
        server.say("BYE")
        server.end("fin")
        assert [await client.line(), await client.line()] == ["BYE", "fin"]
        await world.until(lambda: len(ended_clients()) == 1)
        sides = {r.fields["side"]: r.fields for r in caplog.records if r.getMessage() == "ended"}
        assert sides["client"]["id"] == sides["server"]["id"] == f"{7:016x}"
        assert sides["client"]["connection"] != sides["server"]["connection"]


@async_test
async def test_log_tells_each_state_of_a_connection_in_a_hand_over_and_why_it_was_moved(
    tmp_path, monkeypatch, caplog, ended_clients
):
    """Without these lines a move that came before the sockets looked like any other."""
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    async with World(servers=1, control=True, listen=reserved_address()) as world:
        old, (client, _) = world.node, await world.establish(number=7)
        world.node, serving = await world.start()
        await world.until(lambda: old.hot_restart.has_successor)
        old.begin_shutdown()
        await world.until(lambda: world.node.counters["taken_over"])
        assert (await world.ask("/_servers/detach", "s-0"))[0] == 200
        assert [await client.line(), await client.line()] == ["MOVE", "fin"]
        handoffs = [record.fields for record in caplog.records if record.getMessage() == "handoff"]
        assert [line["state"] for line in handoffs] == ["received", "taken-over"]
        assert {line["id"] for line in handoffs} == {f"{7:016x}"}
        assert len({line["connections"] for line in handoffs}) == 1
        released, moved = ended_clients()
        assert (released["reason"], moved["reason"], moved["why"]) == ("handed-over", "moved", "cordoned")
        assert str(moved["connection"]) in handoffs[0]["connections"].split(",")
        await world.wait_for_first_node(serving)
