"""Hot restarts that cross each other, a kill, or a shutdown: no request and no connection is lost, what was
detached stays so, and a cold server gets the budget of one balancer."""

import asyncio
import socket

import pytest
from helpers import Peer, World, played, raw_settings
from test_handover import folder, free  # noqa: F401 (a fixture)

from bellrack import choice, model
from bellrack.lab.scenario import most_requests
from bellrack.net import hot_restart, limits, lines, node, shutdown, sibling
from bellrack.net.config import parse_config

LINE = b"OPEN %016x 7f3a9c21e0b4d655 c=chat,t=acme,d=2000\r\n"


@played
async def test_a_third_process_waits_for_the_first_to_end(folder):  # noqa: F811
    async with World(servers=2, control=True, listen=free()) as world:
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


@played
async def test_who_waits_in_the_listener_is_answered_when_both_processes_end(folder, monkeypatch):  # noqa: F811
    monkeypatch.setattr(shutdown, "STAY", 0.2)
    async with World(control=True, listen=free()) as world:
        first = world.node
        _, server = await world.standing()
        second, serving = await world.start()
        await world.until(lambda: first.hot_restart.has_successor)
        first.hot_restart.handoff_sender.send_batch = lambda: False  # its connections end here
        first.begin_shutdown()
        second.begin_shutdown()
        await asyncio.wait_for(serving, 5)  # the successor is gone, the predecessor not yet
        assert not world.serving.done()
        sock = socket.create_connection(second.address)
        sock.sendall(LINE % 77)
        client = Peer(*await asyncio.open_connection(sock=sock))
        assert [await client.line(), await client.line()] == ["BUSY", "fin"]
        client.end("fin")
        server.end("fin")
        await asyncio.wait_for(world.serving, 5)


@played
async def test_what_goes_over_to_a_process_that_ends_is_moved(folder, monkeypatch):  # noqa: F811
    async with World(control=True, listen=free()) as world:
        first, (client, _) = world.node, await world.standing()
        second, serving = await world.start()
        await world.until(lambda: first.hot_restart.has_successor)
        monkeypatch.setattr(shutdown.Shutdown, "move_rest", lambda self: None)  # that look is already over
        second.begin_shutdown()
        first.begin_shutdown()
        assert await client.line() == "MOVE"
        client.end("fin")
        await world.first_ends(serving)


@played
async def test_who_waits_is_answered_at_once_when_the_predecessor_is_killed(folder, monkeypatch):  # noqa: F811
    monkeypatch.setattr(node, "KNOWN_LIST_WAIT", 60.0)
    async with World(control=True, listen=free()) as world:
        first = world.node
        second = node.Node(parse_config(world.raw), first.loop)
        serving = asyncio.create_task(second.serve())
        await world.until(lambda: first.hot_restart.sibling and first.hot_restart.sibling.transport)
        await world.until(lambda: second.hot_restart.sibling and second.hot_restart.sibling.transport)
        address = first.address
        first.listeners.listener.close()
        first.hot_restart.sibling.transport.abort()  # as the kernel does for a process that is killed
        sock = socket.create_connection(address)
        sock.sendall(LINE % 77)
        client = Peer(*await asyncio.open_connection(sock=sock))
        _, server, _ = await world.leg()
        server.say("UP 1")
        assert await client.line() == "UP 1"
        first.finished.set()
        await world.first_ends(serving)
        world.node = second


@pytest.mark.parametrize("words", [b"", b"OPEN 00000000000000a1 7f3a9c21e0b4d655 c=ch"])
@played
async def test_a_hot_restart_gives_a_half_request_no_more_time(folder, monkeypatch, words):  # noqa: F811
    """STANDING.md: they get their error or close within the 3 s, whichever process ends them."""
    monkeypatch.setattr(limits, "FIRST_LINE_SECONDS", 1.0)
    async with World(control=True, listen=free()) as world:
        first, _ = world.node, await world.standing()
        client = await world.dial()
        client.writer.write(words)
        await world.until(lambda: any(one.call is None for one in first.clients))
        begun = first.loop.time()
        await world.until(lambda: first.loop.time() > begun + 0.7)
        second, serving = await world.start()
        await world.until(lambda: first.hot_restart.has_successor)
        first.begin_shutdown()
        assert (await client.line()).startswith("BUSY") and first.loop.time() < begun + 1.4
        assert second.counters["taken_over"]
        await world.first_ends(serving)
        world.node = second


@played
async def test_what_is_detached_at_a_process_that_waits_for_its_turn_stays_so(folder, monkeypatch):  # noqa: F811
    """Operators are answered by a process that starts, too: what it says is out stays out, at both."""
    turn, honest = asyncio.Event(), hot_restart.HotRestart.await_predecessor

    async def meets(restart, path):
        await turn.wait()
        return await honest(restart, path)

    async with World(servers=2, control=True, listen=free()) as world:
        first = world.node
        monkeypatch.setattr(hot_restart.HotRestart, "await_predecessor", meets)
        second = node.Node(parse_config(world.raw), first.loop)
        serving = asyncio.create_task(second.serve())
        await world.until(lambda: second.listeners.admin and second.servers)
        assert second.server_list.cordon("s-1", True)
        turn.set()
        await world.until(lambda: first.hot_restart.has_successor)
        try:
            assert second.servers[lines.id_hash("s-1")].cordoned
            assert second.hot_restart.snapshot()["out"] == ["s-1"]  # for the process after it
            await world.until(lambda: first.servers[lines.id_hash("s-1")].cordoned)
        finally:
            second.finished.set()
            await serving


