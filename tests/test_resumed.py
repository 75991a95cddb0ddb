"""Resumed connections on sockets: one process; the test plays its clients, servers and discovery."""

import asyncio
import contextlib
import errno
import json
import socket
from types import SimpleNamespace

import pytest
from helpers import Peer, World, async_test
from processes import bound_socket, format_address

from bellrack.net import clients, limits, lines, node, reload, resumption, servers
from bellrack.net.shutdown import Shutdown

AT = "c=chat,t=acme,d=4294967,at=s-0"
ORDINARY = "c=chat,t=acme,d=2000"
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(listing):
    text = json.dumps(listing).encode() + b"\n"
    return b"%x\r\n%b\r\n" % (len(text), text)


async def resume(world, values=AT, number=None):
    """Resumes a connection, which is established at its own server."""
    client = await world.call(values, number)
    return await expect_established(world, client)


async def expect_established(world, client, at=None):
    """Accepts the next attempt, which must be at the server that its line names; expects UP at the client."""
    number, server, line = await world.leg()
    assert line.endswith(f"at=s-{number}") and at in (None, f"s-{number}")
    server.say(f"UP {number}")
    assert await client.line() == f"UP {number}"
    return client, server


async def begin_run(world):
    """Serves an ordinary request, which shows that the run has begun."""
    return await world.establish(ORDINARY)


# Ordinary requests and PING before a resumed connection.


@async_test
async def test_admits_resumed_connections_after_and_between_ordinary_requests():
    async with World(servers=1) as world:
        await begin_run(world)
        await resume(world)
        await begin_run(world)
        await resume(world)
        assert world.node.counters["malformed"] == 0


@pytest.mark.parametrize("first", [False, True])
@async_test
async def test_admits_a_resumed_connection_after_a_ping(first):
    async with World(servers=1) as world:
        if first:
            await begin_run(world)
        client = await world.dial()
        client.say("PING")
        assert await client.line() == "PONG"
        client.say(f"OPEN 00000000000000ff 7f3a9c21e0b4d655 {AT}")
        await expect_established(world, client)


# Time limits.


@pytest.mark.parametrize("after, served", [(41.0, True), (69.0, True), (71.0, False)])
@pytest.mark.parametrize("first", [False, True])
@async_test
async def test_admits_resumed_connections_until_the_startup_window_closes(after, served, first):
    # Clients come within 30 s and are established within 40 s more. After that a request with `at` may be
    # forged: it is malformed, and no server gets it.
    async with World(servers=1) as world:
        if first:
            await begin_run(world)
        world.node.resumed.window.started -= after
        if served:
            await resume(world)
        else:
            client = await world.call(AT)
            assert [await client.line(), await client.line()] == ["SYNTAX", "fin"]
            assert world.arrived.empty() and not world.node.resumed.pending


@pytest.mark.parametrize(
    "values, waits",
    [("c=chat,t=acme,at=s-9", 40.0), (f"{AT[:-1]}9", 40.0), ("c=chat,t=acme,d=7000,at=s-9", 7.0)],
)
@async_test
async def test_deadline_is_that_of_resumed_connections_and_not_of_the_traffic_type(values, waits):
    async with World(servers=1) as world:
        client = await world.call(values)
        await world.until(lambda: world.node.resumed.pending)
        (resumed,) = world.node.resumed.pending.values()
        assert resumed.answer_by == pytest.approx(world.node.clock() + waits, abs=1.0)
        client.end("fin")


@async_test
async def test_answers_err_if_its_server_is_not_listed_in_time(monkeypatch):
    monkeypatch.setattr(resumption, "RESUME_TIMEOUT_SECONDS", 0.3)
    async with World(servers=1) as world:
        client = await world.call("c=chat,t=acme,d=4294967,at=s-9")
        assert [await client.line(), await client.line()] == ["ERR", "fin"]
        await world.until(lambda: not world.node.clients)
        assert not world.node.resumed.pending and world.arrived.empty()


# After it is established.


@pytest.mark.parametrize("begins", ["request", "line"])
@async_test
async def test_decisions_move_no_resumed_connection_before_the_run(begins):
    # The run begins once all are established at the same time. Fault seen: 93 of 300 were moved to their own
    # zone within 20 s.
    async with World(servers=2, apart=True) as world:
        pairs = [await resume(world, f"{AT[:-3]}s-1") for _ in range(10)]
        for _ in range(40):
            world.node.queue(world.node.balancer.on_timer, "rebalance")
        await world.until(lambda: not (world.node.events or world.node.actions))
        assert len(world.node.servers[lines.id_hash("s-1")].local_state.established_legs) == 10
        assert not world.node.counters["moved"]
        if begins == "request":
            await begin_run(world)
        else:
            pairs[0][0].say("line")
            assert await pairs[0][1].line() == "line"
        window = world.node.resumed.window
        window.last_resumed -= window.evidence_seconds
        for _ in range(200):
            world.node.queue(world.node.balancer.on_timer, "rebalance")
        # To their own zone, once moves are allowed.
        await world.until(lambda: world.node.counters["moved"] == 10)
        assert [await client.line() for client, _ in pairs] == ["MOVE"] * 10


