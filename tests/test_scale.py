"""Scale runs: counts that repeat to the digit, what holds of the budgets, limits, and a clean end."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import types
from pathlib import Path
from unittest import mock

import pytest
from test_lab_live import children, gone, until

from bellrack.lab import cli
from bellrack.lab.scale import figures, real, run
from bellrack.lab.scale.guard import MemoryGuard, machine_mb
from bellrack.lab.scale.hollow import DiscoveryRequest, use_discovery_request
from bellrack.lab.scale.plan import parse_plan, read_plan, resize_plan
from bellrack.lab.scale.virtual import VirtualDiscoveryRequest, VirtualTier
from bellrack.lab.scenario import ScenarioError

ROOT = Path(__file__).parent.parent
EXAMPLES = ROOT / "examples" / "scale"
# A figure of this build, seed 1: another mechanism between balancers has others, and they are put here.
AGGREGATOR_AT_50 = {
    "in_datagrams": 573,
    "in_bytes": 38208,
    "out_datagrams": 12,
    "out_bytes": 135,
    "fan_datagrams": 588,
    "fan_bytes": 6615,
    "records_in": 12545,
    "records_out": 41,
    "list_in": 18,
    "list_out": 0,
    "list_lines": 0,
    "steps": 687,
}


def plan(**changes):
    base = {
        "name": "tiny",
        "balancers": 12,
        "servers": 18,
        "zones": 3,
        "warm_up": 4.0,
        "duration": 6.0,
        "memory_sizes": [],
    }
    return parse_plan(base | changes)


def played(seed=1, **changes):
    world = VirtualTier(plan(**changes), seed, MemoryGuard()).play()
    assert not world.faults
    return world


def counts(world, seed=1):
    return run.result_of(world.plan, seed, world, world.guard, None)["counts"]


def test_counts_repeat_to_the_digit_whatever_the_hash_seed(tmp_path):
    """With restarts, lost datagrams, a rack lost, a cut and groups: each draws by chance."""
    file = tmp_path / "tiny.toml"
    file.write_text("""
name = "tiny"
balancers = 12
servers = 18
zones = 3
warm_up = 3.0
duration = 5.0
memory_sizes = []
loss = 0.1
restarts = 500000.0
list_changes = 60.0
connections = { groups = 40 }
trouble = [ { kind = "rack-lost", at = 4.0, share = 0.2, lasts = 2.0 },
            { kind = "region-cut", at = 4.5, region = 1, lasts = 2.0 } ]
