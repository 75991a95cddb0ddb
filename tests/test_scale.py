"""Scale runs: reproducible counts, budgets, the memory limit, and child processes that end with the run."""

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
from test_lab_live import all_ended, descendants, wait_until

from bellrack.lab import cli
from bellrack.lab.scale import figures, real, run
from bellrack.lab.scale.guard import MemoryGuard, machine_mb
from bellrack.lab.scale.hollow import DiscoveryRequest, use_discovery_request
from bellrack.lab.scale.plan import parse_plan, read_plan, resize_plan
from bellrack.lab.scale.virtual import VirtualDiscoveryRequest, VirtualTier
from bellrack.lab.scenario import ScenarioError

ROOT = Path(__file__).parent.parent
EXAMPLES = ROOT / "examples" / "scale"
# Counts of this version with seed 1. Another mechanism between balancers has other counts: then update these.
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


def run_plan(seed=1, **changes):
    tier = VirtualTier(plan(**changes), seed, MemoryGuard()).play()
    assert not tier.faults
    return tier


def counts(tier, seed=1):
    return run.result_of(tier.plan, seed, tier, tier.guard, None)["counts"]


def test_counts_are_identical_under_another_hash_seed(tmp_path):
    """The plan has restarts, lost datagrams, a lost rack, a partition and groups: each of them draws random
    numbers, so that an order that depends on hashes would change the counts."""
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
    counts_by_run = []
    for hash_seed in ("0", "12345"):
        out = tmp_path / f"{hash_seed}.json"
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
            env=os.environ | {"PYTHONHASHSEED": hash_seed},
        )
        counts_by_run.append(json.loads(out.read_text())["counts"])
    assert counts_by_run[0] == counts_by_run[1]
    assert counts_by_run[0]["tier"]["restarts"] and counts_by_run[0]["tier"]["lost_datagrams"]
    assert counts_by_run[0]["discovery"]["watches"] and counts_by_run[0]["plain"]["total"]["list_lines"]


def test_counts_differ_with_the_seed():
    assert counts(run_plan(seed=1)) != counts(run_plan(seed=2))


def test_among_50_balancers_only_the_aggregator_exceeds_the_byte_budget():
    """The aggregator receives more than the budget of 3 KB per second. As this budget is not met, the test
    expects exact counts with one seed, those of this version."""
    by_role = counts(run_plan(balancers=50, servers=60, list_changes=0.0, restarts=0.0))
    assert by_role["plain"]["balancers"] == 49 and by_role["aggregator"]["balancers"] == 1
    assert by_role["plain"]["wire"]["most"] < figures.BUDGET_BYTES_PER_SECOND
    assert by_role["aggregator"]["total"] == AGGREGATOR_AT_50
    assert by_role["aggregator"]["wire"]["most"] > figures.BUDGET_BYTES_PER_SECOND


def test_bytes_sent_to_all_receivers_equal_bytes_received():
    """This network loses no datagram and has no delay, so that none is in transit when counting begins or
    ends."""
    tier = run_plan(list_changes=0.0, latency={"zone": 0.0, "region": 0.0, "far": 0.0})
    sent, received = (
        sum(getattr(measurements, name) for measurements in tier.measurements)
        for name in ("fan_bytes", "in_bytes")
    )
    assert sent == received > 0


def test_partitioned_region_gets_missed_list_changes_after_the_partition():
    cut = {"kind": "region-cut", "at": 5.0, "region": 1, "lasts": 12.0}
    tier = VirtualTier(plan(trouble=[cut], list_changes=60.0, duration=22.0), 1, MemoryGuard())
    with use_discovery_request(VirtualDiscoveryRequest):
        tier.schedule_events()
        tier.run_to(16.0, lambda elapsed: None)
        versions = [node.server_list.version for node in tier.nodes.values()]
        inside = [node.number for node in tier.nodes.values() if tier.region(node.number % 3) == 1]
        assert max(versions[number] for number in inside) < min(
            version for number, version in enumerate(versions) if number not in inside
        )
        assert tier.lost_datagrams
        tier.run_to(26.0, lambda elapsed: None)
    final = {node.server_list.version for node in tier.nodes.values()}
    assert max(final) > max(versions) and max(final) - min(final) <= 1  # a change may be in transit


def test_restarted_rack_gets_the_whole_list():
    rack = {"kind": "rack-lost", "at": 5.0, "share": 0.25, "lasts": 2.0}
    tier = run_plan(trouble=[rack], list_changes=0.0, restarts=0.0)
    assert tier.restarts == 3 and tier.discovery_stub.measurements.watches == 3
    assert all(len(node.balancer.listing.ready) == 18 and node.alive for node in tier.nodes.values())