@async_test
async def test_cordon_moves_resumed_connections_before_the_run():
    async with World(servers=1) as world:
        client, _ = await resume(world)
        assert world.node.server_list.cordon("s-0", True)
        assert await client.line() == "MOVE"


# Slow clients.


@async_test
async def test_waits_for_silent_connections_until_an_ordinary_request_comes(monkeypatch):
    monkeypatch.setattr(limits, "FIRST_LINE_SECONDS", 0.1)
    monkeypatch.setattr(clients, "FIRST_LINE_RECHECK_SECONDS", 0.05)
    async with World(servers=1) as world:
        late, pinged, partial = [await world.dial() for _ in range(3)]
        pinged.say("PING")
        assert await pinged.line() == "PONG"
        line = f"OPEN 00000000000000ff 7f3a9c21e0b4d655 {AT}\r\n".encode()
        for part in (line[:20], line[20:60]):
            partial.writer.write(part)
            await wait_longer_than_first_line(world)
        partial.writer.write(line[60:])
        await expect_established(world, partial)
        await resume(world)
        late.say(f"OPEN 00000000000000fe 7f3a9c21e0b4d655 {AT}")
        await expect_established(world, late)
        await begin_run(world)
        # Silent connections are closed during the run.
        assert [await pinged.line(), await pinged.line()] == ["BUSY 1500", "fin"]
        silent = await world.dial()
        assert await silent.line() == "BUSY 1500"


async def wait_longer_than_first_line(world):
    end = world.node.clock() + 3 * limits.FIRST_LINE_SECONDS
    await world.until(lambda: world.node.clock() > end)


@async_test
async def test_waits_for_silent_connections_while_others_are_being_resumed(monkeypatch):
    monkeypatch.setattr(limits, "FIRST_LINE_SECONDS", 0.3)
    monkeypatch.setattr(clients, "FIRST_LINE_RECHECK_SECONDS", 0.05)
    async with World(servers=2) as world:
        pending = await world.call(AT)
        _, server, _ = await world.leg()  # it does not answer yet
        await begin_run(world)
        world.node.resumed.window.evidence_seconds = limits.FIRST_LINE_SECONDS
        late = await world.dial()
        await wait_longer_than_first_line(world)
        late.say("OPEN 00000000000000fe 7f3a9c21e0b4d655 c=chat,t=acme,d=4294967,at=s-1")
        await expect_established(world, late, "s-1")
        server.say("UP 0")
        assert await pending.line() == "UP 0"


# Short of descriptors.


@async_test
async def test_waits_for_a_descriptor_and_is_not_rejected(monkeypatch):
    # The client is not evicted for its silence, however long this test takes.
    monkeypatch.setattr(limits, "SILENT_GRACE_SECONDS", 60.0)
    async with World(servers=1, sockets=200) as world:
        node_limits, client = world.node.limits, await world.dial()
        await world.until(lambda: world.node.clients)
        taken = node_limits.limit - node_limits.descriptors - node_limits.reserve // 2
        node_limits.descriptors += taken  # by other connections
        client.say(f"OPEN 00000000000000ff 7f3a9c21e0b4d655 {AT}")
        await world.until(lambda: world.node.resumed.pending)
        assert world.arrived.empty()
        node_limits.descriptors -= taken
        await expect_established(world, client)
        assert not world.node.counters["crowded"]


@async_test
async def test_evicts_idle_connections_but_not_those_that_may_be_resumed(monkeypatch):
    # A silent connection may be the next to be resumed, so it is not evicted at once for another.
    monkeypatch.setattr(limits, "SILENT_GRACE_SECONDS", 0.0)
    async with World(servers=1) as world:
        node_limits = world.node.limits
        await resume(world)
        idle = [await world.dial() for _ in range(5)]
        await world.until(lambda: len(node_limits.evictable) == 5)
        node_limits.limit = node_limits.descriptors + node_limits.reserve
        late = idle[0]
        client = await world.call(AT)
        await expect_established(world, client)  # with a descriptor of the reserve
        assert len(node_limits.evictable) == 5
        late.say(f"OPEN 00000000000000fe 7f3a9c21e0b4d655 {AT}")
        await expect_established(world, late)
        monkeypatch.setattr(limits, "RESUMED_GRACE_SECONDS", 0.0)
        await resume(world)
        assert await idle[1].line() == "BUSY 1500"


