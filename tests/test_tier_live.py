"""Several real balancer processes: what STANDING.md requires of a tier as a whole.

Servers and discovery run in processes of their own (`stub_services.py`). Nothing here measures time.
"""

import contextlib
import signal
import socket
import time

import pytest
from helpers import raw_settings
from processes import (
    HANG_TIMEOUT_SECONDS,
    BalancerProcess,
    Client,
    Clients,
    StubProcess,
    balancer_settings,
    bound_socket,
    format_address,
    ordinary_line,
    running,
)

SERVERS = 6


@pytest.fixture
def stub_services():
    process = StubProcess(SERVERS)
    yield process
    process.end()


def tier(folder, stub_services, count, **changes):
    """Run `count` balancers that are each other's peers, started at once."""
    processes = []
    for number in range(count):
        settings = raw_settings(peersTotal=count, slotNo=number)
        raw = balancer_settings(
            stub_services, 0, settings=settings, seed=f"{number * 7919 + 1:016x}", **changes
        )
        processes.append(BalancerProcess(folder, f"n{number}", raw))
    return running(processes)


def ordinary_clients(address, first, count, wait=20000):
    return Clients(
        [
            Client(f"{number:016x}", None, address, [(0.0, ordinary_line(number, wait))])
            for number in range(first, first + count)
        ]
    )


def wait_for_lists(balancer, count):
    """Wait until the balancer has processed `count` lists since its start."""
    end = time.monotonic() + HANG_TIMEOUT_SECONDS
    while (processed := balancer.counters().get("list_lines", 0)) < count:
        assert time.monotonic() < end, f"{processed} lists, expected {count}"


def attempts(stub_services):
    return {name: server["attempts"] for name, server in stub_services.command("report").items()}


def test_draining_server_gets_no_new_connections_after_discovery_was_changed_by_a_reload(
    tmp_path, stub_services
):
    # Only the discovery service of the new configuration reports the drain; the old one never does.
    new_discovery = StubProcess(0, number=1)
    new_discovery.command("others", entries=stub_services.entries)
    draining = stub_services.entries[0] | {"lifecycle": "terminating"}
    try:
        with tier(tmp_path, stub_services, 4) as balancers:
            addresses = [balancer.address() for balancer in balancers]
            for balancer in balancers:
                wait_for_lists(balancer, 2)  # the known list, and the one of discovery
                balancer.raw["discovery"] = new_discovery.discovery
                balancer.write()
                balancer.send_signal(signal.SIGHUP)
            for balancer in balancers:
                wait_for_lists(balancer, 3)  # the list of the new discovery service
            new_discovery.command("others", entries=[draining, *stub_services.entries[1:]])
            for balancer in balancers:
                wait_for_lists(balancer, 4)
            before = attempts(stub_services)
            for group in [
                ordinary_clients(address, 1000 * (index + 1), 50) for index, address in enumerate(addresses)
            ]:
                group.settle()
                assert any(client.up for client in group.clients)  # a burst is paced: some may get BUSY
                group.close()
            after = attempts(stub_services)
            assert after[stub_services.names[0]] == before[stub_services.names[0]]
            assert sum(after.values()) > sum(before.values())
    finally:
        new_discovery.end()


def test_kill_of_a_process_resets_its_connections_and_the_next_process_serves(tmp_path, stub_services):
    # Connections without a request, with half of one, and with a whole one: each is reset or closed.
    listen = bound_socket()
    stub_services.command("mode", mode="late")
    raw = {"listen": format_address(listen), "control": "127.0.0.1:0"}
    with contextlib.closing(listen), tier(tmp_path, stub_services, 1, **raw) as (balancer,):
        for _ in range(3):
            address = balancer.address()
            lines = [b"", ordinary_line(1)[:20], ordinary_line(2)]
            socks = [socket.create_connection(address, HANG_TIMEOUT_SECONDS) for _ in lines]
            for sock, line in zip(socks, lines):
                sock.sendall(line)
            balancer.end(signal.SIGKILL)
            for sock in socks:
                assert is_closed(sock)
            balancer.start()
        stub_services.command("mode", mode="answers")
        group = ordinary_clients(balancer.address(), 100, 20)
        group.settle()
        assert all(client.up for client in group.clients)
        group.close()


def is_closed(sock):
    """Return whether the connection ends without another byte; close it."""
    try:
        return sock.recv(100) == b""
    except ConnectionError:
        return True
    finally:
        sock.close()


def test_each_request_has_exactly_one_final_answer(tmp_path, stub_services):
    # Half of the servers hang, one resets first attempts. Each request must have one final answer in time.
    stub_services.command("mode", mode="silent", servers=stub_services.names[:3])
    stub_services.command("mode", mode="resets-first", servers=stub_services.names[3:4])
    with tier(tmp_path, stub_services, 4) as balancers:
        groups = [
            ordinary_clients(balancer.address(), 1000 * (index + 1), 100, wait=1500)
            for index, balancer in enumerate(balancers)
        ]
        for group in groups:
            group.settle()
            for client in group.clients:
                first, *rest = client.answers
                assert first.split()[0] in ("UP", "BUSY", "ERR") and rest in ([], ["end"])
            group.close()


def test_each_of_24_processes_serves_clients(tmp_path, stub_services):
    with tier(tmp_path, stub_services, 24) as balancers:
        groups = [
            ordinary_clients(balancer.address(), 1000 * (index + 1), 10)
            for index, balancer in enumerate(balancers)
        ]
        for group in groups:
            group.settle()
            assert any(client.up for client in group.clients)
            group.close()
