"""A crowd holds all descriptors that it can get while discovery is down: who still gets one, in real life."""

import asyncio
import contextlib
import errno
import json
import os
import resource
import signal
import sys
from pathlib import Path

import pytest
from helpers import Peer, World, played, raw_settings
from processes import bound_socket, format_address

from bellrack.net import limits, listeners

ROOT = Path(__file__).parent.parent
CHILD = 400  # of a crowd in one process, which may have but 1,024 descriptors itself
PATIENCE = 20.0  # seconds; nothing here measures time


async def until(true, what):
    for _ in range(int(PATIENCE / 0.02)):
        if true():
            return
        await asyncio.sleep(0.02)
    raise AssertionError(f"never: {what}")


class Discovery:
    """It counts the tries; down, it resets each."""

    def __init__(self):
        self.up, self.tries, self.entries, self.watches = False, 0, [], []

    async def come(self, reader, writer):
        self.tries += 1
        peer = Peer(reader, writer)
        if not self.up:
            peer.end("rst")
            return
        while await peer.line() not in ("", "fin", "rst"):
            pass
        news = json.dumps({"generation": 50, "reset": True, "instances": self.entries}) + "\n"
        writer.write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(news), news.encode())
        )
        self.watches.append(peer)
        with contextlib.suppress(ConnectionError):
            while not writer.is_closing():
                writer.write(b"1\r\n\n\r\n")
                await asyncio.sleep(1)


class Process:
    """`bellrack serve`, and the most descriptors that it was seen to hold."""

    def __init__(self, path, raw):
        self.path, self.raw, self.most, self.admin = path, raw, 0, bound_socket()
        path.write_text(json.dumps(raw | {"control": format_address(self.admin)}))

    async def start(self, hard):
        def limited():
            if hard:
                resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))

        with open(self.path.with_suffix(".log"), "wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "bellrack",
                "serve",
                f"--config={self.path}",
                cwd=ROOT,
                stderr=log,
                env=os.environ | {"TMPDIR": str(self.path.parent)},
                preexec_fn=limited,
            )
        self.counting = asyncio.create_task(self.count())
        return self

    async def count(self):
        with contextlib.suppress(OSError):
            while True:
                self.most = max(self.most, self.held())
                await asyncio.sleep(0.002)

    def held(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    async def ask(self, path):
        """Status and text; nought where nobody answers."""
        with contextlib.suppress(ConnectionError):
            peer = Peer(*await asyncio.open_connection(*self.admin.getsockname()))
            peer.writer.write(b"GET %s HTTP/1.1\r\n\r\n" % path.encode())
            with contextlib.suppress(TimeoutError):
                head, _, text = (await asyncio.wait_for(peer.reader.read(), 5)).decode().partition("\r\n\r\n")
                peer.end("fin")
                return int(head.split()[1]) if head else 0, text
        return 0, ""

    async def answers(self, path, wanted):
        for _ in range(int(PATIENCE / 0.02)):
            status, text = await self.ask(path)
            if wanted in (status, text) or status == 200 and str(wanted) in text.splitlines():
                return
            await asyncio.sleep(0.02)
        raise AssertionError(f"{path} never told {wanted}; last {status} {text!r}")

    async def end(self, how=signal.SIGKILL):
        if self.process.returncode is None:
            self.process.send_signal(how)
        status = await asyncio.wait_for(self.process.wait(), 10)
        self.counting.cancel()
        self.admin.close()
        return status


@contextlib.asynccontextmanager
async def crowd(port, count, how):
    there = [
        await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "tests" / "crowd.py"),
            str(port),
            str(min(CHILD, count - begun)),
            how,
            stdout=asyncio.subprocess.PIPE,
        )
        for begun in range(0, count, CHILD)
    ]
    try:
        for one in there:
            assert await asyncio.wait_for(one.stdout.readline(), PATIENCE) == b"there\n"
        yield
    finally:
        for one in there:
            one.kill()
            await one.wait()


