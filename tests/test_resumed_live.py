"""Resumed connections of several real processes: each is established once, at its own server.

Clients run in this process; servers and discovery are a process of their own (`stub_services.py`). The only
time limit is that of the protocol, 40 s from the first connection.
"""

import os
import signal
import time

import pytest
from processes import (
    HANG_TIMEOUT_SECONDS,
    BalancerProcess,
    Client,
    Clients,
    StubProcess,
    balancer_settings,
    bound_socket,
    burners,
    format_address,
    ordinary_line,
    resumed_line,
    running,
)

SERVERS = 6
# Until the slowest client has written its line; longer than a client may be silent during the run.
LATE_SECONDS = 3.5


@pytest.fixture
def stub_services():
    process = StubProcess(SERVERS)
    yield process
    process.end()


def tier(folder, stub_services, count, standing, **changes):
    """Starts `count` balancers at once."""
    raw = balancer_settings(stub_services, standing, **changes)
    return running([BalancerProcess(folder, f"n{number}", raw) for number in range(count)])


def resumed(stub_services, address, numbers, written_as=None):
    """Returns resumed clients of one balancer.

    `written_as` returns the parts of a client's line and when each is written."""
    clients = []
    for number in numbers:
        server = stub_services.names[number % len(stub_services.names)]
        line = resumed_line(number, server)
        parts = written_as(number, line) if written_as else [(0.0, line)]
        clients.append(Client(f"{number:016x}", server, address, parts))
    return clients


def reconnect(stub_services, addresses, standing=100, written_as=None):
    """Connects `standing` resumed clients to each of these balancers."""
    return [
        Clients(resumed(stub_services, address, range(first, first + standing), written_as))
        for first, address in zip(range(1000, 10_000, 1000), addresses)
    ]


def addresses_of(balancers):
    return [balancer.address() for balancer in balancers]


def ordinary(address, number):
    return Client(f"{number:016x}", None, address, [(0.0, ordinary_line(number))])


def expect_all_established(stub_services, groups):
    """Expects all clients to be established, each once at its own server, and no attempt elsewhere."""
    for group in groups:
        group.settle()
    clients = [client for group in groups for client in group.clients]
    assert [(client.id, client.answers) for client in clients if not client.up] == []
    report = stub_services.command("report")
    assert [server["misplaced"] for server in report.values() if server["misplaced"]] == []
    held = {
        (name, id) for name, server in report.items() for id, count in server["open"].items() if count == 1
    }
    assert sum(len(server["open"]) for server in report.values()) == len(held) == len(clients)
    for group in groups:
        group.close()


def written_in_many_ways(number, line):
    """Writes the line at once, late, in pieces, or after PING."""
    late = LATE_SECONDS * (number % 7 + 1) / 7
    return {
        0: [(late, line)],
        1: [(0.0, line[:9]), (late / 2, line[9:40]), (late, line[40:])],
        2: [(0.0, b"PING\r\n"), (late, line)],
    }.get(number % 10, [(0.0, line)])


# A start on busy cores.


def test_establishes_hundreds_at_processes_on_busy_cores(tmp_path, stub_services):
    cores, standing = len(os.sched_getaffinity(0)), 120
    count = cores + 4
    with burners(cores), tier(tmp_path, stub_services, count, standing) as balancers:
        groups = []
        for index, balancer in enumerate(balancers):
            first, address = 10_000 * (index + 1), balancer.address()
            clients = resumed(stub_services, address, range(first, first + standing), written_in_many_ways)
            if index % 3 == 1:
                clients.insert(0, ordinary(address, first + 9000))  # before all resumed ones
            elif index % 3 == 2:
                for position in range(0, standing, 20):  # among them
                    clients.insert(position, ordinary(address, first + 9000 + position))
            groups.append(Clients(clients))
        expect_all_established(stub_services, groups)


def test_establishes_late_writers_where_no_other_connection_was_resumed(tmp_path, stub_services):
    with tier(tmp_path, stub_services, 1, 10) as (balancer,):
        address = balancer.address()
        expect_all_established(
            stub_services,
            [
                Clients(
                    resumed(stub_services, address, range(1, 11), lambda number, line: [(LATE_SECONDS, line)])
                )
            ],
        )


# Servers that fail.


@pytest.mark.parametrize("mode", ["resets-first", "silent-first", "drains"])
def test_establishes_all_although_servers_fail_at_first(tmp_path, stub_services, mode):
    stub_services.command("mode", mode=mode, servers=stub_services.names[:3])
    if mode == "drains":
        stub_services.command("list", state="terminating", servers=stub_services.names[:3])
    with tier(tmp_path, stub_services, 3, 100) as balancers:
        groups = reconnect(stub_services, addresses_of(balancers))
        expect_all_established(stub_services, groups)


