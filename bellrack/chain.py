"""The chain of decisions that a request runs down, and its results run back up.

Owns the order alone. Each stage of `choice.py` derives from `Stage` and overrides what it decides.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from bellrack.model import Call, Leg, Result

if TYPE_CHECKING:
    from bellrack.choice import Balancer


class Stage:
    """One link of the chain: passes a request on, queues it or ends it; results come back through it."""

    previous: Stage
    next: Stage

    def __init__(self, balancer: Balancer):
        self.balancer, self.settings, self.host = balancer, balancer.settings, balancer.host

    def handle(self, call: Call) -> None:
        self.next.handle(call)

    def forward_or_queue(self, call: Call) -> None:
        """To the next stage if a server is left for it, else to the queue."""
        if call.candidates:
            self.next.handle(call)
        else:
            self.balancer.enqueue(call)

    def on_established(self, leg: Leg) -> None:
        self.previous.on_established(leg)

    def on_leg_ended(self, leg: Leg, result: Result) -> None:
        self.previous.on_leg_ended(leg, result)


def link(*stages: Stage) -> None:
    """Make a chain of these, the first at its top."""
    for one, other in zip(stages, stages[1:]):
        one.next, other.previous = other, one
