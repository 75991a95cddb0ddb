"""Delays between calls to discovery, and for how long a proof that a server is in service is valid.

This module opens no connection, reads no clock and chooses no server. The age of the list is kept in
`list_age.py`.

A change of the list counts as told TOLD_AFTER_SECONDS after discovery had it and could be reached, whether or
not our calls succeeded. Once the drain of a server counts as told, new connections to it have to stop within
the drain grace. Let T be the instant from which discovery can be reached and has the change. In a tier of at
most TIER_CALLS_PER_SECOND * MAX_DELAY_SECONDS balancers the worst cases are:

    - A call that hangs while it connects began just before T. It is given up at T + CONNECT_TIMEOUT_SECONDS
      (T + 1.5), and the next call begins MAX_DELAY_SECONDS later at the latest (T + 3.5).
    - A call that was accepted but gets no answer began just before T. A second call is sent by
      T + HEDGE_AFTER_SECONDS plus one check interval (T + 3.5).

    Of TOLD_AFTER_SECONDS, 2.5 s are left for the answer. The grace covers what is already under way.

In a larger tier, calls that were refused or wait in the queue of discovery are repeated at the tier's rate,
so a delay may be longer. Over all balancers the rate is TIER_CALLS_PER_SECOND; but delays are at most
MAX_BUSY_DELAY_SECONDS as long as that needs no more than MAX_TIER_CALLS_PER_SECOND, which is the rate beyond.
"""

from __future__ import annotations

from bellrack.list_age import Windows
from bellrack.model import Settings
from bellrack.rng import Rng, lcg_step

# From when discovery had a change and could be reached, until the change counts as told.
TOLD_AFTER_SECONDS = 6.0
# Subtracted from the windows: from both for what is under way and for a line that is read late, from the one
# without an answer also for the interval between checks.
MARGIN_SECONDS = 0.5
SILENT_MARGIN_SECONDS = 0.3
CONNECT_TIMEOUT_SECONDS = 1.5
FIRST_DELAY_SECONDS = 0.5  # before the first call, and before the first repeat, at most
MAX_DELAY_SECONDS = 2.0  # before a later repeat
HEDGE_AFTER_SECONDS = 3.25  # without an answer, until a second call is sent beside the first
REFUSED_DELAY_SECONDS = 1.5  # before the first repeat after a refusal, at most
MAX_BUSY_DELAY_SECONDS = 8.0  # in a tier of hundreds of balancers
# Repeats by all balancers of a tier in which MAX_BUSY_DELAY_SECONDS would cause more than that.
MAX_TIER_CALLS_PER_SECOND = 30.0
TIER_CALLS_PER_SECOND = 6.0  # repeats by all balancers of a tier, while discovery refuses them
PROMPT_FAILURE_SECONDS = 0.25  # a call that fails sooner found discovery down and did not wait too long
# How long the first of two calls is kept: its place in the queue of discovery is the better one.
HEDGE_PATIENCE_SECONDS = 10.0
JITTER_SHARE = 0.5  # the random part of a delay: balancers may lose their watches all at once
MAX_DOUBLINGS = 10


class RetrySchedule:
    """The delays between the discovery calls of one balancer, in seconds."""

    def __init__(self, settings: Settings, rng: Rng):
        self.settings, self.rng = settings, rng
        self.hedge_rng = Rng(lcg_step(rng.state))  # its own, so that hedging shifts no draw of the decisions
        self.failures = 0  # since the list last arrived

    @property
    def tier_interval(self) -> float:
        """Seconds between two repeats of this balancer at the tier's rate."""
        even = self.settings.peers / TIER_CALLS_PER_SECOND
        # Otherwise hundreds that lose their watches at once would wait for longer than a list stays valid.
        return (
            even
            if even <= MAX_BUSY_DELAY_SECONDS
            else max(MAX_BUSY_DELAY_SECONDS, self.settings.peers / MAX_TIER_CALLS_PER_SECOND)
        )

    @property
    def hedge_patience(self) -> float:
        """Seconds for which the first of two calls is kept."""
        return HEDGE_PATIENCE_SECONDS * max(1.0, self.tier_interval)

    def reset(self) -> None:
        """Starts again with the shortest delay: the list arrived, or the address of discovery changed."""
        self.failures = 0

    def first_delay(self) -> float:
        """Returns the seconds from the start until the first call."""
        return FIRST_DELAY_SECONDS * self.rng.uniform()

    def next_delay(self, reached: bool = True) -> float:
        """Returns the seconds until the next call, after one that failed.

        `reached`: whether discovery accepted the connection. Otherwise the call cost it nothing, so the size
        of the tier does not count."""
        cap = min(REFUSED_DELAY_SECONDS, max(FIRST_DELAY_SECONDS, self.tier_interval)) * 2**self.failures
        self.failures = min(MAX_DOUBLINGS, self.failures + 1)
        most = min(MAX_DELAY_SECONDS, self.settings.ask_within)
        return self._jittered(min(cap, max(most, self.tier_interval) if reached else most), self.rng)

    def hedge_delay(self) -> float:
        """Returns the seconds that a call may go unanswered before another one is sent beside it."""
        # Not shorter: each caller that only waits for its turn would get a second place in the queue.
        # Not longer each time: the delays would grow while the process that accepted the calls is long dead.
        return max(HEDGE_AFTER_SECONDS, self._jittered(self.tier_interval, self.hedge_rng))

    def windows(self) -> Windows:
        """Returns for how long the last proof, of the list or of a server, is valid."""
        # In a tier so large that a delay exceeds the time for which a list stays valid without a call, each
        # change counts as told that long after it was made.
        told = (
            TOLD_AFTER_SECONDS
            if self.tier_interval <= self.settings.ask_within
            else min(TOLD_AFTER_SECONDS, self.settings.ask_within)
        )
        end_of_grace = told + self.settings.drain_grace
        return Windows(
            unanswered=end_of_grace - MARGIN_SECONDS,
            silent=end_of_grace - SILENT_MARGIN_SECONDS,
        )

    def _jittered(self, cap: float, rng: Rng) -> float:
        return cap * (1 - JITTER_SHARE * rng.uniform())
