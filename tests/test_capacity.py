"""Tests of the fits, of the measurements of each role, and of the arithmetic in docs/CAPACITY.md."""

import asyncio
import base64
import json
import math
import re
import signal
from pathlib import Path

import pytest

from bellrack.lab.scale import roles, stubs
from bellrack.lab.scale.fit import fit_line, fit_power
from bellrack.lab.scale.roles import aggregator, decisions, hosts, inputs, placements, shutdown
from bellrack.net import lines, recent_ids
from bellrack.net.node import Node
from bellrack.peers import aggregation

SIZES = [50, 100, 200, 400, 800]
PAGE = Path(__file__).parents[1] / "docs" / "CAPACITY.md"
MARKS = ["measured", "extrapolated", "assumed"]


def test_power_fit_is_exact_and_its_standard_error_follows_least_squares():
    fit = fit_power(SIZES, [3.0 * size**1.5 for size in SIZES])
    assert (fit.slope, fit.factor) == (pytest.approx(1.5, abs=1e-12), pytest.approx(3.0, rel=1e-9))
    assert fit.error < 1e-9 and fit.residual < 1e-9
    assert fit.at(4800) == pytest.approx(3.0 * 4800**1.5)
    factors = [1.1, 0.9, 1.1, 0.9, 1.1]
    fit = fit_power(SIZES, [3.0 * size**1.5 * factor for size, factor in zip(SIZES, factors)])
    # Computed by hand: x is -2..2 doublings and y is +-h around the line, apart from its mean. The deviations
    # are symmetric, so the slope does not change.
    x = [math.log(size) for size in SIZES]
    y = [math.log(factor) for factor in factors]
    mean = sum(y) / 5
    squares = sum((value - mean) ** 2 for value in y)
    spread = sum((value - sum(x) / 5) ** 2 for value in x)
    assert fit.slope == pytest.approx(1.5, abs=1e-9)
    assert fit.error == pytest.approx(math.sqrt(squares / 3 / spread), rel=1e-6)
    assert fit.residual == pytest.approx(
        max(abs(math.exp(mean) / factor - 1) for factor in factors), rel=1e-6
    )


def test_line_fit_is_exact_and_weights_small_sizes_as_much_as_large_ones():
    fit = fit_line(SIZES, [7e7 + 16.5 * size for size in SIZES])
    assert (fit.base, fit.per_unit) == (pytest.approx(7e7, rel=1e-9), pytest.approx(16.5, rel=1e-5))
    assert fit.error < 1e-3 and fit.residual < 1e-9
    assert fit.at(4800) == pytest.approx(7e7 + 16.5 * 4800)
    flat = fit_line(SIZES, [247] * 5)
    assert (flat.base, flat.per_unit, flat.residual) == (
        pytest.approx(247),
        pytest.approx(0, abs=1e-9),
        pytest.approx(0, abs=1e-9),
    )
    assert flat.per_unit == 0 and fit_power(SIZES, [247] * 5).error == 0
    assert fit_line(SIZES, [3 * n for n in SIZES]).base == 0
    # The largest size has a value a tenth too high. With plain least squares, the fit would be off by half at
    # the smallest size.
    fit = fit_line([10, 100, 1000, 10000], [11.0, 101.0, 1001.0, 11000.0])
    assert abs(fit.at(10) / 11.0 - 1) < 0.05 and 0.04 < fit.residual < 0.1
    # The error is that of weighted least squares, computed by hand with 1 / value as weights.
    sizes, values = [1.0, 2.0, 3.0, 4.0], [2.0, 2.9, 4.1, 5.0]
    fit = fit_line(sizes, values)
    w = [1 / value**2 for value in values]
    s, sx, sxx = sum(w), sum(a * b for a, b in zip(w, sizes)), sum(a * b * b for a, b in zip(w, sizes))
    variance = sum(a * (fit.at(n) - v) ** 2 for a, n, v in zip(w, sizes, values)) / 2
    assert fit.error == pytest.approx(math.sqrt(variance * s / (s * sxx - sx**2)), rel=1e-6)


@pytest.mark.parametrize("sizes, values", [([1, 2], [1, 2]), ([1, 1, 1], [1, 2, 3]), ([1, 2, 3], [1, 2])])
def test_rejects_fewer_than_three_different_sizes_and_unequal_lengths(sizes, values):
    for fit in (fit_line, fit_power):
        with pytest.raises(ValueError):
            fit(sizes, values)


