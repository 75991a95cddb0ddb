"""What happens if a server, a client, the process or the list ends at an unlucky moment.

The test plays the other sides, so that each unlucky order of events happens in every run."""

import asyncio
import errno
import json
import os
import signal
import socket
import sys
from unittest import mock

import pytest
from helpers import Batch, Bench, Peer, World, async_test, settings

from bellrack import model
from bellrack.net import discovery, discovery_request, lines, server_watch, servers, shutdown

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def chunk(text):
    return f"{len(text.encode()):x}\r\n{text}\r\n".encode()


def list_line(version, *entries, whole=True):
    return json.dumps({"generation": version, "reset": whole, "instances": entries}) + "\n"


# A server that hangs or closes in the middle.


@pytest.mark.parametrize("part", ["half a ", "x" * 3000])
@async_test
async def test_moves_the_client_of_a_server_that_hangs_in_the_middle_of_a_line(monkeypatch, part):
    # Fault seen in the scenario roll+brink: 17 bytes of a line in the buffer, the client's lines unanswered
    # for 7 s, and no MOVE.
    monkeypatch.setattr(servers, "SILENCE_SECONDS", 0.2)
    monkeypatch.setattr(server_watch, "CHECK_INTERVAL_SECONDS", 0.05)
    quiet = {"messageAimUs": [1e9], "tellsDelay": False}  # late messages alone move no connection
    async with World(specifics=quiet) as world:
        client, server = await world.establish()
        client.say("M 1")
        assert await server.line() == "M 1"
        server.writer.write(part.encode())
        assert [await client.line(), await client.line()] == ["MOVE", "fin"]


@pytest.mark.parametrize("last", ["BYE", "MOVE"])
@async_test
async def test_closes_for_a_server_that_hangs_after_its_last_line(last):
    async with World() as world:
        client, server = await world.establish()
        server.say(last)
        assert [await client.line(), await client.line(), await server.line()] == [last, "fin", "fin"]
        assert not world.node.balancer.open_legs


@pytest.mark.parametrize("last", ["BYE", "MOVE"])
@async_test
async def test_a_reset_after_the_last_line_does_not_lose_it(last):
    async with World() as world:
        client, server = await world.establish()
        server.say(last)
        server.end("rst")
        assert [await client.line(), await client.line()] == [last, "fin"]


@async_test
async def test_a_slow_client_gets_whole_lines_after_its_server_has_closed():
    async with World() as world:
        client, server = await world.establish()
        client.writer.transport.pause_reading()
        connection = next(iter(world.node.clients))
        while not connection.blocked:
            server.writer.write((b"x" * 1000 + b"\r\n") * 3)
            await asyncio.sleep(0.001)
        server.end("fin")
        await world.until(lambda: connection.closed)  # after FLUSH_SECONDS
        client.writer.transport.resume_reading()
        received = [await client.line()]
        while received[-1] not in ("fin", "rst"):
            received.append(await client.line())
        assert received[-1] == "fin" and all(len(line) == 1000 for line in received[:-1])


# One answer, whatever happens in the same turn.


@pytest.mark.parametrize("first, told", [("time", "BUSY 500"), ("server", "UP 1")])
@async_test
async def test_timeout_and_answer_in_one_turn_give_one_answer(monkeypatch, first, told):
    # Otherwise the client gets UP after the BUSY that was decided in the same turn, or BUSY after UP.
    async with World() as world:
        batch = Batch(monkeypatch, world.node)
        client = await world.call()
        _, server, _ = await world.leg()
        call = next(iter(world.node.clients)).call
        timeout = (world.node.balancer.on_timer, call)
        batch.of(*((timeout, "server") if first == "time" else ("server", timeout)))
        server.say("UP 1")
        assert await client.line() == told
        if first == "time":
            assert [await client.line(), await server.line()] == ["fin", "fin"]
        else:
            client.say("M 1")
            assert await server.line() == "M 1"
        counters = world.node.counters
        assert counters["completed.chat"] + counters["rejected.chat"] == 1


