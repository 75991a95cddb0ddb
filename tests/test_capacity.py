"""The fits of the scale run, what it counts of each role, and the arithmetic of docs/CAPACITY.md."""

import asyncio
import json
import math
import re
import signal
from pathlib import Path

import pytest

from bellrack.lab.scale import roles, stubs
from bellrack.lab.scale.fit import fit_line, fit_power
from bellrack.net import lines
from bellrack.net.node import Node
from bellrack.peers import aggregation

SIZES = [50, 100, 200, 400, 800]
PAGE = Path(__file__).parents[1] / "docs" / "CAPACITY.md"
MARKS = ["measured", "extrapolated", "assumed"]


def test_a_power_is_found_to_the_digit_and_its_error_is_that_of_the_textbook():
    fit = fit_power(SIZES, [3.0 * size**1.5 for size in SIZES])
    assert (fit.slope, fit.factor) == (pytest.approx(1.5, abs=1e-12), pytest.approx(3.0, rel=1e-9))
    assert fit.error < 1e-9 and fit.residual < 1e-9
    assert fit.at(4800) == pytest.approx(3.0 * 4800**1.5)
    bent = [1.1, 0.9, 1.1, 0.9, 1.1]
    fit = fit_power(SIZES, [3.0 * size**1.5 * by for size, by in zip(SIZES, bent)])
    # By hand: x = -2..2 doublings, y = +-h around the line but for its mean; slope unchanged by symmetry.
    x = [math.log(size) for size in SIZES]
    y = [math.log(by) for by in bent]
    mean = sum(y) / 5
    squares = sum((one - mean) ** 2 for one in y)
    spread = sum((one - sum(x) / 5) ** 2 for one in x)
    assert fit.slope == pytest.approx(1.5, abs=1e-9)
    assert fit.error == pytest.approx(math.sqrt(squares / 3 / spread), rel=1e-6)
    assert fit.residual == pytest.approx(max(abs(math.exp(mean) / by - 1) for by in bent), rel=1e-6)


def test_a_line_is_found_to_the_digit_and_small_sizes_count_as_much_as_large_ones():
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
    # A tenth too much at the largest size: by plain least squares the smallest would be off by half.
    off = fit_line([10, 100, 1000, 10000], [11.0, 101.0, 1001.0, 11000.0])
    assert abs(off.at(10) / 11.0 - 1) < 0.05 and 0.04 < off.residual < 0.1
    # The error is that of weighted least squares, by hand for weights of one over the value.
    sizes, values = [1.0, 2.0, 3.0, 4.0], [2.0, 2.9, 4.1, 5.0]
    fit = fit_line(sizes, values)
    w = [1 / value**2 for value in values]
    s, sx, sxx = sum(w), sum(a * b for a, b in zip(w, sizes)), sum(a * b * b for a, b in zip(w, sizes))
    left = sum(a * (fit.at(n) - v) ** 2 for a, n, v in zip(w, sizes, values)) / 2
    assert fit.error == pytest.approx(math.sqrt(left * s / (s * sxx - sx**2)), rel=1e-6)


@pytest.mark.parametrize("sizes, values", [([1, 2], [1, 2]), ([1, 1, 1], [1, 2, 3]), ([1, 2, 3], [1, 2])])
def test_two_sizes_are_no_slope(sizes, values):
    for form in (fit_line, fit_power):
        with pytest.raises(ValueError):
            form(sizes, values)


def test_a_power_of_nought_is_refused_and_a_line_through_it_is_not():
    with pytest.raises(ValueError):
        fit_power([1, 2, 3], [0, 1, 2])
    assert fit_line([0, 1, 2], [0, 2, 4]).residual == 0.0
    assert fit_line([1, 2, 3], [0, 1, 4]).residual == math.inf


def figures(role):
    return {(one.name, one.of): one for one in roles.ROLES[role](True)}


@pytest.mark.parametrize("role", ["aggregator", "discovery-client", "discovery-service", "configuration"])
def test_what_a_role_counts_repeats_to_the_digit(role):
    first, second = ([one for one in figures(role).values() if one.counted] for _ in range(2))
    assert first and [(one.name, one.values) for one in first] == [(one.name, one.values) for one in second]
    assert all(len(one.sizes) >= 4 and one.fit for one in first)


def test_a_tier_counts_its_datagrams():
    """4 a second and reporting balancer while their pairs fit into one datagram: records and pairs, twice."""
    tier = roles.Tier(12)
    played = tier.play(3.0)
    assert played["datagrams"] == 2 * 2 * 11
    assert played["in"] < 2 * 2 * 11 * 256
    assert played["out"] == pytest.approx(11 * played["plain"] + tier.replies / 3.0)
    heard = tier.all[1]
    assert heard.aggregator == 0 and len(heard.totals) == len(tier.servers)
    held = sum(len(held) for held in tier.standing[1:])
    told = sum(total for total, _ in tier.all[0].totals.values())
    assert told == pytest.approx(held, rel=0.2)  # a record's value is rounded; small changes wait for 8 s


