"""A starting process becomes ready in time, and never without a usable server list.

Uses the readiness rule alone on a simulated clock, single processes, and twenty real processes at once."""

import asyncio
import contextlib
import heapq
import itertools
import json
import os
import random
import subprocess
import sys

import pytest
from docopt import docopt
from helpers import Peer, World, async_test, close_peers_after, configured, raw_settings

from bellrack import __main__ as program
from bellrack.lab import starts
from bellrack.net import discovery_request, lines, node
from bellrack.net.config import parse_config, read_config, reread
from bellrack.net.node import Node
from bellrack.net.readiness import Readiness
from bellrack.settings import SettingsError

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
SERVER = {"instanceId": "s-0", "hostPort": "127.0.0.1:1", "zone": "a", "lifecycle": "in_service"}
KNOWN = {"generation": 41, "reset": True, "instances": [SERVER]}
DRAINING = KNOWN | {"instances": [SERVER | {"lifecycle": "terminating"}]}
EMPTY = KNOWN | {"instances": []}
INVALID = KNOWN | {"instances": [SERVER | {"hostPort": "nowhere"}]}
NO_LIST = [None, EMPTY, DRAINING, INVALID]


def chunk(message):
    text = json.dumps(message).encode() + b"\n"
    return b"%x\r\n%b\r\n" % (len(text), text)


# The readiness rule, and 200 processes at once in simulated time.


@pytest.mark.parametrize("serve_known_list", [True, False])
@pytest.mark.parametrize("failed", [True, False])
def test_process_without_a_list_never_becomes_ready_by_time_or_failure(serve_known_list, failed):
    start = Readiness(100.0, 2.0, serve_known_list)
    start.on_known(False)
    if failed:
        start.on_list_failure()
    start.on_list(has_list=False)  # no changes reported while no list is known
    for now in (100.0, 102.0, 110.0, 1e9):
        assert not start.may_open(now) and not start.has_usable_list(now)
    assert start.next_check() is None
    start.on_list()
    assert start.may_open(100.0) and start.has_usable_list(100.0)


@pytest.mark.parametrize("serve_known_list", [True, False])
def test_known_list_is_used_once_discovery_fails_or_is_late(serve_known_list):
    late, failed = (Readiness(100.0, 2.0, serve_known_list) for _ in range(2))
    for start in (late, failed):
        start.on_known(True)
        assert start.may_open(100.0) is serve_known_list and not start.has_usable_list(101.99)
    failed.on_list_failure()
    assert failed.may_open(100.0) and failed.has_usable_list(100.0)
    assert late.next_check() == 102.0 and late.may_open(102.0) and late.has_usable_list(102.0)


class SlowDiscovery:
    """A discovery service that answers ten requests a second, one after the other."""

    def __init__(self):
        self.free_at = 0.0

    def answer(self, now):
        self.free_at = max(self.free_at, now) + 0.1
        return self.free_at


def simulate(count, known, serve_known_list, service, seed=5):
    """Simulate `count` processes that start within three seconds.

    Returns two dicts of times by process: when each was ready, and when each received a list."""
    rng, order, events = random.Random(seed), itertools.count(), []
    slow, ready, received = SlowDiscovery(), {}, {}

    def at(when, *what):
        heapq.heappush(events, (when, next(order), what))

    for number in range(count):
        at(3 * rng.random(), "start", number)
    starts = {}
    while events and events[0][0] <= 10.0:
        now, _, (what, number) = heapq.heappop(events)
        if what == "start":
            starts[number] = Readiness(now, 2.0, serve_known_list)
            starts[number].on_known(known)
            if when := starts[number].next_check():
                at(when, "look", number)
            if service != "silent":
                at(slow.answer(now) if service == "slow" else now + 0.01, service, number)
        elif what == "slow":
            received[number] = now
            starts[number].on_list()
        elif what == "refusing":
            starts[number].on_list_failure()
        if number not in ready and starts[number].may_open(now):
            ready[number] = now
    return ready, received


@pytest.mark.parametrize("service", ["refusing", "silent", "slow"])
@pytest.mark.parametrize("serve_known_list", [True, False])
def test_200_processes_with_a_known_list_are_ready_in_time(service, serve_known_list):
    ready, _ = simulate(200, True, serve_known_list, service)
    assert sum(when <= 6.0 for when in ready.values()) == 200


