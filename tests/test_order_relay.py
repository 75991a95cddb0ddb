"""Operators' orders at a process that waits for its turn in a hot restart, while two others are in one."""

import asyncio
import contextlib
import errno
import json
from unittest import mock

import pytest
from helpers import Peer, World, async_test, close_peers_after, raw_settings
from hypothesis import given, settings
from hypothesis import strategies as st
from test_handover import folder, reserved_address  # noqa: F401 (a fixture)

from bellrack.net import limits, lines, node, order_channel, order_relay, sibling
from bellrack.net.config import parse_config
from bellrack.net.fact_versions import CordonOrder, OrderSource
from bellrack.net.order_relay import OrderOutcome


class ThreeProcesses:
    """The first process ends, the second serves, the third waits. Operators call the third."""

    def __init__(self, world, second):
        self.world, self.first, self.second = world, world.node, second
        self.third = node.Node(parse_config(world.raw), world.node.loop)
        self.serving = asyncio.create_task(self.third.serve())

    async def order(self, call, server):
        """Return the status that an operator gets from the third process."""
        with mock.patch.object(self.world, "node", self.third):
            return (await self.world.ask(f"/_servers/{call}", server))[0]

    async def end_first(self):
        """Let the first process end, so that the third takes over from the second."""
        self.first.finished.set()
        await self.world.until(lambda: self.second.hot_restart.has_successor)


@contextlib.asynccontextmanager
async def three_processes(world, **changes):
    """Yield three processes of a balancer; `changes` are those of the third one's configuration."""
    async with world.beside() as second:
        await world.until(lambda: world.node.hot_restart.has_successor)
        with mock.patch.dict(world.raw, changes):
            processes = ThreeProcesses(world, second)
        await world.until(lambda: processes.third.counters["waits_for_predecessor"])
        try:
            yield processes
        finally:
            processes.third.begin_shutdown()  # it may have no list to become ready with
            processes.third.finished.set()
            await processes.serving


def cordoned(process):
    return set(process.server_list.cordoned.values())


@async_test
async def test_order_at_a_waiting_process_holds_at_the_serving_one_from_the_yes_on(folder):  # noqa: F811
    """Guards against a yes that the serving process learns of a second later: connections went to a server
    that was restarted after the yes, and were reset (review/2)."""
    async with (
        World(servers=2, control=True, listen=reserved_address()) as world,
        three_processes(world) as processes,
    ):
        for call, expected in (("detach", {"s-1"}), ("detach", {"s-1"}), ("attach", set())):
            assert await processes.order(call, "s-1") == 200
            assert cordoned(processes.second) == cordoned(processes.third) == expected
            assert processes.second.servers[lines.id_hash("s-1")].cordoned is bool(expected)
            # The ending process may still send what it has accepted.
            await world.until(lambda expected=expected: cordoned(processes.first) == expected)
        assert await processes.order("detach", "s-0") == 200
        await processes.end_first()
        assert cordoned(processes.second) == cordoned(processes.third) == {"s-0"}


@async_test
async def test_waiting_process_knows_the_servers_of_the_serving_one(folder):  # noqa: F811
    """Guards against a no, by the list of before the start, to an order for a server of the balancer."""
    async with (
        World(servers=2, control=True, listen=reserved_address()) as world,
        three_processes(world, known={"generation": 3, "reset": True, "instances": []}) as processes,
    ):
        assert await processes.order("detach", "s-1") == 200
        assert cordoned(processes.second) == cordoned(processes.third) == {"s-1"}
        assert await processes.order("detach", "s-9") == 404
        assert cordoned(processes.second) == cordoned(processes.third) == {"s-1"}


@async_test
async def test_process_that_is_asked_to_end_while_it_waits_passes_orders_on(folder):  # noqa: F811
    """Guards against a yes whose order is lost with the process that gave it."""
    async with (
        World(servers=2, control=True, listen=reserved_address()) as world,
        three_processes(world) as processes,
    ):
        processes.third.begin_shutdown()
        assert await processes.order("detach", "s-1") == 200
        assert cordoned(processes.second) == {"s-1"}


