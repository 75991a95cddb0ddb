"""Lab runs on loopback sockets: the troubles of a scenario, and the cleanup of processes and descriptors
after runs that finish, fail or are killed."""

import asyncio
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path

import pytest
from helpers import async_test
from test_lab import raw

from bellrack.lab import live
from bellrack.lab.event_queue import START
from bellrack.lab.rule_checker import RuleChecker
from bellrack.lab.scenario import ScenarioError, parse_scenario
from bellrack.lab.sockets import HOST, Port
from bellrack.lab.trace import read_trace

ROOT = Path(__file__).parent.parent


def descendants(pid):
    """Return the process ids of the children of a process and of their descendants."""
    found = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                parent = int((entry / "stat").read_text().rpartition(")")[2].split()[1])
            except (OSError, IndexError):
                continue
            if parent == pid:
                found += [int(entry.name), *descendants(int(entry.name))]
    return found


def all_ended(pids, timeout=10.0):
    """Return whether all of these processes end within `timeout` seconds."""
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        if not any(is_running(pid) for pid in pids):
            return True
        time.sleep(0.02)
    return False


def is_running(pid):
    """Return whether a process exists and is not a zombie."""
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


def wait_until(condition, timeout=20.0):
    """Poll until the condition returns a true value, and return that value."""
    deadline = time.monotonic() + timeout
    while not (value := condition()):
        assert time.monotonic() < deadline, "the condition was not met in time"
        time.sleep(0.02)
    return value


def test_run_with_troubles_of_each_kind_keeps_the_rules_and_cleans_up(tmp_path):
    troubles = [
        {"kind": "crash", "at": 0.8, "servers": ["a-k-1"], "lasts": 1.0},
        {"kind": "crash", "at": 1.0, "servers": ["b-k-1"], "lasts": 2.0, "silent": True},
        {"kind": "drain", "at": 1.2, "servers": ["a-k-2"], "lasts": 2.0, "back": 0.5},
        {"kind": "hang", "at": 1.4, "servers": ["b-k-2"], "lasts": 0.6},
        {"kind": "stall", "at": 1.0, "share": 0.5, "lasts": 1.0},
        {"kind": "list-down", "at": 1.6, "lasts": 0.8},
        {"kind": "store-slow", "at": 2.0, "lasts": 1.0},
        {"kind": "killed", "at": 2.2, "balancers": ["a-b1"], "lasts": 0.2},
        {"kind": "drop", "at": 3.0, "share": 0.5},
        {"kind": "partition", "at": 1.0, "zone": "a", "other": "b"},
    ]
    scenario = parse_scenario(
        raw(
            *troubles,
            length=5.0,
            tail=3.0,
            clients={"rate": 15.0, "standing": 12, "life": 3.0, "stream": 5000},
            listing={"notice": [0.1, 0.3], "silent_notice": [0.2, 0.4]},
            datagrams={"allowed": True},
            front={"notice": 0.3},
            type=[{"name": "view"}, {"name": "order", "effect": "once-only"}],
        )
    )
    descriptors, processes = set(os.listdir("/proc/self/fd")), descendants(os.getpid())
    result = live.run(scenario, 3, trace=str(tmp_path / "trace"), logs=str(tmp_path / "logs"), quiet=True)
    assert result["kept"], result["rules"]
    assert result["completed"] > 40 and result["service"] > 0.3
    assert result["results"].get("reset", 0) > 0 and result["store_calls"] > 40
    assert descendants(os.getpid()) == processes and set(os.listdir("/proc/self/fd")) == descriptors
    logs = "".join(path.read_text() for path in (tmp_path / "logs").iterdir())
    assert "event=fault" not in logs and "event=loop" not in logs
    assert len(list((tmp_path / "logs").iterdir())) == 3  # one of two balancers was restarted
    assert result["live"]["balancer_cpu"] > 0 and result["live"]["balancer_memory_mb"] > 0
    kinds = {entry[1] for entry in read_trace(tmp_path / "trace")}
    assert {"call", "answer", "leg", "work", "ran", "back", "told", "server", "stop", "over"} <= kinds