def test_power_fit_rejects_zero_and_line_fit_accepts_it():
    with pytest.raises(ValueError):
        fit_power([1, 2, 3], [0, 1, 2])
    assert fit_line([0, 1, 2], [0, 2, 4]).residual == 0.0
    assert fit_line([1, 2, 3], [0, 1, 4]).residual == math.inf


def quick_measurements(role):
    return {(result.name, result.of): result for result in roles.ROLES[role](True)}


@pytest.mark.parametrize("role", ["aggregator", "discovery-client", "discovery-service", "configuration"])
def test_counted_values_of_a_role_are_the_same_in_each_run(role):
    first, second = (
        [result for result in quick_measurements(role).values() if result.counted] for _ in range(2)
    )
    assert first and [(result.name, result.values) for result in first] == [
        (result.name, result.values) for result in second
    ]
    assert all(len(result.sizes) >= 4 and result.fit for result in first)


def test_simulation_counts_the_datagrams_of_a_tier():
    """A reporting balancer sends two datagrams each half second while its pairs fit into one: its records and
    its pairs."""
    simulation = aggregator.AggregationSimulation(12)
    costs = simulation.run(3.0)
    assert costs["datagrams"] == 2 * 2 * 11
    assert costs["in"] < 2 * 2 * 11 * 256
    assert costs["out"] == pytest.approx(11 * costs["plain"] + simulation.reply_bytes / 3.0)
    receiver = simulation.members[1]
    assert receiver.aggregator == 0 and len(receiver.totals) == len(simulation.servers)
    held = sum(len(held) for held in simulation.connections[1:])
    total = sum(total for total, _ in simulation.members[0].totals.values())
    assert total == pytest.approx(held, rel=0.2)  # values are rounded, and small changes wait for 8 s


def test_measured_node_applies_a_full_list_and_a_change():
    with hosts.SocketlessNode() as node:
        request = hosts.open_watch(node)
        request.feed(inputs.http_chunk(inputs.list_line(300)))
        assert len(node.servers) == 300 and node.server_list.version == 1
        request.feed(inputs.http_chunk(inputs.list_line(300, "draining", full=False, generation=2)))
        assert node.server_list.version == 2 and node.counters["list_lines"] == 2
        assert sum(server.state == "draining" for server in node.servers.values()) == 1
        assert not request.closed and not node.counters["list_failures"]


def test_generated_list_entries_equal_those_that_a_node_writes():
    with hosts.SocketlessNode() as node:
        node.server_list.on_list(lines.parse_list(json.loads(inputs.list_line(3))))
        entries = node.hot_restart.snapshot()["list"]["instances"]
    assert entries == inputs.list_entries(3)


def test_measured_decisions_find_a_server():
    assert decisions.decision_time_us(12, 1, 5) > 0 and decisions.decision_time_us(12, 10, 5) > 0


def test_reports_an_error_when_a_decision_finds_no_server(monkeypatch):
    monkeypatch.setattr(hosts.StubHost, "send", lambda *_: None)
    with pytest.raises(stubs.ScaleError):
        decisions.decision_time_us(12, 1, 5)


def test_number_of_shared_short_ids_agrees_with_the_formula():
    for count in (600, 3000):
        expected = placements.expected_shared_short_ids(count)
        assert abs(placements.shared_short_ids(count) - expected) < 5 * math.sqrt(expected)
    short_ids = [lines.id_hash(f"server-{n:06d}") & aggregation.SHORT_ID_MASK for n in range(3000)]
    assert placements.shared_short_ids(3000) == sum(short_ids.count(short_id) > 1 for short_id in short_ids)


def test_placements_are_limited_to_the_maximum():
    for number in (0, 5):
        assert len(placements.aggregation_with_placements(1000, number).placements) == 1000
    assert (
        len(placements.aggregation_with_placements(aggregation.MAX_PLACEMENTS + 5, 5).placements)
        == aggregation.MAX_PLACEMENTS
    )


def test_hot_restart_snapshot_grows_with_the_ids_of_open_calls():
    with hosts.SocketlessNode() as node:
        empty_bytes = len(json.dumps(node.hot_restart.snapshot()))
        node.limits.open_ids = {lines.id_hash("c00000001"): shutdown.OpenRequest("c00000001")}
        record_bytes = len(base64.b64encode(bytes(recent_ids.RECORD_BYTES)))
        snapshot = json.dumps(node.hot_restart.snapshot())
        assert len(snapshot) == empty_bytes + len('"c00000001"') + record_bytes
    assert isinstance(node, Node)