""")
    told = []
    for hashes in ("0", "12345"):
        out = tmp_path / f"{hashes}.json"
        subprocess.run(
            [
                sys.executable,
                "-m",
                "bellrack",
                "lab",
                "scale",
                "run",
                file,
                "--seed=7",
                "--quiet",
                f"--json={out}",
            ],
            check=True,
            cwd=ROOT,
            stdout=subprocess.DEVNULL,
            timeout=120,
            env=os.environ | {"PYTHONHASHSEED": hashes},
        )
        told.append(json.loads(out.read_text())["counts"])
    assert told[0] == told[1]
    assert told[0]["tier"]["restarts"] and told[0]["tier"]["lost_datagrams"]
    assert told[0]["discovery"]["watches"] and told[0]["plain"]["total"]["list_lines"]


def test_another_seed_gives_other_counts():
    assert counts(played(seed=1)) != counts(played(seed=2))


def test_a_plain_balancer_of_50_keeps_the_budget_of_bytes_and_the_aggregator_does_not():
    """The counts of a seed, as a figure of this build. What the aggregator takes in is over the budget of
    3 KB a second; that is no term that holds, so the test holds the figure and not the budget."""
    told = counts(played(balancers=50, servers=60, list_changes=0.0, restarts=0.0))
    assert told["plain"]["balancers"] == 49 and told["aggregator"]["balancers"] == 1
    assert told["plain"]["wire"]["most"] < figures.BUDGET_BYTES_PER_SECOND
    assert told["aggregator"]["total"] == AGGREGATOR_AT_50
    assert told["aggregator"]["wire"]["most"] > figures.BUDGET_BYTES_PER_SECOND


def test_what_one_sends_is_what_others_get():
    """No datagram is lost on this network: bytes to each receiver, sent and come in, differ by what is still
    on its way at either end of the counting."""
    world = played(list_changes=0.0, latency={"zone": 0.0, "region": 0.0, "far": 0.0})
    sent, got = (sum(getattr(one, name) for one in world.measurements) for name in ("fan_bytes", "in_bytes"))
    assert sent == got > 0


def test_a_cut_region_hears_nothing_and_is_told_all_that_it_missed_afterwards():
    cut = {"kind": "region-cut", "at": 5.0, "region": 1, "lasts": 12.0}
    world = VirtualTier(plan(trouble=[cut], list_changes=60.0, duration=22.0), 1, MemoryGuard())
    with use_discovery_request(VirtualDiscoveryRequest):
        world.schedule_events()
        world.run_to(16.0, lambda at: None)
        behind = [node.server_list.version for node in world.nodes.values()]
        there = [node.number for node in world.nodes.values() if world.region(node.number % 3) == 1]
        assert max(behind[number] for number in there) < min(
            version for number, version in enumerate(behind) if number not in there
        )
        assert world.lost_datagrams
        world.run_to(26.0, lambda at: None)
    told = {node.server_list.version for node in world.nodes.values()}
    assert max(told) > max(behind) and max(told) - min(told) <= 1  # a change may be on its way


def test_a_lost_rack_comes_back_and_is_told_the_whole_list():
    rack = {"kind": "rack-lost", "at": 5.0, "share": 0.25, "lasts": 2.0}
    world = played(trouble=[rack], list_changes=0.0, restarts=0.0)
    assert world.restarts == 3 and world.discovery_stub.measurements.watches == 3
    assert all(len(node.balancer.listing.ready) == 18 and node.alive for node in world.nodes.values())


def test_lean_balancers_send_what_others_do():
    """Sharing the records of servers changes no datagram but for the chance that is drawn beside."""
    lean, full = (
        counts(played(lean=lean, list_changes=0.0, restarts=0.0, duration=12.0))["plain"]
        for lean in (True, False)
    )
    for name in ("in_bytes", "out_bytes", "in_datagrams", "out_datagrams"):
        assert lean["total"][name] == pytest.approx(full["total"][name], rel=0.02), name


@pytest.mark.parametrize(
    "changes, reason",
    [
        ({"balancers": 2}, "balancers: Expected `int` >= 3"),
        ({"balancers": 4801}, "balancers: Expected `int` <= 4800"),
        ({"servers": 6001}, "servers: Expected `int` <= 6000"),
        ({"real": 21, "time": "real"}, "real: Expected `int` <= 20"),
        ({"real": 2, "time": "real"}, "real: 3 or more, or none"),
        ({"real": 3}, "real: real balancers need time"),
        ({"lean": True, "time": "real"}, "lean: needs time"),
        ({"regions": 4}, "regions: 4, more than the 3 zones"),
        ({"los": 0.1}, "unknown field `los`"),
        ({"connections": {"each": 0.5}}, "connections.each: Expected `float` >= 1"),
        ({"memory_sizes": [40, 8]}, "memory_sizes: not two sizes"),
        ({"trouble": [{"kind": "region-cut", "at": 5.0, "region": 3}]}, "trouble[0].region: no region 3"),
        ({"trouble": [{"kind": "rack-lost", "at": 10.0}]}, "trouble[0].at: after the end at 10"),
        ({"trouble": [{"kind": "moon", "at": 1.0}]}, "Invalid value 'moon'"),
    ],
)
def test_a_plan_that_cannot_be_played_is_refused_with_key_and_reason(changes, reason):
    with pytest.raises(ScenarioError, match="^plan: ") as error:
        plan(**changes)
    assert reason in str(error.value)


def test_the_examples_can_be_played():
    plans = [read_plan(path) for path in sorted(EXAMPLES.glob("*.toml"))]
    assert {one.total_balancers for one in plans} >= {50, 200, 4800}
    assert resize_plan(read_plan(EXAMPLES / "target.toml"), 800).servers == 1000


def test_a_run_stops_with_one_line_when_memory_runs_out(tmp_path, capsys):
    file = tmp_path / "fat.toml"
    file.write_text('name = "fat"\nbalancers = 12\nmemory_sizes = []\nlimits = { memory_mb = 5 }')
    assert cli.main(["scale", "run", str(file), "--quiet"]) == 2
    said = capsys.readouterr().err.splitlines()
    assert len(said) == 1 and "over the limit of 5 MB: stopped" in said[0]


def test_the_limit_of_memory_is_half_of_the_machine_at_most():
    assert MemoryGuard(1e9).limit_mb == MemoryGuard().limit_mb == pytest.approx(machine_mb() / 2)
    assert MemoryGuard(5).limit_mb == 5


def test_a_sweep_fits_its_sizes_and_makes_a_page(tmp_path):
    file, out, page = tmp_path / "tiny.toml", tmp_path / "out.json", tmp_path / "page.html"
    file.write_text("""name = "tiny"