def test_the_list_that_is_measured_is_taken_in_whole_and_a_change_too():
    with roles.Alone() as node:
        question = roles.watching(node)
        question.feed(roles.chunk(roles.listing(300)))
        assert len(node.servers) == 300 and node.server_list.version == 1
        question.feed(roles.chunk(roles.listing(300, "draining", whole=False, generation=2)))
        assert node.server_list.version == 2 and node.counters["list_lines"] == 2
        assert sum(server.state == "draining" for server in node.servers.values()) == 1
        assert not question.closed and not node.counters["list_failures"]


def test_the_played_entries_are_what_the_program_itself_writes():
    with roles.Alone() as node:
        node.server_list.on_list(lines.parse_list(json.loads(roles.listing(3))))
        told = node.hot_restart.snapshot()["list"]["instances"]
    assert told == roles.rows(3)


def test_a_decision_that_is_measured_finds_its_server():
    assert roles.decision_time(12, 1, 5) > 0 and roles.decision_time(12, 10, 5) > 0


def test_no_room_among_servers_is_said_and_not_measured(monkeypatch):
    monkeypatch.setattr(roles.Host, "send", lambda *_: None)
    with pytest.raises(stubs.ScaleError):
        roles.decision_time(12, 1, 5)


def test_servers_that_share_a_short_identifier_are_as_many_as_the_formula_says():
    for count in (600, 3000):
        expected = roles.unspoken_by_formula(count)
        assert abs(roles.unspoken(count) - expected) < 5 * math.sqrt(expected)
    names = [lines.id_hash(f"server-{n:06d}") & aggregation.SHORT_ID_MASK for n in range(3000)]
    assert roles.unspoken(3000) == sum(names.count(name) > 1 for name in names)


def test_placements_end_at_their_bound():
    for own in (0, 5):
        assert len(roles.placed(1000, own).placements) == 1000
    assert len(roles.placed(aggregation.MAX_PLACEMENTS + 5, 5).placements) == aggregation.MAX_PLACEMENTS


def test_what_a_process_tells_the_next_grows_with_servers_and_with_ids():
    with roles.Alone() as node:
        bare = len(json.dumps(node.hot_restart.snapshot()))
        node.limits.open_ids = {"c00000001": None}
        assert len(json.dumps(node.hot_restart.snapshot())) == bare + len('"c00000001"')
    assert isinstance(node, Node)


def test_the_command_prints_sizes_values_and_fits(capsys, tmp_path):
    file = tmp_path / "report.json"
    assert roles.main(["--role=discovery-service", "--quick", f"--json={file}"]) == 0
    text = capsys.readouterr().out
    assert "discovery-service: bytes out of a change to all [B] by watches, counted" in text
    assert "largest residual 0.0%" in text and "4800:" in text
    report = json.loads(file.read_text())
    assert report["quick"] and not report["not measured"]
    assert {one["fit"]["form"] for one in report["figures"]} == {"line"}
    assert roles.main(["--role=discovery-service", "--quick", "--json=-"]) == 0
    again = json.loads(capsys.readouterr().out)
    assert again["figures"] == report["figures"]


def test_a_role_that_nobody_has_and_one_that_fails_are_said(capsys, monkeypatch):
    assert roles.main(["--role=nonsense"]) == 2
    assert "no role 'nonsense'" in capsys.readouterr().err

    def fails(quick):
        raise stubs.ScaleError("no luck")
        yield

    monkeypatch.setitem(roles.ROLES, "start", fails)
    assert roles.main(["--role=start", "--json=-"]) == 2
    caught = capsys.readouterr()
    assert json.loads(caught.out)["not measured"] == [{"role": "start", "why": "no luck"}]
    assert "start: not measured: no luck" in caught.err


def test_a_child_that_cannot_serve_is_named_and_nothing_is_left(tmp_path):
    async def play():
        async with stubs.StandIns(roles.deployment(trafficTypes=[]), roles.rows) as around:
            with pytest.raises(stubs.ScaleError, match="ended"):
                await around.start()
            return around.folder.name, around.children[0]

    folder, child = asyncio.run(play())
    assert not Path(folder).exists() and child.process.poll() is not None


def test_a_process_that_is_met_and_one_that_is_not_are_told_apart(monkeypatch):
    monkeypatch.setattr(stubs, "SETTLE", 0.0)

    async def play(name, after):
        monkeypatch.setattr(
            stubs.Child,
            "text",
            lambda self: f"event=serving name=b0 listen={name} after={self is children[-1] and after}",
        )
        async with stubs.StandIns(roles.deployment(), roles.rows) as around:
            children = around.children
            return await stubs.met(around)

    assert asyncio.run(play("127.0.0.1:1", True)) and not asyncio.run(play("127.0.0.1:1", False))


