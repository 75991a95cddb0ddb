"""The counts over the logs of a fleet, on two small logs."""

import sys

from bellrack.net import log
from bellrack.simulator import fleet

ONE = """\
0.150 time=1.0 level=info event=serving name=n0 listen=10.0.0.1:3000 servers=9
7.437 time=1.0 level=info event=mode text="server swamped: held 1, ceiling 0.9"
7.500 time=1.0 level=info event=ended side=server reason=refused server=s-1 result="no connection"
7.900 time=1.0 level=info event=ended side=client reason=rejected
something else
"""
OTHER = """\
7.100 time=1.0 level=info event=ended side=client reason=rejected
7.200 time=1.0 level=info event=ended side=client reason=rejected
7.300 time=1.0 level=info event=ended side=server reason=completed server=s-1 result=completed
7.400 time=1.0 level=info event=mode text="server swamped: held 3, ceiling 2.8"
"""


def test_logs_are_counted_by_second_and_by_server(tmp_path, capsys, monkeypatch):
    (tmp_path / "n0.log").write_text(ONE)
    (tmp_path / "n1.log").write_text(OTHER)
    monkeypatch.setattr(sys, "argv", ["fleet", str(tmp_path)])
    assert fleet.main() == 0
    assert capsys.readouterr().out.splitlines() == [
        "second 0: 1 serving",
        "second 7: 3 client rejected, 1 leg completed, 1 leg no connection, 2 server swamped; "
        "turned away by 2",
        "server s-1: 2 legs ended, 1 badly: {'no connection': 1, 'completed': 1}",
        "lines of no known form: 1",
    ]


def test_folder_without_logs_is_reported_in_one_line(tmp_path, capsys, monkeypatch):
    monkeypatch.setattr(sys, "argv", ["fleet", str(tmp_path)])
    assert fleet.main() == 2
    assert capsys.readouterr().err == f"bellrack: {tmp_path}: no logs\n"


def test_quoted_values_of_the_log_are_parsed():
    text = 'said "no" to a = b'
    read = fleet.pairs(f"event=mode text={log.quote_value(text)} name=n0")
    assert read == {"event": "mode", "text": text, "name": "n0"}
