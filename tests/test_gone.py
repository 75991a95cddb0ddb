"""No attempt begins for a client that has closed: the kernel knows of its end before the node has read it."""

import asyncio
import contextlib
import select
import socket
import struct

import pytest
from helpers import Batch, World, played, raw_settings

from bellrack.net import lines, server_watch, servers

PATIENT = [raw_settings()["trafficTypes"][0] | {"guardTimeUs": 2e7, "setupTargetUs": 2e7}]
LONG = "c=chat,t=acme,d=20000"
ENDS = pytest.mark.parametrize("how", ["fin", "half-close", "rst"])


def come(world, number=1, more=b""):
    """A client that acts at once, without a turn of the loop."""
    sock = socket.create_connection(world.node.address)
    sock.sendall(b"OPEN %016x 7f3a9c21e0b4d655 %s\r\n" % (number, LONG.encode()) + more)
    return sock


def leave(sock, how):
    if how == "half-close":
        sock.shutdown(socket.SHUT_WR)
        return
    if how == "rst":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def leave_now(world, sock, how):
    """It is gone when this returns, as far as the kernel knows; the loop stands meanwhile."""
    name = sock.getsockname()
    link = next(one for one in world.node.clients if one.transport.get_extra_info("peername") == name)
    leave(sock, how)
    poll = select.poll()
    poll.register(link.transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    assert poll.poll(5000)


async def nothing_left(world):
    await world.until(lambda: not world.node.clients and not world.node.balancer.open_legs)
    assert not world.node.counters["faults"]


# An end that is in the kernel and not yet read, as after a long turn.


@ENDS
@played
async def test_a_queued_request_whose_client_leaves_before_it_is_looked_at_is_not_sent(how):
    async with World(servers=0, trafficTypes=PATIENT) as world:
        client = come(world)
        await world.until(lambda: world.node.balancer.queued)
        place = await asyncio.start_server(world.served(0), "127.0.0.1")
        world.listeners.append(place)
        entry = world.entry(0, "{}:{}".format(*place.sockets[0].getsockname()))

        def one_turn():
            leave_now(world, client, how)
            world.node.server_list.on_list(
                lines.parse_list({"generation": 42, "reset": True, "instances": [entry]})
            )
            world.node.balancer.on_timer("queue")
            assert not world.node.balancer.queued and world.node.actions  # it was placed

        world.node.queue(one_turn)
        await nothing_left(world)
        assert not world.node.counters["legs"] and world.arrived.empty()


@pytest.mark.parametrize("outcome", ["BUSY", "ERR", "rst"])
@ENDS
@played
async def test_a_failed_attempt_has_no_other_if_the_client_has_left(monkeypatch, how, outcome):
    async with World(servers=2, trafficTypes=PATIENT) as world:
        batch = Batch(monkeypatch, world.node)
        client = come(world)
        _, server, _ = await world.leg()
        batch.of((leave_now, world, client, how), "server")  # in this order, in one turn
        if outcome == "rst":
            server.end("rst")
        else:
            server.say(outcome)
        await nothing_left(world)
        assert world.node.counters["legs"] == 1 and world.arrived.empty()
        assert sum(world.node.counters[f"leg_{kind}"] for kind in ("full", "error", "reset")) == 1


@ENDS
@played
async def test_an_attempt_that_comes_up_when_its_client_has_left_is_not_written(monkeypatch, how):
    async with World(trafficTypes=PATIENT) as world:
        batch = Batch(monkeypatch, world.node)
        clients = []
        batch.of((lambda: leave_now(world, clients[0], how),), "server")
        clients.append(come(world))
        _, server = await asyncio.wait_for(world.arrived.get(), 5)
        assert await server.line() in ("fin", "rst")
        await nothing_left(world)
        assert not world.node.counters["upstream_requests"] and world.node.counters["leg_cancelled"] == 1
        assert (
            next(iter(world.node.servers.values())).local_state.consecutive_failures == 0
        )  # it is no failure of the server


@ENDS
@played
async def test_an_attempt_that_is_late_is_given_up_with_its_client(monkeypatch, how):
    gate, opened = asyncio.Event(), servers.OutgoingConnection._open

    async def slowly(self, *args):
        if self.side == "server":
            await gate.wait()
        await opened(self, *args)

    monkeypatch.setattr(servers.OutgoingConnection, "_open", slowly)
    async with World(trafficTypes=PATIENT) as world:
        client = come(world)
        await world.until(lambda: world.node.counters["legs"])
        leave_now(world, client, how)
        await nothing_left(world)
        gate.set()
        sound = await world.call(number=9)
        assert (await world.leg())[2].startswith("OPEN 0000000000000009 ") and sound
        assert world.node.counters["upstream_requests"] == 1


@ENDS
@played
async def test_a_line_and_the_end_behind_it_make_no_attempt(how):
    async with World(servers=2) as world:

        def burst():
            for number in range(20):
                leave(come(world, number + 1), how)

        burst()  # both are there before the loop looks
        await world.until(lambda: world.node.counters["ended_client"] >= 20)
        await nothing_left(world)
        assert not world.node.counters["legs"] and world.arrived.empty()


@pytest.mark.parametrize("rest", [b"M 1\r\n", b"M 1\r\n" * 2000, b"x" * 9000])
@played
async def test_a_line_with_more_bytes_and_the_end_behind_it_makes_no_attempt(rest):
    # The last two fill the ring, so the end can't be read.
    async with World(servers=2) as world:
        client = come(world, more=rest)
        leave(client, "half-close")
        client.settimeout(5)
        told = await asyncio.to_thread(client.makefile("rb").readline)
        assert told == b"SYNTAX\r\n"
        await nothing_left(world)
        assert not world.node.counters["legs"] and world.arrived.empty()


@pytest.mark.parametrize("ends", ["rst", "silence"])
@ENDS
@played
async def test_a_client_that_leaves_while_its_ring_is_full_is_not_sent_on(monkeypatch, how, ends):
    # It stands, its server takes nothing, so reading from it is paused: no end is read. What then: the pair
    # goes with its server's end, or as with any server that falls silent, and there is no other attempt.
    monkeypatch.setattr(server_watch, "CHECK_INTERVAL_SECONDS", 0.05)
    quiet = {"messageAimUs": [1e9], "tellsDelay": False}
    async with World(servers=2, specifics=quiet, trafficTypes=PATIENT) as world:
        client = come(world)
        _, server, _ = await world.leg()
        server.writer.transport.pause_reading()
        server.say("UP 1")
        await world.until(lambda: world.node.counters["stood"])
        link = next(iter(world.node.clients))
        client.setblocking(False)
        while not link.paused:
            with contextlib.suppress(BlockingIOError):
                client.send(b"M 1\r\n" * 1000)
            await asyncio.sleep(0)
        leave_now(world, client, how)
        if ends == "rst":
            server.end("rst")
        else:
            monkeypatch.setattr(servers, "SILENCE_SECONDS", 0.1)
        await nothing_left(world)
        assert world.node.counters["legs"] == 1 and world.arrived.empty()


# No long turn.


@pytest.mark.parametrize("queue", ["events", "acts"])
@played
async def test_a_long_turn_stops_so_that_ends_and_lists_come_in_between(monkeypatch, queue):
    async with World() as world:
        host, client, seen, told = world.node, socket.create_connection(world.node.address), [], []
        await world.until(lambda: host.clients)
        link, clock, late = next(iter(host.clients)), host.clock, 0.0

        def work(number):  # each takes 10 ms
            nonlocal late
            late += 0.01
            seen.append((number, link.remote_end))
            if not number:
                leave_now(world, client, "fin")
                host.queue(lambda: told.append(len(seen)), first=True)

        monkeypatch.setattr(host, "clock", lambda: clock() + late)
        if queue == "events":
            for number in range(300):
                host.queue(work, number)
        else:
            host.queue(lambda: host.actions.extend((work, (number,)) for number in range(300)))
        await world.until(lambda: len(seen) == 300)
        assert [number for number, _ in seen] == list(range(300))
        ended = next(number for number, how in seen if how)
        assert ended <= 10 and told[0] <= 10  # within 0.1 s


@played
async def test_200_lines_in_an_instant(capsys):
    async with World(sockets=900, trafficTypes=PATIENT) as world:
        entries = [world.entries[0] | {"instanceId": f"s-{number}"} for number in range(100)]
        world.node.server_list.on_list(
            lines.parse_list({"generation": 42, "reset": True, "instances": entries})
        )
        socks = [socket.create_connection(world.node.address) for _ in range(200)]
        await world.until(lambda: len(world.node.clients) == 200, 10)
        for number, sock in enumerate(socks):
            sock.sendall(b"OPEN %016x 7f3a9c21e0b4d655 %s\r\n" % (number + 1, LONG.encode()))
        await world.until(lambda: world.node.counters["calls"] == 200, 10)
        await world.until(lambda: world.node.counters["upstream_requests"] == 200, 10)
        with capsys.disabled():
            print(f"\n200 lines at once, 100 servers: longest turn {1000 * world.node.longest_turn:.0f} ms")
        for sock in socks:
            sock.close()
        await nothing_left(world)
        while not world.arrived.empty():  # of this process, whose descriptors the tests after this count too
            world.arrived.get_nowait()[1].end("rst")
        await asyncio.sleep(0)