balancers = 6
servers = 9
zones = 1
regions = 1
warm_up = 2.5
duration = 2.0
memory_sizes = []
connections = { servers = 4 }
""")
    assert (
        cli.main(
            ["scale", "sweep", str(file), "--sizes=6,12,24", "--quiet", f"--json={out}", f"--report={page}"]
        )
        == 0
    )
    told = json.loads(out.read_text())
    assert [result["servers"] for result in told["results"]] == [9, 18, 36]
    grown = next(fit for fit in told["fits"] if (fit["role"], fit["key"]) == ("aggregator", "in"))
    assert 0.8 < grown["slope"] < 1.2 and grown["error"] is not None
    assert all((fit["breaks_at"] or 0) <= 48_000 for fit in told["fits"])
    assert "budget 3000" in page.read_text() and "aggregator" in page.read_text()


def test_a_process_is_ended_by_us_when_we_are_interrupted_while_it_works():
    seen = []

    def interrupted(process, asked):
        seen.append(process.pid)
        raise KeyboardInterrupt

    with mock.patch.object(subprocess.Popen, "communicate", interrupted), pytest.raises(KeyboardInterrupt):
        run.run_child("run", plan(duration=3600.0), 1, True)
    assert len(seen) == 1 and gone(seen)  # and not by our own end


def test_a_process_that_cannot_do_it_says_why():
    with pytest.raises(ScenarioError, match="over the limit of 5 MB: stopped$"):
        run.run_child("run", plan(limits={"memory_mb": 5}), 1, True)


def test_memory_of_a_balancer_is_the_difference_of_two_sizes():
    """Before the same servers, whatever else a process takes."""

    def child(kind, asked, seed, quiet, size):
        assert kind == "weigh" and (asked.servers, asked.lean, asked.total_balancers) == (18, False, 12)
        return {"rss_mb": 100.0 + 0.25 * size}

    with mock.patch.object(run, "run_child", child):
        assert run.memory_per_balancer(plan(memory_sizes=[8, 40], lean=True), 1) == 0.25


def test_roles_go_by_what_was_done_and_heads_count_with_each_datagram():
    plain, aggregator = figures.Measurements(), figures.Measurements()
    plain.count_sent(b"\x02" + bytes(6), 1, False)  # two records, to one
    aggregator.count_received(b"\x02" + bytes(6))
    aggregator.count_sent(b"\x03" + bytes(3), 9, True)
    plain.count_received(b"\x03" + bytes(3))
    plain.list_in = 100
    told = {
        name: figures.role_counts(some, 2.0) for name, some in figures.by_role([plain, aggregator]).items()
    }
    assert {name: one["balancers"] for name, one in told.items()} == {
        "plain": 1,
        "aggregator": 1,
        "busiest": 1,
    }
    assert told["plain"]["wire"] == {
        "in": (4 + 28 + 100) / 2,
        "out": (7 + 28) / 2,
        "fan": (7 + 28) / 2,
        "most": (4 + 28 + 100 + 7 + 28) / 2,
    }
    assert told["aggregator"]["wire"]["fan"] == 9 * (4 + 28) / 2 and told["aggregator"]["wire"]["out"] == 16.0
    assert told["busiest"] == told["aggregator"] and told["aggregator"]["forms"] == {"3": 1}
    assert (told["plain"]["total"]["records_out"], told["plain"]["total"]["records_in"]) == (2, 1)
    times = {name: {"core_most": 0.04} for name in told}
    over = {(row["role"], row["what"]): row["over"] for row in figures.budgets(told, times, 65.0)}
    assert over["plain", "core"] and over["plain", "memory MB"] and not over["plain", "bytes a second"]


def test_scale_roles_is_handed_its_own_arguments(monkeypatch):
    seen = []
    fake = types.SimpleNamespace(main=lambda arguments: seen.append(arguments) or 3)
    monkeypatch.setitem(sys.modules, "bellrack.lab.scale.roles", fake)
    monkeypatch.setattr("bellrack.lab.scale.roles", fake, raising=False)
    assert cli.main(["scale", "roles", "--of=parser", "--json=-"]) == 3
    assert seen == [["--of=parser", "--json=-"]]


def test_a_sweep_that_stops_tells_the_sizes_that_are_done(tmp_path, capsys):
    file, out = tmp_path / "tiny.toml", tmp_path / "out.json"
    file.write_text('name = "tiny"\nbalancers = 6\nservers = 9\nmemory_sizes = []\nduration = 1.0')

    def child(kind, asked, seed, quiet):
        if asked.balancers > 6:
            raise ScenarioError("scale: stopped")
        return run.play(asked, seed, quiet)

    with mock.patch.object(run, "run_child", child):
        assert cli.main(["scale", "sweep", str(file), "--sizes=6,12", "--quiet", f"--json={out}"]) == 2
    assert [result["balancers"] for result in json.loads(out.read_text())["results"]] == [6]
    assert capsys.readouterr().err == "bellrack lab: scale: stopped\n"


def test_an_interrupted_sweep_ends_its_processes(tmp_path):
    file = tmp_path / "long.toml"
    file.write_text('name = "long"\nbalancers = 12\nservers = 18\nduration = 3600.0\nmemory_sizes = []')
    process = subprocess.Popen(
        [sys.executable, "-m", "bellrack", "lab", "scale", "sweep", file, "--sizes=12,24", "--quiet"],
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        start_new_session=True,
    )
    try:
        started = until(lambda: children(process.pid), 60.0)
        os.kill(process.pid, signal.SIGINT)
        _, said = process.communicate(timeout=60)
    finally:
        process.kill()
    assert process.returncode == 130 and b"interrupted" in said and b"Traceback" not in said
    assert gone(started)


def real_plan(**changes):
    return plan(
        **(
            {
                "time": "real",
                "balancers": 6,
                "real": 3,
                "servers": 9,
                "warm_up": 3.0,
                "duration": 2.0,
                "clients": {"standing": 2, "life": 1.0},
            }
            | changes
        )
    )


def test_hollow_and_real_balancers_hear_one_another_on_real_sockets():
    """A real one speaks for all: it hears the hollow ones and the other real ones, and each hears it."""

    class Enough(Exception): ...

    def look(at):
        broadcast = any(tier.measurements[number].broadcasts for number in tier.real)
        told = all(sum(node.balancer.fleet_load().values()) for node in tier.nodes.values())  # what all hold
        if (
            broadcast
            and told
            and tier.client_outcomes["up"]
            and all(one.in_datagrams and one.out_datagrams for one in tier.measurements)
        ):
            raise Enough

    async def played():
        nonlocal tier
        tier = real.RealTier(
            real_plan(warm_up=0.0, duration=60.0), 1, MemoryGuard(), asyncio.get_running_loop()
        )
        try:
            await tier.play(look)
        finally:
            await tier.finish()

    tier = None
    with use_discovery_request(DiscoveryRequest), pytest.raises(Enough):
        asyncio.run(played())
    assert not any(node.counters["faults"] for node in tier.nodes.values())
    assert all(len(node.balancer.listing.ready) == 9 for node in tier.nodes.values())
    pids = [process.process.pid for process in tier.processes.values()]
    assert len(pids) == 3 and gone(pids)


def test_a_real_run_stops_with_its_processes_when_memory_runs_out():
    class Mean(MemoryGuard):
        def check(self, when, children=()):
            super().check(when, children)
            if children:
                self.limit_mb = 0.0  # from the second look on

    seen = []
    with mock.patch.object(
        real.BalancerProcess, "kill", autospec=True, side_effect=real.BalancerProcess.kill
    ) as kill:
        with pytest.raises(ScenarioError, match="stopped"):
            real.play(real_plan(duration=60.0), 1, Mean(), seen.append)
        pids = [call.args[0].process.pid for call in kill.call_args_list]
    assert len(pids) == 3 and gone(pids)


def test_an_interrupted_run_on_real_sockets_ends_its_processes(tmp_path):
    file = tmp_path / "long.toml"
    file.write_text("""name = "long"
time = "real"
balancers = 6
real = 3
duration = 3600.0
memory_sizes = []
""")
    process = subprocess.Popen(
        [sys.executable, "-m", "bellrack", "lab", "scale", "run", file, "--quiet"],
        cwd=ROOT,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        start_new_session=True,
    )
    try:
        started = until(lambda: len(children(process.pid)) == 3 and children(process.pid), 60.0)
        os.kill(process.pid, signal.SIGINT)
        _, said = process.communicate(timeout=60)
    finally:
        process.kill()
    assert process.returncode == 130 and b"interrupted" in said and b"Traceback" not in said
    assert gone(started)
