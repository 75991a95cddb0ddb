"""Tests of a range of seeds of the soak: each seed runs once, even after an interruption."""

import json
import subprocess
import sys
from pathlib import Path

import pytest

from bellrack.lab.soak import __main__ as command
from bellrack.lab.soak import campaign

ROOT = Path(__file__).parent.parent
OPTIONS = ["--rate", "50"]


@pytest.fixture
def seeds_run(monkeypatch):
    """The seeds that are run, in order. Seed 3 finds something, and seed 4 ends without output."""
    seeds = []

    def run(command_line, **_):
        seed = int(command_line[command_line.index("--seed") + 1])
        seeds.append(seed)
        found = ["slow_start: s-1: 8 in a window"] if seed == 3 else []
        text = "" if seed == 4 else json.dumps({"found": found, "counts": {"answer UP": 10 * seed}})
        Path(command_line[command_line.index("--keep") + 1]).mkdir()
        return subprocess.CompletedProcess(command_line, bool(found), text, "")

    monkeypatch.setattr(campaign.subprocess, "run", run)
    return seeds


def test_a_range_resumes_after_an_interruption_and_writes_one_summary(seeds_run, tmp_path, capsys):
    campaign.Campaign(range(1, 3), OPTIONS, tmp_path).run(1)
    (tmp_path / "play-3").mkdir()  # left by the interrupted run
    results = campaign.Campaign(range(1, 5), OPTIONS, tmp_path).run(1)
    assert seeds_run == [1, 2, 3, 4] and [result.seed for result in results] == [1, 2, 3, 4]
    assert capsys.readouterr().out.splitlines()[-1].startswith("4 of 4: seed 4: 1 found")
    text = (tmp_path / "summary.txt").read_text()
    assert "2 seeds found something" in text and '{"slow_start": 1, "soak": 1}' in text
    assert "seed 3: slow_start: s-1: 8 in a window" in text and "answer UP 60" in text
    assert sorted(path.name for path in tmp_path.glob("play-*")) == [
        "play-3",
        "play-4",
    ]  # kept because they found something


def test_refuses_results_of_other_options(seeds_run, tmp_path):
    campaign.Campaign(range(1, 2), OPTIONS, tmp_path).run(1)
    with pytest.raises(campaign.CampaignError, match="seed-1.json was run with --rate 50"):
        campaign.Campaign(range(1, 2), ["--rate", "60"], tmp_path).run(1)


@pytest.mark.parametrize(
    "options",
    [
        ["--seed", "1", "--keep", str(ROOT / "tests")],
        ["--seed", "1", "--keep", str(ROOT / "README.md")],
        ["--seeds", "1-2"],
    ],
)
def test_unusable_options_give_one_line_of_error_and_status_2(options):
    process = subprocess.run(
        [sys.executable, "-m", "bellrack.lab.soak", *options], cwd=ROOT, capture_output=True, text=True
    )
    assert process.returncode == 2 and process.stderr.count("\n") == 1 and not process.stdout


def test_a_range_contains_its_first_and_last_seed():
    assert list(command.seed_range("301-303")) == [301, 302, 303] and list(command.seed_range("7")) == [7]
    with pytest.raises(ValueError):
        command.seed_range("5-3")