def test_command_prints_sizes_values_and_fits(capsys, tmp_path):
    file = tmp_path / "report.json"
    assert roles.main(["--role=discovery-service", "--quick", f"--json={file}"]) == 0
    text = capsys.readouterr().out
    assert "discovery-service: bytes out of a change to all [B] by watches, counted" in text
    assert "largest residual 0.0%" in text and "4800:" in text
    report = json.loads(file.read_text())
    assert report["quick"] and not report["not measured"]
    assert {result["fit"]["form"] for result in report["figures"]} == {"line"}
    assert roles.main(["--role=discovery-service", "--quick", "--json=-"]) == 0
    again = json.loads(capsys.readouterr().out)
    assert again["figures"] == report["figures"]


def test_command_reports_an_unknown_role_and_a_failed_one(capsys, monkeypatch):
    assert roles.main(["--role=nonsense"]) == 2
    assert "no role 'nonsense'" in capsys.readouterr().err

    def failing_role(quick):
        raise stubs.ScaleError("the process did not start")
        yield

    monkeypatch.setitem(roles.ROLES, "start", failing_role)
    assert roles.main(["--role=start", "--json=-"]) == 2
    caught = capsys.readouterr()
    assert json.loads(caught.out)["not measured"] == [{"role": "start", "why": "the process did not start"}]
    assert "start: not measured: the process did not start" in caught.err


def test_failed_start_raises_an_error_and_cleans_up(tmp_path):
    async def run():
        async with stubs.StubEnvironment(
            inputs.deployment_settings(trafficTypes=[]), inputs.list_entries
        ) as environment:
            with pytest.raises(stubs.ScaleError, match="ended"):
                await environment.start_child()
            return environment.folder.name, environment.children[0]

    folder, child = asyncio.run(run())
    assert not Path(folder).exists() and child.process.poll() is not None


def test_recognizes_whether_the_successor_got_the_listening_socket(monkeypatch):
    monkeypatch.setattr(stubs, "SETTLE_SECONDS", 0.0)

    async def run(address, after):
        monkeypatch.setattr(
            stubs.ChildProcess,
            "log_text",
            lambda self: f"event=serving name=b0 listen={address} after={self is children[-1] and after}",
        )
        async with stubs.StubEnvironment(inputs.deployment_settings(), inputs.list_entries) as environment:
            children = environment.children
            return await stubs.successor_gets_listening_socket(environment)

    assert asyncio.run(run("127.0.0.1:1", True)) and not asyncio.run(run("127.0.0.1:1", False))


def test_environment_establishes_connections_and_relays_lines(monkeypatch):
    monkeypatch.setattr(stubs, "SETTLE_SECONDS", 0.0)

    async def run():
        async with stubs.StubEnvironment(inputs.deployment_settings(), inputs.list_entries) as environment:
            memory_bytes = await stubs.memory_by_connections(environment, [3, 6])
            spent_ns = await stubs.relay_time_ns(environment, environment.children[0], [5], 100)
            return (
                memory_bytes,
                spent_ns,
                len(environment.server_transports),
                len(environment.client_transports),
                environment.children,
            )

    memory_bytes, spent_ns, at_servers, at_clients, children = asyncio.run(run())
    assert min(memory_bytes) > 0 and spent_ns[0] > 0 and at_servers == at_clients == 6
    assert [child.process.returncode for child in children] == [-signal.SIGKILL]  # no process remains


# The page docs/CAPACITY.md.


def number_of(text):
    """Parses a number of the page, such as `1,234` or 5%."""
    return float(text.strip(" `").replace(",", "").removesuffix("%"))


def tables(first_columns):
    """Yields the rows of all tables of the page with these first columns, as dicts by column name."""
    page_lines = PAGE.read_text(encoding="utf-8").splitlines()
    for index, line in enumerate(page_lines):
        if line.startswith(f"| {first_columns} |"):
            columns = [cell.strip() for cell in line.strip("|").split("|")]
            for row in page_lines[index + 2 :]:
                if not row.startswith("|"):
                    break
                cells = [cell.strip() for cell in row.strip("|").split("|")]
                assert len(cells) == len(columns), row
                yield dict(zip(columns, cells))


class Slope:
    """A row of the table of slopes. A call returns the measured value at a size, or that of the formula."""

    def __init__(self, row):
        self.row, self.unmeasured = row, 0  # number of calls that used the formula
        self.values = {
            int(size): number_of(value)
            for size, _, value in (pair.partition(":") for pair in row["values by n"].split(";"))
        }

    def __call__(self, size):
        if size in self.values:
            return self.values[size]
        self.unmeasured += 1
        return self.formula(size)

    def formula(self, size):
        return eval(self.row["formula"].strip("`"), {"__builtins__": {}}, {"n": size})