def test_establishes_all_although_servers_and_discovery_are_paused(tmp_path, stub_services):
    with tier(tmp_path, stub_services, 3, 100) as balancers:
        addresses = addresses_of(balancers)
        stub_services.pause()
        groups = reconnect(stub_services, addresses)
        for balancer in balancers:
            wait_for_count(balancer, "calls", 100)
            balancer.log.wait_for("side=server reason=timeout", 100)  # each attempt timed out once
        stub_services.resume()
        expect_all_established(stub_services, groups)


def wait_for_count(balancer, name, count):
    end = time.monotonic() + HANG_TIMEOUT_SECONDS
    while (counted := balancer.counters().get(name, 0)) < count:
        assert time.monotonic() < end, f"{name} is {counted}, expected {count}"


def test_establishes_all_although_servers_are_listed_late(tmp_path, stub_services):
    later = StubProcess(SERVERS, number=1)  # its servers are listed by the discovery of `stub_services`
    try:
        with tier(tmp_path, stub_services, 3, 100) as balancers:
            groups = reconnect(later, addresses_of(balancers))
            for balancer in balancers:
                wait_for_count(balancer, "calls", 100)
            stub_services.command("others", entries=later.entries)
            expect_all_established(later, groups)
    finally:
        later.end()


def test_establishes_all_beside_a_list_of_thousands_of_servers(tmp_path, stub_services):
    # The request lines wait in the kernel while the process handles the list.
    entry = stub_services.entries[0] | {"hostPort": "127.0.0.1:1"}
    others = [entry | {"instanceId": f"other-{number}"} for number in range(5000)]
    stub_services.command("others", entries=others)
    with tier(tmp_path, stub_services, 3, 200) as balancers:
        groups = reconnect(stub_services, addresses_of(balancers), 200)
        stub_services.command("others", entries=others[1:])
        expect_all_established(stub_services, groups)


# Descriptors.


def test_all_come_up_where_idle_connections_hold_all_descriptors(tmp_path, stub_services):
    limit, standing = 256, 40
    with tier(tmp_path, stub_services, 2, standing, limits={"sockets": limit}) as balancers:
        addresses = addresses_of(balancers)
        idle = [Clients([Client("", None, address, []) for _ in range(limit)]) for address in addresses]
        for balancer in balancers:
            balancer.log.wait_for("event=serving")
        groups = reconnect(stub_services, addresses, standing, written_in_many_ways)
        expect_all_established(stub_services, groups)
        for group in idle:
            group.close()


# Signals while connections are being resumed.


def test_establishes_all_across_a_reload(tmp_path, stub_services):
    stub_services.command("mode", mode="late")
    with tier(tmp_path, stub_services, 3, 100) as balancers:
        groups = reconnect(stub_services, addresses_of(balancers))
        for balancer in balancers:
            wait_for_count(balancer, "calls", 100)
            balancer.raw["limits"] = {"sockets": 2000}
            balancer.write()
            balancer.send_signal(signal.SIGHUP)
            assert "taken=nothing" not in balancer.log.wait_for("event=reload")
        stub_services.command("mode", mode="answers")
        stub_services.command("release")
        expect_all_established(stub_services, groups)


def test_establishes_all_across_a_hot_restart(tmp_path, stub_services):
    stub_services.command("mode", mode="late")
    processes, sockets = [], []
    try:
        for number in range(3):
            listen, *controls = [bound_socket() for _ in range(3)]
            sockets += [listen, *controls]
            raw = balancer_settings(stub_services, 100, name=f"n{number}", listen=format_address(listen))
            old, new = (
                BalancerProcess(tmp_path, f"n{number}-{which}", raw | {"control": format_address(control)})
                for which, control in zip(("old", "new"), controls)
            )
            processes.append((old.start(), new))
        groups = reconnect(stub_services, addresses_of(old for old, _ in processes))
        for old, new in processes:
            wait_for_count(old, "calls", 100)
            new.start().address()
            old.log.wait_for("event=followed")
            old.send_signal(signal.SIGTERM)
        # None is established yet when the processes that admitted them end.
        assert [old.process.wait(HANG_TIMEOUT_SECONDS) for old, _ in processes] == [0, 0, 0]
        stub_services.command("mode", mode="answers")
        stub_services.command("release")
        expect_all_established(stub_services, groups)
        assert [new.counters()["stood"] for _, new in processes] == [100, 100, 100]
    finally:
        for pair in processes:
            for process in pair:
                if process.process:
                    process.end()
        for sock in sockets:
            sock.close()


def test_shutdown_gives_each_pending_connection_one_answer(tmp_path, stub_services):
    stub_services.command("mode", mode="late")
    with tier(tmp_path, stub_services, 2, 100) as balancers:
        groups = reconnect(stub_services, addresses_of(balancers))
        for balancer in balancers:
            wait_for_count(balancer, "calls", 100)
            balancer.send_signal(signal.SIGTERM)
        for group in groups:
            group.settle()
            assert {tuple(client.answers) for client in group.clients} == {("ERR", "end")}
            group.close()
        assert [balancer.process.wait(20) for balancer in balancers] == [0, 0]
