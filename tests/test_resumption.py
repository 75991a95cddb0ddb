"""When a resumed connection is admitted, and its states. The tests pass the time; none waits."""

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

EVIDENCE_SECONDS = 2.75


def next_action(resumption, now, known=True, free=True):
    return resumption.next_action(now, known, free)


# Admission.


def test_times_agree_with_the_protocol():
    assert (ALL_READY_SECONDS, RESUME_TIMEOUT_SECONDS) == (30.0, 40.0)
    # This process may have started 10 s after the 30 s began.
    assert LISTEN_AFTER_SECONDS <= ALL_READY_SECONDS - 10


@pytest.mark.parametrize("requested", [False, True])
@pytest.mark.parametrize("after", [0.0, 30.0, 41.0, 69.9])
def test_admits_from_the_start_to_the_end_of_the_window(requested, after):
    # Clients come 30 s after the start at the latest; 40 s later all are established, or count as lost.
    window = StartupWindow(100.0, EVIDENCE_SECONDS)
    if requested:
        window.on_request()
    assert window.admits(100.0 + after)
    window.on_resumed(100.0 + after)
    assert window.admits(100.0 + after)


@pytest.mark.parametrize("after", [70.1, 100.0, 1e9])
def test_admits_none_after_the_window(after):
    # Limits forged requests: nothing that comes meanwhile keeps the window open or opens it again.
    window = StartupWindow(100.0, EVIDENCE_SECONDS)
    for second in range(70):
        window.on_resumed(100.0 + second)
    assert not window.admits(100.0 + after)
    assert not window.expects_more(100.0 + after, pending=3)
    assert not window.may_precede_run(100.0 + after, pending=3)


def test_silent_connections_may_be_resumed_ones_until_a_request_comes():
    window = StartupWindow(100.0, EVIDENCE_SECONDS)
    assert window.may_precede_run(139.0, pending=0) and not window.expects_more(139.0, pending=0)
    window.on_request()
    assert not window.may_precede_run(139.0, pending=0)


def test_a_request_before_a_resumed_connection_does_not_show_that_the_run_has_begun():
    window = StartupWindow(100.0, EVIDENCE_SECONDS)
    window.on_request()
    window.on_resumed(110.0)
    assert window.may_precede_run(139.0, pending=0)
    window.on_request()
    assert not window.may_precede_run(139.0, pending=0)


def test_holds_back_moves_until_a_request_or_a_client_line_comes():
    for begins in (StartupWindow.on_request, StartupWindow.on_client_line):
        window = StartupWindow(100.0, EVIDENCE_SECONDS)
        begins(window)
        window.on_resumed(110.0)
        assert window.holds_back_moves(139.0, pending=0)
        begins(window)
        assert window.holds_back_moves(110.0 + EVIDENCE_SECONDS - 0.01, pending=0)
        assert window.holds_back_moves(139.0, pending=1)
        assert not window.holds_back_moves(139.0, pending=0)
    assert not StartupWindow(100.0, EVIDENCE_SECONDS).holds_back_moves(171.0, pending=0)


def test_a_client_line_does_not_end_the_wait_for_silent_connections():
    window = StartupWindow(100.0, EVIDENCE_SECONDS)
    window.on_resumed(110.0)
    window.on_client_line()
    assert window.may_precede_run(139.0, pending=0)


def test_resumed_connections_show_that_others_may_follow():
    window = StartupWindow(100.0, EVIDENCE_SECONDS)
    window.on_resumed(110.0)
    window.on_request()
    assert window.may_precede_run(110.0 + EVIDENCE_SECONDS - 0.01, pending=0)
    assert not window.may_precede_run(110.0 + EVIDENCE_SECONDS, pending=0)
    assert window.may_precede_run(120.0, pending=1)  # the run begins once all are established


# One resumed connection.