@pytest.mark.parametrize("values", [AT, ORDINARY])
@async_test
async def test_survives_a_kernel_without_descriptors(monkeypatch, values):
    # Fault seen: the task failed, the attempt hung until its deadline, and a descriptor counted for ever.
    async with World(servers=1) as world:
        await world.discovery_request()
        await world.until(lambda: world.node.discovery.current.transport)
        before = world.node.limits.descriptors
        failures = [OSError(errno.EMFILE, "none left") for _ in range(2)]

        def fail_twice(*family):
            if failures:
                raise failures.pop()
            return socket.socket(*family)

        monkeypatch.setattr(servers, "socket", SimpleNamespace(socket=fail_twice, AF_INET=socket.AF_INET))
        client = await world.call(values)
        _, server, _ = await world.leg()
        server.say("UP 1")
        assert await client.line() == "UP 1" and not failures
        client.end("fin")
        await world.until(lambda: world.node.limits.descriptors == before)


# Its server.


async def send_list(world, entries):
    """Discovery sends the whole list on its watch."""
    if not hasattr(world, "watch"):
        world.watch, _ = await world.discovery_request()
        world.watch.writer.write(HEAD)
    world.watch.writer.write(chunk({"generation": 50, "reset": True, "instances": entries}))


@pytest.mark.parametrize("first", ["rst", "fin", "ERR", "BUSY", "MOVE"])
@async_test
async def test_retries_at_a_server_that_fails_once(first):
    async with World(servers=2) as world:
        client = await world.call(AT)
        _, server, _ = await world.leg()
        if len(first) == 3 and first.islower():
            server.end(first)
        else:
            server.say(first)
            server.end("fin")
        await expect_established(world, client)


@async_test
async def test_retries_at_a_server_that_still_has_the_previous_attempt():
    # All attempts have the same id, which a server refuses while it considers the first one open.
    async with World(servers=1) as world:
        client = await world.call(AT)
        _, server, _ = await world.leg()
        server.end("rst")
        for _ in range(3):
            _, server, _ = await world.leg()
            server.say("ERR")
            server.end("fin")
        await expect_established(world, client)


@async_test
async def test_retries_at_a_server_that_accepts_and_does_not_answer(monkeypatch):
    # Fault seen: one attempt used up all of the 40 s.
    monkeypatch.setattr(resumption, "FIRST_ATTEMPT_SECONDS", 0.2)
    async with World(servers=1) as world:
        client = await world.call(AT)
        _, silent, line = await world.leg()
        assert 0 < int(line.partition(",d=")[2].partition(",")[0]) <= 200  # the timeout of the attempt
        _, server, again = await world.leg()
        assert again.split()[1] == line.split()[1] and await silent.line() == "fin"
        server.say("UP 1")
        assert await client.line() == "UP 1"
        silent.say("UP 0")  # too late: this connection is closed
        server.say("line")
        assert await client.line() == "line"


@async_test
async def test_waits_for_a_server_that_accepts_the_connection_late(monkeypatch):
    # The connect timeout of ordinary requests, 0.2 s here, does not apply: there is no other server to try.
    async with World(servers=1) as world:
        loop, release = asyncio.get_running_loop(), asyncio.Event()
        connect = loop.sock_connect

        async def connect_late(sock, address):
            await release.wait()
            await connect(sock, address)

        client = await world.dial()
        monkeypatch.setattr(loop, "sock_connect", connect_late)
        client.say(f"OPEN 00000000000000ff 7f3a9c21e0b4d655 {AT}")
        end = world.node.clock() + 2 * world.node.names.connect_timeout
        await world.until(lambda: world.node.clock() > end)
        release.set()
        await expect_established(world, client)
        assert not world.node.counters["leg_no_connection"]


@async_test
async def test_waits_for_a_server_that_is_not_listed_yet():
    async with World(servers=2) as world:
        world.entries, kept = world.entries[:1], world.entries
        await send_list(world, kept[:1])
        client = await world.call("c=chat,t=acme,d=4294967,at=s-late")
        await world.until(lambda: world.node.resumed.pending)
        await send_list(world, [kept[0], kept[1] | {"instanceId": "s-late"}])
        number, server, line = await world.leg()
        server.say("UP 1")
        assert number == 1 and line.endswith("at=s-late") and await client.line() == "UP 1"


