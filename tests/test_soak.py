"""Tests of the soak: the oracle reports each broken rule and nothing else, a plan depends only on its seed,
and a short run of real processes without troubles finds nothing."""

import asyncio
import dataclasses
import math
import os
import socket
from unittest import mock

import pytest

from bellrack.lab.soak import __main__ as command
from bellrack.lab.soak import deployment, driver, oracle, plan, processes, servers
from bellrack.lab.soak.clients import LineTimes, Outcome
from bellrack.lab.soak.plan import Demand
from bellrack.lab.soak.process import EventLog

DEMAND = Demand(0.0, 0, "chat", 1, 1.0, "plain", 1.0, 0.0)


def outcome(kind="chat", behaviour="plain", **values):
    demand = Demand(0.0, 0, kind, 1, 1.0, behaviour, 1.0, 0.0)
    base = {"connected_at": 10.0, "sent_at": 10.0, "answers": [(10.2, "UP s-0/1")], "closed_at": 12.0}
    return Outcome(demand, "a1", ("127.0.0.1", 1), **(base | values))


def attempt(t, server="s-0", request="a1", balancer=0):
    return {"ev": "attempt", "t": t, "first": t, "b": balancer, "s": server, "id": request, "mode": "pass"}


def change(t, state, generation, server="s-0", start=False):
    values = {"ev": "change", "t": t, "s": server, "state": state, "generation": generation}
    return values | {"start": start}


def told(t, generation):
    return {"ev": "told", "t": t, "b": 0, "generation": generation, "reset": False}


def record(outcomes=(), events=(), kills=(), starts=(0.0,), detached=(), unreachable=(), **fields):
    by_balancer = {"kills": {0: list(kills)}, "starts": {0: list(starts)}}
    return oracle.Record(
        deployment.LIMITS,
        sorted(events, key=lambda event: event["t"]),
        list(outcomes),
        by_balancer["kills"],
        by_balancer["starts"],
        list(detached),
        list(unreachable),
        **fields,
    )


def broken_rules(*args, **fields):
    return [violation.rule for violation in oracle.find_violations(record(*args, **fields))]


TTL = deployment.LIMITS.key_ttl
BUSY = [(10.2, "BUSY 500")]
RAN = {"ev": "ran", "t": 10.1, "s": "s-0", "id": "a1"}


@pytest.mark.parametrize(
    "values, rules",
    [
        ({}, []),
        ({"answers": [], "ended_at": 10.4, "closed_at": None}, ["lost"]),
        ({"answers": [(11.8, "UP s-0/1")]}, ["answered_late"]),
        ({"answers": [(11.5, "UP s-0/1")]}, []),
        (
            {"answers": BUSY, "later_lines": [(10.3, "UP s-0/1")], "closed_at": None, "ended_at": 10.4},
            ["second_answer"],
        ),
        ({"ended_at": 11.0, "closed_at": None}, ["cut"]),
        ({"ended_at": 11.0, "closed_at": None, "later_lines": [(11.0, "MOVE")]}, []),
        ({"longest_missing_echo": 7.3}, ["silent"]),
        ({"behaviour": "half", "answers": [], "ended_at": 12.9, "closed_at": None}, []),
        ({"behaviour": "half", "answers": [], "ended_at": 13.3, "closed_at": None}, ["half_request"]),
        ({"behaviour": "leaves", "answers": [], "closed_at": 10.3}, []),
    ],
)
def test_reports_missing_and_late_answers_and_broken_connections(values, rules):
    assert broken_rules([outcome(**values)], [attempt(10.0), RAN]) == rules


def line_event(name, t, server="s-0"):
    return {"ev": name, "t": t, "s": server, "id": "a1", "text": "M 1"}


@pytest.mark.parametrize(
    "received, echoed, arrived, rules",
    [
        (10.6, 10.6, 10.7, []),
        (11.6, 11.6, 11.7, []),
        (11.7, 11.7, 11.8, ["held_line"]),
        (10.6, 10.6, 11.7, []),
        (10.6, 10.6, 11.8, ["held_line"]),
        (10.6, None, None, []),  # the server hangs
        (None, None, None, ["held_line"]),
        (10.6, 10.6, None, ["held_line"]),
    ],
)
def test_reports_a_line_that_is_held_back_for_over_a_second_in_either_direction(
    received, echoed, arrived, rules
):
    events = [line_event("line", received)] * (received is not None)
    events += [line_event("echo", echoed)] * (echoed is not None)
    lines = {"M 1": LineTimes(10.5, arrived)}
    assert broken_rules([outcome(lines=lines, closed_at=13.0)], events) == rules
    assert broken_rules([outcome(lines=lines, closed_at=11.6)], events) == []  # the client had closed


