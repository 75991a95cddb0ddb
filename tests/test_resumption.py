"""The state of a resumed connection, and when one is admitted: the clock is moved on, not waited for."""

import math
import random

import pytest

from bellrack.net.resumption import (
    ALL_READY_SECONDS,
    DELAY_JITTER_SHARE,
    FIRST_ATTEMPT_SECONDS,
    FIRST_DELAY_SECONDS,
    LISTEN_AFTER_SECONDS,
    MAX_ATTEMPT_SECONDS,
    MAX_DELAY_SECONDS,
    RESUME_TIMEOUT_SECONDS,
    Attempt,
    Expire,
    Resumption,
    StartupWindow,
    State,
    Wait,
)

EVIDENCE = 2.75  # seconds


def next_action(resumption, now, known=True, free=True):
    return resumption.next_action(now, known, free)


# When one is admitted.


def test_the_times_are_those_of_the_pages():
    assert (ALL_READY_SECONDS, RESUME_TIMEOUT_SECONDS) == (30.0, 40.0)
    assert LISTEN_AFTER_SECONDS <= ALL_READY_SECONDS - 10  # our 30 s began after those of the page


@pytest.mark.parametrize("requested", [False, True])
@pytest.mark.parametrize("after", [0.0, 30.0, 41.0, 69.9])
def test_the_first_and_the_last_that_the_pages_allow_are_admitted(requested, after):
    # The clients come 30 s after the start at the latest, and 40 s later all are up, or lost.
    window = StartupWindow(100.0, EVIDENCE)
    if requested:
        window.on_request()
    assert window.admits(100.0 + after)
    window.on_resumed(100.0 + after)
    assert window.admits(100.0 + after)


@pytest.mark.parametrize("after", [70.1, 100.0, 1e9])
def test_none_is_admitted_in_service(after):
    # What bounds a forged one: nothing that comes in the meantime opens the window again, or keeps it open.
    window = StartupWindow(100.0, EVIDENCE)
    for second in range(70):
        window.on_resumed(100.0 + second)
    assert not window.admits(100.0 + after)
    assert not window.expects_more(100.0 + after, pending=3)
    assert not window.may_precede_run(100.0 + after, pending=3)


def test_who_has_said_nothing_may_be_a_resumed_connection_until_a_request_comes():
    window = StartupWindow(100.0, EVIDENCE)
    assert window.may_precede_run(139.0, pending=0) and not window.expects_more(139.0, pending=0)
    window.on_request()
    assert not window.may_precede_run(139.0, pending=0)


def test_a_request_before_a_resumed_connection_shows_nothing():
    window = StartupWindow(100.0, EVIDENCE)
    window.on_request()
    window.on_resumed(110.0)
    assert window.may_precede_run(139.0, pending=0)
    window.on_request()
    assert not window.may_precede_run(139.0, pending=0)


def test_moves_are_held_back_until_a_request_or_a_line_of_a_client_comes():
    for begins in (StartupWindow.on_request, StartupWindow.on_client_line):
        window = StartupWindow(100.0, EVIDENCE)
        begins(window)
        window.on_resumed(110.0)
        assert window.holds_back_moves(139.0, pending=0)
        begins(window)
        assert window.holds_back_moves(110.0 + EVIDENCE - 0.01, pending=0)
        assert window.holds_back_moves(139.0, pending=1)
        assert not window.holds_back_moves(139.0, pending=0)
    assert not StartupWindow(100.0, EVIDENCE).holds_back_moves(171.0, pending=0)


def test_a_line_of_a_client_does_not_show_that_nobody_writes_late():
    window = StartupWindow(100.0, EVIDENCE)
    window.on_resumed(110.0)
    window.on_client_line()
    assert window.may_precede_run(139.0, pending=0)


def test_resumed_connections_show_that_others_are_on_their_way():
    window = StartupWindow(100.0, EVIDENCE)
    window.on_resumed(110.0)
    window.on_request()
    assert window.may_precede_run(110.0 + EVIDENCE - 0.01, pending=0)
    assert not window.may_precede_run(110.0 + EVIDENCE, pending=0)
    assert window.may_precede_run(120.0, pending=1)  # the run begins when all are up


# One of them.


