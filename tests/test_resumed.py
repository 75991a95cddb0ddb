"""Resumed connections on sockets: one process, whose clients, servers and discovery the test plays."""

import asyncio
import contextlib
import errno
import json
import socket
from types import SimpleNamespace

import pytest
from helpers import Peer, World, played
from processes import bound_socket, written

from bellrack.net import clients, limits, lines, node, reload, resumption, servers
from bellrack.net.shutdown import Shutdown

AT = "c=chat,t=acme,d=4294967,at=s-0"
ORDINARY = "c=chat,t=acme,d=2000"
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(listing):
    text = json.dumps(listing).encode() + b"\n"
    return b"%x\r\n%b\r\n" % (len(text), text)


async def resumes(world, values=AT, number=None):
    """A resumed connection that comes up at its own server, and is one connection there."""
    client = await world.call(values, number)
    return await comes_up(world, client)


async def comes_up(world, client, at=None):
    number, server, line = await world.leg()
    assert line.endswith(f"at=s-{number}") and at in (None, f"s-{number}")
    server.say(f"UP {number}")
    assert await client.line() == f"UP {number}"
    return client, server


async def in_service(world):
    """An ordinary request has come, and was served."""
    return await world.standing(ORDINARY)


# The order.


@played
async def test_ordinary_requests_first_and_between_change_nothing():
    async with World(servers=1) as world:
        await in_service(world)
        await resumes(world)
        await in_service(world)
        await resumes(world)
        assert world.node.counters["malformed"] == 0


@pytest.mark.parametrize("first", [False, True])
@played
async def test_a_ping_before_on_the_same_connection_changes_nothing(first):
    async with World(servers=1) as world:
        if first:
            await in_service(world)
        client = await world.dial()
        client.say("PING")
        assert await client.line() == "PONG"
        client.say(f"OPEN 00000000000000ff 7f3a9c21e0b4d655 {AT}")
        await comes_up(world, client)


# The time.


@pytest.mark.parametrize("after, served", [(41.0, True), (69.0, True), (71.0, False)])
@pytest.mark.parametrize("first", [False, True])
@played
async def test_it_comes_up_for_as_long_as_the_pages_allow_and_no_longer(after, served, first):
    # 30 s until clients come and 40 s until all are up; after that a forged one is malformed, for no server.
    async with World(servers=1) as world:
        if first:
            await in_service(world)
        world.node.resumed.window.started -= after
        if served:
            await resumes(world)
        else:
            client = await world.call(AT)
            assert [await client.line(), await client.line()] == ["SYNTAX", "fin"]
            assert world.arrived.empty() and not world.node.resumed.pending


@pytest.mark.parametrize(
    "values, waits",
    [("c=chat,t=acme,at=s-9", 40.0), (f"{AT[:-1]}9", 40.0), ("c=chat,t=acme,d=7000,at=s-9", 7.0)],
)
@played
async def test_its_time_is_that_of_the_page_and_not_that_of_its_traffic_type(values, waits):
    async with World(servers=1) as world:
        client = await world.call(values)
        await world.until(lambda: world.node.resumed.pending)
        (resumed,) = world.node.resumed.pending.values()
        assert resumed.answer_by == pytest.approx(world.node.clock() + waits, abs=1.0)
        client.end("fin")


@played
async def test_whose_server_never_comes_is_told_so_when_its_time_is_over(monkeypatch):
    monkeypatch.setattr(resumption, "RESUME_TIMEOUT_SECONDS", 0.3)
    async with World(servers=1) as world:
        client = await world.call("c=chat,t=acme,d=4294967,at=s-9")
        assert [await client.line(), await client.line()] == ["ERR", "fin"]
        await world.until(lambda: not world.node.clients)
        assert not world.node.resumed.pending and world.arrived.empty()


# Once it is up.