@pytest.mark.parametrize("state", ["terminating", "unlisted", "cordoned"])
@async_test
async def test_resumes_at_a_server_that_drains_or_is_not_listed_any_more(state):
    # The connection is established there already, so it is not a new one for that server.
    async with World(servers=2) as world:
        entries = {
            "terminating": [world.entries[0] | {"lifecycle": "terminating"}, world.entries[1]],
            "unlisted": world.entries[1:],
            "cordoned": world.entries,
        }[state]
        await send_list(world, entries)
        await world.until(lambda: world.node.server_list.version == 50)
        if state == "cordoned":
            assert world.node.server_list.cordon("s-0", True)
        await resume(world)


@async_test
async def test_resumes_at_a_server_that_comes_back_at_another_address(monkeypatch):
    monkeypatch.setattr(resumption, "FIRST_ATTEMPT_SECONDS", 0.2)
    async with World(servers=2) as world:
        client = await world.call(AT)
        await world.leg()  # it hangs
        await send_list(world, world.entries[1:])
        await send_list(world, [world.entries[1] | {"instanceId": "s-0"}])  # its new address
        number, server, _ = await world.leg()
        while number == 0:  # attempts at the old address
            number, server, _ = await world.leg()
        server.say("UP 1")
        assert number == 1 and await client.line() == "UP 1"


@async_test
async def test_gives_one_answer_if_the_server_has_completed_the_call():
    # Fault seen: BYE was forwarded and the server asked again, so that UP could follow.
    async with World(servers=1) as world:
        client = await world.call(AT)
        _, server, _ = await world.leg()
        server.say("BYE")
        server.end("fin")
        assert [await client.line(), await client.line()] == ["BYE", "fin"]
        await world.until(lambda: not world.node.clients)
        assert not world.node.resumed.pending and world.arrived.empty()


@async_test
async def test_decisions_count_a_resumed_connection_once_it_is_established():
    async with World(servers=3) as world:
        client = await world.call(AT)
        _, server, _ = await world.leg()
        assert world.node.balancer.open_legs == 0
        server.say("UP 0")
        assert await client.line() == "UP 0"
        assert [one.local_state.open_legs for one in world.node.servers.values()] == [1, 0, 0]
        client.end("fin")
        assert await server.line() == "fin"
        await world.until(lambda: world.node.balancer.open_legs == 0)


@async_test
async def test_resumes_a_client_that_retries_with_the_same_id():
    # Its server knows it by that id. While the first connection is open, a second one with the id is refused.
    async with World(servers=1) as world:
        first = await world.call(AT, number=7)
        _, server, _ = await world.leg()
        second = await world.call(AT, number=7)
        assert [await second.line(), await second.line()] == ["SYNTAX", "fin"]
        first.end("rst")
        assert await server.line() in ("fin", "rst")
        await world.until(lambda: not world.node.limits.open_ids)
        await resume(world, AT, number=7)


@pytest.mark.parametrize("how", ["fin", "rst"])
@pytest.mark.parametrize("at", ["s-0", "s-9"])
@async_test
async def test_leaves_nothing_behind_if_the_client_closes_before_it_is_established(how, at):
    async with World(servers=1) as world:
        await world.discovery_request()
        await world.until(lambda: world.node.discovery.current.transport)
        before = world.node.limits.descriptors
        client = await world.call(f"{AT[:-3]}{at}")
        if at == "s-0":
            _, server, _ = await world.leg()
        await world.until(lambda: world.node.resumed.pending)
        client.end(how)
        if at == "s-0":
            assert await server.line() in ("fin", "rst")
        await world.until(lambda: not world.node.clients and world.node.limits.descriptors == before)
        assert not world.node.resumed.pending and not world.node.counters["faults"]


# SIGTERM, SIGHUP, a hot restart, a start without a list.


@pytest.mark.parametrize("sent, told", [(False, "BUSY"), (True, "ERR")])
@async_test
async def test_shutdown_answers_resumed_connections_that_are_not_established(sent, told):
    # BUSY, which invites a retry, only if no server may have the request.
    async with World(servers=1) as world:
        client = await world.call(f"{AT[:-3]}{'s-0' if sent else 's-9'}")
        if sent:
            await world.leg()
        await world.until(lambda: world.node.resumed.pending)
        world.node.queue(world.node.begin_shutdown)
        assert [await client.line(), await client.line()] == [told, "fin"]
        await asyncio.wait_for(world.serving, 5)