@pytest.mark.parametrize("effect, told", [("retryable", "BUSY 500"), ("fragile", "ERR")])
@async_test
async def test_timeout_and_error_in_one_turn_give_one_answer(monkeypatch, effect, told):
    async with World(servers=2, effect=effect) as world:
        batch = Batch(monkeypatch, world.node)
        client = await world.call()
        _, server, _ = await world.leg()
        batch.of((world.node.balancer.on_timer, next(iter(world.node.clients)).call), "server")
        server.say("ERR")
        assert [await client.line(), await client.line()] == [told, "fin"]
        assert world.arrived.empty() and world.node.counters["legs"] == 1


# Nothing is sent for a client that closes while it waits.


@pytest.mark.parametrize("how", ["fin", "rst"])
@async_test
async def test_sends_nothing_for_a_client_that_closes_as_its_attempt_connects(monkeypatch, how):
    async with World() as world:
        batch = Batch(monkeypatch, world.node)
        batch.of("server", "client end")  # connected, and the client closed, in one turn
        client = await world.call()
        await world.until(lambda: batch.held)
        client.end(how)
        _, server = await asyncio.wait_for(world.arrived.get(), 5)
        assert await server.line() == how  # and not the request
        await world.until(lambda: not world.node.clients)
        assert not world.node.counters["upstream_requests"] and not world.node.balancer.open_legs


@pytest.mark.parametrize("how", ["fin", "rst"])
@async_test
async def test_makes_no_attempt_for_a_burst_of_clients_that_close_at_once(how):
    # The request and the end of each have arrived before the balancer reads: no connection to a server is
    # opened.
    async with World(servers=2) as world:

        def burst():
            for number in range(60):
                sock = socket.create_connection(world.node.address)
                sock.sendall(b"OPEN %016x 7f3a9c21e0b4d655 c=chat,t=acme,d=2000\r\n" % (number + 1))
                if how == "rst":
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                sock.close()

        burst()  # the event loop does not run meanwhile
        await world.until(lambda: world.node.counters["ended_client"] >= 60 and not world.node.clients)
        assert not world.node.counters["upstream_requests"] and not world.node.balancer.open_legs


@async_test
async def test_does_not_send_a_queued_call_whose_client_has_closed_when_a_server_is_listed():
    async with World(servers=0) as world:
        client = await world.call()
        await world.until(lambda: world.node.balancer.queued)
        client.end("fin")
        await world.until(lambda: not world.node.clients)
        listener = await asyncio.start_server(world.on_server_connection(0), "127.0.0.1")
        world.listeners.append(listener)
        entry = world.entry(0, "{}:{}".format(*listener.sockets[0].getsockname()))
        world.watch.writer.write(chunk(list_line(50, entry)))
        await world.until(lambda: world.node.servers)
        await world.establish()
        await world.until(lambda: not world.node.balancer.queued)
        assert world.node.counters["upstream_requests"] == 1


# Shutdown.


@async_test
async def test_shutdown_waits_for_the_rest_of_a_request_line(monkeypatch):
    monkeypatch.setattr(shutdown, "MIN_SECONDS", 0.1)
    async with World() as world:
        slow, silent = await world.dial(), await world.dial()
        slow.writer.write(b"OPEN 00000000000000a1 7f3a9c21e0b4d655 c=ch")
        await world.until(
            lambda: [c.received.length for c in world.node.clients if c.received.length] == [43]
        )
        world.node.queue(world.node.begin_shutdown)
        await world.until(
            lambda: world.node.shutdown and world.node.clock() - world.node.shutdown.started_at > 0.3
        )
        assert not world.serving.done()
        slow.say("at,t=acme,d=2000")
        silent.say("OPEN 00000000000000a2 7f3a9c21e0b4d655 c=chat,t=acme,d=2000")
        for client in (slow, silent):
            assert [await client.line(), await client.line()] == ["BUSY", "fin"]
            client.end("fin")
        await asyncio.wait_for(world.serving, 1)


@async_test
async def test_shutdown_answers_clients_in_the_accept_queue(monkeypatch):
    monkeypatch.setattr(shutdown, "MIN_SECONDS", 0.0)
    async with World() as world:
        waiting = []

        def connect_and_shut_down():
            for number in range(5):
                waiting.append(socket.create_connection(world.node.address))
                waiting[-1].sendall(b"OPEN %016x 7f3a9c21e0b4d655 c=chat,t=acme,d=2000\r\n" % (number + 1))
            world.node.begin_shutdown()  # none of them has been accepted yet

        world.node.queue(connect_and_shut_down)
        await world.until(lambda: len(waiting) == 5)
        for sock in waiting:
            client = Peer(*await asyncio.open_connection(sock=sock))
            assert [await client.line(), await client.line()] == ["BUSY", "fin"]
            client.end("fin")
        await asyncio.wait_for(world.serving, 2)
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(world.node.address)


