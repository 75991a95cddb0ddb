"""Hot restarts: the listening socket, the state and the connections go over to the successor without loss."""

import asyncio
import contextlib
import json
import os
import socket
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from unittest import mock

import pytest
from helpers import Peer, World, async_test

from bellrack.net import connection, handoff, hot_restart, lines, node, sibling
from bellrack.net.config import parse_config
from bellrack.net.handoff_receiver import HandoffReceiver
from bellrack.net.limits import Limits

ROOT = Path(__file__).parent.parent
BOUND: list[socket.socket] = []


def reserved_address():
    """Return an address for both processes. A socket that does not listen stays bound to it.

    Otherwise a connection of another test could get the same port first."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.bind(("127.0.0.1", 0))
    BOUND.append(sock)
    return "{}:{}".format(*sock.getsockname())


async def lines_until_last(peer):
    while (line := await peer.line()) != "last":
        yield line


@pytest.fixture
def folder(tmp_path, monkeypatch):
    monkeypatch.setenv("TMPDIR", str(tmp_path))
    monkeypatch.setattr(node, "KNOWN_LIST_WAIT", 0.05)
    yield tmp_path
    while BOUND:
        BOUND.pop().close()


@async_test
async def test_successor_accepts_connections_that_wait_on_the_listening_socket(folder):
    async with World(control=True, listen=reserved_address()) as world:
        old, (client, _) = world.node, await world.establish()
        world.node, serving = await world.start()
        waiting = await world.call()
        await world.until(lambda: old.hot_restart.has_successor and old.listeners.listener is None)
        old.hot_restart.handoff_sender.close()
        old.hot_restart.handoff_sender = None  # as with a successor that takes over no connections
        assert old.can_serve() is False and world.node.can_serve()
        assert (await world.leg())[2].startswith("OPEN 0000000000000002") and waiting
        old.begin_shutdown()
        assert [await client.line(), await client.line()] == ["MOVE", "fin"]
        again, _ = await world.establish()
        await world.wait_for_first_node(serving)
        assert not old.clients and not old.listeners.listener
        assert len(world.node.clients) == 2 and again
        await world.until(
            lambda: world.node.hot_restart.sibling is None and world.node.limits.sibling_descriptors == 0
        )


@async_test
async def test_predecessor_serves_a_silent_connection_that_it_accepted(folder):
    async with World(control=True, listen=reserved_address()) as world:
        old, silent = world.node, await world.dial()
        await world.until(lambda: old.clients)
        world.node, serving = await world.start()
        await world.until(lambda: old.hot_restart.has_successor)
        old.begin_shutdown()
        silent.say("OPEN 0000000000000007 7f3a9c21e0b4d655 c=chat,t=acme,d=2000")
        _, server, line = await world.leg()
        server.say("UP 1")
        assert line.startswith("OPEN 0000000000000007") and await silent.line() == "UP 1"
        server.say("line")
        assert await silent.line() == "line"  # by now at the successor
        await world.wait_for_first_node(serving)
        assert world.node.counters["taken_over"] == 1


@async_test
async def test_established_connections_are_handed_over_without_losing_or_repeating_bytes(folder):
    async with World(servers=3, control=True, listen=reserved_address()) as world:
        old, pairs = world.node, [await world.establish() for _ in range(40)]
        held = {server.id_hash: server.local_state.open_legs for server in old.servers.values()}
        for number, (client, server) in enumerate(pairs):
            client.writer.write(b"first half %d, " % number)
            server.writer.write(b"answer %d " % number)
        await asyncio.sleep(0.02)
        world.node, serving = await world.start()
        await world.until(lambda: old.hot_restart.has_successor)
        old.begin_shutdown()
        for client, _ in pairs:
            client.say("second half")
        for number, (_, server) in enumerate(pairs):
            assert await server.line() == f"first half {number}, second half"
            server.say(f"to {number}")
        for number, (client, _) in enumerate(pairs):
            assert await client.line() == f"answer {number} to {number}"
        await world.wait_for_first_node(serving)
        new = world.node
        assert (old.counters["moved"], new.counters["taken_over"], old.balancer.open_legs) == (0, 40, 0)
        assert {
            s.id_hash: s.local_state.open_legs for s in new.servers.values()
        } == held and new.balancer.open_legs == 40
        assert (await world.figures())["pending"] == 40
        pairs[0][0].end("fin")
        pairs[1][1].end("rst")
        pairs[2][1].say("BYE")
        pairs[2][1].end("fin")
        assert [await pairs[0][1].line(), await pairs[1][0].line()] == ["fin", "rst"]
        assert [await pairs[2][0].line(), await pairs[2][0].line()] == ["BYE", "fin"]
        await world.until(lambda: new.balancer.open_legs == 37 and len(new.clients) == 37)
        assert not new.counters["faults"] and not old.counters["faults"]


@async_test
async def test_connection_with_unsent_lines_is_handed_over_once_they_are_sent(folder):
    async with World(control=True, listen=reserved_address()) as world:
        old, (client, server) = world.node, await world.establish()
        line, link = b"x" * 4000 + b"\r\n", next(iter(old.clients))
        while not link.blocked:  # the client does not read
            server.writer.write(line * 50)
            await asyncio.sleep(0)
        sent = server.writer.transport.get_write_buffer_size()
        world.node, serving = await world.start()
        await world.until(lambda: old.hot_restart.has_successor)
        old.begin_shutdown()
        await world.until(lambda: old.shutdown)
        assert not old.hot_restart.handoff_sender.send_connection(link) and sent
        server.say("last")
        received = [line async for line in lines_until_last(client)]
        assert set(received) == {line[:-2].decode()} and len(received) % 50 == 0
        await world.until(lambda: world.node.counters["taken_over"])
        server.say("line")
        assert await client.line() == "line"
        await world.wait_for_first_node(serving)


@async_test
async def test_receiver_ignores_malformed_hand_off_messages(folder):
    async with World(control=True) as world:
        ours, theirs = handoff.socket_pair()
        receiver = HandoffReceiver(world.node, theirs)
        for words in (b"no json", b"[]", b"{}", b'{"in": "%%"}', b'{"in": ""}', b'{"line": "OPEN"}'):
            ours.send(words)
        await asyncio.sleep(0.02)
        assert not world.node.clients and not world.node.counters["faults"] and not receiver.tasks
        ours.close()
        await world.until(lambda: theirs.fileno() < 0)


@async_test
async def test_predecessor_accepts_again_when_its_successor_ends(folder):
    async with World(control=True, listen=reserved_address()) as world:
        async with world.beside():
            await world.until(lambda: world.node.hot_restart.has_successor)
        await world.until(lambda: world.node.listeners.listener)
        await world.establish()
        async with world.beside():  # and can hand over once more
            await world.until(lambda: world.node.hot_restart.has_successor)


@async_test
async def test_successor_adopts_the_list_of_the_predecessor(folder):
    async with World(servers=2, control=True, listen=reserved_address()) as world:
        # The list of the configuration is older than the predecessor's.
        world.raw["known"] = {"generation": 3, "reset": True, "instances": []}
        async with world.beside() as second:
            here, there = (
                sorted(
                    (s.id_hash, s.zone, s.state, s.capacity, s.host_record.address)
                    for s in one.servers.values()
                )
                for one in (world.node, second)
            )
            assert here == there and len(here) == 2


@async_test
async def test_detach_and_attach_orders_hold_at_both_processes(folder):
    async with World(servers=3, control=True, listen=reserved_address()) as world:
        old = world.node
        assert old.server_list.cordon("s-0", True)
        world.node, serving = await world.start()
        assert (await world.ask("/_servers/detach", "s-1"))[0] == 200
        await world.until(lambda: len(old.server_list.cordoned) == 2)
        (old_ready,), (new_ready,) = old.balancer.listing.ready, world.node.balancer.listing.ready
        assert old_ready.host_record.name == new_ready.host_record.name == "s-2"
        new, world.node = world.node, old
        assert (await world.ask("/_servers/attach", "s-0"))[0] == 200
        await world.until(lambda: len(new.server_list.cordoned) == 1)
        (server,) = (s for s in new.servers.values() if s.host_record.name == "s-0")
        # It may have restarted meanwhile, so it counts as cold.
        assert not server.cordoned and server.local_state.warm_at > new.now
        new.finished.set()
        await serving


@async_test
async def test_successor_adopts_what_the_predecessor_has_learned(folder):
    async with World(servers=2, control=True, listen=reserved_address()) as world:
        first, _ = world.node.servers.values()
        world.node.balancer.slow_start.proven_load = 17.5
        first.local_state.failure_weight, first.local_state.limit, first.local_state.unhealthy_until = (
            0.25,
            9.5,
            world.node.now + 60,
        )
        async with world.beside() as second:
            same = second.servers[first.id_hash].local_state
            assert (same.failure_weight, same.limit, same.unhealthy_until) == (
                0.25,
                9.5,
                first.local_state.unhealthy_until,
            )
            assert second.balancer.slow_start.baseline_load() >= 17.5 and second.balancer.avoids(
                second.servers[first.id_hash]
            )
            for malformed in (5, {"x": {}}, {first.id_hash: {"weight": "1"}}, {}):
                with contextlib.suppress(AttributeError, ValueError):
                    second.import_learned({"servers": malformed})
            assert same.failure_weight == 0.25


@async_test
async def test_predecessor_that_ends_before_its_successor_is_ready_moves_its_clients(folder, monkeypatch):
    # Otherwise connections would go to a process that may never become ready.
    monkeypatch.setattr(node, "KNOWN_LIST_WAIT", 60.0)
    async with World(control=True, listen=reserved_address()) as world:
        old, (client, _) = world.node, await world.establish()
        world.node = node.Node(parse_config(world.raw), old.loop)
        serving = asyncio.create_task(world.node.serve())
        await world.until(lambda: old.hot_restart.sibling and old.hot_restart.sibling.transport)
        old.begin_shutdown()
        assert await client.line() == "MOVE" and not old.counters["handed_over"]
        await world.wait_for_first_node(serving)
        world.node.server_list.on_unchanged()


@async_test
async def test_malformed_state_of_a_predecessor_does_not_prevent_a_start(folder, monkeypatch):
    for state in ({"out": [5]}, {"seen": [[]]}, {"list": 5}, {"learned": []}):
        monkeypatch.setattr(hot_restart.HotRestart, "snapshot", lambda self, state=state: state)
        async with World(control=True, listen=reserved_address()) as world, world.beside():
            await world.until(lambda: world.node.hot_restart.has_successor)


@async_test
async def test_leg_that_ends_during_its_hand_off_is_not_counted_as_open(folder, monkeypatch):
    monkeypatch.setattr(connection, "FLUSH_SECONDS", 0.0)
    async with World(control=True) as world:
        line = lines.parse_request_line(b"OPEN 00000000000000a1 7f3a9c21e0b4d655 c=chat,t=acme,d=2000\r\n")
        words = {
            "in": "",
            "back": "",
            "line": line.line.decode(),
            "server": "s-0",
            "place": "127.0.0.1:1",
            "sent": 1.0,
            "asked": [],
            "said": "",
        }
        sides = [socket.socketpair() for _ in range(2)]
        ours, theirs = handoff.socket_pair()
        receiver, up = HandoffReceiver(world.node, theirs), HandoffReceiver.on_attached
        delayed = []
        # `up` is called below, after the server has closed the connection.
        monkeypatch.setattr(receiver, "on_attached", delayed.append)
        socket.send_fds(ours, [json.dumps(words).encode()], [near.fileno() for near, _ in sides])
        await world.until(lambda: delayed)
        sides[1][1].close()
        await world.until(lambda: world.node.counters["ended_server"])
        up(receiver, *delayed)
        await asyncio.sleep(0.02)
        assert world.node.balancer.open_legs == 0 and not world.node.counters["faults"]
        for sock in (ours, sides[0][0], sides[0][1], sides[1][0]):
            sock.close()


@async_test
async def test_no_predecessor_is_found_where_none_answers_properly(folder):
    path = sibling.socket_path("n0", ("127.0.0.1", 1))
    assert sibling.socket_path("n0", ("127.0.0.1", 2)) != path and path.startswith(str(folder))
    assert sibling.connect_to_predecessor(path) is None
    with socket.socket(socket.AF_UNIX) as dead:
        dead.bind(path)
    assert sibling.connect_to_predecessor(path) is None
    for answer in (b"", b"no json\n", b"[]\n", b"{}\n"):
        os.unlink(path)
        with socket.socket(socket.AF_UNIX) as sock:
            sock.bind(path)
            sock.listen()
            connecting = asyncio.to_thread(sibling.connect_to_predecessor, path)
            task = asyncio.create_task(connecting)
            other, _ = await asyncio.to_thread(sock.accept)
            other.sendall(answer)
            other.close()
            assert await task is None


def test_no_socket_path_where_the_folder_is_too_long_or_unset(monkeypatch):
    monkeypatch.setenv("TMPDIR", "/tmp/" + "x" * 120)
    assert sibling.socket_path("n0", ("127.0.0.1", 1)) is None
    monkeypatch.delenv("TMPDIR")
    assert sibling.socket_path("n0", ("127.0.0.1", 1)) is None


@async_test
async def test_missing_folder_is_logged_once_and_the_process_serves(folder, monkeypatch, caplog):
    caplog.set_level("INFO", logger="bellrack")
    monkeypatch.setenv("TMPDIR", str(folder / "none"))
    async with World(control=True) as world:
        await world.establish()
        offered = [record.fields["offered"] for record in caplog.records if record.msg == "handover"]
        assert offered == ["nothing"]
        assert not world.node.listeners.successor_socket


@async_test
async def test_hot_restart_of_two_real_processes_keeps_a_connection(tmp_path):
    async with World(servers=2) as world:
        listen, admin_addresses = reserved_address(), [reserved_address(), reserved_address()]
        processes = []
        for number, admin_address in enumerate(admin_addresses):
            path = tmp_path / f"{number}.json"
            path.write_text(json.dumps(world.raw | {"listen": listen, "control": admin_address}))
            processes.append(
                await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "bellrack",
                    "serve",
                    f"--config={path}",
                    cwd=ROOT,
                    env=os.environ | {"TMPDIR": str(tmp_path)},
                    stderr=asyncio.subprocess.DEVNULL,
                )
            )
            while (await ready_status(admin_address))[:1] != b"2":
                await asyncio.sleep(0.02)
            if not number:
                host, _, port = listen.partition(":")
                client = Peer(*await asyncio.open_connection(host, int(port)))
                client.say("OPEN 00000000000000a1 7f3a9c21e0b4d655 c=chat,t=acme,d=2000")
                _, server, _ = await world.leg()
                server.say("UP 1")
                assert await client.line() == "UP 1"
        assert (await ready_status(admin_addresses[0]))[:3] == b"503"
        processes[0].terminate()
        assert await asyncio.wait_for(processes[0].wait(), 5) == 0
        client.say("M 1")
        assert await server.line() == "M 1"
        server.say("A 1")
        assert await client.line() == "A 1"
        processes[1].terminate()
        assert [await client.line(), await client.line()] == ["MOVE", "fin"]
        assert await asyncio.wait_for(processes[1].wait(), 5) == 0
        assert sorted(path.name for path in tmp_path.iterdir()) == ["0.json", "1.json"]


async def ready_status(admin_address):
    """Return the response to `/_ready` from its status on; empty if nobody listens yet."""
    host, _, port = admin_address.partition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return b""
    writer.write(b"GET /_ready HTTP/1.1\r\n\r\n")
    response = await reader.read()
    writer.close()
    return response.partition(b" ")[2]


@async_test
async def test_process_of_another_user_gets_no_listening_socket(folder, monkeypatch):
    async with World(control=True, listen=reserved_address()) as world:
        monkeypatch.setattr(sibling, "same_user", lambda sock: False)
        peer = Peer(*await asyncio.open_unix_connection(world.node.listeners.successor_path))
        assert await peer.line() == "fin" and world.node.hot_restart.sibling is None


def test_descriptor_limit_holds_for_both_processes_together():
    limits = Limits(200)
    limits.descriptors, limits.sibling_descriptors = 60, 60
    assert not limits.reserve_reached() and not limits.lacks(2)
    limits.sibling_descriptors = 100
    assert limits.reserve_reached() and not limits.lacks(2)
    limits.sibling_descriptors = 115  # half of the reserve, here 24, is kept for admin and discovery
    assert limits.lacks(2) and not limits.lacks(1)


def test_list_message_reads_back_as_the_same_entry():
    from bellrack.net import lines

    row = ("s-1", ("127.0.0.1", 9), "a", "draining", 3, 1.5, 100.25, "m2")
    (entry,) = lines.parse_list(json.loads(json.dumps(lines.list_message([row])))).entries
    assert (entry.name, entry.address, entry.zone, entry.machine) == ("s-1", ("127.0.0.1", 9), "a", "m2")
    assert entry.row == ("draining", 3, 1.5, 100.25)


def test_messages_read_together_with_the_state_are_not_lost(tmp_path):
    path = str(tmp_path / "predecessor")
    with socket.socket(socket.AF_UNIX) as server, socket.socket() as listening_socket:
        server.bind(path)
        server.listen()

        def answer():
            sock, _ = server.accept()
            socket.send_fds(
                sock,
                [b'{"version": 1}\n{"held": 7}\n{"pas'],
                [listening_socket.fileno(), listening_socket.fileno()],
            )
            return sock

        with ThreadPoolExecutor(1) as pool:
            answering = pool.submit(answer)
            predecessor = sibling.connect_to_predecessor(path)
            answering.result().close()
    assert predecessor and predecessor.state == {"version": 1}
    host = mock.Mock(**{"limits.descriptors": 0})
    connection = sibling.Sibling(host, unread=predecessor.unread)
    connection.connection_made(mock.Mock(is_closing=lambda: False, get_write_buffer_size=lambda: 0))
    connection.data_received(b'sed": 3}\n')
    assert [call.args[1] for call in host.queue.call_args_list] == [{"held": 7}, {"passed": 3}]
    for sock in (predecessor.sock, predecessor.listening_socket, predecessor.handoff_socket):
        sock.close()