def test_line_that_is_cut_off_by_the_end_does_not_count_as_an_earlier_line_that_came_late():
    """Seed 9509: `M 19` was cut to `M 1` by the end of the server, 7 s after `M 1` had come."""
    events = [line_event("line", 10.5), line_event("echo", 10.5), line_event("line", 17.8)]
    lines = {"M 1": LineTimes(10.5, 10.6)}
    assert broken_rules([outcome(lines=lines, closed_at=18.0)], events) == []


@pytest.mark.parametrize("event", ["bye", "server_end", "balancer_end"])
@pytest.mark.parametrize("waited, rules", [(1.1, []), (1.2, ["left_waiting"])])
def test_reports_a_client_that_is_left_waiting_after_its_servers_side_has_ended(event, waited, rules):
    end = {"closed_at": None, "ended_at": 11.0 + waited, "later_lines": [(11.0 + waited, "MOVE")]}
    assert broken_rules([outcome(**end)], [line_event(event, 11.0)]) == rules
    assert broken_rules([outcome(**end)], [line_event(event, 11.0, "s-1")]) == []  # of an earlier attempt
    assert broken_rules([outcome(**end)], [line_event(event, 10.1)]) == []  # before its UP
    assert broken_rules([outcome(**end)], [line_event(event, 11.0)], kills=[11.5]) == []


def test_excuses_what_a_killed_balancer_or_an_ended_server_explains():
    lost = outcome(answers=[], ended_at=10.4, closed_at=None)
    assert broken_rules([lost], kills=[10.4]) == [] and broken_rules([lost], kills=[12.5]) == ["lost"]
    cut = outcome(ended_at=11.0, closed_at=None)
    assert broken_rules([cut], [attempt(10.0), {"ev": "server_end", "t": 11.0, "id": "a1"}]) == []


@pytest.mark.parametrize("late, rules", [(0.1, []), (0.2, ["for_nobody"])])
def test_reports_an_attempt_after_its_client_has_closed(late, rules):
    gone = outcome(behaviour="leaves", answers=[], closed_at=10.3)
    assert broken_rules([gone], [attempt(10.3 + late)]) == rules


@pytest.mark.parametrize(
    "kind, repeated_after, busy, answer, rules",
    [
        ("chat", 0.5, False, "UP", []),
        ("order", TTL, False, "UP", []),
        ("order", TTL + 0.1, False, "UP", ["repeated_late"]),
        ("order", TTL + 0.1, True, "UP", []),
        ("pay", 0.1, False, "UP", ["effect_twice"]),
        ("pay", 0.1, True, "UP", []),
        ("pay", None, False, "BUSY", ["false_refusal"]),
        ("pay", None, True, "BUSY", []),
    ],
)
def test_reports_repeated_effects_and_false_refusals(kind, repeated_after, busy, answer, rules):
    events = [attempt(10.0)] + ([attempt(10.0 + repeated_after, "s-1")] if repeated_after else [])
    if busy:
        events.append({"ev": "busy", "t": 10.0, "s": "s-0", "id": "a1"})
    assert broken_rules([outcome(kind, answers=[(11.4, f"{answer} 1")])], events) == rules


GRACE = deployment.LIMITS.drain_grace + oracle.TOLERANCE_SECONDS + oracle.RECORDING_DELAY_SECONDS


@pytest.mark.parametrize(
    "sent, events, fields, rules",
    [
        (5.0 + GRACE - 0.01, [told(5.0, 2)], {}, []),
        (5.0 + GRACE + 0.01, [told(5.0, 2)], {}, ["drain"]),
        (11.0 + GRACE - 0.01, [], {}, []),  # 6 s after the change, with or without a list
        (11.0 + GRACE + 0.01, [], {}, ["drain"]),
        (11.0 + GRACE + 0.01, [], {"unreachable": [(6.0, 8.0)]}, []),
        (14.0 + GRACE + 0.01, [], {"unreachable": [(6.0, 8.0)]}, ["drain"]),
        (5.5 + GRACE + 0.01, [], {"pushed": True}, ["drain"]),
        (8.0 + GRACE - 0.01, [], {"pushed": True, "unreachable": [(4.0, 8.0)]}, []),
        (8.0 + GRACE - 0.01, [], {"pushed": True, "reloads": {0: [4.0]}}, []),
        (8.5 + GRACE + 0.01, [], {"pushed": True, "reloads": {0: [4.0]}}, ["drain"]),
        (8.0, [told(5.0, 2)], {"starts": [0.0, 7.0]}, []),  # a new process that does not know of it
        (8.0, [told(5.0, 2), told(7.1, 2)], {"starts": [0.0, 7.0]}, ["drain"]),
        (8.0, [told(5.0, 2), change(6.0, "in_service", 3), told(6.0, 3)], {}, []),
    ],
)
def test_reports_attempts_after_a_known_drain(sent, events, fields, rules):
    assert broken_rules([], [change(5.0, "terminating", 2), *events, attempt(sent)], **fields) == rules


