"""Who starts is ready in time, and never without a list that may be used. Real processes; the clock of 200 is
played."""

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
from helpers import Peer, World, configured, played, raw_settings

from bellrack import __main__ as program
from bellrack.lab import starts
from bellrack.net import discovery, lines, node
from bellrack.net.config import parse_config, read_config, reread
from bellrack.net.node import Node
from bellrack.net.readiness import Readiness
from bellrack.settings import SettingsError

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
SERVER = {"instanceId": "s-0", "hostPort": "127.0.0.1:1", "zone": "a", "lifecycle": "in_service"}
GIVEN = {"generation": 41, "reset": True, "instances": [SERVER]}
DRAINING = GIVEN | {"instances": [SERVER | {"lifecycle": "terminating"}]}
EMPTY = GIVEN | {"instances": []}
SPOILT = GIVEN | {"instances": [SERVER | {"hostPort": "nowhere"}]}
NO_LIST = [None, EMPTY, DRAINING, SPOILT]


def chunk(told):
    text = json.dumps(told).encode() + b"\n"
    return b"%x\r\n%b\r\n" % (len(text), text)


# The judgement, and 200 at once in played time.


@pytest.mark.parametrize("at_once", [True, False])
@pytest.mark.parametrize("failed", [True, False])
def test_without_a_list_no_time_and_no_failure_makes_one_ready(at_once, failed):
    start = Readiness(100.0, 2.0, at_once)
    start.on_known(False)
    if failed:
        start.on_list_failure()
    start.on_list(named=False)  # nothing new, where nothing is known
    for now in (100.0, 102.0, 110.0, 1e9):
        assert not start.may_open(now) and not start.has_usable_list(now)
    assert start.next_check() is None
    start.on_list()
    assert start.may_open(100.0) and start.has_usable_list(100.0)


@pytest.mark.parametrize("at_once", [True, False])
def test_what_was_known_is_used_once_the_newer_list_fails_or_is_late(at_once):
    late, failed = (Readiness(100.0, 2.0, at_once) for _ in range(2))
    for start in (late, failed):
        start.on_known(True)
        assert start.may_open(100.0) is at_once and not start.has_usable_list(101.99)
    failed.on_list_failure()
    assert failed.may_open(100.0) and failed.has_usable_list(100.0)
    assert late.next_check() == 102.0 and late.may_open(102.0) and late.has_usable_list(102.0)


class Slow:
    """A discovery that answers ten calls a second in turn, and whose callers wait for as long."""

    def __init__(self):
        self.free = 0.0

    def answer(self, now):
        self.free = max(self.free, now) + 0.1
        return self.free


def play(count, known, at_once, service, seed=5):
    """When each of them, all started within three seconds, is ready by its own judgement; and who had a list
    from the service by when."""
    rng, order, events = random.Random(seed), itertools.count(), []
    slow, ready, told = Slow(), {}, {}

    def at(when, *what):
        heapq.heappush(events, (when, next(order), what))

    for number in range(count):
        at(3 * rng.random(), "start", number)
    starts = {}
    while events and events[0][0] <= 10.0:
        now, _, (what, number) = heapq.heappop(events)
        if what == "start":
            starts[number] = Readiness(now, 2.0, at_once)
            starts[number].on_known(known)
            if when := starts[number].next_check():
                at(when, "look", number)
            if service != "silent":
                at(slow.answer(now) if service == "slow" else now + 0.01, service, number)
        elif what == "slow":
            told[number] = now
            starts[number].on_list()
        elif what == "refusing":
            starts[number].on_list_failure()
        if number not in ready and starts[number].may_open(now):
            ready[number] = now
    return ready, told


@pytest.mark.parametrize("service", ["refusing", "silent", "slow"])
@pytest.mark.parametrize("at_once", [True, False])
def test_nine_of_ten_of_200_are_ready_in_time_with_a_list_known(service, at_once):
    ready, _ = play(200, True, at_once, service)
    assert sum(when <= 6.0 for when in ready.values()) == 200


