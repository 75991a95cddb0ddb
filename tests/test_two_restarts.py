"""Hot restarts that overlap with another restart, a kill or a shutdown.

No request and no connection is lost, detached servers stay detached, and a cold server gets no more
connections than one balancer may send."""

import asyncio
import socket

import pytest
from helpers import Peer, World, async_test, raw_settings
from test_handover import folder, reserved_address  # noqa: F401 (a fixture)

from bellrack import choice, model
from bellrack.lab.scenario import max_cold_requests
from bellrack.net import handoff, hot_restart, limits, lines, node, shutdown, sibling
from bellrack.net.config import parse_config
from bellrack.net.fact_versions import EntryVersion

LINE = b"OPEN %016x 7f3a9c21e0b4d655 c=chat,t=acme,d=2000\r\n"


@async_test
async def test_third_process_waits_until_the_first_has_ended(folder):  # noqa: F811
    async with World(servers=2, control=True, listen=reserved_address()) as world:
        first = world.node
        assert (await world.ask("/_servers/detach", "s-1"))[0] == 200
        second, serving_second = await world.start()
        await world.until(lambda: first.hot_restart.has_successor)
        third = node.Node(parse_config(world.raw), first.loop)
        serving = asyncio.create_task(third.serve())
        await world.until(lambda: second.counters["successors_refused"] or hasattr(third, "address"))
        first.begin_shutdown()
        await asyncio.wait_for(world.serving, 5)
        await world.until(lambda: second.hot_restart.has_successor)
        assert third.servers[lines.id_hash("s-1")].cordoned and third.can_serve()
        second.begin_shutdown()
        await asyncio.wait_for(serving_second, 5)
        world.node, world.serving = third, serving


@async_test
async def test_waiting_connection_is_answered_when_both_processes_end(folder, monkeypatch):  # noqa: F811
    monkeypatch.setattr(shutdown, "MIN_SECONDS", 0.2)
    async with World(control=True, listen=reserved_address()) as world:
        first = world.node
        _, server = await world.establish()
        second, serving = await world.start()
        await world.until(lambda: first.hot_restart.has_successor)
        # No connection is handed over.
        first.hot_restart.handoff_sender.send_batch = lambda: handoff.BatchResult.ALL_TRIED
        first.begin_shutdown()
        second.begin_shutdown()
        await asyncio.wait_for(serving, 5)  # the successor has ended, the predecessor has not
        assert not world.serving.done()
        sock = socket.create_connection(second.address)
        sock.sendall(LINE % 77)
        client = Peer(*await asyncio.open_connection(sock=sock))
        assert [await client.line(), await client.line()] == ["BUSY", "fin"]
        client.end("fin")
        server.end("fin")
        await asyncio.wait_for(world.serving, 5)


@async_test
async def test_connection_handed_to_an_ending_process_is_moved(folder, monkeypatch):  # noqa: F811
    async with World(control=True, listen=reserved_address()) as world:
        first, (client, _) = world.node, await world.establish()
        second, serving = await world.start()
        await world.until(lambda: first.hot_restart.has_successor)
        # As if the timer for `move_rest` had fired already.
        monkeypatch.setattr(shutdown.Shutdown, "move_rest", lambda self: None)
        second.begin_shutdown()
        first.begin_shutdown()
        assert await client.line() == "MOVE"
        client.end("fin")
        await world.wait_for_first_node(serving)


@async_test
async def test_waiting_connection_is_served_at_once_when_the_predecessor_is_killed(folder, monkeypatch):  # noqa: F811
    monkeypatch.setattr(node, "KNOWN_LIST_WAIT", 60.0)
    async with World(control=True, listen=reserved_address()) as world:
        first = world.node
        second = node.Node(parse_config(world.raw), first.loop)
        serving = asyncio.create_task(second.serve())
        await world.until(lambda: first.hot_restart.sibling and first.hot_restart.sibling.transport)
        await world.until(lambda: second.hot_restart.sibling and second.hot_restart.sibling.transport)
        address = first.address
        first.listeners.listener.close()
        first.hot_restart.sibling.transport.abort()  # as the kernel does when a process is killed
        sock = socket.create_connection(address)
        sock.sendall(LINE % 77)
        client = Peer(*await asyncio.open_connection(sock=sock))
        _, server, _ = await world.leg()
        server.say("UP 1")
        assert await client.line() == "UP 1"
        first.finished.set()
        await world.wait_for_first_node(serving)
        world.node = second


