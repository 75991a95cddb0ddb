"""Connections that send nothing useful take all descriptors they can get while discovery is down. The control
reserve must still be usable, in real processes."""

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
from helpers import Peer, World, async_test, close_peers_after, raw_settings
from processes import bound_socket, format_address

from bellrack.net import limits, listeners

ROOT = Path(__file__).parent.parent
CLIENTS_PER_PROCESS = 400  # a process of the crowd may have only 1,024 descriptors itself
TIMEOUT_SECONDS = 20.0  # generous: no test here measures time


async def until(condition, description):
    for _ in range(int(TIMEOUT_SECONDS / 0.02)):
        if condition():
            return
        await asyncio.sleep(0.02)
    raise AssertionError(f"never: {description}")


class FakeDiscovery:
    """A discovery that counts the attempts to connect and resets them while it is down."""

    def __init__(self):
        self.up, self.attempts, self.entries, self.watches = False, 0, [], []

    async def on_connection(self, reader, writer):
        self.attempts += 1
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
    """A `bellrack serve` process. `max_held`: the highest number of descriptors that it was seen to hold."""

    def __init__(self, path, raw):
        self.path, self.raw, self.max_held, self.admin = path, raw, 0, bound_socket()
        path.write_text(json.dumps(raw | {"control": format_address(self.admin)}))

    async def start(self, rlimit):
        def set_rlimit():
            if rlimit:
                resource.setrlimit(resource.RLIMIT_NOFILE, (rlimit, rlimit))

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
                preexec_fn=set_rlimit,
            )
        self.counting = asyncio.create_task(self.count())
        return self

    async def count(self):
        with contextlib.suppress(OSError):
            while True:
                self.max_held = max(self.max_held, self.held())
                await asyncio.sleep(0.002)

    def held(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    async def ask(self, path):
        """The status and the text of an admin request; 0 and no text if there is no response."""
        with contextlib.suppress(ConnectionError):
            peer = Peer(*await asyncio.open_connection(*self.admin.getsockname()))
            peer.writer.write(b"GET %s HTTP/1.1\r\n\r\n" % path.encode())
            with contextlib.suppress(TimeoutError):
                head, _, text = (await asyncio.wait_for(peer.reader.read(), 5)).decode().partition("\r\n\r\n")
                peer.end("fin")
                return int(head.split()[1]) if head else 0, text
        return 0, ""

    async def answers(self, path, wanted):
        for _ in range(int(TIMEOUT_SECONDS / 0.02)):
            status, text = await self.ask(path)
            if wanted in (status, text) or status == 200 and str(wanted) in text.splitlines():
                return
            await asyncio.sleep(0.02)
        raise AssertionError(f"{path} never answered {wanted}; last {status} {text!r}")

    async def end(self, how=signal.SIGKILL):
        if self.process.returncode is None:
            self.process.send_signal(how)
        status = await asyncio.wait_for(self.process.wait(), 10)
        self.counting.cancel()
        self.admin.close()
        return status


@contextlib.asynccontextmanager
async def crowd(port, count, how):
    """Runs `count` clients of crowd.py; `how` is their behaviour."""
    processes = [
        await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "tests" / "crowd.py"),
            str(port),
            str(min(CLIENTS_PER_PROCESS, count - offset)),
            how,
            stdout=asyncio.subprocess.PIPE,
        )
        for offset in range(0, count, CLIENTS_PER_PROCESS)
    ]
    try:
        for process in processes:
            assert await asyncio.wait_for(process.stdout.readline(), TIMEOUT_SECONDS) == b"connecting\n"
        yield
    finally:
        for process in processes:
            process.kill()
            await process.wait()