@async_test
async def test_order_that_the_serving_process_does_not_confirm_gets_no_yes(folder, monkeypatch):  # noqa: F811
    """An older release exchanges no orders: the operator is told so, and the order holds after the turn."""
    monkeypatch.setattr(order_relay, "CONFIRMATION_SECONDS", 0.05)

    def refuse(successor_socket, sock):
        raise OSError(errno.EAGAIN, "another is met already")

    monkeypatch.setattr(sibling.SuccessorSocket, "exchange_orders", refuse)
    async with (
        World(servers=2, control=True, listen=reserved_address()) as world,
        three_processes(world) as processes,
    ):
        assert await processes.order("detach", "s-1") == 503
        assert await processes.order("detach", "s-9") == 503
        await processes.end_first()
        await world.until(lambda: cordoned(processes.second) == cordoned(processes.third) == {"s-1"})
        assert await processes.order("attach", "s-1") == 200


@async_test
async def test_waiting_process_learns_the_orders_of_the_serving_one(folder):  # noqa: F811
    """Guards against a process that starts without the orders of the one it waited for, which was killed."""
    async with (
        World(servers=2, control=True, listen=reserved_address()) as world,
        three_processes(world) as processes,
    ):
        assert processes.second.server_list.cordon("s-0", True)
        await world.until(lambda: cordoned(processes.third) == {"s-0"})


@async_test
async def test_order_of_a_caller_that_half_closes_is_answered_once(folder, monkeypatch):  # noqa: F811
    monkeypatch.setattr(limits, "MAX_ADMIN_CONNECTIONS", 1)
    async with (
        World(servers=2, control=True, listen=reserved_address()) as world,
        three_processes(world) as processes,
    ):
        exchange, go_on = processes.third.hot_restart.order_relay.exchange, asyncio.Event()

        async def exchange_later(channel):
            await go_on.wait()
            await exchange(channel)

        processes.third.hot_restart.order_relay.exchange = exchange_later
        address = processes.third.listeners.admin.sockets[0].getsockname()
        caller = Peer(*await asyncio.open_connection(*address))
        caller.writer.write(b"POST /_servers/detach HTTP/1.1\r\nContent-Length: 3\r\n\r\ns-1")
        caller.writer.write_eof()
        pending = processes.third.hot_restart.order_relay.pending
        await world.until(lambda: pending)
        idle = Peer(*await asyncio.open_connection(*address))
        assert (await world.http_response(idle))[0] == 503  # not the caller whose request is complete
        go_on.set()
        assert await world.http_response(caller) == (200, "out\n")
        assert not pending and not processes.third.counters["faults"]


@async_test
async def test_malformed_and_silent_waiting_processes_are_disconnected(folder, monkeypatch):  # noqa: F811
    monkeypatch.setattr(order_channel, "EXCHANGE_SECONDS", 0.05)
    async with World(servers=2, control=True, listen=reserved_address()) as world, world.beside() as second:
        await world.until(lambda: world.node.hot_restart.has_successor)
        before = second.limits.descriptors
        for message in ("[]", "no json", '{"orders": 5}', '{"orders": [["s-1", true, "soon", true]]}', None):
            peer = Peer(*await asyncio.open_unix_connection(second.listeners.successor_path))
            assert json.loads(await peer.line()) == {"busy": True, "orders": []}
            if message:
                peer.say(message)
            assert await peer.line() in ("fin", "rst")
            peer.end("fin")
        await world.until(lambda: second.limits.descriptors == before)
        assert not cordoned(second) and not second.counters["faults"]


@async_test
async def test_number_of_waiting_processes_is_limited(folder, monkeypatch):  # noqa: F811
    monkeypatch.setattr(sibling, "MAX_WAITING_SUCCESSORS", 2)
    async with World(servers=2, control=True, listen=reserved_address()) as world, world.beside() as second:
        await world.until(lambda: world.node.hot_restart.has_successor)
        peers = [Peer(*await asyncio.open_unix_connection(second.listeners.successor_path)) for _ in range(3)]
        answers = [json.loads(await peer.line()) for peer in peers]
        assert answers == [{"busy": True, "orders": []}] * 2 + [{"busy": True}]
        for peer in peers:
            peer.end("fin")


