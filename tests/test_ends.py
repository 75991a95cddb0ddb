"""What is owed at the instant at which something ends: each bad order is made by stand-ins, every time."""

import asyncio
import errno
import json
import os
import signal
import socket
import sys
from unittest import mock

import pytest
from helpers import Batch, Bench, Peer, World, played, settings

from bellrack import model
from bellrack.net import discovery, lines, server_watch, servers, shutdown

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


def chunk(text):
    return f"{len(text.encode()):x}\r\n{text}\r\n".encode()


def listed(version, *entries, whole=True):
    return json.dumps({"generation": version, "reset": whole, "instances": entries}) + "\n"


# A server that hangs, or ends, in the middle.


@pytest.mark.parametrize("part", ["half a ", "x" * 3000])
@played
async def test_a_server_that_hangs_in_the_middle_of_a_line_is_left(monkeypatch, part):
    # Seen on roll+brink: 17 bytes of a line held, the client's lines unanswered for 7 s, and no MOVE.
    monkeypatch.setattr(servers, "SILENCE_SECONDS", 0.2)
    monkeypatch.setattr(server_watch, "CHECK_INTERVAL_SECONDS", 0.05)
    quiet = {"messageAimUs": [1e9], "tellsDelay": False}  # lateness alone moves nobody
    async with World(specifics=quiet) as world:
        client, server = await world.standing()
        client.say("M 1")
        assert await server.line() == "M 1"
        server.writer.write(part.encode())
        assert [await client.line(), await client.line()] == ["MOVE", "fin"]


@pytest.mark.parametrize("last", ["BYE", "MOVE"])
@played
async def test_a_server_that_says_its_last_and_does_not_end_is_ended_for_it(last):
    async with World() as world:
        client, server = await world.standing()
        server.say(last)
        assert [await client.line(), await client.line(), await server.line()] == [last, "fin", "fin"]
        assert not world.node.balancer.open_legs


@pytest.mark.parametrize("last", ["BYE", "MOVE"])
@played
async def test_a_last_line_is_not_lost_with_the_reset_behind_it(last):
    async with World() as world:
        client, server = await world.standing()
        server.say(last)
        server.end("rst")
        assert [await client.line(), await client.line()] == [last, "fin"]


@played
async def test_a_slow_client_still_gets_whole_lines_when_its_server_has_ended():
    async with World() as world:
        client, server = await world.standing()
        client.writer.transport.pause_reading()
        link = next(iter(world.node.clients))
        while not link.blocked:
            server.writer.write((b"x" * 1000 + b"\r\n") * 3)
            await asyncio.sleep(0.001)
        server.end("fin")
        await world.until(lambda: link.closed)  # it waited as long as it may
        client.writer.transport.resume_reading()
        told = [await client.line()]
        while told[-1] not in ("fin", "rst"):
            told.append(await client.line())
        assert told[-1] == "fin" and all(len(line) == 1000 for line in told[:-1])


# One answer, whatever comes at the same instant.


@pytest.mark.parametrize("first, told", [("time", "BUSY 500"), ("server", "UP 1")])
@played
async def test_time_and_answer_at_the_same_instant_give_one_answer(monkeypatch, first, told):
    # Guards against UP behind the BUSY that was decided on in the same batch, and the other way round.
    async with World() as world:
        batch = Batch(monkeypatch, world.node)
        client = await world.call()
        _, server, _ = await world.leg()
        call = next(iter(world.node.clients)).call
        due = (world.node.balancer.on_timer, call)
        batch.of(*((due, "server") if first == "time" else ("server", due)))
        server.say("UP 1")
        assert await client.line() == told
        if first == "time":
            assert [await client.line(), await server.line()] == ["fin", "fin"]
        else:
            client.say("M 1")
            assert await server.line() == "M 1"
        counted = world.node.counters
        assert counted["completed.chat"] + counted["rejected.chat"] == 1


@pytest.mark.parametrize("effect, told", [("retryable", "BUSY 500"), ("fragile", "ERR")])
@played
async def test_time_and_error_at_the_same_instant_give_one_answer(monkeypatch, effect, told):
    async with World(servers=2, effect=effect) as world:
        batch = Batch(monkeypatch, world.node)
        client = await world.call()
        _, server, _ = await world.leg()
        batch.of((world.node.balancer.on_timer, next(iter(world.node.clients)).call), "server")
        server.say("ERR")
        assert [await client.line(), await client.line()] == [told, "fin"]
        assert world.arrived.empty() and world.node.counters["legs"] == 1


# A client that leaves while it waits is not sent on.