@pytest.mark.parametrize("sent", [b"", b"OPEN 00000000000000a1 7f3a9c21e0b4d655 c=ch"])
@async_test
async def test_hot_restart_does_not_extend_the_deadline_of_an_incomplete_request(folder, monkeypatch, sent):  # noqa: F811
    """STANDING.md: incomplete requests get an error or a close within 3 s, whichever process answers them."""
    monkeypatch.setattr(limits, "FIRST_LINE_SECONDS", 1.0)
    async with World(control=True, listen=reserved_address()) as world:
        first, _ = world.node, await world.establish()
        client = await world.dial()
        client.writer.write(sent)
        await world.until(lambda: any(one.call is None for one in first.clients))
        started_at = first.loop.time()
        await world.until(lambda: first.loop.time() > started_at + 0.7)
        second, serving = await world.start()
        await world.until(lambda: first.hot_restart.has_successor)
        first.begin_shutdown()
        assert (await client.line()).startswith("BUSY") and first.loop.time() < started_at + 1.4
        assert second.counters["taken_over"]
        await world.wait_for_first_node(serving)
        world.node = second


@async_test
async def test_server_detached_at_a_waiting_process_stays_detached_at_both(folder, monkeypatch):  # noqa: F811
    """A process that waits for its turn accepts operators' orders; they hold at both processes later."""
    turn, await_predecessor = asyncio.Event(), hot_restart.HotRestart.await_predecessor

    async def await_turn(restart, path):
        await turn.wait()
        return await await_predecessor(restart, path)

    async with World(servers=2, control=True, listen=reserved_address()) as world:
        first = world.node
        monkeypatch.setattr(hot_restart.HotRestart, "await_predecessor", await_turn)
        second = node.Node(parse_config(world.raw), first.loop)
        serving = asyncio.create_task(second.serve())
        await world.until(lambda: second.listeners.admin and second.servers)
        assert second.server_list.cordon("s-1", True)
        turn.set()
        await world.until(lambda: first.hot_restart.has_successor)
        try:
            assert second.servers[lines.id_hash("s-1")].cordoned
            assert second.hot_restart.snapshot()["out"] == ["s-1"]  # for a later successor
            await world.until(lambda: first.servers[lines.id_hash("s-1")].cordoned)
        finally:
            second.finished.set()
            await serving


@pytest.mark.parametrize("receiver", [0, 1])
@pytest.mark.parametrize("whole", [False, True])
@async_test
async def test_list_changes_received_by_one_process_hold_at_the_other(folder, receiver, whole):  # noqa: F811
    """The two processes act as one balancer: news that discovery sends to one counts for both."""
    async with World(servers=3, control=True, listen=reserved_address()) as world, world.beside() as second:
        nodes = [world.node, second]
        await world.until(lambda: world.node.hot_restart.has_successor)
        informed, other = nodes[receiver], nodes[1 - receiver]
        drained = world.entries[0] | {"lifecycle": "terminating"}
        gone = {"instanceId": "s-1", "hostPort": "", "lifecycle": "terminated"}
        instances = [drained, world.entries[2]] if whole else [drained, gone]
        news = {"generation": 60, "reset": whole, "instances": instances}
        informed.queue(informed.server_list.on_list, lines.parse_list(news))
        id_hashes = [lines.id_hash(entry["instanceId"]) for entry in world.entries]
        await world.until(lambda: other.servers[id_hashes[0]].state == model.DRAINING)
        assert other.servers[id_hashes[1]].state == model.GONE and other.servers[id_hashes[2]].usable
        assert other.server_list.version == 41  # its own watch will deliver all later versions
        address, read_at = lines.format_address(other.discovery.address), other.clock() - other.anchor
        other.server_list.versions.on_watch(EntryVersion(address, 61, read_at=read_at))
        old = {
            "generation": 60,
            "reset": False,
            "instances": [world.entries[0] | {"lifecycle": "in_service"}],
        }
        other.hot_restart.on_message(
            {"news": old, "discovery": lines.format_address(other.discovery.address)}
        )
        assert other.servers[id_hashes[0]].state == model.DRAINING  # a newer version is known
        elsewhere = old | {"generation": 90}
        other.hot_restart.on_message({"news": elsewhere, "discovery": "127.0.0.1:9"})
        # Versions of different addresses are not comparable.
        assert other.servers[id_hashes[0]].state == model.DRAINING


@pytest.mark.parametrize("answer", [b"{", b'{"busy": tr', b'{"version": 1, "list"'])
@async_test
async def test_incomplete_answer_of_a_predecessor_counts_as_busy(folder, answer):  # noqa: F811
    """The predecessor may end in the middle of its answer: then the successor has to ask again."""
    path = sibling.socket_path("n0", ("127.0.0.1", 1))
    with socket.socket(socket.AF_UNIX) as sock:
        sock.bind(path)
        sock.listen()
        connecting = asyncio.create_task(asyncio.to_thread(sibling.connect_to_predecessor, path))
        other, _ = await asyncio.to_thread(sock.accept)
        other.sendall(answer)
        other.close()
        with pytest.raises(sibling.BusyError):
            await connecting