def test_attempts_at_once_if_the_server_is_known():
    resumption = Resumption(100.0, 7)
    assert next_action(resumption, 100.0) == Attempt(100.0 + FIRST_ATTEMPT_SECONDS)
    assert next_action(resumption, 100.0) is None  # one attempt at a time
    resumption.on_established()
    assert resumption.state is State.UP and not resumption.pending
    assert next_action(resumption, 141.0) is None


@pytest.mark.parametrize("known, free", [(False, True), (True, False), (False, False)])
def test_waits_for_its_server_and_for_a_descriptor(known, free):
    resumption, now = Resumption(100.0, 7), 100.0
    while now < 139.0:
        action = next_action(resumption, now, known, free)
        assert isinstance(action, Wait) and now < action.until <= now + FIRST_DELAY_SECONDS
        now = action.until
    assert isinstance(next_action(resumption, now), Attempt)


@pytest.mark.parametrize("waits, answer_by", [(None, 140.0), (4294967.0, 140.0), (3.0, 103.0)])
def test_expires_once_when_its_time_is_over(waits, answer_by):
    resumption = Resumption(100.0, 7, waits)
    action = next_action(resumption, answer_by - 0.01, known=False)
    assert action == Wait(answer_by)
    assert next_action(resumption, answer_by) == Expire()
    assert next_action(resumption, answer_by) is None and not resumption.pending  # once


def test_hung_attempts_time_out_and_later_ones_get_longer():
    # Each attempt times out early enough for another; later ones are longer, for a slow server.
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


def test_immediate_failures_back_off_and_keep_attempts_short():
    resumption, now, attempts = Resumption(100.0, 7), 100.0, 0
    while not isinstance(action := next_action(resumption, now), Expire):
        if isinstance(action, Attempt):
            assert action.give_up_at <= now + FIRST_ATTEMPT_SECONDS
            attempts += 1
            resumption.on_attempt_failed(now, timed_out=False, may_have_run=False)
        else:
            now = action.until
    assert 40 / MAX_DELAY_SECONDS <= attempts <= 60 and not resumption.may_have_run


def test_jitter_spreads_the_retries_of_connections_that_failed_together():
    delays = set()
    for number in range(100):
        resumption = Resumption(100.0, number * 7919)
        next_action(resumption, 100.0)
        resumption.on_attempt_failed(100.0, timed_out=False, may_have_run=False)
        delays.add(next_action(resumption, 100.0).until - 100.0)
    shortest, longest = (
        FIRST_DELAY_SECONDS * (1 - DELAY_JITTER_SHARE / 2),
        FIRST_DELAY_SECONDS * (1 + DELAY_JITTER_SHARE / 2),
    )
    assert len(delays) > 50 and all(shortest <= delay <= longest for delay in delays)


def test_any_order_of_events_gives_one_answer_and_one_attempt_at_a_time():
    for seed in range(300):
        rng, now = random.Random(seed), 100.0
        resumption, attempting, answers = Resumption(now, rng.getrandbits(64)), False, 0
        while now < 150.0:
            now += rng.expovariate(1.0)
            action = resumption.next_action(now, rng.random() < 0.8, rng.random() < 0.8)
            if isinstance(action, Attempt):
                assert not attempting and now < action.give_up_at <= 140.0
                attempting = True
            elif isinstance(action, Expire):
                assert not attempting and now >= 140.0
                answers += 1
            elif isinstance(action, Wait):
                assert now < action.until <= 140.0
            if rng.random() < 0.02:
                resumption.on_established() if attempting else resumption.on_closed()
                answers += resumption.state is State.UP
                attempting = False
            elif attempting and (rng.random() < 0.3 or now >= 140.0):
                resumption.on_attempt_failed(now, rng.random() < 0.5, rng.random() < 0.5)
                attempting = False
        if resumption.state is not State.CLOSED:
            assert answers == 1
        assert answers <= 1 and not math.isnan(resumption.answer_by)
