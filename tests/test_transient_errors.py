"""The machine fails for a moment: accept, socket, connect, writes of files. Nobody is lost by it, no server
is blamed for it, and what was taken on is still done."""

import asyncio
import errno
import json
import os
import socket
from unittest import mock

import pytest
from helpers import Peer, World, played, raw_settings
from test_handover import folder, reserved_address  # noqa: F401 (a fixture)

from bellrack.net import config as configuration
from bellrack.net import lines, listeners, node, servers, shutdown, sibling
from bellrack.net.config import parse_config

LOCAL = [errno.ENFILE, errno.ENOBUFS, errno.EADDRNOTAVAIL, errno.ENETUNREACH]


def failing(honest, error, times=1, match=lambda *args, **named: True):
    """The honest function, but for its first calls that match."""
    left = [times]

    def call(*args, **named):
        if left[0] and match(*args, **named):
            left[0] -= 1
            raise OSError(error, os.strerror(error))
        return honest(*args, **named)

    call.left = left
    return call


@pytest.mark.parametrize("error", [errno.ECONNABORTED, errno.ENOBUFS, errno.ENFILE])
@played
async def test_asked_to_end_it_answers_who_waits_behind_one_that_cannot_be_accepted(monkeypatch, error):
    monkeypatch.setattr(shutdown, "MIN_SECONDS", 0.0)
    async with World() as world:
        waiting = []
        honest = world.node.listeners.socket
        door = mock.Mock(wraps=honest)
        door.accept.side_effect = failing(honest.accept, error)

        def come_and_leave():
            for number in range(5):
                waiting.append(socket.create_connection(world.node.address))
                waiting[-1].sendall(b"OPEN %016x 7f3a9c21e0b4d655 c=chat,t=acme,d=2000\r\n" % (number + 1))
            monkeypatch.setattr(world.node.listeners.listener, "sockets", [door])
            world.node.begin_shutdown()

        world.node.queue(come_and_leave)
        await world.until(lambda: len(waiting) == 5)
        for sock in waiting:
            client = Peer(*await asyncio.open_connection(sock=sock))
            assert [await client.line(), await client.line()] == ["BUSY", "fin"]
            client.end("fin")
        await asyncio.wait_for(world.serving, 2)


@pytest.mark.parametrize("error", LOCAL)
@pytest.mark.parametrize("where", ["socket", "connect"])
@played
async def test_a_request_outlives_a_moment_without_sockets(monkeypatch, where, error):
    async with World() as world:
        client = await world.dial()
        await world.until(lambda: world.node.clients)
        if where == "socket":
            made = failing(socket.socket, error, times=3, match=lambda *args, **named: "fileno" not in named)
            monkeypatch.setattr(servers.socket, "socket", made)
        else:
            made = failing(world.node.loop.sock_connect, error, times=3)
            monkeypatch.setattr(world.node.loop, "sock_connect", made)
        client.say("OPEN 00000000000000a1 7f3a9c21e0b4d655 c=chat,t=acme,d=2000")
        _, server, line = await world.leg()
        assert line.startswith("OPEN ") and made.left == [0]
        server.say("UP 1")
        assert await client.line() == "UP 1"
        (known,) = world.node.servers.values()
        assert known.local_state.failure_weight == 1.0 and known.local_state.consecutive_failures == 0


@pytest.mark.parametrize("error", [errno.ENFILE, errno.ENOBUFS])
@pytest.mark.parametrize("what", ["create_server", "datagram"])
@played
async def test_it_starts_when_the_machine_has_sockets_again(monkeypatch, error, what):
    async with World() as world:
        extra = {"control": "127.0.0.1:0"}
        if what == "create_server":
            made = failing(socket.create_server, error, times=2)
            monkeypatch.setattr(listeners.socket, "create_server", made)
        else:
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
                sock.bind(("127.0.0.1", 0))
                extra |= {"peer_listen": "{}:{}".format(*sock.getsockname())}
            made = failing(world.node.loop.create_datagram_endpoint, error, times=2)
            monkeypatch.setattr(world.node.loop, "create_datagram_endpoint", made)
        second, serving = await world.start(**extra)
        assert made.left == [0]
        await world.until(second.can_serve)
        second.finished.set()
        await serving


@pytest.mark.parametrize("error", [errno.EADDRINUSE, errno.EACCES])
@played
async def test_an_address_that_cannot_be_had_is_no_moment(monkeypatch, error):
    made = failing(socket.create_server, error, times=1000)
    async with World() as world:
        monkeypatch.setattr(listeners.socket, "create_server", made)
        second = node.Node(parse_config(world.raw), world.node.loop)
        with pytest.raises(OSError):
            await asyncio.wait_for(second.serve(), 3)


@pytest.mark.parametrize("error", [errno.EIO, errno.ENFILE, errno.ENOSPC])
@played
async def test_a_reload_is_owed_when_the_file_cannot_be_read_for_a_moment(tmp_path, monkeypatch, error):
    async with World() as world:
        path = tmp_path / "config.json"
        settings = raw_settings() | {"caps": raw_settings()["caps"] | {"maxLegs": 2}}
        path.write_text(json.dumps(world.raw | {"settings": settings}))
        world.node.config.path = str(path)
        made = failing(open, error, times=2)
        monkeypatch.setattr(configuration, "open", made, raising=False)
        world.node.queue(node.reload.reload, world.node)
        await world.until(lambda: world.node.settings.max_legs == 2)
        assert world.node.counters["config_reloads"] == 1


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize("call", ["rename", "chmod"])
@played
async def test_the_meeting_place_is_made_when_the_folder_takes_files_again(folder, monkeypatch, call, error):  # noqa: F811
    made = failing(getattr(os, call), error, times=2)
    monkeypatch.setattr(sibling.os, call, made)
    async with World(control=True, listen=reserved_address()) as world:
        await world.until(lambda: world.node.listeners.successor_socket)
        assert [path.name for path in folder.iterdir()] == [
            os.path.basename(world.node.listeners.successor_path)
        ]
        async with world.beside() as new:
            await world.until(lambda: world.node.hot_restart.has_successor)
            assert new.can_serve()


@played
async def test_a_successor_gets_all_that_is_written_in_pieces(folder, monkeypatch):  # noqa: F811
    honest = socket.send_fds

    def short(sock, buffers, fds, *rest):
        whole = b"".join(buffers)
        if whole.startswith(b'{"version"'):
            return honest(sock, [whole[:100]], fds, *rest)
        return honest(sock, buffers, fds, *rest)

    monkeypatch.setattr(sibling.socket, "send_fds", short)
    async with World(servers=2, control=True, listen=reserved_address()) as world:
        assert (await world.ask("/_servers/detach", "s-1"))[0] == 200
        async with world.beside() as new:
            await world.until(lambda: world.node.hot_restart.has_successor)
            assert new.servers[lines.id_hash("s-1")].cordoned


@pytest.mark.parametrize("error", [errno.ETIMEDOUT, errno.EHOSTUNREACH])
@pytest.mark.parametrize("effect, told", [("retryable", "UP 2"), ("fragile", "ERR")])
@played
async def test_a_broken_connection_may_have_run_whatever_it_shows_as(monkeypatch, error, effect, told):
    async with World(servers=2, effect=effect) as world:
        client = await world.call()
        await world.leg()
        (link,) = [one.call.legs[0].host_record for one in world.node.clients]
        link.transport._fatal_error(OSError(error, os.strerror(error)))  # what asyncio makes of it
        if told.startswith("UP"):
            _, second, _ = await world.leg()
            second.say(told)
        assert await client.line() == told