@pytest.mark.parametrize("how", ["fin", "rst"])
@played
async def test_a_client_that_leaves_as_its_leg_comes_up_is_not_sent_on(monkeypatch, how):
    async with World() as world:
        batch = Batch(monkeypatch, world.node)
        batch.of("server", "client end")  # the connection is up, and its client has gone: in one batch
        client = await world.call()
        await world.until(lambda: batch.held)
        client.end(how)
        _, server = await asyncio.wait_for(world.arrived.get(), 5)
        assert await server.line() == how  # and not the line
        await world.until(lambda: not world.node.clients)
        assert not world.node.counters["upstream_requests"] and not world.node.balancer.open_legs


@pytest.mark.parametrize("how", ["fin", "rst"])
@played
async def test_a_burst_that_leaves_at_once_is_not_sent_on(how):
    # The line and the end of each are there before the balancer looks: none of them is connected for.
    async with World(servers=2) as world:

        def burst():
            for number in range(60):
                sock = socket.create_connection(world.node.address)
                sock.sendall(b"OPEN %016x 7f3a9c21e0b4d655 c=chat,t=acme,d=2000\r\n" % (number + 1))
                if how == "rst":
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                sock.close()

        burst()  # the loop stands meanwhile
        await world.until(lambda: world.node.counters["ended_client"] >= 60 and not world.node.clients)
        assert not world.node.counters["upstream_requests"] and not world.node.balancer.open_legs


@played
async def test_a_kept_call_whose_client_has_left_is_not_sent_when_a_server_comes():
    async with World(servers=0) as world:
        client = await world.call()
        await world.until(lambda: world.node.balancer.queued)
        client.end("fin")
        await world.until(lambda: not world.node.clients)
        place = await asyncio.start_server(world.served(0), "127.0.0.1")
        world.listeners.append(place)
        entry = world.entry(0, "{}:{}".format(*place.sockets[0].getsockname()))
        world.watch.writer.write(chunk(listed(50, entry)))
        await world.until(lambda: world.node.servers)
        await world.standing()
        await world.until(lambda: not world.node.balancer.queued)
        assert world.node.counters["upstream_requests"] == 1


# Shutdown.


@played
async def test_asked_to_end_it_waits_for_a_line_that_is_half_there(monkeypatch):
    monkeypatch.setattr(shutdown, "STAY", 0.1)
    async with World() as world:
        slow, silent = await world.dial(), await world.dial()
        slow.writer.write(b"OPEN 00000000000000a1 7f3a9c21e0b4d655 c=ch")
        await world.until(lambda: [one.ring.length for one in world.node.clients if one.ring.length] == [43])
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


@played
async def test_asked_to_end_it_answers_who_waits_in_the_door(monkeypatch):
    monkeypatch.setattr(shutdown, "STAY", 0.0)
    async with World() as world:
        waiting = []

        def come_and_leave():
            for number in range(5):
                waiting.append(socket.create_connection(world.node.address))
                waiting[-1].sendall(b"OPEN %016x 7f3a9c21e0b4d655 c=chat,t=acme,d=2000\r\n" % (number + 1))
            world.node.begin_shutdown()  # nothing has been accepted since the loop last looked

        world.node.queue(come_and_leave)
        await world.until(lambda: len(waiting) == 5)
        for sock in waiting:
            client = Peer(*await asyncio.open_connection(sock=sock))
            assert [await client.line(), await client.line()] == ["BUSY", "fin"]
            client.end("fin")
        await asyncio.wait_for(world.serving, 2)
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(world.node.address)


@pytest.mark.parametrize("error", [errno.EMFILE, errno.ECONNABORTED])
@played
async def test_asked_to_end_it_ends_also_if_its_door_fails(monkeypatch, error):
    monkeypatch.setattr(shutdown, "STAY", 0.0)
    async with World() as world:
        door = mock.Mock(wraps=world.node.listeners.socket)
        door.accept.side_effect = OSError(error, "no")
        monkeypatch.setattr(world.node.listeners.listener, "sockets", [door])
        world.node.queue(world.node.begin_shutdown)
        await asyncio.wait_for(world.serving, 2)
        assert door.accept.called and not world.node.counters["faults"]


@pytest.mark.parametrize(
    "effect, told", [("retryable", "BUSY 500"), ("fragile", "ERR"), ("dedup", "BUSY 500")]
)
@played
async def test_asked_to_end_it_answers_who_waits_for_a_server_that_hangs(monkeypatch, effect, told):
    monkeypatch.setattr(shutdown, "LONGEST", 0.3)
    async with World(effect=effect) as world:
        client = await world.call("c=chat,t=acme,d=30000")  # longer than there is time
        await world.leg()
        world.node.queue(world.node.begin_shutdown)
        assert [await client.line(), await client.line()] == [told, "fin"]
        client.end("fin")
        await asyncio.wait_for(world.serving, 2)