@pytest.mark.parametrize("begins", ["request", "line"])
@played
async def test_none_is_moved_before_the_run_by_the_decisions(begins):
    # The run begins when all are up at once. Before, 93 of 300 were moved within 20 s, to their own zone.
    async with World(servers=2, apart=True) as world:
        pairs = [await resumes(world, f"{AT[:-3]}s-1") for _ in range(10)]
        for _ in range(40):
            world.node.queue(world.node.balancer.on_timer, "rebalance")
        await world.until(lambda: not (world.node.events or world.node.actions))
        assert len(world.node.servers[lines.id_hash("s-1")].local_state.established_legs) == 10
        assert not world.node.counters["moved"]
        if begins == "request":
            await in_service(world)
        else:
            pairs[0][0].say("line")
            assert await pairs[0][1].line() == "line"
        expired = world.node.resumed.window
        expired.last_resumed -= expired.evidence_seconds
        for _ in range(200):
            world.node.queue(world.node.balancer.on_timer, "rebalance")
        await world.until(lambda: world.node.counters["moved"] == 10)  # home, once they may
        assert [await client.line() for client, _ in pairs] == ["MOVE"] * 10


@played
async def test_what_operators_order_by_hand_is_moved_before_the_run_too():
    async with World(servers=1) as world:
        client, _ = await resumes(world)
        assert world.node.server_list.cordon("s-0", True)
        assert await client.line() == "MOVE"


# Slow clients.


@played
async def test_who_writes_late_is_waited_for_until_a_request_comes(monkeypatch):
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
        await comes_up(world, partial)
        await resumes(world)
        late.say(f"OPEN 00000000000000fe 7f3a9c21e0b4d655 {AT}")
        await comes_up(world, late)
        await in_service(world)
        assert [await pinged.line(), await pinged.line()] == ["BUSY 1500", "fin"]  # an end is owed in service
        silent = await world.dial()
        assert await silent.line() == "BUSY 1500"


async def wait_longer_than_first_line(world):
    end = world.node.clock() + 3 * limits.FIRST_LINE_SECONDS
    await world.until(lambda: world.node.clock() > end)


@played
async def test_who_writes_late_among_requests_is_waited_for_while_others_are_resumed(monkeypatch):
    monkeypatch.setattr(limits, "FIRST_LINE_SECONDS", 0.3)
    monkeypatch.setattr(clients, "FIRST_LINE_RECHECK_SECONDS", 0.05)
    async with World(servers=2) as world:
        pending = await world.call(AT)
        _, server, _ = await world.leg()  # it says nothing yet
        await in_service(world)
        world.node.resumed.window.evidence_seconds = limits.FIRST_LINE_SECONDS
        late = await world.dial()
        await wait_longer_than_first_line(world)
        late.say("OPEN 00000000000000fe 7f3a9c21e0b4d655 c=chat,t=acme,d=4294967,at=s-1")
        await comes_up(world, late, "s-1")
        server.say("UP 0")
        assert await pending.line() == "UP 0"


# Short of descriptors.


@played
async def test_it_waits_for_a_descriptor_and_is_not_told_busy(monkeypatch):
    monkeypatch.setattr(
        limits, "SILENT_GRACE_SECONDS", 60.0
    )  # it is not ended for its silence, however long this test takes
    async with World(servers=1, sockets=200) as world:
        room, client = world.node.limits, await world.dial()
        await world.until(lambda: world.node.clients)
        taken = room.limit - room.descriptors - room.reserve // 2
        room.descriptors += taken  # by others
        client.say(f"OPEN 00000000000000ff 7f3a9c21e0b4d655 {AT}")
        await world.until(lambda: world.node.resumed.pending)
        assert world.arrived.empty()
        room.descriptors -= taken
        await comes_up(world, client)
        assert not world.node.counters["crowded"]


