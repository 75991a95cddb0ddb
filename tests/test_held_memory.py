"""What is over is held by nothing: timers, tables and buffers end with what they are for."""

import asyncio
import gc
import socket
import sys
import tracemalloc
import weakref

import pytest
from helpers import World, async_test
from test_handover import folder, reserved_address  # noqa: F401 (a fixture)
from test_net import begin_run

from bellrack.net import limits, lines, sibling
from bellrack.net.clients import ClientConnection
from bellrack.net.servers import ServerConnection

LONG_WAIT = "c=chat,t=acme,d=60000"


class Witness:
    """Weak references to all connections that are made while it is in use."""

    def __init__(self, monkeypatch):
        self.references = []
        for kind in (ClientConnection, ServerConnection):
            monkeypatch.setattr(kind, "__init__", self.noting(kind.__init__))

    def noting(self, construct):
        def construct_and_note(connection, *args, **named):
            self.references.append(weakref.ref(connection))
            construct(connection, *args, **named)

        return construct_and_note

    def alive(self):
        """Return the connections that something holds still."""
        gc.collect()
        return [reference() for reference in self.references if reference()]


@pytest.mark.parametrize(
    "end", ["served", "rejected", "failed", "left-waiting", "left-resuming", "bye", "moved"]
)
@async_test
async def test_ended_connection_is_not_held_for_as_long_as_its_client_would_have_waited(monkeypatch, end):
    """Requests that were over stayed in memory until `d` had passed: up to a minute each."""
    async with World(servers=1) as world:
        await begin_run(world)
        witness = Witness(monkeypatch)
        client = await world.call(LONG_WAIT + (",at=s-9" if end == "left-resuming" else ""))
        if end == "left-resuming":
            await world.until(lambda: world.node.resumed.pending)
            client.end("rst")
        else:
            _, server, _ = await world.leg()
        if end == "left-waiting":
            client.end("rst")
            await server.line()
        elif end in ("rejected", "failed"):
            for number in range(3):
                server.say("BUSY" if end == "rejected" else "ERR")
                server = (await world.leg())[1] if number < 2 else server
            await client.line()
        elif end != "left-resuming":
            server.say("UP 1")
            await client.line()
        if end == "bye":
            server.say("BYE")
        elif end == "moved":
            world.node.queue(next(one for one in world.node.clients if one.paired).move, "test")
        client.end("fin")
        if end != "left-resuming":
            server.end("fin")
        await world.until(lambda: not world.node.clients and not world.node.resumed.pending)
        await world.until(lambda: not witness.alive())


@async_test
async def test_repeated_last_line_of_a_server_sets_one_timer(monkeypatch):
    """Each BYE of a server that repeated it at full speed set a further timer of half a second."""
    async with World(servers=1) as world:
        await begin_run(world)
        client, server = await world.establish()
        timers, at = [], world.node.at
        monkeypatch.setattr(world.node, "at", lambda *args: timers.append(args) or at(*args))
        for _ in range(50):
            server.say("BYE")
        for _ in range(50):
            assert await client.line() == "BYE"
        assert len(timers) == 1
        assert await client.line() == "fin"


@async_test
async def test_timers_of_requests_that_are_over_do_not_add_up(monkeypatch):
    """The event loop held one timer for each request of the last minute."""
    async with World(servers=1) as world:
        await begin_run(world)
        live = []
        at = world.node.at

        def note(*args):
            live.append(at(*args))
            return live[-1]

        monkeypatch.setattr(world.node, "at", note)
        for _ in range(5):
            client, server = await world.establish(LONG_WAIT)
            client.end("fin")
            server.end("fin")
        await world.until(lambda: not world.node.clients)
        far = world.node.loop.time() + limits.MAX_WAIT_SECONDS / 2
        assert not [timer for timer in live if not timer.cancelled() and timer.when() > far]


def test_request_line_with_very_many_fields_takes_no_more_memory_than_its_bytes():
    """The fields of one line of 4,000 bytes took 91 KB for as long as its connection stood."""
    wide = b",".join(b"x%x=" % number for number in range(700))
    line = b"OPEN 1 2 c=chat,t=acme,d=2000,g=1,r=1,again=1,at=s-1," + wide + b"\r\n"
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        parsed = [lines.parse_request_line(line) for _ in range(20)]
        held = tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
    assert parsed[0].line == line and set(parsed[0].values) == lines.READ_FIELDS
    assert held < len(parsed) * len(line)


@async_test
async def test_line_that_was_forwarded_leaves_no_buffer_behind():
    """Each standing connection kept two buffers of 8 KB once it had forwarded a line."""
    async with World(servers=1) as world:
        await begin_run(world)
        client, server = await world.establish()
        for from_peer, to_peer in ((client, server), (server, client)):
            from_peer.say("x" * 3000)
            assert await to_peer.line() == "x" * 3000
        connection = next(one for one in world.node.clients if one.paired)
        for one in (connection, connection.server_connection):
            assert sys.getsizeof(one.received.data) < 200


@pytest.mark.parametrize("ended", [True, False])
def test_head_of_a_response_of_discovery_is_bounded(ended):
    """A head of 4 MB, of very many short fields, was parsed at once into 55 MB."""
    head = b"HTTP/1.1 200 OK\r\n" + b"a:b\r\n" * 4000
    with pytest.raises(lines.LineError):
        lines.HttpResponseReader().feed(head + b"\r\n" * ended)


@async_test
async def test_messages_to_a_sibling_that_hangs_are_bounded(folder, monkeypatch):  # noqa: F811
    """Each request adds a message; those to a process that read nothing were kept without a bound."""
    monkeypatch.setattr(sibling, "MAX_UNSENT_BYTES", 100_000)
    async with World(servers=1, control=True, listen=reserved_address()) as world:
        ours, theirs = socket.socketpair(socket.AF_UNIX)
        with theirs:
            world.node.hot_restart.connect(ours)
            await world.until(lambda: world.node.hot_restart.sibling.transport)
            for _ in range(1000):
                if world.node.hot_restart.sibling:
                    world.node.hot_restart.publish(ids=[["0" * 16, 1.0]] * 100)
                    await asyncio.sleep(0)
            assert world.node.hot_restart.sibling is None