async def fill_and_hand_over(folder, limit, rlimit, how):
    """Fills a process with a crowd, then checks its admin port, discovery, a hot restart and recovery.

    `limit`: the configured sockets; `rlimit`: of descriptors, None to keep it. Returns the highest numbers of
    descriptors that the two processes held."""
    discovery, clients, up = FakeDiscovery(), bound_socket(), asyncio.Queue()
    discovery_server = await asyncio.start_server(discovery.on_connection, "127.0.0.1")

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
        "discovery": format_address(discovery_server.sockets[0]),
        "settings": raw_settings(**rules),
        "known": {"generation": 41, "reset": True, "instances": discovery.entries[:1]},
    }
    allowed = min(limit, rlimit or limit)
    first, second = (Process(folder / f"{name}.json", raw) for name in ("first", "second"))
    started = []
    try:
        started.append(await first.start(rlimit))
        await first.answers("/_ready", 200)
        async with crowd(clients.getsockname()[1], allowed + 100, how):
            filled = allowed - min(limits.RESERVED_DESCRIPTORS, 3 * allowed // 8) - 2
            await until(lambda: first.max_held >= filled, "a process that is full up to its reserve")
            attempts = discovery.attempts
            await until(lambda: discovery.attempts >= attempts + 3, "connections to discovery while full")
            for _ in range(3):
                assert (await first.ask("/_ready"))[0] == 200
            discovery.up = True
            await until(lambda: discovery.watches, "a watch while it is full")
            await first.answers("/_vars", "members=3")
            started.append(await second.start(rlimit))
            await second.answers("/_ready", 200)
            await first.answers("/_ready", 503)  # the second process listens now
            assert await first.end(signal.SIGTERM) == 0
            await second.answers("/_vars", "members=3")
            assert (await second.ask("/_ready"))[0] == 200
        # The ended crowd frees its descriptors step by step; until then a client may be told to retry.
        for number in range(60):
            client = Peer(*await asyncio.open_connection(*clients.getsockname()))
            client.say(f"OPEN {number + 1:016x} 7f3a9c21e0b4d655 c=chat,t=acme,d=2000")
            if (answer := await client.line()) == "UP 1":
                break
            await asyncio.sleep(0.05)
        assert answer == "UP 1"
        for one in started:
            log_text = one.path.with_suffix(".log").read_text()
            assert "event=fault" not in log_text and "Too many open files" not in log_text
        return first.max_held, second.max_held
    finally:
        for one in started:
            await one.end()
        for sock in (clients, discovery_server, server):
            sock.close()


@pytest.mark.parametrize(
    "cases",
    [
        [("silent", 64, None), ("slow", 64, None), ("again", 64, None)],
        [("again", 20000, 64), ("slow", 256, None), ("silent", 1024, None)],
    ],
)
def test_crowd_that_exhausts_descriptors_leaves_the_control_reserve_usable(tmp_path, capsys, cases):
    async def all_of_them():  # concurrently, since they mostly wait
        folders = [tmp_path / str(number) for number in range(len(cases))]
        for folder in folders:
            folder.mkdir()
        return await asyncio.gather(
            *[
                fill_and_hand_over(folder, limit, rlimit, how)
                for folder, (how, limit, rlimit) in zip(folders, cases)
            ]
        )

    held_by_case = asyncio.run(asyncio.wait_for(close_peers_after(all_of_them()), 120))
    with capsys.disabled():
        for (how, limit, rlimit), most in zip(cases, held_by_case):
            print(
                f"\n{how} crowd, limit {limit}, rlimit {rlimit}: at most {most[0]} and {most[1]} descriptors"
            )
    for (_, limit, rlimit), most in zip(cases, held_by_case):
        assert max(most) <= min(limit, rlimit or limit)


def test_clients_and_probes_never_use_the_control_half_of_the_reserve():
    for limit in (64, 256, 1024):
        node_limits = limits.Limits(limit)
        control = node_limits.reserve // 2
        node_limits.descriptors = limit - control - 1
        assert not node_limits.reserve_reached(2) and not node_limits.lacks(1) and node_limits.lacks(2)
        node_limits.descriptors += 1
        assert node_limits.reserve_reached(2) and node_limits.lacks(1) and not node_limits.exhausted()
        while node_limits.may_probe():
            node_limits.probes_in_flight += 1
        # All fit at once: probes, admin connections, two watches and a list fetch, three of a hand-off.
        assert node_limits.probes_in_flight >= 2 and node_limits.max_admin_connections >= 4
        assert node_limits.probes_in_flight + node_limits.max_admin_connections + 3 + 3 <= control


@async_test
async def test_client_waits_in_the_listen_queue_until_a_descriptor_is_free():
    async with World(sockets=900) as world:
        node_limits, before = world.node.limits, world.node.limits.descriptors
        node_limits.descriptors = node_limits.limit - node_limits.reserve // 2  # as if held by others
        client = await world.call()
        await world.until(lambda: not world.node.listeners.listener.reading)
        assert not world.node.clients and not world.node.counters["crowded"]
        node_limits.descriptors = before
        _, server, _ = await world.leg()
        server.say("UP 1")
        assert await client.line() == "UP 1"


@async_test
async def test_accept_failing_with_emfile_pauses_the_listener_only_briefly(monkeypatch):
    async with World() as world:
        failed, take = [], listeners.Listener.accept_one

        def fails(self):
            if len(failed) < 3:
                failed.append(OSError(errno.EMFILE, "no"))
                raise failed[-1]
            take(self)

        monkeypatch.setattr(listeners.Listener, "accept_one", fails)
        await world.establish()
        assert len(failed) == 3
