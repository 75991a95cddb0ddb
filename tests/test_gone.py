"""No attempt begins for a client that has closed, also if only the kernel knows of it and not yet asyncio."""

import asyncio
import contextlib
import select
import socket
import struct

import pytest
from helpers import Batch, World, async_test, raw_settings

from bellrack.net import lines, server_watch, servers

SLOW_TYPES = [raw_settings()["trafficTypes"][0] | {"guardTimeUs": 2e7, "setupTargetUs": 2e7}]
FIELDS = "c=chat,t=acme,d=20000"
ENDS = pytest.mark.parametrize("how", ["fin", "half-close", "rst"])


def send_request(world, number=1, more=b""):
    """Connects and sends a request at once, without a turn of the event loop."""
    sock = socket.create_connection(world.node.address)
    sock.sendall(b"OPEN %016x 7f3a9c21e0b4d655 %s\r\n" % (number, FIELDS.encode()) + more)
    return sock


def close(sock, how):
    if how == "half-close":
        sock.shutdown(socket.SHUT_WR)
        return
    if how == "rst":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def close_now(world, sock, how):
    """Closes the client without a turn of the event loop, and waits until the kernel reports it as closed."""
    name = sock.getsockname()
    connection = next(c for c in world.node.clients if c.transport.get_extra_info("peername") == name)
    close(sock, how)
    poll = select.poll()
    poll.register(connection.transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    assert poll.poll(5000)


async def expect_no_calls_left(world):
    await world.until(lambda: not world.node.clients and not world.node.balancer.open_legs)
    assert not world.node.counters["faults"]


# The client has closed, but asyncio has not reported it yet, as after a long turn.


@ENDS
@async_test
async def test_does_not_send_a_queued_request_whose_client_has_closed(how):
    async with World(servers=0, trafficTypes=SLOW_TYPES) as world:
        client = send_request(world)
        await world.until(lambda: world.node.balancer.queued)
        listener = await asyncio.start_server(world.on_server_connection(0), "127.0.0.1")
        world.listeners.append(listener)
        entry = world.entry(0, "{}:{}".format(*listener.sockets[0].getsockname()))

        def one_turn():
            close_now(world, client, how)
            world.node.server_list.on_list(
                lines.parse_list({"generation": 42, "reset": True, "instances": [entry]})
            )
            world.node.balancer.on_timer("queue")
            assert not world.node.balancer.queued and world.node.actions  # a server was chosen

        world.node.queue(one_turn)
        await expect_no_calls_left(world)
        assert not world.node.counters["legs"] and world.arrived.empty()


@pytest.mark.parametrize("outcome", ["BUSY", "ERR", "rst"])
@ENDS
@async_test
async def test_does_not_retry_a_failed_attempt_after_the_client_has_closed(monkeypatch, how, outcome):
    async with World(servers=2, trafficTypes=SLOW_TYPES) as world:
        batch = Batch(monkeypatch, world.node)
        client = send_request(world)
        _, server, _ = await world.leg()
        batch.of((close_now, world, client, how), "server")  # in this order, in one turn
        if outcome == "rst":
            server.end("rst")
        else:
            server.say(outcome)
        await expect_no_calls_left(world)
        assert world.node.counters["legs"] == 1 and world.arrived.empty()
        assert sum(world.node.counters[f"leg_{kind}"] for kind in ("full", "error", "reset")) == 1


@ENDS
@async_test
async def test_sends_nothing_if_the_client_has_closed_when_the_attempt_connects(monkeypatch, how):
    async with World(trafficTypes=SLOW_TYPES) as world:
        batch = Batch(monkeypatch, world.node)
        clients = []
        batch.of((lambda: close_now(world, clients[0], how),), "server")
        clients.append(send_request(world))
        _, server = await asyncio.wait_for(world.arrived.get(), 5)
        assert await server.line() in ("fin", "rst")
        await expect_no_calls_left(world)
        assert not world.node.counters["upstream_requests"] and world.node.counters["leg_cancelled"] == 1
        # It does not count as a failure of the server.
        assert next(iter(world.node.servers.values())).local_state.consecutive_failures == 0


@ENDS
@async_test
async def test_gives_up_a_slow_connect_when_the_client_closes(monkeypatch, how):
    released, connect = asyncio.Event(), servers.OutgoingConnection._open

    async def connect_late(self, *args):
        if self.side == "server":
            await released.wait()
        await connect(self, *args)

    monkeypatch.setattr(servers.OutgoingConnection, "_open", connect_late)
    async with World(trafficTypes=SLOW_TYPES) as world:
        client = send_request(world)
        await world.until(lambda: world.node.counters["legs"])
        close_now(world, client, how)
        await expect_no_calls_left(world)
        released.set()
        later_client = await world.call(number=9)
        assert (await world.leg())[2].startswith("OPEN 0000000000000009 ") and later_client
        assert world.node.counters["upstream_requests"] == 1


@ENDS
@async_test
async def test_makes_no_attempt_for_a_request_that_is_followed_by_the_end(how):
    async with World(servers=2) as world:

        def burst():
            for number in range(20):
                close(send_request(world, number + 1), how)

        burst()  # requests and ends are there before the event loop runs
        await world.until(lambda: world.node.counters["ended_client"] >= 20)
        await expect_no_calls_left(world)
        assert not world.node.counters["legs"] and world.arrived.empty()


@pytest.mark.parametrize("rest", [b"M 1\r\n", b"M 1\r\n" * 2000, b"x" * 9000])
@async_test
async def test_makes_no_attempt_for_a_request_that_is_followed_by_more_bytes_and_the_end(rest):
    # The last two fill the buffer, so that the end cannot be read.
    async with World(servers=2) as world:
        client = send_request(world, more=rest)
        close(client, "half-close")
        client.settimeout(5)
        told = await asyncio.to_thread(client.makefile("rb").readline)
        assert told == b"SYNTAX\r\n"
        await expect_no_calls_left(world)
        assert not world.node.counters["legs"] and world.arrived.empty()


@pytest.mark.parametrize("ends", ["rst", "silence"])
@ENDS
@async_test
async def test_makes_no_further_attempt_for_a_client_that_closes_while_its_ring_is_full(
    monkeypatch, how, ends
):
    # The connection is established and the server reads nothing, so reading from the client is paused and its
    # end is not read. Both connections close when the server ends or counts as silent, without another
    # attempt.
    monkeypatch.setattr(server_watch, "CHECK_INTERVAL_SECONDS", 0.05)
    quiet = {"messageAimUs": [1e9], "tellsDelay": False}
    async with World(servers=2, specifics=quiet, trafficTypes=SLOW_TYPES) as world:
        client = send_request(world)
        _, server, _ = await world.leg()
        server.writer.transport.pause_reading()
        server.say("UP 1")
        await world.until(lambda: world.node.counters["stood"])
        connection = next(iter(world.node.clients))
        client.setblocking(False)
        while not connection.paused:
            with contextlib.suppress(BlockingIOError):
                client.send(b"M 1\r\n" * 1000)
            await asyncio.sleep(0)
        close_now(world, client, how)
        if ends == "rst":
            server.end("rst")
        else:
            monkeypatch.setattr(servers, "SILENCE_SECONDS", 0.1)
        await expect_no_calls_left(world)
        assert world.node.counters["legs"] == 1 and world.arrived.empty()


# Turns stay short.


@pytest.mark.parametrize("queue", ["events", "actions"])
@async_test
async def test_turn_stops_so_that_ends_and_list_changes_are_handled_in_between(monkeypatch, queue):
    async with World() as world:
        host, client, seen, seen_at_list_change = (
            world.node,
            socket.create_connection(world.node.address),
            [],
            [],
        )
        await world.until(lambda: host.clients)
        connection, clock, elapsed = next(iter(host.clients)), host.clock, 0.0

        def work(number):  # each takes 10 ms
            nonlocal elapsed
            elapsed += 0.01
            seen.append((number, connection.remote_end))
            if not number:
                close_now(world, client, "fin")
                host.queue(lambda: seen_at_list_change.append(len(seen)), first=True)

        monkeypatch.setattr(host, "clock", lambda: clock() + elapsed)
        if queue == "events":
            for number in range(300):
                host.queue(work, number)
        else:
            host.queue(lambda: host.actions.extend((work, (number,)) for number in range(300)))
        await world.until(lambda: len(seen) == 300)
        assert [number for number, _ in seen] == list(range(300))
        ended = next(number for number, remote_end in seen if remote_end)
        assert ended <= 10 and seen_at_list_change[0] <= 10  # within 0.1 s


@async_test
async def test_handles_200_requests_at_once(capsys):
    async with World(sockets=900, trafficTypes=SLOW_TYPES) as world:
        entries = [world.entries[0] | {"instanceId": f"s-{number}"} for number in range(100)]
        world.node.server_list.on_list(
            lines.parse_list({"generation": 42, "reset": True, "instances": entries})
        )
        socks = [socket.create_connection(world.node.address) for _ in range(200)]
        await world.until(lambda: len(world.node.clients) == 200, 10)
        for number, sock in enumerate(socks):
            sock.sendall(b"OPEN %016x 7f3a9c21e0b4d655 %s\r\n" % (number + 1, FIELDS.encode()))
        await world.until(lambda: world.node.counters["calls"] == 200, 10)
        await world.until(lambda: world.node.counters["upstream_requests"] == 200, 10)
        with capsys.disabled():
            print(f"\n200 lines at once, 100 servers: longest turn {1000 * world.node.longest_turn:.0f} ms")
        for sock in socks:
            sock.close()
        await expect_no_calls_left(world)
        while not world.arrived.empty():  # later tests count the descriptors of this process too
            world.arrived.get_nowait()[1].end("rst")
        await asyncio.sleep(0)