@pytest.mark.parametrize("service", ["refusing", "silent", "slow"])
@pytest.mark.parametrize("serve_known_list", [True, False])
def test_of_200_processes_without_a_list_only_those_that_receive_one_are_ready(service, serve_known_list):
    # Ten lists a second are a hundred in ten seconds: the other hundred processes have no list.
    ready, received = simulate(200, False, serve_known_list, service)
    assert ready == received and (90 <= len(ready) <= 100 if service == "slow" else not ready)


# One process, with each kind of known list and each behaviour of discovery.


@contextlib.asynccontextmanager
async def starting(list_wait, **changes):
    """Yield a world with a starting process; `world.discovery_requests` gets its requests to discovery."""
    requests = asyncio.Queue()
    listener = await asyncio.start_server(lambda *both: requests.put_nowait(Peer(*both)), "127.0.0.1")
    address = "{}:{}".format(*listener.sockets[0].getsockname())
    mode = changes.pop("discovery", "ask")
    raw = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "control": "127.0.0.1:0",
        "discovery": address,
        "settings": raw_settings(discovery=mode),
    } | changes
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(node, "KNOWN_LIST_WAIT", list_wait)
        patch.setattr("bellrack.discovery_retry.FIRST_DELAY_SECONDS", 0.02)
        patch.delenv("TMPDIR", raising=False)
        world = World()
        world.node = Node(parse_config(raw), asyncio.get_running_loop())
        world.discovery_requests = requests
        world.serving = asyncio.create_task(world.node.serve())
        await world.until(lambda: world.node.listeners.admin)
        try:
            yield world
        finally:
            world.node.finished.set()
            world.node.queue(world.node.begin_shutdown)
            await asyncio.wait_for(world.serving, 5)
            listener.close()


async def reports_ready(world):
    """Return whether the process reports ready to operators; check that it answers clients accordingly."""
    status, _ = await world.ask("/_ready")
    if world.node.listeners.listener is None:
        assert status == 503
        return False
    front = Peer(*await asyncio.open_connection(*world.node.listeners.socket.getsockname()))
    front.say("PING")
    assert await front.line() == "PONG"
    front.end("fin")
    return status == 200


async def answer_request(world, how):
    """Answer the next request to discovery in this way; return the connection."""
    peer, _ = await world.discovery_request()
    if how == "503":
        peer.writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
    elif how == "reset":
        peer.end("rst")
    elif how == "half":
        peer.writer.write(HEAD + chunk(KNOWN)[:-30])
    elif how == "nothing new":
        peer.writer.write(HEAD + b"1\r\n\n\r\n")
    elif how == "list":
        peer.writer.write(HEAD + chunk(KNOWN | {"generation": 50}))
    return peer


@pytest.mark.parametrize("mode", ["ask", "push"])
@pytest.mark.parametrize("how", ["503", "reset", "silent", "half", "nothing new"])
@pytest.mark.parametrize("known", NO_LIST)
@async_test
async def test_process_without_a_list_is_not_ready_until_it_receives_one(known, how, mode):
    async with starting(0.02, discovery=mode, known=known) as world:
        watch = await answer_request(world, how)
        if how in ("503", "reset"):
            await world.until(lambda: world.node.counters["list_failures"])
        elif how == "nothing new":
            await world.until(lambda: world.node.discovery.current.received_line)
        if how == "nothing new" and known is DRAINING:
            await world.until(lambda: world.node.listeners.listener)
            assert await reports_ready(world)  # discovery has confirmed the known list
            return
        started_at = world.node.clock()
        await world.until(lambda: world.node.clock() > started_at + 0.05)  # it no longer waits for discovery
        assert not await reports_ready(world)
        if how in ("503", "reset"):
            watch = await answer_request(world, "list")
        elif how == "half":
            watch.writer.write(chunk(KNOWN)[-30:])
        else:
            watch.writer.write(HEAD * (how == "silent") + chunk(KNOWN | {"generation": 50}))
        await world.until(lambda: world.node.listeners.listener)
        assert await reports_ready(world)


