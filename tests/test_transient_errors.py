"""Transient errors of the local machine in accept, socket, connect and file operations. No client is lost, no
server counts as failing because of them, and the failed operation is retried."""

import asyncio
import errno
import json
import os
import socket
from unittest import mock

import pytest
from helpers import Peer, World, async_test, raw_settings
from test_handover import folder, reserved_address  # noqa: F401 (a fixture)

from bellrack.net import config as configuration
from bellrack.net import lines, listeners, node, servers, shutdown, sibling
from bellrack.net.config import parse_config

LOCAL_ERRNOS = [errno.ENFILE, errno.ENOBUFS, errno.EADDRNOTAVAIL, errno.ENETUNREACH]


def failing(original, error, times=1, match=lambda *args, **named: True):
    """Wraps a function so that its first `times` matching calls raise `error`."""
    remaining = [times]

    def call(*args, **named):
        if remaining[0] and match(*args, **named):
            remaining[0] -= 1
            raise OSError(error, os.strerror(error))
        return original(*args, **named)

    call.remaining = remaining
    return call


@pytest.mark.parametrize("error", [errno.ENOBUFS, errno.ENFILE])
@async_test
async def test_rush_of_clients_does_not_wait_for_each_accept_that_fails_for_a_moment(monkeypatch, error):
    """Each failed accept was followed by a pause of 20 ms, and a crowd had its answers late (soak, 9529)."""
    async with World() as world:
        calls, pauses, accept_one = [], [], listeners.Listener.accept_one

        def fails_in_turn(listener):
            calls.append(listener)
            if len(calls) % 2:
                raise OSError(error, os.strerror(error))
            accept_one(listener)

        monkeypatch.setattr(listeners.Listener, "accept_one", fails_in_turn)
        monkeypatch.setattr(listeners.Listener, "pause", lambda listener: pauses.append(listener))
        waiting = [socket.create_connection(world.node.address) for _ in range(40)]
        for sock in waiting:
            sock.sendall(b"PING\r\n")
        for sock in waiting:
            client = Peer(*await asyncio.open_connection(sock=sock))
            assert await client.line() == "PONG"
        assert not pauses and len(calls) >= 80


@pytest.mark.parametrize("error", [errno.ECONNABORTED, errno.ENOBUFS, errno.ENFILE])
@async_test
async def test_shutdown_answers_queued_clients_after_a_failed_accept(monkeypatch, error):
    monkeypatch.setattr(shutdown, "MIN_SECONDS", 0.0)
    async with World() as world:
        waiting = []
        original = world.node.listeners.socket
        listening_socket = mock.Mock(wraps=original)
        listening_socket.accept.side_effect = failing(original.accept, error)

        def connect_and_shut_down():
            for number in range(5):
                waiting.append(socket.create_connection(world.node.address))
                waiting[-1].sendall(b"OPEN %016x 7f3a9c21e0b4d655 c=chat,t=acme,d=2000\r\n" % (number + 1))
            monkeypatch.setattr(world.node.listeners.listener, "sockets", [listening_socket])
            world.node.begin_shutdown()

        world.node.queue(connect_and_shut_down)
        await world.until(lambda: len(waiting) == 5)
        for sock in waiting:
            client = Peer(*await asyncio.open_connection(sock=sock))
            assert [await client.line(), await client.line()] == ["BUSY", "fin"]
            client.end("fin")
        await asyncio.wait_for(world.serving, 2)


@pytest.mark.parametrize("error", LOCAL_ERRNOS)
@pytest.mark.parametrize("where", ["socket", "connect"])
@async_test
async def test_request_survives_a_transient_lack_of_sockets(monkeypatch, where, error):
    async with World() as world:
        client = await world.dial()
        await world.until(lambda: world.node.clients)
        if where == "socket":
            failing_call = failing(
                socket.socket, error, times=3, match=lambda *args, **named: "fileno" not in named
            )
            monkeypatch.setattr(servers.socket, "socket", failing_call)
        else:
            failing_call = failing(world.node.loop.sock_connect, error, times=3)
            monkeypatch.setattr(world.node.loop, "sock_connect", failing_call)
        client.say("OPEN 00000000000000a1 7f3a9c21e0b4d655 c=chat,t=acme,d=2000")
        _, server, line = await world.leg()
        assert line.startswith("OPEN ") and failing_call.remaining == [0]
        server.say("UP 1")
        assert await client.line() == "UP 1"
        (record,) = world.node.servers.values()
        assert record.local_state.failure_weight == 1.0 and record.local_state.consecutive_failures == 0