@played
async def test_a_server_that_says_nothing_is_silent_however_much_its_client_sends():
    async with World() as world:
        client, _ = await world.standing()
        (link,) = next(iter(world.node.servers.values())).host_record.connections
        for sent in (100, 200):
            client.writer.write(b"M\r\n" * 100)
            await world.until(lambda sent=sent: world.node.counters["lines_to_servers"] == sent)
            assert not link.is_silent()
            world.node.anchor += 1.5
            world.node.now = world.node.clock()
        assert link.is_silent()


@pytest.mark.parametrize("words", [b"", b"PING\r\n", b"OPEN 00000000000000a1 7f3a9c21e0b4d655 c=ch"])
@played
async def test_asked_to_end_it_answers_who_says_nothing_before_it_goes(monkeypatch, words):
    """Their request may cross our end: some come 0.4 s after the signal and write 2.75 s later."""
    monkeypatch.setattr(shutdown, "LONGEST", 0.5)
    async with World() as world:
        ordinary, _ = await world.standing()
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


@played
async def test_a_process_that_has_ended_begins_nothing_more():
    """While the loop is taken down its timers still run: a watch or an attempt would begin for nobody."""
    async with World() as world:
        begun = []
        world.node.after(0.0, begun.append, "by a timer")
        world.node.finished.set()
        await world.serving
        world.node.queue(begun.append, "by an event")
        ended = world.node.loop.time() + 0.05
        await world.until(lambda: world.node.loop.time() > ended)
        assert begun in ([], ["by a timer"])  # before its end, if at all
        assert not world.node.turn_scheduled


@played
async def test_asked_to_end_before_its_door_is_open_it_ends_in_order(tmp_path):
    async with World(discovery="push") as world:
        await world.question()  # of the world's own node
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
        await world.question()  # it waits for its list, which does not come
        process.send_signal(signal.SIGTERM)
        _, said = await asyncio.wait_for(process.communicate(), 5)
        assert process.returncode == 0 and b"Traceback" not in said and b"event=serving" not in said


# Being told.


@pytest.mark.parametrize("begun", [HEAD, HEAD + chunk('{"generation": 50,\n'), b"HTTP/1.1 200 OK\r\nX: "])
@pytest.mark.parametrize("part", [b"x", b"1\r\n \r\n"])
@played
async def test_a_watch_that_only_dribbles_is_silent(monkeypatch, begun, part):
    monkeypatch.setattr(discovery, "SILENCE_SECONDS", 0.3)
    monkeypatch.setattr(discovery, "CHECK_INTERVAL_SECONDS", 0.05)
    monkeypatch.setattr("bellrack.discovery_retry.FIRST_DELAY_SECONDS", 0.02)
    if part == b"x" and begun.endswith(b"\n"):
        part = b"9" * 1  # the head of a chunk that never ends
    async with World() as world:
        watch, _ = await world.question()
        watch.writer.write(begun)

        async def dribble():
            while True:
                watch.writer.write(part)
                await asyncio.sleep(0.05)

        dribbling = asyncio.create_task(dribble())
        await world.question()
        dribbling.cancel()


@played
async def test_a_watch_whose_call_had_to_wait_is_silent_only_from_its_head_on():
    async with World() as world:
        watch, _ = await world.question()
        asked = world.node.discovery.current
        before = asked.last_received
        watch.writer.write(HEAD[:20])
        await world.until(lambda: asked.response.rest)
        assert asked.last_received == before
        watch.writer.write(HEAD[20:])
        await world.until(lambda: asked.response.status)
        assert asked.last_received > before


@played
async def test_an_empty_line_keeps_a_watch_and_nothing_else_of_its_kind(monkeypatch):
    monkeypatch.setattr(discovery, "SILENCE_SECONDS", 0.3)
    monkeypatch.setattr(discovery, "CHECK_INTERVAL_SECONDS", 0.05)
    async with World() as world:
        watch, _ = await world.question()
        watch.writer.write(HEAD)
        for _ in range(12):
            watch.writer.write(chunk("\n"))
            await asyncio.sleep(0.05)
        assert world.questions.empty() and world.node.readiness.list_received
        await world.question()


@played
async def test_a_list_may_come_indented():
    async with World(servers=2) as world:
        watch, _ = await world.question()
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