@pytest.mark.parametrize("mode", ["ask", "push"])
@pytest.mark.parametrize("how", ["503", "reset", "silent", "half"])
@async_test
async def test_process_with_a_known_list_becomes_ready_whatever_discovery_does(how, mode):
    list_wait = 60.0 if how in ("503", "reset") else 0.05  # a failure ends the wait
    async with starting(list_wait, discovery=mode, known=KNOWN) as world:
        await answer_request(world, how)
        await world.until(lambda: world.node.can_serve())
        assert await reports_ready(world)


@async_test
async def test_process_waits_for_the_current_list_where_lists_are_pushed():
    async with starting(60.0, discovery="push", known=KNOWN) as world:
        watch = await answer_request(world, "half")
        assert not await reports_ready(world)
        watch.writer.write(chunk(KNOWN)[-30:])
        await world.until(lambda: world.node.listeners.listener)
        assert await reports_ready(world)


@pytest.mark.parametrize("known, after", [(None, 0), (EMPTY, 0), (INVALID, 0), (DRAINING, 41), (KNOWN, 41)])
@async_test
async def test_process_without_a_known_server_asks_for_the_whole_list(known, after):
    async with starting(60.0, known=known) as world:
        assert (await world.discovery_request())[1] == f"/v1/endpoints?watch=1&after={after}"


@async_test
async def test_shutdown_while_waiting_for_a_list(monkeypatch):
    monkeypatch.setattr(discovery_request, "SILENCE_SECONDS", 60.0)  # the watch does not time out
    async with starting(0.02, known=EMPTY) as world:
        world.node.queue(world.node.begin_shutdown)
        await asyncio.wait_for(world.serving, 10)
        assert world.node.listeners.socket is None and not world.node.counters["list_failures"]


def test_invalid_known_list_is_ignored_at_a_start_and_rejected_at_a_reload(tmp_path, capsys, monkeypatch):
    raw = json.loads(configured())
    good = parse_config(raw | {"known": KNOWN})
    good.path = str(tmp_path / "config.json")
    assert not good.known_error and len(good.known.entries) == 1
    for invalid in (INVALID, {"generation": 4}, "x", [1], {"generation": 4, "reset": True, "instances": [5]}):
        (tmp_path / "config.json").write_text(json.dumps(raw | {"known": invalid}))
        config = read_config(good.path)
        assert config.known is None and "bad-list" in config.known_error
        with pytest.raises(SettingsError, match="bad-list"):
            reread(good)
        monkeypatch.setattr("sys.argv", ["bellrack", "check", good.path])
        assert program.main() == 0
        assert "usable; 0 servers known; the list there is left" in capsys.readouterr().out


# Twenty processes at once.