@pytest.mark.parametrize("error", [errno.ENFILE, errno.ENOBUFS])
@pytest.mark.parametrize("what", ["create_server", "datagram"])
@async_test
async def test_start_is_retried_until_sockets_are_available(monkeypatch, error, what):
    async with World() as world:
        extra = {"control": "127.0.0.1:0"}
        if what == "create_server":
            failing_call = failing(socket.create_server, error, times=2)
            monkeypatch.setattr(listeners.socket, "create_server", failing_call)
        else:
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                sock.bind(("127.0.0.1", 0))
                extra |= {"peer_listen": "{}:{}".format(*sock.getsockname())}
            failing_call = failing(world.node.loop.create_datagram_endpoint, error, times=2)
            monkeypatch.setattr(world.node.loop, "create_datagram_endpoint", failing_call)
        second, serving = await world.start(**extra)
        assert failing_call.remaining == [0]
        await world.until(second.can_serve)
        second.finished.set()
        await serving


@pytest.mark.parametrize("error", [errno.EADDRINUSE, errno.EACCES])
@async_test
async def test_unusable_listen_address_is_not_retried(monkeypatch, error):
    failing_call = failing(socket.create_server, error, times=1000)
    async with World() as world:
        monkeypatch.setattr(listeners.socket, "create_server", failing_call)
        second = node.Node(parse_config(world.raw), world.node.loop)
        with pytest.raises(OSError):
            await asyncio.wait_for(second.serve(), 3)


@pytest.mark.parametrize("error", [errno.EIO, errno.ENFILE, errno.ENOSPC])
@async_test
async def test_reload_is_retried_when_the_file_is_unreadable_for_a_moment(tmp_path, monkeypatch, error):
    async with World() as world:
        path = tmp_path / "config.json"
        settings = raw_settings() | {"caps": raw_settings()["caps"] | {"maxLegs": 2}}
        path.write_text(json.dumps(world.raw | {"settings": settings}))
        world.node.config.path = str(path)
        failing_call = failing(open, error, times=2)
        monkeypatch.setattr(configuration, "open", failing_call, raising=False)
        world.node.queue(node.reload.reload, world.node)
        await world.until(lambda: world.node.settings.max_legs == 2)
        assert world.node.counters["config_reloads"] == 1


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize("call", ["rename", "chmod"])
@async_test
async def test_successor_socket_is_created_once_the_folder_is_writable(folder, monkeypatch, call, error):  # noqa: F811
    failing_call = failing(getattr(os, call), error, times=2)
    monkeypatch.setattr(sibling.os, call, failing_call)
    async with World(control=True, listen=reserved_address()) as world:
        await world.until(lambda: world.node.listeners.successor_socket)
        assert [path.name for path in folder.iterdir()] == [
            os.path.basename(world.node.listeners.successor_path)
        ]
        async with world.beside() as new:
            await world.until(lambda: world.node.hot_restart.has_successor)
            assert new.can_serve()


@async_test
async def test_successor_receives_state_that_is_written_in_pieces(folder, monkeypatch):  # noqa: F811
    original = socket.send_fds

    def send_part(sock, buffers, fds, *rest):
        message = b"".join(buffers)
        if message.startswith(b'{"version"'):
            return original(sock, [message[:100]], fds, *rest)
        return original(sock, buffers, fds, *rest)

    monkeypatch.setattr(sibling.socket, "send_fds", send_part)
    async with World(servers=2, control=True, listen=reserved_address()) as world:
        assert (await world.ask("/_servers/detach", "s-1"))[0] == 200
        async with world.beside() as new:
            await world.until(lambda: world.node.hot_restart.has_successor)
            assert new.servers[lines.id_hash("s-1")].cordoned


@pytest.mark.parametrize("error", [errno.ETIMEDOUT, errno.EHOSTUNREACH])
@pytest.mark.parametrize("effect, answer", [("retryable", "UP 2"), ("fragile", "ERR")])
@async_test
async def test_broken_connection_counts_as_possibly_run_whatever_its_error(
    monkeypatch, error, effect, answer
):
    async with World(servers=2, effect=effect) as world:
        client = await world.call()
        await world.leg()
        (connection,) = [one.call.legs[0].host_record for one in world.node.clients]
        connection.transport._fatal_error(OSError(error, os.strerror(error)))  # as asyncio reports the error
        if answer.startswith("UP"):
            _, second, _ = await world.leg()
            second.say(answer)
        assert await client.line() == answer
