"""Mutants: balancers that break one rule each, to prove that the rule checker finds breaches.

Each is the decision module with a few lines replaced, and correct in all else. They run in the lab only;
`--policy broken:NAME` selects one.
"""

from __future__ import annotations

from typing import Any

from bellrack import choice
from bellrack.model import Call, Leg, Server

EARLY_SECONDS = 0.05  # before the last moment for an answer: when `holds-back` gives a call up
LATE_SECONDS = 0.1  # after the guard time: when `answers-late` answers
FAULT_INTERVAL = 5  # `loses-calls` fails at each call whose count is a multiple of this


class Mutant(choice.Balancer):
    """A balancer whose stages have some methods replaced: `stages` has them by attribute and name."""

    stages: dict[str, dict[str, Any]] = {}

    def __init__(self, settings: Any, seed: int, host: Any):
        super().__init__(settings, seed, host)
        for name, methods in self.stages.items():
            stage = getattr(self, name)
            for method, body in methods.items():
                setattr(stage, method, body.__get__(stage))


def _answers_twice(stage: choice.AnswerStage, call: Call, why: str = "") -> None:
    """Releases a call after its answer."""
    type(stage).give_up(stage, call, why)
    stage.host.release(call)


def _answers_late(stage: choice.AnswerStage, call: Call, why: str = "") -> None:
    """Gives calls up only after their guard time."""
    if stage.host.now > call.deadline:
        type(stage).give_up(stage, call, why)
    else:
        stage.host.set_timer(call.deadline + LATE_SECONDS, call)


# Gives up a call without an answer.
def _never_answers(stage: choice.AnswerStage, call: Call, why: str = "") -> None: ...


def _holds_back(stage: choice.AnswerStage, call: Call, why: str = "") -> None:
    """Keeps a call that could be given up at once until just before its deadline, to save a retry."""
    if stage.host.now >= stage.answer_by(call) - 2 * EARLY_SECONDS:
        type(stage).give_up(stage, call, why)
    else:
        stage.host.set_timer(stage.answer_by(call) - EARLY_SECONDS, call)


def _sends_after_answer(stage: choice.AnswerStage, call: Call, why: str = "") -> None:
    """Sends a leg for a call that is answered."""
    type(stage).give_up(stage, call, why)
    for server in stage.balancer.fleet[:1]:
        stage.balancer.selection.send(call, server)


def _two_legs(stage: choice.SelectionStage, call: Call, server: Server) -> None:
    """Sends a second leg at the same time."""
    type(stage).send(stage, call, server)
    for other in stage.balancer.fleet:
        if other is not server and other.state == server.state and len(call.legs) < 2:
            type(stage).send(stage, call, other)


def _no_possibly_run_legs(stage: choice.EffectStage, call: Call) -> list[Leg]:
    """Assumes that no leg has run."""
    return []


def _always_harmless(stage: choice.EffectStage, call: Call) -> bool:
    """Assumes that any retry is harmless."""
    return True


def _any_group(stage: choice.EffectStage, call: Call, one: Server, other: Server) -> bool:
    """Assumes that all servers drop each other's repeats."""
    return True


def use_all_listed(stage: choice.ListedStage, call: Call) -> None:
    """Makes all listed servers candidates, whatever their state."""
    call.candidates = stage.balancer.fleet
    stage.next.handle(call)


def _always_warm(stage: choice.SlowStart, server: Server) -> float:
    """Takes a cold server for warm."""
    return 1.0


# Does not count set-ups against the budget of a cold server.
def _record_no_setup(stage: choice.SlowStart, server: Server) -> None: ...


def _always_accepts(stage: choice.SlowStart, server: Server) -> bool:
    """Sends a cold server any number of set-ups."""
    return True


def _always_has_room(stage: choice.SelectionStage, server: Server, full: float = 1.0) -> bool:
    """Takes any server to have room."""
    return True


def _ignore_overload(detector: Any, server: Server, late: float, now: float) -> None:
    """Ignores slow set-ups at the cold server; overload detection would prevent the breach otherwise."""


class LosesCalls(Mutant):
    """Fails at some calls, which are then never answered."""

    count = 0

    def on_call(self, call: Call) -> None:
        self.count += 1
        if self.count % FAULT_INTERVAL == 0:
            raise RuntimeError("a fault in the batch")
        super().on_call(call)


class RemembersTooLong(Mutant):
    """Assumes that servers remember referenced calls for an hour."""

    def __init__(self, settings: Any, seed: int, host: Any):
        super().__init__(settings, seed, host)
        for kind in settings.types:
            kind.key_ttl = 3600.0


class LegsWithoutEnd(Mutant):
    """Sends more legs for a call than the rules allow."""

    def __init__(self, settings: Any, seed: int, host: Any):
        super().__init__(settings, seed, host)
        settings.max_legs = 1000


class NeverAsks(Mutant):
    """Never asks for the list after its start."""

    def on_timer(self, what: object) -> None:
        if what != "watch":
            super().on_timer(what)


def _mutant(name: str, **stages: dict[str, Any]) -> type[Mutant]:
    """A mutant class with these stage methods replaced."""
    return type(name, (Mutant,), {"stages": stages})


# By name: the number of the rule that the mutant breaks, and its class.
MUTANTS: dict[str, tuple[int, type[Mutant]]] = {
    "answers-twice": (1, _mutant("AnswersTwice", answer={"give_up": _answers_twice})),
    "answers-late": (1, _mutant("AnswersLate", answer={"give_up": _answers_late})),
    "never-answers": (1, _mutant("NeverAnswers", answer={"give_up": _never_answers})),
    "holds-back": (1, _mutant("HoldsBack", answer={"give_up": _holds_back})),
    "sends-after-answer": (1, _mutant("SendsAfterAnswer", answer={"give_up": _sends_after_answer})),
    "loses-calls": (1, LosesCalls),
    "two-legs": (2, _mutant("TwoLegs", selection={"send": _two_legs})),
    "repeats-once-only": (2, _mutant("RepeatsOnceOnly", effect={"possibly_run_legs": _no_possibly_run_legs})),
    "rejects-what-ran": (2, _mutant("RejectsWhatRan", effect={"retry_is_harmless": _always_harmless})),
    "leaves-the-group": (2, _mutant("LeavesTheGroup", effect={"same_group": _any_group})),
    "remembers-too-long": (2, RemembersTooLong),
    "legs-without-end": (2, LegsWithoutEnd),
    "sends-to-drained": (3, _mutant("SendsToDrained", listing={"handle": use_all_listed})),
    "never-asks": (3, NeverAsks),
    "fills-cold": (
        4,
        _mutant(
            "FillsCold",
            slow_start={
                "accepts": _always_accepts,
                "warm_share": _always_warm,
                "record_setup": _record_no_setup,
            },
            selection={"has_room": _always_has_room},
            overload={"report_overload": _ignore_overload},
        ),
    ),
}