@pytest.mark.parametrize("service", ["refusing", "silent", "slow"])
@pytest.mark.parametrize("at_once", [True, False])
def test_of_200_that_know_none_those_are_ready_that_were_told_one(service, at_once):
    # Ten lists a second are a hundred in ten seconds: the other hundred have nothing to serve by.
    ready, told = play(200, False, at_once, service)
    assert ready == told and (90 <= len(ready) <= 100 if service == "slow" else not ready)


# One process: what it does with each list it may know and each way of discovery.


@contextlib.asynccontextmanager
async def starting(patience, **changes):
    """A process at its start, with the questions it asks discovery."""
    asked = asyncio.Queue()
    listener = await asyncio.start_server(lambda *both: asked.put_nowait(Peer(*both)), "127.0.0.1")
    place = "{}:{}".format(*listener.sockets[0].getsockname())
    mode = changes.pop("discovery", "ask")
    raw = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "control": "127.0.0.1:0",
        "discovery": place,
        "settings": raw_settings(discovery=mode),
    } | changes
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(node, "KNOWN_LIST_WAIT", patience)
        patch.setattr("bellrack.discovery_retry.FIRST_DELAY_SECONDS", 0.02)
        patch.delenv("TMPDIR", raising=False)
        world = World()
        world.node = Node(parse_config(raw), asyncio.get_running_loop())
        world.questions = asked
        world.serving = asyncio.create_task(world.node.serve())
        await world.until(lambda: world.node.listeners.admin)
        try:
            yield world
        finally:
            world.node.finished.set()
            world.node.queue(world.node.begin_shutdown)
            await asyncio.wait_for(world.serving, 5)
            listener.close()


async def may_be_ready(world):
    """What it says of itself: at the clients' door, and to operators."""
    status, _ = await world.ask("/_ready")
    if world.node.listeners.listener is None:
        assert status == 503
        return False
    front = Peer(*await asyncio.open_connection(*world.node.listeners.socket.getsockname()))
    front.say("PING")
    assert await front.line() == "PONG"
    front.end("fin")
    return status == 200


async def answered(world, how):
    """The next question is answered so."""
    peer, _ = await world.question()
    if how == "503":
        peer.writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
    elif how == "reset":
        peer.end("rst")
    elif how == "half":
        peer.writer.write(HEAD + chunk(GIVEN)[:-30])
    elif how == "nothing new":
        peer.writer.write(HEAD + b"1\r\n\n\r\n")
    elif how == "list":
        peer.writer.write(HEAD + chunk(GIVEN | {"generation": 50}))
    return peer


@pytest.mark.parametrize("mode", ["ask", "push"])
@pytest.mark.parametrize("how", ["503", "reset", "silent", "half", "nothing new"])
@pytest.mark.parametrize("known", NO_LIST)
@played
async def test_without_a_list_it_is_not_ready_until_one_comes(known, how, mode):
    async with starting(0.02, discovery=mode, known=known) as world:
        watch = await answered(world, how)
        if how in ("503", "reset"):
            await world.until(lambda: world.node.counters["list_failures"])
        elif how == "nothing new":
            await world.until(lambda: world.node.discovery.current.received_line)
        if how == "nothing new" and known is DRAINING:
            await world.until(lambda: world.node.listeners.listener)
            assert await may_be_ready(world)  # it is the list: discovery has said so
            return
        begun = world.node.clock()
        await world.until(lambda: world.node.clock() > begun + 0.05)  # its patience is over
        assert not await may_be_ready(world)
        if how in ("503", "reset"):
            watch = await answered(world, "list")
        elif how == "half":
            watch.writer.write(chunk(GIVEN)[-30:])
        else:
            watch.writer.write(HEAD * (how == "silent") + chunk(GIVEN | {"generation": 50}))
        await world.until(lambda: world.node.listeners.listener)
        assert await may_be_ready(world)


