"""A request that comes again under its id does not run again, at either process of an upgrade."""

import asyncio
import json

import pytest
from helpers import Peer, World, async_test, raw_settings
from hypothesis import given, settings
from hypothesis import strategies as st
from test_handover import folder, reserved_address  # noqa: F401 (a fixture)
from test_net import begin_run

from bellrack.net import lines, recent_ids, shared_state
from bellrack.net.clients import ClientConnection
from bellrack.net.recent_ids import RecentIds

REPEATED = 0xABCDEF
REPEATED_HASH = lines.id_hash(f"{REPEATED:016x}")


async def ask(process):
    """Send the repeated request to this process, whichever process accepts clients now."""
    listener = await process.loop.create_server(lambda: ClientConnection(process), "127.0.0.1")
    client = Peer(*await asyncio.open_connection(*listener.sockets[0].getsockname()))
    listener.close()
    client.say(f"OPEN {REPEATED:016x} 7f3a9c21e0b4d655 c=chat,t=acme,d=20000")
    return client


@async_test
async def test_id_of_a_client_that_left_is_refused_after_very_many_others():
    """The last 1,024 ids were remembered, so after as many others a request ran a second time."""
    async with World(servers=1) as world:
        await begin_run(world)
        client, server = await world.establish(number=REPEATED)
        client.end("fin")
        server.end("fin")
        await world.until(lambda: not world.node.clients)
        for number in range(20_000):
            id_hash = lines.id_hash(f"other-{number}")
            world.node.limits.recent_ids.add(id_hash, world.node.request_ids.now())
        again = await world.call(number=REPEATED)
        assert await again.line() == "SYNTAX" and world.arrived.empty()


@pytest.mark.parametrize("guard_us, seconds", [(2e6, 300.0), (400e6, 401.5)])
@async_test
async def test_id_is_remembered_for_the_longest_wait_and_retry_delay(guard_us, seconds):
    """How long an id has to be known is a question of time, from the end of its request on."""
    rows = [raw_settings()["trafficTypes"][0] | {"guardTimeUs": guard_us}]
    async with World(servers=1, trafficTypes=rows) as world:
        ids = world.node.limits.recent_ids
        await world.until(lambda: ids.retention == seconds)


@pytest.mark.parametrize("leaves", [True, False])
@pytest.mark.parametrize("first", [0, 1])
@async_test
async def test_id_that_came_to_one_process_is_refused_at_the_other(folder, first, leaves):  # noqa: F811
    """An id ran twice when it came again at the other process: ids went over with the snapshot alone."""
    async with World(servers=1, control=True, listen=reserved_address()) as world, world.beside() as second:
        await world.until(lambda: world.node.hot_restart.has_successor)
        processes = [world.node, second]
        client = await ask(processes[first])
        _, server, _ = await world.leg()
        if leaves:
            client.end("rst")
            await server.line()
        again = await ask(processes[1 - first])
        assert await again.line() == "SYNTAX" and world.arrived.empty()


@async_test
async def test_sibling_is_told_of_an_id_before_the_request_is_sent(folder, monkeypatch):  # noqa: F811
    """A process that hangs or ends after the send must have told the other before."""
    async with World(servers=1, control=True, listen=reserved_address()) as world, world.beside() as second:
        await world.until(lambda: world.node.hot_restart.has_successor)
        order, connect, publish = [], second.connect, second.hot_restart.publish

        def note(what, function, *args, **words):
            order.append(what)
            function(*args, **words)

        monkeypatch.setattr(second, "connect", lambda *args: note("connect", connect, *args))
        monkeypatch.setattr(
            second.hot_restart, "publish", lambda **words: note([*words][0], publish, **words)
        )
        await ask(second)
        await world.leg()
        assert [what for what in order if what in ("ids", "connect")] == ["ids", "connect"]


@pytest.mark.parametrize("theirs_first", [True, False])
@async_test
async def test_request_that_comes_to_both_processes_at_once_runs_at_the_first_of_them(theirs_first):
    """Each learns of the other's request while its own waits for a connection to a server."""
    async with World(servers=1) as world:
        await begin_run(world)
        node = world.node
        taken, connect = asyncio.Event(), node.connect
        held = []

        def hold(leg, deadline):
            held.append((leg, deadline))
            taken.set()

        node.connect = hold
        client = await ask(node)
        await taken.wait()
        at = node.request_ids.now() + (-60.0 if theirs_first else 60.0)
        node.queue(node.hot_restart.on_message, {"ids": [[f"{REPEATED_HASH:016x}", at]]}, first=True)
        await world.until(lambda: node.limits.recent_ids.knows(REPEATED_HASH, node.request_ids.now()))
        connect(*held[0])
        if theirs_first:
            assert await client.line() == "SYNTAX" and world.arrived.empty()
        else:
            assert (await world.leg())[2].startswith(f"OPEN {REPEATED:016x}")