def test_interrupted_or_killed_run_leaves_no_process_behind():
    file = ROOT / "examples" / "lab" / "calm.toml"
    for number, code in ((signal.SIGINT, 130), (signal.SIGKILL, -signal.SIGKILL)):
        lab = subprocess.Popen(
            [sys.executable, "-m", "bellrack", "lab", "live", file, "--quiet"],
            cwd=ROOT,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        try:
            started = wait_until(
                lambda lab=lab: (found := descendants(lab.pid)) and len(found) == 4 and found
            )
            lab.send_signal(number)
            assert lab.wait(20) == code
            assert all_ended(started)
        finally:
            lab.kill()
            lab.wait()


def test_exception_in_the_lab_ends_the_run_and_its_processes(monkeypatch):
    def raise_error(world, trouble):
        raise RuntimeError("a fault of the lab")

    monkeypatch.setattr(live.LiveWorld, "do_stall", raise_error)
    processes = descendants(os.getpid())
    with pytest.raises(RuntimeError, match="a fault of the lab"):
        live.run(parse_scenario(raw({"kind": "stall", "at": 0.1})), 1, quiet=True)
    assert descendants(os.getpid()) == processes


def test_port_of_a_balancer_stays_reserved_while_the_balancer_is_down():
    port = Port()
    port.refuse()
    with socket.socket() as other, pytest.raises(OSError):
        other.bind((HOST, port.number))  # as a port of another run might be
    with socket.create_server((HOST, port.number)) as balancer:
        assert balancer.getsockname()[1] == port.number
    port.close()


def test_balancer_that_ends_at_its_start_is_reported(monkeypatch):
    configuration = live.LiveWorld.configuration
    monkeypatch.setattr(
        live.LiveWorld, "configuration", lambda world, node: configuration(world, node) | {"settings": {}}
    )
    with pytest.raises(ScenarioError, match="a balancer ended at its start"):
        live.run(parse_scenario(raw()), 1, quiet=True)


@pytest.mark.parametrize(
    "changes, reason",
    [
        ({"zone": [{"name": "a", "balancers": 999}, {"name": "b"}]}, "1000 balancers, more than"),
        ({"listing": {"asks": False}}, "the list must be asked for"),
        ({"clients": {"rate": 5e5}}, "new connections a second, more than"),
        ({"clients": {"standing": 3000}}, "descriptors a balancer, more than limits.sockets = 1024"),
        ({"clients": {"standing": 2_000_000}, "limits": {"sockets": 65536}}, "descriptors"),
    ],
)
def test_scenario_that_is_too_large_is_refused_before_anything_starts(monkeypatch, changes, reason):
    monkeypatch.setattr(live, "_run_world", None)
    with pytest.raises(ScenarioError, match=reason):
        live.run(parse_scenario(raw(**changes)), 1, quiet=True)


@async_test
async def test_port_accepts_drops_or_refuses_connections():
    loop, port = asyncio.get_running_loop(), Port()

    async def outcome():
        sock = socket.socket()
        sock.setblocking(False)
        try:
            async with asyncio.timeout(0.3):
                await loop.sock_connect(sock, (HOST, port.number))
            return "up"
        except TimeoutError:
            return "nothing"
        except ConnectionRefusedError:
            return "refused"
        finally:
            sock.close()

    outcomes = []
    for _ in range(2):
        await port.open(loop, asyncio.Protocol)
        outcomes.append(await outcome())
        port.blackhole()
        outcomes.append(await outcome())
        port.refuse()
        outcomes.append(await outcome())
    port.close()
    assert outcomes == ["up", "nothing", "refused"] * 2


def test_tolerance_allows_a_leg_end_that_is_seen_late_on_sockets():
    def broken_rules(ended_after):
        scenario = parse_scenario(raw())
        trace = [
            (START, "call", 1, "n", 1, 0, START + 3),
            (START, "leg", 1, 1, "n", "a-k-1"),
            (START + 0.2, "leg", 1, 2, "n", "a-k-2"),
            (START + 0.2 + ended_after, "back", 1, 1, "cancelled"),
            (START + 1, "answer", 1, "completed", 0.0),
        ]
        return [breach.rule for breach in RuleChecker(scenario, 0.05).check(trace)]

    assert broken_rules(0.04) == [] and broken_rules(0.06) == [2]