# Orders at any of the three processes, and exchanges between them, in any order.

NAMES = ("s-0", "s-1")
ORDERS = st.tuples(st.integers(0, 2), st.sampled_from(NAMES), st.booleans())
STEPS = st.lists(st.one_of(ORDERS, st.sampled_from(["exchange", "deliver", "fail"])), max_size=15)


class Direct:
    """A channel to the serving process without sockets. `fails`: its answer does not arrive."""

    def __init__(self, serving, fails):
        self.serving, self.fails = serving, fails
        rows = json.dumps([order.to_row() for order in serving.server_list.orders.values()])
        self.orders = [CordonOrder.from_row(row) for row in json.loads(rows)]

    def send(self, offers):
        waiting = order_channel.WaitingSuccessor(self.serving, lambda _: None)
        waiting.transport = mock.Mock()
        waiting.apply(json.dumps(order_channel.offers_message(offers)).encode())
        if self.fails:
            raise ConnectionResetError
        return frozenset(json.loads(waiting.transport.write.call_args.args[0])["unknown"])

    def close(self):
        pass


@settings(max_examples=150, deadline=None)
@given(STEPS, st.sets(st.sampled_from(NAMES)))
def test_each_confirmed_order_is_held_by_the_serving_process(steps, listed):
    """`listed`: the servers that the waiting process knows; the serving one knows both."""
    asyncio.run(close_peers_after(play(steps, listed)))


async def play(steps, listed):
    raw = {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "settings": raw_settings()}
    first, serving, waiting = (node.Node(parse_config(raw), asyncio.get_running_loop()) for _ in range(3))
    for process, names in ((first, NAMES), (serving, NAMES), (waiting, listed)):
        entries = [
            {"instanceId": name, "hostPort": "127.0.0.1:9", "zone": "a", "lifecycle": "in_service"}
            for name in names
        ]
        news = {"generation": 41, "reset": True, "instances": entries}
        process.server_list.load_known_list(lines.parse_list(news))
    relay, to_first = waiting.hot_restart.order_relay, []
    serving.hot_restart.sibling = mock.Mock(send=lambda **words: to_first.append(words))
    last = {}

    def on_outcome(order, outcome):
        assert outcome is OrderOutcome.APPLIED
        assert serving.server_list.orders[lines.id_hash(order.name)].version >= order.version

    for moment, step in enumerate(steps):
        if step in ("exchange", "fail"):
            await relay.exchange(Direct(serving, step == "fail"))
        elif step == "deliver":
            while to_first:
                first.hot_restart.on_message(to_first.pop(0))
        else:
            process, name, cordon = step
            order = last[name] = CordonOrder(name, cordon, float(moment))
            if process == 2:
                relay.submit(order, lambda outcome, order=order: on_outcome(order, outcome))
            else:
                serving.server_list.on_order(order, OrderSource.OPERATOR)
                serving.hot_restart.publish_order(order)
    await relay.exchange(Direct(serving, False))
    for message in to_first:
        first.hot_restart.on_message(message)
    assert not relay.pending
    for process in (first, serving, waiting):
        assert {order.name: order for order in process.server_list.orders.values()} == last


@pytest.mark.parametrize("busy", [b'{"busy": true}\n', b'{"busy": true, "orders": [[1]]}\n'])
@async_test
async def test_busy_message_without_orders_offers_no_exchange(folder, busy):  # noqa: F811
    path = sibling.socket_path("n0", ("127.0.0.1", 1))
    server = await asyncio.start_unix_server(lambda _, writer: writer.write(busy), path)
    with pytest.raises(sibling.BusyError) as raised:
        await asyncio.to_thread(sibling.connect_to_predecessor, path)
    assert raised.value.channel is None
    server.close()


def test_exchange_that_is_aborted_before_it_is_attached_ends_once_it_is():
    """Guards against an exchange that outlasts the process's part in it, as its end came too early."""
    waiting = order_channel.WaitingSuccessor(mock.Mock(), lambda _: None)
    waiting.abort()
    transport = mock.Mock()
    waiting.connection_made(transport)
    transport.abort.assert_called_once_with()
    transport.write.assert_not_called()