@played
async def test_a_fetch_that_is_not_answered_is_given_up(monkeypatch):
    monkeypatch.setattr(discovery, "SILENCE_SECONDS", 0.1)
    async with World(discovery="push") as world:
        await world.question()
        world.node.queue(world.node.discovery.fetch)
        fetch, target = await world.question()
        assert target == "/v1/endpoints" and await fetch.line() in ("fin", "rst")


@played
async def test_where_lists_are_pushed_the_door_opens_on_the_list_of_now():
    # What the agent has counts as told from the first moment: the list that we know may name what drains.
    world = World(servers=2, discovery="push", patience=5.0)

    async def agent():
        watch, _ = await world.question()
        draining = world.entries[0] | {"lifecycle": "terminating"}
        watch.writer.write(HEAD + chunk(listed(50, draining, whole=False)))

    answering = asyncio.create_task(agent())
    async with world:
        assert world.node.readiness.list_received and answering.done()
        states = {server.host_record.name: server.state for server in world.node.servers.values()}
        assert states == {"s-0": model.DRAINING, "s-1": model.READY}
        clients = []  # kept open: one that is dropped has left, and a client that has left is not sent on
        for _ in range(4):
            clients.append(await world.call())
            assert (await world.leg())[0] == 1


@played
async def test_where_lists_are_pushed_a_broken_watch_is_renewed_within_the_grace_of_a_drain():
    # A change counts as told at once there, whether or not a watch is open.
    async with World(discovery="push") as world:
        for _ in range(3):
            watch, _ = await world.question()
            begun = world.node.loop.time()
            watch.end("rst")
        await world.question()
        assert world.node.loop.time() - begun < world.node.settings.drain_grace


def test_a_list_service_that_fails_is_asked_again_while_the_list_stands():
    bench = Bench(settings(ask_within=1.0))
    for _ in range(40):
        bench.wakes.clear()
        bench.balancer.on_discovery_failed()
        ((when, what),) = bench.wakes
        assert what == "watch" and when - bench.now <= 1.5  # four times that holds after a call that failed


# Has it run? Two servers, each in a zone and a cell of its own.

RAN = ("ERR", "garbage", "UP\0", "MOVE", "fin", "rst", "half")
EFFECTS = [("retryable", "all"), ("dedup", "all"), ("dedup", "zone"), ("dedup", "cell"), ("fragile", "all")]


def kinds(effect, group):
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


@pytest.mark.parametrize("outcome", [*RAN, "BUSY"])
@pytest.mark.parametrize("effect, group", EFFECTS)
@played
async def test_what_follows_a_failed_leg_where_only_another_group_is_left(effect, group, outcome):
    """It goes there where the leg never ran or trying again is harmless; nowhere else, and then the answer is
    one that promises nothing."""
    async with World(servers=2, apart=True, trafficTypes=kinds(effect, group)) as world:
        client = await world.call()
        number, server, _ = await world.leg()
        assert number == 0  # of our own zone
        drained = [world.entries[0] | {"lifecycle": "terminating"}]
        news = lines.parse_list({"generation": 50, "reset": False, "instances": drained})
        world.node.queue(world.node.server_list.on_list, news)
        await world.until(lambda: world.node.server_list.version == 50)
        if outcome in ("fin", "rst", "half"):
            server.writer.write(b"UP 1" * (outcome == "half"))
            server.end(outcome.replace("half", "fin"))
        else:
            server.say(outcome)
        if outcome in RAN and (effect == "fragile" or group != "all"):
            assert [await client.line(), await client.line()] == ["ERR", "fin"]
            assert world.arrived.empty() and world.node.counters["legs"] == 1
        else:
            number, server, _ = await world.leg()
            server.say("UP 2")
            assert number == 1 and await client.line() == "UP 2"


@pytest.mark.parametrize("effect, group", EFFECTS)
@played
async def test_short_of_descriptors_a_leg_was_never_sent(monkeypatch, effect, group):
    async with World(servers=2, apart=True, trafficTypes=kinds(effect, group)) as world:
        monkeypatch.setattr(world.node.limits, "lacks", lambda more: True)
        client = await world.call()
        assert [await client.line(), await client.line()] == ["BUSY 500", "fin"]
        assert world.arrived.empty() and not world.node.counters["legs"]


# Short of time.


@pytest.mark.parametrize("wait, goes", [(0.012, True), (0.1, True), (0.0, False), (-1.0, False)])
def test_a_short_deadline_leaves_time_for_a_leg(wait, goes):
    bench = Bench(settings())  # an answer's way is taken for 24 ms
    bench.fleet(0, 0)
    call = bench.call(guard=wait)
    assert bool(bench.sent) == goes and call.done != goes
    for _, until in bench.sent:
        assert bench.now + 0.7 * wait < until < call.deadline