def test_connections_that_stand_are_counted_and_lines_come_through(monkeypatch):
    monkeypatch.setattr(stubs, "SETTLE", 0.0)

    async def play():
        async with stubs.StandIns(roles.deployment(), roles.rows) as around:
            memory = await stubs.idle_pairs(around, [3, 6])
            spent = await stubs.relayed(around, around.children[0], [5], 100)
            return memory, spent, len(around.upstream), len(around.clients), around.children

    memory, spent, upstream, clients, children = asyncio.run(play())
    assert min(memory) > 0 and spent[0] > 0 and upstream == clients == 6
    assert [child.process.returncode for child in children] == [-signal.SIGKILL]  # none is left behind


# The page.


def figure_of(text):
    """A number as the page writes it."""
    return float(text.strip(" `").replace(",", "").removesuffix("%"))


def tables(head):
    """The rows of all tables of the page with these first columns, as mappings by column."""
    lines_of = PAGE.read_text(encoding="utf-8").splitlines()
    for at, line in enumerate(lines_of):
        if line.startswith(f"| {head} |"):
            columns = [cell.strip() for cell in line.strip("|").split("|")]
            for row in lines_of[at + 2 :]:
                if not row.startswith("|"):
                    break
                cells = [cell.strip() for cell in row.strip("|").split("|")]
                assert len(cells) == len(columns), row
                yield dict(zip(columns, cells))


class Slope:
    """A row of the slopes: what was measured at a size, else its formula."""

    def __init__(self, row):
        self.row, self.unmeasured = row, 0
        self.values = {
            int(size): figure_of(value)
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
    slopes = {row["id"]: Slope(row) for row in tables("id")}
    names = {row["name"].strip("`"): row for row in tables("name")}
    values = {name: figure_of(row["value"]) for name, row in names.items()}
    return slopes, names, values, list(tables("role | resource"))


def result(row, slopes, values, **others):
    """What the row's formula gives, with other values of names."""
    return eval(row["how"].strip("`"), {"__builtins__": {}}, slopes | values | others)


def near(value, text, digits=4):
    """Is it what is written, to the digits that the page gives?"""
    return math.isclose(value, figure_of(text), rel_tol=0.6 * 10 ** (1 - digits), abs_tol=1e-12)


def test_each_row_of_the_page_names_a_command_a_mark_and_a_mechanism():
    slopes, names, _, rows = page()
    assert len(rows) > 50 and len(slopes) > 40
    for row in rows:
        used = set(re.findall(r"\b[A-Z]\d+(?=\()", row["how"]))
        commands = {slopes[one].row["command"] for one in used} or {"arithmetic"}
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


def test_what_is_beyond_the_sizes_that_were_measured_is_not_marked_as_measured():
    slopes, _, values, rows = page()
    for row in rows:
        for slope in slopes.values():
            slope.unmeasured = 0
        result(row, slopes, values)
        if any(slope.unmeasured for slope in slopes.values()):
            assert row["mark"] != "measured", row


def test_each_result_follows_from_the_slopes_and_each_ratio_from_its_budget():
    slopes, _, values, rows = page()
    for row in rows:
        told = row["at target"].split()[0]
        assert near(result(row, slopes, values), told), row
        if row["budget"] == "none":
            assert row["ratio"] == row["breaks at"] == "-", row
        else:
            assert near(figure_of(told) / figure_of(row["budget"]), row["ratio"], 3), row


def test_where_a_row_says_that_it_breaks_its_formula_meets_the_budget():
    slopes, _, values, rows = page()
    found = 0
    for row in rows:
        if row["breaks at"] not in ("-", "no size"):
            name, size = row["breaks at"].split()
            least, most = (result(row, slopes, values, **{name: figure_of(size) * by}) for by in (0.99, 1.01))
            assert least <= figure_of(row["budget"]) <= most, row
            found += 1
            over = figure_of(size) < values[name]
            assert over == (figure_of(row["ratio"]) > 1), row
    assert found > 20


def test_the_formulas_of_the_page_are_the_fits_of_its_values():
    slopes, _, _, _ = page()
    for name, slope in slopes.items():
        if slope.row["formula"] == "none":
            continue
        sizes = list(slope.values)
        form = fit_power if "**" in slope.row["formula"] else fit_line
        fit = form(sizes, list(slope.values.values()))
        for size in sizes:
            assert slope.formula(size) == pytest.approx(fit.at(size), rel=2e-3), (name, size)
        assert figure_of(slope.row["residual"]) == pytest.approx(100 * fit.residual, abs=0.2), name
        assert figure_of(slope.row["error"]) == pytest.approx(
            fit.error,
            rel=0.1,
            abs=1e-3 * abs(fit.slope if "**" in slope.row["formula"] else fit.per_unit or 1.0),
        ), name


def test_what_the_page_counts_is_what_is_counted_now():
    """Cheap ones, to the digit: whoever changes a form renews the page."""
    slopes, _, _, _ = page()
    assert all(slopes["C1"].values[n] == len(roles.listing(n)) for n in (60, 6000))
    assert slopes["G5"].values[600] == roles.unspoken(600)
    assert slopes["F1"].values[4800] == len(json.dumps(roles.config_of(4800)))
    change = roles.listing(6000, "draining", whole=False, generation=2)
    assert slopes["C2"].values[6000] == len(roles.chunk(change))
