"""The lab on loopback: its faults on real sockets, and that nothing is left behind however a run ends."""

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


def children(of):
    """Processes whose parent is this one, and theirs."""
    found = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                parent = int((entry / "stat").read_text().rpartition(")")[2].split()[1])
            except (OSError, IndexError):
                continue
            if parent == of:
                found += [int(entry.name), *children(int(entry.name))]
    return found


def gone(pids, within=10.0):
    """Have all of them ended by then?"""
    end = time.monotonic() + within
    while time.monotonic() < end:
        if not any(running(pid) for pid in pids):
            return True
        time.sleep(0.02)
    return False


def running(pid):
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] != "Z"
    except OSError:
        return False


def until(true, within=20.0):
    end = time.monotonic() + within
    while not (value := true()):
        assert time.monotonic() < end, "it never came"
        time.sleep(0.02)
    return value


def test_one_run_through_every_fault_keeps_the_rules_and_leaves_nothing(tmp_path):
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
    before, own = set(os.listdir("/proc/self/fd")), children(os.getpid())
    result = live.run(scenario, 3, trace=str(tmp_path / "trace"), logs=str(tmp_path / "logs"), quiet=True)
    assert result["kept"], result["rules"]
    assert result["completed"] > 40 and result["service"] > 0.3
    assert result["results"].get("reset", 0) > 0 and result["store_calls"] > 40
    assert children(os.getpid()) == own and set(os.listdir("/proc/self/fd")) == before
    logs = "".join(path.read_text() for path in (tmp_path / "logs").iterdir())
    assert "event=fault" not in logs and "event=loop" not in logs
    assert len(list((tmp_path / "logs").iterdir())) == 3  # one balancer was killed and started again
    assert result["live"]["balancer_cpu"] > 0 and result["live"]["balancer_memory_mb"] > 0
    kinds = {entry[1] for entry in read_trace(tmp_path / "trace")}
    assert {"call", "answer", "leg", "work", "ran", "back", "told", "server", "stop", "over"} <= kinds


def test_a_run_that_is_interrupted_or_killed_leaves_no_process_behind():
    file = ROOT / "examples" / "lab" / "calm.toml"
    for number, code in ((signal.SIGINT, 130), (signal.SIGKILL, -signal.SIGKILL)):
        lab = subprocess.Popen(
            [sys.executable, "-m", "bellrack", "lab", "live", file, "--quiet"],
            cwd=ROOT,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        try:
            started = until(lambda lab=lab: (found := children(lab.pid)) and len(found) == 4 and found)
            lab.send_signal(number)
            assert lab.wait(20) == code
            assert gone(started)
        finally:
            lab.kill()
            lab.wait()


def test_a_fault_of_the_labs_own_ends_the_run_and_its_processes(monkeypatch):
    def faulty(world, trouble):
        raise RuntimeError("a fault of the lab")

    monkeypatch.setattr(live.LiveWorld, "do_stall", faulty)
    own = children(os.getpid())
    with pytest.raises(RuntimeError, match="a fault of the lab"):
        live.run(parse_scenario(raw({"kind": "stall", "at": 0.1})), 1, quiet=True)
    assert children(os.getpid()) == own


def test_the_port_of_a_balancer_is_held_for_it_while_it_is_down():
    door = Port()
    door.refuse()
    with socket.socket() as other, pytest.raises(OSError):
        other.bind((HOST, door.number))  # as another run's would be, by chance
    with socket.create_server((HOST, door.number)) as balancer:
        assert balancer.getsockname()[1] == door.number
    door.shut()


def test_a_balancer_that_ends_by_itself_is_told(monkeypatch):
    honest = live.LiveWorld.configuration
    monkeypatch.setattr(
        live.LiveWorld, "configuration", lambda world, node: honest(world, node) | {"settings": {}}
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
def test_more_than_this_machine_can_play_is_refused_before_anything_starts(monkeypatch, changes, reason):
    monkeypatch.setattr(live, "_played", None)
    with pytest.raises(ScenarioError, match=reason):
        live.run(parse_scenario(raw(**changes)), 1, quiet=True)


@async_test
async def test_a_port_refuses_comes_up_or_says_nothing_as_its_machine_does():
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

    seen = []
    for _ in range(2):
        await port.open(loop, asyncio.Protocol)
        seen.append(await outcome())
        port.clog()
        seen.append(await outcome())
        port.refuse()
        seen.append(await outcome())
    port.shut()
    assert seen == ["up", "nothing", "refused"] * 2


def test_on_sockets_an_end_seen_late_is_no_second_leg_out():
    def judged(ended):
        scenario = parse_scenario(raw())
        trace = [
            (START, "call", 1, "n", 1, 0, START + 3),
            (START, "leg", 1, 1, "n", "a-k-1"),
            (START + 0.2, "leg", 1, 2, "n", "a-k-2"),
            (START + 0.2 + ended, "back", 1, 1, "cancelled"),
            (START + 1, "answer", 1, "completed", 0.0),
        ]
        return [breach.rule for breach in RuleChecker(scenario, 0.05).check(trace)]

    assert judged(0.04) == [] and judged(0.06) == [2]