@pytest.mark.parametrize("mode", ["ask", "push"])
@pytest.mark.parametrize("how", ["503", "reset", "silent", "half"])
@played
async def test_with_a_list_known_nothing_of_the_list_service_holds_it_back(how, mode):
    patience = 60.0 if how in ("503", "reset") else 0.05  # a failure ends the wait
    async with starting(patience, discovery=mode, known=GIVEN) as world:
        await answered(world, how)
        await world.until(lambda: world.node.can_serve())
        assert await may_be_ready(world)


@played
async def test_where_lists_are_pushed_the_list_of_now_is_waited_for():
    async with starting(60.0, discovery="push", known=GIVEN) as world:
        watch = await answered(world, "half")
        assert not await may_be_ready(world)
        watch.writer.write(chunk(GIVEN)[-30:])
        await world.until(lambda: world.node.listeners.listener)
        assert await may_be_ready(world)


@pytest.mark.parametrize("known, after", [(None, 0), (EMPTY, 0), (SPOILT, 0), (DRAINING, 41), (GIVEN, 41)])
@played
async def test_who_knows_no_server_asks_for_the_whole_list(known, after):
    async with starting(60.0, known=known) as world:
        assert (await world.question())[1] == f"/v1/endpoints?watch=1&after={after}"


@played
async def test_asked_to_end_without_a_list_it_ends_in_order(monkeypatch):
    monkeypatch.setattr(discovery, "SILENCE_SECONDS", 60.0)  # nothing else ends its wait
    async with starting(0.02, known=EMPTY) as world:
        world.node.queue(world.node.begin_shutdown)
        await asyncio.wait_for(world.serving, 10)
        assert world.node.listeners.socket is None and not world.node.counters["list_failures"]


def test_a_spoilt_list_is_none_at_a_start_and_no_configuration_later(tmp_path, capsys, monkeypatch):
    raw = json.loads(configured())
    good = parse_config(raw | {"known": GIVEN})
    good.path = str(tmp_path / "config.json")
    assert not good.known_error and len(good.known.entries) == 1
    for spoilt in (SPOILT, {"generation": 4}, "x", [1], {"generation": 4, "reset": True, "instances": [5]}):
        (tmp_path / "config.json").write_text(json.dumps(raw | {"known": spoilt}))
        config = read_config(good.path)
        assert config.known is None and "bad-list" in config.known_error
        with pytest.raises(SettingsError, match="bad-list"):
            reread(good)
        monkeypatch.setattr("sys.argv", ["bellrack", "check", good.path])
        assert program.main() == 0
        assert "usable; 0 servers known; the list there is left" in capsys.readouterr().out


# Twenty processes at once.


