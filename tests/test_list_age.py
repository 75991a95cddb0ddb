"""The age of the list: when drains that it may lack count as told, in one process and in two together."""

import json
import math

from hypothesis import given
from hypothesis import strategies as st

from bellrack.list_age import MAX_SILENT_WATCHES, ListAge, Windows

WINDOWS = Windows(unanswered=6.0, silent=6.2)
GRACE_SECONDS = 0.5
TOLD_SECONDS = 6.0


class Timeline:
    """What one process sees of discovery, and by the pages' sentences when a drain counts as told."""

    def __init__(self):
        self.now, self.age = 100.0, ListAge(100.0)
        self.confirmed_at = self.now
        self.silent = []  # pairs: last line, end of the watch
        self.calls = []  # pairs: start, whether it reached discovery

    def confirm(self):
        self.age.confirm(self.now)
        self.confirmed_at, self.silent, self.calls = self.now, [], []

    def watch_falls_silent(self, silent_for):
        last_line = max(self.confirmed_at, self.now - silent_for)
        self.age.on_watch_silent(last_line, self.now)
        self.silent.append((last_line, self.now))

    def reach(self):
        self.age.on_reached(self.now)
        self.calls.append((self.now, True))

    def fail_to_reach(self, lasted):
        started = max(self.confirmed_at, self.now - lasted)
        self.age.on_unreachable(started)
        self.calls.append((started, False))

    def told_at(self, drained_at):
        """When a drain counts as told: by a watch that missed it, or by discovery that could be reached."""
        by_silence = [
            last_line + TOLD_SECONDS for last_line, closed in self.silent if last_line <= drained_at <= closed
        ]
        first_reach = next((number for number, (_, reached) in enumerate(self.calls) if reached), None)
        if first_reach is None:
            return min(by_silence, default=math.inf)
        # Discovery may have been reachable ever since the last call that found it unreachable before then.
        reachable_from = max([started for started, _ in self.calls[:first_reach]], default=self.confirmed_at)
        return min([*by_silence, max(drained_at, reachable_from) + TOLD_SECONDS])


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["confirm", "watch_falls_silent", "reach", "fail_to_reach", "wait", "wait"]),
            st.floats(0.1, 5.0),
        ),
        max_size=14,
    ),
    st.data(),
)
def test_no_server_is_used_whose_drain_since_its_last_proof_counts_as_told(events, data):
    """Guards against a later failure of a call that makes the list count as younger than its silent watch."""
    timeline = Timeline()
    for event, seconds in events:
        if event == "wait":
            timeline.now += seconds
        elif event in ("watch_falls_silent", "fail_to_reach"):
            getattr(timeline, event)(seconds)
        else:
            getattr(timeline, event)()
    proof_needed_from = timeline.age.proofs_needed_from(timeline.now, WINDOWS)
    proof = data.draw(st.floats(timeline.confirmed_at - 1.0, timeline.now))
    drained_at = data.draw(st.floats(max(proof, timeline.confirmed_at), timeline.now))
    if proof >= proof_needed_from:
        assert timeline.now <= timeline.told_at(drained_at) + GRACE_SECONDS


def test_proofs_after_the_end_of_a_silent_watch_do_not_expire_while_discovery_is_unreachable():
    age = ListAge(100.0)
    age.on_watch_silent(100.0, 104.5)
    assert age.attempts_needed_from(104.5, WINDOWS) == 104.5
    for started in (104.5, 106.0, 109.0, 115.0):
        age.on_unreachable(started)
    assert age.proofs_needed_from(106.19, WINDOWS) == -math.inf
    assert age.proofs_needed_from(106.2, WINDOWS) == age.proofs_needed_from(200.0, WINDOWS) == 104.5
    age.on_reached(120.0)  # from here on drains count as told again: 6 s after the last call that could not
    assert age.proofs_needed_from(120.9, WINDOWS) == 104.5
    assert age.proofs_needed_from(121.5, WINDOWS) == 121.5 - WINDOWS.unanswered


def test_list_as_of_before_the_end_of_a_silent_watch_does_not_make_up_for_it():
    age = ListAge(100.0)
    age.on_watch_silent(100.0, 104.5)
    age.confirm(104.0)  # a single list that was requested before the watch was closed
    assert age.proofs_needed_from(106.2, WINDOWS) == 104.5
    age.confirm(104.5)
    assert age.proofs_needed_from(106.2, WINDOWS) == -math.inf


def test_silent_watches_are_bounded_and_the_last_are_kept():
    age = ListAge(100.0)
    for number in range(50):
        age.on_watch_silent(100.0 + 4 * number, 104.0 + 4 * number)
    assert len(age.silent_watches) == MAX_SILENT_WATCHES
    assert age.proofs_needed_from(400.0, WINDOWS) == 104.0 + 4 * 49


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["confirm", "watch_falls_silent", "reach", "fail_to_reach", "wait", "exchange"]),
            st.integers(0, 1),
            st.floats(0.1, 5.0),
        ),
        max_size=14,
    ),
    st.floats(0.0, 20.0),
)
def test_list_of_two_processes_is_as_old_as_that_of_one_that_saw_all(events, later):
    """Guards against a process that takes the other's old list for a fresh one."""
    one, two = Timeline(), [Timeline(), Timeline()]

    def exchange():
        """Each process sends its age to the other one."""
        sent = [json.loads(json.dumps(process.age.to_message(90.0))) for process in two]
        for process, other in zip(two, reversed(sent)):
            process.age.merge(ListAge.from_message(other, 90.0))

    for event, sees, seconds in events:
        if event == "wait":
            for timeline in (one, *two):
                timeline.now += seconds
        elif event == "exchange":
            exchange()
        elif event in ("watch_falls_silent", "fail_to_reach"):
            began = max(one.confirmed_at, one.now - seconds)
            for timeline in (one, two[sees]):
                getattr(timeline, event)(one.now - began)
        else:
            for timeline in (one, two[sees]):
                getattr(timeline, event)()
    exchange()
    now = one.now + later
    needed = one.age.proofs_needed_from(now, WINDOWS)
    tolerance = 1e-6  # times are sent as floats from another origin
    for process in two:
        assert process.age.proofs_needed_from(now + tolerance, WINDOWS) >= needed - tolerance
