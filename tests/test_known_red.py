"""KNOWN-RED.txt, the list of known failures: its format, and the script that CI uses to read it."""

import importlib.util
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SPEC = importlib.util.spec_from_file_location("known_red", ROOT / ".ci" / "known_red.py")
known_red = sys.modules["known_red"] = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(known_red)

TEST = "tests/test_cold.py::test_one[-3600.0] | - | a cold server is filled | issue 56"
SOAK = "python -m bellrack.lab.soak --seed 94 --rate 400 | 94 | 8 in a window, 7.3 allowed | issue 56"


def test_an_entry_is_a_test_or_a_command():
    test, soak = known_red.entries(f"{TEST}\n\n{SOAK}\n")
    assert test.is_test and test.command()[1:] == [
        "-m",
        "pytest",
        "-q",
        "tests/test_cold.py::test_one[-3600.0]",
    ]
    assert not soak.is_test and soak.seed == "94" and soak.issue == "issue 56"
    assert soak.command() == [sys.executable, "-m", "bellrack.lab.soak", "--seed", "94", "--rate", "400"]


@pytest.mark.parametrize(
    "line, reason",
    [
        ("tests/test_cold.py::test_one: it fails; issue 56", "four fields"),
        ("the slow start | - | a cold server is filled | issue 56", "no test and no command"),
        ("rm -rf x | - | gone | issue 56", "no test and no command"),
        ("tests/test_cold.py::test_one | - |  | issue 56", "four fields"),
        ("tests/test_cold.py::test_one | - | seen | soon", "no issue"),
        (SOAK.replace("| 94 |", "| 95 |"), "another seed"),
        (SOAK.replace("| 94 |", "| - |"), "another seed"),
    ],
)
def test_malformed_entry_is_rejected(line, reason):
    with pytest.raises(known_red.EntryError, match=reason):
        known_red.parse(line)


def test_exactly_the_listed_entries_are_deselected_and_run(tmp_path, monkeypatch, capsys):
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text(f"{TEST}\n{SOAK}\n")
    monkeypatch.setattr(known_red, "LIST", path)
    assert known_red.main(["deselect"]) == 0
    assert capsys.readouterr().out == "--deselect=tests/test_cold.py::test_one[-3600.0]\n"
    command = SOAK.split(" | ")[0]
    assert known_red.main(["lists", command]) == 0
    assert known_red.main(["lists", f"{command} --focus cold"]) == 1
    codes = iter([1, 0])
    monkeypatch.setattr(
        known_red.subprocess, "run", lambda words, **_: subprocess.CompletedProcess(words, next(codes))
    )
    assert known_red.main(["run"]) == 0
    output = capsys.readouterr().out.splitlines()
    assert output[1] == "  red" and "passes now" in output[3]
    path.write_text("something\n")
    assert known_red.main(["check"]) == 1 and "KNOWN-RED.txt: not four fields" in capsys.readouterr().err


def test_list_of_this_repository_parses():
    assert known_red.entries((ROOT / "KNOWN-RED.txt").read_text()) is not None