def test_reports_attempts_at_a_detached_server():
    detached = [(0, "s-0", 5.0, 9.0)]
    assert broken_rules([], [attempt(5.0 + GRACE - 0.01), attempt(9.1)], detached=detached) == []
    assert broken_rules([], [attempt(5.0 + GRACE + 0.01)], detached=detached) == ["detached"]


def test_reports_more_requests_to_a_cold_server_than_its_bound_in_one_window():
    start = [change(5.0, "in_service", 2, start=True), told(5.1, 2)]
    bound = math.floor(deployment.LIMITS.request_bound(0.5))
    events = [attempt(5.5 + number / 1000, request=f"{number}") for number in range(bound + 1)]
    assert broken_rules([], [*start, *events[:-1]]) == []
    assert broken_rules([], [*start, *events]) == ["slow_start"]
    apart = [event | {"t": event["t"] + 1.01 * number} for number, event in enumerate(events)]
    assert broken_rules([], [*start, *apart]) == []


@pytest.mark.parametrize("informed, rules", [(0, []), (6, []), (7, ["slow_start"]), (9, ["slow_start"])])
def test_reports_a_cold_servers_overload_only_if_informed_balancers_caused_it(informed, rules):
    """STANDING.md: "over two thirds came from balancers that had been told of the start"."""
    sends = [attempt(5.5 + number / 100, request=f"{number}") for number in range(9)]
    assert len(sends) > deployment.LIMITS.request_bound(0.58)
    start = [change(5.0, "in_service", 2, start=True), told(5.5 + (9 - informed) / 100 - 0.005, 2)]
    assert broken_rules([], [*start, *sends]) == rules


def test_balancers_count_as_informed_of_a_start_six_seconds_after_it():
    """An overload after that is reported even if discovery has sent no list since the start."""
    limits = dataclasses.replace(deployment.LIMITS, ramp_time=60.0)
    sends = [
        attempt(5.0 + at + number / 100, request=f"{number}") for at in (0.5, 6.5) for number in range(12)
    ]
    long_ramp = dataclasses.replace(
        record([], [change(5.0, "in_service", 2, start=True), *sends]), limits=limits
    )
    (violation,) = oracle.find_violations(long_ramp)
    assert violation.rule == "slow_start" and violation.time > 11.0


def test_a_plan_depends_only_on_its_seed():
    drawn = [plan.draw(seed, 20.0, 4, 6, 30.0, list(deployment.EFFECTS)) for seed in (1, 1, 2)]
    assert drawn[0] == drawn[1] != drawn[2]
    assert all(trouble.until <= 20.0 - plan.COOL_DOWN_SECONDS for trouble in drawn[0].troubles)
    kinds = {
        trouble.kind for seed in range(40) for trouble in plan.draw(seed, 40, 4, 6, 1, ["chat"]).troubles
    }
    assert kinds == {*plan.PROCESS_TROUBLES, *plan.SERVER_TROUBLES, "discovery"}


def test_a_server_refuses_requests_beyond_the_capacity_that_the_oracle_assumes(tmp_path):
    """Otherwise balancers would see servers accept more than the oracle's bounds allow them to send."""

    async def run():
        server = servers.Server("s-0", EventLog(str(tmp_path / "events.jsonl")))
        listener = await asyncio.start_server(server.handle_connection, "127.0.0.1")
        address = listener.sockets[0].getsockname()

        async def answer(number):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(b"OPEN %016x 0 c=chat\r\n" % number)
            return (await reader.readline()).split()[0], writer

        answers = [await answer(number) for number in range(servers.CAPACITY + 1)]
        assert [word for word, _ in answers] == [b"UP"] * servers.CAPACITY + [b"BUSY"]
        answers[0][1].transport.abort()
        while server.active == servers.CAPACITY:
            await asyncio.sleep(0.001)
        assert (await answer(99))[0] == b"UP"
        for _, writer in answers:
            writer.transport.abort()
        listener.close()

    asyncio.run(asyncio.wait_for(run(), 10))
    assert deployment.LIMITS.capacity == servers.CAPACITY