@async_test
async def test_hot_restart_transfers_3200_servers(folder):  # noqa: F811
    """STANDING.md: at most 3,200 servers."""
    async with World(control=True, listen=reserved_address()) as world:
        first = world.node
        instances = [world.entries[0] | {"instanceId": f"server-{number:08}"} for number in range(3200)]
        first.server_list.on_list(lines.parse_list({"generation": 60, "reset": True, "instances": instances}))
        assert (await world.ask("/_servers/detach", "server-00000007"))[0] == 200
        async with world.beside() as second:
            await world.until(lambda: first.hot_restart.has_successor)
            assert len(second.servers) >= 3200
            assert second.servers[lines.id_hash("server-00000007")].cordoned


RAMP_SECONDS = 60.0
WINDOW_SECONDS = 30.0
OVERLOAD_FACTOR = 0.8
COLD = raw_settings()["obligations"] | {
    "rampTimeUs": RAMP_SECONDS * 1e6,
    "overloadFactor": OVERLOAD_FACTOR,
    "fallUs": WINDOW_SECONDS * 1e6,
}


class CountingServer:
    """Counts the connections that the servers get, and closes each at once."""

    def __init__(self, world):
        self.world, self.count = world, 0
        self.task = asyncio.create_task(self.run())

    async def run(self):
        while True:
            _, server, _ = await self.world.leg()
            self.count += 1
            server.end("fin")

    async def ask(self, calls):
        clients = [await self.world.call("c=chat,t=acme,d=400") for _ in range(calls)]
        for client in clients:
            await client.line()


SERVER_AGE_SECONDS = 20.0


def start_cold(host):
    """The server of this node started SERVER_AGE_SECONDS ago, and the list reported that at once."""
    host.now = host.clock()
    host.server_list.on_list(
        lines.parse_list(
            {
                "generation": 60,
                "reset": False,
                "instances": [
                    {
                        "instanceId": "s-0",
                        "hostPort": lines.format_address(
                            next(iter(host.servers.values())).host_record.address
                        ),
                        "zone": "a",
                        "cell": 0,
                        "machineType": "m",
                        "lifecycle": "in_service",
                        "weight": 1.0,
                        "startedAtMs": 1000 * host.clock(),
                    }
                ],
            }
        )
    )
    host.anchor += SERVER_AGE_SECONDS


def allowed():
    """Return how many connections a single balancer may send to the server in the window."""
    warm = 0.2 + 0.8 * (SERVER_AGE_SECONDS + 5.0) / RAMP_SECONDS
    return max_cold_requests(
        OVERLOAD_FACTOR * choice.ASSUMED_CONNECTIONS_PER_CAPACITY * warm * WINDOW_SECONDS / RAMP_SECONDS
    )


@pytest.mark.parametrize("how", ["hot restart", "kill", "two hot restarts"])
@async_test
async def test_cold_server_gets_the_budget_of_one_balancer_across_restarts(folder, how):  # noqa: F811
    """The window is longer than the test, so all connections of the test are in one window."""
    async with World(control=True, listen=reserved_address(), obligations=COLD) as world:
        start_cold(world.node)
        listed = world.node.server_list.to_message()
        counting = CountingServer(world)
        await counting.ask(10)
        alone = counting.count
        assert 0 < alone <= allowed()
        ended = []
        for _ in range(2 if how.startswith("two") else 1):
            if how == "kill":
                world.node.finished.set()
                await world.serving
                world.raw["known"] = listed
            previous = world.serving
            world.node, world.serving = await world.start()
            if how != "kill":
                ended.append(previous)
            await counting.ask(10)
        counting.task.cancel()
        assert counting.count <= allowed(), f"{alone} by the first alone, {counting.count} in all"
        for one in ended:
            one.cancel()


@async_test
async def test_predecessor_sends_nothing_to_a_cold_server_while_it_has_a_successor(folder):  # noqa: F811
    async with World(control=True, listen=reserved_address(), obligations=COLD) as world:
        first = world.node
        start_cold(first)
        async with world.beside():
            await world.until(lambda: first.hot_restart.has_successor)
            (server,) = first.servers.values()
            first.now = first.clock() + 20
            assert first.balancer.slow_start.available_tokens(server) == 0
        await world.until(lambda: not first.hot_restart.has_successor and first.listeners.listener)
        first.now = first.clock() + 40  # without a successor the budget is its own again
        assert first.balancer.slow_start.available_tokens(server) > 0
        assert sibling.VERSION == 1


@async_test
async def test_log_says_which_process_was_told_of_an_order_and_by_whom(folder, caplog):  # noqa: F811
    """Without the time at which the serving process learned of an order, its sends cannot be explained."""
    caplog.set_level("INFO", logger="bellrack")

    def sources():
        return [record.fields["source"] for record in caplog.records if record.msg == "by_hand"]

    async with World(servers=2, control=True, listen=reserved_address()) as world:
        assert (await world.ask("/_servers/detach", "s-0"))[0] == 200
        async with world.beside() as second:
            assert second.server_list.cordoned and sources() == ["operator", "predecessor"]
            assert (await world.ask("/_servers/attach", "s-0"))[0] == 200
            await world.until(lambda: not second.server_list.cordoned)
            assert sources() == ["operator", "predecessor", "operator", "sibling"]
