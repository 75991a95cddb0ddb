"""How calls to discovery follow one another, and how long the list in hand may be used without an answer.

Owns the gaps between calls and the age of the list. It never opens a connection, never reads a clock (times
are seconds, handed in) and never chooses a server.

A change counts as told TOLD seconds after discovery had it and could be reached, whatever became of our
calls; nothing new may be sent to a server that drains beyond the grace of a drain after that. At worst, with
T the instant from which discovery can be reached and has the change, and a tier of TIER_RATE * GAP_MOST
balancers or fewer:

    a call that hangs while it connects began just before T: given up at T + CONNECT, T + 1.5
    the next one begins GAP_MOST later at the latest, at T + 3.5
    or one that was taken and is silent began just before T: another goes out by T + OVERLAP + LOOK, T + 3.5
    2.5 s of the TOLD are left for the answer, and the grace for what is under way

In a larger tier calls that were refused, or wait in turn, are repeated at the tier's rate, so a gap may be
longer than that: TIER_RATE a second over all balancers, but GAP_BUSY apart at most as long as that is no more
than TIER_MOST a second, and TIER_MOST beyond. Who has no answer in time then, for whatever reason, has a
doubtful list (`ListAge.doubtful`): discovery was reached since the list was last known to be good, and that
is a window (TOLD, the grace, less SPARE) ago. A call fails because it waited too long or because discovery is
down (the protocol page): one that fails AT_ONCE found it down. From then on only servers that took a
connection within the last window may get a new one: a server that drains turns new ones away, so one that
took it was not yet draining, and a drain since then counts as told no sooner than TOLD after. After a watch
that fell silent this does not hold: all that it misses counts as told TOLD after that, so earlier proofs
count for nothing (`ListAge.silent`). While discovery cannot be reached at all nothing counts as told, and the
list stands.
"""

from __future__ import annotations

import math

from bellrack.model import Settings
from bellrack.rng import Rng, lcg_step

TOLD_AFTER_SECONDS = (
    6.0  # seconds from when discovery had a change, and could be reached, until it counts as told
)
MARGIN_SECONDS = 0.5  # seconds of that and of the grace which we leave: looks and what is under way
CONNECT_TIMEOUT_SECONDS = 1.5  # seconds in which a connection to discovery has to come up
FIRST_DELAY_SECONDS, MAX_DELAY_SECONDS = (
    0.5,
    2.0,
)  # seconds until the first call and the first repeat, at most; a later one
HEDGE_AFTER_SECONDS = 3.25  # seconds without an answer after which a second call goes out beside the first
REFUSED_DELAY_SECONDS, MAX_BUSY_DELAY_SECONDS = (
    1.5,
    8.0,
)  # the first repeat after a refusal, at most; the longest for hundreds
MAX_TIER_CALLS_PER_SECOND = (
    30.0  # repeats a second, about, by all balancers of a tier in which that is too often
)
TIER_CALLS_PER_SECOND = (
    6.0  # repeats a second, about, by all balancers of a tier, while discovery refuses them
)
PROMPT_FAILURE_SECONDS = (
    0.25  # seconds within which a call fails if discovery is down, and not for having waited too long
)
HEDGE_PATIENCE_SECONDS = (
    10.0  # seconds for which the first of two calls is kept: its place in the queue is the better one
)
JITTER_SHARE = 0.5  # the share of a gap that chance takes off: balancers lose their watches all at once
MAX_DOUBLINGS = 10  # at most


class RetrySchedule:
    """The gaps between the calls of one balancer."""

    def __init__(self, settings: Settings, rng: Rng):
        self.settings, self.rng = settings, rng
        self.own = Rng(lcg_step(rng.state))  # so that a call beside another moves no draw of the decisions
        self.failures = 0  # since the list last came

    @property
    def share(self) -> float:
        """Seconds between two repeats of ours at the tier's rate."""
        even = self.settings.peers / TIER_CALLS_PER_SECOND
        # Guards against hundreds that lose their watches at once and then wait for longer than a list stands.
        return (
            even
            if even <= MAX_BUSY_DELAY_SECONDS
            else max(MAX_BUSY_DELAY_SECONDS, self.settings.peers / MAX_TIER_CALLS_PER_SECOND)
        )

    @property
    def hedge_patience(self) -> float:
        return HEDGE_PATIENCE_SECONDS * max(1.0, self.share)

    def reset(self) -> None:
        self.failures = 0

    def first_delay(self) -> float:
        """Seconds from the start until the first call."""
        return FIRST_DELAY_SECONDS * self.rng.uniform()

    def next_delay(self, reached: bool = True) -> float:
        """Seconds until the next call after one that failed. Where discovery was not even reached a call
        costs it nothing, so the tier's size does not count."""
        cap = min(REFUSED_DELAY_SECONDS, max(FIRST_DELAY_SECONDS, self.share)) * 2**self.failures
        self.failures = min(MAX_DOUBLINGS, self.failures + 1)
        most = min(MAX_DELAY_SECONDS, self.settings.ask_within)
        return self._drawn(min(cap, max(most, self.share) if reached else most), self.rng)

    def hedge_delay(self) -> float:
        """Seconds that a call may be silent before another goes out beside it."""
        # Not sooner: guards against a second place in the queue for each caller that only waits in turn.
        # Nor later each time: guards against gaps that grow while what took the calls is long dead.
        return max(HEDGE_AFTER_SECONDS, self._drawn(self.share, self.own))

    def window(self) -> float:
        """Seconds for which the last proof, of the list or of a server, stands."""
        # Guards against a tier so large that a gap is longer than a list stands without a call: from then on
        # each change counts as told that long after it was made.
        told = (
            TOLD_AFTER_SECONDS
            if self.share <= self.settings.ask_within
            else min(TOLD_AFTER_SECONDS, self.settings.ask_within)
        )
        return told + self.settings.drain_grace - MARGIN_SECONDS

    def _drawn(self, cap: float, rng: Rng) -> float:
        return cap * (1 - JITTER_SHARE * rng.uniform())


class ListAge:
    """Since when the list in hand may lack a change that counts as told."""

    def __init__(self, now: float):
        self.confirmed_at, self.reached = now, False  # reached: by a call of ours since then
        self.proofs_valid_from = -math.inf  # what servers showed before proves nothing

    def confirm(self, now: float) -> None:
        """Discovery wrote that this is the list, or what has changed of it."""
        self.confirmed_at, self.reached, self.proofs_valid_from = now, False, -math.inf

    def on_watch_silent(self) -> None:
        """A watch fell silent after its last line. All that it misses counts as told TOLD after that, even a
        change just before then: a server that took a connection meanwhile may have drained since."""
        self.proofs_valid_from = self.confirmed_at + TOLD_AFTER_SECONDS

    def on_reached(self) -> None:
        """It let a call of ours wait, or began to answer: it counts as reached from now on."""
        self.reached = True

    def on_unreachable(self, begun: float) -> None:
        """It could not be reached by a call that began then, or was down."""
        if not self.reached:
            self.confirmed_at = max(self.confirmed_at, begun)

    def is_doubtful(self, now: float, window: float) -> bool:
        return self.reached and now - self.confirmed_at >= window
