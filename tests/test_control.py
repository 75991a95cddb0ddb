"""The operators' door: its form, its figures and its promise to answer beside whoever holds it."""

import asyncio
import collections
import random

import pytest
from helpers import Peer, World, played
from hypothesis import given
from hypothesis import strategies as st

from bellrack.net import limits, lines, server_watch, servers
from bellrack.net.http import HttpError, Request


@given(st.lists(st.integers(1, 40)), st.binary(max_size=30))
def test_a_request_reads_the_same_in_pieces_of_any_size(cuts, body):
    text = b"\r\nPOST /_x?y=1 HTTP/1.1\r\nHost: a\r\ncontent-LENGTH: %d\r\n\r\n" % len(body) + body
    request, rest = Request(), text
    for cut in [*cuts, len(text)]:
        assert not request.done or not rest
        request.feed(rest[:cut])
        rest = rest[cut:]
    assert (request.done, request.method, request.path, request.body) == (True, "POST", "/_x", body)


@pytest.mark.parametrize(
    "text, status",
    [
        ("GET\r\n\r\n", 400),
        ("GET /  HTTP/1.1\r\n\r\n", 400),
        ("OPEN 1 2\r\n\r\n", 400),
        ("GET / HTTP/1.1\r\nno field\r\n\r\n", 400),
        ("GET / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
        ("POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
        ("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n", 411),
        ("POST / HTTP/1.1\r\nContent-Length: 9999\r\n\r\n", 413),
        ("POST / HTTP/1.1\r\nContent-Length: " + "9" * 4000 + "\r\n\r\n", 413),
        ("G" * 5000, 431),
    ],
)
def test_a_bad_request_has_one_status(text, status):
    with pytest.raises(HttpError) as raised:
        Request().feed(text.encode())
    assert raised.value.status == status


@played
async def test_calls_and_what_is_said_to_bad_ones():
    async with World(control=True, patience=60.0) as world:
        question, _ = await world.question()
        assert (await world.ask("/_ready"))[0] == 503  # nothing was heard of discovery yet
        head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        news = '{"generation":42,"reset":false,"instances":[]}\n'
        question.writer.write(f"{head}{len(news):x}\r\n{news}\r\n".encode())
        await world.until(lambda: world.node.readiness.list_received)
        assert await world.ask("/_ready") == (200, "ready\n")
        assert (await world.ask("/_none"))[0] == 404
        assert (await world.ask("/_vars", "s-0"))[0] == 405
        assert (await world.ask("no path\r\n"))[0] == 400
        assert not world.node.admin_connections and not world.node.counters["faults"]


@played
async def test_figures_are_what_peers_saw():
    async with World(servers=2, control=True, effect="fragile") as world:
        assert await world.figures() == {
            "completed.chat": 0,
            "rejected.chat": 0,
            "failed.chat": 0,
            "upstream_requests": 0,
            "pending": 0,
            "config_reloads": 0,
            "config_reload_errors": 0,
            "members": 2,
            "members_unavailable": 0,
            "bad_weights": 0,
            "list_lines": 1,
        }
        client, server = await world.standing()
        failing = await world.call()
        (await world.leg())[1].say("ERR")
        assert await failing.line() == "ERR"
        told = await world.figures()
        assert (told["completed.chat"], told["failed.chat"], told["upstream_requests"]) == (1, 1, 2)
        assert told["pending"] == 1
        world.node.begin_shutdown()
        refused = await world.call()
        assert (await refused.line()).startswith("BUSY")
        told = await world.figures()
        assert told["rejected.chat"] == 1 and (await world.ask("/_ready"))[0] == 503
        client.end("fin")
        assert await server.line() == "fin"
        assert (await world.figures())["pending"] == 0


@played
async def test_holders_of_the_door_keep_nobody_out(monkeypatch):
    monkeypatch.setattr(limits, "MAX_ADMIN_CONNECTIONS", 4)
    async with World(control=True) as world:
        held = [Peer(*await asyncio.open_connection(*world.desk())) for _ in range(9)]
        for peer in held[::2]:
            peer.writer.write(b"GET /_va")
        assert "pending" in await world.figures()
        assert (await world.said(held[0]))[0] == 503 and len(world.node.admin_connections) <= 4
        held[-1].writer.write(b"GET /_vars HTTP/1.1\r\n\r\n"[8:])
        assert (await world.said(held[-1]))[0] == 200  # the youngest may still finish its call


@played
async def test_a_call_that_never_becomes_whole_is_ended(monkeypatch):
    monkeypatch.setattr(limits, "ADMIN_REQUEST_SECONDS", 0.05)
    async with World(control=True) as world:
        peer = Peer(*await asyncio.open_connection(*world.desk()))
        peer.writer.write(b"GET /_vars HT")
        assert (await world.said(peer))[0] == 408
        await world.until(lambda: not world.node.admin_connections)


@played
async def test_a_server_is_taken_out_and_put_back_by_hand():
    async with World(servers=2, control=True) as world:
        assert (await world.ask("/_servers/detach", "s-9"))[0] == 404
        assert (await world.ask("/_servers/attach", "s-9"))[0] == 404
        assert (await world.ask("/_servers/detach", method="POST"))[0] == 404
        for _ in range(2):  # it may come twice
            assert (await world.ask("/_servers/detach", "s-0\n"))[0] == 200
        told = await world.figures()
        assert (told["members"], told["members_unavailable"]) == (2, 1)
        for _ in range(4):
            client = await world.call()
            number, server, _ = await world.leg()
            server.say("UP 1")
            assert number == 1 and await client.line() == "UP 1"
        assert (await world.ask("/_servers/attach", "s-0"))[0] == 200
        assert (await world.figures())["members_unavailable"] == 0 and not world.node.server_list.cordoned


@played
async def test_a_leg_that_was_connecting_is_not_written_to_a_server_taken_out(monkeypatch):
    async with World(servers=1, control=True, effect="fragile") as world:
        opened = servers.OutgoingConnection.on_connected

        def made(link):
            if link.side == "server" and not world.node.server_list.cordoned:
                world.node.server_list.cordon("s-0", True)
            opened(link)

        monkeypatch.setattr(servers.OutgoingConnection, "on_connected", made)
        client = await world.call("c=chat,t=acme,d=900")
        _, server, line = await world.leg()
        assert line == "fin" and (await client.line()).startswith("BUSY")


@played
async def test_out_by_hand_outlasts_a_list_without_it(monkeypatch):
    monkeypatch.setattr(server_watch, "FORGET_AFTER_SECONDS", 0.0)
    async with World(servers=2, control=True) as world:
        place = world.entries[0]
        await world.ask("/_servers/detach", "s-0")
        for state in ("terminated", "in_service"):
            entry = place | {"lifecycle": state}
            world.node.server_list.on_list(
                lines.parse_list({"generation": 50, "reset": False, "instances": [entry]})
            )
            world.node.server_watch.check()
            world.node.server_watch.check()
        assert [s.cordoned for s in world.node.balancer.fleet if s.host_record.name == "s-0"] == [True]
        assert len(world.node.balancer.listing.ready) == 1


@played
async def test_counts_of_a_random_story_are_what_the_peers_saw():
    chance = random.Random(5)
    async with World(servers=3, control=True, effect="fragile") as world:
        seen, standing = collections.Counter(), []
        for _ in range(60):
            client = await world.call()
            number, server, _ = await world.leg()
            seen["upstream_requests"] += 1
            word = chance.choice(["UP 1", "ERR", "what?", "BUSY", "BYE"])
            server.say(word)
            while word == "BUSY" and seen["upstream_requests"] < 500:
                try:
                    number, server, _ = await asyncio.wait_for(world.leg(), 0.5)
                except TimeoutError:
                    break
                seen["upstream_requests"] += 1
                server.say("BUSY")
            told = await client.line()
            seen[
                "completed" if told.startswith("UP") else "rejected" if told.startswith("BUSY") else "failed"
            ] += 1
            if told.startswith("UP"):
                standing.append((client, server))
            if standing and chance.random() < 0.5:
                standing.pop()[chance.randrange(2)].end(chance.choice(["fin", "rst"]))
        await world.until(lambda: len(world.node.clients) <= len(standing))
        told = await world.figures()
        assert told["pending"] == len(standing) and told["upstream_requests"] == seen["upstream_requests"]
        for what in ("completed", "rejected", "failed"):
            assert told[f"{what}.chat"] == seen[what] > 0, (what, told, seen)


@played
async def test_another_method_is_told_the_right_one():
    async with World(control=True) as world:
        peer = Peer(*await asyncio.open_connection(*world.desk()))
        peer.writer.write(b"GET /_servers/detach HTTP/1.1\r\n\r\n")
        assert b"\r\nAllow: POST\r\n" in await peer.reader.read()