def page():
    """Returns the slopes by id, the rows of named values, these values, and the rows of the results."""
    slopes = {row["id"]: Slope(row) for row in tables("id")}
    names = {row["name"].strip("`"): row for row in tables("name")}
    values = {name: number_of(row["value"]) for name, row in names.items()}
    return slopes, names, values, list(tables("role | resource"))


def evaluate(row, slopes, values, **others):
    """Evaluates the row's formula; `others` replaces named values."""
    return eval(row["how"].strip("`"), {"__builtins__": {}}, slopes | values | others)


def is_close(value, text, digits=4):
    """Whether the value agrees with the page's number, which is rounded to `digits` significant digits."""
    return math.isclose(value, number_of(text), rel_tol=0.6 * 10 ** (1 - digits), abs_tol=1e-12)


def test_each_row_of_the_page_names_a_command_a_mark_and_a_mechanism():
    slopes, names, _, rows = page()
    assert len(rows) > 50 and len(slopes) > 40
    for row in rows:
        used = set(re.findall(r"\b[A-Z]\d+(?=\()", row["how"]))
        commands = {slopes[name].row["command"] for name in used} or {"arithmetic"}
        assert set(row["command"].split(", ")) == commands, row
        assert row["mark"] in MARKS and row["mechanism"] and row["role"] and row["resource"], row
        named = set(re.findall(r"[a-z_]{2,}", row["how"]))
        assert named <= set(names), row
        if any(names[name]["where from"].startswith("assumed") for name in named) or not used:
            assert row["mark"] == "assumed", row
    for slope in slopes.values():
        assert slope.row["command"].strip("`") in roles.ROLES
        assert len(slope.values) >= 4
    assert all(row["if it doubles"] and row["where from"] for row in names.values())


def test_results_beyond_the_measured_sizes_are_not_marked_as_measured():
    slopes, _, values, rows = page()
    for row in rows:
        for slope in slopes.values():
            slope.unmeasured = 0
        evaluate(row, slopes, values)
        if any(slope.unmeasured for slope in slopes.values()):
            assert row["mark"] != "measured", row


def test_each_result_follows_from_the_slopes_and_each_ratio_from_its_budget():
    slopes, _, values, rows = page()
    for row in rows:
        at_target = row["at target"].split()[0]
        assert is_close(evaluate(row, slopes, values), at_target), row
        if row["budget"] == "none":
            assert row["ratio"] == row["breaks at"] == "-", row
        else:
            assert is_close(number_of(at_target) / number_of(row["budget"]), row["ratio"], 3), row


def test_formulas_meet_the_budget_at_the_stated_break_points():
    slopes, _, values, rows = page()
    found = 0
    for row in rows:
        if row["breaks at"] not in ("-", "no size"):
            name, size = row["breaks at"].split()
            below, above = (
                evaluate(row, slopes, values, **{name: number_of(size) * factor}) for factor in (0.99, 1.01)
            )
            assert below <= number_of(row["budget"]) <= above, row
            found += 1
            exceeded = number_of(size) < values[name]
            assert exceeded == (number_of(row["ratio"]) > 1), row
    assert found > 20


def test_formulas_of_the_page_are_the_fits_of_its_values():
    slopes, _, _, _ = page()
    for name, slope in slopes.items():
        if slope.row["formula"] == "none":
            continue
        sizes = list(slope.values)
        fit_values = fit_power if "**" in slope.row["formula"] else fit_line
        fit = fit_values(sizes, list(slope.values.values()))
        for size in sizes:
            assert slope.formula(size) == pytest.approx(fit.at(size), rel=2e-3), (name, size)
        assert number_of(slope.row["residual"]) == pytest.approx(100 * fit.residual, abs=0.2), name
        assert number_of(slope.row["error"]) == pytest.approx(
            fit.error,
            rel=0.1,
            abs=1e-3 * abs(fit.slope if "**" in slope.row["formula"] else fit.per_unit or 1.0),
        ), name


def test_counted_values_of_the_page_are_current():
    """Checks values that are cheap to count exactly: a change of a message format requires new values."""
    slopes, _, _, _ = page()
    assert all(slopes["C1"].values[n] == len(inputs.list_line(n)) for n in (60, 6000))
    assert slopes["G5"].values[600] == placements.shared_short_ids(600)
    assert slopes["F1"].values[4800] == len(json.dumps(inputs.balancer_config(4800)))
    change = inputs.list_line(6000, "draining", full=False, generation=2)
    assert slopes["C2"].values[6000] == len(inputs.http_chunk(change))