@pytest.mark.parametrize("error", [errno.EMFILE, errno.ECONNABORTED])
@async_test
async def test_shutdown_ends_even_if_accepting_fails(monkeypatch, error):
    monkeypatch.setattr(shutdown, "MIN_SECONDS", 0.0)
    async with World() as world:
        listening_socket = mock.Mock(wraps=world.node.listeners.socket)
        listening_socket.accept.side_effect = OSError(error, "no")
        monkeypatch.setattr(world.node.listeners.listener, "sockets", [listening_socket])
        world.node.queue(world.node.begin_shutdown)
        await asyncio.wait_for(world.serving, 2)
        assert listening_socket.accept.called and not world.node.counters["faults"]


@pytest.mark.parametrize(
    "effect, told", [("retryable", "BUSY 500"), ("fragile", "ERR"), ("dedup", "BUSY 500")]
)
@async_test
async def test_shutdown_answers_clients_of_a_server_that_hangs(monkeypatch, effect, told):
    monkeypatch.setattr(shutdown, "MAX_REQUEST_SECONDS", 0.3)
    async with World(effect=effect) as world:
        client = await world.call("c=chat,t=acme,d=30000")  # longer than the shutdown lasts
        await world.leg()
        world.node.queue(world.node.begin_shutdown)
        assert [await client.line(), await client.line()] == [told, "fin"]
        client.end("fin")
        await asyncio.wait_for(world.serving, 2)


@async_test
async def test_a_server_counts_as_silent_however_much_its_client_sends():
    async with World() as world:
        client, _ = await world.establish()
        (connection,) = next(iter(world.node.servers.values())).host_record.connections
        for sent in (100, 200):
            client.writer.write(b"M\r\n" * 100)
            await world.until(lambda sent=sent: world.node.counters["lines_to_servers"] == sent)
            assert not connection.is_silent()
            world.node.anchor += 1.5
            world.node.now = world.node.clock()
        assert connection.is_silent()


@pytest.mark.parametrize("words", [b"", b"PING\r\n", b"OPEN 00000000000000a1 7f3a9c21e0b4d655 c=ch"])
@async_test
async def test_shutdown_answers_clients_without_a_request_before_it_ends(monkeypatch, words):
    """Their request may cross the end of the process: some connect 0.4 s after the signal and write 2.75 s
    later."""
    monkeypatch.setattr(shutdown, "MAX_REQUEST_SECONDS", 0.5)
    async with World() as world:
        ordinary, _ = await world.establish()
        client = await world.dial()
        client.writer.write(words)
        await world.until(lambda: len(world.node.clients) == 2)
        world.node.queue(world.node.begin_shutdown)
        if words.startswith(b"P"):
            assert await client.line() == "PONG"
        assert [await client.line(), await client.line()] == ["BUSY 1500", "fin"]
        assert not world.serving.done() and ordinary
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(world.node.address)
        client.end("fin")
        await asyncio.wait_for(world.serving, 2)


@async_test
async def test_runs_nothing_after_the_end_of_the_shutdown():
    """Timers still run while the event loop is closed; they must not begin a watch or an attempt."""
    async with World() as world:
        calls = []
        world.node.after(0.0, calls.append, "by a timer")
        world.node.finished.set()
        await world.serving
        world.node.queue(calls.append, "by an event")
        ended = world.node.loop.time() + 0.05
        await world.until(lambda: world.node.loop.time() > ended)
        assert calls in ([], ["by a timer"])  # the timer may run before the end
        assert not world.node.turn_scheduled