@pytest.mark.parametrize(
    "values, rule",
    [
        ({"behaviour": "half", "answers": [], "ended_at": 13.4, "closed_at": None}, "half_request"),
        ({"answers": [(11.8, "BUSY")]}, "answered_late"),
    ],
)
def test_input_read_after_a_pause_of_the_clients_counts_from_the_start_of_the_pause(values, rule):
    read = values.get("ended_at") or values["answers"][0][0]
    for pauses, rules in (
        ([], [rule]),
        ([(read - 0.7, read - 0.01)], []),
        ([(read - 0.1, read - 0.01)], [rule]),  # too short to explain the delay
        ([(read - 1.2, read - 0.5)], [rule]),  # ended long before
    ):
        assert broken_rules([outcome(**values)], pauses=pauses) == rules


@pytest.mark.parametrize(
    "back_written, attempted, rules",
    [(5.2, 5.3, []), (5.2, 5.1, ["drain"]), (None, 5.3, ["drain"])],
)
def test_server_that_may_have_been_read_back_in_service_is_not_judged_as_draining(
    back_written, attempted, rules
):
    """Seed 9501: the write that the server is back met a fault, and was read and acted on all the same."""
    events = [change(1.0, "terminating", 1), told(1.0, 1), change(5.0, "in_service", 2)]
    events += [told(back_written, 2)] * (back_written is not None)
    broken = broken_rules([], [*events, attempt(attempted)], breaks={0: [(5.0, 6.0)]})
    assert broken == rules


def test_a_list_written_while_the_connection_breaks_counts_as_known_six_seconds_later():
    events = [change(5.0, "terminating", 2), told(5.1, 2)]
    for since, until, rules in (
        (5.05, 5.3, []),
        (5.15, 5.3, []),
        (4.0, 5.05, ["drain"]),
        (5.3, 6.0, ["drain"]),
    ):
        assert broken_rules([], [*events, attempt(6.0)], breaks={0: [(since, until)]}) == rules
    assert broken_rules([], [*events, attempt(11.8)], breaks={0: [(5.05, 5.3)]}) == ["drain"]


def test_a_new_process_can_ask_discovery_once_it_has_answered_an_operator():
    events = [change(5.0, "terminating", 2), attempt(11.9)]
    for first_answer, rules in ((5.3, ["drain"]), (6.2, [])):
        fields = {"starts": [5.0], "unreachable": [(5.9, 15.0)], "first_answers": {0: [first_answer]}}
        assert broken_rules([], events, **fields, pushed=True) == rules


@pytest.mark.parametrize(
    "code, text, crash", [(-15, "", False), (-15, "event=serving", True), (-10, "", True), (1, "", True)]
)
def test_an_exit_after_sigterm_is_no_crash_only_while_the_interpreter_starts(tmp_path, code, text, crash):
    balancer, log = processes.Balancer(0, tmp_path, {}), tmp_path / "n0-0.log"
    log.write_text(text)
    process = mock.Mock(pid=7, returncode=code, wait=mock.AsyncMock(return_value=code))
    balancer.log_by_pid[7] = log
    asyncio.run(balancer.terminate(process))
    assert balancer.problems == [f"crash: ended with {code} after SIGTERM"] * crash
    balancer.listen_reservation.close()


def test_counts_established_connections_of_the_process_but_not_ended_ones():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
        assert processes.count_established(os.getpid(), port) == 0
        with socket.create_connection(("127.0.0.1", port)), listener.accept()[0] as held:
            assert processes.count_established(os.getpid(), port) == 1
            assert processes.count_established(os.getppid(), port) == 0
            held.shutdown(socket.SHUT_WR)
            assert processes.count_established(os.getpid(), port) == 0


def test_a_short_run_of_real_processes_without_troubles_finds_nothing(tmp_path):
    drawn = plan.draw(5, 6.0, 2, 4, 20.0, list(deployment.EFFECTS))
    drawn.troubles, drawn.faults = [], [[], []]
    found, counts = asyncio.run(command.soak(drawn, tmp_path))
    assert found == []
    assert counts["answer UP"] > 10 and counts["processes"] == 2 + driver.SERVER_PROCESSES + 2
