"""The admin address: HTTP parsing, metrics, detaching servers, and answers beside idle connections."""

import asyncio
import collections
import random

import pytest
from helpers import Peer, World, async_test
from hypothesis import given
from hypothesis import strategies as st

from bellrack.net import limits, lines, server_watch, servers
from bellrack.net.http import HttpError, Request


@given(st.lists(st.integers(1, 40)), st.binary(max_size=30))
def test_request_parses_the_same_in_pieces_of_any_size(cuts, body):
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
def test_malformed_request_raises_the_matching_status(text, status):
    with pytest.raises(HttpError) as raised:
        Request().feed(text.encode())
    assert raised.value.status == status


@async_test
async def test_responses_to_valid_and_invalid_requests():
    async with World(control=True, patience=60.0) as world:
        question, _ = await world.discovery_request()
        assert (await world.ask("/_ready"))[0] == 503  # discovery has not answered yet
        head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        news = '{"generation":42,"reset":false,"instances":[]}\n'
        question.writer.write(f"{head}{len(news):x}\r\n{news}\r\n".encode())
        await world.until(lambda: world.node.readiness.list_received)
        assert await world.ask("/_ready") == (200, "ready\n")
        assert (await world.ask("/_none"))[0] == 404
        assert (await world.ask("/_vars", "s-0"))[0] == 405
        assert (await world.ask("no path\r\n"))[0] == 400
        assert not world.node.admin_connections and not world.node.counters["faults"]


@async_test
async def test_metrics_match_what_clients_and_servers_saw():
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
        client, server = await world.establish()
        failing = await world.call()
        (await world.leg())[1].say("ERR")
        assert await failing.line() == "ERR"
        metrics = await world.figures()
        assert (metrics["completed.chat"], metrics["failed.chat"], metrics["upstream_requests"]) == (1, 1, 2)
        assert metrics["pending"] == 1
        world.node.begin_shutdown()
        refused = await world.call()
        assert (await refused.line()).startswith("BUSY")
        metrics = await world.figures()
        assert metrics["rejected.chat"] == 1 and (await world.ask("/_ready"))[0] == 503
        client.end("fin")
        assert await server.line() == "fin"
        assert (await world.figures())["pending"] == 0


@async_test
async def test_idle_admin_connections_do_not_lock_others_out(monkeypatch):
    monkeypatch.setattr(limits, "MAX_ADMIN_CONNECTIONS", 4)
    async with World(control=True) as world:
        idle = [Peer(*await asyncio.open_connection(*world.admin_address())) for _ in range(9)]
        for peer in idle[::2]:
            peer.writer.write(b"GET /_va")
        assert "pending" in await world.figures()
        assert (await world.http_response(idle[0]))[0] == 503 and len(world.node.admin_connections) <= 4
        idle[-1].writer.write(b"GET /_vars HTTP/1.1\r\n\r\n"[8:])
        # The newest connection may still complete its request.
        assert (await world.http_response(idle[-1]))[0] == 200


@async_test
async def test_incomplete_admin_request_times_out(monkeypatch):
    monkeypatch.setattr(limits, "ADMIN_REQUEST_SECONDS", 0.05)
    async with World(control=True) as world:
        peer = Peer(*await asyncio.open_connection(*world.admin_address()))
        peer.writer.write(b"GET /_vars HT")
        assert (await world.http_response(peer))[0] == 408
        await world.until(lambda: not world.node.admin_connections)


@async_test
async def test_detached_server_gets_no_connections_until_it_is_attached():
    async with World(servers=2, control=True) as world:
        assert (await world.ask("/_servers/detach", "s-9"))[0] == 404
        assert (await world.ask("/_servers/attach", "s-9"))[0] == 404
        assert (await world.ask("/_servers/detach", method="POST"))[0] == 404
        for _ in range(2):  # repeated orders succeed
            assert (await world.ask("/_servers/detach", "s-0\n"))[0] == 200
        metrics = await world.figures()
        assert (metrics["members"], metrics["members_unavailable"]) == (2, 1)
        for _ in range(4):
            client = await world.call()
            number, server, _ = await world.leg()
            server.say("UP 1")
            assert number == 1 and await client.line() == "UP 1"
        assert (await world.ask("/_servers/attach", "s-0"))[0] == 200
        assert (await world.figures())["members_unavailable"] == 0 and not world.node.server_list.cordoned


@async_test
async def test_request_is_not_written_to_a_server_detached_while_connecting(monkeypatch):
    async with World(servers=1, control=True, effect="fragile") as world:
        original_made = servers.OutgoingConnection.on_connected

        def made(link):
            if link.side == "server" and not world.node.server_list.cordoned:
                world.node.server_list.cordon("s-0", True)
            original_made(link)

        monkeypatch.setattr(servers.OutgoingConnection, "on_connected", made)
        client = await world.call("c=chat,t=acme,d=900")
        _, server, line = await world.leg()
        assert line == "fin" and (await client.line()).startswith("BUSY")


@async_test
async def test_server_stays_detached_after_it_was_missing_from_the_list(monkeypatch):
    monkeypatch.setattr(server_watch, "FORGET_AFTER_SECONDS", 0.0)
    async with World(servers=2, control=True) as world:
        listed = world.entries[0]
        await world.ask("/_servers/detach", "s-0")
        for state in ("terminated", "in_service"):
            entry = listed | {"lifecycle": state}
            world.node.server_list.on_list(
                lines.parse_list({"generation": 50, "reset": False, "instances": [entry]})
            )
            world.node.server_watch.check()
            world.node.server_watch.check()
        assert [s.cordoned for s in world.node.balancer.fleet if s.host_record.name == "s-0"] == [True]
        assert len(world.node.balancer.listing.ready) == 1


@async_test
async def test_counters_match_a_random_sequence_of_outcomes():
    rng = random.Random(5)
    async with World(servers=3, control=True, effect="fragile") as world:
        seen, established = collections.Counter(), []
        for _ in range(60):
            client = await world.call()
            number, server, _ = await world.leg()
            seen["upstream_requests"] += 1
            answer = rng.choice(["UP 1", "ERR", "what?", "BUSY", "BYE"])
            server.say(answer)
            while answer == "BUSY" and seen["upstream_requests"] < 500:
                try:
                    number, server, _ = await asyncio.wait_for(world.leg(), 0.5)
                except TimeoutError:
                    break
                seen["upstream_requests"] += 1
                server.say("BUSY")
            line = await client.line()
            seen[
                "completed" if line.startswith("UP") else "rejected" if line.startswith("BUSY") else "failed"
            ] += 1
            if line.startswith("UP"):
                established.append((client, server))
            if established and rng.random() < 0.5:
                established.pop()[rng.randrange(2)].end(rng.choice(["fin", "rst"]))
        await world.until(lambda: len(world.node.clients) <= len(established))
        metrics = await world.figures()
        assert (
            metrics["pending"] == len(established)
            and metrics["upstream_requests"] == seen["upstream_requests"]
        )
        for outcome in ("completed", "rejected", "failed"):
            assert metrics[f"{outcome}.chat"] == seen[outcome] > 0, (outcome, metrics, seen)


@async_test
async def test_response_to_a_wrong_method_names_the_allowed_one():
    async with World(control=True) as world:
        peer = Peer(*await asyncio.open_connection(*world.admin_address()))
        peer.writer.write(b"GET /_servers/detach HTTP/1.1\r\n\r\n")
        assert b"\r\nAllow: POST\r\n" in await peer.reader.read()