class DiscoveryServices:
    """Discovery services with an address for each process.

    All of them together answer one request at a time, and none before `open` is set."""

    def __init__(self):
        self.open, self.turn = asyncio.Event(), asyncio.Lock()
        self.asked, self.answered, self.writers = set(), set(), []
        self.listeners = []

    async def listen(self, number, how):
        """Open the service of a process; return its address."""
        listener = await asyncio.start_server(
            lambda *both: self.serve(number, how, *both), "127.0.0.1", start_serving=how != "refuses"
        )  # where it refuses connections, the port is bound but not listened on
        self.listeners.append(listener)
        return "{}:{}".format(*listener.sockets[0].getsockname())

    async def serve(self, number, how, reader, writer):
        self.writers.append(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            self.asked.add(number)
            if how == "refuses with 503" and not self.open.is_set():
                writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
                writer.close()
            elif how != "says nothing":
                await self.open.wait()
                async with self.turn:
                    self.answered.add(number)
                    writer.write(HEAD + chunk(KNOWN | {"generation": 50}))
                    await writer.drain()


async def serving_address(process):
    """Return the address on which the process serves, as it logs it; None if it ended."""
    async for line in process.stderr:
        if b"event=serving" in line:
            return lines.parse_address(line.split(b"listen=")[1].split()[0].decode())
    return None


WAYS = [
    ("refuses", "push", KNOWN),
    ("says nothing", "push", KNOWN),
    ("by turn", "push", KNOWN),
    ("refuses", "ask", KNOWN),
    ("says nothing", "ask", KNOWN),
    ("by turn", "ask", EMPTY),
    ("by turn", "push", None),
    ("refuses with 503", "push", EMPTY),
    ("refuses with 503", "push", INVALID),
    ("by turn", "push", DRAINING),
]


def test_of_twenty_processes_exactly_those_with_a_list_serve(tmp_path):
    async def run_twenty():
        services, processes, addresses = DiscoveryServices(), [], {}
        try:
            for number, (how, mode, known) in enumerate(WAYS * 2):
                raw = {
                    "name": f"n{number}",
                    "listen": "127.0.0.1:0",
                    "known": known,
                    "discovery": await services.listen(number, how),
                    "settings": raw_settings(discovery=mode),
                }
                path = tmp_path / f"{number}.json"
                path.write_text(json.dumps(raw))
                processes.append(
                    await asyncio.create_subprocess_exec(
                        sys.executable,
                        "-m",
                        "bellrack",
                        "serve",
                        f"--config={path}",
                        cwd=ROOT,
                        stderr=asyncio.subprocess.PIPE,
                        stdout=asyncio.subprocess.DEVNULL,
                    )
                )
                addresses[number] = asyncio.create_task(serving_address(processes[-1]))
            usable = {number for number, (_, _, known) in enumerate(WAYS * 2) if known is KNOWN}
            without = set(addresses) - usable
            # All processes with a known list serve, though none has received a list. All others have asked
            # for one, and none of them serves.
            await asyncio.wait([addresses[number] for number in usable])
            while not without <= services.asked:
                await asyncio.sleep(0.01)
            assert not services.answered and not any(addresses[number].done() for number in without)
            services.open.set()
            for number, pending in addresses.items():
                address = await pending
                assert number in usable or number in services.answered
                front = Peer(*await asyncio.open_connection(*address))
                front.say("PING")
                assert await front.line() == "PONG"
                front.end("fin")
        finally:
            for process in processes:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
            await asyncio.gather(*(process.wait() for process in processes))
            for pending in addresses.values():
                await pending
            for writer in services.writers:
                writer.close()
            for listener in services.listeners:
                listener.close()

    asyncio.run(asyncio.wait_for(close_peers_after(run_twenty()), 60))


# The cost of a start.


@pytest.mark.parametrize(
    "given",
    [
        ["serve"],
        ["serve", "--config=a.json"],
        ["serve", "--config="],
        ["serve", "--config=a=b"],
        ["serve", "--config", "a.json"],
    ],
)
def test_arguments_of_serve_parse_as_docopt_parses_them(given):
    keys = ("version", "check", "FILE", "--config")
    parsed, expected = program.parse_arguments(given), docopt(program.__doc__, given)
    assert [parsed[key] or None for key in keys] == [expected[key] or None for key in keys]


@pytest.mark.parametrize(
    "way, known, lists, ready",
    [("answers", False, "ask", 2), ("refuses", True, "push", 2), ("says-nothing", False, "push", 0)],
)
def test_measurement_of_starts_counts_ready_processes_and_ends_all(monkeypatch, way, known, lists, ready):
    created, create = [], asyncio.create_subprocess_exec

    async def create_and_record(*words, **options):
        created.append(await create(*words, **options))
        return created[-1]

    monkeypatch.setattr(asyncio, "create_subprocess_exec", create_and_record)
    measured = asyncio.run(starts.measure(2, way, known, lists, 10.0, 2.0 if not ready else 30.0))
    assert measured[1] == (2 if way == "answers" else 0)
    assert [one.ready is not None for one in measured[0]] == [ready > 0] * 2
    assert f"started 2, ready {ready}, lists told" in starts.report_text(*measured, "1")
    assert len(created) == 2 and all(process.returncode is not None for process in created)


def test_serve_does_not_import_modules_that_it_does_not_need():
    code = (
        "import sys; sys.argv = ['bellrack', 'serve']\n"
        "from bellrack import __main__ as program\nfrom bellrack.net import node\n"
        "node.run = lambda config: print(*sys.modules)\nassert program.main() == 0"
    )
    env = os.environ | {"BALANCER_CONFIG": os.path.join(ROOT, "examples", "config.json")}
    completed = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, env=env, capture_output=True, text=True, check=True
    )
    loaded = set(completed.stdout.split())
    assert "bellrack.net.node" in loaded and not loaded & {
        "docopt",
        "bellrack.lab",
        "bellrack.simulator",
        "bellrack.peers.membership",
        "bellrack.peers.wire",
    }
