"""No connection takes more than its share of a turn, whatever the number of its lines."""

import sys

import pytest
from helpers import World, async_test
from test_net import begin_run

from bellrack.net import servers


def put(connection, data):
    """Let these bytes be received by the connection, without a socket."""
    while data:
        space = connection.received.writable_space()
        part = data[: len(space)]
        space[: len(part)] = part
        connection.received.commit(len(part))
        data = data[len(part) :]


def calls_of(function):
    """Return how many functions run within a call."""
    count = 0

    def note(frame, event, argument):
        nonlocal count
        count += event in ("call", "c_call")

    sys.setprofile(note)
    try:
        function()
    finally:
        sys.setprofile(None)
    return count


@pytest.mark.parametrize("side", ["client", "server"])
@async_test
async def test_thousands_of_empty_lines_cost_no_more_than_one_long_line(side):
    """One client that sent empty lines at full speed kept all others waiting: each line was handled."""
    async with World(servers=1) as world:
        await begin_run(world)
        await world.establish()
        client = next(one for one in world.node.clients if one.paired)
        connection = client if side == "client" else client.server_connection
        costs = []
        for data in (b"x" * 4000 + b"\r\n", b"\r\n" * 4096):
            put(connection, data)
            costs.append(calls_of(connection.process))
            assert not connection.received.length
        assert costs[1] <= costs[0] + 4 * servers.MAX_TIMED_LINES


@async_test
async def test_notices_of_one_server_do_not_hold_back_the_lines_of_another(monkeypatch):
    """A server that sent LOAD lines at full speed had all that had come handled in one go."""
    async with World(servers=1) as world:
        await begin_run(world)
        await world.establish()
        await world.establish()
        noisy, quiet = (one.server_connection for one in world.node.clients if one.paired)
        before_quiet, write, counters = [], quiet.client.write, world.node.counters
        before = counters["lines_to_clients"]

        def note(data):
            before_quiet.append(counters["lines_to_clients"] - before)
            write(data)

        monkeypatch.setattr(quiet.client, "write", note)
        put(noisy, b"LOAD 1\r\n" * 1000)
        put(quiet, b"line\r\n")
        noisy.wake()
        quiet.wake()
        await world.until(lambda: counters["lines_to_clients"] - before == 1001)
        assert before_quiet == [servers.NOTICES_PER_TURN + 1]


@pytest.mark.parametrize("end", ["BYE", "fin"])
@async_test
async def test_notices_among_other_lines_keep_their_order_and_their_effect(end):
    """Lines that are parsed and lines that are not may come in one piece, with the end behind them."""
    async with World(servers=1) as world:
        await begin_run(world)
        client, server = await world.establish()
        said = [f"line {number}" if number % 3 else "LOAD 20" for number in range(200)]
        said += ["BYE"] * (end == "BYE")
        server.writer.write("".join(f"{line}\r\n" for line in said).encode())
        if end == "fin":
            server.end("fin")
        assert [await client.line() for _ in said] == said
        assert 0 < world.node.counters["late_notices"] <= said.count("LOAD 20")
        assert await client.line() == "fin"


@async_test
async def test_client_that_floods_its_server_does_not_make_the_server_count_as_late(monkeypatch):
    """Lines that waited behind the client's own were timed, and others were told BUSY."""
    async with World(servers=1) as world:
        await begin_run(world)
        client, server = await world.establish()
        endpoint = next(iter(world.node.servers.values())).host_record
        now = world.node.clock()
        for lines, late in ((100, False), (1, True)):
            client.writer.write(b"line\r\n" * lines)
            for _ in range(lines):
                await server.line()
            connection = next(iter(endpoint.connections))
            connection.unanswered = type(connection.unanswered)(now - 1.0 for _ in connection.unanswered)
            assert (endpoint.take_line_time(now) > 0.5) == late
            server.writer.write(b"line\r\n" * lines)
            for _ in range(lines):
                await client.line()
            assert (endpoint.take_line_time(now) > 0.5) == late


@async_test
async def test_empty_lines_before_an_operators_request_are_bounded():
    """A caller of the admin address sent empty lines for 6 s, all of them handled before any client."""
    async with World(servers=1, control=True) as world:
        peer = await world.dial_admin()
        peer.writer.write(b"\r\n" * 3000)
        assert (await world.http_response(peer))[0] == 431
        peer = await world.dial_admin()
        peer.writer.write(b"\r\n\r")
        await world.until(lambda: [one.request.empty_bytes for one in world.node.admin_connections] == [2])
        peer.writer.write(b"\nGET /_vars HTTP/1.1\r\n\r\n")
        assert (await world.http_response(peer))[0] == 200
