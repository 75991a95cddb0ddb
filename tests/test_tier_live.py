"""Several real processes that serve: what the operators' standing test asks of a tier as a whole.

Servers and discovery are processes of their own (`stand_ins.py`). Nothing here measures time.
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
    StandInProcess,
    balancer_settings,
    bound_socket,
    format_address,
    ordinary_line,
    running,
)

SERVERS = 6


@pytest.fixture
def stand_ins():
    process = StandInProcess(SERVERS)
    yield process
    process.end()


def tier(folder, stand_ins, count, **changes):
    """So many balancers that know of each other, started at once."""
    processes = []
    for number in range(count):
        settings = raw_settings(peersTotal=count, slotNo=number)
        raw = balancer_settings(stand_ins, 0, settings=settings, seed=f"{number * 7919 + 1:016x}", **changes)
        processes.append(BalancerProcess(folder, f"n{number}", raw))
    return running(processes)


def ordinary(address, first, count, wait=20000):
    return Clients(
        [
            Client(f"{number:016x}", None, address, [(0.0, ordinary_line(number, wait))])
            for number in range(first, first + count)
        ]
    )


def has_lists(balancer, count):
    """It has heeded so many lists since its start."""
    end = time.monotonic() + HANG_TIMEOUT_SECONDS
    while (heeded := balancer.counters().get("list_lines", 0)) < count:
        assert time.monotonic() < end, f"{heeded} lists in place of {count}"


def attempts(stand_ins):
    return {name: told["attempts"] for name, told in stand_ins.command("report").items()}


def test_nothing_new_goes_to_a_server_that_drains_after_a_reload(tmp_path, stand_ins):
    # The list of the new configuration's discovery tells of the drain, and the old one never does.
    second = StandInProcess(0, number=1)
    second.command("others", entries=stand_ins.entries)
    draining = stand_ins.entries[0] | {"lifecycle": "terminating"}
    try:
        with tier(tmp_path, stand_ins, 4) as balancers:
            addresses = [balancer.address() for balancer in balancers]
            for balancer in balancers:
                has_lists(balancer, 2)  # the one that was known, and discovery's
                balancer.raw["discovery"] = second.discovery
                balancer.write()
                balancer.send_signal(signal.SIGHUP)
            for balancer in balancers:
                has_lists(balancer, 3)  # the new discovery's
            second.command("others", entries=[draining, *stand_ins.entries[1:]])
            for balancer in balancers:
                has_lists(balancer, 4)
            before = attempts(stand_ins)
            for group in [
                ordinary(address, 1000 * (index + 1), 50) for index, address in enumerate(addresses)
            ]:
                group.settle()
                assert any(client.up for client in group.clients)  # a burst is paced: some may be told BUSY
                group.close()
            after = attempts(stand_ins)
            assert after[stand_ins.names[0]] == before[stand_ins.names[0]]
            assert sum(after.values()) > sum(before.values())
    finally:
        second.end()


def test_who_is_accepted_by_a_process_that_is_killed_is_reset_and_the_next_one_serves(tmp_path, stand_ins):
    # Before its line, with half of it, and behind it: nobody is left with a connection that says nothing.
    listen = bound_socket()
    stand_ins.command("mode", mode="late")
    raw = {"listen": format_address(listen), "control": "127.0.0.1:0"}
    with contextlib.closing(listen), tier(tmp_path, stand_ins, 1, **raw) as (balancer,):
        for _ in range(3):
            address = balancer.address()
            lines = [b"", ordinary_line(1)[:20], ordinary_line(2)]
            socks = [socket.create_connection(address, HANG_TIMEOUT_SECONDS) for _ in lines]
            for sock, line in zip(socks, lines):
                sock.sendall(line)
            balancer.end(signal.SIGKILL)
            for sock in socks:
                assert ended(sock)
            balancer.start()
        stand_ins.command("mode", mode="answers")
        group = ordinary(balancer.address(), 100, 20)
        group.settle()
        assert all(client.up for client in group.clients)
        group.close()


def ended(sock):
    try:
        return sock.recv(100) == b""
    except ConnectionError:
        return True
    finally:
        sock.close()


def test_no_request_is_left_with_no_answer_and_none_has_two(tmp_path, stand_ins):
    # Half of the servers hang, one resets: each request has one final answer by its time.
    stand_ins.command("mode", mode="silent", servers=stand_ins.names[:3])
    stand_ins.command("mode", mode="resets-first", servers=stand_ins.names[3:4])
    with tier(tmp_path, stand_ins, 4) as balancers:
        groups = [
            ordinary(balancer.address(), 1000 * (index + 1), 100, wait=1500)
            for index, balancer in enumerate(balancers)
        ]
        for group in groups:
            group.settle()
            for client in group.clients:
                first, *rest = client.answers
                assert first.split()[0] in ("UP", "BUSY", "ERR") and rest in ([], ["end"])
            group.close()


def test_of_two_dozen_processes_none_serves_nobody(tmp_path, stand_ins):
    with tier(tmp_path, stand_ins, 24) as balancers:
        groups = [
            ordinary(balancer.address(), 1000 * (index + 1), 10) for index, balancer in enumerate(balancers)
        ]
        for group in groups:
            group.settle()
            assert any(client.up for client in group.clients)
            group.close()