class Lists:
    """List services of one machine, an address for each caller; of all that are asked, one call is served at
    a time, and none before `open`."""

    def __init__(self):
        self.open, self.turn = asyncio.Event(), asyncio.Lock()
        self.asked, self.told, self.held = set(), set(), []
        self.listeners = []

    async def place(self, number, how):
        listener = await asyncio.start_server(
            lambda *both: self.called(number, how, *both), "127.0.0.1", start_serving=how != "refuses"
        )  # bound all the same
        self.listeners.append(listener)
        return "{}:{}".format(*listener.sockets[0].getsockname())

    async def called(self, number, how, reader, writer):
        self.held.append(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            self.asked.add(number)
            if how == "refuses with 503" and not self.open.is_set():
                writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
                writer.close()
            elif how != "says nothing":
                await self.open.wait()
                async with self.turn:
                    self.told.add(number)
                    writer.write(HEAD + chunk(GIVEN | {"generation": 50}))
                    await writer.drain()


async def first_word(process):
    """Where it serves, by its log, or None if it ended."""
    async for line in process.stderr:
        if b"event=serving" in line:
            return lines.parse_address(line.split(b"listen=")[1].split()[0].decode())
    return None


WAYS = [
    ("refuses", "push", GIVEN),
    ("says nothing", "push", GIVEN),
    ("by turn", "push", GIVEN),
    ("refuses", "ask", GIVEN),
    ("says nothing", "ask", GIVEN),
    ("by turn", "ask", EMPTY),
    ("by turn", "push", None),
    ("refuses with 503", "push", EMPTY),
    ("refuses with 503", "push", SPOILT),
    ("by turn", "push", DRAINING),
]


def test_of_twenty_processes_none_says_pong_without_a_list_and_none_is_held_back(tmp_path):
    async def twenty():
        lists, processes, words = Lists(), [], {}
        try:
            for number, (how, mode, known) in enumerate(WAYS * 2):
                raw = {
                    "name": f"n{number}",
                    "listen": "127.0.0.1:0",
                    "known": known,
                    "discovery": await lists.place(number, how),
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
                words[number] = asyncio.create_task(first_word(processes[-1]))
            usable = {number for number, (_, _, known) in enumerate(WAYS * 2) if known is GIVEN}
            without = set(words) - usable
            # All with a list open, though nobody is told one; of the others all have asked, and none opens.
            await asyncio.wait([words[number] for number in usable])
            while not without <= lists.asked:
                await asyncio.sleep(0.01)
            assert not lists.told and not any(words[number].done() for number in without)
            lists.open.set()
            for number, word in words.items():
                address = await word
                assert number in usable or number in lists.told
                front = Peer(*await asyncio.open_connection(*address))
                front.say("PING")
                assert await front.line() == "PONG"
                front.end("fin")
        finally:
            for process in processes:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
            await asyncio.gather(*(process.wait() for process in processes))
            for word in words.values():
                await word
            for writer in lists.held:
                writer.close()
            for listener in lists.listeners:
                listener.close()

    asyncio.run(asyncio.wait_for(twenty(), 60))


# What a start costs.


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
def test_the_daemon_reads_its_arguments_as_its_page_says(given):
    keys = ("version", "check", "FILE", "--config")
    read, page = program.arguments(given), docopt(program.__doc__, given)
    assert [read[key] or None for key in keys] == [page[key] or None for key in keys]


@pytest.mark.parametrize(
    "way, known, lists, ready",
    [("answers", False, "ask", 2), ("refuses", True, "push", 2), ("says-nothing", False, "push", 0)],
)
def test_a_measurement_of_starts_counts_those_that_are_ready_and_leaves_none(
    monkeypatch, way, known, lists, ready
):
    made, make = [], asyncio.create_subprocess_exec

    async def kept(*words, **how):
        made.append(await make(*words, **how))
        return made[-1]

    monkeypatch.setattr(asyncio, "create_subprocess_exec", kept)
    begun = asyncio.run(starts.measure(2, way, known, lists, 10.0, 2.0 if not ready else 30.0))
    assert begun[1] == (2 if way == "answers" else 0)
    assert [one.ready is not None for one in begun[0]] == [ready > 0] * 2
    assert f"started 2, ready {ready}, lists told" in starts.told(*begun, "1")
    assert len(made) == 2 and all(process.returncode is not None for process in made)


def test_a_start_loads_nothing_that_it_does_not_serve_by():
    code = (
        "import sys; sys.argv = ['bellrack', 'serve']\n"
        "from bellrack import __main__ as program\nfrom bellrack.net import node\n"
        "node.run = lambda config: print(*sys.modules)\nassert program.main() == 0"
    )
    env = os.environ | {"BALANCER_CONFIG": os.path.join(ROOT, "examples", "config.json")}
    said = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, env=env, capture_output=True, text=True, check=True
    )
    loaded = set(said.stdout.split())
    assert "bellrack.net.node" in loaded and not loaded & {
        "docopt",
        "bellrack.lab",
        "bellrack.simulator",
        "bellrack.peers.membership",
        "bellrack.peers.wire",
    }