@played
async def test_idle_connections_make_room_for_it_and_its_own_kind_does_not(monkeypatch):
    # One that has said nothing yet may be the next to be resumed: it is not ended at once for another.
    monkeypatch.setattr(limits, "SILENT_GRACE_SECONDS", 0.0)
    async with World(servers=1) as world:
        room = world.node.limits
        await resumes(world)
        idle = [await world.dial() for _ in range(5)]
        await world.until(lambda: len(room.evictable) == 5)
        room.limit = room.descriptors + room.reserve
        late = idle[0]
        client = await world.call(AT)
        await comes_up(world, client)  # by its part of the reserve
        assert len(room.evictable) == 5
        late.say(f"OPEN 00000000000000fe 7f3a9c21e0b4d655 {AT}")
        await comes_up(world, late)
        monkeypatch.setattr(limits, "RESUMED_GRACE_SECONDS", 0.0)
        await resumes(world)
        assert await idle[1].line() == "BUSY 1500"


@pytest.mark.parametrize("values", [AT, ORDINARY])
@played
async def test_a_kernel_without_descriptors_fails_the_attempt_and_nothing_else(monkeypatch, values):
    # Before, the task died: the attempt hung until its time was over, and a descriptor counted for ever.
    async with World(servers=1) as world:
        await world.question()
        await world.until(lambda: world.node.discovery.current.transport)
        before = world.node.limits.descriptors
        failures = [OSError(errno.EMFILE, "none left") for _ in range(2)]

        def fails(*family):
            if failures:
                raise failures.pop()
            return socket.socket(*family)

        monkeypatch.setattr(servers, "socket", SimpleNamespace(socket=fails, AF_INET=socket.AF_INET))
        client = await world.call(values)
        _, server, _ = await world.leg()
        server.say("UP 1")
        assert await client.line() == "UP 1" and not failures
        client.end("fin")
        await world.until(lambda: world.node.limits.descriptors == before)


# Its server.


async def listed(world, entries):
    """Discovery sends the whole list, on the watch that stands."""
    if not hasattr(world, "watch"):
        world.watch, _ = await world.question()
        world.watch.writer.write(HEAD)
    world.watch.writer.write(chunk({"generation": 50, "reset": True, "instances": entries}))


@pytest.mark.parametrize("first", ["rst", "fin", "ERR", "BUSY", "MOVE"])
@played
async def test_a_server_that_fails_it_once_is_asked_again(first):
    async with World(servers=2) as world:
        client = await world.call(AT)
        _, server, _ = await world.leg()
        if len(first) == 3 and first.islower():
            server.end(first)
        else:
            server.say(first)
            server.end("fin")
        await comes_up(world, client)


@played
async def test_a_server_that_still_has_the_attempt_before_is_asked_until_it_has_not():
    # Attempts go out with the same id, which a server refuses while it thinks that the first is open.
    async with World(servers=1) as world:
        client = await world.call(AT)
        _, server, _ = await world.leg()
        server.end("rst")
        for _ in range(3):
            _, server, _ = await world.leg()
            server.say("ERR")
            server.end("fin")
        await comes_up(world, client)


@played
async def test_a_server_that_accepts_and_says_nothing_is_asked_again(monkeypatch):
    # Before, one attempt took all of the 40 s.
    monkeypatch.setattr(resumption, "FIRST_ATTEMPT_SECONDS", 0.2)
    async with World(servers=1) as world:
        client = await world.call(AT)
        _, silent, line = await world.leg()
        assert 0 < int(line.partition(",d=")[2].partition(",")[0]) <= 200  # as long as we wait
        _, server, again = await world.leg()
        assert again.split()[1] == line.split()[1] and await silent.line() == "fin"
        server.say("UP 1")
        assert await client.line() == "UP 1"
        silent.say("UP 0")  # too late, and nobody hears it
        server.say("line")
        assert await client.line() == "line"


@played
async def test_a_server_that_takes_the_connection_late_costs_no_attempt(monkeypatch):
    # The time-out of ordinary requests, 0.2 s here, is not for those that have no other server to go to.
    async with World(servers=1) as world:
        loop, release = asyncio.get_running_loop(), asyncio.Event()
        connect = loop.sock_connect

        async def late(sock, address):
            await release.wait()
            await connect(sock, address)

        client = await world.dial()
        monkeypatch.setattr(loop, "sock_connect", late)
        client.say(f"OPEN 00000000000000ff 7f3a9c21e0b4d655 {AT}")
        end = world.node.clock() + 2 * world.node.names.connect_timeout
        await world.until(lambda: world.node.clock() > end)
        release.set()
        await comes_up(world, client)
        assert not world.node.counters["leg_no_connection"]