@pytest.mark.parametrize("teller", [0, 1])
@pytest.mark.parametrize("whole", [False, True])
@played
async def test_what_one_of_two_processes_is_told_the_other_heeds(folder, teller, whole):  # noqa: F811
    """Two processes are one balancer: what the watch of the one brings counts as told to both."""
    async with World(servers=3, control=True, listen=free()) as world, world.beside() as second:
        nodes = [world.node, second]
        await world.until(lambda: world.node.hot_restart.has_successor)
        told, other = nodes[teller], nodes[1 - teller]
        drained = world.entries[0] | {"lifecycle": "terminating"}
        gone = {"instanceId": "s-1", "hostPort": "", "lifecycle": "terminated"}
        instances = [drained, world.entries[2]] if whole else [drained, gone]
        news = {"generation": 60, "reset": whole, "instances": instances}
        told.queue(told.server_list.on_list, lines.parse_list(news))
        marks = [lines.id_hash(entry["instanceId"]) for entry in world.entries]
        await world.until(lambda: other.servers[marks[0]].state == model.DRAINING)
        assert other.servers[marks[1]].state == model.GONE and other.servers[marks[2]].usable
        assert other.server_list.version == 41  # its own watch still brings all since then
        other.server_list.version = 61
        old = {
            "generation": 60,
            "reset": False,
            "instances": [world.entries[0] | {"lifecycle": "in_service"}],
        }
        other.hot_restart.on_message(
            {"news": old, "discovery": lines.format_address(other.discovery.address)}
        )
        assert other.servers[marks[0]].state == model.DRAINING  # newer is known
        elsewhere = old | {"generation": 90}
        other.hot_restart.on_message({"news": elsewhere, "discovery": "127.0.0.1:9"})
        assert other.servers[marks[0]].state == model.DRAINING  # another address has versions of its own


@pytest.mark.parametrize("said", [b"{", b'{"busy": tr', b'{"version": 1, "list"'])
@played
async def test_a_process_that_is_cut_off_in_the_middle_asks_again(folder, said):  # noqa: F811
    """What a process that serves says may come in part, and then its end: it is asked again."""
    path = sibling.socket_path("n0", ("127.0.0.1", 1))
    with socket.socket(socket.AF_UNIX) as sock:
        sock.bind(path)
        sock.listen()
        meeting = asyncio.create_task(asyncio.to_thread(sibling.connect_to_predecessor, path))
        other, _ = await asyncio.to_thread(sock.accept)
        other.sendall(said)
        other.close()
        with pytest.raises(sibling.BusyError):
            await meeting


@played
async def test_a_hot_restart_carries_as_many_servers_as_there_may_be(folder):  # noqa: F811
    """STANDING.md: "3,200 at most"."""
    async with World(control=True, listen=free()) as world:
        first = world.node
        instances = [world.entries[0] | {"instanceId": f"server-{number:08}"} for number in range(3200)]
        first.server_list.on_list(lines.parse_list({"generation": 60, "reset": True, "instances": instances}))
        assert (await world.ask("/_servers/detach", "server-00000007"))[0] == 200
        async with world.beside() as second:
            await world.until(lambda: first.hot_restart.has_successor)
            assert len(second.servers) >= 3200
            assert second.servers[lines.id_hash("server-00000007")].cordoned


RAMP, WINDOW, FACTOR = 60.0, 30.0, 0.8
COLD = raw_settings()["obligations"] | {
    "rampTimeUs": RAMP * 1e6,
    "overloadFactor": FACTOR,
    "fallUs": WINDOW * 1e6,
}


class ColdSends:
    """Counts what each server is sent, and ends it at once."""

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


AGE = 20.0  # seconds


def start_cold(host):
    """Its server has started a while ago, and the list said so at once."""
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
    host.anchor += AGE


def allowed():
    """What one balancer alone may send in the window: the server is as cold as it gets."""
    warm = 0.2 + 0.8 * (AGE + 5.0) / RAMP
    return most_requests(FACTOR * choice.ASSUMED_CONNECTIONS_PER_CAPACITY * warm * WINDOW / RAMP)


@pytest.mark.parametrize("how", ["hot restart", "kill", "two hot restarts"])
@played
async def test_a_cold_server_gets_the_budget_of_one_balancer(folder, how):  # noqa: F811
    """The window is longer than the test, so whatever is sent lies in one."""
    async with World(control=True, listen=free(), obligations=COLD) as world:
        start_cold(world.node)
        listed = world.node.server_list.to_message()
        sends = ColdSends(world)
        await sends.ask(10)
        alone = sends.count
        assert 0 < alone <= allowed()
        ended = []
        for _ in range(2 if how.startswith("two") else 1):
            if how == "kill":
                world.node.finished.set()
                await world.serving
                world.raw["known"] = listed
            former = world.serving
            world.node, world.serving = await world.start()
            if how != "kill":
                ended.append(former)
            await sends.ask(10)
        sends.task.cancel()
        assert sends.count <= allowed(), f"{alone} by the first alone, {sends.count} in all"
        for one in ended:
            one.cancel()


@played
async def test_the_predecessor_sends_nothing_more_to_a_cold_server(folder):  # noqa: F811
    async with World(control=True, listen=free(), obligations=COLD) as world:
        first = world.node
        start_cold(first)
        async with world.beside():
            await world.until(lambda: first.hot_restart.has_successor)
            (server,) = first.servers.values()
            first.now = first.clock() + 20
            assert first.balancer.slow_start.available_tokens(server) == 0
        await world.until(lambda: not first.hot_restart.has_successor and first.listeners.listener)
        first.now = first.clock() + 40  # its successor is gone: the budget is its own again, from now on
        assert first.balancer.slow_start.available_tokens(server) > 0
        assert sibling.VERSION == 1
