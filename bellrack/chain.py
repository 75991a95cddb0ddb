"""The chain of stages that decides on a call.

A call passes down the stages; the results of its legs pass back up. This module holds only the order. Each
stage of `choice.py` derives from `Stage` and overrides what it decides.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from bellrack.model import Call, Leg, Result

if TYPE_CHECKING:
    from bellrack.choice import Balancer


class Stage:
    """A stage of the chain. It forwards a call, queues it or ends it, and sees the results of its legs."""

    previous: Stage
    next: Stage

    def __init__(self, balancer: Balancer):
        self.balancer, self.settings, self.host = balancer, balancer.settings, balancer.host

    def handle(self, call: Call) -> None:
        """Decides on a call; by default it passes to the next stage."""
        self.next.handle(call)

    def forward_or_queue(self, call: Call) -> None:
        """Passes the call to the next stage if a candidate server is left, or else queues it."""
        if call.candidates:
            self.next.handle(call)
        else:
            self.balancer.enqueue(call)

    def on_established(self, leg: Leg) -> None:
        """The leg's connection is established."""
        self.previous.on_established(leg)

    def on_leg_ended(self, leg: Leg, result: Result) -> None:
        """The leg ended with this result."""
        self.previous.on_leg_ended(leg, result)


def link(*stages: Stage) -> None:
    """Links the stages into a chain, first to last."""
    for upper, lower in zip(stages, stages[1:]):
        upper.next, lower.previous = lower, upper