@async_test
async def test_shutdown_lets_resumed_connections_be_established(monkeypatch):
    async with World(servers=1) as world:
        client = await world.call(AT)
        _, server, _ = await world.leg()
        monkeypatch.setattr(Shutdown, "move_rest", lambda shutdown: None)
        world.node.begin_shutdown()
        server.say("UP 0")
        # Moved at once, and not only at the end of the shutdown.
        assert [await client.line(), await client.line()] == ["UP 0", "MOVE"]


@async_test
async def test_reload_does_not_affect_pending_resumed_connections(tmp_path):
    async with World(servers=1) as world:
        path = tmp_path / "config.json"
        changed = {
            **world.raw,
            "settings": {
                **world.raw["settings"],
                "trafficTypes": [world.raw["settings"]["trafficTypes"][0] | {"name": "other"}],
            },
        }
        path.write_text(json.dumps(changed))
        world.node.config.path = str(path)
        client = await world.call(AT)
        _, server, _ = await world.leg()
        reload.reload(world.node)
        assert world.node.counters["config_reloads"] == 1
        server.end("rst")
        await expect_established(world, client)


@pytest.mark.parametrize("sent", [False, True])
@async_test
async def test_hot_restart_takes_over_pending_resumed_connections(tmp_path, monkeypatch, sent):
    # Fault seen: they stayed with the old process and got BUSY; at the new one their id counted as in use.
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    monkeypatch.setattr(node, "KNOWN_LIST_WAIT", 0.05)
    with contextlib.closing(bound_socket()) as address:
        async with World(servers=1, control=True, listen=format_address(address)) as world:
            old = world.node
            old.resumed.window.started -= 31.0
            client = await world.call(f"{AT[:-3]}{'s-0' if sent else 's-late'}")
            if sent:
                _, before, _ = await world.leg()
            await world.until(lambda: old.resumed.pending)
            world.node, serving = await world.start()
            await world.until(lambda: old.hot_restart.has_successor)
            assert world.node.resumed.window.started == pytest.approx(old.resumed.window.started, abs=1.0)
            old.begin_shutdown()
            if sent:
                assert await before.line() in ("fin", "rst")
            else:
                await world.until(lambda: world.node.resumed.pending)
                await send_list(world, [world.entries[0] | {"instanceId": "s-late"}])
                await send_list_to_second(world)
            number, server, line = await world.leg()
            server.say("UP 0")
            assert await client.line() == "UP 0" and line.split()[1] == f"{1:016x}"
            assert not old.resumed.pending and world.node.counters["malformed"] == 0
            client.say("line")
            assert await server.line() == "line"
            await world.wait_for_first_node(serving)


async def send_list_to_second(world):
    """Both processes have a watch; sends the list on that of the second, whose request came later."""
    del world.watch
    await send_list(world, [world.entries[0] | {"instanceId": "s-late"}])


@async_test
async def test_a_process_without_a_list_listens_for_resumed_connections(monkeypatch):
    # Fault seen: nobody listened until there was a list, so the kernel refused them.
    monkeypatch.setattr(resumption, "LISTEN_AFTER_SECONDS", 0.1)
    with contextlib.closing(socket.create_server(("127.0.0.1", 0))) as free:
        address = free.getsockname()
    async with World(servers=1) as world:
        starting = asyncio.create_task(world.start(known=None, listen="{}:{}".format(*address)))
        await world.discovery_request()  # from the first process
        watch, _ = await world.discovery_request()
        client = await connect(address)
        client.say(f"OPEN 00000000000000ff 7f3a9c21e0b4d655 {AT}")
        ordinary, front = await connect(address), await connect(address)
        ordinary.say(f"OPEN 00000000000000fe 7f3a9c21e0b4d655 {ORDINARY}")
        assert [await ordinary.line(), await ordinary.line()] == ["BUSY", "fin"]
        front.say("PING")
        assert await front.line() == "fin"  # closed without an answer, since it is not ready
        watch.writer.write(HEAD + chunk({"generation": 50, "reset": True, "instances": world.entries}))
        await expect_established(world, client)
        second, serving = await starting
        front = await connect(address)
        front.say("PING")
        assert await front.line() == "PONG"
        second.finished.set()
        await serving


async def connect(address):
    """Connects as soon as a process listens there."""
    for _ in range(1000):
        try:
            return Peer(*await asyncio.open_connection(*address))
        except ConnectionRefusedError:
            await asyncio.sleep(0.005)
    raise AssertionError("no process listens")


@async_test
async def test_a_process_with_a_list_serves_at_once(monkeypatch):
    monkeypatch.setattr(resumption, "LISTEN_AFTER_SECONDS", 0.0)
    async with World(servers=1) as world:
        await begin_run(world)