async def story(folder, limit, hard, how):
    discovery, clients, up = Discovery(), bound_socket(), asyncio.Queue()
    lister = await asyncio.start_server(discovery.come, "127.0.0.1")

    async def serve(reader, writer):
        if (await Peer(reader, writer).line()).startswith("OPEN"):
            writer.write(b"UP 1\r\n")
        up.put_nowait(writer)

    server = await asyncio.start_server(serve, "127.0.0.1")
    entry = {
        "hostPort": format_address(server.sockets[0]),
        "zone": "a",
        "cell": 0,
        "machineType": "m",
        "lifecycle": "in_service",
        "weight": 1.0,
        "startedAtMs": 0,
    }
    discovery.entries = [entry | {"instanceId": f"s-{number}"} for number in range(3)]
    rules = {"obligations": {"answerSlackUs": 16000, "coldShare": 0.2, "rampTimeUs": 2e7, "askWithinUs": 5e5}}
    raw = {
        "name": "n0",
        "listen": format_address(clients),
        "seed": "8c1f30d27a5be964",
        "limits": {"sockets": limit},
        "discovery": format_address(lister.sockets[0]),
        "settings": raw_settings(**rules),
        "known": {"generation": 41, "reset": True, "instances": discovery.entries[:1]},
    }
    allowed = min(limit, hard or limit)
    first, second = (Process(folder / f"{name}.json", raw) for name in ("first", "second"))
    started = []
    try:
        started.append(await first.start(hard))
        await first.answers("/_ready", 200)
        async with crowd(clients.getsockname()[1], allowed + 100, how):
            filled = allowed - min(limits.RESERVED_DESCRIPTORS, 3 * allowed // 8) - 2
            await until(lambda: first.most >= filled, "a process that is full up to its reserve")
            tries = discovery.tries
            await until(lambda: discovery.tries >= tries + 3, "tries of discovery while it is full")
            for _ in range(3):
                assert (await first.ask("/_ready"))[0] == 200
            discovery.up = True
            await until(lambda: discovery.watches, "a watch while it is full")
            await first.answers("/_vars", "members=3")
            started.append(await second.start(hard))
            await second.answers("/_ready", 200)
            await first.answers("/_ready", 503)  # the second has the door
            assert await first.end(signal.SIGTERM) == 0
            await second.answers("/_vars", "members=3")
            assert (await second.ask("/_ready"))[0] == 200
        for number in range(60):  # who was let go leaves room; a sound client may be told to come again
            client = Peer(*await asyncio.open_connection(*clients.getsockname()))
            client.say(f"OPEN {number + 1:016x} 7f3a9c21e0b4d655 c=chat,t=acme,d=2000")
            if (told := await client.line()) == "UP 1":
                break
            await asyncio.sleep(0.05)
        assert told == "UP 1"
        for one in started:
            said = one.path.with_suffix(".log").read_text()
            assert "event=fault" not in said and "Too many open files" not in said
        return first.most, second.most
    finally:
        for one in started:
            await one.end()
        for sock in (clients, lister, server):
            sock.close()


@pytest.mark.parametrize(
    "cases",
    [
        [("silent", 64, None), ("slow", 64, None), ("again", 64, None)],
        [("again", 20000, 64), ("slow", 256, None), ("silent", 1024, None)],
    ],
)
def test_a_crowd_that_fills_everything_leaves_control_its_descriptors(tmp_path, capsys, cases):
    async def all_of_them():  # beside one another: most of each is waiting
        folders = [tmp_path / str(number) for number in range(len(cases))]
        for folder in folders:
            folder.mkdir()
        return await asyncio.gather(
            *[story(folder, limit, hard, how) for folder, (how, limit, hard) in zip(folders, cases)]
        )

    found = asyncio.run(asyncio.wait_for(all_of_them(), 120))
    with capsys.disabled():
        for (how, limit, hard), most in zip(cases, found):
            print(f"\n{how} crowd, limit {limit}, rlimit {hard}: at most {most[0]} and {most[1]} descriptors")
    for (_, limit, hard), most in zip(cases, found):
        assert max(most) <= min(limit, hard or limit)


def test_outsiders_never_take_the_half_of_the_reserve_that_is_for_control():
    for limit in (64, 256, 1024):
        room = limits.Limits(limit)
        control = room.reserve // 2
        room.descriptors = limit - control - 1
        assert not room.crowded(2) and not room.lacks(1) and room.lacks(2)
        room.descriptors += 1
        assert room.crowded(2) and room.lacks(1) and not room.exhausted()
        while room.may_probe():
            room.probes_in_flight += 1
        # Probes, operators, two watches and a fetch of the list, three of a hand-off: all fit at once.
        assert room.probes_in_flight >= 2 and room.max_admin_connections >= 4
        assert room.probes_in_flight + room.max_admin_connections + 3 + 3 <= control


@played
async def test_who_finds_no_descriptor_waits_with_the_kernel_and_is_served_when_there_is_one():
    async with World(sockets=900) as world:
        room, before = world.node.limits, world.node.limits.descriptors
        room.descriptors = room.limit - room.reserve // 2  # held by others
        client = await world.call()
        await world.until(lambda: not world.node.listeners.listener.reading)
        assert not world.node.clients and not world.node.counters["crowded"]
        room.descriptors = before
        _, server, _ = await world.leg()
        server.say("UP 1")
        assert await client.line() == "UP 1"


@played
async def test_a_kernel_without_descriptors_closes_the_door_for_an_instant_alone(monkeypatch):
    async with World() as world:
        failed, take = [], listeners.Listener.accept_one

        def fails(self):
            if len(failed) < 3:
                failed.append(OSError(errno.EMFILE, "no"))
                raise failed[-1]
            take(self)

        monkeypatch.setattr(listeners.Listener, "accept_one", fails)
        await world.standing()
        assert len(failed) == 3