@played
async def test_a_server_that_is_not_yet_in_the_list_is_waited_for():
    async with World(servers=2) as world:
        world.entries, kept = world.entries[:1], world.entries
        await listed(world, kept[:1])
        client = await world.call("c=chat,t=acme,d=4294967,at=s-late")
        await world.until(lambda: world.node.resumed.pending)
        await listed(world, [kept[0], kept[1] | {"instanceId": "s-late"}])
        number, server, line = await world.leg()
        server.say("UP 1")
        assert number == 1 and line.endswith("at=s-late") and await client.line() == "UP 1"


@pytest.mark.parametrize("state", ["terminating", "unlisted", "cordoned"])
@played
async def test_a_server_that_drains_or_left_the_list_still_has_it(state):
    # It stands there already, so it is nothing new to that server.
    async with World(servers=2) as world:
        gone = {
            "terminating": [world.entries[0] | {"lifecycle": "terminating"}, world.entries[1]],
            "unlisted": world.entries[1:],
            "cordoned": world.entries,
        }[state]
        await listed(world, gone)
        await world.until(lambda: world.node.server_list.version == 50)
        if state == "cordoned":
            assert world.node.server_list.cordon("s-0", True)
        await resumes(world)


@played
async def test_a_server_that_is_lost_on_the_way_and_back_elsewhere_is_found(monkeypatch):
    monkeypatch.setattr(resumption, "FIRST_ATTEMPT_SECONDS", 0.2)
    async with World(servers=2) as world:
        client = await world.call(AT)
        await world.leg()  # it hangs
        await listed(world, world.entries[1:])
        await listed(world, [world.entries[1] | {"instanceId": "s-0"}])  # its new address
        number, server, _ = await world.leg()
        while number == 0:  # attempts of before
            number, server, _ = await world.leg()
        server.say("UP 1")
        assert number == 1 and await client.line() == "UP 1"


@played
async def test_a_server_that_has_served_it_to_its_end_gives_one_answer():
    # Before, BYE was passed on and the server asked again: UP could come behind it.
    async with World(servers=1) as world:
        client = await world.call(AT)
        _, server, _ = await world.leg()
        server.say("BYE")
        server.end("fin")
        assert [await client.line(), await client.line()] == ["BYE", "fin"]
        await world.until(lambda: not world.node.clients)
        assert not world.node.resumed.pending and world.arrived.empty()


@played
async def test_it_is_counted_by_the_decisions_once_it_is_up_and_not_before():
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


@played
async def test_a_client_that_comes_again_with_its_id_is_resumed():
    # Its server knows it by that id. While the first is open here, the second is another's.
    async with World(servers=1) as world:
        first = await world.call(AT, number=7)
        _, server, _ = await world.leg()
        thief = await world.call(AT, number=7)
        assert [await thief.line(), await thief.line()] == ["SYNTAX", "fin"]
        first.end("rst")
        assert await server.line() in ("fin", "rst")
        await world.until(lambda: not world.node.limits.open_ids)
        await resumes(world, AT, number=7)


@pytest.mark.parametrize("how", ["fin", "rst"])
@pytest.mark.parametrize("at", ["s-0", "s-9"])
@played
async def test_a_client_that_leaves_before_it_is_up_leaves_nothing_behind(how, at):
    async with World(servers=1) as world:
        await world.question()
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


# The process: SIGTERM, SIGHUP, a hot restart, a start without a list.