def test_it_is_sent_at_once_where_its_server_is_known():
    resumption = Resumption(100.0, 7)
    assert next_action(resumption, 100.0) == Attempt(100.0 + FIRST_ATTEMPT_SECONDS)
    assert next_action(resumption, 100.0) is None  # one attempt at a time
    resumption.on_established()
    assert resumption.state is State.UP and not resumption.pending
    assert next_action(resumption, 141.0) is None


@pytest.mark.parametrize("known, free", [(False, True), (True, False), (False, False)])
def test_it_waits_for_its_server_and_for_a_descriptor(known, free):
    resumption, now = Resumption(100.0, 7), 100.0
    while now < 139.0:
        action = next_action(resumption, now, known, free)
        assert isinstance(action, Wait) and now < action.until <= now + FIRST_DELAY_SECONDS
        now = action.until
    assert isinstance(next_action(resumption, now), Attempt)


@pytest.mark.parametrize("waits, answer_by", [(None, 140.0), (4294967.0, 140.0), (3.0, 103.0)])
def test_it_is_answered_when_its_time_is_over(waits, answer_by):
    resumption = Resumption(100.0, 7, waits)
    action = next_action(resumption, answer_by - 0.01, known=False)
    assert action == Wait(answer_by)
    assert next_action(resumption, answer_by) == Expire()
    assert next_action(resumption, answer_by) is None and not resumption.pending  # once


def test_a_server_that_hangs_does_not_take_all_the_time():
    # Each attempt is given up in time for another, and a slow server gets longer ones.
    resumption, now, attempts = Resumption(100.0, 7), 100.0, []
    while not isinstance(action := next_action(resumption, now), Expire):
        if isinstance(action, Attempt):
            attempts.append(action.give_up_at - now)
            now = action.give_up_at
            resumption.on_attempt_failed(now, timed_out=True, may_have_run=True)
        else:
            now = action.until
    assert attempts[:4] == pytest.approx(
        [FIRST_ATTEMPT_SECONDS, 2 * FIRST_ATTEMPT_SECONDS, MAX_ATTEMPT_SECONDS, MAX_ATTEMPT_SECONDS]
    )
    assert len(attempts) >= 5 and now == 140.0 and resumption.may_have_run


def test_failures_that_come_at_once_leave_the_attempts_short_and_the_server_in_peace():
    resumption, now, attempts = Resumption(100.0, 7), 100.0, 0
    while not isinstance(action := next_action(resumption, now), Expire):
        if isinstance(action, Attempt):
            assert action.give_up_at <= now + FIRST_ATTEMPT_SECONDS
            attempts += 1
            resumption.on_attempt_failed(now, timed_out=False, may_have_run=False)
        else:
            now = action.until
    assert 40 / MAX_DELAY_SECONDS <= attempts <= 60 and not resumption.may_have_run


def test_those_that_failed_together_do_not_come_back_together():
    delays = set()
    for number in range(100):
        resumption = Resumption(100.0, number * 7919)
        next_action(resumption, 100.0)
        resumption.on_attempt_failed(100.0, timed_out=False, may_have_run=False)
        delays.add(next_action(resumption, 100.0).until - 100.0)
    least, most = (
        FIRST_DELAY_SECONDS * (1 - DELAY_JITTER_SHARE / 2),
        FIRST_DELAY_SECONDS * (1 + DELAY_JITTER_SHARE / 2),
    )
    assert len(delays) > 50 and all(least <= delay <= most for delay in delays)


def test_no_order_of_events_brings_a_second_answer_or_a_second_attempt():
    for seed in range(300):
        rng, now = random.Random(seed), 100.0
        resumption, out, answers = Resumption(now, rng.getrandbits(64)), False, 0
        while now < 150.0:
            now += rng.expovariate(1.0)
            action = resumption.next_action(now, rng.random() < 0.8, rng.random() < 0.8)
            if isinstance(action, Attempt):
                assert not out and now < action.give_up_at <= 140.0
                out = True
            elif isinstance(action, Expire):
                assert not out and now >= 140.0
                answers += 1
            elif isinstance(action, Wait):
                assert now < action.until <= 140.0
            if rng.random() < 0.02:
                resumption.on_established() if out else resumption.on_closed()
                answers += resumption.state is State.UP
                out = False
            elif out and (rng.random() < 0.3 or now >= 140.0):
                resumption.on_attempt_failed(now, rng.random() < 0.5, rng.random() < 0.5)
                out = False
        if resumption.state is not State.CLOSED:
            assert answers == 1
        assert answers <= 1 and not math.isnan(resumption.answer_by)
