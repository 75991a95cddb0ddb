"""Balancers broken on purpose, one rule each: the proof that the referee convicts.

Owns what each does wrong, and the rule that it breaks. None is ever run but in the lab; `--policy
broken:NAME` shows one at work. Each is the decision module with a few lines replaced, so that all else
about it is honest.
"""

from __future__ import annotations

from typing import Any

from bellrack import choice
from bellrack.model import Call, Leg, Server

EARLY = 0.05  # seconds before the last moment when one answers that held back till then
LATE = 0.1  # seconds after the guard time
FAULTY = 5  # of so many calls, one meets a fault


class Broken(choice.Balancer):
    """A balancer whose stages are replaced by those named in `stages`: attribute -> methods."""

    stages: dict[str, dict[str, Any]] = {}

    def __init__(self, settings: Any, seed: int, host: Any):
        super().__init__(settings, seed, host)
        for name, methods in self.stages.items():
            stage = getattr(self, name)
            for method, body in methods.items():
                setattr(stage, method, body.__get__(stage))


def _answers_twice(stage: choice.AnswerStage, call: Call, why: str = "") -> None:
    type(stage).give_up(stage, call, why)
    stage.host.release(call)


def _answers_late(stage: choice.AnswerStage, call: Call, why: str = "") -> None:
    if stage.host.now > call.deadline:
        type(stage).give_up(stage, call, why)
    else:
        stage.host.set_timer(call.deadline + LATE, call)


def _never_answers(stage: choice.AnswerStage, call: Call, why: str = "") -> None: ...


def _holds_back(stage: choice.AnswerStage, call: Call, why: str = "") -> None:
    """Keeps a call that it has given up until its time is nearly over, to spare a retry."""
    if stage.host.now >= stage.answer_by(call) - 2 * EARLY:
        type(stage).give_up(stage, call, why)
    else:
        stage.host.set_timer(stage.answer_by(call) - EARLY, call)


def _sends_after_answer(stage: choice.AnswerStage, call: Call, why: str = "") -> None:
    type(stage).give_up(stage, call, why)
    for server in stage.balancer.fleet[:1]:
        stage.balancer.selection.send(call, server)


def _two_legs(stage: choice.SelectionStage, call: Call, server: Server) -> None:
    type(stage).send(stage, call, server)
    for other in stage.balancer.fleet:
        if other is not server and other.state == server.state and len(call.legs) < 2:
            type(stage).send(stage, call, other)


def _no_risk(stage: choice.EffectStage, call: Call) -> list[Leg]:
    return []


def _always_harmless(stage: choice.EffectStage, call: Call) -> bool:
    return True


def _any_group(stage: choice.EffectStage, call: Call, one: Server, other: Server) -> bool:
    return True


def lists_all(stage: choice.ListedStage, call: Call) -> None:
    call.candidates = stage.balancer.fleet
    stage.next.handle(call)


def _warm_at_once(stage: choice.SlowStart, server: Server) -> float:
    return 1.0


def _unpaced(stage: choice.SlowStart, server: Server) -> None: ...


def _all_bear(stage: choice.SlowStart, server: Server) -> bool:
    return True


def _room_at_once(stage: choice.SelectionStage, server: Server, full: float = 1.0) -> bool:
    return True


def _unheard(detector: Any, server: Server, late: float, now: float) -> None:
    """Guards against a mutant that is saved by what set-ups at the cold server show."""


class LosesCalls(Broken):
    """A fault with one call of a batch, and nobody answers it."""

    count = 0

    def on_call(self, call: Call) -> None:
        self.count += 1
        if self.count % FAULTY == 0:
            raise RuntimeError("a fault in the batch")
        super().on_call(call)


class RemembersTooLong(Broken):
    """Takes a referenced call for remembered as long as it lives."""

    def __init__(self, settings: Any, seed: int, host: Any):
        super().__init__(settings, seed, host)
        for kind in settings.types:
            kind.key_ttl = 3600.0


class LegsWithoutEnd(Broken):
    def __init__(self, settings: Any, seed: int, host: Any):
        super().__init__(settings, seed, host)
        settings.max_legs = 1000


class NeverAsks(Broken):
    """Knows the list from its start and never asks for more."""

    def on_timer(self, what: object) -> None:
        if what != "watch":
            super().on_timer(what)


def _of(name: str, **stages: dict[str, Any]) -> type[Broken]:
    return type(name, (Broken,), {"stages": stages})


# By name: the rule that it breaks, and the balancer.
MUTANTS: dict[str, tuple[int, type[Broken]]] = {
    "answers-twice": (1, _of("AnswersTwice", answer={"give_up": _answers_twice})),
    "answers-late": (1, _of("AnswersLate", answer={"give_up": _answers_late})),
    "never-answers": (1, _of("NeverAnswers", answer={"give_up": _never_answers})),
    "holds-back": (1, _of("HoldsBack", answer={"give_up": _holds_back})),
    "sends-after-answer": (1, _of("SendsAfterAnswer", answer={"give_up": _sends_after_answer})),
    "loses-calls": (1, LosesCalls),
    "two-legs": (2, _of("TwoLegs", selection={"send": _two_legs})),
    "repeats-once-only": (2, _of("RepeatsOnceOnly", effect={"possibly_run_legs": _no_risk})),
    "rejects-what-ran": (2, _of("RejectsWhatRan", effect={"retry_is_harmless": _always_harmless})),
    "leaves-the-group": (2, _of("LeavesTheGroup", effect={"same_group": _any_group})),
    "remembers-too-long": (2, RemembersTooLong),
    "legs-without-end": (2, LegsWithoutEnd),
    "sends-to-drained": (3, _of("SendsToDrained", listing={"handle": lists_all})),
    "never-asks": (3, NeverAsks),
    "fills-cold": (
        4,
        _of(
            "FillsCold",
            slow_start={"accepts": _all_bear, "warm_share": _warm_at_once, "record_setup": _unpaced},
            selection={"has_room": _room_at_once},
            overload={"report_overload": _unheard},
        ),
    ),
}