@async_test
async def test_ids_go_over_to_a_successor_and_to_the_one_after_it(folder):  # noqa: F811
    """Ended ids, open ones, and those that a predecessor had told."""
    async with World(servers=1, control=True, listen=reserved_address()) as world:
        ended, open_ = lines.id_hash("ended"), lines.id_hash("0000000000000001")
        world.node.limits.recent_ids.add(ended, world.node.request_ids.now())
        await world.establish(number=1)
        for _ in range(2):
            state = json.loads(json.dumps(world.node.hot_restart.snapshot()))
            successor, serving = await world.start(control="127.0.0.1:0", listen=reserved_address())
            shared_state.adopt(successor, state)
            now = successor.request_ids.now()
            assert successor.limits.recent_ids.knows(ended, now)
            assert successor.limits.recent_ids.knows(open_, now)
            successor.finished.set()
            await serving


@async_test
async def test_ids_of_an_older_release_are_adopted(folder):  # noqa: F811
    """An older release sends the ids as they are."""
    async with World(servers=1, control=True, listen=reserved_address()) as world:
        state = json.loads(json.dumps(world.node.hot_restart.snapshot()))
        del state["recent_ids"]
        shared_state.adopt(world.node, state | {"seen": ["0000000000000007"]})
        again = await world.call(number=7)
        assert await again.line() == "SYNTAX" and world.arrived.empty()


IDS = st.integers(0, 12).map(lambda number: lines.id_hash(str(number)))
STEPS = st.lists(
    st.tuples(st.sampled_from(["add", "sweep", "merge", "wait"]), IDS, st.floats(0.0, 200.0)), max_size=40
)


@settings(deadline=None)
@given(STEPS, st.floats(0.0, 200_000.0))
def test_recent_ids_are_known_for_their_time_and_forgotten_after_it(steps, now):
    """Any order of ids, waits, sweeps and merges, also where the times of the records start anew."""
    ids, added = RecentIds(), {}
    for step, id_hash, seconds in steps:
        if step == "wait":
            now += seconds
        elif step == "add":
            ids.add(id_hash, now)
            added[id_hash] = now
        elif step == "sweep":
            for _ in range(recent_ids.BUCKETS // recent_ids.BUCKETS_PER_SWEEP):
                ids.sweep(now)
        else:
            other = RecentIds()
            other.merge_message(json.loads(json.dumps(ids.to_message())), now)
            ids = other
        for known, since in added.items():
            if now - since <= recent_ids.MIN_RETENTION_SECONDS:
                assert ids.knows(known, now)
            elif now - since > recent_ids.MIN_RETENTION_SECONDS + 3:
                assert not ids.knows(known, now)
    for _ in range(recent_ids.BUCKETS // recent_ids.BUCKETS_PER_SWEEP):
        ids.sweep(now + 2 * recent_ids.MIN_RETENTION_SECONDS)
    assert not any(ids.buckets)


def test_recent_ids_take_a_bounded_number_of_bytes():
    """Beyond the bound the oldest is forgotten first, and that is counted."""
    ids = RecentIds()
    same_bucket = [number << 8 for number in range(recent_ids.RECORDS_PER_BUCKET + 5)]
    for id_hash in same_bucket:
        ids.add(id_hash, 1.0)
    assert sum(map(len, ids.buckets)) == recent_ids.RECORDS_PER_BUCKET * recent_ids.RECORD_BYTES
    assert [ids.knows(id_hash, 1.0) for id_hash in same_bucket] == [False] * 5 + [True] * (
        recent_ids.RECORDS_PER_BUCKET
    )
    assert ids.dropped_early == 5


@pytest.mark.parametrize("message", [["AA=="], ["AAA="] * recent_ids.BUCKETS, [1] * recent_ids.BUCKETS])
def test_malformed_ids_of_a_predecessor_are_refused(message):
    """Another release may send them in another form."""
    with pytest.raises((ValueError, TypeError)):
        RecentIds().merge_message(message, 1.0)


@pytest.mark.parametrize("end", ["fin", "rst"])
@async_test
async def test_request_that_waits_for_a_cold_server_is_not_sent_once_its_client_has_closed(end):
    """An attempt that begins over 0.1 s after its client has closed is a lost request."""
    async with World(servers=1) as world:
        watch, _ = await world.discovery_request()
        started = world.entry(0, world.entries[0]["hostPort"], started=1000 * world.node.clock())
        news = json.dumps({"generation": 50, "reset": True, "instances": [started]}).encode() + b"\n"
        watch.writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n" % len(news))
        watch.writer.write(news + b"\r\n")
        await world.until(lambda: world.node.server_list.version == 50)
        clients = [await world.call("c=chat,t=acme,d=20000") for _ in range(40)]
        await world.until(lambda: len(world.node.balancer.queued) > 10)
        sent = world.node.counters["upstream_requests"]
        for client in clients:
            client.writer.write(b"x" * 96_000)
            client.end(end)
        await world.until(lambda: not world.node.clients)
        assert world.node.counters["upstream_requests"] == sent and not any(
            not call.done for call in world.node.balancer.queued
        )
