"""A connection that stops before its first line is whole is owed its end within 3 s, but where its bytes may
still become the line of a resumed connection and the run may not have begun (docs/network.md, "Resumed
connections")."""

import pytest
from helpers import World, played
from hypothesis import given
from hypothesis import strategies as st
from test_resumed import AT

from bellrack.net import clients, first_line, limits, lines, shutdown

LINE = f"OPEN 00000000000000ff 7f3a9c21e0b4d655 {AT}\r\n".encode()
MAY_RESUME = (
    b"",
    b"O",
    b"OPEN ",
    b"OPEN 00000000000000ff",
    b"OPEN 00000000000000ff 7f3a9c21e0b4d655",
    b"OPEN 00000000000000ff 7f3a9c21e0b4d655 c=chat,t=ac",
    b"OPEN 00000000000000ff 7f3a9c21e0b4d655 c=chat,at",
    LINE[:-1],
)
NEVER = (
    b"GET / HT",
    b"P",
    b"PING",
    b"open ",
    b"OPENS",
    b"OPEN  00000000000000ff",
    b"OPEN 00000000000000ff 7f3a9c21e0b4d65z",
    b"OPEN 00000000000000ff 7f3a9c21e0b4d6551 ",
    b"OPEN 00000000000000ff 7f3a9c21e0b4d655 =chat",
    b"OPEN 00000000000000ff 7f3a9c21e0b4d655 c=chat,,",
    b"OPEN 00000000000000ff 7f3a9c21e0b4d655 c=chat t=acme",
    b"OPEN 00000000000000ff 7f3a9c21e0b4d655 c=chat\rx",
    b"\x00",
    b"\r",
)


@pytest.fixture
def quick(monkeypatch):
    monkeypatch.setattr(limits, "FIRST_LINE_SECONDS", 0.2)
    monkeypatch.setattr(clients, "FIRST_LINE_RECHECK_SECONDS", 0.02)


@pytest.mark.parametrize("data", MAY_RESUME)
def test_what_may_become_a_resumed_line_is_waited_for_before_the_run_only(data):
    assert first_line.may_still_come(data, may_precede_run=True)
    assert not first_line.may_still_come(data, may_precede_run=False)


@pytest.mark.parametrize("data", NEVER)
def test_what_can_not_become_a_resumed_line_is_never_waited_for(data):
    assert not first_line.may_still_come(data, may_precede_run=True)


@given(st.from_regex(lines.REQUEST_LINE, fullmatch=True), st.data())
def test_each_part_of_a_line_in_form_may_become_one(line, data):
    assert first_line.may_begin_resumed(line[: data.draw(st.integers(0, len(line) - 1))])


@given(st.binary(max_size=12), st.binary(max_size=12), st.integers(0, len(LINE) - 1))
def test_what_no_line_in_form_can_follow_is_told_apart(junk, rest, at):
    """Whatever comes later: if a line in form may follow, its beginning was taken for one."""
    begun = LINE[:at] + junk
    line = begun + rest + b"\r\n"
    if lines.REQUEST_LINE.fullmatch(line):
        assert first_line.may_begin_resumed(begun)


@pytest.mark.parametrize("data", [b"GET / HT", b"OPEN 1 zz"])
@played
async def test_at_a_process_that_nobody_has_asked_junk_has_its_end_in_time(quick, data):
    async with World(servers=1) as world:
        client, begun = await world.dial(), world.node.clock()
        client.writer.write(data)
        assert [await client.line(), await client.line()] == ["BUSY 1500", "fin"]
        assert (
            world.node.clock() - begun >= limits.FIRST_LINE_SECONDS
            and not world.node.resumed.window.requested
        )


@played
async def test_junk_of_a_connection_that_was_silent_for_long_has_its_end_too(quick):
    async with World(servers=1) as world:
        client, begun = await world.dial(), world.node.clock()
        await world.until(lambda: world.node.clock() > begun + 3 * limits.FIRST_LINE_SECONDS)
        assert world.node.clients
        client.writer.write(b"GET / HT")
        assert await client.line() == "BUSY 1500"


@played
async def test_half_a_line_in_form_has_its_end_once_a_request_has_come(quick):
    async with World(servers=1) as world:
        client, begun = await world.dial(), world.node.clock()
        client.writer.write(LINE[:30])
        await world.until(lambda: world.node.clock() > begun + 3 * limits.FIRST_LINE_SECONDS)
        assert world.node.clients
        await world.standing()
        assert await client.line() == "BUSY 1500"


@played
async def test_half_a_line_in_form_has_its_end_where_no_resumed_one_is_admitted_any_more(quick):
    async with World(servers=1) as world:
        world.node.resumed.window.started -= 1000.0
        client = await world.dial()
        client.writer.write(LINE[:30])
        assert await client.line() == "BUSY 1500"


@pytest.mark.parametrize("data", [b"", LINE[:30]])
@played
async def test_at_a_process_that_ends_nobody_who_writes_late_is_waited_for(quick, data):
    """Not until its last moment, which is over 3 s after SIGTERM."""
    async with World(servers=1) as world:
        client = await world.dial()
        client.writer.write(data)
        await world.until(lambda: world.node.clients)
        world.node.begin_shutdown()
        assert await client.line() == "BUSY 1500"
        leaving = world.node.shutdown
        assert (
            world.node.clock() < leaving.started_at + leaving.time_limit - shutdown.ANSWER_BEFORE_END_SECONDS
        )
        client.end("fin")