def test_lean_balancers_send_as_much_as_full_ones():
    """Sharing the records of servers changes datagrams only through different random draws."""
    lean, full = (
        counts(run_plan(lean=lean, list_changes=0.0, restarts=0.0, duration=12.0))["plain"]
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
def test_invalid_plan_is_rejected_with_key_and_reason(changes, reason):
    with pytest.raises(ScenarioError, match="^plan: ") as error:
        plan(**changes)
    assert reason in str(error.value)


def test_example_plans_are_valid():
    plans = [read_plan(path) for path in sorted(EXAMPLES.glob("*.toml"))]
    assert {example.total_balancers for example in plans} >= {50, 200, 4800}
    assert resize_plan(read_plan(EXAMPLES / "target.toml"), 800).servers == 1000


def test_run_over_the_memory_limit_stops_with_a_one_line_error(tmp_path, capsys):
    file = tmp_path / "fat.toml"
    file.write_text('name = "fat"\nbalancers = 12\nmemory_sizes = []\nlimits = { memory_mb = 5 }')
    assert cli.main(["scale", "run", str(file), "--quiet"]) == 2
    errors = capsys.readouterr().err.splitlines()
    assert len(errors) == 1 and "over the limit of 5 MB: stopped" in errors[0]


def test_memory_limit_is_at_most_half_of_the_machine():
    assert MemoryGuard(1e9).limit_mb == MemoryGuard().limit_mb == pytest.approx(machine_mb() / 2)
    assert MemoryGuard(5).limit_mb == 5


def test_sweep_fits_its_sizes_and_writes_a_report(tmp_path):
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
    written = json.loads(out.read_text())
    assert [result["servers"] for result in written["results"]] == [9, 18, 36]
    received_fit = next(fit for fit in written["fits"] if (fit["role"], fit["key"]) == ("aggregator", "in"))
    assert 0.8 < received_fit["slope"] < 1.2 and received_fit["error"] is not None
    assert all((fit["breaks_at"] or 0) <= 48_000 for fit in written["fits"])
    assert "budget 3000" in page.read_text() and "aggregator" in page.read_text()


def test_interrupt_kills_the_running_child():
    pids = []

    def interrupt(process, task):
        pids.append(process.pid)
        raise KeyboardInterrupt

    with mock.patch.object(subprocess.Popen, "communicate", interrupt), pytest.raises(KeyboardInterrupt):
        run.run_child("run", plan(duration=3600.0), 1, True)
    assert len(pids) == 1 and all_ended(pids)  # while this process still runs


def test_failed_child_reports_its_error():
    with pytest.raises(ScenarioError, match="over the limit of 5 MB: stopped$"):
        run.run_child("run", plan(limits={"memory_mb": 5}), 1, True)


def test_memory_per_balancer_is_computed_from_two_sizes():
    """The difference leaves out the servers, which are the same, and all else that a process needs."""

    def run_child(kind, plan, seed, quiet, size):
        assert kind == "weigh" and (plan.servers, plan.lean, plan.total_balancers) == (18, False, 12)
        return {"rss_mb": 100.0 + 0.25 * size}

    with mock.patch.object(run, "run_child", run_child):
        assert run.memory_per_balancer(plan(memory_sizes=[8, 40], lean=True), 1) == 0.25


def test_roles_depend_on_broadcasts_and_wire_bytes_include_headers():
    plain, aggregator = figures.Measurements(), figures.Measurements()
    plain.count_sent(b"\x02" + bytes(6), 1, False)  # two records, to one receiver
    aggregator.count_received(b"\x02" + bytes(6))
    aggregator.count_sent(b"\x03" + bytes(3), 9, True)
    plain.count_received(b"\x03" + bytes(3))
    plain.list_in = 100
    by_role = {
        name: figures.role_counts(members, 2.0)
        for name, members in figures.by_role([plain, aggregator]).items()
    }
    assert {name: role["balancers"] for name, role in by_role.items()} == {
        "plain": 1,
        "aggregator": 1,
        "busiest": 1,
    }
    assert by_role["plain"]["wire"] == {
        "in": (4 + 28 + 100) / 2,
        "out": (7 + 28) / 2,
        "fan": (7 + 28) / 2,
        "most": (4 + 28 + 100 + 7 + 28) / 2,
    }
    assert (
        by_role["aggregator"]["wire"]["fan"] == 9 * (4 + 28) / 2
        and by_role["aggregator"]["wire"]["out"] == 16.0
    )
    assert by_role["busiest"] == by_role["aggregator"] and by_role["aggregator"]["forms"] == {"3": 1}
    assert (by_role["plain"]["total"]["records_out"], by_role["plain"]["total"]["records_in"]) == (2, 1)
    times = {name: {"core_most": 0.04} for name in by_role}
    over = {(row["role"], row["what"]): row["over"] for row in figures.budgets(by_role, times, 65.0)}
    assert over["plain", "core"] and over["plain", "memory MB"] and not over["plain", "bytes a second"]


def test_scale_roles_command_gets_its_own_arguments(monkeypatch):
    calls = []
    fake = types.SimpleNamespace(main=lambda arguments: calls.append(arguments) or 3)
    monkeypatch.setitem(sys.modules, "bellrack.lab.scale.roles", fake)
    monkeypatch.setattr("bellrack.lab.scale.roles", fake, raising=False)
    assert cli.main(["scale", "roles", "--of=parser", "--json=-"]) == 3
    assert calls == [["--of=parser", "--json=-"]]


def test_failed_sweep_writes_the_results_of_finished_sizes(tmp_path, capsys):
    file, out = tmp_path / "tiny.toml", tmp_path / "out.json"
    file.write_text('name = "tiny"\nbalancers = 6\nservers = 9\nmemory_sizes = []\nduration = 1.0')

    def run_child(kind, plan, seed, quiet):
        if plan.balancers > 6:
            raise ScenarioError("scale: stopped")
        return run.play(plan, seed, quiet)

    with mock.patch.object(run, "run_child", run_child):
        assert cli.main(["scale", "sweep", str(file), "--sizes=6,12", "--quiet", f"--json={out}"]) == 2
    assert [result["balancers"] for result in json.loads(out.read_text())["results"]] == [6]
    assert capsys.readouterr().err == "bellrack lab: scale: stopped\n"


def test_interrupted_sweep_kills_its_children(tmp_path):
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
        started = wait_until(lambda: descendants(process.pid), 60.0)
        os.kill(process.pid, signal.SIGINT)
        _, errors = process.communicate(timeout=60)
    finally:
        process.kill()
    assert process.returncode == 130 and b"interrupted" in errors and b"Traceback" not in errors
    assert all_ended(started)


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


def test_hollow_and_real_balancers_exchange_datagrams_on_real_sockets():
    """A real balancer becomes aggregator: it gets datagrams of hollow and of other real balancers, and all
    get its broadcasts."""

    class AllExchanged(Exception): ...

    def stop_when_all_exchanged(elapsed):
        broadcast = any(tier.measurements[number].broadcasts for number in tier.real)
        loads_known = all(sum(node.balancer.fleet_load().values()) for node in tier.nodes.values())
        if (
            broadcast
            and loads_known
            and tier.client_outcomes["up"]
            and all(counted.in_datagrams and counted.out_datagrams for counted in tier.measurements)
        ):
            raise AllExchanged

    async def run_tier():
        nonlocal tier
        tier = real.RealTier(
            real_plan(warm_up=0.0, duration=60.0), 1, MemoryGuard(), asyncio.get_running_loop()
        )
        try:
            await tier.play(stop_when_all_exchanged)
        finally:
            await tier.finish()

    tier = None
    with use_discovery_request(DiscoveryRequest), pytest.raises(AllExchanged):
        asyncio.run(run_tier())
    assert not any(node.counters["faults"] for node in tier.nodes.values())
    assert all(len(node.balancer.listing.ready) == 9 for node in tier.nodes.values())
    pids = [process.process.pid for process in tier.processes.values()]
    assert len(pids) == 3 and all_ended(pids)


def test_real_run_over_the_memory_limit_kills_its_processes():
    class ShrinkingGuard(MemoryGuard):
        def check(self, when, children=()):
            super().check(when, children)
            if children:
                self.limit_mb = 0.0  # from the second check on

    progress = []
    with mock.patch.object(
        real.BalancerProcess, "kill", autospec=True, side_effect=real.BalancerProcess.kill
    ) as kill:
        with pytest.raises(ScenarioError, match="stopped"):
            real.play(real_plan(duration=60.0), 1, ShrinkingGuard(), progress.append)
        pids = [call.args[0].process.pid for call in kill.call_args_list]
    assert len(pids) == 3 and all_ended(pids)


def test_interrupted_real_run_kills_its_processes(tmp_path):
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
        started = wait_until(lambda: len(descendants(process.pid)) == 3 and descendants(process.pid), 60.0)
        os.kill(process.pid, signal.SIGINT)
        _, errors = process.communicate(timeout=60)
    finally:
        process.kill()
    assert process.returncode == 130 and b"interrupted" in errors and b"Traceback" not in errors
    assert all_ended(started)