@pytest.mark.parametrize("sent, told", [(False, "BUSY"), (True, "ERR")])
@played
async def test_asked_to_end_it_answers_those_that_are_not_up(sent, told):
    # Trying again is harmless only if no server may have it.
    async with World(servers=1) as world:
        client = await world.call(f"{AT[:-3]}{'s-0' if sent else 's-9'}")
        if sent:
            await world.leg()
        await world.until(lambda: world.node.resumed.pending)
        world.node.queue(world.node.begin_shutdown)
        assert [await client.line(), await client.line()] == [told, "fin"]
        await asyncio.wait_for(world.serving, 5)


@played
async def test_asked_to_end_it_lets_those_come_up_that_can(monkeypatch):
    async with World(servers=1) as world:
        client = await world.call(AT)
        _, server, _ = await world.leg()
        monkeypatch.setattr(Shutdown, "move_rest", lambda shutdown: None)
        world.node.begin_shutdown()
        server.say("UP 0")
        assert [await client.line(), await client.line()] == ["UP 0", "MOVE"]  # and not only at the end


@played
async def test_a_reload_changes_nothing_for_those_that_are_not_up(tmp_path):
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
        await comes_up(world, client)


@pytest.mark.parametrize("sent", [False, True])
@played
async def test_a_hot_restart_takes_over_those_that_are_not_up(tmp_path, monkeypatch, sent):
    # Before, they stayed with the process that goes and were told BUSY; the id counted as another client's.
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    monkeypatch.setattr(node, "KNOWN_LIST_WAIT", 0.05)
    with contextlib.closing(bound_socket()) as address:
        async with World(servers=1, control=True, listen=written(address)) as world:
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
                await listed(world, [world.entries[0] | {"instanceId": "s-late"}])
                await listed_again(world)
            number, server, line = await world.leg()
            server.say("UP 0")
            assert await client.line() == "UP 0" and line.split()[1] == f"{1:016x}"
            assert not old.resumed.pending and world.node.counters["malformed"] == 0
            client.say("line")
            assert await server.line() == "line"
            await world.first_ends(serving)


async def listed_again(world):
    """Both processes watch; the second one's question comes after the first one's."""
    del world.watch
    await listed(world, [world.entries[0] | {"instanceId": "s-late"}])


@played
async def test_a_process_without_a_list_listens_for_them_once_their_clients_come(monkeypatch):
    # Before, the kernel refused them: nobody listened until there was a list.
    monkeypatch.setattr(resumption, "LISTEN_AFTER_SECONDS", 0.1)
    with contextlib.closing(socket.create_server(("127.0.0.1", 0))) as place:
        address = place.getsockname()
    async with World(servers=1) as world:
        starting = asyncio.create_task(world.start(known=None, listen="{}:{}".format(*address)))
        await world.question()  # of the first process
        watch, _ = await world.question()
        client = await connected(address)
        client.say(f"OPEN 00000000000000ff 7f3a9c21e0b4d655 {AT}")
        ordinary, front = await connected(address), await connected(address)
        ordinary.say(f"OPEN 00000000000000fe 7f3a9c21e0b4d655 {ORDINARY}")
        assert [await ordinary.line(), await ordinary.line()] == ["BUSY", "fin"]
        front.say("PING")
        assert await front.line() == "fin"  # it is not ready, and says so to nobody
        watch.writer.write(HEAD + chunk({"generation": 50, "reset": True, "instances": world.entries}))
        await comes_up(world, client)
        second, serving = await starting
        front = await connected(address)
        front.say("PING")
        assert await front.line() == "PONG"
        second.finished.set()
        await serving


async def connected(address):
    """A connection, as soon as somebody listens there."""
    for _ in range(1000):
        try:
            return Peer(*await asyncio.open_connection(*address))
        except ConnectionRefusedError:
            await asyncio.sleep(0.005)
    raise AssertionError("nobody listens")


@played
async def test_a_start_that_has_a_list_answers_at_once_and_listens_no_earlier(monkeypatch):
    monkeypatch.setattr(resumption, "LISTEN_AFTER_SECONDS", 0.0)
    async with World(servers=1) as world:
        await in_service(world)