@async_test
async def test_shutdown_before_listening_ends_cleanly(tmp_path):
    async with World(discovery="push") as world:
        await world.discovery_request()  # from the node of `world`
        path = tmp_path / "config.json"
        path.write_text(json.dumps(world.raw))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "bellrack",
            "serve",
            f"--config={path}",
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
        )
        await world.discovery_request()  # from the process, which waits for a list that does not come
        process.send_signal(signal.SIGTERM)
        _, said = await asyncio.wait_for(process.communicate(), 5)
        assert process.returncode == 0 and b"Traceback" not in said and b"event=serving" not in said


# Discovery.


@pytest.mark.parametrize("start", [HEAD, HEAD + chunk('{"generation": 50,\n'), b"HTTP/1.1 200 OK\r\nX: "])
@pytest.mark.parametrize("part", [b"x", b"1\r\n \r\n"])
@async_test
async def test_a_watch_without_whole_lines_counts_as_silent(monkeypatch, start, part):
    monkeypatch.setattr(discovery_request, "SILENCE_SECONDS", 0.3)
    monkeypatch.setattr(discovery, "CHECK_INTERVAL_SECONDS", 0.05)
    monkeypatch.setattr("bellrack.discovery_retry.FIRST_DELAY_SECONDS", 0.02)
    if part == b"x" and start.endswith(b"\n"):
        part = b"9" * 1  # the head of a chunk that never ends
    async with World() as world:
        watch, _ = await world.discovery_request()
        watch.writer.write(start)

        async def write_parts():
            while True:
                watch.writer.write(part)
                await asyncio.sleep(0.05)

        writing = asyncio.create_task(write_parts())
        await world.discovery_request()
        writing.cancel()


@async_test
async def test_silence_of_a_watch_counts_from_the_head_of_its_response():
    async with World() as world:
        watch, _ = await world.discovery_request()
        request = world.node.discovery.current
        before = request.last_received
        watch.writer.write(HEAD[:20])
        await world.until(lambda: request.response.rest)
        assert request.last_received == before
        watch.writer.write(HEAD[20:])
        await world.until(lambda: request.response.status)
        assert request.last_received > before


@async_test
async def test_empty_lines_keep_a_watch_open(monkeypatch):
    monkeypatch.setattr(discovery_request, "SILENCE_SECONDS", 0.3)
    monkeypatch.setattr(discovery, "CHECK_INTERVAL_SECONDS", 0.05)
    async with World() as world:
        watch, _ = await world.discovery_request()
        watch.writer.write(HEAD)
        for _ in range(12):
            watch.writer.write(chunk("\n"))
            await asyncio.sleep(0.05)
        assert world.discovery_requests.empty() and world.node.readiness.list_received
        await world.discovery_request()


@async_test
async def test_accepts_an_indented_list():
    async with World(servers=2) as world:
        watch, _ = await world.discovery_request()
        one, other = world.node.servers.values()
        change = {
            "generation": 50,
            "reset": False,
            "instances": [world.entries[0] | {"lifecycle": "terminating", "note": 'a "}" {['}],
        }
        text = (
            json.dumps(change, indent=2)
            + "\n\n"
            + json.dumps({"generation": 51, "reset": True, "instances": [world.entries[1]]}, indent="\t")
            + "\n"
        )
        watch.writer.write(HEAD)
        for at in range(0, len(text), 37):
            watch.writer.write(chunk(text[at : at + 37]))
        await world.until(lambda: world.node.server_list.version == 51)
        assert (one.state, other.state) == (model.GONE, model.READY)
        assert not world.node.counters["list_failures"]


@async_test
async def test_gives_up_a_fetch_that_is_not_answered(monkeypatch):
    monkeypatch.setattr(discovery_request, "SILENCE_SECONDS", 0.1)
    async with World(discovery="push") as world:
        await world.discovery_request()
        world.node.queue(world.node.discovery.fetch)
        fetch, target = await world.discovery_request()
        assert target == "/v1/endpoints" and await fetch.line() in ("fin", "rst")


@async_test
async def test_with_pushed_lists_listens_on_the_current_list():
    # The list of discovery counts as known from the start, so servers of the older, known list may be
    # draining.
    world = World(servers=2, discovery="push", patience=5.0)

    async def agent():
        watch, _ = await world.discovery_request()
        draining = world.entries[0] | {"lifecycle": "terminating"}
        watch.writer.write(HEAD + chunk(list_line(50, draining, whole=False)))

    answering = asyncio.create_task(agent())
    async with world:
        assert world.node.readiness.list_received and answering.done()
        states = {server.host_record.name: server.state for server in world.node.servers.values()}
        assert states == {"s-0": model.DRAINING, "s-1": model.READY}
        clients = []  # kept open: nothing is sent for a client that has closed
        for _ in range(4):
            clients.append(await world.call())
            assert (await world.leg())[0] == 1


