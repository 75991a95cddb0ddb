"""A range of seeds of the soak: each is played once, also after an interruption, and one summary tells."""

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
def plays(monkeypatch):
    """The seeds that are played, in order; seed 3 finds something, and seed 4 ends without a word."""
    seeds = []

    def run(words, **_):
        seed = int(words[words.index("--seed") + 1])
        seeds.append(seed)
        found = ["slow_start: s-1: 8 in a window"] if seed == 3 else []
        text = "" if seed == 4 else json.dumps({"found": found, "counts": {"answer UP": 10 * seed}})
        Path(words[words.index("--keep") + 1]).mkdir()
        return subprocess.CompletedProcess(words, bool(found), text, "")

    monkeypatch.setattr(campaign.subprocess, "run", run)
    return seeds


def test_a_range_goes_on_after_an_interruption_and_ends_with_one_summary(plays, tmp_path, capsys):
    campaign.Campaign(range(1, 3), OPTIONS, tmp_path).run(1)
    (tmp_path / "play-3").mkdir()  # it was being played
    results = campaign.Campaign(range(1, 5), OPTIONS, tmp_path).run(1)
    assert plays == [1, 2, 3, 4] and [result.seed for result in results] == [1, 2, 3, 4]
    assert capsys.readouterr().out.splitlines()[-1].startswith("4 of 4: seed 4: 1 found")
    text = (tmp_path / "summary.txt").read_text()
    assert "2 seeds found something" in text and '{"slow_start": 1, "soak": 1}' in text
    assert "seed 3: slow_start: s-1: 8 in a window" in text and "answer UP 60" in text
    assert sorted(path.name for path in tmp_path.glob("play-*")) == ["play-3", "play-4"]  # kept to be read


def test_results_of_other_options_are_not_mixed(plays, tmp_path):
    campaign.Campaign(range(1, 2), OPTIONS, tmp_path).run(1)
    with pytest.raises(campaign.CampaignError, match="seed-1.json was run with --rate 50"):
        campaign.Campaign(range(1, 2), ["--rate", "60"], tmp_path).run(1)


@pytest.mark.parametrize(
    "words",
    [
        ["--seed", "1", "--keep", str(ROOT / "tests")],
        ["--seed", "1", "--keep", str(ROOT / "README.md")],
        ["--seeds", "1-2"],
    ],
)
def test_what_can_not_be_played_as_asked_is_one_plain_line(words):
    ended = subprocess.run(
        [sys.executable, "-m", "bellrack.lab.soak", *words], cwd=ROOT, capture_output=True, text=True
    )
    assert ended.returncode == 2 and ended.stderr.count("\n") == 1 and not ended.stdout


def test_a_range_names_its_first_and_last_seed():
    assert list(command.seed_range("301-303")) == [301, 302, 303] and list(command.seed_range("7")) == [7]
    with pytest.raises(ValueError):
        command.seed_range("5-3")
