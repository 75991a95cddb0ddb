"""Rule 4 for the sum over all balancers, on generated starts."""
from dataclasses import replace

import pytest

from bellrack import choice
from bellrack.chance import Chance
from bellrack.lab import cold
from bellrack.model import Settings

STARTS = cold.starts(40, 7, (3, 20, 30))


def falls(starts) -> int:
    return sum(cold.played(start)["fell"] for start in starts)


def test_no_cold_server_falls_under_the_sum_of_all_balancers():
    assert not falls(STARTS)


def twice_the_budget(monkeypatch):
    honest = Settings.cold_budget
    monkeypatch.setattr(Settings, "cold_budget", lambda *values: [2 * part for part in honest(*values)])


def ended_set_ups_uncounted(monkeypatch):
    def uncounted(stage, server):
        honest(stage, server)
        server.stand.taken -= 1
    honest = choice.Cold.sent
    monkeypatch.setattr(choice.Cold, "sent", uncounted)


def all_begin_with_one(monkeypatch):
    monkeypatch.setattr(Chance, "part", lambda *values: 0.0)


def all_tokens_kept(monkeypatch):
    monkeypatch.setattr(choice, "RUSH", 1e-9)


# Two hundred balancers whose clients come again while the first of a warm-up's tokens are out.
CROWD = replace(cold.drawn(7), balancers=200, idle=0.0, fresh=0.0, spread=0.0, bears=20.0, size=1.0, used=0.8,
                warm=3, cold=2, zone=False, overload_factor=2.0, fall_time=1.5, ramp_time=15.0, demand=4.0,
                rush=0.6, rush_at=0.2, drowning=True, retries=3, short=0.3, tells=False, cold_share=0.12)


@pytest.mark.parametrize("mutant", [None, twice_the_budget, ended_set_ups_uncounted, all_begin_with_one,
                                    all_tokens_kept])
def test_each_broken_cold_rule_is_seen(mutant, monkeypatch):
    if mutant:
        mutant(monkeypatch)
    assert bool(falls([CROWD, STARTS[18], STARTS[6]])) == (mutant is not None)