@async_test
async def test_with_pushed_lists_renews_a_broken_watch_within_the_drain_grace():
    # A change counts as known at once, whether or not a watch is open.
    async with World(discovery="push") as world:
        for _ in range(3):
            watch, _ = await world.discovery_request()
            broken_at = world.node.loop.time()
            watch.end("rst")
        await world.discovery_request()
        assert world.node.loop.time() - broken_at < world.node.settings.drain_grace


def test_retries_a_failed_discovery_while_the_list_is_valid():
    bench = Bench(settings(ask_within=1.0))
    for _ in range(40):
        bench.timers.clear()
        bench.balancer.on_discovery_failed()
        ((when, what),) = bench.timers
        assert what == "watch" and when - bench.now <= 1.5  # up to four times that after a failed call


# Whether an attempt may have run. Two servers, each in a zone and a cell of its own.

MAY_HAVE_RAN = ("ERR", "garbage", "UP\0", "MOVE", "fin", "rst", "half")
EFFECTS = [("retryable", "all"), ("dedup", "all"), ("dedup", "zone"), ("dedup", "cell"), ("fragile", "all")]


def traffic_types(effect, group):
    return [
        {
            "name": "chat",
            "effect": effect,
            "group": group,
            "keyTtlUs": 5e6,
            "guardTimeUs": 2e6,
            "setupTargetUs": 2e5,
        }
    ]


@pytest.mark.parametrize("outcome", [*MAY_HAVE_RAN, "BUSY"])
@pytest.mark.parametrize("effect, group", EFFECTS)
@async_test
async def test_retries_in_another_group_only_if_that_is_safe(effect, group, outcome):
    """The call is retried there if the leg never ran or a repeat does no harm. Otherwise the answer is ERR,
    which does not say whether it ran."""
    async with World(servers=2, apart=True, trafficTypes=traffic_types(effect, group)) as world:
        client = await world.call()
        number, server, _ = await world.leg()
        assert number == 0  # in the balancer's own zone
        drained = [world.entries[0] | {"lifecycle": "terminating"}]
        update = lines.parse_list({"generation": 50, "reset": False, "instances": drained})
        world.node.queue(world.node.server_list.on_list, update)
        await world.until(lambda: world.node.server_list.version == 50)
        if outcome in ("fin", "rst", "half"):
            server.writer.write(b"UP 1" * (outcome == "half"))
            server.end(outcome.replace("half", "fin"))
        else:
            server.say(outcome)
        if outcome in MAY_HAVE_RAN and (effect == "fragile" or group != "all"):
            assert [await client.line(), await client.line()] == ["ERR", "fin"]
            assert world.arrived.empty() and world.node.counters["legs"] == 1
        else:
            number, server, _ = await world.leg()
            server.say("UP 2")
            assert number == 1 and await client.line() == "UP 2"


@pytest.mark.parametrize("effect, group", EFFECTS)
@async_test
async def test_a_leg_without_descriptors_counts_as_never_sent(monkeypatch, effect, group):
    async with World(servers=2, apart=True, trafficTypes=traffic_types(effect, group)) as world:
        monkeypatch.setattr(world.node.limits, "lacks", lambda more: True)
        client = await world.call()
        assert [await client.line(), await client.line()] == ["BUSY 500", "fin"]
        assert world.arrived.empty() and not world.node.counters["legs"]


# Short deadlines.


@pytest.mark.parametrize("wait, sent", [(0.012, True), (0.1, True), (0.0, False), (-1.0, False)])
def test_a_short_deadline_leaves_time_for_an_attempt(wait, sent):
    bench = Bench(settings())  # 24 ms are allowed for the answer to reach the client
    bench.fleet(0, 0)
    call = bench.call(wait=wait)
    assert bool(bench.sent) == sent and call.done != sent
    for _, until in bench.sent:
        assert bench.now + 0.7 * wait < until < call.deadline
